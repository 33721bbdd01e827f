"""Encoding and decoding of session tokens."""

import base64

from hypothesis import given
from hypothesis import strategies as st

from tidegrade import core
from tidegrade.peers import _wire

names = st.text('abcdefgh-0123', min_size=1, max_size=12)
positions = st.builds(
    core.Position, st.integers(0, 2**40), st.integers(0, 2**62)
)
tokens = st.builds(
    core.SessionToken,
    names,
    st.integers(0, 2**30),
    st.dictionaries(names, positions, max_size=5),
)


@given(tokens)
def test_a_token_round_trips(token):
    assert _wire.decode_token(_wire.encode_token(token)).unwrap() == token


@given(st.text(max_size=80))
def test_arbitrary_text_decodes_or_is_an_error(text):
    found = _wire.decode_token(text)
    assert found.is_err() or isinstance(found.unwrap(), core.SessionToken)


@given(st.binary(max_size=80))
def test_arbitrary_bytes_decode_or_are_an_error(raw):
    text = base64.urlsafe_b64encode(raw).decode()
    found = _wire.decode_token(text)
    assert found.is_err() or isinstance(found.unwrap(), core.SessionToken)


def test_an_oversized_token_is_refused():
    assert _wire.decode_token('A' * 5000).is_err()


def test_a_position_never_decreases():
    token = core.SessionToken('s').seen('g', core.Position(2, 5))
    assert token.seen('g', core.Position(1, 99)) == token
    assert token.seen('g', core.Position(2, 4)) == token

"""Decoding of table rows, including malformed ones of other writers."""

import json

import attrs
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tidegrade.codec import _rows
from tidegrade.codec import _structure
from tidegrade import core

ROW = core.GroupRow(
    3,
    'a:1',
    frozenset({'a:1', 'b:1'}),
    (core.Fork(2, 7),),
    attempt=core.Attempt('x', 'p', 4),
)
ENTRY = _rows.Registered('a', '10.0.0.1', 7440, 'p.0')

#: Field names of rows, for random JSON values.
NAMES = st.sampled_from(
    ['term', 'primary', 'members', 'forks', 'attempt', 'id', 'domain', 'port']
)
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=5)
    ),
    max_leaves=10,
)


def test_rows_round_trip():
    assert _rows.decode_row(_rows.encode_row(ROW)).unwrap() == ROW
    raw = _rows.encode_registered(ENTRY)
    assert _rows.decode_registered(raw).unwrap() == ENTRY


@attrs.frozen
class _RegisteredBefore:
    """A registration row as proxies without capacities read it."""

    domain: str
    host: str
    port: int
    proxy: str


def test_registrations_are_read_across_versions():
    """During an upgrade, proxies read rows of both versions.

    A row that is rejected hides its proxy from supervisors.
    """
    entry = attrs.evolve(ENTRY, capacity=516)
    raw = _rows.encode_registered(entry)
    assert _rows.decode_registered(raw).unwrap() == entry
    before = _structure.structure_lenient(raw, _RegisteredBefore).unwrap()
    assert before == _RegisteredBefore('a', '10.0.0.1', 7440, 'p.0')
    older = _structure.to_json(before)
    assert _rows.decode_registered(older).unwrap() == ENTRY
    assert ENTRY.capacity == 0


@given(values)
@example(None)
@example(7)
def test_arbitrary_json_decodes_or_is_an_error(value):
    """A JSON value that is not an object must not raise in the reader.

    An uncaught exception ends the process that reads the row.
    """
    raw = json.dumps(value).encode()
    for read in (_rows.decode_row(raw), _rows.decode_registered(raw)):
        assert read.is_ok() or read.unwrap_err()


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_an_error(raw):
    assert _rows.decode_row(raw).is_err()
    assert _rows.decode_registered(raw).is_err()


@pytest.mark.parametrize('port', ('7440', 7440.0, True, None))
def test_values_are_not_coerced_to_other_types(port):
    plain = {**json.loads(_rows.encode_registered(ENTRY)), 'port': port}
    assert _rows.decode_registered(json.dumps(plain).encode()).is_err()


@pytest.mark.parametrize(
    'change',
    [{'port': 0}, {'port': 65536}, {'host': ''}, {'host': '\xe9' * 70}],
    ids=str,
)
def test_a_registration_that_nothing_can_connect_to_is_an_error(change):
    """The attempt raised no OSError and ended each process that scanned."""
    raw = _rows.encode_registered(attrs.evolve(ENTRY, **change))
    assert _rows.decode_registered(raw).is_err()


@pytest.mark.parametrize(
    'change',
    [
        {'term': 0},
        {'term': 2**64 - 1},
        {'log_term': -1},
        {'attempt': core.Attempt('x', 'p', 2**63)},
    ],
    ids=str,
)
def test_a_row_whose_term_does_not_fit_into_messages_is_an_error(change):
    """The next message with the term raised and ended the process."""
    raw = _rows.encode_row(attrs.evolve(ROW, **change))
    assert _rows.decode_row(raw).is_err()

"""Names and transport of statements whose text is not UTF-8.

Callers' text is decoded with surrogates for bytes that are not UTF-8. A
prepared shape with such a byte ended the process that named it, and the
caller's retries ended others.
"""

import hypothesis
from hypothesis import strategies
import pytest

from tidegrade import core
from tidegrade.core import _pool
from tidegrade.core import _setup
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

KEY = messages.GroupKey('platform', 'g')
texts = strategies.binary(max_size=20).map(
    lambda raw: raw.decode('utf-8', 'surrogateescape')
)


def test_a_shape_that_is_not_utf8_has_a_name():
    odd = core.Prepared(b'q\xe3'.decode('utf-8', 'surrogateescape'))
    assert odd.name != core.Prepared('q').name
    assert odd.name.isascii()


@pytest.mark.parametrize('writes', [False, True])
def test_a_shape_keeps_its_name(writes):
    """Proxies of two versions must agree on the names at an endpoint."""
    names = {
        False: 'rd2e62e856a51dbd0b6c67527',
        True: 'wd2e62e856a51dbd0b6c67527',
    }
    assert core.Prepared('q7', writes).name == names[writes]


@hypothesis.given(texts, texts, texts, texts)
def test_any_text_of_a_caller_reaches_another_proxy(shape, sql, name, value):
    prepared = core.Prepared(shape)
    stmt = core.Statement(sql, id=value, prepared=prepared)
    req = core.Request(
        1,
        't',
        core.Kind.READ,
        1.0,
        statements=(stmt,),
        values=((name, value),),
    )
    sent = messages.PeerMessage(messages.Forward(KEY, req), 7)
    received = codec.decode(codec.encode(sent))
    assert received.body.request.statements == (stmt,)
    conn = _pool.Conn(1, 'a', state=_pool.ConnState.IDLE)
    setup = _setup.setup_for(conn, received.body.request, (stmt,))
    assert setup.prepared == (prepared,)

"""The setup of a pooled connection before a session's statement."""

import pytest

from tidegrade import core
from tidegrade.core import _pool
from tidegrade.core import _setup


@pytest.fixture
def conn() -> _pool.Conn:
    return _pool.Conn(1, 'a', state=_pool.ConnState.IDLE)


def request(**values: str) -> core.Request:
    return core.Request(
        1, 't', core.Kind.READ, 1.0, values=tuple(values.items())
    )


SHAPE = core.Prepared('q1')
STATEMENT = core.Statement('x', prepared=SHAPE)


def test_only_the_difference_is_sent(conn):
    first = _setup.setup_for(conn, request(a='1', b='2'), ())
    assert first.values == (('a', '1'), ('b', '2'))
    again = _setup.setup_for(conn, request(a='1', b='3'), ())
    assert again == core.SessionSetup(values=(('b', '3'),))


def test_a_value_of_another_session_is_reset(conn):
    _setup.setup_for(conn, request(a='1'), ())
    other = _setup.setup_for(conn, request(b='2'), ())
    assert other == core.SessionSetup(True, (('b', '2'),))


def test_a_shape_is_prepared_once_until_a_reset(conn):
    first = _setup.setup_for(conn, request(), (STATEMENT,))
    assert first.prepared == (SHAPE,)
    assert _setup.setup_for(conn, request(), (STATEMENT,)).prepared == ()
    _setup.setup_for(conn, request(a='1'), ())
    after_reset = _setup.setup_for(conn, request(), (STATEMENT,))
    assert after_reset == core.SessionSetup(True, (), (SHAPE,))


def test_nothing_is_reset_inside_a_transaction(conn):
    _setup.setup_for(conn, request(a='1'), ())
    conn.state = _pool.ConnState.PINNED
    assert not _setup.setup_for(conn, request(), ()).reset


def test_the_number_of_shapes_is_limited(conn):
    for number in range(_setup.MAX_PREPARED + 1):
        shape = core.Prepared(f'q{number}')
        stmt = core.Statement('x', prepared=shape)
        setup = _setup.setup_for(conn, request(), (stmt,))
    assert setup.reset
    assert conn.prepared == {shape}

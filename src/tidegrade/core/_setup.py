"""Prepares the session state of a pooled connection for a statement.

A connection serves many sessions in turn. The state that was last sent on it
is kept with it, so that only the difference is sent.
"""

from collections.abc import Iterable

from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _types

#: Most prepared statement shapes on one connection. A connection that would
#: exceed it is reset, so that memory use of the proxy and of the endpoint does
#: not grow with the number of shapes ever used.
MAX_PREPARED = 200


def setup_for(
    conn: _pool.Conn,
    req: _types.Request,
    statements: Iterable[_types.Statement],
) -> _jobs.SessionSetup:
    """Return the setup that ``conn`` needs and record it as applied.

    A connection whose setup fails is closed, so the recorded state is
    correct whenever a statement runs. Every statement of a caller passes
    through this function, which checks that it does not use another
    tenant's connection.
    """
    _types.invariant(
        conn.tenant is None or conn.tenant == req.tenant,
        "a statement was placed on another tenant's connection",
    )
    wanted = dict(req.values)
    shapes = {s.prepared for s in statements if s.prepared is not None}
    reset = _must_reset(conn, wanted, shapes)
    if reset:
        conn.values = {}
        conn.prepared = set()
    values = tuple(
        (name, value)
        for name, value in wanted.items()
        if conn.values.get(name) != value
    )
    prepared = sorted(shapes - conn.prepared, key=lambda p: p.name)
    conn.values = wanted
    conn.prepared |= shapes
    return _jobs.SessionSetup(reset, values, tuple(prepared))


def _must_reset(
    conn: _pool.Conn, wanted: dict[str, str], shapes: set[_types.Prepared]
) -> bool:
    """Return whether ``conn`` must be reset; never inside a transaction.

    A reset is needed if the connection has values that the session has not
    set, or if it would hold more than ``MAX_PREPARED`` shapes.
    """
    if conn.state is _pool.ConnState.PINNED:
        return False
    unset = conn.values.keys() - wanted.keys()
    return bool(unset) or len(conn.prepared | shapes) > MAX_PREPARED

"""The connections of one proxy to the endpoints of one group."""

import enum
import random

import attrs

from tidegrade.core import _jobs
from tidegrade.core import _shares
from tidegrade.core import _types

#: Bounds of the backoff after failed attempts to connect, in seconds.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class ConnState(enum.Enum):
    """The state of a connection."""

    OPENING = 'opening'
    IDLE = 'idle'
    BUSY = 'busy'
    #: In an open transaction, with no job running.
    PINNED = 'pinned'
    CLOSING = 'closing'


@attrs.define
class Conn:
    """A connection and the job that it runs; times in seconds.

    ``owner`` is the request, transaction or control job that the running
    job belongs to; None for a poll. ``values`` and ``prepared`` are the
    session settings and prepared statements that exist on the connection.
    It runs statements of ``tenant`` only; None means of all tenants. Its
    endpoint is known not to have been restarted since ``life_since``, which
    is at first the time at which the connection was open.
    """

    id: int
    endpoint: str
    tenant: str | None = None
    state: ConnState = ConnState.OPENING
    job: _jobs.Job | None = None
    owner: object = None
    sent_at: float = 0.0
    deadline: float = 0.0
    life_since: float = float('inf')
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: set[_types.Prepared] = attrs.field(factory=set)


@attrs.define
class Backoff:
    """Backoff after failed attempts to connect; times in seconds."""

    failures: int = 0
    not_before: float = float('-inf')


_EMPTY_SHARE = _shares.Share()


class Pool:
    """Connections by endpoint, never more than the proxy's share."""

    def __init__(
        self, shares: dict[str, _shares.Share], rng: random.Random
    ) -> None:
        self._shares = dict(shares)
        self._rng = rng
        self._conns: dict[int, Conn] = {}
        self._by_endpoint: dict[str, list[Conn]] = {}
        self._backoffs: dict[str, Backoff] = {}
        #: Endpoints with connections that may be of different processes.
        self._unlinked: set[str] = set()
        self._next_id = 1

    def __iter__(self):
        return iter(list(self._conns.values()))

    def get(self, conn_id: int) -> Conn | None:
        """Return a connection; None if it has ended."""
        return self._conns.get(conn_id)

    def of(self, endpoint: str) -> list[Conn]:
        """Return the connections to an endpoint, including closing ones."""
        return list(self._by_endpoint.get(endpoint, ()))

    def share(self, endpoint: str) -> _shares.Share:
        """Return this proxy's share of an endpoint's connections."""
        return self._shares.get(endpoint, _EMPTY_SHARE)

    def set_shares(self, shares: dict[str, _shares.Share]) -> None:
        """Replace the shares; the caller closes the excess connections."""
        self._shares = dict(shares)

    def idle(self, endpoint: str, tenant: str | None) -> Conn | None:
        """Return an idle connection of this tenant, or None."""
        for conn in self._by_endpoint.get(endpoint, ()):
            if conn.state is ConnState.IDLE and conn.tenant == tenant:
                return conn
        return None

    def any_idle(self, endpoint: str) -> Conn | None:
        """Return any idle connection, for the proxy's own statements."""
        for conn in self._by_endpoint.get(endpoint, ()):
            if conn.state is ConnState.IDLE:
                return conn
        return None

    def longest_idle(self, endpoint: str, tenant: str | None) -> Conn | None:
        """Return the longest idle connection of another tenant, or None."""
        conns = self._by_endpoint.get(endpoint, ())
        found = (
            conn
            for conn in conns
            if conn.state is ConnState.IDLE and conn.tenant != tenant
        )
        return min(found, key=lambda conn: conn.sent_at, default=None)

    def closing(self, endpoint: str) -> bool:
        """Return whether a connection is closing and will free its slot."""
        conns = self._by_endpoint.get(endpoint, ())
        return any(conn.state is ConnState.CLOSING for conn in conns)

    def last_used_idle(self, endpoint: str) -> Conn | None:
        """Return the idle connection that was used or opened last."""
        conns = self._by_endpoint.get(endpoint, ())
        ready = (conn for conn in conns if conn.state is ConnState.IDLE)
        return max(ready, key=lambda conn: conn.sent_at, default=None)

    def busy_count(self, endpoint: str) -> int:
        """Return the number of connections that are not idle."""
        conns = self._by_endpoint.get(endpoint, ())
        return sum(conn.state is not ConnState.IDLE for conn in conns)

    def in_use(self, endpoint: str) -> bool:
        """Return whether a connection is in use and may become idle."""
        busy = (ConnState.BUSY, ConnState.PINNED)
        conns = self._by_endpoint.get(endpoint, ())
        return any(conn.state in busy for conn in conns)

    def opening_for(self, endpoint: str, tenant: str | None) -> bool:
        """Return whether a connection of this tenant is being opened."""
        conns = self._by_endpoint.get(endpoint, ())
        return any(
            conn.state is ConnState.OPENING and conn.tenant == tenant
            for conn in conns
        )

    def opening_count(self, endpoint: str) -> int:
        """Return the number of connections that are being opened."""
        conns = self._by_endpoint.get(endpoint, ())
        return sum(conn.state is ConnState.OPENING for conn in conns)

    def open_count(self, endpoint: str) -> int:
        """Return the number of connections that can run jobs."""
        ended = (ConnState.OPENING, ConnState.CLOSING)
        conns = self._by_endpoint.get(endpoint, ())
        return sum(conn.state not in ended for conn in conns)

    def surplus(self, now: float) -> list[Conn]:
        """Return idle connections above the usual number, to be closed.

        The newest are returned first, since jobs go to the oldest idle one.
        Each has been idle for ``SURPLUS_IDLE_S`` seconds.
        """
        found = []
        for endpoint, conns in self._by_endpoint.items():
            has_tenants = any(conn.tenant for conn in conns)
            excess = len(conns) - self.share(endpoint).usual_limit(has_tenants)
            for conn in reversed(conns):
                idle_long = now - conn.sent_at >= _shares.SURPLUS_IDLE_S
                if excess > 0 and idle_long and conn.state is ConnState.IDLE:
                    found.append(conn)
                    excess -= 1
        return found

    def may_open(
        self,
        endpoint: str,
        now: float,
        grow: bool = False,
        has_tenants: bool = False,
    ) -> bool:
        """Return whether the share and the backoff allow another attempt.

        ``grow`` means that requests have waited long enough to exceed
        the usual number; ``has_tenants``, that connections belong to tenants.
        """
        open_count = len(self._by_endpoint.get(endpoint, ()))
        backoff = self._backoffs.get(endpoint)
        if backoff is not None and now < backoff.not_before:
            return False
        return self.share(endpoint).allows(open_count, grow, has_tenants)

    def share_is_full(self, endpoint: str) -> bool:
        """Return whether the connections to an endpoint use up the share."""
        open_count = len(self._by_endpoint.get(endpoint, ()))
        return open_count >= self.share(endpoint).limit

    def opening(self, endpoint: str) -> bool:
        """Return whether a connection to an endpoint is being opened."""
        conns = self._by_endpoint.get(endpoint, ())
        return any(conn.state is ConnState.OPENING for conn in conns)

    def open(self, endpoint: str, tenant: str | None, now: float) -> Conn:
        """Add a connection that is about to be opened.

        Raises InvariantBroken if it would exceed the share.
        """
        conn = Conn(self._next_id, endpoint, tenant, sent_at=now)
        self._next_id += 1
        self._conns[conn.id] = conn
        conns = self._by_endpoint.setdefault(endpoint, [])
        conns.append(conn)
        _types.invariant(
            len(conns) <= self.share(endpoint).limit,
            'more connections to the endpoint than its share allows',
        )
        return conn

    def opened(self, conn: Conn, now: float) -> None:
        """Mark a connection as idle and reset the endpoint's backoff."""
        if conn.state is ConnState.OPENING:
            conn.state = ConnState.IDLE
        conn.life_since = now
        self._unlinked.add(conn.endpoint)
        self._backoffs.pop(conn.endpoint, None)

    def answered(self, conn: Conn) -> None:
        """Record that the job on a connection was answered.

        The process that answers also accepted the endpoint's connections
        that were open when the job was sent, so it is the same one.
        """
        if conn.endpoint not in self._unlinked:
            return
        conns = self._by_endpoint.get(conn.endpoint, ())
        for other in conns:
            if other.life_since <= conn.sent_at:
                other.life_since = min(other.life_since, conn.life_since)
        if len({other.life_since for other in conns}) <= 1:
            self._unlinked.discard(conn.endpoint)

    def opening_timed_out(self, conn: Conn, now: float) -> None:
        """Back off after an attempt to connect that timed out."""
        self._back_off(conn.endpoint, now)

    def closed(self, conn: Conn, now: float) -> None:
        """Remove a connection; a failed attempt extends the backoff."""
        if conn.state is ConnState.OPENING:
            self._back_off(conn.endpoint, now)
        del self._conns[conn.id]
        self._by_endpoint[conn.endpoint].remove(conn)

    def _back_off(self, endpoint: str, now: float) -> None:
        backoff = self._backoffs.setdefault(endpoint, Backoff())
        longest = min(MIN_BACKOFF_S * 2**backoff.failures, MAX_BACKOFF_S)
        backoff.failures = min(backoff.failures + 1, 10)
        pause = self._rng.uniform(MIN_BACKOFF_S / 2, longest)
        backoff.not_before = now + pause

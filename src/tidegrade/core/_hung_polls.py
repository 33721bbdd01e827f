"""Detection of hung connections, as opposed to endpoints that are down.

A connection may stop responding for good while new connections to the same
endpoint work. So if a poll or a caller's statement hangs, the endpoint is
polled on a connection that was used later, or on a new one, long before the
silence makes the endpoint count as down.
"""

from collections.abc import Callable

from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _state

#: Number of recent round trips after which a job counts as hung. Without the
#: poll on another connection, a healthy primary counted as down after all
#: connections to it had gone silent, in 20 of 20 simulated cases without
#: callers and in 6 of 6 with one statement (shares of 1 to 10 connections);
#: with that poll, in none.
HUNG_ROUND_TRIPS = 5
#: Bounds of that wait, in seconds: many times the duration of a poll, and at
#: most half of the shortest silence after which an endpoint counts as down,
#: so that the other half remains for another connection.
MIN_HUNG_WAIT_S = 0.15
MAX_HUNG_WAIT_S = 0.3
#: Highest number of unanswered polls of one endpoint at a time. If the poll
#: on another connection hangs as well, a third gives no more information.
MAX_OUTSTANDING_POLLS = 2

Send = Callable[[_pool.Conn, float], None]


class HungPolls:
    """Detects and repeats hung polls of a group's endpoints.

    Times are in seconds.
    """

    def __init__(self, state: _state.GroupState, send: Send) -> None:
        self._state = state
        self._send = send
        self._silent_since: dict[str, float] = {}

    def sent(self, name: str, now: float) -> None:
        """Record that a poll of an endpoint is sent."""
        self._silent_since.setdefault(name, now)

    def repeat_hung(self, name: str, now: float) -> bool:
        """Poll on another connection if a job of an endpoint hangs.

        Returns whether a poll of the endpoint is outstanding.
        """
        self._record_failure(name, now)
        if all(conn.job is None for conn in self._state.pool.of(name)):
            # Neither a poll nor a statement can hang.
            return False
        self._close_overtaken(name, now)
        polls = self._outstanding(name)
        if not polls:
            return self._poll_for_hung_statement(name, now)
        newest = max(polls, key=lambda conn: conn.sent_at)
        if len(polls) < MAX_OUTSTANDING_POLLS and self._is_hung(newest, now):
            self._repeat(newest, now)
        return True

    def _repeat(self, hung: _pool.Conn, now: float) -> None:
        """Repeat a hung poll; close its connection if no other is possible."""
        if not self._poll_elsewhere(hung, now):
            self._state.close(hung)

    def _poll_for_hung_statement(self, name: str, now: float) -> bool:
        """Poll an endpoint that has not answered since a hung statement.

        Returns whether a poll of the endpoint is outstanding.
        """
        last_answer_at = self._state.views[name].last_answer_at
        for conn in self._state.pool.of(name):
            silent = conn.job is not None and conn.sent_at > last_answer_at
            if silent and self._is_hung(conn, now):
                self._poll_elsewhere(conn, now)
                break
        return bool(self._outstanding(name))

    def _record_failure(self, name: str, now: float) -> None:
        """Record a failure if no poll is answered within the limit."""
        since = self._silent_since.get(name)
        if since is None:
            return
        view = self._state.views[name]
        if view.last_answer_at >= since:
            del self._silent_since[name]
            return
        limit = self._state.cfg.suspect_after_s
        if not view.failures and now - since >= limit:
            view.record_failure(False, now)

    def _close_overtaken(self, name: str, now: float) -> None:
        """Close hung connections if a later poll was answered.

        Otherwise the poll on such a connection would be repeated at each
        check until its timeout: 10 polls in 0.7 s instead of 4 in a
        simulation.
        """
        answered = self._state.views[name].sent_at
        for conn in self._outstanding(name):
            if conn.sent_at < answered and self._is_hung(conn, now):
                self._state.close(conn)

    def _outstanding(self, name: str) -> list[_pool.Conn]:
        return [
            conn
            for conn in self._state.pool.of(name)
            if isinstance(conn.job, _jobs.StatusJob) and conn.owner is None
        ]

    def _is_hung(self, conn: _pool.Conn, now: float) -> bool:
        round_trip = self._state.views[conn.endpoint].round_trip
        usual = round_trip * HUNG_ROUND_TRIPS
        wait = min(max(usual, MIN_HUNG_WAIT_S), MAX_HUNG_WAIT_S)
        return now - conn.sent_at >= wait

    def _poll_elsewhere(self, hung: _pool.Conn, now: float) -> bool:
        """Poll on a connection that was used later, or open a new one.

        Connections used earlier may have gone silent together with ``hung``;
        they are polled only if no new one may be opened. Returns whether a
        poll was sent, or a connection is being opened or can be later.
        """
        name = hung.endpoint
        pool = self._state.pool
        other = pool.last_used_idle(name)
        if other is None or other.sent_at <= hung.sent_at:
            own = self._state.own_tenant
            self._state.open_if_allowed(name, own, now, grow=True)
            if pool.opening(name) or not pool.share_is_full(name):
                return True
        if other is None:
            return False
        self.sent(name, now)
        self._send(other, now)
        return True

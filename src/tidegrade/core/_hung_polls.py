"""Jobs without an answer: is it the connection or the endpoint?

A connection may go silent for good while new ones to the same endpoint
work. So where a poll or a caller's statement hangs, the endpoint is polled
on a connection that was used later, or a new one, long before the silence
counts against it.
"""

from collections.abc import Callable

from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _state

#: Round trips of late after which a job counts as hanging. Without the poll
#: elsewhere a healthy primary counted as down once all connections to it had
#: gone silent, in 20 of 20 cases without callers and in 6 of 6 with one
#: statement (a machine in virtual time with shares of 1 to 10 connections);
#: with it in none.
HUNG_ROUND_TRIPS = 5
#: Bounds of that wait, in seconds: many times what a poll takes, and half of
#: the shortest silence after which an endpoint counts as down, so that
#: another connection has the other half.
LEAST_WAIT = 0.15
MOST_WAIT = 0.3
#: Polls of one endpoint that may be without an answer at a time. If the one
#: on another connection hangs as well, a third would tell no more.
MOST_AT_ONCE = 2

Send = Callable[[_pool.Conn, float], None]


class HungPolls:
    """Looks after the polls of a group's endpoints that are under way."""

    def __init__(self, state: _state.GroupState, send: Send) -> None:
        self._state = state
        self._send = send
        self._silent_since: dict[str, float] = {}

    def sent(self, name: str, now: float) -> None:
        """Note that a poll of an endpoint leaves."""
        self._silent_since.setdefault(name, now)

    def look_after(self, name: str, now: float) -> bool:
        """Ask elsewhere if a job hangs; tell whether a poll is under way."""
        self._judge_silence(name, now)
        self._end_overtaken(name, now)
        asked = self._under_way(name)
        if not asked:
            return self._ask_beside_statements(name, now)
        newest = max(asked, key=lambda conn: conn.sent_at)
        if len(asked) < MOST_AT_ONCE and self._hangs(newest, now):
            self._repeat(newest, now)
        return True

    def _repeat(self, hung: _pool.Conn, now: float) -> None:
        """Repeat a poll; its connection makes room if there is none."""
        if not self._ask_elsewhere(hung, now):
            self._state.close(hung)

    def _ask_beside_statements(self, name: str, now: float) -> bool:
        """Poll where a statement hangs and nothing was heard since."""
        heard = self._state.views[name].last_answer_at
        for conn in self._state.pool.of(name):
            silent = conn.job is not None and conn.sent_at > heard
            if silent and self._hangs(conn, now):
                self._ask_elsewhere(conn, now)
                break
        return bool(self._under_way(name))

    def _judge_silence(self, name: str, now: float) -> None:
        """Count a failure once no poll, on any connection, was answered."""
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

    def _end_overtaken(self, name: str, now: float) -> None:
        """Close connections that hang though a later poll was answered.

        The poll on one would else be repeated at each look until its limit:
        10 polls in 0.7 s instead of 4 (a machine in virtual time).
        """
        answered = self._state.views[name].sent_at
        for conn in self._under_way(name):
            if conn.sent_at < answered and self._hangs(conn, now):
                self._state.close(conn)

    def _under_way(self, name: str) -> list[_pool.Conn]:
        return [
            conn
            for conn in self._state.pool.of(name)
            if isinstance(conn.job, _jobs.StatusJob) and conn.owner is None
        ]

    def _hangs(self, conn: _pool.Conn, now: float) -> bool:
        round_trip = self._state.views[conn.endpoint].round_trip
        usual = round_trip * HUNG_ROUND_TRIPS
        wait = min(max(usual, LEAST_WAIT), MOST_WAIT)
        return now - conn.sent_at >= wait

    def _ask_elsewhere(self, hung: _pool.Conn, now: float) -> bool:
        """Poll on a connection that was used later, or open a new one.

        Others may have gone silent with it; they are asked only where no
        more may be opened. Tells whether anything of this could be done.
        """
        name = hung.endpoint
        pool = self._state.pool
        other = pool.idle_last_used(name)
        if other is None or other.sent_at <= hung.sent_at:
            own = self._state.own_tenant
            self._state.open_if_allowed(name, own, now, pressed=True)
            if pool.opening(name) or not pool.is_full(name):
                return True
        if other is None:
            return False
        self.sent(name, now)
        self._send(other, now)
        return True

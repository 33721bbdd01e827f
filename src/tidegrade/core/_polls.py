"""Polling endpoints for their reports, no more often than is useful."""

from tidegrade.core import _confirm
from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _state

#: Pause between polls while a committed write waits for replicas.
CONFIRM_INTERVAL = 0.008
#: Time that an attempt to connect may take, in seconds.
CONNECT_TIMEOUT = 1.0


class Polling:
    """Keeps the reports of a group's endpoints fresh.

    Every statement brings a report too, so a busy endpoint is polled
    only when no statement ended within the interval.
    """

    def __init__(
        self,
        state: _state.GroupState,
        confirmations: _confirm.Confirmations,
    ) -> None:
        self._state = state
        self._confirmations = confirmations
        self._sent: dict[str, float] = {}

    def poll_due(self, now: float) -> None:
        """Poll each endpoint whose report is due."""
        lacking = self._confirmations.lacking()
        for name in self._state.cfg.endpoints:
            interval = self._state.cfg.poll_interval_s
            if name in lacking:
                interval = CONFIRM_INTERVAL
            if now - self._last(name) >= interval:
                self._poll(name, now)

    def hurry(self) -> None:
        """Make every poll due, as when the term has changed."""
        self._sent.clear()
        for view in self._state.views.values():
            view.sent_at = float('-inf')

    def _last(self, name: str) -> float:
        sent = self._sent.get(name, float('-inf'))
        return max(sent, self._state.views[name].sent_at)

    def _poll(self, name: str, now: float) -> None:
        if self._in_flight(name):
            return
        conn = self._state.pool.idle(name)
        if conn is None:
            self._open_first(name, now)
            return
        self._sent[name] = now
        deadline = now + self._state.cfg.suspect_after_s
        self._state.run(conn, _jobs.StatusJob(), None, deadline, now)

    def _open_first(self, name: str, now: float) -> None:
        """Open a connection for polling where there is none at all."""
        if not self._state.pool.of(name):
            self._state.open_if_allowed(name, now)

    def _in_flight(self, name: str) -> bool:
        return any(
            isinstance(conn.job, _jobs.StatusJob)
            for conn in self._state.pool.of(name)
        )

    def stuck(self, now: float) -> list[_pool.Conn]:
        """Give the connections whose opening takes too long."""
        return [
            conn
            for conn in self._state.pool
            if conn.state is _pool.ConnState.OPENING
            and now - conn.sent_at > CONNECT_TIMEOUT
        ]

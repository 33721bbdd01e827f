"""Polling endpoints for their reports, no more often than is useful."""

import typing

from tidegrade.core import _confirm
from tidegrade.core import _hung_polls
from tidegrade.core import _jobs
from tidegrade.core import _permission
from tidegrade.core import _pool
from tidegrade.core import _state

#: Pause between polls while a committed write waits for replicas.
CONFIRM_INTERVAL = 0.008
#: Time that an attempt to connect may take, in seconds.
CONNECT_TIMEOUT = 1.0
#: A proxy that others don't keep informed asks by itself when this much
#: of its permission is left, in seconds: two round trips and a retry.
OWN_POLL_MARGIN = 0.3
#: Pause between polls of an endpoint that another proxy finds down.
SUSPECT_INTERVAL = 0.15
#: Pause before a poll that brought no grant is repeated, in seconds.
RETRY_INTERVAL = 0.1
#: The same for an endpoint that has been failing.
FAILING_INTERVAL = 0.4


class PollPlan(typing.Protocol):
    """Says which endpoints are to be asked for a report."""

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Tell whether to ask; the last poll left at ``sent_at``."""


class EveryEndpoint:
    """Asks every endpoint at the configured pace; reports cost nothing."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Tell whether the last report of any kind is old enough."""
        last = max(sent_at, self._state.views[name].sent_at)
        return now - last >= self._state.cfg.poll_interval_s


class SharedReports:
    """Asks no more endpoints than the permission needs.

    One proxy a group asks at the configured pace and tells the others,
    which ask only when they aren't told in time. Asked are the primary
    and one replica, in turn, since these are a majority of three.
    """

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Tell whether a grant of this member is wanted."""
        state = self._state
        row = state.row
        if row is None or name not in row.members:
            return False
        if now - sent_at < self._pause(name):
            return False
        if state.views[name].failures:
            # It gets no work until it has answered again.
            return True
        newest = state.permission.granted_at(name)
        if name != row.primary:
            replicas = frozenset(row.members & state.cfg.endpoints.keys())
            replicas -= {row.primary}
            newest = max(map(state.permission.granted_at, replicas))
            if not self._next_in_turn(name, replicas):
                return False
        return now - newest >= self._oldest()

    def _oldest(self) -> float:
        """Give how old the newest grant may become, in seconds."""
        if self._state.polls_for_peers:
            return self._state.cfg.poll_interval_s
        return _permission.PERMISSION_LENGTH - OWN_POLL_MARGIN

    def _pause(self, name: str) -> float:
        if self._state.views[name].failures:
            return FAILING_INTERVAL
        return RETRY_INTERVAL

    def _next_in_turn(self, name: str, replicas: frozenset[str]) -> bool:
        """Tell whether no other replica that answers was asked earlier."""
        if self._state.views[name].failures:
            return True
        granted_at = self._state.permission.granted_at
        return all(
            (granted_at(name), name) <= (granted_at(other), other)
            for other in replicas
            if not self._state.views[other].failures
        )


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
        self._suspected: dict[str, float] = {}
        self._hung = _hung_polls.HungPolls(state, self._send)
        self._plan: PollPlan = EveryEndpoint(state)
        if state.settings.traits.status_is_costly:
            self._plan = SharedReports(state)

    def poll_due(self, now: float) -> None:
        """Poll each endpoint whose report is due."""
        lacking = self._confirmations.lacking()
        for name in self._state.cfg.endpoints:
            if self._hung.look_after(name, now):
                continue
            sent_at = self._sent.get(name, float('-inf'))
            if name in lacking:
                last = max(sent_at, self._state.views[name].sent_at)
                due = now - last >= CONFIRM_INTERVAL
            elif self._is_suspected(name):
                due = now - sent_at >= SUSPECT_INTERVAL
            else:
                due = self._plan.due(name, sent_at, now)
            if due:
                self._poll(name, now)

    def suspect(self, name: str, now: float) -> None:
        """Look at an endpoint soon that somebody else finds down."""
        self._suspected[name] = now

    def hurry(self) -> None:
        """Make every poll due, as when the term has changed."""
        self._sent.clear()
        for view in self._state.views.values():
            view.sent_at = float('-inf')

    def _is_suspected(self, name: str) -> bool:
        """Tell whether an endpoint has not answered since the suspicion."""
        suspected = self._suspected.get(name)
        if suspected is None:
            return False
        if self._state.views[name].last_answer_at > suspected:
            del self._suspected[name]
            return False
        return True

    def _poll(self, name: str, now: float) -> None:
        conn = self._state.pool.idle_any(name)
        if conn is None:
            self._open_first(name, now)
            return
        self._sent[name] = now
        self._hung.sent(name, now)
        self._send(conn, now)

    def _send(self, conn: _pool.Conn, now: float) -> None:
        deadline = now + self._state.cfg.suspect_after_s
        self._state.start_job(conn, _jobs.StatusJob(), None, deadline, now)

    def _open_first(self, name: str, now: float) -> None:
        """Open a connection for polling where there is none at all."""
        if not self._state.pool.of(name):
            self._state.open_if_allowed(name, self._state.own_tenant, now)

    def stuck(self, now: float) -> list[_pool.Conn]:
        """Give the connections whose opening takes too long."""
        return [
            conn
            for conn in self._state.pool
            if conn.state is _pool.ConnState.OPENING
            and now - conn.sent_at > CONNECT_TIMEOUT
        ]

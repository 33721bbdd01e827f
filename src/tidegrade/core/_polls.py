"""Polls endpoints for their reports, at a limited rate."""

import typing

from tidegrade.core import _confirm
from tidegrade.core import _hung_polls
from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _state
from tidegrade.core.permission import _permission

#: Interval between polls, in seconds, while a committed write waits for
#: replicas.
CONFIRM_INTERVAL_S = 0.008
#: Timeout of a connection attempt, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Remaining length of the permission, in seconds, at which a proxy that
#: receives no reports from a peer polls by itself. It covers two round trips
#: and a retry.
OWN_POLL_MARGIN_S = 0.3
#: Interval between polls, in seconds, of an endpoint that another proxy
#: considers down.
SUSPECT_INTERVAL_S = 0.15
#: Delay, in seconds, before a poll that returned no grant is repeated.
RETRY_INTERVAL_S = 0.1
#: Delay, in seconds, before an endpoint whose requests have failed is polled
#: again.
FAILING_INTERVAL_S = 0.4


class PollPlan(typing.Protocol):
    """Decides which endpoints are due for a poll."""

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Return whether to poll; the last poll was sent at ``sent_at``."""


class EveryEndpoint:
    """Polls every endpoint at the configured interval.

    It is used where reports don't occupy a slot.
    """

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Return whether the last request is older than the interval."""
        last = max(sent_at, self._state.views[name].sent_at)
        return now - last >= self._state.cfg.poll_interval_s


class SharedReports:
    """Polls only as many endpoints as the permission needs.

    One proxy of each group polls at the configured interval and shares the
    reports with the others, which poll only if they don't receive them in
    time. The primary and one replica are polled, since they are a majority
    of three; the replicas take turns.
    """

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    def due(self, name: str, sent_at: float, now: float) -> bool:
        """Return whether a new grant of this member is needed."""
        state = self._state
        row = state.row
        if row is None or name not in row.members:
            return False
        if now - sent_at < self._min_interval(name):
            return False
        if state.views[name].failures:
            # The endpoint is given no work until it has answered a poll.
            return True
        newest = state.permission.granted_at(name)
        if name != row.primary:
            replicas = frozenset(row.members & state.cfg.endpoints.keys())
            replicas -= {row.primary}
            newest = max(map(state.permission.granted_at, replicas))
            if not self._next_in_turn(name, replicas):
                return False
        return now - newest >= self._max_grant_age()

    def _max_grant_age(self) -> float:
        """Return the maximum age of the newest grant, in seconds."""
        if self._state.polls_for_peers:
            return self._state.cfg.poll_interval_s
        return _permission.PERMISSION_LENGTH - OWN_POLL_MARGIN_S

    def _min_interval(self, name: str) -> float:
        if self._state.views[name].failures:
            return FAILING_INTERVAL_S
        return RETRY_INTERVAL_S

    def _next_in_turn(self, name: str, replicas: frozenset[str]) -> bool:
        """Return whether no replica that answers has an older grant.

        A replica whose requests have failed is always next, so that its
        recovery is noticed.
        """
        if self._state.views[name].failures:
            return True
        granted_at = self._state.permission.granted_at
        return all(
            (granted_at(name), name) <= (granted_at(other), other)
            for other in replicas
            if not self._state.views[other].failures
        )


class Polling:
    """Polls the endpoints of a group so that their reports stay current.

    Every statement also returns a report, so a busy endpoint is polled only
    if the request that returned its newest report is older than the interval.
    """

    def __init__(
        self,
        state: _state.GroupState,
        confirmations: _confirm.Confirmations,
    ) -> None:
        self._state = state
        self._confirmations = confirmations
        self._last_poll_at: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}
        self._hung = _hung_polls.HungPolls(state, self._send)
        self._poll_plan: PollPlan = EveryEndpoint(state)
        if state.settings.traits.status_is_costly:
            self._poll_plan = SharedReports(state)

    def poll_due(self, now: float) -> None:
        """Poll each endpoint whose report is due."""
        lagging_replicas = self._confirmations.lagging_replicas()
        for name in self._state.cfg.endpoints:
            if self._hung.repeat_hung(name, now):
                continue
            sent_at = self._last_poll_at.get(name, float('-inf'))
            if name in lagging_replicas:
                last = max(sent_at, self._state.views[name].sent_at)
                due = now - last >= CONFIRM_INTERVAL_S
            elif self._is_suspected(name):
                due = now - sent_at >= SUSPECT_INTERVAL_S
            else:
                due = self._poll_plan.due(name, sent_at, now)
            if due:
                self._poll(name, now)

    def suspect(self, name: str, now: float) -> None:
        """Poll an endpoint soon because another proxy considers it down."""
        self._suspected_at[name] = now

    def make_all_due(self) -> None:
        """Make all polls due at once, as after a change of term."""
        self._last_poll_at.clear()
        for view in self._state.views.values():
            view.sent_at = float('-inf')

    def _is_suspected(self, name: str) -> bool:
        """Return whether an endpoint was suspected after its last answer."""
        suspected = self._suspected_at.get(name)
        if suspected is None:
            return False
        if self._state.views[name].last_answer_at > suspected:
            del self._suspected_at[name]
            return False
        return True

    def _poll(self, name: str, now: float) -> None:
        conn = self._state.pool.any_idle(name)
        if conn is None:
            self._open_connection(name, now)
            return
        self._last_poll_at[name] = now
        self._hung.sent(name, now)
        self._send(conn, now)

    def _send(self, conn: _pool.Conn, now: float) -> None:
        deadline = now + self._state.cfg.suspect_after_s
        self._state.start_job(conn, _jobs.StatusJob(), None, deadline, now)

    def _open_connection(self, name: str, now: float) -> None:
        """Open a connection for polling to an endpoint that has none."""
        if not self._state.pool.of(name):
            self._state.open_if_allowed(name, self._state.own_tenant, now)

    def overdue_openings(self, now: float) -> list[_pool.Conn]:
        """Return the connections whose opening has exceeded the timeout."""
        return [
            conn
            for conn in self._state.pool
            if conn.state is _pool.ConnState.OPENING
            and now - conn.sent_at > CONNECT_TIMEOUT_S
        ]

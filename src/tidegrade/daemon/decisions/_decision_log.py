"""Logs changes of a group's permission and of its endpoints."""

from tidegrade import core
from tidegrade.core.tracing import _endpoint_history
from tidegrade.daemon.decisions import _fields
from tidegrade import logs

#: Reason of 1311 for a permission that ended with its term.
NEW_TERM = 'new_term'


class DecisionLog:
    """Writes a line for each change, not for each renewal."""

    def __init__(self, group: str, machine: core.GroupMachine) -> None:
        self._group = group
        self._machine = machine
        self._held_term = 0

    def observe(self, now: float) -> None:
        """Log what has changed with the last event."""
        term = self._term_held(now)
        if term != self._held_term:
            former, self._held_term = self._held_term, term
            self._log_permission(former, now)
        for change in self._machine.take_endpoint_changes():
            self._log_endpoint(change)

    def _term_held(self, now: float) -> int:
        """Return the term whose permission is held, 0 if there is none."""
        row = self._machine.row
        if row is None or not self._machine.may_acknowledge(now):
            return 0
        return row.term

    def _log_permission(self, former: int, now: float) -> None:
        state = self._machine.permission_state(now)
        fields: dict[str, object] = {
            'group': self._group,
            'term': state.term,
            'held': state.reason is None,
        }
        if former:
            fields['former_term'] = former
        if former and former != state.term:
            fields['reason'] = NEW_TERM
        elif state.reason is not None:
            fields['reason'] = state.reason.value
        if state.left is not None:
            fields['left_ms'] = round(state.left * 1000)
        logs.write_bounded(
            logs.LogEvent.PERMISSION_CHANGED,
            grants=_fields.grant_fields(state.grants),
            uncounted=_fields.grant_fields(state.uncounted),
            **fields,
        )

    def _log_endpoint(self, change: _endpoint_history.EndpointChange) -> None:
        if isinstance(change, _endpoint_history.ReachedAgain):
            logs.write_bounded(
                logs.LogEvent.ENDPOINT_REACHED,
                group=self._group,
                endpoint=change.endpoint,
                away_ms=round(change.away * 1000),
                failures=change.failures,
                refused=change.refused,
            )
            return
        logs.write_bounded(
            logs.LogEvent.ENDPOINT_REPORTED,
            group=self._group,
            endpoint=change.endpoint,
            reconnected=change.reconnected,
            **_fields.report_fields(change.report),
            **_fields.report_fields(change.former, 'former_'),
        )

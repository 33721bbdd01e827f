"""Processing of the reports that endpoints return with statements."""

from tidegrade.core import _events
from tidegrade.core import _row
from tidegrade.core import _state
from tidegrade.core import _types


def observe(
    state: _state.GroupState,
    name: str,
    report: _types.EndpointReport,
    sent_at: float,
    now: float,
    life_since: float,
) -> None:
    """Process an endpoint's report whose request was sent at ``sent_at``.

    The endpoint has not been restarted since ``life_since``. The report
    updates the view of the endpoint, the endpoint's grant of the permission
    to acknowledge, the samples of the primary's position, and the
    replication delay of a replica.
    """
    state.views[name].record_report(report, sent_at, now)
    row = state.row
    if row is None:
        return
    if report.promised is not None and _may_grant(state, row, report):
        state.permission.answered(
            name, report.promised, sent_at, life_since, now
        )
    promised = report.promised or 0
    if report.marker > row.marker or promised > row.term:
        state.emit(_events.FetchRow())
    if not state.is_current(name, report):
        return
    if report.repeats_position:
        # An earlier position must not be dated by this request: a replica
        # at that position may lack later writes.
        return
    if name == row.primary:
        state.record_position(sent_at, report.lsn)
    else:
        _measure_delay(state, name, report.lsn, sent_at)


def _may_grant(
    state: _state.GroupState,
    row: _row.GroupRow,
    report: _types.EndpointReport,
) -> bool:
    """Return whether a report can grant or deny the current term.

    If the start of a term clears promises, an endpoint whose data is of the
    next term reports no promise, and it grants nothing for this term. An
    endpoint that has promised exactly this term grants it even before it
    follows the primary.
    """
    if not state.settings.traits.promotion_clears_promises:
        return True
    return report.marker == row.marker or report.promised == row.term


def _measure_delay(
    state: _state.GroupState, name: str, applied: int, sent_at: float
) -> None:
    """Update a replica's delay within the bounds of its report."""
    view = state.views[name]
    upper = sent_at - state.samples.fresh_at(applied)
    missing_since = state.samples.reached_at(applied + 1)
    lower = 0.0
    if missing_since is not None:
        lower = sent_at - missing_since
    if upper == float('inf'):
        upper = max(lower, view.apply_delay)
    delay = min(max(view.apply_delay, lower), max(upper, 0.0))
    view.record_delay(delay)

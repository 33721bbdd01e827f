"""Taking in what endpoints report beside every statement."""

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
) -> None:
    """Take in a report of an endpoint whose request left at ``sent_at``.

    It renews the view of the endpoint, its grant of the permission, the
    primary's positions over time, and the delay of a replica.
    """
    state.views[name].reported(report, sent_at, now)
    row = state.row
    if row is None:
        return
    if report.promised is not None and _may_grant(state, row, report):
        state.permission.answered(name, report.promised, sent_at)
    promised = report.promised or 0
    if report.marker > row.marker or promised > row.term:
        state.order(_events.FetchRow())
    if not state.is_current(name, report):
        return
    if name == row.primary:
        state.note_position(sent_at, report.lsn)
    else:
        _measure_delay(state, name, report.lsn, sent_at)


def _may_grant(
    state: _state.GroupState,
    row: _row.GroupRow,
    report: _types.EndpointReport,
) -> bool:
    """Tell whether a report can speak for or against the current term.

    Where the next term's beginning clears a promise, an endpoint whose
    data is of that term shows no promise and grants nothing of this one.
    One that has promised just this term grants it, before it follows.
    """
    if not state.settings.traits.promotion_clears_promises:
        return True
    return report.marker == row.marker or report.promised == row.term


def _measure_delay(
    state: _state.GroupState, name: str, applied: int, sent_at: float
) -> None:
    """Hold the delay of a replica within what its report shows."""
    view = state.views[name]
    longest = sent_at - state.samples.fresh_at(applied)
    lacks_since = state.samples.reached_at(applied + 1)
    shortest = 0.0
    if lacks_since is not None:
        shortest = sent_at - lacks_since
    if longest == float('inf'):
        longest = max(shortest, view.apply_delay)
    delay = min(max(view.apply_delay, shortest), max(longest, 0.0))
    view.measured_delay(delay)

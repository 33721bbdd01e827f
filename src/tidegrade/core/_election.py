"""The choice of the primary of the next term."""

import attrs

from tidegrade.core import _row
from tidegrade.core import _types


@attrs.frozen
class ElectionState:
    """The state from which the next primary is chosen.

    ``fenced`` holds the reports of the endpoints that have promised the
    next term, ``to_come`` the members of the next term and ``leaving`` the
    endpoints that get no new work. ``may_wait`` says that there is time
    left for a replica to catch up. ``failing`` holds the endpoints that fail
    callers' statements.
    """

    fenced: dict[str, _types.EndpointReport]
    to_come: frozenset[str]
    leaving: frozenset[str]
    may_wait: bool
    failing: frozenset[str] = frozenset()


def choose_primary(row: _row.GroupRow, known: ElectionState) -> str | None:
    """Return the endpoint to promote, or None if none is safe yet.

    A majority of the members holds every confirmed write, so any fenced
    majority contains an endpoint that has it, and the one with the newest
    data has all of them. If that endpoint is not eligible, another must
    first catch up with it, unless the eligible endpoints are a majority by
    themselves. Of endpoints with equally new data, one that fails callers'
    statements comes last, and one that follows a newer term comes first.
    """
    if len(set(known.fenced) & row.members) < row.majority:
        return None
    eligible = {
        name: report
        for name, report in known.fenced.items()
        if name in known.to_come and name not in known.leaving
    }
    if not eligible:
        return None
    newest = max(data_rank(report) for report in known.fenced.values())
    best = max(
        eligible,
        key=lambda n: (
            data_rank(eligible[n]),
            n not in known.failing,
            eligible[n].marker,
            n,
        ),
    )
    if data_rank(eligible[best]) >= newest:
        return best
    complete = len(set(eligible) & row.members) >= row.majority
    if known.may_wait or not complete:
        return None
    return best


def has_fenced_majorities(
    row: _row.GroupRow, fenced: set[str], to_come: frozenset[str]
) -> bool:
    """Return whether enough endpoints are fenced to choose a primary.

    That takes a majority of the current members and one of the next.
    """
    current = len(fenced & row.members) >= row.majority
    upcoming = len(fenced & to_come) >= len(to_come) // 2 + 1
    return current and upcoming


def data_rank(report: _types.EndpointReport) -> tuple[int, int]:
    """Return a sort key for endpoints; the greatest has the newest data.

    The term of the last received entry is compared first, since a longer log
    of an older term lacks the writes that the newer term has acknowledged.
    Logs that end in the same term differ only in length. The term that an
    endpoint follows says nothing about its data until it has received an
    entry of that term: it can have less of the former term than an endpoint
    that has not begun to follow.
    """
    return (report.received.term, report.received.lsn)

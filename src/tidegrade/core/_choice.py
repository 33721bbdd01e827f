"""Which endpoint leads the next term."""

import attrs

from tidegrade.core import _row
from tidegrade.core import _types


@attrs.frozen
class Candidates:
    """What is known when the next primary is chosen.

    ``fenced`` are the reports of endpoints that have promised the next
    term; ``to_come`` the members of the next term; ``leaving`` those that
    get no new work. ``may_wait`` says that there is time left for a
    replica to catch up.
    """

    fenced: dict[str, _types.EndpointReport]
    to_come: frozenset[str]
    leaving: frozenset[str]
    may_wait: bool


def choose(row: _row.GroupRow, known: Candidates) -> str | None:
    """Give the endpoint to promote, or None while none is safe.

    A confirmed write is held by a majority of the members, so any fenced
    majority contains an endpoint that has it; the newest of them has all.
    If that one may not lead, another must catch up with it, unless the
    eligible ones are a majority by themselves.
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
    best = max(eligible, key=lambda n: (data_rank(eligible[n]), n))
    if data_rank(eligible[best]) >= newest:
        return best
    complete = len(set(eligible) & row.members) >= row.majority
    if known.may_wait or not complete:
        return None
    return best


def enough_fenced(
    row: _row.GroupRow, fenced: set[str], to_come: frozenset[str]
) -> bool:
    """Tell if majorities of the members now and to come are fenced."""
    old = len(fenced & row.members) >= row.majority
    new = len(fenced & to_come) >= len(to_come) // 2 + 1
    return old and new


def data_rank(report: _types.EndpointReport) -> tuple[int, int]:
    """Order endpoints by how new their data is.

    The term marked in the data goes first: a longer log of an older term
    lacks what the newer term has acknowledged.
    """
    return (report.marker, report.received_lsn)

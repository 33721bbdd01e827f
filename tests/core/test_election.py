"""The choice of the endpoint whose log has every confirmed write."""

import machines
import pytest

from tidegrade import core
from tidegrade.core import _election

ALL = frozenset(machines.NAMES)
ROW = core.GroupRow(2, 'b', ALL)


def fenced(marker: int, term: int, lsn: int) -> core.EndpointReport:
    """Return the report of an endpoint that has promised term 3."""
    return machines.report(
        0, marker=marker, received=core.Position(term, lsn), promised=3
    )


@pytest.mark.parametrize(
    ('newest', 'other'),
    [
        (fenced(2, 1, 200), fenced(2, 1, 199)),
        (fenced(1, 1, 200), fenced(2, 1, 199)),
        (fenced(2, 2, 3), fenced(1, 1, 200)),
        (fenced(2, 2, 3), fenced(2, 1, 200)),
        (fenced(2, 1, 200), fenced(1, 1, 200)),
    ],
    ids=str,
)
def test_the_last_entry_received_decides(newest, other):
    """Acknowledged writes were lost before the first commit of a term.

    All endpoints still reported positions of the former term, and the choice
    fell on the last name, whatever each had received.
    """
    known = _election.ElectionState(
        {'a': newest, 'c': other}, ALL, frozenset(), may_wait=False
    )
    assert _election.choose_primary(ROW, known) == 'a'

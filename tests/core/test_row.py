"""Mapping of session positions to the current term."""

from hypothesis import given
from hypothesis import strategies as st

from tidegrade import core
from tidegrade.core import _row

MEMBERS = frozenset({'a', 'b', 'c'})


def row_with(*forks: tuple[int, int], term: int) -> core.GroupRow:
    return core.GroupRow(
        term=term,
        primary='a',
        members=MEMBERS,
        forks=tuple(core.Fork(t, end) for t, end in forks),
    )


def test_position_before_the_fork_is_kept():
    row = row_with((1, 100), term=2)
    assert _row.floor_lsn(row, core.Position(1, 100)).unwrap() == 100


def test_position_past_the_fork_is_lost():
    row = row_with((1, 100), term=2)
    found = _row.floor_lsn(row, core.Position(1, 101))
    assert found.unwrap_err() is _row.FloorProblem.LOST


def test_position_past_a_later_fork_is_lost():
    row = row_with((1, 300), (2, 200), term=3)
    found = _row.floor_lsn(row, core.Position(1, 250))
    assert found.unwrap_err() is _row.FloorProblem.LOST


def test_a_position_of_a_newer_term_is_reported():
    row = row_with(term=1)
    found = _row.floor_lsn(row, core.Position(2, 1))
    assert found.unwrap_err() is _row.FloorProblem.NEWER_TERM


def test_a_request_without_a_floor_has_lsn_zero():
    assert _row.floor_lsn(row_with(term=1), None).unwrap() == 0


@given(
    ends=st.lists(st.integers(1, 50), min_size=1, max_size=4),
    term=st.integers(1, 4),
    lsn=st.integers(1, 60),
)
def test_a_position_counts_only_if_every_later_fork_covers_it(ends, term, lsn):
    forks = tuple((index + 1, end) for index, end in enumerate(ends))
    row = row_with(*forks, term=len(ends) + 1)
    found = _row.floor_lsn(row, core.Position(term, lsn))
    covered = all(end >= lsn for t, end in forks if t >= term)
    assert found.is_ok() == (covered and term <= row.term)

"""Who votes in the next term, and when a term ends for that alone."""

import attrs
import pytest

from tidegrade import config
from tidegrade import core
from tidegrade.core import _membership
from tidegrade.core import _watching
from tidegrade.core import supervision

NONE: frozenset[str] = frozenset()
ROW = core.GroupRow(1, 'a', frozenset('abc'))


def seen(names: str, **changes) -> supervision.Observed:
    """Give an observation of a healthy group with these endpoints."""
    cfg = config.Group(
        endpoints={name: config.Endpoint(name, 1, 'x') for name in names},
        initial_primary='a',
    )
    fields = {
        'cfg': cfg,
        'config_version': 0,
        'row': ROW,
        'own': core.Opinion('p', 1, False),
        'opinions': (),
        'peers': (),
        'leaving': NONE,
        'to_follow': NONE,
        'reachable': frozenset(names),
        **changes,
    }
    return supervision.Observed(**fields)


def test_who_leaves_gives_its_vote_to_who_came():
    found = seen('abcd', leaving=frozenset('c'))
    assert _membership.to_come(found) == frozenset('abd')


def test_who_is_gone_gives_its_vote_to_who_came():
    found = seen('abcd', gone=frozenset('b'), reachable=frozenset('acd'))
    assert _membership.to_come(found) == frozenset('acd')


def test_a_vote_is_kept_while_nobody_takes_it_over():
    assert _membership.to_come(
        seen('abc', leaving=frozenset('c'))
    ) == frozenset('abc')
    gone_and_leaving = seen(
        'abcd', leaving=frozenset('b'), gone=frozenset('c')
    )
    assert _membership.to_come(gone_and_leaving) == frozenset('abd')


def test_who_came_votes_beside_the_others():
    assert _membership.to_come(seen('abcd')) == frozenset('abcd')


@pytest.fixture
def watch() -> _watching.Watch:
    made = _watching.Watch('g', 'p')
    made.observe(seen('abc'), 0.0)
    return made


def reasons(watch, found, *times: float) -> list[str]:
    """Give what the watch says at each time."""
    said = []
    for now in times:
        watch.observe(found, now)
        said.append(watch.reason_to_begin(found, now))
    return said


def test_a_replaced_replica_ends_the_term_once_that_is_settled(watch):
    """Found on a day: two of four voters were in a domain that was cut."""
    found = seen('abcd', leaving=frozenset('c'))
    assert reasons(watch, found, 10.0, 13.0) == ['', '']
    assert reasons(watch, found, 14.5) != ['']


def test_it_waits_until_all_who_are_to_vote_answer(watch):
    found = seen('abcd', leaving=frozenset('c'), reachable=frozenset('abc'))
    assert reasons(watch, found, 10.0, 15.0, 20.0) == ['', '', '']


def test_nothing_ends_while_nobody_takes_a_vote_over(watch):
    found = seen('abc', gone=frozenset('c'), reachable=frozenset('ab'))
    assert reasons(watch, found, 10.0, 20.0) == ['', '']


def test_the_new_members_are_in_the_row_that_is_published(watch):
    row = attrs.evolve(ROW, members=frozenset('abd'))
    found = seen('abcd', row=row, gone=frozenset('c'))
    assert reasons(watch, found, 10.0, 20.0) == ['', '']

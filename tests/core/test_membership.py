"""The members of the next term, and when a change of them ends a term."""

import attrs
import pytest

from tidegrade import config
from tidegrade import core
from tidegrade.core import _membership
from tidegrade.core import _watching
from tidegrade.core import supervision

NONE: frozenset[str] = frozenset()
ROW = core.GroupRow(1, 'a', frozenset('abc'))


def observed(names: str, **changes) -> supervision.Observed:
    """Return an observation of a healthy group with these endpoints."""
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
        'replicas_to_repair': NONE,
        'reachable': frozenset(names),
        **changes,
    }
    return supervision.Observed(**fields)


def test_a_leaving_member_is_replaced_by_a_new_one():
    observation = observed('abcd', leaving=frozenset('c'))
    assert _membership.next_members(observation) == frozenset('abd')


def test_a_gone_member_is_replaced_by_a_new_one():
    observation = observed(
        'abcd', gone=frozenset('b'), reachable=frozenset('acd')
    )
    assert _membership.next_members(observation) == frozenset('acd')


def test_a_member_keeps_its_vote_until_it_is_replaced():
    assert _membership.next_members(
        observed('abc', leaving=frozenset('c'))
    ) == frozenset('abc')
    gone_and_leaving = observed(
        'abcd', leaving=frozenset('b'), gone=frozenset('c')
    )
    assert _membership.next_members(gone_and_leaving) == frozenset('abd')


def test_a_new_endpoint_becomes_a_member():
    assert _membership.next_members(observed('abcd')) == frozenset('abcd')


@pytest.fixture
def watch() -> _watching.TermWatch:
    made = _watching.TermWatch('g', 'p')
    made.observe(observed('abc'), 0.0)
    return made


def reasons(watch, observation, *times: float) -> list[str]:
    """Return the reason to end the term at each time."""
    returned = []
    for now in times:
        watch.observe(observation, now)
        returned.append(watch.reason_to_end_term(observation, now))
    return returned


def test_a_lasting_replacement_ends_the_term(watch):
    """A departed member that keeps its vote weakens the majority.

    Two of four voters were in one domain when it was isolated.
    """
    observation = observed('abcd', leaving=frozenset('c'))
    assert reasons(watch, observation, 10.0, 13.0) == ['', '']
    assert reasons(watch, observation, 14.5) != ['']


def test_a_term_ends_only_when_all_next_members_are_reachable(watch):
    observation = observed(
        'abcd', leaving=frozenset('c'), reachable=frozenset('abc')
    )
    assert reasons(watch, observation, 10.0, 15.0, 20.0) == ['', '', '']


def test_no_term_ends_without_a_replacement(watch):
    observation = observed(
        'abc', gone=frozenset('c'), reachable=frozenset('ab')
    )
    assert reasons(watch, observation, 10.0, 20.0) == ['', '']


def test_no_term_ends_once_the_replacement_is_a_member(watch):
    row = attrs.evolve(ROW, members=frozenset('abd'))
    observation = observed('abcd', row=row, gone=frozenset('c'))
    assert reasons(watch, observation, 10.0, 20.0) == ['', '']

"""Handing a bucket over: what is sent, accepted and ignored."""

import pytest

from tidegrade import core
from tidegrade.core.limits import _bucket
from tidegrade.core.limits import _handover
from tidegrade.core.limits import _owners
from tidegrade.core.placing import _rendezvous
from tidegrade import tenants

RATE = 40.0
BURST = 40.0
TENANT = tenants.Tenant('acme', frozenset(), RATE, BURST)
ORDER = _rendezvous.top_ranked(
    _owners.hash_key('acme'), [f'vm-{n}.r' for n in range(4)], 4
)


@pytest.fixture
def owner() -> core.QuotaOwner:
    made = core.QuotaOwner(0.0)
    made.observe(1.0, 0.0)
    return made


@pytest.fixture
def handovers() -> core.Handovers:
    return core.Handovers()


def granted_at_once(owner, now, first_since=None) -> int:
    return sum(
        owner.grant(TENANT, 1.0, 0.0, now, first_since=first_since).granted
        for _ in range(200)
    )


def test_an_established_owner_releases_its_level(owner):
    assert owner.grant(TENANT, 1.0, 0.0, 14.0, first_since=0.0).granted
    assert owner.retain_only(frozenset(), 14.0) == [('acme', BURST - 1)]
    assert owner.level_of('acme') is None


def test_a_new_owner_releases_nothing(owner):
    """Its predecessor may still be granting beside the receiver."""
    granted_at_once(owner, 14.0, 13.0)
    assert owner.retain_only(frozenset(), 14.1) == []


def test_a_fallback_owner_releases_nothing(owner):
    owner.grant(TENANT, 1.0, 0.0, 14.0, is_fallback=True)
    assert owner.retain_only(frozenset(), 14.1) == []


def test_the_receiver_grants_the_level_and_the_full_rate(owner):
    assert owner.take_over(TENANT, 30.0, 1.0, 14.0, 14.1)
    assert granted_at_once(owner, 14.1, 14.0) == 30
    assert granted_at_once(owner, 14.6, 14.0) >= 0.5 * RATE - 1


def test_the_receiver_takes_no_more_than_its_capacity(owner):
    assert owner.take_over(TENANT, 500.0, 0.5, 14.0, 14.1)
    assert owner.level_of('acme') == BURST / 2


def test_grants_before_the_handover_are_deducted(owner):
    """Guards against a burst beside what the receiver granted as new."""
    assert granted_at_once(owner, 14.0, 14.0) == core.INITIAL_GRANTS
    owner.take_over(TENANT, 30.0, 1.0, 14.0, 14.02)
    assert granted_at_once(owner, 14.02, 14.0) == 30 - core.INITIAL_GRANTS


def test_operations_that_wait_for_their_start_are_handed_over(owner):
    owner.take_over(TENANT, -5.0, 1.0, 14.0, 14.0)
    refused = owner.grant(TENANT, 1.0, 0.0, 14.0, first_since=14.0)
    assert refused.wait == pytest.approx(6 / RATE)


def test_a_second_handover_is_ignored(owner):
    """Guards against a duplicated message that fills the bucket again."""
    assert owner.take_over(TENANT, 30.0, 1.0, 14.0, 14.0)
    granted_at_once(owner, 14.0, 14.0)
    assert not owner.take_over(TENANT, 30.0, 1.0, 14.0, 14.01)
    assert granted_at_once(owner, 14.01, 14.0) <= 1


@pytest.mark.parametrize('asked_before', [False, True])
def test_an_established_owner_ignores_a_handover(owner, asked_before):
    if asked_before:
        granted_at_once(owner, 14.0, 0.0)
    assert not owner.take_over(TENANT, 30.0, 1.0, 0.0, 14.0)


def test_a_fallback_owner_that_becomes_first_takes_the_level(owner):
    for _ in range(5):
        owner.grant(TENANT, 1.0, 0.0, 14.0, is_fallback=True)
    assert owner.take_over(TENANT, 30.0, 1.0, 14.1, 14.1)
    granted = granted_at_once(owner, 14.1, 14.1)
    assert granted == 30 - core.INITIAL_GRANTS


@pytest.fixture
def third() -> core.Ownership:
    """Return the ownership at the third proxy, whose predecessors left."""
    ownership = core.Ownership(ORDER[2], 0.0)
    ownership.update(ORDER, 0.0)
    ownership.update(ORDER[1:], 5.0)
    ownership.update(ORDER[2:], 6.0)
    return ownership


def test_only_the_last_owner_can_hand_over(third):
    """Guards against the level of a proxy after which another one granted."""
    assert third.follows(ORDER[1], 'acme')
    assert not third.follows(ORDER[0], 'acme')
    assert not third.follows(ORDER[3], 'acme')


def test_a_process_that_has_seen_no_other_owner_accepts_any():
    ownership = core.Ownership(ORDER[0], 0.0)
    ownership.update(ORDER, 0.0)
    assert ownership.follows(ORDER[1], 'acme')


def test_a_handover_is_kept_for_a_moment(handovers):
    handover = core.Handover('acme', 5.0, 'p.r')
    handovers.keep(handover, 10.0)
    assert list(handovers.kept(10.0 + _handover.HANDOVER_KEPT_S)) == [handover]
    assert list(handovers.kept(10.1 + _handover.HANDOVER_KEPT_S)) == []


def test_no_handover_is_accepted_soon_after_a_pause(handovers):
    """One that arrived during the pause may be of any age."""
    handover = core.Handover('acme', 5.0, 'p.r')
    handovers.keep(handover, 10.0)
    handovers.paused(10.5)
    handovers.keep(handover, 10.6)
    assert list(handovers.kept(10.6)) == []
    later = 10.5 + _handover.HANDOVER_KEPT_S
    handovers.keep(handover, later)
    assert list(handovers.kept(later)) == [handover]


def test_the_sender_is_known_until_all_have_noticed(handovers):
    handovers.record_sent('acme', 10.0)
    assert handovers.has_sent('acme', 10.0 + _bucket.NEW_OWNER_PERIOD_S - 0.1)
    assert not handovers.has_sent('acme', 10.1 + _bucket.NEW_OWNER_PERIOD_S)
    assert not handovers.has_sent('other', 10.0)


def test_an_owner_that_saw_a_part_of_all_proxies_hands_nothing_over(owner):
    """Guards against two owners at the full rate as a partition ends.

    The owner on the other side has not noticed the new one either.
    """
    handovers = core.Handovers()
    owner.observe(0.6, 10.0)
    owner.observe(1.0, 12.0)
    assert not handovers.may_send(owner.lowest_part(12.1), 12.1)
    assert not handovers.may_send(owner.lowest_part(14.5), 14.5)
    assert handovers.may_send(owner.lowest_part(14.7), 14.7)


def test_a_process_that_has_just_started_hands_nothing_over():
    owner = core.QuotaOwner(10.0)
    owner.observe(1.0, 10.0)
    assert owner.lowest_part(11.0) == 0


def test_after_a_pause_nothing_is_handed_over(handovers):
    """Another proxy may have owned the quota during the pause."""
    handovers.paused(10.0)
    assert not handovers.may_send(1.0, 12.0)
    assert handovers.may_send(1.0, 12.7)

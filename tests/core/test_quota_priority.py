"""Admission by priority: the reserve for more urgent operations."""

from collections.abc import Iterator
import random

import pytest

from tidegrade import core
from tidegrade.core.limits import _reserve
from tidegrade import tenants

RATE = 40.0
BURST = 40.0
TENANT = tenants.Tenant('acme', frozenset(), RATE, BURST)
#: Time that an operation of each priority can wait, in seconds.
PATIENCE = (0.062, 0.102, 0.322)
#: Usual requests of each priority, as a part of the limit.
USUAL = (0.08, 0.18, 0.24)


@pytest.fixture
def owner() -> core.QuotaOwner:
    made = core.QuotaOwner(0.0)
    made.observe(1.0, 0.0)
    return made


def ask(owner, priority, now, tenant=TENANT, patience=0.0) -> core.Grant:
    return owner.grant(
        tenant, 1.0, patience, now, first_since=0.0, priority=priority
    )


def arrivals(
    rng: random.Random, load: float, start: float, seconds: float
) -> Iterator[tuple[float, int]]:
    """Yield times and priorities of requests at a multiple of the usual."""
    now = start
    while now < start + seconds:
        yield now, rng.choices((0, 1, 2), USUAL)[0]
        now += rng.expovariate(sum(USUAL) * RATE * load)


def granted_parts(owner, times) -> list[float]:
    """Return the granted part of each priority's requests."""
    asked, granted = [0, 0, 0], [0, 0, 0]
    for now, priority in times:
        asked[priority] += 1
        grant = ask(owner, priority, now, patience=PATIENCE[priority])
        granted[priority] += grant.granted
    return [g / a for g, a in zip(granted, asked, strict=True)]


@pytest.mark.parametrize('seed', range(20))
def test_urgent_operations_are_granted_in_full_at_five_times_the_load(
    owner, seed
):
    """Guards against a surge that is refused alike whatever its priority.

    The urgent operations alone are 0.4 of the limit. They were served worst,
    since they can wait the shortest time (kti, trouble-1: 0.746 of
    ``tile-order``, 0.978 of ``catalogue-browse``).
    """
    rng = random.Random(seed)
    granted_parts(owner, arrivals(rng, 1.0, 10.0, 5.0))
    parts = granted_parts(owner, arrivals(rng, 5.0, 15.0, 8.0))
    assert parts[0] == 1.0
    assert parts[1] > parts[2]


@pytest.mark.parametrize('seed', range(5))
def test_the_whole_limit_is_granted_during_a_surge(owner, seed):
    """Guards against a reserve that leaves a part of the limit unused."""
    rng = random.Random(seed)
    granted_parts(owner, arrivals(rng, 1.0, 10.0, 5.0))
    granted = sum(
        ask(owner, p, now, patience=PATIENCE[p]).granted
        for now, p in arrivals(rng, 5.0, 15.0, 8.0)
    )
    assert granted >= 8 * RATE + BURST / 2
    assert granted <= 8 * RATE + BURST + 1


def test_below_the_limit_nothing_is_refused(owner):
    rng = random.Random(1)
    times = arrivals(rng, 1.6, 10.0, 20.0)
    assert granted_parts(owner, times) == [1.0, 1.0, 1.0]


@pytest.mark.parametrize('priority', [0, 1, 2])
def test_a_tenant_with_one_priority_sees_no_difference(priority):
    owner, reference = core.QuotaOwner(0.0), core.QuotaOwner(0.0)
    for step in range(3000):
        now = 5.0 + step / 200
        grant = ask(owner, priority, now, patience=0.1)
        assert grant == ask(reference, 0, now, patience=0.1)


def test_a_refusal_for_the_reserve_says_so_and_when_to_retry(owner):
    """Urgent requests go on at their rate until the retry."""
    for step in range(400):
        ask(owner, 0, 10.0 + step / 20)
    now = 30.0
    while (refused := ask(owner, 1, now)).granted:
        pass
    assert refused.reserved
    assert ask(owner, 0, now).granted
    again = ask(owner, 1, now)
    assert ask(owner, 0, now + 0.05).granted
    assert not ask(owner, 1, now + 0.05).granted
    assert ask(owner, 0, now + 0.1).granted
    assert 0.1 < again.wait < 0.15
    assert ask(owner, 1, now + again.wait).granted


def test_a_refusal_for_the_quota_does_not_name_the_reserve(owner):
    for step in range(400):
        ask(owner, 0, 10.0 + step / 20)
    while ask(owner, 0, 30.0).granted:
        pass
    assert not ask(owner, 1, 30.0).reserved


@pytest.mark.parametrize('burst', [0.5, 1.0, 2.0])
def test_a_small_bucket_still_grants_the_least_urgent(owner, burst):
    """Guards against a reserve that fills the whole bucket."""
    small = tenants.Tenant('acme', frozenset(), 2.0, burst)
    for step in range(100):
        ask(owner, 0, 10.0 + step / 50, small)
    assert ask(owner, 2, 14.0, small).granted


def test_a_fallback_owner_still_grants_the_least_urgent(owner):
    """Its bucket holds few operations, whatever the tenant's burst."""
    for step in range(100):
        owner.grant(TENANT, 1.0, 0.0, 10.0 + step / 50, is_fallback=True)
    assert owner.grant(
        TENANT, 1.0, 0.0, 13.0, is_fallback=True, priority=2
    ).granted


def test_the_reserve_is_at_most_half_of_the_bucket(owner):
    """Urgent operations far above the limit leave no more than that."""
    for step in range(2000):
        ask(owner, 0, 10.0 + step / 1000)
    for bucket, _ in owner.reports():
        assert bucket.demand.urgent_rate(1) > 2 * RATE
        assert bucket.reserve(1) == BURST * _reserve.MAX_RESERVED_PART
        assert bucket.reserve(0) == 0


def test_a_single_urgent_request_is_soon_forgotten():
    """Otherwise less urgent operations would never wait for a grant."""
    demand = _reserve.Demand()
    demand.record(0, 10.0)
    assert demand.urgent_rate(1) > 0
    demand.record(1, 14.0)
    assert demand.urgent_rate(1) == 0

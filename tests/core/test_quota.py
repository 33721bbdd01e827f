"""Grants of a quota's owner: their rate in any window, and their waits."""

import pytest

from tidegrade import core
from tidegrade.core.limits import _bucket
from tidegrade.core.limits import _quota
from tidegrade import tenants

RATE = 40.0
BURST = 40.0


def tenant(rate: float = RATE, burst: float = BURST) -> tenants.Tenant:
    return tenants.Tenant('acme', frozenset(), rate, burst)


@pytest.fixture
def owner() -> core.QuotaOwner:
    return core.QuotaOwner()


def flood(owner, seconds, start=0.0, part=1.0, patience=0.0, limits=None):
    """Request far above the limit; return the start times of the grants."""
    asked = limits or tenant()
    found = []
    for step in range(int(seconds * 1000)):
        now = start + step / 1000
        grant = owner.grant(asked, part, patience, now)
        if grant.granted:
            found.append(now + grant.wait)
    return found


def most_within(times: list[float], window: float) -> int:
    """Return the largest number of times in any window, in seconds."""
    ordered = sorted(times)
    return max(
        (sum(at <= t < at + window for t in ordered) for at in ordered),
        default=0,
    )


def test_no_window_holds_more_than_the_limit(owner):
    flood(owner, 1.0)
    after_idle = flood(owner, 6.0, start=5.0)
    assert most_within(after_idle, 5.0) <= 5 * RATE + BURST + 1
    assert len(after_idle) >= 6 * RATE + BURST - 1


def test_grants_with_a_wait_do_not_exceed_the_rate(owner):
    times = flood(owner, 10.0, patience=0.1)
    assert most_within(times, 5.0) <= 5 * RATE + core.INITIAL_GRANTS + 1


def test_below_its_limit_a_tenant_is_never_refused(owner):
    """This holds after the reduced rate of a new owner has ended."""
    owner.grant(tenant(), 1.0, 0.0, 0.0)
    for step in range(300):
        now = 3.0 + step / (RATE * 0.9)
        assert owner.grant(tenant(), 1.0, 0.05, now).granted


def test_a_new_owner_starts_at_a_reduced_rate(owner):
    """The previous owner grants on until it has detected a partition."""
    times = flood(owner, 2.6)
    assert len(times) <= 2.6 * 0.2 * RATE + core.INITIAL_GRANTS + 1
    assert len(flood(owner, 2.0, start=2.6)) >= 2.0 * RATE - 2


def test_an_owner_in_a_new_process_starts_at_a_higher_rate():
    owner = core.QuotaOwner(started_at=0.0)
    times = flood(owner, 1.4, start=0.5)
    assert len(times) >= 0.4 * RATE * 1.4 - 1
    assert len(times) <= 0.4 * RATE * 1.4 + core.INITIAL_GRANTS + 1


def test_a_refusal_states_when_a_retry_is_granted(owner):
    refused = None
    now = 0.0
    while refused is None:
        grant = owner.grant(tenant(), 1.0, 0.0, now)
        refused = None if grant.granted else grant
    assert not owner.grant(tenant(), 1.0, 0.0, now + refused.wait / 2).granted
    assert owner.grant(tenant(), 1.0, 0.0, now + refused.wait).granted


def test_a_new_owner_starts_with_a_nearly_empty_bucket(owner):
    assert len(flood(owner, 0.01)) <= core.INITIAL_GRANTS


def test_a_lower_limit_applies_to_accrued_operations(owner):
    flood(owner, 0.1)
    owner.observe(1.0, 20.0)
    lower = tenant(rate=5, burst=5)
    assert len(flood(owner, 1.0, start=20.0, limits=lower)) <= 5 + 5 + 1


def test_an_owner_grants_the_part_of_the_proxies_that_it_sees(owner):
    flood(owner, 0.1)
    owner.observe(0.5, 20.0)
    times = flood(owner, 5.0, start=20.0, part=0.5)
    assert len(times) <= 0.5 * (5 * RATE + BURST) + 1


def test_nothing_accrues_while_the_process_is_frozen(owner):
    flood(owner, 1.0)
    owner.paused(4.0)
    assert len(flood(owner, 0.01, start=5.0)) <= 1


def test_an_unused_grant_can_be_returned(owner):
    flood(owner, 0.09)
    assert not owner.grant(tenant(), 1.0, 0.0, 0.09).granted
    assert owner.give_back('acme', 0.08, 0.09)
    assert owner.grant(tenant(), 1.0, 0.0, 0.09).granted


def test_a_grant_that_is_returned_late_is_lost(owner):
    """It would be granted twice within the window of its first issue."""
    flood(owner, 0.09)
    level = owner.level_of('acme')
    late = 0.08 + core.GRANT_RETURN_PERIOD_S + 0.001
    assert not owner.give_back('acme', 0.08, late)
    assert owner.level_of('acme') == level


def test_a_grant_that_waited_counts_from_its_start(owner):
    flood(owner, 0.1)
    for _ in range(4):
        grant = owner.grant(tenant(), 1.0, 10.0, 0.1)
    assert grant.wait > core.GRANT_RETURN_PERIOD_S
    assert owner.give_back('acme', grant.at, 0.1 + grant.wait)


def test_buckets_of_other_owners_tenants_are_dropped(owner):
    flood(owner, 0.1)
    owner.retain_only(frozenset(), 0.1)
    assert owner.level_of('acme') is None


def test_each_further_candidate_is_in_another_domain():
    proxies = {f'{zone}{n}.r': zone for zone in 'abc' for n in range(20)}
    candidates = core.quota_owners('acme', proxies, ())
    assert len(candidates) == 3
    assert {proxies[proxy] for proxy in candidates} == set('abc')
    assert core.owns_quota('acme', candidates[0], proxies)
    again = core.quota_owners('acme', proxies, {candidates[0]})
    assert candidates[0] not in again


def run_with_returns(owner) -> list[float]:
    """Request at every step; return the times at which operations ran.

    No operation runs between 3 s and 5 s, as if the endpoints accepted no
    work. The grants of that time are returned 1.5 s after their start.
    """
    ran: list[float] = []
    waiting: list[core.Grant] = []
    for step in range(10_000):
        now = step / 1000
        grant = owner.grant(tenant(), 1.0, 0.0, now)
        if grant.granted and 3.0 <= now < 5.0:
            waiting.append(grant)
        elif grant.granted:
            ran.append(now)
        while waiting and waiting[0].at <= now - 1.5:
            owner.give_back('acme', waiting.pop(0).at, now)
    return ran


def test_grants_that_are_returned_late_exceed_no_window(owner):
    """Guards against granting again what was returned after seconds.

    Operations granted again would run in the same window as the operations
    that were granted in the meantime.
    """
    assert most_within(run_with_returns(owner), 1.0) <= RATE + BURST + 1


def test_without_an_age_limit_late_returns_exceed_a_window(owner, monkeypatch):
    monkeypatch.setattr(_quota, 'GRANT_RETURN_PERIOD_S', float('inf'))
    assert most_within(run_with_returns(owner), 1.0) > RATE + BURST + 1


def test_a_fallback_owner_accrues_no_burst(owner):
    """Otherwise the usual owner and the fallback owner grant a burst each."""
    owner.grant(tenant(), 1.0, 0.0, 0.0, is_fallback=True)
    granted = sum(
        owner.grant(tenant(), 1.0, 0.0, 4.0, is_fallback=True).granted
        for _ in range(100)
    )
    assert granted <= core.INITIAL_GRANTS


def test_a_long_fallback_grants_a_small_part(owner):
    """The usual owner grants the full limit to the proxies that reach it."""
    for step in range(100):
        owner.grant(tenant(), 1.0, 0.0, step / 10, is_fallback=True)
    granted = sum(
        owner.grant(tenant(), 1.0, 0.0, 10 + n / 10, is_fallback=True).granted
        for n in range(100)
    )
    assert (
        granted
        <= 10 * RATE * _bucket.FALLBACK_OWNER_PART + core.INITIAL_GRANTS
    )


def test_a_fallback_that_becomes_the_owner_grants_the_full_rate(owner):
    owner.grant(tenant(), 1.0, 0.0, 0.0, is_fallback=True)
    start = _bucket.NEW_OWNER_PERIOD_S + 0.1
    assert len(flood(owner, 2.0, start=start)) >= 2 * RATE - 1


def test_grants_of_a_fallback_owner_count_at_the_owner(owner):
    """Guards against a full limit beside what a fallback owner grants."""
    owner.grant(tenant(), 1.0, 0.0, 0.0)
    owner.grant(tenant(), 1.0, 0.0, 6.0)
    for _ in range(10):
        owner.take_off('acme', 6.0)
    times = flood(owner, 2.0, start=6.0)
    assert len(times) <= 2.0 * RATE + BURST - 10
    assert len(times) >= 2.0 * RATE + BURST - 10 - 2


def test_a_grant_without_a_bucket_is_not_taken_off(owner):
    owner.take_off('acme', 0.0)
    assert owner.level_of('acme') is None

"""A keeper's grants: their rate in any window, and what they wait for."""

import pytest

from tidegrade import core
from tidegrade.core import _quota
from tidegrade import tenants

RATE = 40.0
BURST = 40.0


def tenant(rate: float = RATE, burst: float = BURST) -> tenants.Tenant:
    return tenants.Tenant('acme', frozenset(), rate, burst)


@pytest.fixture
def keeper() -> core.QuotaKeeper:
    return core.QuotaKeeper()


def flood(keeper, seconds, began=0.0, part=1.0, patience=0.0, who=None):
    """Ask far more often than is granted; give when grants start."""
    asked = who or tenant()
    found = []
    for step in range(int(seconds * 1000)):
        now = began + step / 1000
        grant = keeper.grant(asked, part, patience, now)
        if grant.granted:
            found.append(now + grant.wait)
    return found


def most_within(times: list[float], window: float) -> int:
    """Give the largest number of times in any span of this length."""
    ordered = sorted(times)
    return max(
        (sum(at <= t < at + window for t in ordered) for at in ordered),
        default=0,
    )


def test_no_window_holds_more_than_the_limit(keeper):
    flood(keeper, 1.0)
    rested = flood(keeper, 6.0, began=5.0)
    assert most_within(rested, 5.0) <= 5 * RATE + BURST + 1
    assert len(rested) >= 6 * RATE + BURST - 1


def test_waiting_changes_nothing_about_the_rate(keeper):
    times = flood(keeper, 10.0, patience=0.1)
    assert most_within(times, 5.0) <= 5 * RATE + core.START_GRANTS + 1


def test_below_its_limit_a_tenant_is_never_refused(keeper):
    """Once the keeper isn't new any more."""
    keeper.grant(tenant(), 1.0, 0.0, 0.0)
    for step in range(300):
        now = 3.0 + step / (RATE * 0.9)
        assert keeper.grant(tenant(), 1.0, 0.05, now).granted


def test_a_new_keeper_grants_little_at_first(keeper):
    """Its predecessor may go on for as long as a cut is not noticed."""
    times = flood(keeper, 2.6)
    assert len(times) <= 2.6 * 0.2 * RATE + core.START_GRANTS + 1
    assert len(flood(keeper, 2.0, began=2.6)) >= 2.0 * RATE - 2


def test_a_process_that_has_just_started_grants_more_at_first():
    keeper = core.QuotaKeeper(started_at=0.0)
    times = flood(keeper, 1.4, began=0.5)
    assert len(times) >= 0.4 * RATE * 1.4 - 1
    assert len(times) <= 0.4 * RATE * 1.4 + core.START_GRANTS + 1


def test_a_refusal_says_when_the_next_is_granted(keeper):
    refused = None
    now = 0.0
    while refused is None:
        grant = keeper.grant(tenant(), 1.0, 0.0, now)
        refused = None if grant.granted else grant
    assert not keeper.grant(tenant(), 1.0, 0.0, now + refused.wait / 2).granted
    assert keeper.grant(tenant(), 1.0, 0.0, now + refused.wait).granted


def test_a_new_keeper_has_next_to_nothing_saved_up(keeper):
    assert len(flood(keeper, 0.01)) <= core.START_GRANTS


def test_a_lower_limit_holds_for_what_was_saved_up(keeper):
    flood(keeper, 0.1)
    keeper.observe(1.0, 20.0)
    lower = tenant(rate=5, burst=5)
    assert len(flood(keeper, 1.0, began=20.0, who=lower)) <= 5 + 5 + 1


def test_who_sees_a_part_of_the_proxies_grants_that_part(keeper):
    flood(keeper, 0.1)
    keeper.observe(0.5, 20.0)
    times = flood(keeper, 5.0, began=20.0, part=0.5)
    assert len(times) <= 0.5 * (5 * RATE + BURST) + 1


def test_nothing_is_earned_while_the_process_stands_still(keeper):
    flood(keeper, 1.0)
    keeper.paused(4.0)
    assert len(flood(keeper, 0.01, began=5.0)) <= 1


def test_what_was_not_used_is_given_back(keeper):
    flood(keeper, 0.09)
    assert not keeper.grant(tenant(), 1.0, 0.0, 0.09).granted
    assert keeper.give_back('acme', 0.08, 0.09)
    assert keeper.grant(tenant(), 1.0, 0.0, 0.09).granted


def test_what_comes_back_late_is_lost(keeper):
    """It would be granted again in a window in which it was sent before."""
    flood(keeper, 0.09)
    level = keeper.level_of('acme')
    late = 0.08 + core.BACK_WITHIN + 0.001
    assert not keeper.give_back('acme', 0.08, late)
    assert keeper.level_of('acme') == level


def test_a_grant_that_waited_counts_from_its_start(keeper):
    flood(keeper, 0.1)
    for _ in range(4):
        grant = keeper.grant(tenant(), 1.0, 10.0, 0.1)
    assert grant.wait > core.BACK_WITHIN
    assert keeper.give_back('acme', grant.at, 0.1 + grant.wait)


def test_another_s_tenants_are_forgotten(keeper):
    flood(keeper, 0.1)
    keeper.keep_only(frozenset())
    assert keeper.level_of('acme') is None


def test_who_is_asked_next_is_of_another_domain():
    proxies = {f'{zone}{n}.r': zone for zone in 'abc' for n in range(20)}
    turns = core.keepers_of('acme', proxies, ())
    assert len(turns) == 3
    assert {proxies[proxy] for proxy in turns} == set('abc')
    assert core.keeps('acme', turns[0], proxies)
    again = core.keepers_of('acme', proxies, {turns[0]})
    assert turns[0] not in again


def run_with_returns(keeper) -> list[float]:
    """Ask without end; some grants come back 1.5 s later, having run nothing.

    Give when operations ran. For three seconds all is well, then nothing runs
    for two, as before endpoints that take no work.
    """
    ran: list[float] = []
    waiting: list[core.Grant] = []
    for step in range(10_000):
        now = step / 1000
        grant = keeper.grant(tenant(), 1.0, 0.0, now)
        if grant.granted and 3.0 <= now < 5.0:
            waiting.append(grant)
        elif grant.granted:
            ran.append(now)
        while waiting and waiting[0].at <= now - 1.5:
            keeper.give_back('acme', waiting.pop(0).at, now)
    return ran


def test_grants_that_come_back_late_raise_no_window(keeper):
    """Operations that waited for seconds and did not run were granted anew.

    Those that others had been granted meanwhile ran in the same window.
    """
    assert most_within(run_with_returns(keeper), 1.0) <= RATE + BURST + 1


def test_without_a_limit_of_age_they_would(keeper, monkeypatch):
    monkeypatch.setattr(_quota, 'BACK_WITHIN', float('inf'))
    assert most_within(run_with_returns(keeper), 1.0) > RATE + BURST + 1


def test_who_stands_in_saves_nothing_up(keeper):
    """Else both the usual keeper and its stand-in grant a burst."""
    keeper.grant(tenant(), 1.0, 0.0, 0.0, stands_in=True)
    granted = sum(
        keeper.grant(tenant(), 1.0, 0.0, 4.0, stands_in=True).granted
        for _ in range(100)
    )
    assert granted <= core.START_GRANTS


def test_who_stands_in_for_long_grants_next_to_nothing(keeper):
    """The usual keeper grants the whole to those who reach it."""
    for step in range(100):
        keeper.grant(tenant(), 1.0, 0.0, step / 10, stands_in=True)
    granted = sum(
        keeper.grant(tenant(), 1.0, 0.0, 10 + n / 10, stands_in=True).granted
        for n in range(100)
    )
    assert granted <= 10 * RATE * _quota.STAND_IN_PART + core.START_GRANTS


def test_who_becomes_the_keeper_grants_the_whole(keeper):
    keeper.grant(tenant(), 1.0, 0.0, 0.0, stands_in=True)
    began = _quota.NEW_FOR + 0.1
    assert len(flood(keeper, 2.0, began=began)) >= 2 * RATE - 1

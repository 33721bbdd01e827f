"""Since when an owner is first, and what has accrued at its first grant."""

import pytest

from tidegrade import core
from tidegrade.core.limits import _bucket
from tidegrade.core.limits import _owners
from tidegrade.core.limits import _ownership
from tidegrade.core.placing import _rendezvous
from tidegrade import tenants

RATE = 40.0
BURST = 40.0
TENANT = tenants.Tenant('acme', frozenset(), RATE, BURST)
#: Proxies in the order in which they own the tenant's quota.
ORDER = _rendezvous.top_ranked(
    _owners.hash_key('acme'), [f'vm-{n}.r' for n in range(6)], 6
)


@pytest.fixture
def second() -> core.Ownership:
    """Return the ownership at the second proxy, which learned of all at 0."""
    ownership = core.Ownership(ORDER[1], 0.0)
    ownership.update(ORDER, 0.0)
    return ownership


def granted_at_once(owner, now, first_since, part=1.0) -> int:
    return sum(
        owner.grant(TENANT, part, 0.0, now, first_since=first_since).granted
        for _ in range(200)
    )


@pytest.fixture
def owner() -> core.QuotaOwner:
    made = core.QuotaOwner(0.0)
    made.observe(1.0, 0.0)
    return made


def test_a_proxy_is_first_from_the_departure_of_its_predecessor(second):
    assert second.first_since('acme', 5.0) is None
    second.update(ORDER[1:], 7.0)
    assert second.first_since('acme', 9.0) == 7.0
    second.update(ORDER[1:4], 8.0)
    assert second.first_since('acme', 9.0) == 7.0


def test_a_predecessor_that_returns_starts_the_time_again(second):
    second.update(ORDER[1:], 7.0)
    second.update(ORDER, 8.0)
    assert second.first_since('acme', 8.5) is None
    second.update(ORDER[1:], 9.0)
    assert second.first_since('acme', 12.0) == 9.0


def test_a_former_run_on_the_same_vm_is_a_predecessor():
    vm, _, _ = ORDER[0].rpartition('.')
    ownership = core.Ownership(f'{vm}.r2', 0.0)
    ownership.update([*ORDER, f'{vm}.r2'], 0.0)
    assert ownership.first_since('acme', 3.0) is None
    ownership.update([*ORDER[1:], f'{vm}.r2'], 4.0)
    assert ownership.first_since('acme', 9.0) == 4.0


def test_no_ownership_counts_before_all_proxies_are_known():
    """Guards against a process that finds itself first as it starts."""
    ownership = core.Ownership(ORDER[1], 0.0)
    for at in (0.0, 1.0, 2.0, 3.0):
        ownership.update(ORDER[1:2], at, complete=False)
    ownership.update(ORDER[1:], 3.25)
    assert ownership.first_since('acme', 4.0) == 3.0


def test_a_pause_of_the_process_starts_the_time_again(second):
    second.update(ORDER[1:], 7.0)
    second.reset(15.0)
    assert second.first_since('acme', 16.0) == 15.0


def test_ownership_ends_while_this_proxy_takes_no_work(second):
    second.update(ORDER[1:], 7.0)
    second.update(ORDER[2:], 8.0)
    assert second.first_since('acme', 9.0) is None
    second.update(ORDER[1:], 10.0)
    assert second.first_since('acme', 11.0) == 8.0


def test_departures_are_forgotten_but_count_as_recent_as_they_may_be(second):
    """Otherwise the record of departed proxies grows for ever."""
    second.update(ORDER[1:], 7.0)
    later = 8.0 + _ownership.HISTORY_S
    second.update(ORDER[1:], later)
    since = second.first_since('acme', later)
    assert since == later - _ownership.HISTORY_S


def test_an_owner_first_for_long_grants_a_burst_on_its_first_request(owner):
    """Guards against refusals as the traffic of all tenants begins.

    1,368 operations were refused in four seconds, since an owner counted as
    new from its first request.
    """
    assert granted_at_once(owner, 14.0, 0.0) == BURST
    later = [
        owner.grant(TENANT, 1.0, 0.0, 14.0 + n / RATE).granted
        for n in range(1, 81)
    ]
    assert sum(later) >= 79


@pytest.mark.parametrize(
    ('now', 'expected'),
    [(2.59, 2), (2.6, 2), (2.85, 2 + 0.25 * RATE), (9.0, BURST)],
)
def test_nothing_accrues_while_a_predecessor_may_grant(owner, now, expected):
    assert granted_at_once(owner, now, 0.0) == int(expected)


def test_the_full_rate_applies_once_no_predecessor_can_grant(owner):
    """An owner first asked after 2 s is reduced for another 0.6 s only."""
    assert granted_at_once(owner, 2.0, 0.0) == core.INITIAL_GRANTS
    full_from = _bucket.NEW_OWNER_PERIOD_S
    granted_at_once(owner, full_from, 0.0)
    assert granted_at_once(owner, full_from + 0.5, 0.0) >= 0.5 * RATE - 1


def test_operations_accrue_at_the_part_that_was_visible(owner):
    """Guards against a burst for proxies behind a partition.

    They granted it to themselves while this owner saw half of all proxies.
    """
    owner.observe(0.5, 1.0)
    owner.observe(1.0, 10.0)
    granted = granted_at_once(owner, 10.25, 0.0)
    assert granted == int(0.5 * BURST + 0.25 * RATE)


def test_reported_grants_count_before_the_first_request(owner):
    """Guards against a full burst beside what a fallback owner granted."""
    owner.prepare(TENANT, 0.0, 14.0)
    for _ in range(10):
        owner.take_off('acme', 14.0)
    assert granted_at_once(owner, 14.0, 0.0) == BURST - 10


def test_a_fallback_owner_accrues_nothing_by_ownership(owner):
    granted = sum(
        owner.grant(TENANT, 1.0, 0.0, 14.0, is_fallback=True).granted
        for _ in range(100)
    )
    assert granted <= core.INITIAL_GRANTS

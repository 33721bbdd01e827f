"""Placement of homes on VMs of unequal capacity."""

import hashlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tidegrade import config
from tidegrade import core
from tidegrade.core.placing import _homes
from tidegrade.core.placing import _rendezvous

LARGE, MEDIUM, SMALL = 2150, 1000, 361


def group(max_connections: int = 300) -> config.Group:
    """Return a group of one endpoint with ``max_connections``."""
    endpoint = config.Endpoint('h', 1, 'd0', max_connections=max_connections)
    return config.Group(endpoints={'a': endpoint}, initial_primary='a')


# Equal VMs ----------------------------------------------------------------


def former_homes(group, cfg, own, domain, proxies, by_tenant):
    """Return the homes as chosen before capacities were known."""
    max_homes = _homes.MAX_TENANT_HOMES if by_tenant else _homes.MAX_HOMES
    per_domain = min(max_homes, former_per_domain(cfg, len(proxies)))
    others = (proxy for proxy in proxies[domain] if proxy != own)
    own_rank = _rendezvous.rank(f'home {group}', own, others)
    count = sum(min(per_domain, len(found)) for found in proxies.values())
    return core.Homes(own_rank < per_domain, count)


def former_per_domain(cfg, domains):
    min_connections = min(e.max_connections for e in cfg.endpoints.values())
    shared = int(min_connections * _homes.SHARED_PART) // domains
    return max(1, shared)


def former_expected_homes(group, cfg, proxies, by_tenant):
    max_homes = _homes.MAX_TENANT_HOMES if by_tenant else _homes.MAX_HOMES
    per_domain = min(max_homes, former_per_domain(cfg, len(proxies)))
    return tuple(
        proxy
        for found in proxies.values()
        for proxy in _rendezvous.top_ranked(f'home {group}', found, per_domain)
    )


memberships = st.dictionaries(
    st.sampled_from('abcde'),
    st.sets(st.integers(0, 99), min_size=1, max_size=40),
    min_size=1,
).map(
    lambda found: {
        domain: {f'vm-{domain}{n}.r' for n in numbers}
        for domain, numbers in found.items()
    }
)
#: 0 is an unknown capacity; with 1000 it counts as equal.
equal_capacities = st.sampled_from((0, 1, SMALL, MEDIUM, LARGE, 1 << 31))


@given(memberships, st.integers(3, 300), st.booleans(), equal_capacities)
def test_equal_vms_keep_the_homes_and_counts_of_earlier_versions(
    proxies, connections, by_tenant, capacity
):
    """Guards against connections that move when proxies are upgraded."""
    cfg = group(connections)
    names = [name for found in proxies.values() for name in found]
    capacities = dict.fromkeys(names, capacity)
    for domain, found in proxies.items():
        for own in found:
            former = former_homes('g', cfg, own, domain, proxies, by_tenant)
            now = core.homes(
                'g', cfg, own, domain, proxies, by_tenant, capacities
            )
            assert now == former
    assert core.expected_homes(
        'g', cfg, proxies, by_tenant, capacities
    ) == former_expected_homes('g', cfg, proxies, by_tenant)


@given(memberships, st.sets(st.integers(0, 99)))
def test_unknown_capacity_counts_as_one_core(proxies, unknown):
    """Proxies of older versions must not be preferred or passed over."""
    names = [name for found in proxies.values() for name in sorted(found)]
    capacities = {
        name: MEDIUM for n, name in enumerate(names) if n not in unknown
    }
    assert core.expected_homes(
        'g', group(), proxies, False, capacities
    ) == former_expected_homes('g', group(), proxies, False)


@given(memberships)
def test_equal_vms_keep_the_relays_of_earlier_versions(proxies):
    for domain, found in proxies.items():
        capacities = dict.fromkeys(found, SMALL)
        former = _rendezvous.top_ranked(f'relay {domain}', found, 2)
        assert former == core.largest_first(
            f'relay {domain}', found, capacities, 2
        )


# Unequal VMs --------------------------------------------------------------


def deployment(total: int) -> tuple[dict[str, set[str]], dict[str, int]]:
    """Return proxies of three domains with two large VMs each."""
    proxies: dict[str, set[str]] = {}
    capacities = {}
    for number in range(total):
        name = f'vm-{number}.r'
        proxies.setdefault('abc'[number % 3], set()).add(name)
        capacities[name] = LARGE if number < 6 else SMALL
    return proxies, capacities


def homes_in(proxies, capacities, by_tenant=False) -> set[str]:
    """Return the homes, checked against each proxy's own view."""
    found = set(
        core.expected_homes('g', group(), proxies, by_tenant, capacities)
    )
    for domain, names in proxies.items():
        for own in names:
            part = core.homes(
                'g', group(), own, domain, proxies, by_tenant, capacities
            )
            assert part == core.Homes(own in found, len(found))
    return found


@pytest.mark.parametrize('by_tenant', (False, True))
@pytest.mark.parametrize('total', (59, 116, 300))
def test_large_vms_are_the_homes(total, by_tenant):
    proxies, capacities = deployment(total)
    homes = homes_in(proxies, capacities, by_tenant)
    assert homes == {f'vm-{n}.r' for n in range(6)}


@pytest.mark.parametrize('total', (59, 116, 300))
def test_lost_large_vm_is_replaced_by_small_ones_of_its_domain(total):
    """The rest of a domain must not depend on one remaining VM."""
    proxies, capacities = deployment(total)
    before = homes_in(proxies, capacities)
    proxies['a'].remove('vm-0.r')
    homes = homes_in(proxies, capacities)
    assert before - homes == {'vm-0.r'}
    # 2,150 + 3 x 361 thousandths reach those of 8 small VMs.
    assert len(homes - before) == 3
    assert homes - before <= proxies['a']


@pytest.mark.parametrize('total', (59, 116, 300))
def test_without_large_vms_a_domain_has_eight_homes(total):
    proxies, capacities = deployment(total)
    proxies['a'] -= {'vm-0.r', 'vm-3.r'}
    homes = homes_in(proxies, capacities)
    assert len(homes & proxies['a']) == 8
    assert len(homes) == 12


def test_vms_of_three_sizes_are_taken_by_size():
    names = [f'vm-{n}.r' for n in range(30)]
    sizes = [LARGE] + [MEDIUM] * 4 + [SMALL] * 25
    capacities = dict(zip(names, sizes, strict=True))
    proxies = {'a': set(names)}
    homes = homes_in(proxies, capacities)
    # 2,150 and a medium VM reach the 2,888 of 8 small ones.
    assert 'vm-0.r' in homes
    assert sorted(capacities[home] for home in homes) == [MEDIUM, LARGE]
    proxies['a'].remove('vm-0.r')
    homes = homes_in(proxies, capacities)
    assert [capacities[home] for home in homes] == [MEDIUM] * 3


def test_groups_are_spread_over_equal_vms():
    """All groups must not choose the same of several equal large VMs."""
    names = [f'vm-{n}.r' for n in range(20)]
    capacities = {n: LARGE if i < 10 else SMALL for i, n in enumerate(names)}
    chosen = {
        core.expected_homes(
            f'g{n}', group(), {'a': set(names)}, True, capacities
        )
        for n in range(30)
    }
    assert len({home for homes in chosen for home in homes}) == 10


unequal_capacities = st.dictionaries(
    st.integers(0, 39).map(lambda n: f'vm-{n}.r'),
    st.integers(0, 4000),
    min_size=1,
)


@given(unequal_capacities, st.integers(3, 300), st.booleans())
def test_number_of_homes_stays_between_two_and_the_former(
    capacities, connections, by_tenant
):
    """More homes than before would exceed an endpoint's connections."""
    proxies = {'a': set(capacities)}
    cfg = group(connections)
    former = len(former_expected_homes('g', cfg, proxies, by_tenant))
    found = core.expected_homes('g', cfg, proxies, by_tenant, capacities)
    assert min(2, former) <= len(found) <= former
    smallest = min(capacities[home] or 1000 for home in found)
    others = set(capacities) - set(found)
    assert all((capacities[other] or 1000) <= smallest for other in others)


@given(unequal_capacities)
def test_order_among_equal_vms_is_a_hash_of_work_and_vm(capacities):
    order = core.largest_first('w', list(capacities), capacities, 40)

    def key(proxy: str) -> tuple[int, bytes]:
        text = f'w\0{core.vm_of(proxy)}'
        digest = hashlib.sha256(text.encode()).digest()
        return capacities[proxy] or 1000, digest

    assert list(order) == sorted(capacities, key=key, reverse=True)


@pytest.mark.parametrize(
    ('cores', 'expected'),
    [
        (1.0, 1000),
        (0.537 * 2, 1074),
        (0.0001, 1),
        (0.0, 0),
        (-1.0, 0),
        (float('inf'), (1 << 32) - 1),
    ],
)
def test_cores_become_thousandths(cores, expected):
    assert core.thousandths(cores) == expected

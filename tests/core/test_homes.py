"""Which proxies are homes of a group, and their shares of connections."""

from hypothesis import given
from hypothesis import strategies as st

from tidegrade import config
from tidegrade import core

sizes = st.lists(st.integers(1, 40), min_size=1, max_size=5)
limits = st.integers(3, 300)


def group(max_connections: int) -> config.Group:
    """Return a group of three endpoints with ``max_connections`` each."""
    endpoint = config.Endpoint(
        host='h',
        port=1,
        domain='d0',
        max_connections=max_connections,
        slots=3,
    )
    return config.Group(
        endpoints={'a': endpoint, 'b': endpoint, 'c': endpoint},
        initial_primary='a',
        database='db',
    )


def proxies_of(counts: list[int]) -> dict[str, set[str]]:
    """Return proxies by domain, ``counts`` for each domain."""
    return {
        f'd{number}': {f'p{number}-{i}' for i in range(count)}
        for number, count in enumerate(counts)
    }


@given(sizes, limits)
def test_all_proxies_agree_and_respect_max_connections(counts, limit):
    cfg = group(limit)
    proxies = proxies_of(counts)
    parts = [
        core.homes('g', cfg, proxy, domain, proxies)
        for domain, found in proxies.items()
        for proxy in found
    ]
    homes = sum(part.is_home for part in parts)
    assert {part.count for part in parts} == {homes}
    if limit >= len(counts):
        share = max(1, limit // homes)
        assert homes * share <= limit


@given(sizes, limits)
def test_every_domain_has_a_home(counts, limit):
    cfg = group(limit)
    proxies = proxies_of(counts)
    for domain, found in proxies.items():
        parts = [core.homes('g', cfg, p, domain, proxies) for p in found]
        assert any(part.is_home for part in parts)


@given(sizes, limits)
def test_the_loss_of_a_proxy_moves_only_its_own_role(counts, limit):
    cfg = group(limit)
    before = proxies_of(counts)
    after = {domain: set(found) for domain, found in before.items()}
    after['d0'].discard('p0-0')
    if not after['d0']:
        return
    for proxy in after['d0']:
        was = core.homes('g', cfg, proxy, 'd0', before).is_home
        stays = core.homes('g', cfg, proxy, 'd0', after).is_home
        assert stays or not was


# Tenants ------------------------------------------------------------------


def test_all_proxies_choose_the_same_home_for_a_tenant():
    homes = [f'vm-{n}.r' for n in range(6)]
    for tenant in map(str, range(40)):
        chosen = core.home_of_tenant('g', tenant, homes)
        assert chosen == core.home_of_tenant('g', tenant, homes[::-1])
        left = [home for home in homes if home != chosen]
        moved = core.home_of_tenant('g', tenant, left)
        assert moved in left


def test_tenants_are_spread_over_the_homes_of_a_group():
    homes = [f'vm-{n}.r' for n in range(6)]
    found = [core.home_of_tenant('g', f't{n}', homes) for n in range(78)]
    counts = [found.count(home) for home in homes]
    assert min(counts) > 0
    assert max(counts) <= 3 * 78 / 6


def test_fewer_homes_where_connections_belong_to_tenants():
    cfg = group(29)
    proxies = proxies_of([24, 24, 23])
    first = sorted(proxies['d0'])[0]
    shared = core.homes('g', cfg, first, 'd0', proxies)
    owned = core.homes('g', cfg, first, 'd0', proxies, by_tenant=True)
    assert owned.count < shared.count
    assert owned.count >= len(proxies)

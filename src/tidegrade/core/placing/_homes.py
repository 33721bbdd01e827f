"""Which proxies, the homes of a group, connect to its endpoints.

Connections are scarce, and every proxy that holds some must also receive
the group's state. So where there are many proxies, a few in each failure
domain serve a group on behalf of the other proxies of that domain. Larger VMs
come first, and the larger they are, the fewer homes there are: each home
limits only its own load on an endpoint, so many small homes overfill it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from tidegrade import config
from tidegrade.core.placing import _capacity
from tidegrade.core.placing import _rendezvous

#: Highest number of homes of a group in one failure domain: enough that the
#: group tolerates the loss of some, few enough that each is well used.
MAX_HOMES = 8
#: The same where each connection belongs to a tenant: the fewer homes there
#: are, the more requests of a tenant find an open connection of that tenant.
MAX_TENANT_HOMES = 2
#: Lowest number of homes of a group in one failure domain, if there would be
#: as many among equal VMs: with a single one, its loss leaves the domain
#: without a home until another has opened connections.
MIN_HOMES = 2
#: Part of an endpoint's connections that is divided among the homes. The
#: rest is reserved for the connections of proxies that have just ended: an
#: endpoint keeps counting them for up to 3 s.
SHARED_PART = 0.85


@attrs.frozen
class Homes:
    """Whether a proxy is a home of a group, and the number of homes.

    The ``count`` homes share the endpoints' connections.
    """

    is_home: bool
    count: int


def homes(
    group: str,
    cfg: config.Group,
    own: str,
    domain: str,
    proxies: Mapping[str, Collection[str]],
    by_tenant: bool = False,
    capacities: Mapping[str, int] = _capacity.NO_CAPACITIES,
) -> Homes:
    """Return whether proxy ``own`` in ``domain`` is a home of a group.

    ``proxies`` are the eligible proxies by failure domain, including
    ``own``. ``by_tenant`` means that each connection belongs to a tenant.
    ``capacities`` are those of the proxies' VMs in thousandths of a core.
    """
    most = _most_per_domain(cfg, len(proxies), by_tenant)
    counts = {
        name: _capacity.count_for_same_capacity(
            found, capacities, most, MIN_HOMES
        )
        for name, found in proxies.items()
    }
    own_rank = _capacity.rank(
        f'home {group}', own, proxies[domain], capacities
    )
    return Homes(own_rank < counts[domain], sum(counts.values()))


def _most_per_domain(cfg: config.Group, domains: int, by_tenant: bool) -> int:
    """Return the number of homes of a failure domain with equal VMs.

    A domain with fewer proxies has fewer.
    """
    min_connections = min(e.max_connections for e in cfg.endpoints.values())
    shared = int(min_connections * SHARED_PART) // domains
    return min(MAX_TENANT_HOMES if by_tenant else MAX_HOMES, max(1, shared))


def expected_homes(
    group: str,
    cfg: config.Group,
    proxies: Mapping[str, Collection[str]],
    by_tenant: bool = False,
    capacities: Mapping[str, int] = _capacity.NO_CAPACITIES,
) -> tuple[str, ...]:
    """Return the expected homes of a group, alive or not.

    After a restart of all proxies, requests can be forwarded to these a
    second before the homes have announced the groups that they serve.
    """
    if not proxies:
        return ()
    most = _most_per_domain(cfg, len(proxies), by_tenant)
    return tuple(
        proxy
        for found in proxies.values()
        for proxy in _capacity.largest_first(
            f'home {group}',
            found,
            capacities,
            _capacity.count_for_same_capacity(
                found, capacities, most, MIN_HOMES
            ),
        )
    )


def home_of_tenant(group: str, tenant: str, homes: Iterable[str]) -> str:
    """Return the home that holds a tenant's connections to a group."""
    return _rendezvous.highest_ranked(f'home {group} {tenant}', homes)


def owner_of(txn: str) -> str:
    """Return the proxy that holds a transaction, from its name."""
    return txn.partition('~')[0]

"""Order of proxies by the capacity of their VMs.

Work that takes processor time goes to the VMs that have most of it. The
order among VMs of equal capacity is that of rendezvous hashing.

Capacities are in thousandths of a core, so that all proxies compare the same
integers. A proxy without a known capacity counts as one of one core.
"""

from collections.abc import Collection
from collections.abc import Mapping
import heapq
import types

from tidegrade.core.placing import _rendezvous

#: Capacity of a VM that states none: that of one core.
DEFAULT_CAPACITY = 1000
#: Greatest capacity that messages between proxies can hold.
MAX_CAPACITY = (1 << 32) - 1
#: Capacities for callers that know none.
NO_CAPACITIES: Mapping[str, int] = types.MappingProxyType({})


def thousandths(cores: float) -> int:
    """Return a capacity in cores as thousandths; 0 (unknown) if not above 0.

    A positive capacity is at least 1, so that it does not become unknown.
    """
    if cores <= 0:
        return 0
    return round(min(max(1.0, cores * 1000), float(MAX_CAPACITY)))


def capacity_of(proxy: str, capacities: Mapping[str, int]) -> int:
    """Return a proxy's capacity, the default if it is unknown."""
    found = capacities.get(proxy, 0)
    return found if found > 0 else DEFAULT_CAPACITY


def largest_first(
    work: str,
    proxies: Collection[str],
    capacities: Mapping[str, int],
    count: int,
) -> tuple[str, ...]:
    """Return the first ``count`` proxies in the order for a piece of work."""
    sizes = {proxy: capacity_of(proxy, capacities) for proxy in proxies}
    least = min(heapq.nlargest(count, sizes.values()), default=0)
    # Relays are looked up for many messages: only proxies that can be among
    # the first are hashed and sorted.
    large = [proxy for proxy, size in sizes.items() if size >= least]
    large.sort(
        key=lambda proxy: (sizes[proxy], _rendezvous.weight(work, proxy)),
        reverse=True,
    )
    return tuple(large[:count])


def rank(
    work: str,
    own: str,
    proxies: Collection[str],
    capacities: Mapping[str, int],
) -> int:
    """Return the place of proxy ``own`` in the order; 0 is first."""
    own_capacity = capacity_of(own, capacities)
    equal = []
    before = 0
    for proxy in proxies:
        capacity = capacity_of(proxy, capacities)
        if capacity > own_capacity:
            before += 1
        elif capacity == own_capacity and proxy != own:
            equal.append(proxy)
    return before + _rendezvous.rank(work, own, equal)


def count_for_same_capacity(
    proxies: Collection[str],
    capacities: Mapping[str, int],
    most: int,
    least: int,
) -> int:
    """Return how many of the largest proxies equal ``most`` median ones.

    It is the smallest number whose total capacity reaches ``most`` times the
    median capacity of ``proxies``, but at least ``least`` and at most
    ``most`` or all. Of an even number of proxies the lower median counts.
    """
    most = min(most, len(proxies))
    if most <= least:
        return most
    sizes = sorted(
        (capacity_of(proxy, capacities) for proxy in proxies), reverse=True
    )
    wanted = most * sizes[len(sizes) // 2]
    total = 0
    for count, size in enumerate(sizes[:most], start=1):
        total += size
        if total >= wanted:
            return max(count, least)
    return most

"""Rendezvous hashing: which proxies do a piece of work for the others.

All proxies with the same membership list compute the same order. Each piece
of work has an order of its own, and a proxy that joins or leaves moves only
the work that it does itself. Proxies are hashed by VM, so a restarted proxy
takes its previous place: after a power loss of all VMs, the same VMs do the
same work as before.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import hashlib

#: Size of the cache of weights: more than the number of proxies times the
#: number of pieces of work that one proxy takes part in.
CACHED_WEIGHTS = 1 << 16


def rank(work: str, own: str, others: Iterable[str]) -> int:
    """Return the rank of proxy ``own`` for a piece of work; 0 is first."""
    own_weight = weight(work, own)
    return sum(weight(work, other) > own_weight for other in others)


def highest_ranked(work: str, proxies: Iterable[str]) -> str:
    """Return the proxy of rank 0.

    Raises ValueError if there are no proxies.
    """
    return max(proxies, key=lambda proxy: weight(work, proxy))


def top_ranked(
    work: str, proxies: Collection[str], count: int
) -> tuple[str, ...]:
    """Return the first ``count`` proxies in the order of their rank."""
    order = sorted(proxies, key=lambda p: weight(work, p), reverse=True)
    return tuple(order[:count])


@functools.lru_cache(CACHED_WEIGHTS)
def weight(work: str, proxy: str) -> bytes:
    """Return a proxy's weight for a piece of work; the highest is first."""
    return hashlib.sha256(f'{work}\0{vm_of(proxy)}'.encode()).digest()


def vm_of(proxy: str) -> str:
    """Return the name of a proxy's VM.

    A proxy's id is the name of its VM, a dot and an id of its process. An id
    without a dot is returned whole.
    """
    name, _, _ = proxy.rpartition('.')
    return name or proxy

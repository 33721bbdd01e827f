"""Who does a piece of work for others: rendezvous hashing.

Every proxy that knows of the same others gives the same order, another
piece of work has another order, and one proxy that comes or goes moves
only what it does itself. A proxy that restarts takes its old place: after
a loss of power of all, everybody turns to the same ones as before.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import hashlib

#: Weights that are remembered; more than all proxies times all kinds of
#: work that one proxy takes part in.
REMEMBERED = 1 << 16


def rank(work: str, own: str, others: Iterable[str]) -> int:
    """Give this proxy's turn at a piece of work; 0 goes first."""
    mine = weight(work, own)
    return sum(weight(work, other) > mine for other in others)


def first_in_turn(work: str, proxies: Iterable[str]) -> str:
    """Give the proxy whose turn comes first, in the order of ``rank``."""
    return max(proxies, key=lambda proxy: weight(work, proxy))


def first_ones(
    work: str, proxies: Collection[str], count: int
) -> tuple[str, ...]:
    """Give the first ``count`` proxies, in the order of ``rank``."""
    order = sorted(proxies, key=lambda p: weight(work, p), reverse=True)
    return tuple(order[:count])


@functools.lru_cache(REMEMBERED)
def weight(work: str, proxy: str) -> bytes:
    """Give a proxy's weight for a piece of work; the heaviest goes first."""
    return hashlib.sha256(f'{work}\0{vm_of(proxy)}'.encode()).digest()


def vm_of(proxy: str) -> str:
    """Give the name of a proxy's VM.

    A proxy is called after its VM, and after a dot by the run of its
    process.
    """
    name, _, _ = proxy.rpartition('.')
    return name or proxy

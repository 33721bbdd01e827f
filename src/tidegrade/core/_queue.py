"""Waiting requests, served fairly between tenants."""

import collections
from collections.abc import Callable
import typing

import attrs

from tidegrade.core import _order

#: Weight of the newest measurement in the mean service time.
SERVICE_WEIGHT = 0.1
#: Service time assumed before anything was measured, in seconds.
INITIAL_SERVICE = 0.005
#: Bounds of the time given to a refused caller, in seconds.
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0

T = typing.TypeVar('T')

#: Gives the place of an item at this moment.
Ranking = Callable[[T], _order.Rank]


class FairQueue(typing.Generic[T]):
    """A line a tenant; who goes first is told by a rank, then by turn."""

    def __init__(self) -> None:
        self._lines: collections.OrderedDict[str, list[T]] = (
            collections.OrderedDict()
        )
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> typing.Iterator[T]:
        for line in self._lines.values():
            yield from line

    def push(self, tenant: str, item: T) -> None:
        """Add to the tenant's line."""
        self._lines.setdefault(tenant, []).append(item)
        self._length += 1

    def heads(self, rank: Ranking[T]) -> list[tuple[str, T]]:
        """Give the first of each tenant's line, the next to be served first.

        Of two that are alike but for their arrival, the one goes first
        whose tenant was served longer ago.
        """
        found = [
            (tenant, min(line, key=lambda item: rank(item).within_tenant))
            for tenant, line in self._lines.items()
        ]
        found.sort(key=lambda head: rank(head[1]).across_tenants)
        return found

    def take(self, tenant: str, item: T) -> None:
        """Take an item that is served; its tenant's turn comes last then."""
        if self.remove(tenant, item) and tenant in self._lines:
            self._lines.move_to_end(tenant)

    def remove(self, tenant: str, item: T) -> bool:
        """Take an item out wherever it stands; tell if it was there."""
        line = self._lines.get(tenant)
        if line is None or item not in line:
            return False
        line.remove(item)
        self._length -= 1
        if not line:
            del self._lines[tenant]
        return True


@attrs.define
class ServiceTime:
    """How long a request keeps a connection, to estimate waits."""

    mean: float = INITIAL_SERVICE

    def served(self, took: float) -> None:
        """Take in the time one request kept a connection, in seconds."""
        self.mean += SERVICE_WEIGHT * (took - self.mean)

    def wait_for(self, ahead: int, width: int) -> float:
        """Estimate the wait behind ``ahead`` requests.

        ``width`` is the number of connections that serve them.
        """
        return ahead * self.mean / max(width, 1)

    def retry_after(self, ahead: int, width: int) -> float:
        """Give the time to state to a caller that is refused."""
        wait = self.wait_for(ahead + 1, width)
        return min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)

"""Queue of waiting requests, fair between tenants."""

import collections
from collections.abc import Callable
import typing

import attrs

from tidegrade.core.waiting import _order

#: Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
#: Service time assumed before the first sample, in seconds.
INITIAL_SERVICE_TIME_S = 0.005
#: Bounds of the retry delay reported to refused callers, in seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0

T = typing.TypeVar('T')

#: Returns the current rank of an item.
Ranking = Callable[[T], _order.Rank]


class FairQueue(typing.Generic[T]):
    """One queue per tenant; ordered by rank, then by round robin."""

    def __init__(self) -> None:
        self._queues: collections.OrderedDict[str, list[T]] = (
            collections.OrderedDict()
        )
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> typing.Iterator[T]:
        for queue in self._queues.values():
            yield from queue

    def push(self, tenant: str, item: T) -> None:
        """Append an item to the tenant's queue."""
        self._queues.setdefault(tenant, []).append(item)
        self._length += 1

    def heads(self, rank: Ranking[T]) -> list[tuple[str, T]]:
        """Return the first item of each tenant, in the order of service.

        Among items of equal rank between tenants, the tenant that was served
        longest ago comes first.
        """
        # A rank is only needed where there is a choice.
        found = [
            (
                tenant,
                queue[0]
                if len(queue) == 1
                else min(queue, key=lambda item: rank(item).within_tenant),
            )
            for tenant, queue in self._queues.items()
        ]
        if len(found) > 1:
            found.sort(key=lambda head: rank(head[1]).across_tenants)
        return found

    def take(self, tenant: str, item: T) -> None:
        """Remove an item that is served and move its tenant to the end."""
        if self.remove(tenant, item) and tenant in self._queues:
            self._queues.move_to_end(tenant)

    def remove(self, tenant: str, item: T) -> bool:
        """Remove an item; return whether it was in the queue."""
        queue = self._queues.get(tenant)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._length -= 1
        if not queue:
            del self._queues[tenant]
        return True


@attrs.define
class ServiceTime:
    """Moving average of the service time, to estimate queueing delays.

    The service time is how long a request occupies a connection. All times
    are in seconds.
    """

    mean: float = INITIAL_SERVICE_TIME_S

    def served(self, took: float) -> None:
        """Add the time that one request occupied a connection."""
        self.mean += SERVICE_TIME_WEIGHT * (took - self.mean)

    def wait_for(self, ahead: int, width: int) -> float:
        """Return the estimated wait behind ``ahead`` requests.

        ``width`` is the number of connections that serve them.
        """
        return ahead * self.mean / max(width, 1)

    def retry_after(self, ahead: int, width: int) -> float:
        """Return the delay after which a refused caller should retry."""
        wait = self.wait_for(ahead + 1, width)
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

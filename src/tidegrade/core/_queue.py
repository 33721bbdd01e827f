"""Waiting requests, served fairly between tenants."""

import collections
import typing

import attrs

#: Weight of the newest measurement in the mean service time.
SERVICE_WEIGHT = 0.1
#: Service time assumed before anything was measured, in seconds.
INITIAL_SERVICE = 0.005
#: Bounds of the time given to a refused caller, in seconds.
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0

T = typing.TypeVar('T')


class FairQueue(typing.Generic[T]):
    """One first-in first-out line a tenant, served in turn."""

    def __init__(self) -> None:
        self._lines: collections.OrderedDict[str, collections.deque[T]] = (
            collections.OrderedDict()
        )
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, tenant: str, item: T) -> None:
        """Add at the end of the tenant's line."""
        self._lines.setdefault(tenant, collections.deque()).append(item)
        self._length += 1

    def tenants(self) -> list[str]:
        """Give the tenants that have items, the next to be served first."""
        return list(self._lines)

    def peek(self, tenant: str) -> T | None:
        """Give the head of the tenant's line without taking it."""
        line = self._lines.get(tenant)
        return line[0] if line else None

    def pop(self, tenant: str) -> T:
        """Take the head of the tenant's line; its turn comes last then."""
        line = self._lines[tenant]
        item = line.popleft()
        self._length -= 1
        if line:
            self._lines.move_to_end(tenant)
        else:
            del self._lines[tenant]
        return item

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

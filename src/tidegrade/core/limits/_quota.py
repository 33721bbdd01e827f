"""Rate limit of a tenant across all proxies: a token bucket at one owner.

A tenant's callers come through any number of proxies, while proxies crash,
freeze and are partitioned from each other. One proxy, the owner of the
tenant's quota, grants each operation. While it sees only a part of all
proxies it grants that part of the rate, so that the owners on both sides of
a network partition together grant no more than the limit. A new owner starts
with a nearly empty bucket and a reduced rate: its predecessor may still be
granting on the other side of a partition that neither has detected yet. How
long a proxy has been first counts, not when it was first asked.
A fallback owner that sees the owner alive reports its grants to it, and the
owner deducts them, so that both together grant no more than the limit.
"""

from collections.abc import Iterator

import attrs

from tidegrade.core.limits import _bucket
from tidegrade.core.limits import _ownership
from tidegrade import tenants

#: How long after its start time a grant may be returned, in seconds: the
#: time of an immediate refusal. A grant that is returned later would be
#: granted a second time within the window in which it was first issued.
GRANT_RETURN_PERIOD_S = 0.05


@attrs.frozen
class Grant:
    """The owner's decision on one operation.

    If ``granted``, the operation may start after ``wait`` seconds; otherwise
    ``wait`` is the time in seconds after which a retry would be granted.
    ``part`` is the part of all proxies that the owner sees, and so the part
    of the limit that it grants. ``at`` is the start time that the grant
    counts for, in seconds on the owner's clock. ``reserved`` means that the
    operation was refused to keep a reserve for more urgent ones.
    """

    granted: bool
    wait: float
    part: float = 1.0
    at: float = 0.0
    reserved: bool = False


@attrs.frozen
class Admission:
    """Whether an operation may start, when, and which owner decided.

    ``wait`` is in seconds: the delay before the start, or, for a refusal,
    before a retry. ``owner`` is empty if no owner answered or none was
    asked. The owner granted ``part`` of the limit, for the start time ``at``
    in seconds on its own clock. ``reserved`` is as in :class:`Grant`.
    """

    granted: bool
    wait: float = 0.0
    owner: str = ''
    part: float = 1.0
    at: float = 0.0
    reserved: bool = False


class QuotaOwner:
    """Grants operations of the tenants whose quotas this proxy owns.

    ``part`` is always the part of all proxies that this one sees. Times are
    in seconds.
    """

    def __init__(self, started_at: float = float('-inf')) -> None:
        self._started_at = started_at
        self._buckets: dict[str, _bucket.Bucket] = {}
        #: When the visible part changed, and its value from then on.
        self._parts: list[tuple[float, float]] = []

    def __iter__(self) -> Iterator[str]:
        return iter(self._buckets)

    def grant(
        self,
        tenant: tenants.Tenant,
        part: float,
        patience: float,
        now: float,
        is_fallback: bool = False,
        first_since: float | None = None,
        priority: int = 0,
    ) -> Grant:
        """Grant an operation that can wait for ``patience`` seconds.

        ``is_fallback`` means that this proxy sees the tenant's usual owner
        alive, so that the usual owner may be granting at the same time.
        ``first_since`` is since when this proxy has been the usual owner;
        None if it isn't, or if that isn't known.

        An operation is granted only above a reserve for the requests of more
        urgent priorities. While there is one, the operation doesn't wait for
        its start: its grant would be deducted from the reserve at once.
        """
        bucket = self._current_bucket(tenant, part, now, first_since)
        if is_fallback:
            bucket.act_as_fallback(now)
        else:
            bucket.act_as_owner()
        bucket.demand.record(priority, now)
        wait = bucket.time_to_next(now, priority)
        if wait > (0.0 if bucket.reserve(priority) else patience):
            reserved = bucket.time_to_next(now) <= patience
            bucket.counts.refused += 1
            bucket.counts.reserved += reserved
            return Grant(False, wait, part, reserved=reserved)
        bucket.take(now)
        return Grant(True, wait, part, now + wait)

    def give_back(self, name: str, at: float, now: float) -> bool:
        """Return a grant whose operation reached no endpoint.

        ``at`` is the grant's start time. The result is False if the grant
        is too old, or if its tenant has no bucket here.
        """
        bucket = self._buckets.get(name)
        if bucket is None or now - at > GRANT_RETURN_PERIOD_S:
            return False
        bucket.refill(now)
        bucket.level = min(bucket.level + 1, bucket.capacity)
        bucket.counts.given_back += 1
        return True

    def prepare(
        self, tenant: tenants.Tenant, first_since: float | None, now: float
    ) -> None:
        """Create the bucket of an established owner if there is none.

        Otherwise grants that fallback owners report before the first request
        here would not be deducted from what has accrued.
        """
        if tenant.name not in self._buckets and _is_established(
            first_since, now
        ):
            part = self._parts[-1][1] if self._parts else 0.0
            self._current_bucket(tenant, part, now, first_since)

    def take_off(self, name: str, now: float) -> None:
        """Deduct a grant that a fallback owner gave.

        The level may fall below 0: the operation has already been granted.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return
        bucket.refill(now)
        bucket.level -= 1
        bucket.counts.taken_off += 1

    def observe(self, part: float, now: float) -> None:
        """Set the part of all proxies that is seen from ``now`` on."""
        if not self._parts or self._parts[-1][1] != part:
            self._parts.append((now, part))
            oldest = now - _ownership.HISTORY_S
            while len(self._parts) > 1 and self._parts[1][0] <= oldest:
                del self._parts[0]
        for bucket in self._buckets.values():
            bucket.refill(now)
            bucket.part = part

    def lowest_part(self, now: float) -> float:
        """Return the lowest part seen within ``NEW_OWNER_PERIOD_S``."""
        oldest = now - _bucket.NEW_OWNER_PERIOD_S
        lowest = 1.0
        for at, part in reversed(self._parts):
            lowest = min(lowest, part)
            if at <= oldest:
                return lowest
        return 0.0

    def paused(self, seconds: float) -> None:
        """Skip the refill for a time in which this process was frozen.

        Another proxy may have owned the quotas during that time.
        """
        for bucket in self._buckets.values():
            bucket.refilled_at += seconds

    def retain_only(
        self, names: frozenset[str], now: float
    ) -> list[tuple[str, float]]:
        """Drop the buckets of tenants whose quotas other proxies own.

        Returns the tenants and levels that can be handed over: the buckets at
        the full rate. While the rate is reduced, a previous owner may still
        be granting, and a receiver must wait until it has stopped.
        """
        dropped = []
        for name in self._buckets.keys() - names:
            bucket = self._buckets.pop(name)
            if not bucket.is_reduced(now):
                bucket.refill(now)
                dropped.append((name, bucket.level))
        return dropped

    def take_over(
        self,
        tenant: tenants.Tenant,
        level: float,
        part: float,
        first_since: float | None,
        now: float,
    ) -> bool:
        """Take the level that the previous owner handed over.

        The result is False if the bucket here isn't new: this owner already
        grants at the full rate.
        """
        if tenant.name not in self._buckets and _is_established(
            first_since, now
        ):
            return False
        bucket = self._current_bucket(tenant, part, now, first_since)
        bucket.act_as_owner()
        if not bucket.is_reduced(now):
            return False
        bucket.take_over(level, now)
        return True

    def reports(self) -> Iterator[tuple[_bucket.Bucket, _bucket.GrantCounts]]:
        """Yield buckets with their counts since the last report."""
        for bucket in self._buckets.values():
            if bucket.counts != _bucket.GrantCounts():
                counts, bucket.counts = bucket.counts, _bucket.GrantCounts()
                yield bucket, counts

    def level_of(self, name: str) -> float | None:
        """Return a tenant's level; None if it has no bucket here."""
        bucket = self._buckets.get(name)
        return None if bucket is None else bucket.level

    def _current_bucket(
        self,
        tenant: tenants.Tenant,
        part: float,
        now: float,
        first_since: float | None,
    ) -> _bucket.Bucket:
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            bucket = self._first_bucket(tenant, part, now, first_since)
            self._buckets[tenant.name] = bucket
        bucket.refill(now)
        # A lower limit also applies to operations accrued before it.
        bucket.tenant = tenant
        bucket.part = part
        bucket.level = min(bucket.level, bucket.capacity)
        return bucket

    def _first_bucket(
        self,
        tenant: tenants.Tenant,
        part: float,
        now: float,
        first_since: float | None,
    ) -> _bucket.Bucket:
        if first_since is not None and _is_established(first_since, now):
            return _bucket.established_bucket(tenant, self._parts, first_since)
        process_age = now - self._started_at
        bucket = _bucket.new_bucket(tenant, part, process_age, now)
        if first_since is not None:
            until = first_since + _bucket.NEW_OWNER_PERIOD_S
            bucket.reduced_until = min(bucket.reduced_until, until)
        return bucket


def _is_established(first_since: float | None, now: float) -> bool:
    """Return whether a previous owner must have stopped granting."""
    if first_since is None:
        return False
    return now - first_since >= _bucket.NEW_OWNER_PERIOD_S

"""Rate limit of a tenant across all proxies: a token bucket at one owner.

A tenant's callers come through any number of proxies, while proxies crash,
freeze and are partitioned from each other. One proxy, the owner of the
tenant's quota, grants each operation. While it sees only a part of all
proxies it grants that part of the rate, so that the owners on both sides of
a network partition together grant no more than the limit. A new owner starts
with a nearly empty bucket and a reduced rate: its predecessor may still be
granting on the other side of a partition that neither has detected yet.
A fallback owner that sees the owner alive reports its grants to it, and the
owner deducts them, so that both together grant no more than the limit.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from tidegrade.core.placing import _rendezvous
from tidegrade import tenants

#: How long after its start time a grant may be returned, in seconds: the
#: time of an immediate refusal. A grant that is returned later would be
#: granted a second time within the window in which it was first issued.
GRANT_RETURN_PERIOD_S = 0.05
#: Operations that a new owner may grant at once. The sum over several
#: consecutive changes of owner must stay below the permitted excess.
INITIAL_GRANTS = 2.0
#: Part of the limit that a new owner grants at most, and for how long, in
#: seconds: until the previous owner must have detected a partition. Their
#: product is a time at the full limit, and stays below the permitted excess
#: of half a second.
NEW_OWNER_PART = 0.2
NEW_OWNER_PERIOD_S = 2.6
#: The same for an owner whose process has just started: other proxies ask it
#: sooner than they detect a partition, and after a restart of all proxies no
#: other proxy grants.
NEW_PROCESS_PART = 0.4
NEW_PROCESS_PERIOD_S = 1.4
#: Part of the limit that a fallback owner grants while it still sees the
#: usual owner alive after ``NEW_OWNER_PERIOD_S``: the usual owner grants the
#: full limit to the proxies that reach it.
FALLBACK_OWNER_PART = 0.05
#: Time without requests to the fallback owner after which its fallback
#: period starts again, in seconds: at least the longest window of a quota.
FALLBACK_RESET_S = 5.0
#: Weight of a recently listed proxy without a heartbeat yet: less than
#: one, since it may be behind a partition that this process has not detected.
STARTING_WEIGHT = 0.5
#: Candidates that are asked for one operation: a proxy that is partitioned
#: from two failure domains still reaches a candidate in its own.
MAX_CANDIDATES = 3


@attrs.frozen
class Grant:
    """The owner's decision on one operation.

    If ``granted``, the operation may start after ``wait`` seconds; otherwise
    ``wait`` is the time in seconds after which a retry would be granted.
    ``part`` is the part of all proxies that the owner sees, and so the part
    of the limit that it grants. ``at`` is the start time that the grant
    counts for, in seconds on the owner's clock.
    """

    granted: bool
    wait: float
    part: float = 1.0
    at: float = 0.0


@attrs.frozen
class Admission:
    """Whether an operation may start, when, and which owner decided.

    ``wait`` is in seconds: the delay before the start, or, for a refusal,
    before a retry. ``owner`` is empty if no owner answered or none was
    asked. The owner granted ``part`` of the limit, for the start time ``at``
    in seconds on its own clock.
    """

    granted: bool
    wait: float = 0.0
    owner: str = ''
    part: float = 1.0
    at: float = 0.0


@attrs.define
class GrantCounts:
    """Decisions on a tenant's operations since the last report.

    ``taken_off`` counts the grants of fallback owners that were deducted.
    """

    granted: int = 0
    refused: int = 0
    given_back: int = 0
    taken_off: int = 0


@attrs.define
class Bucket:
    """Token bucket of a tenant; ``level`` is in operations.

    The level is below 0 while granted operations wait for their start.
    """

    tenant: tenants.Tenant
    part: float
    level: float
    refilled_at: float
    #: Highest part of the limit granted until ``reduced_until``, in seconds.
    reduced_part: float = 1.0
    reduced_until: float = float('-inf')
    #: When this proxy began to grant although it sees the tenant's usual
    #: owner alive, and when it last did so, in seconds.
    fallback_since: float | None = None
    last_fallback_at: float = float('-inf')
    counts: GrantCounts = attrs.field(factory=GrantCounts)

    @property
    def rate(self) -> float:
        """Operations per second that this proxy grants."""
        return self.tenant.rate * self.part

    @property
    def capacity(self) -> float:
        """Capacity of the bucket, in operations."""
        return max(1.0, self.tenant.burst * self.part)

    def refill(self, now: float) -> None:
        """Add the operations accrued since the last refill."""
        reduced_s = max(0.0, min(now, self.reduced_until) - self.refilled_at)
        full_s = max(0.0, now - max(self.refilled_at, self.reduced_until))
        reduced_rate = min(self.part, self.reduced_part) * self.tenant.rate
        accrued = reduced_s * reduced_rate + full_s * self.rate
        self.level = min(self.level + accrued, self.capacity)
        self.refilled_at = max(self.refilled_at, now)

    def act_as_fallback(self, now: float) -> None:
        """Reduce the rate and cap the level beside the usual owner."""
        pause = now - self.last_fallback_at
        if self.fallback_since is None or pause > FALLBACK_RESET_S:
            self.fallback_since = now
        self.last_fallback_at = now
        expired = now - self.fallback_since >= NEW_OWNER_PERIOD_S
        self.reduced_part = FALLBACK_OWNER_PART if expired else NEW_OWNER_PART
        self.reduced_until = float('inf')
        self.level = min(self.level, INITIAL_GRANTS)

    def act_as_owner(self) -> None:
        """End a fallback period.

        The full rate applies ``NEW_OWNER_PERIOD_S`` after its start.
        """
        if self.fallback_since is not None:
            self.reduced_part = NEW_OWNER_PART
            self.reduced_until = self.fallback_since + NEW_OWNER_PERIOD_S
            self.fallback_since = None

    def current_rate(self, now: float) -> float:
        """Return the operations per second that are granted at ``now``."""
        if now < self.reduced_until:
            return min(self.part, self.reduced_part) * self.tenant.rate
        return self.rate


class QuotaOwner:
    """Grants operations of the tenants whose quotas this proxy owns.

    ``part`` is always the part of all proxies that this one sees. Times are
    in seconds.
    """

    def __init__(self, started_at: float = float('-inf')) -> None:
        self._started_at = started_at
        self._buckets: dict[str, Bucket] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._buckets)

    def grant(
        self,
        tenant: tenants.Tenant,
        part: float,
        patience: float,
        now: float,
        is_fallback: bool = False,
    ) -> Grant:
        """Grant an operation that can wait for ``patience`` seconds.

        ``is_fallback`` means that this proxy sees the tenant's usual owner
        alive, so that the usual owner may be granting at the same time.
        """
        bucket = self._bucket(tenant, part, now)
        if is_fallback:
            bucket.act_as_fallback(now)
        else:
            bucket.act_as_owner()
        wait = self._wait(bucket, now)
        if wait > patience:
            bucket.counts.refused += 1
            return Grant(False, wait, part)
        bucket.counts.granted += 1
        bucket.level -= 1
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
        for bucket in self._buckets.values():
            bucket.refill(now)
            bucket.part = part

    def paused(self, seconds: float) -> None:
        """Skip the refill for a time in which this process was frozen.

        Another proxy may have owned the quotas during that time.
        """
        for bucket in self._buckets.values():
            bucket.refilled_at += seconds

    def retain_only(self, names: frozenset[str]) -> None:
        """Drop the buckets of tenants whose quotas other proxies own."""
        for name in self._buckets.keys() - names:
            del self._buckets[name]

    def reports(self) -> Iterator[tuple[Bucket, GrantCounts]]:
        """Yield buckets with their counts since the last report."""
        for bucket in self._buckets.values():
            if bucket.counts != GrantCounts():
                counts, bucket.counts = bucket.counts, GrantCounts()
                yield bucket, counts

    def level_of(self, name: str) -> float | None:
        """Return a tenant's level; None if it has no bucket here."""
        bucket = self._buckets.get(name)
        return None if bucket is None else bucket.level

    def _bucket(
        self, tenant: tenants.Tenant, part: float, now: float
    ) -> Bucket:
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            bucket = self._new_bucket(tenant, part, now)
            self._buckets[tenant.name] = bucket
        bucket.refill(now)
        # A lower limit also applies to operations accrued before it.
        bucket.tenant = tenant
        bucket.part = part
        bucket.level = min(bucket.level, bucket.capacity)
        return bucket

    def _new_bucket(
        self, tenant: tenants.Tenant, part: float, now: float
    ) -> Bucket:
        reduced_part, reduced_for = NEW_OWNER_PART, NEW_OWNER_PERIOD_S
        if now - self._started_at < NEW_OWNER_PERIOD_S:
            reduced_part, reduced_for = NEW_PROCESS_PART, NEW_PROCESS_PERIOD_S
        level = min(INITIAL_GRANTS, tenant.burst)
        return Bucket(
            tenant, part, level, now, reduced_part, now + reduced_for
        )

    @staticmethod
    def _wait(bucket: Bucket, now: float) -> float:
        """Return the time until one more operation may start, in seconds."""
        if bucket.level >= 1:
            return 0.0
        rate = bucket.current_rate(now)
        if rate <= 0:
            return float('inf')
        return (1 - bucket.level) / rate


def quota_owners(
    tenant: str, proxies: Mapping[str, str], excluded: Collection[str]
) -> tuple[str, ...]:
    """Return the proxies to ask for a grant, the usual owner first.

    ``proxies`` maps the proxies that take work to their failure domains.
    Each further candidate is in another domain: an owner that does not
    answer may be partitioned together with its whole domain.
    """
    found: dict[str, str] = {}
    order = _rendezvous.top_ranked(_hash_key(tenant), proxies, len(proxies))
    for proxy in order:
        if proxy not in excluded:
            found.setdefault(proxies[proxy], proxy)
    return tuple(found.values())[:MAX_CANDIDATES]


def owns_quota(tenant: str, own: str, proxies: Collection[str]) -> bool:
    """Return whether proxy ``own`` is the usual owner of a quota."""
    return _rendezvous.highest_ranked(_hash_key(tenant), proxies) == own


def visible_part(seen: int, known: int, starting: int = 0) -> float:
    """Return the part of all ``known`` proxies that this one sees.

    ``known`` includes proxies without a heartbeat for a long time: if
    they are partitioned, they grant their own part. ``starting`` is the
    number of proxies listed just now, which count with a lower weight:
    after a restart of all proxies none has sent a heartbeat yet.
    """
    return min(1.0, (seen + starting * STARTING_WEIGHT) / max(known, 1))


def _hash_key(tenant: str) -> str:
    """Return the key that is hashed to choose the quota's owner."""
    return f'quota {tenant}'

"""Token bucket of one tenant at one proxy."""

import collections
from collections.abc import Iterable

import attrs

from tidegrade.core.limits import _reserve
from tidegrade import tenants

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


@attrs.define
class GrantCounts:
    """Decisions on a tenant's operations since the last report.

    ``taken_off`` counts the grants of fallback owners that were deducted,
    ``reserved`` the refusals that kept a reserve for more urgent operations.
    """

    granted: int = 0
    refused: int = 0
    given_back: int = 0
    taken_off: int = 0
    reserved: int = 0


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
    #: Start times of the recent grants at a reduced rate, in seconds.
    reduced_grants: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    counts: GrantCounts = attrs.field(factory=GrantCounts)
    demand: _reserve.Demand = attrs.field(factory=_reserve.Demand)

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

    def is_reduced(self, now: float) -> bool:
        """Return whether another owner may be granting."""
        return now < self.reduced_until

    def take(self, now: float) -> None:
        """Deduct one operation that is granted."""
        self.level -= 1
        self.counts.granted += 1
        if self.is_reduced(now):
            self.reduced_grants.append(now)
            oldest = now - NEW_OWNER_PERIOD_S
            while self.reduced_grants[0] < oldest:
                self.reduced_grants.popleft()

    def take_over(self, level: float, now: float) -> None:
        """Take the level of the previous owner, which grants no more.

        What was granted meanwhile at the reduced rate is deducted. The level
        isn't below 0 as a result: some of these grants may have been
        reported to the previous owner already.
        """
        oldest = now - NEW_OWNER_PERIOD_S
        granted = sum(at >= oldest for at in self.reduced_grants)
        lowest = min(self.level, level, 0.0)
        self.level = min(max(level - granted, lowest), self.capacity)
        self.refilled_at = max(self.refilled_at, now)
        self.reduced_until = float('-inf')
        self.reduced_grants.clear()

    def current_rate(self, now: float) -> float:
        """Return the operations per second that are granted at ``now``."""
        if self.is_reduced(now):
            return min(self.part, self.reduced_part) * self.tenant.rate
        return self.rate

    @property
    def highest_level(self) -> float:
        """The highest level that the bucket may have."""
        if self.fallback_since is not None:
            return min(self.capacity, INITIAL_GRANTS)
        return self.capacity

    def reserve(self, priority: int) -> float:
        """Return the operations kept for requests above a priority."""
        urgent_rate = self.demand.urgent_rate(priority)
        return _reserve.reserve_for(urgent_rate, self.highest_level)

    def time_to_next(self, now: float, priority: int = 0) -> float:
        """Return the time until one more operation may start, in seconds.

        The expected requests of more urgent priorities are deducted from what
        accrues.
        """
        missing = 1 + self.reserve(priority) - self.level
        if missing <= 0:
            return 0.0
        rate = self.current_rate(now)
        if rate <= 0:
            return float('inf')
        remaining = rate - self.demand.urgent_rate(priority)
        return missing / max(remaining, rate * _reserve.MIN_REMAINING_PART)


def new_bucket(
    tenant: tenants.Tenant, part: float, process_age: float, now: float
) -> Bucket:
    """Return the bucket of an owner whose predecessor may still grant.

    ``process_age`` is the time since this process started, in seconds.
    """
    reduced_part, reduced_for = NEW_OWNER_PART, NEW_OWNER_PERIOD_S
    if process_age < NEW_OWNER_PERIOD_S:
        reduced_part, reduced_for = NEW_PROCESS_PART, NEW_PROCESS_PERIOD_S
    level = min(INITIAL_GRANTS, tenant.burst)
    return Bucket(tenant, part, level, now, reduced_part, now + reduced_for)


def established_bucket(
    tenant: tenants.Tenant,
    parts: Iterable[tuple[float, float]],
    first_since: float,
) -> Bucket:
    """Return the bucket of an owner without a predecessor that may grant.

    ``first_since`` is when this proxy became first, at least
    ``NEW_OWNER_PERIOD_S`` ago. Operations accrue from the end of that period
    at the parts that were visible then: ``parts`` holds the time of each
    change and the part from then on, in order.
    """
    start = first_since + NEW_OWNER_PERIOD_S
    level = min(INITIAL_GRANTS, tenant.burst)
    bucket = Bucket(tenant, 0.0, level, start)
    for at, part in parts:
        if at > start:
            bucket.refill(at)
        bucket.part = part
    return bucket

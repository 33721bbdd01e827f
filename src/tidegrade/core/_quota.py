"""One quota over all proxies: how fast a tenant's operations are granted.

The load pattern: a tenant's callers come through every proxy, some through
one and some through many, while proxies die, stand still and are cut off
from each other. One proxy, the tenant's keeper, grants its operations one by
one. While it sees only part of all proxies it grants that part of the rate,
so that the keepers on both sides of a cut grant no more than the whole. Who
becomes keeper has saved up next to nothing and grants little at first: its
predecessor may be behind a cut that neither has noticed, and grant on.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from tidegrade.core import _turns
from tidegrade import tenants

#: How long after it counts a grant may be given back, in seconds: the time
#: of an immediate refusal. What comes back later would be granted twice
#: within the window in which it was sent.
BACK_WITHIN = 0.05
#: Operations that a new keeper may grant at once. Those of several changes
#: of keeper in a row must stay below the excess that a quota bears.
START_GRANTS = 2.0
#: Part of the limit that a new keeper grants at most, and for how long, in
#: seconds: until whoever kept the tenant before must have noticed a cut. The
#: two multiplied are less than the half limit of a second that a quota bears.
NEW_PART = 0.2
NEW_FOR = 2.6
#: The same for a process that has just started: others turn to it sooner
#: than they notice a cut, and after a restart of all nobody else grants.
STARTED_PART = 0.4
STARTED_FOR = 1.4
#: Part of the limit that is granted in the place of a keeper that is still
#: seen alive after ``NEW_FOR``: it grants the whole to those who reach it.
STAND_IN_PART = 0.05
#: Time without questions after which standing in begins anew, in seconds: no
#: shorter than the longest window of a quota.
STAND_IN_PAUSE = 5.0
#: How much a proxy counts that was listed just now and not heard: less than
#: one, since it may be behind a cut that this process has not noticed yet.
STARTING_WEIGHT = 0.5
#: Keepers that are asked for one operation: whoever is cut off from two
#: failure domains still reaches one of its own.
MOST_ASKED = 3


@attrs.frozen
class Grant:
    """What a keeper says of one operation.

    If it is ``granted`` it may start after ``wait`` seconds; else ``wait``
    is the time after which another would be granted. ``part`` is that of
    all proxies which the keeper sees, and of the limit that it grants.
    ``at`` is the moment at which it counts, by the keeper's clock.
    """

    granted: bool
    wait: float
    part: float = 1.0
    at: float = 0.0


@attrs.frozen
class Admission:
    """Whether an operation may start, after which wait, and who said so.

    A ``wait`` beside a refusal is when to come back; both in seconds. No
    ``keeper`` is named where none answered, or none was asked; it granted by
    ``part`` of the limit, at ``at`` by its own clock.
    """

    granted: bool
    wait: float = 0.0
    keeper: str = ''
    part: float = 1.0
    at: float = 0.0


@attrs.define
class GrantCounts:
    """What became of a tenant's questions since the last report."""

    granted: int = 0
    refused: int = 0
    given_back: int = 0


@attrs.define
class Bucket:
    """What a tenant has saved up, in operations; below 0 it owes some."""

    tenant: tenants.Tenant
    part: float
    level: float
    filled_at: float
    #: Part that is granted at most while this keeper is new, and until when.
    new_part: float = 1.0
    new_until: float = float('-inf')
    #: Since when this proxy grants though it sees the tenant's usual keeper
    #: alive, and when it did so last.
    stand_in_since: float | None = None
    stood_in_at: float = float('-inf')
    counts: GrantCounts = attrs.field(factory=GrantCounts)

    @property
    def rate(self) -> float:
        """Give the operations a second that are granted here."""
        return self.tenant.rate * self.part

    @property
    def most(self) -> float:
        """Give how many operations may be saved up here."""
        return max(1.0, self.tenant.burst * self.part)

    def fill(self, now: float) -> None:
        """Take in what was earned since the last time."""
        new = max(0.0, min(now, self.new_until) - self.filled_at)
        usual = max(0.0, now - max(self.filled_at, self.new_until))
        little = min(self.part, self.new_part) * self.tenant.rate
        earned = new * little + usual * self.rate
        self.level = min(self.level + earned, self.most)
        self.filled_at = max(self.filled_at, now)

    def stand_in(self, now: float) -> None:
        """Grant little, and save up nothing, beside the usual keeper."""
        pause = now - self.stood_in_at
        if self.stand_in_since is None or pause > STAND_IN_PAUSE:
            self.stand_in_since = now
        self.stood_in_at = now
        late = now - self.stand_in_since >= NEW_FOR
        self.new_part = STAND_IN_PART if late else NEW_PART
        self.new_until = float('inf')
        self.level = min(self.level, START_GRANTS)

    def be_keeper(self) -> None:
        """Grant the whole again, ``NEW_FOR`` after standing in began."""
        if self.stand_in_since is not None:
            self.new_part = NEW_PART
            self.new_until = self.stand_in_since + NEW_FOR
            self.stand_in_since = None

    def rate_at(self, now: float) -> float:
        """Give the operations a second that are granted at this moment."""
        if now < self.new_until:
            return min(self.part, self.new_part) * self.tenant.rate
        return self.rate


class QuotaKeeper:
    """Grants operations of the tenants that this proxy keeps.

    ``part`` is always the share of all proxies that this one sees.
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
        stands_in: bool = False,
    ) -> Grant:
        """Grant an operation that can wait for ``patience`` seconds.

        ``stands_in`` says that another proxy, which is seen alive, is the
        tenant's usual keeper, and grants as well.
        """
        bucket = self._bucket(tenant, part, now)
        if stands_in:
            bucket.stand_in(now)
        else:
            bucket.be_keeper()
        wait = self._wait(bucket, now)
        if wait > patience:
            bucket.counts.refused += 1
            return Grant(False, wait, part)
        bucket.counts.granted += 1
        bucket.level -= 1
        return Grant(True, wait, part, now + wait)

    def give_back(self, name: str, at: float, now: float) -> bool:
        """Take back a grant whose operation reached no endpoint.

        It counts at ``at``; False if that is too long ago.
        """
        bucket = self._buckets.get(name)
        if bucket is None or now - at > BACK_WITHIN:
            return False
        bucket.fill(now)
        bucket.level = min(bucket.level + 1, bucket.most)
        bucket.counts.given_back += 1
        return True

    def observe(self, part: float, now: float) -> None:
        """Earn by another part from now on."""
        for bucket in self._buckets.values():
            bucket.fill(now)
            bucket.part = part

    def paused(self, seconds: float) -> None:
        """Earn nothing for a time in which this process stood still.

        Another proxy may have been the keeper meanwhile.
        """
        for bucket in self._buckets.values():
            bucket.filled_at += seconds

    def keep_only(self, names: frozenset[str]) -> None:
        """Forget the tenants that other proxies keep from now on."""
        for name in self._buckets.keys() - names:
            del self._buckets[name]

    def reports(self) -> Iterator[tuple[Bucket, GrantCounts]]:
        """Give what became of the questions since the last time."""
        for bucket in self._buckets.values():
            if bucket.counts != GrantCounts():
                counts, bucket.counts = bucket.counts, GrantCounts()
                yield bucket, counts

    def level_of(self, name: str) -> float | None:
        """Give what a tenant has saved up; None if it isn't kept here."""
        bucket = self._buckets.get(name)
        return None if bucket is None else bucket.level

    def _bucket(
        self, tenant: tenants.Tenant, part: float, now: float
    ) -> Bucket:
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            bucket = self._new_bucket(tenant, part, now)
            self._buckets[tenant.name] = bucket
        bucket.fill(now)
        # A lower limit holds for what was saved up before, too.
        bucket.tenant = tenant
        bucket.part = part
        bucket.level = min(bucket.level, bucket.most)
        return bucket

    def _new_bucket(
        self, tenant: tenants.Tenant, part: float, now: float
    ) -> Bucket:
        new_part, new_for = NEW_PART, NEW_FOR
        if now - self._started_at < NEW_FOR:
            new_part, new_for = STARTED_PART, STARTED_FOR
        level = min(START_GRANTS, tenant.burst)
        return Bucket(tenant, part, level, now, new_part, now + new_for)

    @staticmethod
    def _wait(bucket: Bucket, now: float) -> float:
        """Give how long it is until one more may start, in seconds."""
        if bucket.level >= 1:
            return 0.0
        rate = bucket.rate_at(now)
        if rate <= 0:
            return float('inf')
        return (1 - bucket.level) / rate


def keepers_of(
    tenant: str, proxies: Mapping[str, str], passed_over: Collection[str]
) -> tuple[str, ...]:
    """Give whom to ask for a grant, the usual keeper first.

    ``proxies`` are those that take work, with their failure domains. Each
    further one is of another domain: a keeper that doesn't answer may be cut
    off with all of its own.
    """
    found: dict[str, str] = {}
    turns = _turns.first_ones(_work(tenant), proxies, len(proxies))
    for proxy in turns:
        if proxy not in passed_over:
            found.setdefault(proxies[proxy], proxy)
    return tuple(found.values())[:MOST_ASKED]


def keeps(tenant: str, own: str, proxies: Collection[str]) -> bool:
    """Tell whether a proxy is the usual keeper of a tenant."""
    return _turns.first_in_turn(_work(tenant), proxies) == own


def part_seen(seen: int, known: int, starting: int = 0) -> float:
    """Give the part of all proxies that is seen; ``known`` counts all.

    Those that were not heard for long count as well: cut off, they grant
    by their own part. Those that were listed just now count a little: after
    a restart of all nobody has been heard yet.
    """
    return min(1.0, (seen + starting * STARTING_WEIGHT) / max(known, 1))


def _work(tenant: str) -> str:
    """Name the keeping of a tenant's quota, to choose who does it."""
    return f'quota {tenant}'

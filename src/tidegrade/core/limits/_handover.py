"""Handing a tenant's bucket over to its next owner.

The former owner grants nothing once it has sent the bucket's level, so the
receiver need not wait until a predecessor must have stopped. A handover that
is lost or refused costs only what had accrued.
"""

from collections.abc import Iterator

import attrs

from tidegrade.core.limits import _bucket

#: How long a handover is kept for a receiver that has not yet learned that it
#: is first, in seconds. For the same time after a pause of the process none
#: is accepted: those that arrived during the pause may be of any age.
HANDOVER_KEPT_S = 1.0
#: Part of all proxies that both the sender and the receiver must see: another
#: owner, on the other side of a partition that ends just now, then grants at
#: most the rest of the limit. That is what a new owner may grant, too.
EXCLUSIVE_PART = 0.8


@attrs.frozen
class Handover:
    """The level of a tenant's bucket, in operations, from its last owner."""

    tenant: str
    level: float
    sender: str


class Handovers:
    """The handovers that this proxy has sent, and those that it may accept.

    Times are in seconds.
    """

    def __init__(self) -> None:
        self._sent_at: dict[str, float] = {}
        self._kept: dict[str, tuple[Handover, float]] = {}
        self._paused_at = float('-inf')

    def may_send(self, lowest_part: float, now: float) -> bool:
        """Return whether no other proxy can have granted beside this one.

        ``lowest_part`` is the lowest part of all proxies that was visible
        within ``NEW_OWNER_PERIOD_S``. Within this time after a pause of the
        process another owner may have granted.
        """
        if now - self._paused_at < _bucket.NEW_OWNER_PERIOD_S:
            return False
        return lowest_part >= EXCLUSIVE_PART

    def record_sent(self, tenant: str, now: float) -> None:
        """Record that this proxy handed a tenant's bucket over."""
        self._sent_at[tenant] = now

    def has_sent(self, tenant: str, now: float) -> bool:
        """Return whether a receiver may grant at the full rate.

        Proxies that have not noticed the change of owner still ask this one.
        """
        sent_at = self._sent_at.get(tenant, float('-inf'))
        return now - sent_at < _bucket.NEW_OWNER_PERIOD_S

    def keep(self, handover: Handover, now: float) -> None:
        """Keep a received handover until it can be accepted or expires."""
        if now - self._paused_at >= HANDOVER_KEPT_S:
            self._kept[handover.tenant] = handover, now

    def kept(self, now: float) -> Iterator[Handover]:
        """Yield the kept handovers that have not expired; drop the others."""
        for tenant, (handover, at) in list(self._kept.items()):
            if now - at > HANDOVER_KEPT_S:
                del self._kept[tenant]
            else:
                yield handover

    def drop(self, tenant: str) -> None:
        """Drop a kept handover."""
        self._kept.pop(tenant, None)

    def paused(self, now: float) -> None:
        """Drop what may be too old after a pause of this process."""
        self._paused_at = now
        self._kept.clear()

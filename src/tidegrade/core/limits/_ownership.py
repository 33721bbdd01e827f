"""Since when this proxy has been ranked first for a tenant's quota.

A proxy that becomes first may have a predecessor behind a partition that
grants until it detects it. Proxies are told apart by their ids, and ranked
as in ``_owners``.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from tidegrade.core.limits import _owners
from tidegrade.core.placing import _rendezvous

#: How long departed proxies are remembered, in seconds. An owner that has
#: been first for longer counts as first for this long; a bucket whose burst
#: takes longer to accrue is rare.
HISTORY_S = 60.0


class Ownership:
    """Records when the proxies that outrank this one left.

    No ownership is counted before a complete list of the proxies is known:
    a process that has just started would find itself first for every tenant.
    The times are computed from the departures when they are needed, so the
    cost of a change of membership does not grow with the number of tenants.
    """

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        self._counted_from = now
        self._proxies: frozenset[str] = frozenset()
        self._left_at: dict[str, float] = {}

    def update(
        self, proxies: Collection[str], now: float, complete: bool = True
    ) -> None:
        """Record the proxies that take work at present.

        ``complete`` means that a list of all proxies is known.
        """
        present = frozenset(proxies)
        if self._own not in present or not complete:
            self._counted_from = now
        for proxy in self._proxies - present:
            self._left_at[proxy] = now
        self._proxies = present
        self._left_at = {
            proxy: at
            for proxy, at in self._left_at.items()
            if proxy not in present and now - at < HISTORY_S
        }

    def reset(self, now: float) -> None:
        """Count from ``now``, after a pause of this process.

        The other proxies may have had another owner during the pause.
        """
        self._counted_from = now

    def first_since(self, tenant: str, now: float) -> float | None:
        """Return since when this proxy is first; None if it is not."""
        if self._own not in self._proxies:
            return None
        if any(self._above(tenant, self._proxies)):
            return None
        left_at = (
            self._left_at[p] for p in self._above(tenant, self._left_at)
        )
        return max(self._counted_from, now - HISTORY_S, *left_at)

    def follows(self, sender: str, tenant: str) -> bool:
        """Return whether ``sender`` may have been the owner before this one.

        It was not if another proxy that outranks this one left last: that one
        owned the quota in between, and the sender's level is out of date.
        """
        left_at = {
            p: self._left_at[p] for p in self._above(tenant, self._left_at)
        }
        if not left_at or max(left_at.values()) < self._counted_from:
            return True
        return left_at.get(sender, float('-inf')) == max(left_at.values())

    def _above(self, tenant: str, proxies: Iterable[str]) -> Iterator[str]:
        """Yield the other proxies that are not ranked below this one.

        A former run on this VM has the same weight.
        """
        key = _owners.hash_key(tenant)
        own_weight = _rendezvous.weight(key, self._own)
        for proxy in proxies:
            weight = _rendezvous.weight(key, proxy)
            if proxy != self._own and weight >= own_weight:
                yield proxy

"""Which proxies grant a tenant's operations, and what part of the limit."""

from collections.abc import Collection
from collections.abc import Mapping

from tidegrade.core.placing import _rendezvous

#: Weight of a recently listed proxy without a heartbeat yet: less than
#: one, since it may be behind a partition that this process has not detected.
STARTING_WEIGHT = 0.5
#: Candidates that are asked for one operation: a proxy that is partitioned
#: from two failure domains still reaches a candidate in its own.
MAX_CANDIDATES = 3


def quota_owners(
    tenant: str, proxies: Mapping[str, str], excluded: Collection[str]
) -> tuple[str, ...]:
    """Return the proxies to ask for a grant, the usual owner first.

    ``proxies`` maps the proxies that take work to their failure domains.
    Each further candidate is in another domain: an owner that does not
    answer may be partitioned together with its whole domain.
    """
    found: dict[str, str] = {}
    order = _rendezvous.top_ranked(hash_key(tenant), proxies, len(proxies))
    for proxy in order:
        if proxy not in excluded:
            found.setdefault(proxies[proxy], proxy)
    return tuple(found.values())[:MAX_CANDIDATES]


def owns_quota(tenant: str, own: str, proxies: Collection[str]) -> bool:
    """Return whether proxy ``own`` is the usual owner of a quota."""
    return _rendezvous.highest_ranked(hash_key(tenant), proxies) == own


def visible_part(seen: int, known: int, starting: int = 0) -> float:
    """Return the part of all ``known`` proxies that this one sees.

    ``known`` includes proxies without a heartbeat for a long time: if
    they are partitioned, they grant their own part. ``starting`` is the
    number of proxies listed just now, which count with a lower weight:
    after a restart of all proxies none has sent a heartbeat yet.
    """
    return min(1.0, (seen + starting * STARTING_WEIGHT) / max(known, 1))


def hash_key(tenant: str) -> str:
    """Return the key that is hashed to choose the quota's owner."""
    return f'quota {tenant}'

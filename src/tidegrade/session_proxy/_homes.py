"""Which proxies serve which groups, as this one sees it."""

from collections.abc import Callable

from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: How long a proxy that did not answer is passed over at least, in seconds;
#: then until a heartbeat that it sent since comes.
AVOIDED_FOR = 1.0


class HomeMap:
    """Tells whether this proxy serves a group, and else who does."""

    def __init__(
        self,
        spot: _roster.ProxyIdentity,
        peers: _peers_task.PeersTask,
        clock: ports.Clock,
        by_tenant: Callable[[], bool] = lambda: False,
    ) -> None:
        self._spot = spot
        self._peers = peers
        self._clock = clock
        self._by_tenant = by_tenant
        self._failed_at: dict[str, float] = {}
        self._asked: dict[str, int] = {}

    def of(self, group: str, cfg: config.Group, draining: bool) -> core.Homes:
        """Give this proxy's part in serving a group.

        Until it has looked for others it serves none: all that start
        together would take each group for theirs alone.
        """
        if not self._peers.has_vm_list:
            return core.Homes(False, 0)
        proxies = self._peers.candidates()
        proxies.setdefault(self._spot.domain, set()).add(self._spot.proxy)
        found = core.homes(
            group,
            cfg,
            self._spot.proxy,
            self._spot.domain,
            proxies,
            self._by_tenant(),
        )
        if found.count == sum(map(len, proxies.values())):
            # All serve; those that were named lately may be starting.
            return core.Homes(True, 1 + self._peers.peer_count())
        return core.Homes(found.is_home and not draining, found.count)

    def pick(
        self,
        key: messages.GroupKey,
        cfg: config.Group,
        tenant: str,
        serving: bool,
        tried: frozenset[str],
    ) -> str | None:
        """Give the proxy to hand a request to; it may be this one.

        A tenant's requests go to the home that keeps its connections, others
        to one that is near and not busy. ``serving`` says that this one
        serves the group itself.
        """
        found = [
            peer.beat.proxy
            for peer in self._peers.serving(key)
            if self._may_take(peer.beat.proxy, tried)
            and not peer.beat.draining
        ]
        if serving:
            found.append(self._spot.proxy)
        if not found:
            found = self._expected(key, cfg, tried)
        found = self._in_touch(found)
        if not found:
            return None
        if tenant:
            return core.home_of_tenant(key.group, tenant, found)
        return min(found, key=self._cost)

    def _in_touch(self, proxies: list[str]) -> list[str]:
        """Leave out those behind a cut, if there are others.

        A tenant's home may be in any domain: each request for one that is
        cut off would wait for its answer until heartbeats tell.
        """
        silent = self._peers.silent_domains()
        near = [p for p in proxies if self._peers.domain_of(p) not in silent]
        return near or proxies

    def _expected(
        self,
        key: messages.GroupKey,
        cfg: config.Group,
        tried: frozenset[str],
    ) -> list[str]:
        """Give the homes that have not been heard of yet, as after a start."""
        proxies = self._peers.candidates()
        found = core.expected_homes(key.group, cfg, proxies, self._by_tenant())
        return [proxy for proxy in found if self._may_take(proxy, tried)]

    def asked(self, proxy: str) -> None:
        """Note that a request was handed to a proxy."""
        self._asked[proxy] = self._asked.get(proxy, 0) + 1

    def answered(self, proxy: str, lost: bool) -> None:
        """Note the end of a request at a proxy, or that none came."""
        left = self._asked.get(proxy, 0) - 1
        if left > 0:
            self._asked[proxy] = left
        else:
            self._asked.pop(proxy, None)
        if lost:
            self._failed_at[proxy] = self._clock.now()

    def _may_take(self, proxy: str, tried: frozenset[str]) -> bool:
        if proxy in tried:
            return False
        failed_at = self._failed_at.get(proxy)
        if failed_at is None:
            return True
        if self._clock.now() - failed_at < AVOIDED_FOR:
            return False
        return self._peers.has_heartbeat_since(proxy, failed_at)

    def _cost(self, proxy: str) -> tuple[bool, int, bytes]:
        far = self._peers.domain_of(proxy) != self._spot.domain
        order = core.weight(self._spot.proxy, proxy)
        return (far, self._asked.get(proxy, 0), order)

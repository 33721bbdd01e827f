"""Which proxies serve which groups, as seen by this proxy."""

from collections.abc import Callable

from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _groups

#: Shortest time for which a proxy that did not answer gets no requests, in
#: seconds. After it the proxy is used again once a heartbeat that it sent
#: since has arrived.
AVOID_FOR_S = 1.0


class HomeMap:
    """Determines whether this proxy or which other serves a group."""

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        peers: _peers_task.PeersTask,
        clock: ports.Clock,
        by_tenant: Callable[[], bool] = lambda: False,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._by_tenant = by_tenant
        self._failed_at: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._in_flight: dict[str, int] = {}

    def homes_of(
        self, group: str, cfg: config.Group, draining: bool
    ) -> core.Homes:
        """Return whether this proxy serves a group, and how many do.

        A proxy that has not looked for others yet serves no group: without
        this, each of many that start together would serve every group as if
        it were alone.
        """
        if not self._peers.has_vm_list:
            return core.Homes(False, 0)
        proxies = self._peers.candidates()
        proxies.setdefault(self._identity.domain, set()).add(
            self._identity.proxy
        )
        found = core.homes(
            group,
            cfg,
            self._identity.proxy,
            self._identity.domain,
            proxies,
            self._by_tenant(),
            self._peers.capacities(),
        )
        if found.count == sum(map(len, proxies.values())):
            # All proxies serve the group; those that the platform listed
            # recently may still be starting, so they are counted too.
            return core.Homes(True, 1 + self._peers.peer_count())
        return core.Homes(found.is_home and not draining, found.count)

    def sharer_count(
        self, group: str, cfg: config.Group, draining: bool
    ) -> int:
        """Return the number of homes of a group that this proxy serves.

        It is 0 if this proxy is not one of them; then a changed number is
        logged here. The number among homes is logged by their group task.
        """
        found = self.homes_of(group, cfg, draining)
        before, self._counts[group] = self.home_count(group), found.count
        if found.is_home:
            return found.count
        if found.count != before:
            logs.write_bounded(
                logs.LogEvent.HOMES_CHANGED,
                group=str(messages.GroupKey(_groups.SITE, group)),
                homes=found.count,
                before=before,
            )
        return 0

    def home_count(self, group: str) -> int:
        """Return the number of homes of a group at the last check."""
        return self._counts.get(group, 0)

    def pick(
        self,
        key: messages.GroupKey,
        cfg: config.Group,
        tenant: str,
        serving: bool,
        tried: frozenset[str],
    ) -> str | None:
        """Return the proxy that should serve a request; may be this one.

        A tenant's requests go to the home that holds its connections, other
        requests to a home in this failure domain with few requests in
        flight. ``serving`` is true if this proxy serves the group itself.
        The result is None if no proxy is known.
        """
        found = [
            peer.beat.proxy
            for peer in self._peers.serving(key)
            if self._is_usable(peer.beat.proxy, tried)
            and not peer.beat.draining
        ]
        if serving:
            found.append(self._identity.proxy)
        if not found:
            found = self._expected(key, cfg, tried)
        found = self._reachable(found)
        if not found:
            return None
        if tenant:
            return core.home_of_tenant(key.group, tenant, found)
        return min(found, key=self._cost)

    def _reachable(self, proxies: list[str]) -> list[str]:
        """Exclude proxies of silent failure domains, if others remain.

        A tenant's home may be in any domain. Without this, each request to
        a home in an unreachable domain would wait for an answer until the
        home's heartbeats have expired.
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
        """Return the homes expected before their heartbeats have arrived."""
        proxies = self._peers.candidates()
        found = core.expected_homes(
            key.group,
            cfg,
            proxies,
            self._by_tenant(),
            self._peers.capacities(),
        )
        return [proxy for proxy in found if self._is_usable(proxy, tried)]

    def forwarded(self, proxy: str) -> None:
        """Record that a request was forwarded to a proxy."""
        self._in_flight[proxy] = self._in_flight.get(proxy, 0) + 1

    def answered(self, proxy: str, lost: bool) -> None:
        """Record the end of a forwarded request; ``lost``: no answer came."""
        left = self._in_flight.get(proxy, 0) - 1
        if left > 0:
            self._in_flight[proxy] = left
        else:
            self._in_flight.pop(proxy, None)
        if lost:
            self._failed_at[proxy] = self._clock.now()

    def _is_usable(self, proxy: str, tried: frozenset[str]) -> bool:
        if proxy in tried:
            return False
        failed_at = self._failed_at.get(proxy)
        if failed_at is None:
            return True
        if self._clock.now() - failed_at < AVOID_FOR_S:
            return False
        return self._peers.has_heartbeat_since(proxy, failed_at)

    def _cost(self, proxy: str) -> tuple[bool, int, bytes]:
        far = self._peers.domain_of(proxy) != self._identity.domain
        order = core.weight(self._identity.proxy, proxy)
        return (far, self._in_flight.get(proxy, 0), order)

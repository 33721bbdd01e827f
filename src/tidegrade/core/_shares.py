"""Limits on the number of this proxy's connections to an endpoint.

An endpoint limits the connections of all its clients together, and counts
those of a VM that lost power for some seconds after the VM is back. If the
proxies held all the connections that they may, a restarted proxy could open
none: the endpoint would still be full of its own dead connections.

Where each connection belongs to a tenant, connections are usually too few,
and each open one saves its tenant the time to open another. So a larger part
is held, and the reserve is smaller: closing an idle connection of another
tenant makes room sooner than a reserve would.
"""

import attrs

from tidegrade import config

#: Part of an endpoint's connections that all proxies together usually hold.
#: The rest is reserved for proxies that restart after a power loss, while
#: the endpoint still counts their previous connections.
USUAL_SHARED_PART = 0.5
#: The same where connections belong to tenants.
TENANT_SHARED_PART = 0.85
#: How long a connection above the usual number may be idle before it is
#: closed, in seconds: many times the interval between two waits that would
#: open it again, and less than a third of the time for which an endpoint
#: counts dead connections.
SURPLUS_IDLE_S = 1.0
#: How long an endpoint may go on counting the connections of a proxy that
#: ended, in seconds. A proxy that started more recently holds no more than
#: the usual number, so that proxies that started with it can connect too.
DEAD_CONNECTION_COUNTED_S = 3.0
#: Wait after which a proxy that has just started still opens more, in
#: seconds: its connections may have gone silent, and the primary must answer
#: on another one before 0.6 s of silence make it count as down.
STARTUP_MIN_WAIT_S = 0.15
#: Shortest wait that justifies another connection, in seconds: about the
#: time that opening one takes.
MIN_WAIT_S = 0.012


@attrs.frozen
class Share:
    """This proxy's share of an endpoint's connections.

    The proxy opens up to ``usual`` connections on demand, or up to
    ``usual_by_tenant`` where each connection belongs to a tenant; it opens
    up to ``limit`` only for requests that have waited.
    """

    usual: int = 0
    limit: int = 0
    usual_by_tenant: int = 0

    def usual_limit(self, has_tenants: bool) -> int:
        """Return the number of connections opened before requests wait."""
        return self.usual_by_tenant if has_tenants else self.usual

    def allows(self, held: int, grow: bool, has_tenants: bool = False) -> bool:
        """Return whether one more than ``held`` may be opened."""
        return held < (self.limit if grow else self.usual_limit(has_tenants))


def shares_of(cfg: config.Group, max_proxies: int) -> dict[str, Share]:
    """Return this proxy's share of each endpoint's connections.

    The share is at least one: with more proxies than connections an endpoint
    refuses some of them, which is better than no proxy connecting to it. It
    is empty if ``max_proxies`` is 0: then this proxy is not among those that
    share the connections.
    """
    if not max_proxies:
        return dict.fromkeys(cfg.endpoints, Share())
    return {
        name: _share(endpoint.max_connections, max_proxies)
        for name, endpoint in cfg.endpoints.items()
    }


def should_grow(waited: float, service: float, age: float) -> bool:
    """Return whether a request's wait justifies another connection.

    Within the time of one statement a connection in use should have become
    idle; otherwise requests arrive faster than the open connections serve
    them. ``waited`` is the wait so far, ``service`` the mean service time
    and ``age`` the time since this proxy started, all in seconds.
    """
    if age < DEAD_CONNECTION_COUNTED_S:
        return waited >= STARTUP_MIN_WAIT_S
    return waited >= max(service, MIN_WAIT_S)


def _share(total: int, proxies: int) -> Share:
    limit = max(1, total // proxies)
    usual = max(1, int(total * USUAL_SHARED_PART) // proxies)
    usual_by_tenant = max(1, int(total * TENANT_SHARED_PART) // proxies)
    return Share(usual=usual, limit=limit, usual_by_tenant=usual_by_tenant)

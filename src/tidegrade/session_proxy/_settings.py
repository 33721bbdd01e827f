"""Settings of the session program, and the adapters that it uses."""

from collections.abc import Callable

import attrs
import result

from tidegrade import core
from tidegrade import ports


@attrs.frozen
class ProxySettings:
    """The settings of one process of the session program.

    ``host`` and ``peer_port`` are the address for other proxies. Times are in
    seconds. A configuration must be in force on all proxies within
    ``config_within_s`` of its acceptance. All endpoints are taken as
    registered once their list has not grown for ``settle_s``. After SIGTERM
    the load balancer has ``unready_s`` to notice that the proxy is not ready,
    and the process must end within ``grace_s``. ``capacity`` is that of the VM
    in cores.
    """

    name: str
    domain: str
    host: str
    peer_port: int
    grace_s: float
    config_within_s: float = 3.0
    unready_s: float = 2.2
    heartbeat_s: float = 0.5
    alive_s: float = 1.6
    row_interval_s: float = 60.0
    members_poll_s: float = 60.0
    settle_s: float = 2.4
    suspect_after_s: float = 0.6
    report_interval_s: float = 0.35
    tick_s: float = 0.05
    capacity: float = 1.0


#: Settings that a reload does not change: other proxies know the process by
#: them, and take its capacity for constant.
IDENTITY_SETTINGS = ('name', 'domain', 'host', 'peer_port', 'capacity')


def adopt(known: ProxySettings, found: ProxySettings) -> ProxySettings:
    """Return the reloaded settings with the known identity settings."""
    kept = {name: getattr(known, name) for name in IDENTITY_SETTINGS}
    return attrs.evolve(found, **kept)


@attrs.frozen
class Adapters:
    """The adapters to everything outside the program.

    ``read_settings`` returns the current settings, or a list of problems.
    """

    endpoints: ports.Endpoints
    table: ports.Table
    directory: ports.Directory
    listener: ports.CallerListener
    pages: ports.StatusPages
    clock: ports.Clock
    traits: core.Traits
    read_settings: Callable[[], result.Result[ProxySettings, list[str]]]

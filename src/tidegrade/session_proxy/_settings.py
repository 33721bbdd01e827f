"""Settings of the session program, and the outside it runs before."""

from collections.abc import Callable

import attrs
import result

from tidegrade import core
from tidegrade import ports


@attrs.frozen
class ProxySettings:
    """What one process of the session program must know.

    ``host`` and ``peer_port`` are where other proxies reach this one.
    Times are in seconds. A configuration must be in force everywhere
    ``config_within_s`` after its acceptance. Endpoints have all registered
    once their list has not grown for ``settle_s``. On a request to stop, the
    balancer is given ``unready_s`` to notice, and all must have ended after
    ``grace_s``.
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


#: Settings that hold for the life of a process: others know it by them.
IDENTITY = ('name', 'domain', 'host', 'peer_port')


def adopt(known: ProxySettings, found: ProxySettings) -> ProxySettings:
    """Give the settings to go on with: the new ones, but not identity."""
    kept = {name: getattr(known, name) for name in IDENTITY}
    return attrs.evolve(found, **kept)


@attrs.frozen
class Outside:
    """The adapters through which the program meets everything else.

    ``read_settings`` gives the settings as they stand now.
    """

    endpoints: ports.Endpoints
    table: ports.Table
    directory: ports.Directory
    door: ports.CallerListener
    pages: ports.StatusPages
    clock: ports.Clock
    traits: core.Traits
    read_settings: Callable[[], result.Result[ProxySettings, list[str]]]

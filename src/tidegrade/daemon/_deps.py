"""Dependencies and settings that the tasks of a proxy share.

Each task still owns its state.
"""

import random

import attrs

from tidegrade import core
from tidegrade.daemon import _shared_reads
from tidegrade import ports


@attrs.frozen
class PeerSettings:
    """Settings of the connections between proxies.

    ``key`` is a shared secret of 32 bytes, as 64 hex digits. A proxy sends a
    heartbeat every ``heartbeat_s`` seconds. A peer whose last heartbeat is
    more than ``alive_s`` seconds old does not count as alive.
    """

    host: str
    port: int
    key: str
    heartbeat_s: float = 0.2
    alive_s: float = 1.0


@attrs.frozen
class Deps:
    """The adapters and the identity that the tasks of a proxy use.

    ``proxy_id`` identifies one run of the proxy; a restart gets a new one.
    ``traits`` describe the capabilities of the endpoints that ``endpoints``
    connects to. Deadlines are met to within ``tick_s`` seconds. A proxy that
    serves a group reads its row every ``row_interval_s`` seconds even without
    a request. ``capacity`` is that of the proxy's VM in thousandths of a core,
    0 if it is not known.
    """

    proxy_id: str
    domain: str
    peers: PeerSettings
    clock: ports.Clock
    endpoints: ports.Endpoints
    table: ports.Table
    rng: random.Random
    traits: core.Traits = core.POSTGRESQL
    tick_s: float = 0.02
    row_interval_s: float = 5.0
    capacity: int = 0
    #: Batched reads of the groups' rows in ``table``.
    rows: _shared_reads.SharedReads = attrs.field(init=False, repr=False)

    @rows.default
    def _default_rows(self) -> _shared_reads.SharedReads:
        return _shared_reads.SharedReads(self.table)

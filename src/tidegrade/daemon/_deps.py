"""What the tasks of a proxy share; each owns its state nevertheless."""

import random

import attrs

from tidegrade import core
from tidegrade.daemon import _shared_reads
from tidegrade import ports


@attrs.frozen
class PeerSettings:
    """How proxies reach each other.

    ``key`` is a shared secret of 32 bytes as 64 hex digits. Heartbeats go
    out every ``heartbeat_s``; a peer unheard for ``alive_s`` isn't alive.
    """

    host: str
    port: int
    key: str
    heartbeat_s: float = 0.2
    alive_s: float = 1.0


@attrs.frozen
class Deps:
    """The adapters and the identity that the tasks work with.

    ``proxy_id`` names this run of the proxy; a restart gets another.
    ``traits`` are what the endpoints that ``endpoints`` reaches can do.
    Deadlines are kept to within ``tick_s`` seconds. A group's row is read
    every ``row_interval_s`` seconds even if nobody asks for it.
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
    #: The groups' rows in ``table``.
    rows: _shared_reads.SharedReads = attrs.field(init=False, repr=False)

    @rows.default
    def _share_reads(self) -> _shared_reads.SharedReads:
        return _shared_reads.SharedReads(self.table)

"""Database routes, groups and limits of a configuration version."""

import attrs

from tidegrade import tenants


@attrs.frozen
class DatabaseRoute:
    """The route of the sessions of one database name.

    ``max_age`` bounds the staleness of reads in seconds; 0 means that the
    primary serves them. With ``own_writes`` a session reads its own commits.
    ``timeout`` limits one statement and ``target_latency`` is the target for
    a whole operation, both in seconds. ``priority`` 0 is the highest. Callers
    of a ``public`` route need no key.
    """

    database: str
    group: str
    max_age: float
    own_writes: bool
    timeout: float
    target_latency: float
    priority: int
    public: bool = False


@attrs.frozen
class GroupEntry:
    """A group that the configuration names.

    ``max_connections`` limits the connections to each endpoint, summed over
    all callers.
    """

    name: str
    max_connections: int


@attrs.frozen
class Catalogue:
    """A version of the configuration: its routes, groups and limits.

    A transaction that is idle for ``txn_idle`` seconds may be ended. If
    ``keyring`` is None, no caller needs a key.
    """

    version: int
    routes: dict[str, DatabaseRoute]
    groups: dict[str, GroupEntry]
    txn_idle: float
    keyring: tenants.Keyring | None = None

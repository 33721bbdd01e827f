"""The configuration document: what operators apply as a whole."""

import enum

import attrs


class Acknowledge(enum.Enum):
    """When a write counts as done."""

    #: Once the primary has committed; lost with it if it fails at once.
    PRIMARY = 'primary'
    #: Once a majority of the group's endpoints hold it durably.
    MAJORITY = 'majority'


class ReadPolicy(enum.Enum):
    """How reads are spread; all but the first are there to compare."""

    #: A replica that covers the session, after a short wait if need be.
    SESSION_REPLICA = 'session_replica'
    #: The primary for everything.
    PRIMARY_ONLY = 'primary_only'
    #: The primary for five seconds after a write, then any replica.
    PRIMARY_AFTER_WRITE = 'primary_after_write'


@attrs.frozen
class Endpoint:
    """One database instance.

    ``max_connections`` is the cap over all proxies together;
    ``slots`` how many statements it runs at once.
    """

    host: str
    port: int
    domain: str
    max_connections: int = 25
    slots: int = 3


@attrs.frozen
class ReadClass:
    """A named staleness bound in seconds; None leaves only the session."""

    max_age_s: float | None = None


@attrs.frozen
class Group:
    """One replicated database.

    ``suspect_after_s`` is how long a primary may be silent. Interactive
    transactions end after ``txn_limit_s``, or ``txn_idle_s`` without a
    statement.
    """

    endpoints: dict[str, Endpoint]
    initial_primary: str
    database: str = 'postgres'
    acknowledge: Acknowledge = Acknowledge.MAJORITY
    read_classes: dict[str, ReadClass] = attrs.field(factory=dict)
    read_policy: ReadPolicy = ReadPolicy.SESSION_REPLICA
    suspect_after_s: float = 0.6
    poll_interval_s: float = 0.1
    txn_limit_s: float = 30.0
    txn_idle_s: float = 5.0
    queue_limit: int = 256
    max_result_bytes: int = 1_000_000
    max_statements: int = 50


@attrs.frozen
class Tenant:
    """One customer of a site; only the hash of its key is kept."""

    key_sha256: str
    max_in_flight: int = 64
    requests_per_s: float = 500.0


@attrs.frozen
class Site:
    """A site: its tenants and its database groups."""

    groups: dict[str, Group]
    tenants: dict[str, Tenant]


@attrs.frozen
class Document:
    """The whole configuration.

    ``max_proxies`` bounds how many proxies may share the connections of an
    endpoint: each takes an equal part of the cap, so the sum never passes
    it whatever each proxy believes about the others.
    """

    sites: dict[str, Site]
    operators: dict[str, str] = attrs.field(factory=dict)
    max_proxies: int = 9

"""The configuration document, which operators apply as a whole."""

import enum

import attrs


class Acknowledge(enum.Enum):
    """When a write is acknowledged."""

    #: Once the primary has committed; the write is lost if the primary fails
    #: right afterwards.
    PRIMARY = 'primary'
    #: Once a majority of the group's endpoints hold it durably.
    MAJORITY = 'majority'


class ReadPolicy(enum.Enum):
    """Where reads are routed; all but the first exist for comparison."""

    #: To a replica that has caught up with the session, after a short wait if
    #: necessary.
    SESSION_REPLICA = 'session_replica'
    #: Always to the primary.
    PRIMARY_ONLY = 'primary_only'
    #: To the primary for five seconds after a write, then to any replica.
    PRIMARY_AFTER_WRITE = 'primary_after_write'


@attrs.frozen
class Endpoint:
    """One database instance.

    ``max_connections`` is the limit over all proxies together, ``slots`` the
    number of statements that the endpoint runs at once.
    """

    host: str
    port: int
    domain: str
    max_connections: int = 25
    slots: int = 3


@attrs.frozen
class ReadClass:
    """A named bound on staleness, in seconds.

    With None, only the session limits which replicas may serve a read.
    """

    max_age_s: float | None = None


@attrs.frozen
class Group:
    """One replicated database.

    A primary that is silent for ``suspect_after_s`` is suspected to have
    failed. An interactive transaction ends after ``txn_limit_s``, or after
    ``txn_idle_s`` without a statement.
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
    """A customer of a site; only the hash of its key is stored."""

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
    endpoint. Each proxy uses an equal share of the endpoint's limit, so the
    sum never exceeds it, whatever each proxy believes about the others.
    """

    sites: dict[str, Site]
    operators: dict[str, str] = attrs.field(factory=dict)
    max_proxies: int = 9

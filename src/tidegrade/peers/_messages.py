"""What proxies say to each other, as attrs classes."""

import zlib

import attrs

from tidegrade import core


@attrs.frozen
class GroupKey:
    """Names a group across sites."""

    site: str
    group: str

    def __str__(self) -> str:
        return f'{self.site}/{self.group}'


@attrs.frozen
class GroupOpinion:
    """What a proxy thinks of the primary of a group in a term."""

    key: GroupKey
    term: int
    primary_down: bool


@attrs.frozen
class Heartbeat:
    """A proxy is alive, and what it knows in short.

    ``host`` and ``port`` are where it takes peers' connections. With
    ``pass_on`` it asks the receiver to tell others; ``blind`` says that
    the platform does not answer it. ``config_age`` is how long ago its
    configuration was known to be the newest, in seconds; None if that isn't
    known. It changes all the time, and is no part of what is compared.
    ``store_generation`` is the latest of the platform's table that it knows.
    """

    proxy: str
    domain: str
    host: str
    port: int
    config_version: int
    draining: bool
    opinions: tuple[GroupOpinion, ...] = ()
    pass_on: bool = False
    blind: bool = False
    config_age: float | None = attrs.field(default=None, eq=False)
    store_generation: int = 0

    def revision(self) -> int:
        """Give a number of 32 bits that changes with the content.

        The version of the configuration is left out: all proxies change
        it at the same time, and whoever has a newer one says so itself.
        """
        said = (
            self.proxy,
            self.host,
            self.port,
            self.draining,
            self.blind,
            self.store_generation,
            *((str(o.key), o.term, o.primary_down) for o in self.opinions),
        )
        return zlib.crc32(repr(said).encode())

    def urgent(self) -> tuple[object, ...]:
        """Give the part whose changes others must hear at once."""
        down = (o for o in self.opinions if o.primary_down)
        return (self.draining, *down)


@attrs.frozen
class GiveUp:
    """Asks to give up permissions for terms below ``below``."""

    key: GroupKey
    below: int


@attrs.frozen
class GaveUp:
    """Answers that ``proxy`` has given up permissions below ``below``."""

    key: GroupKey
    below: int
    proxy: str


@attrs.frozen
class RowNews:
    """A group's row, as JSON, that may be new to the other side.

    With ``pass_on`` it asks the receiver to tell its failure domain.
    """

    key: GroupKey
    row: bytes
    pass_on: bool = False


@attrs.frozen
class AskConfig:
    """Asks for the configuration of this version."""

    ref: core.ConfigRef


@attrs.frozen
class ConfigContent:
    """A configuration's content; empty if the peer doesn't have it."""

    ref: core.ConfigRef
    document: bytes


@attrs.frozen
class Forward:
    """A caller's request that another proxy serves.

    ``request.id`` means nothing to the other side. Its ``deadline`` and
    ``place_by`` count from the moment it is sent, in seconds.
    """

    key: GroupKey
    request: core.Request


@attrs.frozen
class Forwarded:
    """The answer to a forwarded request.

    Its ``acknowledge_until`` counts from the moment it is sent.
    """

    answer: core.Answer


@attrs.frozen
class AskEvidence:
    """Asks what was seen of the endpoints of these groups."""

    keys: tuple[GroupKey, ...]


@attrs.frozen
class GroupEvidence:
    """What was seen of one group; times are negative ages in seconds."""

    key: GroupKey
    evidence: core.Evidence


@attrs.frozen
class EvidenceAnswer:
    """Answers :class:`AskEvidence`."""

    seen: tuple[GroupEvidence, ...]


@attrs.frozen
class AgedHeartbeat:
    """Another proxy's heartbeat; ``age`` is in seconds since it came."""

    beat: Heartbeat
    age: float


@attrs.frozen
class AliveProxy:
    """A proxy whose heartbeat of this revision came ``age`` ago."""

    proxy: str
    age: float
    revision: int


@attrs.frozen
class Roll:
    """The proxies of a failure domain that were heard within ``age``.

    They are those that the digest does not name, and the other side should
    know them: ``revisions`` joins those of their heartbeats by exclusive
    or, so that it is the same in any order. ``age`` is in seconds.
    """

    domain: str
    count: int
    revisions: int
    age: float


@attrs.frozen
class Digest:
    """What the proxy ``sender`` has heard, where not all hear all.

    ``news`` are heartbeats in full, ``alive`` those that were heard a
    while ago, one by one, and ``rolls`` all others, a domain each; the
    sender itself is among them. ``config_version`` and ``config_age`` are
    the sender's, as in its heartbeat.
    """

    news: tuple[AgedHeartbeat, ...] = ()
    alive: tuple[AliveProxy, ...] = ()
    rolls: tuple[Roll, ...] = ()
    sender: str = ''
    config_version: int = 0
    config_age: float | None = None

    def named(self) -> frozenset[str]:
        """Give the proxies that no roll stands for."""
        news = (aged.beat.proxy for aged in self.news)
        alive = (entry.proxy for entry in self.alive)
        return frozenset((*news, *alive))


@attrs.frozen
class AskDomain:
    """Asks for the heartbeats of all proxies of a failure domain.

    Those whose revisions are ``known`` need not be told again; only that
    they live.
    """

    domain: str
    known: tuple[int, ...] = ()


@attrs.frozen
class AskEndpoints:
    """Asks for the list of endpoints, if it is newer than ``version``."""

    version: int


@attrs.frozen
class EndpointNews:
    """The list of endpoints, as JSON, as the platform gave it.

    ``version`` rises from reading to reading. ``entries`` is empty if the
    other side's list is not newer. With ``pass_on`` it asks the receiver
    to tell its failure domain.
    """

    version: int
    entries: bytes
    pass_on: bool = False


@attrs.frozen
class AskQuota:
    """Asks a tenant's keeper to grant an operation.

    ``rate`` and ``burst`` are the tenant's by the configuration of this
    version. The operation can wait for ``patience`` seconds. The usual
    keeper in the domain ``instead_of`` did not answer, if that is named.
    """

    tenant: str
    rate: float
    burst: float
    config_version: int
    patience: float
    instead_of: str = ''


@attrs.frozen
class QuotaGrant:
    """Answers :class:`AskQuota`; ``grant`` says when it may start."""

    grant: core.Grant


@attrs.frozen
class QuotaBack:
    """Gives a grant of a tenant back: its operation reached no endpoint.

    It counted at ``at``, by the keeper's clock.
    """

    tenant: str
    at: float


@attrs.frozen
class Probe:
    """Asks whether the connection still works."""


@attrs.frozen
class Probed:
    """Answers :class:`Probe`."""


PeerBody = (
    Heartbeat
    | GiveUp
    | GaveUp
    | RowNews
    | AskConfig
    | ConfigContent
    | Forward
    | Forwarded
    | AskEvidence
    | EvidenceAnswer
    | Probe
    | Probed
    | Digest
    | AskEndpoints
    | EndpointNews
    | AskDomain
    | AskQuota
    | QuotaGrant
    | QuotaBack
)

#: What a proxy may have relays pass on to all others.
Announcement = RowNews | EndpointNews


@attrs.frozen
class PeerMessage:
    """A message; an answer bears the number of its question."""

    body: PeerBody
    number: int = 0

"""The messages that proxies exchange, as attrs classes."""

import zlib

import attrs

from tidegrade import core


@attrs.frozen
class GroupKey:
    """Identifies a group across sites."""

    site: str
    group: str

    def __str__(self) -> str:
        return f'{self.site}/{self.group}'


@attrs.frozen
class GroupOpinion:
    """Whether a proxy believes that a group's primary of a term is down."""

    key: GroupKey
    term: int
    primary_down: bool


@attrs.frozen
class Heartbeat:
    """Shows that a proxy is alive, and summarizes its state.

    The proxy accepts connections of peers at ``host`` and ``port``. With
    ``pass_on`` the receiver forwards the heartbeat to other proxies.
    ``blind`` is true if the platform does not answer the proxy.
    ``config_age`` is the time since the proxy's configuration was known to be
    the newest one, in seconds; None if that isn't known. It changes all the
    time, so heartbeats are compared without it. ``store_generation`` is the
    latest generation of the platform's table that the proxy knows.
    ``capacity`` is that of the proxy's VM in thousandths of a core; 0 if it
    is not known.
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
    capacity: int = 0

    def revision(self) -> int:
        """Return a checksum of 32 bits over the heartbeat's content.

        The configuration version is left out: all proxies change it at the
        same time, and a proxy with a newer one announces that itself. So is
        the capacity, which a process never changes: older proxies, which do
        not know it, must compute the same checksum.
        """
        content = (
            self.proxy,
            self.host,
            self.port,
            self.draining,
            self.blind,
            self.store_generation,
            *((str(o.key), o.term, o.primary_down) for o in self.opinions),
        )
        return zlib.crc32(repr(content).encode())

    def urgent(self) -> tuple[object, ...]:
        """Return the fields whose changes are sent to peers without delay."""
        down = (o for o in self.opinions if o.primary_down)
        return (self.draining, *down)


@attrs.frozen
class GiveUp:
    """Asks a proxy to give up write permissions of terms below ``below``."""

    key: GroupKey
    below: int


@attrs.frozen
class GaveUp:
    """Confirms that ``proxy`` gave up permissions of terms below ``below``."""

    key: GroupKey
    below: int
    proxy: str


@attrs.frozen
class RowNews:
    """A group's row, as JSON, that may be newer than the receiver's.

    With ``pass_on`` the receiver forwards it within its failure domain.
    """

    key: GroupKey
    row: bytes
    pass_on: bool = False


@attrs.frozen
class AskConfig:
    """Requests the configuration that ``ref`` identifies."""

    ref: core.ConfigRef


@attrs.frozen
class ConfigContent:
    """A configuration's content; empty if the sender doesn't have it."""

    ref: core.ConfigRef
    document: bytes


@attrs.frozen
class Forward:
    """A caller's request that is forwarded to another proxy.

    The receiver ignores ``request.id``. The request's ``deadline`` and
    ``place_by`` are in seconds from the moment at which it is sent.
    """

    key: GroupKey
    request: core.Request


@attrs.frozen
class Forwarded:
    """The answer to a forwarded request.

    Its ``acknowledge_until`` is in seconds from the moment at which it is
    sent.
    """

    answer: core.Answer


@attrs.frozen
class AskEvidence:
    """Requests what was observed of the endpoints of these groups."""

    keys: tuple[GroupKey, ...]


@attrs.frozen
class GroupEvidence:
    """What was observed of a group; times are negative ages in seconds."""

    key: GroupKey
    evidence: core.Evidence


@attrs.frozen
class EvidenceAnswer:
    """Answers :class:`AskEvidence`."""

    seen: tuple[GroupEvidence, ...]


@attrs.frozen
class AgedHeartbeat:
    """Another proxy's heartbeat, received ``age`` seconds ago."""

    beat: Heartbeat
    age: float


@attrs.frozen
class AliveProxy:
    """A proxy whose heartbeat was received ``age`` seconds ago.

    ``revision`` is that of the heartbeat, see :meth:`Heartbeat.revision`.
    """

    proxy: str
    age: float
    revision: int


@attrs.frozen
class Roll:
    """Summarizes the live proxies of a domain that a digest does not name.

    It stands for proxies of a failure domain that the receiver should know
    already. Their heartbeats were all received within the last ``age``
    seconds. ``revisions`` combines the revisions of the heartbeats by
    exclusive or, which does not depend on their order.
    """

    domain: str
    count: int
    revisions: int
    age: float


@attrs.frozen
class DomainContact:
    """The sender's own last contact with another failure domain.

    A proxy of that domain sent it a message ``age`` seconds ago.
    """

    domain: str
    age: float


@attrs.frozen
class Digest:
    """The heartbeats that ``sender`` knows, as gossip between proxies.

    It is used where not every proxy receives every heartbeat. ``news`` holds
    heartbeats in full, ``alive`` names proxies whose heartbeats are older,
    and ``rolls`` summarizes all others, one entry per failure domain. The
    sender itself is included. ``config_version`` and ``config_age`` are the
    sender's, as in its heartbeat. ``contacts`` are stated only to proxies of
    the sender's own domain, and never hold what another proxy reported.
    ``has_contacts`` means that they are stated, even if there are none;
    older versions do not set it.
    """

    news: tuple[AgedHeartbeat, ...] = ()
    alive: tuple[AliveProxy, ...] = ()
    rolls: tuple[Roll, ...] = ()
    sender: str = ''
    config_version: int = 0
    config_age: float | None = None
    contacts: tuple[DomainContact, ...] = ()
    has_contacts: bool = False

    def named(self) -> frozenset[str]:
        """Return the proxies that the digest names one by one."""
        news = (aged.beat.proxy for aged in self.news)
        alive = (entry.proxy for entry in self.alive)
        return frozenset((*news, *alive))


@attrs.frozen
class AskDomain:
    """Requests the heartbeats of all proxies of a failure domain.

    For a heartbeat whose revision is in ``known``, the answer need only say
    that the proxy is alive.
    """

    domain: str
    known: tuple[int, ...] = ()


@attrs.frozen
class AskEndpoints:
    """Requests the list of endpoints if it is newer than ``version``."""

    version: int


@attrs.frozen
class EndpointNews:
    """The platform's list of endpoints, as JSON.

    ``version`` rises from one reading of the list to the next. ``entries`` is
    empty if the sender's list is not newer than the one asked about. With
    ``pass_on`` the receiver forwards it within its failure domain.
    """

    version: int
    entries: bytes
    pass_on: bool = False


@attrs.frozen
class AskQuota:
    """Asks the owner of a tenant's quota to admit an operation.

    ``rate``, in operations a second, and ``burst`` are those of the tenant in
    configuration ``config_version``. The operation can wait for ``patience``
    seconds. If ``instead_of`` is set, the usual owner, in that failure
    domain, did not answer. ``priority`` is that of the operation's route; 0
    is the most urgent, and that of requests from older proxies.
    ``passed_on`` means that a former owner sends it on for another proxy; it
    is not passed on again.
    """

    tenant: str
    rate: float
    burst: float
    config_version: int
    patience: float
    instead_of: str = ''
    priority: int = 0
    passed_on: bool = False


@attrs.frozen
class QuotaGrant:
    """Answers :class:`AskQuota`; ``grant`` tells when it may start."""

    grant: core.Grant


@attrs.frozen
class QuotaBack:
    """Returns an unused grant, whose operation reached no endpoint.

    ``at`` is when the grant counted, in seconds on the owner's clock.
    """

    tenant: str
    at: float


@attrs.frozen
class QuotaTaken:
    """Tells the usual owner of a quota that a fallback owner granted one."""

    tenant: str


@attrs.frozen
class QuotaHandover:
    """Hands the bucket of a tenant over to its next owner.

    From then on the sender grants nothing of the tenant as an owner.
    """

    handover: core.Handover


@attrs.frozen
class Probe:
    """Checks whether the connection still works."""


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
    | QuotaTaken
    | QuotaHandover
)

#: Messages that relays forward to all other proxies on request.
Announcement = RowNews | EndpointNews


@attrs.frozen
class PeerMessage:
    """A message and its number.

    An answer has the number of its request; 0 means that no answer is wanted.
    """

    body: PeerBody
    number: int = 0

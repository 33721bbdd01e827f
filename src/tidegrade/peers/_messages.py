"""Peer messages as attrs classes, to and from Cap'n Proto."""

import json
import math
import typing
import zlib

import attrs
import capnp  # type: ignore[import-untyped]

from tidegrade.codec import _results
from tidegrade.codec import _structure
from tidegrade import core
from tidegrade.peers import _wire


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
    the platform does not answer it.
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

    def revision(self) -> int:
        """Give a number of 32 bits that changes with the content."""
        return zlib.crc32(repr(self).encode())

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
    """A group's row, as JSON, that may be new to the other side."""

    key: GroupKey
    row: bytes


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
class Digest:
    """What a proxy has heard of others, where not all hear all.

    ``news`` are heartbeats in full, ``alive`` those whose content the
    other side should know already.
    """

    news: tuple[AgedHeartbeat, ...] = ()
    alive: tuple[AliveProxy, ...] = ()


@attrs.frozen
class AskEndpoints:
    """Asks for the list of endpoints, if it is newer than ``version``."""

    version: int


@attrs.frozen
class EndpointNews:
    """The list of endpoints, as JSON, as the platform gave it.

    ``version`` rises from reading to reading. ``entries`` is empty if the
    other side's list is not newer.
    """

    version: int
    entries: bytes


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
)


@attrs.frozen
class PeerMessage:
    """A message; an answer bears the number of its question."""

    body: PeerBody
    number: int = 0


class Malformed(Exception):
    """A peer's message can't be read."""


def encode(message: PeerMessage) -> bytes:
    """Give a message's bytes."""
    wire = _wire.PeerMessage.new_message(number=message.number)
    _ENCODERS[type(message.body)](wire, message.body)
    return wire.to_bytes_packed()


def decode(raw: bytes) -> PeerMessage:
    """Read a message or raise :class:`Malformed`."""
    try:
        wire = _wire.read_peer_message(raw)
        body = _DECODERS[str(wire.which())](wire)
        return PeerMessage(body, wire.number)
    except (capnp.KjException, ValueError, KeyError, TypeError) as exc:
        raise Malformed(str(exc)) from None


# Encoders -----------------------------------------------------------------


def _put_heartbeat(wire: typing.Any, body: Heartbeat) -> None:
    _fill_heartbeat(wire.init('heartbeat'), body)


def _fill_heartbeat(beat: typing.Any, body: Heartbeat) -> None:
    beat.proxy = body.proxy
    beat.domain = body.domain
    beat.host = body.host
    beat.port = body.port
    beat.configVersion = body.config_version
    beat.draining = body.draining
    beat.passOn = body.pass_on
    beat.blind = body.blind
    opinions = beat.init('opinions', len(body.opinions))
    for slot, opinion in zip(opinions, body.opinions, strict=True):
        slot.site = opinion.key.site
        slot.group = opinion.key.group
        slot.term = opinion.term
        slot.primaryDown = opinion.primary_down


def _put_give_up(wire: typing.Any, body: GiveUp) -> None:
    bound = wire.init('giveUp')
    bound.site = body.key.site
    bound.group = body.key.group
    bound.below = body.below


def _put_gave_up(wire: typing.Any, body: GaveUp) -> None:
    bound = wire.init('gaveUp')
    bound.site = body.key.site
    bound.group = body.key.group
    bound.below = body.below
    bound.proxy = body.proxy


def _put_row(wire: typing.Any, body: RowNews) -> None:
    news = wire.init('rowNews')
    news.site = body.key.site
    news.group = body.key.group
    news.row = body.row


def _put_ask_config(wire: typing.Any, body: AskConfig) -> None:
    asked = wire.init('askConfig')
    asked.version = body.ref.version
    asked.sha256 = body.ref.sha256


def _put_config(wire: typing.Any, body: ConfigContent) -> None:
    content = wire.init('config')
    content.version = body.ref.version
    content.sha256 = body.ref.sha256
    content.document = body.document


def _put_forward(wire: typing.Any, body: Forward) -> None:
    forward = wire.init('forward')
    forward.site = body.key.site
    forward.group = body.key.group
    forward.request = _json(body.request)


def _put_forwarded(wire: typing.Any, body: Forwarded) -> None:
    wire.init('forwarded').answer = _json(body.answer)


def _json(value: core.Request | core.Answer) -> bytes:
    """Give a value as JSON; a time without bound is left out.

    Callers' text may hold bytes that are not UTF-8, as surrogates, which
    only the standard library's JSON passes on.
    """
    plain = _structure.unstructure(value)
    bounded = {name: part for name, part in plain.items() if part != math.inf}
    return json.dumps(bounded, default=_results.plain).encode()


def _put_ask_evidence(wire: typing.Any, body: AskEvidence) -> None:
    keys = wire.init('askEvidence', len(body.keys))
    for slot, key in zip(keys, body.keys, strict=True):
        slot.site = key.site
        slot.group = key.group


def _put_evidence(wire: typing.Any, body: EvidenceAnswer) -> None:
    seen = wire.init('evidence', len(body.seen))
    for slot, group in zip(seen, body.seen, strict=True):
        found = group.evidence
        slot.site = group.key.site
        slot.group = group.key.group
        slot.term = found.term
        slot.position = -1
        if found.position is not None:
            slot.position = found.position
            slot.positionAgeUs = _age_us(found.position_at)
        grants = slot.init('grants', len(found.grants))
        for part, grant in zip(grants, found.grants, strict=True):
            part.member = grant.member
            part.promised = grant.promised
            part.ageUs = _age_us(grant.at)


def _put_digest(wire: typing.Any, body: Digest) -> None:
    digest = wire.init('digest')
    news = digest.init('news', len(body.news))
    for slot, aged in zip(news, body.news, strict=True):
        _fill_heartbeat(slot.init('beat'), aged.beat)
        slot.ageMs = math.ceil(aged.age * 1000)
    alive = digest.init('alive', len(body.alive))
    for slot, entry in zip(alive, body.alive, strict=True):
        slot.proxy = entry.proxy
        slot.ageMs = math.ceil(entry.age * 1000)
        slot.revision = entry.revision


def _put_ask_endpoints(wire: typing.Any, body: AskEndpoints) -> None:
    wire.init('askEndpoints').version = body.version


def _put_endpoints(wire: typing.Any, body: EndpointNews) -> None:
    listed = wire.init('endpoints')
    listed.version = body.version
    listed.entries = body.entries


def _put_probe(wire: typing.Any, body: Probe) -> None:
    wire.probe = None


def _put_probed(wire: typing.Any, body: Probed) -> None:
    wire.probed = None


def _age_us(at: float) -> int:
    """Give a negative age in seconds as microseconds, rounded up."""
    return max(0, math.ceil(-at * 1e6))


_ENCODERS: dict[type, typing.Callable[[typing.Any, typing.Any], None]] = {
    Heartbeat: _put_heartbeat,
    GiveUp: _put_give_up,
    GaveUp: _put_gave_up,
    RowNews: _put_row,
    AskConfig: _put_ask_config,
    ConfigContent: _put_config,
    Forward: _put_forward,
    Forwarded: _put_forwarded,
    AskEvidence: _put_ask_evidence,
    EvidenceAnswer: _put_evidence,
    Probe: _put_probe,
    Probed: _put_probed,
    Digest: _put_digest,
    AskEndpoints: _put_ask_endpoints,
    EndpointNews: _put_endpoints,
}

# Decoders -----------------------------------------------------------------


def _key_of(part: typing.Any) -> GroupKey:
    return GroupKey(part.site, part.group)


def _get_digest(wire: typing.Any) -> Digest:
    digest = wire.digest
    return Digest(
        news=tuple(
            AgedHeartbeat(_heartbeat_of(part.beat), part.ageMs / 1000)
            for part in digest.news
        ),
        alive=tuple(
            AliveProxy(part.proxy, part.ageMs / 1000, part.revision)
            for part in digest.alive
        ),
    )


def _heartbeat_of(beat: typing.Any) -> Heartbeat:
    return Heartbeat(
        proxy=beat.proxy,
        domain=beat.domain,
        host=beat.host,
        port=beat.port,
        config_version=beat.configVersion,
        draining=beat.draining,
        pass_on=beat.passOn,
        blind=beat.blind,
        opinions=tuple(
            GroupOpinion(_key_of(o), o.term, o.primaryDown)
            for o in beat.opinions
        ),
    )


T = typing.TypeVar('T')


def _from_json(raw: bytes, kind: type[T]) -> T:
    read = _structure.structure_plain(json.loads(bytes(raw)), kind)
    if read.is_err():
        raise ValueError('; '.join(read.unwrap_err()))
    return read.unwrap()


def _get_forward(wire: typing.Any) -> Forward:
    request = _from_json(wire.forward.request, core.Request)
    return Forward(_key_of(wire.forward), request)


def _get_forwarded(wire: typing.Any) -> Forwarded:
    return Forwarded(_from_json(wire.forwarded.answer, core.Answer))


def _get_evidence(wire: typing.Any) -> EvidenceAnswer:
    return EvidenceAnswer(
        tuple(
            GroupEvidence(_key_of(part), _evidence_of(part))
            for part in wire.evidence
        )
    )


def _evidence_of(part: typing.Any) -> core.Evidence:
    grants = tuple(
        core.MemberGrant(g.member, g.promised, -g.ageUs / 1e6)
        for g in part.grants
    )
    if part.position < 0:
        return core.Evidence(part.term, grants)
    return core.Evidence(
        part.term, grants, part.position, -part.positionAgeUs / 1e6
    )


def _ref_of(part: typing.Any) -> core.ConfigRef:
    return core.ConfigRef(part.version, part.sha256)


_DECODERS: dict[str, typing.Callable[[typing.Any], PeerBody]] = {
    'heartbeat': lambda w: _heartbeat_of(w.heartbeat),
    'giveUp': lambda w: GiveUp(_key_of(w.giveUp), w.giveUp.below),
    'gaveUp': lambda w: GaveUp(
        _key_of(w.gaveUp), w.gaveUp.below, w.gaveUp.proxy
    ),
    'rowNews': lambda w: RowNews(_key_of(w.rowNews), bytes(w.rowNews.row)),
    'askConfig': lambda w: AskConfig(_ref_of(w.askConfig)),
    'config': lambda w: ConfigContent(
        _ref_of(w.config), bytes(w.config.document)
    ),
    'forward': _get_forward,
    'forwarded': _get_forwarded,
    'askEvidence': lambda w: AskEvidence(
        tuple(_key_of(part) for part in w.askEvidence)
    ),
    'evidence': _get_evidence,
    'probe': lambda w: Probe(),
    'probed': lambda w: Probed(),
    'digest': _get_digest,
    'askEndpoints': lambda w: AskEndpoints(w.askEndpoints.version),
    'endpoints': lambda w: EndpointNews(
        w.endpoints.version, bytes(w.endpoints.entries)
    ),
}

"""Conversion of peer messages to and from Cap'n Proto."""

import math
import typing

import capnp  # type: ignore[import-untyped]

from tidegrade import core
from tidegrade.peers import _forwarding
from tidegrade.peers import _messages as messages
from tidegrade.peers import _packing
from tidegrade.peers import _wire

#: Cap on an age that is sent, in milliseconds; it fits into 32 bits.
MAX_AGE_MS = 1_000_000_000
#: Highest priority number that is sent; it fits into 8 bits. All lower
#: priorities count as this one.
MAX_PRIORITY = 255


class Malformed(Exception):
    """The message of a peer can't be decoded."""


def encode(message: messages.PeerMessage) -> bytes:
    """Return a message as bytes."""
    wire = _wire.PeerMessage.new_message(number=message.number)
    _ENCODERS[type(message.body)](wire, message.body)
    return wire.to_bytes_packed()


def decode(raw: bytes) -> messages.PeerMessage:
    """Return the message that bytes hold; raises :class:`Malformed`."""
    try:
        wire = _wire.read_peer_message(raw)
        body = _DECODERS[str(wire.which())](wire)
        return messages.PeerMessage(body, wire.number)
    except (capnp.KjException, ValueError, KeyError, TypeError) as exc:
        raise Malformed(str(exc)) from None


# Encoders -----------------------------------------------------------------


def _put_heartbeat(wire: typing.Any, body: messages.Heartbeat) -> None:
    _fill_heartbeat(wire.init('heartbeat'), body)


def _fill_heartbeat(beat: typing.Any, body: messages.Heartbeat) -> None:
    beat.proxy = body.proxy
    beat.domain = body.domain
    beat.host = body.host
    beat.port = body.port
    beat.configVersion = body.config_version
    beat.draining = body.draining
    beat.passOn = body.pass_on
    beat.blind = body.blind
    beat.configAge = _config_age_ms(body.config_age)
    beat.storeGeneration = body.store_generation
    beat.capacity = body.capacity
    opinions = beat.init('opinions', len(body.opinions))
    for slot, opinion in zip(opinions, body.opinions, strict=True):
        slot.site = opinion.key.site
        slot.group = opinion.key.group
        slot.term = opinion.term
        slot.primaryDown = opinion.primary_down


def _put_give_up(wire: typing.Any, body: messages.GiveUp) -> None:
    bound = wire.init('giveUp')
    bound.site = body.key.site
    bound.group = body.key.group
    bound.below = body.below


def _put_gave_up(wire: typing.Any, body: messages.GaveUp) -> None:
    bound = wire.init('gaveUp')
    bound.site = body.key.site
    bound.group = body.key.group
    bound.below = body.below
    bound.proxy = body.proxy


def _put_row(wire: typing.Any, body: messages.RowNews) -> None:
    news = wire.init('rowNews')
    news.site = body.key.site
    news.group = body.key.group
    news.row = body.row
    news.passOn = body.pass_on


def _put_ask_config(wire: typing.Any, body: messages.AskConfig) -> None:
    asked = wire.init('askConfig')
    asked.version = body.ref.version
    asked.sha256 = body.ref.sha256


def _put_config(wire: typing.Any, body: messages.ConfigContent) -> None:
    content = wire.init('config')
    content.version = body.ref.version
    content.sha256 = body.ref.sha256
    content.packed = _packing.pack(body.document) if body.document else b''


def _put_forward(wire: typing.Any, body: messages.Forward) -> None:
    forward = wire.init('forward')
    forward.site = body.key.site
    forward.group = body.key.group
    forward.request, forward.simple = _forwarding.encode_request(body.request)


def _put_forwarded(wire: typing.Any, body: messages.Forwarded) -> None:
    forwarded = wire.init('forwarded')
    forwarded.answer, forwarded.simple = _forwarding.encode_answer(body.answer)


def _put_ask_evidence(wire: typing.Any, body: messages.AskEvidence) -> None:
    keys = wire.init('askEvidence', len(body.keys))
    for slot, key in zip(keys, body.keys, strict=True):
        slot.site = key.site
        slot.group = key.group


def _put_evidence(wire: typing.Any, body: messages.EvidenceAnswer) -> None:
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
        slot.heldForUs = _left_us(found.held_until)
        grants = slot.init('grants', len(found.grants))
        for part, grant in zip(grants, found.grants, strict=True):
            part.member = grant.member
            part.promised = grant.promised
            part.ageUs = _age_us(grant.at)


def _put_digest(wire: typing.Any, body: messages.Digest) -> None:
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
    rolls = digest.init('rolls', len(body.rolls))
    for slot, roll in zip(rolls, body.rolls, strict=True):
        slot.domain = roll.domain
        slot.count = roll.count
        slot.revisions = roll.revisions
        slot.ageMs = math.ceil(roll.age * 1000)
    digest.sender = body.sender
    digest.configVersion = body.config_version
    digest.configAge = _config_age_ms(body.config_age)
    digest.hasContacts = body.has_contacts
    contacts = digest.init('contacts', len(body.contacts))
    for slot, contact in zip(contacts, body.contacts, strict=True):
        slot.domain = contact.domain
        slot.ageMs = min(math.ceil(contact.age * 1000), MAX_AGE_MS)


def _put_ask_domain(wire: typing.Any, body: messages.AskDomain) -> None:
    wire.askDomain = body.domain
    known = wire.init('known', len(body.known))
    for at, revision in enumerate(body.known):
        known[at] = revision


def _put_ask_endpoints(wire: typing.Any, body: messages.AskEndpoints) -> None:
    wire.init('askEndpoints').version = body.version


def _put_endpoints(wire: typing.Any, body: messages.EndpointNews) -> None:
    listed = wire.init('endpoints')
    listed.version = body.version
    listed.entries = body.entries
    listed.passOn = body.pass_on


def _put_ask_quota(wire: typing.Any, body: messages.AskQuota) -> None:
    ask = wire.init('askQuota')
    ask.tenant = body.tenant
    ask.rate = body.rate
    ask.burst = body.burst
    ask.configVersion = body.config_version
    ask.patience = body.patience
    ask.insteadOf = body.instead_of
    ask.priority = min(max(body.priority, 0), MAX_PRIORITY)
    ask.passedOn = body.passed_on


def _put_quota(wire: typing.Any, body: messages.QuotaGrant) -> None:
    grant = wire.init('quota')
    grant.granted = body.grant.granted
    grant.wait = body.grant.wait
    grant.part = body.grant.part
    grant.at = body.grant.at
    grant.reserved = body.grant.reserved


def _put_quota_back(wire: typing.Any, body: messages.QuotaBack) -> None:
    back = wire.init('quotaBack')
    back.tenant = body.tenant
    back.at = body.at


def _put_quota_taken(wire: typing.Any, body: messages.QuotaTaken) -> None:
    wire.quotaTaken = body.tenant


def _put_quota_handover(
    wire: typing.Any, body: messages.QuotaHandover
) -> None:
    part = wire.init('quotaHandover')
    part.tenant = body.handover.tenant
    part.level = body.handover.level
    part.sender = body.handover.sender


def _put_probe(wire: typing.Any, body: messages.Probe) -> None:
    wire.probe = None


def _put_probed(wire: typing.Any, body: messages.Probed) -> None:
    wire.probed = None


def _age_us(at: float) -> int:
    """Convert a negative age in seconds to microseconds, rounded up.

    Rounding up never makes evidence look newer than it is.
    """
    return max(0, math.ceil(-at * 1e6))


def _left_us(until: float) -> int:
    """Convert a time left in seconds to microseconds, rounded down.

    It is 0 if no time is left. Rounding down never makes a permission look
    longer than it is.
    """
    return 0 if until <= 0 else math.floor(until * 1e6)


_ENCODERS: dict[type, typing.Callable[[typing.Any, typing.Any], None]] = {
    messages.Heartbeat: _put_heartbeat,
    messages.GiveUp: _put_give_up,
    messages.GaveUp: _put_gave_up,
    messages.RowNews: _put_row,
    messages.AskConfig: _put_ask_config,
    messages.ConfigContent: _put_config,
    messages.Forward: _put_forward,
    messages.Forwarded: _put_forwarded,
    messages.AskEvidence: _put_ask_evidence,
    messages.EvidenceAnswer: _put_evidence,
    messages.Probe: _put_probe,
    messages.Probed: _put_probed,
    messages.Digest: _put_digest,
    messages.AskEndpoints: _put_ask_endpoints,
    messages.EndpointNews: _put_endpoints,
    messages.AskDomain: _put_ask_domain,
    messages.AskQuota: _put_ask_quota,
    messages.QuotaGrant: _put_quota,
    messages.QuotaBack: _put_quota_back,
    messages.QuotaTaken: _put_quota_taken,
    messages.QuotaHandover: _put_quota_handover,
}

# Decoders -----------------------------------------------------------------


def _key_of(part: typing.Any) -> messages.GroupKey:
    return messages.GroupKey(part.site, part.group)


def _get_digest(wire: typing.Any) -> messages.Digest:
    digest = wire.digest
    return messages.Digest(
        news=tuple(
            messages.AgedHeartbeat(_heartbeat_of(part.beat), part.ageMs / 1000)
            for part in digest.news
        ),
        alive=tuple(
            messages.AliveProxy(part.proxy, part.ageMs / 1000, part.revision)
            for part in digest.alive
        ),
        rolls=tuple(
            messages.Roll(
                part.domain, part.count, part.revisions, part.ageMs / 1000
            )
            for part in digest.rolls
        ),
        sender=digest.sender,
        config_version=digest.configVersion,
        config_age=_config_age_of(digest.configAge),
        contacts=tuple(
            messages.DomainContact(part.domain, part.ageMs / 1000)
            for part in digest.contacts
        ),
        has_contacts=digest.hasContacts,
    )


def _heartbeat_of(beat: typing.Any) -> messages.Heartbeat:
    return messages.Heartbeat(
        proxy=beat.proxy,
        domain=beat.domain,
        host=beat.host,
        port=beat.port,
        config_version=beat.configVersion,
        draining=beat.draining,
        pass_on=beat.passOn,
        blind=beat.blind,
        config_age=_config_age_of(beat.configAge),
        store_generation=beat.storeGeneration,
        capacity=beat.capacity,
        opinions=tuple(
            messages.GroupOpinion(_key_of(o), o.term, o.primaryDown)
            for o in beat.opinions
        ),
    )


def _ask_quota_of(ask: typing.Any) -> messages.AskQuota:
    return messages.AskQuota(
        ask.tenant,
        ask.rate,
        ask.burst,
        ask.configVersion,
        ask.patience,
        ask.insteadOf,
        ask.priority,
        ask.passedOn,
    )


def _quota_handover_of(part: typing.Any) -> messages.QuotaHandover:
    if not math.isfinite(part.level):
        raise ValueError('the level of a handover must be finite')
    return messages.QuotaHandover(
        core.Handover(part.tenant, part.level, part.sender)
    )


def _quota_of(quota: typing.Any) -> messages.QuotaGrant:
    return messages.QuotaGrant(
        core.Grant(
            quota.granted, quota.wait, quota.part, quota.at, quota.reserved
        )
    )


def _get_forward(wire: typing.Any) -> messages.Forward:
    part = wire.forward
    encoded = _forwarding.Encoded(bytes(part.request), part.simple)
    request = _forwarding.decode(encoded, core.Request)
    return messages.Forward(_key_of(part), request)


def _get_forwarded(wire: typing.Any) -> messages.Forwarded:
    part = wire.forwarded
    encoded = _forwarding.Encoded(bytes(part.answer), part.simple)
    return messages.Forwarded(_forwarding.decode(encoded, core.Answer))


def _get_evidence(wire: typing.Any) -> messages.EvidenceAnswer:
    return messages.EvidenceAnswer(
        tuple(
            messages.GroupEvidence(_key_of(part), _evidence_of(part))
            for part in wire.evidence
        )
    )


def _evidence_of(part: typing.Any) -> core.Evidence:
    grants = tuple(
        core.MemberGrant(g.member, g.promised, -g.ageUs / 1e6)
        for g in part.grants
    )
    held_until = float('-inf')
    if part.heldForUs:
        held_until = part.heldForUs / 1e6
    if part.position < 0:
        return core.Evidence(part.term, grants, held_until=held_until)
    return core.Evidence(
        part.term,
        grants,
        part.position,
        -part.positionAgeUs / 1e6,
        held_until,
    )


def _config_age_ms(age: float | None) -> int:
    if age is None:
        return 0
    return min(math.ceil(age * 1000), MAX_AGE_MS) + 1


def _config_age_of(age_ms: int) -> float | None:
    return (age_ms - 1) / 1000 if age_ms else None


def _document_of(part: typing.Any) -> bytes:
    if part.packed:
        return _packing.unpack(bytes(part.packed))
    return bytes(part.document)


def _ref_of(part: typing.Any) -> core.ConfigRef:
    return core.ConfigRef(part.version, part.sha256)


_DECODERS: dict[str, typing.Callable[[typing.Any], messages.PeerBody]] = {
    'heartbeat': lambda w: _heartbeat_of(w.heartbeat),
    'giveUp': lambda w: messages.GiveUp(_key_of(w.giveUp), w.giveUp.below),
    'gaveUp': lambda w: messages.GaveUp(
        _key_of(w.gaveUp), w.gaveUp.below, w.gaveUp.proxy
    ),
    'rowNews': lambda w: messages.RowNews(
        _key_of(w.rowNews), bytes(w.rowNews.row), w.rowNews.passOn
    ),
    'askConfig': lambda w: messages.AskConfig(_ref_of(w.askConfig)),
    'config': lambda w: messages.ConfigContent(
        _ref_of(w.config), _document_of(w.config)
    ),
    'forward': _get_forward,
    'forwarded': _get_forwarded,
    'askEvidence': lambda w: messages.AskEvidence(
        tuple(_key_of(part) for part in w.askEvidence)
    ),
    'evidence': _get_evidence,
    'probe': lambda w: messages.Probe(),
    'probed': lambda w: messages.Probed(),
    'digest': _get_digest,
    'askEndpoints': lambda w: messages.AskEndpoints(w.askEndpoints.version),
    'endpoints': lambda w: messages.EndpointNews(
        w.endpoints.version, bytes(w.endpoints.entries), w.endpoints.passOn
    ),
    'askDomain': lambda w: messages.AskDomain(w.askDomain, tuple(w.known)),
    'askQuota': lambda w: _ask_quota_of(w.askQuota),
    'quota': lambda w: _quota_of(w.quota),
    'quotaBack': lambda w: messages.QuotaBack(
        w.quotaBack.tenant, w.quotaBack.at
    ),
    'quotaTaken': lambda w: messages.QuotaTaken(w.quotaTaken),
    'quotaHandover': lambda w: _quota_handover_of(w.quotaHandover),
}

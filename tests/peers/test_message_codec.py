"""Encoding and decoding of messages between proxies."""

import datetime
import decimal
import json
import math

import attrs
import pytest

from tidegrade.codec import _structure
from tidegrade import core
from tidegrade.peers import _forwarding
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade.peers import _wire

KEY = messages.GroupKey('s', 'g')
BEAT = messages.Heartbeat(
    'p', 'a', '127.0.0.1', 1, 1, False, store_generation=3
)


def test_a_heartbeat_carries_the_store_generation():
    sent = codec.encode(messages.PeerMessage(BEAT))
    assert codec.decode(sent).body == BEAT


def test_a_later_generation_changes_the_revision():
    """Relays forward only heartbeats whose revision has changed."""
    later = attrs.evolve(BEAT, store_generation=4)
    assert later.revision() != BEAT.revision()


def test_capacity_is_sent_but_not_part_of_the_revision():
    """Older proxies compute the revision without it.

    With another checksum, each of their digests would cause a pull.
    """
    beat = attrs.evolve(BEAT, capacity=516)
    sent = codec.encode(messages.PeerMessage(beat))
    assert codec.decode(sent).body.capacity == 516
    assert beat.revision() == BEAT.revision()


@pytest.mark.parametrize(
    'body',
    [
        messages.AskQuota('acme', 40.0, 20.0, 7, 0.05, 'a', 2),
        messages.QuotaGrant(core.Grant(True, 0.25, 0.5, 1234.5)),
        messages.QuotaGrant(core.Grant(False, 0.25, 0.5, reserved=True)),
        messages.QuotaBack('acme', 1234.5),
        messages.Digest(
            sender='p',
            contacts=(messages.DomainContact('b', 0.25),),
            has_contacts=True,
        ),
        messages.QuotaHandover(core.Handover('acme', -1.5, 'vm-1.r')),
    ],
)
def test_messages_round_trip(body):
    sent = codec.encode(messages.PeerMessage(body))
    assert codec.decode(sent).body == body


REQUEST = core.Request(
    7,
    'acme',
    core.Kind.WRITE,
    0.75,
    (
        core.Statement(
            'UPDATE t SET a = $1',
            ('text', 3, 2.5, True, None),
            'op-1',
            core.Prepared('UPDATE t SET a = $1', True),
        ),
        core.Statement('SELECT 1'),
    ),
    floor=core.Position(3, 2**63),
    max_age=0.0,
    key='k',
    values=(('timezone', 'UTC'),),
    place_by=0.5,
    replica_wait=0.02,
    aim=0.1,
    priority=0,
)
ANSWER = core.Answer(
    core.Outcome.DONE,
    core.Code.CONN_LOST,
    results=(core.ResultSet(('a', 'b'), (('x', None), (1, 2.5)), 2, 'r'),),
    position=core.Position(3, 9),
    from_replica=True,
    age=0.0,
    acknowledge_until=1,
    trace=core.Trace(3, 1, 0, after=4, permission_left=0.5),
)
#: Values that orjson alone would refuse or change.
ODD_VALUES = ('\udce9t\udce9', 2**64, -(2**70), float('inf'), 1e300)


def forwarded(req: core.Request) -> core.Request:
    message = messages.PeerMessage(messages.Forward(KEY, req), 1)
    body = codec.decode(codec.encode(message)).body
    assert body.key == KEY
    return body.request


def returned(answer: core.Answer) -> core.Answer:
    message = messages.PeerMessage(messages.Forwarded(answer), 1)
    return codec.decode(codec.encode(message)).body.answer


def test_a_forwarded_request_and_its_answer_round_trip():
    assert forwarded(REQUEST) == REQUEST
    assert returned(ANSWER) == ANSWER


@pytest.mark.parametrize('value', ODD_VALUES)
def test_values_beyond_utf_8_and_64_bits_are_forwarded_unchanged(value):
    """Guards against integers read as floats, and against lost bytes."""
    statement = core.Statement('SELECT $1', (value, [value], 1))
    req = attrs.evolve(REQUEST, statements=(statement,))
    (found,) = forwarded(req).statements[0].params[:1]
    assert (type(found), found) == (type(value), value)
    assert forwarded(req) == req
    rows = ((1, value), (value, 1))
    answer = attrs.evolve(
        ANSWER, results=(core.ResultSet(('a', 'b'), rows, 2),)
    )
    assert returned(answer) == answer


def test_a_text_that_is_not_utf_8_is_forwarded_in_every_field():
    """Guards against a caller's bytes that end the link of all others."""
    odd = 'caf\udce9'
    statement = core.Statement(odd, (odd,), odd, core.Prepared(odd))
    req = attrs.evolve(
        REQUEST, statements=(statement,), key=odd, values=((odd, odd),)
    )
    assert forwarded(req) == req
    answer = attrs.evolve(ANSWER, detail=odd)
    assert returned(answer) == answer


def test_values_without_a_json_type_are_forwarded_as_text():
    rows = ((b'ab', decimal.Decimal('1.50'), datetime.datetime(2026, 1, 2)),)
    answer = attrs.evolve(
        ANSWER, results=(core.ResultSet(('a', 'b', 'c'), rows, 1),)
    )
    found = returned(answer).results[0].rows
    assert found == (('YWI=', '1.50', '2026-01-02 00:00:00'),)


def test_the_form_of_older_proxies_is_read_and_written():
    """Guards against a rolling upgrade during which forwarding fails.

    Older proxies send all fields but infinite times, as JSON of the standard
    library, and read JSON with the generic converter.
    """
    plain = _structure.unstructure(REQUEST)
    old = {name: part for name, part in plain.items() if part != math.inf}
    wire = _wire.PeerMessage.new_message(number=1)
    forward = wire.init('forward')
    forward.site, forward.group = KEY.site, KEY.group
    forward.request = json.dumps(old).encode()
    assert codec.decode(wire.to_bytes_packed()).body.request == REQUEST
    for value, body, field in (
        (REQUEST, messages.Forward(KEY, REQUEST), 'request'),
        (ANSWER, messages.Forwarded(ANSWER), 'answer'),
    ):
        sent = _wire.read_peer_message(
            codec.encode(messages.PeerMessage(body, 1))
        )
        raw = bytes(getattr(getattr(sent, sent.which()), field))
        read = _structure.structure_plain(json.loads(raw), type(value))
        assert read.unwrap() == value


@pytest.mark.parametrize('simple', (True, False))
@pytest.mark.parametrize(
    'raw',
    (
        b'',
        b'[]',
        b'{"id":1}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"statements":[[]]}',
        b'{"id":"1","tenant":"","kind":"read","deadline":1}',
        b'{"id":1,"tenant":"","kind":"read","deadline":true}',
        b'{"id":1,"tenant":"","kind":"none","deadline":1}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"odd":1}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"values":[["a"]]}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"values":["ab"]}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"max_age":"1"}',
        b'{"id":1,"tenant":"","kind":"read","deadline":1,"statements":'
        b'[{"sql":"","params":"ab"}]}',
    ),
)
def test_a_malformed_forwarded_request_is_refused(raw, simple):
    """Guards against errors that would end the process of the receiver."""
    wire = _wire.PeerMessage.new_message(number=1)
    forward = wire.init('forward')
    forward.request, forward.simple = raw, simple
    with pytest.raises(codec.Malformed):
        codec.decode(wire.to_bytes_packed())


def test_fields_for_the_log_are_not_sent():
    """Proxies of an earlier version would refuse the answer."""
    trace = attrs.evolve(
        ANSWER.trace, to_primary=True, commit=core.Position(3, 9)
    )
    sent = attrs.evolve(ANSWER, trace=trace)
    assert _forwarding.encode_answer(sent) == _forwarding.encode_answer(ANSWER)

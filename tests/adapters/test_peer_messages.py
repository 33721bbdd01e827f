"""Round trips of messages between proxies through their encoding."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tidegrade import core
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

KEY = messages.GroupKey('platform', 'g1')
names = st.text('abc.:-0123', min_size=1, max_size=20)
ages = st.integers(0, 10**8).map(lambda us: -us / 1e6)
grants = st.builds(core.MemberGrant, names, st.integers(0, 2**40), ages)
evidence = st.builds(
    core.Evidence,
    st.integers(0, 2**40),
    st.lists(grants, max_size=4).map(tuple),
    st.integers(0, 2**60),
    ages,
    st.floats(0, 10),
)


@given(evidence)
def test_evidence_never_looks_newer_than_it_is(seen):
    answer = messages.EvidenceAnswer((messages.GroupEvidence(KEY, seen),))
    raw = codec.encode(messages.PeerMessage(answer, 7))
    back = codec.decode(raw)
    assert back.number == 7
    (group,) = back.body.seen
    assert group.key == KEY
    found = group.evidence
    assert found.position == seen.position
    assert found.position_at <= seen.position_at + 1e-9
    assert found.held_until <= seen.held_until + 1e-9
    for one, other in zip(found.grants, seen.grants, strict=True):
        assert (one.member, one.promised) == (other.member, other.promised)
        assert other.at - 2e-6 <= one.at <= other.at + 1e-9


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_malformed(raw):
    try:
        codec.decode(raw)
    except codec.Malformed:
        return


def test_evidence_without_a_position_round_trips():
    seen = messages.GroupEvidence(KEY, core.Evidence(3))
    message = messages.PeerMessage(messages.EvidenceAnswer((seen,)))
    (group,) = codec.decode(codec.encode(message)).body.seen
    assert group.evidence.position is None
    assert group.evidence.position_at == pytest.approx(float('-inf'))


texts = st.text(max_size=20)
raw_texts = st.binary(max_size=20).map(
    lambda raw: raw.decode('utf-8', 'surrogateescape')
)
statements = st.builds(
    core.Statement,
    raw_texts,
    st.lists(st.one_of(st.none(), texts, st.integers()), max_size=3).map(
        tuple
    ),
    texts,
    st.one_of(st.none(), st.builds(core.Prepared, texts, st.booleans())),
)
requests = st.builds(
    core.Request,
    id=st.integers(0, 2**40),
    tenant=texts,
    kind=st.sampled_from(core.Kind),
    deadline=st.floats(0, 100),
    statements=st.lists(statements, max_size=3).map(tuple),
    floor=st.one_of(
        st.none(),
        st.builds(core.Position, st.integers(0, 99), st.integers(0, 2**60)),
    ),
    max_age=st.one_of(st.none(), st.floats(0, 100)),
    values=st.lists(st.tuples(texts, texts), max_size=3).map(tuple),
    place_by=st.one_of(st.just(float('inf')), st.floats(0, 100)),
    attempt_limit=st.one_of(st.just(float('inf')), st.floats(0, 100)),
    read_only=st.booleans(),
)


@given(requests)
def test_a_forwarded_request_round_trips(req):
    forward = messages.Forward(KEY, req)
    raw = codec.encode(messages.PeerMessage(forward, 3))
    assert codec.decode(raw).body == forward


def test_a_forwarded_answer_round_trips():
    found = core.ResultSet(('a',), (('x\udcff',), (None,)), 2, 'receipt')
    answer = core.Answer(
        core.Outcome.DONE,
        results=(found,),
        position=core.Position(2, 7),
        endpoint='e',
        acknowledge_until=0.4,
        trace=core.Trace(2, 1, 0, 'e', 7, 0.4),
    )
    raw = codec.encode(messages.PeerMessage(messages.Forwarded(answer)))
    assert codec.decode(raw).body.answer == answer


def test_a_report_of_a_fallback_owner_round_trips():
    taken = messages.QuotaTaken('acme')
    raw = codec.encode(messages.PeerMessage(taken))
    assert codec.decode(raw).body == taken

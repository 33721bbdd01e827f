"""Sessions: the requests to the group and the replies to the caller."""

import attrs
import pytest
import result

from tidegrade import core
from tidegrade import sessions
from tidegrade import tenants

ROUTE = sessions.DatabaseRoute('db', 'g', 2.5, True, 0.8, 0.25, 1)
DONE = core.Answer(core.Outcome.DONE)
CALLER = tenants.Caller.presenting('u1')


class Group:
    """A group with scripted answers that records its requests."""

    def __init__(self) -> None:
        self.asked: list[core.Request] = []
        self.posted: list[core.Event] = []
        self.answers: list[core.Answer] = []
        self.may_acknowledge = True

    async def request(self, req: core.Request) -> core.Answer:
        self.asked.append(req)
        if self.answers:
            return self.answers.pop(0)
        if req.kind is core.Kind.BEGIN:
            return attrs.evolve(DONE, txn='p~1')
        return DONE

    def post(self, event: core.Event) -> None:
        self.posted.append(event)

    def final(self, answer: core.Answer) -> core.Answer:
        if self.may_acknowledge:
            return answer
        return core.Answer(core.Outcome.UNKNOWN, core.Code.UNCONFIRMED)


@attrs.define
class Harness:
    """The dependencies of a session: one group and a variable route."""

    group: Group = attrs.field(factory=Group)
    route: sessions.DatabaseRoute | None = ROUTE
    keyring: tenants.Keyring | None = None
    now: float = 10.0
    numbers: int = 0
    phase: sessions.ServicePhase = sessions.ServicePhase.SERVING
    quotas: sessions.QuotaAccess = attrs.field(factory=sessions.UnlimitedQuota)

    def open(self) -> sessions.Session:
        deps = sessions.SessionDeps(
            access_of=self._access_of,
            group_of=lambda name: self.group,
            next_number=self._next,
            now=lambda: self.now,
            quotas=self.quotas,
            phase=lambda: self.phase,
        )
        return sessions.Session('db', CALLER, deps)

    def _access_of(self, name, caller):
        if self.route is None:
            return result.Err(core.Code.NOT_FOUND)
        if self.keyring is None:
            return result.Ok(sessions.Access(self.route))
        holder = self.keyring.holder_of(caller.key_hash)
        if holder is None:
            return result.Err(core.Code.UNAUTHORIZED)
        return result.Ok(sessions.Access(self.route, holder))

    def _next(self) -> int:
        self.numbers += 1
        return self.numbers


@pytest.fixture
def harness() -> Harness:
    return Harness()


@pytest.fixture
def session(harness) -> sessions.Session:
    return harness.open()


READ = sessions.Run('r1', 'READ x', writes=False)
WRITE = sessions.Run('w1', 'WRITE x 1', writes=True)
COMMIT = sessions.Commit('c1', 'COMMIT')

pytestmark = pytest.mark.anyio


async def test_a_single_write_commits_by_itself(harness, session):
    reply = await session.handle(WRITE)
    (req,) = harness.group.asked
    assert (req.kind, req.autocommit) == (core.Kind.WRITE, True)
    assert req.statements[0].id == 'w1'
    assert reply.state is sessions.SessionState.IDLE


async def test_a_begin_reaches_the_group_with_the_first_statement(
    harness, session
):
    reply = await session.handle(sessions.Begin('b1'))
    assert harness.group.asked == []
    assert reply.state is sessions.SessionState.OPEN
    await session.handle(READ)
    await session.handle(WRITE)
    await session.handle(COMMIT)
    kinds = [req.kind for req in harness.group.asked]
    assert kinds == [core.Kind.BEGIN, core.Kind.EXECUTE, core.Kind.COMMIT]
    assert harness.group.asked[-1].statements[0].sql == 'COMMIT'


async def test_an_empty_transaction_is_begun_before_its_commit(
    harness, session
):
    await session.handle(sessions.Begin('b1'))
    await session.handle(COMMIT)
    kinds = [req.kind for req in harness.group.asked]
    assert kinds == [core.Kind.BEGIN, core.Kind.COMMIT]


async def test_a_failed_statement_fails_its_transaction(harness, session):
    await session.handle(sessions.Begin('b1'))
    harness.group.answers.append(
        core.Answer(core.Outcome.NOT_RUN, core.Code.OVERLOADED)
    )
    failed = await session.handle(READ)
    assert failed.state is sessions.SessionState.FAILED
    refused = await session.handle(READ)
    assert refused.answer.code is core.Code.BAD_REQUEST
    ended = await session.handle(COMMIT)
    assert ended.answer.outcome is core.Outcome.NOT_RUN
    assert ended.state is sessions.SessionState.IDLE


async def test_session_values_are_sent_with_every_statement(harness, session):
    await session.handle(sessions.SetValue('s1', 'zone', 'a'))
    await session.handle(READ)
    assert harness.group.asked[0].values == (('zone', 'a'),)


async def test_an_unknown_prepared_name_is_refused(harness, session):
    reply = await session.handle(sessions.Execute('e1', 'p', 'x'))
    assert reply.answer.code is core.Code.NO_STATEMENT
    assert harness.group.asked == []


async def test_a_prepared_write_runs_as_a_write(harness, session):
    shape = core.Prepared('q1', writes=True)
    await session.handle(sessions.Prepare('p1', 'p', shape))
    await session.handle(sessions.Execute('e1', 'p', 'x 1'))
    (req,) = harness.group.asked
    assert req.kind is core.Kind.WRITE
    assert req.statements[0].prepared == shape


async def test_two_names_of_one_shape_are_one_at_the_endpoint():
    one, other = core.Prepared('q1'), core.Prepared('q1')
    assert one.name == other.name
    assert one.name != core.Prepared('q1', writes=True).name


async def test_a_commit_sets_the_floor_of_later_reads(harness, session):
    harness.group.answers.append(
        attrs.evolve(DONE, position=core.Position(1, 7))
    )
    await session.handle(WRITE)
    await session.handle(READ)
    assert harness.group.asked[1].floor == core.Position(1, 7)


async def test_a_write_without_permission_at_the_end_is_unknown(
    harness, session
):
    harness.group.may_acknowledge = False
    reply = await session.handle(WRITE)
    assert reply.answer.outcome is core.Outcome.UNKNOWN


async def test_removed_route_is_refused_from_the_next_transaction(
    harness, session
):
    await session.handle(sessions.Begin('b1'))
    harness.route = None
    inside = await session.handle(READ)
    assert inside.answer.outcome is core.Outcome.DONE
    await session.handle(COMMIT)
    after = await session.handle(READ)
    assert after.answer.code is core.Code.NOT_FOUND


async def test_closing_a_session_rolls_its_transaction_back(harness, session):
    await session.handle(sessions.Begin('b1'))
    await session.handle(READ)
    session.close()
    (event,) = harness.group.posted
    assert event.req.kind is core.Kind.ROLLBACK
    assert event.req.txn == 'p~1'


async def test_unknown_group_is_not_reported_as_a_missing_database(harness):
    """Guards against a final refusal while proxies restart.

    The caller must get a code that tells it to retry.
    """
    deps = sessions.SessionDeps(
        access_of=lambda name, caller: result.Ok(sessions.Access(ROUTE)),
        group_of=lambda name: None,
        next_number=lambda: 1,
        now=lambda: 10.0,
    )
    session = sessions.Session('db', CALLER, deps)
    for command in (READ, sessions.Begin('b1')):
        reply = await session.handle(command)
        assert reply.answer.code is core.Code.NO_PRIMARY
        assert reply.answer.outcome is core.Outcome.NOT_RUN


# Keys ---------------------------------------------------------------------


def keyring_of(*keys: str) -> tenants.Keyring:
    """Return a keyring with one tenant that has these keys."""
    hashes = frozenset(map(tenants.key_hash, keys))
    return tenants.Keyring([tenants.Tenant('acme', hashes, 10, 10)])


async def test_request_carries_the_tenant_that_holds_the_key(harness):
    harness.keyring = keyring_of('u1')
    await harness.open().handle(WRITE)
    assert harness.group.asked[0].tenant == 'acme'


async def test_a_key_is_looked_up_when_an_operation_starts(harness):
    harness.keyring = keyring_of('u1')
    session = harness.open()
    assert (await session.handle(READ)).answer.outcome is core.Outcome.DONE
    harness.keyring = keyring_of('u2')
    for command in (READ, WRITE, sessions.Begin('b1')):
        answer = (await session.handle(command)).answer
        assert answer.code is core.Code.UNAUTHORIZED
        assert answer.outcome is core.Outcome.NOT_RUN
    assert len(harness.group.asked) == 1


async def test_a_transaction_ends_soon_after_its_key_is_withdrawn(harness):
    harness.keyring = keyring_of('u1')
    session = harness.open()
    await session.handle(sessions.Begin('b1'))
    await session.handle(READ)
    harness.keyring = keyring_of()
    assert (await session.handle(READ)).answer.outcome is core.Outcome.DONE
    harness.now += 3.0
    refused = await session.handle(READ)
    assert refused.answer.code is core.Code.UNAUTHORIZED
    assert refused.state is sessions.SessionState.FAILED
    ended = await session.handle(COMMIT)
    assert ended.answer.code is core.Code.TXN_UNKNOWN
    assert [event.req.kind for event in harness.group.posted] == [
        core.Kind.ROLLBACK
    ]


async def test_a_commit_is_refused_once_its_key_is_long_withdrawn(harness):
    harness.keyring = keyring_of('u1')
    session = harness.open()
    await session.handle(sessions.Begin('b1'))
    await session.handle(READ)
    harness.keyring = keyring_of()
    harness.now += 3.0
    ended = await session.handle(COMMIT)
    assert ended.answer.outcome is core.Outcome.NOT_RUN
    assert core.Kind.COMMIT not in [req.kind for req in harness.group.asked]


@pytest.mark.parametrize(
    'phase', [sessions.ServicePhase.DRAINING, sessions.ServicePhase.ENDING]
)
async def test_a_draining_proxy_begins_no_transaction(harness, phase):
    """A transaction begun late was cut by the end of the process."""
    session = harness.open()
    harness.phase = phase
    reply = await session.handle(sessions.Begin('b1'))
    assert reply.answer.code is core.Code.DRAINING
    assert reply.state is sessions.SessionState.IDLE
    assert (await session.handle(READ)).answer.outcome is core.Outcome.DONE


async def test_an_open_transaction_goes_on_while_the_proxy_drains(
    harness, session
):
    await session.handle(sessions.Begin('b1'))
    await session.handle(READ)
    harness.phase = sessions.ServicePhase.DRAINING
    assert (await session.handle(READ)).answer.outcome is core.Outcome.DONE
    assert (await session.handle(COMMIT)).answer.outcome is core.Outcome.DONE


async def test_an_open_transaction_is_rolled_back_before_the_end(
    harness, session
):
    """Its later statements could not be answered before the process ends."""
    await session.handle(sessions.Begin('b1'))
    await session.handle(READ)
    harness.phase = sessions.ServicePhase.ENDING
    reply = await session.handle(READ)
    assert reply.answer.code is core.Code.TXN_UNKNOWN
    assert reply.answer.outcome is core.Outcome.NOT_RUN
    (posted,) = harness.group.posted
    assert posted.req.kind is core.Kind.ROLLBACK
    ended = await session.handle(COMMIT)
    assert ended.answer.outcome is core.Outcome.NOT_RUN
    assert ended.state is sessions.SessionState.IDLE


async def test_a_commit_is_accepted_until_the_end(harness, session):
    await session.handle(sessions.Begin('b1'))
    await session.handle(WRITE)
    harness.phase = sessions.ServicePhase.ENDING
    assert (await session.handle(COMMIT)).answer.outcome is core.Outcome.DONE


SHAPES = (sessions.Prepare('p1', 's', core.Prepared('q1', writes=True)),)


@pytest.mark.parametrize(
    ('command', 'outcome'),
    [
        (READ, core.Outcome.NOT_RUN),
        (WRITE, core.Outcome.UNKNOWN),
        (sessions.Execute('e1', 's', 'k0 v'), core.Outcome.UNKNOWN),
        (COMMIT, core.Outcome.UNKNOWN),
    ],
)
async def test_an_interrupted_command_promises_no_more_than_is_known(
    session, command, outcome
):
    """Guards against a refusal of a write that took effect."""
    for prepare in SHAPES:
        await session.handle(prepare)
    reply = session.interrupted(command)
    assert reply.answer.outcome is outcome


async def test_an_interrupted_statement_fails_its_transaction(session):
    await session.handle(sessions.Begin('b1'))
    await session.handle(WRITE)
    reply = session.interrupted(WRITE)
    assert reply.answer.outcome is core.Outcome.NOT_RUN
    assert reply.state is sessions.SessionState.FAILED


class RefusingQuota(sessions.UnlimitedQuota):
    """A quota that is used up, or whose rest is reserved."""

    def __init__(self, reserved: bool) -> None:
        self._reserved = reserved
        self.priorities: list[int] = []

    async def admit(self, tenant, patience, priority=0):
        self.priorities.append(priority)
        return core.Admission(False, 0.5, 'p.r', 1.0, reserved=self._reserved)


@pytest.mark.parametrize(
    ('reserved', 'reason'),
    [
        (False, 'the tenant is over its quota according to p.r'),
        (True, "the rest of the tenant's quota is reserved for more urgent"),
    ],
)
async def test_a_refusal_by_quota_states_its_reason(harness, reserved, reason):
    """The route's priority goes to the owner, and its reason comes back."""
    holder = tenants.Tenant('acme', frozenset({CALLER.key_hash}), 5.0, 5.0)
    harness.keyring = tenants.Keyring([holder])
    harness.quotas = RefusingQuota(reserved)
    reply = await harness.open().handle(READ)
    assert reply.answer.code is core.Code.TENANT_LIMIT
    assert reply.answer.detail.startswith(reason)
    assert harness.quotas.priorities == [ROUTE.priority]


@pytest.mark.parametrize('command', [READ, WRITE, COMMIT])
async def test_a_refused_command_reaches_no_endpoint(harness, command):
    """Guards against a refusal of a command that was run all the same."""
    session = harness.open()
    await session.handle(sessions.Begin('b1'))
    await session.handle(WRITE)
    asked = len(harness.group.asked)
    reply = session.refuse(command)
    assert reply.answer.outcome is core.Outcome.NOT_RUN
    assert reply.state is sessions.SessionState.FAILED
    assert len(harness.group.asked) == asked
    (posted,) = harness.group.posted
    assert posted.req.kind is core.Kind.ROLLBACK

"""Closing of idle callers' sessions, and answers to requests meanwhile.

A session that was closed between its opening and its first request failed
that request; see `test_whoever_asks_soon_after_opening_as_a_proxy_ends` in
`tests/edge`.
"""

import anyio
import pytest
import result
import tidegrade_edge as edge
from tidegrade_platform import _callers
from tidegrade_platform import _settings

from tidegrade import core
from tidegrade import sessions
from tidegrade import tenants

pytestmark = pytest.mark.anyio

ROUTE = sessions.DatabaseRoute('db', 'g', 2.5, True, 2.0, 0.5, 1)
#: Time within which a connection must close, in seconds; it only bounds a
#: failing test.
CLOSE_TIMEOUT_S = 5.0
DONE = core.Answer(core.Outcome.DONE)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Group:
    """Answers each request once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.may_answer = anyio.Event()
        self.may_answer.set()

    async def request(self, req: core.Request) -> core.Answer:
        await self.may_answer.wait()
        return DONE

    def post(self, event: core.Event) -> None:
        pass

    def final(self, answer: core.Answer) -> core.Answer:
        return answer


class Service:
    """Opens sessions on one group."""

    def __init__(self) -> None:
        self.group = Group()
        self._deps = sessions.SessionDeps(
            access_of=lambda *_: result.Ok(sessions.Access(ROUTE)),
            group_of=lambda _: self.group,
            next_number=lambda: 1,
            now=anyio.current_time,
        )

    def open(
        self, database: str, caller: tenants.Caller
    ) -> result.Result[sessions.Session, core.Code]:
        return result.Ok(sessions.Session(database, caller, self._deps))


class Harness:
    """A caller listener on a free port."""

    def __init__(self, tasks) -> None:
        self.service = Service()
        (self.port,) = edge.free_ports(1)
        address = _settings.Address('127.0.0.1', self.port)
        self.listener = _callers.CallerListener(address)
        self._tasks = tasks

    async def start(self) -> None:
        await self._tasks.start(self.listener.serve, self.service)

    async def caller(self) -> edge.Client:
        made = await edge.Client.connect(self.port, 'db')
        assert made is not None
        return made


@pytest.fixture
async def harness():
    async with anyio.create_task_group() as tasks:
        made = Harness(tasks)
        await made.start()
        yield made
        tasks.cancel_scope.cancel()


async def is_open(caller: edge.Client) -> bool:
    """Return whether a session is still open after 50 ms."""
    with anyio.move_on_after(0.05):
        try:
            await caller.receive()
        except anyio.EndOfStream:
            return False
    return True


async def ended(caller: edge.Client) -> bool:
    """Return whether a session is closed within the time limit."""
    with anyio.move_on_after(CLOSE_TIMEOUT_S):
        with pytest.raises(anyio.EndOfStream):
            await caller.receive()
        return True
    return False


async def test_a_session_that_was_just_opened_stays_open(harness):
    caller = await harness.caller()
    assert harness.listener.close_idle() == 1
    assert await is_open(caller)
    assert (await caller.ask('READ x')).code == ''


async def test_a_session_that_was_just_answered_stays_open(harness):
    caller = await harness.caller()
    await caller.ask('READ x')
    harness.listener.close_idle()
    assert await is_open(caller)


async def test_a_session_that_was_idle_for_long_is_closed(harness):
    callers = [await harness.caller(), await harness.caller()]
    await callers[1].ask('READ x')
    await anyio.sleep(_callers.MIN_IDLE_S + 0.05)
    harness.listener.close_idle()
    for caller in callers:
        assert await ended(caller)


async def test_close_answered_closes_a_session_after_its_answer(harness):
    """The caller sees the connection closed before its next request."""
    caller = await harness.caller()
    harness.listener.close_after_answers(True)
    assert (await caller.ask('READ x')).code == ''
    assert await ended(caller)


async def test_close_answered_lets_a_transaction_finish(harness):
    caller = await harness.caller()
    harness.listener.close_after_answers(True)
    assert (await caller.ask('BEGIN')).state == 'T'
    assert (await caller.ask('READ x')).state == 'T'
    assert (await caller.ask('COMMIT')).state == 'I'
    assert await ended(caller)


async def test_close_answered_lets_a_session_run_after_its_setup(harness):
    caller = await harness.caller()
    harness.listener.close_after_answers(True)
    await caller.ask('SET zone a')
    await caller.ask('PREPARE s READ x')
    assert (await caller.ask('EXEC s i1')).code == ''
    assert await ended(caller)


async def test_close_answered_can_be_switched_off(harness):
    caller = await harness.caller()
    harness.listener.close_after_answers(True)
    harness.listener.close_after_answers(False)
    await caller.ask('READ x')
    assert await is_open(caller)


async def test_a_request_that_arrives_as_the_session_closes_is_answered(
    harness,
):
    """The request had arrived but was unread when the session was chosen."""
    caller = await harness.caller()
    await anyio.sleep(_callers.MIN_IDLE_S + 0.05)
    harness.service.group.may_answer = anyio.Event()
    harness.listener.close_idle()
    await caller.send('QUERY u1 READ x')
    await anyio.sleep(0.02)
    harness.service.group.may_answer.set()
    assert await caller.receive() == 'DONE -'

"""When callers' sessions are closed, and what of theirs is still answered.

The story of the fault stands at
`test_whoever_asks_soon_after_opening_as_a_proxy_ends` in `tests/edge`.
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
#: Time that the end of a connection may take, in seconds; it only bounds a
#: failing test.
PATIENCE = 5.0
DONE = core.Answer(core.Outcome.DONE)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Group:
    """Answers each request once it is let."""

    def __init__(self) -> None:
        self.let = anyio.Event()
        self.let.set()

    async def request(self, req: core.Request) -> core.Answer:
        await self.let.wait()
        return DONE

    def post(self, event: core.Event) -> None:
        pass

    def final(self, answer: core.Answer) -> core.Answer:
        return answer


class Service:
    """Opens sessions before one group."""

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


class Bench:
    """A door on a port of its own."""

    def __init__(self, tasks) -> None:
        self.service = Service()
        (self.port,) = edge.free_ports(1)
        address = _settings.Address('127.0.0.1', self.port)
        self.door = _callers.CallerDoor(address)
        self._tasks = tasks

    async def start(self) -> None:
        await self._tasks.start(self.door.serve, self.service)

    async def caller(self) -> edge.Client:
        made = await edge.Client.connect(self.port, 'db')
        assert made is not None
        return made


@pytest.fixture
async def bench():
    async with anyio.create_task_group() as tasks:
        made = Bench(tasks)
        await made.start()
        yield made
        tasks.cancel_scope.cancel()


async def is_open(caller: edge.Client) -> bool:
    """Tell whether a session is still open a moment later."""
    with anyio.move_on_after(0.05):
        try:
            await caller.receive()
        except anyio.EndOfStream:
            return False
    return True


async def ended(caller: edge.Client) -> bool:
    """Wait for the end of a session."""
    with anyio.move_on_after(PATIENCE):
        with pytest.raises(anyio.EndOfStream):
            await caller.receive()
        return True
    return False


async def test_a_session_that_was_just_opened_is_left_for_its_request(bench):
    caller = await bench.caller()
    assert bench.door.close_idle() == 1
    assert await is_open(caller)
    assert (await caller.ask('READ x')).code == ''


async def test_a_session_that_was_just_answered_is_left_for_the_next(bench):
    caller = await bench.caller()
    await caller.ask('READ x')
    bench.door.close_idle()
    assert await is_open(caller)


async def test_a_session_that_has_rested_for_long_is_closed(bench):
    callers = [await bench.caller(), await bench.caller()]
    await callers[1].ask('READ x')
    await anyio.sleep(_callers.LEAST_REST + 0.05)
    bench.door.close_idle()
    for caller in callers:
        assert await ended(caller)


async def test_once_closing_a_session_ends_with_its_answer(bench):
    """The caller learns of the end before it asks again."""
    caller = await bench.caller()
    bench.door.close_after_answers(True)
    assert (await caller.ask('READ x')).code == ''
    assert await ended(caller)


async def test_once_closing_a_transaction_goes_on_to_its_end(bench):
    caller = await bench.caller()
    bench.door.close_after_answers(True)
    assert (await caller.ask('BEGIN')).state == 'T'
    assert (await caller.ask('READ x')).state == 'T'
    assert (await caller.ask('COMMIT')).state == 'I'
    assert await ended(caller)


async def test_once_closing_a_session_is_prepared_and_then_used(bench):
    caller = await bench.caller()
    bench.door.close_after_answers(True)
    await caller.ask('SET zone a')
    await caller.ask('PREPARE s READ x')
    assert (await caller.ask('EXEC s i1')).code == ''
    assert await ended(caller)


async def test_closing_may_end_again(bench):
    caller = await bench.caller()
    bench.door.close_after_answers(True)
    bench.door.close_after_answers(False)
    await caller.ask('READ x')
    assert await is_open(caller)


async def test_a_request_that_meets_the_closing_is_answered(bench):
    """It had come when the session was chosen, and was not read yet."""
    caller = await bench.caller()
    await anyio.sleep(_callers.LEAST_REST + 0.05)
    bench.service.group.let = anyio.Event()
    bench.door.close_idle()
    await caller.send('QUERY u1 READ x')
    await anyio.sleep(0.02)
    bench.service.group.let.set()
    assert await caller.receive() == 'DONE -'

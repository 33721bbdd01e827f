"""Closing of idle callers' sessions, and answers to requests meanwhile.

A session that was closed between its opening and its first request failed
that request; see `test_whoever_asks_soon_after_opening_as_a_proxy_ends` in
`tests/edge`.
"""

import socket
import time

import anyio
import attrs
import pytest
import result
import tidegrade_edge as edge
from tidegrade_platform import _callers
from tidegrade_platform import _settings

from tidegrade import core
from tidegrade import logs
from tidegrade import sessions
from tidegrade import tenants

pytestmark = pytest.mark.anyio

ROUTE = sessions.DatabaseRoute('db', 'g', 2.5, True, 2.0, 0.5, 1)
#: Time within which a connection must close, in seconds; it only bounds a
#: failing test.
CLOSE_TIMEOUT_S = 5.0
DONE = core.Answer(core.Outcome.DONE)


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(request):
    return 'asyncio', {'use_uvloop': request.param}


class Group:
    """Answers each request once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.may_answer = anyio.Event()
        self.may_answer.set()
        self.posted: list[core.Event] = []

    async def request(self, req: core.Request) -> core.Answer:
        await self.may_answer.wait()
        if req.kind is core.Kind.BEGIN:
            return attrs.evolve(DONE, txn='p~1')
        return DONE

    def post(self, event: core.Event) -> None:
        self.posted.append(event)

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


#: Durations of one pass of the event loop on a slow VM, in seconds: less and
#: more than the time limit of the final read.
SLOW_PASSES_S = (0.002, 0.006, 0.02, 0.09)
#: Number of slow passes: more than the close of a session takes.
PASS_COUNT = 12


async def slow_passes(duration: float) -> None:
    """Let each of the next passes of the event loop take a while."""
    for _ in range(PASS_COUNT):
        time.sleep(duration)
        await anyio.sleep(0)


@pytest.fixture
async def idle_socket(harness):
    """The socket of a session that has been idle for long.

    It sends without the event loop, so that a request arrives within a pass.
    """
    address = ('127.0.0.1', harness.port)
    with socket.create_connection(address) as sock:
        sock.sendall(b'CONNECT db key\r\n')
        await anyio.sleep(_callers.MIN_IDLE_S + 0.1)
        assert sock.recv(100) == b'READY I -\r\n'
        sock.setblocking(False)
        yield sock


async def received(sock: socket.socket) -> bytes:
    """Return what arrives at a socket within 0.2 s; empty if it is closed."""
    await anyio.sleep(0.2)
    return sock.recv(1000)


@pytest.mark.parametrize('duration', SLOW_PASSES_S)
@pytest.mark.parametrize('passes', [None, 0, 1, 2, 3])
async def test_a_request_read_on_a_slow_vm_as_its_session_closes_is_answered(
    harness, idle_socket, duration, passes
):
    """The process read a request, dropped it and closed the session.

    uvloop runs expired timers before anything else in a pass. If a pass took
    longer than the time limit of the final read, the limit cancelled the read
    although the bytes had been read from the socket. ``passes`` is the number
    of passes between the choice of the session and the request; None if the
    request arrives before the choice, in the same pass.
    """
    if passes is None:
        idle_socket.sendall(b'QUERY u1 READ x\r\n')
    harness.listener.close_idle()
    for _ in range(passes or 0):
        await anyio.sleep(0)
    if passes is not None:
        idle_socket.sendall(b'QUERY u1 READ x\r\n')
    await slow_passes(duration)
    assert await received(idle_socket) == b'DONE -\r\nREADY I -\r\n'


@pytest.mark.parametrize('text', ['BEGIN', 'SET zone a', 'PREPARE s READ q'])
async def test_a_first_command_read_on_a_slow_vm_as_its_session_closes(
    harness, idle_socket, text
):
    """A command that others must follow is answered too, if refused."""
    harness.listener.close_idle()
    idle_socket.sendall(f'QUERY u1 {text}\r\n'.encode())
    await slow_passes(SLOW_PASSES_S[-1])
    reply = (await received(idle_socket)).decode()
    done = reply.startswith('DONE -\r\nREADY ')
    refused = reply.startswith('ERROR BUSY ')
    assert done or (refused and reply.endswith('READY I -\r\n'))


async def test_a_session_that_is_idle_on_a_slow_vm_is_closed(
    harness, idle_socket
):
    harness.listener.close_idle()
    await slow_passes(SLOW_PASSES_S[-1])
    assert await received(idle_socket) == b''


@pytest.fixture
def logged(monkeypatch) -> list[tuple[logs.LogEvent, dict]]:
    """The events that are logged, with their fields."""
    lines: list[tuple[logs.LogEvent, dict]] = []
    monkeypatch.setattr(
        logs, 'write_bounded', lambda event, **f: lines.append((event, f))
    )
    return lines


async def test_a_request_that_the_end_of_the_process_cuts_is_logged(logged):
    """A request without an answer was in no line of the log."""
    async with anyio.create_task_group() as tasks:
        harness = Harness(tasks)
        await harness.start()
        served = await harness.caller()
        await served.ask('READ x')
        harness.service.group.may_answer = anyio.Event()
        cut = await harness.caller()
        await cut.send('QUERY u7 READ x')
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    found = [f for e, f in logged if e is logs.LogEvent.REQUEST_CUT]
    assert [fields['request'] for fields in found] == ['u7']


async def test_a_request_in_progress_is_answered_at_the_end(harness):
    """The end of the process cut the connection instead."""
    reading, writing = await harness.caller(), await harness.caller()
    committing, idle = await harness.caller(), await harness.caller()
    await committing.ask('BEGIN')
    await committing.ask('WRITE x 1')
    harness.service.group.may_answer = anyio.Event()
    await reading.send('QUERY u1 READ x')
    await writing.send('QUERY u2 WRITE x 1')
    await committing.send('QUERY u3 COMMIT')
    await anyio.sleep(0.05)
    assert harness.listener.answer_unfinished() == 3
    with anyio.fail_after(CLOSE_TIMEOUT_S):
        assert (await reading.receive()).startswith('ERROR BUSY ')
        assert (await writing.receive()).startswith('ERROR INDOUBT ')
        # A refusal would be wrong: the commit may have taken effect.
        assert (await committing.receive()).startswith('ERROR INDOUBT ')
    assert await is_open(idle)


@pytest.mark.parametrize(
    ('text', 'code'),
    [('COMMIT', 'ABORTED'), ('WRITE y 2', 'ABORTED'), ('ROLLBACK', 'ABORTED')],
)
async def test_a_command_that_arrives_after_the_end_is_refused(
    harness, text, code
):
    """It was run, and cut without an answer as the process ended."""
    caller = await harness.caller()
    await caller.ask('BEGIN')
    await caller.ask('WRITE x 1')
    harness.service.group.may_answer = anyio.Event()
    assert harness.listener.answer_unfinished() == 0
    await caller.send(f'QUERY u9 {text}')
    with anyio.fail_after(CLOSE_TIMEOUT_S):
        assert (await caller.receive()).startswith(f'ERROR {code} ')


async def test_a_transaction_without_a_request_is_rolled_back_at_the_end(
    harness,
):
    """Its locks stayed at another proxy until its idle limit."""
    caller = await harness.caller()
    await caller.ask('BEGIN')
    await caller.ask('WRITE x 1')
    assert harness.listener.answer_unfinished() == 0
    (posted,) = harness.service.group.posted
    assert posted.req.kind is core.Kind.ROLLBACK
    assert (await caller.ask('COMMIT')).code == 'ABORTED'


async def test_a_statement_that_arrives_after_the_end_is_not_run(harness):
    caller = await harness.caller()
    harness.service.group.may_answer = anyio.Event()
    harness.listener.answer_unfinished()
    await caller.send('QUERY u9 WRITE x 1')
    with anyio.fail_after(CLOSE_TIMEOUT_S):
        assert (await caller.receive()).startswith('ERROR BUSY ')


#: One text for each command, with bytes that are not UTF-8.
ODD_TEXTS = (
    b'READ caf\xe3',
    b'WRITE k\xff \xc0\x80',
    b'SET tz\xe3 v\xe3',
    b'PREPARE s\xe3 READ q\xe3',
    b'EXEC s\xe3 k\xe3',
    b'DEALLOC s\xe3',
    b'BEGIN \xe3',
    b'\xe3 x',
)


async def test_no_bytes_of_a_caller_end_the_process(harness):
    """Guards against an unhandled decoding error of the listener."""
    caller = await harness.caller()
    for text in ODD_TEXTS:
        await caller._stream.send(b'QUERY u\xe3 ' + text + b'\r\n')
        while not (await caller.receive()).startswith('READY'):
            pass

"""Links between proxies over connections that fail or are slow."""

import random

import anyio
import pytest
import tidegrade_edge as edge

from tidegrade import core
from tidegrade.peers import _frames
from tidegrade.peers import _links
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade.peers import _outbox
from tidegrade.peers import _server

pytestmark = pytest.mark.anyio

KEY = bytes(32)
BEAT = messages.Heartbeat('p', 'a', '127.0.0.1', 1, 1, False)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def free_port() -> int:
    return edge.free_ports(1)[0]


async def test_a_silent_link_reconnects(free_port):
    received = 0

    async def count_message(body: messages.PeerBody) -> None:
        nonlocal received
        received += 1

    server = _server.PeerServer(
        _links.Address('127.0.0.1', free_port), KEY, count_message
    )
    relay = edge.Relay(free_port)
    own = _links.Address('127.0.0.1', 1)
    links = _links.Links(KEY, own)
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(relay.serve)
        await tasks.start(links.run)
        address = _links.Address('127.0.0.1', relay.port)

        async def message_arrives() -> None:
            before = received
            while received == before:
                links.post(address, BEAT)
                await anyio.sleep(0.05)

        with anyio.fail_after(10):
            await message_arrives()
        relay.silence()
        with anyio.fail_after(10):
            await message_arrives()
        tasks.cancel_scope.cancel()


async def test_a_slow_answer_is_awaited_while_bytes_arrive(free_port):
    """A large answer is not cut off while its bytes keep arriving.

    The answer takes 2 s on its link, longer than a probe of the link may
    take.
    """
    document = random.Random(1).randbytes(400_000)

    async def send_config(body: messages.PeerBody) -> messages.ConfigContent:
        return messages.ConfigContent(core.ConfigRef(2, ''), document)

    server = _server.PeerServer(
        _links.Address('127.0.0.1', free_port), KEY, send_config
    )
    relay = edge.Relay(free_port, rate=200_000)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(relay.serve)
        await tasks.start(links.run)
        address = _links.Address('127.0.0.1', relay.port)
        request = messages.AskConfig(core.ConfigRef(2, ''))
        result = await links.fetch(address, request, 0.3)
        tasks.cancel_scope.cancel()
    assert result.answer is not None
    assert result.answer.document == document


async def test_a_slow_answer_delays_no_other_message(free_port):
    """Guards against a connection that is blocked by one handler.

    That holds for a request and for a message that wants no answer.
    """
    released = anyio.Event()
    answer = messages.Forwarded(core.Answer(core.Outcome.DONE))
    grant = messages.QuotaGrant(core.Grant(True, 0.0))
    request = core.Request(0, 't', core.Kind.ROLLBACK, 1.0)
    forward = messages.Forward(messages.GroupKey('s', 'g'), request)

    async def wait_for_release() -> messages.Forwarded:
        await released.wait()
        return answer

    def handle(body: messages.PeerBody) -> _server.Reply:
        return (
            grant
            if isinstance(body, messages.AskQuota)
            else wait_for_release()
        )

    address = _links.Address('127.0.0.1', free_port)
    server = _server.PeerServer(address, KEY, handle)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    results = []

    async def ask_slowly() -> None:
        results.append((await links.ask(address, forward, 10)).answer)

    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(links.run)
        tasks.start_soon(ask_slowly)
        quota = messages.AskQuota('t', 1.0, 1.0, 1, 0.0)
        assert (await links.ask(address, quota, 5)).answer == grant
        assert links.post(address, forward)
        assert (await links.ask(address, quota, 5)).answer == grant
        assert results == []
        released.set()
        with anyio.fail_after(5):
            while not results:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert results == [answer]


async def test_a_late_answer_is_not_matched_to_another_request(free_port):
    """Guards against answers that outlive their request's time limit."""
    released = anyio.Event()

    async def answer_late(body: messages.AskQuota) -> messages.QuotaGrant:
        if body.tenant == 'late':
            await released.wait()
        return messages.QuotaGrant(core.Grant(True, body.rate))

    address = _links.Address('127.0.0.1', free_port)
    server = _server.PeerServer(address, KEY, answer_late)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(links.run)
        started_at = anyio.current_time()
        late = messages.AskQuota('late', 1.0, 1.0, 1, 0.0)
        asked = await links.ask(address, late, 0.2)
        took = anyio.current_time() - started_at
        assert asked == _links.AskResult(sent=True)
        assert 0.19 < took < 2
        released.set()
        prompt = messages.AskQuota('prompt', 2.0, 1.0, 1, 0.0)
        asked = await links.ask(address, prompt, 5)
        assert asked.answer.grant.wait == 2.0
        tasks.cancel_scope.cancel()


async def test_a_lost_connection_ends_its_requests_as_sent(free_port):
    """Guards against a write that is repeated though it may have run."""
    relay = edge.Relay(free_port)

    async def never(body: messages.PeerBody) -> None:
        relay.reset()
        await anyio.sleep_forever()

    server = _server.PeerServer(
        _links.Address('127.0.0.1', free_port), KEY, never
    )
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    quota = messages.AskQuota('t', 1.0, 1.0, 1, 0.0)
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(relay.serve)
        await tasks.start(links.run)
        with anyio.fail_after(5):
            address = _links.Address('127.0.0.1', relay.port)
            asked = await links.ask(address, quota, 30)
        assert asked == _links.AskResult(sent=True)
        tasks.cancel_scope.cancel()


async def test_many_slow_answers_reach_their_requests(free_port):
    """Guards against tasks that are reused for a wrong request or lost.

    Each round has more answers in progress than idle tasks are kept.
    """
    most_at_once = 0
    at_once = 0

    async def answer(body: messages.AskQuota) -> messages.QuotaGrant:
        nonlocal at_once, most_at_once
        at_once += 1
        most_at_once = max(most_at_once, at_once)
        await anyio.sleep(0.02)
        at_once -= 1
        return messages.QuotaGrant(core.Grant(True, body.rate))

    address = _links.Address('127.0.0.1', free_port)
    server = _server.PeerServer(address, KEY, answer)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    asked: list[float] = []
    answered: list[float] = []

    async def ask(rate: float) -> None:
        quota = messages.AskQuota('t', rate, 1.0, 1, 0.0)
        result = await links.ask(address, quota, 5)
        asked.append(rate)
        answered.append(result.answer.grant.wait)

    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(links.run)
        for _ in range(3):
            async with anyio.create_task_group() as round_tasks:
                for rate in range(3 * _server.MAX_IDLE_WORKERS):
                    round_tasks.start_soon(ask, float(rate))
        tasks.cancel_scope.cancel()
    assert answered == asked
    assert most_at_once == 3 * _server.MAX_IDLE_WORKERS


async def test_a_cancelled_idle_task_gets_no_answer_to_await():
    """Guards against an error that would end the process.

    When writing fails, the idle tasks of a connection may be cancelled before
    the task that reads, which may still hold a request.
    """
    outbox = _outbox.Outbox()

    async def probed() -> messages.Probed:
        return messages.Probed()

    async with anyio.create_task_group() as tasks:
        workers = _server._Workers(tasks, outbox)
        workers.start(probed(), 1)
        await anyio.wait_all_tasks_blocked()
        (idle,) = workers._idle
        idle.cancel()
        workers.start(probed(), 2)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert [message.number for message in outbox._queued] == [1, 2]


async def test_a_peer_that_reads_no_answers_delays_no_other(free_port):
    """Guards against dropped answers and against a server that is blocked.

    The answers exceed what the sockets and the queue hold, so that the server
    stops reading this connection until its peer reads again.
    """
    count = 2 * _outbox.MAX_QUEUED_MESSAGES
    # Cap'n Proto packs zeros, but not random bytes.
    content = random.Random(1).randbytes(60_000)
    row = messages.RowNews(messages.GroupKey('s', 'g'), content)
    handled = 0

    def answer(body: messages.PeerBody) -> messages.PeerBody:
        nonlocal handled
        if isinstance(body, messages.AskQuota):
            return messages.QuotaGrant(core.Grant(True, 0.0))
        handled += 1
        return row

    address = _links.Address('127.0.0.1', free_port)
    server = _server.PeerServer(address, KEY, answer)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    request = messages.AskEndpoints(1)
    requests = [
        codec.encode(messages.PeerMessage(request, number))
        for number in range(1, count + 1)
    ]
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(links.run)
        async with await anyio.connect_tcp('127.0.0.1', free_port) as stream:
            frames = await _frames.open_frames(stream, KEY, connects=True)
            await frames.send(requests)
            quota = messages.AskQuota('t', 1.0, 1.0, 1, 0.0)
            assert (await links.ask(address, quota, 5)).answer is not None
            assert 0 < handled < count
            numbers = []
            with anyio.fail_after(10):
                while len(numbers) < count:
                    message = codec.decode(await frames.receive())
                    numbers.append(message.number)
        tasks.cancel_scope.cancel()
    assert numbers == list(range(1, count + 1))

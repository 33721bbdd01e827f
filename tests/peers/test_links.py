"""Links between proxies over connections that fail or are slow."""

import random

import anyio
import pytest
import tidegrade_edge as edge

from tidegrade import core
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
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

"""Links between proxies over connections that fail."""

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


async def test_a_link_that_goes_silent_is_made_anew(free_port):
    heard = 0

    async def take(body: messages.PeerBody) -> None:
        nonlocal heard
        heard += 1

    server = _server.PeerServer(
        _links.Address('127.0.0.1', free_port), KEY, take
    )
    relay = edge.Relay(free_port)
    own = _links.Address('127.0.0.1', 1)
    links = _links.Links(KEY, own)
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(relay.serve)
        await tasks.start(links.run)
        address = _links.Address('127.0.0.1', relay.port)

        async def hears() -> None:
            before = heard
            while heard == before:
                links.post(address, BEAT)
                await anyio.sleep(0.05)

        with anyio.fail_after(10):
            await hears()
        relay.silence()
        with anyio.fail_after(10):
            await hears()
        tasks.cancel_scope.cancel()


async def test_an_answer_that_takes_long_is_waited_for_while_it_comes(
    free_port,
):
    """It takes 2 s on its link, longer than a probe of the link may take."""
    document = random.Random(1).randbytes(400_000)

    async def give(body: messages.PeerBody) -> messages.ConfigContent:
        return messages.ConfigContent(core.ConfigRef(2, ''), document)

    server = _server.PeerServer(
        _links.Address('127.0.0.1', free_port), KEY, give
    )
    relay = edge.Relay(free_port, rate=200_000)
    links = _links.Links(KEY, _links.Address('127.0.0.1', 1))
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(relay.serve)
        await tasks.start(links.run)
        address = _links.Address('127.0.0.1', relay.port)
        question = messages.AskConfig(core.ConfigRef(2, ''))
        asked = await links.fetch(address, question, 0.3)
        tasks.cancel_scope.cancel()
    assert asked.answer is not None
    assert asked.answer.document == document

"""Connections that arrive as a server of the stand-in ends."""

import asyncio
import socket

import anyio
import pytest
from tidegrade_edge import _instance
from tidegrade_edge import _relay

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'


@pytest.fixture(params=['instance', 'relay'])
def server(request):
    """Return a server of the stand-in that isn't running yet."""
    if request.param == 'relay':
        return _relay.Relay(1)
    return _instance.Instance('i-1', 'svc-1', 'zone-a', 3)


async def cancel_with_a_ready_connection(server) -> None:
    """Cancel a server just before it would take a connection."""
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await anyio.wait_all_tasks_blocked()
        with socket.create_connection((HOST, server.port)):
            # The next step of this task runs before the event loop handles
            # the connection, which it finds in the same round.
            await asyncio.sleep(0)
            tasks.cancel_scope.cancel()
            await asyncio.sleep(0)


async def test_a_ready_connection_does_not_break_the_end(server):
    """Guards against InvalidStateError in sock_accept at a teardown."""
    found: list[BaseException] = []
    loop = asyncio.get_running_loop()
    handler = loop.get_exception_handler()
    loop.set_exception_handler(
        lambda _, context: found.append(context['exception'])
    )
    try:
        await cancel_with_a_ready_connection(server)
    finally:
        loop.set_exception_handler(handler)
    assert found == []


async def test_an_ended_server_takes_no_connection(server):
    """Guards against a port that stays open after its server."""
    await cancel_with_a_ready_connection(server)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, server.port)).close()

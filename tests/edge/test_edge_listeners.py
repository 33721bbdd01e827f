"""Connections that arrive as a server of the stand-in ends."""

import asyncio
import socket
import struct

import anyio
import pytest
from tidegrade_edge import _instance
from tidegrade_edge import _relay

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
#: Time within which a cancelled server has ended, in seconds.
END_TIMEOUT_S = 2.0


@pytest.fixture(params=['instance', 'relay'])
def server(request):
    """Return a server of the stand-in that isn't running yet."""
    if request.param == 'relay':
        return _relay.Relay(1)
    return _instance.Instance('i-1', 'svc-1', 'zone-a', 3)


async def serve_in_group(server) -> None:
    """Run a server until this task is cancelled."""
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)


async def until_listening(server) -> None:
    """Wait until a server has a port and waits for connections."""
    with anyio.fail_after(END_TIMEOUT_S):
        while not server.port:
            await anyio.sleep(0.001)
    await anyio.wait_all_tasks_blocked()


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


@pytest.mark.parametrize('rounds', range(12))
async def test_a_server_ends_just_after_it_took_a_connection(server, rounds):
    """Guards against a teardown that never ends.

    A server that was cancelled as it began to accept its next connection
    waited for a socket that was closed meanwhile. ``rounds`` is the number of
    rounds of the event loop between a connection and the cancellation.
    """
    running = asyncio.create_task(serve_in_group(server))
    await until_listening(server)
    with socket.create_connection((HOST, server.port)):
        for _ in range(rounds):
            await asyncio.sleep(0)
        running.cancel()
        done, _ = await asyncio.wait({running}, timeout=END_TIMEOUT_S)
    assert running in done


async def test_a_server_goes_on_after_a_connection_that_was_reset(server):
    """Guards against a caller that ends a whole site by leaving at once."""
    with anyio.fail_after(END_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            conn = socket.create_connection((HOST, server.port))
            linger = struct.pack('ii', 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()
            await anyio.wait_all_tasks_blocked()
            async with await anyio.connect_tcp(HOST, server.port):
                await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

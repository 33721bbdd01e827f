"""Tests of the socket functions under asyncio and uvloop."""

import socket

import anyio
import anyio.abc
import pytest

from tidegrade import net

pytestmark = pytest.mark.anyio


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(request):
    return 'asyncio', {'use_uvloop': request.param}


@pytest.fixture
async def pair():
    """Both ends of a connection."""
    ends = []

    async def accept(stream: anyio.abc.SocketStream) -> None:
        ends.append(stream)
        await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        near = await anyio.connect_tcp('127.0.0.1', port)
        while not ends:
            await anyio.sleep(0.01)
        yield near, ends[0]
        await near.aclose()
        tasks.cancel_scope.cancel()


async def test_shut_down_ends_the_stream_at_both_ends(pair):
    """Guards against the use of uvloop's socket, which has no shutdown."""
    near, far = pair

    async def shut_down_soon() -> None:
        await anyio.sleep(0.05)
        net.shut_down(near)

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(shut_down_soon)
            with pytest.raises(anyio.EndOfStream):
                await near.receive()
        with pytest.raises(anyio.EndOfStream):
            await far.receive()


async def test_shut_input_ends_the_input_after_what_has_arrived(pair):
    """Guards against bytes that are lost as the input ends."""
    near, far = pair
    await far.send(b'request')
    net.shut_input(near)
    with anyio.fail_after(10):
        assert await near.receive() == b'request'
        with pytest.raises(anyio.EndOfStream):
            await near.receive()
        await near.send(b'answer')
        assert await far.receive() == b'answer'


async def test_shutting_down_an_ended_connection_does_nothing(pair):
    near, _ = pair
    net.shut_down(near)
    net.shut_down(near)
    net.shut_input(near)


async def test_the_kernel_limits_unacknowledged_time(pair):
    near, _ = pair
    net.enable_keepalive(near)
    sock = near.extra(anyio.abc.SocketAttribute.raw_socket)
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == int(net.SILENCE_TIMEOUT_S * 1000)


async def test_a_connection_that_ended_while_opening_raises_oserror(pair):
    """Guards against a proxy that terminates when a peer terminates.

    A connection may end while it is being opened. uvloop then offers no
    socket, and access to it raises AttributeError ("'NoneType' object has no
    attribute 'getpeername'"), which is not handled as the end of a
    connection. The error occurred while a link to a peer was opened.
    """
    near, _ = pair
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.01)
    with pytest.raises(OSError):
        net.enable_keepalive(near)
    net.shut_down(near)


async def test_undelivered_data_is_discarded_with_a_reset(pair):
    """Otherwise an abandoned call arrives once the path is restored."""
    near, far = pair
    net.drop_unsent(near)
    await anyio.aclose_forcefully(near)
    with pytest.raises(anyio.BrokenResourceError):
        await far.receive()


async def test_drop_unsent_ignores_an_ended_connection(pair):
    """Guards against a proxy that terminates as it abandons a failed call.

    A call fails because its connection ended, and the connection is then
    reset. uvloop still offers a socket, but without a descriptor, and its
    methods raise an error that is not an OSError.
    """
    near, _ = pair
    net.enable_keepalive(near)
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.05)
    net.drop_unsent(near)


async def test_an_ended_connection_raises_oserror(pair):
    near, _ = pair
    net.enable_keepalive(near)
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.05)
    with pytest.raises(OSError):
        net.enable_keepalive(near)

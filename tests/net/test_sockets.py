"""Sockets under both event loops that programs run on."""

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
    """Give both ends of a connection."""
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


async def test_who_reads_a_connection_that_is_shut_down_is_told(pair):
    """Found on a day with a primary that is replaced: uvloop can't."""
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


async def test_a_connection_that_has_ended_is_shut_down_in_vain(pair):
    near, _ = pair
    net.shut_down(near)
    net.shut_down(near)


async def test_the_kernel_watches_for_silence(pair):
    near, _ = pair
    net.watch(near)
    sock = near.extra(anyio.abc.SocketAttribute.raw_socket)
    timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout == int(net.SILENCE * 1000)


async def test_a_connection_that_has_ended_is_no_fault_of_ours(pair):
    """A proxy ended by itself as a peer did.

    What happens: a connection ends in the moment in which it is opened. Why:
    uvloop shows no socket of it any more, and whoever asks got an
    AttributeError, which nobody takes for the end of a connection.

    What showed it: soak seed 101 beside load, one run, a traceback from the
    opening of a link to a peer: "'NoneType' object has no attribute
    'getpeername'".
    """
    near, _ = pair
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.01)
    with pytest.raises(OSError):
        net.watch(near)
    net.shut_down(near)


async def test_what_was_not_delivered_is_dropped_with_a_reset(pair):
    """Else a call that was given up arrives once a path is whole again."""
    near, far = pair
    net.drop_unsent(near)
    await anyio.aclose_forcefully(near)
    with pytest.raises(anyio.BrokenResourceError):
        await far.receive()


async def test_a_connection_that_has_ended_has_nothing_to_drop(pair):
    """A proxy ended by itself as it gave up a call that had ended already.

    What happens: a call fails because its connection ended, and is then
    reset. Why: uvloop still shows a socket, without a descriptor, and says
    so by another error than the system's.
    """
    near, _ = pair
    net.watch(near)
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.05)
    net.drop_unsent(near)


async def test_a_connection_that_has_ended_cannot_be_watched(pair):
    near, _ = pair
    net.watch(near)
    await anyio.aclose_forcefully(near)
    await anyio.sleep(0.05)
    with pytest.raises(OSError):
        net.watch(near)

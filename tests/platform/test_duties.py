"""Promotion calls, and the time until which they may be sent."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import pytest
from tidegrade_platform import _duties
from tidegrade_platform import _http
from tidegrade_platform import _settings

from tidegrade import core
from tidegrade import net

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class FakeClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
async def platform():
    """Yield the address of a fake platform and the requests it received."""
    sent: list[bytes] = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                sent.append(await stream.receive())
                await stream.send(ANSWER)
                await anyio.sleep(1)

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield _settings.Address(HOST, port), sent
        tasks.cancel_scope.cancel()


async def test_a_promotion_carries_its_holder_and_fence(platform, clock):
    address, sent = platform
    duties = _duties.Duties(address, 'p1', clock)
    assert await duties.promote('svc', 'i-1', 7, clock.now() + 1.0) is None
    (call,) = sent
    assert b'Duty-Holder: p1' in call
    assert b'Fence-Token: 7' in call


async def test_a_promotion_is_not_sent_once_its_lease_is_over(platform, clock):
    address, sent = platform
    duties = _duties.Duties(address, 'p1', clock)
    failed = await duties.promote('svc', 'i-1', 7, clock.now())
    assert failed is not None
    assert failed.detail == 'too late to be sent'
    assert sent == []


async def test_a_promotion_is_not_sent_if_its_connection_opened_too_late(
    platform, clock, monkeypatch
):
    """Another supervisor may have sent a larger number in the meantime."""
    address, sent = platform
    connect = anyio.connect_tcp

    async def connect_late(host: str, port: int) -> anyio.abc.SocketStream:
        stream = await connect(host, port)
        clock.time += 2.0
        return stream

    monkeypatch.setattr(anyio, 'connect_tcp', connect_late)
    duties = _duties.Duties(address, 'p1', clock)
    failed = await duties.promote('svc', 'i-1', 7, clock.now() + 1.0)
    assert failed is not None
    assert 'too late to be sent' in failed.detail
    assert sent == []


@pytest.mark.parametrize(
    ('status', 'failure'),
    [
        (409, core.Failure.REFUSED),
        (429, core.Failure.REFUSED),
        (503, core.Failure.REFUSED),
        (302, core.Failure.TIMEOUT),
        (500, core.Failure.TIMEOUT),
        (504, core.Failure.TIMEOUT),
    ],
)
async def test_only_a_refused_promotion_is_certain_not_to_be_carried_out(
    platform, clock, monkeypatch, status, failure
):
    address, _ = platform
    answer = b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status
    monkeypatch.setitem(globals(), 'ANSWER', answer)
    duties = _duties.Duties(address, 'p1', clock)
    failed = await duties.promote('svc', 'i-1', 7, clock.now() + 1.0)
    assert failed is not None
    assert failed.failure is failure


def test_nothing_of_a_promotion_is_delivered_after_a_takeover_waited_for_it():
    """The process may be stopped or killed, so the kernel must drop it."""
    assert _duties.CALL_TIMEOUT_S <= core.PROMOTION_DELIVERY_S
    assert net.SILENCE_TIMEOUT_S <= core.PROMOTION_DELIVERY_S


async def test_the_kernel_resets_the_connection_of_a_killed_process(
    platform, clock, monkeypatch
):
    """Bytes that a cut path holds must be lost with their process.

    Otherwise the kernel closes the connection as usual and delivers them
    once the path is back.
    """
    address, _ = platform
    lingers = []
    exchange = _http._Connection.exchange

    async def watched(self, *call) -> _http.HttpResponse:
        sock = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        lingers.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8))
        return await exchange(self, *call)

    monkeypatch.setattr(_http._Connection, 'exchange', watched)
    duties = _duties.Duties(address, 'p1', clock)
    assert await duties.promote('svc', 'i-1', 7, clock.now() + 1.0) is None
    assert lingers == [struct.pack('ii', 1, 0)]

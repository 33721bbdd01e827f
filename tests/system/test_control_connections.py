"""Idle connections of the stand-ins' control port."""

import anyio
import httpx
import pytest
from starlette import applications
from tidegrade_bench import _deployment
from tidegrade_standins import _control
from tidegrade_standins import _settings

pytestmark = pytest.mark.anyio

#: Time for which clients keep an idle connection, and some more, in seconds.
IDLE_S = httpx.Limits().keepalive_expiry + 0.5


@pytest.fixture
async def port():
    """Yield the port of a control server."""
    (free,) = _deployment.free_ports(1)
    faults = _settings.InstanceFaults()
    app = applications.Starlette(routes=[_control.fault_route(faults)])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_control.serve, app, '127.0.0.1', free)
        yield free
        tasks.cancel_scope.cancel()


async def until_listening(port: int) -> None:
    with anyio.fail_after(10.0):
        while True:
            try:
                stream = await anyio.connect_tcp('127.0.0.1', port)
            except OSError:
                await anyio.sleep(0.05)
            else:
                await stream.aclose()
                return


async def test_a_client_closes_an_idle_connection_before_the_server(port):
    """Guards against ReadError for a request on a pooled connection.

    A server that closes idle connections as early as its client does may
    close one while a request arrives.
    """
    await until_listening(port)
    request = (
        b'POST /faults HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}'
    )
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        for idle in (IDLE_S, 0.0):
            await stream.send(request)
            answer = await stream.receive()
            assert answer.startswith(b'HTTP/1.1 200')
            await anyio.sleep(idle)

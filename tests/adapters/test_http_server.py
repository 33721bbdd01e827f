"""Tests of the limits of the HTTP server."""

import anyio
import pytest
from tidegrade_bench import _deployment
import uvicorn

from tidegrade.adapters import _http_server

pytestmark = pytest.mark.anyio


async def hello(scope, receive, send) -> None:
    await send({'type': 'http.response.start', 'status': 204, 'headers': []})
    await send({'type': 'http.response.body'})


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
async def port():
    (port,) = _deployment.free_ports(1)
    cfg = uvicorn.Config(
        hello,
        host='127.0.0.1',
        port=port,
        http=_http_server.protocol_with_header_timeout(0.2),
        lifespan='off',
        log_config=None,
    )
    server = _http_server.Server(cfg)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        yield port
        server.should_exit = True


async def test_a_draining_server_closes_connections_with_responses():
    draining = False
    app = _http_server.CloseWhileDraining(hello, lambda: draining)
    sent = []

    async def send(message) -> None:
        sent.append(message)

    await app({}, None, send)
    draining = True
    await app({}, None, send)
    starts = [m for m in sent if m['type'] == 'http.response.start']
    assert [m['headers'] for m in starts] == [[], [(b'connection', b'close')]]


async def test_a_connection_with_slow_headers_is_closed(port):
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n')
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(30):
            await stream.receive()


async def test_a_connection_without_a_request_is_closed(port):
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        with pytest.raises(anyio.EndOfStream), anyio.fail_after(30):
            await stream.receive()


async def test_a_connection_stays_open_after_a_whole_request(port):
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        for _ in range(3):
            await stream.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            assert (await stream.receive()).startswith(b'HTTP/1.1 204')
            await anyio.sleep(0.3)

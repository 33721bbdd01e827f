"""Calls to the platform over slow links."""

import anyio
import pytest
import tidegrade_edge as edge

from tidegrade_platform import _http
from tidegrade_platform import _settings

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
#: Time within which a response must begin, in seconds.
TIMEOUT_S = 0.5
BODY = bytes(300_000)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def fetch():
    """Return a function that fetches a page over a link of a given rate."""

    async def ask(rate: float):
        port = edge.free_ports(1)[0]
        page = _http.HttpResponse(200, BODY)
        relay = edge.Relay(port, rate)
        async with anyio.create_task_group() as tasks:
            here = _settings.Address(HOST, port)
            await tasks.start(_http.serve, here, lambda path: page)
            await tasks.start(relay.serve)
            there = _settings.Address(HOST, relay.port)
            client = _http.HttpClient(there)
            answer = await client.ask('GET', '/page', TIMEOUT_S)
            tasks.cancel_scope.cancel()
        return answer

    return ask


async def test_a_response_is_awaited_while_bytes_arrive(fetch):
    """It takes 1.5 s, three times the limit.

    With the limit on the whole response, no such read ever completed.
    """
    answer = await fetch(200_000)
    assert answer.unwrap().body == BODY


async def test_a_response_that_stalls_is_abandoned(fetch):
    """Its parts arrive at intervals of one second."""
    answer = await fetch(8_000)
    assert answer.is_err()


async def test_bytes_that_come_just_as_the_time_is_up_leave_an_answer(
    monkeypatch,
):
    """The call must return an error and not None, which ended the process.

    Bytes that arrive as the timeout expires move the deadline. The call was
    cancelled, but compared the time with the moved deadline and so did not
    count as timed out: "'NoneType' object has no attribute 'and_then'" in the
    store's client (soak seed 5004, store restored under load).
    """
    client = _http.HttpClient(_settings.Address(HOST, 1))

    async def exchange(request, body, progressed):
        try:
            await anyio.sleep_forever()
        finally:
            progressed()

    monkeypatch.setattr(client, '_exchange', exchange)
    answer = await client.ask('GET', '/page', 0.05)
    assert answer.unwrap_err() == 'GET /page: no answer in time'

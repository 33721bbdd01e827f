"""Requests in every state as a proxy ends at the limit of its drain.

A proxy that was stopped let transactions begin, and its end cut statements
that had reached an instance.
"""

import signal

import anyio
import attrs
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

KEY = 'nirth5mgjy5rcpihhacr'
TENANT = {
    'name': 'bode960',
    'api_keys': [KEY],
    'priority': 1,
    'rate_per_s': 1000,
    'burst': 1000,
}
#: When sessions for single statements are opened after SIGTERM, in seconds.
OPEN_AT_S = 1.5
#: When the instances go dark after SIGTERM, in seconds: before the end of the
#: drain, but after transactions no longer begin.
DARK_AT_S = 1.7
#: When the last requests are sent after SIGTERM, in seconds: as the process
#: ends, after it has answered those in progress.
LATE_AT_S = (2.72, 2.76, 2.8)
#: Writes that wait in the queue, more than there are connections.
QUEUED = 30
#: Codes that promise that nothing is kept.
PROMISES = frozenset({'BUSY', 'ABORTED'})
#: Codes that a request may get at the end.
CODES = PROMISES | {'', 'INDOUBT', 'BEHIND', 'TIMEOUT'}


@attrs.define
class Callers:
    """Sessions at one proxy, and what became of each request."""

    site: edge.Site
    number: int
    codes: dict[str, str] = attrs.field(factory=dict)
    cut: list[str] = attrs.field(factory=list)

    async def open(self) -> edge.Client:
        """Open a session."""
        return await self.site.client(self.number, 'db-primary')

    async def begin(self, name: str) -> edge.Client:
        """Open a session that has written in an open transaction."""
        client = await self.open()
        await client.ask('BEGIN')
        assert (await client.ask(f'WRITE {name} 1')).error == ''
        return client

    async def ask(self, client: edge.Client, text: str) -> None:
        """Send a request that must be answered as a whole."""
        id_ = f'{text.split(" ")[0]}-{len(self.codes) + len(self.cut)}'
        self.codes[id_] = 'unanswered'
        try:
            self.codes[id_] = (await client.ask(text, id_)).code
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.cut.append(f'{id_} {text}')

    async def ask_at_the_end(self, client: edge.Client, text: str) -> None:
        """Send a request that may find the connection closed.

        It must not have run if it got no answer.
        """
        id_ = f'{text.split(" ")[0]}-{len(self.codes)}'
        self.codes[id_] = 'unanswered'
        try:
            self.codes[id_] = (await client.ask(text, id_)).code
        except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
            del self.codes[id_]
            self.cut += [id_] if id_ in self.ran() else []

    def ran(self) -> set[str]:
        """Return the requests that have run at an instance."""
        return {r.request_id for i in self.site.instances for r in i.runs}

    def broken_promises(self) -> list[str]:
        """Return the requests that took effect though they were refused."""
        kept = {
            commit.entry.request_id
            for instance in self.site.instances
            for commit in instance.commits
        }
        return [i for i in kept if self.codes.get(i) in PROMISES]


def go_dark(site: edge.Site, dark: bool) -> None:
    """Let all instances stop answering, or go on."""
    for instance in site.instances:
        instance.faults.dark = dark


async def ask_all(callers: Callers, stop) -> None:
    """Have requests in every state as a proxy ends."""
    inside = [await callers.begin(f'i{n}') for n in range(2)]
    committing = [await callers.begin(f'c{n}') for n in range(2)]
    pausing = [await callers.begin(f'p{n}') for n in LATE_AT_S]
    stop()
    async with anyio.create_task_group() as tasks:
        await anyio.sleep(OPEN_AT_S)
        # Sessions that were idle since before have been closed.
        reading = [await callers.open() for _ in range(2)]
        queued = [await callers.open() for _ in range(QUEUED)]
        await anyio.sleep(DARK_AT_S - OPEN_AT_S)
        go_dark(callers.site, True)
        for client in inside:
            tasks.start_soon(callers.ask, client, 'WRITE y 2')
        for client in committing:
            tasks.start_soon(callers.ask, client, 'COMMIT')
        for client in reading:
            tasks.start_soon(callers.ask, client, 'READ x')
        for client in queued:
            tasks.start_soon(callers.ask, client, 'WRITE z 1')
        before = DARK_AT_S
        for client, at in zip(pausing, LATE_AT_S, strict=True):
            await anyio.sleep(at - before)
            before = at
            tasks.start_soon(callers.ask_at_the_end, client, 'COMMIT')


async def check(callers: Callers, stopped: int, until) -> None:
    """Stop a proxy beside requests in every state; check their answers."""
    site = callers.site
    process = site.proxies[stopped]

    async def ended() -> bool:
        return process.process.poll() is not None

    await ask_all(callers, lambda: process.send(signal.SIGTERM))
    await until(ended)
    go_dark(site, False)
    await anyio.sleep(0.3)
    assert process.process.returncode == 0
    assert callers.cut == []
    assert set(callers.codes.values()) <= CODES
    assert callers.broken_promises() == []


async def test_the_end_of_a_proxy_answers_every_request(site, until):
    """Requests that ran at an instance got no answer."""
    callers = Callers(site, 0)
    await check(callers, 0, until)
    # Most of the writes never left the queue, so they can be repeated.
    writes = [c for i, c in callers.codes.items() if i.startswith('WRITE')]
    assert writes.count('BUSY') > writes.count('INDOUBT')


@pytest.mark.parametrize('stopped', [0, 1, 2])
async def test_requests_of_a_tenant_are_answered_as_any_proxy_ends(
    site, until, stopped
):
    """The same for the home of a tenant and for proxies that forward to it."""
    site.key = KEY
    site.configure(tenants=[TENANT])

    async def in_force() -> bool:
        for number in range(len(site.proxies)):
            client = await edge.Client.connect(
                site.proxies[number].front, 'db-primary', key=KEY
            )
            if client is None or (await client.ask('WRITE warm 2')).error:
                return False
        return 'bode960' in {run.tenant for run in site.primary.runs}

    await until(in_force)
    await check(Callers(site, 0), stopped, until)

"""Session state on connections whose setup went wrong at an instance.

A refused SET, PREPARE or RESET counted as applied, and later sessions ran with
values of other callers or got NOSTMT for names that they had prepared.
"""

import anyio
import attrs
import pytest
import tidegrade_edge as edge

pytestmark = pytest.mark.anyio

#: Sessions that use the connections after a fault, at each proxy.
LATER_SESSIONS = 4
#: Time after which the proxies use instances again that failed, in seconds.
AVOIDED_S = 1.2
#: Time limit for a fault to be met, in seconds; it only ends a failing test.
STRIKE_TIMEOUT_S = 60.0
#: The statements that proxies issue themselves, by which a fault is met.
VERBS = ('SET', 'PREPARE', 'RESET', 'BEGIN', 'ROLLBACK')
KEYS = ('nirth5mgjy5rcpihhacr', 'uddedev3nax7u27gxpry')
TENANT = {
    'name': 'bode960',
    'api_keys': list(KEYS),
    'priority': 1,
    'rate_per_s': 1000,
    'burst': 1000,
}


@attrs.frozen
class Expected:
    """What a statement must run with: the session's values and its shape."""

    values: dict[str, str]
    shape: str


@attrs.define
class Sessions:
    """Callers' sessions, and what each of their statements must run with."""

    site: edge.Site
    expected: dict[str, Expected] = attrs.field(factory=dict)
    count: int = 0

    async def open(self, number: int, database: str) -> 'Session':
        """Open a session at a proxy, as a caller of its own."""
        self.count += 1
        name = f's{self.count}'
        client = await self.site.client(number, database, name)
        return Session(name, client, self.expected)

    def wrong_runs(self) -> list[edge.Run]:
        """Return the runs with other values or another shape."""
        return [
            run
            for instance in self.site.instances
            for run in instance.runs
            if run.request_id in self.expected
            and self.expected[run.request_id]
            != Expected(run.values, run.shape)
        ]


@attrs.define
class Session:
    """A session that records what its statements must run with."""

    name: str
    client: edge.Client
    expected: dict[str, Expected]
    values: dict[str, str] = attrs.field(factory=dict)
    shapes: dict[str, str] = attrs.field(factory=dict)
    codes: list[str] = attrs.field(factory=list)

    async def ask(self, text: str) -> edge.Reply:
        """Run a statement; its code must not be NOSTMT."""
        verb, _, fields = text.partition(' ')
        shape = self.shapes.get(fields.split(' ')[0], '')
        id_ = f'{self.name}-{len(self.codes)}'
        self.expected[id_] = Expected(
            dict(self.values), shape if verb == 'EXEC' else ''
        )
        reply = await self.client.ask(text, id_)
        self.codes.append(reply.code)
        assert reply.code != 'NOSTMT', text
        return reply

    async def set(self, name: str, value: str) -> None:
        """Set a value, which the proxy acknowledges by itself."""
        assert (await self.client.ask(f'SET {name} {value}')).error == ''
        self.values[name] = value

    async def prepare(self, name: str, kind: str, shape: str) -> None:
        """Prepare a shape, which the proxy acknowledges by itself."""
        reply = await self.client.ask(f'PREPARE {name} {kind} {shape}')
        assert reply.error == ''
        self.shapes[name] = shape

    async def transaction(self, *texts: str) -> None:
        """Run statements in a transaction until one fails; then end it."""
        reply = await self.ask('BEGIN')
        for text in texts:
            if reply.error:
                break
            reply = await self.ask(text)
        if reply.state != 'I':
            await self.ask('ROLLBACK' if reply.error else 'COMMIT')


async def in_transaction(sessions: Sessions, number: int) -> Session:
    """Return a session that has written in a transaction that is open."""
    while True:
        session = await sessions.open(number, 'db-primary')
        await session.ask('BEGIN')
        if not (await session.ask('WRITE b 1')).error:
            return session
        # A fault before may have led to another primary.
        await session.client.close()
        await anyio.sleep(0.1)


async def set_new(sessions: Sessions, number: int) -> None:
    """Use a new value, in a transaction too."""
    session = await sessions.open(number, 'db-primary')
    await session.set('zone', f'z{sessions.count}')
    await session.ask('WRITE a 1')
    await session.transaction('WRITE a 2')


async def prepare_new(sessions: Sessions, number: int) -> None:
    """Use new shapes."""
    session = await sessions.open(number, 'db-primary')
    await session.prepare('p', 'READ', 'q7')
    await session.prepare('w', 'WRITE', f'q{sessions.count}')
    await session.ask('EXEC p a')
    await session.ask('EXEC w a 3')


async def set_inside(session: Session) -> None:
    """Use a new value in an open transaction."""
    await session.set('zone', 'madrid')
    await session.ask('READ b')
    await session.ask('ROLLBACK')


async def prepare_inside(session: Session) -> None:
    """Use a new shape in an open transaction."""
    await session.prepare('p', 'READ', 'q7')
    await session.ask('EXEC p b')
    await session.ask('ROLLBACK')


async def use_later(sessions: Sessions, number: int) -> None:
    """Use the connections in other sessions, several at a time."""

    async def use(database: str) -> None:
        session = await sessions.open(number, database)
        await session.set('zone', 'lisbon')
        await session.prepare('p', 'READ', 'q7')
        assert (await session.ask('READ a')).error == ''
        assert (await session.ask('EXEC p a')).error == ''

    async with anyio.create_task_group() as tasks:
        for _ in range(LATER_SESSIONS):
            tasks.start_soon(use, 'db-primary')
            tasks.start_soon(use, 'db-bounded')


@pytest.fixture
def sessions(site) -> Sessions:
    return Sessions(site)


@pytest.fixture
async def with_tenant(site, until) -> Sessions:
    """Return the sessions of one tenant, whose home serves all proxies."""
    site.key = KEYS[0]
    site.configure(tenants=[TENANT])

    async def in_force() -> bool:
        for proxy in site.proxies:
            client = await edge.Client.connect(
                proxy.front, 'db-primary', key=KEYS[1]
            )
            if client is None:
                return False
            reply = await client.ask('WRITE warm 2')
            await client.close()
            if reply.error:
                return False
        return bool({r.tenant for r in site.primary.runs} & {TENANT['name']})

    await until(in_force)
    return Sessions(site)


def strike(site: edge.Site, fault: edge.SetupFault | None) -> None:
    """Switch a fault on at all instances, or off."""
    for instance in site.instances:
        instance.faults.setup = fault


async def meet(
    sessions: Sessions, fault: edge.SetupFault, numbers: tuple[int, ...]
) -> None:
    """Use new session state at some proxies until it has gone wrong.

    A proxy sends some statements only if a connection needs them.
    """
    instances = sessions.site.instances
    before = sum(instance.struck for instance in instances)
    with anyio.fail_after(STRIKE_TIMEOUT_S):
        while sum(instance.struck for instance in instances) == before:
            await meet_once(sessions, fault, numbers)


async def meet_once(
    sessions: Sessions, fault: edge.SetupFault, numbers: tuple[int, ...]
) -> None:
    """Use new session state at some proxies while it may go wrong."""
    site = sessions.site
    opened = [
        (await in_transaction(sessions, n), await in_transaction(sessions, n))
        for n in numbers
    ]
    strike(site, fault)
    async with anyio.create_task_group() as tasks:
        for number, (setter, preparer) in zip(numbers, opened, strict=True):
            tasks.start_soon(set_inside, setter)
            tasks.start_soon(prepare_inside, preparer)
            tasks.start_soon(set_new, sessions, number)
            tasks.start_soon(prepare_new, sessions, number)
    strike(site, None)


async def check(
    sessions: Sessions, misstep: edge.Misstep, numbers: tuple[int, ...]
) -> None:
    """Let each verb go wrong, and use the connections in later sessions."""
    for verb in VERBS:
        await meet(sessions, edge.SetupFault(verb, misstep), numbers)
    # The proxies have a primary, and use the instances again.
    await (await in_transaction(sessions, 0)).ask('ROLLBACK')
    await anyio.sleep(AVOIDED_S)
    for number in numbers:
        await use_later(sessions, number)
    assert sessions.wrong_runs() == []


@pytest.mark.parametrize('misstep', list(edge.Misstep))
async def test_later_sessions_keep_their_own_state(sessions, misstep):
    """Guards against values and names of other callers, or of none."""
    await check(sessions, misstep, (0,))


@pytest.mark.parametrize('misstep', list(edge.Misstep))
async def test_later_sessions_at_a_home_keep_their_own_state(
    with_tenant, misstep
):
    """The same where proxies forward requests to the home of the tenant."""
    await check(with_tenant, misstep, (0, 1, 2))


async def test_a_forgotten_name_is_prepared_again(sessions):
    """A write was answered INDOUBT, though NOSTMT says that it was not run."""
    site = sessions.site
    session = await sessions.open(0, 'db-primary')
    await session.prepare('w', 'WRITE', 'q8')
    assert (await session.ask('EXEC w a 1')).error == ''
    for instance in site.instances:
        instance.faults.forget = True
    assert (await session.ask('EXEC w a 2')).code == 'BUSY'
    for instance in site.instances:
        instance.faults.forget = False
    for number in range(LATER_SESSIONS):
        assert (await session.ask(f'EXEC w a {number}')).error == ''
    assert sessions.wrong_runs() == []

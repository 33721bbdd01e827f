"""The order in which promotions of two proxies reach the platform.

Two groups' tasks run with their adapters against stand-ins. Each of their
steps can be held, so that a test forces one order of events.
"""

import contextlib
import functools
import itertools
import random

import anyio
import anyio.abc
import attrs
import pytest
import result
import tidegrade_edge
from tidegrade_platform import __main__ as platform_main
from tidegrade_platform import _duties
from tidegrade_platform import _http
from tidegrade_platform import _instances
from tidegrade_platform import _settings

from tidegrade.adapters import _clock
from tidegrade.codec import _rows
from tidegrade import config
from tidegrade import core
from tidegrade.core import _state
from tidegrade.core import _watching
from tidegrade.daemon import _deps
from tidegrade.daemon import _group_task
from tidegrade.peers import _messages as messages
from tidegrade import ports

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
KEY = messages.GroupKey('s', 'g')
ROW_KEY = _rows.row_key('s', 'g')
NAMES = ('a', 'b', 'c')
ROW = core.GroupRow(1, 'a', frozenset(NAMES))
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
REFUSAL = b'HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n'
FAILURE = b'HTTP/1.1 504 Timeout\r\nContent-Length: 0\r\n\r\n'
#: Time limit of each test, in seconds.
LIMIT_S = 20.0


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Steps:
    """The steps that were reached, and those that are held."""

    def __init__(self) -> None:
        self.reached: list[str] = []
        self._held: set[str] = set()

    def hold(self, *names: str) -> None:
        self._held.update(names)

    def let_go(self, *names: str) -> None:
        self._held.difference_update(names)

    async def at(self, name: str) -> None:
        """Record a step, and wait while it is held."""
        self.reached.append(name)
        while name in self._held:
            await anyio.sleep(0.002)

    async def until(self, name: str, count: int = 1) -> None:
        """Wait until a step was reached ``count`` times."""
        while self.reached.count(name) < count:
            await anyio.sleep(0.002)


@attrs.define
class Rows:
    """The rows of the platform's table."""

    values: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    generation: int = 0


class HeldTable:
    """One proxy's access to the table; asking and answering can be held."""

    def __init__(self, proxy: str, rows: Rows, steps: Steps) -> None:
        self._proxy = proxy
        self._rows = rows
        self._steps = steps

    @property
    def generation(self) -> int:
        return self._rows.generation

    async def read_all(self, keys):
        await self._steps.at(f'{self._proxy} read asked')
        found = {
            key: ports.Versioned(
                value, str(version), generation=self._rows.generation
            )
            for key, (value, version) in self._rows.values.items()
            if key in keys
        }
        await self._steps.at(f'{self._proxy} read answered')
        return result.Ok(found)

    async def write(self, key: str, value: bytes, expected: str | None):
        row = _rows.decode_row(value).unwrap()
        kind = 'publish'
        if row.attempt is not None:
            kind = 'record' if row.attempt.chosen else 'claim'
        await self._steps.at(f'{self._proxy} {kind} asked')
        _, version = self._rows.values[key]
        if str(version) != expected:
            return result.Err(ports.WriteProblem.CONFLICT)
        self._rows.values[key] = (value, version + 1)
        await self._steps.at(f'{self._proxy} {kind} answered')
        return result.Ok(str(version + 1))

    async def scan(self, prefix: str):
        return result.Ok({})


class Peers:
    """One proxy's connections to the others; news can be held."""

    def __init__(self, proxy: str, site: 'Site') -> None:
        self._proxy = proxy
        self._site = site

    def opinions(self, key: messages.GroupKey) -> tuple:
        return ()

    def serving_ids(self, key: messages.GroupKey) -> tuple:
        return ()

    def send_heartbeat_now(self) -> None:
        pass

    def announce(self, news: messages.RowNews) -> None:
        row = _rows.decode_row(news.row).unwrap()
        for name, task in self._site.tasks.items():
            if name != self._proxy:
                self._site.group.start_soon(self._tell, name, task, row)

    async def ask(self, proxy: str, question: messages.GiveUp):
        return messages.GaveUp(KEY, proxy, question.below)

    async def _tell(self, name, task, row: core.GroupRow) -> None:
        await self._site.steps.at(f'{self._proxy} tells {name}')
        task.post(core.RowReceived(row))


class Site:
    """Two proxies, three instances, the table and the platform."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group
        self.steps = Steps()
        self.rows = Rows({ROW_KEY: (_rows.encode_row(ROW), 1)})
        self.instances = {
            name: tidegrade_edge.Instance(name, 'svc', name, 50)
            for name in NAMES
        }
        self.instances['a'].role = 'primary'
        self.tasks: dict[str, _group_task.GroupTask] = {}
        #: Numbers of the promotions in the order in which they were taken.
        self.taken: list[int] = []
        #: Time from the arrival of a promotion until it is taken, in
        #: seconds, by its number.
        self.delays: dict[int, float] = {}
        self._names_by_port: dict[int, str] = {}

    async def start(self) -> None:
        for instance in self.instances.values():
            await self.group.start(instance.serve)
        for name in ('p1', 'p2'):
            await self._start_proxy(name)
        for name in self.tasks:
            await self.steps.until(f'{name} read answered')
        while any(t.machine.row is None for t in self.tasks.values()):
            await anyio.sleep(0.002)
        # Each proxy knows the group longer than the shortest term.
        await anyio.sleep(0.3)

    async def _start_proxy(self, name: str) -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._names_by_port[port] = name

        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                with contextlib.suppress(
                    anyio.BrokenResourceError, anyio.EndOfStream
                ):
                    await self._take(name, stream)

        self.group.start_soon(listener.serve, serve)
        clock = _clock.MonotonicClock()
        duties = _duties.Duties(_settings.Address(HOST, port), name, clock)
        cfg = config.Group(
            endpoints={
                n: config.Endpoint(HOST, i.port, 'x')
                for n, i in self.instances.items()
            },
            initial_primary='a',
            database='svc',
        )
        deps = _deps.Deps(
            proxy_id=name,
            domain='x',
            peers=_deps.PeerSettings(HOST, 0, ''),
            clock=clock,
            endpoints=_instances.Instances(
                name, duties, functools.partial(self._id_of, name)
            ),
            table=HeldTable(name, self.rows, self.steps),
            rng=random.Random(name),
            traits=platform_main.TRAITS,
        )
        task = _group_task.GroupTask(KEY, cfg, 2, deps, Peers(name, self))
        self.tasks[name] = task
        self.group.start_soon(task.run)
        task.post(core.Registered(True))

    async def _id_of(
        self, name: str, group: str, address: _settings.Address
    ) -> str:
        await self.steps.at(f'{name} asks id')
        for instance in self.instances.values():
            if instance.port == address.port:
                return instance.id
        raise AssertionError('no instance has this address')

    async def connect(self, host: str, port: int):
        """Open a connection; one to the platform can be held."""
        if port in self._names_by_port:
            await self.steps.at(f'{self._names_by_port[port]} opens')
        return await CONNECT(host, port)

    async def _take(self, name: str, stream) -> None:
        """Take promotions on one connection as the platform does."""
        while True:
            call = (await stream.receive()).decode().lower()
            _, _, rest = call.partition('fence-token: ')
            number = int(rest.partition('\r\n')[0])
            await anyio.sleep(self.delays.get(number, 0.0))
            await self.steps.at(f'platform takes {name}')
            self.taken.append(number)
            for instance in self.instances.values():
                if f'"id":"{instance.id}"' in call:
                    instance.term = max(
                        i.term for i in self.instances.values()
                    )
                    instance.lead()
            await stream.send(ANSWER)


#: The function that opens connections, which the fixture replaces.
CONNECT = anyio.connect_tcp


@pytest.fixture
async def site(monkeypatch):
    """Yield a site whose proxies know the first row."""
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            found = Site(group)
            monkeypatch.setattr(anyio, 'connect_tcp', found.connect)
            await found.start()
            yield found
            group.cancel_scope.cancel()


def is_ordered(taken: list[int]) -> bool:
    return all(one < other for one, other in itertools.pairwise(taken))


async def test_a_choice_announced_during_a_read_is_not_taken_over(site):
    """A takeover decided on an older row must wait for the newer one.

    The second proxy's read of the row spans the first one's whole attempt.
    The first one is then slow to open its connection to the platform.
    """
    steps = site.steps
    steps.hold('p1 claim asked', 'p2 read asked', 'p1 opens')
    steps.hold('p2 tells p1')
    reads = steps.reached.count('p2 read asked')
    site.instances['a'].crash()
    await steps.until('p1 claim asked')
    await steps.until('p2 read asked', reads + 1)
    steps.let_go('p1 claim asked')
    await steps.until('p1 opens')
    await anyio.sleep(0.2)
    steps.hold('p1 read asked')
    steps.let_go('p2 read asked')
    with anyio.move_on_after(0.5):
        await steps.until('platform takes p2')
    steps.let_go('p1 opens')
    await steps.until('platform takes p1')
    await anyio.sleep(0.1)
    assert is_ordered(site.taken)


async def test_an_unanswered_promotion_is_not_overtaken_by_its_own_proxy(site):
    """A reset doesn't take back what the platform has received.

    The call ends without an answer after its time limit. If the proxy begins
    its next attempt at once, the platform, which is slow to take the first
    promotion, takes the second one before it.
    """
    site.steps.hold('p2 claim asked')
    site.delays[2] = _watching.TAKEOVER_AFTER_S - 0.1
    site.instances['a'].crash()
    await site.steps.until('platform takes p1', 2)
    await anyio.sleep(0.1)
    assert is_ordered(site.taken)


async def test_a_promotion_sent_late_in_its_lease_is_not_overtaken(site):
    """The lease must leave time for the promotion to reach the platform.

    The answer to the record and the connection to the platform are slow, so
    the promotion is sent just before its lease ends. It is taken 0.9 s
    later, when another proxy could take the attempt over if only the lease
    were waited for.
    """
    steps = site.steps
    steps.hold('p2 read asked', 'p1 record answered', 'p1 opens')
    steps.hold('p2 tells p1')
    site.delays[2] = 0.9
    site.instances['a'].crash()
    await steps.until('p1 record answered')
    recorded_at = anyio.current_time()
    steps.let_go('p2 read asked')
    site.tasks['p2'].read_row()
    await anyio.sleep(0.85)
    steps.hold('p1 claim asked')
    steps.let_go('p1 record answered')
    await anyio.sleep(recorded_at + 1.7 - anyio.current_time())
    steps.let_go('p1 opens')
    await steps.until('platform takes p2')
    await anyio.sleep(site.delays[2])
    assert site.taken == [2, 3]


async def test_a_promotion_of_a_process_that_stood_still_is_not_overtaken(
    site, monkeypatch
):
    """The lease must hold until the bytes are sent.

    The first proxy's process stands still after the last check of its lease,
    immediately before it sends the promotion, and runs again once the second
    one has taken the attempt over and promoted.
    """
    steps = site.steps
    exchange = _http._Connection.exchange

    async def send_late(self, head, *call):
        holder = dict(head.headers)[b'duty-holder'].decode()
        send = self._stream.send

        async def stand_still(raw: bytes) -> None:
            # No timer of a process that stands still ends its call.
            with anyio.CancelScope(shield=True):
                await steps.at(f'{holder} sends')
                await send(raw)

        self._stream.send = stand_still
        return await exchange(self, head, *call)

    monkeypatch.setattr(_http._Connection, 'exchange', send_late)
    steps.hold('p1 sends', 'p2 claim asked')
    site.instances['a'].crash()
    await steps.until('p1 sends')
    steps.hold('p1 read asked', 'p1 claim asked', 'p2 tells p1')
    steps.let_go('p2 claim asked')
    await steps.until('platform takes p2')
    steps.let_go('p1 sends')
    with anyio.move_on_after(0.5):
        await steps.until('platform takes p1')
    await anyio.sleep(0.1)
    assert is_ordered(site.taken)


async def test_a_promotion_held_up_after_its_check_is_not_sent_later(site):
    """A process may stand still between the check and the promotion.

    The first proxy has recorded its choice and checked the endpoint's promise.
    It gets the instance's id only after the second one has taken the attempt
    over and promoted.
    """
    steps = site.steps
    steps.hold('p1 asks id', 'p2 claim asked')
    site.instances['a'].crash()
    await steps.until('p1 asks id')
    steps.hold('p1 read asked', 'p1 claim asked', 'p2 tells p1')
    steps.let_go('p2 claim asked')
    await steps.until('platform takes p2')
    steps.let_go('p1 asks id')
    with anyio.move_on_after(0.5):
        await steps.until('platform takes p1')
    assert site.taken == [3]


async def test_a_choice_lost_by_a_restore_of_the_table_is_not_overtaken(site):
    """A table restored from an older copy doesn't show the choice.

    The other proxy doesn't know of the choice either, since the news of it
    are late. It begins an attempt in the new generation while the lease of
    the lost choice still runs. The first proxy has checked the endpoint
    before the restore, and then waits for the platform.
    """
    steps = site.steps
    steps.hold('p2 read asked', 'p1 asks id', 'p1 opens')
    steps.hold('p1 tells p2', 'p2 tells p1')
    older = dict(site.rows.values)
    site.instances['a'].crash()
    await steps.until('p1 asks id')
    checked_at = anyio.current_time()
    steps.hold('p1 read asked')
    site.rows.values = older
    site.rows.generation += 1
    steps.let_go('p2 read asked')
    await anyio.sleep(0.9)
    steps.let_go('p1 asks id')
    await anyio.sleep(checked_at + 1.65 - anyio.current_time())
    steps.let_go('p1 opens')
    await steps.until('platform takes p2')
    await anyio.sleep(0.3)
    assert is_ordered(site.taken)


async def test_a_promotion_that_the_platform_refused_is_not_waited_for(site):
    """A refused promotion can't be taken later than the next one.

    Without a promotion on its way, a wait only extends the time without a
    primary: the platform refuses calls beyond its rate, and promotions of
    instances that do not run.
    """
    refused_at: list[float] = []
    taken_at: list[float] = []

    async def take(name: str, stream: anyio.abc.SocketStream) -> None:
        await stream.receive()
        if refused_at:
            taken_at.append(anyio.current_time())
            await anyio.sleep_forever()
        refused_at.append(anyio.current_time())
        await stream.send(REFUSAL)

    site._take = take
    site.steps.hold('p2 claim asked')
    site.instances['a'].crash()
    while not taken_at:
        await anyio.sleep(0.002)
    assert taken_at[0] - refused_at[0] < _watching.TAKEOVER_AFTER_S


async def test_a_promotion_answered_by_a_failure_is_not_overtaken(site):
    """A failure of the platform doesn't say that nothing will be done.

    The platform answers the first promotion with a failure, and takes it
    0.9 s later. The proxy must not begin its next attempt before.
    """

    async def take(name: str, stream: anyio.abc.SocketStream) -> None:
        call = (await stream.receive()).decode().lower()
        number = int(call.partition('fence-token: ')[2].partition('\r\n')[0])
        if number == 2:
            await stream.send(FAILURE)
            await anyio.sleep(0.9)
        site.taken.append(number)
        await anyio.sleep_forever()

    site._take = take
    site.steps.hold('p2 claim asked')
    site.instances['a'].crash()
    while len(site.taken) < 2:
        await anyio.sleep(0.002)
    assert is_ordered(site.taken)


async def test_an_order_to_follow_does_not_end_another_proxys_fence(site):
    """A fence must hold from the choice to the promotion.

    The first proxy can't reach the primary, and fences the replicas. The
    second one reaches all, and its news and reads of the row are slow. It
    takes the new promises for those of its own term.
    """
    steps = site.steps
    task = site.tasks['p1']
    connect = task._deps.endpoints.connect

    async def connect_to_replicas(endpoint, group, tenant):
        if endpoint.port == site.instances['a'].port:
            return result.Err(ports.ConnectProblem('cut', refused=True))
        return await connect(endpoint, group, tenant)

    await anyio.sleep(_state.FENCE_RETENTION_S)
    steps.hold('p1 tells p2', 'p2 read asked', 'p1 record asked')
    task._deps.endpoints.connect = connect_to_replicas
    for conn in task._conns.values():
        if conn._endpoint.port == site.instances['a'].port:
            conn.stop()
    await steps.until('p1 record asked')
    replicas = [site.instances[name] for name in ('b', 'c')]
    assert [r.held for r in replicas] == [2, 2]
    with anyio.move_on_after(1.0):
        while all(r.held == 2 for r in replicas):
            await anyio.sleep(0.002)
    assert [r.held for r in replicas] == [2, 2]

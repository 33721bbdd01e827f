"""How an accepted configuration comes to every proxy in time.

Three proxies read the configuration and the others get it from them. On 71
VMs with links of 5 Mbit/s a version of 330 KB, which takes such a link half
a second, was in force at the three 0.6 s after its acceptance and at 66
others never: they gave each other 0.3 s for the answer, dropped it when it
came and asked the same proxy again, until the links of the three carried
nothing else ("kb_out" 430 to 655 a second for ten seconds). On seven VMs the
feeds of three watchers timed out, and those of the three after them were
reset 0.2 s later. All six left the watch to the seventh, which counted only
others as able to see and stayed in its usual place: event 1208 six times,
then none of 1207 for 7.5 s, and two versions unheard of for as long.
"""

import contextlib
import random

import anyio
import attrs
import orjson
import pytest
import tidegrade_edge as edge

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _config_fetch
from tidegrade.session_proxy import _platform_watch

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'
#: In which a configuration must be in force everywhere, in seconds.
IN_FORCE_WITHIN = 5.0
#: Bytes a second that a link of 5 Mbit/s carries.
SLOW = 640_000
#: No test moves as much as this in its time.
FAST = 1e9


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def document() -> bytes:
    """Give a configuration of 1,564 routes: some 330 KB."""
    rng = random.Random(7)

    def name() -> str:
        return ''.join(rng.choices('abcdefghijklmnopqrstuvwxyz', k=7))

    routes = [
        {
            'name': f'r-{name()}',
            'host': name(),
            'key_prefix': '/',
            'consistency': 'bounded',
            'timeout_ms': 2000,
            'target_latency_ms': 501,
            'priority': 2,
            'service': 'svc-1',
            'max_attempts': 2,
            'max_staleness_ms': 1500,
        }
        for _ in range(1564)
    ]
    return orjson.dumps({'version': 2, 'routes': routes})


class Clock:
    """The clock of this process."""

    def now(self) -> float:
        return anyio.current_time()


@attrs.define(eq=False)
class Directory:
    """The platform as one proxy sees it, and what it was offered.

    It answers nobody who watches while ``fails``. Who reads it gets what is
    ``stored``, if anything.
    """

    document: bytes = b''
    answers: bool = True
    fails: bool = False
    version: int = 1
    seen: ports.ConfigSeen | None = None
    stored: bytes = b''

    def read_now(self) -> None:
        if self.stored:
            self.offer(self.stored)

    def watch(self, watching: bool) -> None:
        if watching and self.fails:
            self.answers = False

    def offer(self, document: bytes) -> None:
        self.document = document
        self.version = 2


@attrs.define(eq=False)
class Proxy:
    """One proxy: its peers, what it knows, and whether it answers."""

    name: str
    domain: str
    directory: Directory
    peers: _peers_task.PeersTask
    watch: _platform_watch.PlatformWatch
    fetch: _config_fetch.ConfigFetch
    mute: bool = False

    async def handle(self, body: messages.PeerBody):
        if isinstance(body, messages.Heartbeat):
            self.peers.receive_heartbeat(body)
        elif isinstance(body, messages.Digest):
            self.peers.receive_digest(body)
        elif isinstance(body, messages.AskConfig):
            if self.mute:
                await anyio.sleep_forever()
            return self.watch.answer(body)
        return None

    def beat(self, port: int) -> messages.Heartbeat:
        return messages.Heartbeat(
            self.name,
            self.domain,
            HOST,
            port,
            self.directory.version,
            False,
            blind=self.watch.blind,
            config_age=self.watch.config_age(),
        )


class Fleet:
    """Proxies in one process; each is reached through a link of its own."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self.proxies: list[Proxy] = []
        self._ports: list[int] = []

    async def add(self, domain: str, rate: float = FAST) -> Proxy:
        """Start a proxy that nobody knows of yet."""
        number = len(self.proxies)
        port = edge.free_ports(1)[0]
        relay = edge.Relay(port, rate)
        await self._tasks.start(relay.serve)
        cfg = _deps.PeerSettings(HOST, port, '00' * 32, 0.2, 1.0)
        name = f'vm-{number}.0'
        rng = random.Random(number)
        deps = _deps.Deps(name, domain, cfg, Clock(), None, None, rng)
        directory = Directory()
        made: list[Proxy] = []
        peers = _peers_task.PeersTask(deps, lambda b: made[0].handle(b))
        watch = _platform_watch.PlatformWatch(
            _roster.ProxyIdentity(name, domain),
            directory,
            peers,
            lambda: directory.version,
            deps.clock,
            IN_FORCE_WITHIN,
        )
        fetch = _config_fetch.ConfigFetch(
            _roster.ProxyIdentity(name, domain),
            directory,
            peers,
            lambda: directory.version,
            rng,
        )
        proxy = Proxy(name, domain, directory, peers, watch, fetch)
        made.append(proxy)
        peers.has_vm_list = True
        peers.make_heartbeat = lambda: proxy.beat(relay.port)
        self.proxies.append(proxy)
        self._ports.append(relay.port)
        await self._tasks.start(peers.run)
        return proxy

    async def meet(self) -> None:
        """Let all know of each other, and begin to watch."""
        for proxy in self.proxies:
            for other, port in zip(self.proxies, self._ports, strict=True):
                if other is not proxy:
                    proxy.peers.receive_heartbeat(other.beat(port))
        for proxy in self.proxies:
            self._tasks.start_soon(proxy.watch.run)
            self._tasks.start_soon(proxy.fetch.run)


@pytest.fixture
async def fleet():
    async with anyio.create_task_group() as tasks:
        yield Fleet(tasks)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def in_force(proxies: list[Proxy], within: float):
    """Wait until all proxies have the second version, or fail."""
    yield
    with anyio.fail_after(within):
        while any(p.directory.version < 2 for p in proxies):
            await anyio.sleep(0.05)


async def test_a_large_configuration_comes_over_slow_links(fleet, document):
    """Eight proxies get 330 KB from one whose link carries 640 KB a second."""
    source = await fleet.add('a', SLOW)
    others = [await fleet.add('a', SLOW) for _ in range(8)]
    await fleet.meet()
    async with in_force(others, IN_FORCE_WITHIN):
        source.directory.offer(document)


async def test_a_source_that_does_not_answer_is_not_the_only_one(
    fleet, document
):
    """The neighbour that says that it has the version answers nobody."""
    far = await fleet.add('b')
    near = await fleet.add('a')
    asker = await fleet.add('a')
    near.mute = True
    await fleet.meet()
    async with in_force([asker], IN_FORCE_WITHIN):
        near.directory.offer(document)
        far.directory.offer(document)


async def test_somebody_watches_while_the_platform_answers_one(fleet):
    """Six of seven leave the watch, since the platform answers none."""
    for _ in range(7):
        await fleet.add('a')
    names = [proxy.name for proxy in fleet.proxies]
    *_, last = core.first_ones(_platform_watch.WATCHED, names, len(names))
    lucky = fleet.proxies[names.index(last)]
    for proxy in fleet.proxies:
        proxy.directory.fails = proxy is not lucky
    await fleet.meet()
    with anyio.fail_after(IN_FORCE_WITHIN):
        while not all(p.watch.blind for p in fleet.proxies if p is not lucky):
            await anyio.sleep(0.05)
        while not lucky.watch.watching:
            await anyio.sleep(0.05)


async def test_who_is_shown_nothing_reads_for_itself(fleet, document):
    """No watcher hears of the version, and none notices that."""
    proxies = [await fleet.add('a') for _ in range(7)]
    await fleet.meet()
    async with in_force(proxies, IN_FORCE_WITHIN):
        for proxy in proxies:
            proxy.directory.stored = document


async def test_who_is_shown_what_is_newest_reads_nothing(fleet, document):
    """One proxy reads the platform, and shows the others that it does."""
    proxies = [await fleet.add('a') for _ in range(7)]
    proxies[0].directory.seen = ports.ConfigSeen(1, 0.5)
    for proxy in proxies[1:]:
        proxy.directory.stored = document
    await fleet.meet()
    await anyio.sleep(IN_FORCE_WITHIN)
    assert {proxy.directory.version for proxy in proxies} == {1}

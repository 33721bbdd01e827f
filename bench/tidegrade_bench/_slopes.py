"""Costs against counts: what a proxy's control work takes as it grows."""

from collections.abc import Callable
import json
import os
import pathlib
import platform
import random
import subprocess
import time

import anyio
import anyio.abc
import attrs
import orjson

from tidegrade.codec import _structure
from tidegrade import config
from tidegrade import core
from tidegrade.peers import _frames
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade_bench import _deployment
from tidegrade_bench import _fit
from tidegrade_bench import _plan

PAGE = pathlib.Path('docs/CAPACITY-slopes.md')
#: Repetitions of a timed piece of work; the least time counts.
REPEATS = 5
#: Length of an observation of running proxies, in seconds.
WATCH_SECONDS = 5.0
PROXY_COUNTS = (3, 10, 20, 40)
CONNECTION_COUNTS = (0, 250, 500, 1000, 2000)
GROUPS = (1, 4, 16, 64, 256)
SITES = (10, 50, 200, 800)
#: Ticks of a group with a request in progress.
TICKS_PER_S = 50


def least_cpu(work: Callable[[], object], times: int = 1) -> float:
    """Give the least processor time of one run of ``work``, seconds."""
    best = float('inf')
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(times):
            work()
        best = min(best, (time.process_time() - began) / times)
    return best


def heartbeat(groups: int) -> messages.PeerMessage:
    """Give a heartbeat with an opinion on each group."""
    opinions = tuple(
        messages.GroupOpinion(
            messages.GroupKey(f'site-{index}', 'mains-1'), 3, False
        )
        for index in range(groups)
    )
    beat = messages.Heartbeat(
        'entry-1.00aa11bb22cc', 'ikeja', '10.0.0.1', 7000, 7, False, opinions
    )
    return messages.PeerMessage(beat)


def heartbeat_slopes() -> list[_fit.Slope]:
    """Measure what heartbeats cost against the opinions they carry."""
    sent, received, sizes = [], [], []
    for groups in GROUPS:
        message = heartbeat(groups)
        raw = codec.encode(message)
        sizes.append(_fit.Point(groups, len(raw)))
        sealing = _frames.Direction(bytes(32))
        sealed = _frames.Direction(bytes(32)).seal(raw)

        def send(
            message: messages.PeerMessage = message,
            sealing: _frames.Direction = sealing,
        ) -> bytes:
            return sealing.seal(codec.encode(message))

        cpu = least_cpu(send, 50)
        sent.append(_fit.Point(groups, cpu * 1e6))

        def receive(sealed: bytes = sealed) -> messages.PeerMessage:
            opening = _frames.Direction(bytes(32))
            return codec.decode(opening.open(sealed))

        cpu = least_cpu(receive, 50)
        received.append(_fit.Point(groups, cpu * 1e6))
    return [
        _fit.fit('heartbeat sent', 'us', 'group', sent),
        _fit.fit('heartbeat received', 'us', 'group', received),
        _fit.fit('heartbeat size', 'bytes', 'group', sizes),
    ]


class Idle:
    """A group machine whose endpoints answer every poll at once."""

    def __init__(self, seed: int) -> None:
        cfg = config.Group(
            endpoints={name: config.Endpoint(name, 1, 'x') for name in 'abc'},
            initial_primary='a',
        )
        settings = core.MachineSettings('p', 'x', 9)
        self._machine = core.GroupMachine(cfg, settings, random.Random(seed))
        self._now = 0.0
        self._names: dict[int, str] = {}
        self._reads = 0
        self._tell(core.Registered(True))
        row = core.GroupRow(1, 'a', frozenset('abc'))
        self._tell(core.RowReceived(row))

    def second(self) -> None:
        """Let a second pass, with the ticks that the daemon makes."""
        for _ in range(TICKS_PER_S):
            self._now += 1 / TICKS_PER_S
            self._tell(core.Tick())

    def read(self) -> None:
        """Serve a read with a maximum age, half a millisecond later."""
        self._now += 0.0005
        self._reads += 1
        self._tell(
            core.RequestArrived(
                core.Request(
                    id=self._reads,
                    tenant='',
                    caller='',
                    kind=core.Kind.READ,
                    deadline=self._now + 2.0,
                    place_by=self._now + 1.5,
                    attempt_limit=0.8,
                    statements=(core.Statement('READ x'),),
                    max_age=1.5,
                )
            )
        )

    def _tell(self, event: core.Event) -> None:
        events = [event]
        while events:
            for command in self._machine.handle(events.pop(), self._now):
                if isinstance(command, core.OpenConn):
                    self._names[command.conn] = command.endpoint
                    events.append(core.ConnOpened(command.conn))
                elif isinstance(command, core.RunJob):
                    replica = self._names[command.conn] != 'a'
                    received = core.Position(1, 9)
                    report = core.EndpointReport(replica, 9, received, 1, 0)
                    done = core.JobDone(report, after_lsn=9)
                    events.append(core.JobEnded(command.conn, done))


def group_slope() -> _fit.Slope:
    """Measure the decisions that idle groups take, a second of time."""
    points = []
    for count in (1, 4, 16, 64):
        idle = [Idle(seed) for seed in range(count)]

        def second(machines: list[Idle] = idle) -> None:
            for machine in machines:
                machine.second()

        points.append(_fit.Point(count, least_cpu(second) * 1e3))
    return _fit.fit('deciding for idle groups', 'ms a second', 'group', points)


def document(sites: int) -> dict[str, object]:
    """Give a configuration of so many sites of one group each."""
    tenants = {
        name: {'key_sha256': _deployment.sha256(name)}
        for name in _plan.DEMO.tenants
    }
    endpoints = {
        name: {'host': '10.0.0.1', 'port': 5432, 'domain': 'ikeja'}
        for name in 'abc'
    }
    group = {'endpoints': endpoints, 'initial_primary': 'a'}
    return {
        'max_proxies': 9,
        'sites': {
            f'site-{index}': {'groups': {'main': group}, 'tenants': tenants}
            for index in range(sites)
        },
    }


def config_slopes() -> list[_fit.Slope]:
    """Measure a whole configuration against its number of groups."""
    sizes, times = [], []
    for sites in SITES:
        raw = orjson.dumps(document(sites))
        sizes.append(_fit.Point(sites, len(raw) / 1e3))

        def check(content: bytes = raw) -> None:
            read = _structure.structure(content, config.Document)
            config.problems_of(read.unwrap())

        times.append(_fit.Point(sites, least_cpu(check) * 1e3))
    return [
        _fit.fit('configuration size', 'KB', 'group', sizes),
        _fit.fit('configuration checked', 'ms', 'group', times),
    ]


@attrs.frozen
class Usage:
    """What a process has used: seconds of processor, bytes of memory."""

    cpu: float
    memory: float


def usage(process: subprocess.Popen) -> Usage:
    """Read a process's use from the kernel."""
    folder = pathlib.Path('/proc') / str(process.pid)
    fields = (folder / 'stat').read_text().rsplit(')', 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / 'statm').read_text().split()[1])
    return Usage(ticks / 100, pages * 4096)


async def connection_slope() -> _fit.Slope:
    """Measure a proxy's memory against open caller connections."""
    plan = attrs.evolve(_plan.DEMO, proxies=1)
    points = []
    async with _deployment.Running(plan) as deployment:
        proxy = deployment.proxies[0]
        assert proxy.process is not None
        streams: list[anyio.abc.SocketStream] = []
        for count in CONNECTION_COUNTS:
            while len(streams) < count:
                stream = await anyio.connect_tcp('127.0.0.1', proxy.port)
                await stream.send(
                    b'GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                await stream.receive()
                streams.append(stream)
            used = usage(proxy.process.popen)
            points.append(_fit.Point(count, used.memory / 1e3))
        for stream in streams:
            await stream.aclose()
    return _fit.fit('memory of a proxy', 'KB', 'open connection', points)


async def proxy_slopes() -> list[_fit.Slope]:
    """Measure idle proxies and the platform against their number."""
    cpu, reads, memory = [], [], []
    for count in PROXY_COUNTS:
        group = attrs.evolve(_plan.KANWA, max_connections=count + 9)
        plan = attrs.evolve(_plan.DEMO, groups=(group,), proxies=count)
        async with _deployment.Running(plan) as deployment:
            await anyio.sleep(2.0)
            before = [_usage_of(p) for p in deployment.proxies]
            shown = await _platform_reads(deployment)
            await anyio.sleep(WATCH_SECONDS)
            after = [_usage_of(p) for p in deployment.proxies]
            shown = await _platform_reads(deployment) - shown
        used = sum(a.cpu - b.cpu for a, b in zip(after, before, strict=True))
        share = 100 * used / count / WATCH_SECONDS
        cpu.append(_fit.Point(count, share))
        reads.append(_fit.Point(count, shown / WATCH_SECONDS))
        most = max(use.memory for use in after)
        memory.append(_fit.Point(count, most / 1e6))
    return [
        _fit.fit('idle proxy', '% of a core', 'peer', cpu),
        _fit.fit('reads of the platform', 'a second', 'proxy', reads),
        _fit.fit('memory of an idle proxy', 'MB', 'peer', memory),
    ]


def _usage_of(proxy: _deployment.ProxyHandle) -> Usage:
    assert proxy.process is not None
    return usage(proxy.process.popen)


async def _platform_reads(deployment: _deployment.Deployment) -> int:
    answer = await deployment.http.get(f'{deployment.platform_url}/state')
    return int(answer.json()['reads'])


async def run() -> list[_fit.Slope]:
    """Measure everything and write the page's table."""
    slopes = heartbeat_slopes()
    slopes.append(group_slope())
    slopes.extend(config_slopes())
    slopes.append(await connection_slope())
    slopes.extend(await proxy_slopes())
    PAGE.write_text(page(slopes))
    for slope in slopes:
        print(json.dumps(attrs.asdict(slope)))
    return slopes


def page(slopes: list[_fit.Slope]) -> str:
    """Give the table as the page shows it."""
    lines = [
        '# Measured slopes',
        '',
        'Written by `make slopes` on Python'
        f' {platform.python_version()}, {platform.machine()},'
        f' {os.cpu_count()} cores. The machine is shared: the figures say how',
        'costs grow, not how fast a machine of yours is. `worst` is the',
        'largest distance of a point from the line, as a part of the largest',
        'cost.',
        '',
        '| what | unit | base | each | per | worst | points |',
        '|---|---|---|---|---|---|---|',
    ]
    for slope in slopes:
        points = ', '.join(
            f'{point.count:g}: {point.cost:.4g}' for point in slope.points
        )
        lines.append(
            f'| {slope.name} | {slope.unit} | {slope.base:.4g} |'
            f' {slope.each:.4g} | {slope.per} | {slope.worst:.0%} |'
            f' {points} |'
        )
    return '\n'.join(lines) + '\n'

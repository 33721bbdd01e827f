"""Processor time of a proxy: for a request, while idle, and at its start."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import anyio
import attrs
import tidegrade_edge as edge

from tidegrade.adapters import _metrics
from tidegrade import core
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.session_proxy import _command_records
from tidegrade import sessions
from tidegrade_bench import _slopes

ROOT = pathlib.Path(__file__).parents[2]
#: Repetitions of each measurement, after one that is not counted.
REPEATS = 5
#: Callers at a time, and statements of each caller in one repetition.
CALLERS = 4
STATEMENTS = 100
#: Time for which an idle proxy is observed in one repetition, in seconds.
IDLE_S = 3.0
#: Time after which a proxy that has just started is idle, in seconds.
SETTLE_S = 3.0
#: Commands that are recorded in one repetition: fewer than the log writes at
#: once within its limit.
RECORDED = 390
#: Time through which an idle group ticks in one repetition, in seconds.
TICKED_S = 20
#: Number of peers of a roster that is queried.
PEERS = 60
#: Number of starts that are measured.
STARTS = 15
#: Script that runs a start and prints its processor time in ms. It ends
#: without the interpreter's cleanup, which is no part of a start.
START = """
import os, runpy, sys, time
try:
    runpy.run_path(sys.argv[1], run_name='__main__')
except SystemExit:
    os.write(1, str(time.process_time() * 1e3).encode())
    os._exit(0)
"""


@attrs.frozen
class Cost:
    """Processor time of one kind of work, with all repetitions."""

    name: str
    unit: str
    values: list[float]

    @property
    def median(self) -> float:
        """The median of the repetitions."""
        return statistics.median(self.values)


def processor_time(pid: int) -> float:
    """Return the processor time of all threads of a process, in seconds.

    The scheduler's own account is exact to a nanosecond, where the times in
    ``/proc/PID/stat`` advance in steps of 10 ms.
    """
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    spent = ((task / 'schedstat').read_text().split()[0] for task in tasks)
    return sum(map(int, spent)) / 1e9


async def _idle_share(pid: int) -> float:
    began, before = time.monotonic(), processor_time(pid)
    await anyio.sleep(IDLE_S)
    return (processor_time(pid) - before) / (time.monotonic() - began)


async def _converse(client: edge.Client) -> None:
    for number in range(STATEMENTS // 2):
        written = await client.ask(f'WRITE x {number}')
        read = await client.ask('READ x')
        assert not written.error and not read.error


async def _with_site(
    proxies: int, measure: Callable[[edge.Site], Awaitable[list[float]]]
) -> list[float]:
    with tempfile.TemporaryDirectory() as folder:
        cfg = edge.SiteSettings(proxies=proxies)
        site = edge.Site(pathlib.Path(folder), cfg)
        async with anyio.create_task_group() as tasks:
            try:
                await site.start(tasks)
                await anyio.sleep(SETTLE_S)
                return await measure(site)
            finally:
                site.stop()
                tasks.cancel_scope.cancel()
    raise AssertionError


async def _requests(site: edge.Site) -> list[float]:
    pid = site.proxies[0].process.pid
    idle = await _idle_share(pid)
    clients = [await site.client(name=f'c{i}-') for i in range(CALLERS)]
    values = []
    for _ in range(REPEATS + 1):
        began, before = time.monotonic(), processor_time(pid)
        async with anyio.create_task_group() as callers:
            for client in clients:
                callers.start_soon(_converse, client)
        took = time.monotonic() - began
        spent = processor_time(pid) - before - idle * took
        values.append(spent * 1e3 / (CALLERS * STATEMENTS))
    return values[1:]


def _command_record() -> sessions.CommandRecord:
    """Return the record of a read that a replica served."""
    trace = core.Trace(2, 1, 0, 'i-zone-b', 144, 0.8, '', 2, 0.1)
    answer = core.Answer(
        core.Outcome.DONE,
        age=0.02,
        endpoint='i-zone-b',
        from_replica=True,
        trace=trace,
    )
    return sessions.CommandRecord(
        'db-own',
        'u-1a2b3c',
        'tenant-7',
        sessions.Run('c1-144', 'READ x', writes=False),
        sessions.Reply(answer, sessions.SessionState.IDLE),
        0.0123,
    )


def _records() -> list[float]:
    recorder = _command_records.CommandRecorder(_metrics.Metrics())
    record = _command_record()
    values = []
    with pathlib.Path(os.devnull).open('w', encoding='utf-8') as sink:
        logs.configure('front-1.1a2b3c', sink)
        for _ in range(REPEATS + 1):
            # The limit of log lines is full again.
            time.sleep(2.0)
            began = time.process_time()
            for _ in range(RECORDED):
                recorder.record_command(record)
            spent = time.process_time() - began
            values.append(spent * 1e6 / RECORDED)
    return values[1:]


def _decisions() -> list[float]:
    machine = _slopes.Idle(0)
    machine.second()
    values = []
    for _ in range(REPEATS + 1):
        began = time.process_time()
        for _ in range(RECORDED):
            machine.read()
        spent = time.process_time() - began
        values.append(spent * 1e6 / RECORDED)
        machine.second()
    return values[1:]


async def request_cost() -> list[Cost]:
    """Measure statements at the only proxy of a site, and their records."""
    values = await _with_site(1, _requests)
    return [
        Cost('statement', 'ms', values),
        Cost('decisions on a read', 'us', _decisions()),
        Cost('log line and metrics of a command', 'us', _records()),
    ]


async def _idle(site: edge.Site) -> list[float]:
    pids = [proxy.process.pid for proxy in site.proxies]
    values = []
    for _ in range(REPEATS):
        shares = [0.0] * len(pids)

        async def observe(number: int, into: list[float] = shares) -> None:
            into[number] = await _idle_share(pids[number])

        async with anyio.create_task_group() as observers:
            for number in range(len(pids)):
                observers.start_soon(observe, number)
        values.append(100 * statistics.mean(shares))
    return values


def _candidates() -> list[float]:
    roster = _roster.Roster('own', 1.6, 2.6)
    for number in range(PEERS):
        beat = messages.Heartbeat(
            f'front-{number}.1', 'zone-a', '10.0.0.1', number, 1, False, ()
        )
        roster.record_heartbeat(beat, 0.0, 0.0)
    values = []
    for _ in range(REPEATS + 1):
        began = time.process_time()
        for number in range(RECORDED):
            roster.alive(number / 1e3)
            roster.candidates(number / 1e3)
        values.append((time.process_time() - began) * 1e6 / RECORDED)
    return values[1:]


def _ticks() -> list[float]:
    machine = _slopes.Idle(0)
    values = []
    for _ in range(REPEATS + 1):
        began = time.process_time()
        for _ in range(TICKED_S):
            machine.second()
        spent = time.process_time() - began
        values.append(spent * 1e6 / TICKED_S / _slopes.TICKS_PER_S)
    return values[1:]


async def idle_cost() -> list[Cost]:
    """Measure proxies without callers: one alone, and three together."""
    return [
        Cost(f'candidates of {PEERS} peers', 'us', _candidates()),
        Cost('decisions at a tick', 'us', _ticks()),
    ] + [
        Cost(f'idle, proxies: {count}', '% of a core', values)
        for count in (1, 3)
        if (values := await _with_site(count, _idle))
    ]


def _start(path: pathlib.Path) -> float:
    """Return the processor time until a process has read its settings."""
    done = subprocess.run(
        [sys.executable, '-c', START, str(ROOT / 'deploy' / 'tidegrade.py')],
        env={**os.environ, 'TIDEGRADE_SETTINGS': str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        check=True,
    )
    return float(done.stdout)


async def startup_cost() -> list[Cost]:
    """Measure a start up to the reading of the settings, which are invalid."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'none.json'
        values = [_start(path) for _ in range(STARTS + 1)][1:]
    return [Cost('start', 'ms', values)]


COSTS: dict[str, Callable[[], Awaitable[list[Cost]]]] = {
    'request': request_cost,
    'idle': idle_cost,
    'startup': startup_cost,
}


async def run(only: str) -> None:
    """Measure the costs and print a JSON line for each."""
    for name, measure in COSTS.items():
        if only not in ('', name):
            continue
        for cost in await measure():
            shown = {
                'cost': cost.name,
                'unit': cost.unit,
                'median': round(cost.median, 3),
                'least': round(min(cost.values), 3),
                'most': round(max(cost.values), 3),
                'n': len(cost.values),
            }
            print(json.dumps(shown))

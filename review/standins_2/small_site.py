"""A small site: platform, services, proxies as processes and consumers.

The proxies run with the command of deploy/system.toml and see only what
the platform gives a process: its settings file and a few variables.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

from instance import Instance
from instance import Service
from store import Json
from store import serve_http
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ['ikeja', 'lekki', 'apapa']
#: Interval between an instance's writes to the store, in seconds.
HEARTBEAT_S = 1.2
#: An entry is removed after so many intervals of silence.
SILENT_HEARTBEATS = 3
#: Connections that an instance takes.
MAX_CONNS = 23
#: Bounds of a small site, under the platform's names.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 7000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_skew_ms': 12000,
    'recovery_s': 12,
    'fence_required': False,
    'thaw_slack_ms': 300,
}
#: Time that the proxies may take to start, in seconds.
START_S = 30.0
#: Range of the ports given to proxies: below those of outgoing connections.
PORTS = (10_000, 30_000)


class Record:
    """Lines with the seconds since the start, written to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        at = time.monotonic() - self._start
        self._file.write(f'{at:8.3f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Proxy:
    """One proxy: its addresses, its settings file and its process."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.front, self.ready, self.peers, self.metrics = _free_ports(4)
        self.settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['proxy']['run'])
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['TIDEGRADE_SETTINGS'] = str(self.settings)
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Site:
    """All of it; ``record`` takes what was sent, answered and run."""

    def __init__(
        self, record: Record, services: list[str], proxies: int
    ) -> None:
        self.record = record
        self.store = Store()
        self.services = [Service(name, ZONES, record) for name in services]
        folder = tempfile.TemporaryDirectory(prefix='review-')
        self._folder = folder
        self.proxies = [
            Proxy(
                f'front-{ZONES[n % 3]}-{n // 3 + 1}',
                ZONES[n % 3],
                pathlib.Path(folder.name),
            )
            for n in range(proxies)
        ]
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._entries: dict[str, Json] = {}

    # Life -----------------------------------------------------------------

    async def start(self, routes: list[Json]) -> None:
        """Start the platform, the services and the proxies."""
        await self.store.start()
        self._duties, duty_port = await serve_http(self._promote)
        for service in self.services:
            await service.start()
            self._tasks.append(asyncio.create_task(service.replicate()))
        self._tasks.append(asyncio.create_task(self._beat()))
        self.configure(routes)
        for proxy in self.proxies:
            self._write_settings(proxy, duty_port)
            proxy.start()

    async def until_ready(self) -> bool:
        """Wait until all proxies answer 200; return whether they did."""
        until = time.monotonic() + START_S
        for proxy in self.proxies:
            while not await is_ready(proxy):
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Start a task that ends with the site."""
        self._tasks.append(asyncio.create_task(work))

    async def final_fault(self, routes: list[Json], down_s: float) -> None:
        """Kill all proxies right after a manifest was acknowledged."""
        self.configure(routes)
        self.record('all proxies are killed')
        for proxy in self.proxies:
            proxy.kill()
        await asyncio.sleep(down_s)
        for proxy in self.proxies:
            proxy.start()
        self.record('all proxies are started')

    def report(self, what: str, counted: tuple[int, int]) -> None:
        """Record and print how many operations were served."""
        text = f'{what}: {counted[0]} of {counted[1]} operations were served'
        self.record(text)
        print(text)

    def stop(self) -> None:
        """End the processes that were started here."""
        for proxy in self.proxies:
            proxy.kill()
        for task in self._tasks:
            task.cancel()
        self._folder.cleanup()

    # The operator and the platform ----------------------------------------

    def configure(self, routes: list[Json]) -> None:
        """Write a manifest; the write is its ack."""
        self._version += 3
        services = [
            {
                'name': service.name,
                'health_path': '/health',
                'max_conns': MAX_CONNS,
                'protocol': 'h1',
                'tls': False,
                'sync_replicas': 0,
            }
            for service in self.services
        ]
        manifest: Json = {
            'version': self._version,
            'routes': routes,
            'services': services,
            'limits': {'tx_idle_ms': 3000},
        }
        self.store.put('op', 'config', manifest)
        self.record(f'manifest {self._version} is acknowledged')

    async def _promote(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, Json]:
        asked = json.loads(body)
        status = 409
        for service in self.services:
            if service.name == asked['service']:
                status = service.promote(asked['id'])
        self.record(
            f'promote {asked} by {headers["duty-holder"]} '
            f'number {headers["fence-token"]}: {status}'
        )
        return status, {}

    async def _beat(self) -> None:
        """Keep the instances' entries as the instances and store do."""
        silent: dict[str, int] = {}
        count = 0
        while True:
            count += 1
            for service in self.services:
                for one in service.instances:
                    if one.running:
                        silent[one.id] = 0
                        self.store.put('servers', one.id, entry_of(one, count))
                        continue
                    silent[one.id] = silent.get(one.id, 0) + 1
                    if silent[one.id] == SILENT_HEARTBEATS:
                        self.store.drop('servers', one.id)
            await asyncio.sleep(HEARTBEAT_S)

    def _write_settings(self, proxy: Proxy, duty_port: int) -> None:
        settings = {
            'node_name': proxy.name,
            'role': 'proxy',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': '127.0.0.1',
            'zone': proxy.zone,
            'region': 'lagos',
            'zones': dict.fromkeys(ZONES, 'lagos'),
            'listen': {
                'front': f'127.0.0.1:{proxy.front}',
                'ready': f'127.0.0.1:{proxy.ready}',
            },
            'internal_ports': [proxy.peers, proxy.metrics],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cpu_cores': 2,
                'memory_mb': 300,
                'max_fds': 4200,
            },
            'data_dir': None,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'address': f'127.0.0.1:{self.store.port}'},
            'cloud_api': {'address': f'127.0.0.1:{duty_port}'},
        }
        proxy.settings.write_text(json.dumps(settings))


class Consumer:
    """One session; ids count up over all sessions of a name."""

    def __init__(self, name: str, record: Record) -> None:
        self._name = name
        self._record = record
        self._count = 0

    async def connect(self, proxy: Proxy, database: str) -> bool:
        """Open a session; return whether READY came."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                '127.0.0.1', proxy.front
            )
            self._writer.write(f'CONNECT {database} {self._name}\r\n'.encode())
            line = await self._reader.readline()
        except OSError:
            return False
        return line.startswith(b'READY I')

    async def ask(self, text: str) -> str:
        """Send a statement; return the error code, empty for a success."""
        self._count += 1
        request_id = f'{self._name}.{self._count}'
        self._record(f'{request_id} sends {text}')
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        code, said = '', []
        while True:
            line = (await self._reader.readuntil(b'\r\n'))[:-2].decode()
            said.append(line)
            kind, _, rest = line.partition(' ')
            if kind == 'ERROR':
                code = rest.partition(' ')[0]
            if kind == 'READY':
                self._record(f'{request_id} gets {" / ".join(said)}')
                return code

    def close(self) -> None:
        """End the session."""
        with contextlib.suppress(OSError, AttributeError):
            self._writer.close()


def run_case(
    folder: pathlib.Path,
    services: list[str],
    proxies: int,
    play: Callable[[Site, str], Coroutine[None, None, int]],
) -> int:
    """Play a case and return its exit status.

    All processes that it started have ended then, also after a SIGTERM.
    """

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder / 'record.txt')
        small = Site(record, services, proxies)
        try:
            return await play(small, os.environ.get('TROUBLE', '1'))
        except asyncio.CancelledError:
            return 2
        except Exception:
            # The case could not run; status 1 would say that it did.
            traceback.print_exc()
            return 2
        finally:
            small.stop()
            record.close()

    return asyncio.run(main())


def judge_recover(before: tuple[int, int], after: tuple[int, int]) -> int:
    """Return 1 if RECOVER is broken, 0 if it holds, 2 without requests.

    The counts are of operations served and sent.
    """
    if not after[1] or 4 * before[0] < before[1]:
        return 2
    return 1 if 4 * after[0] < after[1] else 0


def entry_of(instance: Instance, count: int) -> Json:
    """Return the entry that an instance writes to the store."""
    return {
        'service': instance.service,
        'address': f'127.0.0.1:{instance.port}',
        'zone': instance.zone,
        'version': 'v1',
        'slots': 3,
        'state': instance.state,
        'cold_remaining_ms': 0,
        'db_role': instance.role,
        'seq_no': count,
        'born': 1770000000000,
    }


def route(database: str, service: str) -> Json:
    """Return a route whose reads and writes go to the primary."""
    return {
        'name': f'r-{database}',
        'host': database,
        'key_prefix': '/',
        'consistency': 'primary',
        'timeout_ms': 800,
        'target_latency_ms': 150,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    }


async def is_ready(proxy: Proxy) -> bool:
    """Ask for the readiness as the platform does."""
    try:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', proxy.ready
        )
    except OSError:
        return False
    writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: proxy\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return b' 200 ' in line


def _free_ports(count: int) -> list[int]:
    """Return the first of ``count`` free ports in a row."""
    while True:
        first = random.randrange(*PORTS)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True

"""A whole site of the stand-in: store, instances, promotions, proxies."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import anyio
import anyio.abc
import attrs
import httpx
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn

from tidegrade_edge import _client
from tidegrade_edge import _instance
from tidegrade_edge import _relay
from tidegrade_edge import _routed
from tidegrade_edge import _store

ROOT = pathlib.Path(__file__).parents[2]
ZONES = ('zone-a', 'zone-b', 'zone-c')
#: Pause between rounds of replication, in seconds.
ROUND = 0.005
#: Pause between heartbeats of the instances, in seconds.
HEARTBEAT = 0.3
#: Place of the port for other proxies among those of a proxy.
PEERS_PORT = 2


@attrs.frozen
class SiteSettings:
    """The shape of a site; times in seconds.

    Where it is ``relayed``, all connections of proxies to the store and to
    instances run through relays, which can disturb them. ``cores`` are the
    stated capacities of the proxies' VMs; they state none if it is empty.
    ``ports`` are those of the instances; 0 is any that is free.

    Where it is ``routed``, the connections of each proxy to each instance and
    to each other proxy run through a relay of their own, those to the store
    too. With ``promotion_ends_promises`` a promotion ends the promises of the
    service's other replicas, as the platform's pages have it.
    """

    service: str = 'svc-1'
    proxies: int = 3
    promote_delay: float = 0.2
    drain_ms: int = 7000
    grace_s: float = 3.0
    relayed: bool = False
    max_conns: int = 30
    cores: tuple[float, ...] = ()
    routed: bool = False
    promotion_ends_promises: bool = False
    traits: _instance.Traits = attrs.field(factory=_instance.Traits)
    ports: tuple[int, ...] = (0, 0, 0)


@attrs.define
class ProxyProcess:
    """One proxy as a process, with the ports it serves."""

    name: str
    front: int
    ready: int
    metrics: int
    process: subprocess.Popen

    def send(self, signum: int) -> None:
        """Send a signal to this process alone."""
        self.process.send_signal(signum)


class Site:
    """Runs everything around the proxies, and the proxies."""

    def __init__(
        self,
        folder: pathlib.Path,
        cfg: SiteSettings | None = None,
    ) -> None:
        self.cfg = cfg or SiteSettings()
        self.store = _store.Store()
        self.instances = [
            self._make_instance(f'i-{zone}', zone) for zone in ZONES
        ]
        self.instances[0].role = 'primary'
        for instance, port in zip(self.instances, self.cfg.ports, strict=True):
            instance.port = port
        self.proxies: list[ProxyProcess] = []
        #: Promotions as they were ordered: id, holder, fence.
        self.promotions: list[tuple[str, str, int]] = []
        #: When each term began, by the term.
        self.led_since: dict[int, float] = {}
        #: The commits in the log with which each term began, by the term.
        self.led_with: dict[int, frozenset[str]] = {}
        self._folder = folder
        self._api_port = 0
        #: What stands between each proxy and the store, by its number.
        self.store_relays: list[_relay.Relay] = []
        #: What stands between the proxies and each instance, by its id.
        self.relays: dict[str, _relay.Relay] = {}
        #: What stands between a proxy and a port, by its number and the port.
        self.routes: dict[tuple[int, int], _relay.Relay] = {}
        self._ports: list[list[int]] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._config_version = 0
        #: Tenants of each configuration; None: nobody needs a key.
        self.tenants: list[dict[str, object]] | None = None
        #: Key of sessions that are opened without one.
        self.key = ''
        self._met: dict[str, float] = {}

    @property
    def primary(self) -> _instance.Instance:
        """Give the instance that leads, or led last, the newest term."""
        return max(self.instances, key=lambda i: (i.role == 'primary', i.term))

    def _make_instance(
        self, instance_id: str, zone: str
    ) -> _instance.Instance:
        cfg = self.cfg
        return _instance.Instance(
            instance_id, cfg.service, zone, cfg.max_conns, cfg.traits
        )

    # Life -----------------------------------------------------------------

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store, the instances and the proxies."""
        self._tasks = tasks
        sock = socket.socket()
        sock.bind(('127.0.0.1', 0))
        self._api_port = sock.getsockname()[1]
        app = self.store.app()
        app.router.routes.append(
            routing.Route('/promote', self._promote, methods=['POST'])
        )
        tasks.start_soon(self._serve_api, app, sock)
        for _ in range(self.cfg.proxies):
            relay = _relay.Relay(self._api_port)
            self.store_relays.append(relay)
            await tasks.start(relay.serve)
        if self.cfg.routed:
            self._ports = [free_ports(4) for _ in range(self.cfg.proxies)]
            for ports in self._ports:
                await self._route(ports[PEERS_PORT])
        for instance in self.instances:
            await self._start_instance(instance)
        tasks.start_soon(self._replicate)
        tasks.start_soon(self._beat)
        self.configure()
        for number in range(self.cfg.proxies):
            self.start_proxy(number)
        await self.until_ready()

    async def _start_instance(self, instance: _instance.Instance) -> None:
        assert self._tasks is not None
        await self._tasks.start(instance.serve)
        relay = _relay.Relay(instance.port)
        self.relays[instance.id] = relay
        await self._tasks.start(relay.serve)
        if self.cfg.routed and (0, instance.port) not in self.routes:
            await self._route(instance.port)

    async def _route(self, port: int) -> None:
        """Have each proxy's connections to a port run through a relay."""
        assert self._tasks is not None
        for number in range(self.cfg.proxies):
            relay = _relay.Relay(port)
            await self._tasks.start(relay.serve)
            self.routes[number, port] = relay
        for number in range(self.cfg.proxies):
            table = {
                str(target): relay.port
                for (by, target), relay in self.routes.items()
                if by == number
            }
            self._routes_path(number).write_text(json.dumps(table))

    def _routes_path(self, number: int) -> pathlib.Path:
        return self._folder / f'routes-{number}.json'

    def stop(self) -> None:
        """End the proxies that were started here."""
        for proxy in self.proxies:
            proxy.process.kill()
            proxy.process.wait()

    def restart_instance(self, instance: _instance.Instance) -> None:
        """Let a crashed instance come back with its log."""
        if self.primary is not instance:
            instance.role = 'replica'
        instance.held = 0
        instance.state = 'ready'
        assert self._tasks is not None
        self._tasks.start_soon(self._tasks.start, instance.serve)

    async def _serve_api(
        self, app: applications.Starlette, sock: socket.socket
    ) -> None:
        cfg = uvicorn.Config(app, log_config=None, lifespan='off')
        server = uvicorn.Server(cfg)
        await server.serve(sockets=[sock])

    async def replace(
        self,
        old: _instance.Instance,
        drain_s: float,
        same_address: bool = False,
    ) -> _instance.Instance:
        """Replace an instance as planned; return once the old one has ended.

        It reports that it drains, and ends after ``drain_s`` seconds. A new
        one gets its log: at once at another address, or at the same address
        when the old one has ended.
        """
        old.state = 'draining'
        new = self._make_instance(f'{old.id}-n', old.zone)
        if not same_address:
            await self._join(new, old)
        await anyio.sleep(drain_s)
        old.crash()
        self.store.drop('servers', old.id)
        if same_address:
            new.port = old.port
            await self._join(new, old)
        return new

    async def _join(
        self, new: _instance.Instance, old: _instance.Instance
    ) -> None:
        """Start an instance with the log of another."""
        new.copy_log(old)
        await self._start_instance(new)
        self.instances.append(new)

    # Cuts -----------------------------------------------------------------

    def links(
        self, number: int, instance: _instance.Instance
    ) -> list[_relay.Relay]:
        """Give what stands between a proxy and an instance."""
        return [self.routes[number, instance.port]]

    def system_links(self, number: int) -> list[_relay.Relay]:
        """Give what stands between a proxy, the others and the store."""
        own = self._ports[number][PEERS_PORT]
        found = [self.store_relays[number]]
        for other, ports in enumerate(self._ports):
            if other != number:
                found.append(self.routes[other, own])
                found.append(self.routes[number, ports[PEERS_PORT]])
        return found

    @staticmethod
    def cut(links: list[_relay.Relay]) -> None:
        """Let open connections go silent and refuse new ones."""
        for relay in links:
            relay.refusing = True
            relay.silence()

    @staticmethod
    def mend(links: list[_relay.Relay]) -> None:
        """End a cut; connections that went silent end."""
        for relay in links:
            relay.refusing = False
            relay.reset()

    # The operator ---------------------------------------------------------

    def configure(self, extra: tuple[str, ...] = (), **changes: object) -> int:
        """Put a configuration in force; give its version.

        ``extra`` are databases beside the usual ones.
        """
        self._config_version += 3
        names = {
            'db-primary': 'primary',
            'db-bounded': 'bounded',
            'db-own': 'session',
            **dict.fromkeys(extra, 'primary'),
        }
        routes = [
            {
                'name': f'r-{name}',
                'host': name,
                'key_prefix': '/',
                'consistency': kind,
                'timeout_ms': 2000,
                'target_latency_ms': 500,
                'priority': 1,
                'service': self.cfg.service,
                'max_attempts': 2,
                'max_staleness_ms': 1500,
            }
            for name, kind in names.items()
        ]
        service = {
            'name': self.cfg.service,
            'health_path': '/health',
            'max_conns': self.cfg.max_conns,
            'protocol': 'h1',
            'tls': False,
            'sync_replicas': 0,
        }
        config = {
            'version': self._config_version,
            'routes': routes,
            'services': [service],
            'limits': {'tx_idle_ms': 3000},
            **({} if self.tenants is None else {'tenants': self.tenants}),
            **changes,
        }
        self.store.put('op', 'config', json.dumps(config).encode())
        return self._config_version

    def come_back(self, copy: _store.Copy) -> None:
        """Let the store lose what was written since a copy.

        The operator's part is written again; instances do so by themselves.
        """
        written = self.store.get('op', 'config')
        self.store.come_back(copy)
        if written is not None:
            self.store.put('op', 'config', written)

    async def _promote(self, req: requests.Request) -> responses.Response:
        body = await req.json()
        fence = int(req.headers['fence-token'])
        holder = req.headers['duty-holder']
        self.promotions.append((body['id'], holder, fence))
        for instance in self.instances:
            if instance.id == body['id'] and instance.state == 'ready':
                assert self._tasks is not None
                self._tasks.start_soon(self._lead_soon, instance)
                return responses.JSONResponse({})
        return responses.JSONResponse({'error': 'not running'}, 409)

    async def _lead_soon(self, instance: _instance.Instance) -> None:
        await anyio.sleep(self.cfg.promote_delay)
        if instance.role != 'primary':
            instance.term = max(i.term for i in self.instances)
            instance.lead()
            self.led_since[instance.term] = time.monotonic()
            kept = frozenset(entry.request_id for entry in instance.log)
            self.led_with[instance.term] = kept
            if self.cfg.promotion_ends_promises:
                for other in self.instances:
                    other.held = 0

    # Instances ------------------------------------------------------------

    async def _replicate(self) -> None:
        while True:
            self._replicate_once(time.monotonic())
            await anyio.sleep(ROUND)

    def _replicate_once(self, now: float) -> None:
        primary = self.primary
        if primary.role != 'primary' or primary.state == 'crashed':
            return
        if primary.faults.dark:
            return
        for instance in self.instances:
            if instance is primary or instance.state == 'crashed':
                continue
            if instance.faults.dark or instance.faults.deaf:
                continue
            if instance.role == 'primary':
                met = self._met.setdefault(instance.id, now)
                if now - met > _instance.OLD_PRIMARY_GOES_ON:
                    instance.role = 'replica'
                    self._met.pop(instance.id)
            elif not instance.held and instance.reaches(primary, now):
                instance.follow(primary)

    async def _beat(self) -> None:
        count = 0
        while True:
            count += 1
            for instance in self.instances:
                if instance.state == 'crashed' or instance.faults.dark:
                    continue
                entry = {
                    'service': instance.service,
                    'address': f'127.0.0.1:{self._port_of(instance)}',
                    'zone': instance.zone,
                    'version': 'v1',
                    'slots': 3,
                    'state': instance.state,
                    'cold_remaining_ms': 0,
                    'db_role': instance.role,
                    'seq_no': count,
                }
                value = json.dumps(entry).encode()
                self.store.put('servers', instance.id, value)
            await anyio.sleep(HEARTBEAT)

    def _port_of(self, instance: _instance.Instance) -> int:
        """Give the port at which an instance is listed."""
        if self.cfg.relayed:
            return self.relays[instance.id].port
        return instance.port

    # Proxies --------------------------------------------------------------

    def start_proxy(self, number: int) -> ProxyProcess:
        """Start a proxy as a process of its own."""
        ports = self._ports[number] if self.cfg.routed else free_ports(4)
        front, ready, peers, metrics = ports
        name = f'front-{number}'
        store_port = self._api_port
        if self.cfg.relayed or self.cfg.routed:
            store_port = self.store_relays[number].port
        store = f'127.0.0.1:{store_port}'
        settings = {
            'node_name': name,
            'ip': '127.0.0.1',
            'zone': ZONES[number % len(ZONES)],
            'listen': {
                'front': f'127.0.0.1:{front}',
                'ready': f'127.0.0.1:{ready}',
            },
            'internal_ports': [peers, metrics],
            'heartbeat_ms': int(HEARTBEAT * 1000),
            'bounds': {'grace_s': self.cfg.grace_s},
            'platform': {'address': store},
            'cloud_api': {'address': store},
        }
        if self.cfg.cores:
            cores = self.cfg.cores[number]
            settings['limits'] = {'cpu_share': cores / 2, 'cpu_cores': 2}
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log = (self._folder / f'{name}.log').open('ab')
        program = ROOT / 'deploy' / 'tidegrade.py'
        env = {**os.environ, 'TIDEGRADE_SETTINGS': str(path)}
        if self.cfg.routed:
            program = pathlib.Path(_routed.__file__)
            env[_routed.ROUTES_VARIABLE] = str(self._routes_path(number))
        process = subprocess.Popen(
            [sys.executable, str(program)],
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        proxy = ProxyProcess(name, front, ready, metrics, process)
        self.proxies.append(proxy)
        return proxy

    def restart_proxy(self, number: int) -> ProxyProcess:
        """Start a proxy anew in the place of one that has ended."""
        proxy = self.start_proxy(number)
        self.proxies.remove(proxy)
        self.proxies[number] = proxy
        return proxy

    def settings_path(self, proxy: ProxyProcess) -> pathlib.Path:
        """Give the settings file of a proxy."""
        return self._folder / f'{proxy.name}.json'

    async def client(
        self,
        number: int = 0,
        database: str = 'db-own',
        name: str = 'u',
        key: str = '',
    ) -> _client.Client:
        """Open a session at a proxy."""
        found = await _client.Client.connect(
            self.proxies[number].front, database, name, key or self.key
        )
        assert found is not None, f'no session on {database}'
        return found

    async def until_ready(self) -> None:
        """Wait until every proxy takes a write."""
        for number, proxy in enumerate(self.proxies):
            while not await self._writable(number):
                status = proxy.process.poll()
                if status is not None:
                    raise RuntimeError(
                        f'{proxy.name} ended with status {status}; its log: '
                        f'{self.log_of(number)}'
                    )
                await anyio.sleep(0.05)

    async def _writable(self, number: int) -> bool:
        try:
            client = await _client.Client.connect(
                self.proxies[number].front,
                'db-primary',
                f'w{number}-',
                self.key,
            )
        except OSError:
            return False
        if client is None:
            return False
        reply = await client.ask('WRITE warm 1')
        await client.close()
        return not reply.error

    async def metrics_of(self, number: int) -> str:
        """Give a proxy's page of metrics."""
        port = self.proxies[number].metrics
        async with httpx.AsyncClient() as http:
            return (await http.get(f'http://127.0.0.1:{port}/')).text

    def log_of(self, number: int) -> str:
        """Give what a proxy has logged so far."""
        name = self.proxies[number].name
        return (self._folder / f'{name}.log').read_text()


#: Datagram sockets on the ports given out: whoever got one may not listen
#: yet, and another run of the tests asks for the same sockets first. Without
#: them 1 of 56 sites started beside other runs met a port that was taken.
_claims: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Give the first of ``count`` ports in a row that are free.

    They lie below those that the system gives to outgoing connections,
    so none is taken before the process that it is meant for listens.
    """
    while True:
        first = random.randrange(10_000, 30_000)
        ports = list(range(first, first + count))
        claimed = [_claim(port) for port in ports]
        claims = [claim for claim in claimed if claim is not None]
        if len(claims) == count and all(map(_is_free, ports)):
            _claims.extend(claims)
            return ports
        for claim in claims:
            claim.close()


def _claim(port: int) -> socket.socket | None:
    """Keep others from a port; None if another has it."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(('127.0.0.1', port))
    except OSError:
        sock.close()
        return None
    return sock


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


#: Re-exported for tests that stop and go on.
STOP, GO_ON = signal.SIGSTOP, signal.SIGCONT

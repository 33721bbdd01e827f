"""Builds a proxy from its settings and runs it until it stops."""

import os
import random
import signal

import anyio
import anyio.abc
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types
import uvicorn

from tidegrade.adapters import _clock
from tidegrade.adapters import _http_callers
from tidegrade.adapters import _http_common
from tidegrade.adapters import _http_operators
from tidegrade.adapters import _http_server
from tidegrade.adapters import _metrics
from tidegrade.adapters import _platform
from tidegrade.adapters import _postgres
from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _quotas
from tidegrade.daemon import _registration
from tidegrade.daemon import _roster
from tidegrade.http_proxy import _admin
from tidegrade.http_proxy import _config_task
from tidegrade.http_proxy import _deps as _http_deps
from tidegrade.http_proxy import _service
from tidegrade.http_proxy import _settings
from tidegrade.http_proxy import _tenants
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.peers import _server
from tidegrade import ports

#: Pause between checks whether a drain is finished, in seconds.
DRAIN_POLL_S = 0.02
#: Pause between updates of gauges, in seconds.
GAUGE_INTERVAL_S = 1.0


class Proxy:
    """One run of the HTTP proxy."""

    def __init__(self, cfg: _settings.ProxySettings) -> None:
        self._cfg = cfg
        rng = random.Random(os.urandom(16))
        proxy_id = f'{cfg.name}.{rng.getrandbits(48):012x}'
        self._platform = _platform.HttpPlatform(cfg.platform, cfg.name)
        self._shared = _deps.Deps(
            proxy_id=proxy_id,
            domain=cfg.domain,
            peers=cfg.peers,
            clock=_clock.MonotonicClock(),
            endpoints=_postgres.PostgresEndpoints(cfg.postgres, cfg.name),
            table=self._platform,
            rng=rng,
        )
        self._deps = _http_deps.HttpDeps(
            shared=self._shared,
            cfg=cfg,
            objects=self._platform,
            vm_list=self._platform,
            metrics=_metrics.Metrics(),
        )
        self._peers = _peers_task.PeersTask(self._shared, self._handle_message)
        self._peers.make_heartbeat = self._heartbeat
        self._quotas = _quotas.Quotas(
            _roster.ProxyIdentity(proxy_id, cfg.domain),
            self._peers,
            self._shared.clock,
            lambda: self._service.version,
            lambda name: self._service.tenants.by_full_name(name),
            draining=lambda: self._admin.draining,
        )
        self._service = _service.Service(self._deps, self._peers, self._quotas)
        self._configs = _config_task.ConfigTask(
            self._deps, self._peers, self._adopt
        )
        self._registration = _registration.Registration(
            self._shared, self._on_registered
        )
        self._admin = _admin.Admin(
            self._deps,
            self._peers,
            self._configs,
            self._service,
            self._start_drain,
        )
        self._is_registered = False
        self._leaving: frozenset[tuple[str, int]] = frozenset()
        self._drain = anyio.Event()
        self._server_stopped = anyio.Event()
        self._server = _http_server.Server(self._server_config())
        self._tasks: anyio.abc.TaskGroup | None = None

    # Start and shutdown ---------------------------------------------------

    async def run(self) -> None:
        """Serve until a signal or an operator asks to drain."""
        logs.configure(self._deps.proxy_id)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(self._peers.run)
            tasks.start_soon(self._configs.run)
            tasks.start_soon(self._quotas.run)
            tasks.start_soon(self._registration.run)
            tasks.start_soon(self._watch_vms)
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._update_gauges)
            tasks.start_soon(self._serve_http)
            logs.write(logs.LogEvent.STARTED)
            await self._drain.wait()
            await self._finish_drain()
            tasks.cancel_scope.cancel()
        await self._platform.aclose()
        logs.write(logs.LogEvent.STOPPED)

    async def _serve_http(self) -> None:
        await self._server.serve()
        self._server_stopped.set()

    def _start_drain(self) -> None:
        self._admin.draining = True
        self._drain.set()

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                if self._drain.is_set():
                    # On a second signal the process exits without waiting for
                    # the drain.
                    os._exit(1)
                self._start_drain()

    async def _finish_drain(self) -> None:
        """Finish work in flight; give up permissions and registration."""
        logs.write(logs.LogEvent.DRAINING)
        for group in self._service.groups.values():
            group.post(core.DrainStarted())
        with anyio.move_on_after(self._cfg.drain_limit_s) as scope:
            await anyio.sleep(self._cfg.unready_s)
            while self._busy():
                await anyio.sleep(DRAIN_POLL_S)
        if scope.cancelled_caught:
            logs.write(
                logs.LogEvent.DRAIN_LIMIT_REACHED,
                in_flight=self._service.in_flight,
            )
            for group in self._service.groups.values():
                group.post(core.DrainEnded())
        # The server stops after it has sent its last responses.
        self._server.should_exit = True
        with anyio.move_on_after(self._cfg.drain_limit_s):
            await self._server_stopped.wait()
        for group in self._service.groups.values():
            group.give_up(2**62)
        with anyio.move_on_after(self._cfg.platform.timeout_s):
            await self._registration.withdraw()

    def _busy(self) -> bool:
        if self._service.in_flight:
            return True
        groups = self._service.groups.values()
        return any(group.machine.in_use() for group in groups)

    # Configuration and membership -----------------------------------------

    def _adopt(self, held: _config_task.InForce) -> None:
        service = self._service
        service.doc = held.doc
        service.version = held.ref.version
        service.tenants = _tenants.SiteTenants(held.doc)
        wanted = {
            messages.GroupKey(site_name, group_name): group
            for site_name, site in held.doc.sites.items()
            for group_name, group in site.groups.items()
        }
        for key in list(service.groups):
            if key not in wanted:
                service.groups.pop(key).stop()
        for key, group in wanted.items():
            if key not in service.groups:
                self._start_group(key, group, held.doc.max_proxies)
            service.groups[key].set_config(
                group, held.ref.version, held.doc.max_proxies
            )
        self._post_leaving_endpoints()

    def _start_group(self, key, group, max_proxies: int) -> None:
        task = _group_task.GroupTask(
            key, group, max_proxies, self._shared, self._peers
        )
        self._service.groups[key] = task
        assert self._tasks is not None
        self._tasks.start_soon(task.run)
        if self._is_registered:
            task.post(core.Registered(True))

    def _on_registered(self) -> None:
        self._is_registered = True
        for group in self._service.groups.values():
            group.post(core.Registered(True))

    async def _watch_vms(self) -> None:
        while True:
            listed = await self._deps.vm_list.vms()
            if listed.is_ok():
                self._record_vms(listed.unwrap())
            await anyio.sleep(self._cfg.vm_poll_s)

    def _record_vms(self, vms: list[ports.Vm]) -> None:
        self._peers.learn_vms(vms)
        leaving = frozenset(
            (vm.host, vm.port)
            for vm in vms
            if vm.role == 'endpoint' and vm.leaving
        )
        if leaving != self._leaving:
            self._leaving = leaving
            logs.write(
                logs.LogEvent.ENDPOINT_LEAVING,
                endpoints=[f'{host}:{port}' for host, port in leaving],
            )
            self._post_leaving_endpoints()

    def _post_leaving_endpoints(self) -> None:
        for group in self._service.groups.values():
            names = frozenset(
                name
                for name, endpoint in group.machine.cfg.endpoints.items()
                if (endpoint.host, endpoint.port) in self._leaving
            )
            group.post(core.LeavingEndpointsChanged(names))

    # Peers ----------------------------------------------------------------

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            proxy=self._deps.proxy_id,
            domain=self._cfg.domain,
            host=self._cfg.peers.host,
            port=self._cfg.peers.port,
            config_version=self._service.version,
            draining=self._admin.draining,
            opinions=tuple(
                group.opinion() for group in self._service.groups.values()
            ),
        )

    def _handle_message(self, body: messages.PeerBody) -> _server.Reply:
        if isinstance(body, messages.Heartbeat):
            self._peers.receive_heartbeat(body)
            self._configs.record_peer_version(body.config_version)
        elif isinstance(body, messages.Digest):
            self._peers.receive_digest(body)
            for aged in body.news:
                self._configs.record_peer_version(aged.beat.config_version)
        elif isinstance(body, messages.GiveUp):
            return self._give_up(body)
        elif isinstance(body, messages.RowNews):
            self._receive_row(body)
        elif isinstance(body, messages.AskConfig):
            return self._configs.answer(body)
        elif isinstance(body, messages.Forward):
            return self._serve_forwarded(body)
        elif isinstance(body, messages.AskQuota):
            return self._quotas.answer(body)
        elif isinstance(body, messages.QuotaBack):
            self._quotas.take_back(body)
        elif isinstance(body, messages.QuotaTaken):
            self._quotas.take_off(body)
        elif isinstance(body, messages.QuotaHandover):
            self._quotas.take_over(body)
        return None

    async def _serve_forwarded(
        self, body: messages.Forward
    ) -> messages.Forwarded:
        answer = await self._service.serve_forwarded(body)
        return messages.Forwarded(answer)

    def _give_up(self, body: messages.GiveUp) -> messages.GaveUp | None:
        group = self._service.groups.get(body.key)
        if group is not None:
            group.give_up(body.below)
            return messages.GaveUp(body.key, body.below, self._deps.proxy_id)
        # Without the group this proxy holds no permission for it now, but
        # it may get one later, so it must not answer that it gave it up.
        return None

    def _receive_row(self, body: messages.RowNews) -> None:
        group = self._service.groups.get(body.key)
        row = _rows.decode_row(body.row)
        if group is not None and row.is_ok():
            group.post(core.RowReceived(row.unwrap()))

    # HTTP -----------------------------------------------------------------

    def _server_config(self) -> uvicorn.Config:
        cfg = self._cfg.http
        return uvicorn.Config(
            self._app(),
            host=cfg.host,
            port=cfg.port,
            http=_http_server.protocol_with_header_timeout(
                cfg.header_timeout_s
            ),
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            limit_concurrency=cfg.max_connections,
            timeout_keep_alive=int(cfg.keep_alive_s),
            timeout_graceful_shutdown=5,
            ssl_certfile=cfg.cert_file or None,
            ssl_keyfile=cfg.key_file or None,
        )

    def _app(self) -> types.ASGIApp:
        cfg = self._cfg.http
        limits = _http_callers.HttpLimits(
            max_body_bytes=cfg.max_body_bytes,
            body_timeout_s=cfg.body_timeout_s,
            default_deadline_s=cfg.default_deadline_s,
            max_deadline_s=cfg.max_deadline_s,
            max_in_flight=cfg.max_in_flight,
        )
        callers = _http_callers.CallerRoutes(
            self._service, self._deps.clock, limits
        )
        operators = _http_operators.OperatorRoutes(self._admin, limits)
        app = applications.Starlette(
            routes=[
                *callers.routes(),
                *operators.routes(),
                routing.Route('/health/live', self._live),
                routing.Route('/health/ready', self._ready),
                routing.Route('/metrics', self._metrics_page),
            ],
            exception_handlers={
                _http_common.BadRequest: _http_common.bad_request,
                _http_operators.NotAnOperator: (
                    _http_operators.not_an_operator
                ),
                Exception: _http_common.internal_fault,
            },
        )
        return _http_server.CloseWhileDraining(
            app, lambda: self._admin.draining
        )

    async def _live(self, req: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('live\n')

    async def _ready(self, req: requests.Request) -> responses.Response:
        ready = self._service.version > 0 and not self._admin.draining
        if ready:
            return responses.PlainTextResponse('ready\n')
        return responses.PlainTextResponse('not ready\n', 503)

    async def _metrics_page(self, req: requests.Request) -> responses.Response:
        content, headers = self._deps.metrics.render(
            req.headers.get('accept', '')
        )
        return responses.Response(content, headers=headers)

    async def _update_gauges(self) -> None:
        metrics = self._deps.metrics
        while True:
            metrics.requests_in_flight.set({}, self._service.in_flight)
            for key, group in self._service.groups.items():
                labels = {'site': key.site, 'group': key.group}
                machine = group.machine
                metrics.waiting.set(labels, machine.waiting)
                if machine.row is not None:
                    metrics.term.set(labels, machine.row.term)
                for name in machine.cfg.endpoints:
                    metrics.connections.set(
                        {**labels, 'endpoint': name},
                        machine.conn_count(name),
                    )
            await anyio.sleep(GAUGE_INTERVAL_S)

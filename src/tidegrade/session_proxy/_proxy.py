"""Creates the parts of the session program, connects and runs them."""

import itertools
import os
import random
import signal

import anyio
import anyio.abc
import result

from tidegrade.adapters import _metrics
from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _evidence_task
from tidegrade.daemon import _generation_watch
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _quotas
from tidegrade.daemon import _registration
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.peers import _server
from tidegrade import ports
from tidegrade.session_proxy import _command_records
from tidegrade.session_proxy import _config_fetch
from tidegrade.session_proxy import _drain
from tidegrade.session_proxy import _endpoint_list
from tidegrade.session_proxy import _groups
from tidegrade.session_proxy import _homes
from tidegrade.session_proxy import _members
from tidegrade.session_proxy import _peer_key
from tidegrade.session_proxy import _peer_service
from tidegrade.session_proxy import _platform_watch
from tidegrade.session_proxy import _routed_group
from tidegrade.session_proxy import _settings
from tidegrade import sessions
from tidegrade import tenants

#: Pause after a failed read of the configuration, in seconds.
CATALOGUE_RETRY_S = 0.3
#: Interval between checks of which groups to serve, in seconds: about one
#: heartbeat interval.
HOMES_CHECK_INTERVAL_S = 0.5
#: Time limit for the withdrawal of the registration, in seconds.
WITHDRAW_TIMEOUT_S = 0.3
#: Interval between checks whether the failure domain is isolated, in seconds.
ISOLATION_CHECK_INTERVAL_S = 0.1


class SessionProxy:
    """One run of the session program.

    It serves the sessions of the connections that the listener accepts.
    """

    def __init__(
        self, cfg: _settings.ProxySettings, adapters: _settings.Adapters
    ) -> None:
        self._cfg = cfg
        self._adapters = adapters
        self._rng = random.Random(os.urandom(16))
        self._proxy_id = f'{cfg.name}.{self._rng.getrandbits(48):012x}'
        self._numbers = itertools.count(1)
        self._catalogue: sessions.Catalogue | None = None
        self._group_list = _groups.GroupList(
            cfg.suspect_after_s, cfg.report_interval_s, cfg.settle_s
        )
        self._groups: dict[messages.GroupKey, _group_task.GroupTask] = {}
        self._routes: dict[str, _routed_group.RoutedGroup] = {}
        self._metrics = _metrics.Metrics()
        self._is_registered = False
        self._isolation = core.Isolation()
        self._stopping = anyio.Event()
        self._drain = _drain.Drain(
            adapters, self._is_serving_others, self._end_requests
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._session_deps = self._make_session_deps(sessions.UnlimitedQuota())

    # Called by the listener -----------------------------------------------

    def open(
        self, database: str, caller: tenants.Caller
    ) -> result.Result[sessions.Session, core.Code]:
        """Return a new session on a database, or the code of its refusal."""
        found = self._access_of(database, caller)
        if found.is_err():
            code = sessions.refusal_code(
                found.unwrap_err(),
                self._watch.config_age(),
                self._cfg.config_within_s,
            )
            logs.write_bounded(
                logs.LogEvent.SESSION_REFUSED,
                database=database,
                caller=caller.label,
                code=code.value,
                config_version=self._config_version(),
                config_age_ms=self._config_age_ms(),
            )
            return result.Err(code)
        session = sessions.Session(database, caller, self._session_deps)
        return result.Ok(session)

    def _make_session_deps(
        self, quotas: sessions.QuotaAccess
    ) -> sessions.SessionDeps:
        return sessions.SessionDeps(
            access_of=self._access_of,
            group_of=self._route_of,
            next_number=lambda: next(self._numbers),
            now=self._adapters.clock.now,
            record_command=_command_records.CommandRecorder(
                self._metrics
            ).record_command,
            quotas=quotas,
            phase=lambda: self._drain.phase,
        )

    def _has_tenants(self) -> bool:
        """Return whether the configuration in force has tenants."""
        return (
            self._catalogue is not None and self._catalogue.keyring is not None
        )

    def _tenant_named(self, name: str) -> tenants.Tenant | None:
        catalogue = self._catalogue
        if catalogue is None or catalogue.keyring is None:
            return None
        return catalogue.keyring.named(name)

    def _access_of(
        self, database: str, caller: tenants.Caller
    ) -> result.Result[sessions.Access, core.Code]:
        return sessions.resolve_access(self._catalogue, database, caller)

    def _group_of(self, name: str) -> _group_task.GroupTask | None:
        return self._groups.get(messages.GroupKey(_groups.SITE, name))

    def _route_of(self, name: str) -> _routed_group.RoutedGroup | None:
        return self._routes.get(name)

    # Start, run and stop --------------------------------------------------

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and stop."""
        logs.write(logs.LogEvent.STARTED)
        key = await _peer_key.shared_key(self._adapters.table, self._rng)
        deps = self._make_deps(key)
        peers = _peers_task.PeersTask(deps, self._handle_peer_message)
        peers.make_heartbeat = self._heartbeat
        self._deps, self._peers = deps, peers
        self._evidence = _evidence_task.EvidenceTask(
            deps, peers, lambda: self._groups
        )
        identity = _roster.ProxyIdentity(deps.proxy_id, deps.domain)
        self._watch = _platform_watch.PlatformWatch(
            identity,
            self._adapters.directory,
            peers,
            self._config_version,
            deps.clock,
            self._cfg.config_within_s,
        )
        fetch = _config_fetch.ConfigFetch(
            identity,
            self._adapters.directory,
            peers,
            self._config_version,
            deps.rng,
        )
        endpoints = _endpoint_list.EndpointListTask(
            self._adapters.directory,
            peers,
            self._watch,
            self._apply_endpoint_list,
            lambda: not self._all_have_rows(),
        )
        quotas = _quotas.Quotas(
            identity,
            peers,
            deps.clock,
            self._config_version,
            self._tenant_named,
            lambda: self._isolation.cut_off,
            self._stopping.is_set,
        )
        self._session_deps = self._make_session_deps(quotas)
        self._peer_service = _peer_service.PeerService(
            deps.proxy_id,
            peers,
            self._groups,
            self._evidence,
            self._watch,
            endpoints,
            quotas,
            lambda: next(self._numbers),
            deps.clock,
        )
        self._homes = _homes.HomeMap(
            identity, peers, deps.clock, self._has_tenants
        )
        registration = _registration.Registration(deps, self._on_registered)
        self._generations = _generation_watch.GenerationWatch(
            deps.table, peers, deps.rng, self._on_store_restored
        )
        self._registration = registration
        self._members = _members.MembersTask(
            deps.table, peers, self._cfg.members_poll_s, self._update_sharers
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await tasks.start(peers.run)
            tasks.start_soon(registration.keep)
            tasks.start_soon(self._generations.run)
            tasks.start_soon(self._members.run)
            tasks.start_soon(self._evidence.run)
            tasks.start_soon(self._watch.run)
            tasks.start_soon(fetch.run)
            tasks.start_soon(self._watch_catalogue)
            tasks.start_soon(endpoints.run)
            tasks.start_soon(quotas.run)
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._watch_isolation)
            tasks.start_soon(self._watch_homes)
            await tasks.start(
                self._adapters.pages.serve, self._ready, self._metrics_page
            )
            await tasks.start(self._adapters.listener.serve, self)
            await self._stopping.wait()
            # The heartbeat tells other proxies to forward no more requests.
            peers.send_heartbeat_now()
            quotas.update_proxies()
            await self._drain.drain_sessions(self._cfg)
            with anyio.move_on_after(
                min(WITHDRAW_TIMEOUT_S, self._drain.time_left())
            ):
                await registration.withdraw()
            tasks.cancel_scope.cancel()
        logs.write(logs.LogEvent.STOPPED)

    def _make_deps(self, key: str) -> _deps.Deps:
        cfg = self._cfg
        return _deps.Deps(
            proxy_id=self._proxy_id,
            domain=cfg.domain,
            peers=_deps.PeerSettings(
                cfg.host, cfg.peer_port, key, cfg.heartbeat_s, cfg.alive_s
            ),
            clock=self._adapters.clock,
            endpoints=self._adapters.endpoints,
            table=self._adapters.table,
            rng=self._rng,
            traits=self._adapters.traits,
            tick_s=cfg.tick_s,
            row_interval_s=cfg.row_interval_s,
            capacity=core.thousandths(cfg.capacity),
        )

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            async for signum in signals:
                if signum == signal.SIGTERM:
                    self._stopping.set()
                else:
                    self._reload()

    def _reload(self) -> None:
        """Apply changed settings; invalid settings change nothing."""
        found = self._adapters.read_settings()
        if found.is_err():
            logs.write(
                logs.LogEvent.RELOAD_REFUSED, problems=found.unwrap_err()
            )
            return
        self._cfg = _settings.adopt(self._cfg, found.unwrap())
        logs.write(
            logs.LogEvent.RELOADED,
            restart_needed=self._cfg != found.unwrap(),
        )

    def _is_serving_others(self) -> bool:
        """Return whether a forwarded request or transaction is unfinished."""
        if self._peer_service.in_flight:
            return True
        return any(g.machine.transactions for g in self._groups.values())

    def _end_requests(self) -> None:
        """Make each group answer its requests, as the process ends."""
        for group in self._groups.values():
            group.post(core.DrainEnded())

    async def _watch_isolation(self) -> None:
        """Move callers to other failure domains while this one is isolated."""
        while True:
            now = self._adapters.clock.now()
            permitted = self._is_permitted(now)
            if self._isolation.observe(
                self._peers.last_contact(),
                permitted,
                now,
                self._peers.relays_heard_at(),
            ):
                self._on_isolation_changed(permitted)
            self._adapters.listener.close_on_refusal(
                self._isolation.should_close_refused(now)
            )
            close_all_idle = self._isolation.should_close_idle(now)
            self._adapters.listener.close_after_answers(
                close_all_idle or self._drain.closing
            )
            if close_all_idle:
                self._adapters.listener.close_idle()
            await anyio.sleep(ISOLATION_CHECK_INTERVAL_S)

    def _is_permitted(self, now: float) -> bool:
        """Return whether this proxy may acknowledge for any group."""
        machines = (group.machine for group in self._groups.values())
        return any(machine.may_acknowledge(now) for machine in machines)

    def _on_isolation_changed(self, permitted: bool) -> None:
        cut_off = self._isolation.cut_off
        logs.write(
            logs.LogEvent.DOMAIN_ISOLATED
            if cut_off
            else logs.LogEvent.DOMAIN_CONNECTED,
            silence_ms=round(self._isolation.silence * 1000),
            usual_ms=round(self._isolation.silence_limit_s * 1000),
            permitted=permitted,
        )
        for group in self._groups.values():
            group.post(core.CutOffChanged(cut_off))

    def _ready(self) -> bool:
        if self._stopping.is_set() or self._catalogue is None:
            return False
        if self._isolation.cut_off:
            return False
        return all(
            self._group_of(name) is not None for name in self._catalogue.groups
        )

    def _all_have_rows(self) -> bool:
        """Return whether every group that this proxy serves has its row."""
        if self._catalogue is None:
            return False
        groups = [self._group_of(name) for name in self._catalogue.groups]
        return all(
            g is not None and (g.machine.row or not g.serving) for g in groups
        )

    def _metrics_page(self) -> bytes:
        """Return the metrics as text, with current values of the gauges."""
        for key, group in self._groups.items():
            labels = {'site': key.site, 'group': key.group}
            machine = group.machine
            self._metrics.waiting.set(labels, machine.waiting)
            self._metrics.homes.set(labels, self._homes.home_count(key.group))
            if machine.row is not None:
                self._metrics.term.set(labels, machine.row.term)
            for name in machine.cfg.endpoints:
                self._metrics.connections.set(
                    {**labels, 'endpoint': name}, machine.conn_count(name)
                )
        age = self._watch.config_age()
        if age is not None:
            self._metrics.config_age.set({}, age)
        content, _ = self._metrics.render('')
        return content

    # Configuration and membership -----------------------------------------

    async def _watch_catalogue(self) -> None:
        while True:
            found = await self._adapters.directory.next_catalogue()
            known = self._catalogue
            if known is not None and found.version <= known.version:
                continue
            self._catalogue = found
            self._metrics.config_version.set({}, found.version)
            logs.write(logs.LogEvent.CONFIG_ADOPTED, version=found.version)
            self._update_groups()
            self._watch.announce_config()

    def _config_version(self) -> int:
        """Return the configuration version in force; 0 before the first."""
        return self._catalogue.version if self._catalogue else 0

    def _config_age_ms(self) -> int | None:
        """Return the age of the configuration in ms; None if unknown.

        It is the time since the configuration was last known to be the
        newest.
        """
        age = self._watch.config_age()
        return None if age is None else round(age * 1000)

    def _apply_endpoint_list(
        self, entries: tuple[ports.EndpointEntry, ...]
    ) -> None:
        self._group_list.learn(entries, self._adapters.clock.now())
        self._update_groups()

    def _update_groups(self) -> None:
        """Update the groups from the configuration and the endpoint list."""
        catalogue = self._catalogue
        if catalogue is None:
            return
        for entry in catalogue.groups.values():
            known = self._group_of(entry.name)
            if known is not None and known.machine.row is not None:
                members = known.machine.row.members
                self._group_list.learn_members(entry.name, members)
            cfg = self._group_list.config_of(
                entry, catalogue, self._adapters.clock.now()
            )
            if cfg is None:
                continue
            key = messages.GroupKey(_groups.SITE, entry.name)
            if key not in self._groups:
                self._start_group(key, cfg)
            group = self._groups[key]
            group.set_config(cfg, 0, self._sharer_count(entry.name, cfg))
            group.post(
                core.LeavingEndpointsChanged(
                    self._group_list.leaving(entry.name)
                )
            )
            group.gone = self._group_list.gone(entry.name)

    def _sharer_count(self, name: str, cfg: config.Group) -> int:
        """Return the number of proxies that share a group's connections.

        It is 0 if this proxy is not one of them.
        """
        return self._homes.sharer_count(name, cfg, self._stopping.is_set())

    async def _watch_homes(self) -> None:
        """Update which groups are served as proxies join and leave."""
        while True:
            await anyio.sleep(HOMES_CHECK_INTERVAL_S)
            self._update_sharers()
            if not self._all_have_rows():
                # A first primary is named once the endpoint list has settled.
                # That depends on time alone, so it is checked here even if no
                # new list arrives.
                self._update_groups()

    def _update_sharers(self) -> None:
        """Update which groups are served from the proxies known now."""
        for name in list(self._routes):
            group = self._group_of(name)
            assert group is not None
            cfg = group.machine.cfg
            sharers = self._sharer_count(name, cfg)
            if sharers != group.sharers:
                group.set_config(cfg, 0, sharers)

    def _start_group(self, key: messages.GroupKey, cfg: config.Group) -> None:
        task = _group_task.GroupTask(
            key,
            cfg,
            self._sharer_count(key.group, cfg),
            self._deps,
            self._peers,
        )
        self._groups[key] = task
        forwarding = _routed_group.Forwarding(
            self._proxy_id, self._peers, self._homes, self._deps.clock
        )
        self._routes[key.group] = _routed_group.RoutedGroup(task, forwarding)
        assert self._tasks is not None
        self._tasks.start_soon(task.run)
        if self._is_registered:
            task.post(core.Registered(True))

    def _on_registered(self) -> None:
        self._is_registered = True
        self._members.registered()
        for group in self._groups.values():
            group.post(core.Registered(True))

    def _on_store_restored(self) -> None:
        """Check the rows that this proxy wrote after the store is restored."""
        self._registration.recheck()
        for group in self._groups.values():
            group.read_row()

    # Peers ----------------------------------------------------------------

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            proxy=self._proxy_id,
            domain=self._cfg.domain,
            host=self._cfg.host,
            port=self._cfg.peer_port,
            config_version=self._config_version(),
            draining=self._stopping.is_set(),
            blind=self._watch.blind,
            config_age=self._watch.config_age(),
            store_generation=self._generations.current,
            capacity=self._deps.capacity,
            opinions=tuple(
                g.opinion() for g in self._groups.values() if g.serving
            ),
        )

    def _handle_peer_message(self, body: messages.PeerBody) -> _server.Reply:
        return self._peer_service.handle(body)

"""The task that runs the state machines of one group.

The machine of the group and its supervisor decide without input or output.
This task passes events to them and executes the commands that they return.
"""

from collections.abc import Callable
import contextlib
import math
import random

import anyio
import anyio.abc
import attrs

from tidegrade.codec import _rows
from tidegrade import config
from tidegrade import core
from tidegrade.core import supervision
from tidegrade.daemon import _conn_task
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _row_task
from tidegrade.daemon.decisions import _decision_log
from tidegrade.daemon.decisions import _fields
from tidegrade import logs
from tidegrade.peers import _messages as messages

#: Shortest interval between ticks, in seconds.
MIN_TICK_S = 0.001
#: Longest interval between ticks while no request is in progress, in seconds:
#: about a sixth of the shortest time after which an endpoint counts as silent.
IDLE_TICK_S = 0.1
#: The same for a group that this proxy does not serve, in seconds.
UNSERVED_TICK_S = 0.5
#: Interval between observations passed to the supervisor, in seconds. During
#: a change of the primary the supervisor gets one with each tick.
OBSERVE_INTERVAL_S = 0.1
#: Time for which a proxy must know a group before it creates the group's first
#: row, in seconds. By then the proxies know each other, so the rendezvous hash
#: selects only one of them. Without this delay, 97 of 195 proxies that started
#: together wrote each row, and all writes but one were rejected.
SETTLE_S = 2.0

_NOTE_EVENTS = {
    'term_ending': logs.LogEvent.TERM_ENDING,
    'attempt_claimed': logs.LogEvent.ATTEMPT_CLAIMED,
    'term_begun': logs.LogEvent.TERM_BEGUN,
    'attempt_abandoned': logs.LogEvent.ATTEMPT_ABANDONED,
}


@attrs.define
class _Waiter:
    """A request in progress; ``done`` is set together with its answer."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    answer: core.Answer | None = None


class GroupTask:
    """Owns a group's machine, supervisor and connections.

    ``max_proxies`` is the number of proxies that share the connections to
    the group's endpoints, 0 if this proxy does not serve the group.
    """

    def __init__(
        self,
        key: messages.GroupKey,
        cfg: config.Group,
        max_proxies: int,
        deps: _deps.Deps,
        peers: '_peers_task.PeersTask',
    ) -> None:
        self.key = key
        #: Whether this proxy keeps connections to the group's endpoints.
        self.serving = max_proxies > 0
        #: Number of proxies that share the connections, 0 if not served.
        self.sharers = max_proxies
        #: Endpoints that no endpoint list holds any more.
        self.gone: frozenset[str] = frozenset()
        self._deps = deps
        self._peers = peers
        self._config_version = 0
        self._logged_term = 0
        settings = core.MachineSettings(
            deps.proxy_id, deps.domain, max_proxies, deps.traits
        )
        rng = random.Random(deps.rng.getrandbits(64))
        self.machine = core.GroupMachine(cfg, settings, rng)
        self._decisions = _decision_log.DecisionLog(str(key), self.machine)
        self._supervisor = core.Supervisor(
            str(key), deps.proxy_id, rng, deps.traits
        )
        self._conns: dict[int, _conn_task.ConnTask] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._event_sender, self._events = anyio.create_memory_object_stream[
            core.Event | supervision.SupervisorEvent
        ](math.inf)
        self._row_access = _row_task.RowTask(
            _rows.row_key(key.site, key.group),
            deps.rows,
            self.post,
            deps.clock.now,
            deps.row_interval_s,
            lambda: self.serving,
            newest=lambda: self.machine.row,
            in_turn=self._is_first,
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._next_observation_at = 0.0
        self._started_at = deps.clock.now()
        self._polls_for_peers = True
        self._primary_was_down = False
        self._command_handlers: dict[type, Callable[..., None]] = {
            core.OpenConn: self._open_conn,
            core.CloseConn: self._close_conn,
            core.RunJob: self._run_job,
            core.Reply: self._reply,
            core.FetchRow: self._fetch_row,
            core.WorkHealthChanged: self._log_work_health,
            core.ControlEnded: self._control_ended,
            supervision.ReadRow: self._row_access.order,
            supervision.WriteRow: self._row_access.order,
            supervision.ListHolders: self._row_access.order,
            supervision.RunControl: self._run_control,
            supervision.CancelControls: self._recall_controls,
            supervision.RequestRelease: self._ask_give_up,
            supervision.AnnounceRow: self._announce,
            supervision.WriteLog: self._note,
        }

    # Messages from other tasks --------------------------------------------

    def post(self, event: core.Event | supervision.SupervisorEvent) -> None:
        """Queue an event; it is dropped once the task has ended."""
        with contextlib.suppress(anyio.ClosedResourceError):
            self._event_sender.send_nowait(event)

    async def request(self, req: core.Request) -> core.Answer:
        """Execute a request and return its answer.

        If the caller is cancelled, the request is dropped.
        """
        waiter = _Waiter()
        self._waiters[req.id] = waiter
        self.post(core.RequestArrived(req))
        try:
            await waiter.done.wait()
        except anyio.get_cancelled_exc_class():
            self.post(core.RequestCancelled(req.id))
            raise
        finally:
            self._waiters.pop(req.id, None)
        assert waiter.answer is not None
        return waiter.answer

    def give_up(self, below: int) -> None:
        """Give up the write permissions of terms below ``below`` at once.

        No write of such a term is acknowledged after this call.
        """
        self._handle(core.GiveUp(below))

    def may_acknowledge(self, term: int) -> bool:
        """Return whether a write of ``term`` may be acknowledged right now."""
        row = self.machine.row
        if row is None or row.term != term:
            return False
        return self.machine.may_acknowledge(self._deps.clock.now())

    def final(self, answer: core.Answer) -> core.Answer:
        """Return the answer to send, after a last check of the permission.

        A proxy whose process was paused, or that gave up its permission after
        a write was confirmed, must not acknowledge the write. The outcome is
        then unknown.
        """
        if answer.outcome is not core.Outcome.DONE:
            return answer
        position = answer.position
        if position is None or self.may_acknowledge(position.term):
            return answer
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.UNCONFIRMED,
            detail='write permission ended before the write was acknowledged',
            trace=answer.trace,
        )

    def set_config(
        self, cfg: config.Group, version: int, max_proxies: int
    ) -> None:
        """Apply a newer configuration of the group.

        ``max_proxies`` is the number of proxies that share its connections,
        0 if this proxy has none.
        """
        self._config_version = version
        if max_proxies and not self.serving:
            self._row_access.fetch()
        if max_proxies != self.sharers:
            logs.write_bounded(
                logs.LogEvent.SHARE_CHANGED,
                group=str(self.key),
                proxies=max_proxies,
                before=self.sharers,
            )
        self.serving = max_proxies > 0
        self.sharers = max_proxies
        self.post(core.ConfigChanged(cfg, max_proxies))

    def opinion(self) -> messages.GroupOpinion:
        """Return this proxy's opinion of the group's primary."""
        own = self._own_opinion(self._deps.clock.now())
        return messages.GroupOpinion(self.key, own.term, own.primary_down)

    def read_row(self) -> None:
        """Schedule a read of the row, if this proxy serves the group."""
        if self.serving:
            self._row_access.fetch()

    def stop(self) -> None:
        """Cancel the task and close its connections."""
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    # Event loop -----------------------------------------------------------

    async def run(self) -> None:
        """Handle events until stopped."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._row_access.run)
            tasks.start_soon(self._tick)
            async for event in self._events:
                self._handle(event)

    async def _tick(self) -> None:
        last = self._deps.clock.now()
        while True:
            wait = self.machine.next_wake() - self._deps.clock.now()
            planned = min(max(wait, MIN_TICK_S), self._longest_tick())
            await anyio.sleep(planned)
            now = self._deps.clock.now()
            # Before the tick, which would otherwise take the pause of this
            # process for silence of the endpoints and peers.
            self._report_pause(now - last, planned)
            last = now
            self._handle(core.Tick())
            self._observe()

    def _report_pause(self, seconds: float, planned: float) -> None:
        """Inform both state machines if this process was paused."""
        if seconds - planned <= core.MAX_SCHEDULING_DELAY_S:
            return
        logs.write_bounded(
            logs.LogEvent.PROCESS_PAUSED,
            group=str(self.key),
            seconds=round(seconds, 3),
        )
        self._handle(core.ProcessPaused(seconds))
        self._handle(supervision.ProcessResumed())

    def _longest_tick(self) -> float:
        if self.machine.in_use() or not self._is_stable():
            return self._deps.tick_s
        if self.serving:
            return max(self._deps.tick_s, IDLE_TICK_S)
        return UNSERVED_TICK_S

    def _handle(self, event: core.Event | supervision.SupervisorEvent) -> None:
        now = self._deps.clock.now()
        if isinstance(event, supervision.SupervisorEvent):
            for order in self._supervisor.handle(event, now):
                self._command_handlers[type(order)](order)
            return
        for command in self.machine.handle(event, now):
            self._command_handlers[type(command)](command)
        if isinstance(event, core.RowReceived):
            self._log_term()
        self._decisions.observe(now)

    def _log_term(self) -> None:
        row = self.machine.row
        if row is not None and row.term > self._logged_term:
            self._logged_term = row.term
            fields: dict[str, object] = {}
            fork = row.forks[-1] if row.forks else None
            if fork is not None and fork.end_lsn != core.NO_LOSS:
                fields['begins_term'] = fork.term
                fields['begins'] = fork.end_lsn
            logs.write(
                logs.LogEvent.TERM_SEEN,
                group=str(self.key),
                term=row.term,
                primary=row.primary,
                members=sorted(row.members),
                **fields,
            )

    def _observe(self) -> None:
        now = self._deps.clock.now()
        if now < self._next_observation_at and self._is_stable():
            return
        self._next_observation_at = now + OBSERVE_INTERVAL_S
        if not self.serving and self._is_stable():
            # Without connections this proxy can neither form an opinion of
            # the primary nor fence endpoints.
            self._poll_for_peers(False)
            return
        own = self._own_opinion(now)
        self._report_opinion(own, now)
        peers = self._peers.serving_ids(self.key)
        opinions = self._peers.opinions(self.key)
        self._update_polling(peers, opinions)
        cfg = self.machine.cfg
        leaving = (n for n in cfg.endpoints if self.machine.leaving(n))
        self._handle(
            supervision.Observed(
                cfg=cfg,
                config_version=self._config_version,
                row=self.machine.row,
                own=own,
                opinions=opinions,
                peers=peers,
                leaving=frozenset(leaving),
                failing=frozenset(
                    name
                    for name in cfg.endpoints
                    if self.machine.fails_work(name, now)
                ),
                replicas_to_repair=self.machine.replicas_to_repair(now),
                reachable=self.machine.reachable(now),
                gone=self.gone,
                settled=now - self._started_at >= SETTLE_S,
            )
        )

    def _update_polling(
        self, peers: tuple[str, ...], opinions: tuple[core.Opinion, ...]
    ) -> None:
        """Start or stop polling the endpoints on behalf of the peers.

        If a peer considers the primary down, this proxy probes it as well,
        since only proxies that have tried a primary have an opinion of it.
        """
        if not self._deps.traits.status_is_costly:
            return
        self._poll_for_peers(self._is_first_of(peers))
        row = self.machine.row
        if row is None:
            return
        if any(o.primary_down and o.term == row.term for o in opinions):
            self._handle(core.EndpointSuspected(row.primary))

    def _is_first(self) -> bool:
        """Return whether this proxy is first by the rendezvous hash.

        Of the proxies that serve the group, the first does the work that one
        proxy does for all.
        """
        return self._is_first_of(self._peers.serving_ids(self.key))

    def _is_first_of(self, peers: tuple[str, ...]) -> bool:
        return core.rank(str(self.key), self._deps.proxy_id, peers) == 0

    def _report_opinion(self, own: core.Opinion, now: float) -> None:
        """Log and announce a changed opinion of the primary."""
        if own.primary_down == self._primary_was_down:
            return
        self._primary_was_down = own.primary_down
        if self._deps.traits.status_is_costly:
            self._peers.send_heartbeat_now()
        row = self.machine.row
        assert row is not None
        fields = {
            'group': str(self.key),
            'endpoint': row.primary,
            'term': own.term,
        }
        if not own.primary_down:
            logs.write(logs.LogEvent.PRIMARY_NOT_DOWN, **fields)
            return
        view = self.machine.views[row.primary]
        logs.write(
            logs.LogEvent.PRIMARY_DOWN,
            failures=view.failures,
            refused=view.refused,
            follows=view.report is not None and view.report.in_recovery,
            fails_work=self.machine.fails_work(row.primary, now),
            silent_ms=_ms_since(view.last_answer_at, now),
            connections=self.machine.conn_count(row.primary),
            unanswered_ms=_ms_since(
                self.machine.unanswered_since(row.primary), now
            ),
            **fields,
        )

    def _is_stable(self) -> bool:
        """Return whether no change of the primary is in progress here."""
        return self._supervisor.step is core.Step.WATCH

    def _poll_for_peers(self, wanted: bool) -> None:
        if wanted != self._polls_for_peers:
            self._polls_for_peers = wanted
            self._handle(core.PollingDutyChanged(wanted))

    def _own_opinion(self, now: float) -> core.Opinion:
        row = self.machine.row
        proxy = self._deps.proxy_id
        if row is None or row.primary not in self.machine.views:
            return core.Opinion(proxy, 0, False)
        down = self.machine.considers_primary_down(now)
        return core.Opinion(proxy, row.term, down)

    # Commands of the group machine ----------------------------------------

    def _open_conn(self, command: core.OpenConn) -> None:
        cfg = self.machine.cfg
        conn = _conn_task.ConnTask(
            command.conn,
            self._deps.endpoints,
            cfg.endpoints[command.endpoint],
            cfg,
            command.tenant or '',
            self.post,
        )
        self._conns[command.conn] = conn
        assert self._tasks is not None
        self._tasks.start_soon(self._run_conn, command.conn, conn)

    async def _run_conn(self, conn_id: int, conn: _conn_task.ConnTask) -> None:
        try:
            await conn.run()
        finally:
            self._conns.pop(conn_id, None)

    def _close_conn(self, command: core.CloseConn) -> None:
        conn = self._conns.get(command.conn)
        if conn is not None:
            conn.stop()

    def _run_job(self, command: core.RunJob) -> None:
        conn = self._conns.get(command.conn)
        if conn is not None:
            conn.start(command.job)

    def _reply(self, command: core.Reply) -> None:
        waiter = self._waiters.get(command.req_id)
        if waiter is not None:
            core.invariant(
                waiter.answer is None,
                'a caller got two answers for one request',
            )
            waiter.answer = command.answer
            waiter.done.set()

    def _fetch_row(self, _: core.FetchRow) -> None:
        """Schedule a read of the row, if this proxy can use it.

        A proxy without connections to the group reads the row when it starts
        to serve the group.
        """
        if self.serving or self.machine.in_use():
            self._row_access.fetch()

    def _log_work_health(self, command: core.WorkHealthChanged) -> None:
        logs.write_bounded(
            logs.LogEvent.ENDPOINT_FAILS_WORK
            if command.failing
            else logs.LogEvent.ENDPOINT_WORKS,
            group=str(self.key),
            endpoint=command.endpoint,
        )

    def _control_ended(self, command: core.ControlEnded) -> None:
        self._log_control_ended(command)
        self.post(
            supervision.ControlEnded(
                command.control, command.endpoint, command.outcome
            )
        )

    def _log_control_ended(self, command: core.ControlEnded) -> None:
        """Log an endpoint's outcome and report for a control job."""
        fields: dict[str, object] = {
            'group': str(self.key),
            'endpoint': command.endpoint,
            'step': self._supervisor.step.value,
        }
        outcome = command.outcome
        report = outcome.report
        if isinstance(outcome, core.JobFailed):
            fields['failure'] = outcome.failure.value
            fields['detail'] = outcome.detail
        if report is not None:
            fields.update(_fields.report_fields(report))
        logs.write_bounded(logs.LogEvent.ORDER_ENDED, **fields)

    # Commands of the supervisor -------------------------------------------

    def _run_control(self, order: supervision.RunControl) -> None:
        # Handled at once, not queued: a queued event could be handled after
        # the control job was recalled.
        self._handle(
            core.ControlRequested(
                order.control, order.endpoint, order.job, order.deadline
            )
        )

    def _recall_controls(self, _: supervision.CancelControls) -> None:
        self._handle(core.ControlsCancelled())

    def _ask_give_up(self, order: supervision.RequestRelease) -> None:
        for proxy in order.proxies:
            if proxy == self._deps.proxy_id:
                self.give_up(order.below)
                self.post(supervision.PermissionReleased(proxy, order.below))
                continue
            assert self._tasks is not None
            self._tasks.start_soon(self._request_give_up, proxy, order.below)

    async def _request_give_up(self, proxy: str, below: int) -> None:
        question = messages.GiveUp(self.key, below)
        answer = await self._peers.ask(proxy, question)
        if isinstance(answer, messages.GaveUp):
            self.post(
                supervision.PermissionReleased(answer.proxy, answer.below)
            )

    def _announce(self, order: supervision.AnnounceRow) -> None:
        self.post(core.RowReceived(order.row))
        self._peers.announce(
            messages.RowNews(self.key, _rows.encode_row(order.row))
        )

    def _note(self, order: supervision.WriteLog) -> None:
        fields: dict[str, object] = {}
        start = order.start
        if start is not None:
            fields['promotion_ms'] = round(start.promotion * 1000)
            fields['publication_ms'] = round(start.publication * 1000)
            if start.position is not None:
                fields['begins_term'] = start.position.term
                fields['begins'] = start.position.lsn
        logs.write(
            _NOTE_EVENTS[order.event],
            group=str(self.key),
            detail=order.detail,
            **fields,
        )


def _ms_since(at: float | None, now: float) -> int | None:
    """Return the milliseconds since ``at``, None without a finite ``at``."""
    if at is None or math.isinf(at):
        return None
    return round((now - at) * 1000)

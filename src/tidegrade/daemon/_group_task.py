"""The task that drives the decisions for one group and carries them out."""

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
from tidegrade import logs
from tidegrade.peers import _messages as messages

#: Shortest pause between ticks, in seconds.
MIN_TICK = 0.001
#: Longest pause between ticks while no request is open, in seconds: about
#: a sixth of the shortest time after which an endpoint counts as silent.
RESTING_TICK = 0.1
#: The same for a group that this proxy does not serve.
AWAY_TICK = 0.5
#: Pause between observations for the supervisor, in seconds; while it
#: changes the primary it gets one with each tick.
OBSERVE_INTERVAL = 0.1
#: How long a proxy must know a group before it makes the group's first row,
#: in seconds: by then the others are heard and it is one proxy's turn. Of
#: 195 that started together 97 wrote each row, all but one in vain.
SETTLES_AFTER = 2.0

_NOTES = {
    'term_ending': logs.LogEvent.TERM_ENDING,
    'term_begun': logs.LogEvent.TERM_BEGUN,
    'attempt_abandoned': logs.LogEvent.ATTEMPT_ABANDONED,
}


@attrs.define
class _Waiter:
    """A request that waits for its answer."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    answer: core.Answer | None = None


class GroupTask:
    """Owns a group's machine, supervisor and connections."""

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
        #: How many proxies share those connections.
        self.sharers = max_proxies
        #: Endpoints that no list names any more.
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
        self._supervisor = core.Supervisor(
            str(key), deps.proxy_id, rng, deps.traits
        )
        self._conns: dict[int, _conn_task.ConnTask] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._send, self._inbox = anyio.create_memory_object_stream[
            core.Event | supervision.SupervisorEvent
        ](math.inf)
        self._rows = _row_task.RowTask(
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
        self._next_observation = 0.0
        self._began = deps.clock.now()
        self._polls_for_peers = True
        self._found_down = False
        self._orders: dict[type, Callable[..., None]] = {
            core.OpenConn: self._open_conn,
            core.CloseConn: self._close_conn,
            core.RunJob: self._run_job,
            core.Reply: self._reply,
            core.FetchRow: self._fetch_row,
            core.ControlEnded: self._control_ended,
            supervision.ReadRow: self._rows.order,
            supervision.WriteRow: self._rows.order,
            supervision.ListHolders: self._rows.order,
            supervision.RunControl: self._run_control,
            supervision.RecallControls: self._recall_controls,
            supervision.AskGiveUp: self._ask_give_up,
            supervision.Announce: self._announce,
            supervision.Note: self._note,
        }

    # Messages from other tasks --------------------------------------------

    def post(self, event: core.Event | supervision.SupervisorEvent) -> None:
        """Have an event handled in turn."""
        with contextlib.suppress(anyio.ClosedResourceError):
            self._send.send_nowait(event)

    async def request(self, req: core.Request) -> core.Answer:
        """Have a request served and wait for its one answer."""
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
        """Give up permissions at once; nothing is acknowledged after."""
        self._handle(core.GiveUp(below))

    def may_acknowledge(self, term: int) -> bool:
        """Tell, at this very moment, if a write of ``term`` may be."""
        row = self.machine.row
        if row is None or row.term != term:
            return False
        return self.machine.may_acknowledge(self._deps.clock.now())

    def final(self, answer: core.Answer) -> core.Answer:
        """Give the answer to a write that is true at this very moment.

        A proxy that was paused or has given up its permission since the
        write was confirmed must not acknowledge it any more.
        """
        if answer.outcome is not core.Outcome.DONE:
            return answer
        position = answer.position
        if position is None or self.may_acknowledge(position.term):
            return answer
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.UNCONFIRMED,
            detail='the permission to acknowledge ended meanwhile',
        )

    def set_config(
        self, cfg: config.Group, version: int, max_proxies: int
    ) -> None:
        """Put a newer configuration of the group in force.

        ``max_proxies`` share its connections; 0 if this one has none.
        """
        self._config_version = version
        if max_proxies and not self.serving:
            self._rows.fetch()
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
        """Give what this proxy thinks of the group's primary."""
        own = self._own_opinion(self._deps.clock.now())
        return messages.GroupOpinion(self.key, own.term, own.primary_down)

    def read_row(self) -> None:
        """Have the row read, if this proxy serves the group."""
        if self.serving:
            self._rows.fetch()

    def stop(self) -> None:
        """End the task and every connection it has."""
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    # The loop -------------------------------------------------------------

    async def run(self) -> None:
        """Run until stopped."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._rows.run)
            tasks.start_soon(self._tick)
            async for event in self._inbox:
                self._handle(event)

    async def _tick(self) -> None:
        last = self._deps.clock.now()
        while True:
            wait = self.machine.next_wake() - self._deps.clock.now()
            planned = min(max(wait, MIN_TICK), self._longest_tick())
            await anyio.sleep(planned)
            now = self._deps.clock.now()
            # Told before the tick, which would blame others for it.
            self._note_pause(now - last, planned)
            last = now
            self._handle(core.Tick())
            self._observe()

    def _note_pause(self, seconds: float, planned: float) -> None:
        """Tell the machines if this process has stood still."""
        if seconds - planned <= core.MAX_SCHEDULING_DELAY_S:
            return
        logs.write_bounded(
            logs.LogEvent.PAUSED,
            group=str(self.key),
            seconds=round(seconds, 3),
        )
        self._handle(core.ProcessPaused(seconds))
        self._handle(supervision.Woke())

    def _longest_tick(self) -> float:
        if self.machine.in_use() or not self._watching():
            return self._deps.tick_s
        if self.serving:
            return max(self._deps.tick_s, RESTING_TICK)
        return AWAY_TICK

    def _handle(self, event: core.Event | supervision.SupervisorEvent) -> None:
        now = self._deps.clock.now()
        if isinstance(event, supervision.SupervisorEvent):
            for order in self._supervisor.handle(event, now):
                self._orders[type(order)](order)
            return
        for command in self.machine.handle(event, now):
            self._orders[type(command)](command)
        if isinstance(event, core.RowReceived):
            self._log_term()

    def _log_term(self) -> None:
        row = self.machine.row
        if row is not None and row.term > self._logged_term:
            self._logged_term = row.term
            logs.write(
                logs.LogEvent.TERM_SEEN,
                group=str(self.key),
                term=row.term,
                primary=row.primary,
            )

    def _observe(self) -> None:
        now = self._deps.clock.now()
        if now < self._next_observation and self._watching():
            return
        self._next_observation = now + OBSERVE_INTERVAL
        if not self.serving and self._watching():
            # Who has no connections can neither judge nor fence.
            self._poll_for_peers(False)
            return
        own = self._own_opinion(now)
        self._note_opinion(own, now)
        self._share_the_work(own)
        cfg = self.machine.cfg
        leaving = (n for n in cfg.endpoints if self.machine.leaving(n))
        self._handle(
            supervision.Observed(
                cfg=cfg,
                config_version=self._config_version,
                row=self.machine.row,
                own=own,
                opinions=self._peers.opinions(self.key),
                peers=self._peers.serving_ids(self.key),
                leaving=frozenset(leaving),
                to_follow=self.machine.to_follow(now),
                reachable=self.machine.reachable(),
                gone=self.gone,
                settled=now - self._began >= SETTLES_AFTER,
            )
        )

    def _share_the_work(self, own: core.Opinion) -> None:
        """Take or leave the task of asking endpoints for the others.

        A primary that others find down is looked at here as well, since
        only proxies that have tried it have an opinion.
        """
        if not self._deps.traits.status_is_costly:
            return
        self._poll_for_peers(self._is_first())
        row = self.machine.row
        if row is None:
            return
        others = self._peers.opinions(self.key)
        if any(o.primary_down and o.term == row.term for o in others):
            self._handle(core.EndpointSuspected(row.primary))

    def _is_first(self) -> bool:
        """Tell whether this proxy does what one does for the others."""
        peers = self._peers.serving_ids(self.key)
        return core.rank(str(self.key), self._deps.proxy_id, peers) == 0

    def _note_opinion(self, own: core.Opinion, now: float) -> None:
        """Log and tell others what this proxy now thinks of the primary."""
        if own.primary_down == self._found_down:
            return
        self._found_down = own.primary_down
        if self._deps.traits.status_is_costly:
            self._peers.beat_now()
        row = self.machine.row
        assert row is not None
        fields = {
            'group': str(self.key),
            'endpoint': row.primary,
            'term': own.term,
        }
        if not own.primary_down:
            logs.write(logs.LogEvent.PRIMARY_ANSWERS, **fields)
            return
        view = self.machine.views[row.primary]
        logs.write(
            logs.LogEvent.PRIMARY_DOWN,
            failures=view.failures,
            refused=view.refused,
            follows=view.report is not None and view.report.in_recovery,
            silent_ms=_ms_since(view.last_answer_at, now),
            connections=self.machine.conn_count(row.primary),
            unanswered_ms=_ms_since(
                self.machine.unanswered_since(row.primary), now
            ),
            **fields,
        )

    def _watching(self) -> bool:
        """Tell whether no change of the primary is under way here."""
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
                waiter.answer is None, 'a caller was answered twice'
            )
            waiter.answer = command.answer
            waiter.done.set()

    def _fetch_row(self, _: core.FetchRow) -> None:
        """Have the row read, by a proxy that can make use of it.

        One without connections to the group reads it when it gets some.
        """
        if self.serving or self.machine.in_use():
            self._rows.fetch()

    def _control_ended(self, command: core.ControlEnded) -> None:
        self._log_order_ended(command)
        self.post(
            supervision.ControlEnded(
                command.control, command.endpoint, command.outcome
            )
        )

    def _log_order_ended(self, command: core.ControlEnded) -> None:
        """Tell what an endpoint made of an order, and what it showed."""
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
            fields['data_term'] = report.marker
            fields['promised'] = report.promised
            fields['received'] = report.received_lsn
        logs.write_bounded(logs.LogEvent.ORDER_ENDED, **fields)

    # Commands of the supervisor -------------------------------------------

    def _run_control(self, order: supervision.RunControl) -> None:
        # Not posted: it must not be handled after it has been recalled.
        self._handle(
            core.ControlRequested(
                order.control, order.endpoint, order.job, order.deadline
            )
        )

    def _recall_controls(self, _: supervision.RecallControls) -> None:
        self._handle(core.ControlsCancelled())

    def _ask_give_up(self, order: supervision.AskGiveUp) -> None:
        for proxy in order.proxies:
            if proxy == self._deps.proxy_id:
                self.give_up(order.below)
                self.post(supervision.GaveUp(proxy, order.below))
                continue
            assert self._tasks is not None
            self._tasks.start_soon(self._ask_peer, proxy, order.below)

    async def _ask_peer(self, proxy: str, below: int) -> None:
        question = messages.GiveUp(self.key, below)
        answer = await self._peers.ask(proxy, question)
        if isinstance(answer, messages.GaveUp):
            self.post(supervision.GaveUp(answer.proxy, answer.below))

    def _announce(self, order: supervision.Announce) -> None:
        self.post(core.RowReceived(order.row))
        self._peers.announce(
            messages.RowNews(self.key, _rows.encode_row(order.row))
        )

    def _note(self, order: supervision.Note) -> None:
        logs.write(
            _NOTES[order.event], group=str(self.key), detail=order.detail
        )


def _ms_since(at: float | None, now: float) -> int | None:
    """Give milliseconds since a moment; None if there was none."""
    if at is None or math.isinf(at):
        return None
    return round((now - at) * 1000)

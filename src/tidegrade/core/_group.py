"""The state machine that makes a proxy's decisions for one group.

It has no socket, clock, task or random source of its own. The driver passes
each event with the current time and carries out the returned commands.
"""

import random
import typing

from tidegrade import config
from tidegrade.core import _confirm
from tidegrade.core import _controls
from tidegrade.core import _detector
from tidegrade.core import _dispatch
from tidegrade.core import _events
from tidegrade.core import _evidence
from tidegrade.core import _exchange
from tidegrade.core import _jobs
from tidegrade.core import _pending
from tidegrade.core import _polls
from tidegrade.core import _pool
from tidegrade.core import _reads
from tidegrade.core import _registry
from tidegrade.core import _reports
from tidegrade.core import _retry
from tidegrade.core import _row
from tidegrade.core import _shares
from tidegrade.core import _state
from tidegrade.core import _txns
from tidegrade.core import _types
from tidegrade.core import _view
from tidegrade.core import _writes
from tidegrade.core.permission import _permission
from tidegrade.core.tracing import _endpoint_history
from tidegrade.core.tracing import _permission_state

#: Jobs for callers that only a primary runs.
_WRITING = (
    _jobs.WriteJob,
    _jobs.StartJob,
    _jobs.ExecuteJob,
    _jobs.CommitJob,
)

#: Jobs whose answers state the role and the term of an endpoint. After a
#: statement it may state the position of the term before.
_STATUS_JOBS = (
    _jobs.StatusJob,
    _jobs.FenceJob,
    _jobs.PromoteJob,
    _jobs.FollowJob,
)

_TXN_KINDS = frozenset(
    {_types.Kind.EXECUTE, _types.Kind.COMMIT, _types.Kind.ROLLBACK}
)


class GroupMachine:
    """Turns each event and its time into commands for the driver."""

    def __init__(
        self,
        cfg: config.Group,
        settings: _state.MachineSettings,
        rng: random.Random,
    ) -> None:
        state = _state.GroupState.create(cfg, settings, rng)
        self._state = state
        self._registry = _registry.Registry(state)
        self._history = _endpoint_history.EndpointHistory()
        self._budget = _retry.RetryBudget()
        self._confirmations = _confirm.Confirmations(state)
        self._polls = _polls.Polling(state, self._confirmations)
        self._reads = _reads.ReadPath(state, self._registry)
        self._writes = _writes.WritePath(
            state, self._registry, self._confirmations, self._budget
        )
        self._txns = _txns.Transactions(state, self._registry, self._writes)
        self._dispatcher = _dispatch.Dispatcher(
            state, self._registry, self._reads.place, self._place_on_primary
        )
        self._controls = _controls.Controls(state)
        self._handlers: dict[type, typing.Callable[..., None]] = {
            _events.RequestArrived: self._request_arrived,
            _events.RequestCancelled: self._request_cancelled,
            _events.ConnOpened: self._conn_opened,
            _events.ConnClosed: self._conn_closed,
            _events.JobEnded: self._job_ended,
            _events.RowReceived: self._row_received,
            _events.ConfigChanged: self._config_changed,
            _events.GiveUp: self._give_up,
            _events.CutOffChanged: self._cut_off_changed,
            _events.Registered: self._registered,
            _events.ControlRequested: self._control_requested,
            _events.ControlsCancelled: self._controls_cancelled,
            _events.LeavingEndpointsChanged: self._leaving_endpoints_changed,
            _events.EvidenceReceived: self._evidence_received,
            _events.ProcessPaused: self._process_paused,
            _events.PollingDutyChanged: self._polling_duty_changed,
            _events.EndpointSuspected: self._endpoint_suspected,
            _events.DrainStarted: self._drain_started,
            _events.DrainEnded: self._drain_ended,
            _events.Tick: self._tick,
        }

    # Queries --------------------------------------------------------------

    @property
    def row(self) -> _row.GroupRow | None:
        """The newest known row of the group, or None."""
        return self._state.row

    @property
    def views(self) -> dict[str, _view.EndpointView]:
        """The view of each endpoint by its name."""
        return self._state.views

    @property
    def cfg(self) -> config.Group:
        """The configuration in force."""
        return self._state.cfg

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a connection."""
        return self._dispatcher.waiting

    @property
    def transactions(self) -> int:
        """The number of open interactive transactions."""
        return len(self._txns)

    def conn_count(self, endpoint: str) -> int:
        """Return the number of connections to an endpoint."""
        return len(self._state.pool.of(endpoint))

    def considers_primary_down(self, now: float) -> bool:
        """Return whether this proxy considers the primary down."""
        state = self._state
        if state.row is None or state.row.primary not in state.views:
            return False
        view = state.views[state.row.primary]
        if _detector.has_stepped_down(view, state.term_since):
            return True
        if state.fails_work(state.row.primary, now):
            return True
        return _detector.is_down(view, state.cfg, now)

    def unanswered_since(self, endpoint: str) -> float | None:
        """Return when the oldest unanswered job was sent to an endpoint.

        It is None if no job is running there.
        """
        conns = self._state.pool.of(endpoint)
        sent = (conn.sent_at for conn in conns if conn.job is not None)
        return min(sent, default=None)

    def fails_work(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint fails all statements of callers."""
        return self._state.fails_work(endpoint, now)

    def reachable(self, now: float) -> frozenset[str]:
        """Return the endpoints that can be reached, as far as known."""
        return _exchange.reachable(self._state, now)

    def replicas_to_repair(self, now: float) -> frozenset[str]:
        """Return the replicas that may not be following the primary."""
        return _exchange.replicas_to_repair(self._state, now)

    def evidence(self) -> _evidence.Evidence:
        """Return this proxy's evidence, for other proxies."""
        return _exchange.evidence_of(self._state)

    def leaving(self, endpoint: str) -> bool:
        """Return whether the VM list marks an endpoint as leaving."""
        return endpoint in self._state.leaving_since

    def may_acknowledge(self, now: float) -> bool:
        """Return whether writes may be acknowledged at ``now``."""
        return self._state.may_acknowledge(now)

    def needs_row(self, now: float) -> bool:
        """Return whether only a read of the row renews the permission.

        Evidence of a proxy that holds the permission does so as well.
        """
        return self._state.permission.needs_row(now)

    def permission_state(
        self, now: float
    ) -> _permission_state.PermissionState:
        """Return the state of the permission and its grants, for the log."""
        return _permission_state.state_of(self._state, now)

    def take_endpoint_changes(
        self,
    ) -> list[_endpoint_history.EndpointChange]:
        """Remove and return the changes of the endpoints, for the log."""
        return self._history.take()

    def in_use(self) -> bool:
        """Return whether a request or transaction is unfinished."""
        return bool(len(self._registry) or len(self._txns))

    def next_wake(self) -> float:
        """Return the time by which the machine needs a tick."""
        return self._dispatcher.next_wake()

    def handle(
        self, event: _events.Event, now: float
    ) -> list[_events.Command]:
        """Handle an event at ``now`` and return the resulting commands."""
        self._state.now = now
        self._handlers[type(event)](event, now)
        for pending in self._confirmations.take_confirmed():
            self._park_if(self._writes.acknowledge(pending, now), pending)
        if len(self._confirmations):
            self._polls.poll_due(now)
        if self.needs_row(now):
            self._state.emit(_events.FetchRow())
        self._controls.run(now)
        self._dispatcher.dispatch(now)
        self._refuse_unservable(now)
        commands = self._state.commands
        self._state.commands = []
        return commands

    # Requests -------------------------------------------------------------

    def _request_arrived(
        self, event: _events.RequestArrived, now: float
    ) -> None:
        self._budget.deposit()
        pending = self._registry.admit(event.req, now)
        if event.req.deadline <= now:
            self._registry.refuse(pending, _types.Code.DEADLINE)
        elif event.req.kind in _TXN_KINDS:
            self._txns.run_step(pending, now)
        elif self._is_refused_by_drain(event.req):
            self._registry.refuse(pending, _types.Code.DRAINING)
        else:
            self._dispatcher.add(pending, now)

    def _is_refused_by_drain(self, req: _types.Request) -> bool:
        begins = req.kind is _types.Kind.BEGIN
        return self._state.ended or (self._state.draining and begins)

    def _request_cancelled(
        self, event: _events.RequestCancelled, now: float
    ) -> None:
        pending = self._registry.get(event.req_id)
        if pending is None or pending.sent_to or pending.commit_sent:
            return
        self._dispatcher.discard(pending)
        self._registry.refuse(pending, _types.Code.DEADLINE)

    def _place_on_primary(
        self, pending: _pending.Pending, now: float
    ) -> _reads.Placement:
        if pending.req.kind is _types.Kind.READ:
            return self._reads.place(pending, now)
        if pending.req.kind is _types.Kind.BEGIN:
            if pending.req.read_only:
                return self._reads.place(pending, now)
            return self._txns.place_begin(pending, now)
        return self._writes.place(pending, now)

    def _park_if(self, retry: bool, pending: _pending.Pending) -> None:
        if retry:
            self._dispatcher.park(pending)

    # Connections ----------------------------------------------------------

    def _conn_opened(self, event: _events.ConnOpened, now: float) -> None:
        conn = self._state.pool.get(event.conn)
        if conn is None:
            return
        view = self._state.views[conn.endpoint]
        self._history.opened(conn.endpoint, view.failures, view.refused, now)
        self._state.pool.opened(conn, now)
        if conn.state is _pool.ConnState.IDLE:
            self._polls.poll_due(now)

    def _conn_closed(self, event: _events.ConnClosed, now: float) -> None:
        conn = self._state.pool.get(event.conn)
        if conn is None:
            return
        if conn.state is _pool.ConnState.OPENING:
            view = self._state.views[conn.endpoint]
            if event.full:
                view.record_full(now)
            else:
                view.record_failure(event.refused, now)
        elif conn.state is not _pool.ConnState.CLOSING:
            self._history.broke(conn.endpoint)
        if conn.job is not None:
            lost = _jobs.JobFailed(_jobs.Failure.LOST)
            self._record_work(conn, lost, now)
            self._finish_job(conn, lost, now)
        self._txns.conn_lost(conn)
        self._state.pool.closed(conn, now)
        self._history.closed(
            conn.endpoint, self._state.pool.open_count(conn.endpoint), now
        )

    def _job_ended(self, event: _events.JobEnded, now: float) -> None:
        conn = self._state.pool.get(event.conn)
        if conn is None or conn.job is None:
            # The job was abandoned before its outcome arrived.
            return
        self._record_work(conn, event.outcome, now)
        self._finish_job(conn, event.outcome, now)

    def _record_work(
        self, conn: _pool.Conn, outcome: _jobs.JobOutcome, now: float
    ) -> None:
        """Record the outcome of a job that was not abandoned.

        An endpoint that fails statements may still begin transactions.
        """
        done = isinstance(outcome, _jobs.JobDone)
        job = conn.job
        if done and isinstance(job, _jobs.StartJob) and not job.statements:
            return
        if isinstance(job, _jobs.CALLER_JOBS):
            state = self._state
            state.record_work(conn.endpoint, outcome, conn.sent_at, now)

    def _finish_job(
        self, conn: _pool.Conn, outcome: _jobs.JobOutcome, now: float
    ) -> None:
        job, owner, sent_at = conn.job, conn.owner, conn.sent_at
        assert job is not None
        conn.job = None
        conn.owner = None
        if conn.state is _pool.ConnState.BUSY:
            conn.state = _pool.ConnState.IDLE
        if outcome.report is not None:
            self._state.pool.answered(conn)
            if isinstance(job, _STATUS_JOBS):
                self._history.reported(conn.endpoint, outcome.report, sent_at)
            _reports.observe(
                self._state,
                conn.endpoint,
                outcome.report,
                sent_at,
                now,
                conn.life_since,
            )
        if isinstance(outcome, _jobs.JobFailed):
            self._job_failed(conn, outcome, now)
        self._notify_owner(conn, job, owner, outcome, sent_at, now)

    def _job_failed(
        self, conn: _pool.Conn, failed: _jobs.JobFailed, now: float
    ) -> None:
        view = self._state.views[conn.endpoint]
        lost = failed.failure is _jobs.Failure.LOST
        late = failed.failure is _jobs.Failure.TIMEOUT
        # A time-out is no failure of an endpoint that has answered on another
        # connection since the job was sent.
        if lost or late:
            self._history.broke(conn.endpoint)
        if lost or (late and view.last_answer_at <= conn.sent_at):
            view.record_failure(False, now)
        if not failed.usable:
            self._state.close(conn)

    def _notify_owner(
        self,
        conn: _pool.Conn,
        job: _jobs.Job,
        owner: object,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> None:
        if isinstance(owner, _events.ControlRequested):
            ended = _events.ControlEnded(owner.control, conn.endpoint, outcome)
            self._state.emit(ended)
        elif isinstance(owner, _txns.TxnStep):
            owner.pending.report = outcome.report
            self._txns.step_ended(owner, conn, job, outcome, now)
        elif isinstance(owner, _pending.Pending):
            owner.report = outcome.report
            retry = self._finish_request_job(
                owner, conn, job, outcome, sent_at, now
            )
            self._park_if(retry, owner)

    def _finish_request_job(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        job: _jobs.Job,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> bool:
        if isinstance(job, _jobs.ReadJob):
            return self._reads.read_ended(pending, conn, outcome, sent_at, now)
        if isinstance(job, _jobs.CommitJob):
            return self._writes.commit_ended(pending, outcome, sent_at, now)
        if isinstance(job, _jobs.WriteJob):
            return self._writes.write_ended(
                pending, conn, outcome, sent_at, now
            )
        if pending.req.kind is _types.Kind.BEGIN:
            return self._txns.begin_ended(pending, conn, outcome, now)
        return self._writes.start_ended(pending, conn, outcome, now)

    # The term, the configuration and the peers ----------------------------

    def _row_received(self, event: _events.RowReceived, now: float) -> None:
        state = self._state
        if event.asked_at is not None:
            state.row_confirmed(event.asked_at)
        if state.row is None or is_newer(event.row, state.row):
            self._take_row(event.row, now)
        if event.asked_at is not None:
            state.row_read(event.row, event.asked_at)

    def _take_row(self, row: _row.GroupRow, now: float) -> None:
        """Replace the known row by a newer one."""
        state = self._state
        state.note_hanging_primary(now)
        former, state.row = state.row, row
        if row.attempt is None:
            state.recovery.change_ended(now)
        else:
            state.recovery.change_began(now)
        if former is not None and row.term > former.term:
            state.record_former_position(former)
        if former is None or row.term > former.term:
            self._new_term(row, now)

    def _new_term(self, row: _row.GroupRow, now: float) -> None:
        rules = _permission.PermissionRules(row.members)
        self._state.term_since = now
        self._state.recovery.reset_outage(now)
        self._state.permission.start_term(row.term, rules)
        self._state.samples.clear()
        self._abandon_other_endpoints(row.primary, now)
        self._state.reset_work_health(row.primary)
        self._txns.end_off_primary(row.primary, now)
        for pending in self._confirmations.take_before(row.term):
            retry = self._writes.handle_unknown_outcome(
                pending, _types.Code.UNCONFIRMED, now
            )
            self._park_if(retry, pending)
        self._polls.make_all_due()
        self._polls.poll_due(now)

    def _abandon_other_endpoints(self, primary: str, now: float) -> None:
        """Abandon jobs on endpoints that are no longer the primary.

        Otherwise a former primary that hangs would block its requests until
        their deadlines. Reads on replicas continue, because their results
        are checked when they end.
        """
        for conn in self._state.pool:
            report = self._state.views[conn.endpoint].report
            led = report is not None and report.in_recovery is False
            reading = isinstance(conn.job, _jobs.ReadJob) and led
            writing = isinstance(conn.job, _WRITING)
            if conn.endpoint != primary and (reading or writing):
                lost = _jobs.JobFailed(_jobs.Failure.LOST)
                self._finish_job(conn, lost, now)

    def _config_changed(
        self, event: _events.ConfigChanged, now: float
    ) -> None:
        state = self._state
        state.cfg = event.cfg
        shares = _shares.shares_of(event.cfg, event.max_proxies)
        state.pool.set_shares(shares)
        for name in event.cfg.endpoints:
            state.views.setdefault(name, _view.EndpointView(name))
        for conn in state.pool:
            most = state.pool.share(conn.endpoint).limit
            over = len(state.pool.of(conn.endpoint)) > most
            if over and conn.state is _pool.ConnState.IDLE:
                state.close(conn)

    def _give_up(self, event: _events.GiveUp, now: float) -> None:
        self._state.permission.give_up(event.below, now)
        self._state.emit(_events.FetchRow())

    def _registered(self, event: _events.Registered, now: float) -> None:
        self._state.registered = event.registered
        if event.registered:
            self._state.permission.registered(now)

    def _leaving_endpoints_changed(
        self, event: _events.LeavingEndpointsChanged, now: float
    ) -> None:
        since = self._state.leaving_since
        for name in event.endpoints:
            since.setdefault(name, now)
        for name in list(since):
            if name not in event.endpoints:
                del since[name]

    # Peers and pauses -----------------------------------------------------

    def _evidence_received(
        self, event: _events.EvidenceReceived, now: float
    ) -> None:
        _exchange.apply_evidence(self._state, event, now)

    def _process_paused(
        self, event: _events.ProcessPaused, now: float
    ) -> None:
        self._reset_failure_detection(now)
        for health in self._state.work_health.values():
            health.record_pause(event.seconds)
        self._state.recovery.reset_outage(now)
        if event.seconds > _state.MAX_TRUSTED_PAUSE_S:
            self._state.paused_at = now
            self._state.emit(_events.FetchRow())

    def _reset_failure_detection(self, now: float) -> None:
        """Reset failure detection after a pause of this process.

        Deadlines are extended, because answers that arrived during the
        pause have not been read yet.
        """
        for view in self._state.views.values():
            view.reset_failures(now)
        for conn in self._state.pool:
            if conn.job is not None:
                read_by = now + _state.BACKLOG_READ_S
                conn.deadline = max(conn.deadline, read_by)
            elif conn.state is _pool.ConnState.OPENING:
                conn.sent_at = now

    def _polling_duty_changed(
        self, event: _events.PollingDutyChanged, now: float
    ) -> None:
        self._state.polls_for_peers = event.wanted

    def _endpoint_suspected(
        self, event: _events.EndpointSuspected, now: float
    ) -> None:
        if event.endpoint in self._state.views:
            self._polls.suspect(event.endpoint, now)

    def _cut_off_changed(
        self, event: _events.CutOffChanged, now: float
    ) -> None:
        self._state.recovery.cut_off = event.cut_off
        self._state.recovery.reset_outage(now)

    def _drain_started(self, event: _events.DrainStarted, now: float) -> None:
        self._state.draining = True

    def _drain_ended(self, event: _events.DrainEnded, now: float) -> None:
        """Answer all requests and roll open transactions back.

        Connections that run statements of callers are closed, so that
        nothing commits after a request was answered as not run.
        """
        self._state.ended = True
        for conn in self._state.pool:
            if isinstance(conn.owner, _pending.Pending | _txns.TxnStep):
                self._state.close(conn)
        for pending in self._registry.unanswered():
            self._dispatcher.discard(pending)
            self._confirmations.discard(pending)
            self._registry.refuse(pending, _code_at_end(pending))
        self._txns.end_all(now)

    # Supervision ----------------------------------------------------------

    def _control_requested(
        self, event: _events.ControlRequested, now: float
    ) -> None:
        self._controls.ask(event)

    def _controls_cancelled(
        self, event: _events.ControlsCancelled, now: float
    ) -> None:
        self._controls.recall()

    # Time -----------------------------------------------------------------

    def _tick(self, event: _events.Tick, now: float) -> None:
        self._close_overdue_conns(now)
        self._txns.expire(now)
        self._refuse_overdue(now)
        self._close_spare_conns(now)
        self._polls.poll_due(now)

    def _close_overdue_conns(self, now: float) -> None:
        for conn in self._polls.overdue_openings(now):
            self._state.views[conn.endpoint].record_failure(False, now)
            self._state.pool.opening_timed_out(conn, now)
            self._state.close(conn)
        for conn in self._state.pool:
            if conn.job is not None and conn.deadline <= now:
                late = _jobs.JobFailed(_jobs.Failure.TIMEOUT)
                self._record_work(conn, late, now)
                self._finish_job(conn, late, now)

    def _close_spare_conns(self, now: float) -> None:
        for conn in self._state.pool.surplus(now):
            self._state.close(conn)

    def _refuse_unservable(self, now: float) -> None:
        state = self._state
        state.recovery.observe(state.can_use_primary(now), now)
        for pending in self._registry.unservable(now):
            self._dispatcher.discard(pending)
            detail = 'no recovery expected within the time limit'
            self._registry.refuse(pending, pending.waiting_for, detail)

    def _refuse_overdue(self, now: float) -> None:
        for pending in self._registry.overdue(now):
            if pending.sent_to:
                continue
            self._dispatcher.discard(pending)
            self._confirmations.discard(pending)
            code = pending.waiting_for
            if pending.confirm_lsn:
                code = _types.Code.UNCONFIRMED
            self._registry.refuse(pending, code)


def _code_at_end(pending: _pending.Pending) -> _types.Code:
    """Return the code of a request that the end of the process interrupts."""
    if pending.commit_sent:
        return _types.Code.UNCONFIRMED
    if pending.req.kind in _TXN_KINDS:
        return _types.Code.TXN_UNKNOWN
    return _types.Code.DRAINING


def is_newer(row: _row.GroupRow, known: _row.GroupRow) -> bool:
    """Return whether ``row`` is a later state of the group than ``known``."""
    return row_rank(row) > row_rank(known)


def row_rank(row: _row.GroupRow) -> tuple[int, int, bool]:
    """Return a value that increases with each change of a group's row."""
    attempt = row.attempt
    if attempt is None:
        return (row.term, 0, False)
    return (row.term, attempt.next_term, bool(attempt.chosen))

"""The read path: chooses an endpoint and checks its answer."""

import enum

import result

from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _needs
from tidegrade.core import _pending
from tidegrade.core import _pool
from tidegrade.core import _registry
from tidegrade.core import _retry
from tidegrade.core import _routing
from tidegrade.core import _row
from tidegrade.core import _setup
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core.tracing import _basis
from tidegrade.core.tracing import _permission_state

#: Pause before a request checks again for the group row it needs, in seconds.
ROW_RETRY_PAUSE_S = 0.03
#: Maximum age of the report that makes a replica a candidate, in seconds.
REPORT_MAX_AGE_S = 3.0

#: A replica counts as slow if its reads take more than this many times as
#: long as those of the fastest replica. The ratio exceeds the spread of a
#: moving average over reads of very unequal work, and is less than what an
#: impaired VM shows.
SLOW_RATIO = 2.5
#: Maximum age of a measured read time, in seconds. A replica with an older
#: one is tried again, which costs one slow read.
READ_TIME_MAX_AGE_S = 1.0

#: Answer codes for failures in which the endpoint ran nothing.
NOT_RUN_CODES = {
    _jobs.Failure.BUSY: _types.Code.OVERLOADED,
    _jobs.Failure.BEHIND: _types.Code.TOO_STALE,
    _jobs.Failure.NOT_PRIMARY: _types.Code.NO_PRIMARY,
}


class Placement(enum.Enum):
    """The result of an attempt to place a request on a connection."""

    #: The request was sent on a connection, or was answered.
    TAKEN = 'taken'
    #: No connection is idle; the request stays in its queue.
    BLOCKED = 'blocked'
    #: The request waits until its ``not_before``.
    PARKED = 'parked'
    #: The request must wait for the primary.
    PRIMARY = 'primary'


class ReadPath:
    """Sends queued reads to endpoints and answers them."""

    def __init__(
        self,
        state: _state.GroupState,
        registry: _registry.Registry,
    ) -> None:
        self._state = state
        self._registry = registry
        self._needs = _needs.Needs(state)

    def place(self, pending: _pending.Pending, now: float) -> Placement:
        """Try to send a read to an endpoint."""
        pending.needs_permission = False
        row = self._state.row
        if row is None:
            return self._wait_for_row(pending, now)
        floor = self._floor(row, pending)
        if floor.is_err():
            return self._handle_floor_problem(pending, floor.unwrap_err(), now)
        need = self._needs.need_of(pending, floor.unwrap(), now)
        tenant = self._state.tenant_of(pending.req)
        route = self._route(need, tenant, now)
        if isinstance(route, _routing.ToReplica):
            if route.preferred:
                self._open_preferred(route.preferred, tenant, now)
            return self._send(pending, route.name, need, now)
        if isinstance(route, _routing.WaitUntil):
            pending.not_before = route.at
            return Placement.PARKED
        if isinstance(route, _routing.WaitForConn):
            self._open_conns(pending, now)
            return Placement.BLOCKED
        return self._to_primary(pending, row, need, now)

    def read_ended(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> bool:
        """Handle the end of a read; return whether it must be retried."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._read_failed(pending, conn, outcome, now)
        self._registry.service.served(now - sent_at)
        self._state.views[conn.endpoint].record_read(now - sent_at, now)
        if not self._checked and not self._satisfies(
            pending, conn, outcome, now
        ):
            self._count_miss(pending, now)
            return True
        self._answer(pending, conn, outcome, now)
        return False

    @property
    def _checked(self) -> bool:
        """Whether endpoints check the position of a read themselves."""
        return self._state.settings.traits.checks_position

    def _floor(
        self, row: _row.GroupRow, pending: _pending.Pending
    ) -> result.Result[int, _row.FloorProblem]:
        restart = self._state.settings.traits.positions_restart
        return _row.floor_lsn(row, pending.req.floor, restart)

    # Placement ------------------------------------------------------------

    def _wait_for_row(
        self, pending: _pending.Pending, now: float
    ) -> Placement:
        pending.waiting_for = _types.Code.NO_PRIMARY
        pending.not_before = now + ROW_RETRY_PAUSE_S
        self._state.emit(_events.FetchRow())
        return Placement.PARKED

    def _handle_floor_problem(
        self,
        pending: _pending.Pending,
        problem: _row.FloorProblem,
        now: float,
    ) -> Placement:
        if problem is _row.FloorProblem.NEWER_TERM:
            return self._wait_for_row(pending, now)
        self._registry.refuse(
            pending,
            _types.Code.HISTORY_LOST,
            'a failover lost data that this session has seen',
        )
        return Placement.TAKEN

    def _route(
        self, need: _routing.ReadNeed, tenant: str | None, now: float
    ) -> _routing.Route:
        if need.max_age == 0:
            return _routing.ToPrimary()
        policy = _routing.policy_of(self._state.cfg.read_policy)
        return policy.route(need, self._replicas(tenant, now), now)

    def _replicas(
        self, tenant: str | None, now: float
    ) -> list[_routing.ReplicaState]:
        names = [
            name
            for name in self._state.cfg.endpoints
            if self._is_candidate(name, now)
        ]
        times = [self._read_time(name, now) for name in names]
        fastest = min((t for t in times if t), default=0.0)
        return [
            self._replica_state(name, tenant, took > fastest * SLOW_RATIO, now)
            for name, took in zip(names, times, strict=True)
        ]

    def _read_time(self, name: str, now: float) -> float:
        """Return the mean read time of an endpoint in seconds; 0 if unknown.

        A measurement older than ``READ_TIME_MAX_AGE_S`` is ignored, so that
        an endpoint that was slow is tried again.
        """
        view = self._state.views[name]
        if now - view.read_at > READ_TIME_MAX_AGE_S:
            return 0.0
        return view.read_time

    def _is_candidate(self, name: str, now: float) -> bool:
        state = self._state
        if state.row is None or name == state.row.primary:
            return False
        view = state.views[name]
        if not state.accepts_requests(name, now):
            return False
        if not state.work_health[name].may_send(now):
            return False
        if self._checked:
            return not view.failures
        if not state.has_current_term(name):
            return False
        return now - view.sent_at < REPORT_MAX_AGE_S and not view.failures

    def _replica_state(
        self, name: str, tenant: str | None, slow: bool, now: float
    ) -> _routing.ReplicaState:
        state = self._state
        view = state.views[name]
        endpoint = state.cfg.endpoints[name]
        applied = -1
        if view.report is not None and state.has_current_term(name):
            applied = view.report.lsn
        return _routing.ReplicaState(
            name=name,
            same_domain=endpoint.domain == state.settings.domain,
            applied=applied,
            fresh_at=state.samples.fresh_at(applied),
            delay=view.apply_delay,
            round_trip=view.round_trip,
            has_idle_conn=state.pool.idle(name, tenant) is not None,
            load=state.pool.busy_count(name),
            slots=endpoint.slots,
            slow=slow,
            behind=now < view.behind_until,
            reported_at=view.sent_at,
        )

    def _open_conns(self, pending: _pending.Pending, now: float) -> None:
        """Open connections to replicas that may serve a read.

        For a tenant with connections of its own, one is enough, since each
        displaces a connection of another tenant.
        """
        state = self._state
        grow = self._registry.should_grow(pending, now)
        tenant = state.tenant_of(pending.req)
        replicas = sorted(
            self._replicas(tenant, now), key=_routing.preference_key
        )
        for replica in replicas:
            opens = state.open_if_allowed(replica.name, tenant, now, grow)
            if opens and tenant:
                return

    def _open_preferred(
        self, name: str, tenant: str | None, now: float
    ) -> None:
        """Open a connection to the preferred replica, closing no other."""
        state = self._state
        if not tenant or state.pool.may_open(name, now, has_tenants=True):
            state.open_if_allowed(name, tenant, now)

    def _to_primary(
        self,
        pending: _pending.Pending,
        row: _row.GroupRow,
        need: _routing.ReadNeed,
        now: float,
    ) -> Placement:
        pending.waiting_for = _types.Code.NO_PRIMARY
        if pending.req.max_age is not None:
            pending.waiting_for = _types.Code.TOO_STALE
        if not self._state.primary_accepts_requests(now):
            pending.needs_permission = True
            return Placement.PRIMARY
        permission_required = self._checked and need.max_age is not None
        if permission_required and not self._state.may_acknowledge(now):
            pending.needs_permission = True
            return Placement.PRIMARY
        tenant = self._state.tenant_of(pending.req)
        conn = self._state.pool.idle(row.primary, tenant)
        if conn is None:
            if self._state.pool.in_use(row.primary):
                pending.waiting_for = _types.Code.OVERLOADED
            grow = self._registry.should_grow(pending, now)
            self._state.open_if_allowed(row.primary, tenant, now, grow)
            return Placement.PRIMARY
        return self._send(pending, row.primary, need, now)

    def _send(
        self,
        pending: _pending.Pending,
        name: str,
        need: _routing.ReadNeed,
        now: float,
    ) -> Placement:
        tenant = self._state.tenant_of(pending.req)
        conn = self._state.pool.idle(name, tenant)
        if conn is None:
            return Placement.BLOCKED
        pending.sent_to = pending.last_sent_to = name
        pending.tries += 1
        job = self._job(pending, conn, need)
        self._note_basis(pending, name, need, now)
        limit = min(pending.req.deadline, now + pending.req.attempt_limit)
        self._state.start_job(conn, job, pending, limit, now)
        return Placement.TAKEN

    def _job(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        need: _routing.ReadNeed,
    ) -> _jobs.ReadJob | _jobs.StartJob:
        """Return the job of a read or of a read-only transaction's begin."""
        req = pending.req
        after = need.after
        pending.after = need.lsn if after is None else after.lsn
        pending.after_term = None if after is None else after.term
        pending.after_at = need.reached_at
        if after is None:
            # The permission alone decides; the position guards against a
            # primary that has lost a part of its log or not applied it yet.
            after = self._state.primary_position()
        setup = _setup.setup_for(conn, req, req.statements)
        if req.kind is _types.Kind.BEGIN:
            return _jobs.StartJob(
                req.statements, read_only=True, after=after, setup=setup
            )
        return _jobs.ReadJob(req.statements, after, setup)

    def _note_basis(
        self,
        pending: _pending.Pending,
        name: str,
        need: _routing.ReadNeed,
        now: float,
    ) -> None:
        """Keep what the read is based on, for the log."""
        row = self._state.row
        pending.report = None
        pending.grants = ()
        pending.to_primary = row is not None and name == row.primary
        pending.basis = need.basis
        if pending.to_primary and need.max_age is not None:
            pending.basis = _basis.ReadBasis.PERMISSION
            pending.grants = _permission_state.granting(
                self._state.permission, now
            )

    # Answers --------------------------------------------------------------

    def _read_failed(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        timeout = failed.failure is _jobs.Failure.TIMEOUT
        if timeout and now < pending.req.deadline:
            # Another endpoint may answer before the deadline.
            pending.waiting_for = _types.Code.DEADLINE
            return True
        if failed.failure is _jobs.Failure.LOST:
            pending.waiting_for = _types.Code.CONN_LOST
            return True
        if failed.failure in NOT_RUN_CODES:
            pending.waiting_for = NOT_RUN_CODES[failed.failure]
            if failed.failure is _jobs.Failure.BEHIND:
                self._state.views[conn.endpoint].record_behind(now)
            self._count_miss(pending, now)
            return True
        if not timeout and not self._was_known_to_cover(
            conn.endpoint, pending
        ):
            # The statement may have failed because the replica lacks data
            # that it needs, so the read goes to the primary next.
            pending.misses += _routing.MAX_MISSES
            return True
        code = {
            _jobs.Failure.STATEMENT: _types.Code.STATEMENT_FAILED,
            _jobs.Failure.TOO_LARGE: _types.Code.RESULT_TOO_LARGE,
        }.get(failed.failure, _types.Code.DEADLINE)
        self._registry.refuse(pending, code, failed.detail)
        return False

    def _was_known_to_cover(
        self, name: str, pending: _pending.Pending
    ) -> bool:
        """Return whether an endpoint was known to have the read's floor.

        A failed statement carries no report, so the last earlier report
        decides; positions are monotonic within a term.
        """
        state = self._state
        if state.row is None or name == state.row.primary:
            return True
        report = state.views[name].report
        floor = self._floor(state.row, pending)
        if report is None or floor.is_err():
            return False
        current = state.is_current(name, report)
        return current and report.lsn >= floor.unwrap()

    def _count_miss(self, pending: _pending.Pending, now: float) -> None:
        """Count an answer that doesn't satisfy the read.

        After ``MAX_MISSES`` such answers, a backoff precedes each try.
        """
        pending.misses += 1
        if pending.misses > _routing.MAX_MISSES:
            backoff = _retry.backoff(pending.misses, self._state.rng)
            pending.not_before = now + backoff

    def _satisfies(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        done: _jobs.JobDone,
        now: float,
    ) -> bool:
        """Check the report in the answer itself, not cached positions."""
        state = self._state
        row = state.row
        if row is None or not state.is_current(conn.endpoint, done.report):
            state.emit(_events.FetchRow())
            return False
        floor = self._floor(row, pending)
        if floor.is_err() or done.report.lsn < floor.unwrap():
            return False
        if pending.req.max_age is None:
            return True
        if pending.req.max_age == 0:
            is_primary = conn.endpoint == row.primary
            return is_primary and state.may_acknowledge(now)
        age = self._age(conn, done, now)
        return age <= pending.req.max_age

    def _age(self, conn: _pool.Conn, done: _jobs.JobDone, now: float) -> float:
        """Return an upper bound of the data's age at ``now``, in seconds."""
        state = self._state
        assert state.row is not None
        if conn.endpoint == state.row.primary and state.may_acknowledge(now):
            return 0.0
        return now - state.samples.fresh_at(done.report.lsn)

    def _answer(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        done: _jobs.JobDone,
        now: float,
    ) -> None:
        row = self._state.row
        assert row is not None
        position, age = None, float('inf')
        if done.report.marker == row.marker:
            # A position of a former term can't be compared with those of
            # the current term.
            seen = max(done.after_lsn, done.report.lsn)
            position = _types.Position(row.term, seen)
            age = self._age(conn, done, now)
        answer = _types.Answer(
            _types.Outcome.DONE,
            results=done.results,
            position=position,
            endpoint=conn.endpoint,
            from_replica=conn.endpoint != row.primary,
            age=None if age == float('inf') else age,
        )
        self._registry.answer(pending, answer)

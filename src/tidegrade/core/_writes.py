"""One-shot writes: start, check, commit, confirm, acknowledge."""

import attrs

from tidegrade.core import _confirm
from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _pending
from tidegrade.core import _pool
from tidegrade.core import _reads
from tidegrade.core import _registry
from tidegrade.core import _retry
from tidegrade.core import _setup
from tidegrade.core import _state
from tidegrade.core import _types

#: How long a commit or rollback may take after a deadline, in seconds.
SETTLE_TIME = 1.0

#: Failures that show that the request's key has no record of its own.
_PAST_KEY = frozenset(
    {
        _jobs.Failure.STATEMENT,
        _jobs.Failure.KEY_REUSED,
        _jobs.Failure.TOO_LARGE,
    }
)


#: Failures of a commit after which nothing is kept.
ROLLED_BACK = frozenset({_jobs.Failure.STATEMENT, _jobs.Failure.NOT_PRIMARY})


class WritePath:
    """Carries writes from the queue to their answers.

    A method that gives True asks for the request to be tried again.
    """

    def __init__(
        self,
        state: _state.GroupState,
        registry: _registry.Registry,
        confirmations: _confirm.Confirmations,
        budget: _retry.RetryBudget,
    ) -> None:
        self._state = state
        self._registry = registry
        self._confirmations = confirmations
        self._budget = budget

    def place(self, pending: _pending.Pending, now: float) -> _reads.Placement:
        """Try to hand a write to the primary."""
        conn = self.primary_conn(pending, now)
        if conn is None:
            return _reads.Placement.BLOCKED
        job = self._job(pending, conn)
        self._state.start_job(conn, job, pending, pending.req.deadline, now)
        return _reads.Placement.TAKEN

    def primary_conn(
        self, pending: _pending.Pending, now: float
    ) -> _pool.Conn | None:
        """Give an idle connection to a primary that may be written to."""
        state = self._state
        pending.waiting_for = _types.Code.NO_PRIMARY
        pending.needs_permission = True
        if state.row is None or not state.primary_accepts_requests(now):
            return None
        if not state.may_acknowledge(now):
            return None
        pending.needs_permission = False
        tenant = state.tenant_of(pending.req)
        conn = state.pool.idle(state.row.primary, tenant)
        if conn is None:
            if state.pool.in_use(state.row.primary):
                pending.waiting_for = _types.Code.OVERLOADED
            pressed = self._registry.is_pressed(pending, now)
            state.open_if_allowed(state.row.primary, tenant, now, pressed)
            return None
        pending.sent_to = pending.last_sent_to = state.row.primary
        pending.tries += 1
        return conn

    def started(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> bool:
        """Take in the end of a write's statements; commit if all is well."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._start_failed(pending, outcome, now)
        state = self._state
        pending.results = outcome.results
        if not self.right_primary(conn, outcome):
            self.roll_back(conn, outcome, now)
            return self.again(pending, _types.Code.NO_PRIMARY, now)
        if outcome.replayed:
            pending.replayed = True
            self.committed(pending, outcome.after_lsn, now)
            return False
        if pending.req.key is not None:
            # The key's record was free, so no earlier try has committed.
            pending.commit_sent = False
        if not state.may_acknowledge(now):
            self.roll_back(conn, outcome, now)
            return self.again(pending, _types.Code.NO_PRIMARY, now)
        self._commit(pending, conn, now)
        return False

    def written(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> bool:
        """Take in the end of a write that commits by itself."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._write_failed(pending, outcome, now)
        self._registry.service.served(now - sent_at)
        pending.results = outcome.results
        if not self.right_primary(conn, outcome):
            return self.unsettled(pending, _types.Code.UNCONFIRMED, now)
        self.committed(pending, outcome.after_lsn, now)
        return False

    def _write_failed(
        self,
        pending: _pending.Pending,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        """Nothing is kept unless the connection gave no clear answer."""
        if failed.failure in (_jobs.Failure.LOST, _jobs.Failure.TIMEOUT):
            return self.unsettled(pending, _types.Code.CONN_LOST, now)
        pending.commit_sent = False
        if failed.failure in _reads.NOT_RUN:
            self._state.emit(_events.FetchRow())
            return self.again(pending, _reads.NOT_RUN[failed.failure], now)
        self._registry.refuse(
            pending, _types.Code.STATEMENT_FAILED, failed.detail
        )
        return False

    def commit_ended(
        self,
        pending: _pending.Pending,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> bool:
        """Take in the end of a commit."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobDone):
            self._registry.service.served(now - sent_at)
            self.committed(pending, outcome.after_lsn, now)
            return False
        if outcome.failure in ROLLED_BACK:
            # The endpoint refused the commit, which rolls back.
            pending.commit_sent = False
            self._registry.refuse(
                pending, _types.Code.STATEMENT_FAILED, outcome.detail
            )
            return False
        return self.unsettled(pending, _types.Code.CONN_LOST, now)

    def committed(
        self, pending: _pending.Pending, lsn: int, now: float
    ) -> None:
        """Let a committed write wait until enough endpoints hold it."""
        pending.commit_sent = True
        row = self._state.row
        assert row is not None
        self._confirmations.add(pending, lsn, row.term)

    def acknowledge(self, pending: _pending.Pending, now: float) -> bool:
        """Acknowledge a confirmed write, if that is still permitted."""
        state = self._state
        if not state.may_acknowledge(now):
            return self.unsettled(pending, _types.Code.UNCONFIRMED, now)
        row = state.row
        assert row is not None
        _types.invariant(
            pending.confirm_term == row.term == state.permission.term,
            'a write of another term was about to be acknowledged',
        )
        position = _types.Position(row.term, pending.confirm_lsn)
        answer = _types.Answer(
            _types.Outcome.DONE,
            results=pending.results,
            position=position,
            endpoint=row.primary,
            replayed=pending.replayed,
            acknowledge_until=state.permission.valid_until(),
        )
        self._registry.answer(pending, answer)
        return False

    def unsettled(
        self, pending: _pending.Pending, code: _types.Code, now: float
    ) -> bool:
        """Handle a write that may have committed: find out, or say so."""
        pending.commit_sent = True
        if pending.safe_to_retry:
            return self.again(pending, code, now)
        self._registry.answer_unknown(pending, code)
        return False

    def again(
        self, pending: _pending.Pending, code: _types.Code, now: float
    ) -> bool:
        """Let a request wait for another try, if budget and time allow."""
        pending.waiting_for = code
        pause = _retry.pause(pending.tries, self._state.rng)
        pending.not_before = now + pause
        if pending.not_before >= pending.req.deadline:
            self._registry.refuse(pending, code)
            return False
        if not self._budget.take():
            self._registry.refuse(pending, code)
            return False
        return True

    def right_primary(self, conn: _pool.Conn, done: _jobs.JobDone) -> bool:
        """Tell whether the connection is to the current term's primary."""
        row = self._state.row
        if row is None or conn.endpoint != row.primary:
            return False
        if self._state.is_current(conn.endpoint, done.report):
            return True
        self._state.emit(_events.FetchRow())
        return False

    def roll_back(
        self, conn: _pool.Conn, done: _jobs.JobDone, now: float
    ) -> None:
        """Undo what was started on a connection, unless nothing was."""
        if done.replayed:
            return
        self._state.start_job(
            conn, _jobs.RollbackJob(), None, now + SETTLE_TIME, now
        )

    def _job(
        self, pending: _pending.Pending, conn: _pool.Conn
    ) -> _jobs.WriteJob | _jobs.StartJob:
        req = pending.req
        setup = _setup.setup_for(conn, req, req.statements)
        if not req.autocommit:
            return attrs.evolve(self._start_job(pending), setup=setup)
        _types.invariant(
            not pending.commit_sent or pending.safe_to_retry,
            'a write that may have run was sent again',
        )
        pending.commit_sent = True
        return _jobs.WriteJob(req.statements[0], setup)

    def _start_job(self, pending: _pending.Pending) -> _jobs.StartJob:
        return _jobs.StartJob(
            pending.req.statements, pending.req.key, pending.req.fingerprint
        )

    def _commit(
        self, pending: _pending.Pending, conn: _pool.Conn, now: float
    ) -> None:
        pending.commit_sent = True
        pending.sent_to = conn.endpoint
        job = _jobs.CommitJob(pending.req.key, pending.results)
        deadline = max(pending.req.deadline, now + SETTLE_TIME / 10)
        self._state.start_job(conn, job, pending, deadline, now)

    def _start_failed(
        self,
        pending: _pending.Pending,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        """Nothing was committed: the connection ended or rolled back."""
        if failed.failure is _jobs.Failure.LOST:
            return self.again(pending, _types.Code.CONN_LOST, now)
        if pending.req.key is not None and failed.failure in _PAST_KEY:
            pending.commit_sent = False
        code = {
            _jobs.Failure.STATEMENT: _types.Code.STATEMENT_FAILED,
            _jobs.Failure.KEY_REUSED: _types.Code.KEY_REUSED,
            _jobs.Failure.TOO_LARGE: _types.Code.RESULT_TOO_LARGE,
        }.get(failed.failure, _types.Code.DEADLINE)
        self._registry.refuse(pending, code, failed.detail)
        return False

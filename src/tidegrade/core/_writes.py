"""The write path: single-request writes and their commits.

The primary runs the statements, the proxy checks the term and commits, a
majority confirms if the group asks for it, and the caller gets the answer.
"""

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

#: Time limit of a rollback, in seconds. A commit gets at least a tenth of
#: it, even if the deadline of its request is closer.
END_TXN_TIMEOUT_S = 1.0

#: Failures after which the idempotency key is known to have no record of
#: this request, so no earlier try of the request has committed.
_KEY_NOT_RECORDED = frozenset(
    {
        _jobs.Failure.STATEMENT,
        _jobs.Failure.KEY_REUSED,
        _jobs.Failure.TOO_LARGE,
    }
)


#: Failures of a commit that rolled the transaction back.
ROLLED_BACK_FAILURES = frozenset(
    {_jobs.Failure.STATEMENT, _jobs.Failure.NOT_PRIMARY}
)


class WritePath:
    """Sends queued writes to the primary and answers them.

    Unless stated otherwise, a method that returns a ``bool`` returns whether
    the request must be tried again.
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
        """Try to send a write to the primary."""
        conn = self.primary_conn(pending, now)
        if conn is None:
            return _reads.Placement.BLOCKED
        job = self._job(pending, conn)
        self._state.start_job(conn, job, pending, pending.req.deadline, now)
        return _reads.Placement.TAKEN

    def primary_conn(
        self, pending: _pending.Pending, now: float
    ) -> _pool.Conn | None:
        """Return an idle connection to the primary, if it may be written to.

        Returns None without a primary, a permission to acknowledge or an
        idle connection; in the last case one is opened if allowed.
        """
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
            grow = self._registry.should_grow(pending, now)
            state.open_if_allowed(state.row.primary, tenant, now, grow)
            return None
        pending.sent_to = pending.last_sent_to = state.row.primary
        pending.tries += 1
        pending.to_primary, pending.report = True, None
        return conn

    def start_ended(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> bool:
        """Handle the end of a write's statements.

        The write is committed if the primary and the permission of the
        current term still stand, and rolled back otherwise.
        """
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._start_failed(pending, outcome, now)
        state = self._state
        pending.results = outcome.results
        if not self.is_current_primary(conn, outcome):
            self.roll_back(conn, outcome, now)
            return self.schedule_retry(pending, _types.Code.NO_PRIMARY, now)
        if outcome.replayed:
            pending.replayed = True
            self.await_confirmation(pending, outcome.after_lsn, now)
            return False
        if pending.req.key is not None:
            # The key had no record yet, so no earlier try has committed.
            pending.commit_sent = False
        if not state.may_acknowledge(now):
            self.roll_back(conn, outcome, now)
            return self.schedule_retry(pending, _types.Code.NO_PRIMARY, now)
        self._commit(pending, conn, now)
        return False

    def write_ended(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> bool:
        """Handle the end of a write that the endpoint commits by itself."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._write_failed(pending, outcome, now)
        self._registry.service.served(now - sent_at)
        pending.results = outcome.results
        if not self.is_current_primary(conn, outcome):
            return self.handle_unknown_outcome(
                pending, _types.Code.UNCONFIRMED, now
            )
        return self.commit_done(pending, outcome, now)

    def _write_failed(
        self,
        pending: _pending.Pending,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        """Handle a failed write that the endpoint commits by itself.

        It was rolled back, unless the connection was lost or timed out:
        then its outcome is unknown.
        """
        if failed.failure in (_jobs.Failure.LOST, _jobs.Failure.TIMEOUT):
            return self.handle_unknown_outcome(
                pending, _types.Code.CONN_LOST, now
            )
        pending.commit_sent = False
        if failed.failure in _reads.NOT_RUN_CODES:
            self._state.emit(_events.FetchRow())
            return self.schedule_retry(
                pending, _reads.NOT_RUN_CODES[failed.failure], now
            )
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
        """Handle the end of a commit."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobDone):
            self._registry.service.served(now - sent_at)
            return self.commit_done(pending, outcome, now)
        if outcome.failure in ROLLED_BACK_FAILURES:
            # The endpoint refused the commit and rolled back.
            pending.commit_sent = False
            self._registry.refuse(
                pending, _types.Code.STATEMENT_FAILED, outcome.detail
            )
            return False
        return self.handle_unknown_outcome(pending, _types.Code.CONN_LOST, now)

    def commit_done(
        self, pending: _pending.Pending, done: _jobs.JobDone, now: float
    ) -> bool:
        """Handle a commit that the endpoint has carried out.

        Without its position, later reads of the session could not be told
        from those that lack it, so it is not acknowledged.
        """
        if done.report.repeats_position:
            return self.handle_unknown_outcome(
                pending, _types.Code.UNCONFIRMED, now
            )
        self.await_confirmation(pending, done.after_lsn, now)
        return False

    def await_confirmation(
        self, pending: _pending.Pending, lsn: int, now: float
    ) -> None:
        """Queue a committed write until enough endpoints have confirmed it."""
        pending.commit_sent = True
        row = self._state.row
        assert row is not None
        self._confirmations.add(pending, lsn, row.term)

    def acknowledge(self, pending: _pending.Pending, now: float) -> bool:
        """Acknowledge a confirmed write.

        Without a valid permission of its term, the write may be lost in a
        failover; its outcome is then treated as unknown.
        """
        state = self._state
        if not state.may_acknowledge(now):
            return self.handle_unknown_outcome(
                pending, _types.Code.UNCONFIRMED, now
            )
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
            acknowledge_until=state.permission.expires_at(),
        )
        self._registry.answer(pending, answer)
        return False

    def handle_unknown_outcome(
        self, pending: _pending.Pending, code: _types.Code, now: float
    ) -> bool:
        """Handle a write that may have committed.

        A repeatable write is retried, which finds out; the caller of any
        other gets the outcome ``unknown``.
        """
        pending.commit_sent = True
        if pending.safe_to_retry:
            return self.schedule_retry(pending, code, now)
        self._registry.answer_unknown(pending, code)
        return False

    def schedule_retry(
        self, pending: _pending.Pending, code: _types.Code, now: float
    ) -> bool:
        """Schedule another try of a request after a backoff.

        The request is refused with ``code`` if its deadline comes first or
        the retry budget is empty.
        """
        pending.waiting_for = code
        backoff = _retry.backoff(pending.tries, self._state.rng)
        pending.not_before = now + backoff
        if pending.not_before >= pending.req.deadline:
            self._registry.refuse(pending, code)
            return False
        if not self._budget.withdraw():
            self._registry.refuse(pending, code)
            return False
        return True

    def is_current_primary(
        self, conn: _pool.Conn, done: _jobs.JobDone
    ) -> bool:
        """Return whether the job ran on the current term's primary."""
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
        """Roll back the transaction that a job has opened on a connection.

        A replayed job has opened none.
        """
        if done.replayed:
            return
        self._state.start_job(
            conn, _jobs.RollbackJob(), None, now + END_TXN_TIMEOUT_S, now
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
        deadline = max(pending.req.deadline, now + END_TXN_TIMEOUT_S / 10)
        self._state.start_job(conn, job, pending, deadline, now)

    def _start_failed(
        self,
        pending: _pending.Pending,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        """Handle failed statements; the endpoint has committed nothing.

        A lost connection leads to a retry, every other failure to a refusal.
        """
        if failed.failure is _jobs.Failure.LOST:
            return self.schedule_retry(pending, _types.Code.CONN_LOST, now)
        if pending.req.key is not None and failed.failure in _KEY_NOT_RECORDED:
            pending.commit_sent = False
        code = {
            _jobs.Failure.STATEMENT: _types.Code.STATEMENT_FAILED,
            _jobs.Failure.KEY_REUSED: _types.Code.KEY_REUSED,
            _jobs.Failure.TOO_LARGE: _types.Code.RESULT_TOO_LARGE,
        }.get(failed.failure, _types.Code.DEADLINE)
        self._registry.refuse(pending, code, failed.detail)
        return False

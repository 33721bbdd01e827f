"""Interactive transactions, each pinned to one connection.

A transaction that only reads may be pinned to a replica.
"""

import attrs

from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _pending
from tidegrade.core import _pool
from tidegrade.core import _reads
from tidegrade.core import _registry
from tidegrade.core import _setup
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core import _writes

#: Random bits in a transaction's name, which make it unguessable.
TXN_NAME_BITS = 96

#: Answer codes for failures that a retry can't resolve.
_FINAL_CODES = {
    _jobs.Failure.STATEMENT: _types.Code.STATEMENT_FAILED,
    _jobs.Failure.TOO_LARGE: _types.Code.RESULT_TOO_LARGE,
    _jobs.Failure.TIMEOUT: _types.Code.DEADLINE,
}


@attrs.define(eq=False)
class Transaction:
    """An open transaction.

    ``queue_key`` is that of the requests that may use it, ``conn`` the
    number of its connection. ``started_at`` and ``last_used_at`` are in
    seconds on the proxy's clock. ``pending`` is the request that is running
    in it, if any.
    """

    name: str
    queue_key: str
    conn: int
    started_at: float
    last_used_at: float
    pending: _pending.Pending | None = None
    read_only: bool = False


@attrs.define(eq=False)
class TxnStep:
    """A transaction and the request whose job is running in it."""

    txn: Transaction
    pending: _pending.Pending


class Transactions:
    """The interactive transactions that this proxy has open."""

    def __init__(
        self,
        state: _state.GroupState,
        registry: _registry.Registry,
        writes: _writes.WritePath,
    ) -> None:
        self._state = state
        self._registry = registry
        self._writes = writes
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    # Begin ----------------------------------------------------------------

    def place_begin(
        self, pending: _pending.Pending, now: float
    ) -> _reads.Placement:
        """Try to begin a transaction on an idle connection to the primary."""
        waits = self._state.settings.traits.begin_waits
        if not waits and not self._has_capacity():
            self._registry.refuse(pending, _types.Code.TXN_LIMIT)
            return _reads.Placement.TAKEN
        conn = self._writes.primary_conn(pending, now)
        if conn is None:
            return _reads.Placement.BLOCKED
        req = pending.req
        setup = _setup.setup_for(conn, req, req.statements)
        after = self._state.primary_position()
        job = _jobs.StartJob(req.statements, after=after, setup=setup)
        self._state.start_job(conn, job, pending, req.deadline, now)
        return _reads.Placement.TAKEN

    def begin_ended(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> bool:
        """Handle the end of a begin; return whether it must be retried."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._begin_failed(pending, outcome, now)
        read_only = pending.req.read_only
        if not read_only and not self._writes.is_current_primary(
            conn, outcome
        ):
            self._writes.roll_back(conn, outcome, now)
            code = _types.Code.NO_PRIMARY
            return self._writes.schedule_retry(pending, code, now)
        txn = self._register(conn, pending, now)
        row = self._state.row
        assert row is not None
        self._registry.answer(
            pending,
            _types.Answer(
                _types.Outcome.DONE,
                results=outcome.results,
                endpoint=conn.endpoint,
                from_replica=conn.endpoint != row.primary,
                txn=txn.name,
            ),
        )
        return False

    def _begin_failed(
        self,
        pending: _pending.Pending,
        failed: _jobs.JobFailed,
        now: float,
    ) -> bool:
        """Retry a failed begin unless the failure is final.

        A failed begin leaves no transaction open.
        """
        failure = failed.failure
        if failure in _FINAL_CODES:
            self._registry.refuse(
                pending, _FINAL_CODES[failure], failed.detail
            )
            return False
        if failure is _jobs.Failure.NOT_PRIMARY:
            self._state.emit(_events.FetchRow())
        if failure is _jobs.Failure.BEHIND:
            pending.misses += 1
        code = _reads.NOT_RUN_CODES.get(failure, _types.Code.CONN_LOST)
        return self._writes.schedule_retry(pending, code, now)

    def _has_capacity(self) -> bool:
        """Return whether another transaction may open.

        Where the proxy has two connections or more to the primary, one of
        them stays available for other requests.
        """
        row = self._state.row
        if row is None:
            return True
        conns = self._state.pool.share(row.primary).limit
        return len(self._open) < max(1, conns - 1)

    def _register(
        self, conn: _pool.Conn, pending: _pending.Pending, now: float
    ) -> Transaction:
        nonce = self._state.rng.getrandbits(TXN_NAME_BITS)
        name = f'{self._state.settings.proxy_id}~{nonce:024x}'
        txn = Transaction(
            name,
            pending.req.queue_key,
            conn.id,
            now,
            now,
            read_only=pending.req.read_only,
        )
        conn.state = _pool.ConnState.PINNED
        self._open[name] = txn
        return txn

    # Steps ----------------------------------------------------------------

    def run_step(self, pending: _pending.Pending, now: float) -> None:
        """Run a statement, commit or rollback in an open transaction.

        A request for an unknown transaction, or for one in which another
        request is running, is refused.
        """
        txn = self._open.get(pending.req.txn)
        if txn is None or txn.queue_key != pending.req.queue_key:
            self._registry.refuse(
                pending,
                _types.Code.TXN_UNKNOWN,
                'no such transaction is open; it was rolled back or ended',
            )
            return
        if txn.pending is not None:
            self._registry.refuse(pending, _types.Code.TXN_BUSY)
            return
        conn = self._state.pool.get(txn.conn)
        _types.invariant(
            conn is not None and conn.state is _pool.ConnState.PINNED,
            'an open transaction has no pinned connection',
        )
        assert conn is not None
        self._start_step(txn, pending, conn, now)

    def step_ended(
        self,
        step: TxnStep,
        conn: _pool.Conn,
        job: _jobs.Job,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> None:
        """Handle the end of a statement, commit or rollback."""
        step.txn.pending = None
        step.txn.last_used_at = now
        step.pending.sent_to = ''
        if isinstance(job, _jobs.ExecuteJob):
            self._executed(step, conn, outcome)
        elif isinstance(job, _jobs.CommitJob):
            self._forget(step.txn)
            self._committed(step, outcome, now)
        else:
            self._forget(step.txn)
            self._rolled_back(step)

    def _start_step(
        self,
        txn: Transaction,
        pending: _pending.Pending,
        conn: _pool.Conn,
        now: float,
    ) -> None:
        job = self._job_of(pending, conn)
        if isinstance(job, _jobs.CommitJob):
            if not self._may_commit(txn, now):
                self._roll_back(txn, now)
                self._registry.refuse(
                    pending,
                    _types.Code.NO_PRIMARY,
                    'the primary changed; the transaction was rolled back',
                )
                return
            pending.commit_sent = True
        txn.pending = pending
        pending.sent_to = pending.last_sent_to = conn.endpoint
        pending.tries += 1
        row = self._state.row
        pending.to_primary = row is not None and conn.endpoint == row.primary
        step = TxnStep(txn, pending)
        self._state.start_job(conn, job, step, pending.req.deadline, now)

    def _job_of(
        self, pending: _pending.Pending, conn: _pool.Conn
    ) -> _jobs.Job:
        req = pending.req
        if req.kind is _types.Kind.COMMIT:
            own = req.statements[0] if req.statements else None
            return _jobs.CommitJob(statement=own)
        if req.kind is _types.Kind.ROLLBACK:
            return _jobs.RollbackJob()
        setup = _setup.setup_for(conn, req, req.statements)
        return _jobs.ExecuteJob(req.statements, setup)

    def _may_commit(self, txn: Transaction, now: float) -> bool:
        if txn.read_only:
            return True
        conn = self._state.pool.get(txn.conn)
        row = self._state.row
        if conn is None or row is None or conn.endpoint != row.primary:
            return False
        return self._state.may_acknowledge(now)

    def _executed(
        self,
        step: TxnStep,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
    ) -> None:
        if isinstance(outcome, _jobs.JobDone):
            conn.state = _pool.ConnState.PINNED
            self._registry.answer(
                step.pending,
                _types.Answer(
                    _types.Outcome.DONE,
                    results=outcome.results,
                    endpoint=conn.endpoint,
                    txn=step.txn.name,
                ),
            )
            return
        self._forget(step.txn)
        code = _FINAL_CODES.get(outcome.failure) or _reads.NOT_RUN_CODES.get(
            outcome.failure, _types.Code.CONN_LOST
        )
        detail = f'{outcome.detail} (the transaction was rolled back)'
        self._registry.refuse(step.pending, code, detail.strip())

    def _committed(
        self, step: TxnStep, outcome: _jobs.JobOutcome, now: float
    ) -> None:
        if isinstance(outcome, _jobs.JobDone):
            step.pending.results = outcome.results
            if step.txn.read_only:
                self._answer_read_only(step)
            elif outcome.report.repeats_position:
                # A commit of unknown position is not acknowledged.
                self._registry.answer_unknown(
                    step.pending, _types.Code.UNCONFIRMED
                )
            else:
                self._writes.await_confirmation(
                    step.pending, outcome.after_lsn, now
                )
        elif (
            step.txn.read_only
            or outcome.failure in _writes.ROLLED_BACK_FAILURES
        ):
            step.pending.commit_sent = False
            code = _FINAL_CODES.get(
                outcome.failure
            ) or _reads.NOT_RUN_CODES.get(
                outcome.failure, _types.Code.CONN_LOST
            )
            self._registry.refuse(step.pending, code, outcome.detail)
        else:
            self._registry.answer_unknown(step.pending, _types.Code.CONN_LOST)

    def _answer_read_only(self, step: TxnStep) -> None:
        """Answer a read-only commit, which needs no permission."""
        step.pending.commit_sent = False
        self._registry.answer(
            step.pending,
            _types.Answer(_types.Outcome.DONE, results=step.pending.results),
        )

    def _rolled_back(self, step: TxnStep) -> None:
        # The answer is the same if the job failed: the endpoint also rolls
        # back when the connection is lost.
        self._registry.answer(step.pending, _types.Answer(_types.Outcome.DONE))

    # Limits ---------------------------------------------------------------

    def expire(self, now: float) -> None:
        """Roll back idle transactions that exceed a time limit.

        The limits are ``txn_limit_s`` since the begin and ``txn_idle_s``
        since the last step. A running step is not interrupted.
        """
        cfg = self._state.cfg
        for txn in list(self._open.values()):
            if txn.pending is not None:
                continue
            too_old = now - txn.started_at > cfg.txn_limit_s
            if too_old or now - txn.last_used_at > cfg.txn_idle_s:
                self._roll_back(txn, now)

    def conn_lost(self, conn: _pool.Conn) -> None:
        """Forget the transaction whose connection closed between steps."""
        for txn in list(self._open.values()):
            if txn.conn == conn.id:
                self._forget(txn)

    def end_off_primary(self, primary: str, now: float) -> None:
        """Roll back idle transactions on endpoints other than ``primary``."""
        for txn in list(self._open.values()):
            conn = self._state.pool.get(txn.conn)
            elsewhere = conn is None or conn.endpoint != primary
            if elsewhere and txn.pending is None:
                self._roll_back(txn, now)

    def end_all(self, now: float) -> None:
        """Roll back all transactions."""
        for txn in list(self._open.values()):
            self._roll_back(txn, now)

    def _roll_back(self, txn: Transaction, now: float) -> None:
        self._forget(txn)
        conn = self._state.pool.get(txn.conn)
        if conn is None or conn.state is not _pool.ConnState.PINNED:
            return
        conn.state = _pool.ConnState.IDLE
        self._state.start_job(
            conn,
            _jobs.RollbackJob(),
            None,
            now + _writes.END_TXN_TIMEOUT_S,
            now,
        )

    def _forget(self, txn: Transaction) -> None:
        self._open.pop(txn.name, None)

"""Interactive transactions: each owns one connection to the primary."""

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

#: Random bits in a transaction's name, so that nobody guesses one.
NAME_BITS = 96

#: Failures that trying again can't mend.
_FINAL = {
    _jobs.Failure.STATEMENT: _types.Code.STATEMENT_FAILED,
    _jobs.Failure.TOO_LARGE: _types.Code.RESULT_TOO_LARGE,
    _jobs.Failure.TIMEOUT: _types.Code.DEADLINE,
}


@attrs.define(eq=False)
class Transaction:
    """An open transaction and the request that uses it, if any."""

    name: str
    line: str
    conn: int
    started: float
    used: float
    user: _pending.Pending | None = None
    read_only: bool = False


@attrs.define(eq=False)
class TxnStep:
    """The owner of a job that belongs to a transaction."""

    txn: Transaction
    pending: _pending.Pending


class Transactions:
    """The transactions that this proxy keeps open for callers."""

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
        """Try to begin a transaction on a connection of its own."""
        waits = self._state.settings.traits.begin_waits
        if not waits and not self._room():
            self._registry.refuse(pending, _types.Code.TXN_LIMIT)
            return _reads.Placement.TAKEN
        conn = self._writes.primary_conn(pending, now)
        if conn is None:
            return _reads.Placement.BLOCKED
        req = pending.req
        setup = _setup.setup_for(conn, req, req.statements)
        job = _jobs.StartJob(req.statements, setup=setup)
        self._state.start_job(conn, job, pending, req.deadline, now)
        return _reads.Placement.TAKEN

    def begun(
        self,
        pending: _pending.Pending,
        conn: _pool.Conn,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> bool:
        """Take in the end of a begin; True asks for another try."""
        pending.sent_to = ''
        if isinstance(outcome, _jobs.JobFailed):
            return self._begin_failed(pending, outcome, now)
        read_only = pending.req.read_only
        if not read_only and not self._writes.right_primary(conn, outcome):
            self._writes.roll_back(conn, outcome, now)
            code = _types.Code.NO_PRIMARY
            return self._writes.again(pending, code, now)
        txn = self._open_on(conn, pending, now)
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
        """Nothing is kept: try again, unless a statement itself failed."""
        failure = failed.failure
        if failure in _FINAL:
            self._registry.refuse(pending, _FINAL[failure], failed.detail)
            return False
        if failure is _jobs.Failure.NOT_PRIMARY:
            self._state.emit(_events.FetchRow())
        if failure is _jobs.Failure.BEHIND:
            pending.misses += 1
        code = _reads.NOT_RUN.get(failure, _types.Code.CONN_LOST)
        return self._writes.again(pending, code, now)

    def _room(self) -> bool:
        """Keep one connection free of transactions, where there are two."""
        row = self._state.row
        if row is None:
            return True
        share = self._state.pool.share(row.primary).most
        return len(self._open) < max(1, share - 1)

    def _open_on(
        self, conn: _pool.Conn, pending: _pending.Pending, now: float
    ) -> Transaction:
        secret = self._state.rng.getrandbits(NAME_BITS)
        name = f'{self._state.settings.proxy_id}~{secret:024x}'
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

    # Use ------------------------------------------------------------------

    def use(self, pending: _pending.Pending, now: float) -> None:
        """Run a statement, commit or rollback in an open transaction."""
        txn = self._open.get(pending.req.txn)
        if txn is None or txn.line != pending.req.queue_key:
            self._registry.refuse(
                pending,
                _types.Code.TXN_UNKNOWN,
                'no such transaction is open; it was rolled back or ended',
            )
            return
        if txn.user is not None:
            self._registry.refuse(pending, _types.Code.TXN_BUSY)
            return
        conn = self._state.pool.get(txn.conn)
        _types.invariant(
            conn is not None and conn.state is _pool.ConnState.PINNED,
            'a transaction without its connection',
        )
        assert conn is not None
        self._run_step(txn, pending, conn, now)

    def step_ended(
        self,
        step: TxnStep,
        conn: _pool.Conn,
        job: _jobs.Job,
        outcome: _jobs.JobOutcome,
        now: float,
    ) -> None:
        """Take in the end of a statement, commit or rollback."""
        step.txn.user = None
        step.txn.used = now
        step.pending.sent_to = ''
        if isinstance(job, _jobs.ExecuteJob):
            self._executed(step, conn, outcome)
        elif isinstance(job, _jobs.CommitJob):
            self._forget(step.txn)
            self._committed(step, outcome, now)
        else:
            self._forget(step.txn)
            self._rolled_back(step)

    def _run_step(
        self,
        txn: Transaction,
        pending: _pending.Pending,
        conn: _pool.Conn,
        now: float,
    ) -> None:
        job = self._job_of(pending, conn)
        if isinstance(job, _jobs.CommitJob):
            if not self._may_commit(txn, now):
                self._end(txn, now)
                self._registry.refuse(
                    pending,
                    _types.Code.NO_PRIMARY,
                    'the primary changed; the transaction was rolled back',
                )
                return
            pending.commit_sent = True
        txn.user = pending
        pending.sent_to = pending.last_sent_to = conn.endpoint
        pending.tries += 1
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
        code = _FINAL.get(outcome.failure) or _reads.NOT_RUN.get(
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
            else:
                self._writes.committed(step.pending, outcome.after_lsn, now)
        elif step.txn.read_only or outcome.failure in _writes.ROLLED_BACK:
            step.pending.commit_sent = False
            code = _FINAL.get(outcome.failure) or _reads.NOT_RUN.get(
                outcome.failure, _types.Code.CONN_LOST
            )
            self._registry.refuse(step.pending, code, outcome.detail)
        else:
            self._registry.answer_unknown(step.pending, _types.Code.CONN_LOST)

    def _answer_read_only(self, step: TxnStep) -> None:
        """End a transaction that wrote nothing: no permission is needed."""
        step.pending.commit_sent = False
        self._registry.answer(
            step.pending,
            _types.Answer(_types.Outcome.DONE, results=step.pending.results),
        )

    def _rolled_back(self, step: TxnStep) -> None:
        # Also a lost connection rolls back what was not committed.
        self._registry.answer(step.pending, _types.Answer(_types.Outcome.DONE))

    # Limits ---------------------------------------------------------------

    def expire(self, now: float) -> None:
        """End the transactions that are over a limit and not in use."""
        cfg = self._state.cfg
        for txn in list(self._open.values()):
            if txn.user is not None:
                continue
            too_old = now - txn.started > cfg.txn_limit_s
            if too_old or now - txn.used > cfg.txn_idle_s:
                self._end(txn, now)

    def conn_lost(self, conn: _pool.Conn) -> None:
        """Forget the transaction whose idle connection has ended."""
        for txn in list(self._open.values()):
            if txn.conn == conn.id:
                self._forget(txn)

    def end_elsewhere(self, primary: str, now: float) -> None:
        """End the unused transactions on endpoints other than this."""
        for txn in list(self._open.values()):
            conn = self._state.pool.get(txn.conn)
            gone = conn is None or conn.endpoint != primary
            if gone and txn.user is None:
                self._end(txn, now)

    def _end(self, txn: Transaction, now: float) -> None:
        self._forget(txn)
        conn = self._state.pool.get(txn.conn)
        if conn is None or conn.state is not _pool.ConnState.PINNED:
            return
        conn.state = _pool.ConnState.IDLE
        self._state.start_job(
            conn, _jobs.RollbackJob(), None, now + _writes.SETTLE_TIME, now
        )

    def _forget(self, txn: Transaction) -> None:
        self._open.pop(txn.name, None)

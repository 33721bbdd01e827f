"""A fake database instance: a log of transactions and what it implies."""

import typing

import attrs

from tidegrade import core

#: Bytes of log that each entry takes.
ENTRY_SIZE = 10


@attrs.frozen(eq=False)
class Entry:
    """A committed transaction; ``mark`` is a term written by a promotion.

    ``puts`` are pairs of a variable and its new value; ``key`` comes with
    the fingerprint and results kept for it.
    """

    mark: int = 0
    fork_lsn: int = 0
    puts: tuple[tuple[str, object], ...] = ()
    key: str | None = None
    fingerprint: str = ''
    results: tuple[core.ResultSet, ...] = ()
    committed_at: float = 0.0


@attrs.define(eq=False)
class OpenTxn:
    """What a connection has started and not committed."""

    job: core.StartJob
    puts: list[tuple[str, object]] = attrs.field(factory=list)


class Blocked(Exception):
    """The job must wait for another transaction, as for a row lock."""


class FakeEndpoint:
    """One instance; whoever drives it passes the time."""

    def __init__(self, name: str, upstream: str, cap: int) -> None:
        self.name = name
        self.cap = cap
        self.alive = True
        self.in_recovery = bool(upstream)
        self.upstream = upstream
        self.promised = 0
        self.log: list[Entry] = []
        self.received_at: list[float] = []
        self.applied = 0
        self.ship_delay = 0.002
        self.apply_delay = 0.005
        self.conns: set[typing.Any] = set()
        self.peak_conns = 0
        self.txns: dict[object, OpenTxn] = {}

    # State ----------------------------------------------------------------

    def report(self) -> core.EndpointReport:
        """Give what the endpoint says of itself."""
        marks = [e.mark for e in self.log[: self.applied] if e.mark]
        marker = max(marks, default=0)
        return core.EndpointReport(
            in_recovery=self.in_recovery,
            lsn=self.applied * ENTRY_SIZE,
            received=core.Position(marker, len(self.log) * ENTRY_SIZE),
            marker=marker,
            promised=self.promised,
        )

    def value(self, name: str) -> object:
        """Give a variable's value in the applied data."""
        for entry in reversed(self.log[: self.applied]):
            for put, value in reversed(entry.puts):
                if put == name:
                    return value
        return None

    def find_key(self, key: str) -> Entry | None:
        """Give the transaction that recorded a key."""
        for entry in self.log[: self.applied]:
            if entry.key == key:
                return entry
        return None

    # Connections ----------------------------------------------------------

    def connect(self, conn: object) -> bool:
        """Take a connection unless the cap is reached."""
        if len(self.conns) >= self.cap:
            return False
        self.conns.add(conn)
        self.peak_conns = max(self.peak_conns, len(self.conns))
        return True

    def disconnect(self, conn: object) -> None:
        """Forget a connection and roll its transaction back."""
        self.conns.discard(conn)
        self.txns.pop(conn, None)

    def restart(self) -> None:
        """Come back after a kill; the log and the promise have lasted."""

    # Replication ----------------------------------------------------------

    def follow(self, upstream: 'FakeEndpoint', now: float) -> None:
        """Take what the upstream has shipped by now; apply what is due."""
        if self.in_recovery and self._same_history(upstream):
            for entry in upstream.log[len(self.log) :]:
                if entry.committed_at + self.ship_delay > now:
                    break
                self.log.append(entry)
                self.received_at.append(now)

    def rewind(self, primary: 'FakeEndpoint') -> None:
        """Become a replica with what this log shares with the primary's."""
        if self.in_recovery and self._same_history(primary):
            return
        shared = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own is not other:
                break
            shared += 1
        del self.log[shared:]
        del self.received_at[shared:]
        self.applied = min(self.applied, shared)
        self.in_recovery = True
        self.upstream = primary.name
        self.txns.clear()

    def apply(self, now: float) -> None:
        """Apply what was received long enough ago."""
        while self.applied < len(self.log):
            if self.received_at[self.applied] + self.apply_delay > now:
                return
            self.applied += 1

    def _same_history(self, upstream: 'FakeEndpoint') -> bool:
        count = len(self.log)
        if count > len(upstream.log):
            return False
        return count == 0 or upstream.log[count - 1] is self.log[-1]

    # Jobs -----------------------------------------------------------------

    def run(self, conn: object, job: core.Job, now: float) -> core.JobOutcome:
        """Carry out a job; raises :class:`Blocked` if it must wait."""
        if isinstance(job, core.StatusJob):
            return self._done()
        if isinstance(job, core.ReadJob):
            return self._done(self._read(job))
        if isinstance(job, core.StartJob):
            return self._start(conn, job)
        if isinstance(job, core.ExecuteJob):
            return self._execute(conn, job)
        if isinstance(job, core.CommitJob):
            return self._commit(conn, job, now)
        if isinstance(job, core.RollbackJob):
            self.txns.pop(conn, None)
            return self._done()
        return self._control(job, now)

    def _control(self, job: core.Job, now: float) -> core.JobOutcome:
        if isinstance(job, core.SetupJob):
            if not self.log:
                self._append(Entry(mark=job.term, committed_at=now), now)
            return self._done()
        if isinstance(job, core.FenceJob):
            self.promised = max(self.promised, job.term)
            return self._done()
        if isinstance(job, core.FollowJob):
            if self.in_recovery:
                self.upstream = job.host
            return self._done()
        assert isinstance(job, core.PromoteJob)
        return self._promote(job, now)

    def _done(self, results: tuple[core.ResultSet, ...] = ()) -> core.JobDone:
        report = self.report()
        return core.JobDone(report, results, after_lsn=report.lsn)

    def _read(self, job: core.ReadJob) -> tuple[core.ResultSet, ...]:
        return tuple(
            core.ResultSet(('v',), ((self.value(str(s.params[0])),),), 1)
            for s in job.statements
        )

    def _start(self, conn: object, job: core.StartJob) -> core.JobOutcome:
        if job.key is not None:
            found = self.find_key(job.key)
            if found is not None:
                return self._replay(job, found)
            for other, txn in self.txns.items():
                if other != conn and txn.job.key == job.key:
                    raise Blocked
        if self.in_recovery and job.statements:
            return core.JobFailed(
                core.Failure.STATEMENT, 'read only', usable=True
            )
        txn = OpenTxn(job)
        self.txns[conn] = txn
        return self._stage(txn, job.statements)

    def _replay(self, job: core.StartJob, found: Entry) -> core.JobOutcome:
        if found.fingerprint != job.fingerprint:
            return core.JobFailed(core.Failure.KEY_REUSED, usable=True)
        done = self._done(found.results)
        return attrs.evolve(done, replayed=True)

    def _execute(self, conn: object, job: core.ExecuteJob) -> core.JobOutcome:
        txn = self.txns.get(conn)
        if txn is None:
            return core.JobFailed(core.Failure.LOST)
        return self._stage(txn, job.statements)

    def _stage(
        self, txn: OpenTxn, statements: tuple[core.Statement, ...]
    ) -> core.JobOutcome:
        for stmt in statements:
            txn.puts.append((str(stmt.params[0]), stmt.params[1]))
        results = tuple(core.ResultSet((), (), 1) for _ in statements)
        return core.JobDone(self.report(), results)

    def _commit(
        self, conn: object, job: core.CommitJob, now: float
    ) -> core.JobOutcome:
        txn = self.txns.pop(conn, None)
        if txn is None:
            return core.JobFailed(core.Failure.LOST)
        if self.in_recovery:
            return core.JobFailed(core.Failure.LOST)
        entry = Entry(
            puts=tuple(txn.puts),
            key=txn.job.key,
            fingerprint=txn.job.fingerprint,
            results=job.results,
            committed_at=now,
        )
        self._append(entry, now)
        return self._done()

    def _promote(self, job: core.PromoteJob, now: float) -> core.JobOutcome:
        if self.promised != job.term:
            return core.JobFailed(core.Failure.REFUSED)
        fork = core.NO_LOSS if job.reelected else self.report().lsn
        if self.in_recovery:
            self.applied = len(self.log)
            fork = self.report().lsn
            self.in_recovery = False
            self.upstream = ''
        marks = {e.mark for e in self.log if e.mark}
        if job.term not in marks:
            self._append(
                Entry(mark=job.term, fork_lsn=fork, committed_at=now), now
            )
        forks = [e.fork_lsn for e in self.log if e.mark > job.former_term]
        done = self._done()
        return attrs.evolve(done, fork_lsn=min(forks))

    def _append(self, entry: Entry, now: float) -> None:
        self.log.append(entry)
        self.received_at.append(now)
        self.applied = len(self.log)

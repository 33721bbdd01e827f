"""A fake instance whose promises can be lowered, cleared and forgotten.

So are those of the users' platform: suspending a replica with a lower term
lowers its promise, following again or the promotion of any instance clears
it, a restart forgets it, and while it holds one the replica receives nothing.
"""

from collections.abc import Callable

import attrs

from tidegrade import core
from tidegrade_fakes import _endpoint

#: What such instances can do.
TRAITS = core.Traits(
    checks_position=True,
    positions_restart=True,
    fence_stops_replication=True,
    promotion_clears_promises=True,
    begin_waits=True,
)


class ForgetfulEndpoint(_endpoint.FakeEndpoint):
    """One instance; its positions count from zero in each term.

    ``newest_term`` gives the newest term that any instance has led: the
    platform counts on from there, whatever this one has received.
    ``end_promises`` clears the promises of all replicas, which follow the
    named instance from then on.
    """

    newest_term: Callable[[], int] = lambda: 0
    end_promises: Callable[[str], None] = lambda _: None

    def report(self) -> core.EndpointReport:
        """Give what the instance says of itself."""
        term, received = self._reach(len(self.log))
        applied_term, applied = self._reach(self.applied)
        promised = self.promised
        if not self.in_recovery:
            promised = max(promised, term)
        return core.EndpointReport(
            in_recovery=self.in_recovery,
            lsn=applied if applied_term == term else 0,
            received=core.Position(term, received),
            marker=term,
            promised=promised,
        )

    def _reach(self, count: int) -> tuple[int, int]:
        """Give the term of a part of the log, and its length in it."""
        for index in range(count - 1, -1, -1):
            if self.log[index].mark:
                return self.log[index].mark, count - index - 1
        return 0, count

    def follow(self, upstream: _endpoint.FakeEndpoint, now: float) -> None:
        """Receive unless suspended; a log that parted is rolled back."""
        if self.promised or not self.in_recovery:
            return
        if not self._same_history(upstream):
            self.rewind(upstream)
        super().follow(upstream, now)

    def rewind(self, primary: _endpoint.FakeEndpoint) -> None:
        """Become a replica of a primary, unless suspended."""
        if not self.promised:
            super().rewind(primary)

    def restart(self) -> None:
        """Come back with the log and without the promise."""
        self.promised = 0

    def _control(self, job: core.Job, now: float) -> core.JobOutcome:
        if isinstance(job, core.FenceJob):
            return self._fence(job)
        if isinstance(job, core.FollowJob):
            if self.in_recovery:
                self.promised = 0
                self.upstream = job.host
            return self._done()
        return super()._control(job, now)

    def _fence(self, job: core.FenceJob) -> core.JobOutcome:
        """Carry out the order as the adapter does: it looks first."""
        seen = self.report()
        if (seen.promised or 0) >= job.term:
            return self._done()
        if not self.in_recovery:
            self.in_recovery = True
            self.upstream = ''
            self.txns.clear()
        self.promised = job.term
        return self._done()

    def _promote(self, job: core.PromoteJob, now: float) -> core.JobOutcome:
        if self.promised != job.term:
            return core.JobFailed(core.Failure.REFUSED, usable=True)
        return self.lead(now)

    def lead(self, now: float) -> core.JobOutcome:
        """Lead the next term, as the platform orders, whatever it holds."""
        term = self.newest_term()
        self.applied = len(self.log)
        self.in_recovery = False
        self.upstream = ''
        self.promised = 0
        self.end_promises(self.name)
        self._append(_endpoint.Entry(mark=term + 1, committed_at=now), now)
        return attrs.evolve(self._done(), fork_lsn=core.NO_LOSS)

    def run(self, conn: object, job: core.Job, now: float) -> core.JobOutcome:
        """Carry out a job; a read may name the position that it needs."""
        after = getattr(job, 'after', None)
        if after is not None:
            shown = self._reach(self.applied)
            if shown < (after.term, after.lsn):
                return core.JobFailed(
                    core.Failure.BEHIND, usable=True, report=self.report()
                )
        return super().run(conn, job, now)

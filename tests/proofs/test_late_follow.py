"""Histories in which a cut ends while a replica begins to follow again.

A supervisor fences a replica, and once the next term has begun for a time it
has the replica follow the new primary. This clears the replica's promise, and
until it has reached the new primary it still reports the former term. A proxy
that was cut off together with the former primary may reach it then.
"""

import attrs
import pytest
import tidegrade_fakes as fakes
from tidegrade_fakes import _forgetful
from tidegrade_fakes import _run

from tidegrade import config
from tidegrade import core

#: Time, in seconds, that a replica takes to reach the primary that it is told
#: to follow.
FOLLOW_S = 0.5
#: Time, in seconds, for which a former primary goes on once it can reach the
#: new one.
FORMER_PRIMARY_S = 1.0
#: Start of the cut, and the time for which a run goes on after it, in seconds.
CUT_AT_S = 3.0
REMAINDER_S = 1.2
#: Interval between two looks at the proxies and at replication, in seconds.
LOOK_S = 0.01

TRAITS = attrs.evolve(_forgetful.TRAITS, status_is_costly=True)


class SlowFollower(_forgetful.ForgetfulEndpoint):
    """An instance that takes time to reach the primary it is to follow."""

    follows_from = 0.0

    def _control(self, job: core.Job, now: float) -> core.JobOutcome:
        if isinstance(job, core.FollowJob) and self.promised:
            self.follows_from = now + FOLLOW_S
        return super()._control(job, now)

    def follow(self, upstream: 'SlowFollower', now: float) -> None:
        if now >= self.follows_from:
            super().follow(upstream, now)


class CutRun(_run.Run):
    """Cuts the primary's domain off for a time and then ends the cut."""

    def __init__(self, seed: int, cut_s: float) -> None:
        super().__init__(
            fakes.RunSettings(
                seed=seed,
                forgetful=True,
                acknowledge=config.Acknowledge.PRIMARY,
                fault_pause=1e9,
            )
        )
        self._cut_s = cut_s
        #: Time after the start of the cut at which the links between the
        #: domain's proxies and the replica are whole again, in seconds.
        self.replica_after_s = cut_s
        self._met_at: dict[str, float] = {}

    def carry_out(self) -> None:
        """Raise a violation if a proxy holds permission for a former term."""
        self._build()
        self.world.at(CUT_AT_S, self._cut_primary)
        self.world.at(LOOK_S, self._look)
        self.world.run_until(CUT_AT_S + self._cut_s + REMAINDER_S)
        assert self.account.newest_term > 1

    def _make_endpoint(
        self, name: str, upstream: str, cap: int
    ) -> SlowFollower:
        made = SlowFollower(name, upstream, cap)
        made.newest_term = self._newest_term
        made.end_promises = self._end_promises
        return made

    def _cut_primary(self) -> None:
        row = self.world.table.row
        assert row is not None
        domain = self.group.endpoints[row.primary].domain
        self._cut_off(domain, self._cut_s)
        former = row.primary
        self.world.at(self.replica_after_s, lambda: self._mend_replica(former))

    def _mend_replica(self, former: str) -> None:
        """End the cut between proxies and the replica, and no other."""
        row = self.world.table.row
        assert row is not None
        replicas = self.group.endpoints.keys() - {former, row.primary}
        proxies = self.world.proxies.keys()
        self.world.cut.difference_update(
            pair
            for pair in list(self.world.cut)
            if pair & replicas and pair & proxies
        )

    def _look(self) -> None:
        self.world.at(LOOK_S, self._look)
        for proxy in self.world.proxies.values():
            row = proxy.machine.row
            if row is None or row.term >= self.account.newest_term:
                continue
            if proxy.machine.may_acknowledge(proxy.clock()):
                raise fakes.Violation(
                    f'{proxy.name} may acknowledge and read in term'
                    f' {row.term} after a write of term'
                    f' {self.account.newest_term}'
                )

    def _repair(self) -> None:
        """Make a former primary a replica once it has met the new one."""
        self.world.at(LOOK_S, self._repair)
        row = self.world.table.row
        if row is None or row.attempt is not None:
            return
        primary = self.world.endpoints[row.primary]
        for endpoint in self.world.endpoints.values():
            if endpoint is primary or endpoint.in_recovery:
                continue
            if not self.world.connected(endpoint.name, primary.name):
                self._met_at.pop(endpoint.name, None)
                continue
            met_at = self._met_at.setdefault(endpoint.name, self.world.now)
            if self.world.now - met_at >= FORMER_PRIMARY_S:
                endpoint.rewind(primary)


@pytest.fixture(autouse=True)
def shared_reports(monkeypatch):
    """Let proxies poll as they poll instances whose status is costly."""
    monkeypatch.setattr(_forgetful, 'TRAITS', TRAITS)


@pytest.mark.parametrize(('seed', 'cut_s'), [(300, 3.5)])
def test_a_cut_ends_as_a_replica_resumes(seed, cut_s):
    """All links are whole at once; which answers first is chance."""
    CutRun(seed, cut_s).carry_out()


@pytest.mark.parametrize('seed', range(300, 304))
def test_a_resumed_replica_is_reached_before_all_others(seed):
    """Peers, the table and the new primary are reached a second later."""
    run = CutRun(seed, 5.5)
    run.replica_after_s = 2.5
    run.carry_out()

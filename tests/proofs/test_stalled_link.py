"""A cut-off proxy whose link to the replica that it still reaches stalls.

What is sent during the stall arrives at its end, as TCP sends a lost segment
again. The stall is shorter than the time limit of a poll.
"""

import attrs
import pytest
import tidegrade_fakes as fakes
from tidegrade_fakes import _endpoint
from tidegrade_fakes import _forgetful
from tidegrade_fakes import _run
from tidegrade_fakes import _world

from tidegrade import config
from tidegrade import core

TRAITS = attrs.evolve(_forgetful.TRAITS, status_is_costly=True)
CUT_AT_S = 3.0
LOOK_S = 0.01
#: Time that a replica takes to reach the new primary, in seconds.
FOLLOW_S = 0.8


class StallWorld(_world.World):
    """Holds back what the parties of some links send during a stall."""

    stalled: frozenset[frozenset[str]] = frozenset()
    stall_from = 0.0
    stall_until = 0.0

    def send(self, source, target, action):
        in_stall = self.stall_from <= self.now < self.stall_until
        if not in_stall or frozenset((source, target)) not in self.stalled:
            super().send(source, target, action)
            return

        def deliver() -> None:
            if self.connected(source, target):
                action()

        self.at(self.stall_until - self.now + self.delay(), deliver)


class LateInstance(_forgetful.ForgetfulEndpoint):
    """An instance that leads, and follows, some time after the order."""

    #: Pause between the order to promote and its effect, in seconds.
    effect_s = 0.0
    leads_from = None
    follows_from = 0.0

    def _control(self, job, now):
        if isinstance(job, core.PromoteJob) and self.promised == job.term:
            if self.leads_from is None:
                self.leads_from = now + self.effect_s
            if now < self.leads_from:
                raise _endpoint.Blocked
            self.leads_from = None
        return super()._control(job, now)

    def follow(self, upstream, now):
        if now >= self.follows_from:
            super().follow(upstream, now)


class StallRun(_run.Run):
    """Cuts a proxy and the primary off from all but one replica."""

    def __init__(self, seed: int, stall_s: float, effect_s: float) -> None:
        super().__init__(
            fakes.RunSettings(
                seed=seed,
                forgetful=True,
                acknowledge=config.Acknowledge.PRIMARY,
                fault_pause=1e9,
            )
        )
        self.world = StallWorld(seed)
        self._effect_s = effect_s
        # The fence is about 0.7 s after the cut, the promotion 1.1 s later.
        start = CUT_AT_S + self._rng.uniform(1.4, 1.9)
        self.world.stall_from = start
        self.world.stall_until = start + stall_s

    def carry_out(self) -> None:
        self._build()
        self.world.at(CUT_AT_S, self._cut_proxy)
        self.world.at(LOOK_S, self._look)
        self.world.run_until(CUT_AT_S + 5.0)
        assert self.account.newest_term > 1

    def _make_endpoint(self, name, upstream, cap):
        made = LateInstance(name, upstream, cap)
        made.newest_term = self._newest_term
        made.effect_s = self._effect_s
        made.end_promises = self._end
        return made

    def _end(self, primary: str) -> None:
        self._end_promises(primary)
        for endpoint in self.world.endpoints.values():
            endpoint.follows_from = self.world.now + FOLLOW_S

    def _cut_proxy(self) -> None:
        row = self.world.table.row
        domain = self.group.endpoints[row.primary].domain
        self._cut_off(domain, 10.0)
        # One replica stays in reach of the proxies of the domain.
        kept = sorted(self.group.endpoints.keys() - {row.primary})[
            self._rng.randrange(2)
        ]
        inside = {p for p in self.world.proxies if p.endswith(f'.{domain}')}
        pairs = {frozenset((p, kept)) for p in inside}
        self.world.cut -= pairs
        self.world.stalled = frozenset(pairs)

    def _repair(self) -> None:
        """Nothing reaches the former primary."""

    def _look(self) -> None:
        self.world.at(LOOK_S, self._look)
        for proxy in self.world.proxies.values():
            row = proxy.machine.row
            if row is None or row.term >= self.account.newest_term:
                continue
            if proxy.machine.may_acknowledge(proxy.clock()):
                raise fakes.Violation(
                    f'{proxy.name} may acknowledge in term {row.term} after'
                    f' a write of term {self.account.newest_term}'
                )


@pytest.fixture(autouse=True)
def shared_reports(monkeypatch):
    monkeypatch.setattr(_forgetful, 'TRAITS', TRAITS)


@pytest.mark.parametrize(
    ('seed', 'stall_s', 'effect_s'),
    [(2, 0.55, 0.2), (2, 0.5, 0.05), (114, 0.5, 0.05), (239, 0.5, 0.05)],
)
def test_a_poll_that_arrives_after_the_promotion_renews_no_permission(
    seed, stall_s, effect_s
):
    """Guards against writes and reads at a former primary."""
    StallRun(seed, stall_s, effect_s).carry_out()

"""A whole randomised run: build, break, heal, compare."""

import collections
import random

import attrs

from tidegrade import config
from tidegrade import core
from tidegrade_fakes import _callers
from tidegrade_fakes import _duties
from tidegrade_fakes import _endpoint
from tidegrade_fakes import _forgetful
from tidegrade_fakes import _world

Violation = _duties.Violation

#: Time at the end in which everything is healed, in seconds.
HEAL = 12.0
#: Pause between looks of the platform for endpoints to rewind, seconds.
REPAIR_PAUSE = 1.5
DOMAINS = ('x', 'y', 'z')


@attrs.frozen
class RunSettings:
    """What a run consists of; times in virtual seconds.

    ``fault_pause`` is the mean time between faults. With ``forgetful``,
    endpoints keep their promises no better than the users' platform's.
    """

    seed: int
    seconds: float = 30.0
    proxies: int = 3
    callers: int = 6
    fault_pause: float = 1.5
    faults: frozenset[str] = frozenset(
        {
            'kill_endpoint',
            'cut_endpoint',
            'cut_domain',
            'cut_peers',
            'freeze',
            'restart_proxy',
            'table_down',
            'lose_answers',
            'lag',
        }
    )
    acknowledge: config.Acknowledge = config.Acknowledge.MAJORITY
    forgetful: bool = False


@attrs.frozen
class RunReport:
    """What a run came to."""

    seed: int
    events: int
    answers: int
    acknowledged: int
    reads: int
    replica_reads: int
    history_lost: int
    terms: int
    gaps: tuple[float, ...]
    faults: tuple[str, ...]


def group_config(acknowledge: config.Acknowledge) -> config.Group:
    """Give the configuration of a group of three."""
    names = ('a', 'b', 'c')
    return config.Group(
        endpoints={
            name: config.Endpoint(
                host=name, port=1, domain=domain, max_connections=12
            )
            for name, domain in zip(names, DOMAINS, strict=True)
        },
        initial_primary='a',
        acknowledge=acknowledge,
    )


class Run:
    """One run in the making."""

    def __init__(self, cfg: RunSettings) -> None:
        self._cfg = cfg
        self.group = group_config(cfg.acknowledge)
        self.world = _world.World(cfg.seed)
        self._rng = random.Random(cfg.seed ^ 0x5EED)
        self.account = _callers.Account()
        self.callers: list[_callers.FakeCaller] = []
        self.faults: list[str] = []
        self._starts = 0

    def report(self) -> RunReport:
        """Carry the run out and check the whole account at its end."""
        self._build()
        self._plan_fault()
        self.world.run_until(self._cfg.seconds)
        self._heal()
        self.world.run_until(self._cfg.seconds + HEAL)
        for caller in self.callers:
            caller.stopped = True
        self.world.run_until(self._cfg.seconds + 2 * HEAL)
        self._check()
        return self._summary()

    def _build(self) -> None:
        for name in self.group.endpoints:
            upstream = '' if name == 'a' else 'a'
            cap = self.group.endpoints[name].max_connections
            self.world.endpoints[name] = self._make_endpoint(
                name, upstream, cap
            )
        self.world.start_replication()
        self._repair()
        for index in range(self._cfg.proxies):
            self._add_proxy(DOMAINS[index % len(DOMAINS)])
        for index in range(self._cfg.callers):
            caller = _callers.FakeCaller(
                self.world,
                f's{index}',
                self.account,
                max_age=self._max_age_of(index),
                durable=not self._cfg.forgetful,
            )
            self.callers.append(caller)
            self.world.at(0.5, caller.begin)

    def _make_endpoint(
        self, name: str, upstream: str, cap: int
    ) -> _endpoint.FakeEndpoint:
        if not self._cfg.forgetful:
            return _endpoint.FakeEndpoint(name, upstream, cap)
        made = _forgetful.ForgetfulEndpoint(name, upstream, cap)
        made.newest_term = self._newest_term
        made.end_promises = self._end_promises
        return made

    def _end_promises(self, primary: str) -> None:
        for endpoint in self.world.endpoints.values():
            if endpoint.in_recovery:
                endpoint.promised = 0
                endpoint.upstream = primary

    def _newest_term(self) -> int:
        terms = [e.report().marker for e in self.world.endpoints.values()]
        return max(terms)

    def _max_age_of(self, index: int) -> float | None:
        if self._cfg.forgetful:
            # Each read there has an age; that of 0 needs the primary.
            return (0.0, 0.5, 1.5)[index % 3]
        return 0.5 if index % 3 == 2 else None

    def _add_proxy(self, domain: str) -> None:
        self._starts += 1
        name = f'p{self._starts}.{domain}'
        self.world.proxies[name] = _world.FakeProxy(
            self.world,
            name,
            domain,
            self.group,
            max_proxies=4,
            traits=_forgetful.TRAITS
            if self._cfg.forgetful
            else core.POSTGRESQL,
        )

    # Faults ---------------------------------------------------------------

    def _plan_fault(self) -> None:
        pause = self._rng.expovariate(1 / self._cfg.fault_pause)
        self.world.at(pause, self._fault)

    def _fault(self) -> None:
        if self.world.now >= self._cfg.seconds:
            return
        kind = self._rng.choice(sorted(self._cfg.faults))
        self.faults.append(f'{self.world.now:.3f} {kind}')
        getattr(self, f'_{kind}')()
        self._plan_fault()

    def _pick_proxy(self) -> _world.FakeProxy:
        names = sorted(n for n, p in self.world.proxies.items() if p.alive)
        return self.world.proxies[self._rng.choice(names)]

    def _pick_endpoint(self) -> _endpoint.FakeEndpoint:
        """Pick an endpoint, the primary more often than not."""
        row = self.world.table.row
        if row is not None and self._rng.random() < 0.6:
            return self.world.endpoints[row.primary]
        name = self._rng.choice(sorted(self.world.endpoints))
        return self.world.endpoints[name]

    def _kill_endpoint(self) -> None:
        endpoint = self._pick_endpoint()
        if not all(e.alive for e in self.world.endpoints.values()):
            return
        self._stop(endpoint)
        self.world.at(
            self._rng.uniform(0.3, 4.0), lambda: self._revive(endpoint)
        )

    def _stop(self, endpoint: _endpoint.FakeEndpoint) -> None:
        endpoint.alive = False
        for proxy in self.world.proxies.values():
            proxy.endpoint_died(endpoint)
        endpoint.txns.clear()
        endpoint.conns.clear()

    def _revive(self, endpoint: _endpoint.FakeEndpoint) -> None:
        endpoint.restart()
        endpoint.alive = True

    def _repair(self) -> None:
        """Do what the platform does: rewind endpoints left behind.

        An endpoint of an older term, or a former primary, is taken back to
        what it shares with the primary, once the term has settled.
        """
        self.world.at(REPAIR_PAUSE, self._repair)
        row = self.world.table.row
        if row is None or row.attempt is not None:
            return
        primary = self.world.endpoints[row.primary]
        if not primary.alive or primary.in_recovery:
            return
        for endpoint in self.world.endpoints.values():
            if endpoint is not primary and endpoint.alive:
                endpoint.rewind(primary)

    def _cut(self, pairs: list[frozenset[str]], seconds: float) -> None:
        added = [pair for pair in pairs if pair not in self.world.cut]
        self.world.cut.update(added)

        def mend() -> None:
            self.world.cut.difference_update(added)

        self.world.at(seconds, mend)

    def _cut_endpoint(self) -> None:
        """Cut an endpoint from some proxies and other endpoints."""
        endpoint = self._pick_endpoint()
        others = [*self.world.proxies, *self.world.endpoints]
        chosen = [n for n in sorted(others) if self._rng.random() < 0.7]
        pairs = [frozenset((endpoint.name, name)) for name in chosen]
        self._cut(pairs, self._rng.uniform(0.3, 4.0))

    def _cut_domain(self) -> None:
        """Cut a failure domain from everything outside it."""
        domain = self._rng.choice(DOMAINS)
        self._cut_off(domain, self._rng.uniform(0.5, 4.0))

    def _cut_off(self, domain: str, seconds: float) -> None:
        inside: list[str] = []
        outside = ['table']
        for name in self.world.proxies:
            target = inside if name.endswith(f'.{domain}') else outside
            target.append(name)
        for name, endpoint in self.group.endpoints.items():
            target = inside if endpoint.domain == domain else outside
            target.append(name)
        pairs = [frozenset((i, o)) for i in inside for o in outside]
        self._cut(pairs, seconds)

    def kill_primary(self) -> None:
        """Kill the primary for good."""
        row = self.world.table.row
        if row is not None:
            self._stop(self.world.endpoints[row.primary])

    def cut_primary_domain(self) -> None:
        """Cut the primary's failure domain off from everything else."""
        row = self.world.table.row
        if row is not None:
            domain = self.group.endpoints[row.primary].domain
            self._cut_off(domain, self._cfg.seconds)

    def _cut_peers(self) -> None:
        names = sorted(self.world.proxies)
        one, other = self._rng.choice(names), self._rng.choice(names)
        if one != other:
            self._cut([frozenset((one, other))], self._rng.uniform(0.3, 4.0))

    def _freeze(self) -> None:
        self._pick_proxy().freeze(self._rng.uniform(0.05, 4.0))

    def _restart_proxy(self) -> None:
        proxy = self._pick_proxy()
        proxy.die()
        del self.world.proxies[proxy.name]
        domain = proxy.name.rsplit('.', 1)[1]
        if self._rng.random() < 0.5:
            # A tidy process takes its registration back.
            self.world.table.holders.discard(proxy.name)
        self._add_proxy(domain)

    def _table_down(self) -> None:
        self.world.table.down = True

        def up() -> None:
            self.world.table.down = False

        self.world.at(self._rng.uniform(0.2, 5.0), up)

    def _lose_answers(self) -> None:
        self.world.lose_answers = 0.5

        def over() -> None:
            self.world.lose_answers = 0.0

        self.world.at(self._rng.uniform(0.2, 3.0), over)

    def _lag(self) -> None:
        endpoint = self._pick_endpoint()
        endpoint.apply_delay = self._rng.choice((0.0, 0.02, 0.3, 2.0))
        endpoint.ship_delay = self._rng.choice((0.001, 0.01, 0.2))

    def _heal(self) -> None:
        self.world.cut.clear()
        self.world.table.down = False
        self.world.lose_answers = 0.0
        for endpoint in self.world.endpoints.values():
            endpoint.apply_delay = 0.005
            endpoint.ship_delay = 0.002

    # The end --------------------------------------------------------------

    def _check(self) -> None:
        row = self.world.table.row
        if row is None:
            raise Violation('the group never got a row')
        log = self.world.endpoints[row.primary].log
        held = collections.Counter(
            name.removeprefix('op:')
            for entry in log
            for name, _ in entry.puts
            if name.startswith('op:')
        )
        for op in self.account.ops:
            self._check_op(op, held[op.name])
        for entry in log:
            self._check_whole(entry)
        for endpoint in self.world.endpoints.values():
            if endpoint.peak_conns > endpoint.cap:
                raise Violation(f'{endpoint.name} was over its cap')
        if not self.account.last_ack:
            raise Violation('nothing was ever acknowledged')
        last = max(self.account.last_ack.values())
        if last < self._cfg.seconds:
            raise Violation('no write was acknowledged after the healing')

    def _check_op(self, op: _callers.Op, count: int) -> None:
        if count > 1:
            raise Violation(f'{op.name} ran {count} times')
        durable = self._cfg.acknowledge is config.Acknowledge.MAJORITY
        if durable and op.outcome is core.Outcome.DONE and not count:
            raise Violation(f'{op.name} was acknowledged and is lost')
        if op.outcome is core.Outcome.NOT_RUN and count:
            raise Violation(f'{op.name} was refused as not run, and ran')

    def _check_whole(self, entry: _endpoint.Entry) -> None:
        """Each transaction holds one caller's two puts, and no other's."""
        if entry.mark:
            return
        (variable, value), (op, same) = entry.puts
        if op != f'op:{variable}:{value}' or same != value:
            raise Violation(f'a transaction is mixed: {entry.puts}')

    def _summary(self) -> RunReport:
        done = [
            op for op in self.account.ops if op.outcome is core.Outcome.DONE
        ]
        row = self.world.table.row
        assert row is not None
        return RunReport(
            seed=self._cfg.seed,
            events=self.world.events,
            answers=self.account.answers,
            acknowledged=len(done),
            reads=self.account.reads,
            replica_reads=self.account.replica_reads,
            history_lost=self.account.history_lost,
            terms=row.term,
            gaps=tuple(self.account.gaps),
            faults=tuple(self.faults),
        )


def run(cfg: RunSettings) -> RunReport:
    """Carry out a run; a broken promise raises :class:`Violation`."""
    return Run(cfg).report()

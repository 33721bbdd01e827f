"""Experiments that measure the decisions, each beside its baselines."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import statistics

import anyio
import anyio.to_thread
import attrs
from rich import console
from rich import table
import tidegrade_fakes as fakes

from tidegrade import config
from tidegrade_bench import _deployment
from tidegrade_bench import _ledger
from tidegrade_bench import _load
from tidegrade_bench import _peer_messages
from tidegrade_bench import _plan
from tidegrade_bench import _workload
from tidegrade_fakes import _run as fake_run

#: Length of a load, in seconds.
LOAD_SECONDS = 6.0
#: Repetitions of a failover on real processes, and in virtual time.
REAL_REPEATS = 3
FAKE_REPEATS = 10
#: Delay of a replica that is minutes behind, in seconds.
MINUTES_BEHIND = 180.0


@attrs.frozen
class Finding:
    """One figure; ``baselines`` are the others of the same run."""

    experiment: str
    deployment: str
    policy: str
    value: float
    unit: str
    n: int
    p50: float
    max: float
    baselines: dict[str, float] = attrs.field(factory=dict)
    notes: dict[str, float] = attrs.field(factory=dict)


def percentile(values: list[float], part: float) -> float:
    """Give a percentile of a list that isn't empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


# Replica share ------------------------------------------------------------


async def _share(policy: str, behind: bool) -> _ledger.Ledger:
    group = attrs.evolve(_plan.KANWA, read_policy=policy)
    plan = attrs.evolve(_plan.DEMO, groups=(group,))
    ledger = _ledger.Ledger()
    mix = (
        (group, _workload.dashboard, 10, 0.05),
        (group, _workload.logger, 3, 0.1),
        (group, _workload.crew, 4, 0.1),
    )
    async with (
        _deployment.Running(plan) as deployment,
        _load.loaded(deployment, ledger, mix),
    ):
        if behind:
            # From here on, so that the tables are there.
            await anyio.sleep(0.5)
            await deployment.set_instance_faults(
                deployment.instances[1], apply_delay_s=MINUTES_BEHIND
            )
        await anyio.sleep(LOAD_SECONDS)
    return ledger


async def replica_share() -> list[Finding]:
    """Measure Kanwa's share of reads by replicas, by policy and lag.

    A replica is at most 20 ms behind in both cases, so an oracle that may
    wait up to the deadline serves every read by a replica: its share is 1.
    """
    findings = []
    for name, behind in (('calm', False), ('one minutes behind', True)):
        shares, p99 = {}, {}
        ledgers = {}
        for policy in config.ReadPolicy:
            ledger = await _share(policy.value, behind)
            ledgers[policy.value] = ledger
            shares[policy.value] = ledger.replica_reads / ledger.reads
            p99[policy.value] = percentile(ledger.read_times, 0.99)
        ours = config.ReadPolicy.SESSION_REPLICA.value
        ledger = ledgers[ours]
        findings.append(
            Finding(
                f'replica share, {name}',
                'kanwa',
                ours,
                shares[ours],
                'share',
                ledger.reads,
                statistics.median(ledger.read_times),
                max(ledger.read_times),
                {**shares, 'oracle': 1.0},
                {
                    **{f'p99_s {k}': v for k, v in p99.items()},
                    'ryw_violations': ledger.ryw_violations,
                    'failed_reads': ledger.failed_reads,
                },
            )
        )
    return findings


# Failover gap on real processes -------------------------------------------

Fail = Callable[[_deployment.Deployment], Awaitable[None]]


async def _kill(deployment: _deployment.Deployment) -> None:
    deployment.instances[0].process.kill()


async def _freeze(deployment: _deployment.Deployment) -> None:
    deployment.instances[0].process.freeze()


async def _gap(fail: Fail) -> tuple[float, int, int]:
    group = _plan.RODOVIVA
    plan = attrs.evolve(_plan.DEMO, groups=(group,))
    ledger = _ledger.Ledger()
    mix = (
        (group, _workload.agent, 8, 0.02),
        (group, _workload.timetable, 4, 0.05),
    )
    async with _deployment.Running(plan) as deployment:
        async with _load.loaded(deployment, ledger, mix):
            await anyio.sleep(LOAD_SECONDS / 3)
            await fail(deployment)
            await anyio.sleep(LOAD_SECONDS)
        if deployment.instances[0].process.alive:
            deployment.instances[0].process.kill()
        verdict = _ledger.compare(ledger, deployment, (group,))
    gap = ledger.failover_gap(group.name)
    lost = verdict.lost_acks + verdict.duplicates
    return gap or float('inf'), lost, ledger.ryw_violations


async def failover_gap() -> list[Finding]:
    """Measure Rodoviva's gap as callers see it, by kind of failure."""
    findings = []
    for name, fail in (('kill', _kill), ('freeze', _freeze)):
        runs = [await _gap(fail) for _ in range(REAL_REPEATS)]
        gaps = [gap for gap, _, _ in runs]
        findings.append(
            Finding(
                f'failover gap, {name}',
                'rodoviva',
                'fence and revoke',
                statistics.median(gaps),
                's',
                len(gaps),
                statistics.median(gaps),
                max(gaps),
                {},
                {
                    'lost_or_twice': sum(lost for _, lost, _ in runs),
                    'ryw_violations': sum(ryw for _, _, ryw in runs),
                },
            )
        )
    return findings


# Failover gap in virtual time, with baselines ------------------------------


def _slow_config(run: fake_run.Run) -> None:
    """Stand for a fixed time-out of three seconds as the detector."""
    run.group = attrs.evolve(run.group, suspect_after_s=3.0)


def _fake_gap(seed: int, failure: str, rule: str) -> float:
    cfg = fakes.RunSettings(
        seed=seed, seconds=6.0, faults=frozenset(), fault_pause=1e9
    )
    run = fakes.Run(cfg)
    if rule == 'fixed time-out':
        _slow_config(run)
    world = run.world
    world.at(3.0 + seed / 100, lambda: getattr(run, failure)())
    world.revocation = rule != 'leases waited out'
    return max(run.report().gaps, default=float('inf'))


async def failover_rules() -> list[Finding]:
    """Compare our rule with two others on the same fakes and seeds."""
    rules = ('fence and revoke', 'leases waited out', 'fixed time-out')
    findings = []
    for failure in ('kill_primary', 'cut_primary_domain'):
        gaps = {
            rule: [
                _fake_gap(seed, failure, rule) for seed in range(FAKE_REPEATS)
            ]
            for rule in rules
        }
        ours = gaps[rules[0]]
        findings.append(
            Finding(
                f'failover rules, {failure}',
                'fakes',
                rules[0],
                statistics.median(ours),
                's',
                len(ours),
                statistics.median(ours),
                max(ours),
                {r: statistics.median(g) for r, g in gaps.items()},
                {f'max {r}': max(g) for r, g in gaps.items()},
            )
        )
    return findings


async def peer_messages() -> list[Finding]:
    """Measure exchanges of messages between two proxies.

    They run in a thread of their own on uvloop, as in the proxies.
    """
    costs = await anyio.to_thread.run_sync(_peer_messages.run)
    return [
        Finding(
            f'peer messages, {cost.exchange}, {cost.callers} at once',
            'loopback',
            'both ends',
            cost.per_cpu_second,
            'exchanges per CPU second',
            _peer_messages.EXCHANGES * _peer_messages.REPEATS,
            cost.median,
            cost.most,
            notes={'least_us': cost.least},
        )
        for cost in costs
    ]


EXPERIMENTS: dict[str, Callable[[], Awaitable[list[Finding]]]] = {
    'replica_share': replica_share,
    'failover_gap': failover_gap,
    'failover_rules': failover_rules,
    'peer_messages': peer_messages,
}


async def run(only: str) -> None:
    """Run the experiments, print a table and a JSON line for each figure."""
    findings: list[Finding] = []
    for name, experiment in EXPERIMENTS.items():
        if only in ('', name):
            findings.extend(await experiment())
    shown = table.Table('experiment', 'policy', 'value', 'n', 'max', 'others')
    for found in findings:
        others = ', '.join(
            f'{name} {value:.3g}' for name, value in found.baselines.items()
        )
        shown.add_row(
            found.experiment,
            found.policy,
            f'{found.value:.3g} {found.unit}',
            str(found.n),
            f'{found.max:.3g}',
            others,
        )
    console.Console().print(shown)
    for found in findings:
        print(json.dumps(attrs.asdict(found)))

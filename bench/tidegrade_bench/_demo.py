"""The demonstration: a deployment, a mixed load and a killed primary."""

import json
import pathlib
import tempfile
import time

import anyio
from rich import console
from rich import table

from tidegrade_bench import _deployment
from tidegrade_bench import _ledger
from tidegrade_bench import _load
from tidegrade_bench import _plan
from tidegrade_bench import _workload

#: Length of the load, in seconds; the kill comes half-way.
LOAD_SECONDS = 16.0

#: Sessions of each kind: group, kind, how many, mean pause in seconds.
MIX: _load.Mix = (
    (_plan.KANWA, _workload.dashboard, 12, 0.05),
    (_plan.KANWA, _workload.logger, 4, 0.1),
    (_plan.KANWA, _workload.crew, 4, 0.2),
    (_plan.RODOVIVA, _workload.timetable, 8, 0.05),
    (_plan.RODOVIVA, _workload.agent, 8, 0.1),
)


async def run() -> bool:
    """Run the demonstration; tell whether every promise held."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = _deployment.Deployment(_plan.DEMO, pathlib.Path(folder))
        try:
            return await _run(deployment)
        finally:
            deployment.stop()


async def _run(deployment: _deployment.Deployment) -> bool:
    began = time.monotonic()
    await deployment.start()
    await deployment.apply_config()
    await deployment.until_writable()
    print(f'deployment up after {time.monotonic() - began:.1f} s')
    ledger = _ledger.Ledger()
    async with _load.loaded(deployment, ledger, MIX):
        await _fail_half_way(deployment)
    verdict = _ledger.compare(ledger, deployment, _plan.DEMO.groups)
    return _report(ledger, verdict)


async def _fail_half_way(deployment: _deployment.Deployment) -> None:
    await anyio.sleep(LOAD_SECONDS / 2)
    victim = deployment.group_instances(_plan.RODOVIVA)[0]
    print(f'killing {victim.name}, the primary of {victim.group.name}')
    victim.process.kill()
    await anyio.sleep(LOAD_SECONDS / 2)


def _report(ledger: _ledger.Ledger, verdict: _ledger.Verdict) -> bool:
    gap = ledger.failover_gap(_plan.RODOVIVA.name)
    counts = {
        'reads': ledger.reads,
        'replica_reads': ledger.replica_reads,
        'writes_done': ledger.count('done'),
        'not_run': ledger.count('not_run'),
        'unknown': ledger.count('unknown'),
        'ryw_violations': ledger.ryw_violations,
        'duplicates': verdict.duplicates,
        'lost_acks': verdict.lost_acks,
        'failover_gap_s': None if gap is None else round(gap, 3),
    }
    ok = (
        ledger.reads > 0
        and ledger.count('done') > 0
        and gap is not None
        and not ledger.ryw_violations
        and not verdict.duplicates
        and not verdict.lost_acks
        and not verdict.ran_though_refused
    )
    shown = table.Table('what callers saw', 'count')
    for name, value in counts.items():
        shown.add_row(name, str(value))
    shown.add_row('reads that failed', str(ledger.failed_reads))
    console.Console().print(shown)
    print(json.dumps({**counts, 'ok': ok}))
    return ok

"""Loading a deployment with sessions that roam over its proxies."""

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import httpx

from tidegrade_bench import _caller
from tidegrade_bench import _deployment
from tidegrade_bench import _ledger
from tidegrade_bench import _plan
from tidegrade_bench import _workload

SEED = 20261202
#: Connections of all callers together.
MAX_CONNECTIONS = 300

#: Sessions by group, kind, how many, and mean pause in seconds.
Mix = tuple[tuple[_plan.GroupPlan, _workload.Kind, int, float], ...]


@contextlib.asynccontextmanager
async def loaded(
    deployment: _deployment.Deployment,
    ledger: _ledger.Ledger,
    mix: Mix,
) -> AsyncIterator[None]:
    """Load a deployment for the time of a block."""
    rng = random.Random(SEED)
    urls = [proxy.url for proxy in deployment.proxies]
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS)
    until = anyio.Event()
    async with httpx.AsyncClient(limits=limits, trust_env=False) as http:
        await _make_tables(deployment, http, urls, rng)
        async with anyio.create_task_group() as tasks:
            for group, kind, count, pause in mix:
                for index in range(count):
                    tenant = deployment.plan.tenants[index % 2]
                    caller = _caller.Caller(
                        http, urls, group.site, group.name, tenant, rng
                    )
                    session = _workload.Session(
                        f'{kind.__name__}-{index}',
                        group.name,
                        caller,
                        ledger,
                        rng,
                    )
                    tasks.start_soon(
                        _workload.repeat, session, kind, pause, until
                    )
            yield
            until.set()


async def _make_tables(
    deployment: _deployment.Deployment,
    http: httpx.AsyncClient,
    urls: list[str],
    rng: random.Random,
) -> None:
    for group in deployment.plan.groups:
        caller = _caller.Caller(
            http, urls, group.site, group.name, 'tenant-a', rng
        )
        for statement in _workload.TABLES:
            said = await caller.write([(statement, [])])
            if not said.done:
                raise RuntimeError(f'no tables: {said}')

"""Fixtures that run the stand-ins, the platform and proxies as processes."""

import contextlib
import pathlib
import random

import anyio
import attrs
import httpx
import pytest
from tidegrade_bench import _caller
from tidegrade_bench import _deployment
from tidegrade_bench import _plan

GROUP = _plan.GroupPlan(
    site='kanwa',
    name='mains-1',
    max_connections=27,
    connect_cost_s=0.0,
    read_classes={'dashboard': 5.0, 'own': None, 'latest': 0.0},
)
PLAN = _plan.Plan(domains=('ikeja', 'lekki', 'apapa'), groups=(GROUP,))

TABLE = 'CREATE TABLE IF NOT EXISTS item (id text PRIMARY KEY, v bigint)'

#: Time limit for a condition to become true, in seconds. The limit only ends
#: a failing test; no result depends on the speed of the machine.
CONDITION_TIMEOUT_S = 30.0


class Site:
    """A running deployment, with callers of its proxies."""

    def __init__(
        self, deployment: _deployment.Deployment, http: httpx.AsyncClient
    ) -> None:
        self.deployment = deployment
        self.http = http
        self.rng = random.Random(1)
        # The proxies that a load balancer would offer, shared by all callers.
        self.urls = [proxy.url for proxy in deployment.proxies]

    def caller(self, tenant: str = 'tenant-a') -> _caller.Caller:
        return _caller.Caller(
            self.http, self.urls, 'kanwa', 'mains-1', tenant, self.rng
        )

    async def until(self, predicate) -> None:
        """Wait until an asynchronous condition holds."""
        with anyio.fail_after(CONDITION_TIMEOUT_S):
            while not await predicate():
                await anyio.sleep(0.02)

    async def group_status(self, index: int = 0) -> dict:
        proxy = self.deployment.proxies[index]
        found = await self.deployment.status(proxy)
        return found['groups'][0]


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@contextlib.asynccontextmanager
async def _run(folder: pathlib.Path, plan: _plan.Plan):
    """Run a deployment that accepts writes, with one table."""
    deployment = _deployment.Deployment(plan, folder)
    try:
        await deployment.start()
        await deployment.apply_config()
        await deployment.until_writable()
        async with httpx.AsyncClient(trust_env=False) as http:
            made = Site(deployment, http)
            reply = await made.caller().write([(TABLE, [])])
            assert reply.done, reply
            yield made
    finally:
        deployment.stop()


@pytest.fixture
async def site(tmp_path: pathlib.Path):
    """Yield a deployment that accepts writes, with one table."""
    async with _run(tmp_path, PLAN) as made:
        yield made


@pytest.fixture
async def hasty(tmp_path: pathlib.Path):
    """Yield a deployment whose proxies drain for 1.5 s at most."""
    plan = attrs.evolve(PLAN, drain_limit_s=1.5)
    async with _run(tmp_path, plan) as made:
        yield made


@pytest.fixture
async def limited(tmp_path: pathlib.Path):
    """Yield a deployment with a limit of 20 requests/s for each tenant."""
    plan = attrs.evolve(PLAN, requests_per_s=20.0)
    async with _run(tmp_path, plan) as made:
        yield made

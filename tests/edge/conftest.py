"""Fixtures that run a simulated site with proxies as real processes."""

import contextlib

import anyio
import pytest
import tidegrade_edge as edge

#: Time limit for a condition to become true, in seconds. The limit only ends
#: a failing test; no result depends on the speed of the machine.
CONDITION_TIMEOUT_S = 30.0


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@contextlib.asynccontextmanager
async def _run(folder, cfg=None):
    """Run a site until the block ends; its proxies accept writes."""
    made = edge.Site(folder, cfg)
    async with anyio.create_task_group() as tasks:
        try:
            with anyio.fail_after(CONDITION_TIMEOUT_S):
                await made.start(tasks)
            yield made
        finally:
            made.stop()
            tasks.cancel_scope.cancel()


@pytest.fixture
def run_site():
    """Return the context manager that runs a site with given settings."""
    return _run


@pytest.fixture
async def site(tmp_path):
    """Yield a site whose proxies accept writes."""
    async with _run(tmp_path) as made:
        yield made


@pytest.fixture
async def relayed(tmp_path):
    """Yield a site whose connections pass through relays."""
    cfg = edge.SiteSettings(relayed=True)
    async with _run(tmp_path, cfg) as made:
        yield made


@pytest.fixture
def until():
    """Return a function that waits until a condition holds."""

    async def wait(condition, timeout_s=CONDITION_TIMEOUT_S) -> None:
        with anyio.fail_after(timeout_s):
            while not await condition():
                await anyio.sleep(0.05)

    return wait

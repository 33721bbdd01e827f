"""A site of the platform's stand-in, with proxies as processes."""

import contextlib

import anyio
import pytest
import tidegrade_edge as edge

#: Time that something may take to come about, in seconds. It only bounds
#: a failing test; no verdict depends on how fast the machine is.
PATIENCE = 30.0


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@contextlib.asynccontextmanager
async def _run(folder, cfg=None):
    """Run a site whose proxies take writes."""
    made = edge.Site(folder, cfg)
    async with anyio.create_task_group() as tasks:
        try:
            with anyio.fail_after(PATIENCE):
                await made.start(tasks)
            yield made
        finally:
            made.stop()
            tasks.cancel_scope.cancel()


@pytest.fixture
def running():
    """Give what runs a site of another shape."""
    return _run


@pytest.fixture
async def site(tmp_path):
    """Give a site whose proxies take writes."""
    async with _run(tmp_path) as made:
        yield made


@pytest.fixture
async def relayed(tmp_path):
    """Give a site whose connections run through relays."""
    cfg = edge.SiteSettings(relayed=True)
    async with _run(tmp_path, cfg) as made:
        yield made


@pytest.fixture
def until():
    """Give a function that waits until a condition holds."""

    async def wait(holds, patience=PATIENCE) -> None:
        with anyio.fail_after(patience):
            while not await holds():
                await anyio.sleep(0.05)

    return wait

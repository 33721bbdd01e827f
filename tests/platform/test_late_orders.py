"""Orders to an instance that arrive after those of a later attempt."""

from collections.abc import AsyncIterator

import anyio
import pytest
import tidegrade_edge
from tidegrade_platform import _duties
from tidegrade_platform import _instances
from tidegrade_platform import _settings

from tidegrade.adapters import _clock
from tidegrade import config
from tidegrade import core

pytestmark = pytest.mark.anyio

HOST = '127.0.0.1'


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
async def instance() -> AsyncIterator[tidegrade_edge.Instance]:
    """Yield a replica that serves."""
    found = tidegrade_edge.Instance('b', 'svc', 'b', 9)
    async with anyio.create_task_group() as group:
        await group.start(found.serve)
        yield found
        group.cancel_scope.cancel()


async def connect(instance: tidegrade_edge.Instance):
    """Open a connection to an instance as a proxy does."""
    duties = _duties.Duties(
        _settings.Address(HOST, 1), 'p', _clock.MonotonicClock()
    )
    endpoint = config.Endpoint(HOST, instance.port, 'x')
    group = config.Group(
        endpoints={'b': endpoint}, initial_primary='b', database='svc'
    )
    endpoints = _instances.Instances('p', duties, lambda *_: None)
    return (await endpoints.connect(endpoint, group, '')).unwrap()


class Slow:
    """Holds the text of one order on its way to an instance."""

    def __init__(self, conn, text: str) -> None:
        self.reached = anyio.Event()
        self.passes = anyio.Event()
        self._text = text
        self._ask = conn._exchange.ask
        conn._exchange.ask = self._hold

    async def _hold(self, request_id: str, text: str):
        if text == self._text:
            self.reached.set()
            await self.passes.wait()
        return await self._ask(request_id, text)


async def overtake(instance, first: core.Job, text: str, then: core.Job):
    """Run ``then`` while ``text`` of ``first`` is on its way."""
    early, late = await connect(instance), await connect(instance)
    slow = Slow(early, text)
    async with anyio.create_task_group() as group:
        group.start_soon(early.run, first)
        await slow.reached.wait()
        assert isinstance(await late.run(then), core.JobDone)
        slow.passes.set()
    await early.close()
    await late.close()


async def test_a_late_fence_does_not_lower_a_later_promise(instance):
    """The later attempt would find that its fence is gone."""
    await overtake(instance, core.FenceJob(2), 'SUSPEND 2', core.FenceJob(3))
    assert instance.held == 3


async def test_a_late_order_to_follow_does_not_clear_a_promise(instance):
    """Without its promise, the endpoint would grant the former term."""
    await overtake(instance, core.FollowJob('', 0), 'RESUME', core.FenceJob(3))
    assert instance.held == 3


async def test_a_late_fence_does_not_depose_a_later_primary(instance):
    """STEPDOWN names a term, and a primary of a later one keeps its role."""
    instance.role = 'primary'
    early = await connect(instance)
    slow = Slow(early, 'STEPDOWN 2')
    async with anyio.create_task_group() as group:
        group.start_soon(early.run, core.FenceJob(2))
        await slow.reached.wait()
        instance.term = 3
        slow.passes.set()
    assert instance.role == 'primary'
    assert instance.held == 0
    await early.close()

"""The endpoint list, as announced by several watchers."""

import anyio
import attrs
import pytest
import result

from tidegrade.codec import _structure
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _endpoint_list

ENTRY = ports.EndpointEntry('i1', 'g', '10.0.0.1', 80, 'x', 3, False, True)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def learned() -> list:
    return []


@pytest.fixture
def task(learned) -> _endpoint_list.EndpointListTask:
    return _endpoint_list.EndpointListTask(
        None, None, None, learned.append, lambda: False
    )


def test_same_list_is_applied_once(task, learned):
    """Each watcher announces a change with a version of its own."""
    raw = _structure.to_json((ENTRY,))
    for version in (7, 8, 9):
        task.update(messages.EndpointNews(version, raw))
    assert learned == [(ENTRY,)]
    assert task.answer(messages.AskEndpoints(8)).version == 9


@attrs.define
class Platform:
    """A directory and the only watcher; there are no other proxies."""

    listed: ports.EndpointList
    watching: bool = True
    rank: int = 0

    async def endpoints(self):
        return result.Ok(self.listed)

    def announce(self, news):
        pass


@pytest.mark.anyio
async def test_list_restored_from_an_older_copy_is_not_applied_at_once(
    learned, monkeypatch
):
    """The older copy lists a leaving endpoint as ready."""
    monkeypatch.setattr(_endpoint_list, 'FIRST_WATCHER_INTERVAL_S', 0.01)
    monkeypatch.setattr(_endpoint_list, 'RESTORE_SETTLE_S', 0.3)
    leaving = (attrs.evolve(ENTRY, leaving=True),)
    platform = Platform(ports.EndpointList(7, leaving, generation=1))
    task = _endpoint_list.EndpointListTask(
        platform, platform, platform, learned.append, lambda: False
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        await anyio.sleep(0.05)
        platform.listed = ports.EndpointList(9, (ENTRY,), generation=2)
        await anyio.sleep(0.1)
        assert set(learned) == {leaving}
        with anyio.fail_after(5):
            while learned[-1] != (ENTRY,):
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()

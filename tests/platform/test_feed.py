"""How soon a feed that has gone silent is given up."""

import anyio
import orjson
import pytest
import result
from tidegrade_platform import _directory
from tidegrade_platform import _store

#: In which an accepted configuration must be in force, in seconds: the
#: least of the platform's, and those of deployments with more proxies.
BOUNDS = (3.0, 5.0, 6.0)
#: From the first proxy that has it to the last, and the read itself, in
#: seconds; 0.7 s was the longest on a day with a silent feed.
SPREAD = 0.8


@pytest.mark.parametrize('within', BOUNDS)
def test_a_silent_feed_leaves_time_for_the_configuration(within):
    """Found by a hunt, CONFIG: the feeds of all three watchers were silent.

    They were given up 6 s after they had begun; the change was in force
    4 s after its acceptance.
    """
    noticed = _directory.feed_wait(within) + _store.FEED_MARGIN
    assert noticed + _directory.RETRY_PAUSE + SPREAD < within


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class CutStore:
    """A store whose feeds are cut, and whose row can be read."""

    def __init__(self) -> None:
        self.version = 1

    async def snapshot(self, table, first, end):
        raw = orjson.dumps(
            {
                'version': self.version,
                'routes': [],
                'services': [],
                'limits': {'tx_idle_ms': 3000},
            }
        )
        row = _store.Row('config', raw, self.version)
        return result.Ok(_store.Snapshot([row], self.version))

    async def feed(self, table, after, wait):
        self.version = 2
        return result.Err('reset')


@pytest.mark.anyio
async def test_a_feed_that_is_cut_is_followed_by_a_read():
    """Who watches goes on watching, and misses nothing by the cut."""
    directory = _directory.Directory(CutStore(), 3.0)
    directory.watch(True)
    first = await directory.next_catalogue()
    with anyio.fail_after(_directory.RETRY_PAUSE):
        second = await directory.next_catalogue()
    assert (first.version, second.version) == (1, 2)
    assert directory.answers

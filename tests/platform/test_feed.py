"""Detection of silent feeds, and recovery from failed ones."""

import anyio
import orjson
import pytest
import result
from tidegrade_platform import _directory
from tidegrade_platform import _store

#: Times within which an accepted configuration must be in force, in seconds:
#: the platform's shortest, and those of deployments with more proxies.
APPLY_LIMITS_S = (3.0, 5.0, 6.0)
#: Time for reading a configuration and distributing it to all proxies, in
#: seconds; the longest with a silent feed was 0.7 s.
DISTRIBUTION_S = 0.8


@pytest.mark.parametrize('within', APPLY_LIMITS_S)
def test_a_silent_feed_leaves_time_for_the_configuration(within):
    """Silent feeds of all three watchers must be detected in time.

    When they were abandoned only 6 s after their start, a change was in force
    4 s after its acceptance (failure CONFIG).
    """
    detected_s = _directory.feed_wait_s(within) + _store.FEED_MARGIN_S
    assert detected_s + _directory.RETRY_DELAY_S + DISTRIBUTION_S < within


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class ResettingStore:
    """A store whose feeds are reset, while its row can be read."""

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
async def test_a_feed_that_is_reset_is_followed_by_a_read():
    """The watcher continues to watch and misses no change."""
    directory = _directory.Directory(ResettingStore(), 3.0)
    directory.watch(True)
    first = await directory.next_catalogue()
    with anyio.fail_after(_directory.RETRY_DELAY_S):
        second = await directory.next_catalogue()
    assert (first.version, second.version) == (1, 2)
    assert directory.answers

"""Which groups a proxy takes for its own to serve."""

import random

import pytest

from tidegrade import config
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import ports
from tidegrade.session_proxy import _homes

CFG = config.Group(
    endpoints={'e': config.Endpoint('10.0.0.1', 1, 'a')}, initial_primary='e'
)


class Clock:
    """A clock that stands still."""

    def now(self) -> float:
        return 100.0


@pytest.fixture
def peers() -> _peers_task.PeersTask:
    deps = _deps.Deps(
        'vm-1.r',
        'a',
        _deps.PeerSettings('127.0.0.1', 1, '00' * 32),
        Clock(),
        None,
        None,
        random.Random(1),
    )

    async def ignore(body):
        return None

    return _peers_task.PeersTask(deps, ignore)


@pytest.fixture
def homes(peers) -> _homes.HomeMap:
    return _homes.HomeMap(_roster.Spot('vm-1.r', 'a'), peers, Clock())


def test_who_has_not_looked_for_others_serves_nothing(homes):
    """195 that started together each took all connections for theirs."""
    assert homes.of('g', CFG, False).count == 0


def test_proxies_that_are_listed_and_starting_count(homes, peers):
    others = range(2, 100)
    peers.learn_vms(
        [ports.Vm(f'vm-{n}.r', 'proxy', 'a', 'h', n) for n in others]
    )
    assert homes.of('g', CFG, False).count < len(others)

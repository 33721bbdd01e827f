"""The choice of the owner that grants a workspace's operations."""

import random

import pytest

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _quotas
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import tenants

pytestmark = pytest.mark.anyio

NAMES = [f't{n}' for n in range(40)]


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Clock:
    """A clock that tests advance."""

    at = 100.0

    def now(self) -> float:
        return self.at


class Peers(_peers_task.PeersTask):
    """Peers that grant each request, or do not answer if ``silent``."""

    def __init__(self, clock: Clock) -> None:
        deps = _deps.Deps(
            'vm-1.r',
            'a',
            _deps.PeerSettings('127.0.0.1', 1, '00' * 32),
            clock,
            None,
            None,
            random.Random(1),
        )

        async def ignore(body):
            return None

        super().__init__(deps, ignore)
        self.asked: list[str] = []
        self.silent = False

    async def ask_within(self, proxy, body, limit):
        self.asked.append(proxy)
        if self.silent:
            return _links.AskResult(sent=True)
        granted = messages.QuotaGrant(core.Grant(True, 0.0))
        return _links.AskResult(sent=True, answer=granted)

    def receive_heartbeats(self, domains: str = 'abc') -> None:
        for n in range(2, 8):
            domain = 'abc'[n % 3]
            if domain in domains:
                self.receive_heartbeat(
                    messages.Heartbeat(
                        f'vm-{n}.r', domain, 'h', n, 1, draining=False
                    )
                )


class Bench:
    """The quotas of one of seven proxies in three failure domains."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.peers = Peers(self.clock)
        self.draining = False
        self.peers.receive_heartbeats()
        self.quotas = _quotas.Quotas(
            _roster.ProxyIdentity('vm-1.r', 'a'),
            self.peers,
            self.clock,
            lambda: 1,
            lambda name: None,
            draining=lambda: self.draining,
        )

    async def admit(self, name: str):
        tenant = tenants.Tenant(name, frozenset(), 10.0, 10.0)
        return await self.quotas.admit(tenant, 0.0)

    async def owned_here(self) -> list[str]:
        """Return the workspaces whose operations are granted here."""
        found = []
        for name in NAMES:
            self.peers.asked.clear()
            await self.admit(name)
            if not self.peers.asked:
                found.append(name)
        return found


@pytest.fixture
async def bench() -> Bench:
    return Bench()


async def test_each_proxy_owns_a_part_of_the_workspaces(bench):
    owned = await bench.owned_here()
    assert 0 < len(owned) < len(NAMES) / 2


async def test_a_draining_proxy_grants_nothing_itself(bench):
    """Guards against two owners that both grant the full limit.

    When an owner drains, the other proxies use the next owner as soon as
    its heartbeat says so. If the draining proxy still grants the operations of
    its own sessions, the limit is exceeded: 186 operations in 5 s at a limit
    of 25 per second, where 185 are tolerated.
    """
    bench.draining = True
    bench.quotas.update_proxies()
    assert await bench.owned_here() == []


async def test_a_draining_proxy_without_peers_still_grants(bench):
    bench.clock.at += 10.0
    bench.draining = True
    bench.quotas.update_proxies()
    assert (await bench.admit('t1')).granted


async def test_a_silent_owner_is_asked_again_after_a_heartbeat(bench):
    owned = await bench.owned_here()
    name = next(n for n in NAMES if n not in owned)
    await bench.admit(name)
    usual = bench.peers.asked[-1]
    bench.peers.silent = True
    await bench.admit(name)
    bench.peers.silent = False
    bench.clock.at += 1.1
    await bench.admit(name)
    assert bench.peers.asked[-1] != usual
    bench.peers.receive_heartbeats()
    await bench.admit(name)
    assert bench.peers.asked[-1] == usual


async def test_owners_behind_a_partition_are_not_asked(bench):
    bench.clock.at += 1.3
    bench.peers.receive_heartbeats(domains='ab')
    bench.quotas.update_proxies()
    for name in NAMES:
        bench.peers.asked.clear()
        await bench.admit(name)
        for proxy in bench.peers.asked:
            assert bench.peers.domain_of(proxy) != 'c'

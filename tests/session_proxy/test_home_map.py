"""Which groups a proxy serves, and which proxy serves a request."""

import random

import pytest

from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _homes

CFG = config.Group(
    endpoints={'e': config.Endpoint('10.0.0.1', 1, 'a')}, initial_primary='e'
)


class Clock:
    """A clock that tests advance."""

    at = 100.0

    def now(self) -> float:
        return self.at


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def peers(clock) -> _peers_task.PeersTask:
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

    return _peers_task.PeersTask(deps, ignore)


@pytest.fixture
def homes(peers, clock) -> _homes.HomeMap:
    return _homes.HomeMap(_roster.ProxyIdentity('vm-1.r', 'a'), peers, clock)


def test_proxy_that_has_not_looked_for_others_serves_nothing(homes):
    """Otherwise each of 195 proxies started together takes all connections."""
    assert homes.homes_of('g', CFG, False).count == 0


def test_listed_and_starting_proxies_count(homes, peers):
    others = range(2, 100)
    peers.learn_vms(
        [ports.Vm(f'vm-{n}.r', 'proxy', 'a', 'h', n) for n in others]
    )
    assert homes.homes_of('g', CFG, False).count < len(others)


KEY = messages.GroupKey('platform', 'g')


def listed(peers, count: int = 30) -> None:
    """List proxies of three domains that have sent no heartbeat."""
    peers.learn_vms(
        [
            ports.Vm(f'vm-{n}.r', 'proxy', 'abc'[n % 3], 'h', n)
            for n in range(2, 2 + count)
        ]
    )


def test_request_finds_its_home_after_a_restart_of_all_proxies(homes, peers):
    """Guards against refusals for two seconds after a restart of all.

    No home has reported yet which groups it serves.
    """
    listed(peers)
    home = homes.pick(KEY, CFG, '', False, frozenset())
    assert home is not None
    assert peers.domain_of(home) == 'a'
    other = homes.pick(KEY, CFG, '', False, frozenset({home}))
    assert other not in (None, home)


def test_all_proxies_expect_the_same_home_of_a_tenant(homes, peers):
    listed(peers)
    chosen = homes.pick(KEY, CFG, 'acme', False, frozenset())
    found = core.expected_homes('g', CFG, peers.candidates())
    assert chosen == core.home_of_tenant('g', 'acme', found)


def test_proxy_without_known_peers_expects_no_home(homes):
    assert homes.pick(KEY, CFG, '', False, frozenset()) is None


def hear(peers, domains: str = 'abc', count: int = 6) -> None:
    """Receive heartbeats of proxies in these domains for the group."""
    for n in range(2, 2 + count):
        domain = 'abc'[n % 3]
        if domain in domains:
            opinion = messages.GroupOpinion(KEY, 1, False)
            beat = messages.Heartbeat(
                f'vm-{n}.r', domain, 'h', n, 1, False, (opinion,)
            )
            peers.receive_heartbeat(beat)


def pick(homes, tenant: str) -> str | None:
    return homes.pick(KEY, CFG, tenant, False, frozenset())


def test_home_in_an_isolated_domain_gets_no_requests(homes, peers, clock):
    """A third of all tenants have their home in an isolated domain.

    If such a home is used until its heartbeats expire after 2.6 s, each
    request of these tenants waits for an answer, and the outcome of writes is
    unknown.
    """
    hear(peers)
    chosen = {pick(homes, f't{n}') for n in range(40)}
    assert {peers.domain_of(home) for home in chosen} == set('abc')
    clock.at += 1.3
    hear(peers, domains='ab')
    chosen = {pick(homes, f't{n}') for n in range(40)}
    assert {peers.domain_of(home) for home in chosen} == set('ab')


def test_home_that_did_not_answer_is_used_after_its_next_heartbeat(
    homes, peers, clock
):
    hear(peers)
    home = pick(homes, 'acme')
    homes.forwarded(home)
    homes.answered(home, lost=True)
    clock.at += 1.1
    assert pick(homes, 'acme') != home
    hear(peers)
    assert pick(homes, 'acme') == home


def list_unequal(peers, large: tuple[int, ...]) -> None:
    """List 30 proxies of this domain, some of them on large VMs."""
    peers.learn_vms(
        [
            ports.Vm(
                f'vm-{n}.r',
                'proxy',
                'a',
                'h',
                n,
                capacity=2150 if n in large else 361,
            )
            for n in range(2, 32)
        ]
    )


def test_starting_large_vms_are_the_homes(homes, peers):
    """Rows tell capacities before the first heartbeats do."""
    list_unequal(peers, large=(5, 9))
    found = homes.homes_of('g', CFG, False)
    assert found == core.Homes(False, 2)
    tried = frozenset()
    for _ in range(2):
        tried |= {homes.pick(KEY, CFG, '', False, tried)}
    assert tried == {'vm-5.r', 'vm-9.r'}
    assert homes.pick(KEY, CFG, '', False, tried) is None


@pytest.fixture
def logged(monkeypatch) -> list[tuple[logs.LogEvent, dict[str, object]]]:
    lines = []
    monkeypatch.setattr(
        logs, 'write_bounded', lambda event, **f: lines.append((event, f))
    )
    return lines


def test_changed_number_of_homes_is_logged_once_by_other_proxies(
    homes, peers, logged
):
    """Operators see when requests go to fewer or other homes."""
    assert homes.sharer_count('g', CFG, False) == 0
    assert logged == []
    list_unequal(peers, large=(5, 9))
    for _ in range(3):
        assert homes.sharer_count('g', CFG, False) == 0
    changed = {'group': 'platform/g', 'homes': 2, 'before': 0}
    assert logged == [(logs.LogEvent.HOMES_CHANGED, changed)]
    assert homes.home_count('g') == 2


def test_home_leaves_the_logging_to_its_group_task(homes, peers, logged):
    """Event 1406 tells the number of homes that share connections."""
    peers.learn_vms([])
    assert homes.sharer_count('g', CFG, False) == 1
    assert logged == []
    assert homes.home_count('g') == 1

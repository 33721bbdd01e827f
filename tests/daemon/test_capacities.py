"""Capacities of other proxies' VMs, and relays on the largest VMs."""

import random

import pytest

from tidegrade.daemon import _gossip
from tidegrade.daemon import _roster
from tidegrade.peers import _messages as messages
from tidegrade import ports


class Clock:
    """A clock that tests advance."""

    at = 100.0

    def now(self) -> float:
        return self.at


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def roster() -> _roster.Roster:
    return _roster.Roster('vm-0.r', 1.6, own_capacity=2150)


@pytest.fixture
def gossip(roster, clock) -> _gossip.Gossip:
    identity = _roster.ProxyIdentity('vm-0.r', 'a')
    return _gossip.Gossip(identity, roster, None, clock, random.Random(1))


def beat(number: int, capacity: int = 0, **changes) -> messages.Heartbeat:
    name = f'vm-{number}.r'
    return messages.Heartbeat(
        name, 'a', name, 1, 1, False, capacity=capacity, **changes
    )


def vm(number: int, capacity: int = 0, run: str = 'r') -> ports.Vm:
    name = f'vm-{number}'
    return ports.Vm(
        f'{name}.{run}', 'proxy', 'a', f'{name}.r', 1, capacity=capacity
    )


def test_capacities_follow_heartbeats_and_the_list(roster):
    """A stale cache would keep homes on VMs that have gone."""
    assert roster.capacities() == {'vm-0.r': 2150}
    address = roster.list_vm(vm(1, 361), 100.0)
    assert roster.capacities()['vm-1.r'] == 361
    roster.record_heartbeat(beat(2, 516), 100.0, 100.0)
    assert roster.capacities()['vm-2.r'] == 516
    roster.list_vm(vm(1, 700, run='s'), 101.0)
    assert roster.capacities().get('vm-1.s') == 700
    assert 'vm-1.r' not in roster.capacities()
    roster.unlist(address)
    roster.forget(100.5)
    assert roster.capacities() == {'vm-0.r': 2150}


def test_capacity_that_an_older_relay_dropped_is_taken_from_the_list(roster):
    roster.list_vm(vm(1, 361), 100.0)
    roster.record_heartbeat(beat(1, 400), 100.0, 100.0)
    assert roster.capacities()['vm-1.r'] == 400
    roster.record_heartbeat(beat(1, 0), 101.0, 101.0, relayed=True)
    assert roster.capacities()['vm-1.r'] == 361


def test_large_vms_are_the_relays_of_their_domain(gossip, roster):
    """Relays send most; on small VMs their digests came late."""
    for number in range(1, 30):
        capacity = 2150 if number == 7 else 361
        roster.record_heartbeat(beat(number, capacity), 100.0, 100.0)
    assert set(gossip.relays('a')) == {'vm-0.r', 'vm-7.r'}
    assert gossip.is_relay()


def test_lost_relay_is_replaced_by_the_next_in_order(gossip, roster, clock):
    for number in range(1, 30):
        capacity = 2150 if number == 7 else 361
        roster.record_heartbeat(beat(number, capacity), 100.0, 100.0)
    clock.at += 1.5
    for number in set(range(1, 30)) - {7}:
        roster.record_heartbeat(beat(number, 361), clock.at, clock.at)
    clock.at += 0.5
    first, second = gossip.relays('a')
    assert first == 'vm-0.r'
    assert second not in {'vm-0.r', 'vm-7.r'}

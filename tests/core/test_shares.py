"""Shares of connections: restart of all proxies, and waiting requests."""

import machines
import pytest

from tidegrade import core
from tidegrade.core import _shares

#: Connections that an endpoint accepts, shared by seven proxies.
MAX_CONNECTIONS = 16
PROXIES = 7
CHECKING = core.Traits(
    checks_position=True, positions_restart=True, status_is_costly=True
)


@pytest.fixture
def proxy() -> machines.Machine:
    """One of seven proxies; no endpoint is in its failure domain."""
    domains = dict.fromkeys(machines.NAMES, 'y')
    return machines.Machine(CHECKING, domains, MAX_CONNECTIONS, PROXIES)


def hang_primary(
    machine: machines.Machine, seconds: float, pause: float
) -> None:
    """Send reads to the primary every ``pause`` s while it hangs."""
    machine.frozen = {'a'}
    for _ in range(round(seconds / pause)):
        number = len(machine.answers) + len(machine.running) + 1000
        machine.read(
            number + round(machine.now * 1e4),
            max_age=0.0,
            deadline=machine.now + 9.0,
        )
        machine.tick(pause)


def wait(machine: machines.Machine, seconds: float) -> None:
    for _ in range(round(seconds / 0.05)):
        machine.tick(0.05)


def test_all_restarted_proxies_can_connect_beside_dead_connections():
    """Guards against a full endpoint after a power loss of all VMs.

    The endpoint still counts the connections from before the power loss.
    When each proxy held all that it may, these were 14 of 16, and seven
    proxies could open only 2.
    """
    cfg = machines.Machine(CHECKING, {}, MAX_CONNECTIONS, PROXIES).core.cfg
    share = _shares.shares_of(cfg, PROXIES)['a']
    assert MAX_CONNECTIONS - PROXIES * share.usual >= PROXIES


def test_a_proxy_that_has_just_started_holds_the_usual_number(proxy):
    hang_primary(proxy, 0.12, 0.02)
    assert proxy.core.conn_count('a') == 1


def test_a_proxy_that_has_just_started_opens_a_second_connection(proxy):
    """Guards against the replacement of a healthy primary.

    It happened under load, after all connections to it had gone silent.
    """
    hang_primary(proxy, 0.3, 0.02)
    assert proxy.core.conn_count('a') == 2


def test_requests_that_wait_open_another_connection(proxy):
    wait(proxy, _shares.DEAD_CONNECTION_COUNTED_S)
    hang_primary(proxy, 0.3, 0.05)
    assert proxy.core.conn_count('a') == MAX_CONNECTIONS // PROXIES


def test_a_connection_above_the_usual_number_is_closed(proxy):
    wait(proxy, _shares.DEAD_CONNECTION_COUNTED_S)
    hang_primary(proxy, 0.3, 0.05)
    proxy.frozen = set()
    for conn, job in list(proxy.running.items()):
        done = core.JobDone(proxy.reports['a'], after_lsn=100)
        del proxy.running[conn]
        proxy.tell(core.JobEnded(conn, done))
        assert job is not None
    wait(proxy, 0.5)
    assert proxy.core.conn_count('a') == MAX_CONNECTIONS // PROXIES
    wait(proxy, _shares.SURPLUS_IDLE_S + 0.1)
    assert proxy.core.conn_count('a') == 1


def test_an_endpoint_that_is_full_is_not_down(proxy):
    """Guards against the replacement of a healthy primary after a power loss.

    All proxies restart, and the endpoint is full of the connections that
    they held before.
    """
    proxy.full = set(machines.NAMES)
    for conn, name in list(proxy.endpoint_of.items()):
        if name == 'a':
            proxy.tell(core.ConnClosed(conn))
    wait(proxy, 3.0)
    view = proxy.core.views['a']
    assert not core.is_down(view, proxy.core.cfg, proxy.now)
    assert proxy.core.reachable(proxy.now) == set(machines.NAMES)

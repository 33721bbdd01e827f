"""Connections that belong to one tenant: their use and their eviction.

There are many more tenants than connections that an endpoint accepts, and
each connection runs the statements of one tenant only.
"""

import machines
import pytest

from tidegrade import core
from tidegrade.core import _setup as setup

TRAITS = core.Traits(
    checks_position=True, begin_waits=True, tenants_connect=True
)


@pytest.fixture
def machine() -> machines.Machine:
    return machines.Machine(TRAITS, max_connections=4)


def run(
    machine: machines.Machine, number: int, tenant: str, **changes
) -> core.Answer:
    """Send a tenant's read of the primary; return its answer."""
    machine.tick()
    machine.read(number, tenant=tenant, max_age=0.0, **changes)
    for _ in range(20):
        if number in machine.answers:
            break
        machine.tick()
    return machine.answers[number]


def test_a_tenant_s_next_request_reuses_its_connection(machine):
    run(machine, 1, 'acme')
    opened = len(machine.endpoint_of)
    run(machine, 2, 'acme')
    assert len(machine.endpoint_of) == opened


def test_each_connection_is_opened_for_one_tenant(machine):
    for number, tenant in enumerate(('acme', 'bold', 'acme', 'bold')):
        answer = run(machine, number, tenant)
        assert answer.outcome is core.Outcome.DONE
    for conn, job in machine.ran:
        if isinstance(job, core.ReadJob):
            assert machine.tenant_of[conn] in ('acme', 'bold')


def test_more_tenants_than_connections_are_all_served(machine):
    for number in range(40):
        answer = run(machine, number, f'tenant-{number % 20}')
        assert answer.outcome is core.Outcome.DONE
        assert machine.core.conn_count('a') <= 4


def test_the_longest_idle_connection_is_evicted(machine):
    for number, tenant in enumerate(('t1', 't2', 't1', 't3', 't1', 't4')):
        run(machine, number, tenant)
    opened = len(machine.endpoint_of)
    run(machine, 100, 't1')
    assert len(machine.endpoint_of) == opened


def test_a_connection_in_a_transaction_is_not_evicted(machine):
    for number in range(3):
        assert run(machine, number, 't1', kind=core.Kind.BEGIN).txn
    for number in range(3, 9):
        run(machine, number, f'u{number}')
    assert machine.core.transactions == 3


def test_the_proxy_s_own_statements_open_no_tenant_s_connection(machine):
    for _ in range(40):
        machine.tick(0.1)
    assert set(machine.tenant_of.values()) == {''}


def test_a_statement_on_another_tenant_s_connection_ends_the_process(machine):
    run(machine, 1, 'acme')
    for conn in machine.core._state.pool:
        conn.tenant = 'acme'
    req = core.Request(9, 'bold', core.Kind.READ, machine.now + 1)
    pool = machine.core._state.pool
    conn = pool.any_idle('a')
    with pytest.raises(core.InvariantBroken):
        setup.setup_for(conn, req, ())


def test_an_order_to_an_unlisted_endpoint_times_out(machine):
    """Guards against a KeyError that ended the process.

    A supervisor's order names an endpoint that another proxy has replaced.
    The lookup of the limit on attempts to connect to it raised the error.
    """
    order = core.ControlRequested(
        1, 'gone', core.StatusJob(), machine.now + 0.1
    )
    machine.tell(order)
    machine.tick(0.2)
    ended = [c for c in machine.ended if c.control == 1]
    assert [c.outcome.failure for c in ended] == [core.Failure.TIMEOUT]


def test_more_connections_are_held_where_they_belong_to_tenants():
    """Ten tenants take turns.

    If only half of the endpoint's connections were held, each request would
    open a new one.
    """
    machine = machines.Machine(TRAITS, max_connections=12)
    for number in range(50):
        run(machine, number, f't{number % 10}')
    opened = [c for c, t in machine.tenant_of.items() if t]
    assert len(opened) <= 10
    assert machine.core.conn_count('a') <= 12

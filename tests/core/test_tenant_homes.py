"""Connections opened, by the choice of the home that serves a tenant.

The load: 26 tenants, a few of them large, whose callers come through three
homes of a group with endpoints that accept few connections. A request served
at the home nearest to its caller seldom finds an open connection of its
tenant; at the home that holds the tenant's connections it usually does.
"""

import random

import machines
import pytest

from tidegrade import core

TRAITS = core.Traits(
    checks_position=True, begin_waits=True, tenants_connect=True
)
HOMES = ('vm-1.r', 'vm-2.r', 'vm-3.r')
TENANTS = 26
REQUESTS = 900


def count_opened(choose) -> int:
    """Run the load; return the number of connections opened."""
    rng = random.Random(7)
    served = {
        home: machines.Machine(TRAITS, max_connections=29, max_proxies=3)
        for home in HOMES
    }
    names = [f't{n}' for n in range(TENANTS)]
    weights = [1 / (1 + n) for n in range(TENANTS)]
    for number in range(REQUESTS):
        (tenant,) = rng.choices(names, weights)
        machine = served[choose(tenant, rng)]
        machine.read(number, tenant=tenant, max_age=0.0)
        for _ in range(20):
            if number in machine.answers:
                break
            machine.tick()
        assert machine.answers[number].outcome is core.Outcome.DONE
    return sum(len(machine.endpoint_of) for machine in served.values())


@pytest.fixture
def opened_at_nearest() -> int:
    return count_opened(lambda tenant, rng: rng.choice(HOMES))


def test_a_tenant_s_home_opens_far_fewer_connections(opened_at_nearest):
    by_home = count_opened(
        lambda tenant, _: core.home_of_tenant('g', tenant, HOMES)
    )
    assert by_home < 0.6 * opened_at_nearest

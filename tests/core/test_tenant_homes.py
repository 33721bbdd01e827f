"""What it costs in connections where a tenant's requests are served.

The load pattern: 26 tenants, a few of them large, whose callers come through
three homes of a group with endpoints that take few connections. A request
that is served at the home nearest to its caller meets a connection of its
tenant seldom; at the one home that keeps the tenant's it mostly does.
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


def opened(choose) -> int:
    """Replay the load; give how many connections were opened."""
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
def nearest() -> int:
    return opened(lambda tenant, rng: rng.choice(HOMES))


def test_a_tenant_s_home_opens_far_fewer_connections(nearest):
    kept = opened(lambda tenant, _: core.home_of_tenant('g', tenant, HOMES))
    assert kept < 0.6 * nearest

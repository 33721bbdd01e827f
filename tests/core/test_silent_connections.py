"""Connections that go silent for good, while new ones to the same place work.

What happens: all connections to a healthy primary go silent; the proxies
take it for down and replace it, and what it had acknowledged and not yet
passed on is lost. Why: a poll was asked again only once it had timed out,
after 0.6 s, and 0.6 s of silence make a primary count as down. Nothing else
opened a second connection: writes that wait for the permission ask for none.

What showed it, in each run of the tests below before the mend: with one
connection, the poll on it outstanding for 600 ms and 600 ms of silence, the
primary counted as down at the very moment at which the poll timed out.
"""

import machines
import pytest

from tidegrade import core
from tidegrade.core import _shares

CHECKING = core.Traits(
    checks_position=True,
    positions_restart=True,
    fence_stops_replication=True,
    promotion_clears_promises=True,
    status_is_costly=True,
)

#: Connections that an endpoint takes, and the proxies that share them.
CAPS = ((1, 1), (2, 1), (16, 7), (30, 3), (53, 71))


@pytest.fixture(params=CAPS, ids=str)
def shared(request) -> machines.Machine:
    """Give a proxy that polls for the others and has no callers."""
    cap, sharers = request.param
    machine = machines.Machine(CHECKING, {}, cap, sharers)
    rest(machine, 1.0)
    return machine


def rest(machine: machines.Machine, seconds: float) -> bool:
    """Let time pass; tell whether the primary counted as down meanwhile."""
    down = False
    for _ in range(round(seconds / 0.05)):
        machine.tick(0.05)
        down = down or machine.core.considers_primary_down(machine.now)
    return down


def test_a_primary_behind_silent_connections_is_not_down(shared):
    shared.go_silent()
    assert not rest(shared, 3.0)


def test_the_permission_outlasts_silent_connections(shared):
    shared.go_silent()
    for _ in range(40):
        shared.tick(0.05)
        assert shared.core.may_acknowledge(shared.now)


def test_one_that_asks_for_itself_only_does_not_find_it_down(shared):
    """It last heard the endpoints long before its connections went silent."""
    shared.tell(core.PollingDutyChanged(False))
    rest(shared, 0.5)
    shared.go_silent()
    assert not rest(shared, 3.0)


def test_an_older_proxy_does_not_find_it_down(shared):
    rest(shared, _shares.DEAD_COUNTED_FOR)
    shared.go_silent()
    assert not rest(shared, 3.0)


def test_a_silent_connection_costs_two_polls_more(shared):
    """The one that hangs and its repetition, beside one each 0.35 s."""
    shared.go_silent()
    before = len(shared.jobs)
    rest(shared, 0.7)
    asked = [name for name, _ in shared.jobs[before:]]
    assert asked.count('a') <= 2 + 2


def test_an_endpoint_that_answers_elsewhere_is_not_blamed(shared):
    """Else no change of a primary could begin for 1.5 s after it."""
    shared.go_silent()
    for _ in range(40):
        shared.tick(0.05)
        assert shared.core.reachable() == set(machines.NAMES)


@pytest.fixture(params=[cap for cap in CAPS if cap[0] // cap[1] > 1], ids=str)
def wide(request) -> machines.Machine:
    """Give a proxy that may open a second connection."""
    cap, sharers = request.param
    machine = machines.Machine(CHECKING, {}, cap, sharers)
    rest(machine, 1.0)
    return machine


@pytest.mark.parametrize('kind', ['read', 'write'])
def test_a_statement_on_a_silent_connection_is_no_verdict(wide, kind):
    """It holds the only connection until its limit, and no poll went out."""
    wide.go_silent()
    if kind == 'read':
        wide.read(1, max_age=0.0, deadline=wide.now + 0.9)
    else:
        wide.write(1, None)
    assert not rest(wide, 4.0)


def test_connections_that_go_silent_again_and_again(shared):
    for _ in range(5):
        shared.go_silent()
        assert not rest(shared, 0.5)


def test_a_primary_that_answers_on_no_connection_is_down_as_soon(shared):
    """The aim is 0.6 s of silence; a poll may just have been answered."""
    shared.frozen = {'a'}
    assert rest(shared, 0.6 + 0.35 + 0.1)


def test_a_silent_endpoint_gets_few_connections(shared):
    """One more than the silent one, however long it lasts."""
    shared.frozen = set(machines.NAMES)
    before = len(shared.endpoint_of)
    rest(shared, 0.55)
    assert len(shared.endpoint_of) - before <= len(machines.NAMES)

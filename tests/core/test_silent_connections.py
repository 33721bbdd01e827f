"""Connections that go silent for good while new ones to the endpoint work.

Guards against this failure: all connections to a healthy primary go silent,
the proxies replace it as down, and writes that it had acknowledged but not
yet replicated are lost. A poll was repeated only after its timeout of 0.6 s,
and 0.6 s of silence make a primary count as down. So with one connection, a
poll unanswered for 600 ms meant 600 ms of silence, and the primary counted as
down at the moment of the timeout. Nothing else opened a second connection:
writes that wait for the permission open none.
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

#: Connections that an endpoint accepts, and the proxies that share them.
SHARES = ((1, 1), (2, 1), (16, 7), (30, 3), (53, 71))


@pytest.fixture(params=SHARES, ids=str)
def shared(request) -> machines.Machine:
    """A proxy that polls on behalf of its peers and has no callers."""
    max_connections, sharers = request.param
    machine = machines.Machine(CHECKING, {}, max_connections, sharers)
    advance(machine, 1.0)
    return machine


def advance(machine: machines.Machine, seconds: float) -> bool:
    """Advance time; return whether the primary ever counted as down."""
    down = False
    for _ in range(round(seconds / 0.05)):
        machine.tick(0.05)
        down = down or machine.core.considers_primary_down(machine.now)
    return down


def test_a_primary_behind_silent_connections_is_not_down(shared):
    shared.go_silent()
    assert not advance(shared, 3.0)


def test_the_permission_outlasts_silent_connections(shared):
    shared.go_silent()
    for _ in range(40):
        shared.tick(0.05)
        assert shared.core.may_acknowledge(shared.now)


def test_a_proxy_that_polls_for_itself_only_does_not_find_it_down(shared):
    """Its last answers are from long before its connections go silent."""
    shared.tell(core.PollingDutyChanged(False))
    advance(shared, 0.5)
    shared.go_silent()
    assert not advance(shared, 3.0)


def test_a_long_running_proxy_does_not_find_it_down(shared):
    advance(shared, _shares.DEAD_CONNECTION_COUNTED_S)
    shared.go_silent()
    assert not advance(shared, 3.0)


def test_a_silent_connection_costs_two_more_polls(shared):
    """The hung poll and its repetition, besides one poll every 0.35 s."""
    shared.go_silent()
    before = len(shared.jobs)
    advance(shared, 0.7)
    asked = [name for name, _ in shared.jobs[before:]]
    assert asked.count('a') <= 2 + 2


def test_an_endpoint_that_answers_on_a_new_connection_is_reachable(shared):
    """Otherwise no change of primary could start for 1.5 s afterwards."""
    shared.go_silent()
    for _ in range(40):
        shared.tick(0.05)
        assert shared.core.reachable(shared.now) == set(machines.NAMES)


@pytest.fixture(
    params=[
        max_connections
        for max_connections in SHARES
        if max_connections[0] // max_connections[1] > 1
    ],
    ids=str,
)
def growable(request) -> machines.Machine:
    """A proxy that may open a second connection."""
    max_connections, sharers = request.param
    machine = machines.Machine(CHECKING, {}, max_connections, sharers)
    advance(machine, 1.0)
    return machine


@pytest.mark.parametrize('kind', ['read', 'write'])
def test_a_statement_on_a_silent_connection_does_not_mean_down(growable, kind):
    """A hung statement occupied the only connection, so no poll was sent."""
    growable.go_silent()
    if kind == 'read':
        growable.read(1, max_age=0.0, deadline=growable.now + 0.9)
    else:
        growable.write(1, None)
    assert not advance(growable, 4.0)


def test_connections_that_go_silent_repeatedly(shared):
    for _ in range(5):
        shared.go_silent()
        assert not advance(shared, 0.5)


def test_a_primary_that_answers_on_no_connection_is_down_in_time(shared):
    """The limit is 0.6 s of silence; a poll may just have been answered."""
    shared.frozen = {'a'}
    assert advance(shared, 0.6 + 0.35 + 0.1)


def test_a_silent_endpoint_gets_at_most_one_more_connection(shared):
    """The number does not grow with the duration of the silence."""
    shared.frozen = set(machines.NAMES)
    before = len(shared.endpoint_of)
    advance(shared, 0.55)
    assert len(shared.endpoint_of) - before <= len(machines.NAMES)

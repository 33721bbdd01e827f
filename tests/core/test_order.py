"""The order of waiting requests during an overload."""

import machines
import pytest

from tidegrade import core

#: Service time of one statement at the endpoint, in seconds.
SERVICE_S = 0.02
#: Time from a request within which its answer is in time, in seconds.
AIM_S = 0.2
#: Longest wait of a request for an endpoint, in seconds.
PLACE_WITHIN_S = 0.6


@pytest.fixture
def single() -> machines.Machine:
    """Return a machine with one connection to each endpoint."""
    machine = machines.Machine(core.Traits(checks_position=True), {}, 1)
    machine.frozen = {'a'}
    return machine


def write(machine: machines.Machine, number: int, **changes) -> None:
    fields = {
        'id': number,
        'tenant': f'caller {number % 10}',
        'kind': core.Kind.WRITE,
        'deadline': machine.now + 0.8,
        'place_by': machine.now + PLACE_WITHIN_S,
        'aim': machine.now + AIM_S,
        'statements': (core.Statement('WRITE', id=str(number)),),
        'autocommit': True,
        **changes,
    }
    machine.tell(core.RequestArrived(core.Request(**fields)))


def serve_one(machine: machines.Machine) -> int:
    """Finish the running write; return its number, or 0 if none runs."""
    for conn, job in list(machine.running.items()):
        if not isinstance(job, core.WriteJob):
            continue
        del machine.running[conn]
        done = core.JobDone(machine.reports['a'], after_lsn=100)
        machine.tell(core.JobEnded(conn, done))
        return int(job.statement.id)
    return 0


def serve(machine: machines.Machine, seconds: float) -> dict[int, float]:
    """Serve one write each ``SERVICE_S``; return the times of the answers."""
    ended = {}
    for _ in range(round(seconds / SERVICE_S)):
        machine.tick(SERVICE_S)
        number = serve_one(machine)
        if number:
            ended[number] = machine.now
    return ended


def test_after_an_outage_new_requests_are_answered_in_time(single):
    """Replays a backlog of half a second before a load of 80 %.

    Served in the order of arrival, every request was late for as long as
    the backlog lasted.
    """
    arrived = {}
    for number in range(1, 26):
        arrived[number] = single.now - 0.3
        write(single, number, aim=single.now - 0.3 + AIM_S)
    in_time = 0
    for number in range(101, 141):
        arrived[number] = single.now
        write(single, number)
        for done, at in serve(single, SERVICE_S / 0.8).items():
            in_time += done > 100 and at - arrived[done] <= AIM_S
    assert in_time >= 30


def test_urgent_requests_go_first(single):
    for number in range(1, 6):
        write(single, number, priority=2)
    write(single, 9, priority=0)
    order = list(serve(single, 0.15))
    assert order.index(9) <= 1


def test_a_request_that_has_waited_long_overtakes_urgent_ones(single):
    write(single, 1, priority=0)
    write(single, 2, priority=2, aim=single.now + 9.0)
    for number in range(11, 40):
        single.tick(SERVICE_S)
        write(single, number, priority=1, aim=single.now + 9.0)
        if serve_one(single) == 2:
            break
    assert 11 < number < 35


def test_of_equal_requests_a_tenant_gets_its_turn(single):
    for number in range(10, 100, 10):
        write(single, number, tenant='busy')
    write(single, 1, tenant='rare')
    order = list(serve(single, 0.15))
    assert order.index(1) <= 2


def test_a_request_that_can_not_be_served_in_time_is_refused_on_arrival(
    single,
):
    """A queue longer than a request may wait refuses others at once."""
    for number in range(1, 200):
        write(single, number, aim=single.now + 9.0)
        if number % 4 == 0:
            serve(single, SERVICE_S)
    refused = [
        answer
        for answer in single.answers.values()
        if answer.outcome is core.Outcome.NOT_RUN
    ]
    assert refused
    assert all(answer.code is core.Code.OVERLOADED for answer in refused)
    assert all(answer.retry_after > 0 for answer in refused)

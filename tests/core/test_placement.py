"""The choice of a replica for a read under load."""

import machines

from tidegrade import core

#: Interval between the reads of one proxy in a deployment without faults, and
#: the maximum age of their data, both in seconds.
READ_INTERVAL_S = 0.02
MAX_AGE_S = 1.5

BEHIND = core.JobFailed(
    core.Failure.BEHIND, usable=True, report=machines.report(1)
)


def serve(machine: machines.Machine, seconds: float) -> list[str]:
    """Append to the log and read at intervals; return the endpoints asked."""
    machine.jobs.clear()
    for _ in range(round(seconds / READ_INTERVAL_S)):
        grown = machine.reports['a'].lsn + 1
        for name in machines.NAMES:
            primary = name == 'a'
            machine.reports[name] = machines.report(
                grown, in_recovery=not primary
            )
        number = len(machine.answers) + 1
        machine.read(number, max_age=MAX_AGE_S, replica_wait=0.02)
        machine.tick(READ_INTERVAL_S)
    return [
        name for name, job in machine.jobs if isinstance(job, core.ReadJob)
    ]


def leave_polls_to_a_peer(machine: machines.Machine) -> None:
    """Leave polling the endpoints to another proxy.

    Only one proxy of a group polls; the others get its evidence.
    """
    machine.tell(core.PollingDutyChanged(False))


def test_reads_return_to_the_near_replica_after_a_lag(spread):
    """Guards against a replica that never gets a read again after a lag.

    Only a replica's own answers show its position, so without a read it
    seems to stay behind.
    """
    leave_polls_to_a_peer(spread)
    assert set(serve(spread, 2.0)[-20:]) == {'c'}
    spread.failures = {'c': BEHIND}
    assert set(serve(spread, 2.0)[-5:]) <= {'b', 'c'}
    spread.failures = {}
    assert set(serve(spread, 2.0)[-20:]) == {'c'}


def test_a_lagging_replica_costs_few_round_trips(spread):
    leave_polls_to_a_peer(spread)
    serve(spread, 2.0)
    spread.failures = {'c': BEHIND}
    asked = serve(spread, 3.0)
    assert asked.count('c') <= 3.0 / 0.3 + 1
    assert asked.count('b') >= 140


def test_one_statement_does_not_send_the_next_far_away(spread):
    """An endpoint runs several statements at once.

    A read must not go to another domain while the near replica has a free
    slot.
    """
    leave_polls_to_a_peer(spread)
    serve(spread, 2.0)
    spread.frozen = {'c'}
    spread.jobs.clear()
    first = len(spread.answers) + 1000
    for number in range(8):
        spread.read(first + number, max_age=MAX_AGE_S)
    names = [
        name for name, job in spread.jobs if isinstance(job, core.ReadJob)
    ]
    assert names.count('c') >= spread.core.cfg.endpoints['c'].slots


def test_reads_leave_a_replica_that_has_turned_slow(spread):
    """Guards against a slow replica in the same domain getting every read.

    It was preferred whenever it had no statement of this proxy.
    """
    leave_polls_to_a_peer(spread)
    serve(spread, 2.0)
    slow = spread.core.views['c']
    spread.core.views['b'].record_read(0.01, spread.now)
    slow.record_read(0.01, spread.now)
    for _ in range(8):
        slow.record_read(0.08, spread.now)
    assert serve(spread, 0.5)[0] == 'b'


def test_a_replica_that_was_slow_is_tried_again(spread):
    leave_polls_to_a_peer(spread)
    serve(spread, 2.0)
    spread.core.views['b'].record_read(0.01, spread.now)
    spread.core.views['c'].record_read(9.0, spread.now)
    assert 'c' not in serve(spread, 0.9)
    assert 'c' in serve(spread, 0.5)

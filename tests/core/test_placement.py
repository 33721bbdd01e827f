"""Which replica gets a read, under load that shows what it costs."""

import machines

from tidegrade import core

#: Reads of one proxy on a calm deployment, and how old they may be.
PAUSE = 0.02
MAX_AGE = 1.5

BEHIND = core.JobFailed(
    core.Failure.BEHIND, usable=True, report=machines.report(1)
)


def serve(machine: machines.Machine, seconds: float) -> list[str]:
    """Let the log grow and read all the while; give who answered."""
    machine.jobs.clear()
    for _ in range(round(seconds / PAUSE)):
        grown = machine.reports['a'].lsn + 1
        for name in machines.NAMES:
            primary = name == 'a'
            machine.reports[name] = machines.report(
                grown, in_recovery=not primary
            )
        number = len(machine.answers) + 1
        machine.read(number, max_age=MAX_AGE, replica_wait=0.02)
        machine.tick(PAUSE)
    return [
        name for name, job in machine.jobs if isinstance(job, core.ReadJob)
    ]


def keep_informed(machine: machines.Machine) -> None:
    """Leave asking the endpoints to another proxy, as all but one do."""
    machine.tell(core.PollingDutyChanged(False))


def test_reads_return_to_the_near_replica_after_a_lag(spread):
    """Before, no read went there again: only answers show a position."""
    keep_informed(spread)
    assert set(serve(spread, 2.0)[-20:]) == {'c'}
    spread.failures = {'c': BEHIND}
    assert set(serve(spread, 2.0)[-5:]) <= {'b', 'c'}
    spread.failures = {}
    assert set(serve(spread, 2.0)[-20:]) == {'c'}


def test_a_lagging_replica_costs_few_round_trips(spread):
    keep_informed(spread)
    serve(spread, 2.0)
    spread.failures = {'c': BEHIND}
    asked = serve(spread, 3.0)
    assert asked.count('c') <= 3.0 / 0.3 + 1
    assert asked.count('b') >= 140


def test_one_statement_does_not_send_the_next_far_away(spread):
    """An endpoint runs several at once; a busy slot is no queue."""
    keep_informed(spread)
    serve(spread, 2.0)
    spread.frozen = {'c'}
    spread.jobs.clear()
    first = len(spread.answers) + 1000
    for number in range(8):
        spread.read(first + number, max_age=MAX_AGE)
    names = [
        name for name, job in spread.jobs if isinstance(job, core.ReadJob)
    ]
    assert names.count('c') >= spread.core.cfg.endpoints['c'].slots


def test_reads_leave_a_replica_that_has_turned_slow(spread):
    """Before, a slow one near by got every read that found it unused."""
    keep_informed(spread)
    serve(spread, 2.0)
    slow = spread.core.views['c']
    spread.core.views['b'].record_read(0.01, spread.now)
    slow.record_read(0.01, spread.now)
    for _ in range(8):
        slow.record_read(0.08, spread.now)
    assert serve(spread, 0.5)[0] == 'b'


def test_a_replica_that_was_slow_is_tried_again(spread):
    keep_informed(spread)
    serve(spread, 2.0)
    spread.core.views['b'].record_read(0.01, spread.now)
    spread.core.views['c'].record_read(9.0, spread.now)
    assert 'c' not in serve(spread, 0.9)
    assert 'c' in serve(spread, 0.5)

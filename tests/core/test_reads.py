"""Reads and writes through the group machine."""

from hypothesis import given
from hypothesis import strategies as st
import machines
import pytest

from tidegrade import core
from tidegrade.core import _view


def test_a_replica_serves_a_session_it_covers(machine):
    machine.read(1, floor=core.Position(1, 100))
    assert machine.answers[1].from_replica


def test_the_primary_serves_what_no_replica_has(machine):
    machine.reports['a'] = machines.report(500, in_recovery=False)
    machine.read(1, floor=core.Position(1, 500))
    for _ in range(40):
        machine.tick()
    assert machine.answers[1].endpoint == 'a'


def test_cached_positions_are_never_trusted_alone(machine):
    """The replica reported 100 before; its answer carries position 10."""
    machine.reports['b'] = machine.reports['c'] = machines.report(10)
    machine.read(1, floor=core.Position(1, 100))
    for _ in range(40):
        machine.tick()
    assert machine.answers[1].endpoint == 'a'


def test_a_former_primary_is_no_replica(machine):
    """Guards against reads at a primary of a former term.

    A primary that was suspended during a failover still reports itself as
    the primary when it resumes.
    """
    machine.reports['b'] = machines.report(100, in_recovery=False)
    machine.reports['c'] = machines.report(100, marker=0)
    for _ in range(20):
        machine.tick()
    for req_id in range(1, 9):
        machine.read(req_id, floor=core.Position(1, 100))
    assert {a.endpoint for a in machine.answers.values()} == {'a'}


def test_a_lost_history_is_reported(machine):
    row = core.GroupRow(2, 'b', frozenset(machines.NAMES), (core.Fork(1, 90),))
    machine.tell(core.RowReceived(row))
    machine.read(1, floor=core.Position(1, 100))
    assert machine.answers[1].code is core.Code.HISTORY_LOST
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_token_of_a_newer_term_waits_for_the_row(machine):
    machine.read(1, floor=core.Position(2, 1))
    assert 1 not in machine.answers
    for name in ('b', 'c'):
        machine.reports[name] = machines.report(120, marker=2, promised=2)
    machine.reports['b'] = machines.report(
        120, marker=2, promised=2, in_recovery=False
    )
    machine.tell(
        core.RowReceived(
            core.GroupRow(
                2, 'b', frozenset(machines.NAMES), (core.Fork(1, 100),)
            )
        )
    )
    for _ in range(10):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.DONE


def test_stale_data_is_not_served_beyond_its_bound(machine):
    for name in ('b', 'c'):
        machine.reports[name] = machines.report(50)
    for _ in range(60):
        machine.tick()
    machine.read(1, max_age=0.5)
    assert machine.answers[1].endpoint == 'a'


def test_a_cut_off_primary_leaves_reads_within_their_age(machine):
    for _ in range(30):
        machine.tick()
    machine.read(1, max_age=5.0)
    assert machine.answers[1].from_replica
    assert machine.answers[1].age < 5.0


def test_a_read_past_its_deadline_is_refused_at_once(machine):
    machine.read(1, floor=core.Position(9, 1), deadline=machine.now + 0.1)
    for _ in range(6):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN
    assert machine.answers[1].retry_after > 0


def test_an_unmet_staleness_bound_is_reported(machine):
    """The primary takes no work and the replicas exceed the maximum age."""
    for name in ('b', 'c'):
        machine.reports[name] = machines.report(50)
    machine.tell(core.LeavingEndpointsChanged(frozenset({'a'})))
    for _ in range(120):
        machine.tick()
    machine.read(1, max_age=0.5, deadline=machine.now + 0.2)
    for _ in range(20):
        machine.tick()
    assert machine.answers[1].code is core.Code.TOO_STALE
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_primary_that_lacks_the_position_is_retried_with_backoff(machine):
    """Guards against an endless loop of tries without a backoff.

    It occurs when the primary itself lacks the required position.
    """
    machine.read(1, floor=core.Position(1, 10**6), deadline=machine.now + 1)
    for _ in range(60):
        machine.tick()
    tries = [job for _, job in machine.jobs if isinstance(job, core.ReadJob)]
    assert len(tries) < 60
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_token_newer_than_every_sample_waits_for_a_replica(machine):
    """Another proxy has just acknowledged the write of the session."""
    machine.read(1, floor=core.Position(1, 150))
    machine.reports['a'] = machines.report(150, in_recovery=False)
    machine.reports['b'] = machine.reports['c'] = machines.report(150)
    for _ in range(10):
        machine.tick()
    assert machine.answers[1].from_replica


@pytest.mark.parametrize('key', [None, 'k'])
def test_a_write_stuck_at_a_frozen_primary_goes_on_in_the_new_term(
    machine, key
):
    """Guards against a write that stays at a frozen primary.

    Its caller waited for the deadline: 3.2 s instead of one second.
    """
    machine.frozen.add('a')
    machine.write(1, key)
    machine.tick()
    machine.new_term()
    for _ in range(20):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.DONE
    assert machine.answers[1].endpoint == 'b'


def test_an_error_of_a_replica_that_lags_is_not_the_answer(machine):
    """Guards against an error that is due to the lag of a replica.

    The replica lacked a table that the session had created, so the caller
    got status 422 for a valid statement.
    """
    machine.failing = {'b', 'c'}
    machine.read(1, floor=core.Position(1, 150))
    machine.reports['a'] = machines.report(150, in_recovery=False)
    for _ in range(20):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.DONE
    assert machine.answers[1].endpoint == 'a'


def test_an_error_of_a_replica_that_covers_is_the_answer(machine):
    machine.failing = {'b', 'c'}
    machine.read(1, floor=core.Position(1, 100))
    assert machine.answers[1].code is core.Code.STATEMENT_FAILED


@given(
    times=st.lists(st.floats(0, 10), max_size=20),
    at=st.floats(0, 10),
)
def test_the_oldest_sample_since_a_time_is_found(times, at):
    """An older sample would let a replica serve data older than allowed."""
    samples = _view.PositionSamples()
    kept = []
    for number, time in enumerate(times):
        samples.add(time, number)
        if not kept or time > kept[-1]:
            kept.append(time)
    found = samples.oldest_since(at)
    expected = min((time for time in kept if time >= at), default=None)
    assert (found and found.at) == expected

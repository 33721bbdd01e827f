"""Endpoints that answer polls but fail every statement of a caller.

A primary reset each connection on which a statement arrived. It answered
polls, so it did not count as down: its group served nothing for five seconds,
and each read was tried up to 17 times.
"""

import itertools

import machines
import pytest

from tidegrade import core
from tidegrade.core import _election
from tidegrade.core.health import _work

RESET = core.JobFailed(core.Failure.LOST)
HANGS = core.JobFailed(core.Failure.TIMEOUT)
#: Requests of callers in the load of these tests, per second.
RATE_PER_S = 20
#: The time limit of a request, in seconds.
LIMIT_S = 0.8


def write(
    machine: machines.Machine, req_id: int, limit: float = LIMIT_S
) -> None:
    machine.tell(
        core.RequestArrived(
            core.Request(
                id=req_id,
                tenant='t',
                kind=core.Kind.WRITE,
                deadline=machine.now + limit,
                place_by=machine.now + limit * 0.75,
                statements=(core.Statement('UPDATE x'),),
                idempotent=True,
            )
        )
    )


def statements_at(machine: machines.Machine, name: str) -> int:
    """Return how many statements were sent to an endpoint so far."""
    return sum(
        endpoint == name and isinstance(job, machines.STATEMENTS)
        for endpoint, job in machine.jobs
    )


def load(machine: machines.Machine, seconds: float, first_id: int) -> int:
    """Send writes at a constant rate; return the next request id."""
    steps = int(seconds * RATE_PER_S)
    for number in range(first_id, first_id + steps):
        write(machine, number)
        machine.tick(1 / RATE_PER_S)
    return first_id + steps


def test_a_primary_that_resets_every_statement_counts_as_down(machine):
    machine.gray['a'] = RESET
    load(machine, 2.0, 1)
    assert machine.core.considers_primary_down(machine.now)


def test_an_empty_transaction_is_no_sign_of_a_working_primary():
    """The start of one closed the breaker, and the primary stayed."""
    machine = machines.Machine(max_connections=6)
    machine.gray['a'] = RESET
    started = 0
    for number in range(1, 60):
        write(machine, 2 * number)
        machine.tick(0.03)
        req = core.Request(
            id=2 * number + 1,
            tenant='t',
            kind=core.Kind.BEGIN,
            deadline=machine.now + LIMIT_S,
            statements=(),
        )
        machine.tell(core.RequestArrived(req))
        machine.tick(0.03)
        answer = machine.answers.get(req.id)
        if answer is not None and answer.outcome is core.Outcome.DONE:
            started += 1
            end = core.Request(
                id=1000 + number,
                tenant='t',
                kind=core.Kind.ROLLBACK,
                deadline=machine.now + LIMIT_S,
                txn=answer.txn,
            )
            machine.tell(core.RequestArrived(end))
    assert started
    assert machine.core.considers_primary_down(machine.now)


def test_a_failing_primary_gets_few_statements(machine):
    """Retries opened a connection each and starved the polls."""
    machine.gray['a'] = RESET
    next_id = load(machine, 1.0, 1)
    before = statements_at(machine, 'a')
    load(machine, 3.0, next_id)
    assert statements_at(machine, 'a') - before <= 5


def test_requests_for_a_failing_primary_are_refused_early(machine):
    """They waited until their callers gave up, and were refused then."""
    machine.gray['a'] = RESET
    next_id = load(machine, 2.0, 1)
    write(machine, next_id)
    machine.tick(0.1)
    answer = machine.answers[next_id]
    assert answer.outcome is core.Outcome.NOT_RUN
    assert answer.retry_after is not None


def test_a_primary_that_works_again_is_used_after_one_trial(machine):
    machine.gray['a'] = RESET
    next_id = load(machine, 2.0, 1)
    del machine.gray['a']
    next_id = load(machine, 1.2, next_id)
    assert not machine.core.considers_primary_down(machine.now)
    write(machine, next_id)
    machine.tick()
    assert machine.answers[next_id].outcome is core.Outcome.DONE


def test_a_reset_of_all_connections_does_not_replace_the_primary(machine):
    """One event resets what is in progress; the next statements succeed."""
    machine.gray['a'] = RESET
    for number in range(1, 6):
        write(machine, number)
    del machine.gray['a']
    load(machine, 1.0, 10)
    assert not machine.core.considers_primary_down(machine.now)
    assert machine.answers[12].outcome is core.Outcome.DONE


@pytest.mark.parametrize(
    'failed',
    [
        core.JobFailed(core.Failure.STATEMENT, usable=True),
        # An idempotency key whose request has rolled back meanwhile.
        core.JobFailed(core.Failure.LOST, usable=True),
        # A statement that ended its transaction.
        core.JobFailed(core.Failure.LOST, answered=True),
    ],
)
def test_statements_that_fail_by_themselves_count_as_answers(machine, failed):
    """A caller with a wrong statement must not replace the primary."""
    machine.gray['a'] = failed
    load(machine, 3.0, 1)
    assert not machine.core.considers_primary_down(machine.now)


def test_reads_avoid_a_replica_that_resets_statements(machine):
    machine.gray['b'] = RESET
    for number in range(1, 60):
        machine.read(number)
        machine.tick(0.05)
    outcomes = {a.outcome for a in machine.answers.values()}
    assert outcomes == {core.Outcome.DONE}
    assert statements_at(machine, 'b') <= _work.MIN_FAILURES + 6


def test_two_resets_long_apart_do_not_replace_the_primary(machine):
    """Without statements between them they counted as one long failure."""
    machine.gray['a'] = RESET
    for number in range(1, 4):
        write(machine, number)
    machine.tick(60.0)
    write(machine, 10)
    assert not machine.core.considers_primary_down(machine.now)


def test_a_failure_is_no_evidence_for_ever(machine):
    """A home whose callers stayed away kept its opinion until a new term.

    Nor does the breaker stay open: the next statement is a trial.
    """
    machine.gray['a'] = RESET
    next_id = load(machine, 2.0, 1)
    assert machine.core.considers_primary_down(machine.now)
    for _ in range(15):
        machine.tick(1.0)
    assert not machine.core.considers_primary_down(machine.now)
    del machine.gray['a']
    write(machine, next_id)
    machine.tick()
    assert machine.answers[next_id].outcome is core.Outcome.DONE


def test_a_pause_of_the_process_does_not_replace_the_primary(machine):
    """Statements lost before and after a pause are no long failure."""
    machine.gray['a'] = RESET
    for number in range(1, 4):
        write(machine, number)
    machine.now += 2.0
    machine.tell(core.ProcessPaused(2.0))
    machine.tell(core.RowReceived(machines.ROW, machine.now))
    machine.tick()
    machine.tick()
    before = statements_at(machine, 'a')
    write(machine, 10)
    assert statements_at(machine, 'a') > before
    assert not machine.core.considers_primary_down(machine.now)


def test_a_new_term_reports_no_failing_endpoint():
    """Writes that are abandoned at a new term say nothing of an endpoint.

    Three of them made the log state that the former primary failed.
    """
    machine = machines.Machine(max_connections=8)
    machine.frozen.add('a')
    for number in range(1, 30):
        write(machine, number)
        machine.tick(0.01)
    running = machine.running.values()
    assert sum(isinstance(job, machines.STATEMENTS) for job in running) >= 3
    machine.new_term()
    assert machine.health_changes == []


def load_unanswered(
    machine: machines.Machine, first_id: int, limit: float
) -> int:
    """Send writes for 4 s that time out; return the next request id.

    The frozen endpoints answer polls.
    """
    for number in range(first_id, first_id + 80):
        write(machine, number, limit)
        machine.tick(0.05)
        for conn, job in list(machine.running.items()):
            if not isinstance(job, machines.STATEMENTS):
                report = machine.reports[machine.endpoint_of[conn]]
                del machine.running[conn]
                done = core.JobDone(report, after_lsn=report.lsn)
                machine.tell(core.JobEnded(conn, done))
    return first_id + 80


@pytest.mark.parametrize('answers', [False, True])
def test_slow_statements_do_not_replace_one_primary_after_another(answers):
    """A caller whose statements all time out made each primary count as down.

    Time-outs count at a new primary once it has answered a statement.
    """
    machine = machines.Machine(max_connections=6)
    machine.frozen = {'a', 'b'}
    next_id = load_unanswered(machine, 1, LIMIT_S)
    assert machine.core.considers_primary_down(machine.now)
    machine.new_term()
    if answers:
        machine.frozen.clear()
        next_id = load(machine, 1.0, next_id)
        machine.frozen.add('b')
    load_unanswered(machine, next_id, LIMIT_S)
    assert statements_at(machine, 'b') >= _work.MIN_FAILURES
    assert machine.core.fails_work('b', machine.now) is answers


def test_statements_without_time_do_not_replace_the_primary(machine):
    """Requests near their deadlines time out at any endpoint."""
    machine.frozen.add('a')
    sent = statements_at(machine, 'a')
    load_unanswered(machine, 1, limit=0.03)
    assert not machine.core.fails_work('a', machine.now)
    assert statements_at(machine, 'a') - sent > 20


@pytest.mark.parametrize('refused', [False, True])
def test_time_outs_count_unless_the_endpoint_refuses_others(refused):
    """A full queue lets statements time out; a hung endpoint answers none."""
    health = _work.WorkHealth()
    for step in range(20):
        now = 10 + step * 0.1
        health.record_timeout(now - 0.5, now)
        if refused and step % 4 == 3:
            health.record_answer()
    assert health.is_failing(now) is not refused


def test_trials_become_rarer_and_stop_with_an_answer():
    health = _work.WorkHealth()
    for step in range(_work.MIN_FAILURES):
        health.record_lost(10 + step)
    now, sent = 20.0, []
    while now < 26:
        if health.may_send(now):
            health.record_sent(now)
            health.record_lost(now)
            sent.append(now)
        now += 0.05
    gaps = [b - a for a, b in itertools.pairwise(sent)]
    assert gaps[0] < 0.2
    assert max(gaps) <= _work.MAX_TRIAL_INTERVAL_S + 0.1
    health.record_answer()
    assert health.may_send(now)
    assert not health.is_open


def test_a_failing_primary_that_answers_polls_stays_reachable(machine):
    """No proxy replaced it: each trial restarted the time of a majority.

    A lost statement is recorded as a failure until the next poll is answered.
    """
    machine.gray['a'] = RESET
    load(machine, 2.0, 1)
    view = machine.core.views['a']
    view.record_failure(False, machine.now)
    assert 'a' in machine.core.reachable(machine.now)
    later = machine.now + machine.core.cfg.suspect_after_s
    assert 'a' not in machine.core.reachable(later)


def test_a_failed_poll_makes_a_working_endpoint_unreachable(machine):
    machine.core.views['a'].record_failure(False, machine.now)
    assert 'a' not in machine.core.reachable(machine.now)


ALL = frozenset(machines.NAMES)


@pytest.mark.parametrize(
    ('replica_lsn', 'chosen'), [(200, 'b'), (199, 'c')], ids=['equal', 'older']
)
def test_a_failing_primary_is_elected_only_for_its_newer_data(
    replica_lsn, chosen
):
    """With equal data the failing primary was elected again, by its name.

    Newer data may hold acknowledged writes that the replicas lack.
    """
    fenced = {
        'c': machines.report(200, promised=2, in_recovery=False),
        'b': machines.report(replica_lsn, promised=2),
        'a': machines.report(replica_lsn, promised=2),
    }
    known = _election.ElectionState(
        fenced, ALL, frozenset(), False, frozenset('c')
    )
    row = core.GroupRow(1, 'c', ALL)
    assert _election.choose_primary(row, known) == chosen

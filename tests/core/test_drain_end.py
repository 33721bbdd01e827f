"""The answers of the group machine as the process is about to end."""

import machines
import pytest

from tidegrade import core


def ask(
    machine: machines.Machine,
    req_id: int,
    kind: core.Kind,
    txn: str = '',
    autocommit: bool = False,
) -> core.Answer | None:
    """Send a request; return its answer, None if it has none yet."""
    req = core.Request(
        id=req_id,
        tenant='t',
        kind=kind,
        deadline=machine.now + 3.0,
        statements=(core.Statement('UPDATE x'),),
        txn=txn,
        autocommit=autocommit,
    )
    machine.tell(core.RequestArrived(req))
    return machine.answers.get(req_id)


@pytest.fixture
def begun(machine) -> str:
    """The name of a transaction that is open at the primary."""
    return ask(machine, 1, core.Kind.BEGIN).txn


@pytest.mark.parametrize(
    ('kind', 'autocommit', 'outcome'),
    [
        (core.Kind.READ, False, core.Outcome.NOT_RUN),
        (core.Kind.BEGIN, False, core.Outcome.NOT_RUN),
        (core.Kind.WRITE, False, core.Outcome.NOT_RUN),
        (core.Kind.WRITE, True, core.Outcome.UNKNOWN),
    ],
)
def test_a_request_at_an_endpoint_is_answered(
    machine, kind, autocommit, outcome
):
    """A request that ran as the process ended got no answer.

    A write whose transaction is never committed was not run.
    """
    machine.frozen = set(machines.NAMES)
    assert ask(machine, 1, kind, autocommit=autocommit) is None
    machine.tell(core.DrainEnded())
    assert machine.answers[1].outcome is outcome
    assert not machine.core.in_use()


@pytest.mark.parametrize(
    ('kind', 'outcome'),
    [
        (core.Kind.EXECUTE, core.Outcome.NOT_RUN),
        (core.Kind.COMMIT, core.Outcome.UNKNOWN),
        (core.Kind.ROLLBACK, core.Outcome.NOT_RUN),
    ],
)
def test_a_step_of_a_transaction_is_answered(machine, begun, kind, outcome):
    """Guards against a refusal of a commit that may have taken effect."""
    machine.frozen = set(machines.NAMES)
    assert ask(machine, 2, kind, begun) is None
    machine.tell(core.DrainEnded())
    assert machine.answers[2].outcome is outcome
    assert not machine.core.in_use()


@pytest.mark.parametrize('autocommit', [False, True])
def test_a_write_that_waits_for_a_connection_was_not_run(machine, autocommit):
    """It was answered as unknown, so that its caller could not repeat it."""
    machine.frozen = set(machines.NAMES)
    for number in range(1, 8):
        ask(machine, number, core.Kind.WRITE, autocommit=autocommit)
    sent = [j for _, j in machine.jobs if isinstance(j, core.WriteJob)]
    machine.tell(core.DrainEnded())
    outcomes = [machine.answers[n].outcome for n in range(1, 8)]
    unknown = outcomes.count(core.Outcome.UNKNOWN)
    assert unknown == len(sent)
    assert outcomes.count(core.Outcome.NOT_RUN) == 7 - unknown


def test_an_idle_transaction_is_rolled_back(machine, begun):
    """Its locks stayed at the endpoint until its idle limit."""
    machine.tell(core.DrainEnded())
    assert isinstance(machine.jobs[-1][1], core.RollbackJob)
    assert not machine.core.transactions


def test_a_connection_at_work_is_closed(machine):
    """Nothing may commit after its request was answered as not run."""
    machine.frozen = set(machines.NAMES)
    ask(machine, 1, core.Kind.WRITE)
    at_work = {
        conn
        for conn, job in machine.running.items()
        if isinstance(job, core.StartJob)
    }
    machine.tell(core.DrainEnded())
    assert at_work
    assert at_work <= machine.closed


@pytest.mark.parametrize('kind', list(core.Kind))
def test_nothing_is_run_afterwards(machine, begun, kind):
    machine.tell(core.DrainEnded())
    ran = len(machine.jobs)
    answer = ask(machine, 2, kind, begun)
    assert answer.outcome is core.Outcome.NOT_RUN
    machine.tick()
    later = [job for _, job in machine.jobs[ran:]]
    assert not any(isinstance(job, machines.STATEMENTS) for job in later)

"""Interactive transactions in the group machine: use and limits."""

import machines

from tidegrade import core


def step(
    machine: machines.Machine, req_id: int, kind: core.Kind, txn: str = ''
) -> core.Answer | None:
    req = core.Request(
        id=req_id,
        tenant='t',
        kind=kind,
        deadline=machine.now + 3.0,
        statements=(core.Statement('UPDATE x'),),
        txn=txn,
    )
    machine.tell(core.RequestArrived(req))
    return machine.answers.get(req_id)


def test_a_transaction_left_idle_is_rolled_back(machine):
    txn = step(machine, 1, core.Kind.BEGIN).txn
    assert machine.core.transactions == 1
    machine.tick(machine.core.cfg.txn_idle_s + 0.1)
    assert machine.core.transactions == 0
    assert any(isinstance(j, core.RollbackJob) for _, j in machine.jobs)
    answer = step(machine, 2, core.Kind.COMMIT, txn)
    assert answer.code is core.Code.TXN_UNKNOWN
    assert answer.outcome is core.Outcome.NOT_RUN


def test_a_transaction_in_use_ends_at_its_time_limit(machine):
    txn = step(machine, 1, core.Kind.BEGIN).txn
    cfg = machine.core.cfg
    req_id = 1
    while machine.core.transactions:
        req_id += 1
        answer = step(machine, req_id, core.Kind.EXECUTE, txn)
        assert answer.outcome is core.Outcome.DONE
        machine.tick(cfg.txn_idle_s / 2)
    assert req_id > cfg.txn_limit_s / cfg.txn_idle_s


def test_one_connection_stays_free_of_transactions(machine):
    assert step(machine, 1, core.Kind.BEGIN).outcome is core.Outcome.DONE
    answer = step(machine, 2, core.Kind.BEGIN)
    assert answer.code is core.Code.TXN_LIMIT
    assert answer.retry_after > 0


def test_a_new_term_ends_the_transactions_of_the_former_one(machine):
    txn = step(machine, 1, core.Kind.BEGIN).txn
    machine.new_term()
    answer = step(machine, 2, core.Kind.COMMIT, txn)
    assert answer.outcome is core.Outcome.NOT_RUN


def test_a_draining_proxy_refuses_begins_and_finishes_open_transactions(
    machine,
):
    txn = step(machine, 1, core.Kind.BEGIN).txn
    machine.tell(core.DrainStarted())
    assert step(machine, 2, core.Kind.BEGIN).code is core.Code.DRAINING
    assert machine.core.in_use()
    answer = step(machine, 3, core.Kind.COMMIT, txn)
    for _ in range(5):
        machine.tick()
    assert machine.answers[3].outcome is core.Outcome.DONE
    assert not machine.core.in_use()
    assert answer is None or answer.outcome is core.Outcome.DONE

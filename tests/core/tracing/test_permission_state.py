"""Why a proxy does not hold the permission."""

import machines

from tidegrade import core
from tidegrade.core.tracing import _permission_state

Reason = _permission_state.LossReason


def reason(machine: machines.Machine) -> Reason | None:
    return machine.core.permission_state(machine.now).reason


def test_each_loss_has_its_reason():
    """Guards against a loss that looks like another cause in the log."""
    machine = machines.Machine()
    assert reason(machine) is None
    machine.tell(core.Registered(False))
    assert reason(machine) is Reason.NOT_REGISTERED
    machine.tell(core.Registered(True))
    machine.frozen.update(machines.NAMES)
    machine.platform_answers = False
    machine.tell(core.ProcessPaused(2.0))
    assert reason(machine) is Reason.PROCESS_PAUSED
    machine.platform_answers = True
    machine.tell(core.RowReceived(machines.ROW, machine.now))
    machine.now += 1.5
    assert reason(machine) is Reason.LAPSED
    machine.tell(core.GiveUp(2))
    assert reason(machine) is Reason.GIVEN_UP


def test_a_later_promise_shows_the_member():
    """Guards against a fence by a supervisor that no proxy's log shows."""
    machine = machines.Machine()
    for name in ('b', 'c'):
        machine.reports[name] = machines.report(100, promised=2)
    machine.platform_answers = False
    for _ in range(20):
        machine.tick(0.05)
    state = machine.core.permission_state(machine.now)
    assert state.reason is Reason.LATER_TERM
    assert [g.member for g in state.grants if g.promised == 2] == ['b', 'c']

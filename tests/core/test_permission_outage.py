"""Members restart or connections are reset while the store is away.

With a healthy majority writes go on without the platform
(docs/design/fencing.md).
"""

import attrs
from conftest import CHECKING
import machines
import pytest

from tidegrade import core
from tidegrade.core import _evidence

# As the session proxy configures its groups.
INTERVAL_S = 0.35
#: Pause between two restarts, in ticks of 0.02 s: 5 s.
PAUSE = 250


def _reset(machine, name):
    """Break all connections to a member, which answers new ones at once."""
    for conn, endpoint in list(machine.endpoint_of.items()):
        if endpoint == name and conn not in machine.closed:
            machine.closed.add(conn)
            machine.tell(core.ConnClosed(conn))


def _started(polls):
    machine = machines.Machine(CHECKING)
    cfg = attrs.evolve(machine.core.cfg, poll_interval_s=INTERVAL_S)
    machine.tell(core.ConfigChanged(cfg, 1))
    machine.tell(core.PollingDutyChanged(polls))
    for _ in range(100):
        machine.tick()
    # The newest read of the row before the store fails.
    machine.tell(core.RowReceived(machines.ROW, machine.now))
    for _ in range(10):
        machine.tick()
    assert machine.core.may_acknowledge(machine.now)
    machine.platform_answers = False
    return machine


def _lost(one, other, resets):
    """Return the ticks without permission of two proxies, and the length.

    ``resets`` names the members whose connections break, one at a time.
    The second proxy gets the evidence of the first.
    """
    lost, step = [0, 0], 0
    for names in [*resets, '']:
        for machine in (one, other):
            for name in names:
                _reset(machine, name)
        for _ in range(PAUSE):
            step += 1
            for machine in (one, other):
                machine.tick()
            if step % 15 == 0:
                for source, target in ((one, other), (other, one)):
                    if source is other and not one.core.needs_row(one.now):
                        continue
                    found = source.core.evidence()
                    found = _evidence.shifted(found, target.now - source.now)
                    target.tell(core.EvidenceReceived(found, target.now))
            lost[0] += not one.core.may_acknowledge(one.now)
            lost[1] += not other.core.may_acknowledge(other.now)
    return lost, step


@pytest.mark.parametrize(
    'resets', [['b'], ['c'], ['a'], ['b', 'c'], ['a', 'b', 'c'], ['abc']]
)
def test_a_restart_ends_no_permission_while_the_store_is_away(resets):
    """One member at a time restarts, or all connections are reset once."""
    one, other = _started(True), _started(False)
    lost, step = _lost(one, other, resets)
    assert max(lost) < step / 4, (lost, step)


def test_the_polling_proxy_keeps_the_permission_beside_one_that_holds_it():
    """All connections of one proxy are reset; the other's are whole."""
    one, other = _started(True), _started(False)
    for name in machines.NAMES:
        _reset(one, name)
    lost, step = _lost(one, other, [])
    assert max(lost) < step / 4, (lost, step)

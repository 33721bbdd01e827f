"""A primary that became a replica, and the cancellation of control jobs.

A late order of a superseded supervisor can make the primary of the newest
term a replica. That endpoint answers every poll, so a failure detector that
relies on missing answers alone never counts it as down and the group keeps no
primary. In soak seed 215, beside 16 busy processes, event 1306 showed
`data_term` 3 and `promised` 4 at the primary of term 5; every write returned
`no_primary` until the run ended 28 s later, and no proxy logged event 1302.
"""

import machines
import pytest

from tidegrade import core

FENCE = core.FenceJob(4)


def control_job(
    machine: machines.Machine, endpoint: str
) -> core.ControlRequested:
    return core.ControlRequested(1, endpoint, FENCE, machine.now + 1.0)


def poll_all(machine: machines.Machine) -> None:
    """Advance the time until each endpoint has been polled again."""
    for _ in range(40):
        machine.tick(0.05)


def test_a_primary_is_not_down(checking):
    poll_all(checking)
    assert not checking.core.considers_primary_down(checking.now)


def test_a_primary_that_became_a_replica_counts_as_down(checking):
    checking.reports['a'] = machines.report(100)
    poll_all(checking)
    assert checking.core.considers_primary_down(checking.now)


def test_a_primary_that_is_primary_again_is_not_down(checking):
    checking.reports['a'] = machines.report(100)
    poll_all(checking)
    checking.reports['a'] = machines.report(100, in_recovery=False)
    poll_all(checking)
    assert not checking.core.considers_primary_down(checking.now)


def test_the_role_in_the_former_term_does_not_count(checking):
    """The new primary was still a replica at its last poll."""
    poll_all(checking)
    checking.frozen = {'b'}
    row = core.GroupRow(2, 'b', frozenset(machines.NAMES))
    checking.tell(core.RowReceived(row))
    checking.tick(0.01)
    assert not checking.core.considers_primary_down(checking.now)


def test_a_running_control_job_is_cancelled(checking):
    checking.frozen = {'a'}
    checking.tell(control_job(checking, 'a'))
    (conn,) = (c for c, job in checking.running.items() if job == FENCE)
    checking.tell(core.ControlsCancelled())
    assert conn in checking.closed


@pytest.mark.parametrize('endpoint', machines.NAMES)
def test_a_waiting_control_job_is_cancelled(checking, endpoint):
    """A job that waits for a connection is cancelled and never runs."""
    checking.full = {endpoint}
    for conn, name in list(checking.endpoint_of.items()):
        if name == endpoint:
            checking.tell(core.ConnClosed(conn))
    checking.tell(control_job(checking, endpoint))
    assert (endpoint, FENCE) not in checking.jobs
    checking.tell(core.ControlsCancelled())
    checking.full = set()
    checking.tick(0.5)
    checking.tick(0.1)
    assert checking.core.conn_count(endpoint)
    assert (endpoint, FENCE) not in checking.jobs

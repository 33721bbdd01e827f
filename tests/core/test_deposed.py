"""A primary that answers but no longer leads, and orders taken back.

What happens: an order that comes late, of a supervisor that was superseded,
makes the primary of the newest term a replica. It answers every poll, so
silence never makes it count as down, and nobody leads the group. Why: a
primary counted as down by its silence alone.

Soak seed 215 beside 16 busy processes: event 1306 showed `data_term` 3 and
`promised` 4 at the primary of term 5; 28 s later every write still got
`no_primary`, and no proxy had logged 1302.
"""

import machines
import pytest

from tidegrade import core

FENCE = core.FenceJob(4)


def asked(machine: machines.Machine, endpoint: str) -> core.ControlRequested:
    return core.ControlRequested(1, endpoint, FENCE, machine.now + 1.0)


def poll(machine: machines.Machine) -> None:
    """Let time pass until each endpoint has been asked again."""
    for _ in range(40):
        machine.tick(0.05)


def test_a_primary_that_leads_is_not_down(checking):
    poll(checking)
    assert not checking.core.considers_primary_down(checking.now)


def test_a_primary_that_follows_counts_as_down(checking):
    checking.reports['a'] = machines.report(100)
    poll(checking)
    assert checking.core.considers_primary_down(checking.now)


def test_one_that_leads_again_does_not(checking):
    checking.reports['a'] = machines.report(100)
    poll(checking)
    checking.reports['a'] = machines.report(100, in_recovery=False)
    poll(checking)
    assert not checking.core.considers_primary_down(checking.now)


def test_what_it_was_in_the_former_term_does_not_count(checking):
    """The next primary was a replica when it was last asked."""
    poll(checking)
    checking.frozen = {'b'}
    row = core.GroupRow(2, 'b', frozenset(machines.NAMES))
    checking.tell(core.RowReceived(row))
    checking.tick(0.01)
    assert not checking.core.considers_primary_down(checking.now)


def test_an_order_under_way_is_taken_back(checking):
    checking.frozen = {'a'}
    checking.tell(asked(checking, 'a'))
    (conn,) = (c for c, job in checking.running.items() if job == FENCE)
    checking.tell(core.ControlsCancelled())
    assert conn in checking.closed


@pytest.mark.parametrize('endpoint', machines.NAMES)
def test_an_order_that_waits_is_taken_back(checking, endpoint):
    """No connection is there, and none is to be had, until it is too late."""
    checking.full = {endpoint}
    for conn, name in list(checking.endpoint_of.items()):
        if name == endpoint:
            checking.tell(core.ConnClosed(conn))
    checking.tell(asked(checking, endpoint))
    assert (endpoint, FENCE) not in checking.jobs
    checking.tell(core.ControlsCancelled())
    checking.full = set()
    checking.tick(0.5)
    checking.tick(0.1)
    assert checking.core.conn_count(endpoint)
    assert (endpoint, FENCE) not in checking.jobs

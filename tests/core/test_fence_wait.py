"""A majority at the last look that was not fenced as the wait began."""

import test_failover

from tidegrade import core
from tidegrade.core.permission import _permission
from tidegrade.core import supervision


def test_the_wait_counts_from_the_fence_of_the_majority_that_is_left():
    """Guards against a promotion while a cut-off proxy may still read.

    Replica c loses its promise during the wait, and an isolated proxy renews
    its permission by a and c until a promises as well.
    """
    harness = test_failover.Harness()
    harness.claim()
    controls = harness.take(supervision.RunControl)
    late = [c for c in controls if c.endpoint == 'a']
    for control in controls:
        if control.endpoint in 'bc':
            harness.end(
                control, core.JobDone(test_failover.report(promised=2))
            )
    harness.take(supervision.ListHolders)
    harness.tell(supervision.HoldersListed(frozenset({'p1', 'p2'})))
    harness.now += 0.9
    # The fence of a ends now. Until here a and c could grant term 1.
    fenced_at = harness.now
    for control in late:
        harness.end(control, core.JobDone(test_failover.report(promised=2)))
    written = []
    while harness.now < fenced_at + _permission.PERMISSION_LENGTH:
        harness.now += 0.05
        harness.observe()
        for control in harness.take(supervision.RunControl):
            promised = 0 if control.endpoint == 'c' else 2
            harness.end(
                control,
                core.JobDone(test_failover.report(promised=promised)),
            )
        written += harness.take(supervision.WriteRow)
    chosen = [w.row.attempt.chosen for w in written if w.row.attempt]
    assert not any(chosen)

"""Answers that come late, and primaries that show older positions."""

import attrs
import machines

from tidegrade import core
from tidegrade.core.permission import _permission


def _polls(machine, name):
    return [
        conn
        for conn, job in machine.running.items()
        if isinstance(job, core.StatusJob)
        and machine.endpoint_of[conn] == name
    ]


def test_a_delayed_poll_lets_no_machine_acknowledge_in_a_former_term(
    checking,
):
    """The whole machine: the answer comes within the time limit of a poll.

    The proxy is cut off from the platform and its peers. The replicas have
    promised term 2, and the promotion ends this 1.1 s later.
    """
    machine = checking
    machine.platform_answers = False
    start = machine.now
    assert machine.core.may_acknowledge(start)
    fenced_at = None
    sent: dict[int, float] = {}
    while machine.core.may_acknowledge(machine.now):
        if fenced_at is None:
            fenced_at = machine.now
            # The links to the replicas hold everything back from here on.
            machine.frozen = {'b', 'c'}
        machine.tick()
        for conn in [*_polls(machine, 'b'), *_polls(machine, 'c')]:
            sent.setdefault(conn, machine.now)
    lapsed_at = machine.now
    promoted_at = fenced_at + _permission.PERMISSION_WAIT + 0.05
    while machine.now < promoted_at:
        machine.tick()
        for conn in [*_polls(machine, 'b'), *_polls(machine, 'c')]:
            sent.setdefault(conn, machine.now)
    late = [
        conn
        for conn in sent
        if sent[conn] <= lapsed_at
        and conn in machine.running
        and conn not in machine.closed
    ]
    found = machine.reports['c']
    for conn in late:
        job = machine.running.pop(conn)
        assert isinstance(job, core.StatusJob)
        machine.tell(
            core.JobEnded(conn, core.JobDone(found, after_lsn=found.lsn))
        )
        assert not machine.core.may_acknowledge(machine.now)


def _dated(machine):
    for step in range(10):
        lsn = 100 + 10 * step
        machine.reports['a'] = machines.report(lsn, in_recovery=False)
        machine.reports['b'] = machine.reports['c'] = machines.report(lsn)
        machine.tick(0.1)


def _last_read(machine):
    reads = [j for _, j in machine.jobs if isinstance(j, core.ReadJob)]
    return reads[-1]


def test_a_primary_that_restarts_and_replays_dates_no_older_position(
    checking,
):
    """Guards against a bounded read that lacks acknowledged commits.

    A primary restarts within its term and serves while it still applies its
    log, so it shows positions below those that it has shown before.
    """
    _dated(checking)
    newest = checking.reports['a'].lsn
    checking.reports['a'] = machines.report(60, in_recovery=False)
    checking.reports['b'] = checking.reports['c'] = machines.report(60)
    for _ in range(8):
        checking.tick(0.1)
    checking.read(1, max_age=0.5)
    assert _last_read(checking).after is not None
    assert _last_read(checking).after.lsn >= newest


def test_a_read_of_the_primary_names_the_newest_known_position(checking):
    """Guards against a read at a primary that lacks what it has shown.

    It may have restarted, and apply its log later.
    """
    _dated(checking)
    checking.read(1, max_age=0.0)
    assert _last_read(checking).after is not None


def test_the_first_read_of_a_term_names_where_it_began(checking):
    """Guards against a new primary that has not applied what it received."""
    checking.new_term()
    row = attrs.evolve(checking.core.row, start=core.Position(1, 190))
    start = checking.core.row.term + 1
    checking.tell(core.RowReceived(attrs.evolve(row, term=start)))
    checking.platform_answers = True
    for name in machines.NAMES:
        checking.reports[name] = machines.report(
            0, marker=start, promised=start, in_recovery=name != 'b'
        )
    for _ in range(20):
        checking.tick()
    checking.read(1, max_age=0.0)
    assert _last_read(checking).after == core.Position(1, 190)

"""Reads through the group machine, with a fake endpoint's reports."""

import random

import pytest

from tidegrade import config
from tidegrade import core

NAMES = ('a', 'b', 'c')
ROW = core.GroupRow(1, 'a', frozenset(NAMES))


def report(lsn: int, **changes) -> core.EndpointReport:
    fields = {
        'in_recovery': True,
        'lsn': lsn,
        'received_lsn': lsn,
        'marker': 1,
        'promised': 0,
        **changes,
    }
    return core.EndpointReport(**fields)


class Machine:
    """A group machine whose connections answer as they are told."""

    def __init__(self) -> None:
        cfg = config.Group(
            endpoints={
                n: config.Endpoint(n, 1, 'x', max_connections=2) for n in NAMES
            },
            initial_primary='a',
        )
        settings = core.MachineSettings('p1', 'x', 1)
        self.core = core.GroupMachine(cfg, settings, random.Random(1))
        self.now = 50.0
        self.reports = {
            'a': report(100, in_recovery=False),
            'b': report(100),
            'c': report(100),
        }
        self.endpoint_of: dict[int, str] = {}
        self.answers: dict[int, core.Answer] = {}
        self.jobs: list[tuple[str, core.Job]] = []
        self.tell(core.Registered(True))
        self.tell(core.RowSeen(ROW))
        for _ in range(3):
            self.tick()

    def tick(self, seconds: float = 0.02) -> None:
        self.now += seconds
        self.tell(core.Tick())

    def tell(self, event: core.Event) -> None:
        waiting = [event]
        while waiting:
            for command in self.core.handle(waiting.pop(0), self.now):
                waiting.extend(self._carry_out(command))

    def _carry_out(self, command: core.Command) -> list[core.Event]:
        if isinstance(command, core.OpenConn):
            self.endpoint_of[command.conn] = command.endpoint
            return [core.ConnOpened(command.conn)]
        if isinstance(command, core.CloseConn):
            return [core.ConnClosed(command.conn)]
        if isinstance(command, core.RunJob):
            name = self.endpoint_of[command.conn]
            self.jobs.append((name, command.job))
            found = self.reports[name]
            done = core.JobDone(found, after_lsn=found.lsn)
            return [core.JobEnded(command.conn, done)]
        if isinstance(command, core.Reply):
            assert command.req_id not in self.answers
            self.answers[command.req_id] = command.answer
        return []

    def read(self, req_id: int, **changes) -> None:
        fields = {
            'id': req_id,
            'tenant': 't',
            'kind': core.Kind.READ,
            'deadline': self.now + 1.0,
            'statements': (core.Statement('SELECT 1'),),
            **changes,
        }
        self.tell(core.RequestArrived(core.Request(**fields)))


@pytest.fixture
def machine() -> Machine:
    return Machine()


def test_a_replica_serves_a_session_it_covers(machine):
    machine.read(1, floor=core.Position(1, 100))
    assert machine.answers[1].from_replica


def test_the_primary_serves_what_no_replica_has(machine):
    machine.reports['a'] = report(500, in_recovery=False)
    machine.read(1, floor=core.Position(1, 500))
    for _ in range(40):
        machine.tick()
    assert machine.answers[1].endpoint == 'a'


def test_cached_positions_are_never_trusted_alone(machine):
    """The replica said 100 before; on the answering connection it has 10."""
    machine.reports['b'] = machine.reports['c'] = report(10)
    machine.read(1, floor=core.Position(1, 100))
    for _ in range(40):
        machine.tick()
    assert machine.answers[1].endpoint == 'a'


def test_a_former_primary_is_no_replica(machine):
    """Found with real processes: a thawed primary that says it is one."""
    machine.reports['b'] = report(100, in_recovery=False)
    machine.reports['c'] = report(100, marker=0)
    for _ in range(20):
        machine.tick()
    for req_id in range(1, 9):
        machine.read(req_id, floor=core.Position(1, 100))
    assert {a.endpoint for a in machine.answers.values()} == {'a'}


def test_a_lost_history_is_told(machine):
    row = core.GroupRow(2, 'b', frozenset(NAMES), (core.Fork(1, 90),))
    machine.tell(core.RowSeen(row))
    machine.read(1, floor=core.Position(1, 100))
    assert machine.answers[1].code is core.Code.HISTORY_LOST
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_token_of_a_newer_term_waits_for_the_row(machine):
    machine.read(1, floor=core.Position(2, 1))
    assert 1 not in machine.answers
    for name in ('b', 'c'):
        machine.reports[name] = report(120, marker=2, promised=2)
    machine.reports['b'] = report(120, marker=2, promised=2, in_recovery=False)
    machine.tell(
        core.RowSeen(
            core.GroupRow(2, 'b', frozenset(NAMES), (core.Fork(1, 100),))
        )
    )
    for _ in range(10):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.DONE


def test_stale_data_is_not_served_beyond_its_bound(machine):
    for name in ('b', 'c'):
        machine.reports[name] = report(50)
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

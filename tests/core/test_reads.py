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
        self.frozen: set[str] = set()
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
            if name in self.frozen:
                return []
            found = self.reports[name]
            done = core.JobDone(found, after_lsn=found.lsn)
            return [core.JobEnded(command.conn, done)]
        if isinstance(command, core.Reply):
            assert command.req_id not in self.answers
            self.answers[command.req_id] = command.answer
        return []

    def write(self, req_id: int, key: str | None) -> None:
        req = core.Request(
            id=req_id,
            tenant='t',
            kind=core.Kind.WRITE,
            deadline=self.now + 3.0,
            statements=(core.Statement('UPDATE x'),),
            key=key,
        )
        self.tell(core.RequestArrived(req))

    def new_term(self) -> None:
        """Let endpoint b lead term 2."""
        for name in NAMES:
            self.reports[name] = report(
                200, marker=2, promised=2, in_recovery=name != 'b'
            )
        row = core.GroupRow(2, 'b', frozenset(NAMES), (core.Fork(1, 100),))
        self.tell(core.RowSeen(row))

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


def test_a_bound_that_nobody_meets_is_told(machine):
    """The primary is gone and the replicas grow older than the bound."""
    for name in ('b', 'c'):
        machine.reports[name] = report(50)
    machine.tell(core.LeavingChanged(frozenset({'a'})))
    for _ in range(120):
        machine.tick()
    machine.read(1, max_age=0.5, deadline=machine.now + 0.2)
    for _ in range(20):
        machine.tick()
    assert machine.answers[1].code is core.Code.TOO_STALE
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_primary_that_lacks_the_position_is_not_hammered(machine):
    """It looped without end once: tries at the primary had no pause."""
    machine.read(1, floor=core.Position(1, 10**6), deadline=machine.now + 1)
    for _ in range(60):
        machine.tick()
    tries = [job for _, job in machine.jobs if isinstance(job, core.ReadJob)]
    assert len(tries) < 60
    assert machine.answers[1].outcome is core.Outcome.NOT_RUN


def test_a_token_newer_than_every_sample_waits_for_a_replica(machine):
    """The write was acknowledged through another proxy just now."""
    machine.read(1, floor=core.Position(1, 150))
    machine.reports['a'] = report(150, in_recovery=False)
    machine.reports['b'] = machine.reports['c'] = report(150)
    for _ in range(10):
        machine.tick()
    assert machine.answers[1].from_replica


@pytest.mark.parametrize('key', [None, 'k'])
def test_a_write_stuck_at_a_frozen_primary_goes_on_in_the_new_term(
    machine, key
):
    """Real callers waited out their deadlines: 3.2 s instead of one."""
    machine.frozen.add('a')
    machine.write(1, key)
    machine.tick()
    machine.new_term()
    for _ in range(20):
        machine.tick()
    assert machine.answers[1].outcome is core.Outcome.DONE
    assert machine.answers[1].endpoint == 'b'

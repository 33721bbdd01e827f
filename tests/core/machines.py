"""A group machine with simulated connections for the core's tests."""

import random

from tidegrade import config
from tidegrade import core

NAMES = ('a', 'b', 'c')
ROW = core.GroupRow(1, 'a', frozenset(NAMES))
#: Jobs that run statements of callers.
STATEMENTS = (
    core.ReadJob,
    core.WriteJob,
    core.StartJob,
    core.ExecuteJob,
    core.CommitJob,
)


def report(lsn: int, **changes) -> core.EndpointReport:
    marker = changes.get('marker', 1)
    fields = {
        'in_recovery': True,
        'lsn': lsn,
        'received': core.Position(marker, lsn),
        'marker': marker,
        'promised': 0,
        **changes,
    }
    return core.EndpointReport(**fields)


def _runs_statements(job: core.Job) -> bool:
    """Return whether a job does more than to begin a transaction."""
    if isinstance(job, core.StartJob) and not job.statements:
        return False
    return isinstance(job, STATEMENTS)


class Machine:
    """A group machine with connections whose answers a test controls."""

    def __init__(
        self,
        traits: core.Traits | None = None,
        domains: dict[str, str] | None = None,
        max_connections: int = 2,
        max_proxies: int = 1,
    ) -> None:
        domain_of = domains or {}
        cfg = config.Group(
            endpoints={
                name: config.Endpoint(
                    name, 1, domain_of.get(name, 'x'), max_connections
                )
                for name in NAMES
            },
            initial_primary='a',
        )
        settings = core.MachineSettings(
            'p1', 'x', max_proxies, traits or core.Traits()
        )
        self.core = core.GroupMachine(cfg, settings, random.Random(1))
        self.now = 50.0
        self.reports = {
            'a': report(100, in_recovery=False),
            'b': report(100),
            'c': report(100),
        }
        self.endpoint_of: dict[int, str] = {}
        #: The tenant for which each connection was opened.
        self.tenant_of: dict[int, str | None] = {}
        #: Each job with the connection that it was sent on.
        self.ran: list[tuple[int, core.Job]] = []
        self.answers: dict[int, core.Answer] = {}
        self.frozen: set[str] = set()
        self.failing: set[str] = set()
        self.failures: dict[str, core.JobFailed] = {}
        #: Endpoints that answer polls, but fail callers' statements this way.
        self.gray: dict[str, core.JobFailed] = {}
        #: Connections that answer no more jobs.
        self.silent: set[int] = set()
        #: Endpoints that accept no more connections.
        self.full: set[str] = set()
        self.jobs: list[tuple[str, core.Job]] = []
        #: Jobs that got no answer, by connection.
        self.running: dict[int, core.Job] = {}
        #: Connections that the machine has closed.
        self.closed: set[int] = set()
        #: A supervisor's jobs that have ended.
        self.ended: list[core.ControlEnded] = []
        #: Endpoints whose circuit breakers have opened or closed.
        self.health_changes: list[core.WorkHealthChanged] = []
        #: Whether the platform answers reads of the row.
        self.platform_answers = True
        self.tell(core.Registered(True))
        self.tell(core.RowReceived(ROW))
        for _ in range(3):
            self.tick()

    def go_silent(self) -> None:
        """Stop the answers on all open connections; new ones work."""
        self.silent = set(self.endpoint_of) - self.closed

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
            self.tenant_of[command.conn] = command.tenant
            if command.endpoint in self.full:
                return [core.ConnClosed(command.conn, full=True)]
            return [core.ConnOpened(command.conn)]
        if isinstance(command, core.CloseConn):
            self.closed.add(command.conn)
            return [core.ConnClosed(command.conn)]
        if isinstance(command, core.RunJob):
            name = self.endpoint_of[command.conn]
            self.jobs.append((name, command.job))
            self.ran.append((command.conn, command.job))
            if name in self.frozen or command.conn in self.silent:
                self.running[command.conn] = command.job
                return []
            if name in self.failures:
                return [core.JobEnded(command.conn, self.failures[name])]
            if name in self.gray and _runs_statements(command.job):
                return [core.JobEnded(command.conn, self.gray[name])]
            if name in self.failing and isinstance(command.job, core.ReadJob):
                failed = core.JobFailed(core.Failure.STATEMENT, usable=True)
                return [core.JobEnded(command.conn, failed)]
            found = self.reports[name]
            done = core.JobDone(found, after_lsn=found.lsn)
            return [core.JobEnded(command.conn, done)]
        if isinstance(command, core.FetchRow) and self.platform_answers:
            row = self.core.row
            return [core.RowReceived(row, self.now)] if row else []
        if isinstance(command, core.ControlEnded):
            self.ended.append(command)
        if isinstance(command, core.WorkHealthChanged):
            self.health_changes.append(command)
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
        """Publish term 2 with endpoint b as the primary."""
        for name in NAMES:
            self.reports[name] = report(
                200, marker=2, promised=2, in_recovery=name != 'b'
            )
        row = core.GroupRow(2, 'b', frozenset(NAMES), (core.Fork(1, 100),))
        self.tell(core.RowReceived(row))

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

"""Stand-in of a database instance, and of one service of three of them.

An instance behaves as the pages say: positions are TERM.NUMBER of the last
entry of its log, each commit that writes is assigned the next number, and a
promoted instance leads the next term with what it had received.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

#: Work of a statement and of a new connection, in seconds.
WORK_S = 0.006
CONNECT_S = 0.012
#: Statements that an instance runs at the same time.
SLOTS = 3
#: Delay of replication until a commit is applied, in seconds.
APPLY_S = 0.06
#: Pause between rounds of replication, in seconds.
ROUND_S = 0.005
#: Time from a promote call until it has taken effect, in seconds.
PROMOTE_S = 0.3
#: How long an old primary goes on after it has met the new one, in seconds.
OLD_PRIMARY_S = 1.0

Position = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class Entry:
    """A commit in a log; ``request_id`` is that of its COMMIT or WRITE."""

    term: int
    number: int
    request_id: str
    puts: tuple[tuple[str, str], ...]


@dataclasses.dataclass
class Session:
    """What one connection has set, prepared and begun."""

    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    state: str = 'I'
    read_only: bool = False
    puts: list[tuple[str, str]] = dataclasses.field(default_factory=list)


class RefusedError(Exception):
    """A statement ends with an error code."""


class Instance:
    """One instance; ``log_run`` is told each statement that ran."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        log_run: Callable[[str], None],
    ) -> None:
        self.id = name
        self.service = service
        self.zone = zone
        self.role = 'replica'
        self.term = 1
        self.held = 0
        self.running = False
        self.state = 'ready'
        self.port = 0
        self.log: list[Entry] = []
        self.received_at: list[float] = []
        self.met_at: float | None = None
        self._log_run = log_run
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    # Life -----------------------------------------------------------------

    async def start(self) -> None:
        """Listen, at the same port after a crash."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True

    def crash(self) -> None:
        """End at once: the listener closes and connections are reset."""
        assert self._server is not None
        self.running = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    # The log --------------------------------------------------------------

    @property
    def received(self) -> Position:
        """The position of the last entry of the log."""
        return self._position(len(self.log))

    @property
    def applied(self) -> Position:
        """The position that reads see."""
        return self._position(self._applied_count())

    def _position(self, count: int) -> Position:
        if not count:
            return (1, 0)
        last = self.log[count - 1]
        return (last.term, last.number)

    def _applied_count(self) -> int:
        if self.role == 'primary':
            return len(self.log)
        due = time.monotonic() - APPLY_S
        return sum(at <= due for at in self.received_at)

    def follow(self, primary: 'Instance') -> None:
        """Receive the primary's log; what it lacks is rolled back."""
        self.term = primary.term
        kept = 0
        while (
            kept < min(len(self.log), len(primary.log))
            and self.log[kept] == primary.log[kept]
        ):
            kept += 1
        new = primary.log[kept:]
        now = time.monotonic()
        self.log = self.log[:kept] + new
        self.received_at = self.received_at[:kept] + [now] * len(new)

    def _commit(self, request_id: str, puts: list[tuple[str, str]]) -> None:
        number = self.received[1] + 1
        self.log.append(Entry(self.term, number, request_id, tuple(puts)))
        self.received_at.append(time.monotonic())
        self._log_run(f'{self.id} commits {request_id} {self.term}.{number}')

    def _read(self, item: str) -> str:
        found = '-'
        for entry in self.log[: self._applied_count()]:
            found = dict(entry.puts).get(item, found)
        return found

    # Connections ----------------------------------------------------------

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has gone, or the case ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await _line(reader)).split(' ')
        if fields[:2] != ['CONNECT', self.service]:
            writer.write(b'ERROR MISROUTED\r\n')
            return
        session = Session()
        async with self._slots:
            await asyncio.sleep(CONNECT_S)
        writer.write(self._ready(session))
        while True:
            kind, request_id, text = (await _line(reader)).split(' ', 2)
            assert kind == 'QUERY'
            verb = text.split(' ')[0]
            if verb in ('READ', 'WRITE', 'EXEC', 'COMMIT', 'AFTER'):
                async with self._slots:
                    await asyncio.sleep(WORK_S)
            try:
                said = self._run(session, request_id, text)
            except RefusedError as exc:
                said = [f'ERROR {exc}']
                if session.state == 'T':
                    session.state = 'E'
            lines = ''.join(f'{line}\r\n' for line in said)
            writer.write(lines.encode() + self._ready(session))
            await writer.drain()

    def _ready(self, session: Session) -> bytes:
        term, number = self.applied
        return f'READY {session.state} {term}.{number}\r\n'.encode()

    # Statements -----------------------------------------------------------

    def _run(self, session: Session, request_id: str, text: str) -> list[str]:
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, number = position.split('.')
            if self.applied < (int(term), int(number)):
                raise RefusedError('BEHIND')
        verb, _, rest = text.partition(' ')
        if session.state == 'E' and verb not in ('ROLLBACK', 'COMMIT'):
            raise RefusedError('MALFORMED')
        if verb == 'EXEC':
            name, _, rest = rest.partition(' ')
            if name not in session.prepared:
                raise RefusedError('NOSTMT')
            verb = session.prepared[name][0]
        if verb in ('READ', 'WRITE', 'COMMIT'):
            return self._run_counted(session, request_id, verb, rest)
        return self._run_own(session, verb, rest)

    def _run_counted(
        self, session: Session, request_id: str, verb: str, rest: str
    ) -> list[str]:
        """Run what only consumers send."""
        plain = session.state == 'T' and not session.read_only
        empty = verb == 'COMMIT' and not session.puts
        needs_lead = verb == 'WRITE' or (plain and not empty)
        if needs_lead and self.role != 'primary':
            raise RefusedError(f'READONLY {self.id}')
        self._log_run(f'{self.id} runs {request_id} {verb} {rest}'.rstrip())
        receipt = f'DONE {self.id}.{request_id}'
        if verb == 'READ':
            return [f'ROW {self._read(rest.split(" ")[0])}', receipt]
        if verb == 'WRITE':
            item, _, data = rest.partition(' ')
            if session.state == 'T':
                session.puts.append((item, data))
            else:
                self._commit(request_id, [(item, data)])
            return [receipt]
        if session.puts and session.state == 'T':
            self._commit(request_id, session.puts)
        session.state, session.puts = 'I', []
        return [receipt]

    def _run_own(self, session: Session, verb: str, rest: str) -> list[str]:
        """Run what a proxy may send by itself."""
        if verb == 'BEGIN':
            session.read_only = rest == 'READ'
            if not session.read_only and self.role != 'primary':
                raise RefusedError(f'READONLY {self.id}')
            session.state, session.puts = 'T', []
        elif verb == 'ROLLBACK':
            if session.puts:
                self._log_run(f'{self.id} rolls back {session.puts}')
            session.state, session.puts = 'I', []
        elif verb == 'SET':
            name, _, value = rest.partition(' ')
            session.values[name] = value
        elif verb == 'PREPARE':
            name, kind, shape = rest.split(' ', 2)
            session.prepared[name] = (kind, shape)
        elif verb == 'RESET':
            session.values, session.prepared = {}, {}
        elif verb in ('STATUS', 'SUSPEND', 'RESUME', 'STEPDOWN'):
            return self._supervise(verb, rest)
        else:
            raise RefusedError('MALFORMED')
        return ['DONE -']

    def _supervise(self, verb: str, rest: str) -> list[str]:
        if verb == 'SUSPEND' and self.role == 'replica':
            if int(rest) > self.term:
                self.held = int(rest)
        elif verb == 'RESUME':
            self.held = 0
        elif verb == 'STEPDOWN' and self.term < int(rest):
            self.role = 'replica'
        if verb != 'STATUS':
            self._log_run(f'{self.id} is told {verb} {rest}'.rstrip())
        term, number = self.received
        lag = 0 if self.role == 'primary' else int(APPLY_S * 1000)
        return [
            f'ROW {self.role} {self.term} {term}.{number} {self.held} {lag} '
            f'0 {len(self._writers)}',
            'DONE -',
        ]


class Service:
    """Three instances: replication, promotions and their entries."""

    def __init__(
        self, name: str, zones: list[str], log_run: Callable[[str], None]
    ) -> None:
        self.name = name
        self._log_run = log_run
        self.instances = [
            Instance(f'i-{zone}', name, zone, log_run) for zone in zones
        ]
        self.instances[0].role = 'primary'

    async def start(self) -> None:
        """Start all instances."""
        for instance in self.instances:
            await instance.start()

    @property
    def primary(self) -> Instance:
        """The instance that leads, or led last, the newest term."""
        return max(self.instances, key=lambda i: (i.role == 'primary', i.term))

    def promote(self, name: str) -> int:
        """Order a promotion; return the status of the call."""
        for instance in self.instances:
            if instance.id == name and instance.running:
                asyncio.get_running_loop().call_later(
                    PROMOTE_S, self._lead, instance
                )
                return 200
        return 409

    def _lead(self, instance: Instance) -> None:
        if not instance.running or instance.role == 'primary':
            return
        instance.term = max(i.term for i in self.instances) + 1
        instance.role, instance.held = 'primary', 0
        term, number = instance.received
        self._log_run(
            f'{instance.id} leads term {instance.term} at {term}.{number}'
        )

    async def restart(self, instance: Instance) -> None:
        """Let a crashed instance come back with its log."""
        if self.primary is not instance:
            instance.role = 'replica'
        instance.held = 0
        await instance.start()
        self._log_run(f'{instance.id} is back as a {instance.role}')

    async def replicate(self) -> None:
        """Replicate until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S)
            primary = self.primary
            if primary.role != 'primary' or not primary.running:
                continue
            for instance in self.instances:
                if instance is not primary and instance.running:
                    self._replicate_to(instance, primary)

    def _replicate_to(self, instance: Instance, primary: Instance) -> None:
        now = time.monotonic()
        if instance.role == 'primary':
            instance.met_at = instance.met_at or now
            if now - instance.met_at > OLD_PRIMARY_S:
                instance.role, instance.met_at = 'replica', None
        elif not instance.held:
            instance.follow(primary)


async def _line(reader: asyncio.StreamReader) -> str:
    raw = await reader.readuntil(b'\r\n')
    return raw[:-2].decode()

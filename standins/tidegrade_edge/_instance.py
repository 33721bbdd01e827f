"""A database instance of the stand-in: a log, and sessions over lines."""

import enum
import itertools
import time

import anyio
import anyio.abc
import attrs

from tidegrade_edge import _listening

#: How long after meeting the new primary an old one goes on.
OLD_PRIMARY_GOES_ON = 1.0
NEVER = float('-inf')


@attrs.frozen
class Entry:
    """A committed transaction; ``request_id`` is that of its commit."""

    term: int
    number: int
    request_id: str
    puts: tuple[tuple[str, str], ...]


@attrs.frozen
class Commit:
    """A commit as it was made, whatever became of it; ``at`` is when."""

    entry: Entry
    instance: str
    at: float


@attrs.frozen
class Run:
    """A caller's statement that ran.

    ``text`` names a prepared statement by its shape. ``conn`` is the
    connection, ``in_txn`` whether a transaction was open on it, ``shown``
    the position of the log that it saw, ``rows`` what it returned.
    ``tenant`` is who the connection was opened for, ``at`` when it ran.
    """

    request_id: str
    text: str
    values: dict[str, str]
    conn: int
    in_txn: bool
    shown: tuple[int, int]
    rows: tuple[str, ...] = ()
    tenant: str = ''
    at: float = 0.0
    shape: str = ''
    #: The commits that a read saw, by the ids of their requests.
    saw: tuple[str, ...] = ()


@attrs.frozen
class Traits:
    """How instances behave where the platform's pages leave a choice.

    With ``numbers_go_on`` positions are those of the last log entry, and a
    new term continues the numbers of the former one. A replica takes
    ``reconnect_s`` seconds to reach a new primary and reports the former
    term until then. With ``applies_late`` a promoted instance applies what
    it had received as late as it did before.
    """

    numbers_go_on: bool = False
    reconnect_s: float = 0.0
    applies_late: bool = False


class Misstep(enum.Enum):
    """What becomes of a statement and of its answer."""

    REFUSED = 'refused'
    #: Refused; the answer comes after the time limit of the statement.
    REFUSED_LATE = 'refused late'
    #: Run; the answer comes after the time limit of the statement.
    RUN_LATE = 'run late'
    #: Run; the connection ends instead of an answer.
    LOST = 'lost'
    #: Refused; the connection ends in the middle of the answer.
    CUT = 'cut'


@attrs.frozen
class SetupFault:
    """A fault of the statements that proxies issue themselves.

    It strikes those that begin with ``verb``; ``code`` is that of a refusal.
    """

    verb: str
    misstep: Misstep
    code: str = 'READONLY'
    delay_s: float = 2.3


@attrs.define
class Faults:
    """What an instance does wrong; all off at first.

    ``dark``: it neither answers nor closes. ``deaf``: it receives nothing
    from its primary. ``lose_answers`` counts statements that run and end
    the connection instead of answering. ``busy`` refuses every statement.
    ``starved``: it follows, but nothing of its primary's log arrives.
    ``work`` is how long a caller's statement takes, in seconds. ``forget``
    makes connections forget their prepared names before each EXEC. With
    ``unnamed`` the answers to callers' statements name no position.
    """

    dark: bool = False
    deaf: bool = False
    starved: bool = False
    busy: bool = False
    lose_answers: int = 0
    work: float = 0.0
    apply_lag: float = 0.0
    setup: SetupFault | None = None
    forget: bool = False
    unnamed: bool = False


@attrs.define
class _Session:
    """What one connection has set, prepared and begun."""

    conn: int = 0
    tenant: str = ''
    values: dict[str, str] = attrs.field(factory=dict)
    prepared: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    open: bool = False
    read_only: bool = False
    failed: bool = False
    puts: list[tuple[str, str]] = attrs.field(factory=list)


class _Refused(Exception):
    """A statement ends with an error code."""


class Instance:
    """One instance of a service; the site replicates between them."""

    def __init__(
        self,
        instance_id: str,
        service: str,
        zone: str,
        max_conns: int,
        traits: Traits | None = None,
    ) -> None:
        self.id = instance_id
        self.traits = traits or Traits()
        self.max_conns = max_conns
        self.service = service
        self.zone = zone
        self.faults = Faults()
        self.role = 'replica'
        self.term = 1
        self.held = 0
        self.state = 'ready'
        self.log: list[Entry] = []
        self.received_at: list[float] = []
        self._applied = 0
        #: Every statement that ran.
        self.runs: list[Run] = []
        #: Number of statements that a setup fault has struck.
        self.struck = 0
        #: Every commit that was made here.
        self.commits: list[Commit] = []
        self.port = 0
        #: For whom each connection was opened.
        self.tenants: list[str] = []
        #: Connections open now, and the most there ever were.
        self.conns = 0
        self._next_conn = 0
        self.most_conns = 0
        self._scope: anyio.CancelScope | None = None
        #: The term whose primary it receives from, and since when it could.
        self._upstream_term = 1
        self._upstream_at = NEVER

    # Its log --------------------------------------------------------------

    @property
    def received(self) -> tuple[int, int]:
        """Give the position that has been received."""
        if self.traits.numbers_go_on:
            return self._position(len(self.log))
        own = [e.number for e in self.log if e.term == self.term]
        return (self.term, max(own, default=0))

    @property
    def applied(self) -> tuple[int, int]:
        """Give the position that reads see."""
        if self.traits.numbers_go_on:
            return self._position(self._applied_count())
        if self.role == 'primary':
            return self.received
        shown = [self.log[i] for i in range(self._applied_count())]
        own = [e.number for e in shown if e.term == self.term]
        return (self.term, max(own, default=0))

    def _position(self, count: int) -> tuple[int, int]:
        """Give the position of an entry of the log, counted from 1."""
        if not count:
            return (1, 0)
        last = self.log[count - 1]
        return (last.term, last.number)

    def _applied_count(self) -> int:
        due = time.monotonic() - self.faults.apply_lag
        if self.role == 'primary' and not self.traits.applies_late:
            return len(self.log)
        received = itertools.takewhile(lambda at: at <= due, self.received_at)
        due_now = sum(1 for _ in received)
        # What was applied stays so, however slowly the rest comes.
        self._applied = max(self._applied, due_now)
        return self._applied

    def items(self) -> dict[str, str]:
        """Give the data that reads see."""
        found: dict[str, str] = {}
        for entry in self.log[: self._applied_count()]:
            found.update(entry.puts)
        return found

    def reaches(self, primary: 'Instance', now: float) -> bool:
        """Tell whether it receives; it first connects to a new primary."""
        if primary.term != self._upstream_term:
            self._upstream_term = primary.term
            self._upstream_at = now + self.traits.reconnect_s
        return now >= self._upstream_at

    def follow(self, primary: 'Instance') -> None:
        """Take over the primary's log, as replication does."""
        self.term = primary.term
        if self.faults.starved:
            return
        kept = 0
        for mine, theirs in zip(self.log, primary.log, strict=False):
            if mine != theirs:
                break
            kept += 1
        now = time.monotonic()
        new = primary.log[kept:]
        self.received_at = self.received_at[:kept] + [now] * len(new)
        self.log = self.log[:kept] + list(new)
        self._applied = min(self._applied, kept)

    def copy_log(self, other: 'Instance') -> None:
        """Begin with another instance's log."""
        self.term = other.term
        self.log = list(other.log)
        self.received_at = list(other.received_at)

    def lead(self) -> None:
        """Lead the next term with what has been received."""
        self.term += 1
        self.role = 'primary'
        self.held = 0
        self._upstream_term = self.term

    # Its life -------------------------------------------------------------

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until it crashes or is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.CancelScope() as self._scope:
            task_status.started()
            await _listening.serve_until_cancelled(listener, self._handle)

    def crash(self) -> None:
        """End at once; every connection breaks."""
        self.state = 'crashed'
        if self._scope is not None:
            self._scope.cancel()

    # Connections ----------------------------------------------------------

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        self.conns += 1
        self.most_conns = max(self.most_conns, self.conns)
        async with stream:
            try:
                await self._converse(_Lines(stream))
            except (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            finally:
                self.conns -= 1

    async def _converse(self, lines: '_Lines') -> None:
        kind, service, tenant, *_ = (await lines.receive()).split(' ')
        if self.conns > self.max_conns:
            await lines.send('ERROR CONNLIMIT')
            return
        await self._pause_while_dark()
        if kind != 'CONNECT' or service != self.service:
            await lines.send('ERROR MISROUTED')
            return
        await lines.send(self._ready(_Session()))
        self._next_conn += 1
        session = _Session(conn=self._next_conn, tenant=tenant)
        self.tenants.append(tenant)
        while True:
            kind, request_id, text = (await lines.receive()).split(' ', 2)
            await self._pause_while_dark()
            if request_id != '-':
                await anyio.sleep(self.faults.work)
            fault = self.faults.setup
            own = request_id == '-'
            if fault and own and _statement(text).startswith(fault.verb):
                if not await self._strike(fault, session, text, lines):
                    return
                continue
            try:
                said = self._run(session, request_id, text)
            except _Refused as exc:
                said = [f'ERROR {exc}']
                if session.open:
                    session.failed = True
            if self.faults.lose_answers > 0 and request_id != '-':
                self.faults.lose_answers -= 1
                return
            unnamed = self.faults.unnamed and request_id != '-'
            await lines.send(*said, self._ready(session, unnamed))

    async def _strike(
        self,
        fault: SetupFault,
        session: _Session,
        text: str,
        lines: '_Lines',
    ) -> bool:
        """Let a statement go wrong; return whether the connection goes on."""
        self.struck += 1
        runs = fault.misstep in (Misstep.RUN_LATE, Misstep.LOST)
        said = self._run(session, '-', text) if runs else []
        if not runs:
            session.failed = session.open
            said = [f'ERROR {fault.code} {self.id}']
        if fault.misstep is Misstep.LOST:
            return False
        if fault.misstep is Misstep.CUT:
            await lines.send(f'ERROR {fault.code}')
            return False
        if fault.misstep in (Misstep.REFUSED_LATE, Misstep.RUN_LATE):
            await anyio.sleep(fault.delay_s)
        await lines.send(*said, self._ready(session))
        return True

    async def _pause_while_dark(self) -> None:
        while self.faults.dark:
            await anyio.sleep(0.01)

    def _ready(self, session: _Session, unnamed: bool = False) -> str:
        state = 'I'
        if session.open:
            state = 'E' if session.failed else 'T'
        if unnamed:
            return f'READY {state} -'
        term, number = self.applied
        return f'READY {state} {term}.{number}'

    # Statements -----------------------------------------------------------

    def _run(self, session: _Session, request_id: str, text: str) -> list[str]:
        if self.faults.busy:
            raise _Refused('BUSY')
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, number = position.split('.')
            if self.applied < (int(term), int(number)):
                raise _Refused('BEHIND')
        verb, _, fields = text.partition(' ')
        if session.failed and verb != 'ROLLBACK':
            raise _Refused('MALFORMED')
        handler = getattr(self, f'_do_{verb.lower()}')
        return handler(session, request_id, fields)

    def _do_read(self, session, request_id, fields, shape='') -> list[str]:
        self._check_lead(session)
        value = self.items().get(fields.split(' ')[0], '-')
        self._ran(session, request_id, f'READ {fields}', (value,), shape)
        return [f'ROW {value}', f'DONE {self.id}:{request_id}']

    def _ran(
        self,
        session: _Session,
        request_id: str,
        text: str,
        rows: tuple[str, ...] = (),
        shape: str = '',
    ) -> None:
        """Note a statement that runs."""
        saw: tuple[str, ...] = ()
        if text.startswith('READ '):
            shown = self.log[: self._applied_count()]
            saw = tuple(entry.request_id for entry in shown)
        self.runs.append(
            Run(
                request_id,
                text,
                session.values,
                session.conn,
                session.open,
                self.applied,
                rows,
                session.tenant,
                time.monotonic(),
                shape,
                saw,
            )
        )

    def _do_write(self, session, request_id, fields, shape='') -> list[str]:
        if request_id == '-':
            raise _Refused('MALFORMED')
        if self.role != 'primary' or (session.open and session.read_only):
            raise _Refused(f'READONLY {self.id}')
        self._ran(session, request_id, f'WRITE {fields}', shape=shape)
        item, _, data = fields.partition(' ')
        if session.open:
            session.puts.append((item, data))
        else:
            self._commit(request_id, [(item, data)])
        return [f'DONE {self.id}:{request_id}']

    def _do_exec(self, session, request_id, fields) -> list[str]:
        name, _, rest = fields.partition(' ')
        if self.faults.forget:
            session.prepared = {}
        if name not in session.prepared:
            raise _Refused('NOSTMT')
        kind, shape = session.prepared[name]
        if kind == 'WRITE':
            return self._do_write(session, request_id, rest, shape)
        return self._do_read(session, request_id, rest, shape)

    def _do_begin(self, session, request_id, fields) -> list[str]:
        read_only = fields == 'READ'
        if self.role != 'primary' and not read_only:
            raise _Refused(f'READONLY {self.id}')
        session.open, session.read_only = True, read_only
        session.failed = False
        session.puts = []
        return ['DONE -']

    def _do_commit(self, session, request_id, fields) -> list[str]:
        if session.puts and self.role != 'primary':
            session.failed = True
            raise _Refused(f'READONLY {self.id}')
        if session.puts:
            self._commit(request_id, session.puts)
        session.open = False
        return [f'DONE {self.id}:{request_id}']

    def _do_rollback(self, session, request_id, fields) -> list[str]:
        session.open = session.failed = False
        session.puts = []
        return ['DONE -']

    def _do_set(self, session, request_id, fields) -> list[str]:
        name, _, value = fields.partition(' ')
        session.values = {**session.values, name: value}
        return ['DONE -']

    def _do_prepare(self, session, request_id, fields) -> list[str]:
        name, kind, shape = fields.split(' ', 2)
        session.prepared[name] = (kind, shape)
        return ['DONE -']

    def _do_reset(self, session, request_id, fields) -> list[str]:
        session.values, session.prepared = {}, {}
        return ['DONE -']

    def _check_lead(self, session: _Session) -> None:
        plain = session.open and not session.read_only
        if plain and self.role != 'primary':
            raise _Refused(f'READONLY {self.id}')

    def _commit(self, request_id: str, puts: list[tuple[str, str]]) -> None:
        _, number = self.received
        entry = Entry(self.term, number + 1, request_id, tuple(puts))
        self.log.append(entry)
        now = time.monotonic()
        self.commits.append(Commit(entry, self.id, now))
        # A commit waits for nothing but what was received before it.
        self.received_at.append(NEVER if self.traits.applies_late else now)

    # Supervision ----------------------------------------------------------

    def _row(self) -> list[str]:
        term, number = self.received
        row = f'ROW {self.role} {self.term} {term}.{number} {self.held} 0 0 1'
        return [row, 'DONE -']

    def _do_status(self, session, request_id, fields) -> list[str]:
        return self._row()

    def _do_suspend(self, session, request_id, fields) -> list[str]:
        # As the platform's own instances do, a lower term is taken too.
        if self.role == 'replica' and int(fields) > self.term:
            self.held = int(fields)
        return self._row()

    def _do_resume(self, session, request_id, fields) -> list[str]:
        self.held = 0
        return self._row()

    def _do_stepdown(self, session, request_id, fields) -> list[str]:
        if int(fields) > self.term:
            self.role = 'replica'
        return self._row()


def _statement(text: str) -> str:
    """Give a statement without the position that may precede it."""
    return text.split(' ', 2)[2] if text.startswith('AFTER ') else text


class _Lines:
    """Lines over a stream."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._buffer = b''

    async def send(self, *lines: str) -> None:
        """Send lines in one go."""
        await self._stream.send(
            ''.join(f'{x}\r\n' for x in lines).encode(
                'utf-8', 'surrogateescape'
            )
        )

    async def receive(self) -> str:
        """Give the next line."""
        while b'\r\n' not in self._buffer:
            self._buffer += await self._stream.receive()
        line, _, self._buffer = self._buffer.partition(b'\r\n')
        return line.decode('utf-8', 'surrogateescape')

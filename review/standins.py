"""Stand-ins for the cases under review/: the platform and its instances.

They speak what the users' pages say, on loopback addresses and the real
clock, and need the standard library only. The project's own program runs as
separate processes with the command of the deploy file. A case changes the
attributes of an instance or calls the site to bring a disturbance.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import socket
import subprocess
import tempfile
import time
import tomllib
import typing
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'svc7f2'
#: Pause between two rounds of replication, in seconds.
ROUND_S = 0.005
#: Interval between an instance's entries in the store, in milliseconds.
HEARTBEAT_MS = 400
#: How long an old primary goes on once it reaches the new one, in seconds.
OLD_PRIMARY_S = 1.0
#: Limit for the start of all processes, in seconds.
START_LIMIT_S = 30.0
#: Pause after the first writes, in seconds: by then all proxies hold the
#: newest list and the permissions of the first term.
SETTLE_S = 2.0
#: Limit for the end of a process after SIGKILL, in seconds.
END_LIMIT_S = 5.0
#: Limit for one answer to a consumer, in seconds.
ANSWER_LIMIT_S = 8.0
#: Time that a statement of a consumer takes at an instance, in seconds.
WORK_S = 0.006
#: Longest message, in bytes, and the buffer of a connection.
MAX_MESSAGE = 1 << 20
#: Connections to one instance, of all callers.
MAX_CONNS = 30

_GONE = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f'{self.now():9.4f}  {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# The store -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the store; ``value`` is None once it is removed."""

    table: str
    key: str
    value: bytes | None
    ver: int

    def plain(self) -> dict[str, object]:
        """Return the row as the store sends it."""
        place: dict[str, object] = {
            'table': self.table,
            'part': '',
            'key': self.key,
            'ver': self.ver,
        }
        if self.value is None:
            return {**place, 'removed': True}
        return {**place, 'value': base64.b64encode(self.value).decode()}


class Store:
    """Rows in memory with conditional writes, reads and a feed."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._history: list[Row] = []
        self._version = 0
        self._changed = asyncio.Event()
        #: When the list of instances was read, on the steady clock.
        self.list_reads: list[float] = []

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row as the operator or an instance; None removes it."""
        self._version += 1
        self._set(Row(table, key, value, self._version))

    def read(self, query: dict[str, str]) -> dict[str, object]:
        """Answer rows-get."""
        if query['table'] == 'servers':
            self.list_reads.append(time.monotonic())
        first, end = query.get('from', ''), query.get('to')
        found = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query['table']
            and row.value is not None
            and key >= first
            and (end is None or key < end)
        ]
        return {**self._page(found), 'truncated': False}

    async def feed(self, query: dict[str, str]) -> dict[str, object]:
        """Answer rows-feed: wait for changes after a version."""
        after, wait_s = int(query['after']), int(query['wait_ms']) / 1000
        found: list[Row] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not found:
                    found = self._changes(query['table'], after)
                    if not found:
                        await self._changed.wait()
        return self._page(found)

    def change(self, body: dict[str, typing.Any]) -> tuple[int, object]:
        """Answer rows-tx: apply all entries, or none of them."""
        for place in body['expect_rev']:
            if self._ver(place['table'], place['key']) != place['ver']:
                return 412, self._page([])
        self._version += 1
        for place in body['set_keys']:
            value = base64.b64decode(place['value'])
            self._set(Row(place['table'], place['key'], value, self._version))
        for place in body['delete_keys']:
            self._set(Row(place['table'], place['key'], None, self._version))
        return 200, self._page([])

    def _changes(self, table: str, after: int) -> list[Row]:
        return [
            row
            for row in self._history
            if row.ver > after and row.table == table
        ]

    def _ver(self, table: str, key: str) -> int:
        row = self._rows.get((table, key))
        return row.ver if row is not None and row.value is not None else 0

    def _set(self, row: Row) -> None:
        self._rows[(row.table, row.key)] = row
        self._history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _page(self, rows: list[Row]) -> dict[str, object]:
        return {
            'rows': [row.plain() for row in rows],
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }


# Instances -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True)
class Entry:
    """A committed write in an instance's log."""

    term: int
    number: int
    request: str
    item: str
    data: str


@dataclasses.dataclass(frozen=True)
class Run:
    """A statement of a consumer that an instance ran or refused.

    ``values`` and ``shape`` are what the connection had: the session values,
    and the shape behind a prepared name (empty: not an EXEC; None: the name
    was not known). ``position`` is that of the log that it saw.
    """

    at: float
    instance: str
    request: str
    text: str
    values: dict[str, str]
    shape: str | None
    position: tuple[int, int]
    refused: str = ''


@dataclasses.dataclass
class _Session:
    """The state of one connection to an instance."""

    who: str = ''
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    open: bool = False
    read_only: bool = False
    failed: bool = False
    puts: list[tuple[str, str]] = dataclasses.field(default_factory=list)

    @property
    def state(self) -> str:
        """The state as READY names it."""
        if not self.open:
            return 'I'
        return 'E' if self.failed else 'T'


class _Refused(Exception):
    """A statement ends with an error code."""


class Instance:
    """One instance of the service.

    ``dark``: it neither answers nor closes a connection. ``cut_from`` names
    the proxies, and ``cut_peers`` the instances, from which it is
    partitioned. ``lag_s`` is how long it applies later than it receives.
    """

    def __init__(self, number: int, record: Record) -> None:
        self.id = f'i-{number}{random.randrange(1 << 24):06x}'
        self.zone = ZONES[number % len(ZONES)]
        self.role = 'primary' if number == 0 else 'replica'
        self.term = 1
        self.held = 0
        self.state = 'ready'
        self.running = False
        self.dark = False
        self.cut_from: set[str] = set()
        self.cut_peers: set[str] = set()
        self.lag_s = 0.0
        self.work_s = WORK_S
        self.port = 0
        self.log: list[Entry] = []
        self.runs: list[Run] = []
        #: Each commit with the time at which it was made.
        self.commits: list[tuple[float, Entry]] = []
        self._received_at: list[float] = []
        self._shown = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._record = record

    # Life -----------------------------------------------------------------

    async def start(self) -> None:
        """Listen; at the same address as before after a crash."""
        self._server = await asyncio.start_server(
            self._handle, HOST, self.port, limit=2 * MAX_MESSAGE
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True

    def crash(self) -> None:
        """End at once; every connection breaks."""
        self.running = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    # The log --------------------------------------------------------------

    @property
    def received(self) -> tuple[int, int]:
        """The position up to which the log is received."""
        if not self.log:
            return (1, 0)
        return (self.log[-1].term, self.log[-1].number)

    @property
    def applied(self) -> tuple[int, int]:
        """The position that reads see."""
        shown = self.log[: self._applied_count()]
        return (shown[-1].term, shown[-1].number) if shown else (1, 0)

    def _applied_count(self) -> int:
        if self.role == 'primary':
            return len(self.log)
        due = time.monotonic() - self.lag_s
        # What was applied stays applied, however late the rest is.
        self._shown = max(
            self._shown, sum(at <= due for at in self._received_at)
        )
        return self._shown

    def receive_from(self, primary: 'Instance') -> None:
        """Take over a primary's log, as replication does."""
        self.term = primary.term
        kept = 0
        for own, theirs in zip(self.log, primary.log, strict=False):
            if own != theirs:
                break
            kept += 1
        new = primary.log[kept:]
        now = time.monotonic()
        self._received_at = self._received_at[:kept] + [now] * len(new)
        self.log = self.log[:kept] + list(new)
        self._shown = min(self._shown, kept)

    def lead(self, term: int) -> None:
        """Lead a term with what has been received."""
        self.term, self.role, self.held = term, 'primary', 0

    def _commit(self, request: str, puts: list[tuple[str, str]]) -> None:
        for item, data in puts:
            number = self.log[-1].number + 1 if self.log else 1
            entry = Entry(self.term, number, request, item, data)
            self.log.append(entry)
            self._received_at.append(time.monotonic())
            self.commits.append((self._record.now(), entry))

    def _item(self, name: str) -> str:
        for entry in reversed(self.log[: self._applied_count()]):
            if entry.item == name:
                return entry.data
        return '-'

    # Connections ----------------------------------------------------------

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._converse(reader, writer)
        except (*_GONE, ValueError, asyncio.CancelledError):
            # The connection has ended, or the case has.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        kind, service, who, *_ = (await _line(reader)).split(' ')
        session = _Session(who=who)
        await self._until_reached(session)
        if kind != 'CONNECT' or service != SERVICE:
            await _send(writer, 'ERROR MISROUTED')
            return
        if len(self._writers) > MAX_CONNS:
            await _send(writer, 'ERROR CONNLIMIT')
            return
        await _send(writer, self._ready(session))
        while True:
            _, request, text = (await _line(reader)).split(' ', 2)
            await self._until_reached(session)
            if request != '-':
                await asyncio.sleep(self.work_s)
                await self._until_reached(session)
            try:
                said = self._run(session, request, text)
            except _Refused as exc:
                said = [f'ERROR {exc}']
                session.failed = session.open
            await _send(writer, *said, self._ready(session))

    async def _until_reached(self, session: _Session) -> None:
        """Wait out a dark time; a message sent into a cut is lost."""
        while self.dark:
            await asyncio.sleep(ROUND_S)
        if session.who in self.cut_from:
            while session.who in self.cut_from:
                await asyncio.sleep(ROUND_S)
            raise ConnectionResetError

    def _ready(self, session: _Session) -> str:
        term, number = self.applied
        return f'READY {session.state} {term}.{number}'

    # Statements -----------------------------------------------------------

    def _run(self, session: _Session, request: str, text: str) -> list[str]:
        if text.startswith('AFTER '):
            _, wanted, text = text.split(' ', 2)
            term, _, number = wanted.partition('.')
            if self.applied < (int(term), int(number)):
                raise _Refused('BEHIND')
        verb, _, fields = text.partition(' ')
        if session.failed and verb != 'ROLLBACK':
            raise _Refused('MALFORMED the transaction has failed')
        plain = session.open and not session.read_only
        lost = plain and self.role != 'primary' and verb != 'ROLLBACK'
        if lost and not (verb == 'COMMIT' and not session.puts):
            self._note(session, request, text, '', 'READONLY')
            raise _Refused(f'READONLY {self.id}')
        handler = getattr(self, f'_do_{verb.lower()}', None)
        if handler is None:
            raise _Refused('MALFORMED unknown statement')
        return handler(session, request, fields)

    def _note(
        self,
        session: _Session,
        request: str,
        text: str,
        shape: str | None,
        refused: str = '',
    ) -> None:
        run = Run(
            self._record.now(),
            self.id,
            request,
            text,
            dict(session.values),
            shape,
            self.applied,
            refused,
        )
        self.runs.append(run)
        self._record.write(
            f'{self.id} {self.role} term {self.term}: '
            f'{"refuses " + refused if refused else "runs"} '
            f'{request} {text!r} values {run.values} shape {shape!r} '
            f'at {run.position}, for {session.who}'
        )

    def _do_read(
        self,
        session: _Session,
        request: str,
        fields: str,
        shape: str | None = '',
    ) -> list[str]:
        self._note(session, request, f'READ {fields}', shape)
        value = self._item(fields.split(' ')[0])
        return [f'ROW {value}', f'DONE {self.id}.{request}']

    def _do_write(
        self,
        session: _Session,
        request: str,
        fields: str,
        shape: str | None = '',
    ) -> list[str]:
        if self.role != 'primary' or (session.open and session.read_only):
            raise _Refused(f'READONLY {self.id}')
        self._note(session, request, f'WRITE {fields}', shape)
        item, _, data = fields.partition(' ')
        if session.open:
            session.puts.append((item, data))
        else:
            self._commit(request, [(item, data)])
        return [f'DONE {self.id}.{request}']

    def _do_exec(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        name, _, rest = fields.partition(' ')
        if name not in session.prepared:
            self._note(session, request, f'EXEC {fields}', None, 'NOSTMT')
            raise _Refused(f'NOSTMT {name}')
        kind, shape = session.prepared[name]
        if kind == 'WRITE':
            return self._do_write(session, request, rest, shape)
        return self._do_read(session, request, rest, shape)

    def _do_begin(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        read_only = fields == 'READ'
        if self.role != 'primary' and not read_only:
            raise _Refused(f'READONLY {self.id}')
        session.open, session.read_only = True, read_only
        session.failed, session.puts = False, []
        return ['DONE -']

    def _do_commit(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        self._note(session, request, 'COMMIT', '')
        self._commit(request, session.puts)
        session.open, session.puts = False, []
        return [f'DONE {self.id}.{request}']

    def _do_rollback(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        session.open, session.failed, session.puts = False, False, []
        return ['DONE -']

    def _do_set(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        name, _, value = fields.partition(' ')
        session.values[name] = value
        return ['DONE -']

    def _do_prepare(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        name, kind, shape = fields.split(' ', 2)
        session.prepared[name] = (kind, shape)
        return ['DONE -']

    def _do_reset(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        session.values.clear()
        session.prepared.clear()
        return ['DONE -']

    # Orders ---------------------------------------------------------------

    def _row(self) -> list[str]:
        term, number = self.received
        return [
            f'ROW {self.role} {self.term} {term}.{number} {self.held} '
            f'{int(self.lag_s * 1000)} 0 {len(self._writers)}',
            'DONE -',
        ]

    def _do_status(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        return self._row()

    def _do_suspend(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        if self.role == 'replica' and int(fields) > self.term:
            self.held = int(fields)
        self._order(session, f'SUSPEND {fields}')
        return self._row()

    def _do_resume(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        self.held = 0
        self._order(session, 'RESUME')
        return self._row()

    def _do_stepdown(
        self, session: _Session, request: str, fields: str
    ) -> list[str]:
        if self.role == 'primary' and int(fields) > self.term:
            self.role = 'replica'
        self._order(session, f'STEPDOWN {fields}')
        return self._row()

    def _order(self, session: _Session, text: str) -> None:
        self._record.write(
            f'{self.id}: {text} of {session.who}; now {self.role}, '
            f'term {self.term}, held {self.held}'
        )


async def _line(reader: asyncio.StreamReader) -> str:
    raw = await reader.readuntil(b'\r\n')
    return raw[:-2].decode('utf-8', 'surrogateescape')


async def _send(writer: asyncio.StreamWriter, *lines: str) -> None:
    text = ''.join(f'{line}\r\n' for line in lines)
    writer.write(text.encode('utf-8', 'surrogateescape'))
    await writer.drain()


# Consumers -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer to a consumer; ``code`` is empty after a success.

    ``code`` is ``CLOSED`` if the connection ended without an answer and
    ``SILENT`` if none came in time.
    """

    request: str
    rows: tuple[str, ...] = ()
    receipt: str = ''
    code: str = ''
    state: str = ''

    @property
    def good(self) -> bool:
        """Whether the request succeeded."""
        return not self.code


class Consumer:
    """One session of a consumer at a proxy."""

    _ids = itertools.count(1)

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        record: Record,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.name = name
        self._record = record

    @classmethod
    async def connect(
        cls, port: int, database: str, name: str, record: Record
    ) -> 'Consumer | None':
        """Open a session; None if it is refused."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(HOST, port)
                await _send(writer, f'CONNECT {database} {name}')
                said = await _line(reader)
        except (*_GONE, TimeoutError):
            return None
        if not said.startswith('READY'):
            writer.close()
            return None
        return cls(reader, writer, name, record)

    async def ask(self, text: str | bytes) -> Answer:
        """Send a statement with a new id and return its answer."""
        request = f'{self.name}-{next(self._ids):x}'
        raw = text if isinstance(text, bytes) else text.encode()
        self._record.write(f'{self.name} sends {request} {raw!r}')
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                self._writer.write(
                    b'QUERY %s %s\r\n' % (request.encode(), raw)
                )
                await self._writer.drain()
                answer = await self._answer(request)
        except _GONE:
            answer = Answer(request, code='CLOSED')
        except TimeoutError:
            answer = Answer(request, code='SILENT')
        self._record.write(f'{self.name} gets {answer}')
        return answer

    async def _answer(self, request: str) -> Answer:
        rows: list[str] = []
        receipt, code = '', ''
        while True:
            kind, _, fields = (await _line(self._reader)).partition(' ')
            if kind == 'ROW':
                rows.append(fields)
            elif kind == 'DONE':
                receipt = fields
            elif kind == 'ERROR':
                code = fields.partition(' ')[0]
            elif kind == 'READY':
                state = fields.partition(' ')[0]
                return Answer(request, tuple(rows), receipt, code, state)

    def close(self) -> None:
        """Leave the session."""
        self._writer.close()


# The site --------------------------------------------------------------------


@dataclasses.dataclass
class Proxy:
    """One process of the project's program and its addresses."""

    name: str
    zone: str
    front: int
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes]


@dataclasses.dataclass(frozen=True)
class Promotion:
    """A promotion as it was ordered, and when it took effect."""

    ordered_at: float
    instance: str
    holder: str
    fence: int


class Site:
    """The store, three instances and some proxies.

    ``promote_s`` is how long a promotion takes. ``on_promote`` is called
    when one is ordered.
    """

    def __init__(
        self, record: Record, proxies: int = 3, promote_s: float = 0.3
    ) -> None:
        self.record = record
        self.store = Store()
        self.instances = [Instance(n, record) for n in range(3)]
        self.proxies: list[Proxy] = []
        self.promotions: list[Promotion] = []
        #: When each instance began to lead a term.
        self.led: list[tuple[float, str, int]] = []
        self.on_promote: Callable[[Instance], Awaitable[None]] | None = None
        self._proxy_count = proxies
        self._promote_s = promote_s
        self._met: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory(prefix='tidegrade-')
        self._api_port = 0

    # Life -----------------------------------------------------------------

    async def __aenter__(self) -> 'Site':
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        server = await asyncio.start_server(self._serve_api, HOST, 0)
        self._api_port = server.sockets[0].getsockname()[1]
        for instance in self.instances:
            await instance.start()
        self.spawn(self._beat())
        self.spawn(self._replicate())
        self._configure()
        for number in range(self._proxy_count):
            self.proxies.append(self.start_proxy(number))
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(self._proxy_count):
                await self.until_writable(number)
        await asyncio.sleep(SETTLE_S)

    async def _stop(self) -> None:
        """End what was started here, by process id."""
        for task in self._tasks:
            task.cancel()
        for process in self._started:
            process.kill()
            process.wait(END_LIMIT_S)
        for instance in self.instances:
            instance.crash()
        self._folder.cleanup()

    def spawn(self, work: typing.Coroutine[object, object, None]) -> None:
        """Run a coroutine until the site stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def primary(self) -> Instance:
        """The running instance that leads the newest term."""
        return max(
            self.instances,
            key=lambda i: (i.running, i.role == 'primary', i.term),
        )

    # Proxies --------------------------------------------------------------

    def start_proxy(self, number: int) -> Proxy:
        """Start a proxy with the command of the deploy file."""
        name = f'front-{number}'
        ports = free_ports(4)
        folder = pathlib.Path(self._folder.name)
        settings = folder / f'{name}.json'
        settings.write_text(json.dumps(self._settings(number, ports)))
        log = folder / f'{name}.log'
        with log.open('ab') as out:
            process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=process_env(settings),
                stdout=out,
                stderr=out,
            )
        self._started.append(process)
        self.record.write(f'{name} started as process {process.pid}')
        return Proxy(
            name,
            ZONES[number % len(ZONES)],
            ports[0],
            settings,
            log,
            process,
        )

    def restart_proxy(self, number: int) -> None:
        """Start a proxy in the place of one that has ended."""
        self.proxies[number] = self.start_proxy(number)

    async def until_ended(self, number: int) -> int:
        """Wait until a proxy's process ends; return its status."""
        process = self.proxies[number].process
        while process.poll() is None:
            await asyncio.sleep(ROUND_S)
        return process.returncode

    async def until_writable(self, number: int) -> None:
        """Wait until a proxy takes a write."""
        while True:
            proxy = self.proxies[number]
            if proxy.process.poll() is not None:
                raise RuntimeError(
                    f'{proxy.name} ended: {proxy.log.read_text()[-2000:]}'
                )
            session = await self.session(number, 'db-primary', f'w{number}')
            if session is not None:
                answer = await session.ask('WRITE warm 1')
                session.close()
                if answer.good:
                    return
            await asyncio.sleep(0.1)

    async def session(
        self, number: int, database: str, name: str
    ) -> Consumer | None:
        """Open a consumer's session at a proxy."""
        port = self.proxies[number].front
        return await Consumer.connect(port, database, name, self.record)

    def _settings(self, number: int, ports: list[int]) -> dict[str, object]:
        zones = dict.fromkeys(ZONES, 'region-1')
        return {
            'node_name': f'front-{number}',
            'role': 'proxy',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': HOST,
            'zone': ZONES[number % len(ZONES)],
            'region': 'region-1',
            'zones': zones,
            'listen': {
                'front': f'{HOST}:{ports[0]}',
                'ready': f'{HOST}:{ports[1]}',
            },
            'internal_ports': [ports[2], ports[3]],
            'seeds': [],
            'bootstrap': True,
            'heartbeat_ms': HEARTBEAT_MS,
            'bounds': {'grace_s': 6, 'config_apply_ms': 3000},
            'platform': {'address': f'{HOST}:{self._api_port}'},
            'cloud_api': {'address': f'{HOST}:{self._api_port}'},
        }

    # The operator ---------------------------------------------------------

    def _configure(self) -> None:
        kinds = {
            'db-primary': ('primary', 0),
            'db-bounded': ('bounded', 1500),
            'db-own': ('session', 2500),
        }
        routes = [
            {
                'name': f'r-{name}',
                'host': name,
                'key_prefix': '/',
                'service': SERVICE,
                'consistency': kind,
                'max_staleness_ms': stale_ms,
                'timeout_ms': 2000,
                'target_latency_ms': 500,
                'max_attempts': 2,
                'priority': 1,
            }
            for name, (kind, stale_ms) in kinds.items()
        ]
        service = {
            'name': SERVICE,
            'health_path': '/health',
            'max_conns': MAX_CONNS,
            'protocol': 'h1',
            'tls': False,
            'sync_replicas': 0,
        }
        manifest = {
            'version': 7,
            'routes': routes,
            'services': [service],
            'limits': {'tx_idle_ms': 5000},
        }
        self.store.put('op', 'config', json.dumps(manifest).encode())

    # The platform ---------------------------------------------------------

    async def _serve_api(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve_call(reader, writer)
        except (*_GONE, ValueError, asyncio.CancelledError):
            # The connection has ended, or the case has.
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        _, target, _ = first.split(' ')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (x.partition(':') for x in lines if x)
        }
        body = b''
        if headers.get('content-length'):
            body = await reader.readexactly(int(headers['content-length']))
        path, _, query = target.partition('?')
        fields = dict(parse.parse_qsl(query))
        status, answer = await self._answer_call(path, fields, headers, body)
        raw = json.dumps(answer).encode()
        writer.write(
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'Store-Era: 1\r\nContent-Length: {len(raw)}\r\n\r\n'.encode()
            + raw
        )
        await writer.drain()

    async def _answer_call(
        self,
        path: str,
        fields: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, object]:
        if path == '/api/rows-get':
            return 200, self.store.read(fields)
        if path == '/api/rows-feed':
            return 200, await self.store.feed(fields)
        if path == '/api/rows-tx':
            return self.store.change(json.loads(body))
        if path == '/promote':
            return self._promote(headers, json.loads(body))
        return 404, {'error': 'unknown call'}

    def _promote(
        self, headers: dict[str, str], body: dict[str, str]
    ) -> tuple[int, object]:
        ordered = Promotion(
            self.record.now(),
            body['id'],
            headers['duty-holder'],
            int(headers['fence-token']),
        )
        self.promotions.append(ordered)
        self.record.write(f'the platform takes {ordered}')
        for instance in self.instances:
            if instance.id == body['id'] and instance.running:
                self.spawn(self._lead_soon(instance))
                return 200, {}
        return 409, {'error': 'not running'}

    async def _lead_soon(self, instance: Instance) -> None:
        if self.on_promote is not None:
            self.spawn(self._call_on_promote(instance))
        await asyncio.sleep(self._promote_s)
        if instance.role == 'primary' or not instance.running:
            return
        instance.lead(1 + max(i.term for i in self.instances))
        # A promote ends every hold of the service.
        for other in self.instances:
            other.held = 0
        self.led.append((self.record.now(), instance.id, instance.term))
        self.record.write(f'{instance.id} leads term {instance.term}')

    async def _call_on_promote(self, instance: Instance) -> None:
        assert self.on_promote is not None
        await self.on_promote(instance)

    async def _beat(self) -> None:
        for count in itertools.count(1):
            for instance in self.instances:
                if instance.running and not instance.dark:
                    self._list(instance, count)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _list(self, instance: Instance, count: int) -> None:
        entry = {
            'service': SERVICE,
            'address': f'{HOST}:{instance.port}',
            'zone': instance.zone,
            'version': 'v1',
            'slots': 3,
            'state': instance.state,
            'cold_remaining_ms': 0,
            'db_role': instance.role,
            'seq_no': count,
        }
        raw = json.dumps(entry).encode()
        self.store.put('servers', instance.id, raw)

    async def _replicate(self) -> None:
        while True:
            leader = self._leader()
            if leader is not None:
                self._replicate_from(leader)
            await asyncio.sleep(ROUND_S)

    def _leader(self) -> Instance | None:
        """Return the instance that leads the newest term of all."""
        leaders = [i for i in self.instances if i.role == 'primary']
        return max(leaders, key=lambda i: i.term, default=None)

    def _replicate_from(self, leader: Instance) -> None:
        for instance in self.instances:
            if instance is leader or not instance.running:
                continue
            source = leader
            if not _reach(instance, leader):
                source = self._older_primary(instance, leader)
            if source is None or source is instance:
                continue
            if instance.role == 'primary':
                self._step_down_soon(instance)
            elif not instance.held and source.term >= instance.term:
                instance.receive_from(source)

    def _older_primary(
        self, instance: Instance, leader: Instance
    ) -> Instance | None:
        """Return a former primary that the instance still follows."""
        found = [
            i
            for i in self.instances
            if i is not leader
            and i.role == 'primary'
            and i.term == instance.term
            and _reach(instance, i)
        ]
        return found[0] if found else None

    def _step_down_soon(self, instance: Instance) -> None:
        """Make a former primary a replica some time after it met the new."""
        now = time.monotonic()
        met = self._met.setdefault(instance.id, now)
        if now - met > OLD_PRIMARY_S:
            instance.role = 'replica'
            del self._met[instance.id]
            self.record.write(f'{instance.id} is a replica from here on')


def _reach(one: Instance, other: Instance) -> bool:
    """Return whether two instances reach each other."""
    if not (one.running and other.running) or one.dark or other.dark:
        return False
    return other.id not in one.cut_peers and one.id not in other.cut_peers


# Processes -------------------------------------------------------------------


def deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return deploy['roles']['proxy']['run'].split(' ')


def process_env(settings: pathlib.Path) -> dict[str, str]:
    """Return the environment that the deploy page gives to a process."""
    kept = ('PATH', 'HOME', 'LANG')
    env = {name: os.environ[name] for name in kept if name in os.environ}
    return {
        **env,
        'PYTHONPATH': str(built_libraries()),
        'TIDEGRADE_SETTINGS': str(settings),
    }


def built_libraries() -> pathlib.Path:
    """Return the folder of libraries of the build."""
    deps = ROOT / 'target/deps'
    if deps.is_dir():
        return deps
    for found in sorted((ROOT / '.venv/lib').glob('python3*/site-packages')):
        return found
    raise FileNotFoundError('neither target/deps nor .venv is built')


def free_ports(count: int) -> list[int]:
    """Return free ports in a row, below those of outgoing connections."""
    while True:
        first = random.randrange(10_000, 30_000)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


# A case ----------------------------------------------------------------------

#: Exit statuses of a case.
BROKEN, HELD, NOT_RUN = 1, 0, 2
#: Limit for a whole case, in seconds.
CASE_LIMIT_S = 110.0

#: Runs the case at a site and returns what broke the rule, line by line.
Case = Callable[[Site, bool], Awaitable[list[str]]]


def main(
    folder: pathlib.Path, case: Case, proxies: int, promote_s: float = 0.3
) -> int:
    """Run a case and return its exit status.

    TROUBLE=0 in the environment leaves the disturbance out.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.write(f'the case runs, TROUBLE={int(trouble)}')
    try:
        found = asyncio.run(
            _run_case(case, trouble, record, proxies, promote_s)
        )
    except Exception as exc:  # pylint: disable=broad-except
        record.write(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}')
        return NOT_RUN
    for line in found:
        record.write(f'BROKEN {line}')
        print(line)
    verdict = 'broken' if found else 'held'
    record.write(f'the rule was {verdict}')
    print(f'the rule was {verdict}')
    return BROKEN if found else HELD


async def _run_case(
    case: Case,
    trouble: bool,
    record: Record,
    proxies: int,
    promote_s: float,
) -> list[str]:
    async with asyncio.timeout(CASE_LIMIT_S):
        async with Site(record, proxies, promote_s) as site:
            return await case(site, trouble)

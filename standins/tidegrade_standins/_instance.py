"""A database instance on SQLite: sessions, transactions, settings."""

import contextlib
import pathlib
import re
import sqlite3

import anyio
import attrs

from tidegrade_standins import _log
from tidegrade_standins import _pgwire
from tidegrade_standins import _settings

_READING = ('SELECT', 'VALUES', 'EXPLAIN', 'WITH')
_BEGIN = re.compile(r'^\s*(BEGIN|START\s+TRANSACTION)\b(.*)$', re.I | re.S)
_COMMIT = re.compile(r'^\s*(COMMIT|END)\b', re.I)
_ROLLBACK = re.compile(r'^\s*(ROLLBACK|ABORT)\b', re.I)
_SET = re.compile(r'^\s*(SET|RESET|DISCARD)\b', re.I)
_ALTER_SYSTEM = re.compile(
    r"^\s*ALTER\s+SYSTEM\s+SET\s+([\w.]+)\s*(?:=|TO)\s*'(.*)'\s*$",
    re.I | re.S,
)
_LOCK = re.compile(r'^\s*SELECT\s+pg_advisory_lock\((\d+)\)', re.I)
_UNLOCK = re.compile(r'^\s*SELECT\s+pg_advisory_unlock\((\d+)\)', re.I)
_PROMOTE = re.compile(r'^\s*SELECT\s+pg_promote\(', re.I)
_RELOAD = re.compile(r'^\s*SELECT\s+pg_reload_conf\(', re.I)


@attrs.frozen
class Result:
    """What a statement gave; ``columns`` is None without a result set."""

    tag: str
    columns: list[str] | None = None
    rows: list[tuple[object, ...]] = attrs.field(factory=list)


def lsn_text(lsn: int) -> str:
    """Write a position as PostgreSQL does."""
    return f'{lsn >> 32:X}/{lsn & 0xFFFFFFFF:X}'


class Instance:
    """The data, log and settings that an instance's sessions share."""

    def __init__(self, cfg: _settings.InstanceSettings) -> None:
        self.cfg = cfg
        self.faults = _settings.InstanceFaults()
        self.log = _log.Log()
        self.in_recovery = bool(cfg.upstream)
        self.applied_lsn = 0
        self.settings: dict[str, str] = {}
        self.upstream = cfg.upstream
        self.upstream_changed = anyio.Event()
        self.slots = anyio.CapacityLimiter(cfg.slots)
        self._write_lock = anyio.Lock()
        self._locks: dict[int, anyio.Lock] = {}
        folder = pathlib.Path(cfg.data)
        folder.mkdir(parents=True, exist_ok=True)
        self._file = folder / f'{cfg.name}.sqlite'
        self._file.unlink(missing_ok=True)
        self._applier = self.connect()
        self._applier.execute('PRAGMA journal_mode=WAL')

    def connect(self) -> sqlite3.Connection:
        """Open the database with the functions that clients may call."""
        db = sqlite3.connect(
            self._file, isolation_level=None, check_same_thread=False
        )
        db.execute('PRAGMA synchronous=OFF')
        db.create_function(
            'pg_is_in_recovery', 0, lambda: int(self.in_recovery)
        )
        db.create_function(
            'pg_current_wal_lsn', 0, lambda: lsn_text(self.log.lsn)
        )
        db.create_function(
            'pg_last_wal_replay_lsn', 0, lambda: lsn_text(self.applied_lsn)
        )
        db.create_function(
            'pg_last_wal_receive_lsn', 0, lambda: lsn_text(self.log.lsn)
        )
        db.create_function('system_setting', 1, self.settings.get)
        db.execute(
            'CREATE TEMP VIEW pg_file_settings AS'
            " SELECT 'tidegrade.promised_term' AS name,"
            " system_setting('tidegrade.promised_term') AS setting"
        )
        return db

    def alter_system(self, name: str, value: str) -> None:
        """Change a server setting; the upstream takes effect at once."""
        self.settings[name] = value
        if name != 'primary_conninfo':
            return
        parts = dict(p.split('=', 1) for p in value.split())
        self.upstream = ''
        if parts:
            self.upstream = f'{parts["host"]}:{parts["port"]}'
        self.upstream_changed.set()
        self.upstream_changed = anyio.Event()

    def promote(self) -> None:
        """Leave recovery; the log goes on from what was applied."""
        self.in_recovery = False
        self.alter_system('primary_conninfo', '')

    def apply(self, record: _log.Record) -> None:
        """Apply a received record to the data."""
        self._applier.execute('BEGIN IMMEDIATE')
        for change in record.changes:
            self._applier.execute(change.sql, change.params)
        self._applier.execute('COMMIT')
        self.applied_lsn = record.lsn

    def advisory_lock(self, number: int) -> anyio.Lock:
        """Give the lock behind a number."""
        return self._locks.setdefault(number, anyio.Lock())

    @property
    def write_lock(self) -> anyio.Lock:
        """Give the lock that the one writing transaction holds."""
        return self._write_lock


class Session:
    """One client's session: its transaction and locks."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._db = instance.connect()
        self._changes: list[_log.Change] = []
        self._writing = False
        self._held: list[anyio.Lock] = []
        self._read_only = False
        self.status = b'I'

    async def execute(self, sql: str, params: dict[str, object]) -> Result:
        """Run one statement."""
        if self.status == b'E' and not _ends(sql):
            raise _pgwire.SqlError('25P02', 'current transaction is aborted')
        try:
            return await self._run(sql, params)
        except sqlite3.Error as exc:
            raise _translated(exc) from exc

    def failed(self) -> None:
        """Note that a statement failed inside a transaction."""
        if self.status == b'T':
            self.status = b'E'

    def close(self) -> None:
        """End the session: roll back and free every lock."""
        self._undo()
        for lock in self._held:
            lock.release()
        self._held.clear()
        self._db.close()

    async def _run(self, sql: str, params: dict[str, object]) -> Result:
        begin = _BEGIN.match(sql)
        if begin:
            self.status = b'T'
            self._read_only = 'READ ONLY' in begin[2].upper()
            return Result('BEGIN')
        if _COMMIT.match(sql):
            return self._commit()
        if _ROLLBACK.match(sql):
            self._undo()
            return Result('ROLLBACK')
        system = await self._system(sql)
        if system is not None:
            return system
        return await self._query(sql, params)

    def _commit(self) -> Result:
        if self.status == b'E':
            self._undo()
            return Result('ROLLBACK')
        if self._writing:
            self._db.execute('COMMIT')
            self._log_changes()
            self._stop_writing()
        self.status = b'I'
        self._read_only = False
        return Result('COMMIT')

    def _undo(self) -> None:
        if self._writing:
            with contextlib.suppress(sqlite3.Error):
                self._db.execute('ROLLBACK')
            self._stop_writing()
        self._changes.clear()
        self.status = b'I'
        self._read_only = False

    def _log_changes(self) -> None:
        record = self._instance.log.append_changes(self._changes)
        self._instance.applied_lsn = record.lsn
        self._changes.clear()

    def _stop_writing(self) -> None:
        self._writing = False
        self._instance.write_lock.release()

    async def _system(self, sql: str) -> Result | None:
        """Run what SQLite has no equivalent for."""
        instance = self._instance
        altered = _ALTER_SYSTEM.match(sql)
        if altered:
            instance.alter_system(altered[1].lower(), altered[2])
            return Result('ALTER SYSTEM')
        if _SET.match(sql):
            return Result('SET')
        locked = _LOCK.match(sql)
        if locked:
            lock = instance.advisory_lock(int(locked[1]))
            await lock.acquire()
            self._held.append(lock)
            return Result('SELECT 1', ['pg_advisory_lock'], [('',)])
        unlocked = _UNLOCK.match(sql)
        if unlocked:
            lock = instance.advisory_lock(int(unlocked[1]))
            self._held.remove(lock)
            lock.release()
            return Result('SELECT 1', ['pg_advisory_unlock'], [('t',)])
        if _PROMOTE.match(sql):
            instance.promote()
            return Result('SELECT 1', ['pg_promote'], [('t',)])
        if _RELOAD.match(sql):
            return Result('SELECT 1', ['pg_reload_conf'], [('t',)])
        return None

    async def _query(self, sql: str, params: dict[str, object]) -> Result:
        word = sql.split(None, 1)[0].upper() if sql.strip() else ''
        if word in _READING:
            return self._fetch(word, self._db.execute(sql, params))
        self._may_write()
        own = self.status == b'I'
        await self._start_writing()
        try:
            done = self._fetch(word, self._db.execute(sql, params))
        except sqlite3.Error:
            if own:
                self._undo()
            raise
        self._changes.append(_log.Change(sql, params))
        if own:
            self._commit()
        return done

    def _may_write(self) -> None:
        if self._instance.in_recovery or self._read_only:
            raise _pgwire.SqlError(
                '25006', 'cannot execute a write in a read-only transaction'
            )

    async def _start_writing(self) -> None:
        if self._writing:
            return
        await self._instance.write_lock.acquire()
        self._writing = True
        self._db.execute('BEGIN IMMEDIATE')

    def _fetch(self, word: str, cur: sqlite3.Cursor) -> Result:
        if cur.description is None:
            count = max(cur.rowcount, 0)
            tag = f'INSERT 0 {count}' if word == 'INSERT' else word
            if word in ('UPDATE', 'DELETE'):
                tag = f'{word} {count}'
            return Result(tag)
        rows = cur.fetchall()
        tag = f'INSERT 0 {len(rows)}' if word == 'INSERT' else word
        if word in ('SELECT', 'UPDATE', 'DELETE'):
            tag = f'{word} {len(rows)}'
        return Result(tag, [c[0] for c in cur.description], rows)


def _ends(sql: str) -> bool:
    return bool(_COMMIT.match(sql) or _ROLLBACK.match(sql))


def _translated(exc: sqlite3.Error) -> _pgwire.SqlError:
    text = str(exc)
    if 'UNIQUE constraint failed' in text:
        table = text.rsplit(':', 1)[1].strip().split('.')[0]
        return _pgwire.SqlError('23505', text, table)
    if 'constraint failed' in text:
        return _pgwire.SqlError('23514', text)
    if 'no such table' in text:
        return _pgwire.SqlError('42P01', text)
    if 'locked' in text:
        return _pgwire.SqlError('40001', text)
    return _pgwire.SqlError('42601', text)

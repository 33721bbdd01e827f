"""Endpoints that speak the PostgreSQL protocol, through psycopg."""

import contextlib
import os
import socket
import typing

import anyio
import attrs
import psycopg
from psycopg import pq
import result

from tidegrade.adapters import _postgres_sql as sql
from tidegrade.codec import _results
from tidegrade import config
from tidegrade import core
from tidegrade import ports

#: SQLSTATE of a unique constraint that was violated.
UNIQUE_VIOLATION = '23505'
#: SQLSTATE classes that mean the connection or server is going.
GONE_CLASSES = ('08', '57P')
#: Pause between looks at a replica that replays before promotion.
REPLAY_PAUSE = 0.005
#: Looks before the promotion is given up as failed.
REPLAY_LOOKS = 1000
#: Seconds libpq may take to connect (its least value is 2).
CONNECT_SECONDS = 2


@attrs.frozen
class PostgresSettings:
    """How to log in to endpoints; secrets stay out of the configuration.

    ``ssl_mode`` and ``ssl_root_cert`` are libpq's.
    """

    user: str = 'tidegrade'
    password: str = ''
    ssl_mode: str = 'disable'
    ssl_root_cert: str = ''
    replication_user: str = 'replicator'


#: Jobs that hold an advisory lock while they run.
_LOCKING = (core.FenceJob, core.PromoteJob)


#: Carries out one kind of job.
_Runner = typing.Callable[
    ..., typing.Coroutine[typing.Any, typing.Any, core.JobOutcome]
]


class _Refused(Exception):
    """A control job that its endpoint must not carry out."""


class PostgresEndpoints:
    """Opens connections with one login and application name."""

    def __init__(self, cfg: PostgresSettings, proxy_id: str) -> None:
        self._cfg = cfg
        self._proxy_id = proxy_id

    async def connect(
        self, endpoint: config.Endpoint, group: config.Group, tenant: str
    ) -> result.Result[ports.EndpointConn, ports.ConnectProblem]:
        """Open a connection to an endpoint of a group, for all tenants."""
        options: dict[str, typing.Any] = {
            'host': endpoint.host,
            'port': endpoint.port,
            'dbname': group.database,
            'user': self._cfg.user,
            'application_name': self._proxy_id,
            'connect_timeout': CONNECT_SECONDS,
            'sslmode': self._cfg.ssl_mode,
            'gssencmode': 'disable',
        }
        if self._cfg.password:
            options['password'] = self._cfg.password
        if self._cfg.ssl_root_cert:
            options['sslrootcert'] = self._cfg.ssl_root_cert
        try:
            conn = await psycopg.AsyncConnection.connect(
                **options,
                autocommit=True,
                prepare_threshold=None,
                cursor_factory=psycopg.AsyncRawCursor,
            )
        except psycopg.Error as exc:
            text = str(exc)
            return result.Err(
                ports.ConnectProblem(
                    text,
                    refused='refused' in text,
                    full='too many clients' in text,
                )
            )
        return result.Ok(PostgresConn(conn, group, self._cfg))


class PostgresConn:
    """One connection; it runs one job at a time."""

    def __init__(
        self,
        conn: psycopg.AsyncConnection,
        group: config.Group,
        cfg: PostgresSettings,
    ) -> None:
        self._conn = conn
        self._group = group
        self._cfg = cfg
        self._socket = socket.socket(fileno=os.dup(conn.fileno()))
        self._jobs: dict[type, _Runner] = {
            core.StatusJob: self._status,
            core.ReadJob: self._read,
            core.StartJob: self._start,
            core.ExecuteJob: self._execute,
            core.CommitJob: self._commit,
            core.RollbackJob: self._rollback,
            core.SetupJob: self._setup,
            core.FenceJob: self._fence,
            core.PromoteJob: self._promote,
            core.FollowJob: self._follow,
        }

    async def run(self, job: core.Job) -> core.JobOutcome:
        """Carry out a job; a failure is a value."""
        try:
            return await self._jobs[type(job)](job)
        except psycopg.Error as exc:
            failed = await self._failed(exc)
            if isinstance(job, _LOCKING):
                # The end of the connection frees the advisory lock.
                return attrs.evolve(failed, usable=False)
            return failed
        except _Refused as exc:
            return core.JobFailed(core.Failure.REFUSED, str(exc))

    def abort(self) -> None:
        """Cut the connection at once; a running job then ends as lost."""
        # The other side may have been faster.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Free what the connection holds."""
        self._socket.close()
        await self._conn.close()

    # Failures -------------------------------------------------------------

    async def _failed(self, exc: psycopg.Error) -> core.JobFailed:
        state = exc.sqlstate or ''
        broken = self._conn.broken or self._conn.closed
        if broken or not state or state.startswith(GONE_CLASSES):
            return core.JobFailed(core.Failure.LOST, str(exc), state)
        usable = await self._clean()
        failure = core.Failure.STATEMENT if usable else core.Failure.LOST
        return core.JobFailed(failure, str(exc), state, usable)

    async def _clean(self) -> bool:
        """Roll back whatever is open; tell if the connection is sound."""
        status = self._conn.info.transaction_status
        try:
            if status != pq.TransactionStatus.IDLE:
                await self._conn.execute('ROLLBACK')
        except psycopg.Error:
            return False
        status = self._conn.info.transaction_status
        return status == pq.TransactionStatus.IDLE

    # Statements -----------------------------------------------------------

    async def _send(
        self, statements: tuple[core.Statement, ...]
    ) -> list[psycopg.AsyncCursor]:
        """Execute statements; in a pipeline, results come at its end."""
        return [
            await self._conn.execute(stmt.sql, stmt.params or None)
            for stmt in statements
        ]

    async def _results(
        self, cursors: list[psycopg.AsyncCursor]
    ) -> tuple[core.ResultSet, ...]:
        return tuple([await _result_set(cur) for cur in cursors])

    async def _too_large(self) -> core.JobFailed:
        usable = await self._clean()
        limit = self._group.max_result_bytes
        detail = f'the result is over {limit} bytes'
        return core.JobFailed(core.Failure.TOO_LARGE, detail, usable=usable)

    def _over_limit(self, results: tuple[core.ResultSet, ...]) -> bool:
        return _results.size_of(results) > self._group.max_result_bytes

    # Jobs of callers ------------------------------------------------------

    async def _status(self, job: core.StatusJob) -> core.JobOutcome:
        cur = await self._conn.execute(sql.STATUS)
        report = await _report(cur)
        return core.JobDone(report, after_lsn=report.lsn)

    async def _read(self, job: core.ReadJob) -> core.JobOutcome:
        async with self._conn.pipeline():
            await self._conn.execute('BEGIN READ ONLY')
            status = await self._conn.execute(sql.STATUS)
            cursors = await self._send(job.statements)
            after = await self._conn.execute(sql.LSN)
            await self._conn.execute('COMMIT')
        results = await self._results(cursors)
        if self._over_limit(results):
            return await self._too_large()
        report = await _report(status)
        return core.JobDone(report, results, await _lsn(after))

    async def _start(self, job: core.StartJob) -> core.JobOutcome:
        try:
            return await self._start_new(job)
        except psycopg.errors.UniqueViolation as exc:
            if exc.diag.table_name != sql.KEY_TABLE:
                raise
        return await self._replay(job)

    async def _start_new(self, job: core.StartJob) -> core.JobOutcome:
        async with self._conn.pipeline():
            await self._conn.execute('BEGIN')
            status = await self._conn.execute(sql.STATUS)
            if job.key is not None:
                await self._conn.execute(
                    sql.INSERT_KEY, (job.key, job.fingerprint)
                )
            cursors = await self._send(job.statements)
        return await self._in_transaction(status, cursors)

    async def _in_transaction(
        self,
        status: psycopg.AsyncCursor,
        cursors: list[psycopg.AsyncCursor],
    ) -> core.JobOutcome:
        """Check that the transaction is still the one that was begun."""
        if self._conn.info.transaction_status != (
            pq.TransactionStatus.INTRANS
        ):
            detail = 'a statement ended the transaction'
            return core.JobFailed(core.Failure.LOST, detail)
        results = await self._results(cursors)
        if self._over_limit(results):
            return await self._too_large()
        return core.JobDone(await _report(status), results)

    async def _replay(self, job: core.StartJob) -> core.JobOutcome:
        """Give the results kept by the request that used the key."""
        if not await self._clean():
            return core.JobFailed(core.Failure.LOST)
        async with self._conn.pipeline():
            found = await self._conn.execute(sql.FIND_KEY, (job.key,))
            status = await self._conn.execute(sql.STATUS)
        row = await found.fetchone()
        if row is None:
            # The other request rolled back in the meantime.
            return core.JobFailed(core.Failure.LOST, usable=True)
        if row[0] != job.fingerprint:
            detail = 'the key belongs to a request with another content'
            return core.JobFailed(core.Failure.KEY_REUSED, detail, usable=True)
        report = await _report(status)
        return core.JobDone(
            report,
            _results.load_results(row[1]),
            after_lsn=report.lsn,
            replayed=True,
        )

    async def _execute(self, job: core.ExecuteJob) -> core.JobOutcome:
        async with self._conn.pipeline():
            status = await self._conn.execute(sql.STATUS)
            cursors = await self._send(job.statements)
        return await self._in_transaction(status, cursors)

    async def _commit(self, job: core.CommitJob) -> core.JobOutcome:
        commit = None
        try:
            async with self._conn.pipeline():
                if job.key is not None:
                    kept = _results.dump_results(job.results)
                    await self._conn.execute(sql.KEEP_RESULT, (kept, job.key))
                commit = await self._conn.execute('COMMIT')
                status = await self._conn.execute(sql.STATUS)
        except psycopg.Error as exc:
            if commit is not None and commit.statusmessage == 'COMMIT':
                return core.JobFailed(core.Failure.LOST, str(exc))
            raise
        if commit.statusmessage != 'COMMIT':
            detail = 'the endpoint rolled the transaction back'
            return core.JobFailed(core.Failure.STATEMENT, detail, usable=True)
        report = await _report(status)
        return core.JobDone(report, after_lsn=report.lsn)

    async def _rollback(self, job: core.RollbackJob) -> core.JobOutcome:
        await self._conn.execute('ROLLBACK')
        return await self._status(core.StatusJob())

    # Jobs of supervisors --------------------------------------------------

    async def _setup(self, job: core.SetupJob) -> core.JobOutcome:
        for statement in sql.SETUP:
            await self._conn.execute(statement)
        await self._conn.execute(sql.MARK_TERM, (job.term, 0))
        return await self._status(core.StatusJob())

    async def _fence(self, job: core.FenceJob) -> core.JobOutcome:
        await self._conn.execute(sql.LOCK)
        report = await _report(await self._conn.execute(sql.STATUS))
        if (report.promised or 0) < job.term:
            await self._conn.execute(sql.set_promise(job.term))
            await self._conn.execute(sql.RELOAD)
        await self._conn.execute(sql.UNLOCK)
        return await self._status(core.StatusJob())

    async def _promote(self, job: core.PromoteJob) -> core.JobOutcome:
        await self._conn.execute(sql.LOCK)
        report = await _report(await self._conn.execute(sql.STATUS))
        if report.promised != job.term:
            raise _Refused('the endpoint has promised another term')
        if report.in_recovery:
            fork = await self._leave_recovery()
        else:
            fork = core.NO_LOSS if job.reelected else report.lsn
        await self._conn.execute(sql.MARK_TERM, (job.term, fork))
        cur = await self._conn.execute(sql.FORK_AFTER, (job.former_term,))
        kept = await cur.fetchone()
        await self._conn.execute(sql.UNLOCK)
        report = await _report(await self._conn.execute(sql.STATUS))
        assert kept is not None
        return core.JobDone(
            report, after_lsn=report.lsn, fork_lsn=int(kept[0])
        )

    async def _leave_recovery(self) -> int:
        """Detach, replay what was received, promote; give the fork."""
        await self._conn.execute(sql.set_upstream(''))
        await self._conn.execute(sql.RELOAD)
        for _ in range(REPLAY_LOOKS):
            cur = await self._conn.execute(sql.RECEIVED_AND_REPLAYED)
            row = await cur.fetchone()
            assert row is not None
            received, replayed = (sql.parse_lsn(value) for value in row)
            if replayed >= received:
                await self._conn.execute(sql.PROMOTE)
                return replayed
            await anyio.sleep(REPLAY_PAUSE)
        raise _Refused('the replica did not finish replaying')

    async def _follow(self, job: core.FollowJob) -> core.JobOutcome:
        conninfo = (
            f'host={job.host} port={job.port}'
            f' user={self._cfg.replication_user}'
        )
        await self._conn.execute(sql.set_upstream(conninfo))
        await self._conn.execute(sql.RELOAD)
        return await self._status(core.StatusJob())


async def _result_set(cur: psycopg.AsyncCursor) -> core.ResultSet:
    if cur.description is None:
        return core.ResultSet((), (), max(cur.rowcount, 0))
    columns = tuple(column.name for column in cur.description)
    rows = tuple(await cur.fetchall())
    return core.ResultSet(columns, rows, len(rows))


async def _report(cur: psycopg.AsyncCursor) -> core.EndpointReport:
    row = await cur.fetchone()
    assert row is not None
    return core.EndpointReport(
        in_recovery=bool(row[0]),
        lsn=sql.parse_lsn(row[1]),
        received_lsn=sql.parse_lsn(row[2]),
        marker=int(row[3] or 0),
        promised=int(row[4] or 0),
    )


async def _lsn(cur: psycopg.AsyncCursor) -> int:
    row = await cur.fetchone()
    assert row is not None
    return sql.parse_lsn(row[0])

"""Endpoints that use the PostgreSQL protocol, accessed through psycopg."""

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

#: SQLSTATE of a violated unique constraint.
UNIQUE_VIOLATION = '23505'
#: SQLSTATE prefixes which mean that the connection is lost or that the server
#: shuts down.
CONNECTION_LOST_PREFIXES = ('08', '57P')
#: Interval, in seconds, at which a promotion polls the replay position of the
#: replica.
REPLAY_POLL_INTERVAL_S = 0.005
#: Number of polls after which the promotion fails.
MAX_REPLAY_POLLS = 1000
#: Time limit of libpq for connecting, in seconds; its least value is 2.
CONNECT_TIMEOUT_S = 2


@attrs.frozen
class PostgresSettings:
    """Credentials for endpoints; the configuration contains no secrets.

    ``ssl_mode`` and ``ssl_root_cert`` are libpq's ``sslmode`` and
    ``sslrootcert``. ``replication_user`` is the user under which replicas
    connect to their primary.
    """

    user: str = 'tidegrade'
    password: str = ''
    ssl_mode: str = 'disable'
    ssl_root_cert: str = ''
    replication_user: str = 'replicator'


#: Jobs that hold an advisory lock while they run.
_LOCKING_JOBS = (core.FenceJob, core.PromoteJob)


#: A coroutine function that runs one kind of job.
_JobRunner = typing.Callable[
    ..., typing.Coroutine[typing.Any, typing.Any, core.JobOutcome]
]


class _Refused(Exception):
    """A control job that the endpoint must not run."""


class PostgresEndpoints:
    """Opens connections that share a login and an application name."""

    def __init__(self, cfg: PostgresSettings, proxy_id: str) -> None:
        self._cfg = cfg
        self._proxy_id = proxy_id

    async def connect(
        self, endpoint: config.Endpoint, group: config.Group, tenant: str
    ) -> result.Result[ports.EndpointConn, ports.ConnectProblem]:
        """Return a new connection to an endpoint of a group.

        The connection serves all tenants, so that ``tenant`` is not used.
        """
        options: dict[str, typing.Any] = {
            'host': endpoint.host,
            'port': endpoint.port,
            'dbname': group.database,
            'user': self._cfg.user,
            'application_name': self._proxy_id,
            'connect_timeout': CONNECT_TIMEOUT_S,
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
    """A connection to an endpoint, which runs one job at a time."""

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
        self._jobs: dict[type, _JobRunner] = {
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
        """Run a job; a failure is returned, not raised."""
        try:
            return await self._jobs[type(job)](job)
        except psycopg.Error as exc:
            failed = await self._failed(exc)
            if isinstance(job, _LOCKING_JOBS):
                # Closing the connection releases the advisory lock.
                return attrs.evolve(failed, usable=False)
            return failed
        except _Refused as exc:
            return core.JobFailed(core.Failure.REFUSED, str(exc))

    def abort(self) -> None:
        """Shut down the connection at once; a running job fails as lost."""
        # The endpoint may have closed the connection already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection and release its descriptors."""
        self._socket.close()
        await self._conn.close()

    # Failures -------------------------------------------------------------

    async def _failed(self, exc: psycopg.Error) -> core.JobFailed:
        state = exc.sqlstate or ''
        broken = self._conn.broken or self._conn.closed
        if broken or not state or state.startswith(CONNECTION_LOST_PREFIXES):
            return core.JobFailed(core.Failure.LOST, str(exc), state)
        usable = await self._reset()
        failure = core.Failure.STATEMENT if usable else core.Failure.LOST
        return core.JobFailed(failure, str(exc), state, usable)

    async def _reset(self) -> bool:
        """Roll back an open transaction; return whether none is open now."""
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
        """Execute statements; in a pipeline, results arrive when it ends."""
        return [
            await self._conn.execute(stmt.sql, stmt.params or None)
            for stmt in statements
        ]

    async def _results(
        self, cursors: list[psycopg.AsyncCursor]
    ) -> tuple[core.ResultSet, ...]:
        return tuple([await _result_set(cur) for cur in cursors])

    async def _too_large(self) -> core.JobFailed:
        usable = await self._reset()
        limit = self._group.max_result_bytes
        detail = f'the result exceeds {limit} bytes'
        return core.JobFailed(core.Failure.TOO_LARGE, detail, usable=usable)

    def _over_limit(self, results: tuple[core.ResultSet, ...]) -> bool:
        return _results.size_of(results) > self._group.max_result_bytes

    # Jobs for callers -----------------------------------------------------

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
        """Return the results if the transaction is still open."""
        if self._conn.info.transaction_status != (
            pq.TransactionStatus.INTRANS
        ):
            detail = 'a statement ended the transaction'
            return core.JobFailed(core.Failure.LOST, detail, answered=True)
        results = await self._results(cursors)
        if self._over_limit(results):
            return await self._too_large()
        return core.JobDone(await _report(status), results)

    async def _replay(self, job: core.StartJob) -> core.JobOutcome:
        """Return the results stored by the request that first used the key."""
        if not await self._reset():
            return core.JobFailed(core.Failure.LOST)
        async with self._conn.pipeline():
            found = await self._conn.execute(sql.FIND_KEY, (job.key,))
            status = await self._conn.execute(sql.STATUS)
        row = await found.fetchone()
        if row is None:
            # The request that used the key has rolled back since.
            return core.JobFailed(core.Failure.LOST, usable=True)
        if row[0] != job.fingerprint:
            detail = (
                'the idempotency key belongs to a request with other content'
            )
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
                    await self._conn.execute(sql.STORE_RESULT, (kept, job.key))
                commit = await self._conn.execute('COMMIT')
                status = await self._conn.execute(sql.STATUS)
        except psycopg.Error as exc:
            if commit is not None and commit.statusmessage == 'COMMIT':
                return core.JobFailed(core.Failure.LOST, str(exc))
            raise
        if commit.statusmessage != 'COMMIT':
            detail = 'the endpoint rolled back the transaction'
            return core.JobFailed(core.Failure.STATEMENT, detail, usable=True)
        report = await _report(status)
        return core.JobDone(report, after_lsn=report.lsn)

    async def _rollback(self, job: core.RollbackJob) -> core.JobOutcome:
        await self._conn.execute('ROLLBACK')
        return await self._status(core.StatusJob())

    # Jobs for supervision -------------------------------------------------

    async def _setup(self, job: core.SetupJob) -> core.JobOutcome:
        for statement in sql.SETUP:
            await self._conn.execute(statement)
        await self._conn.execute(sql.INSERT_TERM, (job.term, 0))
        return await self._status(core.StatusJob())

    async def _fence(self, job: core.FenceJob) -> core.JobOutcome:
        await self._conn.execute(sql.LOCK)
        report = await _report(await self._conn.execute(sql.STATUS))
        if (report.promised or 0) < job.term:
            await self._conn.execute(sql.set_promised_term(job.term))
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
        await self._conn.execute(sql.INSERT_TERM, (job.term, fork))
        cur = await self._conn.execute(sql.FORK_AFTER, (job.former_term,))
        kept = await cur.fetchone()
        await self._conn.execute(sql.UNLOCK)
        report = await _report(await self._conn.execute(sql.STATUS))
        assert kept is not None
        return core.JobDone(
            report, after_lsn=report.lsn, fork_lsn=int(kept[0])
        )

    async def _leave_recovery(self) -> int:
        """Promote a replica and return the position at which it forks.

        The replica is detached from its upstream first and replays all WAL
        that it has received.
        """
        await self._conn.execute(sql.set_upstream(''))
        await self._conn.execute(sql.RELOAD)
        for _ in range(MAX_REPLAY_POLLS):
            cur = await self._conn.execute(sql.RECEIVED_AND_REPLAYED)
            row = await cur.fetchone()
            assert row is not None
            received, replayed = (sql.parse_lsn(value) for value in row)
            if replayed >= received:
                await self._conn.execute(sql.PROMOTE)
                return replayed
            await anyio.sleep(REPLAY_POLL_INTERVAL_S)
        raise _Refused('the replica did not finish its replay in time')

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
    marker = int(row[3] or 0)
    return core.EndpointReport(
        in_recovery=bool(row[0]),
        lsn=sql.parse_lsn(row[1]),
        # LSNs do not restart with a term.
        received=core.Position(marker, sql.parse_lsn(row[2])),
        marker=marker,
        promised=int(row[4] or 0),
    )


async def _lsn(cur: psycopg.AsyncCursor) -> int:
    row = await cur.fetchone()
    assert row is not None
    return sql.parse_lsn(row[0])

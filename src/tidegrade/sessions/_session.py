"""One caller's session: its values, prepared names and transaction.

A session holds no endpoint connection between transactions. Its session
values are sent with each request and set at the endpoint that serves it.
"""

import typing

import attrs

from tidegrade import core
from tidegrade.sessions import _access
from tidegrade.sessions import _commands
from tidegrade.sessions import _deps
from tidegrade.sessions import _operations
from tidegrade.sessions import _routes
from tidegrade import tenants

#: Fraction of the target latency that a read waits for a replica before the
#: primary serves it.
REPLICA_WAIT_SHARE = 0.1
#: Fraction of a statement's timeout that it may wait for an endpoint. Callers
#: make up to three attempts within about three timeouts; if each is refused by
#: this share, the last attempt still ends before the caller gives up.
PLACEMENT_SHARE = 0.75
#: Fraction of a statement's timeout that one endpoint gets for a read, so
#: that time remains to retry it at another endpoint.
ATTEMPT_SHARE = 0.4


_DONE = core.Answer(core.Outcome.DONE)
_TXN_FAILED = _operations.refused(
    core.Code.BAD_REQUEST,
    'the transaction has failed; commit or roll it back first',
)


@attrs.define
class _Transaction:
    """The open transaction of a session.

    ``name`` is empty until the first statement begins the transaction at an
    endpoint. ``began_at`` is the time of the caller's begin command.
    """

    start: _operations.Start
    read_only: bool
    began_at: float
    name: str = ''

    @property
    def access(self) -> _access.Access:
        """The tenant and the route of the transaction."""
        return self.start.access

    @property
    def group(self) -> _deps.GroupAccess:
        """The group that serves the transaction."""
        return self.start.group


class Session:
    """Runs the commands of one caller sequentially."""

    def __init__(
        self, database: str, caller: tenants.Caller, deps: _deps.SessionDeps
    ) -> None:
        self._database = database
        self._caller = caller
        self._deps = deps
        self._operations = _operations.Operations(database, caller, deps)
        self._values: dict[str, str] = {}
        self._prepared: dict[str, core.Prepared] = {}
        self._floors: dict[str, core.Position] = {}
        self._txn: _Transaction | None = None
        self._failed = False
        #: When the last command began, in seconds.
        self._began_at = 0.0
        self._handlers: dict[type, typing.Any] = {
            _commands.Begin: self._begin,
            _commands.Commit: self._commit,
            _commands.Rollback: self._rollback,
            _commands.Run: self._run,
            _commands.SetValue: self._set_value,
            _commands.Prepare: self._prepare,
            _commands.Execute: self._execute,
            _commands.Deallocate: self._deallocate,
        }

    @property
    def state(self) -> _deps.SessionState:
        """The transaction state of the session."""
        if self._failed:
            return _deps.SessionState.FAILED
        return (
            _deps.SessionState.IDLE
            if self._txn is None
            else _deps.SessionState.OPEN
        )

    async def handle(self, command: _commands.Command) -> _deps.Reply:
        """Run a command and return its reply; failures are replies too."""
        ending = (_commands.Commit, _commands.Rollback)
        if self._failed and not isinstance(command, ending):
            # The failed statement has been recorded already.
            return _deps.Reply(_TXN_FAILED, self.state)
        self._began_at = self._deps.now()
        answer = await self._handlers[type(command)](command)
        return self._recorded(command, answer)

    def interrupted(self, command: _commands.Command) -> _deps.Reply:
        """Return the reply to a command that was cancelled by a shutdown.

        An open transaction is never committed, so nothing of it is kept.
        Whether a write or a commit takes effect is unknown.
        """
        if self._txn is None and self._may_have_written(command):
            answer = core.Answer(
                core.Outcome.UNKNOWN,
                code=core.Code.UNCONFIRMED,
                detail='the proxy was shut down before the endpoint answered',
            )
            return self._recorded(command, answer)
        return self._recorded(command, self._refuse_at_shutdown())

    def refuse(self, command: _commands.Command) -> _deps.Reply:
        """Return the reply to a command that a shutdown leaves no time for.

        It is not run, and an open transaction is rolled back.
        """
        self._began_at = self._deps.now()
        return self._recorded(command, self._refuse_at_shutdown())

    def abandon(self) -> None:
        """Roll an open transaction back, since a shutdown is about to end it.

        The transaction then has failed for the caller.
        """
        if self._txn is not None:
            self._end_for_shutdown(self._txn)

    def _refuse_at_shutdown(self) -> core.Answer:
        if self._txn is not None:
            return self._end_for_shutdown(self._txn)
        return _operations.refused(
            core.Code.DRAINING, 'the proxy is shutting down'
        )

    def _recorded(
        self, command: _commands.Command, answer: core.Answer
    ) -> _deps.Reply:
        """Record a command with its answer, and return the reply."""
        reply = _deps.Reply(answer, self.state)
        self._deps.record_command(
            _deps.CommandRecord(
                self._database,
                self._caller.label,
                self._operations.tenant,
                command,
                reply,
                self._deps.now() - self._began_at,
            )
        )
        return reply

    def _may_have_written(self, command: _commands.Command) -> bool:
        """Return whether a command outside a transaction may take effect.

        A commit counts: its transaction is forgotten before it is sent.
        """
        if isinstance(command, _commands.Run):
            return command.writes
        if isinstance(command, _commands.Execute):
            prepared = self._prepared.get(command.name)
            return prepared is not None and prepared.writes
        return isinstance(command, _commands.Commit)

    def close(self) -> None:
        """End the session and roll back its open transaction."""
        txn, self._txn = self._txn, None
        if txn is not None:
            self._roll_back(txn)

    # Session state --------------------------------------------------------

    async def _set_value(self, command: _commands.SetValue) -> core.Answer:
        self._values[command.name] = command.value
        return _DONE

    async def _prepare(self, command: _commands.Prepare) -> core.Answer:
        self._prepared[command.name] = command.prepared
        return _DONE

    async def _deallocate(self, command: _commands.Deallocate) -> core.Answer:
        if self._prepared.pop(command.name, None) is None:
            return _operations.refused(core.Code.NO_STATEMENT, command.name)
        return _DONE

    # Statements -----------------------------------------------------------

    async def _run(self, command: _commands.Run) -> core.Answer:
        stmt = core.Statement(command.text, id=command.id)
        return await self._statement(stmt, command.writes)

    async def _execute(self, command: _commands.Execute) -> core.Answer:
        prepared = self._prepared.get(command.name)
        if prepared is None:
            answer = _operations.refused(core.Code.NO_STATEMENT, command.name)
            return self._after_statement(answer)
        stmt = core.Statement(
            command.arguments, id=command.id, prepared=prepared
        )
        return await self._statement(stmt, prepared.writes)

    async def _statement(
        self, stmt: core.Statement, writes: bool
    ) -> core.Answer:
        if self._txn is not None:
            return await self._in_transaction(self._txn, stmt)
        started = await self._operations.start()
        if started.is_err():
            return started.unwrap_err()
        start = started.unwrap()
        kind = core.Kind.WRITE if writes else core.Kind.READ
        req = self._request(kind, start.access, (stmt,))
        answer = await start.group.request(req)
        if writes:
            answer = start.group.final(answer)
            self._note_commit(start.access.route, answer)
        self._operations.return_unused_grant(start, answer)
        return answer

    async def _in_transaction(
        self, txn: _Transaction, stmt: core.Statement
    ) -> core.Answer:
        if self._operations.is_key_withdrawn(txn.began_at):
            return self._after_statement(
                _operations.no_access(core.Code.UNAUTHORIZED)
            )
        if self._deps.phase() is _deps.ServicePhase.ENDING:
            return self._end_for_shutdown(txn)
        if txn.name:
            req = self._request(
                core.Kind.EXECUTE, txn.access, (stmt,), txn=txn.name
            )
        else:
            req = self._request(
                core.Kind.BEGIN,
                txn.access,
                (stmt,),
                read_only=txn.read_only,
            )
        answer = await txn.group.request(req)
        if not txn.name:
            txn.name = answer.txn
            self._operations.return_unused_grant(txn.start, answer)
        return self._after_statement(answer)

    def _after_statement(self, answer: core.Answer) -> core.Answer:
        """Mark the transaction as failed if a statement in it failed."""
        if self._txn is not None and answer.outcome is not core.Outcome.DONE:
            self._failed = True
        return answer

    # Transactions ---------------------------------------------------------

    async def _begin(self, command: _commands.Begin) -> core.Answer:
        """Open a transaction; the first statement begins it at an endpoint."""
        if self._txn is not None:
            return _operations.refused(
                core.Code.BAD_REQUEST, 'already in a transaction'
            )
        if self._deps.phase() is not _deps.ServicePhase.SERVING:
            return _operations.refused(
                core.Code.DRAINING, 'the proxy is shutting down'
            )
        started = await self._operations.start()
        if started.is_err():
            return started.unwrap_err()
        self._txn = _Transaction(
            started.unwrap(), command.read_only, self._deps.now()
        )
        return _DONE

    async def _commit(self, command: _commands.Commit) -> core.Answer:
        txn = self._txn
        if txn is None:
            return _operations.refused(
                core.Code.BAD_REQUEST, 'not in a transaction'
            )
        if self._failed or self._operations.is_key_withdrawn(txn.began_at):
            self._abort()
            return _operations.refused(
                core.Code.TXN_UNKNOWN, 'the transaction was rolled back'
            )
        self._txn = None
        if not txn.name:
            begun = await self._begin_empty(txn)
            if begun.outcome is not core.Outcome.DONE:
                return begun
        stmt = core.Statement(command.text, id=command.id)
        req = self._request(
            core.Kind.COMMIT, txn.access, (stmt,), txn=txn.name
        )
        answer = await txn.group.request(req)
        if not txn.read_only:
            answer = txn.group.final(answer)
        self._note_commit(txn.access.route, answer)
        return answer

    async def _begin_empty(self, txn: _Transaction) -> core.Answer:
        """Begin a transaction that is committed without any statement."""
        req = self._request(
            core.Kind.BEGIN, txn.access, (), read_only=txn.read_only
        )
        answer = await txn.group.request(req)
        txn.name = answer.txn
        return answer

    async def _rollback(self, command: _commands.Rollback) -> core.Answer:
        if self._txn is None:
            return _operations.refused(
                core.Code.BAD_REQUEST, 'not in a transaction'
            )
        self._abort()
        return _DONE

    def _abort(self) -> None:
        """End the transaction and roll it back at its endpoint."""
        txn, self._txn = self._txn, None
        self._failed = False
        assert txn is not None
        self._roll_back(txn)

    def _end_for_shutdown(self, txn: _Transaction) -> core.Answer:
        """Roll a transaction back because the process ends soon.

        Its further statements might not be answered in time.
        """
        self._roll_back(txn)
        txn.name = ''
        return self._after_statement(
            _operations.refused(
                core.Code.TXN_UNKNOWN,
                'the proxy is shutting down; the transaction was rolled back',
            )
        )

    def _roll_back(self, txn: _Transaction) -> None:
        if txn.name:
            req = self._request(
                core.Kind.ROLLBACK, txn.access, (), txn=txn.name
            )
            txn.group.post(core.RequestArrived(req))

    # Requests -------------------------------------------------------------

    def _request(
        self,
        kind: core.Kind,
        access: _access.Access,
        statements: tuple[core.Statement, ...],
        txn: str = '',
        read_only: bool = False,
    ) -> core.Request:
        route = access.route
        floor = None
        if route.own_writes:
            floor = self._floors.get(route.group)
        now = self._deps.now()
        return core.Request(
            id=self._deps.next_number(),
            tenant=access.tenant_name,
            caller=self._caller.label,
            kind=kind,
            deadline=now + route.timeout,
            place_by=now + route.timeout * PLACEMENT_SHARE,
            attempt_limit=route.timeout * ATTEMPT_SHARE,
            statements=statements,
            floor=floor,
            max_age=route.max_age,
            txn=txn,
            replica_wait=route.target_latency * REPLICA_WAIT_SHARE,
            values=tuple(self._values.items()),
            autocommit=kind is core.Kind.WRITE,
            read_only=read_only,
            aim=now + route.target_latency,
            priority=route.priority,
        )

    def _note_commit(
        self, route: _routes.DatabaseRoute, answer: core.Answer
    ) -> None:
        """Set the floor of later reads to the session's own commit."""
        if answer.outcome is core.Outcome.DONE and answer.position is not None:
            self._floors[route.group] = answer.position

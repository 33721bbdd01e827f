"""The jobs that run on a connection to an endpoint, and their outcomes."""

import enum

import attrs

from tidegrade.core import _types


@attrs.frozen
class SessionSetup:
    """Session state that a connection needs before a session's statement.

    ``reset`` discards all state that earlier sessions have set. After that,
    ``values`` are set and the statements in ``prepared`` are prepared, in
    this order.
    """

    reset: bool = False
    values: tuple[tuple[str, str], ...] = ()
    prepared: tuple[_types.Prepared, ...] = ()


@attrs.frozen
class StatusJob:
    """Get the endpoint's report and run nothing."""


@attrs.frozen
class ReadJob:
    """Run statements in one read-only transaction and get a report.

    An endpoint that checks positions refuses the job unless its data has
    reached ``after``.
    """

    statements: tuple[_types.Statement, ...]
    after: _types.Position | None = None
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class WriteJob:
    """Run one write in autocommit, on endpoints that support it."""

    statement: _types.Statement
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class StartJob:
    """Begin a transaction, run statements in it and leave it open.

    With ``key``, the transaction first records the idempotency key, so that
    a second run with the same key can't apply the statements again. The
    endpoint must have reached ``after``; a ``read_only`` transaction may run
    on a replica.
    """

    statements: tuple[_types.Statement, ...] = ()
    key: str | None = None
    fingerprint: str = ''
    read_only: bool = False
    after: _types.Position | None = None
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class ExecuteJob:
    """Run statements in the open transaction."""

    statements: tuple[_types.Statement, ...]
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class CommitJob:
    """Commit the open transaction.

    With ``key``, the results are first stored under that key. ``statement``
    is the caller's own commit statement, for endpoints that sign it.
    """

    key: str | None = None
    results: tuple[_types.ResultSet, ...] = ()
    statement: _types.Statement | None = None


@attrs.frozen
class RollbackJob:
    """Roll back the open transaction."""


@attrs.frozen
class SetupJob:
    """Create the proxy's tables and store ``term`` as the first term."""

    term: int


@attrs.frozen
class FenceJob:
    """Fence earlier terms: raise the endpoint's promised term to ``term``.

    The promised term is monotonic.
    """

    term: int


@attrs.frozen
class PromoteJob:
    """Stop replication, promote, and store ``term`` in the data.

    An endpoint that has promised a later term refuses the job.
    ``reelected`` says that the endpoint was the primary of ``former_term``:
    its log continues and nothing is lost. Before a platform that does not
    check terms, the promotion must be sent before ``until`` on this proxy's
    clock; after that, another supervisor may have promoted with a later term.
    """

    term: int
    former_term: int
    reelected: bool = False
    until: float = float('inf')


@attrs.frozen
class FollowJob:
    """Make a replica replicate from the primary at this address."""

    host: str
    port: int


#: The ``fork_lsn`` of a promotion that lost nothing of the former log.
NO_LOSS = 2**62


Job = (
    StatusJob
    | ReadJob
    | WriteJob
    | StartJob
    | ExecuteJob
    | CommitJob
    | RollbackJob
    | SetupJob
    | FenceJob
    | PromoteJob
    | FollowJob
)


#: Jobs that run statements of callers.
CALLER_JOBS = (ReadJob, WriteJob, StartJob, ExecuteJob, CommitJob)


class Failure(enum.Enum):
    """How a job failed, and what became of its transaction."""

    #: A statement failed; the transaction was rolled back.
    STATEMENT = 'statement'
    #: The idempotency key belongs to a request with other content; the
    #: transaction was rolled back.
    KEY_REUSED = 'key_reused'
    #: The result exceeds the size limit; the transaction was rolled back.
    TOO_LARGE = 'too_large'
    #: The connection was lost; the endpoint rolls back what it didn't
    #: commit.
    LOST = 'lost'
    #: The endpoint didn't answer in time; the connection is closed.
    TIMEOUT = 'timeout'
    #: The endpoint refused the job as unsafe, such as a late promotion.
    REFUSED = 'refused'
    #: Not run: every slot of the endpoint was in use.
    BUSY = 'busy'
    #: Not run: the endpoint's data has not reached the required position.
    BEHIND = 'behind'
    #: Not run: the endpoint is not the primary, and has rolled back the
    #: open transaction.
    NOT_PRIMARY = 'not_primary'


@attrs.frozen
class JobDone:
    """The outcome of a job that succeeded.

    ``after_lsn`` is the endpoint's position after the statements.
    ``replayed`` says that the job ran nothing and that the results are
    those of an earlier run with the same key. ``fork_lsn`` is the position
    at which a promotion ended the former term's log.
    """

    report: _types.EndpointReport
    results: tuple[_types.ResultSet, ...] = ()
    after_lsn: int = 0
    replayed: bool = False
    fork_lsn: int = 0


@attrs.frozen
class JobFailed:
    """The outcome of a job that failed.

    ``usable`` says whether the connection may be used again, ``answered``
    whether the endpoint is known to have answered the job although the
    connection is given up. A refusal may carry a report, as every other
    answer does.
    """

    failure: Failure
    detail: str = ''
    sqlstate: str = ''
    usable: bool = False
    report: _types.EndpointReport | None = None
    answered: bool = False


JobOutcome = JobDone | JobFailed

"""Work that a connection to an endpoint carries out, and how it ends."""

import enum

import attrs

from tidegrade.core import _types


@attrs.frozen
class SessionSetup:
    """What a connection must be told before a session's statement.

    ``reset`` drops all that earlier sessions have set; then ``values``
    are set and the shapes in ``prepared`` are made known, in this order.
    """

    reset: bool = False
    values: tuple[tuple[str, str], ...] = ()
    prepared: tuple[_types.Prepared, ...] = ()


@attrs.frozen
class StatusJob:
    """Ask for the endpoint's report alone."""


@attrs.frozen
class ReadJob:
    """Run statements in one read-only transaction, with a report.

    With ``after`` an endpoint that can check it refuses unless its data
    has reached that position.
    """

    statements: tuple[_types.Statement, ...]
    after: _types.Position | None = None
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class WriteJob:
    """Run one write that commits by itself, for endpoints that can."""

    statement: _types.Statement
    setup: SessionSetup = SessionSetup()


@attrs.frozen
class StartJob:
    """Begin a transaction, run statements in it and leave it open.

    With ``key`` the first statement records the idempotency key, so that
    a second run of the same key can't get past it. A ``read_only`` one
    may run on a replica that has reached ``after``.
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
    """Commit; with ``key``, first keep the results under that key.

    ``statement`` is the caller's own commit, for endpoints that sign it.
    """

    key: str | None = None
    results: tuple[_types.ResultSet, ...] = ()
    statement: _types.Statement | None = None


@attrs.frozen
class RollbackJob:
    """Roll the open transaction back."""


@attrs.frozen
class SetupJob:
    """Create the tables the proxy needs and mark the first term."""

    term: int


@attrs.frozen
class FenceJob:
    """Raise the endpoint's promise to ``term``; it never goes down."""

    term: int


@attrs.frozen
class PromoteJob:
    """Stop replication, promote, and mark ``term`` in the data.

    Refused by an endpoint that has promised a later term meanwhile.
    ``reelected`` says that the endpoint led the former term: its log goes
    on and nothing is lost. Not ordered from ``until`` on, by this proxy's
    clock: another supervisor may have promoted with a later term by then.
    """

    term: int
    former_term: int
    reelected: bool = False
    until: float = float('inf')


@attrs.frozen
class FollowJob:
    """Make a replica follow the primary at this address."""

    host: str
    port: int


#: The end of a term's log when nothing of it was lost.
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


class Failure(enum.Enum):
    """How a job failed; what it means for the transaction is beside it."""

    #: The statement was refused; the transaction was rolled back.
    STATEMENT = 'statement'
    #: The key belongs to a request with another content; rolled back.
    KEY_REUSED = 'key_reused'
    #: The result is over the limit; the transaction was rolled back.
    TOO_LARGE = 'too_large'
    #: The connection broke; the endpoint rolls back what it didn't commit.
    LOST = 'lost'
    #: No answer in time; the connection is closed.
    TIMEOUT = 'timeout'
    #: The endpoint refused the job as unsafe, such as a late promotion.
    REFUSED = 'refused'
    #: Not run: every slot of the endpoint was taken.
    BUSY = 'busy'
    #: Not run: the endpoint's data has not reached the position asked for.
    BEHIND = 'behind'
    #: Not run, and what was open is rolled back: it does not lead.
    NOT_PRIMARY = 'not_primary'


@attrs.frozen
class JobDone:
    """A job that succeeded.

    ``after_lsn`` is the position read after the statements; ``replayed``
    says that the results are those of an earlier run of the same key, and
    that nothing ran now. ``fork_lsn`` is where a promotion ended the
    former term's log.
    """

    report: _types.EndpointReport
    results: tuple[_types.ResultSet, ...] = ()
    after_lsn: int = 0
    replayed: bool = False
    fork_lsn: int = 0


@attrs.frozen
class JobFailed:
    """A job that failed; ``usable`` says if the connection may go on.

    A refusal may bring a report like every other answer.
    """

    failure: Failure
    detail: str = ''
    sqlstate: str = ''
    usable: bool = False
    report: _types.EndpointReport | None = None


JobOutcome = JobDone | JobFailed

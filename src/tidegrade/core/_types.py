"""Value types that the decision core shares with the other packages."""

import enum
import hashlib

import attrs

from tidegrade.core.tracing import _basis


@attrs.frozen(order=True)
class Position:
    """A position in a group's replication log.

    ``lsn`` is a byte offset. Offsets can be compared only within one
    ``term`` or, across terms, through :class:`tidegrade.core.GroupRow`.
    """

    term: int
    lsn: int


@attrs.frozen
class Prepared:
    """A statement shape that a session has prepared under a name.

    Endpoints know it by a name that is derived from the shape alone, so
    that sessions which share a connection can't confuse each other's names.
    """

    shape: str
    writes: bool = False

    @property
    def name(self) -> str:
        """The name under which endpoints know the shape."""
        kind = 'w' if self.writes else 'r'
        # Bytes of callers that are not UTF-8 are decoded as surrogates.
        shape = self.shape.encode('utf-8', 'surrogateescape')
        digest = hashlib.blake2s(shape, digest_size=12)
        return kind + digest.hexdigest()


@attrs.frozen
class Statement:
    """One statement with its positional parameters.

    ``id`` is the caller's identifier of this execution; it is passed to
    endpoints that sign what they executed. ``prepared`` is set if the text
    executes a prepared statement by its name.
    """

    sql: str
    params: tuple[object, ...] = ()
    id: str = ''
    prepared: Prepared | None = None


@attrs.frozen
class ResultSet:
    """The result of one statement.

    ``receipt`` is the endpoint's proof of the execution; it is empty if
    the endpoint returns none.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]
    row_count: int
    receipt: str = ''


class Outcome(enum.Enum):
    """What is known about a request's effects when it is answered."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Kind(enum.Enum):
    """The operation that a request asks for."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    EXECUTE = 'execute'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class Code(enum.Enum):
    """Stable error codes; they are part of the interface to callers."""

    DEADLINE = 'deadline_exceeded'
    OVERLOADED = 'overloaded'
    NO_PRIMARY = 'no_primary'
    TOO_STALE = 'too_stale'
    HISTORY_LOST = 'history_lost'
    STATEMENT_FAILED = 'statement_failed'
    RESULT_TOO_LARGE = 'result_too_large'
    KEY_REUSED = 'idempotency_key_reused'
    TXN_UNKNOWN = 'transaction_unknown'
    TXN_BUSY = 'transaction_busy'
    TXN_LIMIT = 'too_many_transactions'
    UNCONFIRMED = 'unconfirmed'
    CONN_LOST = 'connection_lost'
    DRAINING = 'draining'
    TXN_UNREACHABLE = 'transaction_unreachable'
    UNAUTHORIZED = 'unauthorized'
    NOT_FOUND = 'not_found'
    BAD_REQUEST = 'bad_request'
    TENANT_LIMIT = 'tenant_limit'
    NO_CONFIG = 'no_configuration'
    NO_STATEMENT = 'no_such_statement'


@attrs.frozen
class Request:
    """One request of a caller to one group.

    All times are in seconds; points in time are on the clock that drives
    the core.

    ``floor`` is the newest position that the session has observed.
    ``max_age`` bounds the staleness of a read (None: only ``floor``
    applies; 0: the primary serves the read). ``idempotent`` permits a retry
    without an idempotency key, and ``key`` permits a retry with that key.
    ``values`` are the session settings that apply to the statements. A
    request that no endpoint has started by ``place_by`` is refused. A read
    waits at most ``replica_wait`` seconds for a replica to catch up, and
    one attempt at an endpoint takes at most ``attempt_limit`` seconds.
    ``autocommit`` sends a single write to the endpoint without a
    transaction around it. ``read_only`` applies to a request that begins a
    transaction. ``aim`` is the target time of the answer. Requests of
    ``priority`` 0 are served first. ``tenant`` is empty if no tenants are
    configured; ``caller`` then distinguishes callers.
    """

    id: int
    tenant: str
    kind: Kind
    deadline: float
    statements: tuple[Statement, ...] = ()
    floor: Position | None = None
    max_age: float | None = None
    idempotent: bool = False
    key: str | None = None
    fingerprint: str = ''
    txn: str = ''
    values: tuple[tuple[str, str], ...] = ()
    place_by: float = float('inf')
    replica_wait: float | None = None
    attempt_limit: float = float('inf')
    autocommit: bool = False
    read_only: bool = False
    aim: float = float('inf')
    priority: int = 2
    caller: str = ''

    @property
    def queue_key(self) -> str:
        """The key under which the request is queued: tenant or caller."""
        return self.tenant or self.caller


def shifted_request(req: Request, seconds: float, number: int = 0) -> Request:
    """Return a copy of a request for another clock.

    The points in time are moved by ``seconds``; ``number`` is the new id.
    """
    return attrs.evolve(
        req,
        id=number,
        deadline=req.deadline + seconds,
        place_by=req.place_by + seconds,
        aim=req.aim + seconds,
    )


@attrs.frozen
class Trace:
    """How a request was served, for the request log.

    ``tries`` counts the endpoints that the request was sent to, ``misses``
    those that executed nothing, and ``sent_to`` is the last endpoint. A
    read required data at or past ``after``. If the read named that position
    to the endpoint, ``after_term`` is its term as the endpoint counts it,
    which may be a former one, and ``after_age`` is how long before the
    arrival of the request the primary was known to have reached it, in
    seconds. ``permission_left`` is the remaining validity of the permission
    to acknowledge, in seconds. ``via`` is the proxy that served the request
    on behalf of this one.

    ``to_primary`` tells whether ``sent_to`` was the primary of the term as
    the request was sent, and ``basis`` is the origin of ``after``.
    ``reported`` is the position that the endpoint stated with its answer,
    in the term as it counts it; ``repeated`` if the answer itself stated
    none and that of an earlier one stands for it. ``commit`` is the
    position of a commit in the term as the proxies count it. ``grants``
    are those that the permission rested on: of a write as it was answered,
    of a read that required the permission as it was sent.
    """

    term: int
    tries: int
    misses: int
    sent_to: str = ''
    after: int | None = None
    permission_left: float | None = None
    via: str = ''
    after_term: int | None = None
    after_age: float | None = None
    to_primary: bool | None = None
    basis: _basis.ReadBasis = _basis.ReadBasis.NONE
    reported: Position | None = None
    repeated: bool = False
    commit: Position | None = None
    grants: tuple[_basis.GrantRecord, ...] = ()


@attrs.frozen
class Answer:
    """The one final answer to a request.

    ``position`` is the newest position that the session has observed after
    this request. ``retry_after`` is in seconds. ``age`` bounds the staleness
    of the data read, in seconds. A write may be acknowledged only before
    ``acknowledge_until``, a point in time that is checked again immediately
    before the answer is sent.
    """

    outcome: Outcome
    code: Code | None = None
    detail: str = ''
    results: tuple[ResultSet, ...] = ()
    position: Position | None = None
    endpoint: str = ''
    from_replica: bool = False
    age: float | None = None
    replayed: bool = False
    retry_after: float | None = None
    txn: str = ''
    acknowledge_until: float | None = None
    trace: Trace | None = None


@attrs.frozen
class EndpointReport:
    """The status of an endpoint, read together with every statement.

    ``lsn`` is the applied position on a replica and the current position
    on a primary. ``received`` is the position up to which a replica holds
    the log durably. ``marker`` is the term that the endpoint leads or
    follows, as it counts terms. Until the first commit of that term has been
    received, ``received`` can belong to an earlier one. ``promised`` is the
    lowest term for which this endpoint still grants write permission. Some
    endpoints return only a short report with each statement; it leaves
    ``in_recovery`` and ``promised`` unknown (None). With
    ``repeats_position`` the answer named no position, and the one given here
    is that of an earlier answer: the endpoint has reached it, but nothing
    shows that it had not reached a later one by then.

    ``stated_applied`` and ``stated_received`` are for the log only: the
    positions as the endpoint stated them, each in its own term. They are
    None where positions go on from term to term.
    """

    in_recovery: bool | None
    lsn: int
    received: Position
    marker: int
    promised: int | None
    repeats_position: bool = False
    stated_applied: Position | None = None
    stated_received: Position | None = None

    @property
    def received_lsn(self) -> int:
        """The received LSN of the term ``marker``, 0 if there is none."""
        return self.received.lsn if self.received.term == self.marker else 0


class InvariantBroken(AssertionError):
    """An invariant does not hold; the process must stop."""


def invariant(holds: bool, what: str) -> None:
    """Raise :class:`InvariantBroken` unless ``holds`` is true.

    Unlike ``assert``, it also checks when assertions are disabled.
    """
    if not holds:
        raise InvariantBroken(what)

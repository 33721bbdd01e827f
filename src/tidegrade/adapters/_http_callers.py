"""The HTTP/1.1 and JSON interface for callers."""

import typing

import attrs
from starlette import requests
from starlette import responses
from starlette import routing

from tidegrade.adapters import _http_common as common
from tidegrade.codec import _results
from tidegrade.codec import _structure
from tidegrade import core
from tidegrade import ports

SESSION = 'Tidegrade-Session'
DEADLINE = 'Tidegrade-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'

#: Longest idempotency key that is accepted, in characters.
MAX_KEY_LENGTH = 200

#: First words of the statements that begin, end or divide a transaction.
#: Callers send requests for this instead.
TXN_CONTROL_KEYWORDS = frozenset(
    {
        'ABORT',
        'BEGIN',
        'COMMIT',
        'END',
        'PREPARE',
        'RELEASE',
        'ROLLBACK',
        'SAVEPOINT',
        'START',
    }
)


Body = typing.TypeVar('Body')


@attrs.frozen
class HttpLimits:
    """Limits of the HTTP interfaces; sizes are in bytes, times in seconds."""

    max_body_bytes: int
    body_timeout_s: float
    default_deadline_s: float
    max_deadline_s: float
    max_in_flight: int


@attrs.frozen
class StatementBody:
    """One statement in the body of a request."""

    sql: str
    params: list[object] = attrs.field(factory=list)


@attrs.frozen
class StatementsBody:
    """The body of a request that runs statements.

    ``mode`` is ``read`` or ``write``. A read may name a ``read_class`` or
    limit the age of its data by ``max_age_s``, in seconds.
    """

    statements: list[StatementBody]
    mode: str = 'read'
    read_class: str = ''
    max_age_s: float | None = None
    idempotent: bool = False


@attrs.frozen
class StepBody:
    """The body of a request for an interactive transaction."""

    statements: list[StatementBody] = attrs.field(factory=list)


class CallerRoutes:
    """The HTTP routes of the caller interface."""

    def __init__(
        self,
        callers: ports.Callers,
        clock: ports.Clock,
        limits: HttpLimits,
    ) -> None:
        self._callers = callers
        self._clock = clock
        self._limits = limits
        self._in_flight = 0

    def routes(self) -> list[routing.BaseRoute]:
        """Return the routes."""
        base = '/v1/sites/{site}/groups/{group}'
        txn = base + '/transactions/{txn}'
        return [
            _post(base + '/statements', self._statements),
            _post(base + '/transactions', self._begin),
            _post(txn + '/statements', self._execute),
            _post(txn + '/commit', self._commit),
            _post(txn + '/rollback', self._rollback),
        ]

    async def _statements(
        self, req: requests.Request
    ) -> common.DeferredResponse:
        body = await self._body(req, StatementsBody)
        if body.mode not in ('read', 'write'):
            raise common.BadRequest(
                400, ("expected 'read' or 'write' at $.mode",)
            )
        kind = core.Kind(body.mode)
        if not body.statements:
            raise common.BadRequest(
                400, ('expected at least one statement at $.statements',)
            )
        if body.max_age_s is not None and body.max_age_s < 0:
            raise common.BadRequest(
                400, ('expected zero or more at $.max_age_s',)
            )
        return await self._call(
            req,
            kind,
            statements=_statements_of(body.statements),
            read_class=body.read_class,
            max_age=body.max_age_s,
            idempotent=body.idempotent,
        )

    async def _begin(self, req: requests.Request) -> common.DeferredResponse:
        await self._body(req, StepBody)
        return await self._call(req, core.Kind.BEGIN)

    async def _execute(self, req: requests.Request) -> common.DeferredResponse:
        body = await self._body(req, StepBody)
        return await self._call(
            req,
            core.Kind.EXECUTE,
            statements=_statements_of(body.statements),
        )

    async def _commit(self, req: requests.Request) -> common.DeferredResponse:
        await self._body(req, StepBody)
        return await self._call(req, core.Kind.COMMIT)

    async def _rollback(
        self, req: requests.Request
    ) -> common.DeferredResponse:
        await self._body(req, StepBody)
        return await self._call(req, core.Kind.ROLLBACK)

    async def _body(self, req: requests.Request, kind: type[Body]) -> Body:
        raw = await common.read_body(
            req, self._limits.max_body_bytes, self._limits.body_timeout_s
        )
        read = _structure.structure(raw or b'{}', kind)
        if read.is_err():
            raise common.BadRequest(400, tuple(read.unwrap_err()))
        return read.unwrap()

    async def _call(
        self, req: requests.Request, kind: core.Kind, **fields: object
    ) -> common.DeferredResponse:
        received = self._clock.now()
        request_id = common.request_id(req)
        if self._in_flight >= self._limits.max_in_flight:
            full = core.Answer(
                core.Outcome.NOT_RUN,
                code=core.Code.OVERLOADED,
                detail='the proxy has too many requests in flight',
                retry_after=1.0,
            )
            return common.DeferredResponse(
                lambda: answer_response(full, '', request_id)
            )
        call = ports.Call(
            site=req.path_params['site'],
            group=req.path_params['group'],
            authorization=req.headers.get('authorization', ''),
            kind=kind,
            received=received,
            time_left=self._time_left(req),
            request_id=request_id,
            session=req.headers.get(SESSION, ''),
            key=_key_of(req, kind),
            txn=req.path_params.get('txn', ''),
            **fields,  # type: ignore[arg-type]
        )
        self._in_flight += 1
        try:
            reply = await self._callers.call(call)
        finally:
            self._in_flight -= 1
        return common.DeferredResponse(
            lambda: answer_response(reply.final(), reply.session, request_id)
        )

    def _time_left(self, req: requests.Request) -> float:
        text = req.headers.get(DEADLINE)
        if text is None:
            return self._limits.default_deadline_s
        if not text.isdecimal() or len(text) > 9:
            raise common.BadRequest(
                400, (f'{DEADLINE} must be a whole number of milliseconds',)
            )
        return min(int(text) / 1000, self._limits.max_deadline_s)


def answer_response(
    answer: core.Answer, session: str, request_id: str
) -> responses.Response:
    """Return the HTTP response for an answer.

    ``session`` is the new session token, or empty if there is none.
    """
    headers = {common.REQUEST_ID: request_id}
    if session:
        headers[SESSION] = session
    if answer.outcome is core.Outcome.DONE:
        return responses.Response(
            _results.to_json(_done_body(answer)),
            200,
            headers,
            media_type=common.JSON_TYPE,
        )
    code = answer.code or core.Code.OVERLOADED
    status = common.STATUS_OF[code]
    if answer.outcome is core.Outcome.UNKNOWN:
        status = 504
    refused = common.problem(
        status,
        code.value,
        answer.detail,
        {'outcome': answer.outcome.value, 'request': request_id},
        answer.retry_after,
    )
    refused.headers[common.REQUEST_ID] = request_id
    return refused


def _done_body(answer: core.Answer) -> dict[str, object]:
    body: dict[str, object] = {
        'outcome': answer.outcome.value,
        'results': _results.as_plain(answer.results),
        'endpoint': answer.endpoint,
        'from_replica': answer.from_replica,
    }
    if answer.age is not None:
        body['age_s'] = round(answer.age, 3)
    if answer.replayed:
        body['replayed'] = True
    if answer.txn:
        body['transaction'] = answer.txn
    return body


def _key_of(req: requests.Request, kind: core.Kind) -> str | None:
    key = req.headers.get(IDEMPOTENCY_KEY)
    if key is None:
        return None
    if kind is not core.Kind.WRITE:
        raise common.BadRequest(
            400, (f'{IDEMPOTENCY_KEY} is allowed for one-shot writes only',)
        )
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise common.BadRequest(
            400,
            (f'{IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_LENGTH} characters',),
        )
    return key


def _statements_of(
    bodies: list[StatementBody],
) -> tuple[core.Statement, ...]:
    for index, body in enumerate(bodies):
        _check_statement(body, f'$.statements[{index}]')
    return tuple(
        core.Statement(body.sql, tuple(body.params)) for body in bodies
    )


def _check_statement(body: StatementBody, path: str) -> None:
    words = body.sql.split(None, 1)
    if not words:
        raise common.BadRequest(400, (f'expected a statement at {path}',))
    if words[0].rstrip(';').upper() in TXN_CONTROL_KEYWORDS:
        raise common.BadRequest(
            400,
            (f'transaction control is not allowed in a statement, at {path}',),
        )
    for index, value in enumerate(body.params):
        if not isinstance(value, str | int | float | bool | None):
            raise common.BadRequest(
                400,
                (
                    'expected a string, number, boolean or null at'
                    f' {path}.params[{index}]',
                ),
            )


def _post(path: str, endpoint) -> routing.Route:
    return routing.Route(path, endpoint, methods=['POST'])

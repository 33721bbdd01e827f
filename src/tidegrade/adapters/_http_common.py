"""Problem details, request ids and body limits of the HTTP interfaces."""

from collections.abc import Callable
import math
import uuid

import anyio
import attrs
import orjson
from starlette import requests
from starlette import responses
from starlette import types

from tidegrade import core
from tidegrade import logs

PROBLEM_TYPE = 'application/problem+json'
JSON_TYPE = 'application/json'

#: Header with the id that identifies a request in the logs.
REQUEST_ID = 'Tidegrade-Request-Id'
#: Longest request id that is accepted from a caller, in characters.
MAX_REQUEST_ID_LENGTH = 100

#: HTTP status of each problem code, as defined by RFC 9110.
STATUS_OF = {
    core.Code.DEADLINE: 504,
    core.Code.OVERLOADED: 503,
    core.Code.NO_PRIMARY: 503,
    core.Code.TOO_STALE: 503,
    core.Code.HISTORY_LOST: 409,
    core.Code.STATEMENT_FAILED: 422,
    core.Code.RESULT_TOO_LARGE: 422,
    core.Code.KEY_REUSED: 422,
    core.Code.TXN_UNKNOWN: 404,
    core.Code.TXN_BUSY: 409,
    core.Code.TXN_LIMIT: 503,
    core.Code.UNCONFIRMED: 504,
    core.Code.CONN_LOST: 504,
    core.Code.DRAINING: 503,
    core.Code.TXN_UNREACHABLE: 503,
    core.Code.UNAUTHORIZED: 401,
    core.Code.NOT_FOUND: 404,
    core.Code.BAD_REQUEST: 400,
    core.Code.TENANT_LIMIT: 429,
    core.Code.NO_CONFIG: 503,
}


@attrs.frozen
class BadRequest(Exception):
    """A malformed request, of which no statement was executed.

    ``status`` is the HTTP status and ``details`` lists the faults found.
    """

    status: int
    details: tuple[str, ...]


def problem(
    status: int,
    code: str,
    detail: str,
    fields: dict[str, object] | None = None,
    retry_after: float | None = None,
) -> responses.Response:
    """Return a response with problem details as defined by RFC 9457.

    ``fields`` are added to the body. ``retry_after`` is in seconds.
    """
    body: dict[str, object] = {
        'type': 'about:blank',
        'status': status,
        'code': code,
        'detail': detail,
        **(fields or {}),
    }
    headers = {}
    if retry_after is not None:
        body['retry_after_s'] = round(retry_after, 3)
        headers['Retry-After'] = str(math.ceil(retry_after))
    if status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return responses.Response(
        orjson.dumps(body), status, headers, media_type=PROBLEM_TYPE
    )


def json_response(
    body: object, status: int = 200, headers: dict[str, str] | None = None
) -> responses.Response:
    """Return a response whose body is JSON."""
    return responses.Response(
        orjson.dumps(body), status, headers, media_type=JSON_TYPE
    )


async def read_body(
    req: requests.Request, limit: int, time_limit: float
) -> bytes:
    """Return the body of a request.

    Raises :class:`BadRequest` if the body is larger than ``limit`` bytes,
    takes more than ``time_limit`` seconds or is incomplete.
    """
    chunks = bytearray()
    try:
        with anyio.fail_after(time_limit):
            async for chunk in req.stream():
                chunks += chunk
                if len(chunks) > limit:
                    raise BadRequest(413, (f'the body exceeds {limit} bytes',))
    except TimeoutError:
        detail = f'the body took more than {time_limit} s'
        raise BadRequest(408, (detail,)) from None
    except requests.ClientDisconnect:
        raise BadRequest(400, ('the body is incomplete',)) from None
    return bytes(chunks)


async def bad_request(
    req: requests.Request, exc: Exception
) -> responses.Response:
    """Return the response to a :class:`BadRequest`."""
    assert isinstance(exc, BadRequest)
    return problem(
        exc.status,
        core.Code.BAD_REQUEST.value,
        '; '.join(exc.details),
        {
            'outcome': core.Outcome.NOT_RUN.value,
            'errors': list(exc.details),
        },
    )


async def internal_fault(
    req: requests.Request, exc: Exception
) -> responses.Response:
    """Log an unhandled exception and return the response to its request.

    The outcome is unknown, since statements may have been executed.
    """
    logs.write(
        logs.LogEvent.REQUEST_FAILED,
        request=request_id(req),
        path=req.url.path,
        fault=f'{type(exc).__name__}: {exc}',
    )
    return problem(
        500,
        'internal_fault',
        'an internal error occurred in the proxy',
        {'outcome': core.Outcome.UNKNOWN.value},
    )


def request_id(req: requests.Request) -> str:
    """Return the id of a request.

    This is the id that the caller sent if it is printable ASCII of at most
    :data:`MAX_REQUEST_ID_LENGTH` characters, otherwise a generated one.
    """
    known = getattr(req.state, 'request_id', None)
    if known is None:
        given = req.headers.get(REQUEST_ID, '')
        usable = given.isascii() and given.isprintable()
        if not usable or not 0 < len(given) <= MAX_REQUEST_ID_LENGTH:
            given = uuid.uuid4().hex
        known = req.state.request_id = given
    return known


class DeferredResponse:
    """A response whose content is determined when its sending begins."""

    def __init__(self, build: Callable[[], responses.Response]) -> None:
        self._build = build

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Determine the response and send it, without awaiting in between."""
        await self._build()(scope, receive, send)

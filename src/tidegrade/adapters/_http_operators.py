"""The HTTP/1.1 and JSON interface for operators."""

import attrs
import orjson
from starlette import requests
from starlette import responses
from starlette import routing

from tidegrade.adapters import _http_callers
from tidegrade.adapters import _http_common as common
from tidegrade.codec import _structure
from tidegrade import ports

#: Largest body of an apply request, in bytes.
MAX_DOCUMENT_BYTES = 16_000_000


@attrs.frozen
class ApplyBody:
    """The body of an apply request.

    ``base`` is the version that the document was derived from, if known.
    """

    document: dict[str, object]
    apply_id: str
    base: int | None = None


class OperatorRoutes:
    """The HTTP routes of the operator interface."""

    def __init__(
        self, operators: ports.Operators, limits: _http_callers.HttpLimits
    ) -> None:
        self._operators = operators
        self._limits = limits

    def routes(self) -> list[routing.BaseRoute]:
        """Return the routes."""
        base = '/admin/v1'
        return [
            routing.Route(f'{base}/config', self._show),
            routing.Route(f'{base}/config', self._apply, methods=['POST']),
            routing.Route(f'{base}/config/history', self._history),
            routing.Route(f'{base}/status', self._status),
            routing.Route(f'{base}/drain', self._drain, methods=['POST']),
        ]

    def _operator(self, req: requests.Request) -> str:
        found = self._operators.operator_of(
            req.headers.get('authorization', '')
        )
        if found is None:
            raise NotAnOperator
        return found

    async def _show(self, req: requests.Request) -> responses.Response:
        self._operator(req)
        version, document = self._operators.current()
        plain = orjson.loads(document) if document else None
        return common.json_response({'version': version, 'document': plain})

    async def _history(self, req: requests.Request) -> responses.Response:
        self._operator(req)
        entries = await self._operators.history()
        if entries is None:
            return _unavailable()
        return common.json_response(
            {'history': [attrs.asdict(entry) for entry in entries]}
        )

    async def _apply(self, req: requests.Request) -> responses.Response:
        operator = self._operator(req)
        raw = await common.read_body(
            req, MAX_DOCUMENT_BYTES, self._limits.body_timeout_s
        )
        read = _structure.structure(raw, ApplyBody)
        if read.is_err():
            raise common.BadRequest(400, tuple(read.unwrap_err()))
        body = read.unwrap()
        if not body.apply_id:
            raise common.BadRequest(400, ('expected an id at $.apply_id',))
        order = ports.ApplyOrder(
            document=orjson.dumps(body.document, option=orjson.OPT_SORT_KEYS),
            apply_id=body.apply_id,
            base=body.base,
        )
        done = await self._operators.apply(order, operator)
        if isinstance(done, ports.Applied):
            return common.json_response({'version': done.version})
        return _apply_problem(done)

    async def _status(self, req: requests.Request) -> responses.Response:
        self._operator(req)
        return common.json_response(self._operators.status())

    async def _drain(self, req: requests.Request) -> responses.Response:
        self._operator(req)
        self._operators.drain()
        return common.json_response({'draining': True}, 202)


class NotAnOperator(Exception):
    """A request that does not carry the key of an operator."""


async def not_an_operator(
    req: requests.Request, exc: Exception
) -> responses.Response:
    """Return the response to a :class:`NotAnOperator`."""
    return common.problem(
        401, 'unauthorized', 'no valid operator key was presented'
    )


def _unavailable() -> responses.Response:
    return common.problem(
        503, 'unavailable', 'the platform does not answer', retry_after=2.0
    )


def _apply_problem(found: ports.ApplyProblem) -> responses.Response:
    status = {'invalid': 400, 'conflict': 409}.get(found.code, 503)
    fields: dict[str, object] = {
        'errors': list(found.details),
        'outcome': 'unknown' if found.unknown else 'not_run',
    }
    if found.winner is not None:
        fields['winner'] = attrs.asdict(found.winner)
    retry = 2.0 if status == 503 else None
    return common.problem(
        status, found.code, '; '.join(found.details), fields, retry
    )

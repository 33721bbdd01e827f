"""Generator of the OpenAPI document of the caller interface."""

import types
import typing

import attrs

import tidegrade
from tidegrade.adapters import _http_callers as callers
from tidegrade.adapters import _http_common as common
from tidegrade import core

BASE = '/v1/sites/{site}/groups/{group}'

_SCALARS: dict[object, dict[str, object]] = {
    str: {'type': 'string'},
    bool: {'type': 'boolean'},
    int: {'type': 'integer'},
    float: {'type': 'number'},
    object: {'type': ['string', 'number', 'boolean', 'null']},
}


def document() -> dict[str, object]:
    """Return the OpenAPI document."""
    txn = BASE + '/transactions/{txn}'
    return {
        'openapi': '3.1.0',
        'info': {'title': 'tidegrade', 'version': tidegrade.__version__},
        'security': [{'key': []}],
        'paths': {
            f'{BASE}/statements': _path(
                'Run statements as one transaction', callers.StatementsBody
            ),
            f'{BASE}/transactions': _path(
                'Begin an interactive transaction', callers.StepBody
            ),
            f'{txn}/statements': _path(
                'Run statements in a transaction', callers.StepBody
            ),
            f'{txn}/commit': _path('Commit', callers.StepBody),
            f'{txn}/rollback': _path('Roll back', callers.StepBody),
        },
        'components': {
            'securitySchemes': {'key': {'type': 'http', 'scheme': 'bearer'}},
            'schemas': {'Done': _done(), 'Problem': _problem()},
        },
    }


def schema(kind: typing.Any) -> dict[str, object]:
    """Return the JSON schema of an attrs class or a plain type."""
    if attrs.has(kind):
        return _object(kind)
    origin = typing.get_origin(kind)
    if origin is list:
        (item,) = typing.get_args(kind)
        return {'type': 'array', 'items': schema(item)}
    if origin in (types.UnionType, typing.Union):
        parts = [a for a in typing.get_args(kind) if a is not type(None)]
        return {**schema(parts[0]), 'nullable': True}
    return _SCALARS[kind]


def _object(kind: type) -> dict[str, object]:
    fields = attrs.fields(attrs.resolve_types(kind))
    required = [f.name for f in fields if f.default is attrs.NOTHING]
    return {
        'type': 'object',
        'properties': {f.name: schema(f.type) for f in fields},
        'required': required,
        'additionalProperties': False,
    }


def _path(summary: str, body: type) -> dict[str, object]:
    content = {'application/json': {'schema': schema(body)}}
    responses: dict[str, object] = {
        '200': _response('Done', common.JSON_TYPE, 'Done'),
    }
    for status in sorted({*common.STATUS_OF.values(), 408, 413, 500}):
        responses[str(status)] = _response(
            'Not done', common.PROBLEM_TYPE, 'Problem'
        )
    return {
        'post': {
            'summary': summary,
            'parameters': [
                {
                    'name': name,
                    'in': 'header',
                    'required': False,
                    'schema': {'type': 'string'},
                }
                for name in (
                    callers.SESSION,
                    callers.DEADLINE,
                    callers.IDEMPOTENCY_KEY,
                    common.REQUEST_ID,
                )
            ],
            'requestBody': {'required': False, 'content': content},
            'responses': responses,
        }
    }


def _response(text: str, media: str, name: str) -> dict[str, object]:
    reference = {'$ref': f'#/components/schemas/{name}'}
    return {'description': text, 'content': {media: {'schema': reference}}}


def _done() -> dict[str, object]:
    return {
        'type': 'object',
        'properties': {
            'outcome': {'const': core.Outcome.DONE.value},
            'results': {'type': 'array'},
            'endpoint': {'type': 'string'},
            'from_replica': {'type': 'boolean'},
            'age_s': {'type': 'number'},
            'replayed': {'type': 'boolean'},
            'transaction': {'type': 'string'},
        },
        'required': ['outcome', 'results', 'endpoint', 'from_replica'],
    }


def _problem() -> dict[str, object]:
    return {
        'type': 'object',
        'properties': {
            'type': {'type': 'string'},
            'status': {'type': 'integer'},
            'code': {'enum': sorted(code.value for code in core.Code)},
            'detail': {'type': 'string'},
            'outcome': {'enum': [o.value for o in core.Outcome]},
            'request': {'type': 'string'},
            'errors': {'type': 'array', 'items': {'type': 'string'}},
            'retry_after_s': {'type': 'number'},
        },
        'required': ['type', 'status', 'code', 'detail'],
    }

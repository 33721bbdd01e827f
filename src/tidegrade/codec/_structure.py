"""Conversion of JSON to attrs classes, with errors that name the path."""

import typing

import cattrs
from cattrs import v
import orjson
import result

T = typing.TypeVar('T')


def _exact(kind: type) -> typing.Callable[[object, type], object]:
    """Return a hook that accepts only values of exactly this type."""

    def hook(value: object, _: type) -> object:
        if type(value) is not kind:
            raise TypeError(f'expected {kind.__name__}')
        return value

    return hook


def _number(value: object, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError('expected a number')
    return float(value)  # type: ignore[arg-type]


def exact_converter(
    forbid_extra_keys: bool, omit_if_default: bool = False
) -> cattrs.Converter:
    """Return a converter that does not coerce values to other types."""
    made = cattrs.Converter(
        forbid_extra_keys=forbid_extra_keys, omit_if_default=omit_if_default
    )
    made.register_structure_hook(int, _exact(int))
    made.register_structure_hook(bool, _exact(bool))
    made.register_structure_hook(str, _exact(str))
    made.register_structure_hook(float, _number)
    made.register_structure_hook_func(
        lambda kind: kind is object, lambda value, _: value
    )
    return made


_converter = exact_converter(forbid_extra_keys=True)
#: For data of other programs and versions, which may add fields at any time.
_lenient = exact_converter(forbid_extra_keys=False)


def structure(raw: bytes, kind: type[T]) -> result.Result[T, list[str]]:
    """Convert JSON to ``kind``; errors name the path and what was expected."""
    try:
        plain = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        return result.Err([f'not JSON: {exc}'])
    return structure_plain(plain, kind)


def structure_lenient(
    raw: bytes, kind: type[T]
) -> result.Result[T, list[str]]:
    """Convert JSON to ``kind``, ignoring unknown fields."""
    try:
        plain = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        return result.Err([f'not JSON: {exc}'])
    return structure_plain(plain, kind, _lenient)


def structure_plain(
    plain: object, kind: type[T], converter: cattrs.Converter = _converter
) -> result.Result[T, list[str]]:
    """Convert parsed JSON to ``kind``; errors as for :func:`structure`."""
    try:
        return result.Ok(converter.structure(plain, kind))
    except (cattrs.BaseValidationError, TypeError, ValueError) as exc:
        return result.Err(
            [
                problem.replace('@ $', 'at $')
                for problem in cattrs.transform_error(
                    exc, format_exception=_explain
                )
            ]
        )


def unstructure(value: object) -> typing.Any:
    """Return an attrs object as plain JSON values."""
    return _converter.unstructure(value)


def to_json(value: object) -> bytes:
    """Return an attrs object, or a collection of them, as JSON."""
    return orjson.dumps(unstructure(value))


def _explain(exc: BaseException, kind: type | None) -> str:
    if isinstance(exc, TypeError | ValueError) and exc.args:
        return str(exc)
    return v.format_exception(exc, kind)

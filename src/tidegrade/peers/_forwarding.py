"""JSON of requests that are forwarded to other proxies, and of answers.

Cap'n Proto fields for each part would be slower to read and write than JSON.
Fields with their default value are left out; proxies of all versions read them
as the default.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import math
import typing

import attrs
import cattrs
import orjson

from tidegrade.codec import _results
from tidegrade.codec import _structure
from tidegrade import core

T = typing.TypeVar('T')

#: Types of values that orjson and the standard library encode alike.
_SIMPLE_TYPES = frozenset({str, int, bool, type(None)})


#: Fields of a trace that are not sent to other proxies, with their defaults.
_UNSENT_TRACE_FIELDS: dict[str, typing.Any] = {
    field.name: field.default
    for field in attrs.fields(core.Trace)
    if field.name
    in ('to_primary', 'basis', 'reported', 'repeated', 'commit', 'grants')
}


class Encoded(typing.NamedTuple):
    """The JSON of a request or an answer.

    ``is_simple`` is true if orjson may read it: orjson reads integers beyond
    64 bits as floats, and refuses the surrogates that stand for bytes of
    callers that are not UTF-8.
    """

    raw: bytes
    is_simple: bool


def encode_request(req: core.Request) -> Encoded:
    """Return a request as JSON."""
    values = (value for part in req.statements for value in part.params)
    return _encode(_converter.unstructure(req), _are_simple(values))


def encode_answer(answer: core.Answer) -> Encoded:
    """Return an answer as JSON.

    What its trace tells for the log only is left out: proxies of an earlier
    version refuse an answer with fields that they don't know.
    """
    if answer.trace is not None:
        trace = attrs.evolve(answer.trace, **_UNSENT_TRACE_FIELDS)
        answer = attrs.evolve(answer, trace=trace)
    values = (
        value for part in answer.results for row in part.rows for value in row
    )
    return _encode(_converter.unstructure(answer), _are_simple(values))


def decode(encoded: Encoded, kind: type[T]) -> T:
    """Return the value that JSON holds; raises ValueError if malformed."""
    loads = orjson.loads if encoded.is_simple else json.loads
    plain = loads(encoded.raw)
    if type(plain) is not dict:
        # The converter would raise an AttributeError.
        raise ValueError('expected an object')
    read = _structure.structure_plain(plain, kind, _converter)
    if read.is_err():
        raise ValueError('; '.join(read.unwrap_err()))
    return read.unwrap()


def _encode(plain: object, is_simple: bool) -> Encoded:
    if is_simple:
        try:
            return Encoded(orjson.dumps(plain), True)
        except TypeError:
            # An integer beyond 64 bits, or text that is not UTF-8.
            pass
    return Encoded(json.dumps(plain, default=_results.plain).encode(), False)


def _are_simple(values: Iterable[object]) -> bool:
    """Return whether orjson keeps these values as they are.

    It would write NaN as null, for example.
    """
    return all(
        type(value) in _SIMPLE_TYPES
        or (type(value) is float and math.isfinite(value))
        for value in values
    )


def _one_of(*kinds: type) -> Callable[[object, object], object]:
    """Return a hook that accepts only values of exactly these types."""
    allowed = frozenset(kinds)

    def hook(value: object, _: object) -> object:
        if type(value) not in allowed:
            names = sorted(kind.__name__ for kind in allowed)
            raise TypeError(f'expected {" or ".join(names)}')
        return value

    return hook


def _list(value: object) -> list[object]:
    if type(value) is not list:
        raise TypeError('expected a list')
    return value


def _objects(value: object, _: object) -> tuple[object, ...]:
    return tuple(_list(value))


def _rows(value: object, _: object) -> tuple[tuple[object, ...], ...]:
    return tuple([tuple(_list(row)) for row in _list(value)])


def _texts(value: object, _: object) -> tuple[object, ...]:
    texts = tuple(_list(value))
    for text in texts:
        if type(text) is not str:
            raise TypeError('expected a list of str')
    return texts


def _pairs(value: object, _: object) -> tuple[tuple[object, ...], ...]:
    pairs = tuple([_texts(pair, _) for pair in _list(value)])
    for pair in pairs:
        if len(pair) != 2:
            raise ValueError('expected pairs')
    return pairs


#: Hooks for the types of which requests and answers have many: each replaces
#: several generic ones of the converter.
_HOOKS: dict[object, Callable[[typing.Any, typing.Any], object]] = {
    float | None: _one_of(float, int, type(None)),
    int | None: _one_of(int, type(None)),
    str | None: _one_of(str, type(None)),
    tuple[object, ...]: _objects,
    tuple[tuple[object, ...], ...]: _rows,
    tuple[str, ...]: _texts,
    tuple[tuple[str, str], ...]: _pairs,
}


def _make_converter() -> cattrs.Converter:
    made = _structure.exact_converter(
        forbid_extra_keys=True, omit_if_default=True
    )
    for kind, hook in _HOOKS.items():

        def applies(asked: object, kind: object = kind) -> bool:
            return asked == kind

        made.register_structure_hook_func(applies, hook)
        # JSON has lists for tuples, and their values need no conversion.
        made.register_unstructure_hook_func(applies, lambda value: value)
    return made


_converter = _make_converter()

"""Result sets as JSON, for callers and for the table of idempotency keys."""

import base64

import orjson

from tidegrade import core


def plain(value: object) -> object:
    """Return a JSON value for a value of a type that JSON lacks.

    Bytes become base64 text, anything else its ``str()``.
    """
    if isinstance(value, bytes | bytearray | memoryview):
        return base64.b64encode(bytes(value)).decode('ascii')
    return str(value)


def to_json(value: object) -> bytes:
    """Return a value as JSON.

    Numbers of arbitrary precision and times become strings.
    """
    return orjson.dumps(value, default=plain)


def as_plain(results: tuple[core.ResultSet, ...]) -> list[object]:
    """Return result sets as lists and dictionaries for JSON."""
    return [
        {
            'columns': list(found.columns),
            'rows': [list(row) for row in found.rows],
            'row_count': found.row_count,
        }
        for found in results
    ]


def dump_results(results: tuple[core.ResultSet, ...]) -> str:
    """Return the text that is stored for results with their key."""
    return to_json(as_plain(results)).decode('utf-8')


def load_results(text: str | None) -> tuple[core.ResultSet, ...]:
    """Return the result sets from their stored text."""
    if not text:
        return ()
    return tuple(
        core.ResultSet(
            tuple(found['columns']),
            tuple(tuple(row) for row in found['rows']),
            found['row_count'],
        )
        for found in orjson.loads(text)
    )


def size_of(results: tuple[core.ResultSet, ...]) -> int:
    """Return the approximate size of the results as JSON, in bytes."""
    total = 0
    for found in results:
        for row in found.rows:
            total += sum(_value_size(value) for value in row) + 2
    return total


def _value_size(value: object) -> int:
    if isinstance(value, str | bytes):
        return len(value) + 3
    return 8

"""Result sets as JSON, towards callers and in the key table."""

import base64

import orjson

from tidegrade import core


def plain(value: object) -> object:
    """Give a JSON value for what JSON has no type for."""
    if isinstance(value, bytes | bytearray | memoryview):
        return base64.b64encode(bytes(value)).decode('ascii')
    return str(value)


def to_json(value: object) -> bytes:
    """Serialize; numbers of any precision and times become strings."""
    return orjson.dumps(value, default=plain)


def as_plain(results: tuple[core.ResultSet, ...]) -> list[object]:
    """Give result sets as lists and maps ready for JSON."""
    return [
        {
            'columns': list(found.columns),
            'rows': [list(row) for row in found.rows],
            'row_count': found.row_count,
        }
        for found in results
    ]


def kept(results: tuple[core.ResultSet, ...]) -> str:
    """Give the text under which results are kept with their key."""
    return to_json(as_plain(results)).decode('utf-8')


def restored(text: str | None) -> tuple[core.ResultSet, ...]:
    """Give the result sets that were kept."""
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
    """Give about how many bytes the results take as JSON."""
    total = 0
    for found in results:
        for row in found.rows:
            total += sum(_value_size(value) for value in row) + 2
    return total


def _value_size(value: object) -> int:
    if isinstance(value, str | bytes):
        return len(value) + 3
    return 8

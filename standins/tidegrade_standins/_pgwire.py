"""The server's side of the PostgreSQL protocol, as far as clients need it.

Source: the PostgreSQL documentation, "Message Formats", protocol 3.0.
"""

import struct

import attrs

PROTOCOL_3 = 196608
CANCEL_REQUEST = 80877102
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104

#: Type numbers of PostgreSQL's catalogue.
OID_BOOL = 16
OID_BYTEA = 17
OID_INT8 = 20
OID_INT2 = 21
OID_INT4 = 23
OID_TEXT = 25
OID_FLOAT8 = 701

_INT_FORMATS = {OID_INT2: '!h', OID_INT4: '!i', OID_INT8: '!q'}


@attrs.frozen
class SqlError(Exception):
    """An error as a client sees it."""

    sqlstate: str
    message: str
    table: str = ''
    fatal: bool = False


def message(kind: bytes, body: bytes = b'') -> bytes:
    """Frame one message."""
    return kind + struct.pack('!I', len(body) + 4) + body


def text(value: str) -> bytes:
    """Give a string with its closing zero."""
    return value.encode('utf-8') + b'\0'


def parameter_status(name: str, value: str) -> bytes:
    """Tell the client a server parameter."""
    return message(b'S', text(name) + text(value))


def ready(status: bytes) -> bytes:
    """Say that the server is ready; ``status`` is I, T or E."""
    return message(b'Z', status)


def error(exc: SqlError) -> bytes:
    """Report an error."""
    severity = 'FATAL' if exc.fatal else 'ERROR'
    fields = [
        (b'S', severity),
        (b'V', severity),
        (b'C', exc.sqlstate),
        (b'M', exc.message),
    ]
    if exc.table:
        fields.append((b't', exc.table))
    body = b''.join(code + text(value) for code, value in fields)
    return message(b'E', body + b'\0')


def row_description(columns: list[str], oids: list[int]) -> bytes:
    """Describe the columns of a result."""
    body = struct.pack('!H', len(columns))
    for name, oid in zip(columns, oids, strict=True):
        body += text(name)
        body += struct.pack('!IHIhih', 0, 0, oid, -1, -1, 0)
    return message(b'T', body)


def data_row(values: tuple[object, ...]) -> bytes:
    """Give one row, every value as text."""
    body = struct.pack('!H', len(values))
    for value in values:
        if value is None:
            body += struct.pack('!i', -1)
            continue
        encoded = _as_text(value)
        body += struct.pack('!I', len(encoded)) + encoded
    return message(b'D', body)


def oid_of(value: object) -> int:
    """Give the type number for a value of SQLite."""
    if isinstance(value, int):
        return OID_INT8
    if isinstance(value, float):
        return OID_FLOAT8
    if isinstance(value, bytes):
        return OID_BYTEA
    return OID_TEXT


def parameter(raw: bytes | None, binary: bool, oid: int) -> object:
    """Decode a bound parameter."""
    if raw is None:
        return None
    if binary:
        return _from_binary(raw, oid)
    value = raw.decode('utf-8')
    if oid in _INT_FORMATS:
        return int(value)
    if oid == OID_FLOAT8:
        return float(value)
    if oid == OID_BOOL:
        return int(value in ('t', 'true', '1'))
    return value


def _from_binary(raw: bytes, oid: int) -> object:
    if oid in _INT_FORMATS:
        return struct.unpack(_INT_FORMATS[oid], raw)[0]
    if oid == OID_FLOAT8:
        return struct.unpack('!d', raw)[0]
    if oid == OID_BOOL:
        return int(raw != b'\0')
    if oid == OID_BYTEA:
        return raw
    return raw.decode('utf-8')


def _as_text(value: object) -> bytes:
    if isinstance(value, bytes):
        return b'\\x' + value.hex().encode('ascii')
    return str(value).encode('utf-8')


class Reader:
    """Takes a message body apart from its front."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._at = 0

    def text(self) -> str:
        """Take a string."""
        end = self._body.index(b'\0', self._at)
        value = self._body[self._at : end].decode('utf-8')
        self._at = end + 1
        return value

    def int16(self) -> int:
        """Take a two-byte number."""
        return self._number('!h', 2)

    def int32(self) -> int:
        """Take a four-byte number."""
        return self._number('!i', 4)

    def take(self, count: int) -> bytes:
        """Take ``count`` bytes."""
        value = self._body[self._at : self._at + count]
        self._at += count
        return value

    def at_end(self) -> bool:
        """Tell whether everything was taken."""
        return self._at >= len(self._body)

    def _number(self, form: str, size: int) -> int:
        return struct.unpack(form, self.take(size))[0]

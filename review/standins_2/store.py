"""Stand-in of the platform: its metadata store and its promote call.

Only the calls that the proxies make are here. Each answer of the store has
the header Store-Era. Nothing goes wrong unless a case asks for it.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
from urllib import parse

#: Time of one call of the store, in seconds.
CALL_S = 0.004
#: Tables that the system may not write to.
FOREIGN_TABLES = ('op', 'servers')

Json = dict[str, object]
#: Takes method, path, query, headers and body; returns status and body.
Handler = Callable[
    [str, str, dict[str, str], dict[str, str], bytes],
    Awaitable[tuple[int, Json]],
]


async def serve_http(
    handler: Handler, extra: str = ''
) -> tuple[asyncio.Server, int]:
    """Serve HTTP on a free loopback port; return the server and the port."""

    async def converse(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await _answer_one(reader, writer, handler, extra):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has gone, or the case ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(converse, '127.0.0.1', 0)
    return server, server.sockets[0].getsockname()[1]


async def _answer_one(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
    extra: str,
) -> bool:
    """Answer one request; return False at the end of the connection."""
    first = (await reader.readline()).decode().split()
    if len(first) != 3:
        return False
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    path, _, query = first[1].partition('?')
    status, found = await handler(
        first[0], path, dict(parse.parse_qsl(query)), headers, body
    )
    raw = json.dumps(found).encode()
    head = (
        f'HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n'
        f'{extra}Content-Length: {len(raw)}\r\n\r\n'
    )
    writer.write(head.encode() + raw)
    await writer.drain()
    return True


@dataclasses.dataclass(frozen=True)
class Row:
    """A row; ``value`` is None once it is removed."""

    table: str
    key: str
    value: bytes | None
    ver: int

    def plain(self) -> Json:
        """Return the row as the store sends it."""
        place = {'table': self.table, 'part': '', 'key': self.key}
        if self.value is None:
            return {**place, 'ver': self.ver, 'removed': True}
        text = base64.b64encode(self.value).decode()
        return {**place, 'ver': self.ver, 'value': text}


class Store:
    """The rows, their history and the calls on them."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.history: list[Row] = []
        self._changed = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Serve the store on a free port."""
        self._server, self.port = await serve_http(
            self._handle, 'Store-Era: 1\r\n'
        )

    def put(self, table: str, key: str, value: Json) -> None:
        """Write a row as the operator or an instance."""
        self.version += 1
        self._set(table, key, json.dumps(value).encode())

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self._set(table, key, None)

    def _set(self, table: str, key: str, value: bytes | None) -> None:
        row = Row(table, key, value, self.version)
        self.rows[table, key] = row
        self.history.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _ver(self, table: str, key: str) -> int:
        row = self.rows.get((table, key))
        return row.ver if row is not None and row.value is not None else 0

    def _page(self, rows: list[Row]) -> Json:
        return {
            'rows': [row.plain() for row in rows],
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
            'truncated': False,
        }

    async def _handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[int, Json]:
        await asyncio.sleep(CALL_S)
        if path == '/api/rows-tx':
            return self._tx(json.loads(body))
        if path == '/api/rows-get':
            return 200, self._page(self._range(query))
        if path == '/api/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _tx(self, body: dict) -> tuple[int, Json]:
        places = [*body['set_keys'], *body['delete_keys']]
        if any(place['table'] in FOREIGN_TABLES for place in places):
            return 403, {}
        expected = [
            (place['table'], place['key'], place['ver'])
            for place in body['expect_rev']
        ]
        if any(self._ver(table, key) != ver for table, key, ver in expected):
            there = [
                self.rows[table, key]
                for table, key, _ in expected
                if self._ver(table, key)
            ]
            return 412, self._page(there)
        self.version += 1
        for place in body['set_keys']:
            value = base64.b64decode(place['value'])
            self._set(place['table'], place['key'], value)
        for place in body['delete_keys']:
            self._set(place['table'], place['key'], None)
        return 200, self._page([])

    def _range(self, query: dict[str, str]) -> list[Row]:
        first, end = query.get('from', ''), query.get('to')
        return [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query['table']
            and row.value is not None
            and key >= first
            and (end is None or key < end)
        ]

    async def _feed(self, query: dict[str, str]) -> tuple[int, Json]:
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1000
        if after > self.version:
            return 410, {}
        while True:
            found = [
                row
                for row in self.history
                if row.ver > after and row.table == query['table']
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self._page(found)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

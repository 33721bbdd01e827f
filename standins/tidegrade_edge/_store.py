"""The platform's store of rows: conditional writes, reads and a feed."""

import base64
import time

import anyio
import attrs
from starlette import applications
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

#: Tables that only the operator and the instances write.
FOREIGN_TABLES = ('op', 'servers')


@attrs.frozen
class Row:
    """A row as it is stored; ``value`` is None once it is removed."""

    table: str
    key: str
    value: bytes | None
    ver: int

    def plain(self) -> dict[str, object]:
        """Give the row as it is sent."""
        place = {'table': self.table, 'part': '', 'key': self.key}
        if self.value is None:
            return {**place, 'ver': self.ver, 'removed': True}
        value = base64.b64encode(self.value).decode('ascii')
        return {**place, 'ver': self.ver, 'value': value}


@attrs.frozen
class Copy:
    """What the store held at a moment."""

    rows: dict[tuple[str, str], Row]
    version: int


@attrs.define
class Faults:
    """What the store does wrong; all off at first.

    ``refusing`` answers every call with 503. ``delay`` holds back each
    answer, in seconds. ``lose_writes`` is how many writes from now on are
    done and not answered. ``forgotten`` is the newest version of which no
    feed knows any more. While ``deaf``, feeds hear of no change, and end
    with the newest version nevertheless.
    """

    refusing: bool = False
    delay: float = 0.0
    lose_writes: int = 0
    forgotten: int = 0
    deaf: bool = False


class Store:
    """Rows in memory, served over HTTP."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.version = 0
        #: Rises each time that the store comes back from an older copy.
        self.era = 1
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str], Row] = {}
        self._history: list[Row] = []
        self._changed = anyio.Event()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or an instance; give its version."""
        self.version += 1
        self._set(Row(table, key, value, self.version))
        return self.version

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the operator or an instance."""
        self.version += 1
        self._set(Row(table, key, None, self.version))

    def get(self, table: str, key: str) -> bytes | None:
        """Give a row's value."""
        row = self._rows.get((table, key))
        return row.value if row else None

    def table(self, table: str) -> dict[str, bytes]:
        """Give the rows of a table."""
        rows = (r for r in self._rows.values() if r.table == table)
        return {r.key: r.value for r in rows if r.value is not None}

    def copy(self) -> Copy:
        """Give what it holds now, to come back from later."""
        return Copy(dict(self._rows), self.version)

    def come_back(self, copy: Copy) -> None:
        """Lose what was written since a copy; versions are given again."""
        self._rows = dict(copy.rows)
        self.version = copy.version
        self._history = []
        self.era += 1
        # Feeds that wait end: their connections did not outlive it.
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def app(self) -> applications.Starlette:
        """Give the HTTP application."""
        return applications.Starlette(
            routes=[
                routing.Route('/api/rows-tx', self._tx, methods=['POST']),
                routing.Route('/api/rows-get', self._get),
                routing.Route('/api/rows-feed', self._feed),
            ],
            middleware=[middleware.Middleware(_NamesEra, store=self)],
        )

    def _set(self, row: Row) -> None:
        self._rows[(row.table, row.key)] = row
        self._history.append(row)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)

    async def _refuse(self, name: str) -> responses.Response | None:
        """Note a call, hold it back, and refuse it if that is the fault."""
        self.calls.append(name)
        await anyio.sleep(self.faults.delay)
        if self.faults.refusing:
            return responses.JSONResponse({'error': 'down'}, 503)
        return None

    async def _tx(self, req: requests.Request) -> responses.Response:
        refused = await self._refuse('tx')
        if refused is not None:
            return refused
        body = await req.json()
        changes = [*body['set_keys'], *body['delete_keys']]
        if any(c['table'] in FOREIGN_TABLES for c in changes):
            return responses.JSONResponse({'error': 'forbidden'}, 403)
        places = [(e['table'], e['key'], e['ver']) for e in body['expect_rev']]
        if any(self._ver(table, key) != ver for table, key, ver in places):
            there = [
                self._rows[(table, key)]
                for table, key, _ in places
                if self._ver(table, key)
            ]
            return responses.JSONResponse(self._page(there), 412)
        self.version += 1
        for place in body['set_keys']:
            value = base64.b64decode(place['value'])
            self._set(Row(place['table'], place['key'], value, self.version))
        for place in body['delete_keys']:
            self._set(Row(place['table'], place['key'], None, self.version))
        answer = responses.JSONResponse(self._page([]))
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            await anyio.sleep(30)
        return answer

    def _ver(self, table: str, key: str) -> int:
        row = self._rows.get((table, key))
        return row.ver if row is not None and row.value is not None else 0

    async def _get(self, req: requests.Request) -> responses.Response:
        refused = await self._refuse('get')
        if refused is not None:
            return refused
        first = req.query_params.get('from', '')
        end = req.query_params.get('to')
        found = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == req.query_params['table']
            and row.value is not None
            and key >= first
            and (end is None or key < end)
        ]
        page = {**self._page(found), 'truncated': False}
        return responses.JSONResponse(page)

    async def _feed(self, req: requests.Request) -> responses.Response:
        refused = await self._refuse('feed')
        if refused is not None:
            return refused
        after = int(req.query_params['after'])
        limit = int(req.query_params['wait_ms']) / 1000
        if after < self.faults.forgotten or after > self.version:
            return responses.JSONResponse({'error': 'gone'}, 410)
        era = self.era
        found: list[Row] = []
        with anyio.move_on_after(limit):
            while not found and self.era == era:
                found = [
                    row
                    for row in self._history
                    if row.ver > after
                    and not self.faults.deaf
                    and row.table == req.query_params['table']
                ]
                if not found:
                    await self._changed.wait()
        return responses.JSONResponse(self._page(found))

    def _page(self, rows: list[Row]) -> dict[str, object]:
        return {
            'rows': [row.plain() for row in rows],
            'ver': self.version,
            'now_ms': self._now_ms(),
        }


class _NamesEra:
    """Names the store's era in every answer."""

    def __init__(self, app: types.ASGIApp, store: Store) -> None:
        self._app = app
        self._store = store

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        async def name_era(message: types.Message) -> None:
            if message['type'] == 'http.response.start':
                era = str(self._store.era).encode()
                headers = [*message['headers'], (b'store-era', era)]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, name_era)

"""A caller: a session that roams over the proxies."""

import itertools
import random
import time
import typing

import attrs
import httpx

from tidegrade_bench import _deployment

_numbers = itertools.count(1)


@attrs.frozen
class Said:
    """What a caller was told, and when, on the caller's clock."""

    status: int
    outcome: str
    code: str = ''
    endpoint: str = ''
    from_replica: bool = False
    rows: tuple[tuple[object, ...], ...] = ()
    retry_after: float | None = None
    replayed: bool = False
    transaction: str = ''
    age_s: float | None = None
    took: float = 0.0
    at: float = 0.0
    body: dict[str, typing.Any] = attrs.field(factory=dict)

    @property
    def done(self) -> bool:
        """Tell whether the request is known to be done."""
        return self.outcome == 'done'


class Caller:
    """One session of a tenant; it keeps its token and changes proxies."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        urls: list[str],
        site: str,
        group: str,
        tenant: str,
        rng: random.Random,
    ) -> None:
        self._http = http
        self.urls = urls
        self._base = f'/v1/sites/{site}/groups/{group}'
        self._key = _deployment.tenant_key(site, tenant)
        self._rng = rng
        self.token = ''

    def new_key(self) -> str:
        """Give an idempotency key that nobody has used."""
        return f'{next(_numbers)}-{self._rng.getrandbits(64):016x}'

    async def read(
        self,
        sql: str,
        params: list[object],
        read_class: str = '',
        deadline_ms: int = 2000,
        url: str = '',
    ) -> Said:
        """Read by one statement."""
        body = {
            'mode': 'read',
            'read_class': read_class,
            'statements': [{'sql': sql, 'params': params}],
        }
        return await self.post(
            '/statements', body, deadline_ms=deadline_ms, url=url
        )

    async def write(
        self,
        statements: list[tuple[str, list[object]]],
        key: str = '',
        deadline_ms: int = 3000,
        url: str = '',
    ) -> Said:
        """Write by statements that form one transaction."""
        body = {
            'mode': 'write',
            'statements': [
                {'sql': sql, 'params': params} for sql, params in statements
            ],
        }
        return await self.post(
            '/statements', body, key=key, deadline_ms=deadline_ms, url=url
        )

    async def post(
        self,
        path: str,
        body: dict[str, typing.Any],
        key: str = '',
        deadline_ms: int = 3000,
        url: str = '',
    ) -> Said:
        """Send a request to a proxy, any if no address is given."""
        headers = {
            'Authorization': f'Bearer {self._key}',
            'Tidegrade-Deadline-Ms': str(deadline_ms),
        }
        if key:
            headers['Idempotency-Key'] = key
        if self.token:
            headers['Tidegrade-Session'] = self.token
        address = url or self._rng.choice(self.urls)
        began = time.monotonic()
        try:
            answer = await self._http.post(
                address + self._base + path,
                json=body,
                headers=headers,
                timeout=deadline_ms / 1000 + 2,
            )
        except httpx.ConnectError:
            return _no_answer('not_run', 'connect_failed', began)
        except httpx.HTTPError:
            return _no_answer('unknown', 'no_answer', began)
        self.token = answer.headers.get('tidegrade-session', self.token)
        if 'json' not in answer.headers.get('content-type', ''):
            # Not the proxy's own words: a server cut the request short.
            return _no_answer('unknown', 'no_answer', began)
        return _said(answer, began)


def _no_answer(outcome: str, code: str, began: float) -> Said:
    now = time.monotonic()
    return Said(0, outcome, code, took=now - began, at=now)


def _said(answer: httpx.Response, began: float) -> Said:
    now = time.monotonic()
    body = answer.json()
    results = body.get('results') or []
    rows = results[-1]['rows'] if results else []
    return Said(
        status=answer.status_code,
        outcome=body.get('outcome', ''),
        code=body.get('code', ''),
        endpoint=body.get('endpoint', ''),
        from_replica=body.get('from_replica', False),
        rows=tuple(tuple(row) for row in rows),
        retry_after=body.get('retry_after_s'),
        replayed=body.get('replayed', False),
        transaction=body.get('transaction', ''),
        age_s=body.get('age_s'),
        took=now - began,
        at=now,
        body=body,
    )

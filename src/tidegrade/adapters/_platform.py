"""Client of the platform over HTTP, with conditional requests (RFC 9110)."""

from collections.abc import Collection
import ssl
import typing

import attrs
import httpx
import result

from tidegrade import ports


@attrs.frozen
class PlatformSettings:
    """Address of the platform and time limit of each request.

    ``timeout_s`` is in seconds. ``ca_file`` contains the certificates of the
    authorities that sign the platform's certificate; if it is empty, the
    default authorities are used.
    """

    url: str
    timeout_s: float = 1.0
    ca_file: str = ''


class HttpPlatform:
    """The table, object store and VM list at one address."""

    def __init__(self, cfg: PlatformSettings, proxy_id: str) -> None:
        verify: ssl.SSLContext | bool = True
        if cfg.ca_file:
            verify = ssl.create_default_context(cafile=cfg.ca_file)
        self._client = httpx.AsyncClient(
            base_url=cfg.url,
            timeout=cfg.timeout_s,
            headers={'User-Agent': f'tidegrade/{proxy_id}'},
            verify=verify,
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Close the connections to the platform."""
        await self._client.aclose()

    # Table ----------------------------------------------------------------

    @property
    def generation(self) -> int:
        """Always 0: this platform does not report a restore from a backup."""
        return 0

    async def read(
        self, key: str
    ) -> result.Result[ports.Versioned | None, str]:
        """Return a row, None if it is absent, or why it can't be read."""
        answer = await self._request('GET', f'/table/{key}')
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        res = answer.unwrap()
        if res.status_code == httpx.codes.NOT_FOUND:
            return result.Ok(None)
        tag = res.headers.get('etag')
        if res.is_success and tag:
            return result.Ok(ports.Versioned(res.content, tag))
        return result.Err(
            f'reading a row failed with status {res.status_code}'
        )

    async def write(
        self, key: str, value: bytes, expected: str | None
    ) -> result.Result[str, ports.WriteProblem]:
        """Write a row if its entity tag is ``expected`` (None: it is absent).

        Returns the new entity tag.
        """
        headers = {'If-None-Match': '*'}
        if expected is not None:
            headers = {'If-Match': expected}
        answer = await self._request(
            'PUT', f'/table/{key}', content=value, headers=headers
        )
        if answer.is_err():
            return result.Err(ports.WriteProblem.UNKNOWN)
        res = answer.unwrap()
        if res.status_code == httpx.codes.PRECONDITION_FAILED:
            return result.Err(ports.WriteProblem.CONFLICT)
        tag = res.headers.get('etag')
        if res.is_success and tag:
            return result.Ok(tag)
        return result.Err(ports.WriteProblem.UNKNOWN)

    async def delete(
        self, key: str, expected: str
    ) -> result.Result[None, str]:
        """Delete a row if its entity tag is ``expected``."""
        headers = {'If-Match': expected}
        answer = await self._request(
            'DELETE', f'/table/{key}', headers=headers
        )
        return _empty_result(answer)

    async def read_all(
        self, keys: Collection[str]
    ) -> result.Result[dict[str, ports.Versioned], str]:
        """Return those of the requested rows that exist.

        The rows are read one by one, because this platform has no request
        for several rows.
        """
        rows = {}
        for key in sorted(keys):
            row = await self.read(key)
            if row.is_err():
                return result.Err(row.unwrap_err())
            found = row.unwrap()
            if found is not None:
                rows[key] = found
        return result.Ok(rows)

    async def _keys(self, prefix: str) -> result.Result[list[str], str]:
        """Return the keys that begin with ``prefix``."""
        answer = await self._request(
            'GET', '/table', params={'prefix': prefix}
        )
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        res = answer.unwrap()
        if not res.is_success:
            return result.Err(
                f'listing keys failed with status {res.status_code}'
            )
        return result.Ok(list(res.json()))

    async def scan(self, prefix: str) -> result.Result[dict[str, bytes], str]:
        """Return the rows whose keys begin with ``prefix``."""
        listed = await self._keys(prefix)
        if listed.is_err():
            return result.Err(listed.unwrap_err())
        rows = await self.read_all(listed.unwrap())
        return rows.map(
            lambda found: {key: row.value for key, row in found.items()}
        )

    # Object store ---------------------------------------------------------

    async def get(self, name: str) -> result.Result[bytes | None, str]:
        """Return an object, or None if it is absent."""
        answer = await self._request('GET', f'/objects/{name}')
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        res = answer.unwrap()
        if res.status_code == httpx.codes.NOT_FOUND:
            return result.Ok(None)
        if res.is_success:
            return result.Ok(res.content)
        return result.Err(
            f'reading an object failed with status {res.status_code}'
        )

    async def put(self, name: str, content: bytes) -> result.Result[None, str]:
        """Store an object; storing the same object again is harmless."""
        return _empty_result(
            await self._request('PUT', f'/objects/{name}', content=content)
        )

    # VM list --------------------------------------------------------------

    async def vms(self) -> result.Result[list[ports.Vm], str]:
        """Return the VM list."""
        answer = await self._request('GET', '/vms')
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        res = answer.unwrap()
        if not res.is_success:
            return result.Err(
                f'reading the VM list failed with status {res.status_code}'
            )
        try:
            return result.Ok([ports.Vm(**entry) for entry in res.json()])
        except (TypeError, ValueError) as exc:
            return result.Err(f'the VM list is malformed: {exc}')

    async def _request(
        self, method: str, path: str, **options: typing.Any
    ) -> result.Result[httpx.Response, str]:
        try:
            res = await self._client.request(method, path, **options)
        except httpx.HTTPError as exc:
            return result.Err(f'{type(exc).__name__}: {exc}')
        return result.Ok(res)


def _empty_result(
    answer: result.Result[httpx.Response, str],
) -> result.Result[None, str]:
    if answer.is_err():
        return result.Err(answer.unwrap_err())
    res = answer.unwrap()
    if res.is_success:
        return result.Ok(None)
    return result.Err(f'the platform answered with status {res.status_code}')

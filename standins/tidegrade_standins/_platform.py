"""The platform: a table with compare-and-set, objects and the VM list."""

import anyio
import attrs
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from tidegrade_standins import _control
from tidegrade_standins import _settings


@attrs.frozen
class Row:
    """A row's value and its version."""

    value: bytes
    version: int

    @property
    def tag(self) -> str:
        """Give the version as an entity tag."""
        return f'"{self.version}"'


class _Unreachable(Exception):
    """The client gets no answer."""


class Platform:
    """What the platform holds, and its HTTP interface."""

    def __init__(self) -> None:
        self.faults = _settings.PlatformFaults()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[dict[str, object]] = []
        self.reads = 0
        self.writes = 0
        self._version = 0

    def app(self) -> applications.Starlette:
        """Give the application that serves the platform."""
        return applications.Starlette(
            routes=[
                routing.Route('/table', self._keys),
                routing.Route('/table/{key:path}', self._read_row),
                routing.Route(
                    '/table/{key:path}', self._write_row, methods=['PUT']
                ),
                routing.Route(
                    '/table/{key:path}', self._drop_row, methods=['DELETE']
                ),
                routing.Route('/objects/{name}', self._get_object),
                routing.Route(
                    '/objects/{name}', self._put_object, methods=['PUT']
                ),
                routing.Route('/vms', self._get_vms),
                routing.Route('/vms', self._set_vms, methods=['PUT']),
                routing.Route('/state', self._state),
                _control.fault_route(self.faults),
            ],
            exception_handlers={_Unreachable: _no_answer},
        )

    async def _arrive(self, req: requests.Request) -> None:
        agent = req.headers.get('user-agent', '')
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        cut = any(agent.endswith('/' + name) for name in self.faults.cut)
        if self.faults.down or cut:
            raise _Unreachable

    def _leave(self) -> None:
        """Lose the answer of a change that has taken effect."""
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise _Unreachable

    async def _keys(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        self.reads += 1
        prefix = req.query_params.get('prefix', '')
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return responses.JSONResponse(keys)

    async def _read_row(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        self.reads += 1
        row = self.rows.get(req.path_params['key'])
        if row is None:
            return responses.Response(status_code=404)
        return responses.Response(row.value, headers={'ETag': row.tag})

    async def _write_row(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        key = req.path_params['key']
        value = await req.body()
        row = self.rows.get(key)
        if not _matches(req, row):
            return responses.Response(status_code=412)
        self.writes += 1
        self._version += 1
        self.rows[key] = Row(value, self._version)
        self._leave()
        return responses.Response(headers={'ETag': self.rows[key].tag})

    async def _drop_row(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        key = req.path_params['key']
        if not _matches(req, self.rows.get(key)):
            return responses.Response(status_code=412)
        self.writes += 1
        self.rows.pop(key, None)
        return responses.Response(status_code=204)

    async def _get_object(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        self.reads += 1
        content = self.objects.get(req.path_params['name'])
        if content is None:
            return responses.Response(status_code=404)
        return responses.Response(content)

    async def _put_object(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        self.writes += 1
        self.objects[req.path_params['name']] = await req.body()
        self._leave()
        return responses.Response(status_code=204)

    async def _get_vms(self, req: requests.Request) -> responses.Response:
        await self._arrive(req)
        self.reads += 1
        return responses.JSONResponse(self.vms)

    async def _set_vms(self, req: requests.Request) -> responses.Response:
        """Change the VM list; a control of the stand-in."""
        self.vms = await req.json()
        return responses.Response(status_code=204)

    async def _state(self, req: requests.Request) -> responses.Response:
        """Give what the platform holds; a control of the stand-in."""
        rows = {
            key: [row.version, row.value.decode('utf-8', 'replace')]
            for key, row in self.rows.items()
        }
        return responses.JSONResponse(
            {
                'rows': rows,
                'objects': sorted(self.objects),
                'reads': self.reads,
                'writes': self.writes,
            }
        )


def _matches(req: requests.Request, row: Row | None) -> bool:
    """Evaluate the preconditions of RFC 9110."""
    if req.headers.get('if-none-match') == '*':
        return row is None
    expected = req.headers.get('if-match')
    if expected is None:
        return True
    return row is not None and row.tag == expected


async def _no_answer(
    req: requests.Request, exc: Exception
) -> responses.Response:
    """Stand for a lost answer: the client can't tell what happened."""
    return responses.Response(status_code=504)

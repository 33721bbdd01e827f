"""The control port through which faults are set and states are read."""

import typing

import attrs
import cattrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn

F = typing.TypeVar('F')

#: Time after which an idle connection is closed, in seconds: longer than
#: clients keep one (5 s for httpx), so that the client is the first to close
#: it. A connection that closes while a request arrives breaks the request.
KEEP_ALIVE_S = 60

_converter = cattrs.Converter(forbid_extra_keys=True)


def fault_route(faults: typing.Any) -> routing.Route:
    """Give ``POST /faults``, which changes the named fields."""

    async def change(req: requests.Request) -> responses.Response:
        changes = orjson.loads(await req.body())
        current = attrs.asdict(faults)
        checked = _converter.structure({**current, **changes}, type(faults))
        for field in attrs.fields(type(faults)):
            setattr(faults, field.name, getattr(checked, field.name))
        return responses.JSONResponse(attrs.asdict(faults))

    return routing.Route('/faults', change, methods=['POST'])


async def serve(
    app: applications.Starlette,
    host: str,
    port: int,
    cert_file: str = '',
    key_file: str = '',
) -> None:
    """Serve an application until cancelled."""
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        log_level='warning',
        access_log=False,
        ssl_certfile=cert_file or None,
        ssl_keyfile=key_file or None,
        timeout_graceful_shutdown=1,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    await uvicorn.Server(cfg).serve()

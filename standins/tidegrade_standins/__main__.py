"""Runs one stand-in: ``python -m tidegrade_standins KIND SETTINGS``."""

import pathlib
from typing import Annotated

import anyio
import cattrs
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import typer

from tidegrade_standins import _control
from tidegrade_standins import _instance
from tidegrade_standins import _platform
from tidegrade_standins import _postgres
from tidegrade_standins import _replication
from tidegrade_standins import _settings

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
_converter = cattrs.Converter(forbid_extra_keys=True)

SettingsText = Annotated[str, typer.Argument(help='Settings as JSON.')]


@app.command()
def platform(settings: SettingsText) -> None:
    """Run the platform."""
    cfg = _converter.structure(
        orjson.loads(settings), _settings.PlatformSettings
    )
    served = _platform.Platform().app()
    anyio.run(
        _control.serve,
        served,
        cfg.host,
        cfg.port,
        cfg.cert_file,
        cfg.key_file,
        backend_options={'use_uvloop': True},
    )


@app.command()
def instance(settings: SettingsText) -> None:
    """Run one database instance."""
    cfg = _converter.structure(
        orjson.loads(settings), _settings.InstanceSettings
    )
    anyio.run(_run_instance, cfg, backend_options={'use_uvloop': True})


async def _run_instance(cfg: _settings.InstanceSettings) -> None:
    served = _instance.Instance(cfg)
    server = _postgres.Server(served)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        tasks.start_soon(_replication.Follower(served).run)
        await _control.serve(
            _instance_control(server), cfg.host, cfg.control_port
        )
        tasks.cancel_scope.cancel()
    pathlib.Path(cfg.data, f'{cfg.name}.sqlite').unlink(missing_ok=True)


def _instance_control(server: _postgres.Server) -> applications.Starlette:
    async def state(req: requests.Request) -> responses.Response:
        served = server.instance
        return responses.JSONResponse(
            {
                'in_recovery': served.in_recovery,
                'received_lsn': served.log.lsn,
                'applied_lsn': served.applied_lsn,
                'upstream': served.upstream,
                'settings': served.settings,
                'connections': server.counters.connections,
                'peak_connections': server.counters.peak_connections,
                'refused_connections': server.counters.refused_connections,
                'statements': server.counters.statements,
            }
        )

    return applications.Starlette(
        routes=[
            routing.Route('/state', state),
            _control.fault_route(server.instance.faults),
        ]
    )


if __name__ == '__main__':
    app()

"""The ``tidegrade`` command."""

import json
import pathlib
from typing import Annotated

import typer

from tidegrade.cli import _config
from tidegrade.cli import _exit
from tidegrade.cli import _logs
from tidegrade.cli import _options
from tidegrade import http_proxy

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help='A database proxy with session consistency.',
)
app.add_typer(_config.app, name='config')
app.add_typer(_logs.app, name='logs')


@app.command()
def proxy(
    settings: Annotated[
        pathlib.Path,
        typer.Option(exists=True, dir_okay=False, help='Settings file, JSON.'),
    ],
) -> None:
    """Run a proxy until a drain is requested."""
    read = http_proxy.read_settings(settings.read_bytes())
    if read.is_err():
        for line in read.unwrap_err():
            typer.echo(f'error: {line}', err=True)
        raise typer.Exit(_exit.Exit.INVALID)
    raise typer.Exit(http_proxy.run(read.unwrap()))


@app.command()
def status(
    url: _options.Url,
    key: _options.Key,
    as_json: _options.AsJson = False,
    ca_file: _options.CaFile = '',
) -> None:
    """Show the state of a proxy, its peers and the groups."""
    asked = _options.client(url, key, ca_file).get('/admin/v1/status')
    if asked.is_err():
        raise _exit.fail(asked.unwrap_err())
    found = asked.unwrap()
    if as_json:
        typer.echo(json.dumps(found))
        return
    _print_status(found)


@app.command()
def drain(
    url: _options.Url,
    key: _options.Key,
    ca_file: _options.CaFile = '',
) -> None:
    """Make a proxy finish its work and stop."""
    asked = _options.client(url, key, ca_file).post('/admin/v1/drain')
    if asked.is_err():
        raise _exit.fail(asked.unwrap_err())
    typer.echo('the proxy drains')


def _print_status(found: dict) -> None:
    reachable = 'reachable' if found['platform_reachable'] else 'unreachable'
    typer.echo(
        f'{found["proxy"]} in {found["domain"]}: configuration'
        f' {found["config_version"]}, platform {reachable}'
    )
    for peer in found['peers']:
        typer.echo(
            f'  peer {peer["proxy"]} in {peer["domain"]}: configuration'
            f' {peer["config_version"]}'
        )
    for address in found['unheard']:
        typer.echo(f'  peer at {address}: not heard')
    for group in found['groups']:
        typer.echo(
            f'  group {group["site"]}/{group["group"]}: term'
            f' {group["term"]}, primary {group["primary"]}'
        )
        for name, endpoint in group['endpoints'].items():
            typer.echo(
                f'    {name}: applied {endpoint["applied_lsn"]},'
                f' {endpoint["connections"]} connections,'
                f' {endpoint["failures"]} failures'
            )


def main() -> None:
    """Run the command line."""
    app()

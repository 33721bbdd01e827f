"""``tidegrade config``: check, compare and apply configurations."""

import difflib
import json
import pathlib
import time
from typing import Annotated
import uuid

import orjson
import typer

from tidegrade.cli import _exit
from tidegrade.cli import _options
from tidegrade.codec import _structure
from tidegrade import config

app = typer.Typer(
    no_args_is_help=True, help='Check, compare and apply configurations.'
)

#: Pause between checks whether a version is in force, in seconds.
POLL_PAUSE_S = 0.1


@app.command()
def check(file: _options.File) -> None:
    """Check a file without sending it anywhere."""
    _read_checked(file)
    typer.echo('the file is a valid configuration')


@app.command()
def diff(
    file: _options.File,
    url: _options.Url,
    key: _options.Key,
    ca_file: _options.CaFile = '',
) -> None:
    """Show what applying a file would change; status 1 if it differs."""
    plain = _read_checked(file)
    shown = _current(_options.client(url, key, ca_file))
    before = _lines(shown.get('document') or {})
    version = shown.get('version')
    changes = list(
        difflib.unified_diff(
            before,
            _lines(plain),
            f'version {version}',
            str(file),
            lineterm='',
        )
    )
    for line in changes:
        typer.echo(line)
    if changes:
        raise typer.Exit(_exit.Exit.FAILED)


@app.command()
def apply(
    file: _options.File,
    url: _options.Url,
    key: _options.Key,
    base: Annotated[
        int | None,
        typer.Option(
            help='Version the file was written against; the version in'
            ' force when the command starts, if not given.'
        ),
    ] = None,
    wait: Annotated[
        float, typer.Option(help='Seconds to wait for every proxy.')
    ] = 10.0,
    apply_id: Annotated[
        str,
        typer.Option(
            help='Name of this attempt; repeat one with the same name to'
            ' learn what became of it.'
        ),
    ] = '',
    as_json: _options.AsJson = False,
    ca_file: _options.CaFile = '',
) -> None:
    """Apply a file as a whole, and wait until every proxy reports it.

    Status 3 if another file was applied first, 7 if a live proxy doesn't
    report the version in time, 8 if it is unknown whether it was applied.
    """
    plain = _read_checked(file)
    client = _options.client(url, key, ca_file)
    if base is None:
        base = int(str(_current(client)['version']))
    apply_id = apply_id or uuid.uuid4().hex
    asked = client.post(
        '/admin/v1/config',
        {'document': plain, 'apply_id': apply_id, 'base': base},
    )
    if asked.is_err():
        failure = asked.unwrap_err()
        _print_winner(failure.body.get('winner'))
        if failure.body.get('outcome') == 'unknown':
            typer.echo(
                f'to find out, repeat with --apply-id {apply_id}', err=True
            )
        raise _exit.fail(failure)
    version = int(str(asked.unwrap()['version']))
    behind = _wait_until_in_force(client, version, wait)
    _print_applied(version, behind, as_json)
    if behind:
        raise typer.Exit(_exit.Exit.NOT_EVERYWHERE)


@app.command()
def show(
    url: _options.Url,
    key: _options.Key,
    as_json: _options.AsJson = False,
    ca_file: _options.CaFile = '',
) -> None:
    """Print the configuration in force."""
    shown = _current(_options.client(url, key, ca_file))
    if as_json:
        typer.echo(json.dumps(shown))
        return
    typer.echo(json.dumps(shown.get('document') or {}, indent=2))


@app.command()
def history(
    url: _options.Url,
    key: _options.Key,
    as_json: _options.AsJson = False,
    ca_file: _options.CaFile = '',
) -> None:
    """List the accepted configurations, newest first."""
    asked = _options.client(url, key, ca_file).get('/admin/v1/config/history')
    if asked.is_err():
        raise _exit.fail(asked.unwrap_err())
    entries = asked.unwrap()['history']
    if as_json:
        typer.echo(json.dumps(entries))
        return
    assert isinstance(entries, list)
    for entry in entries:
        typer.echo(
            f'{entry["version"]:>6}  {entry["at"]}  {entry["by"]:<16}'
            f'  {entry["sha256"][:12]}'
        )


def _read_checked(file: pathlib.Path) -> dict[str, object]:
    """Return a file's content, or print its errors and exit."""
    raw = file.read_bytes()
    read = _structure.structure(raw, config.Document)
    if read.is_err():
        found = read.unwrap_err()
    else:
        found = config.problems_of(read.unwrap())
    if found:
        for line in found:
            typer.echo(f'error: {line}', err=True)
        raise typer.Exit(_exit.Exit.INVALID)
    return orjson.loads(raw)


def _current(client) -> dict[str, object]:
    asked = client.get('/admin/v1/config')
    if asked.is_err():
        raise _exit.fail(asked.unwrap_err())
    return asked.unwrap()


def _lines(plain: object) -> list[str]:
    return json.dumps(plain, indent=2, sort_keys=True).splitlines()


def _print_winner(winner: object) -> None:
    if isinstance(winner, dict):
        typer.echo(
            f'version {winner["version"]} was applied first, by'
            f' {winner["by"]} at {winner["at"]}',
            err=True,
        )


def _wait_until_in_force(client, version: int, wait: float) -> list[str]:
    """Return the live proxies that don't report the version in time.

    ``wait`` is in seconds.
    """
    end = time.monotonic() + wait
    while True:
        asked = client.get('/admin/v1/status')
        behind = ['(no status)']
        if asked.is_ok():
            behind = _proxies_behind(asked.unwrap(), version)
        if not behind or time.monotonic() >= end:
            return behind
        time.sleep(POLL_PAUSE_S)


def _proxies_behind(status: dict[str, object], version: int) -> list[str]:
    proxies = [status, *status['peers']]  # type: ignore[misc]
    behind = [
        str(proxy['proxy'])
        for proxy in proxies
        if proxy['config_version'] < version
    ]
    unheard = status['unheard']
    assert isinstance(unheard, list)
    return behind + [f'{address} (not heard)' for address in unheard]


def _print_applied(version: int, behind: list[str], as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps({'version': version, 'behind': behind}))
        return
    if not behind:
        typer.echo(f'version {version} is in force everywhere')
        return
    typer.echo(f'version {version} is accepted; not yet reported by:')
    for proxy in behind:
        typer.echo(f'  {proxy}')

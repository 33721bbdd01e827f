"""``tidegrade logs``: what proxies wrote, read together."""

import collections
import pathlib
import sys
from typing import Annotated

import typer

from tidegrade.cli import _exit
from tidegrade.cli import _log_lines
from tidegrade.cli import _log_summary

app = typer.Typer(
    no_args_is_help=True, help='Read the logs of one or many proxies.'
)

Files = Annotated[
    list[pathlib.Path] | None,
    typer.Argument(
        exists=True,
        dir_okay=False,
        readable=True,
        help='Files of JSON lines; standard input without any.',
    ),
]


@app.command()
def summary(
    files: Files = None,
    step: Annotated[
        float, typer.Option(min=0.01, help='Length of an interval, seconds.')
    ] = 1.0,
    late_ms: Annotated[
        float, typer.Option(min=0.0, help='Answers that took longer are late.')
    ] = 150.0,
) -> None:
    """Print what became of requests, interval by interval."""
    reading = _read(files)
    for interval in _log_summary.by_interval(reading.lines, step, late_ms):
        typer.echo(_row(interval))
    _warn(reading)


@app.command()
def request(
    request_id: Annotated[str, typer.Argument(help="The caller's own id.")],
    files: Files = None,
) -> None:
    """Follow a request through all proxies, with what they believed."""
    reading = _read(files)
    found = _log_summary.about_request(reading.lines, request_id)
    for line in found:
        typer.echo(_told(line))
    _warn(reading)
    if not found:
        typer.echo(f'error: no line names the request {request_id}', err=True)
        raise typer.Exit(_exit.Exit.FAILED)


def _read(files: list[pathlib.Path] | None) -> _log_lines.Reading:
    if not files:
        return _log_lines.read_lines(sys.stdin)
    texts: list[str] = []
    for file in files:
        texts += file.read_text(errors='replace').splitlines()
    return _log_lines.read_lines(texts)


def _row(interval: _log_summary.Interval) -> str:
    totals: collections.Counter[str] = collections.Counter()
    for (_, what), count in interval.counts.items():
        totals[what] += count
    parts = [f'{what} {count}' for what, count in sorted(totals.items())]
    kinds = [
        f'{kind} {what} {count}'
        for (kind, what), count in sorted(interval.counts.items())
        if what != 'in time'
    ]
    row = f'{interval.begins:.2f}  {", ".join(parts)}'
    return f'{row}  ({"; ".join(kinds)})' if kinds else row


def _told(line: _log_lines.LogLine) -> str:
    fields = ' '.join(f'{name}={told}' for name, told in line.fields.items())
    return (
        f'{line.time:.3f} {line.proxy} {line.event} {line.message}: {fields}'
    )


def _warn(reading: _log_lines.Reading) -> None:
    """Say what could not be read, so that nobody takes it for silence."""
    if reading.malformed:
        typer.echo(
            f'warning: {reading.malformed} lines could not be read', err=True
        )

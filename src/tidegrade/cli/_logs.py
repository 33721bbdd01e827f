"""``tidegrade logs``: reads the logs of several proxies together."""

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
    """Print the results of requests, interval by interval."""
    reading = _read(files)
    for interval in _log_summary.count_by_interval(
        reading.lines, step, late_ms
    ):
        typer.echo(_row(interval))
    _warn(reading)


@app.command()
def request(
    request_id: Annotated[
        str, typer.Argument(help='Id that the caller sent.')
    ],
    files: Files = None,
) -> None:
    """Print a request's events on all proxies, with state changes."""
    reading = _read(files)
    found = _log_summary.lines_of_request(reading.lines, request_id)
    for line in found:
        typer.echo(_line_text(line))
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
    for (_, result), count in interval.counts.items():
        totals[result] += count
    parts = [f'{result} {count}' for result, count in sorted(totals.items())]
    kinds = [
        f'{kind} {result} {count}'
        for (kind, result), count in sorted(interval.counts.items())
        if result != 'in time'
    ]
    row = f'{interval.start_s:.2f}  {", ".join(parts)}'
    return f'{row}  ({"; ".join(kinds)})' if kinds else row


def _line_text(line: _log_lines.LogLine) -> str:
    fields = ' '.join(f'{name}={value}' for name, value in line.fields.items())
    return (
        f'{line.time:.3f} {line.proxy} {line.event} {line.message}: {fields}'
    )


def _warn(reading: _log_lines.Reading) -> None:
    """Print the count of malformed lines.

    Without it, their events would seem not to have happened.
    """
    if reading.malformed:
        typer.echo(
            f'warning: {reading.malformed} lines could not be read', err=True
        )

"""Exit statuses of the commands; scripts may depend on them."""

import enum

import typer

from tidegrade.cli import _client


class Exit(enum.IntEnum):
    """Exit status of a command; typer exits with 2 on wrong usage."""

    OK = 0
    FAILED = 1
    CONFLICT = 3
    UNREACHABLE = 4
    INVALID = 5
    UNAUTHORIZED = 6
    NOT_EVERYWHERE = 7
    UNKNOWN = 8


def status_of(failure: _client.Failure) -> Exit:
    """Return the exit status for a request that failed."""
    if failure.body.get('outcome') == 'unknown':
        return Exit.UNKNOWN
    by_status = {
        0: Exit.UNREACHABLE,
        400: Exit.INVALID,
        401: Exit.UNAUTHORIZED,
        409: Exit.CONFLICT,
        503: Exit.UNREACHABLE,
    }
    return by_status.get(failure.status, Exit.FAILED)


def fail(failure: _client.Failure) -> typer.Exit:
    """Print why a request failed; return the exception to raise."""
    errors = failure.body.get('errors')
    lines = errors if isinstance(errors, list) and errors else None
    for line in lines or [failure.detail or failure.code]:
        typer.echo(f'error: {line}', err=True)
    return typer.Exit(status_of(failure))

"""Exit statuses that scripts can rely on."""

import enum

import typer

from tidegrade.cli import _client


class Exit(enum.IntEnum):
    """Why a command ended; 2 is left to wrong usage."""

    OK = 0
    FAILED = 1
    CONFLICT = 3
    UNREACHABLE = 4
    INVALID = 5
    UNAUTHORIZED = 6
    NOT_EVERYWHERE = 7
    UNKNOWN = 8


def of_failure(failure: _client.Failure) -> Exit:
    """Give the status for a request that failed."""
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
    """Print why a request failed and give the exception to raise."""
    errors = failure.body.get('errors')
    lines = errors if isinstance(errors, list) and errors else None
    for line in lines or [failure.detail or failure.code]:
        typer.echo(f'error: {line}', err=True)
    return typer.Exit(of_failure(failure))

"""The commands that a caller sends to its session.

``id`` is the caller's request id. Endpoints sign it together with the
statement that they ran, so it is sent to them with the statement.
"""

import attrs

from tidegrade import core


@attrs.frozen
class Begin:
    """Begin a transaction; a ``read_only`` one may run on a replica."""

    id: str
    read_only: bool = False


@attrs.frozen
class Commit:
    """Commit the transaction; ``text`` is passed on unchanged."""

    id: str
    text: str


@attrs.frozen
class Rollback:
    """Roll the transaction back."""

    id: str


@attrs.frozen
class Run:
    """Run a statement; ``writes`` is true if it changes data."""

    id: str
    text: str
    writes: bool


@attrs.frozen
class SetValue:
    """Set a session value that holds until the session ends."""

    id: str
    name: str
    value: str


@attrs.frozen
class Prepare:
    """Prepare a statement under a name that is local to the session."""

    id: str
    name: str
    prepared: core.Prepared


@attrs.frozen
class Execute:
    """Run a prepared statement; ``arguments`` are passed on unparsed."""

    id: str
    name: str
    arguments: str


@attrs.frozen
class Deallocate:
    """Remove the name of a prepared statement."""

    id: str
    name: str


Command = (
    Begin | Commit | Rollback | Run | SetValue | Prepare | Execute | Deallocate
)

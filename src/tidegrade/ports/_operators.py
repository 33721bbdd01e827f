"""The protocol through which the operators' interface uses the proxy."""

import typing

import attrs


@attrs.frozen
class HistoryEntry:
    """An accepted configuration.

    ``by`` is the operator who applied it, ``at`` the time in UTC, and
    ``apply_id`` the id of the attempt.
    """

    version: int
    sha256: str
    apply_id: str
    by: str
    at: str


@attrs.frozen
class ApplyOrder:
    """A configuration file that an operator applies.

    ``base`` is the version that the file was written against. ``apply_id``
    identifies the attempt, so that it can be repeated safely.
    """

    document: bytes
    apply_id: str
    base: int | None = None


@attrs.frozen
class Applied:
    """The file was accepted as ``version``."""

    version: int


@attrs.frozen
class ApplyProblem:
    """Why a file was not accepted.

    ``code`` is ``invalid``, ``conflict`` (another file, ``winner``, was
    accepted first) or ``unavailable``. ``unknown`` is true if the file may
    have been accepted all the same; repeating the attempt with the same
    ``apply_id`` shows whether it was.
    """

    code: str
    details: tuple[str, ...]
    winner: HistoryEntry | None = None
    unknown: bool = False


class Operators(typing.Protocol):
    """Serves the requests of operators."""

    def operator_of(self, authorization: str) -> str | None:
        """Return the operator whose key is presented, or None."""

    def current(self) -> tuple[int, bytes]:
        """Return the version in force and its document."""

    async def history(self) -> list[HistoryEntry] | None:
        """Return the accepted configurations; None if out of reach."""

    async def apply(
        self, order: ApplyOrder, operator: str
    ) -> Applied | ApplyProblem:
        """Apply a file as a whole, or not at all."""

    def status(self) -> dict[str, object]:
        """Return the state of this proxy as values for JSON."""

    def drain(self) -> None:
        """Begin a graceful shutdown."""

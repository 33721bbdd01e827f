"""What the operators' interface asks of the proxy."""

import typing

import attrs


@attrs.frozen
class HistoryEntry:
    """An accepted configuration: who applied it, when (UTC), under what."""

    version: int
    sha256: str
    apply_id: str
    by: str
    at: str


@attrs.frozen
class ApplyOrder:
    """An operator's file; ``base`` is the version it was written against.

    ``apply_id`` names this attempt, so that it can be repeated safely.
    """

    document: bytes
    apply_id: str
    base: int | None = None


@attrs.frozen
class Applied:
    """The file is accepted as this version."""

    version: int


@attrs.frozen
class ApplyProblem:
    """Why a file isn't accepted.

    ``code`` is ``invalid``, ``conflict`` (another file won, ``winner``
    tells which) or ``unavailable`` (``unknown`` says that the file may
    have been accepted; repeat with the same ``apply_id`` to find out).
    """

    code: str
    details: tuple[str, ...]
    winner: HistoryEntry | None = None
    unknown: bool = False


class Operators(typing.Protocol):
    """Serves operators."""

    def operator_of(self, authorization: str) -> str | None:
        """Give whose key this is, or None."""

    def current(self) -> tuple[int, bytes]:
        """Give the version in force and its document."""

    async def history(self) -> list[HistoryEntry] | None:
        """Give the accepted configurations; None if unreachable."""

    async def apply(
        self, order: ApplyOrder, operator: str
    ) -> Applied | ApplyProblem:
        """Have a file accepted as a whole, or not at all."""

    def status(self) -> dict[str, object]:
        """Give what this proxy knows, ready for JSON."""

    def drain(self) -> None:
        """Begin a graceful shutdown."""

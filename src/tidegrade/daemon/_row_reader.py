"""Reads of a group's row that detect and repair a lost newer version.

The platform may restore its table from a copy that is some seconds old. The
proxies still know the newer row that the table lost, and one of them writes
it again. Until then reads fail, so no proxy acts on the stale row. Otherwise
each change of the primary would be abandoned, without end, since the row that
was read differs from the row that is known.
"""

from collections.abc import Callable
import typing

import result

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade import logs
from tidegrade import ports

#: Number of failed reads for which a proxy waits for the first proxy in turn
#: to restore the row: with the pause after a failed read, about 1.5 s.
READS_BEFORE_TAKEOVER = 3


class RowTable(typing.Protocol):
    """The operations of the platform's table that a group uses."""

    @property
    def generation(self) -> int:
        """The number of restores of the table from an older copy."""

    async def read(
        self, key: str
    ) -> result.Result[ports.Versioned | None, str]:
        """Return a row, None if it is absent, or the reason of a failure."""

    async def write(
        self, key: str, value: bytes, expected: str | None
    ) -> result.Result[str, ports.WriteProblem]:
        """Write a row if its tag is ``expected``, None for an absent row."""

    async def scan(self, prefix: str) -> result.Result[dict[str, bytes], str]:
        """Return the rows whose keys begin with ``prefix``."""


class RowReader:
    """Reads one row, and restores it if the table holds an older one.

    ``newest`` returns the newest row that this proxy knows. ``in_turn``
    returns whether this proxy is the first in turn of those that serve the
    group; that proxy restores the row.
    """

    def __init__(
        self,
        key: str,
        table: RowTable,
        newest: Callable[[], core.GroupRow | None],
        in_turn: Callable[[], bool],
    ) -> None:
        self._key = key
        self._table = table
        self._newest_known = newest
        self._is_in_turn = in_turn
        self._reads_waited = 0

    async def read(self) -> result.Result[ports.Versioned | None, str]:
        """Return the row, never one older than was known before the read.

        Fails if the table can't be read, or while it holds an older row.
        """
        known = self._newest_known()
        answer = await self._table.read(self._key)
        if answer.is_err() or known is None:
            return answer
        found = answer.unwrap()
        found_term = _term_if_older(found, known)
        if found_term is None:
            self._reads_waited = 0
            return answer
        if (
            not self._is_in_turn()
            and self._reads_waited < READS_BEFORE_TAKEOVER
        ):
            self._reads_waited += 1
            return result.Err(
                'the table lost the newest row; another proxy restores it'
            )
        written = await self._restore(known, found)
        logs.write(
            logs.LogEvent.ROW_RESTORED,
            row=self._key,
            found_term=found_term,
            known_term=known.term,
            written=written,
        )
        if not written:
            return result.Err(
                'the table lost the newest row; restoring it failed'
            )
        return await self._table.read(self._key)

    async def _restore(
        self, known: core.GroupRow, found: ports.Versioned | None
    ) -> bool:
        tag = found.tag if found is not None else None
        value = _rows.encode_row(known)
        return (await self._table.write(self._key, value, tag)).is_ok()


def _term_if_older(
    found: ports.Versioned | None, known: core.GroupRow
) -> int | None:
    """Return the term of ``found`` if it is older than ``known``.

    Returns 0 if there is no row, and None if it is not older or can't be
    decoded.
    """
    if found is None:
        return 0
    row = _rows.decode_row(found.value)
    if row.is_err() or not core.is_newer(known, row.unwrap()):
        return None
    return row.unwrap().term

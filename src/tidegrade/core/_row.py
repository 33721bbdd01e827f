"""The row of a group in the platform's table: current and past terms."""

import enum

import attrs
import result

from tidegrade.core import _types


#: Number of terms reserved for each generation of the platform's table. Rows
#: can be lost when a generation ends, and their terms with them; the terms of
#: a later generation are greater than all of them. Without this, two of three
#: proxies that restarted after such a loss promoted with the same term.
TERMS_PER_GENERATION = 1_000_000


@attrs.frozen
class Fork:
    """The end of a past term's log in the history that continues."""

    term: int
    end_lsn: int


@attrs.frozen
class Attempt:
    """A change of primary in progress.

    ``by`` is the proxy whose supervisor made the attempt. ``chosen`` is the
    endpoint to promote, empty until it has been chosen.
    """

    id: str
    by: str
    next_term: int
    chosen: str = ''


@attrs.frozen
class GroupRow:
    """The agreed state of a group.

    ``members`` are the endpoints that vote in this term: they grant write
    permission and count towards a majority. They change only with the term
    and follow the configuration of ``config_version``.
    ``forks`` holds one entry for each past term, oldest first.
    ``log_term`` is the term in the endpoints' own data if that differs from
    ``term``, and 0 if it is the same. The primary had received the log up to
    ``start``, in the term of the last entry, when this term began; None if
    this is not known.
    """

    term: int
    primary: str
    members: frozenset[str]
    forks: tuple[Fork, ...] = ()
    config_version: int = 0
    attempt: Attempt | None = None
    log_term: int = 0
    start: _types.Position | None = None

    @property
    def marker(self) -> int:
        """The term that the endpoints' data carries in this term."""
        return self.log_term or self.term

    @property
    def majority(self) -> int:
        """The number of members in a majority."""
        return len(self.members) // 2 + 1


def first_term(generation: int) -> int:
    """Return the lowest term of a generation of the table."""
    return generation * TERMS_PER_GENERATION + 1


def began_in(row: GroupRow, generation: int) -> bool:
    """Return whether a row's term began in a generation of the table.

    If the term began in an earlier generation, the table may not list all
    proxies that hold permission for it: their registrations may be lost or
    not yet renewed.
    """
    return row.term >= first_term(generation)


def next_term(row: GroupRow, generation: int) -> int:
    """Return a term greater than any term that may have begun.

    ``generation`` is the generation of the table that holds ``row``.
    """
    known = row.term if row.attempt is None else row.attempt.next_term
    return max(known + 1, first_term(generation))


class FloorProblem(enum.Enum):
    """Why a session's position can't be mapped to the current term."""

    LOST = 'lost'
    NEWER_TERM = 'newer_term'


def floor_lsn(
    row: GroupRow,
    floor: _types.Position | None,
    positions_restart: bool = False,
) -> result.Result[int, FloorProblem]:
    """Return the lowest LSN of the current term that includes ``floor``.

    A position past the fork of its own term or of a later one refers to data
    that a failover lost. With ``positions_restart``, positions restart with
    each term, and any position of this term includes the surviving data of
    former terms.
    """
    if floor is None:
        return result.Ok(0)
    if floor.term > row.term:
        return result.Err(FloorProblem.NEWER_TERM)
    if positions_restart and floor.term < row.term:
        return result.Ok(0)
    for fork in row.forks:
        if fork.term >= floor.term and floor.lsn > fork.end_lsn:
            return result.Err(FloorProblem.LOST)
    return result.Ok(floor.lsn)

"""Endpoint reports of a group that proxies share with each other.

A report occupies a slot of the endpoint, so one proxy requests it and the
others request it from that proxy. All data carries the time at which the
endpoint was asked, so that it is not treated as newer than it is.
"""

import attrs


@attrs.frozen
class MemberGrant:
    """A member that at ``at`` had promised no term above ``promised``."""

    member: str
    promised: int
    at: float


@attrs.frozen
class Evidence:
    """The grants and the primary's log position of a group in one term.

    The other proxy holds the permission of the term until ``held_until``.
    ``position`` is a lower bound of the primary's log position at
    ``position_at``, when the primary was asked; None if it is unknown. Times
    are on the clock of the process that holds this value.
    """

    term: int
    grants: tuple[MemberGrant, ...] = ()
    position: int | None = None
    position_at: float = float('-inf')
    held_until: float = float('-inf')


def shifted(evidence: Evidence, seconds: float) -> Evidence:
    """Return the evidence on a clock that is ``seconds`` ahead."""
    return attrs.evolve(
        evidence,
        grants=tuple(
            attrs.evolve(grant, at=grant.at + seconds)
            for grant in evidence.grants
        ),
        position_at=evidence.position_at + seconds,
        held_until=evidence.held_until + seconds,
    )

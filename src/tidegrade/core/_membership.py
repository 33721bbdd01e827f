"""Which endpoints vote in the next term of a group."""

from tidegrade.core import _supervision as sv


def to_come(seen: sv.Observed) -> frozenset[str]:
    """Give the members of the next term, if it began now.

    They are the endpoints that stay. One that leaves or is gone keeps its
    vote while there is nobody in its place: fewer members would bear no
    loss at all.
    """
    endpoints = frozenset(seen.cfg.endpoints)
    staying = endpoints - seen.leaving - seen.gone
    if seen.row is None:
        return staying or endpoints
    missing = len(seen.row.members) - len(staying)
    former = sorted(
        (seen.row.members & endpoints) - staying,
        key=lambda name: (name in seen.gone, name),
    )
    kept = former[: max(0, missing)]
    return staying | frozenset(kept)

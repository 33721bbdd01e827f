"""Selects the endpoints that vote in the next term of a group."""

from tidegrade.core import _supervision as sv


def next_members(seen: sv.Observed) -> frozenset[str]:
    """Return the members of the next term if it began now.

    They are the configured endpoints that are neither leaving nor gone. A
    leaving or gone member keeps its vote until another endpoint replaces it,
    because a group with fewer members could not tolerate a failure.
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

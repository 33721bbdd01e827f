"""What a group machine shows others, and takes in from other proxies."""

from tidegrade.core import _events
from tidegrade.core import _evidence
from tidegrade.core import _state


def reachable(state: _state.GroupState) -> frozenset[str]:
    """Give the endpoints that have not failed to answer."""
    return frozenset(
        name for name in state.cfg.endpoints if not state.views[name].failures
    )


def to_follow(state: _state.GroupState, now: float) -> frozenset[str]:
    """Give the replicas that may not be following the primary.

    Where a promise stops replication, those are the ones that still show
    one; elsewhere any may have lost its way. Such a promise is kept for a
    while, since taking it back ends its protection.
    """
    if state.row is None or state.row.attempt is not None:
        return frozenset()
    names = frozenset(state.cfg.endpoints) - {state.row.primary}
    if not state.settings.traits.fence_stops_replication:
        return names
    if now - state.term_since < _state.FENCE_RETENTION_S:
        return frozenset()
    reports = {name: state.views[name].report for name in names}
    return frozenset(
        name for name, seen in reports.items() if seen and seen.promised
    )


def evidence_of(state: _state.GroupState) -> _evidence.Evidence:
    """Give what was seen of the group's endpoints in this term."""
    term = state.permission.term
    grants = tuple(
        _evidence.MemberGrant(name, grant.promised, grant.sent_at)
        for name, grant in state.permission.grants().items()
    )
    newest = state.samples.newest
    if newest is None:
        return _evidence.Evidence(term, grants)
    return _evidence.Evidence(term, grants, newest.lsn, newest.at)


def take_evidence(
    state: _state.GroupState, event: _events.EvidenceReceived
) -> None:
    """Take in what another proxy saw, if it is of the same term."""
    heard = event.evidence
    known = state.row.term if state.row is not None else 0
    if heard.term > known:
        state.emit(_events.FetchRow())
    if state.row is None or heard.term != known:
        return
    state.row_confirmed(event.asked_at)
    for grant in heard.grants:
        state.permission.answered(grant.member, grant.promised, grant.at)
    if heard.position is not None:
        state.record_position(heard.position_at, heard.position)

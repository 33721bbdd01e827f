"""Group state that proxies exchange with each other."""

from tidegrade.core import _events
from tidegrade.core import _evidence
from tidegrade.core import _state


def reachable(state: _state.GroupState, now: float) -> frozenset[str]:
    """Return the endpoints without a failure since the last answer.

    An endpoint that fails callers' statements counts while it answers polls.
    Otherwise each trial statement would restart the time for which a majority
    must be reachable, and no proxy would replace a failing primary.
    """
    return frozenset(
        name for name in state.cfg.endpoints if _is_reachable(state, name, now)
    )


def _is_reachable(state: _state.GroupState, name: str, now: float) -> bool:
    view = state.views[name]
    if not view.failures:
        return True
    answered = now - view.last_answer_at < state.cfg.suspect_after_s
    return answered and state.work_health[name].is_open


def replicas_to_repair(state: _state.GroupState, now: float) -> frozenset[str]:
    """Return the replicas that may not be following the primary.

    If a promise stops replication, these are the replicas that still report
    one; otherwise any replica may follow the wrong endpoint. Such a promise
    is left in place for some time after the start of the term, since
    removing it ends the fencing. A promise of a later term belongs to an
    attempt that this proxy has not heard of yet.
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
        name
        for name, seen in reports.items()
        if seen and seen.promised and seen.promised <= state.row.term
    )


def evidence_of(state: _state.GroupState) -> _evidence.Evidence:
    """Return the evidence about the group's endpoints in this term."""
    term = state.permission.term
    grants = tuple(
        _evidence.MemberGrant(name, grant.promised, grant.sent_at)
        for name, grant in state.permission.grants().items()
    )
    held_until = float('-inf')
    if state.registered:
        held_until = state.permission.expires_at()
    newest = state.samples.newest
    if newest is None:
        return _evidence.Evidence(term, grants, held_until=held_until)
    return _evidence.Evidence(term, grants, newest.lsn, newest.at, held_until)


def apply_evidence(
    state: _state.GroupState, event: _events.EvidenceReceived, now: float
) -> None:
    """Apply the evidence of another proxy if it is of the same term."""
    evidence = event.evidence
    known = state.row.term if state.row is not None else 0
    if evidence.term > known:
        state.emit(_events.FetchRow())
    if state.row is None or evidence.term != known:
        return
    state.row_confirmed(event.asked_at)
    state.permission.peer_held(evidence.held_until)
    for grant in evidence.grants:
        state.permission.answered(
            grant.member, grant.promised, grant.at, received_at=now
        )
    if evidence.position is not None:
        state.record_position(
            evidence.position_at, evidence.position, own=False
        )

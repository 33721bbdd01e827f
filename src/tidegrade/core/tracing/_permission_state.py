"""Whether a proxy holds the permission of a term, and why it does not."""

import enum

import attrs

from tidegrade.core import _state
from tidegrade.core.permission import _permission
from tidegrade.core.permission import _promises
from tidegrade.core.tracing import _basis


class LossReason(enum.Enum):
    """Why a proxy does not hold the permission."""

    NOT_REGISTERED = 'not_registered'
    PROCESS_PAUSED = 'process_paused'
    GIVEN_UP = 'given_up'
    #: Too few members grant the term, and one has promised a later term.
    LATER_TERM = 'later_term_promised'
    #: The grants of a majority are too old.
    LAPSED = 'lapsed'


@attrs.frozen
class PermissionState:
    """The permission of a term and the answers of the members.

    ``reason`` is None if the permission is held. ``left`` is the time in
    seconds for which the grants still give it, negative if they have
    lapsed and None without a majority. ``uncounted`` are answers that may
    be those of a member that has lost a promise.
    """

    term: int
    reason: LossReason | None
    left: float | None
    grants: tuple[_basis.GrantRecord, ...]
    uncounted: tuple[_basis.GrantRecord, ...]


def granting(
    permission: _permission.Permission, now: float
) -> tuple[_basis.GrantRecord, ...]:
    """Return the grants that a permission rests on, by member."""
    records = _records(permission.grants(), now)
    return tuple(r for r in records if r.promised <= permission.term)


def state_of(state: _state.GroupState, now: float) -> PermissionState:
    """Return the state of a group's permission for the log."""
    permission = state.permission
    until = permission.exclusive_until()
    return PermissionState(
        term=permission.term,
        reason=_loss_reason(state, now),
        left=None if until == float('-inf') else until - now,
        grants=_records(permission.grants(), now),
        uncounted=_records(permission.uncounted(), now),
    )


def _loss_reason(state: _state.GroupState, now: float) -> LossReason | None:
    permission = state.permission
    if state.may_acknowledge(now):
        return None
    if state.paused_at is not None:
        return LossReason.PROCESS_PAUSED
    if not state.registered:
        return LossReason.NOT_REGISTERED
    if permission.given_up:
        return LossReason.GIVEN_UP
    answers = permission.grants().values()
    if any(answer.promised > permission.term for answer in answers):
        return LossReason.LATER_TERM
    return LossReason.LAPSED


def _records(
    answers: dict[str, _promises.Grant], now: float
) -> tuple[_basis.GrantRecord, ...]:
    # A grant of a peer's poll carries no start of the member's life.
    return tuple(
        _basis.GrantRecord(
            name,
            now - answer.sent_at,
            answer.life_since != float('-inf'),
            answer.promised,
        )
        for name, answer in sorted(answers.items())
    )

"""The requests that are not answered, and the final answer to each."""

import attrs

from tidegrade.core import _events
from tidegrade.core import _pending
from tidegrade.core import _shares
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core.tracing import _permission_state
from tidegrade.core.waiting import _queue

#: Retry hint for callers while a group has no primary, in seconds.
NO_PRIMARY_RETRY_S = 0.5

#: Errors that a later retry can't avoid; they carry no retry hint.
NON_RETRYABLE_CODES = frozenset(
    {
        _types.Code.STATEMENT_FAILED,
        _types.Code.RESULT_TOO_LARGE,
        _types.Code.KEY_REUSED,
        _types.Code.TXN_UNKNOWN,
        _types.Code.HISTORY_LOST,
    }
)


class Registry:
    """Holds requests by id from their arrival until they are answered."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state
        self._open: dict[int, _pending.Pending] = {}
        self.service = _queue.ServiceTime()

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, req: _types.Request, now: float) -> _pending.Pending:
        """Register a request; its id must be new."""
        _types.invariant(req.id not in self._open, 'request id already in use')
        pending = _pending.Pending(req, arrived=now)
        self._open[req.id] = pending
        return pending

    def get(self, req_id: int) -> _pending.Pending | None:
        """Return an unanswered request, or None if there is none."""
        return self._open.get(req_id)

    def is_unanswered(self, pending: _pending.Pending) -> bool:
        """Return whether a request has not been answered."""
        return pending.req.id in self._open

    def unanswered(self) -> list[_pending.Pending]:
        """Return all unanswered requests."""
        return list(self._open.values())

    def overdue(self, now: float) -> list[_pending.Pending]:
        """Return the requests past their ``deadline`` or ``place_by``."""
        return [
            p
            for p in self._open.values()
            if p.req.deadline <= now or (not p.tries and p.req.place_by <= now)
        ]

    def unservable(self, now: float) -> list[_pending.Pending]:
        """Return requests that can't use the primary within their limits.

        The time at which the permission and a working primary are expected
        is later than their ``deadline`` or ``place_by``.
        """
        state = self._state
        if state.can_use_primary(now):
            return []
        expected = state.recovery.recovery_expected_at(now)
        return [
            p
            for p in self._open.values()
            if p.needs_permission
            and not p.sent_to
            and not p.commit_sent
            and expected > min(p.req.deadline, p.req.place_by)
        ]

    def answer(self, pending: _pending.Pending, answer: _types.Answer) -> None:
        """Send the final answer; a second one violates an invariant."""
        _types.invariant(
            self.is_unanswered(pending), 'request was already answered'
        )
        _types.invariant(
            answer.outcome is not _types.Outcome.NOT_RUN
            or not pending.commit_sent,
            'request that may have committed was answered as not_run',
        )
        del self._open[pending.req.id]
        traced = attrs.evolve(answer, trace=self._trace(pending))
        self._state.emit(_events.Reply(pending.req.id, traced))

    def _trace(self, pending: _pending.Pending) -> _types.Trace:
        row = self._state.row
        until = self._state.permission.expires_at()
        left = None
        if until != float('-inf'):
            left = until - self._state.now
        grants = pending.grants
        if pending.commit_sent:
            grants = _permission_state.granting(
                self._state.permission, self._state.now
            )
        report = pending.report
        return _types.Trace(
            term=row.term if row is not None else 0,
            tries=pending.tries,
            misses=pending.misses,
            sent_to=pending.last_sent_to,
            after=pending.after,
            permission_left=left,
            after_term=pending.after_term,
            after_age=self._after_age(pending),
            to_primary=pending.to_primary,
            basis=pending.basis,
            reported=_reported(report),
            repeated=report is not None and report.repeats_position,
            commit=_commit(pending),
            grants=grants,
        )

    @staticmethod
    def _after_age(pending: _pending.Pending) -> float | None:
        if pending.after_term is None or pending.after_at is None:
            return None
        return pending.arrived - pending.after_at

    def refuse(
        self,
        pending: _pending.Pending,
        code: _types.Code,
        detail: str = '',
        ahead: int = 0,
    ) -> None:
        """Answer with an error: not run, or unknown if it may have run.

        ``ahead`` is the number of requests that wait before this one.
        """
        outcome = _types.Outcome.NOT_RUN
        if pending.commit_sent:
            outcome = _types.Outcome.UNKNOWN
        self.answer(
            pending,
            _types.Answer(
                outcome,
                code=code,
                detail=detail,
                retry_after=self._retry_after(pending, code, ahead),
            ),
        )

    def answer_unknown(
        self,
        pending: _pending.Pending,
        code: _types.Code,
        detail: str = '',
    ) -> None:
        """Answer that it is unknown whether the request took effect."""
        pending.commit_sent = True
        self.refuse(pending, code, detail)

    def _retry_after(
        self, pending: _pending.Pending, code: _types.Code, ahead: int
    ) -> float | None:
        if code in NON_RETRYABLE_CODES:
            return None
        state = self._state
        if pending.needs_permission and not state.can_use_primary(state.now):
            return state.recovery.retry_after_s(
                pending.req.priority, state.now, state.rng
            )
        if code is _types.Code.NO_PRIMARY:
            return NO_PRIMARY_RETRY_S
        return self.service.retry_after(ahead, self.width())

    def should_grow(self, pending: _pending.Pending, now: float) -> bool:
        """Return whether a request has waited long enough for more width.

        Width is the number of connections that serve the group.
        """
        return _shares.should_grow(
            waited=now - pending.arrived,
            service=self.service.mean,
            age=now - self._state.recovery.first_observed_at,
        )

    def width(self) -> int:
        """Return the number of connections that may serve this group."""
        names = self._state.cfg.endpoints
        return sum(self._state.pool.share(name).limit for name in names)


def _reported(
    report: _types.EndpointReport | None,
) -> _types.Position | None:
    """Return the position in a report, in the term of the endpoint."""
    if report is None:
        return None
    return report.stated_applied or _types.Position(report.marker, report.lsn)


def _commit(pending: _pending.Pending) -> _types.Position | None:
    """Return the position of a commit, None if it is not known."""
    if not pending.confirm_term:
        return None
    return _types.Position(pending.confirm_term, pending.confirm_lsn)

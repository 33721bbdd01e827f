"""The unanswered requests, and the one final answer of each."""

import attrs

from tidegrade.core import _events
from tidegrade.core import _pending
from tidegrade.core import _queue
from tidegrade.core import _shares
from tidegrade.core import _state
from tidegrade.core import _types

#: When to come back while a group has no primary, in seconds.
NO_PRIMARY_RETRY = 0.5

#: Refusals that coming back later can't mend.
FINAL_CODES = frozenset(
    {
        _types.Code.STATEMENT_FAILED,
        _types.Code.RESULT_TOO_LARGE,
        _types.Code.KEY_REUSED,
        _types.Code.TXN_UNKNOWN,
        _types.Code.HISTORY_LOST,
    }
)


class Registry:
    """Requests by id from their arrival to their answer."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state
        self._open: dict[int, _pending.Pending] = {}
        self.service = _queue.ServiceTime()

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, req: _types.Request, now: float) -> _pending.Pending:
        """Take in a request; its id must be new."""
        _types.invariant(req.id not in self._open, 'a request id came twice')
        pending = _pending.Pending(req, arrived=now)
        self._open[req.id] = pending
        return pending

    def get(self, req_id: int) -> _pending.Pending | None:
        """Give a request that has no answer yet."""
        return self._open.get(req_id)

    def unanswered(self, pending: _pending.Pending) -> bool:
        """Tell whether a request still waits for its answer."""
        return pending.req.id in self._open

    def overdue(self, now: float) -> list[_pending.Pending]:
        """Give the requests that must not wait any longer."""
        return [
            p
            for p in self._open.values()
            if p.req.deadline <= now or (not p.tries and p.req.place_by <= now)
        ]

    def without_prospect(self, now: float) -> list[_pending.Pending]:
        """Give the requests that the permission will come too late for."""
        state = self._state
        if state.may_acknowledge(now):
            return []
        expected = state.outlook.recovery_expected_at(now)
        return [
            p
            for p in self._open.values()
            if p.needs_permission
            and not p.sent_to
            and not p.commit_sent
            and expected > min(p.req.deadline, p.req.place_by)
        ]

    def answer(self, pending: _pending.Pending, answer: _types.Answer) -> None:
        """Give the final answer; a second one breaks an invariant."""
        _types.invariant(
            self.unanswered(pending), 'a request was answered twice'
        )
        _types.invariant(
            answer.outcome is not _types.Outcome.NOT_RUN
            or not pending.commit_sent,
            'not_run was said of a request that may have committed',
        )
        del self._open[pending.req.id]
        traced = attrs.evolve(answer, trace=self._trace(pending))
        self._state.order(_events.Reply(pending.req.id, traced))

    def _trace(self, pending: _pending.Pending) -> _types.Trace:
        row = self._state.row
        until = self._state.permission.expires_at()
        left = None
        if until != float('-inf'):
            left = until - self._state.now
        return _types.Trace(
            term=row.term if row is not None else 0,
            tries=pending.tries,
            misses=pending.misses,
            sent_to=pending.last_sent_to,
            after=pending.after,
            permission_left=left,
        )

    def refuse(
        self,
        pending: _pending.Pending,
        code: _types.Code,
        detail: str = '',
        ahead: int = 0,
    ) -> None:
        """Give up on a request: not run, or unknown if it may have."""
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

    def unknown(
        self,
        pending: _pending.Pending,
        code: _types.Code,
        detail: str = '',
    ) -> None:
        """Say that nobody can tell whether the request took effect."""
        pending.commit_sent = True
        self.refuse(pending, code, detail)

    def _retry_after(
        self, pending: _pending.Pending, code: _types.Code, ahead: int
    ) -> float | None:
        if code in FINAL_CODES:
            return None
        state = self._state
        if pending.needs_permission and not state.may_acknowledge(state.now):
            return state.outlook.retry_after_s(
                pending.req.priority, state.now, state.rng
            )
        if code is _types.Code.NO_PRIMARY:
            return NO_PRIMARY_RETRY
        return self.service.retry_after(ahead, self.width())

    def should_grow(self, pending: _pending.Pending, now: float) -> bool:
        """Tell whether a request has waited long enough for more width."""
        return _shares.should_grow(
            waited=now - pending.arrived,
            service=self.service.mean,
            age=now - self._state.outlook.first_observed_at,
        )

    def width(self) -> int:
        """Give the number of connections that serve this group."""
        names = self._state.cfg.endpoints
        return sum(self._state.pool.share(name).limit for name in names)

"""What a read asks of the data: which position, or how young.

Where endpoints check positions themselves, an age is turned into a position
that the primary showed early enough, at a moment when nobody else led.
"""

import attrs

from tidegrade.core import _pending
from tidegrade.core import _routing
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core import _view

#: Less than every position: any replica has it.
ANY_LSN = -1


class Needs:
    """Works out the needs of one group's reads."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    @property
    def _checked(self) -> bool:
        """Tell whether endpoints check the position of a read themselves."""
        return self._state.settings.traits.checks_position

    def of(
        self, pending: _pending.Pending, lsn: int, now: float
    ) -> _routing.ReadNeed:
        """Give the need of a read whose session has seen ``lsn``."""
        if self._checked and pending.req.max_age:
            return self._checked_need(pending, lsn, pending.req.max_age)
        reached: float | None = now
        if lsn:
            reached = self._reached_at(pending, lsn)
        return self._need_of(pending, lsn, reached, pending.req.max_age)

    def _reached_at(self, pending: _pending.Pending, lsn: int) -> float:
        reached = self._state.samples.reached_at(lsn)
        if reached is None:
            # Newer than every poll: it came with the request, at the latest.
            return pending.arrived
        return reached

    def _checked_need(
        self, pending: _pending.Pending, lsn: int, max_age: float
    ) -> _routing.ReadNeed:
        """Give the need of a read whose endpoint checks its position."""
        oldest = pending.arrived - max_age
        former = self._former(pending, oldest)
        if former is not None:
            return attrs.evolve(
                self._need_of(pending, ANY_LSN, former.at, None),
                after=self._in_former_term(former, pending.req.floor),
            )
        dated = self._dated(oldest)
        if dated is None:
            reached = self._reached_at(pending, lsn)
            return self._need_of(pending, lsn, reached, 0.0)
        reached = dated.at
        if lsn > dated.lsn:
            reached = min(reached, self._reached_at(pending, lsn))
        return self._need_of(pending, max(lsn, dated.lsn), reached, None)

    def _former(
        self, pending: _pending.Pending, oldest: float
    ) -> _view.FormerPosition | None:
        """Give a position of a former term that is young enough.

        Replicas that a change of primary has fenced still have it. If one
        lacks it, that change may have lost it for good.
        """
        former, row = self._state.former, self._state.row
        if former is None or row is None or former.at < oldest:
            return None
        if pending.misses or not self._state.registered:
            return None
        floor = pending.req.floor
        if floor is not None and floor.term > former.position.term:
            return None
        return former

    @staticmethod
    def _in_former_term(
        former: _view.FormerPosition, floor: _types.Position | None
    ) -> _types.Position:
        """Give the position that covers the session as well."""
        lsn = former.position.lsn
        if floor is not None and floor.term == former.position.term:
            lsn = max(lsn, floor.lsn)
        return _types.Position(former.marker, lsn)

    def _need_of(
        self,
        pending: _pending.Pending,
        lsn: int,
        reached: float | None,
        max_age: float | None,
    ) -> _routing.ReadNeed:
        """Give a need; where endpoints check positions, ``lsn`` is asked."""
        after = None
        row = self._state.row
        if self._checked and max_age is None and row is not None:
            after = _types.Position(row.marker, lsn)
        return _routing.ReadNeed(
            lsn=lsn,
            reached_at=reached,
            max_age=max_age,
            arrived=pending.arrived,
            deadline=pending.req.deadline,
            misses=pending.misses,
            max_wait=pending.req.replica_wait,
            after=after,
        )

    def _dated(self, at: float) -> _view.Sample | None:
        """Give a position that holds all that was acknowledged by ``at``.

        The primary showed it when asked at ``at`` or later, and nobody
        else could lead at that moment.
        """
        if not self._state.registered:
            # Nobody waits for this proxy before another endpoint leads.
            return None
        sample = self._state.samples.oldest_since(at)
        covered = self._state.permission.covered_until()
        if sample is None or sample.at > covered:
            return None
        return sample

"""The position or maximum age that a read requires of the data.

Where endpoints check positions themselves, a maximum age is translated into a
position that the primary reported recently enough, at a time when no other
endpoint could be the primary.
"""

import attrs

from tidegrade.core import _pending
from tidegrade.core import _routing
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core import _view
from tidegrade.core.tracing import _basis

#: A position less than every other, which every replica has applied.
ANY_LSN = -1


class Needs:
    """Derives the needs of one group's reads."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state

    @property
    def _checked(self) -> bool:
        """Whether endpoints check the position of a read themselves."""
        return self._state.settings.traits.checks_position

    def need_of(
        self, pending: _pending.Pending, lsn: int, now: float
    ) -> _routing.ReadNeed:
        """Return the need of a read whose session has seen ``lsn``."""
        if self._checked and pending.req.max_age:
            return self._checked_need(pending, lsn, pending.req.max_age)
        reached_at: float | None = now
        if lsn:
            reached_at = self._reached_at(pending, lsn)
        return self._make_need(pending, lsn, reached_at, pending.req.max_age)

    def _reached_at(self, pending: _pending.Pending, lsn: int) -> float:
        reached_at = self._state.samples.reached_at(lsn)
        if reached_at is None:
            # The position is newer than every poll. The primary reached it
            # before the request that names it arrived.
            return pending.arrived
        return reached_at

    def _checked_need(
        self, pending: _pending.Pending, lsn: int, max_age: float
    ) -> _routing.ReadNeed:
        """Return the need of a read with a maximum age as a position."""
        oldest = pending.arrived - max_age
        former = self._recent_former(pending, oldest)
        if former is not None:
            return attrs.evolve(
                self._make_need(pending, ANY_LSN, former.at, None),
                after=self._position_in_former_term(former, pending.req.floor),
                basis=_basis.ReadBasis.FORMER_TERM,
            )
        dated = self._dated_sample(oldest)
        if dated is None:
            reached_at = self._reached_at(pending, lsn)
            return self._make_need(pending, lsn, reached_at, 0.0)
        reached_at = dated.at
        basis = _basis.ReadBasis.PEER_SAMPLE
        if dated.own:
            basis = _basis.ReadBasis.OWN_SAMPLE
        if lsn > dated.lsn:
            reached_at = min(reached_at, self._reached_at(pending, lsn))
            basis = _basis.ReadBasis.SESSION
        return self._make_need(
            pending, max(lsn, dated.lsn), reached_at, None, basis
        )

    def _recent_former(
        self, pending: _pending.Pending, oldest: float
    ) -> _view.FormerPosition | None:
        """Return a former term's position that is recent enough, if any.

        Replicas that a failover has fenced still have that position, so
        they can serve the read before the new primary does. After a miss it
        is not used again, since the failover may have lost it for good.
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
    def _position_in_former_term(
        former: _view.FormerPosition, floor: _types.Position | None
    ) -> _types.Position:
        """Return the position that also covers the session's floor."""
        lsn = former.position.lsn
        if floor is not None and floor.term == former.position.term:
            lsn = max(lsn, floor.lsn)
        return _types.Position(former.marker, lsn)

    def _make_need(
        self,
        pending: _pending.Pending,
        lsn: int,
        reached_at: float | None,
        max_age: float | None,
        basis: _basis.ReadBasis = _basis.ReadBasis.SESSION,
    ) -> _routing.ReadNeed:
        """Return a need with the state of the request.

        Where endpoints check positions, they are asked for ``lsn``. Without
        an ``lsn`` the need has no basis.
        """
        after = None
        row = self._state.row
        if self._checked and max_age is None and row is not None:
            after = _types.Position(row.marker, lsn)
        return _routing.ReadNeed(
            lsn=lsn,
            reached_at=reached_at,
            max_age=max_age,
            arrived=pending.arrived,
            deadline=pending.req.deadline,
            misses=pending.misses,
            max_wait=pending.req.replica_wait,
            after=after,
            basis=basis if lsn else _basis.ReadBasis.NONE,
        )

    def _dated_sample(self, at: float) -> _view.Sample | None:
        """Return a position that covers all writes acknowledged by ``at``.

        The primary reported the position to a poll sent at ``at`` or later,
        when no other endpoint could be the primary.
        """
        if not self._state.registered:
            # A failover doesn't wait for a proxy that is not registered, so
            # another endpoint may already be the primary.
            return None
        sample = self._state.samples.oldest_since(at)
        covered = self._state.permission.exclusive_until()
        if sample is None or sample.at > covered:
            return None
        return sample

"""Committed writes that wait for replication to a majority."""

from tidegrade import config
from tidegrade.core import _pending
from tidegrade.core import _state


class Confirmations:
    """The writes committed on the primary and not yet acknowledged."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state
        self._waiting: list[_pending.Pending] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, pending: _pending.Pending, lsn: int, term: int) -> None:
        """Add a committed write that waits for ``lsn`` of ``term``."""
        pending.confirm_lsn = lsn
        pending.confirm_term = term
        self._waiting.append(pending)

    def discard(self, pending: _pending.Pending) -> None:
        """Remove a write that has been answered for another reason."""
        if pending in self._waiting:
            self._waiting.remove(pending)

    def take_confirmed(self) -> list[_pending.Pending]:
        """Remove and return the writes that a majority now holds."""
        if not self._waiting:
            return []
        held = self.held_lsn()
        ready = [p for p in self._waiting if p.confirm_lsn <= held]
        if ready:
            self._waiting = [p for p in self._waiting if p not in ready]
        return ready

    def take_before(self, term: int) -> list[_pending.Pending]:
        """Remove and return the writes of terms before ``term``."""
        old = [p for p in self._waiting if p.confirm_term < term]
        self._waiting = [p for p in self._waiting if p not in old]
        return old

    def held_lsn(self) -> int:
        """Return the highest LSN that a majority of the group holds.

        The primary counts as holding everything that it has committed. A
        replica counts only if its data carries the marker of the current
        term. The result is -1 if too few replicas are known.
        """
        state = self._state
        if state.cfg.acknowledge is config.Acknowledge.PRIMARY:
            return _MAX_LSN
        needed = self._replicas_needed()
        if needed == 0:
            return _MAX_LSN
        held = sorted(
            (self._received(name) for name in self._replicas()),
            reverse=True,
        )
        return held[needed - 1] if len(held) >= needed else -1

    def lagging_replicas(self) -> list[str]:
        """Return the replicas not known to hold the oldest waiting write."""
        if not self._waiting:
            return []
        first = min(p.confirm_lsn for p in self._waiting)
        return [n for n in self._replicas() if self._received(n) < first]

    def _replicas_needed(self) -> int:
        """Return how many replicas form a majority with the primary."""
        row = self._state.row
        return row.majority - 1 if row is not None else 1

    def _replicas(self) -> list[str]:
        row = self._state.row
        if row is None:
            return []
        others = row.members - {row.primary}
        return [n for n in sorted(others) if n in self._state.views]

    def _received(self, name: str) -> int:
        report = self._state.views[name].report
        if report is None or not self._state.has_current_term(name):
            return -1
        return report.received_lsn


#: Greater than any LSN of a log.
_MAX_LSN = 2**64

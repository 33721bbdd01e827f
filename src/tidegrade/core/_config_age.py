"""Age of a proxy's configuration: when it was last known to be the newest.

A few proxies read the configuration for all. They may stop reading, all at
once or undetected, or their updates may not arrive, while the other proxies
rely on them. So each proxy states in its heartbeat up to which time it knows
that no newer configuration was accepted: a reader knows it from its own
reading, any other proxy from the heartbeats of proxies with the same version.
A proxy whose configuration has not been confirmed for too long reads it from
the platform itself.
"""

import attrs

#: Part of the time within which a configuration must be in force, after
#: which a proxy reads it itself if a newer version that it knows of has not
#: arrived: fetching it from a peer normally takes a tenth of that time.
PENDING_READ_PART = 0.3
#: The same for the proxies next in rank to the readers, if the version in
#: force has not been confirmed. A confirmation from a peer is up to 0.4 of
#: that time old, since a reading may be delayed for so long, and half a
#: second older for each heartbeat on the way.
EARLY_READ_PART = 0.65
#: The same for all other proxies; it leaves a fifth for the reading itself.
LATE_READ_PART = 0.8
#: Bounds of the backoff before an unsuccessful reading is repeated, in
#: seconds; it doubles with each repetition.
MIN_READ_BACKOFF_S = 0.5
MAX_READ_BACKOFF_S = 4.0
#: Highest number of versions that are remembered before they are in force;
#: there are more only while none is adopted, and then the newest are kept.
MAX_PENDING = 32


@attrs.define
class _Pending:
    """A version that is not in force here yet; times in seconds.

    ``announced_at`` is when this proxy first learned that it exists,
    ``newest_at`` when it was last known to be the newest.
    """

    announced_at: float
    newest_at: float


@attrs.define
class ConfigAge:
    """Tracks the newest known configuration; times in seconds.

    A configuration must be in force on every proxy ``within`` seconds of its
    acceptance. ``version`` is the one in force here; 0 if there is none.
    """

    within: float
    version: int = 0
    _confirmed_at: float = float('-inf')
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _not_before: float = float('-inf')
    _backoff_s: float = MIN_READ_BACKOFF_S

    def note_newest(self, version: int, at: float, now: float) -> None:
        """Record that ``version`` was the newest one at time ``at``."""
        if version < self.version:
            return
        if version == self.version:
            self._confirm(at)
            return
        known = self._pending.setdefault(version, _Pending(now, at))
        known.newest_at = max(known.newest_at, at)
        if len(self._pending) > MAX_PENDING:
            del self._pending[min(self._pending)]

    def adopted(self, version: int) -> None:
        """Record that ``version`` is in force here, if it is newer."""
        if version <= self.version:
            return
        self.version = version
        for pending in [v for v in self._pending if v <= version]:
            self._confirm(self._pending.pop(pending).newest_at)

    def age(self, now: float) -> float | None:
        """Return the time since the version in force was confirmed as newest.

        None if that never happened.
        """
        if self._confirmed_at == float('-inf'):
            return None
        return max(0.0, now - self._confirmed_at)

    def should_read(self, early: bool, now: float) -> bool:
        """Return whether this proxy should read from the platform itself.

        ``early`` means that it is among the first proxies that should. Each
        True starts a backoff, during which the result is False.
        """
        if not self.version or now < self._not_before:
            return False
        part = EARLY_READ_PART if early else LATE_READ_PART
        unconfirmed = now - self._confirmed_at > part * self.within
        announced_at = min(
            (p.announced_at for p in self._pending.values()), default=now
        )
        outdated = now - announced_at > PENDING_READ_PART * self.within
        if not unconfirmed and not outdated:
            return False
        self._not_before = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_READ_BACKOFF_S)
        return True

    def _confirm(self, at: float) -> None:
        if at > self._confirmed_at:
            self._confirmed_at = at
            self._backoff_s = MIN_READ_BACKOFF_S

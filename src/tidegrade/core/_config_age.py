"""How long ago a proxy's configuration was known to be the newest.

A few proxies read the configuration for all. The load pattern that this
answers: those few stop reading, all at once or unnoticed, or what they have
does not come over, while everybody else trusts in them. So each proxy tells,
with its heartbeat, up to when it knows that nothing newer was accepted:
whoever reads knows it from the reading, the others from those that have the
same version. Who can't show it for too long reads for itself.
"""

import attrs

#: Part of the time in which a configuration must be in force after which a
#: proxy reads for itself, if the newest it heard of has not come: the
#: questions to others take a tenth of it when all is well.
NEWER_FOR = 0.3
#: The same for the next in turn to watch, when nothing was shown. What is
#: known from others is up to 0.4 of that time old, for a reading may be held
#: back so long, and half a second for each heartbeat on the way.
EARLY = 0.65
#: The same for everybody else; it leaves a fifth for the reading itself.
LATE = 0.8
#: Pause before a reading is repeated that showed nothing, in seconds; each
#: is twice as long as the one before, up to the longest.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0
#: Versions heard of and not in force yet that are remembered; more come
#: only while none is adopted, and the newest are the ones that count.
MAX_PENDING = 32


@attrs.define
class _Pending:
    """A version that is not in force here; times in seconds.

    ``heard_at`` is when it was heard of first, ``newest_at`` when it was
    last known to be the newest.
    """

    heard_at: float
    newest_at: float


@attrs.define
class ConfigAge:
    """Follows what is known of the newest configuration; times in seconds.

    It must be in force everywhere ``within`` seconds from its acceptance.
    """

    within: float
    version: int = 0
    _seen_at: float = float('-inf')
    _pending: dict[int, _Pending] = attrs.field(factory=dict)
    _not_before: float = float('-inf')
    _pause: float = FIRST_PAUSE

    def told(self, version: int, at: float, now: float) -> None:
        """Take in that ``version`` was the newest one at ``at``."""
        if version < self.version:
            return
        if version == self.version:
            self._note_seen(at)
            return
        known = self._pending.setdefault(version, _Pending(now, at))
        known.newest_at = max(known.newest_at, at)
        if len(self._pending) > MAX_PENDING:
            del self._pending[min(self._pending)]

    def adopted(self, version: int) -> None:
        """Note that a newer version is in force here."""
        if version <= self.version:
            return
        self.version = version
        for pending in [v for v in self._pending if v <= version]:
            self._note_seen(self._pending.pop(pending).newest_at)

    def age(self, now: float) -> float | None:
        """Give how long ago this one was the newest; None if not known."""
        if self._seen_at == float('-inf'):
            return None
        return max(0.0, now - self._seen_at)

    def must_read(self, early: bool, now: float) -> bool:
        """Tell whether this proxy should read the platform itself.

        ``early`` says that it is among the first who should. Each time it
        is told to, the next one is put off.
        """
        if not self.version or now < self._not_before:
            return False
        part = EARLY if early else LATE
        unseen = now - self._seen_at > part * self.within
        heard_at = min(
            (p.heard_at for p in self._pending.values()), default=now
        )
        lacking = now - heard_at > NEWER_FOR * self.within
        if not unseen and not lacking:
            return False
        self._not_before = now + self._pause
        self._pause = min(2 * self._pause, LONGEST_PAUSE)
        return True

    def _note_seen(self, at: float) -> None:
        if at > self._seen_at:
            self._seen_at = at
            self._pause = FIRST_PAUSE

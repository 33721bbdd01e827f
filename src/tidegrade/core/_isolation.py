"""When a failure domain counts as cut off, and its callers should go.

The load pattern: a domain is cut off from the others, from the platform
and from most endpoints, and its callers still reach its proxies. Nearly
all that they ask is refused until they connect to another domain, which
the balancer has them do once no proxy of this one is ready.
"""

import attrs

#: Shortest silence of every proxy outside after which the domain counts as
#: cut off, in seconds. Each sends a heartbeat every 0.5 s, so this is longer
#: than the pause between two of one proxy, and its loss alone costs nothing:
#: the balancer goes by two looks, a second apart.
SILENCE = 0.65
#: Where heartbeats come through relays the pauses are longer: a silence
#: counts from this many times the longest pause of late.
PAUSES = 1.5
#: Longest pause that is taken for a usual one, in seconds: a relay passes
#: heartbeats on each half second, and two may follow one another.
LONGEST_PAUSE = 1.1
#: Time in which the memory of a pause loses half of its length, in seconds.
PAUSE_HALF_LIFE = 10.0
#: Silence after which a permission that is still held shows that the
#: others have died and this domain must serve, in seconds: longer than a
#: permission lasts without a majority.
SURE = 1.1
#: Shortest time in which the balancer can notice, in seconds; callers who
#: are sent away earlier come back to the same domain.
NOTICED_AFTER = 1.0
#: Longest time in which it notices, in seconds: two looks and their delay.
SURELY_NOTICED_AFTER = 2.2


@attrs.define
class Isolation:
    """Follows whether this domain is cut off; times in seconds."""

    since: float | None = None
    #: Time since another domain was heard, at the last look.
    silence: float = 0.0
    _heard_at: float = float('-inf')
    _pause: float = 0.0
    _looked_at: float = float('-inf')

    @property
    def cut_off(self) -> bool:
        """Tell whether the domain counts as cut off."""
        return self.since is not None

    @property
    def usual_silence(self) -> float:
        """Give the silence that is no sign of a cut."""
        return max(SILENCE, PAUSES * self._pause)

    def observe(
        self, heard_at: float | None, permitted: bool, now: float
    ) -> bool:
        """Judge how things stand; tell whether the judgement has changed.

        ``heard_at`` is when there was last news of another domain, None if
        there never was any. ``permitted`` says that the permission of some
        group is held.
        """
        before = self.cut_off
        self._note_pause(heard_at, now)
        if not self._is_cut_off(heard_at, permitted, now):
            self.since = None
        elif self.since is None:
            self.since = now
        return self.cut_off != before

    def refused_should_go(self, now: float) -> bool:
        """Tell whether to close a session whose request was refused.

        Its caller expects nothing at that moment, so no request meets the
        closing on its way, as it would in a session that rests.
        """
        return self.since is not None and now - self.since >= NOTICED_AFTER

    def all_should_go(self, now: float) -> bool:
        """Tell whether to close the sessions at rest as well."""
        if self.since is None:
            return False
        return now - self.since >= SURELY_NOTICED_AFTER

    def _is_cut_off(
        self, heard_at: float | None, permitted: bool, now: float
    ) -> bool:
        if heard_at is None:
            return False
        self.silence = now - heard_at
        if self.silence < self.usual_silence:
            return False
        return not permitted or self.silence < SURE

    def _note_pause(self, heard_at: float | None, now: float) -> None:
        """Learn how long it usually takes until somebody is heard again."""
        passed = min(now - self._looked_at, PAUSE_HALF_LIFE)
        self._pause *= 0.5 ** (passed / PAUSE_HALF_LIFE)
        if heard_at is not None and heard_at > self._heard_at:
            pause = now - self._heard_at
            if pause <= LONGEST_PAUSE:
                self._pause = max(self._pause, pause)
            self._heard_at = heard_at
        self._looked_at = now

"""When a failure domain counts as cut off, and its callers should go.

The load pattern: a domain is cut off from the others, from the platform
and from most endpoints, and its callers still reach its proxies. Nearly
all that they ask is refused until they connect to another domain, which
the balancer has them do once no proxy of this one is ready.
"""

import attrs

#: Silence of every proxy outside after which the domain counts as cut off,
#: in seconds. Each sends a heartbeat every 0.5 s, so this is longer than
#: the pause between two of one proxy, and its loss alone costs nothing:
#: the balancer goes by two looks, a second apart.
SILENCE = 0.65
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

    @property
    def cut_off(self) -> bool:
        """Tell whether the domain counts as cut off."""
        return self.since is not None

    def observe(
        self, heard_at: float | None, permitted: bool, now: float
    ) -> bool:
        """Judge how things stand; tell whether the judgement has changed.

        ``heard_at`` is when a proxy of another domain was last heard, None
        if there never was one. ``permitted`` says that the permission of
        some group is held.
        """
        before = self.cut_off
        if not _is_cut_off(heard_at, permitted, now):
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


def _is_cut_off(heard_at: float | None, permitted: bool, now: float) -> bool:
    if heard_at is None or now - heard_at < SILENCE:
        return False
    return not permitted or now - heard_at < SURE

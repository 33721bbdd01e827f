"""Estimates when requests that need write permission can be served again.

When a failure domain is isolated or a primary fails, requests cannot be
served for seconds while their arrival rate stays the same. If they were
queued until their deadline, most would still be refused, and their callers
could not try another domain in the meantime. A request is therefore refused
on arrival if the estimated recovery is after its deadline, and the answer
says when to retry.
"""

import random

import attrs
from tidegrade.core.permission import _permission


#: Assumed length of a change of primary, in seconds, until one has been
#: observed: the permissions of unreachable proxies expire, then an endpoint is
#: promoted, which takes up to 0.66 s.
INITIAL_CHANGE_S = _permission.PERMISSION_WAIT + 0.66
#: Weight of the newest change in the smoothed mean length of changes.
CHANGE_SMOOTHING = 0.3
#: Bounds of the retry time sent to a refused caller, in seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
#: Callers of routes with this priority or a lower number retry in the first
#: half of the interval over which retries are spread.
URGENT_PRIORITY = 1


@attrs.define
class RecoveryEstimate:
    """Estimates when the permission will be held again; times in seconds.

    An outage of unknown cause is expected to last as long again as it has
    lasted so far. An outage during a change of primary is expected to end
    when the change has taken its mean length. While this proxy is isolated
    from all other failure domains, no recovery time can be estimated;
    callers can use other domains.
    """

    first_observed_at: float = float('inf')
    outage_reset_at: float = float('-inf')
    change_began_at: float | None = None
    mean_change_s: float = INITIAL_CHANGE_S
    cut_off: bool = False

    def observe(self, permitted: bool, now: float) -> None:
        """Record whether the permission is held at ``now``."""
        self.first_observed_at = min(self.first_observed_at, now)
        if permitted:
            self.outage_reset_at = now

    def reset_outage(self, now: float) -> None:
        """Measure the outage from ``now`` on.

        Called when a term has begun, this process has resumed after a pause,
        or the domain is connected again. Recovery may follow at once, and
        the length of the outage before that predicts nothing.
        """
        self.outage_reset_at = now

    def change_began(self, now: float) -> None:
        """Record that a change of primary has begun."""
        if self.change_began_at is None:
            self.change_began_at = now

    def change_ended(self, now: float) -> None:
        """Record that the next term has begun or the change was abandoned."""
        if self.change_began_at is None:
            return
        took = now - self.change_began_at
        self.mean_change_s += CHANGE_SMOOTHING * (took - self.mean_change_s)
        self.change_began_at = None

    def recovery_expected_at(self, now: float) -> float:
        """Return the time at which requests can probably be served again.

        It is infinity while this proxy is isolated.
        """
        if self.cut_off:
            return float('inf')
        if self.change_began_at is not None:
            return max(now, self.change_began_at + self.mean_change_s)
        return now + self._outage_length(now)

    def retry_after_s(
        self, priority: int, now: float, rng: random.Random
    ) -> float:
        """Return the time after which a refused caller may retry, in seconds.

        Retries are spread from the expected wait up to twice that wait, so
        that they don't all arrive at once; urgent callers retry in the first
        half of that interval.
        """
        wait = min(self.recovery_expected_at(now) - now, MAX_RETRY_AFTER_S)
        if self.cut_off:
            # Another domain can serve the caller at once.
            wait = 0.0
        wait = max(wait, MIN_RETRY_AFTER_S)
        offset = 0.0 if priority <= URGENT_PRIORITY else 0.5
        return min(wait * (1 + offset + rng.random() / 2), MAX_RETRY_AFTER_S)

    def _outage_length(self, now: float) -> float:
        """Return the length of the current outage, in seconds."""
        return now - max(self.outage_reset_at, self.first_observed_at)

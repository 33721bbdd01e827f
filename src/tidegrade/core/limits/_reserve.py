"""Part of a bucket that is kept for more urgent operations."""

import math

import attrs

#: Time constant of the moving request rates, in seconds: long enough to see
#: operations that arrive once a second, and short enough to follow a surge
#: before its first second is over.
RATE_PERIOD_S = 2.0
#: Time for whose expected urgent requests a reserve is kept, in seconds.
RESERVE_S = 0.25
#: Highest part of the bucket that is reserved.
MAX_RESERVED_PART = 0.5
#: Rate of urgent requests, per second, below which nothing is reserved: a
#: single request counts for a few seconds.
MIN_URGENT_RATE = 0.1
#: Lowest part of the rate that is assumed to remain beside urgent requests
#: when the time of a retry is computed.
MIN_REMAINING_PART = 0.1


@attrs.define
class Demand:
    """Recent request rate of each priority of a tenant; 0 is most urgent.

    Requests that were refused count as well.
    """

    _weights: dict[int, float] = attrs.field(factory=dict)
    _recorded_at: float = 0.0

    def record(self, priority: int, now: float) -> None:
        """Count one request."""
        factor = math.exp(-max(0.0, now - self._recorded_at) / RATE_PERIOD_S)
        for known in self._weights:
            self._weights[known] *= factor
        self._weights[priority] = self._weights.get(priority, 0.0) + 1
        self._recorded_at = max(now, self._recorded_at)

    def urgent_rate(self, priority: int) -> float:
        """Return the requests per second that are more urgent.

        The rate is that at the last recorded request.
        """
        urgent = sum(
            weight
            for known, weight in self._weights.items()
            if known < priority
        )
        rate = urgent / RATE_PERIOD_S
        return rate if rate >= MIN_URGENT_RATE else 0.0


def reserve_for(urgent_rate: float, highest_level: float) -> float:
    """Return the operations that are kept for more urgent requests.

    ``highest_level`` is the highest level of the bucket. One operation always
    remains, so that a small bucket can grant operations of any priority.
    """
    return max(
        0.0,
        min(
            urgent_rate * RESERVE_S,
            highest_level * MAX_RESERVED_PART,
            highest_level - 1,
        ),
    )

"""Retry budget and backoff of the proxy's own retries."""

import random

import attrs

#: Retries that each arriving request adds to the budget.
RETRIES_PER_REQUEST = 0.2
#: Capacity of the budget, in retries.
MAX_SAVED_RETRIES = 20.0
#: Bounds of the backoff before a retry, in seconds.
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5


@attrs.define
class RetryBudget:
    """Token bucket of retries.

    It bounds the load that retries add while an endpoint is failing.
    ``saved`` is the number of retries left.
    """

    saved: float = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Add the retries that one arriving request earns."""
        self.saved = min(self.saved + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def withdraw(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def backoff(tries: int, rng: random.Random) -> float:
    """Return the time to wait before the next try, in seconds.

    The backoff is exponential in ``tries`` and has jitter.
    """
    longest = min(MIN_BACKOFF_S * 2 ** min(tries, 10), MAX_BACKOFF_S)
    return rng.uniform(MIN_BACKOFF_S / 2, longest)

"""How often the proxy itself retries, and after which pause."""

import random

import attrs

#: Retries earned by each request that arrives.
RETRIES_PER_REQUEST = 0.2
#: Retries that can be saved up.
MAX_SAVED = 20.0
#: Bounds of the pause before a retry, in seconds.
MIN_PAUSE = 0.01
MAX_PAUSE = 0.5


@attrs.define
class RetryBudget:
    """A bucket of retries, so that a failure isn't multiplied by them."""

    saved: float = MAX_SAVED

    def earned(self) -> None:
        """Note that a request has arrived."""
        self.saved = min(self.saved + RETRIES_PER_REQUEST, MAX_SAVED)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def pause(tries: int, rng: random.Random) -> float:
    """Give a pause with full jitter, longer with each try, in seconds."""
    longest = min(MIN_PAUSE * 2 ** min(tries, 10), MAX_PAUSE)
    return rng.uniform(MIN_PAUSE / 2, longest)

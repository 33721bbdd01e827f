"""The system clock."""

import time


class MonotonicClock:
    """A monotonic clock that also advances while the VM is suspended.

    It counts seconds from the start of the machine.
    """

    def now(self) -> float:
        """Return the current time, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

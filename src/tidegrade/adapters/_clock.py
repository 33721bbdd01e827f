"""The real clock."""

import time


class BootClock:
    """Seconds since the machine started, suspension included."""

    def now(self) -> float:
        """Give the current time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

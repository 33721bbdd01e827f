"""The clock that leases and deadlines are measured with."""

import typing


class Clock(typing.Protocol):
    """Gives seconds that also pass while the machine is suspended."""

    def now(self) -> float:
        """Give the current time in seconds from some fixed moment."""

"""The clock that measures leases and deadlines."""

import typing


class Clock(typing.Protocol):
    """A monotonic clock that also advances while the VM is suspended."""

    def now(self) -> float:
        """Return the seconds since an arbitrary fixed moment."""

"""Structured logs: JSON lines with numbered events."""

from tidegrade.logs._events import configure
from tidegrade.logs._events import configure_unblocked
from tidegrade.logs._events import LogEvent
from tidegrade.logs._events import write
from tidegrade.logs._events import write_bounded
from tidegrade.logs._events import write_bounded_lazily

__all__ = [
    'LogEvent',
    'configure',
    'configure_unblocked',
    'write',
    'write_bounded',
    'write_bounded_lazily',
]

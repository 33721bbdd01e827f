"""Answers to queries that are kept for as long as they hold."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs

_T = TypeVar('_T')


@attrs.frozen
class Answer(Generic[_T]):
    """An answer that holds from ``since`` until just before ``until``."""

    value: _T
    since: float
    until: float


class CachedAnswer(Generic[_T]):
    """The last answer of ``find``, which is called with the current time."""

    def __init__(self, find: Callable[[float], Answer[_T]]) -> None:
        self._find = find
        #: None if the last answer may not hold any more.
        self._last: Answer[_T] | None = None

    def get(self, now: float) -> _T:
        """Return the last answer if it holds, else a new one."""
        last = self._last
        if last is None or not last.since <= now < last.until:
            last = self._find(now)
            self._last = last
        return last.value

    def clear(self) -> None:
        """Forget the last answer."""
        self._last = None

    def clear_since(self, at: float) -> None:
        """Forget the last answer if it was found at ``at`` or later."""
        if self._last is not None and at <= self._last.since:
            self._last = None

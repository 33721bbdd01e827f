"""The choice of the proxy to pull a document from.

When a large document changes, every proxy of a failure domain pulls it at the
same time, and its transfer takes a noticeable time on a link. If all proxies
pulled from the same source, they would share its link; and if that source
didn't answer, none would get the document.
"""

from collections.abc import Collection
import random

import attrs


@attrs.frozen
class Source:
    """A proxy that has the document.

    A ``near`` source is in the failure domain of the proxy that pulls.
    """

    proxy: str
    near: bool


class SourceSelector:
    """Chooses the proxies to pull from, one after another."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._asked: set[str] = set()

    def choose(self, available: Collection[Source]) -> Source | None:
        """Return a random source that was not asked yet; None if all were.

        Near sources come first, since traffic between failure domains is
        billed. The random choice spreads the load over the sources.
        """
        unasked = [s for s in available if s.proxy not in self._asked]
        near = [source for source in unasked if source.near]
        if not unasked:
            return None
        return self._rng.choice(near or unasked)

    def mark_asked(self, source: Source) -> None:
        """Record that a source is being asked."""
        self._asked.add(source.proxy)

    def reset(self) -> None:
        """Make every source available again."""
        self._asked.clear()

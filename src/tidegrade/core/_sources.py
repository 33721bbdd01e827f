"""Whom to ask for what several others have.

The load pattern: something large changes, every proxy of a failure domain
wants it at once, and a link needs a noticeable time to carry it. If all ask
the same one, its link is shared by all of them; and one that answers nobody
must not be the only one asked.
"""

from collections.abc import Collection
import random

import attrs


@attrs.frozen
class Source:
    """A proxy that has what is wanted; ``near``: in the same domain."""

    proxy: str
    near: bool


class Sources:
    """Gives the proxies to ask, one after another."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._asked: set[str] = set()

    def choose(self, having: Collection[Source]) -> Source | None:
        """Give one that was not asked yet; None if all were.

        Near ones come first, since bytes between domains are billed; which
        of them is left to chance, so that the askers spread.
        """
        fresh = [s for s in having if s.proxy not in self._asked]
        near = [source for source in fresh if source.near]
        if not fresh:
            return None
        return self._rng.choice(near or fresh)

    def asked(self, source: Source) -> None:
        """Note that one is being asked."""
        self._asked.add(source.proxy)

    def start_over(self) -> None:
        """Let all be asked once more."""
        self._asked.clear()

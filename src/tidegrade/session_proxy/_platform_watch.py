"""Looking at the platform for all proxies, and learning from those who do.

Calls to the platform are few and dear, so a few proxies look at it and the
others ask them. What they have to tell goes with the heartbeats: the version
of the configuration in force, and whether the platform answers them.
"""

from collections.abc import Callable
import random

import anyio

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Proxies that look at the platform; it may turn some of them away, or
#: they may stand still.
WATCHERS = 3
#: What the watchers are chosen for, in the order of all proxies.
WATCHED = 'platform'
#: Pause between looks at what the others have, in seconds: about half of
#: the pause between their heartbeats.
LOOK = 0.25
#: How long a proxy that the platform did not answer leaves the watch to
#: others, in seconds, before it may try again.
BLIND_FOR = 8.0
#: Longest pause before a configuration is fetched from another failure
#: domain, in seconds: meanwhile a neighbour may have got it.
FAR_PAUSE = 0.5


class PlatformWatch:
    """Takes its turn at the watch, and fetches what others have."""

    def __init__(
        self,
        spot: _roster.Spot,
        directory: ports.Directory,
        peers: _peers_task.PeersTask,
        version: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._spot = spot
        self._directory = directory
        self._peers = peers
        self._version = version
        self._rng = rng
        self._blind_until = float('-inf')
        #: The newest version that was logged as heard of.
        self._heard_of = 0
        self.turn = 0

    @property
    def watching(self) -> bool:
        """Tell whether this proxy looks at the platform for the others."""
        return self.turn < WATCHERS

    @property
    def blind(self) -> bool:
        """Tell whether the platform does not answer this proxy."""
        return anyio.current_time() < self._blind_until

    async def run(self) -> None:
        """Keep up with who watches and with the newest version."""
        while True:
            self._take_turns()
            newer = self._newer()
            if newer is not None:
                await self._fetch(newer)
            await anyio.sleep(LOOK)

    def watchers(self) -> list[str]:
        """Give the other proxies that watch, the first in turn first."""
        seeing = [p.beat.proxy for p in self._peers.alive() if _sees(p)]
        return list(core.first_ones(WATCHED, seeing, WATCHERS))

    def adopted(self) -> None:
        """Tell the others at once that there is a configuration.

        Relays do, too: their failure domains get it from them.
        """
        if self.watching or self._peers.is_relay():
            self._peers.beat_now()

    def answer(self, question: messages.AskConfig) -> messages.ConfigContent:
        """Give another proxy the configuration that is in force here."""
        ref = core.ConfigRef(self._version(), question.ref.sha256)
        return messages.ConfigContent(ref, self._directory.document)

    # Turns ----------------------------------------------------------------

    def _take_turns(self) -> None:
        was_blind = self.blind
        if self.watching and not self._directory.answers:
            self._blind_until = anyio.current_time() + BLIND_FOR
        if self.blind != was_blind:
            self._peers.beat_now()
        was_watching = self.watching
        self.turn = self._turn()
        if self.watching != was_watching:
            self._log_turn()
        self._directory.watch(self.watching)

    def _log_turn(self) -> None:
        event = logs.LogEvent.WATCH_LEFT
        if self.watching:
            event = logs.LogEvent.WATCH_TAKEN
        alive = self._peers.alive()
        logs.write(
            event,
            turn=self.turn,
            blind=self.blind,
            others_alive=len(alive),
            others_seeing=sum(map(_sees, alive)),
        )

    def _turn(self) -> int:
        """Give this proxy's place among those that the platform answers.

        Whoever is not blind counts as one of them, also alone: six of seven
        left the watch for 8 s to the one that took itself for none of them.
        Where the platform answers nobody, all keep to their usual places.
        """
        if not self._peers.has_looked:
            # Else all that start together would watch, and tell all.
            return WATCHERS
        alive = self._peers.alive()
        others = [p.beat.proxy for p in alive if _sees(p)]
        if self.blind and others:
            return WATCHERS
        if self.blind:
            others = [p.beat.proxy for p in alive]
        # Else all that start together would watch until they are heard.
        starting = self._peers.starting()
        return core.rank(WATCHED, self._spot.proxy, [*others, *starting])

    # The configuration ----------------------------------------------------

    def _newer(self) -> _roster.Peer | None:
        """Give a proxy with a newer configuration, a neighbour if any."""
        known = self._version()
        having = [
            peer
            for peer in self._peers.alive()
            if peer.beat.config_version > known
        ]
        return max(having, key=self._preference, default=None)

    def _preference(self, peer: _roster.Peer) -> tuple[bool, int]:
        return (self._is_near(peer), peer.beat.config_version)

    def _is_near(self, peer: _roster.Peer) -> bool:
        return peer.beat.domain == self._spot.domain

    async def _fetch(self, peer: _roster.Peer) -> None:
        """Get a newer configuration, unless it comes by itself."""
        if not self._is_near(peer):
            await anyio.sleep(self._rng.uniform(0, FAR_PAUSE))
            peer = self._newer() or peer
        known = self._version()
        if peer.beat.config_version <= known:
            return
        proxy = peer.beat.proxy
        version = peer.beat.config_version
        self._log_heard_of(proxy, version, known)
        question = messages.AskConfig(core.ConfigRef(version, ''))
        asked_at = anyio.current_time()
        answer = await self._peers.ask(proxy, question)
        if not isinstance(answer, messages.ConfigContent):
            logs.write_bounded(
                logs.LogEvent.CONFIG_NOT_GOT,
                peer=proxy,
                version=version,
                known_version=known,
                took_ms=round((anyio.current_time() - asked_at) * 1000),
            )
            return
        if answer.ref.version <= known or not answer.document:
            return
        logs.write(
            logs.LogEvent.CONFIG_FROM_PEER,
            peer=proxy,
            version=answer.ref.version,
            known_version=known,
        )
        self._directory.offer(answer.document)

    def _log_heard_of(self, proxy: str, version: int, known: int) -> None:
        if version <= self._heard_of:
            return
        self._heard_of = version
        logs.write(
            logs.LogEvent.CONFIG_HEARD_OF,
            peer=proxy,
            version=version,
            known_version=known,
        )


def _sees(peer: _roster.Peer) -> bool:
    return not peer.beat.blind and not peer.beat.draining

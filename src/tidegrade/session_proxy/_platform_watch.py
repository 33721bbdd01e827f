"""Who looks at the platform for all proxies.

Calls to the platform are few and dear, so a few proxies look at it and the
others ask them. What they have to tell goes with the heartbeats: the version
of the configuration in force, and whether the platform answers them.
"""

from collections.abc import Callable

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


class PlatformWatch:
    """Takes its turn at the watch, and gives others what it has."""

    def __init__(
        self,
        spot: _roster.ProxyIdentity,
        directory: ports.Directory,
        peers: _peers_task.PeersTask,
        version: Callable[[], int],
        clock: ports.Clock,
        config_within: float,
    ) -> None:
        self._spot = spot
        self._directory = directory
        self._peers = peers
        self._version = version
        self._clock = clock
        self._age = core.ConfigAge(config_within)
        self._blind_until = float('-inf')
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
        """Keep up with who watches, until cancelled."""
        while True:
            self._take_turns()
            self._check_age()
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
            self._peers.send_heartbeat_now()

    def answer(self, question: messages.AskConfig) -> messages.ConfigContent:
        """Give another proxy the configuration that is in force here."""
        ref = core.ConfigRef(self._version(), question.ref.sha256)
        return messages.ConfigContent(ref, self._directory.document)

    def config_age(self) -> float | None:
        """Give how long ago the configuration was known to be the newest.

        None if that isn't known; in seconds.
        """
        now = self._clock.now()
        self._note_ages(now)
        return self._age.age(now)

    # Whether what is in force is the newest -------------------------------

    def _note_ages(self, now: float) -> None:
        """Take in what the platform and the others showed."""
        seen = self._directory.seen
        if seen is not None:
            self._age.told(seen.version, now - seen.age, now)
        for peer in self._peers.alive():
            at = peer.config_seen_at
            if at > float('-inf'):
                self._age.told(peer.beat.config_version, at, now)
        self._age.adopted(self._version())

    def _check_age(self) -> None:
        """Read the platform if nobody shows what the newest version is.

        Whatever goes wrong with the watch and with the questions to others,
        the configuration is in force in time wherever the platform answers.
        """
        now = self._clock.now()
        self._note_ages(now)
        early = not self.blind and self.turn < 2 * WATCHERS
        if not self._age.must_read(early, now):
            return
        age = self._age.age(now)
        logs.write(
            logs.LogEvent.CONFIG_UNPROVEN,
            known_version=self._version(),
            age_ms=None if age is None else round(age * 1000),
            turn=self.turn,
        )
        self._directory.read_now()

    # Turns ----------------------------------------------------------------

    def _take_turns(self) -> None:
        was_blind = self.blind
        if self.watching and not self._directory.answers:
            self._blind_until = anyio.current_time() + BLIND_FOR
        if self.blind != was_blind:
            self._peers.send_heartbeat_now()
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
        if not self._peers.has_vm_list:
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


def _sees(peer: _roster.Peer) -> bool:
    return not peer.beat.blind and not peer.beat.draining

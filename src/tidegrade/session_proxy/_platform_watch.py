"""Which proxies read the platform on behalf of all.

Calls to the platform are limited and expensive, so a few proxies, the
watchers, read it and the others ask them. Heartbeats carry the version of the
configuration in force and whether the platform answers the sender.
"""

from collections.abc import Callable

import anyio

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Number of watchers: more than one, since the platform may refuse some of
#: them, or they may be stopped.
WATCHERS = 3
#: Key of the rendezvous hash that chooses the watchers. All builds must agree
#: on it.
WATCHED = 'platform'
#: Interval between checks of other proxies' heartbeats, in seconds: about half
#: of a heartbeat interval.
CHECK_INTERVAL_S = 0.25
#: How long a proxy that the platform did not answer leaves watching to other
#: proxies before it may try again, in seconds.
BLIND_FOR_S = 8.0


class PlatformWatch:
    """Watches the platform in turn and shares the configuration."""

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        directory: ports.Directory,
        peers: _peers_task.PeersTask,
        version: Callable[[], int],
        clock: ports.Clock,
        config_within: float,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._peers = peers
        self._version = version
        self._clock = clock
        self._age = core.ConfigAge(config_within)
        self._blind_until = float('-inf')
        self.rank = 0

    @property
    def watching(self) -> bool:
        """Whether this proxy reads the platform on behalf of all."""
        return self.rank < WATCHERS

    @property
    def blind(self) -> bool:
        """Whether the platform does not answer this proxy."""
        return anyio.current_time() < self._blind_until

    async def run(self) -> None:
        """Update the choice of watchers until cancelled."""
        while True:
            self._update_turn()
            self._check_age()
            await anyio.sleep(CHECK_INTERVAL_S)

    def watchers(self) -> list[str]:
        """Return the other proxies that watch, in the order of their turns."""
        candidates = [
            p.beat.proxy for p in self._peers.alive() if _can_read_platform(p)
        ]
        return list(core.top_ranked(WATCHED, candidates, WATCHERS))

    def announce_config(self) -> None:
        """Announce a new configuration by an immediate heartbeat.

        Only watchers and relays send it; a relay's failure domain gets the
        configuration from the relay.
        """
        if self.watching or self._peers.is_relay():
            self._peers.send_heartbeat_now()

    def answer(self, question: messages.AskConfig) -> messages.ConfigContent:
        """Return the configuration that is in force here."""
        ref = core.ConfigRef(self._version(), question.ref.sha256)
        return messages.ConfigContent(ref, self._directory.document)

    def config_age(self) -> float | None:
        """Return the age of the configuration in seconds; None if unknown.

        It is the time since the configuration was last known to be the
        newest.
        """
        now = self._clock.now()
        self._record_versions(now)
        return self._age.age(now)

    # Age of the configuration ---------------------------------------------

    def _record_versions(self, now: float) -> None:
        """Record which versions the platform and other proxies reported."""
        seen = self._directory.seen
        if seen is not None:
            self._age.note_newest(seen.version, now - seen.age, now)
        for peer in self._peers.alive():
            at = peer.config_seen_at
            if at > float('-inf'):
                self._age.note_newest(peer.beat.config_version, at, now)
        self._age.adopted(self._version())

    def _check_age(self) -> None:
        """Read the platform if no proxy reports the newest version.

        This puts a configuration in force in time at each proxy that the
        platform answers, even if watching or requests to other proxies fail.
        """
        now = self._clock.now()
        self._record_versions(now)
        early = not self.blind and self.rank < 2 * WATCHERS
        if not self._age.should_read(early, now):
            return
        age = self._age.age(now)
        logs.write(
            logs.LogEvent.CONFIG_UNCONFIRMED,
            known_version=self._version(),
            age_ms=None if age is None else round(age * 1000),
            turn=self.rank,
        )
        self._directory.read_now()

    # Turns ----------------------------------------------------------------

    def _update_turn(self) -> None:
        was_blind = self.blind
        if self.watching and not self._directory.answers:
            self._blind_until = anyio.current_time() + BLIND_FOR_S
        if self.blind != was_blind:
            self._peers.send_heartbeat_now()
        was_watching = self.watching
        self.rank = self._rank_among_watchers()
        if self.watching != was_watching:
            self._log_turn()
        self._directory.watch(self.watching)

    def _log_turn(self) -> None:
        event = logs.LogEvent.WATCH_STOPPED
        if self.watching:
            event = logs.LogEvent.WATCH_STARTED
        alive = self._peers.alive()
        logs.write(
            event,
            turn=self.rank,
            blind=self.blind,
            others_alive=len(alive),
            others_seeing=sum(map(_can_read_platform, alive)),
        )

    def _rank_among_watchers(self) -> int:
        """Return this proxy's rank among those that the platform answers.

        A proxy that is not blind counts itself, even if it is the only one.
        Without this, when six of seven proxies leave watching to the seventh
        for 8 s, the seventh does not start to watch. If the platform answers
        no proxy, all keep their usual ranks.
        """
        if not self._peers.has_vm_list:
            # Otherwise all proxies that start together would watch and
            # announce what they read.
            return WATCHERS
        alive = self._peers.alive()
        others = [p.beat.proxy for p in alive if _can_read_platform(p)]
        if self.blind and others:
            return WATCHERS
        if self.blind:
            others = [p.beat.proxy for p in alive]
        # Otherwise all proxies that start together would watch until their
        # first heartbeats arrive.
        starting = self._peers.starting()
        return core.rank(WATCHED, self._identity.proxy, [*others, *starting])


def _can_read_platform(peer: _roster.Peer) -> bool:
    return not peer.beat.blind and not peer.beat.draining

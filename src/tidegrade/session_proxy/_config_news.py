"""Learning of a newer configuration from other proxies.

Each proxy hears of changes from the platform itself. Where that way is
broken, or the connection has gone silent, the heartbeats of others tell
that there is a newer version, and any of them can give it.
"""

from collections.abc import Callable

import anyio

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Proxies that look at the platform often, for all; two, since one may be
#: turned away by the platform.
WATCHERS = 2
#: What the watchers are chosen for, in the order of all proxies.
WATCHED = 'configuration'
#: How long the platform's own news may take, once a peer has them, before
#: the peer is asked, in seconds: longer than answers differ by.
GRACE = 0.2
#: Pause between looks at what the others have, in seconds: about half of
#: the pause between their heartbeats.
LOOK = 0.25


class ConfigNews:
    """Compares heartbeats with the configuration in force here."""

    def __init__(
        self,
        proxy_id: str,
        directory: ports.Directory,
        peers: _peers_task.PeersTask,
        version: Callable[[], int],
    ) -> None:
        self._proxy_id = proxy_id
        self._directory = directory
        self._peers = peers
        self._version = version
        self._watching = True

    async def run(self) -> None:
        """Keep up who watches and with the newest version, until cancelled."""
        while True:
            self._take_turns()
            newest = self._newest()
            if newest is not None:
                await self._ask(newest)
            await anyio.sleep(LOOK)

    def adopted(self) -> None:
        """Tell the others at once, whose own news may be held up."""
        if self._watching:
            self._peers.beat_now()

    def answer(self, question: messages.AskConfig) -> messages.ConfigContent:
        """Give another proxy the configuration that is in force here."""
        ref = core.ConfigRef(self._version(), question.ref.sha256)
        return messages.ConfigContent(ref, self._directory.document)

    def _take_turns(self) -> None:
        alive = self._peers.alive_ids()
        rank = core.rank(WATCHED, self._proxy_id, alive)
        self._watching = rank < WATCHERS
        self._directory.watch_closely(self._watching)

    def _newest(self) -> messages.Heartbeat | None:
        """Give the heartbeat that tells of the newest version, if newer."""
        known = self._version()
        beats = (peer.beat for peer in self._peers.alive())
        newer = [beat for beat in beats if beat.config_version > known]
        return max(newer, key=lambda beat: beat.config_version, default=None)

    async def _ask(self, beat: messages.Heartbeat) -> None:
        """Get the newer configuration, unless it comes by itself."""
        await anyio.sleep(GRACE)
        known = self._version()
        if beat.config_version <= known:
            return
        question = messages.AskConfig(core.ConfigRef(beat.config_version, ''))
        answer = await self._peers.ask(beat.proxy, question)
        if not isinstance(answer, messages.ConfigContent):
            return
        if answer.ref.version <= known or not answer.document:
            return
        logs.write(
            logs.LogEvent.CONFIG_FROM_PEER,
            peer=beat.proxy,
            version=answer.ref.version,
            known_version=known,
        )
        self._directory.offer(answer.document)

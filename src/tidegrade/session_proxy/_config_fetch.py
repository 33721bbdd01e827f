"""Getting the newest configuration from other proxies that have it.

On 71 VMs with links of 5 Mbit/s and a configuration of 330 KB, one question
at a time to one proxy, with 0.3 s for the answer, left 66 without it. Now
several are asked in turn, the next while the one before is still waited
for, and an answer counts whenever it comes.
"""

from collections.abc import Callable
import random

import anyio
import anyio.abc
import attrs

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Pause between looks at what the others have, in seconds: about half of
#: the pause between their heartbeats.
LOOK = 0.25
#: How long an answer is waited for before the next proxy is asked as well,
#: in seconds: many round trips, and 0.25 MB on a link of 5 Mbit/s.
NEXT_AFTER = 0.4
#: Proxies that are asked at the same time: one may answer nobody.
MAX_ASKED = 2
#: Longest pause before a proxy of another failure domain is asked, in
#: seconds: meanwhile a neighbour may have the configuration.
FAR_PAUSE = 0.5


@attrs.define
class _Pursuit:
    """One configuration being fetched, until it is there."""

    sources: core.Sources
    in_flight: int = 0
    #: The newest version that was got; it is in force a moment later.
    got: int = 0
    far_allowed: bool = False
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    def note_answer(self) -> None:
        """Wake up whoever waits for an answer."""
        self.answered.set()
        self.answered = anyio.Event()


class ConfigFetch:
    """Owns the questions to other proxies for a configuration."""

    def __init__(
        self,
        spot: _roster.ProxyIdentity,
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
        #: The newest version that was logged as heard of.
        self._heard_of = 0

    async def run(self) -> None:
        """Keep up with the others until cancelled."""
        while True:
            if self._having(self._version()):
                await self._pursue()
            await anyio.sleep(LOOK)

    async def _pursue(self) -> None:
        """Ask one proxy after another until nobody has anything newer."""
        pursuit = _Pursuit(core.Sources(self._rng))
        async with anyio.create_task_group() as tasks:
            while having := self._having(max(self._version(), pursuit.got)):
                answered = pursuit.answered
                await self._ask_next(pursuit, having, tasks)
                with anyio.move_on_after(NEXT_AFTER):
                    await answered.wait()
            tasks.cancel_scope.cancel()

    async def _ask_next(
        self,
        pursuit: _Pursuit,
        having: list[core.Source],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Ask another proxy, unless enough are being asked."""
        if pursuit.in_flight >= MAX_ASKED:
            return
        source = pursuit.sources.choose(having)
        if source is None:
            pursuit.sources.start_over()
            return
        if not source.near and not pursuit.far_allowed:
            pursuit.far_allowed = True
            await anyio.sleep(self._rng.uniform(0, FAR_PAUSE))
            having = self._having(max(self._version(), pursuit.got))
            source = pursuit.sources.choose(having)
        if source is None:
            return
        pursuit.sources.asked(source)
        pursuit.in_flight += 1
        tasks.start_soon(self._ask, pursuit, source.proxy)

    def _having(self, known: int) -> list[core.Source]:
        """Give the proxies that have a newer configuration in force."""
        return [
            core.Source(peer.beat.proxy, peer.beat.domain == self._spot.domain)
            for peer in self._peers.alive()
            if peer.beat.config_version > known
        ]

    async def _ask(self, pursuit: _Pursuit, proxy: str) -> None:
        known = self._version()
        self._log_heard_of(proxy, known)
        question = messages.AskConfig(core.ConfigRef(known + 1, ''))
        asked_at = anyio.current_time()
        answer = await self._peers.fetch(proxy, question)
        pursuit.in_flight -= 1
        took_ms = round((anyio.current_time() - asked_at) * 1000)
        if not isinstance(answer, messages.ConfigContent):
            logs.write_bounded(
                logs.LogEvent.CONFIG_NOT_GOT,
                peer=proxy,
                known_version=known,
                took_ms=took_ms,
            )
            return
        self._take(pursuit, proxy, answer, took_ms)
        pursuit.note_answer()

    def _take(
        self,
        pursuit: _Pursuit,
        proxy: str,
        content: messages.ConfigContent,
        took_ms: int,
    ) -> None:
        """Take in what another proxy gave, if it is newer."""
        known = max(self._version(), pursuit.got)
        if content.ref.version <= known or not content.document:
            return
        logs.write(
            logs.LogEvent.CONFIG_FROM_PEER,
            peer=proxy,
            version=content.ref.version,
            known_version=known,
            took_ms=took_ms,
        )
        pursuit.got = content.ref.version
        self._directory.offer(content.document)

    def _log_heard_of(self, proxy: str, known: int) -> None:
        newest = max(
            (peer.beat.config_version for peer in self._peers.alive()),
            default=known,
        )
        if newest <= self._heard_of:
            return
        self._heard_of = newest
        logs.write(
            logs.LogEvent.CONFIG_HEARD_OF,
            peer=proxy,
            version=newest,
            known_version=known,
        )

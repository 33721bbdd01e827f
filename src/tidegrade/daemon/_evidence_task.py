"""Asking other proxies what they saw of the groups' endpoints.

Of each group one proxy asks the endpoints and the others ask that proxy.
An answer tells how old each thing is; it is dated from before the question
was sent, so neither a slow link nor a pause of this process can make it
look newer than it is.
"""

from collections.abc import Callable

import anyio

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.peers import _messages as messages

#: Pause between questions, in seconds: a permission lasts one second, and
#: what the other proxy knows is up to its own polling interval old.
ASK_INTERVAL = 0.3

Groups = Callable[[], dict[messages.GroupKey, _group_task.GroupTask]]


class EvidenceTask:
    """Asks and answers questions about endpoints."""

    def __init__(
        self,
        deps: _deps.Deps,
        peers: _peers_task.PeersTask,
        groups: Groups,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._groups = groups

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for proxy, keys in self._by_proxy().items():
                    tasks.start_soon(self._ask, proxy, keys)
                await anyio.sleep(ASK_INTERVAL)

    def answer(
        self, question: messages.AskEvidence
    ) -> messages.EvidenceAnswer:
        """Tell another proxy what is known here, with its age."""
        now = self._deps.clock.now()
        groups = self._groups()
        seen = tuple(
            messages.GroupEvidence(key, _aged(groups[key], now))
            for key in question.keys
            if key in groups
        )
        return messages.EvidenceAnswer(seen)

    def _by_proxy(self) -> dict[str, tuple[messages.GroupKey, ...]]:
        """Give the proxies to ask, each with the groups it knows best."""
        found: dict[str, tuple[messages.GroupKey, ...]] = {}
        for key, group in self._groups().items():
            if not group.serving:
                continue
            proxy = self._peers.first_for(key)
            if proxy != self._deps.proxy_id:
                found[proxy] = (*found.get(proxy, ()), key)
        return found

    async def _ask(
        self, proxy: str, keys: tuple[messages.GroupKey, ...]
    ) -> None:
        asked_at = self._deps.clock.now()
        answer = await self._peers.ask(proxy, messages.AskEvidence(keys))
        if not isinstance(answer, messages.EvidenceAnswer):
            return
        groups = self._groups()
        for seen in answer.seen:
            group = groups.get(seen.key)
            if group is not None:
                evidence = core.shifted(seen.evidence, asked_at)
                group.post(core.EvidenceReceived(evidence, asked_at))


def _aged(group: _group_task.GroupTask, now: float) -> core.Evidence:
    """Give a group's evidence with times counted back from now."""
    return core.shifted(group.machine.evidence(), -now)

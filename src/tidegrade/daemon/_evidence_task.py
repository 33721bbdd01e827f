"""Exchange of evidence on the groups' endpoints among proxies.

For each group one proxy polls the endpoints, and the others get its evidence
from it. An answer states the age of each item. The ages count from the time
at which the request was sent, so neither a slow link nor a pause of this
process can make evidence look newer than it is.
"""

from collections.abc import Callable

import anyio

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.peers import _messages as messages

#: Interval between requests, in seconds: a permission lasts one second, and
#: the other proxy's evidence may be as old as its polling interval.
REQUEST_INTERVAL_S = 0.3

#: Number of proxies to ask for a group whose permission has lapsed and can't
#: be renewed by polls alone: the one that polls may be in the same state.
ASKED_AFTER_LAPSE = 3

Groups = Callable[[], dict[messages.GroupKey, _group_task.GroupTask]]


class EvidenceTask:
    """Requests evidence from other proxies and answers their requests."""

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
        """Request evidence until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for proxy, keys in self._groups_by_proxy().items():
                    tasks.start_soon(self._request, proxy, keys)
                await anyio.sleep(REQUEST_INTERVAL_S)

    def answer(
        self, question: messages.AskEvidence
    ) -> messages.EvidenceAnswer:
        """Return the evidence known here on the groups of a request."""
        now = self._deps.clock.now()
        groups = self._groups()
        seen = tuple(
            messages.GroupEvidence(key, _relative_evidence(groups[key], now))
            for key in question.keys
            if key in groups
        )
        return messages.EvidenceAnswer(seen)

    def _groups_by_proxy(self) -> dict[str, tuple[messages.GroupKey, ...]]:
        """Return the proxies to ask, each with the groups to ask it for."""
        found: dict[str, tuple[messages.GroupKey, ...]] = {}
        for key, group in self._groups().items():
            if not group.serving:
                continue
            for proxy in self._proxies_to_ask(key, group):
                found[proxy] = (*found.get(proxy, ()), key)
        return found

    def _proxies_to_ask(
        self, key: messages.GroupKey, group: _group_task.GroupTask
    ) -> tuple[str, ...]:
        """Return the proxies to ask for a group that this proxy serves."""
        if group.machine.needs_row(self._deps.clock.now()):
            peers = self._peers.serving_ids(key)
            return core.top_ranked(str(key), peers, ASKED_AFTER_LAPSE)
        proxy = self._peers.polling_proxy(key)
        return () if proxy == self._deps.proxy_id else (proxy,)

    async def _request(
        self, proxy: str, keys: tuple[messages.GroupKey, ...]
    ) -> None:
        requested_at = self._deps.clock.now()
        answer = await self._peers.ask(proxy, messages.AskEvidence(keys))
        if not isinstance(answer, messages.EvidenceAnswer):
            return
        groups = self._groups()
        for seen in answer.seen:
            group = groups.get(seen.key)
            if group is not None:
                evidence = core.shifted(seen.evidence, requested_at)
                group.post(core.EvidenceReceived(evidence, requested_at))


def _relative_evidence(
    group: _group_task.GroupTask, now: float
) -> core.Evidence:
    """Return a group's evidence with its times relative to ``now``."""
    return core.shifted(group.machine.evidence(), -now)

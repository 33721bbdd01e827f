"""Distribution of the platform's endpoint list among the proxies.

The watchers of the platform read the list and announce each change; the other
proxies poll them.
"""

from collections.abc import Callable

import anyio
import attrs

from tidegrade.codec import _structure
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _platform_watch

#: Interval between reads by the first watcher, in seconds: an endpoint that
#: leaves must be known as leaving within seconds.
FIRST_WATCHER_INTERVAL_S = 2.0
#: Interval between reads by the other watchers, which are only a backup, in
#: seconds.
BACKUP_WATCHER_INTERVAL_S = 6.0
#: Poll interval of a proxy that is not a watcher, in seconds.
POLL_INTERVAL_S = 6.0
#: Longest interval of any proxy while it lacks a group's row, for which a new
#: list may be needed, in seconds.
URGENT_INTERVAL_S = 0.8

#: How long lists are ignored after the platform's store was restored from an
#: older copy, in seconds. The copy lists endpoints as ready that are leaving
#: or gone; within this time each running endpoint writes its entry again.
RESTORE_SETTLE_S = 2.0

#: Callback that receives each list that is newer than the previous one.
ListCallback = Callable[[tuple[ports.EndpointEntry, ...]], None]


class EndpointListTask:
    """Reads or polls the endpoint list and announces its changes."""

    def __init__(
        self,
        directory: ports.Directory,
        peers: _peers_task.PeersTask,
        watch: _platform_watch.PlatformWatch,
        on_list: ListCallback,
        is_urgent: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._watch = watch
        self._on_list = on_list
        self._is_urgent = is_urgent
        self._known = ports.EndpointList(-1, ())
        #: Store generation of the list read last, and the time from which
        #: lists of that generation are accepted.
        self._generation = 0
        self._settled_at = float('-inf')
        #: The known list, encoded for other proxies.
        self._encoded = b''

    async def run(self) -> None:
        """Keep the list current until cancelled."""
        while True:
            if self._watch.watching or not await self._ask():
                await self._read()
            await anyio.sleep(self._interval())

    def answer(self, question: messages.AskEndpoints) -> messages.EndpointNews:
        """Return the list, or no entries if the asker's list is as new."""
        if self._known.version <= question.version:
            return messages.EndpointNews(max(0, self._known.version), b'')
        return self._news()

    def update(self, news: messages.EndpointNews) -> None:
        """Process a list that another proxy sent."""
        if not news.entries or news.version <= self._known.version:
            return
        if news.entries == self._encoded:
            # Several watchers announce the same change, each with a version
            # of its own. Without this check, each of 195 proxies that start
            # together applies 96 lists in 5 s, and with each list the
            # settings of ten groups.
            self._known = attrs.evolve(self._known, version=news.version)
            return
        read = _structure.structure(
            news.entries, tuple[ports.EndpointEntry, ...]
        )
        if read.is_err():
            logs.write(
                logs.LogEvent.PEER_REFUSED,
                reason='; '.join(read.unwrap_err()),
            )
            return
        self._accept(ports.EndpointList(news.version, read.unwrap()))

    def _interval(self) -> float:
        interval = POLL_INTERVAL_S
        if self._watch.watching:
            interval = (
                BACKUP_WATCHER_INTERVAL_S
                if self._watch.rank
                else FIRST_WATCHER_INTERVAL_S
            )
        return (
            min(interval, URGENT_INTERVAL_S) if self._is_urgent() else interval
        )

    async def _read(self) -> None:
        """Read the list from the platform and announce a change."""
        listed = await self._directory.endpoints()
        if listed.is_err():
            return
        found = listed.unwrap()
        if found.version < self._known.version or self._is_settling(found):
            return
        changed = found.entries != self._known.entries
        self._accept(found)
        if changed:
            self._peers.announce(self._news())

    def _is_settling(self, found: ports.EndpointList) -> bool:
        """Return whether a list may be stale after a restored store."""
        now = anyio.current_time()
        known, self._generation = self._generation, found.generation
        if known and found.generation > known:
            self._settled_at = now + RESTORE_SETTLE_S
        return now < self._settled_at

    async def _ask(self) -> bool:
        """Ask watchers for a newer list; return whether a list is known.

        The first watcher that answers ends the poll.
        """
        for proxy in self._watch.watchers():
            question = messages.AskEndpoints(max(0, self._known.version))
            answer = await self._peers.fetch(proxy, question)
            if isinstance(answer, messages.EndpointNews):
                self.update(answer)
                return self._known.version >= 0
        return False

    def _accept(self, found: ports.EndpointList) -> None:
        self._known = found
        self._encoded = _structure.to_json(found.entries)
        self._on_list(found.entries)

    def _news(self) -> messages.EndpointNews:
        return messages.EndpointNews(self._known.version, self._encoded)

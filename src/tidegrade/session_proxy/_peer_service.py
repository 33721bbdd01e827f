"""What other proxies may ask of this one."""

import anyio.abc

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _evidence_task
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.session_proxy import _config_news


class PeerService:
    """Answers the messages of other proxies."""

    def __init__(
        self,
        proxy_id: str,
        peers: _peers_task.PeersTask,
        groups: dict[messages.GroupKey, _group_task.GroupTask],
        evidence: _evidence_task.EvidenceTask,
        config_news: _config_news.ConfigNews,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._proxy_id = proxy_id
        self._peers = peers
        self._groups = groups
        self._evidence = evidence
        self._config_news = config_news
        self._tasks = tasks

    def handle(self, body: messages.PeerBody) -> messages.PeerBody | None:
        """Take a message and give the answer, if it wants one."""
        if isinstance(body, messages.Heartbeat):
            self._peers.heard(body)
            self._config_news.heard(body, self._tasks)
        elif isinstance(body, messages.GiveUp):
            return self._give_up(body)
        elif isinstance(body, messages.RowNews):
            self._row_news(body)
        elif isinstance(body, messages.AskEvidence):
            return self._evidence.answer(body)
        elif isinstance(body, messages.AskConfig):
            return self._config_news.answer(body)
        return None

    def _give_up(self, body: messages.GiveUp) -> messages.GaveUp | None:
        group = self._groups.get(body.key)
        if group is None:
            # Without the group there is no permission, but it may come.
            return None
        group.give_up(body.below)
        return messages.GaveUp(body.key, body.below, self._proxy_id)

    def _row_news(self, body: messages.RowNews) -> None:
        group = self._groups.get(body.key)
        if group is None:
            return
        row = _rows.decode_row(body.row)
        if row.is_err():
            logs.write(
                logs.LogEvent.ROW_MALFORMED,
                row=str(body.key),
                reason=row.unwrap_err(),
            )
            return
        group.post(core.RowSeen(row.unwrap()))

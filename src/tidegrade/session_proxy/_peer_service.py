"""Handling of messages from other proxies."""

from collections.abc import Callable

import attrs

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _evidence_task
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _quotas
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.peers import _server
from tidegrade import ports
from tidegrade.session_proxy import _endpoint_list
from tidegrade.session_proxy import _platform_watch

#: Answer to a request for a group that this proxy does not serve, or no longer
#: serves.
_NOT_SERVED = core.Answer(core.Outcome.NOT_RUN, code=core.Code.DRAINING)
#: Kinds of request whose success acknowledges a write.
_ACKNOWLEDGED = frozenset({core.Kind.WRITE, core.Kind.COMMIT})


class PeerService:
    """Handles the messages of other proxies."""

    def __init__(
        self,
        proxy_id: str,
        peers: _peers_task.PeersTask,
        groups: dict[messages.GroupKey, _group_task.GroupTask],
        evidence: _evidence_task.EvidenceTask,
        watch: _platform_watch.PlatformWatch,
        endpoints: _endpoint_list.EndpointListTask,
        quotas: _quotas.Quotas,
        next_number: Callable[[], int],
        clock: ports.Clock,
    ) -> None:
        self._proxy_id = proxy_id
        self._peers = peers
        self._groups = groups
        self._evidence = evidence
        self._watch = watch
        self._endpoints = endpoints
        self._quotas = quotas
        self._next_number = next_number
        self._clock = clock
        #: Number of forwarded requests that are being served.
        self.in_flight = 0

    def handle(self, body: messages.PeerBody) -> _server.Reply:
        """Handle a message and return its answer; None if it has none.

        The answers to forwarded requests, and to quota requests that are
        passed on to another proxy, have to be awaited.
        """
        if isinstance(body, messages.Forward):
            return self._serve(body)
        return self._dispatch(body)

    def _dispatch(self, body: messages.PeerBody) -> _server.Reply:
        if isinstance(body, messages.Heartbeat):
            self._peers.receive_heartbeat(body)
        elif isinstance(body, messages.Digest):
            self._peers.receive_digest(body)
        elif isinstance(body, messages.GiveUp):
            return self._give_up(body)
        elif isinstance(body, messages.RowNews):
            self._row_news(body)
        elif isinstance(body, messages.AskEvidence):
            return self._evidence.answer(body)
        elif isinstance(body, messages.AskConfig):
            return self._watch.answer(body)
        elif isinstance(body, messages.AskEndpoints):
            return self._endpoints.answer(body)
        elif isinstance(body, messages.EndpointNews):
            self._endpoints.update(body)
        elif isinstance(body, messages.AskQuota):
            return self._quotas.answer(body)
        elif isinstance(body, messages.QuotaBack):
            self._quotas.take_back(body)
        elif isinstance(body, messages.QuotaTaken):
            self._quotas.take_off(body)
        elif isinstance(body, messages.QuotaHandover):
            self._quotas.take_over(body)
        return None

    async def _serve(self, body: messages.Forward) -> messages.Forwarded:
        """Serve a request that another proxy forwarded."""
        group = self._groups.get(body.key)
        owns_txn = core.owner_of(body.request.txn) == self._proxy_id
        if group is None or not (group.serving or owns_txn):
            return messages.Forwarded(_NOT_SERVED)
        req = core.shifted_request(
            body.request, self._clock.now(), self._next_number()
        )
        self.in_flight += 1
        try:
            answer = await group.request(req)
        finally:
            self.in_flight -= 1
        if req.kind in _ACKNOWLEDGED:
            answer = group.final(answer)
        until = answer.acknowledge_until
        if until is not None:
            left = until - self._clock.now()
            answer = attrs.evolve(answer, acknowledge_until=left)
        return messages.Forwarded(answer)

    def _give_up(self, body: messages.GiveUp) -> messages.GaveUp | None:
        group = self._groups.get(body.key)
        if group is None:
            # This proxy holds no permission without the group, but may get
            # the group and a permission later, so it confirms nothing.
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
        group.post(core.RowReceived(row.unwrap()))

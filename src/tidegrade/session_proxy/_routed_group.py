"""Routing of session requests to a proxy that serves their group.

A proxy without connections to a group's endpoints forwards each request to a
proxy that has some, if possible in its own failure domain. The result of a
request that got no answer depends on whether it may have changed data.
"""

import attrs

from tidegrade import core
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _homes

#: Time beyond a request's own limit that another proxy gets for its answer, in
#: seconds: two trips between failure domains on a loaded VM.
ANSWER_MARGIN_S = 0.05
#: Kinds of request that are safe to retry at another proxy: reads, and
#: statements of a transaction that has not begun.
_REPEATABLE = frozenset({core.Kind.READ, core.Kind.BEGIN})
#: Retry time for callers while no proxy that serves the group answers, in
#: seconds: about one heartbeat interval.
RETRY_AFTER_S = 0.5


@attrs.frozen
class Forwarding:
    """The dependencies of forwarding requests to other proxies."""

    proxy_id: str
    peers: _peers_task.PeersTask
    homes: _homes.HomeMap
    clock: ports.Clock


class RoutedGroup:
    """Serves session requests locally or through another proxy."""

    def __init__(
        self, task: _group_task.GroupTask, forwarding: Forwarding
    ) -> None:
        self._task = task
        self._proxy_id = forwarding.proxy_id
        self._peers = forwarding.peers
        self._homes = forwarding.homes
        self._clock = forwarding.clock

    async def request(self, req: core.Request) -> core.Answer:
        """Serve a request and return its answer."""
        owner = core.owner_of(req.txn)
        if owner and owner != self._proxy_id:
            return await self._forward_to_owner(owner, req)
        if owner:
            return await self._task.request(req)
        if self._task.serving and not req.tenant:
            return await self._task.request(req)
        return await self._forward(req)

    def post(self, event: core.Event) -> None:
        """Queue an event, here or at another proxy, without a wait."""
        owner = ''
        if isinstance(event, core.RequestArrived):
            owner = core.owner_of(event.req.txn)
        if not owner or owner == self._proxy_id:
            self._task.post(event)
            return
        assert isinstance(event, core.RequestArrived)
        self._peers.send_to(owner, self._message(event.req))

    def final(self, answer: core.Answer) -> core.Answer:
        """Return the answer after a check that it may be acknowledged.

        An answer whose permission to acknowledge has ended becomes unknown.
        """
        if answer.trace is None or not answer.trace.via:
            return self._task.final(answer)
        until = answer.acknowledge_until
        if until is None or self._clock.now() < until:
            return answer
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.UNCONFIRMED,
            detail='write permission ended before the write was acknowledged',
            trace=answer.trace,
        )

    # Other proxies --------------------------------------------------------

    async def _forward(self, req: core.Request) -> core.Answer:
        """Forward a request to proxies that serve the group, one by one."""
        tried: frozenset[str] = frozenset()
        latest = min(req.deadline, req.place_by)
        while self._clock.now() < latest:
            home = self._pick(req, tried)
            if home is None:
                break
            if home == self._proxy_id:
                return await self._task.request(req)
            answer = await self._ask(home, req)
            if answer is not None:
                return answer
            tried |= {home}
        return core.Answer(
            core.Outcome.NOT_RUN,
            code=core.Code.NO_PRIMARY,
            detail='none of the proxies that serve the group answered; '
            f'{len(tried)} were tried',
            retry_after=RETRY_AFTER_S,
        )

    def _pick(self, req: core.Request, tried: frozenset[str]) -> str | None:
        """Return the proxy to serve a request, by tenant if it has one."""
        return self._homes.pick(
            self._task.key,
            self._task.machine.cfg,
            req.tenant,
            self._task.serving,
            tried,
        )

    async def _forward_to_owner(
        self, owner: str, req: core.Request
    ) -> core.Answer:
        """Forward a request to the proxy that holds its transaction."""
        answer = await self._ask(owner, req)
        if answer is not None:
            return answer
        return core.Answer(
            core.Outcome.NOT_RUN,
            code=core.Code.CONN_LOST,
            detail='the proxy that held the transaction was not reached; '
            'the transaction was rolled back',
        )

    async def _ask(self, home: str, req: core.Request) -> core.Answer | None:
        """Return another proxy's answer; None if no data was changed."""
        asked_at = self._clock.now()
        limit = req.deadline - asked_at
        if req.kind in _REPEATABLE:
            limit = min(limit, req.attempt_limit)
        self._homes.forwarded(home)
        asked = await self._peers.ask_within(
            home, self._message(req), limit + ANSWER_MARGIN_S
        )
        self._homes.answered(home, asked.answer is None)
        if isinstance(asked.answer, messages.Forwarded):
            return self._localize(home, asked.answer.answer, asked_at)
        self._log_lost(home, req, asked.sent, asked_at)
        may_have_written = req.kind in (core.Kind.WRITE, core.Kind.COMMIT)
        if not asked.sent or not may_have_written:
            return None
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.CONN_LOST,
            detail=f'no answer arrived from the proxy {home}',
            trace=core.Trace(0, 1, 0, via=home),
        )

    def _localize(
        self, home: str, answer: core.Answer, asked_at: float
    ) -> core.Answer | None:
        """Return an answer with local times; None to try another proxy."""
        if answer.code is core.Code.DRAINING:
            return None
        until = answer.acknowledge_until
        if until is not None:
            # The time left is added to the time of sending, not of receipt,
            # so the permission never ends later here than at its holder.
            until += asked_at
        trace = answer.trace or core.Trace(0, 0, 0)
        return attrs.evolve(
            answer,
            acknowledge_until=until,
            trace=attrs.evolve(trace, via=home),
        )

    def _message(self, req: core.Request) -> messages.Forward:
        relative = core.shifted_request(req, -self._clock.now())
        return messages.Forward(self._task.key, relative)

    def _log_lost(
        self, home: str, req: core.Request, sent: bool, asked_at: float
    ) -> None:
        logs.write_bounded(
            logs.LogEvent.FORWARD_LOST,
            group=str(self._task.key),
            peer=home,
            request=req.statements[0].id if req.statements else '',
            kind=req.kind.value,
            sent=sent,
            took_ms=round((self._clock.now() - asked_at) * 1000, 1),
        )

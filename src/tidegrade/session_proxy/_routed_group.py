"""A group as sessions see it, whichever proxy serves it.

A proxy without connections to a group's endpoints hands each request to
one that has some, near it if there is one. What is said of a request that
got no answer depends on what it may have done.
"""

import attrs

from tidegrade import core
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _homes

#: Time beyond its own limit that another proxy gets for its answer, in
#: seconds: two trips between failure domains on a loaded VM.
ANSWER_MARGIN = 0.05
#: Requests whose repetition can do no harm: reads, and statements of a
#: transaction that has not begun.
_REPEATABLE = frozenset({core.Kind.READ, core.Kind.BEGIN})
#: When to come back while no proxy that serves a group is known, in
#: seconds: about one heartbeat.
RETRY_AFTER = 0.5


@attrs.frozen
class Forwarding:
    """What handing requests to other proxies takes."""

    proxy_id: str
    peers: _peers_task.PeersTask
    homes: _homes.HomeMap
    clock: ports.Clock


class RoutedGroup:
    """Serves the requests of sessions here or through another proxy."""

    def __init__(
        self, task: _group_task.GroupTask, forwarding: Forwarding
    ) -> None:
        self._task = task
        self._own = forwarding.proxy_id
        self._peers = forwarding.peers
        self._homes = forwarding.homes
        self._clock = forwarding.clock

    async def request(self, req: core.Request) -> core.Answer:
        """Have a request served and wait for its one answer."""
        owner = core.owner_of(req.txn)
        if owner and owner != self._own:
            return await self._step(owner, req)
        if owner:
            return await self._task.request(req)
        if self._task.serving and not req.tenant:
            return await self._task.request(req)
        return await self._forward(req)

    def post(self, event: core.Event) -> None:
        """Have an event handled; nobody waits for its outcome."""
        owner = ''
        if isinstance(event, core.RequestArrived):
            owner = core.owner_of(event.req.txn)
        if not owner or owner == self._own:
            self._task.post(event)
            return
        assert isinstance(event, core.RequestArrived)
        self._peers.send_to(owner, self._message(event.req))

    def final(self, answer: core.Answer) -> core.Answer:
        """Give the answer that is true at this very moment."""
        if answer.trace is None or not answer.trace.via:
            return self._task.final(answer)
        until = answer.acknowledge_until
        if until is None or self._clock.now() < until:
            return answer
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.UNCONFIRMED,
            detail='the permission to acknowledge ended meanwhile',
            trace=answer.trace,
        )

    # Other proxies --------------------------------------------------------

    async def _forward(self, req: core.Request) -> core.Answer:
        """Have any proxy that serves the group take a request."""
        tried: frozenset[str] = frozenset()
        latest = min(req.deadline, req.place_by)
        while self._clock.now() < latest:
            home = self._pick(req, tried)
            if home is None:
                break
            if home == self._own:
                return await self._task.request(req)
            answer = await self._ask(home, req)
            if answer is not None:
                return answer
            tried |= {home}
        return core.Answer(
            core.Outcome.NOT_RUN,
            code=core.Code.NO_PRIMARY,
            detail=f'no proxy that serves the group answered; {len(tried)} '
            'were tried',
            retry_after=RETRY_AFTER,
        )

    def _pick(self, req: core.Request, tried: frozenset[str]) -> str | None:
        """Give the proxy to serve a request: a tenant's has its home."""
        return self._homes.pick(
            self._task.key,
            self._task.machine.cfg,
            req.tenant,
            self._task.serving,
            tried,
        )

    async def _step(self, owner: str, req: core.Request) -> core.Answer:
        """Have the proxy that keeps a transaction take its next step."""
        answer = await self._ask(owner, req)
        if answer is not None:
            return answer
        return core.Answer(
            core.Outcome.NOT_RUN,
            code=core.Code.CONN_LOST,
            detail='the proxy that kept the transaction was not reached; '
            'it was rolled back',
        )

    async def _ask(self, home: str, req: core.Request) -> core.Answer | None:
        """Give another proxy's answer; None if the request kept nothing."""
        asked_at = self._clock.now()
        limit = req.deadline - asked_at
        if req.kind in _REPEATABLE:
            limit = min(limit, req.attempt_limit)
        self._homes.asked(home)
        asked = await self._peers.ask_within(
            home, self._message(req), limit + ANSWER_MARGIN
        )
        self._homes.answered(home, asked.answer is None)
        if isinstance(asked.answer, messages.Forwarded):
            return self._received(home, asked.answer.answer, asked_at)
        self._log_lost(home, req, asked.sent, asked_at)
        keeps = req.kind in (core.Kind.WRITE, core.Kind.COMMIT)
        if not asked.sent or not keeps:
            return None
        return core.Answer(
            core.Outcome.UNKNOWN,
            code=core.Code.CONN_LOST,
            detail=f'no answer came from the proxy {home}',
            trace=core.Trace(0, 1, 0, via=home),
        )

    def _received(
        self, home: str, answer: core.Answer, asked_at: float
    ) -> core.Answer | None:
        """Give an answer as seen here; None asks for another proxy."""
        if answer.code is core.Code.DRAINING:
            return None
        until = answer.acknowledge_until
        if until is not None:
            # Dated from before the question, so it is never too late.
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

"""Serves callers: who may, what exactly is asked, and where it goes."""

import hashlib
import itertools

import attrs
import orjson

from tidegrade.adapters import _keys
from tidegrade import config
from tidegrade import core
from tidegrade.daemon import _group_task
from tidegrade.daemon import _peers_task
from tidegrade.http_proxy import _deps
from tidegrade.http_proxy import _tenants
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.peers import _wire
from tidegrade import ports

#: Kinds that run in a transaction opened earlier.
TXN_KINDS = (core.Kind.EXECUTE, core.Kind.COMMIT, core.Kind.ROLLBACK)
#: Kinds whose success is the acknowledgement of a write.
ACKNOWLEDGING = (core.Kind.WRITE, core.Kind.COMMIT)
#: When to come back to a proxy without a configuration, in seconds.
CONFIG_RETRY = 1.0
#: When to come back after a fault in reaching another proxy, in seconds.
PEER_RETRY = 0.5


@attrs.define
class Reply:
    """An answer with the token to return, and the last check of it."""

    answer: core.Answer
    session: str = ''
    group: _group_task.GroupTask | None = None
    acknowledges: bool = False

    def final(self) -> core.Answer:
        """Give the answer that is true at this moment.

        A proxy that was paused or has given up its permission since the
        write was confirmed must not acknowledge it any more.
        """
        if not self.acknowledges or self.group is None:
            return self.answer
        answer = self.group.final(self.answer)
        if answer is not self.answer:
            self.session = ''
        return answer


class Service:
    """The caller interface's inner side."""

    def __init__(
        self, deps: _deps.HttpDeps, peers: _peers_task.PeersTask
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._limits = _tenants.TenantLimits()
        self._numbers = itertools.count(1)
        self.doc = config.Document(sites={})
        self.version = 0
        self.groups: dict[messages.GroupKey, _group_task.GroupTask] = {}
        self.in_flight = 0

    async def call(self, call: ports.Call) -> ports.CallReply:
        """Serve one call; every outcome is an answer."""
        if self.version == 0:
            return _refused(
                core.Code.NO_CONFIG,
                'no configuration is in force here yet',
                CONFIG_RETRY,
            )
        tenant = self._tenant_of(call)
        if tenant is None:
            return _refused(core.Code.UNAUTHORIZED, 'the key opens nothing')
        cfg = self.doc.sites[call.site].tenants[tenant]
        name = f'{call.site}/{tenant}'
        wait = self._limits.admit(name, cfg, self._deps.clock.now())
        if wait > 0:
            return _refused(
                core.Code.TENANT_LIMIT, 'the tenant is over a limit', wait
            )
        self.in_flight += 1
        try:
            with self._limits.serving(name):
                reply = await self._served(call, tenant)
        finally:
            self.in_flight -= 1
        self._count(call, tenant, reply)
        return reply

    async def forwarded(self, ask: messages.Forward) -> core.Answer:
        """Serve a transaction's step that came through another proxy."""
        group = self.groups.get(ask.key)
        if group is None:
            return _refused(core.Code.TXN_UNKNOWN, 'no such group').answer
        req = core.shifted_request(
            ask.request, self._deps.clock.now(), next(self._numbers)
        )
        answer = await group.request(req)
        reply = Reply(
            answer, group=group, acknowledges=req.kind in ACKNOWLEDGING
        )
        return reply.final()

    # Checks ---------------------------------------------------------------

    def _tenant_of(self, call: ports.Call) -> str | None:
        site = self.doc.sites.get(call.site)
        if site is None:
            return None
        hashes = {n: t.key_sha256 for n, t in site.tenants.items()}
        return _keys.holder_of(call.authorization, hashes)

    async def _served(self, call: ports.Call, tenant: str) -> Reply:
        key = messages.GroupKey(call.site, call.group)
        group = self.groups.get(key)
        if group is None:
            return _refused(core.Code.NOT_FOUND, 'no such group')
        token = core.SessionToken(call.site)
        if call.session:
            read = _wire.decode_token(call.session)
            if read.is_err():
                return _refused(core.Code.BAD_REQUEST, read.unwrap_err())
            token = read.unwrap()
        if token.site != call.site:
            return _refused(
                core.Code.BAD_REQUEST, 'the token is of another site'
            )
        read_class = group.machine.cfg.read_classes.get(call.read_class)
        if call.read_class and read_class is None:
            return _refused(core.Code.BAD_REQUEST, 'no such read class')
        if len(call.statements) > group.machine.cfg.max_statements:
            return _refused(core.Code.BAD_REQUEST, 'too many statements')
        max_age = call.max_age
        if read_class is not None:
            max_age = read_class.max_age_s
        req = self._request(call, tenant, token, max_age)
        return await self._run(req, group, token, call)

    def _request(
        self,
        call: ports.Call,
        tenant: str,
        token: core.SessionToken,
        max_age: float | None,
    ) -> core.Request:
        key = None
        if call.key is not None:
            key = f'{tenant}:{call.key}'
        return core.Request(
            id=next(self._numbers),
            tenant=tenant,
            kind=call.kind,
            deadline=call.received + call.time_left,
            statements=call.statements,
            floor=token.positions.get(call.group),
            max_age=max_age,
            idempotent=call.idempotent,
            key=key,
            fingerprint=fingerprint(call.statements) if key else '',
            txn=call.txn,
        )

    # Running --------------------------------------------------------------

    async def _run(
        self,
        req: core.Request,
        group: _group_task.GroupTask,
        token: core.SessionToken,
        call: ports.Call,
    ) -> Reply:
        owner = core.owner_of(req.txn)
        if req.kind in TXN_KINDS and owner != self._deps.proxy_id:
            answer = await self._forward(req, group, owner)
        else:
            answer = await group.request(req)
        session = ''
        if answer.outcome is core.Outcome.DONE:
            if answer.position is not None:
                token = token.seen(call.group, answer.position)
            version = max(token.config_version, self.version)
            token = attrs.evolve(token, config_version=version)
            session = _wire.encode_token(token)
        return Reply(
            answer,
            session,
            group,
            acknowledges=req.kind in ACKNOWLEDGING,
        )

    async def _forward(
        self, req: core.Request, group: _group_task.GroupTask, owner: str
    ) -> core.Answer:
        """Hand a step to the proxy that keeps the transaction."""
        now = self._deps.clock.now()
        time_left = req.deadline - now
        ask = messages.Forward(group.key, core.shifted_request(req, -now))
        asked = await self._peers.ask_within(owner, ask, time_left)
        if isinstance(asked.answer, messages.Forwarded):
            return asked.answer.answer
        outcome = core.Outcome.NOT_RUN
        detail = 'the proxy that keeps the transaction was not reached'
        if asked.sent:
            outcome = core.Outcome.UNKNOWN
            detail = 'the proxy that keeps the transaction did not answer'
        return core.Answer(
            outcome,
            code=core.Code.TXN_UNREACHABLE,
            detail=detail,
            retry_after=PEER_RETRY,
        )

    def _count(self, call: ports.Call, tenant: str, reply: Reply) -> None:
        answer = reply.answer
        if answer.outcome is core.Outcome.UNKNOWN:
            logs.write(
                logs.LogEvent.OUTCOME_UNKNOWN,
                request=call.request_id,
                tenant=tenant,
                code=answer.code.value if answer.code else '',
            )
        took = self._deps.clock.now() - call.received
        metrics = self._deps.metrics
        metrics.requests.inc(
            {
                'site': call.site,
                'tenant': tenant,
                'kind': call.kind.value,
                'outcome': answer.outcome.value,
                'code': answer.code.value if answer.code else '',
            }
        )
        name = call.read_class or call.kind.value
        metrics.class_latency.observe({'class': name}, took)
        metrics.tenant_latency.observe(
            {'site': call.site, 'tenant': tenant}, took
        )
        if call.kind is core.Kind.READ and (
            answer.outcome is core.Outcome.DONE
        ):
            role = 'replica' if answer.from_replica else 'primary'
            metrics.reads.inc({'site': call.site, 'role': role})


def fingerprint(statements: tuple[core.Statement, ...]) -> str:
    """Give a hash that tells one request's content from another's."""
    plain = [[stmt.sql, list(stmt.params)] for stmt in statements]
    return hashlib.sha256(orjson.dumps(plain)).hexdigest()


def _refused(
    code: core.Code, detail: str, retry_after: float | None = None
) -> Reply:
    return Reply(
        core.Answer(
            core.Outcome.NOT_RUN,
            code=code,
            detail=detail,
            retry_after=retry_after,
        )
    )

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
from tidegrade.daemon import _quotas
from tidegrade.http_proxy import _deps
from tidegrade.http_proxy import _tenants
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade.peers import _wire
from tidegrade import ports
from tidegrade import tenants

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
        self,
        deps: _deps.HttpDeps,
        peers: _peers_task.PeersTask,
        quotas: _quotas.Quotas,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._quotas = quotas
        self._of_tenants = _tenants.InFlight()
        self._numbers = itertools.count(1)
        self.doc = config.Document(sites={})
        self.tenants = _tenants.SiteTenants(self.doc)
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
        refused = await self._over_limit(call, tenant)
        if refused is not None:
            return refused
        tenant = self._tenant_of(call)
        if tenant is None:
            # Withdrawn while the keeper of the quota was asked.
            return _refused(core.Code.UNAUTHORIZED, 'the key was withdrawn')
        self.in_flight += 1
        name = self.tenants.short_name(tenant)
        try:
            with self._of_tenants.serving(tenant.name):
                reply = await self._served(call, name)
        finally:
            self.in_flight -= 1
        self._count(call, name, reply)
        return reply

    async def _over_limit(
        self, call: ports.Call, tenant: tenants.Tenant
    ) -> Reply | None:
        """Refuse a request over a limit of its tenant; None: it may start."""
        name = self.tenants.short_name(tenant)
        cfg = self.doc.sites[call.site].tenants[name]
        detail = 'the tenant is over a limit'
        if not self._of_tenants.allows(tenant.name, cfg.max_in_flight):
            return _refused(core.Code.TENANT_LIMIT, detail, 1 / tenant.rate)
        admission = await self._quotas.admit(tenant, 0.0)
        if admission.granted:
            return None
        return _refused(core.Code.TENANT_LIMIT, detail, admission.wait)

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

    def _tenant_of(self, call: ports.Call) -> tenants.Tenant | None:
        key = _keys.bearer_key(call.authorization)
        if key is None:
            return None
        return self.tenants.holder_of(call.site, tenants.key_hash(key))

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

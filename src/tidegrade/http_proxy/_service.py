"""Callers' requests: authentication, checks, and routing to a group."""

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

#: Kinds of request that run in a transaction that is already open.
TXN_KINDS = (core.Kind.EXECUTE, core.Kind.COMMIT, core.Kind.ROLLBACK)
#: Kinds of request whose success acknowledges a write.
ACKNOWLEDGING_KINDS = (core.Kind.WRITE, core.Kind.COMMIT)
#: Time after which a caller may retry at a proxy that had no
#: configuration, in seconds.
CONFIG_RETRY_AFTER_S = 1.0
#: Time after which a caller may retry when the proxy that keeps its
#: transaction could not be reached, in seconds.
PEER_RETRY_AFTER_S = 0.5


@attrs.define
class Reply:
    """An answer with the session token to return.

    If ``acknowledges`` is true, the answer may confirm a write, and
    ``group`` checks it once more before it is sent.
    """

    answer: core.Answer
    session: str = ''
    group: _group_task.GroupTask | None = None
    acknowledges: bool = False

    def final(self) -> core.Answer:
        """Return the answer that is valid now.

        A proxy must not acknowledge a write if it was paused or gave up
        its permission after the write was confirmed.
        """
        if not self.acknowledges or self.group is None:
            return self.answer
        answer = self.group.final(self.answer)
        if answer is not self.answer:
            self.session = ''
        return answer


class Service:
    """Implements the callers' interface, independent of HTTP."""

    def __init__(
        self,
        deps: _deps.HttpDeps,
        peers: _peers_task.PeersTask,
        quotas: _quotas.Quotas,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._quotas = quotas
        self._tenant_in_flight = _tenants.InFlight()
        self._request_ids = itertools.count(1)
        self.doc = config.Document(sites={})
        self.tenants = _tenants.SiteTenants(self.doc)
        self.version = 0
        self.groups: dict[messages.GroupKey, _group_task.GroupTask] = {}
        self.in_flight = 0

    async def call(self, call: ports.Call) -> ports.CallReply:
        """Serve one call; failures are returned as answers, too."""
        if self.version == 0:
            return _refused(
                core.Code.NO_CONFIG,
                'no configuration is in force here yet',
                CONFIG_RETRY_AFTER_S,
            )
        tenant = self._tenant_of(call)
        if tenant is None:
            return _refused(core.Code.UNAUTHORIZED, 'unknown key')
        refused = await self._check_limits(call, tenant)
        if refused is not None:
            return refused
        tenant = self._tenant_of(call)
        if tenant is None:
            # The key was withdrawn while this proxy waited for the
            # proxy that grants the quota.
            return _refused(core.Code.UNAUTHORIZED, 'the key was withdrawn')
        self.in_flight += 1
        name = self.tenants.short_name(tenant)
        try:
            with self._tenant_in_flight.serving(tenant.name):
                reply = await self._serve(call, name)
        finally:
            self.in_flight -= 1
        self._count(call, name, reply)
        return reply

    async def _check_limits(
        self, call: ports.Call, tenant: tenants.Tenant
    ) -> Reply | None:
        """Return the refusal if the tenant is over a limit, or else None."""
        name = self.tenants.short_name(tenant)
        cfg = self.doc.sites[call.site].tenants[name]
        detail = 'the tenant is over a limit'
        if not self._tenant_in_flight.allows(tenant.name, cfg.max_in_flight):
            return _refused(core.Code.TENANT_LIMIT, detail, 1 / tenant.rate)
        admission = await self._quotas.admit(tenant, 0.0)
        if admission.granted:
            return None
        return _refused(core.Code.TENANT_LIMIT, detail, admission.wait)

    async def serve_forwarded(self, ask: messages.Forward) -> core.Answer:
        """Serve a step of a transaction that another proxy forwarded."""
        group = self.groups.get(ask.key)
        if group is None:
            return _refused(core.Code.TXN_UNKNOWN, 'no such group').answer
        req = core.shifted_request(
            ask.request, self._deps.clock.now(), next(self._request_ids)
        )
        answer = await group.request(req)
        reply = Reply(
            answer, group=group, acknowledges=req.kind in ACKNOWLEDGING_KINDS
        )
        return reply.final()

    # Checks ---------------------------------------------------------------

    def _tenant_of(self, call: ports.Call) -> tenants.Tenant | None:
        key = _keys.bearer_key(call.authorization)
        if key is None:
            return None
        return self.tenants.holder_of(call.site, tenants.key_hash(key))

    async def _serve(self, call: ports.Call, tenant: str) -> Reply:
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
                core.Code.BAD_REQUEST,
                'the session token belongs to another site',
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
            id=next(self._request_ids),
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
            acknowledges=req.kind in ACKNOWLEDGING_KINDS,
        )

    async def _forward(
        self, req: core.Request, group: _group_task.GroupTask, owner: str
    ) -> core.Answer:
        """Forward a step to the proxy that keeps the transaction."""
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
            retry_after=PEER_RETRY_AFTER_S,
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
    """Return a hash of the statements and their parameters.

    It shows whether an idempotency key was reused for other statements.
    """
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

"""Rate limits of workspaces, shared by all proxies.

Each workspace (``tenant``) has one owner, a proxy chosen by rendezvous
hashing, that grants its operations. This module asks the owners for grants,
and grants for the workspaces whose owner this proxy is.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import anyio
import attrs

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade import tenants

#: Interval between updates of the known proxies, in seconds: about half the
#: interval between their heartbeats.
UPDATE_INTERVAL_S = 0.25
#: Time-out of a request to an owner, in seconds: many round trips, but short
#: compared with the time that callers wait for an operation.
OWNER_TIMEOUT_S = 0.15
#: Time-out of a request that a former owner passes on, in seconds: shorter
#: than that of the proxy that asked, which then still gets an answer.
PASS_ON_LIMIT_S = 0.1
#: Shortest time for which an owner that did not answer is skipped, in
#: seconds. After it, the owner is skipped until a heartbeat arrives that it
#: sent after the failure.
SKIP_OWNER_S = 1.0
#: Interval between log reports of granted operations, in seconds.
REPORT_INTERVAL_S = 1.0
#: Retry delay reported to the caller when no owner answers, in seconds.
RETRY_AFTER_S = 0.5


class Quotas:
    """Admits the operations of workspaces within their rate limits.

    ``version`` returns the configuration version in force, and ``named`` a
    workspace by its name, None if it is unknown. ``cut_off`` returns whether
    this failure domain receives heartbeats of no other. ``draining`` returns
    whether this proxy is stopping: the other proxies then use the next owner
    in turn, and so does this one.
    """

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        peers: _peers_task.PeersTask,
        clock: ports.Clock,
        version: Callable[[], int],
        named: Callable[[str], tenants.Tenant | None],
        cut_off: Callable[[], bool] = lambda: False,
        draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._version = version
        self._tenant_named = named
        self._cut_off = cut_off
        self._draining = draining
        now = clock.now()
        self._owner = core.QuotaOwner(now)
        self._ownership = core.Ownership(identity.proxy, now)
        self._handovers = core.Handovers()
        self._update_due_at = now + UPDATE_INTERVAL_S
        self._domains: dict[str, str] = {}
        self._failed_at: dict[str, float] = {}
        self._next_report = float('-inf')
        self.update_proxies()

    async def run(self) -> None:
        """Update the known proxies and log reports until cancelled."""
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            self.update_proxies()
            self._report(self._clock.now())

    def _check_pause(self) -> None:
        """Take a pause of this process into account before anything else.

        Requests that arrived during the pause may be processed before the
        task of :meth:`run` continues.
        """
        now = self._clock.now()
        late = now - self._update_due_at
        if late <= core.MAX_SCHEDULING_DELAY_S:
            return
        self._update_due_at = now
        self._owner.paused(late)
        self._ownership.reset(now)
        self._handovers.paused(now)
        logs.write(
            logs.LogEvent.QUOTA_OWNERSHIP_RESET, pause_ms=round(late * 1000)
        )

    def _report(self, now: float) -> None:
        """Log what this proxy granted as an owner, if a report is due."""
        if now < self._next_report:
            return
        self._next_report = now + REPORT_INTERVAL_S
        for bucket, counts in self._owner.reports():
            logs.write_bounded(
                logs.LogEvent.QUOTA_GRANTED,
                tenant=bucket.tenant.name,
                granted=counts.granted,
                refused=counts.refused,
                given_back=counts.given_back,
                taken_off=counts.taken_off,
                reserved=counts.reserved,
                level=round(bucket.level, 1),
                part=round(bucket.part, 2),
                rate=bucket.tenant.rate,
                new=now < bucket.reduced_until,
            )

    # Operations received by this proxy ------------------------------------

    async def admit(
        self, tenant: tenants.Tenant, patience: float, priority: int = 0
    ) -> core.Admission:
        """Request a grant for an operation that can wait ``patience`` seconds.

        Operations of priority 0 are the most urgent. The owners are tried in
        turn. If none answers, the operation is refused.
        """
        instead_of = ''
        grant: core.Grant | None
        for owner in self._owners_to_ask(tenant.name):
            if owner == self._identity.proxy:
                grant = self._grant(tenant, patience, instead_of, priority)
            else:
                grant = await self._ask_owner(
                    owner, tenant, patience, instead_of, priority
                )
            if grant is not None:
                return core.Admission(
                    grant.granted,
                    grant.wait,
                    owner,
                    grant.part,
                    grant.at,
                    grant.reserved,
                )
            instead_of = instead_of or self._domains.get(owner, '')
        return core.Admission(False, RETRY_AFTER_S)

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Return a grant whose operation reached no endpoint to its owner."""
        back = messages.QuotaBack(name, admission.at)
        if admission.owner == self._identity.proxy:
            self.take_back(back)
        else:
            self._peers.send_to(admission.owner, back)

    async def _ask_owner(
        self,
        owner: str,
        tenant: tenants.Tenant,
        patience: float,
        instead_of: str,
        priority: int,
    ) -> core.Grant | None:
        question = messages.AskQuota(
            tenant.name,
            tenant.rate,
            tenant.burst,
            self._version(),
            patience,
            instead_of,
            priority,
        )
        asked = await self._peers.ask_within(owner, question, OWNER_TIMEOUT_S)
        if isinstance(asked.answer, messages.QuotaGrant):
            return asked.answer.grant
        self._failed_at[owner] = self._clock.now()
        logs.write_bounded(
            logs.LogEvent.QUOTA_OWNER_LOST,
            peer=owner,
            tenant=tenant.name,
            sent=asked.sent,
        )
        return None

    def _owners_to_ask(self, name: str) -> tuple[str, ...]:
        """Return the owners to ask, the usual one first.

        Proxies behind a network partition are left out if others remain.
        """
        proxies = self._domains
        if self._cut_off():
            own = self._identity.domain
            proxies = {p: d for p, d in proxies.items() if d == own}
        silent = self._peers.silent_domains()
        reachable = {p: d for p, d in proxies.items() if d not in silent}
        failed = {
            proxy
            for proxy, at in self._failed_at.items()
            if self._is_skipped(proxy, at)
        }
        return core.quota_owners(name, reachable or proxies, failed)

    def _is_skipped(self, proxy: str, failed_at: float) -> bool:
        if self._clock.now() - failed_at < SKIP_OWNER_S:
            return True
        return not self._peers.has_heartbeat_since(proxy, failed_at)

    # Requests of other proxies --------------------------------------------

    def answer(
        self, question: messages.AskQuota
    ) -> messages.QuotaGrant | Awaitable[messages.QuotaGrant | None]:
        """Grant or refuse an operation that another proxy received.

        A question for a quota that this proxy has handed over is passed on:
        proxies that learn of the new owner later still ask this one.
        """
        owner = self._new_owner(question.tenant)
        if owner and not question.passed_on:
            return self._pass_on(owner, question)
        tenant = self._tenant_named(question.tenant)
        if tenant is None or question.config_version > self._version():
            tenant = tenants.Tenant(
                question.tenant, frozenset(), question.rate, question.burst
            )
        return messages.QuotaGrant(
            self._grant(
                tenant,
                question.patience,
                question.instead_of,
                question.priority,
            )
        )

    def _new_owner(self, name: str) -> str:
        """Return who owns a quota that was handed over; empty if none was."""
        if not self._handovers.has_sent(name, self._clock.now()):
            return ''
        owner, *_ = core.quota_owners(name, self._domains, ())
        return '' if owner == self._identity.proxy else owner

    async def _pass_on(
        self, owner: str, question: messages.AskQuota
    ) -> messages.QuotaGrant | None:
        """Ask the new owner; None if it does not answer."""
        passed_on = attrs.evolve(question, passed_on=True)
        asked = await self._peers.ask_within(owner, passed_on, PASS_ON_LIMIT_S)
        if isinstance(asked.answer, messages.QuotaGrant):
            return asked.answer
        return None

    def take_back(self, body: messages.QuotaBack) -> None:
        """Take back an unused grant that this proxy gave as owner."""
        self._check_pause()
        self._owner.give_back(body.tenant, body.at, self._clock.now())

    def take_off(self, body: messages.QuotaTaken) -> None:
        """Deduct a grant that a fallback owner gave from this one's."""
        self._check_pause()
        now = self._clock.now()
        tenant = self._tenant_named(body.tenant)
        if tenant is not None:
            since = self._first_since(tenant.name, False, now)
            self._owner.prepare(tenant, since, now)
        self._owner.take_off(body.tenant, now)

    def _grant(
        self,
        tenant: tenants.Tenant,
        patience: float,
        instead_of: str,
        priority: int,
    ) -> core.Grant:
        self._check_pause()
        now = self._clock.now()
        usual, *_ = core.quota_owners(tenant.name, self._domains, ())
        is_fallback = usual != self._identity.proxy
        if is_fallback and self._handovers.has_sent(tenant.name, now):
            # The new owner grants the full limit from its first request on.
            return core.Grant(False, RETRY_AFTER_S, self._visible_part(''))
        grant = self._owner.grant(
            tenant,
            self._visible_part(instead_of),
            patience,
            now,
            is_fallback=is_fallback,
            first_since=self._first_since(tenant.name, is_fallback, now),
            priority=priority,
        )
        if is_fallback and grant.granted:
            self._peers.send_to(usual, messages.QuotaTaken(tenant.name))
        return grant

    # Handovers ------------------------------------------------------------

    def take_over(self, body: messages.QuotaHandover) -> None:
        """Take over a workspace's bucket from its previous owner.

        It is kept for a moment, since this proxy may learn later than the
        sender that it is the owner now. The membership is checked at once:
        the sender passes requests on from now.
        """
        self._check_pause()
        self._handovers.keep(body.handover, self._clock.now())
        self.update_proxies()

    def _accept_handovers(self) -> None:
        now = self._clock.now()
        kept = list(self._handovers.kept(now))
        if not kept:
            return
        known = 1 + self._peers.peer_count()
        seen = core.visible_part(1 + len(self._peers.alive()), known)
        if seen < core.EXCLUSIVE_PART:
            return
        for handover in kept:
            tenant = self._tenant_named(handover.tenant)
            if tenant is None:
                continue
            since = self._ownership.first_since(tenant.name, now)
            if since is None:
                continue
            self._handovers.drop(tenant.name)
            accepted = self._ownership.follows(
                handover.sender, tenant.name
            ) and self._owner.take_over(
                tenant, handover.level, self._visible_part(''), since, now
            )
            logs.write(
                logs.LogEvent.QUOTA_TAKEN_OVER,
                tenant=tenant.name,
                peer=handover.sender,
                bucket_level=round(handover.level, 1),
                accepted=accepted,
            )

    def _hand_over(self, released: list[tuple[str, float]]) -> None:
        """Send the buckets that this proxy no longer owns to their owners.

        An owner that hasn't sent a heartbeat yet may not be running.
        """
        if not released:
            return
        now = self._clock.now()
        if not self._handovers.may_send(self._owner.lowest_part(now), now):
            return
        alive = self._peers.alive_ids()
        for name, level in released:
            owner, *_ = core.quota_owners(name, self._domains, ())
            if owner not in alive:
                continue
            self._handovers.record_sent(name, now)
            handover = core.Handover(name, level, self._identity.proxy)
            self._peers.send_to(owner, messages.QuotaHandover(handover))
            logs.write(
                logs.LogEvent.QUOTA_HANDED_OVER,
                tenant=name,
                peer=owner,
                bucket_level=round(level, 1),
            )

    def _first_since(
        self, name: str, is_fallback: bool, now: float
    ) -> float | None:
        """Return since when this proxy owns a workspace without a bucket."""
        if is_fallback or self._owner.level_of(name) is not None:
            return None
        return self._ownership.first_since(name, now)

    # Known proxies --------------------------------------------------------

    def update_proxies(self) -> None:
        """Update the known proxies and the workspaces that this one owns."""
        self._check_pause()
        domains = {
            proxy: domain
            for domain, proxies in self._peers.candidates().items()
            for proxy in proxies
        }
        if not domains or not self._draining():
            domains[self._identity.proxy] = self._identity.domain
        now = self._clock.now()
        released: list[tuple[str, float]] = []
        if domains.keys() != self._domains.keys():
            self._domains = domains
            self._failed_at = {
                p: at for p, at in self._failed_at.items() if p in domains
            }
            released = self._owner.retain_only(self._owned_tenants(), now)
        self._update_due_at = now + UPDATE_INTERVAL_S
        self._ownership.update(domains, now, self._peers.has_vm_list)
        self._hand_over(released)
        self._owner.observe(self._visible_part(''), now)
        self._accept_handovers()

    def _owned_tenants(self) -> frozenset[str]:
        """Return the workspaces, of those with a bucket here, owned here."""
        return frozenset(
            name
            for name in self._owner
            if core.owns_quota(name, self._identity.proxy, self._domains)
        )

    def _visible_part(self, instead_of: str) -> float:
        """Return the fraction of all proxies that is visible here.

        The owner grants this fraction of a limit. Proxies in ``instead_of``,
        the failure domain of an owner that did not answer, do not count: that
        domain may be cut off, with an owner that grants by its own fraction.
        """
        seen = self._count(
            (peer.beat.domain for peer in self._peers.alive()), instead_of
        )
        starting = self._count(self._peers.starting_domains(), instead_of)
        known = 1 + self._peers.peer_count()
        return core.visible_part(1 + seen, known, starting)

    def _count(self, domains: Iterable[str], instead_of: str) -> int:
        """Count the proxies whose part of the limit may be granted here."""
        if self._cut_off():
            return sum(domain == self._identity.domain for domain in domains)
        return sum(domain != instead_of for domain in domains)

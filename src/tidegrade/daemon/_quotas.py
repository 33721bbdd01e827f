"""Asking the keepers of tenants' quotas, and being the keeper of some."""

from collections.abc import Callable
from collections.abc import Iterable

import anyio

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade import tenants

#: Pause between looks which proxies there are, in seconds: about half of
#: the pause between their heartbeats.
LOOK = 0.25
#: Time that a keeper gets for its answer, in seconds: many round trips, and
#: short beside what callers wait for an operation.
ANSWER_LIMIT = 0.15
#: How long a keeper that did not answer is passed over at least, in seconds;
#: then until a heartbeat that it sent since comes.
AVOIDED_FOR = 1.0
#: Pause between reports of what was granted, in seconds.
REPORT_INTERVAL = 1.0
#: When to come back if no keeper answers, in seconds.
RETRY_AFTER = 0.5


class Quotas:
    """Has a tenant's operations granted by the one proxy that keeps it.

    ``cut_off`` tells whether this failure domain hears no other, and
    ``draining`` whether this proxy is stopping: others then turn to the next
    keeper, and so does it.
    """

    def __init__(
        self,
        spot: _roster.Spot,
        peers: _peers_task.PeersTask,
        clock: ports.Clock,
        version: Callable[[], int],
        named: Callable[[str], tenants.Tenant | None],
        cut_off: Callable[[], bool] = lambda: False,
        draining: Callable[[], bool] = lambda: False,
    ) -> None:
        self._spot = spot
        self._peers = peers
        self._clock = clock
        self._version = version
        self._named = named
        self._cut_off = cut_off
        self._draining = draining
        self._keeper = core.QuotaKeeper(clock.now())
        self._domains: dict[str, str] = {}
        self._failed_at: dict[str, float] = {}
        self._next_report = float('-inf')
        self.look()

    async def run(self) -> None:
        """Follow which proxies there are, until cancelled."""
        last = self._clock.now()
        while True:
            await anyio.sleep(LOOK)
            now = self._clock.now()
            late = now - last - LOOK
            if late > core.MAX_SCHEDULING_DELAY_S:
                self._keeper.paused(late)
            last = now
            self.look()
            self._report(now)

    def _report(self, now: float) -> None:
        """Log what this proxy granted as a keeper; now and then."""
        if now < self._next_report:
            return
        self._next_report = now + REPORT_INTERVAL
        for bucket, counts in self._keeper.reports():
            logs.write_bounded(
                logs.LogEvent.QUOTA_KEPT,
                tenant=bucket.tenant.name,
                granted=counts.granted,
                refused=counts.refused,
                given_back=counts.given_back,
                level=round(bucket.level, 1),
                part=round(bucket.part, 2),
                rate=bucket.tenant.rate,
                new=now < bucket.new_until,
            )

    # Operations that start here -------------------------------------------

    async def admit(
        self, tenant: tenants.Tenant, patience: float
    ) -> core.Admission:
        """Have an operation granted that can wait ``patience`` seconds."""
        instead_of = ''
        grant: core.Grant | None
        for keeper in self._keepers(tenant.name):
            if keeper == self._spot.proxy:
                grant = self._grant(tenant, patience, instead_of)
            else:
                grant = await self._ask(keeper, tenant, patience, instead_of)
            if grant is not None:
                return core.Admission(
                    grant.granted, grant.wait, keeper, grant.part, grant.at
                )
            instead_of = instead_of or self._domains.get(keeper, '')
        return core.Admission(False, RETRY_AFTER)

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Give back a grant whose operation reached no endpoint."""
        back = messages.QuotaBack(name, admission.at)
        if admission.keeper == self._spot.proxy:
            self.given_back(back)
        else:
            self._peers.tell(admission.keeper, back)

    async def _ask(
        self,
        keeper: str,
        tenant: tenants.Tenant,
        patience: float,
        instead_of: str,
    ) -> core.Grant | None:
        question = messages.AskQuota(
            tenant.name,
            tenant.rate,
            tenant.burst,
            self._version(),
            patience,
            instead_of,
        )
        asked = await self._peers.ask_within(keeper, question, ANSWER_LIMIT)
        if isinstance(asked.answer, messages.QuotaGrant):
            return asked.answer.grant
        self._failed_at[keeper] = self._clock.now()
        logs.write_bounded(
            logs.LogEvent.KEEPER_LOST,
            peer=keeper,
            tenant=tenant.name,
            sent=asked.sent,
        )
        return None

    def _keepers(self, name: str) -> tuple[str, ...]:
        """Give whom to ask, the usual keeper first."""
        proxies = self._domains
        if self._cut_off():
            own = self._spot.domain
            proxies = {p: d for p, d in proxies.items() if d == own}
        silent = self._peers.silent_domains()
        near = {p: d for p, d in proxies.items() if d not in silent}
        failed = {
            proxy
            for proxy, at in self._failed_at.items()
            if self._is_avoided(proxy, at)
        }
        return core.keepers_of(name, near or proxies, failed)

    def _is_avoided(self, proxy: str, failed_at: float) -> bool:
        if self._clock.now() - failed_at < AVOIDED_FOR:
            return True
        return not self._peers.heard_since(proxy, failed_at)

    # What other proxies ask -----------------------------------------------

    def answer(self, question: messages.AskQuota) -> messages.QuotaGrant:
        """Grant an operation that starts at another proxy, or refuse it."""
        tenant = self._named(question.tenant)
        if tenant is None or question.config_version > self._version():
            tenant = tenants.Tenant(
                question.tenant, frozenset(), question.rate, question.burst
            )
        return messages.QuotaGrant(
            self._grant(tenant, question.patience, question.instead_of)
        )

    def given_back(self, body: messages.QuotaBack) -> None:
        """Take back a grant that was not used."""
        self._keeper.give_back(body.tenant, body.at, self._clock.now())

    def _grant(
        self, tenant: tenants.Tenant, patience: float, instead_of: str
    ) -> core.Grant:
        return self._keeper.grant(
            tenant,
            self._part(instead_of),
            patience,
            self._clock.now(),
            stands_in=not core.keeps(
                tenant.name, self._spot.proxy, self._domains
            ),
        )

    # Who there is ---------------------------------------------------------

    def look(self) -> None:
        """Take in which proxies there are, and who keeps which tenant."""
        domains = {
            proxy: domain
            for domain, proxies in self._peers.candidates().items()
            for proxy in proxies
        }
        if not domains or not self._draining():
            domains[self._spot.proxy] = self._spot.domain
        if domains.keys() != self._domains.keys():
            self._domains = domains
            self._failed_at = {
                p: at for p, at in self._failed_at.items() if p in domains
            }
            self._keeper.keep_only(self._kept())
        self._keeper.observe(self._part(''), self._clock.now())

    def _kept(self) -> frozenset[str]:
        """Give the tenants whose keeper this proxy is, of those it serves."""
        return frozenset(
            name
            for name in self._keeper
            if core.keeps(name, self._spot.proxy, self._domains)
        )

    def _part(self, instead_of: str) -> float:
        """Give the part of all proxies that is seen here.

        Proxies in the domain of a keeper that did not answer are left out:
        it may be cut off, and grant by its own part.
        """
        seen = self._counted(
            (peer.beat.domain for peer in self._peers.alive()), instead_of
        )
        starting = self._counted(self._peers.starting_domains(), instead_of)
        known = 1 + self._peers.named_count()
        return core.part_seen(1 + seen, known, starting)

    def _counted(self, domains: Iterable[str], instead_of: str) -> int:
        """Count the proxies that may speak for a part of the limit."""
        if self._cut_off():
            return sum(domain == self._spot.domain for domain in domains)
        return sum(domain != instead_of for domain in domains)

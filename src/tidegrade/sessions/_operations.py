"""Access and quota checks at the start of each operation."""

import math

import anyio
import attrs
import result

from tidegrade import core
from tidegrade.sessions import _access
from tidegrade.sessions import _deps
from tidegrade import tenants

#: How long after its begin a transaction may continue although its key was
#: withdrawn, in seconds. Most transactions end sooner, and it is less than the
#: time within which a configuration must be in force.
WITHDRAWN_KEY_GRACE_S = 2.0
#: Fraction of the target latency that an operation may wait for its quota. A
#: caller that would have to wait longer is refused with a retry time.
QUOTA_WAIT_SHARE = 0.4


@attrs.frozen
class Start:
    """An operation that may start.

    ``admission`` is the quota grant; None if no quota limits the tenant.
    """

    access: _access.Access
    group: _deps.GroupAccess
    admission: core.Admission | None = None


def refused(code: core.Code, detail: str) -> core.Answer:
    """Return the answer to a command that was not run."""
    return core.Answer(core.Outcome.NOT_RUN, code=code, detail=detail)


def no_access(code: core.Code, database: str = '') -> core.Answer:
    """Return the refusal of a caller that may not use a database."""
    if code is core.Code.UNAUTHORIZED:
        return refused(code, 'the key is unknown or was withdrawn')
    return refused(code, database)


class Operations:
    """Starts the operations of one caller on one database."""

    def __init__(
        self,
        database: str,
        caller: tenants.Caller,
        deps: _deps.SessionDeps,
    ) -> None:
        self._database = database
        self._caller = caller
        self._deps = deps
        #: Name of the tenant that held the key at the last operation start.
        self.tenant = ''

    async def start(self) -> result.Result[Start, core.Answer]:
        """Return the access and the group of an operation, or a refusal.

        The key is looked up at each start and again after a wait for quota:
        it may have been withdrawn since the session was opened, or during
        the wait.
        """
        start = self._find()
        if start.is_err():
            return start
        tenant = start.unwrap().access.tenant
        if tenant is None or math.isinf(tenant.rate):
            return start
        route = start.unwrap().access.route
        max_wait = route.target_latency * QUOTA_WAIT_SHARE
        admission = await self._deps.quotas.admit(
            tenant, max_wait, route.priority
        )
        if not admission.granted:
            return result.Err(_over_quota(admission))
        if admission.wait:
            await anyio.sleep(admission.wait)
        granted = self._find()
        if granted.is_err():
            self._deps.quotas.give_back(tenant.name, admission)
            return granted
        return result.Ok(attrs.evolve(granted.unwrap(), admission=admission))

    def return_unused_grant(self, start: Start, answer: core.Answer) -> None:
        """Return a quota grant if its operation reached no endpoint."""
        admission = start.admission
        if admission is None or answer.outcome is not core.Outcome.NOT_RUN:
            return
        if answer.trace is None or not answer.trace.tries:
            name = start.access.tenant_name
            self._deps.quotas.give_back(name, admission)

    def is_key_withdrawn(self, began_at: float) -> bool:
        """Return whether a transaction must end because its key is withdrawn.

        A transaction may continue for ``WITHDRAWN_KEY_GRACE_S`` seconds from
        its begin.
        """
        if self._deps.now() - began_at < WITHDRAWN_KEY_GRACE_S:
            return False
        found = self._deps.access_of(self._database, self._caller)
        return found.err() is core.Code.UNAUTHORIZED

    def _find(self) -> result.Result[Start, core.Answer]:
        found = self._deps.access_of(self._database, self._caller)
        if found.is_err():
            return result.Err(no_access(found.unwrap_err(), self._database))
        access = found.unwrap()
        self.tenant = access.tenant_name
        group = self._deps.group_of(access.route.group)
        if group is None:
            return result.Err(
                refused(
                    core.Code.NO_PRIMARY,
                    'the group of the database is not known yet',
                )
            )
        return result.Ok(Start(access, group))


def _over_quota(admission: core.Admission) -> core.Answer:
    """Return the refusal of an operation over quota, with a retry time."""
    detail = "no owner of the tenant's quota answered"
    if admission.owner:
        reason = 'the tenant is over its quota'
        if admission.reserved:
            reason = (
                "the rest of the tenant's quota is reserved for more urgent "
                'operations'
            )
        detail = (
            f'{reason} according to {admission.owner}, '
            f'which sees {admission.part:.0%} of the proxies'
        )
    return core.Answer(
        core.Outcome.NOT_RUN,
        code=core.Code.TENANT_LIMIT,
        detail=detail,
        retry_after=admission.wait,
    )

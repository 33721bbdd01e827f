"""Operations that start: who asks, whether it may, and who granted it."""

import math

import anyio
import attrs
import result

from tidegrade import core
from tidegrade.sessions import _access
from tidegrade.sessions import _deps
from tidegrade import tenants

#: How long a transaction whose key is withdrawn may go on from its begin, in
#: seconds: most end sooner, and it is less than the time within which a
#: configuration must be in force.
WITHDRAWN_GRACE = 2.0
#: Part of the aimed latency that an operation waits for its quota; beyond it
#: the caller is told when to come back.
QUOTA_WAIT_SHARE = 0.4


@attrs.frozen
class Start:
    """An operation that may start; ``admission`` if it had to be granted."""

    access: _access.Access
    group: _deps.GroupAccess
    admission: core.Admission | None = None


def refused(code: core.Code, detail: str) -> core.Answer:
    """Give the answer to what was not run."""
    return core.Answer(core.Outcome.NOT_RUN, code=code, detail=detail)


def no_access(code: core.Code, database: str = '') -> core.Answer:
    """Say why a caller may not use a database."""
    if code is core.Code.UNAUTHORIZED:
        return refused(code, 'the key is not known, or was withdrawn')
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
        #: Whose key it was when the last operation started.
        self.tenant = ''

    async def start(self) -> result.Result[Start, core.Answer]:
        """Find who asks, and the group, for an operation that starts.

        The key is looked up each time: it may have been withdrawn since the
        session was opened, or while the operation waited for its quota.
        """
        start = self._find()
        if start.is_err():
            return start
        tenant = start.unwrap().access.tenant
        if tenant is None or math.isinf(tenant.rate):
            return start
        route = start.unwrap().access.route
        patience = route.target_latency * QUOTA_WAIT_SHARE
        admission = await self._deps.quotas.admit(tenant, patience)
        if not admission.granted:
            return result.Err(_over_quota(admission))
        if admission.wait:
            await anyio.sleep(admission.wait)
        granted = self._find()
        if granted.is_err():
            self._deps.quotas.give_back(tenant.name, admission)
            return granted
        return result.Ok(attrs.evolve(granted.unwrap(), admission=admission))

    def settle(self, start: Start, answer: core.Answer) -> None:
        """Give a grant back if its operation reached no endpoint."""
        admission = start.admission
        if admission is None or answer.outcome is not core.Outcome.NOT_RUN:
            return
        if answer.trace is None or not answer.trace.tries:
            name = start.access.tenant_name
            self._deps.quotas.give_back(name, admission)

    def key_is_gone(self, began: float) -> bool:
        """Tell whether the key of a transaction was withdrawn some time ago.

        One that had just begun then is let end.
        """
        if self._deps.now() - began < WITHDRAWN_GRACE:
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
                refused(core.Code.NO_PRIMARY, 'its group is not known yet')
            )
        return result.Ok(Start(access, group))


def _over_quota(admission: core.Admission) -> core.Answer:
    """Refuse an operation, and say when the next one would be granted."""
    detail = "no keeper of the tenant's quota answered"
    if admission.owner:
        detail = (
            f'the tenant is over its quota, by {admission.owner}, which '
            f'sees {admission.part:.0%} of the proxies'
        )
    return core.Answer(
        core.Outcome.NOT_RUN,
        code=core.Code.TENANT_LIMIT,
        detail=detail,
        retry_after=admission.wait,
    )

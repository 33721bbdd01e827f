"""Access of callers to databases under one configuration version."""

import attrs
import result

from tidegrade import core
from tidegrade.sessions import _routes
from tidegrade import tenants


@attrs.frozen
class Access:
    """The access of a caller to a database.

    ``tenant`` holds the key that the caller presented. It is None on a public
    route without a known key, and if the configuration has no tenants.
    """

    route: _routes.DatabaseRoute
    tenant: tenants.Tenant | None = None

    @property
    def tenant_name(self) -> str:
        """The tenant's name; empty if there is none."""
        return self.tenant.name if self.tenant is not None else ''


#: Refusals that a newer configuration may lift.
_LIFTED_BY_NEWER_CONFIG = frozenset(
    {core.Code.NOT_FOUND, core.Code.UNAUTHORIZED}
)


def refusal_code(
    code: core.Code, config_age: float | None, within: float
) -> core.Code:
    """Return the code with which to refuse access to a database.

    ``config_age`` is the time since the configuration was last known to be
    the newest (None: not known), and ``within`` the time within which an
    accepted one must be in force, both in seconds. A proxy whose
    configuration may be stale never reports a route or a key as missing.
    """
    if code not in _LIFTED_BY_NEWER_CONFIG:
        return code
    if config_age is None or config_age > within:
        return core.Code.NO_CONFIG
    return code


def resolve_access(
    catalogue: _routes.Catalogue | None,
    database: str,
    caller: tenants.Caller,
) -> result.Result[Access, core.Code]:
    """Return the access of a caller to a database, or a refusal code."""
    if catalogue is None:
        return result.Err(core.Code.NO_CONFIG)
    route = catalogue.routes.get(database)
    if route is None:
        return result.Err(core.Code.NOT_FOUND)
    if catalogue.keyring is None:
        return result.Ok(Access(route))
    holder = catalogue.keyring.holder_of(caller.key_hash)
    if holder is None and not route.public:
        return result.Err(core.Code.UNAUTHORIZED)
    return result.Ok(Access(route, holder))

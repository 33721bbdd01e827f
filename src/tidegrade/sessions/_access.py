"""Who may use which database, by one version of the configuration."""

import attrs
import result

from tidegrade import core
from tidegrade.sessions import _routes
from tidegrade import tenants


@attrs.frozen
class Access:
    """A caller's way to a database.

    ``tenant`` is whose key the caller has presented. It is None on a public
    route without a known key, and where no tenants are configured at all.
    """

    route: _routes.DatabaseRoute
    tenant: tenants.Tenant | None = None

    @property
    def tenant_name(self) -> str:
        """Give the tenant's name; empty if there is none."""
        return self.tenant.name if self.tenant is not None else ''


#: What a newer configuration may bring.
_MAY_COME = frozenset({core.Code.NOT_FOUND, core.Code.UNAUTHORIZED})


def refusal(
    code: core.Code, config_age: float | None, within: float
) -> core.Code:
    """Give why there is no way to a database, as far as that is known.

    ``config_age`` is how long ago the configuration was known to be the
    newest (None: not known), and ``within`` the time in which an accepted one
    must be in force, both in seconds. By one that may be older nobody is told
    that a route or a key does not exist.
    """
    if code not in _MAY_COME:
        return code
    if config_age is None or config_age > within:
        return core.Code.NO_CONFIG
    return code


def access_to(
    catalogue: _routes.Catalogue | None,
    database: str,
    caller: tenants.Caller,
) -> result.Result[Access, core.Code]:
    """Give a caller's way to a database, or why there is none."""
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

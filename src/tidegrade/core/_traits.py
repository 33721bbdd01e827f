"""The capabilities of endpoints, which depend on their protocol."""

import attrs


@attrs.frozen
class Traits:
    """The capabilities of a group's endpoints that decisions depend on.

    The defaults are those of PostgreSQL.

    ``checks_position``: a read can name the position that it requires, and
    the endpoint refuses the read if its data is older. Without this
    capability, the proxy checks the report that comes with the answer.

    ``positions_restart``: positions count from zero in each term, so
    positions of two terms can't be compared.

    ``fence_stops_replication``: an endpoint that has promised a later term
    stops receiving the log. It will not catch up, and the supervisor must
    make it follow the primary again once the next term has begun.

    ``promotion_clears_promises``: an endpoint that leads or follows in a
    new term no longer reports a promise; the term of its data shows what
    it has promised.

    ``status_is_costly``: a status query takes a slot and is billed, so
    proxies share reports.

    ``begin_waits``: a transaction for which no connection is free waits
    like any other request. Without this capability, the caller gets an
    error at once.

    ``tenants_connect``: the tenant is sent to the endpoint when a
    connection opens, so each connection belongs to one tenant.
    """

    checks_position: bool = False
    positions_restart: bool = False
    fence_stops_replication: bool = False
    promotion_clears_promises: bool = False
    status_is_costly: bool = False
    begin_waits: bool = False
    tenants_connect: bool = False


#: The capabilities of PostgreSQL endpoints.
POSTGRESQL = Traits()

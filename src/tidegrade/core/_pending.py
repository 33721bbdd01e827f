"""The state of a request inside the group machine."""

import attrs

from tidegrade.core import _types
from tidegrade.core.tracing import _basis


@attrs.define(eq=False)
class Pending:
    """A request that has not been answered.

    ``arrived`` and ``not_before`` are points in time, in seconds.
    ``commit_sent`` is true if an earlier attempt may have committed, so the
    request can no longer be refused as not run. ``sent_to`` is the endpoint
    that is serving the request, ``last_sent_to`` the endpoint of the last
    attempt. ``after`` is the position that a read requires, ``after_term``
    its term if the read names it to the endpoint, and ``after_at`` the time
    by which the primary was known to have reached it.
    ``needs_permission`` is true if the last attempt to place the request
    failed because the proxy did not hold the permission to acknowledge.
    The fields after it are for the log only: whether the last endpoint was
    the primary as the request was sent, the origin of ``after``, the
    endpoint's report and the grants that a read rested on.
    """

    req: _types.Request
    arrived: float
    tries: int = 0
    misses: int = 0
    not_before: float = float('-inf')
    commit_sent: bool = False
    sent_to: str = ''
    last_sent_to: str = ''
    after: int | None = None
    after_term: int | None = None
    after_at: float | None = None
    waiting_for: _types.Code = _types.Code.OVERLOADED
    results: tuple[_types.ResultSet, ...] = ()
    confirm_lsn: int = 0
    confirm_term: int = 0
    replayed: bool = False
    abandoned: bool = False
    needs_permission: bool = False
    to_primary: bool | None = None
    basis: _basis.ReadBasis = _basis.ReadBasis.NONE
    report: _types.EndpointReport | None = None
    grants: tuple[_basis.GrantRecord, ...] = ()

    @property
    def safe_to_retry(self) -> bool:
        """Whether the request can safely run a second time."""
        return self.req.idempotent or self.req.key is not None

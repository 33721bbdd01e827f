"""A request on its way through the group machine."""

import attrs

from tidegrade.core import _types


@attrs.define(eq=False)
class Pending:
    """A request that has not been answered.

    ``commit_sent`` says that an earlier try may have committed, so that
    the request can't be refused as not run any more. ``sent_to`` is the
    endpoint that is working on it, ``last_sent_to`` the last that was.
    ``after`` is the position that a read asked for. ``needs_permission``
    says that the last try to place it failed for lack of the permission.
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
    waiting_for: _types.Code = _types.Code.OVERLOADED
    results: tuple[_types.ResultSet, ...] = ()
    confirm_lsn: int = 0
    confirm_term: int = 0
    replayed: bool = False
    abandoned: bool = False
    needs_permission: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run can do no harm."""
        return self.req.idempotent or self.req.key is not None

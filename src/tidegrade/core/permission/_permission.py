"""The permission to acknowledge writes for one term of one group."""

import attrs

from tidegrade.core import _types

#: Length of a permission, in seconds, from the time its poll was sent. It is
#: a constant and not a setting because all proxies must use the same value:
#: an isolated proxy with an old configuration could keep a longer permission.
PERMISSION_LENGTH = 1.0

#: Largest relative error of the rate of a proxy's clock.
MAX_CLOCK_DRIFT = 0.05

#: Ratio of the same interval on the fastest clock to that on the slowest.
MAX_DRIFT_RATIO = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)

#: Time, in seconds, after which a supervisor may assume that the permission
#: of an unreachable proxy has expired.
PERMISSION_WAIT = PERMISSION_LENGTH * MAX_DRIFT_RATIO


@attrs.frozen
class PermissionRules:
    """The members that vote on a permission."""

    members: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """The number of members in a majority."""
        return len(self.members) // 2 + 1


@attrs.frozen
class Grant:
    """The newest poll answer of a member.

    ``promised`` is the term that the member had promised by then.
    """

    sent_at: float
    promised: int


class Permission:
    """Write permission for a term, granted by a majority of endpoints.

    A member grants the term with each poll answer whose promise does not
    exceed it. Of the newest polls that form a majority of grants, the one
    sent first determines the expiry: the permission expires
    ``PERMISSION_LENGTH`` after that poll was sent, or at once when it is
    given up. A supervisor that ends a term first raises the promise at a
    majority of members. Any majority polled later includes a member that
    refuses, so no proxy gains the permission again, and each proxy that
    holds it loses it within that time.
    """

    def __init__(self) -> None:
        self._rules = PermissionRules()
        self._term = 0
        self._released_below = 0
        self._released_at = float('inf')
        self._grants: dict[str, Grant] = {}
        #: What `_granted_until` returns, None if the grants have changed. It
        #: is read several times for each event of a group.
        self._known_until: float | None = None

    @property
    def term(self) -> int:
        """The term to which the permission applies."""
        return self._term

    def start_term(self, term: int, rules: PermissionRules) -> None:
        """Start a new term and discard the grants of the former one."""
        _types.invariant(
            term > self._term, 'the term of a permission must increase'
        )
        self._term = term
        self._rules = rules
        self._grants.clear()
        self._known_until = None
        if term >= self._released_below:
            self._released_at = float('inf')

    def answered(self, member: str, promised: int, sent_at: float) -> None:
        """Record a poll answer of ``member``; older answers are ignored."""
        if member not in self._rules.members:
            return
        known = self._grants.get(member)
        if known is not None and sent_at < known.sent_at:
            return
        self._grants[member] = Grant(sent_at, promised)
        self._known_until = None

    def give_up(self, below: int, now: float) -> None:
        """Release the permission for all terms below ``below`` for good."""
        if self._term < below:
            self._released_at = min(self._released_at, now)
        self._released_below = max(self._released_below, below)

    def expires_at(self) -> float:
        """Return the time at which the permission expires."""
        if self._term < self._released_below:
            return float('-inf')
        return self._granted_until()

    def _granted_until(self) -> float:
        if self._known_until is None:
            self._known_until = self._compute_granted_until()
        return self._known_until

    def _compute_granted_until(self) -> float:
        sent = sorted(
            (
                grant.sent_at
                for grant in self._grants.values()
                if grant.promised <= self._term
            ),
            reverse=True,
        )
        if len(sent) < self._rules.majority:
            return float('-inf')
        return sent[self._rules.majority - 1] + PERMISSION_LENGTH

    def exclusive_until(self) -> float:
        """Return a time until which no other primary can exist.

        Until then, reads on the primary return the group's newest state.
        Once the permission is given up, another endpoint may become primary
        even if the grants have not yet expired.
        """
        return min(self._granted_until(), self._released_at)

    def grants(self) -> dict[str, Grant]:
        """Return the newest answer of each member, for sharing with peers."""
        return dict(self._grants)

    def granted_at(self, member: str) -> float:
        """Return when the poll of the member's newest grant was sent.

        The result is negative infinity if the member's newest answer did
        not grant the term.
        """
        grant = self._grants.get(member)
        if grant is None or grant.promised > self._term:
            return float('-inf')
        return grant.sent_at

    def held(self, now: float) -> bool:
        """Return whether a write may be acknowledged at ``now``."""
        return now < self.expires_at()

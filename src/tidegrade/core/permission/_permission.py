"""The permission to acknowledge writes for one term of one group."""

import attrs

from tidegrade.core import _types
from tidegrade.core.permission import _promises

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


#: Remaining length of the permission, in seconds, at which the row is read if
#: that would extend it. It covers a read of the platform and a retry.
ROW_MARGIN_S = 0.3


@attrs.frozen
class PermissionRules:
    """The members that vote on a permission."""

    members: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """The number of members in a majority."""
        return len(self.members) // 2 + 1


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

    Where members can lose a promise, a grant counts only if ``promises``
    covers it. One that does not count yet is kept until it does.
    """

    def __init__(self, promises: _promises.Promises | None = None) -> None:
        self._promises = promises or _promises.DurablePromises()
        self._rules = PermissionRules()
        self._term = 0
        self._released_below = 0
        self._released_at = float('inf')
        self._grants: dict[str, _promises.Grant] = {}
        #: The newest answer of each member that does not count yet.
        self._uncovered: dict[str, _promises.Grant] = {}
        #: The latest time until which this term's permission was held.
        self._held_until = float('-inf')
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
        self._uncovered.clear()
        self._held_until = float('-inf')
        self._promises.start_term()
        self._known_until = None
        if term >= self._released_below:
            self._released_at = float('inf')

    def answered(
        self,
        member: str,
        promised: int,
        sent_at: float,
        life_since: float = float('-inf'),
        received_at: float | None = None,
    ) -> None:
        """Record a poll answer of ``member``; older answers are ignored.

        The member has not been restarted since ``life_since``. The answer
        was received at ``received_at``, if not at once.
        """
        if member not in self._rules.members:
            return
        if received_at is None:
            received_at = sent_at
        answer = _promises.Grant(sent_at, promised, received_at, life_since)
        if _is_older(answer, self._grants.get(member)):
            return
        if promised > self._term:
            self._uncovered.pop(member, None)
            self._record(member, answer)
        elif self._covers(answer):
            if not _is_older(answer, self._uncovered.get(member)):
                self._uncovered.pop(member, None)
            self._record(member, answer)
            self._count_covered()
        elif not _is_older(answer, self._uncovered.get(member)):
            self._uncovered[member] = answer

    def registered(self, at: float) -> None:
        """Record that supervisors can know of this proxy from ``at`` on."""
        self._promises.registered(at)

    def row_read(self, asked_at: float) -> None:
        """Record that the row showed the term and no attempt to end it.

        The platform was asked for it at ``asked_at``.
        """
        self._promises.row_read(asked_at)
        self._count_covered()

    def peer_held(self, until: float) -> None:
        """Record that another proxy holds the permission until then."""
        self._promises.peer_held(until)
        self._count_covered()

    def _covers(self, grant: _promises.Grant) -> bool:
        return self._promises.covers(
            grant, self._held_until, PERMISSION_LENGTH
        )

    def _record(self, member: str, answer: _promises.Grant) -> None:
        self._grants[member] = answer
        self._known_until = None
        self._held_until = max(self._held_until, self._granted_until())

    def _count_covered(self) -> None:
        """Count the grants that are covered by now.

        Each may extend the permission, and so cover another one.
        """
        counted = True
        while counted and self._uncovered:
            counted = False
            for member, grant in list(self._uncovered.items()):
                if self._covers(grant):
                    del self._uncovered[member]
                    self._record(member, grant)
                    counted = True

    def needs_row(self, now: float) -> bool:
        """Return whether a read of the row would extend the permission."""
        if not self._uncovered or self._term < self._released_below:
            return False
        if self._granted_until() - now > ROW_MARGIN_S:
            return False
        merged = self._grants | self._uncovered
        return self._until(merged) > max(self._granted_until(), now)

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
        return self._until(self._grants)

    def _until(self, answers: dict[str, _promises.Grant]) -> float:
        """Return until when these answers would grant the permission."""
        sent = sorted(
            (
                grant.sent_at
                for grant in answers.values()
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

    def grants(self) -> dict[str, _promises.Grant]:
        """Return the newest answer of each member, for sharing with peers."""
        return dict(self._grants)

    def uncounted(self) -> dict[str, _promises.Grant]:
        """Return the newest answers that don't count yet, by member."""
        return dict(self._uncovered)

    @property
    def given_up(self) -> bool:
        """Whether the permission of this term was given up."""
        return self._term < self._released_below

    def granted_at(self, member: str) -> float:
        """Return when the poll of the member's newest grant was sent.

        The result is negative infinity if the member's newest answer did
        not grant the term. A grant that does not count yet is included: to
        poll the member again would not make it count.
        """
        grant = self._uncovered.get(member) or self._grants.get(member)
        if grant is None or grant.promised > self._term:
            return float('-inf')
        return grant.sent_at

    def held(self, now: float) -> bool:
        """Return whether a write may be acknowledged at ``now``."""
        return now < self.expires_at()


def _is_older(answer: _promises.Grant, known: _promises.Grant | None) -> bool:
    return known is not None and answer.sent_at < known.sent_at

"""The permission to acknowledge writes for one term of one group."""

import attrs

from tidegrade.core import _types

#: How long a permission lasts from the sending of its poll, in seconds.
#: All proxies must agree on it, so it is no setting: a proxy cut off with
#: an older configuration would else keep a longer one.
PERMISSION_LENGTH = 1.0

#: Bound on how much faster or slower the clock of one proxy may run.
CLOCK_DRIFT = 0.05

#: How much longer the same time is by the fastest clock than by the slowest.
MOST_DRIFT = (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)

#: How long a supervisor waits for proxies that it can't ask, in seconds.
PERMISSION_WAIT = PERMISSION_LENGTH * MOST_DRIFT


@attrs.frozen
class PermissionRules:
    """Who takes part in giving a permission."""

    members: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """Give the number of members that a decision needs."""
        return len(self.members) // 2 + 1


@attrs.define
class Grant:
    """The newest poll a member answered without a later promise."""

    sent_at: float
    promised: int


class Permission:
    """Write permission for a term, granted by a majority of endpoints.

    A member grants the term with each poll answer whose promise is not
    above it. The permission ends ``PERMISSION_LENGTH`` after the sending
    of the poll that completes a majority, or at once when it is given up.
    A supervisor that ends a term first raises the promise at a majority:
    any majority polled later then holds a refusal, so no proxy gains the
    permission again and those that hold it lose it within that time.
    """

    def __init__(self) -> None:
        self._rules = PermissionRules()
        self._term = 0
        self._given_up_below = 0
        self._given_up_at = float('inf')
        self._grants: dict[str, Grant] = {}

    @property
    def term(self) -> int:
        """Give the term that the permission is for."""
        return self._term

    def start_term(self, term: int, rules: PermissionRules) -> None:
        """Turn to a new term; grants of the former one no longer count."""
        _types.invariant(term > self._term, 'a term went back')
        self._term = term
        self._rules = rules
        self._grants.clear()
        if term >= self._given_up_below:
            self._given_up_at = float('inf')

    def answered(self, member: str, promised: int, sent_at: float) -> None:
        """Take in a poll answer of ``member``."""
        if member not in self._rules.members:
            return
        known = self._grants.get(member)
        if known is not None and sent_at < known.sent_at:
            return
        self._grants[member] = Grant(sent_at, promised)

    def give_up(self, below: int, now: float) -> None:
        """Never again hold a permission for a term below ``below``."""
        if self._term < below:
            self._given_up_at = min(self._given_up_at, now)
        self._given_up_below = max(self._given_up_below, below)

    def valid_until(self) -> float:
        """Give the time at which the permission lapses."""
        if self._term < self._given_up_below:
            return float('-inf')
        return self._granted_until()

    def _granted_until(self) -> float:
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

    def covered_until(self) -> float:
        """Give a time until which nobody else could lead.

        What the primary showed before then was the group's newest state.
        Once the permission is given up another may lead, however long the
        grants would have lasted.
        """
        return min(self._granted_until(), self._given_up_at)

    def grants(self) -> dict[str, Grant]:
        """Give the newest answer of each member, to tell peers of it."""
        return dict(self._grants)

    def granted_at(self, member: str) -> float:
        """Give when the member's newest grant of the term was asked for."""
        grant = self._grants.get(member)
        if grant is None or grant.promised > self._term:
            return float('-inf')
        return grant.sent_at

    def held(self, now: float) -> bool:
        """Tell whether a write may be acknowledged at ``now``."""
        return now < self.valid_until()

"""Decides when a supervisor should end the current term of a group."""

from tidegrade.core import _detector
from tidegrade.core import _membership
from tidegrade.core import _row
from tidegrade.core import _supervision as sv
from tidegrade.core.permission import _permission
from tidegrade.core.placing import _rendezvous

#: Delay between the turns of the proxies to begin an attempt, in seconds.
TURN_INTERVAL_S = 0.25
#: Shortest time that a term lasts, in seconds, to prevent flapping.
MIN_TERM_S = 2.0
#: Time, in seconds, for which a majority must have been reachable again before
#: an attempt begins. A failed endpoint is polled again within about a second.
MAJORITY_SETTLE_S = 1.5
#: Time without a change of the row, in seconds, after which the attempt of
#: another supervisor may be taken over if it records no choice.
TAKEOVER_AFTER_S = 2.0
#: Lease of a promotion, in seconds: the promotion may be ordered only within
#: this time after the row that records the choice was sent.
PROMOTION_LEASE_S = 1.8
#: Longest time, in seconds, from the sending of a promotion until the platform
#: takes it. By then the adapter gives the call up, and the kernel drops data
#: that is not acknowledged, also if the process stands still.
PROMOTION_DELIVERY_S = 1.0
#: Time without a change of the row, in seconds, after which an attempt that
#: records a choice may be taken over. No promotion of it is under way then,
#: which would have a lower term than that of the takeover.
CHOICE_TAKEOVER_AFTER_S = (
    PROMOTION_LEASE_S + PROMOTION_DELIVERY_S
) * _permission.MAX_DRIFT_RATIO
#: Time, in seconds, for which replacements of departed members must have been
#: available before the term ends for that reason alone. Ending a term delays
#: writes by about half a second, and several members may be replaced in
#: succession.
MEMBERS_SETTLE_S = 4.0

_NEVER = float('inf')


def _has_attempt(row: _row.GroupRow | None) -> bool:
    """Return whether a row records a change of primary in progress.

    A proxy that has just started can't know the age of the attempt in the
    first row it sees. If it counted that row as old, it would take over an
    active attempt and two supervisors would run: this happened 0.19 s after
    an attempt had begun.
    """
    return row is not None and row.attempt is not None


class TermWatch:
    """Evaluates successive observations of one group."""

    def __init__(self, group: str, proxy: str) -> None:
        self._group = group
        self._proxy = proxy
        self._known_row: _row.GroupRow | None = None
        self._row_since = float('-inf')
        self._majority_since = float('-inf')
        self._reason_since: float | None = None
        self._next_members: frozenset[str] = frozenset()
        self._replaceable_since = _NEVER
        #: Id of the latest attempt that this supervisor began.
        self._own_attempt = ''
        #: Whether a promotion of that attempt may be under way.
        self._promotion_under_way = False

    def attempt_begun(self, attempt_id: str) -> None:
        """Record that this supervisor begins an attempt."""
        self._own_attempt = attempt_id
        self._promotion_under_way = False

    def promotion_ordered(self) -> None:
        """Record that the promotion of the latest attempt is ordered."""
        self._promotion_under_way = True

    def promotion_refused(self) -> None:
        """Record that the promotion is not carried out any more."""
        self._promotion_under_way = False

    def observe(self, seen: sv.Observed, now: float) -> None:
        """Record an observation of the group."""
        if seen.row != self._known_row:
            if self._known_row is not None or _has_attempt(seen.row):
                self._row_since = now
            self._known_row = seen.row
        self._track_majority(seen, now)
        self._track_next_members(seen, now)

    def resumed(self, now: float) -> None:
        """Delay new attempts after a pause of this process.

        After a pause, the other proxies and the primary appear not to have
        answered, although they may be healthy.
        """
        self._reason_since = None
        self._majority_since = max(self._majority_since, now)

    def reason_to_end_term(self, seen: sv.Observed, now: float) -> str:
        """Return why this proxy should end the term now, or an empty text."""
        reason = self._reason(seen, now)
        if not reason:
            self._reason_since = None
            return ''
        if self._reason_since is None:
            self._reason_since = now
        turn = _rendezvous.rank(self._group, self._proxy, seen.peers)
        if now < self._reason_since + turn * TURN_INTERVAL_S:
            return ''
        return reason

    def _track_majority(self, seen: sv.Observed, now: float) -> None:
        """Record since when a majority of the members has been reachable.

        A proxy that reaches no majority could not complete a fence, and
        other proxies may reach more members. When a partition ends, the
        primary may be the last endpoint to answer.
        """
        row = seen.row
        if row is None:
            return
        if len(seen.reachable & row.members) < row.majority:
            self._majority_since = _NEVER
        elif self._majority_since == _NEVER:
            self._majority_since = now

    def _track_next_members(self, seen: sv.Observed, now: float) -> None:
        """Record since when departed members could have been replaced."""
        next_members = _membership.next_members(seen)
        replaceable = (
            seen.row is not None
            and bool(seen.row.members - next_members)
            and next_members <= seen.reachable
        )
        if not replaceable:
            self._replaceable_since = _NEVER
        elif (
            next_members != self._next_members
            or self._replaceable_since == _NEVER
        ):
            self._replaceable_since = now
        self._next_members = next_members

    def _reason(self, seen: sv.Observed, now: float) -> str:
        if seen.row is None:
            if seen.cfg.initial_primary not in seen.cfg.endpoints:
                return ''
            if not seen.settled:
                return ''
            return 'the group has no row'
        if now - self._majority_since < MAJORITY_SETTLE_S:
            return ''
        row_age = now - self._row_since
        if seen.row.attempt is not None:
            if row_age > self._takeover_delay(seen.row.attempt):
                return 'an attempt was not completed'
            return ''
        if row_age < MIN_TERM_S:
            return ''
        return self._reason_in_term(seen, seen.row, now)

    def _takeover_delay(self, attempt: _row.Attempt) -> float:
        """Return the time without a change after which to take over.

        A proxy continues its own attempt at once, unless its promotion may
        be under way: the platform may take it after one that is sent later.
        """
        if attempt.by != self._proxy:
            return (
                CHOICE_TAKEOVER_AFTER_S if attempt.chosen else TAKEOVER_AFTER_S
            )
        known = attempt.id == self._own_attempt
        if attempt.chosen and (self._promotion_under_way or not known):
            return CHOICE_TAKEOVER_AFTER_S
        return -_NEVER

    def _reason_in_term(
        self, seen: sv.Observed, row: _row.GroupRow, now: float
    ) -> str:
        if _detector.is_agreed_down(seen.own, seen.opinions):
            return 'the primary is down'
        if row.primary in seen.leaving:
            return 'the primary is leaving'
        newer_config = seen.config_version > row.config_version
        if newer_config and frozenset(seen.cfg.endpoints) != row.members:
            return 'the configuration names other endpoints'
        if now - self._replaceable_since > MEMBERS_SETTLE_S:
            return 'replacements are available for members that have left'
        return ''

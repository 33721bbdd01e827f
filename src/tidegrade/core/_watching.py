"""When a term should end: what a supervisor watches between attempts."""

from tidegrade.core import _detector
from tidegrade.core import _membership
from tidegrade.core import _permission
from tidegrade.core import _rendezvous
from tidegrade.core import _row
from tidegrade.core import _supervision as sv

#: Pause between the turns of proxies to supervise, in seconds.
TURN = 0.25
#: A term lasts at least this long, against flapping, in seconds.
MIN_TERM = 2.0
#: How long a majority must have answered again before an attempt, in
#: seconds: an endpoint that failed is asked again within about a second.
REACH_SETTLES = 1.5
#: An attempt of another supervisor may be taken over after this silence, in
#: seconds.
TAKEOVER_AFTER = 2.0
#: How long a supervisor may order a promotion from when it sent the row that
#: records the choice, in seconds. It is over before others take the attempt
#: over: the order would bear a lower number than theirs.
PROMOTION_LEASE = TAKEOVER_AFTER / _permission.MOST_DRIFT
#: How long other endpoints must have stood in for members that left before
#: the term ends for that alone, in seconds: writes wait for about half a
#: second meanwhile, and several may be replaced one after the other.
MEMBERS_SETTLE = 4.0

_NEVER = float('inf')


def _has_attempt(row: _row.GroupRow | None) -> bool:
    """Tell whether a change of the primary was under way.

    A proxy that has just begun can't know for how long: it took one for
    stopped 0.19 s after its beginning, which made two supervisors of one.
    """
    return row is not None and row.attempt is not None


class Watch:
    """Judges observations of one group, one after another."""

    def __init__(self, group: str, proxy: str) -> None:
        self._group = group
        self._proxy = proxy
        self._known: _row.GroupRow | None = None
        self._row_since = float('-inf')
        self._reach_since = float('-inf')
        self._wanted_since: float | None = None
        self._to_come: frozenset[str] = frozenset()
        self._to_come_since = _NEVER

    def observe(self, seen: sv.Observed, now: float) -> None:
        """Take in how things stand."""
        if seen.row != self._known:
            if self._known is not None or _has_attempt(seen.row):
                self._row_since = now
            self._known = seen.row
        self._note_reach(seen, now)
        self._note_members(seen, now)

    def woke(self, now: float) -> None:
        """Begin nothing until it is known again how things stand.

        After a pause the other proxies seem silent, and the primary too.
        """
        self._wanted_since = None
        self._reach_since = max(self._reach_since, now)

    def reason_to_begin(self, seen: sv.Observed, now: float) -> str:
        """Say why this proxy should end the term now; empty if not."""
        reason = self._reason(seen, now)
        if not reason:
            self._wanted_since = None
            return ''
        if self._wanted_since is None:
            self._wanted_since = now
        turn = _rendezvous.rank(self._group, self._proxy, seen.peers)
        if now < self._wanted_since + turn * TURN:
            return ''
        return reason

    def _note_reach(self, seen: sv.Observed, now: float) -> None:
        """Note since when a majority of the members answers.

        From where it doesn't, no fence could be raised, and others may see
        more. When a cut heals, the primary may be the last to answer.
        """
        row = seen.row
        if row is None:
            return
        if len(seen.reachable & row.members) < row.majority:
            self._reach_since = _NEVER
        elif self._reach_since == _NEVER:
            self._reach_since = now

    def _note_members(self, seen: sv.Observed, now: float) -> None:
        """Note since when others could replace members that have left."""
        to_come = _membership.to_come(seen)
        usable = (
            seen.row is not None
            and bool(seen.row.members - to_come)
            and to_come <= seen.reachable
        )
        if not usable:
            self._to_come_since = _NEVER
        elif to_come != self._to_come or self._to_come_since == _NEVER:
            self._to_come_since = now
        self._to_come = to_come

    def _reason(self, seen: sv.Observed, now: float) -> str:
        if seen.row is None:
            if seen.cfg.initial_primary not in seen.cfg.endpoints:
                return ''
            if not seen.settled:
                return ''
            return 'the group has no row'
        if now - self._reach_since < REACH_SETTLES:
            return ''
        row_age = now - self._row_since
        if seen.row.attempt is not None:
            own = seen.row.attempt.by == self._proxy
            if own or row_age > TAKEOVER_AFTER:
                return 'an attempt has stopped half-way'
            return ''
        if row_age < MIN_TERM:
            return ''
        return self._reason_in_term(seen, seen.row, now)

    def _reason_in_term(
        self, seen: sv.Observed, row: _row.GroupRow, now: float
    ) -> str:
        if _detector.agreed_down(seen.own, seen.opinions):
            return 'the primary is down'
        if row.primary in seen.leaving:
            return 'the primary is leaving'
        newer = seen.config_version > row.config_version
        if newer and frozenset(seen.cfg.endpoints) != row.members:
            return 'the configuration names other endpoints'
        if now - self._to_come_since > MEMBERS_SETTLE:
            return 'members have left and others stand in for them'
        return ''

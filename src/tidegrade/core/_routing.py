"""Read routing: the choice between replicas, a wait and the primary."""

from collections.abc import Sequence
import typing

import attrs

from tidegrade import config
from tidegrade.core import _types
from tidegrade.core.tracing import _basis

#: Longest time that a read waits for a replica to catch up, in seconds.
MAX_REPLICA_WAIT_S = 0.3
#: Largest share of the time left to the deadline that this wait may take.
WAIT_SHARE = 0.5
#: Number of answers that lack the required position before a read goes to
#: the primary.
MAX_MISSES = 2
#: Time for which a replica's last reported delay predicts its next answer, in
#: seconds; about the pause after a read that the replica had to refuse.
DELAY_MAX_AGE_S = 0.3
#: Margin added to the predicted time at which a replica applies a position,
#: in seconds, so that the read doesn't arrive too early.
APPLY_MARGIN_S = 0.002


@attrs.frozen
class ReadNeed:
    """The position and staleness that a read requires.

    The endpoint must have applied ``lsn``, which the primary reached at
    about ``reached_at``. ``max_age`` bounds the staleness in seconds.
    ``max_wait``, if set, bounds the wait for a replica in seconds. Where
    endpoints check positions themselves, the read names ``after``.
    ``misses`` counts the answers that didn't satisfy the read so far.
    ``basis`` is the origin of the position, for the log.
    """

    lsn: int
    reached_at: float | None
    max_age: float | None
    arrived: float
    deadline: float
    misses: int = 0
    max_wait: float | None = None
    after: _types.Position | None = None
    basis: _basis.ReadBasis = _basis.ReadBasis.NONE


@attrs.frozen
class ReplicaState:
    """The known state of a replica that may serve reads.

    ``applied`` is its last known position, and its data is complete up to
    the time ``fresh_at``. ``delay`` is its usual replication delay in
    seconds, as of its last report at ``reported_at``. ``round_trip`` is in
    seconds.
    ``has_idle_conn`` says that this proxy has an idle connection to it,
    ``load`` counts the proxy's other connections to it, and ``slots`` is
    the number of statements that it runs at once. A ``slow`` replica has
    been answering much later than the others; a ``behind`` one has just
    refused a read whose position it had not applied.
    """

    name: str
    same_domain: bool
    applied: int
    fresh_at: float
    delay: float
    round_trip: float
    has_idle_conn: bool
    load: int
    slots: int = 1
    slow: bool = False
    behind: bool = False
    reported_at: float = float('-inf')


@attrs.frozen
class ToReplica:
    """Send the read to this replica now.

    ``preferred`` names the replica that would have been chosen with an idle
    connection to it; the proxy may then open one.
    """

    name: str
    preferred: str = ''


@attrs.frozen
class WaitUntil:
    """Decide again at ``at``, when a replica is predicted to be ready."""

    at: float


@attrs.frozen
class WaitForConn:
    """Wait for a connection: no replica with the data has an idle one."""


@attrs.frozen
class ToPrimary:
    """Send the read to the primary."""


Route = ToReplica | WaitUntil | WaitForConn | ToPrimary


class ReadPolicy(typing.Protocol):
    """Decides where a read is sent."""

    def route(
        self, need: ReadNeed, replicas: Sequence[ReplicaState], now: float
    ) -> Route:
        """Return the decision for one read at ``now``."""


class PrimaryOnly:
    """Sends every read to the primary; a baseline for comparisons."""

    def route(
        self, need: ReadNeed, replicas: Sequence[ReplicaState], now: float
    ) -> Route:
        """Return the primary, whatever the read requires."""
        return ToPrimary()


def policy_of(choice: config.ReadPolicy) -> ReadPolicy:
    """Return the policy that a configuration names."""
    if choice is config.ReadPolicy.PRIMARY_ONLY:
        return PrimaryOnly()
    if choice is config.ReadPolicy.PRIMARY_AFTER_WRITE:
        return PrimaryAfterWrite()
    return SessionReplica()


@attrs.frozen
class PrimaryAfterWrite:
    """Sends reads to the primary for a time after a write; a baseline.

    That time is ``hold_s`` seconds. The session's last write counts as
    having happened when the primary reached the session's position.
    """

    hold_s: float = 5.0

    def route(
        self, need: ReadNeed, replicas: Sequence[ReplicaState], now: float
    ) -> Route:
        """Return a replica that covers the read once the hold is over."""
        written_at = need.reached_at
        if need.lsn and (written_at is None or now - written_at < self.hold_s):
            return ToPrimary()
        covering = [r for r in replicas if covers(r, need, now)]
        return _choose(covering) or ToPrimary()


@attrs.frozen
class SessionReplica:
    """Prefers replicas that cover the session, and waits briefly for one.

    A replica that is known to cover the need gets the read at once.
    Otherwise the read waits until a replica is predicted to cover it, if
    that is at most ``max_wait_s`` seconds after its arrival, or the limit
    that the request sets. The answer carries the position, so a wrong
    prediction costs one try and no consistency.
    """

    max_wait_s: float = MAX_REPLICA_WAIT_S

    def route(
        self, need: ReadNeed, replicas: Sequence[ReplicaState], now: float
    ) -> Route:
        """Return a replica, a wait or the primary."""
        covering = [
            r
            for r in replicas
            if covers(r, need, now) or _predicted_to_cover(r, need, now)
        ]
        best = _choose(covering)
        if best is not None:
            return best
        if covering:
            return WaitForConn()
        if need.misses >= MAX_MISSES or not replicas:
            return ToPrimary()
        return self._predict(need, replicas, now)

    def _predict(
        self, need: ReadNeed, replicas: Sequence[ReplicaState], now: float
    ) -> Route:
        usable = [r for r in replicas if _usually_covers(r, need)]
        if need.reached_at is None or not usable:
            return ToPrimary()
        first = min(usable, key=lambda r: r.delay)
        expected = need.reached_at + first.delay + APPLY_MARGIN_S
        if need.misses:
            expected = max(expected, now + first.delay / 2)
        if expected <= now:
            if first.has_idle_conn:
                return ToReplica(first.name)
            return WaitForConn()
        longest = self.max_wait_s if need.max_wait is None else need.max_wait
        allowed = min(longest, (need.deadline - now) * WAIT_SHARE)
        if expected - need.arrived > allowed:
            return ToPrimary()
        return WaitUntil(expected)


def covers(replica: ReplicaState, need: ReadNeed, now: float) -> bool:
    """Return whether a replica is known to satisfy the need."""
    if replica.applied < need.lsn:
        return False
    if need.max_age is None:
        return True
    age = now + replica.round_trip - replica.fresh_at
    return age <= need.max_age


def _predicted_to_cover(
    replica: ReplicaState, need: ReadNeed, now: float
) -> bool:
    """Return whether a replica is predicted to cover the need.

    Only an endpoint that checks the position itself gets a read on a
    prediction; a wrong one costs a round trip. Without predictions, a
    replica that was not used for a while would seem to lack data that it
    has, since only its own answers show its position, and reads would go
    to another failure domain without need.
    """
    if need.after is None or need.reached_at is None or replica.behind:
        return False
    if now - replica.reported_at > DELAY_MAX_AGE_S:
        return True
    return need.reached_at + replica.delay + APPLY_MARGIN_S <= now


def _usually_covers(replica: ReplicaState, need: ReadNeed) -> bool:
    return need.max_age is None or replica.delay <= need.max_age


def _choose(covering: Sequence[ReplicaState]) -> ToReplica | None:
    ready = [r for r in covering if r.has_idle_conn]
    if not ready:
        return None
    chosen = min(ready, key=preference_key)
    preferred = min(covering, key=preference_key)
    if preferred.name == chosen.name:
        return ToReplica(chosen.name)
    return ToReplica(chosen.name, preferred=preferred.name)


def preference_key(
    replica: ReplicaState,
) -> tuple[int, bool, bool, int, float]:
    """Return a sort key for replicas; the least one is preferred.

    Replicas with a free slot come first, then those that are not slow, then
    those in the proxy's failure domain, the less loaded and the closer.
    """
    return (
        replica.load // max(replica.slots, 1),
        replica.slow,
        not replica.same_domain,
        replica.load,
        replica.round_trip,
    )

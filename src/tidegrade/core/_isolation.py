"""Detects that a failure domain is isolated and closes its sessions.

In such a partition a domain loses the other domains, the platform and most
endpoints, while callers still reach its proxies. Nearly all their requests
are refused until they connect to another domain. The load balancer sends
them there once no proxy of this domain reports ready.
"""

import attrs

#: Shortest time without a heartbeat from any other domain, in seconds, after
#: which the domain counts as isolated. A proxy sends a heartbeat every 0.5 s,
#: so this is longer than the interval between two heartbeats of one proxy. One
#: lost heartbeat has no effect on the load balancer, which acts on two
#: readiness checks that are a second apart.
MIN_ISOLATION_SILENCE_S = 0.65
#: Heartbeats that pass through relays arrive at longer intervals, so the time
#: limit is at least this multiple of the longest recent interval.
HEARTBEAT_GAP_FACTOR = 1.5
#: Longest interval between heartbeats that counts as usual, in seconds. A
#: relay forwards heartbeats every 0.5 s, and a heartbeat may pass through two
#: relays.
MAX_HEARTBEAT_GAP_S = 1.1
#: Interval between two digests of a relay, in seconds. Where contact is
#: reported by relays, one lost digest makes a contact look older by it.
DIGEST_INTERVAL_S = 0.5
#: Shortest and longest time limit where contact is reported by relays, in
#: seconds. A contact is up to two intervals old when only one relay is left,
#: and three when a digest of it is lost. A domain that is cut off must be
#: detected within 1.7 s, with the interval between two observations.
MIN_RELAYED_SILENCE_S = 1.1
MAX_RELAYED_SILENCE_S = 1.55
#: Time limit, in seconds, where no relay was heard long enough after the last
#: contact to tell whether there was another: the relays may have failed.
UNHEARD_SILENCE_S = 1.7
#: Time after the last contact at which a relay must have been heard, in
#: seconds: a relay in contact reports one that is at most an interval old.
RELAY_HEARD_AFTER_S = 0.55
#: Half-life, in seconds, of the recorded longest interval.
HEARTBEAT_GAP_HALF_LIFE_S = 10.0
#: Time without a heartbeat, in seconds, after which a permission that is still
#: held shows that the other proxies have failed and this domain must serve. It
#: is longer than a permission lasts without a majority.
PEERS_FAILED_SILENCE_S = 1.1
#: Shortest time, in seconds, in which the load balancer can detect that the
#: domain is not ready. A caller whose session is closed earlier reconnects to
#: the same domain.
MIN_BALANCER_DETECTION_S = 1.0
#: Longest time, in seconds, in which the load balancer detects it: two
#: readiness checks and their delay.
MAX_BALANCER_DETECTION_S = 2.2


@attrs.define
class Isolation:
    """Tracks whether this failure domain is isolated; times in seconds."""

    since: float | None = None
    #: Time since the last contact with another domain, as of the latest
    #: observation.
    silence: float = 0.0
    _received_at: float = float('-inf')
    _longest_gap: float = 0.0
    _relays_heard_at: float | None = None
    _observed_at: float = float('-inf')

    @property
    def cut_off(self) -> bool:
        """Whether the domain counts as isolated."""
        return self.since is not None

    @property
    def silence_limit_s(self) -> float:
        """The time without a heartbeat up to which the domain is connected."""
        usual = max(
            MIN_ISOLATION_SILENCE_S, HEARTBEAT_GAP_FACTOR * self._longest_gap
        )
        if self._relays_heard_at is None:
            return usual
        if self._relays_heard_at < self._received_at + RELAY_HEARD_AFTER_S:
            return UNHEARD_SILENCE_S
        one_lost = self._longest_gap + DIGEST_INTERVAL_S
        return min(
            max(MIN_RELAYED_SILENCE_S, usual, one_lost), MAX_RELAYED_SILENCE_S
        )

    def observe(
        self,
        received_at: float | None,
        permitted: bool,
        now: float,
        relays_heard_at: float | None = None,
    ) -> bool:
        """Update the state and return whether ``cut_off`` has changed.

        ``received_at`` is the time of the last contact with another domain,
        None if there was none. ``permitted`` is true if this proxy holds the
        permission of at least one group. ``relays_heard_at`` is the time by
        which each relay has reported contacts, None without relays.
        """
        before = self.cut_off
        self._relays_heard_at = relays_heard_at
        self._track_gap(received_at, now)
        if not self._is_cut_off(received_at, permitted, now):
            self.since = None
        elif self.since is None:
            self.since = now
        return self.cut_off != before

    def should_close_refused(self, now: float) -> bool:
        """Return whether to close a session whose request was refused.

        The caller has just received its answer, so no request of it is in
        flight. On an idle session a new request could arrive while the
        session is being closed.
        """
        return (
            self.since is not None
            and now - self.since >= MIN_BALANCER_DETECTION_S
        )

    def should_close_idle(self, now: float) -> bool:
        """Return whether to close idle sessions as well."""
        if self.since is None:
            return False
        return now - self.since >= MAX_BALANCER_DETECTION_S

    def _is_cut_off(
        self, received_at: float | None, permitted: bool, now: float
    ) -> bool:
        if received_at is None:
            return False
        self.silence = now - received_at
        if self.silence < self.silence_limit_s:
            return False
        return not permitted or self.silence < PEERS_FAILED_SILENCE_S

    def _track_gap(self, received_at: float | None, now: float) -> None:
        """Update the longest recent interval between heartbeats."""
        elapsed = min(now - self._observed_at, HEARTBEAT_GAP_HALF_LIFE_S)
        self._longest_gap *= 0.5 ** (elapsed / HEARTBEAT_GAP_HALF_LIFE_S)
        if received_at is not None and received_at > self._received_at:
            gap = now - self._received_at
            if gap <= MAX_HEARTBEAT_GAP_S:
                self._longest_gap = max(self._longest_gap, gap)
            self._received_at = received_at
        self._observed_at = now

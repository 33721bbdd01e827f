"""Digests of heartbeats, as relays send them."""

import attrs

from tidegrade.daemon import _roster
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Time for which digests hold a changed heartbeat in full, in seconds: two
#: digests, so that one may be lost. A proxy that missed both pulls it.
FULL_HEARTBEAT_S = 1.0
#: Age from which a heartbeat received directly gets an entry of its own in
#: digests, in seconds: two intervals. The checksum of a domain carries the
#: greatest age among its proxies, so an old heartbeat would make all others
#: look old.
DIRECT_FRESH_S = 1.0
#: The same for a heartbeat received through relays, in seconds. Each relay
#: adds up to one interval; with the limit for direct heartbeats most proxies
#: would get an entry in each digest.
RELAYED_FRESH_S = 1.8
#: Age from which digests leave a heartbeat out, in seconds: by then no proxy
#: counts its sender as alive.
DIGEST_AGE_LIMIT_S = 6.0


class Digests:
    """Builds digests of the heartbeats of this proxy and of its peers."""

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        roster: _roster.Roster,
        clock: ports.Clock,
    ) -> None:
        self._identity = identity
        self._roster = roster
        self._clock = clock
        #: This proxy's own heartbeat, when it was last sent, its revision,
        #: and since when it has that revision.
        self._beat: messages.Heartbeat | None = None
        self._beat_at = float('-inf')
        self._revision = 0
        self._changed_at = float('-inf')

    def update_own(self, beat: messages.Heartbeat) -> None:
        """Record that this proxy sends its own heartbeat now."""
        self._beat_at = self._clock.now()
        if beat == self._beat:
            return
        revision = beat.revision()
        if revision != self._revision:
            self._changed_at = self._clock.now()
        self._beat, self._revision = beat, revision

    def build(
        self,
        domains: frozenset[str] | set[str],
        own: messages.Heartbeat,
        own_in_full: bool = False,
    ) -> messages.Digest:
        """Return a digest of the heartbeats known of ``domains``.

        With ``own_in_full`` it holds ``own``, this proxy's heartbeat, in full.
        """
        now = self._clock.now()
        news = []
        alive = []
        builders = {
            domain: _SummaryBuilder(domain) for domain in sorted(domains)
        }
        if own_in_full or now - self._changed_at < FULL_HEARTBEAT_S:
            news.append(messages.AgedHeartbeat(own, 0.0))
        else:
            builders[self._identity.domain].add(self._revision, 0.0)
        for peer in self._roster.known():
            age = max(0.0, now - peer.sent_at)
            if age > DIGEST_AGE_LIMIT_S or peer.beat.domain not in domains:
                continue
            if now - peer.changed_at < FULL_HEARTBEAT_S:
                news.append(messages.AgedHeartbeat(peer.beat, age))
            elif age > (RELAYED_FRESH_S if peer.relayed else DIRECT_FRESH_S):
                alive.append(
                    messages.AliveProxy(peer.beat.proxy, age, peer.revision)
                )
            else:
                builders[peer.beat.domain].add(peer.revision, age)
        return messages.Digest(
            tuple(news),
            tuple(alive),
            tuple(b.build() for b in builders.values() if b.count),
            self._identity.proxy,
            own.config_version,
            own.config_age,
        )

    def own_only(self) -> messages.Digest | None:
        """Return a digest of this proxy's own heartbeat.

        None before this proxy has sent one.
        """
        if self._beat is None:
            return None
        age = self._clock.now() - self._beat_at
        return messages.Digest(
            (messages.AgedHeartbeat(self._beat, age),),
            sender=self._identity.proxy,
        )

    def own_revision_in(
        self, roll: messages.Roll, named: frozenset[str]
    ) -> int:
        """Return this proxy's revision if a summary may hold it, else 0.

        The summary leaves out the proxies in ``named``.
        """
        return self._revision if self._is_counted_in(roll, named) else 0

    def _is_counted_in(
        self, roll: messages.Roll, named: frozenset[str]
    ) -> bool:
        if roll.domain != self._identity.domain:
            return False
        return self._identity.proxy not in named


@attrs.define
class _SummaryBuilder:
    """Builds the summary of a domain's unchanged heartbeats.

    ``revisions`` is the exclusive or of their revisions, ``age`` the greatest
    age in seconds.
    """

    domain: str
    count: int = 0
    revisions: int = 0
    age: float = 0.0

    def add(self, revision: int, age: float) -> None:
        """Add a heartbeat that was sent ``age`` seconds ago."""
        self.count += 1
        self.revisions ^= revision
        self.age = max(self.age, age)

    def build(self) -> messages.Roll:
        """Return the summary as a digest holds it."""
        return messages.Roll(self.domain, self.count, self.revisions, self.age)

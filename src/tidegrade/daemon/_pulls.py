"""Pulls of the heartbeats of a failure domain from another proxy.

They follow digests with another checksum than the one computed here.
"""

from collections.abc import Callable

import attrs

from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Shortest interval between pulls of one domain's heartbeats from the same
#: proxy, in seconds: about twice the interval between its digests.
PULL_INTERVAL_S = 1.0
#: Silence after which a pull fails, in seconds.
PULL_TIMEOUT_S = 0.5


@attrs.frozen
class Pull:
    """A pull of the heartbeats of ``domain`` from ``proxy``."""

    proxy: str
    domain: str


class Pulls:
    """Schedules and runs pulls, and answers those of other proxies.

    ``store`` takes each pulled heartbeat with the time at which it had its
    stated age. ``wake`` is called when a pull is scheduled.
    """

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        roster: _roster.Roster,
        links: _links.Links,
        clock: ports.Clock,
        store: Callable[[messages.AgedHeartbeat, float], None],
        wake: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._roster = roster
        self._links = links
        self._clock = clock
        self._store = store
        self._wake = wake
        self._scheduled: set[Pull] = set()
        self._pulled_at: dict[Pull, float] = {}
        #: Pulls for which the last digest's checksum did not match. A pull is
        #: scheduled when the next one does not match either.
        self._mismatched: set[Pull] = set()

    def record_match(self, pull: Pull) -> None:
        """Record that a digest's checksum of the domain matched."""
        self._mismatched.discard(pull)

    def record_mismatch(self, pull: Pull, now: float) -> None:
        """Schedule a pull if the digest before did not match either."""
        if pull in self._mismatched:
            self._schedule(pull, now)
        else:
            # The first mismatch may only be a race: this proxy may have
            # got a change from another relay before this one forwards it.
            self._mismatched.add(pull)

    def _schedule(self, pull: Pull, now: float) -> None:
        pulled_at = self._pulled_at.get(pull, float('-inf'))
        if pull.proxy and now - pulled_at >= PULL_INTERVAL_S:
            self._pulled_at[pull] = now
            logs.write_bounded(
                logs.LogEvent.DOMAIN_DIFFERS,
                peer=pull.proxy,
                domain=pull.domain,
            )
            self._scheduled.add(pull)
            self._wake()

    def take(self) -> list[Pull]:
        """Return the scheduled pulls and clear them."""
        pulls, self._scheduled = self._scheduled, set()
        return list(pulls)

    async def run(self, pull: Pull) -> None:
        """Pull, and store the answer."""
        address = self.address_of(pull)
        if address is None:
            return
        pulled_at = self._clock.now()
        pulled = await self._links.fetch(
            address, self.message(pull.domain), PULL_TIMEOUT_S
        )
        if isinstance(pulled.answer, messages.Digest):
            self.receive(pulled.answer, pulled_at)

    def address_of(self, pull: Pull) -> _links.Address | None:
        """Return the address to pull from, None if it is not known."""
        return self._roster.address_of(pull.proxy)

    def message(self, domain: str) -> messages.AskDomain:
        """Return the message that pulls the heartbeats of a domain.

        It holds the revisions known here, which need not be sent again.
        """
        known = (
            peer.revision
            for peer in self._roster.known()
            if peer.beat.domain == domain
        )
        return messages.AskDomain(domain, tuple(known))

    def receive(self, digest: messages.Digest, pulled_at: float) -> None:
        """Store the heartbeats that a pull returned.

        Their ages count from the time at which the pull was sent, so a slow
        answer cannot make a silent proxy look alive.
        """
        for aged in digest.news:
            self._store(aged, pulled_at)
        for entry in digest.alive:
            self._roster.refresh_unchanged(
                entry.proxy, entry.revision, pulled_at - entry.age
            )

    def answer(self, request: messages.AskDomain) -> messages.Digest:
        """Return the heartbeats of a failure domain that the sender lacks.

        For heartbeats that the sender has, the digest only states that their
        proxies are alive. With 40 proxies in a domain, two of them new, this
        takes a quarter of the bytes.
        """
        now = self._clock.now()
        known = frozenset(request.known)
        news, alive = [], []
        for peer in self._roster.alive(now):
            if peer.beat.domain != request.domain:
                continue
            age = max(0.0, now - peer.sent_at)
            if peer.revision in known:
                alive.append(
                    messages.AliveProxy(peer.beat.proxy, age, peer.revision)
                )
            else:
                news.append(messages.AgedHeartbeat(peer.beat, age))
        return messages.Digest(
            tuple(news), tuple(alive), sender=self._identity.proxy
        )

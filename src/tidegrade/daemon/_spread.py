"""Spreading heartbeats without every proxy sending to every other.

Few proxies send to all others directly. Where there are many, each failure
domain has relays: every proxy sends its heartbeat to the relays of its own
domain, these tell each other, and each tells its domain. A heartbeat takes
up to two more intervals that way, but what others must know at once, such
as that a primary seems down, is passed on without waiting.
"""

from collections.abc import Iterable
import random

import anyio
import attrs

from tidegrade import core
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Up to so many other proxies, each sends to all of them: the messages of
#: all proxies together grow with the square of their number.
MESH_SIZE = 12
#: Relays of a failure domain; the second covers the loss of the first.
RELAYS = 2
#: How long a changed heartbeat goes out in full, in seconds; a proxy that
#: missed it then gets it with the full digest.
NEWS_FOR = 2.0
#: Every so many digests contain all heartbeats in full.
FULL_EVERY = 8
#: A proxy that was asked to pass heartbeats on does so for this long, in
#: seconds: views differ while proxies start, and whoever is asked must not
#: leave it to others.
ASKED_FOR = 2.0
#: How long a relay waits for more urgent news before it passes them on,
#: in seconds: changes of many proxies have one cause and come together.
URGENT_PAUSE = 0.02


class Spread:
    """Decides to whom heartbeats go, and passes on those of others."""

    def __init__(
        self,
        spot: _roster.Spot,
        roster: _roster.Roster,
        links: _links.Links,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._spot = spot
        self._roster = roster
        self._links = links
        self._clock = clock
        self._rng = rng
        self._rounds = 0
        self._asked_at = float('-inf')
        self._urgent: dict[str, messages.AgedHeartbeat] = {}
        self._wanted = anyio.Event()

    async def run(self) -> None:
        """Pass urgent news on until cancelled."""
        while True:
            await self._wanted.wait()
            await anyio.sleep(URGENT_PAUSE)
            self._wanted = anyio.Event()
            self.flush()

    def flush(self) -> None:
        """Pass on what others must hear at once."""
        news, self._urgent = tuple(self._urgent.values()), {}
        if not news:
            return
        self._send_inside(messages.Digest(news))
        inside = [n for n in news if n.beat.domain == self._spot.domain]
        if inside:
            self._send_outside(messages.Digest(tuple(inside)))

    # Sending --------------------------------------------------------------

    def send(self, beat: messages.Heartbeat) -> None:
        """Send this proxy's own heartbeat."""
        if self._is_small():
            self._links.broadcast(beat)
            return
        asking = attrs.evolve(beat, pass_on=True)
        for proxy in self.relays(self._spot.domain):
            self._post(proxy, asking)

    def send_digest(self, own: messages.Heartbeat) -> None:
        """Tell the others what was heard, if this proxy is a relay."""
        if self._is_small() or not self._is_relay():
            return
        self._rounds += 1
        now = self._clock.now()
        peers = self._roster.alive(now)
        inside = [p for p in peers if p.beat.domain == self._spot.domain]
        self._send_inside(self._digest(peers, own, now))
        self._send_outside(self._digest(inside, own, now))

    def _digest(
        self,
        peers: Iterable[_roster.Peer],
        own: messages.Heartbeat,
        now: float,
    ) -> messages.Digest:
        news = [messages.AgedHeartbeat(own, 0.0)]
        alive = []
        full = self._rounds % FULL_EVERY == 0
        for peer in peers:
            age = max(0.0, now - peer.heard_at)
            if full or now - peer.changed_at < NEWS_FOR:
                news.append(messages.AgedHeartbeat(peer.beat, age))
                continue
            alive.append(
                messages.AliveProxy(peer.beat.proxy, age, peer.revision)
            )
        return messages.Digest(tuple(news), tuple(alive))

    def _send_inside(self, digest: messages.Digest) -> None:
        """Send to the other proxies of this failure domain."""
        for peer in self._roster.alive(self._clock.now()):
            if peer.beat.domain == self._spot.domain:
                self._post(peer.beat.proxy, digest)

    def _send_outside(self, digest: messages.Digest) -> None:
        """Send to the relays of the other failure domains."""
        for domain in self._roster.domains() - {self._spot.domain}:
            relays = self.relays(domain)
            for proxy in relays:
                self._post(proxy, digest)
            if relays:
                continue
            # None is known to live there, as after a cut: try some.
            listed = self._roster.listed(domain)
            few = min(RELAYS, len(listed))
            for address in self._rng.sample(listed, few):
                self._post_to(address, digest)

    def _post(self, proxy: str, body: messages.PeerBody) -> None:
        peer = self._roster.get(proxy)
        if peer is not None:
            self._post_to(peer.address, body)

    def _post_to(
        self, address: _links.Address, body: messages.PeerBody
    ) -> None:
        link = self._links.link(address)
        if link is not None:
            link.post(body)

    # Receiving ------------------------------------------------------------

    def heard(self, beat: messages.Heartbeat) -> None:
        """Take in a heartbeat that its proxy sent to this one."""
        now = self._clock.now()
        if beat.pass_on:
            self._asked_at = now
            beat = attrs.evolve(beat, pass_on=False)
        self._take(messages.AgedHeartbeat(beat, 0.0), now)

    def heard_digest(self, digest: messages.Digest) -> None:
        """Take in what another proxy has heard."""
        now = self._clock.now()
        for aged in digest.news:
            self._take(aged, now)
        for entry in digest.alive:
            at = now - entry.age
            self._roster.refreshed(entry.proxy, entry.revision, at)

    def _take(self, aged: messages.AgedHeartbeat, now: float) -> None:
        beat = aged.beat
        known = self._roster.get(beat.proxy)
        peer = self._roster.heard(beat, now - aged.age)
        if peer is None:
            return
        self._links.ensure(peer.address)
        before = known.beat.urgent() if known is not None else (False,)
        if beat.urgent() != before and self._is_relay():
            self._urgent[beat.proxy] = aged
            self._wanted.set()

    # Who passes on --------------------------------------------------------

    def _is_small(self) -> bool:
        return len(self._roster.alive(self._clock.now())) < MESH_SIZE

    def _is_relay(self) -> bool:
        """Tell whether others count on this proxy to pass things on."""
        if self._is_small():
            return False
        if self._clock.now() - self._asked_at < ASKED_FOR:
            return True
        return self._spot.proxy in self.relays(self._spot.domain)

    def relays(self, domain: str) -> tuple[str, ...]:
        """Give the relays of a failure domain; this proxy may be one."""
        alive = self._roster.alive(self._clock.now())
        proxies = [
            peer.beat.proxy
            for peer in alive
            if peer.beat.domain == domain and not peer.beat.draining
        ]
        if domain == self._spot.domain:
            proxies.append(self._spot.proxy)
        return core.first_ones(f'relay {domain}', proxies, RELAYS)

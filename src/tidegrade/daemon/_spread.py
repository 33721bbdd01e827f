"""Spreading heartbeats without every proxy sending to every other.

Few proxies send to all others directly. Where there are many, each failure
domain has relays: every proxy sends its heartbeat to the relays of its own
domain, these tell each other, and each tells its domain. A heartbeat takes
up to two more intervals that way, but what others must know at once, such
as that a primary seems down, is passed on without waiting.

Of proxies that have nothing new to say a relay gives one number a domain.
Whoever comes to another number twice asks for their heartbeats, so that
little is sent where nothing changes.
"""

import random

import anyio
import attrs

from tidegrade import core
from tidegrade.daemon import _roster
from tidegrade import logs
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Up to so many other proxies, each sends to all of them: the messages of
#: all proxies together grow with the square of their number.
MESH_SIZE = 12
#: Relays of a failure domain; the second covers the loss of the first.
RELAYS = 2
#: How long a changed heartbeat goes out in full, in seconds: two digests,
#: so that one may be lost; who missed both asks.
NEWS_FOR = 1.0
#: A proxy that was not heard for this long is named by itself in digests,
#: in seconds: two intervals, so that its age makes nobody else look old.
FRESH = 1.0
#: The same for one that is heard through relays, whose digests add up to
#: an interval each. Without it most would be named each time.
RELAYED_FRESH = 1.8
#: It is no longer named after this, in seconds: by then nobody takes it
#: for alive any more.
NAMED_FOR = 6.0
#: A proxy that was asked to pass heartbeats on does so for this long, in
#: seconds: views differ while proxies start, and whoever is asked must not
#: leave it to others.
ASKED_FOR = 2.0
#: How long a relay waits for more urgent news before it passes them on,
#: in seconds: changes of many proxies have one cause and come together.
URGENT_PAUSE = 0.02
#: Least pause between two questions to a proxy for the heartbeats of one
#: domain, in seconds: about the pause between its digests, twice.
ASK_PAUSE = 1.0
#: Silence after which a proxy that was asked for the heartbeats of a
#: domain is given up, in seconds.
ASK_LIMIT = 0.5


@attrs.frozen
class _Question:
    """Whom to ask for the heartbeats of which failure domain."""

    proxy: str
    domain: str


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
        self._asked_at = float('-inf')
        self._own: messages.Heartbeat | None = None
        self._own_revision = 0
        self._own_changed_at = float('-inf')
        self._urgent: dict[str, messages.AgedHeartbeat] = {}
        self._questions: set[_Question] = set()
        self._asked: dict[_Question, float] = {}
        #: What the last digest said otherwise than what is known here.
        self._differed: set[_Question] = set()
        self._wanted = anyio.Event()

    async def run(self) -> None:
        """Pass urgent news on, and ask for what is missing."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wanted.wait()
                await anyio.sleep(URGENT_PAUSE)
                self._wanted = anyio.Event()
                self.flush()
                for question in self.questions():
                    tasks.start_soon(self._ask, question)

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
        self._note_own(beat)
        if self._is_small():
            for address in self._roster.addresses():
                self._links.post(address, beat)
            return
        asking = attrs.evolve(beat, pass_on=True)
        for proxy in self.relays(self._spot.domain):
            self._post(proxy, asking)

    def _note_own(self, beat: messages.Heartbeat) -> None:
        if beat == self._own:
            return
        revision = beat.revision()
        if revision != self._own_revision:
            self._own_changed_at = self._clock.now()
        self._own, self._own_revision = beat, revision

    def send_digest(self, own: messages.Heartbeat) -> None:
        """Tell the others what was heard, if this proxy is a relay.

        Each relay tells one of another domain: the bytes between domains
        are billed, and its other relay is told by another of this one.
        """
        if not self.is_relay():
            return
        self._note_own(own)
        domains = self._roster.domains() | {self._spot.domain}
        self._send_inside(self._digest(domains, own))
        # Named in full: who has never heard of it could not ask it back,
        # and two domains that start anew would stay deaf to each other.
        outside = self._digest({self._spot.domain}, own, introduces=True)
        turn = self._turn()
        for domain in domains - {self._spot.domain}:
            relays = self.relays(domain)
            if relays:
                self._post(relays[turn % len(relays)], outside)
            else:
                self._try_listed(domain, outside)

    def _turn(self) -> int:
        """Give this proxy's place among the relays of its domain."""
        relays = self.relays(self._spot.domain)
        if self._spot.proxy not in relays:
            return 0
        return relays.index(self._spot.proxy)

    def announce(self, body: messages.Announcement) -> None:
        """Have all proxies told."""
        if self._is_small():
            for address in self._roster.addresses():
                self._links.post(address, body)
            return
        asking = attrs.evolve(body, pass_on=True)
        self._send_outside(asking)
        for proxy in self.relays(self._spot.domain):
            self._post(proxy, asking)

    def pass_on(self, body: messages.Announcement) -> None:
        """Tell the other proxies of this failure domain."""
        self._send_inside(attrs.evolve(body, pass_on=False))

    def _digest(
        self,
        domains: frozenset[str] | set[str],
        own: messages.Heartbeat,
        introduces: bool = False,
    ) -> messages.Digest:
        """Give what is known of domains; own news if it ``introduces``."""
        now = self._clock.now()
        news = []
        alive = []
        rolls = {domain: _RollCall(domain) for domain in sorted(domains)}
        if introduces or now - self._own_changed_at < NEWS_FOR:
            news.append(messages.AgedHeartbeat(own, 0.0))
        else:
            rolls[self._spot.domain].add(self._own_revision, 0.0)
        for peer in self._roster.known():
            age = max(0.0, now - peer.heard_at)
            if age > NAMED_FOR or peer.beat.domain not in domains:
                continue
            if now - peer.changed_at < NEWS_FOR:
                news.append(messages.AgedHeartbeat(peer.beat, age))
            elif age > (RELAYED_FRESH if peer.relayed else FRESH):
                alive.append(
                    messages.AliveProxy(peer.beat.proxy, age, peer.revision)
                )
            else:
                rolls[peer.beat.domain].add(peer.revision, age)
        return messages.Digest(
            tuple(news),
            tuple(alive),
            tuple(roll.closed() for roll in rolls.values() if roll.count),
            self._spot.proxy,
            own.config_version,
            own.config_age,
        )

    def _send_inside(self, body: messages.PeerBody) -> None:
        """Send to the other proxies of this failure domain."""
        for peer in self._roster.alive(self._clock.now()):
            if peer.beat.domain == self._spot.domain:
                self._links.post(peer.address, body)

    def _send_outside(self, body: messages.PeerBody) -> None:
        """Send to the relays of the other failure domains."""
        for domain in self._roster.domains() - {self._spot.domain}:
            relays = self.relays(domain)
            for proxy in relays:
                self._post(proxy, body)
            if not relays:
                self._try_listed(domain, body)

    def _try_listed(self, domain: str, body: messages.PeerBody) -> None:
        """Send to some of a domain where none is known to live."""
        listed = self._roster.listed(domain)
        few = min(RELAYS, len(listed))
        for address in self._rng.sample(listed, few):
            self._links.post(address, body)

    def _post(self, proxy: str, body: messages.PeerBody) -> None:
        address = self._roster.address_of(proxy)
        if address is not None:
            self._links.post(address, body)

    # Receiving ------------------------------------------------------------

    def heard(self, beat: messages.Heartbeat) -> None:
        """Take in a heartbeat that its proxy sent to this one."""
        now = self._clock.now()
        if beat.pass_on:
            self._asked_at = now
            beat = attrs.evolve(beat, pass_on=False)
        elif not self._is_small() and not self.is_relay():
            # It doesn't know the relays yet, and others don't know it.
            address = _links.Address(beat.host, beat.port)
            self._introduce(beat.domain, address)
        self._take(messages.AgedHeartbeat(beat, 0.0), now, False)

    def heard_digest(self, digest: messages.Digest) -> None:
        """Take in what another proxy has heard."""
        now = self._clock.now()
        for aged in digest.news:
            self._take(aged, now, aged.beat.proxy != digest.sender)
        for entry in digest.alive:
            at = now - entry.age
            self._roster.refreshed(entry.proxy, entry.revision, at, now)
        self._roster.has_config(
            digest.sender, digest.config_version, digest.config_age, now
        )
        self._answer_stranger(digest)
        named = digest.named()
        for roll in digest.rolls:
            own = self._own_revision if self._counts_in(roll, named) else 0
            question = _Question(digest.sender, roll.domain)
            if self._roster.roll_called(roll, named, own, now):
                self._differed.discard(question)
            elif question in self._differed:
                self._want(question, now)
            else:
                # The other relay may just have told what this one will.
                self._differed.add(question)

    def domain_digest(self, question: messages.AskDomain) -> messages.Digest:
        """Give the heartbeats of a failure domain that the other lacks.

        Of those that it knows it is told that they live: with 40 proxies in
        a domain and two of them new that is a quarter of the bytes.
        """
        now = self._clock.now()
        known = frozenset(question.known)
        news, alive = [], []
        for peer in self._roster.alive(now):
            if peer.beat.domain != question.domain:
                continue
            age = max(0.0, now - peer.heard_at)
            if peer.revision in known:
                alive.append(
                    messages.AliveProxy(peer.beat.proxy, age, peer.revision)
                )
            else:
                news.append(messages.AgedHeartbeat(peer.beat, age))
        return messages.Digest(
            tuple(news), tuple(alive), sender=self._spot.proxy
        )

    def _counts_in(self, roll: messages.Roll, named: frozenset[str]) -> bool:
        if roll.domain != self._spot.domain:
            return False
        return self._spot.proxy not in named

    def _take(
        self, aged: messages.AgedHeartbeat, at: float, relayed: bool
    ) -> None:
        """Take in a heartbeat that was as old as it says at ``at``."""
        beat = aged.beat
        known = self._roster.get(beat.proxy)
        before = known.beat.urgent() if known is not None else (False,)
        if (
            self._roster.heard(beat, at - aged.age, self._clock.now(), relayed)
            is None
        ):
            return
        if beat.urgent() != before and self.is_relay():
            self._urgent[beat.proxy] = aged
            self._wanted.set()

    def _answer_stranger(self, digest: messages.Digest) -> None:
        """Tell a relay elsewhere which are the relays here.

        It sends to others only while it knows none, as after a cut.
        """
        if not digest.rolls or self._is_small() or self.is_relay():
            return
        sender = self._roster.get(digest.sender)
        if sender is not None and sender.beat.domain != self._spot.domain:
            self._introduce(self._spot.domain, sender.address)

    def _introduce(self, domain: str, to: _links.Address) -> None:
        """Tell another proxy which are the relays of a domain."""
        now = self._clock.now()
        peers = map(self._roster.get, self.relays(domain))
        news = tuple(
            messages.AgedHeartbeat(peer.beat, max(0.0, now - peer.heard_at))
            for peer in peers
            if peer is not None
        )
        self._links.post(to, messages.Digest(news, sender=self._spot.proxy))

    # Asking ---------------------------------------------------------------

    def _want(self, question: _Question, now: float) -> None:
        asked_at = self._asked.get(question, float('-inf'))
        if question.proxy and now - asked_at >= ASK_PAUSE:
            self._asked[question] = now
            logs.write_bounded(
                logs.LogEvent.DOMAIN_DIFFERS,
                peer=question.proxy,
                domain=question.domain,
            )
            self._questions.add(question)
            self._wanted.set()

    def questions(self) -> list[_Question]:
        """Give what is to be asked now; each is given once."""
        questions, self._questions = self._questions, set()
        return list(questions)

    async def _ask(self, question: _Question) -> None:
        address = self.address_of(question)
        if address is None:
            return
        asked_at = self._clock.now()
        asked = await self._links.fetch(
            address, self.question_about(question.domain), ASK_LIMIT
        )
        if isinstance(asked.answer, messages.Digest):
            self.heard_domain(asked.answer, asked_at)

    def address_of(self, question: _Question) -> _links.Address | None:
        """Give where whoever is to be asked takes questions."""
        return self._roster.address_of(question.proxy)

    def question_about(self, domain: str) -> messages.AskDomain:
        """Give the question for what is not known of a domain."""
        known = (
            peer.revision
            for peer in self._roster.known()
            if peer.beat.domain == domain
        )
        return messages.AskDomain(domain, tuple(known))

    def heard_domain(self, digest: messages.Digest, asked_at: float) -> None:
        """Take in heartbeats that were asked for.

        They are dated from before the question, so that a slow answer
        makes nobody look alive.
        """
        now = self._clock.now()
        for aged in digest.news:
            self._take(aged, asked_at, True)
        for entry in digest.alive:
            self._roster.refreshed(
                entry.proxy, entry.revision, asked_at - entry.age, now
            )

    # Who passes on --------------------------------------------------------

    def _is_small(self) -> bool:
        candidates = self._roster.candidates(self._clock.now())
        return sum(map(len, candidates.values())) < MESH_SIZE

    def is_relay(self) -> bool:
        """Tell whether others count on this proxy to pass things on."""
        if self._is_small():
            return False
        if self._clock.now() - self._asked_at < ASKED_FOR:
            return True
        return self._spot.proxy in self.relays(self._spot.domain)

    def relays(self, domain: str) -> tuple[str, ...]:
        """Give the relays of a failure domain; this proxy may be one.

        Those that were listed just now may be relays that have restarted.
        """
        candidates = self._roster.candidates(self._clock.now())
        proxies = candidates.get(domain, set())
        if domain == self._spot.domain:
            proxies = proxies | {self._spot.proxy}
        return core.top_ranked(f'relay {domain}', proxies, RELAYS)


@attrs.define
class _RollCall:
    """Counts the proxies of a domain that have nothing new to say."""

    domain: str
    count: int = 0
    revisions: int = 0
    age: float = 0.0

    def add(self, revision: int, age: float) -> None:
        """Count one whose heartbeat was sent ``age`` seconds ago."""
        self.count += 1
        self.revisions ^= revision
        self.age = max(self.age, age)

    def closed(self) -> messages.Roll:
        """Give the count as it is sent."""
        return messages.Roll(self.domain, self.count, self.revisions, self.age)

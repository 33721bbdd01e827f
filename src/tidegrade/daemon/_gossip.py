"""Gossip of heartbeats among proxies.

A small deployment uses a full mesh: each proxy sends its heartbeat to all
others. In a larger one each failure domain has relays. Every proxy sends its
heartbeat to the relays of its own domain, relays exchange digests with the
relays of other domains, and each relay forwards digests to its own domain.
A heartbeat takes up to two more intervals on this path. Urgent changes, such
as an opinion that a primary is down, are forwarded without that delay.

For unchanged heartbeats a digest holds one checksum per failure domain
instead of the heartbeats. A proxy that computes another checksum for two
digests in a row pulls the heartbeats of that domain (anti-entropy), so
traffic stays low while nothing changes.
"""

import random

import anyio
import attrs

from tidegrade.daemon import _digests
from tidegrade.daemon import _domain_contacts
from tidegrade.daemon import _pulls
from tidegrade.daemon import _relays
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Time for which a relay collects urgent changes before it forwards them, in
#: seconds: many proxies change for one cause at about the same time.
URGENT_DELAY_S = 0.02


class Gossip:
    """Sends this proxy's heartbeat and forwards those of other proxies.

    It chooses the recipients, and pulls heartbeats that are missing here.
    """

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        roster: _roster.Roster,
        links: _links.Links,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._roster = roster
        self._links = links
        self._clock = clock
        self._rng = rng
        self._relays = _relays.Relays(identity, roster, clock)
        self._digests = _digests.Digests(identity, roster, clock)
        self._urgent_changes: dict[str, messages.AgedHeartbeat] = {}
        self._wakeup = anyio.Event()
        self._contacts = _domain_contacts.DomainContacts(
            identity,
            roster,
            self._relays,
            self._digests,
            links,
            clock,
            self._wake,
        )
        self._pulls = _pulls.Pulls(
            identity, roster, links, clock, self._store_pulled, self._wake
        )

    async def run(self) -> None:
        """Forward urgent changes and run scheduled pulls until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wakeup.wait()
                await anyio.sleep(URGENT_DELAY_S)
                self._wakeup = anyio.Event()
                self.flush()
                for pull in self.take_pulls():
                    tasks.start_soon(self._pulls.run, pull)

    def flush(self) -> None:
        """Forward the urgent changes collected since the last call."""
        if self._contacts.take_regained():
            self._send_within_domain(
                messages.Digest(
                    sender=self._identity.proxy, contacts=self._contacts.own()
                )
            )
        news, self._urgent_changes = tuple(self._urgent_changes.values()), {}
        if not news:
            return
        self._send_within_domain(messages.Digest(news))
        inside = [n for n in news if n.beat.domain == self._identity.domain]
        if inside:
            self._send_to_other_domains(messages.Digest(tuple(inside)))

    def _wake(self) -> None:
        """Have urgent changes forwarded and scheduled pulls run soon."""
        self._wakeup.set()

    # Sending --------------------------------------------------------------

    def send(self, beat: messages.Heartbeat) -> None:
        """Send this proxy's own heartbeat to all proxies or to its relays."""
        self._digests.update_own(beat)
        self._relays.update()
        if self._relays.was_mesh:
            for address in self._roster.addresses():
                self._links.post(address, beat)
            return
        to_relay = attrs.evolve(beat, pass_on=True)
        for proxy in {*self._relays.own, *self._relays.acting}:
            self._post(proxy, to_relay)

    def send_digest(self, own: messages.Heartbeat) -> None:
        """Send digests, if this proxy is a relay.

        Each relay sends to one relay of each other domain, since traffic
        between domains is billed. The second relay there gets its digest from
        the second relay of this domain.
        """
        if not self._relays.is_relay():
            return
        self._digests.update_own(own)
        domains = self._roster.domains() | {self._identity.domain}
        inside = self._digests.build(domains, own)
        self._send_within_domain(
            attrs.evolve(
                inside, contacts=self._contacts.own(), has_contacts=True
            )
        )
        # Holds this proxy's heartbeat in full: a recipient that does not know
        # this proxy has no address to pull from, and two domains that restart
        # together would never learn of each other.
        outside = self._digests.build(
            {self._identity.domain}, own, own_in_full=True
        )
        own_place = self._relays.own_index()
        for domain in domains - {self._identity.domain}:
            relays = self._relays.of(domain)
            if relays:
                self._post(relays[own_place % len(relays)], outside)
            else:
                self._send_to_listed(domain, outside)
        for proxy in self._contacts.stand_ins():
            self._post(proxy, outside)

    def announce(self, body: messages.Announcement) -> None:
        """Send a message to all proxies, directly or through the relays."""
        if self._relays.uses_mesh():
            for address in self._roster.addresses():
                self._links.post(address, body)
            return
        to_relay = attrs.evolve(body, pass_on=True)
        self._send_to_other_domains(to_relay)
        own_relays = self._relays.of(self._identity.domain)
        for proxy in {*own_relays, *self._relays.acting}:
            self._post(proxy, to_relay)

    def pass_on(self, body: messages.Announcement) -> None:
        """Forward a message to the other proxies of this failure domain."""
        self._send_within_domain(attrs.evolve(body, pass_on=False))

    def _send_within_domain(self, body: messages.PeerBody) -> None:
        """Send to the other proxies of this failure domain."""
        for peer in self._roster.alive(self._clock.now()):
            if peer.beat.domain == self._identity.domain:
                self._links.post(peer.address, body)

    def _send_to_other_domains(self, body: messages.PeerBody) -> None:
        """Send to the relays of the other failure domains."""
        for domain in self._roster.domains() - {self._identity.domain}:
            relays = self._relays.of(domain)
            for proxy in relays:
                self._post(proxy, body)
            if not relays:
                self._send_to_listed(domain, body)

    def _send_to_listed(self, domain: str, body: messages.PeerBody) -> None:
        """Send to some listed addresses of a domain without a known relay."""
        listed = self._roster.listed(domain)
        few = min(_relays.RELAYS, len(listed))
        for address in self._rng.sample(listed, few):
            self._links.post(address, body)

    def _post(self, proxy: str, body: messages.PeerBody) -> None:
        address = self._roster.address_of(proxy)
        if address is not None:
            self._links.post(address, body)

    # Receiving ------------------------------------------------------------

    def receive_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Store a heartbeat received directly from its proxy."""
        now = self._clock.now()
        self._contacts.record_direct(beat.domain, now)
        if beat.pass_on:
            self._relays.record_request(now)
            beat = attrs.evolve(beat, pass_on=False)
        elif not self._relays.uses_mesh() and not self._relays.is_relay():
            # The sender does not know the relays yet, nor they the sender.
            address = _links.Address(beat.host, beat.port)
            self._contacts.send_relays(beat.domain, address)
        self._store(messages.AgedHeartbeat(beat, 0.0), now, False)

    def receive_digest(self, digest: messages.Digest) -> None:
        """Store what a digest holds, and schedule a pull if it differs."""
        now = self._clock.now()
        newest = self._roster.newest_heartbeats()
        introduced = [
            aged.beat.proxy
            for aged in digest.news
            if self._contacts.is_introduced(aged.beat, digest)
        ]
        for aged in digest.news:
            self._store(aged, now, aged.beat.proxy != digest.sender)
        for entry in digest.alive:
            at = now - entry.age
            self._roster.refresh_unchanged(entry.proxy, entry.revision, at)
        self._roster.record_config(
            digest.sender, digest.config_version, digest.config_age, now
        )
        self._contacts.introduce_own_relays(digest)
        named = digest.named()
        for roll in digest.rolls:
            own = self._digests.own_revision_in(roll, named)
            pull = _pulls.Pull(digest.sender, roll.domain)
            if self._roster.match_summary(roll, named, own, now):
                self._pulls.record_match(pull)
            else:
                self._pulls.record_mismatch(pull, now)
        self._contacts.record(digest, newest, now)
        for proxy in introduced:
            self._contacts.send_own(proxy)

    def _store(
        self, aged: messages.AgedHeartbeat, at: float, relayed: bool
    ) -> None:
        """Store a heartbeat that had its stated age at the time ``at``."""
        beat = aged.beat
        known = self._roster.get(beat.proxy)
        before = known.beat.urgent() if known is not None else (False,)
        if (
            self._roster.record_heartbeat(
                beat, at - aged.age, self._clock.now(), relayed
            )
            is None
        ):
            return
        if beat.urgent() != before and self._relays.is_relay():
            self._urgent_changes[beat.proxy] = aged
            self._wake()

    def _store_pulled(
        self, aged: messages.AgedHeartbeat, pulled_at: float
    ) -> None:
        self._store(aged, pulled_at, True)

    # Relays ---------------------------------------------------------------

    def is_relay(self) -> bool:
        """Return whether this proxy acts as a relay."""
        return self._relays.is_relay()

    def relays(self, domain: str) -> tuple[str, ...]:
        """Return the relays of a failure domain."""
        return self._relays.of(domain)

    def relays_heard_at(self) -> float | None:
        """Return the time by which each relay of this domain was heard.

        None in a full mesh.
        """
        return self._relays.heard_at()

    # Pulls ----------------------------------------------------------------

    def take_pulls(self) -> list[_pulls.Pull]:
        """Return the scheduled pulls and clear them."""
        return self._pulls.take()

    def address_of(self, pull: _pulls.Pull) -> _links.Address | None:
        """Return the address to pull from, None if it is not known."""
        return self._pulls.address_of(pull)

    def pull_message(self, domain: str) -> messages.AskDomain:
        """Return the message that pulls the heartbeats of a domain."""
        return self._pulls.message(domain)

    def receive_pulled(
        self, digest: messages.Digest, pulled_at: float
    ) -> None:
        """Store the heartbeats that a pull sent at ``pulled_at`` returned."""
        self._pulls.receive(digest, pulled_at)

    def answer_pull(self, request: messages.AskDomain) -> messages.Digest:
        """Return the heartbeats of a failure domain that the sender lacks."""
        return self._pulls.answer(request)

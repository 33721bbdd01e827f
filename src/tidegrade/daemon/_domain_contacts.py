"""Contacts with other failure domains, and with proxies that relay there.

After a network partition, the relays of two domains learn of each other
through introductions: heartbeats of relays that another proxy sends them.
"""

from collections.abc import Callable

from tidegrade.daemon import _digests
from tidegrade.daemon import _relays
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Silence of a domain after which a relay reports the next contact at once,
#: in seconds: as for a relay.
CONTACT_LOST_S = 1.1
#: Age below which relayed heartbeats in a digest without contacts count as a
#: contact, in seconds. Older proxies send no contacts, and their digests may
#: repeat heartbeats of a domain that is cut off.
UNREPORTED_CONTACT_AGE_S = 2.0
#: Time for which a proxy must have been a relay before it reports a contact
#: that is older than that, in seconds. Before it became a relay, the other
#: domains sent it nothing; after two digests of its own, the relays there have
#: answered.
RELAY_SETTLED_S = 1.1
#: Time for which a relay sends digests to a proxy of another domain that sent
#: it some without being a known relay, in seconds.
STAND_IN_S = 1.2


class DomainContacts:
    """Records contacts with other domains, and restores lost ones.

    ``wake`` is called when a relay is to report a contact at once.
    """

    def __init__(
        self,
        identity: _roster.ProxyIdentity,
        roster: _roster.Roster,
        relays: _relays.Relays,
        digests: _digests.Digests,
        links: _links.Links,
        clock: ports.Clock,
        wake: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._roster = roster
        self._relays = relays
        self._digests = digests
        self._links = links
        self._clock = clock
        self._wake = wake
        #: When proxies of other domains that are no known relays there sent
        #: digests to this one, which is a relay.
        self._stand_ins: dict[str, float] = {}
        #: Whether this proxy, a relay, regained a contact that it has not
        #: reported yet.
        self._contact_regained = False

    # Contacts -------------------------------------------------------------

    def take_regained(self) -> bool:
        """Return whether a lost contact was regained since the last call."""
        regained, self._contact_regained = self._contact_regained, False
        return regained

    def own(self) -> tuple[messages.DomainContact, ...]:
        """Return this proxy's own contacts with the other domains.

        A proxy that has just become a relay omits those from before.
        """
        ages = self._roster.contacts.direct_ages(self._clock.now())
        acting_s = self._relays.acting_s()
        return tuple(
            messages.DomainContact(domain, age)
            for domain, age in ages.items()
            if age <= acting_s or acting_s >= RELAY_SETTLED_S
        )

    def record_direct(self, domain: str, now: float) -> None:
        """Record a message received directly from a proxy of a domain."""
        if domain == self._identity.domain:
            return
        last = self._roster.contacts.last(domain)
        self._roster.contacts.record_direct(domain, now)
        lost = last is None or now - last >= CONTACT_LOST_S
        if lost and self._relays.is_relay():
            self._contact_regained = True
            self._wake()

    def record(
        self, digest: messages.Digest, newest: dict[str, float], now: float
    ) -> None:
        """Record contact with the sender's domain, or those that it states.

        ``newest`` holds when the newest heartbeat of each domain had been
        sent as far as it was known before this digest.
        """
        domain = self._roster.domain_of(digest.sender)
        if not domain:
            return
        if domain != self._identity.domain:
            self.record_direct(domain, now)
            self._answer_stand_in(digest, now)
            return
        for contact in digest.contacts:
            if contact.domain != domain:
                self._roster.contacts.record_report(
                    contact.domain, now - contact.age
                )
        if not digest.has_contacts:
            self._count_heartbeats_as_contacts(newest, now)
        if digest.rolls or digest.has_contacts:
            self._relays.record_digest(digest.sender, now)

    def _count_heartbeats_as_contacts(
        self, newest: dict[str, float], now: float
    ) -> None:
        """Record contact with each domain that a newer heartbeat is of."""
        for domain, at in self._roster.newest_heartbeats().items():
            if domain == self._identity.domain or at <= newest.get(domain, 0):
                continue
            if now - at < UNREPORTED_CONTACT_AGE_S:
                self._roster.contacts.record_report(domain, now)

    # Relays of other domains ----------------------------------------------

    def stand_ins(self) -> list[str]:
        """Return the proxies of other domains that stand in for relays."""
        oldest = self._clock.now() - STAND_IN_S
        self._stand_ins = {
            proxy: at
            for proxy, at in self._stand_ins.items()
            if at >= oldest and not self._relays.is_known_relay(proxy)
        }
        return list(self._stand_ins)

    def is_introduced(
        self, beat: messages.Heartbeat, digest: messages.Digest
    ) -> bool:
        """Return whether a digest introduces a relay of another domain.

        See :meth:`introduce_own_relays`. The relay is sent a heartbeat at
        once, since its domain may have been out of contact.
        """
        return (
            not digest.rolls
            and digest.sender != ''
            and beat.proxy != digest.sender
            and beat.domain != self._identity.domain
            and beat.proxy not in self._relays.of(beat.domain)
        )

    def _answer_stand_in(self, digest: messages.Digest, now: float) -> None:
        """Send digests to a proxy that stands in for relays of its domain.

        It needs them to be in contact with this domain, and this relay does
        not choose it while the failed relays count as alive.
        """
        if (
            not digest.rolls
            or self._relays.uses_mesh()
            or not self._relays.is_relay()
        ):
            return
        if self._relays.is_known_relay(digest.sender):
            return
        if digest.sender not in self._stand_ins:
            self.send_own(digest.sender)
        self._stand_ins[digest.sender] = now

    def send_own(self, proxy: str) -> None:
        """Send this proxy's own heartbeat to a proxy of another domain."""
        if not self._relays.is_relay():
            return
        own = self._digests.own_only()
        address = self._roster.address_of(proxy)
        if own is not None and address is not None:
            self._links.post(address, own)

    def introduce_own_relays(self, digest: messages.Digest) -> None:
        """Send the relays of this domain to a relay of another domain.

        That relay sends digests to other proxies only while it knows no relay
        here, as after a network partition.
        """
        if (
            not digest.rolls
            or self._relays.uses_mesh()
            or self._relays.is_relay()
        ):
            return
        sender = self._roster.get(digest.sender)
        if sender is not None and sender.beat.domain != self._identity.domain:
            self.send_relays(self._identity.domain, sender.address)

    def send_relays(self, domain: str, to: _links.Address) -> None:
        """Send the heartbeats of a domain's relays to another proxy."""
        now = self._clock.now()
        peers = map(self._roster.get, self._relays.of(domain))
        news = tuple(
            messages.AgedHeartbeat(peer.beat, max(0.0, now - peer.sent_at))
            for peer in peers
            if peer is not None
        )
        self._links.post(
            to, messages.Digest(news, sender=self._identity.proxy)
        )

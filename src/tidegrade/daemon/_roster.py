"""The other proxies that this one knows.

They are known from their heartbeats and from the platform's list of VMs.
Times are those of the proxy's own clock, in seconds.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from tidegrade import core
from tidegrade.daemon import _cached
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports


@attrs.frozen
class ProxyIdentity:
    """A proxy's own name and failure domain."""

    proxy: str
    domain: str


@attrs.define
class Peer:
    """Another proxy, with its last heartbeat and the time it was sent.

    ``changed_at`` is the time at which this proxy learned of the heartbeat's
    current content; a relay forwards it in full for a while from then on.
    A ``relayed`` heartbeat came through relays and may be older than one
    received directly. At ``config_seen_at`` the peer's configuration was
    known to be the newest.
    """

    beat: messages.Heartbeat
    sent_at: float
    changed_at: float
    revision: int
    relayed: bool = False
    config_seen_at: float = float('-inf')

    @property
    def address(self) -> _links.Address:
        """The address at which the peer accepts connections."""
        return _links.Address(self.beat.host, self.beat.port)


@attrs.frozen
class _ListedVm:
    """A VM on the platform's list, and the time it first appeared there."""

    vm: ports.Vm
    since: float


class Roster:
    """The peers known by heartbeats, and the proxies that the platform lists.

    A peer is alive if its last heartbeat was sent at most ``alive_s`` seconds
    ago, or ``relayed_s`` seconds if it came through relays. ``own_capacity``
    is that of this proxy's VM in thousandths of a core, 0 if it is not known.
    """

    def __init__(
        self,
        own_id: str,
        alive_s: float,
        relayed_s: float | None = None,
        own_capacity: int = 0,
    ) -> None:
        self._own_id = own_id
        self._own_capacity = own_capacity
        #: Cached result of `capacities`; None after a change.
        self._capacities: dict[str, int] | None = None
        self._alive_s = alive_s
        self._relayed_s = alive_s if relayed_s is None else relayed_s
        self._peers: dict[str, Peer] = {}
        self._id_by_address: dict[_links.Address, str] = {}
        self._serving: dict[messages.GroupKey, dict[str, Peer]] = {}
        #: For each failure domain, when its newest heartbeat was sent.
        self._newest_sent_at: dict[str, float] = {}
        #: Contact with the other failure domains.
        self.contacts = core.Contacts()
        self._listed: dict[_links.Address, _ListedVm] = {}
        #: The alive peers. An answer holds while no peer is added, removed or
        #: returns, and while none changes between direct and relayed
        #: heartbeats.
        self._alive = _cached.CachedAnswer(self._find_alive)
        #: The candidates by domain. An answer holds while the alive peers and
        #: the listed proxies stay the same and no heartbeat changes.
        self._candidates = _cached.CachedAnswer(self._find_candidates)

    # Updates --------------------------------------------------------------

    def list_vm(self, vm: ports.Vm, now: float) -> _links.Address:
        """Record a proxy that the platform lists and return its address."""
        address = _links.Address(vm.host, vm.port)
        known = self._listed.get(address)
        if known is None or known.vm != vm:
            self._listed[address] = _ListedVm(vm, now)
            self._capacities = None
            self._candidates.clear()
        return address

    def unlist(self, address: _links.Address) -> None:
        """Remove a listed address."""
        self._listed.pop(address, None)
        self._capacities = None
        self._candidates.clear()

    def record_heartbeat(
        self,
        beat: messages.Heartbeat,
        at: float,
        now: float,
        relayed: bool = False,
    ) -> Peer | None:
        """Record a heartbeat sent at ``at`` and return its peer.

        Returns None if it is this proxy's own or not newer than the last.
        """
        if beat.proxy == self._own_id:
            return None
        known = self._peers.get(beat.proxy)
        if known is None:
            peer = Peer(beat, at, now, beat.revision(), relayed)
            self._add(peer)
            _record_config(peer, beat.config_age, at)
            return peer
        if known.sent_at >= at:
            return None
        self._refresh(known, at, relayed)
        if known.beat != beat:
            self._change(known, beat, now)
        _record_config(known, beat.config_age, at)
        return known

    def refresh_unchanged(self, proxy: str, revision: int, at: float) -> None:
        """Record that an unchanged heartbeat was sent again at ``at``."""
        known = self._peers.get(proxy)
        if known is None or known.revision != revision:
            # The content may have changed: the full heartbeat follows.
            return
        if known.sent_at < at:
            self._refresh(known, at, True)

    def match_summary(
        self,
        roll: messages.Roll,
        named: frozenset[str],
        own: int,
        now: float,
    ) -> bool:
        """Compare a domain's summary with the heartbeats known here.

        If they match, all proxies in the summary are refreshed and the result
        is True. The summary leaves out the proxies in ``named``, and may hold
        this proxy's own heartbeat, whose revision is ``own``.
        """
        members = [
            peer
            for peer in self.alive(now)
            if peer.beat.domain == roll.domain and peer.beat.proxy not in named
        ]
        found = (len(members), revisions_of(members))
        with_own = (len(members) + 1, found[1] ^ own)
        if (roll.count, roll.revisions) not in (found, with_own):
            return False
        at = now - roll.age
        for peer in members:
            if peer.sent_at < at:
                self._refresh(peer, at, True)
        return True

    def record_config(
        self, proxy: str, version: int, age: float | None, at: float
    ) -> None:
        """Record the configuration version that a proxy has in force.

        It was known to be the newest ``age`` seconds before ``at``; None if
        that is not known.
        """
        known = self._peers.get(proxy)
        if known is None or known.beat.config_version > version:
            return
        if known.beat.config_version < version:
            known.beat = attrs.evolve(known.beat, config_version=version)
        _record_config(known, age, at)

    def forget(self, oldest: float) -> None:
        """Remove the peers whose last heartbeat was sent before ``oldest``."""
        for peer in list(self._peers.values()):
            if peer.sent_at < oldest:
                self._remove(peer)

    def _add(self, peer: Peer) -> None:
        former = self._id_by_address.get(peer.address)
        if former is not None:
            # A new run at the same address shows that the former has ended.
            self._remove(self._peers[former])
        self._peers[peer.beat.proxy] = peer
        self._capacities = None
        self._clear_answers()
        self._id_by_address[peer.address] = peer.beat.proxy
        self._index(peer)
        self._record_newest(peer)

    def _remove(self, peer: Peer) -> None:
        proxy = peer.beat.proxy
        del self._peers[proxy]
        self._capacities = None
        self._clear_answers()
        if self._id_by_address.get(peer.address) == proxy:
            del self._id_by_address[peer.address]
        for serving in self._serving.values():
            serving.pop(proxy, None)

    def _change(
        self, peer: Peer, beat: messages.Heartbeat, now: float
    ) -> None:
        if peer.beat.capacity != beat.capacity:
            self._capacities = None
        peer.beat = beat
        self._candidates.clear()
        revision = beat.revision()
        if revision == peer.revision:
            return
        peer.revision = revision
        peer.changed_at = now
        for serving in self._serving.values():
            serving.pop(beat.proxy, None)
        self._index(peer)

    def _index(self, peer: Peer) -> None:
        for opinion in peer.beat.opinions:
            serving = self._serving.setdefault(opinion.key, {})
            serving[peer.beat.proxy] = peer

    def _refresh(self, peer: Peer, at: float, relayed: bool) -> None:
        self._forget_answers_without(peer, relayed)
        peer.sent_at = at
        peer.relayed = relayed
        self._record_newest(peer)

    def _forget_answers_without(self, peer: Peer, relayed: bool) -> None:
        """Forget the last answers that a refreshed peer changes.

        They lack it if it was not alive then, and hold another expiry if its
        heartbeats now come another way.
        """
        if relayed != peer.relayed:
            self._clear_answers()
            return
        expiry = self._expiry(peer)
        self._alive.clear_since(expiry)
        self._candidates.clear_since(expiry)

    def _clear_answers(self) -> None:
        self._alive.clear()
        self._candidates.clear()

    def _record_newest(self, peer: Peer) -> None:
        domain = peer.beat.domain
        newest = self._newest_sent_at.get(domain, peer.sent_at)
        self._newest_sent_at[domain] = max(newest, peer.sent_at)

    # Queries --------------------------------------------------------------

    def get(self, proxy: str) -> Peer | None:
        """Return the peer with this proxy id, None if it is not known."""
        return self._peers.get(proxy)

    def known(self) -> list[Peer]:
        """Return all peers, alive or not, that were not removed."""
        return list(self._peers.values())

    def alive(self, now: float) -> list[Peer]:
        """Return the peers that are alive."""
        return list(self._alive.get(now))

    def _find_alive(self, now: float) -> _cached.Answer[list[Peer]]:
        direct, relayed = now - self._alive_s, now - self._relayed_s
        found = [
            peer
            for peer in self._peers.values()
            if peer.sent_at >= (relayed if peer.relayed else direct)
        ]
        until = min(map(self._expiry, found), default=float('inf'))
        return _cached.Answer(found, now, until)

    def _expiry(self, peer: Peer) -> float:
        """Return the time after which a peer is not alive."""
        return peer.sent_at + (
            self._relayed_s if peer.relayed else self._alive_s
        )

    def serving(self, key: messages.GroupKey, now: float) -> list[Peer]:
        """Return the alive peers that serve a group themselves."""
        direct, relayed = now - self._alive_s, now - self._relayed_s
        return [
            peer
            for peer in self._serving.get(key, {}).values()
            if peer.sent_at >= (relayed if peer.relayed else direct)
        ]

    def silent_domains(self, oldest: float) -> frozenset[str]:
        """Return the domains without contact since ``oldest``."""
        return self.contacts.silent(oldest)

    def newest_heartbeats(self) -> dict[str, float]:
        """Return when the newest heartbeat of each domain was sent."""
        return dict(self._newest_sent_at)

    def has_heartbeat_since(self, proxy: str, at: float) -> bool:
        """Return whether a proxy sent a heartbeat after the time ``at``.

        True also for an unknown proxy, since it may just have started.
        """
        peer = self._peers.get(proxy)
        return peer is None or peer.sent_at > at

    def last_contact(self) -> float | None:
        """Return when another domain was last in contact, None if never."""
        return self.contacts.last_of_any()

    def address_of(self, proxy: str) -> _links.Address | None:
        """Return the address of a known or listed proxy, None if neither."""
        peer = self._peers.get(proxy)
        if peer is not None:
            return peer.address
        for address, listed in self._listed.items():
            if listed.vm.id == proxy:
                return address
        return None

    def domain_of(self, proxy: str) -> str:
        """Return the failure domain of a known or listed proxy.

        Empty for any other proxy.
        """
        peer = self._peers.get(proxy)
        if peer is not None:
            return peer.beat.domain
        for listed in self._listed.values():
            if listed.vm.id == proxy:
                return listed.vm.domain
        return ''

    def addresses(self) -> set[_links.Address]:
        """Return the addresses of all known or listed proxies."""
        return self._listed.keys() | self._id_by_address.keys()

    def listed(self, domain: str) -> list[_links.Address]:
        """Return the addresses that the platform lists in a failure domain."""
        return [
            address
            for address, listed in self._listed.items()
            if listed.vm.domain == domain
        ]

    def candidates(self, now: float) -> dict[str, set[str]]:
        """Return the proxies that may take over work, by failure domain.

        Proxies that were listed recently count, since they may be starting,
        unless another run at their address has sent a heartbeat.
        """
        found = self._candidates.get(now)
        return {name: set(ids) for name, ids in found.items()}

    def _find_candidates(
        self, now: float
    ) -> _cached.Answer[dict[str, set[str]]]:
        found: dict[str, set[str]] = {}
        alive = self._find_alive(now)
        until = alive.until
        for peer in alive.value:
            if not peer.beat.draining:
                found.setdefault(peer.beat.domain, set()).add(peer.beat.proxy)
        for listed in self._starting(now):
            found.setdefault(listed.vm.domain, set()).add(listed.vm.id)
            until = min(until, listed.since + self._alive_s)
        return _cached.Answer(found, now, until)

    def capacities(self) -> Mapping[str, int]:
        """Return the capacities of this proxy and all known or listed ones.

        They are in thousandths of a core, 0 if unknown. A heartbeat without
        a capacity may have passed an older relay, which drops it; then the
        proxy's listed capacity counts.
        """
        if self._capacities is None:
            found = {
                listed.vm.id: listed.vm.capacity
                for listed in self._listed.values()
            }
            for proxy, peer in self._peers.items():
                found[proxy] = peer.beat.capacity or found.get(proxy, 0)
            found[self._own_id] = self._own_capacity
            self._capacities = found
        return self._capacities

    def starting(self, now: float) -> set[str]:
        """Return recently listed proxies without a heartbeat so far."""
        return {listed.vm.id for listed in self._starting(now)}

    def starting_domains(self, now: float) -> list[str]:
        """Return the failure domain of each starting proxy."""
        return [listed.vm.domain for listed in self._starting(now)]

    def _starting(self, now: float) -> Iterator[_ListedVm]:
        for address, listed in self._listed.items():
            recent = now - listed.since < self._alive_s
            if recent and address not in self._id_by_address:
                yield listed

    def domains(self) -> frozenset[str]:
        """Return the failure domains of all known or listed proxies."""
        listed = {listed.vm.domain for listed in self._listed.values()}
        return frozenset(self._newest_sent_at.keys() | listed)


def _record_config(peer: Peer, age: float | None, at: float) -> None:
    if age is not None:
        peer.config_seen_at = max(peer.config_seen_at, at - age)


def revisions_of(peers: Iterable[Peer]) -> int:
    """Return the exclusive or of heartbeat revisions, in any order."""
    combined = 0
    for peer in peers:
        combined ^= peer.revision
    return combined

"""Which other proxies there are, as far as this one knows."""

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports


@attrs.frozen
class Spot:
    """A proxy's own name and failure domain."""

    proxy: str
    domain: str


@attrs.define
class Peer:
    """The last heartbeat of another proxy and when it was sent.

    ``changed_at`` is when this proxy learned that its content differs from
    the one before; a relay passes it on for a while from then.
    A ``relayed`` heartbeat came through others, and may be older. At
    ``config_seen_at`` its configuration was known to be the newest.
    """

    beat: messages.Heartbeat
    heard_at: float
    changed_at: float
    revision: int
    relayed: bool = False
    config_seen_at: float = float('-inf')

    @property
    def address(self) -> _links.Address:
        """Give where the peer takes connections."""
        return _links.Address(self.beat.host, self.beat.port)


@attrs.frozen
class _Listed:
    """A proxy that the platform lists, and since when."""

    vm: ports.Vm
    since: float


class Roster:
    """Proxies by their heartbeats, and addresses that a list named.

    A peer is alive if its last heartbeat was sent within ``alive_s``, or
    ``relayed_s`` where it came through relays.
    """

    def __init__(
        self, own_id: str, alive_s: float, relayed_s: float | None = None
    ) -> None:
        self._own_id = own_id
        self._alive_s = alive_s
        self._relayed_s = alive_s if relayed_s is None else relayed_s
        self._peers: dict[str, Peer] = {}
        self._at: dict[_links.Address, str] = {}
        self._serving: dict[messages.GroupKey, dict[str, Peer]] = {}
        #: Of each domain: when the newest heartbeat was sent, and came.
        self._newest: dict[str, float] = {}
        self._news_at: dict[str, float] = {}
        self._listed: dict[_links.Address, _Listed] = {}

    # What comes in --------------------------------------------------------

    def list_vm(self, vm: ports.Vm, now: float) -> _links.Address:
        """Note where the platform lists a proxy, and in which domain."""
        address = _links.Address(vm.host, vm.port)
        known = self._listed.get(address)
        if known is None or known.vm != vm:
            self._listed[address] = _Listed(vm, now)
        return address

    def unlist(self, address: _links.Address) -> None:
        """Forget an address that was listed."""
        self._listed.pop(address, None)

    def heard(
        self,
        beat: messages.Heartbeat,
        at: float,
        now: float,
        relayed: bool = False,
    ) -> Peer | None:
        """Take in a heartbeat sent at ``at``; None if it is no news."""
        if beat.proxy == self._own_id:
            return None
        known = self._peers.get(beat.proxy)
        if known is None:
            peer = Peer(beat, at, now, beat.revision(), relayed)
            self._add(peer, now)
            _note_config(peer, beat.config_age, at)
            return peer
        if known.heard_at >= at:
            return None
        self._refresh(known, at, relayed, now)
        if known.beat != beat:
            self._change(known, beat, now)
        _note_config(known, beat.config_age, at)
        return known

    def refreshed(
        self, proxy: str, revision: int, at: float, now: float
    ) -> None:
        """Note a sign of life of a proxy whose heartbeat is known."""
        known = self._peers.get(proxy)
        if known is None or known.revision != revision:
            # The heartbeat itself will come; it may say something new.
            return
        if known.heard_at < at:
            self._refresh(known, at, True, now)

    def roll_called(
        self,
        roll: messages.Roll,
        named: frozenset[str],
        own: int,
        now: float,
    ) -> bool:
        """Note that all of a domain lived; tell if they are those known.

        ``named`` are not among them; ``own`` is the revision of this
        proxy's own heartbeat, which may be among them.
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
            if peer.heard_at < at:
                self._refresh(peer, at, True, now)
        return True

    def has_config(
        self, proxy: str, version: int, age: float | None, at: float
    ) -> None:
        """Note which configuration a proxy has in force.

        It was known to be the newest ``age`` seconds before ``at``.
        """
        known = self._peers.get(proxy)
        if known is None or known.beat.config_version > version:
            return
        if known.beat.config_version < version:
            known.beat = attrs.evolve(known.beat, config_version=version)
        _note_config(known, age, at)

    def forget(self, oldest: float) -> None:
        """Forget the proxies that were not heard since ``oldest``."""
        for peer in list(self._peers.values()):
            if peer.heard_at < oldest:
                self._remove(peer)

    def _add(self, peer: Peer, now: float) -> None:
        former = self._at.get(peer.address)
        if former is not None:
            # Another run at the same address: that one has ended.
            self._remove(self._peers[former])
        self._peers[peer.beat.proxy] = peer
        self._at[peer.address] = peer.beat.proxy
        self._index(peer)
        self._note_newest(peer, now)

    def _remove(self, peer: Peer) -> None:
        proxy = peer.beat.proxy
        del self._peers[proxy]
        if self._at.get(peer.address) == proxy:
            del self._at[peer.address]
        for serving in self._serving.values():
            serving.pop(proxy, None)

    def _change(
        self, peer: Peer, beat: messages.Heartbeat, now: float
    ) -> None:
        peer.beat = beat
        revision = beat.revision()
        if revision == peer.revision:
            return
        peer.revision = revision
        peer.changed_at = now
        for serving in self._serving.values():
            serving.pop(beat.proxy, None)
        self._index(peer)

    def _index(self, peer: Peer) -> None:
        for said in peer.beat.opinions:
            serving = self._serving.setdefault(said.key, {})
            serving[peer.beat.proxy] = peer

    def _refresh(
        self, peer: Peer, at: float, relayed: bool, now: float
    ) -> None:
        peer.heard_at = at
        peer.relayed = relayed
        self._note_newest(peer, now)

    def _note_newest(self, peer: Peer, now: float) -> None:
        domain = peer.beat.domain
        if peer.heard_at > self._newest.get(domain, float('-inf')):
            self._newest[domain] = peer.heard_at
            self._news_at[domain] = now

    # What is known --------------------------------------------------------

    def get(self, proxy: str) -> Peer | None:
        """Give what is known of a proxy."""
        return self._peers.get(proxy)

    def known(self) -> list[Peer]:
        """Give every peer that was heard and not forgotten since."""
        return list(self._peers.values())

    def alive(self, now: float) -> list[Peer]:
        """Give the peers heard lately."""
        direct, relayed = now - self._alive_s, now - self._relayed_s
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_at >= (relayed if peer.relayed else direct)
        ]

    def serving(self, key: messages.GroupKey, now: float) -> list[Peer]:
        """Give the peers heard lately that serve a group themselves."""
        direct, relayed = now - self._alive_s, now - self._relayed_s
        return [
            peer
            for peer in self._serving.get(key, {}).values()
            if peer.heard_at >= (relayed if peer.relayed else direct)
        ]

    def silent_domains(self, oldest: float) -> frozenset[str]:
        """Give the domains of which there was no news since ``oldest``.

        Heartbeats that come through relays are old when they come, and as
        they keep coming nobody is cut off.
        """
        return frozenset(
            name for name, at in self._news_at.items() if at < oldest
        )

    def heard_since(self, proxy: str, at: float) -> bool:
        """Tell whether a heartbeat of a proxy was sent after a moment.

        It holds for one that was never heard: it may just have started.
        """
        peer = self._peers.get(proxy)
        return peer is None or peer.heard_at > at

    def news_outside(self, domain: str) -> float | None:
        """Give when there was last news of another failure domain."""
        newest = [at for name, at in self._news_at.items() if name != domain]
        return max(newest, default=None)

    def address_of(self, proxy: str) -> _links.Address | None:
        """Give where a proxy that was heard or is listed can be reached."""
        peer = self._peers.get(proxy)
        if peer is not None:
            return peer.address
        for address, listed in self._listed.items():
            if listed.vm.id == proxy:
                return address
        return None

    def domain_of(self, proxy: str) -> str:
        """Give the domain of a proxy that was heard or is listed."""
        peer = self._peers.get(proxy)
        if peer is not None:
            return peer.beat.domain
        for listed in self._listed.values():
            if listed.vm.id == proxy:
                return listed.vm.domain
        return ''

    def addresses(self) -> set[_links.Address]:
        """Give the addresses that were heard of or are listed."""
        return self._listed.keys() | self._at.keys()

    def listed(self, domain: str) -> list[_links.Address]:
        """Give the addresses that are listed in a failure domain."""
        return [
            address
            for address, listed in self._listed.items()
            if listed.vm.domain == domain
        ]

    def candidates(self, now: float) -> dict[str, set[str]]:
        """Give the proxies that may take over work, by domain.

        Those that were listed just now count, unless another run at their
        address was heard: they may be starting.
        """
        found: dict[str, set[str]] = {}
        for peer in self.alive(now):
            if not peer.beat.draining:
                found.setdefault(peer.beat.domain, set()).add(peer.beat.proxy)
        for vm in self._starting(now):
            found.setdefault(vm.domain, set()).add(vm.id)
        return found

    def starting(self, now: float) -> set[str]:
        """Give the proxies that were listed just now and not yet heard."""
        return {vm.id for vm in self._starting(now)}

    def starting_domains(self, now: float) -> list[str]:
        """Give the domain of each of those, one by one."""
        return [vm.domain for vm in self._starting(now)]

    def _starting(self, now: float) -> Iterator[ports.Vm]:
        for address, listed in self._listed.items():
            recent = now - listed.since < self._alive_s
            if recent and address not in self._at:
                yield listed.vm

    def domains(self) -> frozenset[str]:
        """Give the failure domains that are named anywhere."""
        listed = {listed.vm.domain for listed in self._listed.values()}
        return frozenset(self._newest.keys() | listed)


def _note_config(peer: Peer, age: float | None, at: float) -> None:
    if age is not None:
        peer.config_seen_at = max(peer.config_seen_at, at - age)


def revisions_of(peers: Iterable[Peer]) -> int:
    """Join the revisions of heartbeats, so that their order is no matter."""
    joined = 0
    for peer in peers:
        joined ^= peer.revision
    return joined

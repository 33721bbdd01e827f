"""Which other proxies there are, as far as this one knows."""

import attrs

from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports


@attrs.frozen
class Spot:
    """A proxy's own name and failure domain."""

    proxy: str
    domain: str


@attrs.frozen
class Peer:
    """The last heartbeat of another proxy and when it was sent.

    ``changed_at`` is when its content last differed from the one before.
    """

    beat: messages.Heartbeat
    heard_at: float
    changed_at: float
    revision: int

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
    """Proxies by their heartbeats, and addresses that a list named."""

    def __init__(self, own_id: str, alive_s: float) -> None:
        self._own_id = own_id
        self._alive_s = alive_s
        self._peers: dict[str, Peer] = {}
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

    def heard(self, beat: messages.Heartbeat, at: float) -> Peer | None:
        """Take in a heartbeat sent at ``at``; None if it is no news."""
        if beat.proxy == self._own_id:
            return None
        known = self._peers.get(beat.proxy)
        if known is not None and known.heard_at >= at:
            return None
        if known is not None and known.beat == beat:
            peer = attrs.evolve(known, heard_at=at)
        else:
            peer = Peer(beat, at, at, beat.revision())
        self._peers[beat.proxy] = peer
        return peer

    def refreshed(self, proxy: str, revision: int, at: float) -> None:
        """Note a sign of life of a proxy whose heartbeat is known."""
        known = self._peers.get(proxy)
        if known is None or known.revision != revision:
            # The heartbeat itself will come; it may say something new.
            return
        if known.heard_at < at:
            self._peers[proxy] = attrs.evolve(known, heard_at=at)

    def forget(self, oldest: float) -> None:
        """Forget the proxies that were not heard since ``oldest``."""
        for proxy, peer in list(self._peers.items()):
            if peer.heard_at < oldest:
                del self._peers[proxy]

    # What is known --------------------------------------------------------

    def get(self, proxy: str) -> Peer | None:
        """Give what is known of a proxy."""
        return self._peers.get(proxy)

    def known(self) -> list[Peer]:
        """Give every peer that was heard and not forgotten since."""
        return list(self._peers.values())

    def alive(self, now: float) -> list[Peer]:
        """Give the peers heard lately."""
        oldest = now - self._alive_s
        return [p for p in self._peers.values() if p.heard_at >= oldest]

    def listed(self, domain: str) -> list[_links.Address]:
        """Give the addresses that are listed in a failure domain."""
        return [
            address
            for address, listed in self._listed.items()
            if listed.vm.domain == domain
        ]

    def candidates(self, now: float) -> dict[str, set[str]]:
        """Give the proxies that may take over work, by domain."""
        found: dict[str, set[str]] = {}
        for peer in self.alive(now):
            if not peer.beat.draining:
                found.setdefault(peer.beat.domain, set()).add(peer.beat.proxy)
        for listed in self._listed.values():
            vm = listed.vm
            starting = now - listed.since < self._alive_s
            if starting and vm.id not in self._peers and vm.id != self._own_id:
                found.setdefault(vm.domain, set()).add(vm.id)
        return found

    def domains(self) -> frozenset[str]:
        """Give the failure domains that are named anywhere."""
        heard = {peer.beat.domain for peer in self._peers.values()}
        listed = {listed.vm.domain for listed in self._listed.values()}
        return frozenset(heard | listed)

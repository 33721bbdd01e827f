"""The task that tracks the other proxies and exchanges messages with them.

A proxy is "listed" if the platform's list of VMs holds it, and "known" if a
heartbeat of it has arrived.
"""

from collections.abc import Callable
from collections.abc import Mapping

import anyio
import anyio.abc

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _gossip
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade.peers import _server
from tidegrade import ports

#: Time-out of a control request to a peer, in seconds.
ASK_TIMEOUT_S = 0.3
#: Silence after which the transfer of a large answer fails, in seconds. If
#: twenty proxies ask a peer at once, the first byte of an answer may be queued
#: behind the answers to all others.
FETCH_SILENCE_S = 1.0
#: Time after which a peer without heartbeats, or an address that is neither
#: listed nor known, is removed, in seconds.
REMOVE_AFTER_S = 60.0
#: Additional age, in heartbeat intervals, up to which a relayed heartbeat
#: counts as alive: each of the two relays on its path adds up to one interval.
RELAYED_INTERVALS = 2
#: Time without contact after which a failure domain counts as cut off, in
#: seconds: two intervals, since one digest may be lost, and a margin for a
#: late one. Single proxies count as alive for longer.
DOMAIN_SILENCE_S = 1.2


class PeersTask:
    """Owns the links to the peers, the heartbeats and the roster.

    ``handler`` is called for received messages that this task does not
    process itself. ``make_heartbeat`` returns the current heartbeat of this
    proxy; no heartbeat is sent while it is None.
    """

    def __init__(self, deps: _deps.Deps, handler: _server.Handler) -> None:
        self._deps = deps
        cfg = deps.peers
        own = self._own = _links.Address(cfg.host, cfg.port)
        key = bytes.fromhex(cfg.key)
        self._handler = handler
        self._links = _links.Links(key, own)
        self._server = _server.PeerServer(own, key, self._receive)
        relayed_s = cfg.alive_s + RELAYED_INTERVALS * cfg.heartbeat_s
        self._roster = _roster.Roster(
            deps.proxy_id, cfg.alive_s, relayed_s, deps.capacity
        )
        self._gossip = _gossip.Gossip(
            _roster.ProxyIdentity(deps.proxy_id, deps.domain),
            self._roster,
            self._links,
            deps.clock,
            deps.rng,
        )
        #: Whether the platform's list of VMs was received.
        self.has_vm_list = False
        self._seen_at: dict[_links.Address, float] = {}
        self.make_heartbeat: Callable[[], messages.Heartbeat] | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Accept connections and send heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._server.serve)
            await tasks.start(self._links.run)
            tasks.start_soon(self._gossip.run)
            task_status.started()
            await self._send_heartbeats()

    # Known proxies --------------------------------------------------------

    def learn_vms(self, vms: list[ports.Vm]) -> None:
        """Record the platform's list of VMs.

        It may lack proxies that have started and hold some that have ended.
        """
        now = self._deps.clock.now()
        for vm in vms:
            own = _links.Address(vm.host, vm.port) == self._own
            if vm.role == 'proxy' and not own:
                self._seen_at[self._roster.list_vm(vm, now)] = now
        self.has_vm_list = True
        # A proxy that has just started becomes known half an interval sooner
        # than with its next regular heartbeat.
        self.send_heartbeat_now()

    def receive_heartbeat(self, beat: messages.Heartbeat) -> None:
        """Process a heartbeat received directly from its proxy."""
        self._gossip.receive_heartbeat(beat)

    def receive_digest(self, digest: messages.Digest) -> None:
        """Process a digest of heartbeats that another proxy sent."""
        self._gossip.receive_digest(digest)

    def known(self) -> list[_roster.Peer]:
        """Return all known peers, alive or not."""
        return self._roster.known()

    def last_contact(self) -> float | None:
        """Return when another domain was last in contact, None if never."""
        return self._roster.last_contact()

    def relays_heard_at(self) -> float | None:
        """Return the time by which each relay of this domain was heard.

        None if this proxy does not depend on relays.
        """
        return self._gossip.relays_heard_at()

    def alive(self) -> list[_roster.Peer]:
        """Return the peers that are alive."""
        return self._roster.alive(self._deps.clock.now())

    def alive_ids(self) -> tuple[str, ...]:
        """Return the proxy ids of the peers that are alive."""
        return tuple(peer.beat.proxy for peer in self.alive())

    def peer_count(self) -> int:
        """Return the number of other proxies that are listed or known."""
        return len(self._roster.addresses())

    def silent_addresses(self) -> list[str]:
        """Return the listed or known addresses without an alive peer."""
        alive_addresses = {peer.address for peer in self.alive()}
        return [
            f'{address.host}:{address.port}'
            for address in self._roster.addresses() - alive_addresses
        ]

    def serving(self, key: messages.GroupKey) -> list[_roster.Peer]:
        """Return the alive peers that serve a group themselves."""
        return self._roster.serving(key, self._deps.clock.now())

    def serving_ids(self, key: messages.GroupKey) -> tuple[str, ...]:
        """Return the proxy ids of the alive peers that serve a group."""
        return tuple(peer.beat.proxy for peer in self.serving(key))

    def polling_proxy(self, key: messages.GroupKey) -> str:
        """Return the proxy that polls a group's endpoints for the others.

        This proxy must itself serve the group.
        """
        proxies = [self._deps.proxy_id, *self.serving_ids(key)]
        return core.highest_ranked(str(key), proxies)

    def candidates(self) -> dict[str, set[str]]:
        """Return the other proxies that may take over work, by domain.

        Proxies that were listed recently count, since they may be starting.
        """
        return self._roster.candidates(self._deps.clock.now())

    def capacities(self) -> Mapping[str, int]:
        """Return the capacities of all proxies' VMs, this one's included.

        They are in thousandths of a core, 0 if unknown.
        """
        return self._roster.capacities()

    def starting(self) -> set[str]:
        """Return recently listed proxies without a heartbeat so far."""
        return self._roster.starting(self._deps.clock.now())

    def silent_domains(self) -> frozenset[str]:
        """Return the other failure domains that count as cut off."""
        oldest = self._deps.clock.now() - DOMAIN_SILENCE_S
        return self._roster.silent_domains(oldest) - {self._deps.domain}

    def has_heartbeat_since(self, proxy: str, at: float) -> bool:
        """Return whether a proxy sent a heartbeat after the time ``at``.

        True also for an unknown proxy, since it may just have started.
        """
        return self._roster.has_heartbeat_since(proxy, at)

    def domain_of(self, proxy: str) -> str:
        """Return a proxy's failure domain, empty if it is not known."""
        return self._roster.domain_of(proxy)

    def starting_domains(self) -> list[str]:
        """Return the failure domain of each starting proxy."""
        return self._roster.starting_domains(self._deps.clock.now())

    def opinions(self, key: messages.GroupKey) -> tuple[core.Opinion, ...]:
        """Return the alive peers' opinions of a group's primary."""
        return tuple(
            core.Opinion(peer.beat.proxy, opinion.term, opinion.primary_down)
            for peer in self.serving(key)
            for opinion in peer.beat.opinions
            if opinion.key == key
        )

    # Messages -------------------------------------------------------------

    def announce(self, body: messages.Announcement) -> None:
        """Send a message to all proxies that can be reached."""
        self._gossip.announce(body)

    def send_to(self, proxy: str, body: messages.PeerBody) -> None:
        """Send one proxy a message that has no answer.

        It is dropped if the proxy's address is not known.
        """
        address = self._roster.address_of(proxy)
        if address is not None:
            self._links.post(address, body)

    async def ask(
        self, proxy: str, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Send a request to one proxy; None if no answer came in time."""
        asked = await self.ask_within(proxy, body, ASK_TIMEOUT_S)
        return asked.answer

    async def ask_within(
        self, proxy: str, body: messages.PeerBody, limit: float
    ) -> _links.AskResult:
        """Send a request with a time-out of ``limit`` seconds.

        The result states whether the request was sent.
        """
        address = self._roster.address_of(proxy)
        if address is None:
            return _links.AskResult(sent=False)
        return await self._links.ask(address, body, limit)

    async def fetch(
        self, proxy: str, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Request a large answer, and wait as long as its bytes arrive."""
        address = self._roster.address_of(proxy)
        if address is None:
            return None
        asked = await self._links.fetch(address, body, FETCH_SILENCE_S)
        return asked.answer

    async def ask_any(
        self, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Send a request to the other proxies in turn until one answers.

        Proxies with the newest configuration come first: two proxies that
        both lack it would otherwise ask each other for ever. The answer may
        be large.
        """
        peers = sorted(
            self.alive(), key=lambda p: p.beat.config_version, reverse=True
        )
        addresses = [peer.address for peer in peers]
        for address in addresses or self._roster.addresses():
            asked = await self._links.fetch(address, body, ASK_TIMEOUT_S)
            if asked.answer is not None:
                return asked.answer
        return None

    def _receive(self, body: messages.PeerBody) -> _server.Reply:
        """Process a received message, or leave it to the handler."""
        if isinstance(body, messages.AskDomain):
            return self._gossip.answer_pull(body)
        if isinstance(body, messages.Announcement) and body.pass_on:
            self._gossip.pass_on(body)
        return self._handler(body)

    # Heartbeats -----------------------------------------------------------

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat at once, such as after a change of opinion."""
        if self.make_heartbeat is not None:
            self._send_heartbeat(self.make_heartbeat())

    def is_relay(self) -> bool:
        """Return whether this proxy acts as a relay."""
        return self._gossip.is_relay()

    def _send_heartbeat(self, beat: messages.Heartbeat) -> None:
        self._gossip.send(beat)
        self._gossip.send_digest(beat)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.make_heartbeat is not None:
                self._send_heartbeat(self.make_heartbeat())
            self._remove_silent()
            await anyio.sleep(self._deps.peers.heartbeat_s)

    def _remove_silent(self) -> None:
        """Remove peers and addresses neither listed nor sending heartbeats."""
        now = self._deps.clock.now()
        oldest = now - REMOVE_AFTER_S
        self._roster.forget(oldest)
        for peer in self._roster.known():
            self._seen_at[peer.address] = now
        for address, seen_at in list(self._seen_at.items()):
            if seen_at < oldest:
                del self._seen_at[address]
                self._roster.unlist(address)

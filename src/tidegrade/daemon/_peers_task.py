"""The task that knows the other proxies and talks with them."""

from collections.abc import Callable

import anyio
import anyio.abc

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _roster
from tidegrade.daemon import _spread
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade import ports

#: Time that a peer gets to answer a control question, in seconds.
ASK_LIMIT = 0.3
#: A link to an address that nobody named for this long is closed.
FORGET_AFTER = 60.0


class PeersTask:
    """Owns the links, the heartbeats and what they tell."""

    def __init__(self, deps: _deps.Deps, handler: _links.Handler) -> None:
        self._deps = deps
        cfg = deps.peers
        own = _links.Address(cfg.host, cfg.port)
        key = bytes.fromhex(cfg.key)
        self._links = _links.Links(key, own)
        self._server = _links.PeerServer(own, key, handler)
        self._roster = _roster.Roster(deps.proxy_id, cfg.alive_s)
        self._spread = _spread.Spread(
            _roster.Spot(deps.proxy_id, deps.domain),
            self._roster,
            self._links,
            deps.clock,
            deps.rng,
        )
        self._named: dict[_links.Address, float] = {}
        self.beat_of: Callable[[], messages.Heartbeat] | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._server.serve)
            await tasks.start(self._links.run)
            tasks.start_soon(self._spread.run)
            task_status.started()
            await self._beat()

    # Who there is ---------------------------------------------------------

    def learn_vms(self, vms: list[ports.Vm]) -> None:
        """Take in the platform's list; it may lag in both directions."""
        now = self._deps.clock.now()
        for vm in vms:
            if vm.role == 'proxy':
                address = self._roster.list_vm(vm, now)
                self._named[address] = now
                self._links.ensure(address)

    def heard(self, beat: messages.Heartbeat) -> None:
        """Take in a heartbeat that its proxy sent here."""
        self._spread.heard(beat)

    def heard_digest(self, digest: messages.Digest) -> None:
        """Take in what another proxy has heard of others."""
        self._spread.heard_digest(digest)

    def known(self) -> list[_roster.Peer]:
        """Give every peer that was heard and not forgotten since."""
        return self._roster.known()

    def heard_outside(self) -> float | None:
        """Give when a proxy of another failure domain was last heard."""
        own = self._deps.domain
        heard = [
            peer.heard_at
            for peer in self._roster.known()
            if peer.beat.domain != own
        ]
        return max(heard, default=None)

    def alive(self) -> list[_roster.Peer]:
        """Give the peers heard lately."""
        return self._roster.alive(self._deps.clock.now())

    def alive_ids(self) -> tuple[str, ...]:
        """Give the names of the peers heard lately."""
        return tuple(peer.beat.proxy for peer in self.alive())

    def named_count(self) -> int:
        """Give how many other proxies were listed or heard lately."""
        return len(self._links.addresses())

    def unheard(self) -> list[str]:
        """Give the addresses that were named but not heard lately."""
        heard = {peer.address for peer in self.alive()}
        return [
            f'{address.host}:{address.port}'
            for address in self._links.addresses()
            if address not in heard
        ]

    def serving(self, key: messages.GroupKey) -> list[_roster.Peer]:
        """Give the peers heard lately that serve a group themselves."""
        return [
            peer
            for peer in self.alive()
            if any(said.key == key for said in peer.beat.opinions)
        ]

    def serving_ids(self, key: messages.GroupKey) -> tuple[str, ...]:
        """Give the names of the peers that serve a group."""
        return tuple(peer.beat.proxy for peer in self.serving(key))

    def first_for(self, key: messages.GroupKey) -> str:
        """Give the proxy that asks a group's endpoints for the others.

        This proxy must be one of those that serve the group.
        """
        proxies = [self._deps.proxy_id, *self.serving_ids(key)]
        return core.first_in_turn(str(key), proxies)

    def is_connected(self, proxy: str) -> bool:
        """Tell whether a proxy can be asked at this moment."""
        peer = self._roster.get(proxy)
        link = self._links.link(peer.address) if peer else None
        return link is not None and link.connected

    def candidates(self) -> dict[str, set[str]]:
        """Give the other proxies that may take over work, by domain.

        Those that were listed just now count: they may be starting.
        """
        return self._roster.candidates(self._deps.clock.now())

    def opinions(self, key: messages.GroupKey) -> tuple[core.Opinion, ...]:
        """Give what the peers heard lately think of a group's primary."""
        return tuple(
            core.Opinion(peer.beat.proxy, said.term, said.primary_down)
            for peer in self.alive()
            for said in peer.beat.opinions
            if said.key == key
        )

    # Messages -------------------------------------------------------------

    def broadcast(self, body: messages.PeerBody) -> None:
        """Send a message to every proxy that can be reached."""
        self._links.broadcast(body)

    def tell(self, proxy: str, body: messages.PeerBody) -> None:
        """Send one proxy a message that wants no answer."""
        peer = self._roster.get(proxy)
        link = self._links.link(peer.address) if peer else None
        if link is not None:
            link.post(body)

    async def ask(
        self, proxy: str, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Ask one proxy and give its answer, if it came in time."""
        asked = await self.ask_within(proxy, body, ASK_LIMIT)
        return asked.answer

    async def ask_within(
        self, proxy: str, body: messages.PeerBody, limit: float
    ) -> _links.Asked:
        """Ask one proxy; the result says if the question was sent."""
        peer = self._roster.get(proxy)
        link = self._links.link(peer.address) if peer else None
        if link is None:
            return _links.Asked(sent=False)
        return await link.ask(body, limit)

    async def ask_any(
        self, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Ask the links in turn until one answers."""
        for link in self._links:
            asked = await link.ask(body, ASK_LIMIT)
            if asked.answer is not None:
                return asked.answer
        return None

    # Heartbeats -----------------------------------------------------------

    def beat_now(self) -> None:
        """Tell the others at once, as when an opinion has changed."""
        if self.beat_of is not None:
            self._spread.send(self.beat_of())

    async def _beat(self) -> None:
        while True:
            if self.beat_of is not None:
                beat = self.beat_of()
                self._spread.send(beat)
                self._spread.send_digest(beat)
            self._forget()
            await anyio.sleep(self._deps.peers.heartbeat_s)

    def _forget(self) -> None:
        """Give up those that nobody names any more."""
        now = self._deps.clock.now()
        oldest = now - FORGET_AFTER
        self._roster.forget(oldest)
        for peer in self._roster.known():
            self._named[peer.address] = now
        for address, named in list(self._named.items()):
            if named < oldest:
                del self._named[address]
                self._roster.unlist(address)
                self._links.drop(address)

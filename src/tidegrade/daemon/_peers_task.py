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
from tidegrade.peers import _server
from tidegrade import ports

#: Time that a peer gets to answer a control question, in seconds.
ASK_LIMIT = 0.3
#: Silence after which a peer that gives something large is given up, in
#: seconds: with twenty that ask at once, the first byte may wait behind
#: the answers to all others.
FETCH_SILENCE = 1.0
#: An address that nobody named for this long is forgotten, in seconds.
FORGET_AFTER = 60.0
#: Intervals between heartbeats by which one that came through relays may
#: be older: each of the two relays on the way waits for up to one.
RELAYED_INTERVALS = 2
#: Time without news of a failure domain after which it is probably cut off,
#: in seconds: two intervals, since one digest may be lost, and a little for
#: one that comes late. Single proxies count as alive for longer.
DOMAIN_SILENCE = 1.2


class PeersTask:
    """Owns the links, the heartbeats and what they tell."""

    def __init__(self, deps: _deps.Deps, handler: _server.Handler) -> None:
        self._deps = deps
        cfg = deps.peers
        own = self._own = _links.Address(cfg.host, cfg.port)
        key = bytes.fromhex(cfg.key)
        self._handler = handler
        self._links = _links.Links(key, own)
        self._server = _server.PeerServer(own, key, self._receive)
        relayed_s = cfg.alive_s + RELAYED_INTERVALS * cfg.heartbeat_s
        self._roster = _roster.Roster(deps.proxy_id, cfg.alive_s, relayed_s)
        self._spread = _spread.Spread(
            _roster.Spot(deps.proxy_id, deps.domain),
            self._roster,
            self._links,
            deps.clock,
            deps.rng,
        )
        #: Whether this proxy has seen a list of the others.
        self.has_looked = False
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
            own = _links.Address(vm.host, vm.port) == self._own
            if vm.role == 'proxy' and not own:
                self._named[self._roster.list_vm(vm, now)] = now
        self.has_looked = True
        # Whoever has just started is heard of half an interval sooner.
        self.beat_now()

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
        """Give when there was last news of another failure domain."""
        return self._roster.news_outside(self._deps.domain)

    def alive(self) -> list[_roster.Peer]:
        """Give the peers heard lately."""
        return self._roster.alive(self._deps.clock.now())

    def alive_ids(self) -> tuple[str, ...]:
        """Give the names of the peers heard lately."""
        return tuple(peer.beat.proxy for peer in self.alive())

    def named_count(self) -> int:
        """Give how many other proxies were listed or heard lately."""
        return len(self._roster.addresses())

    def unheard(self) -> list[str]:
        """Give the addresses that were named but not heard lately."""
        heard = {peer.address for peer in self.alive()}
        return [
            f'{address.host}:{address.port}'
            for address in self._roster.addresses() - heard
        ]

    def serving(self, key: messages.GroupKey) -> list[_roster.Peer]:
        """Give the peers heard lately that serve a group themselves."""
        return self._roster.serving(key, self._deps.clock.now())

    def serving_ids(self, key: messages.GroupKey) -> tuple[str, ...]:
        """Give the names of the peers that serve a group."""
        return tuple(peer.beat.proxy for peer in self.serving(key))

    def first_for(self, key: messages.GroupKey) -> str:
        """Give the proxy that asks a group's endpoints for the others.

        This proxy must be one of those that serve the group.
        """
        proxies = [self._deps.proxy_id, *self.serving_ids(key)]
        return core.first_in_turn(str(key), proxies)

    def candidates(self) -> dict[str, set[str]]:
        """Give the other proxies that may take over work, by domain.

        Those that were listed just now count: they may be starting.
        """
        return self._roster.candidates(self._deps.clock.now())

    def starting(self) -> set[str]:
        """Give the proxies that were listed just now and not yet heard."""
        return self._roster.starting(self._deps.clock.now())

    def silent_domains(self) -> frozenset[str]:
        """Give the other failure domains that are probably cut off."""
        oldest = self._deps.clock.now() - DOMAIN_SILENCE
        return self._roster.silent_domains(oldest) - {self._deps.domain}

    def heard_since(self, proxy: str, at: float) -> bool:
        """Tell whether a proxy gave a sign of life after a moment."""
        return self._roster.heard_since(proxy, at)

    def domain_of(self, proxy: str) -> str:
        """Give a proxy's failure domain; empty if it isn't known."""
        return self._roster.domain_of(proxy)

    def starting_domains(self) -> list[str]:
        """Give the domain of each proxy that was just listed, not heard."""
        return self._roster.starting_domains(self._deps.clock.now())

    def opinions(self, key: messages.GroupKey) -> tuple[core.Opinion, ...]:
        """Give what the peers heard lately think of a group's primary."""
        return tuple(
            core.Opinion(peer.beat.proxy, said.term, said.primary_down)
            for peer in self.serving(key)
            for said in peer.beat.opinions
            if said.key == key
        )

    # Messages -------------------------------------------------------------

    def announce(self, body: messages.Announcement) -> None:
        """Have every proxy told that can be reached."""
        self._spread.announce(body)

    def tell(self, proxy: str, body: messages.PeerBody) -> None:
        """Send one proxy a message that wants no answer."""
        address = self._roster.address_of(proxy)
        if address is not None:
            self._links.post(address, body)

    async def ask(
        self, proxy: str, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Ask one proxy and give its answer, if it came in time."""
        asked = await self.ask_within(proxy, body, ASK_LIMIT)
        return asked.answer

    async def ask_within(
        self, proxy: str, body: messages.PeerBody, limit: float
    ) -> _links.AskResult:
        """Ask one proxy; the result says if the question was sent."""
        address = self._roster.address_of(proxy)
        if address is None:
            return _links.AskResult(sent=False)
        return await self._links.ask(address, body, limit)

    async def fetch(
        self, proxy: str, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Ask one proxy for something large, and wait while it comes."""
        address = self._roster.address_of(proxy)
        if address is None:
            return None
        asked = await self._links.fetch(address, body, FETCH_SILENCE)
        return asked.answer

    async def ask_any(
        self, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Ask the other proxies in turn until one answers.

        Those with the newest configuration go first: two that both lack it
        would else ask each other for ever. What is asked for may be large.
        """
        peers = sorted(
            self.alive(), key=lambda p: p.beat.config_version, reverse=True
        )
        addresses = [peer.address for peer in peers]
        for address in addresses or self._roster.addresses():
            asked = await self._links.fetch(address, body, ASK_LIMIT)
            if asked.answer is not None:
                return asked.answer
        return None

    async def _receive(
        self, body: messages.PeerBody
    ) -> messages.PeerBody | None:
        """Take in a message; what the program handles is left to it."""
        if isinstance(body, messages.AskDomain):
            return self._spread.domain_digest(body)
        if isinstance(body, messages.Announcement) and body.pass_on:
            self._spread.pass_on(body)
        return await self._handler(body)

    # Heartbeats -----------------------------------------------------------

    def beat_now(self) -> None:
        """Tell the others at once, as when an opinion has changed."""
        if self.beat_of is not None:
            self._tell_all(self.beat_of())

    def is_relay(self) -> bool:
        """Tell whether others count on this proxy to pass things on."""
        return self._spread.is_relay()

    def _tell_all(self, beat: messages.Heartbeat) -> None:
        self._spread.send(beat)
        self._spread.send_digest(beat)

    async def _beat(self) -> None:
        while True:
            if self.beat_of is not None:
                self._tell_all(self.beat_of())
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

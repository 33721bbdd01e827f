"""Heartbeats among many proxies, over a network of plain objects."""

import random

import attrs
import pytest

from tidegrade.daemon import _roster
from tidegrade.daemon import _spread
from tidegrade.peers import _links
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade import ports

DOMAINS = ('a', 'b', 'c')
INTERVAL = 0.5
ALIVE = 2.6
KEY = messages.GroupKey('s', 'g')


@attrs.define
class Clock:
    """A clock that tests move."""

    at: float = 100.0

    def now(self) -> float:
        return self.at


@attrs.define(eq=False)
class Proxy:
    """One proxy of the network: what it would say, and what it knows."""

    beat: messages.Heartbeat
    roster: _roster.Roster
    spread: _spread.Spread
    up: bool = True


@attrs.define
class Wire:
    """The links of one proxy; what it posts arrives at once."""

    net: 'Net'
    own: str

    def ensure(self, address: _links.Address) -> None:
        """Have a link: all have."""

    def broadcast(self, body: messages.PeerBody) -> None:
        for proxy in self.net.proxies.values():
            if proxy.beat.proxy != self.own:
                self.net.deliver(self.own, proxy, body)

    def link(self, address: _links.Address) -> 'End':
        return End(self, self.net.proxies[address.host])


@attrs.define
class End:
    """One link."""

    wire: Wire
    to: Proxy

    def post(self, body: messages.PeerBody) -> bool:
        return self.wire.net.deliver(self.wire.own, self.to, body)


@attrs.define
class Net:
    """All proxies, and a count of the messages that crossed domains."""

    clock: Clock = attrs.field(factory=Clock)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    cut: str = ''
    sent: int = 0
    crossed: int = 0

    def add(self, name: str, domain: str) -> None:
        roster = _roster.Roster(name, ALIVE)
        spread = _spread.Spread(
            _roster.Spot(name, domain),
            roster,
            Wire(self, name),
            self.clock,
            random.Random(name),
        )
        beat = messages.Heartbeat(name, domain, name, 1, 1, False)
        self.proxies[name] = Proxy(beat, roster, spread)

    def deliver(self, own: str, to: Proxy, body: messages.PeerBody) -> bool:
        here = self.proxies[own].beat.domain
        there = to.beat.domain
        if not to.up or (here != there and self.cut in (here, there)):
            return False
        self.sent += 1
        self.crossed += here != there
        body = codec.decode(codec.encode(messages.PeerMessage(body))).body
        if isinstance(body, messages.Digest):
            to.spread.heard_digest(body)
        else:
            to.spread.heard(body)
        return True

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / INTERVAL)):
            self.clock.at += INTERVAL
            for proxy in self.proxies.values():
                if proxy.up:
                    proxy.spread.send(proxy.beat)
                    proxy.spread.send_digest(proxy.beat)

    def alive_at(self, name: str) -> set[str]:
        peers = self.proxies[name].roster.alive(self.clock.now())
        return {peer.beat.proxy for peer in peers}

    def all_up_know_each_other(self) -> bool:
        up = {p.beat.proxy for p in self.proxies.values() if p.up}
        return all(self.alive_at(name) == up - {name} for name in up)


@pytest.fixture
def net() -> Net:
    """Give sixty proxies that were listed to each other."""
    made = Net()
    for number in range(60):
        made.add(f'p{number}', DOMAINS[number % 3])
    vms = [
        ports.Vm(name, 'proxy', p.beat.domain, name, 1)
        for name, p in made.proxies.items()
    ]
    for proxy in made.proxies.values():
        for vm in vms:
            proxy.roster.list_vm(vm, made.clock.now())
    made.run(3)
    return made


def test_all_hear_of_all_with_few_messages(net):
    assert net.all_up_know_each_other()
    net.sent = net.crossed = 0
    net.run(10)
    assert net.all_up_know_each_other()
    rounds = 10 / INTERVAL
    # A mesh would take 60 * 59 a round, two thirds of them across.
    assert net.sent / rounds < 60 * 6
    assert net.crossed / rounds <= 6 * 4


def test_relays_that_end_are_replaced(net):
    for domain in DOMAINS:
        relays = net.proxies['p0'].spread.relays(domain)
        for name in relays:
            net.proxies[name].up = False
    net.run(8)
    assert net.all_up_know_each_other()


def test_a_domain_that_was_cut_off_is_heard_again(net):
    net.cut = 'a'
    net.run(8)
    inside = {n for n, p in net.proxies.items() if p.beat.domain == 'a'}
    assert net.alive_at('p0') == inside - {'p0'}
    assert net.alive_at('p1') == set(net.proxies) - inside - {'p1'}
    net.cut = ''
    net.run(5)
    assert net.all_up_know_each_other()


def test_a_proxy_that_starts_is_heard_of(net):
    net.add('new', 'a')
    new = net.proxies['new']
    for name, proxy in net.proxies.items():
        vm = ports.Vm(name, 'proxy', proxy.beat.domain, name, 1)
        new.roster.list_vm(vm, net.clock.now())
    net.run(2)
    assert net.all_up_know_each_other()


def test_a_changed_heartbeat_reaches_all(net):
    opinion = messages.GroupOpinion(KEY, 3, True)
    changed = net.proxies['p7']
    changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
    net.run(2)
    for name, proxy in net.proxies.items():
        if name != 'p7':
            known = proxy.roster.get('p7')
            assert known.beat.opinions == (opinion,)


def test_what_is_urgent_does_not_wait_for_the_next_digest(net):
    opinion = messages.GroupOpinion(KEY, 3, True)
    changed = net.proxies['p7']
    changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
    net.clock.at += 0.01
    changed.spread.send(changed.beat)
    for _ in range(3):
        for proxy in net.proxies.values():
            proxy.spread.flush()
    for name, proxy in net.proxies.items():
        if name != 'p7':
            assert proxy.roster.get('p7').beat.opinions == (opinion,)


def test_few_proxies_send_to_each_other_directly():
    made = Net()
    for number in range(5):
        made.add(f'p{number}', DOMAINS[number % 3])
    made.run(1)
    assert made.sent == 2 * 5 * 4
    assert made.all_up_know_each_other()

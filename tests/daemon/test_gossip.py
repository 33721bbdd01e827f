"""Gossip of heartbeats among many proxies, over a simulated network."""

from collections.abc import Callable
import random

import attrs
import pytest

from tidegrade.daemon import _gossip
from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade.peers import _links
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade import ports

DOMAINS = ('a', 'b', 'c')
INTERVAL_S = 0.5
ALIVE_S = 2.6
#: The fractional parts of its multiples fill an interval evenly.
GOLDEN_RATIO = 0.618034
KEY = messages.GroupKey('s', 'g')


@attrs.define
class Clock:
    """A clock that tests advance."""

    at: float = 100.0

    def now(self) -> float:
        return self.at


@attrs.define(eq=False)
class Proxy:
    """One proxy of the network: its heartbeat and its view of the others."""

    beat: messages.Heartbeat
    roster: _roster.Roster
    gossip: _gossip.Gossip
    up: bool = True
    announced: list[messages.PeerBody] = attrs.field(factory=list)


@attrs.define
class Wire:
    """The links of one proxy; a message arrives as soon as it is posted."""

    net: 'Net'
    own: str

    def post(self, address: _links.Address, body: messages.PeerBody) -> bool:
        to = self.net.proxies[address.host]
        return self.net.deliver(self.own, to, body)


@attrs.define
class Net:
    """A network of proxies that counts messages.

    ``cut`` names a failure domain that is cut off. ``cross_domain`` counts the
    messages between domains.
    """

    clock: Clock = attrs.field(factory=Clock)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    cut: str = ''
    sent: int = 0
    pulls: int = 0
    cross_domain: int = 0

    def add(self, name: str, domain: str) -> None:
        roster = _roster.Roster(name, ALIVE_S, ALIVE_S + 2 * INTERVAL_S)
        gossip = _gossip.Gossip(
            _roster.ProxyIdentity(name, domain),
            roster,
            Wire(self, name),
            self.clock,
            random.Random(name),
        )
        beat = messages.Heartbeat(name, domain, name, 1, 1, False)
        self.proxies[name] = Proxy(beat, roster, gossip)

    def deliver(self, own: str, to: Proxy, body: messages.PeerBody) -> bool:
        here = self.proxies[own].beat.domain
        there = to.beat.domain
        if not to.up or (here != there and self.cut in (here, there)):
            return False
        self.sent += 1
        self.cross_domain += here != there
        body = codec.decode(codec.encode(messages.PeerMessage(body))).body
        if isinstance(body, messages.Digest):
            to.gossip.receive_digest(body)
        elif isinstance(body, messages.RowNews):
            to.announced.append(body)
            if body.pass_on:
                to.gossip.pass_on(body)
        else:
            to.gossip.receive_heartbeat(body)
        return True

    def deliver_pull(self, name: str, pull) -> None:
        """Deliver a proxy's pull of a domain's heartbeats, and its answer."""
        asking = self.proxies[name]
        address = asking.gossip.address_of(pull)
        if address is None:
            return
        asked = self.proxies[address.host]
        here, there = asking.beat.domain, asked.beat.domain
        if not (asking.up and asked.up):
            return
        if here != there and self.cut in (here, there):
            return
        self.sent += 2
        self.cross_domain += 2 * (here != there)
        answer = asked.gossip.answer_pull(
            asking.gossip.pull_message(pull.domain)
        )
        asking.gossip.receive_pulled(answer, self.clock.now())

    def list_all(self, name: str, run: str = '') -> None:
        """Give a proxy the platform's list of the other proxies.

        ``run`` is a suffix of the listed names; with it the list names former
        runs instead of the current ones.
        """
        for other, proxy in self.proxies.items():
            if other == name:
                continue
            vm = ports.Vm(other + run, 'proxy', proxy.beat.domain, other, 1)
            self.proxies[name].roster.list_vm(vm, self.clock.now())

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / INTERVAL_S)):
            self.clock.at += INTERVAL_S
            for proxy in self.proxies.values():
                self.beat(proxy)
            self.deliver_pulls()

    def run_out_of_step(
        self, seconds: float, observe: Callable[[], None] = lambda: None
    ) -> None:
        """Run with the heartbeats of proxies spread over the interval.

        ``observe`` is called before each heartbeat.
        """
        start = self.clock.at
        for turn in range(int(seconds / INTERVAL_S)):
            for phase, name in self.by_phase():
                self.clock.at = start + (turn + phase) * INTERVAL_S
                observe()
                self.beat(self.proxies[name])
                self.deliver_pulls()
        self.clock.at = start + seconds

    def by_phase(self) -> list[tuple[float, str]]:
        """Return the phase at which each proxy sends, in order, by name."""
        names = enumerate(self.proxies)
        return sorted(
            (number * GOLDEN_RATIO % 1, name) for number, name in names
        )

    def beat(self, proxy: Proxy) -> None:
        """Have a proxy send its heartbeat and, as a relay, its digests."""
        if proxy.up:
            proxy.gossip.send(proxy.beat)
            proxy.gossip.send_digest(proxy.beat)

    def deliver_pulls(self) -> None:
        """Deliver all scheduled pulls."""
        for name, proxy in self.proxies.items():
            for pull in proxy.gossip.take_pulls():
                self.pulls += 1
                self.deliver_pull(name, pull)

    def alive_at(self, name: str) -> set[str]:
        peers = self.proxies[name].roster.alive(self.clock.now())
        return {peer.beat.proxy for peer in peers}

    def all_know_each_other(self) -> bool:
        up = {p.beat.proxy for p in self.proxies.values() if p.up}
        return all(self.alive_at(name) == up - {name} for name in up)


@pytest.fixture
def net() -> Net:
    """Return a network of sixty proxies that know each other."""
    network = Net()
    for number in range(60):
        network.add(f'p{number}', DOMAINS[number % 3])
    for name in network.proxies:
        network.list_all(name)
    network.run(3)
    return network


def test_relays_inform_all_proxies_with_few_messages(net):
    assert net.all_know_each_other()
    net.sent = net.cross_domain = 0
    net.run(10)
    assert net.all_know_each_other()
    rounds = 10 / INTERVAL_S
    # A mesh takes 60 * 59 messages per round, two thirds between domains.
    assert net.sent / rounds < 60 * 6
    assert net.cross_domain / rounds <= 6 * 4


def test_failed_relays_are_replaced(net):
    for domain in DOMAINS:
        relays = net.proxies['p0'].gossip.relays(domain)
        for name in relays:
            net.proxies[name].up = False
    net.run(8)
    assert net.all_know_each_other()


@pytest.mark.parametrize('sender_is_relay', [False, True])
def test_an_announcement_does_not_depend_on_failed_relays(
    net, sender_is_relay
):
    """Failed relays count as alive for 2.6 s, but others act in their place.

    Announcements were sent to the failed ones only.
    """
    relays = net.proxies['p0'].gossip.relays('a')
    sender = relays[0] if sender_is_relay else 'p0'
    assert sender_is_relay or sender not in relays
    for relay in relays:
        net.proxies[relay].up = relay == sender
    net.run(1.5)
    net.proxies[sender].gossip.announce(messages.RowNews(KEY, b'{}'))
    members = [
        proxy
        for name, proxy in net.proxies.items()
        if proxy.beat.domain == 'a' and proxy.up and name != sender
    ]
    assert all(proxy.announced for proxy in members)


def test_a_domain_rejoins_after_a_partition(net):
    net.cut = 'a'
    net.run(8)
    inside = {n for n, p in net.proxies.items() if p.beat.domain == 'a'}
    assert net.alive_at('p0') == inside - {'p0'}
    assert net.alive_at('p1') == set(net.proxies) - inside - {'p1'}
    net.cut = ''
    net.run(5)
    assert net.all_know_each_other()


def test_a_new_proxy_becomes_known_to_all(net):
    net.add('new', 'a')
    net.list_all('new')
    net.run(2)
    assert net.all_know_each_other()


def test_a_changed_heartbeat_reaches_all(net):
    opinion = messages.GroupOpinion(KEY, 3, True)
    changed = net.proxies['p7']
    changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
    net.run(2)
    for name, proxy in net.proxies.items():
        if name != 'p7':
            known = proxy.roster.get('p7')
            assert known.beat.opinions == (opinion,)


def test_an_urgent_change_does_not_wait_for_the_next_digest(net):
    opinion = messages.GroupOpinion(KEY, 3, True)
    changed = net.proxies['p7']
    changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
    net.clock.at += 0.01
    changed.gossip.send(changed.beat)
    for _ in range(3):
        for proxy in net.proxies.values():
            proxy.gossip.flush()
    for name, proxy in net.proxies.items():
        if name != 'p7':
            assert proxy.roster.get('p7').beat.opinions == (opinion,)


@pytest.mark.parametrize('count', [24, 71])
def test_a_domain_with_relayed_heartbeats_is_not_silent(count):
    """Guards against domains that count as cut off without a fault.

    Heartbeats that arrive through two relays every half second are up to
    1.3 s old. If silence is counted from the time of sending, quotas get two
    owners and homes move.
    """
    network = Net()
    for number in range(count):
        network.add(f'p{number}', DOMAINS[number % 3])
    for name in network.proxies:
        network.list_all(name)
    network.run_out_of_step(5)
    found = set()

    def observe() -> None:
        oldest = network.clock.at - _peers_task.DOMAIN_SILENCE_S
        for name, proxy in network.proxies.items():
            silent = proxy.roster.silent_domains(oldest)
            found.update((name, domain) for domain in silent)

    network.run_out_of_step(5, observe)
    assert not found


def test_few_proxies_form_a_mesh():
    network = Net()
    for number in range(5):
        network.add(f'p{number}', DOMAINS[number % 3])
    for name in network.proxies:
        network.list_all(name)
    network.run(1)
    assert network.sent == 2 * 5 * 4
    assert network.all_know_each_other()


def _run_many(domains: str, count: int) -> Net:
    """Return a network of ``count`` proxies that know each other."""
    network = Net()
    for number in range(count):
        network.add(f'p{number}', domains[number % len(domains)])
    for name in network.proxies:
        network.list_all(name)
    network.run(4)
    assert network.all_know_each_other()
    return network


@pytest.mark.parametrize('count', [24, 71, 195])
def test_messages_per_proxy_do_not_grow_with_their_number(count):
    """Guards against traffic that grows with the square of the proxies.

    A mesh of 195 proxies in five domains has 37,830 links, and each proxy
    sends 388 messages per second.
    """
    network = _run_many('abcde', count)
    network.sent = network.cross_domain = 0
    network.run(5)
    assert network.all_know_each_other()
    assert network.sent / 5 / count < 11
    # Each of ten relays sends to one relay of each of the four other domains
    # twice per second.
    assert network.cross_domain / 5 <= 10 * 4 * 2


@pytest.mark.parametrize('count', [24, 71, 195])
def test_domains_know_each_other_soon_after_a_partition(count):
    network = _run_many('abcde', count)
    network.cut = 'a'
    network.run(10)
    assert network.alive_at('p0') == {
        n for n, p in network.proxies.items() if p.beat.domain == 'a'
    } - {'p0'}
    network.cut = ''
    network.run(3)
    assert network.all_know_each_other()


def test_a_proxy_with_one_listed_peer_becomes_known_to_all(net):
    """The new proxy's list holds one proxy, which is no relay."""
    relays = {r for d in DOMAINS for r in net.proxies['p0'].gossip.relays(d)}
    net.add('new', 'a')
    found = next(n for n in net.proxies if n not in relays and n != 'new')
    address = net.proxies[found].beat
    vm = ports.Vm(found, 'proxy', address.domain, address.host, 1)
    net.proxies['new'].roster.list_vm(vm, net.clock.now())
    net.run(4)
    assert net.all_know_each_other()


def test_a_restarted_proxy_replaces_its_former_run(net):
    beat = net.proxies['p7'].beat
    roster = net.proxies['p8'].roster
    again = attrs.evolve(beat, proxy='p7.again')
    roster.record_heartbeat(again, net.clock.now(), net.clock.now())
    alive = {p.beat.proxy for p in roster.alive(net.clock.now())}
    assert 'p7.again' in alive and 'p7' not in alive


def test_a_missed_change_is_pulled(net):
    """The checksum of a domain shows that a heartbeat was missed."""
    opinion = messages.GroupOpinion(KEY, 3, False)
    missed = net.proxies['p7']
    missed.beat = attrs.evolve(missed.beat, opinions=(opinion,))
    offline = net.proxies['p8']
    offline.up = False
    net.run(1.5)
    offline.up = True
    net.run(2)
    assert offline.roster.get('p7').beat.opinions == (opinion,)


def test_changes_are_forwarded_without_pulls(net):
    """Guards against pulls after each change.

    A change is a second old when it reaches the last relay. If relays count
    the time to forward it in full from its sending, all 39 members of a domain
    pull all heartbeats of the other whenever one proxy there changes.
    """
    net.pulls = 0
    for number in range(7, 27):
        changed = net.proxies[f'p{number}']
        opinion = messages.GroupOpinion(KEY, number, False)
        changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
        net.run_out_of_step(INTERVAL_S)
    net.run_out_of_step(2)
    assert net.pulls == 0
    assert net.all_know_each_other()


def test_a_change_is_forwarded_for_a_time_after_its_receipt(net):
    """Through two relays a change is over a second old at the last one."""
    relay = net.proxies[net.proxies['p0'].gossip.relays('a')[0]]
    opinion = messages.GroupOpinion(KEY, 3, False)
    changed = attrs.evolve(net.proxies['p7'].beat, opinions=(opinion,))
    net.clock.at += 2.0
    aged = messages.AgedHeartbeat(changed, 1.2)
    relay.gossip.receive_digest(messages.Digest((aged,)))
    relay.gossip.send_digest(relay.beat)
    inside = [
        p
        for p in net.proxies.values()
        if p.beat.domain == 'a' and p is not relay
    ]
    assert all(p.roster.get('p7').beat.opinions == (opinion,) for p in inside)


def test_a_pull_returns_only_missing_heartbeats(net):
    """Heartbeats that the requester has are not sent again.

    With all heartbeats in each answer, 195 proxies that started together
    pulled 8,668 times in 18 s and saturated the links of their relays.
    """
    first, *others = [p for p in net.proxies.values() if p.beat.domain == 'a']
    asker = next(p for p in net.proxies.values() if p.beat.domain == 'b')
    changed = others[0].beat = attrs.evolve(others[0].beat, draining=True)
    first.roster.record_heartbeat(changed, net.clock.now(), net.clock.now())
    pull = asker.gossip.pull_message('a')
    answer = first.gossip.answer_pull(pull)
    whole = first.gossip.answer_pull(messages.AskDomain('a'))
    assert [aged.beat for aged in answer.news] == [changed]
    assert len(answer.alive) == len(whole.news) - 1
    sizes = [
        len(codec.encode(messages.PeerMessage(digest, 1)))
        for digest in (answer, whole)
    ]
    assert sizes[0] < sizes[1] / 2
    asker.gossip.receive_pulled(answer, net.clock.now())
    assert asker.roster.get(changed.proxy).beat == changed


def test_a_proxy_that_knows_only_former_runs_learns_of_all():
    """Guards against a domain that never learns of the others.

    After all VMs lost power, the platform still listed former runs. When the
    relays of the domain started, digests no longer held the heartbeats of the
    other domains in full. The checksums did not match, but the relays could
    not pull, since they did not know the sender's address. For 16 s the
    domain's proxies saw 30 % of all proxies and granted that fraction of the
    quotas that they owned.
    """
    network = Net(cut='a')
    for number in range(60):
        network.add(f'p{number}', DOMAINS[number % 3])
    for name in network.proxies:
        network.list_all(name, run='.former')
    network.run(4)
    network.cut = ''
    network.run(5)
    assert network.all_know_each_other()

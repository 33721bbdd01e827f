"""Contact between failure domains, over links with a transit time."""

from collections.abc import Callable
import heapq

import attrs
import pytest
import test_gossip

from tidegrade import core
from tidegrade.daemon import _peers_task
from tidegrade.peers import _messages as messages

DOMAINS = ('a', 'b', 'c')
INTERVAL_S = 0.5
OBSERVE_S = 0.1


@attrs.define
class TimedNet(test_gossip.Net):
    """A network whose messages arrive ``transit_s`` after their sending.

    ``lose`` tells of each message, by its sender, recipient and content,
    whether it is lost. ``older`` are proxies that send no contacts.
    """

    transit_s: float = 0.02
    older: frozenset[str] = frozenset()
    lose: Callable[[str, str, messages.PeerBody], bool] = (
        lambda own, to, body: False
    )
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(
        factory=list
    )
    _number: int = 0
    _flushing: set[str] = attrs.field(factory=set)

    def at(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action))

    def deliver(self, own, to, body) -> bool:
        here, there = self.proxies[own].beat.domain, to.beat.domain
        if not to.up or (here != there and self.cut in (here, there)):
            return False
        if self.lose(own, to.beat.host, body):
            return True
        if own in self.older and isinstance(body, messages.Digest):
            body = attrs.evolve(body, contacts=(), has_contacts=False)

        def arrive() -> None:
            if to.up:
                super(TimedNet, self).deliver(own, to, body)
                self._flush_soon(to)

        self.at(self.clock.at + self.transit_s, arrive)
        return True

    def _flush_soon(self, proxy: test_gossip.Proxy) -> None:
        """Run the proxy's urgent work, as :meth:`Gossip.run` does."""
        name = proxy.beat.host
        if name in self._flushing:
            return
        self._flushing.add(name)

        def flush() -> None:
            self._flushing.discard(name)
            proxy.gossip.flush()
            for pull in proxy.gossip.take_pulls():
                self.deliver_pull(name, pull)

        self.at(self.clock.at + 0.02, flush)

    def start(self) -> None:
        """Start the heartbeats of all proxies, spread over the interval."""
        for phase, name in self.by_phase():
            self._beat_from(name, self.clock.at + phase * INTERVAL_S)

    def _beat_from(self, name: str, at: float) -> None:
        def beat() -> None:
            self.beat(self.proxies[name])
            self._beat_from(name, at + INTERVAL_S)

        self.at(at, beat)

    def play(self, seconds: float) -> None:
        """Run all events of some seconds."""
        end = self.clock.at + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.clock.at = at
            action()
        self.clock.at = end

    def members(self, domain: str) -> dict[str, test_gossip.Proxy]:
        """Return the proxies of a domain that are up, by name."""
        return {
            name: proxy
            for name, proxy in self.proxies.items()
            if proxy.beat.domain == domain and proxy.up
        }


def network(count: int) -> TimedNet:
    """Return a network in which all proxies know each other."""
    net = TimedNet()
    for number in range(count):
        net.add(f'p{number}', DOMAINS[number % len(DOMAINS)])
    for name in net.proxies:
        net.list_all(name)
    net.start()
    net.play(6)
    assert net.all_know_each_other()
    return net


def silent_at(net: TimedNet, domain: str) -> dict[str, frozenset[str]]:
    """Return the domains that each proxy of ``domain`` counts as silent."""
    oldest = net.clock.at - _peers_task.DOMAIN_SILENCE_S
    return {
        name: proxy.roster.silent_domains(oldest) - {domain}
        for name, proxy in net.members(domain).items()
    }


def test_relays_that_echo_each_other_do_not_keep_a_domain_connected():
    """Guards against a partition that goes unnoticed for seconds.

    Relays of one domain gossip the heartbeats of other domains to each other.
    The transit time is missing in their ages, so each echo looked newer than
    the last and 18 of 19 proxies took the others for connected for 6.9 s.
    """
    net = network(60)
    net.cut = 'a'
    net.play(2.5)
    assert set(silent_at(net, 'a').values()) == {frozenset('bc')}
    assert set(silent_at(net, 'b').values()) == {frozenset('a')}


@attrs.frozen
class Change:
    """Another verdict of a proxy on whether its domain is isolated.

    ``silence`` is the age of the last contact then, in seconds.
    """

    proxy: str
    at: float
    silence: float
    cut_off: bool


@attrs.define
class Watch:
    """Observes the isolation of all proxies ten times a second."""

    net: TimedNet
    states: dict[str, core.Isolation] = attrs.field(factory=dict)
    changes: list[Change] = attrs.field(factory=list)

    def start(self) -> None:
        """Begin to observe all proxies at different times."""
        for number, name in enumerate(self.net.proxies):
            self.states[name] = core.Isolation()
            phase = number * test_gossip.GOLDEN_RATIO % 1
            self._observe_from(name, self.net.clock.at + phase * OBSERVE_S)

    def _observe_from(self, name: str, at: float) -> None:
        def observe() -> None:
            proxy = self.net.proxies[name]
            last = proxy.roster.last_contact()
            heard_at = proxy.gossip.relays_heard_at()
            state = self.states[name]
            if proxy.up and state.observe(last, False, at, heard_at):
                self.changes.append(
                    Change(name, at, state.silence, state.cut_off)
                )
            self._observe_from(name, at + OBSERVE_S)

        self.net.at(at, observe)

    def cut_off(self) -> set[str]:
        """Return the proxies that take their domain for isolated."""
        return {name for name, state in self.states.items() if state.cut_off}


def watched(count: int, seconds: float = 10.0) -> tuple[TimedNet, Watch]:
    """Return a network with an observer that saw it undisturbed."""
    net = network(count)
    watch = Watch(net)
    watch.start()
    net.play(seconds)
    assert not watch.changes
    return net, watch


@pytest.mark.parametrize('count', [8, 24, 60, 200])
def test_all_proxies_detect_a_partition_and_its_end(count):
    """Guards against proxies that keep or refuse callers without need.

    A partitioned domain refuses nearly all requests until its callers connect
    elsewhere; after the partition it must take part again within a second.
    """
    net, watch = watched(count, seconds=4.0)
    inside = set(net.members('a'))
    cut_at, net.cut = net.clock.at, 'a'
    for _ in range(3):
        net.play(2.0)
        assert watch.cut_off() == inside
    assert max(c.at for c in watch.changes) - cut_at <= 1.7
    healed_at, net.cut = net.clock.at, ''
    watch.changes.clear()
    net.play(1.0 + OBSERVE_S)
    assert not watch.cut_off()
    assert not set().union(*silent_at(net, 'a').values())
    net.play(2)
    assert not watch.cut_off()
    assert max(c.at for c in watch.changes) - healed_at <= 1.0 + OBSERVE_S
    assert len(watch.changes) == len(inside)


@pytest.mark.parametrize('count', [24, 60])
@pytest.mark.parametrize('seconds', [2.0, 3.0, 6.0, 65.0])
def test_contact_is_regained_within_a_second(count, seconds):
    """The others count as alive, as failed, or are unknown at its end."""
    net = network(count)
    net.cut = 'a'
    net.play(seconds)
    for proxy in net.proxies.values():
        proxy.roster.forget(net.clock.at - _peers_task.REMOVE_AFTER_S)
    assert set(silent_at(net, 'a').values()) == {frozenset('bc')}
    net.cut = ''
    net.play(1.0)
    for domain in DOMAINS:
        assert not set().union(*silent_at(net, domain).values())


def test_an_introduced_relay_is_contacted_at_once():
    """After a partition, each wait for a digest is half of the second."""
    net = test_gossip.Net()
    for number in range(60):
        net.add(f'p{number}', DOMAINS[number % len(DOMAINS)])
    for name in net.proxies:
        net.list_all(name)
    net.run(3)
    net.cut = 'a'
    net.run(8)
    net.cut = ''
    relay = net.proxies[net.proxies['p0'].gossip.relays('a')[0]]
    relays = net.proxies['p1'].gossip.relays('b')
    other = net.proxies[relays[0]]
    member = next(
        p
        for name, p in net.proxies.items()
        if p.beat.domain == 'b' and name not in relays
    )
    aged = messages.AgedHeartbeat(other.beat, 0.3)
    introduction = messages.Digest((aged,), sender=member.beat.proxy)
    relay.gossip.receive_digest(introduction)
    assert other.roster.contacts.last('a') == net.clock.at
    other.gossip.flush()
    assert member.roster.contacts.last('a') == net.clock.at


@pytest.mark.parametrize('count', [15, 60])
def test_one_lost_digest_isolates_nobody(count):
    """One digest of each relay, sent at different times, is lost."""
    net, watch = watched(count)
    relays = {r for d in DOMAINS for r in net.proxies['p0'].gossip.relays(d)}
    lost: list[float] = []
    for sender in sorted(relays):
        for within in (True, False):

            def lose(own, to, body, sender=sender, within=within) -> bool:
                inside = (
                    net.proxies[own].beat.domain == net.proxies[to].beat.domain
                )
                is_digest = isinstance(body, messages.Digest)
                if own != sender or inside != within or not is_digest:
                    return False
                first = lost[0] if lost else net.clock.at
                lost.append(net.clock.at)
                return net.clock.at == first

            net.lose = lose
            # Not a multiple of the interval, so that the times differ.
            net.play(3.1)
            assert lost
            lost.clear()
    assert not watch.changes


def test_a_relay_that_fails_isolates_nobody():
    """The contacts of the other relay count meanwhile."""
    for domain in DOMAINS:
        net, watch = watched(60)
        relay = net.proxies['p0'].gossip.relays(domain)[0]
        net.proxies[relay].up = False
        net.play(6)
        assert not watch.changes


@pytest.mark.parametrize('count', [24, 60])
def test_relays_that_both_fail_are_replaced_by_the_next(count):
    """Guards against a domain that shuts itself off when it lost two proxies.

    The failed relays count as alive for 2.6 s. Without them nobody reports
    contacts, which must not count as isolation soon, nor for long.
    """
    for domain in DOMAINS:
        net, watch = watched(count)
        failed_at = net.clock.at
        failed = net.proxies['p0'].gossip.relays(domain)
        for relay in failed:
            net.proxies[relay].up = False
        net.play(6)
        for proxy in net.members(domain).values():
            assert not set(proxy.gossip.relays(domain)) & set(failed)
            contact = proxy.roster.last_contact()
            assert contact is not None
            assert net.clock.at - contact < 1.1
        assert not watch.cut_off()
        assert all(c.silence >= 1.7 for c in watch.changes if c.cut_off)
        assert all(c.at - failed_at <= 2.5 for c in watch.changes)


def restart_at(net: TimedNet, watch: Watch, name: str, at: float) -> None:
    """Restart a proxy of domain a that has been down for 0.9 s by then."""

    def stop() -> None:
        net.proxies[name].up = False

    def start() -> None:
        net.add(name, 'a')
        net.list_all(name)
        watch.states[name] = core.Isolation()

    net.at(at - 0.9, stop)
    net.at(at, start)


@pytest.mark.parametrize('count', [24, 60])
@pytest.mark.parametrize('delay', [-0.02, 0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize('restarts', [1, 2])
def test_a_relay_restarted_near_a_partition_does_not_hide_it(
    count, delay, restarts
):
    """A relay that has no contacts yet was taken for an older version.

    Its heartbeats of other domains, which it had from the second relay, then
    counted as contacts: the proxies took their domain for connected again,
    and the last of them for isolated 3 s after the partition.
    """
    net, watch = watched(count, 4.0)
    cut_at = net.clock.at + 1.0
    relays = net.proxies['p0'].gossip.relays('a')[:restarts]
    for name in relays:
        restart_at(net, watch, name, cut_at + delay)
    net.play(1.0)
    net.cut = 'a'
    net.play(6.0)
    assert watch.cut_off() == set(net.members('a'))
    others = [c for c in watch.changes if c.proxy not in relays]
    assert len(others) == len(net.members('a')) - restarts
    assert max(c.at for c in others) - cut_at <= 1.7


@pytest.mark.parametrize('count', [24, 60])
@pytest.mark.parametrize('down_s', [0.7, 0.9, 1.1, 1.3, 1.5, 1.7, 1.9, 2.1])
def test_a_restart_of_a_relay_isolates_nobody(count, down_s):
    """Guards against old contacts of a proxy that has just become a relay.

    The proxy that relays meanwhile was in contact itself when it started,
    long ago, and the restarted relay learned of no newer contact at first.
    """
    net, watch = watched(count, 4.0)
    name = net.proxies['p0'].gossip.relays('a')[0]
    net.play(0.1)
    net.proxies[name].up = False
    net.play(down_s)
    net.add(name, 'a')
    net.list_all(name)
    watch.states[name] = core.Isolation()
    net.play(6.0 - down_s)
    assert not watch.changes


@pytest.mark.parametrize('count', [24, 60])
@pytest.mark.parametrize('lists', ['all', 'former'])
def test_a_restart_of_all_proxies_isolates_nobody(count, lists):
    """Guards against contacts that stop as proxies begin to use relays.

    A proxy that has just started takes the few that it knows for a full mesh.
    """
    net = TimedNet()
    for number in range(count):
        net.add(f'p{number}', DOMAINS[number % len(DOMAINS)])
        net.proxies[f'p{number}'].up = False
    watch = Watch(net)
    watch.start()
    for number, name in enumerate(net.proxies):

        def start(name=name) -> None:
            net.proxies[name].up = True
            net.list_all(name, run='.former' if lists == 'former' else '')

        net.at(net.clock.at + number * 1.3 / count, start)
    net.start()
    net.play(10)
    assert net.all_know_each_other()
    assert not watch.changes


@pytest.mark.parametrize('all_older', [True, False])
def test_older_relays_keep_domains_connected_but_not_in_a_partition(all_older):
    """Guards an upgrade, during which some relays send no contacts.

    Their digests count by the heartbeats in them, but not by echoes that are
    older than 2 s.
    """
    net = network(60)
    relays = {d: net.proxies['p0'].gossip.relays(d) for d in DOMAINS}
    net.older = frozenset(found[0] for found in relays.values())
    if all_older:
        net.older = frozenset(net.proxies)
    watch = Watch(net)
    watch.start()
    for _ in range(50):
        net.play(0.2)
        for domain in DOMAINS:
            assert not set().union(*silent_at(net, domain).values())
    assert not watch.changes
    net.cut = 'a'
    net.play(2.0 + 1.7 + INTERVAL_S)
    assert watch.cut_off() == set(net.members('a'))
    assert set(silent_at(net, 'b').values()) == {frozenset('a')}

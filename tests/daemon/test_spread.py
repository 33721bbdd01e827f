"""Heartbeats among many proxies, over a network of plain objects."""

from collections.abc import Callable
import random

import attrs
import pytest

from tidegrade.daemon import _peers_task
from tidegrade.daemon import _roster
from tidegrade.daemon import _spread
from tidegrade.peers import _links
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade import ports

DOMAINS = ('a', 'b', 'c')
INTERVAL = 0.5
ALIVE = 2.6
#: Its multiples fill an interval evenly.
GOLDEN = 0.618034
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

    def post(self, address: _links.Address, body: messages.PeerBody) -> bool:
        to = self.net.proxies[address.host]
        return self.net.deliver(self.own, to, body)


@attrs.define
class Net:
    """All proxies, and a count of the messages that crossed domains."""

    clock: Clock = attrs.field(factory=Clock)
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    cut: str = ''
    sent: int = 0
    questions: int = 0
    crossed: int = 0

    def add(self, name: str, domain: str) -> None:
        roster = _roster.Roster(name, ALIVE, ALIVE + 2 * INTERVAL)
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

    def ask(self, name: str, question) -> None:
        """Have a question for a failure domain's heartbeats answered."""
        asking = self.proxies[name]
        address = asking.spread.address_of(question)
        if address is None:
            return
        asked = self.proxies[address.host]
        here, there = asking.beat.domain, asked.beat.domain
        if not (asking.up and asked.up):
            return
        if here != there and self.cut in (here, there):
            return
        self.sent += 2
        self.crossed += 2 * (here != there)
        answer = asked.spread.domain_digest(
            asking.spread.question_about(question.domain)
        )
        asking.spread.heard_domain(answer, self.clock.now())

    def list_all(self, name: str, run: str = '') -> None:
        """Have a proxy learn from the platform which others there are.

        ``run`` tells the names of their former runs from those of today.
        """
        for other, proxy in self.proxies.items():
            if other == name:
                continue
            vm = ports.Vm(other + run, 'proxy', proxy.beat.domain, other, 1)
            self.proxies[name].roster.list_vm(vm, self.clock.now())

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / INTERVAL)):
            self.clock.at += INTERVAL
            for proxy in self.proxies.values():
                self.beat(proxy)
            self.ask_all()

    def run_out_of_step(
        self, seconds: float, look: Callable[[], None] = lambda: None
    ) -> None:
        """Run with the heartbeats of proxies spread over the interval.

        ``look`` is called before each.
        """
        start = self.clock.at
        for turn in range(int(seconds / INTERVAL)):
            for phase, name in self.by_phase():
                self.clock.at = start + (turn + phase) * INTERVAL
                look()
                self.beat(self.proxies[name])
                self.ask_all()
        self.clock.at = start + seconds

    def by_phase(self) -> list[tuple[float, str]]:
        """Give when in each interval each proxy sends, in order."""
        names = enumerate(self.proxies)
        return sorted((number * GOLDEN % 1, name) for number, name in names)

    def beat(self, proxy: Proxy) -> None:
        """Have one proxy send its heartbeat, and its digest if any."""
        if proxy.up:
            proxy.spread.send(proxy.beat)
            proxy.spread.send_digest(proxy.beat)

    def ask_all(self) -> None:
        """Have all questions that wait answered."""
        for name, proxy in self.proxies.items():
            for question in proxy.spread.questions():
                self.questions += 1
                self.ask(name, question)

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
    for name in made.proxies:
        made.list_all(name)
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
    net.list_all('new')
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


@pytest.mark.parametrize('count', [24, 71])
def test_nobody_takes_a_domain_for_silent_whose_heartbeats_come(count):
    """Quotas had two keepers, and homes moved, on a day without a fault.

    What happens: heartbeats that come through two relays each half second
    are up to 1.3 s old. Why: a silence counted from when the newest was sent.
    """
    made = Net()
    for number in range(count):
        made.add(f'p{number}', DOMAINS[number % 3])
    for name in made.proxies:
        made.list_all(name)
    made.run_out_of_step(5)
    found = set()

    def look() -> None:
        oldest = made.clock.at - _peers_task.DOMAIN_SILENCE
        for name, proxy in made.proxies.items():
            silent = proxy.roster.silent_domains(oldest)
            found.update((name, domain) for domain in silent)

    made.run_out_of_step(5, look)
    assert not found


def test_few_proxies_send_to_each_other_directly():
    made = Net()
    for number in range(5):
        made.add(f'p{number}', DOMAINS[number % 3])
    for name in made.proxies:
        made.list_all(name)
    made.run(1)
    assert made.sent == 2 * 5 * 4
    assert made.all_up_know_each_other()


def _run_many(domains: str, count: int) -> Net:
    """Give many proxies that were listed to each other and have settled."""
    made = Net()
    for number in range(count):
        made.add(f'p{number}', domains[number % len(domains)])
    for name in made.proxies:
        made.list_all(name)
    made.run(4)
    assert made.all_up_know_each_other()
    return made


@pytest.mark.parametrize('count', [24, 71, 195])
def test_messages_of_one_proxy_do_not_grow_with_their_number(count):
    """With 195 in five domains a mesh had 37,830 links and 388 a second."""
    made = _run_many('abcde', count)
    made.sent = made.crossed = 0
    made.run(5)
    assert made.all_up_know_each_other()
    assert made.sent / 5 / count < 11
    # Ten relays, each tells one in each other domain twice a second.
    assert made.crossed / 5 <= 10 * 4 * 2


@pytest.mark.parametrize('count', [24, 71, 195])
def test_domains_hear_of_each_other_soon_after_a_cut(count):
    made = _run_many('abcde', count)
    made.cut = 'a'
    made.run(10)
    assert made.alive_at('p0') == {
        n for n, p in made.proxies.items() if p.beat.domain == 'a'
    } - {'p0'}
    made.cut = ''
    made.run(3)
    assert made.all_up_know_each_other()


def test_who_was_found_by_few_is_heard_of_by_all(net):
    """A proxy that found one other, which is no relay, sends to it alone."""
    relays = {r for d in DOMAINS for r in net.proxies['p0'].spread.relays(d)}
    net.add('new', 'a')
    found = next(n for n in net.proxies if n not in relays and n != 'new')
    address = net.proxies[found].beat
    vm = ports.Vm(found, 'proxy', address.domain, address.host, 1)
    net.proxies['new'].roster.list_vm(vm, net.clock.now())
    net.run(4)
    assert net.all_up_know_each_other()


def test_a_proxy_that_restarts_takes_the_place_of_its_former_run(net):
    beat = net.proxies['p7'].beat
    roster = net.proxies['p8'].roster
    again = attrs.evolve(beat, proxy='p7.again')
    roster.heard(again, net.clock.now(), net.clock.now())
    alive = {p.beat.proxy for p in roster.alive(net.clock.now())}
    assert 'p7.again' in alive and 'p7' not in alive


def test_who_missed_news_asks_for_it(net):
    """The number of a domain tells that a heartbeat was missed."""
    opinion = messages.GroupOpinion(KEY, 3, False)
    missed = net.proxies['p7']
    missed.beat = attrs.evolve(missed.beat, opinions=(opinion,))
    deaf = net.proxies['p8']
    deaf.up = False
    net.run(1.5)
    deaf.up = True
    net.run(2)
    assert deaf.roster.get('p7').beat.opinions == (opinion,)


def test_what_changes_is_passed_on_before_anybody_must_ask(net):
    """A change is a second old at the last relay, and still news there.

    While it counted from its sending, all 39 members of a domain asked for
    all heartbeats of the other whenever one proxy there had changed.
    """
    net.questions = 0
    for number in range(7, 27):
        changed = net.proxies[f'p{number}']
        opinion = messages.GroupOpinion(KEY, number, False)
        changed.beat = attrs.evolve(changed.beat, opinions=(opinion,))
        net.run_out_of_step(INTERVAL)
    net.run_out_of_step(2)
    assert net.questions == 0
    assert net.all_up_know_each_other()


def test_a_change_is_news_from_when_it_was_learned(net):
    """Through two relays it is more than a second old at the last one."""
    relay = net.proxies[net.proxies['p0'].spread.relays('a')[0]]
    opinion = messages.GroupOpinion(KEY, 3, False)
    changed = attrs.evolve(net.proxies['p7'].beat, opinions=(opinion,))
    net.clock.at += 2.0
    aged = messages.AgedHeartbeat(changed, 1.2)
    relay.spread.heard_digest(messages.Digest((aged,)))
    relay.spread.send_digest(relay.beat)
    inside = [
        p
        for p in net.proxies.values()
        if p.beat.domain == 'a' and p is not relay
    ]
    assert all(p.roster.get('p7').beat.opinions == (opinion,) for p in inside)


def test_who_asks_about_a_domain_is_told_what_it_lacks(net):
    """What it has already is not sent again.

    With every heartbeat in each answer, 195 proxies that started together
    and asked 8,668 times in 18 s filled the links of their relays.
    """
    first, *others = [p for p in net.proxies.values() if p.beat.domain == 'a']
    asker = next(p for p in net.proxies.values() if p.beat.domain == 'b')
    changed = others[0].beat = attrs.evolve(others[0].beat, draining=True)
    first.roster.heard(changed, net.clock.now(), net.clock.now())
    question = asker.spread.question_about('a')
    answer = first.spread.domain_digest(question)
    whole = first.spread.domain_digest(messages.AskDomain('a'))
    assert [aged.beat for aged in answer.news] == [changed]
    assert len(answer.alive) == len(whole.news) - 1
    sizes = [
        len(codec.encode(messages.PeerMessage(digest, 1)))
        for digest in (answer, whole)
    ]
    assert sizes[0] < sizes[1] / 2
    asker.spread.heard_domain(answer, net.clock.now())
    assert asker.roster.get(changed.proxy).beat == changed


def test_who_knows_only_former_runs_hears_of_all():
    """After a loss of power of all, a domain heard none of the others.

    The platform's list still named former runs, and heartbeats of the others
    were news no more when the domain's relays came up. These saw by the
    number of each domain that they lacked it, and asked nobody, since they
    did not know where the sender takes questions. For 16 s its proxies saw
    30 % of all, and granted that part of the quotas that they kept.
    """
    made = Net(cut='a')
    for number in range(60):
        made.add(f'p{number}', DOMAINS[number % 3])
    for name in made.proxies:
        made.list_all(name, run='.former')
    made.run(4)
    made.cut = ''
    made.run(5)
    assert made.all_up_know_each_other()

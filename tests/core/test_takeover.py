"""Takeovers of an attempt whose promotion may still be ordered."""

import random

import attrs
import pytest

from tidegrade import config
from tidegrade import core
from tidegrade.core import _watching
from tidegrade.core.permission import _permission
from tidegrade.core import supervision

NAMES = ('a', 'b', 'c')
CFG = config.Group(
    endpoints={n: config.Endpoint(n, 1, 'x') for n in NAMES},
    initial_primary='a',
)
ROW = core.GroupRow(1, 'a', frozenset(NAMES))
CLAIMED = attrs.evolve(ROW, attempt=core.Attempt('x', 'p1', next_term=2))
CHOSEN = attrs.evolve(
    ROW, attempt=core.Attempt('x', 'p1', next_term=2, chosen='c')
)


class Watcher:
    """A supervisor of ``proxy`` and the commands that it returned last."""

    def __init__(self, proxy: str) -> None:
        self.proxy = proxy
        self.supervisor = core.Supervisor('g', proxy, random.Random(1))
        self.now = 100.0

    def tell(self, event: supervision.SupervisorEvent) -> list:
        return self.supervisor.handle(event, self.now)

    def observe(
        self,
        row: core.GroupRow,
        replicas_to_repair: frozenset[str] = frozenset(),
    ) -> list:
        return self.tell(
            supervision.Observed(
                cfg=CFG,
                config_version=1,
                row=row,
                own=core.Opinion(self.proxy, 1, False),
                opinions=(),
                peers=(),
                leaving=frozenset(),
                replicas_to_repair=replicas_to_repair,
                reachable=frozenset(NAMES),
            )
        )

    def observe_for(self, row: core.GroupRow, seconds: float) -> list:
        """Observe a row for a time and return the last commands."""
        commands: list = []
        end = self.now + seconds
        while self.now < end and not commands:
            commands = self.observe(row)
            self.now += 0.1
        return commands


@pytest.fixture
def other() -> Watcher:
    """Return a supervisor that is reading the row to take over an attempt."""
    watcher = Watcher('p2')
    watcher.observe(ROW)
    commands = watcher.observe_for(CLAIMED, 3.0)
    assert commands == [supervision.ReadRow()]
    return watcher


def claims(commands: list) -> list:
    return [c for c in commands if isinstance(c, supervision.WriteRow)]


def test_a_choice_announced_during_the_read_is_not_taken_over(other):
    """The promotion of that choice has its whole lease left.

    The decision was made on the age of an earlier row. If the row read is
    compared with the newest one seen, the takeover's promotion can arrive
    before the one that it should follow.
    """
    other.observe(CHOSEN)
    assert claims(other.tell(supervision.RowRead(CHOSEN, '3'))) == []


def test_a_choice_seen_only_by_the_read_is_not_taken_over(other):
    """The choice is new to this proxy, whatever the age of the row before."""
    assert claims(other.tell(supervision.RowRead(CHOSEN, '3'))) == []


def test_a_choice_is_taken_over_once_its_promotion_has_arrived(other):
    """The promotion is sent within its lease and then delivered or dropped."""
    other.tell(supervision.RowRead(CHOSEN, '3'))
    delay = _watching.CHOICE_TAKEOVER_AFTER_S
    assert other.observe_for(CHOSEN, delay) == []
    assert other.observe_for(CHOSEN, 1.0) == [supervision.ReadRow()]
    (claim,) = claims(other.tell(supervision.RowRead(CHOSEN, '3')))
    assert claim.row.attempt.next_term == 3


def test_the_lease_and_the_delivery_end_before_a_choice_is_taken_over():
    """By any two clocks, or a takeover's promotion could arrive earlier."""
    longest = (
        _watching.PROMOTION_LEASE_S + _watching.PROMOTION_DELIVERY_S
    ) * (1 + _permission.MAX_CLOCK_DRIFT)
    shortest = _watching.CHOICE_TAKEOVER_AFTER_S * (
        1 - _permission.MAX_CLOCK_DRIFT
    )
    assert longest <= shortest + 1e-9


def test_an_order_to_follow_is_cancelled_once_an_attempt_is_seen():
    """An order that arrives late would clear the promise of a fence."""
    watcher = Watcher('p2')
    led = attrs.evolve(ROW, term=2, primary='b')
    orders = watcher.observe(led, replicas_to_repair=frozenset('c'))
    assert [o.endpoint for o in orders] == ['c']
    attempt = core.Attempt('x', 'p1', next_term=3)
    commands = watcher.observe(attrs.evolve(led, attempt=attempt))
    assert supervision.CancelControls() in commands

"""Immediate refusal of requests that can't be served before their limit."""

import random

import machines

from tidegrade import core
from tidegrade.core import _recovery

#: Time, in seconds, that a statement of an urgent route may wait for a slot.
PLACE_WITHIN_S = 0.6


def lose_permission(machine: machines.Machine, seconds: float) -> None:
    """Let no endpoint answer, as in an isolated domain."""
    machine.frozen = set(machines.NAMES)
    for _ in range(round(seconds / 0.05)):
        machine.tick(0.05)


def send_read(machine: machines.Machine, number: int, **changes) -> None:
    machine.read(
        number,
        max_age=0.0,
        deadline=machine.now + 0.8,
        place_by=machine.now + PLACE_WITHIN_S,
        **changes,
    )


def test_an_outage_longer_than_the_limit_refuses_at_once(checking):
    """In a partition, each request used to wait 0.6 s before its refusal."""
    lose_permission(checking, 1.0 + PLACE_WITHIN_S + 0.1)
    send_read(checking, 1)
    answer = checking.answers[1]
    assert answer.outcome is core.Outcome.NOT_RUN
    assert answer.retry_after >= _recovery.MIN_RETRY_AFTER_S


def test_a_request_waits_early_in_an_outage(checking):
    lose_permission(checking, 1.1)
    send_read(checking, 1)
    assert 1 not in checking.answers
    checking.frozen = set()
    unanswered = dict(checking.running.items())
    for conn in unanswered:
        del checking.running[conn]
        checking.tell(core.ConnClosed(conn))
    for _ in range(20):
        checking.tick(0.02)
    assert checking.answers[1].outcome is core.Outcome.DONE


def test_an_isolated_proxy_refuses_once_the_permission_expires(checking):
    checking.tell(core.CutOffChanged(True))
    send_read(checking, 1)
    assert checking.answers[1].outcome is core.Outcome.DONE
    lose_permission(checking, 1.1)
    send_read(checking, 2)
    assert checking.answers[2].outcome is core.Outcome.NOT_RUN


def test_a_request_waits_for_a_change_expected_within_its_limit(checking):
    """A request waits only if the new primary is expected before its limit."""
    checking.tell(core.GiveUp(2))
    attempt = core.Attempt('x', 'p2', 2)
    row = core.GroupRow(1, 'a', frozenset(machines.NAMES), attempt=attempt)
    checking.tell(core.RowReceived(row))
    send_read(checking, 1)
    assert checking.answers[1].outcome is core.Outcome.NOT_RUN
    shortly_before_the_end = _recovery.INITIAL_CHANGE_S - PLACE_WITHIN_S / 2
    checking.tick(shortly_before_the_end)
    send_read(checking, 2)
    assert 2 not in checking.answers
    checking.new_term()
    for _ in range(10):
        checking.tick()
    assert checking.answers[2].outcome is core.Outcome.DONE


def test_a_write_that_may_have_run_has_an_unknown_outcome(checking):
    checking.frozen = set(machines.NAMES)
    req = core.Request(
        id=1,
        tenant='t',
        kind=core.Kind.WRITE,
        deadline=checking.now + 0.8,
        place_by=checking.now + PLACE_WITHIN_S,
        statements=(core.Statement('WRITE 1 x'),),
        autocommit=True,
    )
    checking.tell(core.RequestArrived(req))
    for _ in range(60):
        checking.tick(0.05)
    assert checking.answers[1].outcome is core.Outcome.UNKNOWN


def test_the_mean_length_of_changes_is_updated():
    estimate = _recovery.RecoveryEstimate()
    for start in range(0, 100, 10):
        estimate.change_began(start)
        estimate.change_ended(start + 0.5)
    assert 0.5 <= estimate.mean_change_s < 0.6
    estimate.change_began(200)
    assert estimate.recovery_expected_at(200.1) < 200.7


def test_urgent_callers_retry_first_and_spread_out():
    estimate = _recovery.RecoveryEstimate()
    estimate.observe(True, 10.0)
    rng = random.Random(1)
    urgent = [estimate.retry_after_s(0, 11.0, rng) for _ in range(50)]
    others = [estimate.retry_after_s(2, 11.0, rng) for _ in range(50)]
    assert max(urgent) < min(others)
    assert max(urgent) - min(urgent) > 0.3
    assert min(urgent) >= 1.0

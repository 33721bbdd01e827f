"""Refusing at once what can't be served before its limit."""

import random

import machines

from tidegrade import core
from tidegrade.core import _outlook

#: How long a statement of an urgent route may wait to be placed.
PLACE_WITHIN = 0.6


def lose_permission(machine: machines.Machine, seconds: float) -> None:
    """Let nobody answer, as for a domain that is cut off."""
    machine.frozen = set(machines.NAMES)
    for _ in range(round(seconds / 0.05)):
        machine.tick(0.05)


def ask(machine: machines.Machine, number: int, **changes) -> None:
    machine.read(
        number,
        max_age=0.0,
        deadline=machine.now + 0.8,
        place_by=machine.now + PLACE_WITHIN,
        **changes,
    )


def test_after_an_outage_as_long_as_the_wait_it_is_refused_at_once(checking):
    """Replays a cut: before, each request was held for 0.6 s, then refused."""
    lose_permission(checking, 1.0 + PLACE_WITHIN + 0.1)
    ask(checking, 1)
    answer = checking.answers[1]
    assert answer.outcome is core.Outcome.NOT_RUN
    assert answer.retry_after >= _outlook.MIN_RETURN


def test_early_in_an_outage_a_request_waits(checking):
    lose_permission(checking, 1.1)
    ask(checking, 1)
    assert 1 not in checking.answers
    checking.frozen = set()
    settled = dict(checking.running.items())
    for conn in settled:
        del checking.running[conn]
        checking.tell(core.ConnClosed(conn))
    for _ in range(20):
        checking.tick(0.02)
    assert checking.answers[1].outcome is core.Outcome.DONE


def test_cut_off_a_request_is_refused_as_soon_as_the_permission_ends(checking):
    checking.tell(core.CutOffChanged(True))
    ask(checking, 1)
    assert checking.answers[1].outcome is core.Outcome.DONE
    lose_permission(checking, 1.1)
    ask(checking, 2)
    assert checking.answers[2].outcome is core.Outcome.NOT_RUN


def test_a_change_under_way_is_waited_for_when_it_ends_in_time(checking):
    """Held requests are served by the new primary; earlier ones are not."""
    checking.tell(core.GiveUp(2))
    attempt = core.Attempt('x', 'p2', 2)
    row = core.GroupRow(1, 'a', frozenset(machines.NAMES), attempt=attempt)
    checking.tell(core.RowReceived(row))
    ask(checking, 1)
    assert checking.answers[1].outcome is core.Outcome.NOT_RUN
    near_its_end = _outlook.USUAL_CHANGE - PLACE_WITHIN / 2
    checking.tick(near_its_end)
    ask(checking, 2)
    assert 2 not in checking.answers
    checking.new_term()
    for _ in range(10):
        checking.tick()
    assert checking.answers[2].outcome is core.Outcome.DONE


def test_a_write_that_may_have_run_is_not_called_not_run(checking):
    checking.frozen = set(machines.NAMES)
    req = core.Request(
        id=1,
        tenant='t',
        kind=core.Kind.WRITE,
        deadline=checking.now + 0.8,
        place_by=checking.now + PLACE_WITHIN,
        statements=(core.Statement('WRITE 1 x'),),
        autocommit=True,
    )
    checking.tell(core.RequestArrived(req))
    for _ in range(60):
        checking.tick(0.05)
    assert checking.answers[1].outcome is core.Outcome.UNKNOWN


def test_the_length_of_changes_is_learned():
    outlook = _outlook.Outlook()
    for start in range(0, 100, 10):
        outlook.change_seen(start)
        outlook.change_over(start + 0.5)
    assert 0.5 <= outlook.usual_change < 0.6
    outlook.change_seen(200)
    assert outlook.expected_at(200.1) < 200.7


def test_urgent_callers_return_first_and_not_all_at_once():
    outlook = _outlook.Outlook()
    outlook.observe(True, 10.0)
    rng = random.Random(1)
    urgent = [outlook.return_after(0, 11.0, rng) for _ in range(50)]
    others = [outlook.return_after(2, 11.0, rng) for _ in range(50)]
    assert max(urgent) < min(others)
    assert max(urgent) - min(urgent) > 0.3
    assert min(urgent) >= 1.0

"""Lines about the permission and the endpoints of a group."""

import io
import json

import pytest

from tidegrade import core
from tidegrade.core.tracing import _basis
from tidegrade.core.tracing import _endpoint_history
from tidegrade.core.tracing import _permission_state
from tidegrade.daemon.decisions import _decision_log
from tidegrade import logs


class Machine:
    """The part of a group machine that the log reads."""

    def __init__(self) -> None:
        self.row = core.GroupRow(1, 'a', frozenset('abc'))
        self.reason = _permission_state.LossReason.LAPSED
        self.changes = []

    def may_acknowledge(self, now: float) -> bool:
        return self.reason is None

    def permission_state(self, now):
        grants = (_basis.GrantRecord('b', 0.25, False),)
        return _permission_state.PermissionState(
            self.row.term, self.reason, 0.75, grants, ()
        )

    def take_endpoint_changes(self):
        changes, self.changes = self.changes, []
        return changes


@pytest.fixture
def stream():
    found = io.StringIO()
    logs.configure('p', found)
    return found


def lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_only_changes_of_the_permission_are_logged(stream):
    """Guards against a line for each renewal, and a loss without reason."""
    machine = Machine()
    log = _decision_log.DecisionLog('s/g', machine)
    log.observe(1.0)
    machine.reason = None
    log.observe(1.1)
    log.observe(1.2)
    machine.reason = _permission_state.LossReason.GIVEN_UP
    log.observe(1.3)
    gained, lost = lines(stream)
    assert (gained['event'], gained['held']) == (1311, True)
    assert gained['grants'] == [
        {'member': 'b', 'age_ms': 250, 'own': False, 'promised': 0}
    ]
    assert (lost['held'], lost['reason']) == (False, 'given_up')


def test_a_permission_that_ends_with_its_term_names_both_terms(stream):
    machine = Machine()
    machine.reason = None
    log = _decision_log.DecisionLog('s/g', machine)
    log.observe(1.0)
    machine.row = core.GroupRow(2, 'b', frozenset('abc'))
    machine.reason = _permission_state.LossReason.LAPSED
    log.observe(1.1)
    lost = lines(stream)[-1]
    assert (lost['reason'], lost['former_term'], lost['term']) == (
        'new_term',
        1,
        2,
    )


def test_a_position_is_logged_with_its_own_term(stream):
    """Guards against a received position of 0 right after a new term."""
    machine = Machine()
    report = core.EndpointReport(
        False,
        0,
        core.Position(1, 70),
        2,
        2,
        stated_received=core.Position(1, 70),
    )
    machine.changes = [
        _endpoint_history.ReachedAgain('a', 0.5, 3, True),
        _endpoint_history.RoleReported('a', report, report, True),
    ]
    _decision_log.DecisionLog('s/g', machine).observe(1.0)
    again, reported = lines(stream)
    assert (again['event'], again['away_ms']) == (1508, 500)
    assert (reported['event'], reported['received']) == (1507, 0)
    assert reported['stated_received_term'] == 1
    assert reported['stated_received'] == 70

"""What the trace of an answer tells of reads and writes."""

import machines
import pytest

from tidegrade import core
from tidegrade.core.tracing import _basis

Basis = _basis.ReadBasis


@pytest.mark.parametrize(
    ('changes', 'basis'),
    [
        ({'max_age': 2.0}, Basis.OWN_SAMPLE),
        ({'max_age': 2.0, 'floor': core.Position(1, 100)}, Basis.OWN_SAMPLE),
        ({'max_age': 0.0}, Basis.PERMISSION),
        ({'floor': core.Position(1, 90)}, Basis.SESSION),
        ({}, Basis.NONE),
    ],
)
def test_a_read_shows_its_basis(checking, changes, basis):
    """Guards against a stale read whose origin nobody can tell."""
    checking.read(1, **changes)
    trace = checking.answers[1].trace
    assert trace.basis is basis
    assert trace.to_primary == (trace.sent_to == 'a')
    assert trace.reported == core.Position(1, 100)
    assert bool(trace.grants) == (basis is Basis.PERMISSION)


def test_a_position_from_a_peer_is_told_apart(checking):
    """Guards against a peer's date that is taken for one of this proxy."""
    checking.frozen.update(machines.NAMES)
    checking.tick(0.5)
    evidence = core.Evidence(1, (), 130, checking.now)
    checking.tell(core.EvidenceReceived(evidence, checking.now))
    checking.frozen.clear()
    checking.read(1, max_age=0.2)
    assert checking.answers[1].trace.basis is Basis.PEER_SAMPLE


def test_a_position_of_a_former_term_is_told_apart(checking):
    checking.new_term()
    checking.read(1, max_age=2.0)
    trace = checking.answers[1].trace
    assert (trace.basis, trace.after_term) == (Basis.FORMER_TERM, 1)


def test_a_write_shows_its_commit_and_grants(checking):
    """Guards against a lost commit of an unknown term or permission."""
    checking.write(1, None)
    trace = checking.answers[1].trace
    assert checking.answers[1].outcome is core.Outcome.DONE
    assert trace.commit == core.Position(1, 100)
    assert {grant.member for grant in trace.grants} <= set(machines.NAMES)
    assert len(trace.grants) >= 2
    assert all(grant.own for grant in trace.grants)

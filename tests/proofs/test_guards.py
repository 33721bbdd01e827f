"""Removing any guard violates a guarantee, so the proofs can fail."""

import pytest
import tidegrade_fakes as fakes

from tidegrade import config
from tidegrade import core
from tidegrade.core import _confirm
from tidegrade.core import _reads
from tidegrade.core import _row
from tidegrade.core import _state
from tidegrade.core import _writes
from tidegrade.core.permission import _permission

SEEDS = range(100, 130)


def first_violation(**changes: object) -> str:
    """Return the first violation that a run finds, or an empty text."""
    for seed in SEEDS:
        cfg = fakes.RunSettings(seed=seed, seconds=12, **changes)
        try:
            fakes.run(cfg)
        except (fakes.Violation, core.InvariantBroken) as exc:
            return str(exc)
    return ''


@pytest.fixture
def hard_cuts() -> dict[str, object]:
    return {
        'fault_pause': 0.7,
        'faults': frozenset(
            {'freeze', 'cut_domain', 'kill_endpoint', 'cut_endpoint'}
        ),
        'acknowledge': config.Acknowledge.PRIMARY,
    }


def test_without_the_check_on_the_answering_connection(monkeypatch):
    monkeypatch.setattr(_reads.ReadPath, '_satisfies', lambda *_: True)
    assert ' and read ' in first_violation()


def test_without_the_permission_to_acknowledge(monkeypatch, hard_cuts):
    monkeypatch.setattr(_state.GroupState, 'may_acknowledge', lambda *_: True)
    # Faults are 1 s apart: at 0.7 s a majority seldom answers for long
    # enough for a change of primary to begin.
    assert first_violation(**{**hard_cuts, 'fault_pause': 1.0})


def test_without_waiting_for_silent_holders(monkeypatch, hard_cuts):
    monkeypatch.setattr(_permission, 'PERMISSION_WAIT', 0.0)
    assert 'acknowledged after' in first_violation(**hard_cuts)


def test_without_the_record_of_the_key(monkeypatch):
    monkeypatch.setattr(
        _writes.WritePath,
        '_start_job',
        lambda _, pending: core.StartJob(pending.req.statements),
    )
    assert ' times' in first_violation()


def test_without_confirmation_by_a_majority(monkeypatch):
    monkeypatch.setattr(_confirm.Confirmations, 'held_lsn', lambda _: 2**64)
    assert first_violation()


def test_without_the_forks_of_past_terms(monkeypatch, hard_cuts):
    real = _row.floor_lsn

    def forgetful(row, floor, restart=False):
        return real(core.GroupRow(9**9, 'a', frozenset()), floor)

    monkeypatch.setattr(_row, 'floor_lsn', forgetful)
    assert ' and read ' in first_violation(**hard_cuts)


def test_saying_not_run_of_a_lost_commit(monkeypatch, hard_cuts):
    def careless(self, pending, code, detail=''):
        pending.commit_sent = False
        self.refuse(pending, code, detail)

    monkeypatch.setattr(
        'tidegrade.core._registry.Registry.answer_unknown', careless
    )
    assert 'refused as not run' in first_violation(**hard_cuts)

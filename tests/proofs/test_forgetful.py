"""Randomised histories before endpoints that forget their promises."""

import pytest
import tidegrade_fakes as fakes

from tidegrade import config
from tidegrade import core
from tidegrade.core import _permission
from tidegrade.core import _state


def settings(seed: int, **changes) -> fakes.RunSettings:
    return fakes.RunSettings(
        seed=seed,
        seconds=changes.pop('seconds', 12),
        forgetful=True,
        acknowledge=config.Acknowledge.PRIMARY,
        **changes,
    )


@pytest.mark.parametrize('seed', range(200, 208))
def test_no_superseded_primary_acknowledges(seed):
    report = fakes.run(settings(seed, fault_pause=1.0))
    assert report.acknowledged and report.reads


@pytest.mark.parametrize(
    'seed', [209, 216, 219, 222, 228, 229, 232, 239, 240, 257]
)
def test_no_promotion_bears_a_lower_number_than_one_before(seed):
    """Calls to the platform that open late came after a successor's.

    What happens: a supervisor looks at the endpoint and then calls the
    platform; until that call leaves, another takes its attempt over and
    promotes first. Why: nothing bounded the time between the two.
    """
    run = fakes.Run(settings(seed, fault_pause=1.0))
    run.world.slow_openings = 0.7
    assert run.report().terms


def breaks(seeds: range) -> str:
    """Give the first promise found broken as the primary's side is cut."""
    for seed in seeds:
        run = fakes.Run(settings(seed, fault_pause=1e9))
        run.world.at(3.0, run.cut_primary_domain)
        try:
            run.report()
        except (fakes.Violation, core.InvariantBroken) as exc:
            return str(exc)
    return ''


def test_a_primary_that_is_cut_off_with_its_side():
    assert not breaks(range(300, 304))


def test_without_the_permission_to_acknowledge(monkeypatch):
    monkeypatch.setattr(_state.GroupState, 'may_acknowledge', lambda *_: True)
    assert 'acknowledged after' in breaks(range(300, 304))


#: A permission that outlasts every change of the primary, in seconds.
LONG = 3.0


def test_a_long_permission_is_waited_out(monkeypatch):
    monkeypatch.setattr(_permission, 'PERMISSION_LENGTH', LONG)
    monkeypatch.setattr(_permission, 'PERMISSION_WAIT', LONG * 1.11)
    assert not breaks(range(300, 304))


@pytest.mark.parametrize('seed', range(300, 304))
def test_without_waiting_for_silent_holders(monkeypatch, seed):
    """The guard matters in each run, not just where a race shows it."""
    monkeypatch.setattr(_permission, 'PERMISSION_LENGTH', LONG)
    monkeypatch.setattr(_permission, 'PERMISSION_WAIT', 0.0)
    assert 'acknowledged after' in breaks(range(seed, seed + 1))

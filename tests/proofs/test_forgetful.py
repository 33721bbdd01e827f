"""Randomised histories with endpoints that lose their promises."""

import pytest
import tidegrade_fakes as fakes

from tidegrade import config
from tidegrade import core
from tidegrade.core import _state
from tidegrade.core.permission import _permission


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
    """A delayed promotion call arrives after that of a later supervisor.

    A supervisor checks the endpoint and then calls the platform. Before
    that call is sent, another supervisor takes over the attempt and
    promotes first. This fails if the time between check and call is
    unbounded.
    """
    run = fakes.Run(settings(seed, fault_pause=1.0))
    run.world.slow_openings = 0.7
    assert run.report().terms


def first_violation(seeds: range) -> str:
    """Return the first violation when the primary's domain is cut off.

    The text is empty if no run finds a violation.
    """
    for seed in seeds:
        run = fakes.Run(settings(seed, fault_pause=1e9))
        run.world.at(3.0, run.cut_primary_domain)
        try:
            run.report()
        except (fakes.Violation, core.InvariantBroken) as exc:
            return str(exc)
    return ''


def test_a_primary_that_is_cut_off_with_its_side():
    assert not first_violation(range(300, 304))


def test_without_the_permission_to_acknowledge(monkeypatch):
    monkeypatch.setattr(_state.GroupState, 'may_acknowledge', lambda *_: True)
    assert 'acknowledged after' in first_violation(range(300, 304))


#: Length of a permission that outlasts every change of primary, in seconds.
LONG_PERMISSION_S = 3.0


def test_a_long_permission_is_waited_out(monkeypatch):
    monkeypatch.setattr(_permission, 'PERMISSION_LENGTH', LONG_PERMISSION_S)
    monkeypatch.setattr(
        _permission, 'PERMISSION_WAIT', LONG_PERMISSION_S * 1.11
    )
    assert not first_violation(range(300, 304))


@pytest.mark.parametrize('seed', range(300, 304))
def test_without_waiting_for_silent_holders(monkeypatch, seed):
    """Each run fails without the guard, not only one with a race."""
    monkeypatch.setattr(_permission, 'PERMISSION_LENGTH', LONG_PERMISSION_S)
    monkeypatch.setattr(_permission, 'PERMISSION_WAIT', 0.0)
    assert 'acknowledged after' in first_violation(range(seed, seed + 1))

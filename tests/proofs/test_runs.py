"""Randomised histories of the core under failures, reproducible by seed.

``make soak`` runs many more of them.
"""

import pytest
import tidegrade_fakes as fakes

from tidegrade import config

HARD_CUTS = frozenset(
    {'freeze', 'cut_domain', 'kill_endpoint', 'cut_endpoint'}
)


@pytest.mark.parametrize('seed', range(6))
def test_every_promise_holds_under_any_mixture_of_failures(seed):
    report = fakes.run(fakes.RunSettings(seed=seed, seconds=15))
    assert report.acknowledged and report.reads


@pytest.mark.parametrize('seed', range(100, 104))
def test_promises_hold_with_failures_twice_as_dense(seed):
    cfg = fakes.RunSettings(seed=seed, seconds=10, fault_pause=0.6)
    assert fakes.run(cfg).acknowledged


@pytest.mark.parametrize('seed', range(100, 104))
def test_primary_alone_acknowledges_only_in_its_own_term(seed):
    cfg = fakes.RunSettings(
        seed=seed,
        seconds=10,
        fault_pause=0.7,
        faults=HARD_CUTS,
        acknowledge=config.Acknowledge.PRIMARY,
    )
    assert fakes.run(cfg).acknowledged


def test_a_seed_gives_the_same_history_every_time():
    cfg = fakes.RunSettings(seed=7, seconds=4)
    assert fakes.run(cfg) == fakes.run(cfg)

"""Short soak runs for CI; many more seeds are run by hand."""

import pytest
import tidegrade_soak as soak

#: Seed for CI, whose faults affect proxies, instances, links and the store.
CI_SEED = 101
CI_DURATION_S = 8.0


def test_a_short_run_violates_nothing(tmp_path):
    cfg = soak.SoakSettings(CI_SEED, CI_DURATION_S, tmp_path)
    report = soak.run(cfg)
    assert report.problems == ()
    assert report.served > 0 and report.faults > 0


def test_a_short_run_with_tenants_violates_nothing(tmp_path):
    cfg = soak.SoakSettings(CI_SEED, CI_DURATION_S, tmp_path, tenants=True)
    report = soak.run(cfg)
    assert report.problems == ()
    assert report.served > 0 and report.faults > 0


CI_REGRESSIONS = [case for case in soak.REGRESSIONS if case.in_ci]


@pytest.mark.parametrize(
    'case', CI_REGRESSIONS, ids=lambda case: str(case.seed)
)
def test_seeds_that_once_failed_violate_nothing(case, tmp_path):
    """Seed 215 failed under load for two reasons.

    A superseded supervisor's fence demoted the next primary to a replica that
    still answered each poll, which left the group without a primary
    (`tests/core/test_deposed.py`). SIGHUP ended a starting proxy, because the
    proxy ignored the signal only after loading two modules
    (`tests/platform/test_start.py`).
    """
    cfg = soak.SoakSettings(
        case.seed, case.seconds, tmp_path, tenants=case.tenants
    )
    report = soak.run(cfg)
    assert report.problems == ()

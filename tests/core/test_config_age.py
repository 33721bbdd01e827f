"""The age of a configuration, and when a proxy reads it itself."""

import pytest

from tidegrade import core
from tidegrade.core import _config_age

WITHIN = 5.0
EARLY = _config_age.EARLY_READ_PART * WITHIN
LATE = _config_age.LATE_READ_PART * WITHIN


@pytest.fixture
def age() -> core.ConfigAge:
    """A ConfigAge whose version 3 was confirmed as newest at 100 s."""
    made = core.ConfigAge(WITHIN)
    made.adopted(3)
    made.told(3, 100.0, 100.0)
    return made


def test_what_is_shown_by_others_counts(age):
    age.told(3, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(1.0)


def test_what_an_older_version_shows_does_not_count(age):
    """A proxy with an older version has not heard of version 3 yet."""
    age.told(2, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(4.0)


def test_a_newer_version_counts_once_it_is_in_force(age):
    age.told(4, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(4.0)
    age.adopted(4)
    assert age.age(104.0) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ('early', 'part'), ((True, EARLY), (False, LATE)), ids=('early', 'late')
)
def test_who_is_shown_nothing_reads(age, early, part):
    assert not age.must_read(early, 100.0 + part - 0.01)
    assert age.must_read(early, 100.0 + part + 0.01)


def test_who_lacks_a_newer_version_reads_sooner(age):
    age.told(4, 101.0, 101.0)
    soon = 101.0 + _config_age.PENDING_READ_PART * WITHIN
    assert not age.must_read(False, soon - 0.01)
    assert age.must_read(False, soon + 0.01)


def test_readings_in_vain_become_rarer(age):
    """An unresponsive platform is not asked four times a second."""
    times = [
        step / 4 for step in range(240) if age.must_read(True, 110 + step / 4)
    ]
    assert len(times) <= 60 / _config_age.MAX_READ_BACKOFF_S + 4
    age.told(3, 171.0, 171.0)
    assert age.must_read(True, 171.0 + EARLY + 0.01)


def test_who_has_no_configuration_reads_one_in_any_case():
    assert not core.ConfigAge(WITHIN).must_read(True, 1e6)


def test_versions_that_never_come_take_no_room(age):
    for version in range(4, 10_000):
        age.told(version, 101.0, 101.0)
    assert len(age._pending) <= _config_age.MAX_PENDING
    age.adopted(9999)
    assert age.age(101.0) == 0


def test_versions_in_quick_succession_make_nobody_read(age):
    """Each version arrives in time, but a newer one is always pending."""
    for step in range(200):
        now = 101.0 + 0.1 * step
        age.told(4 + step, now, now)
        age.adopted(max(3, step))
        assert not age.must_read(True, now)

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
    made.note_newest(3, 100.0, 100.0)
    return made


def test_confirmations_from_peers_lower_the_age(age):
    age.note_newest(3, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(1.0)


def test_confirmations_of_an_older_version_do_not_count(age):
    """A proxy with an older version does not know of version 3 yet."""
    age.note_newest(2, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(4.0)


def test_confirmations_of_a_newer_version_count_once_in_force(age):
    age.note_newest(4, 103.0, 104.0)
    assert age.age(104.0) == pytest.approx(4.0)
    age.adopted(4)
    assert age.age(104.0) == pytest.approx(1.0)


@pytest.mark.parametrize(
    ('early', 'part'), ((True, EARLY), (False, LATE)), ids=('early', 'late')
)
def test_a_proxy_without_confirmations_reads(age, early, part):
    assert not age.should_read(early, 100.0 + part - 0.01)
    assert age.should_read(early, 100.0 + part + 0.01)


def test_a_proxy_that_lacks_a_newer_version_reads_sooner(age):
    age.note_newest(4, 101.0, 101.0)
    soon = 101.0 + _config_age.PENDING_READ_PART * WITHIN
    assert not age.should_read(False, soon - 0.01)
    assert age.should_read(False, soon + 0.01)


def test_unsuccessful_readings_back_off(age):
    """An unresponsive platform is not asked four times a second."""
    times = [
        step / 4
        for step in range(240)
        if age.should_read(True, 110 + step / 4)
    ]
    assert len(times) <= 60 / _config_age.MAX_READ_BACKOFF_S + 4
    age.note_newest(3, 171.0, 171.0)
    assert age.should_read(True, 171.0 + EARLY + 0.01)


def test_without_a_configuration_no_reading_is_requested():
    assert not core.ConfigAge(WITHIN).should_read(True, 1e6)


def test_versions_that_never_arrive_use_bounded_memory(age):
    for version in range(4, 10_000):
        age.note_newest(version, 101.0, 101.0)
    assert len(age._pending) <= _config_age.MAX_PENDING
    age.adopted(9999)
    assert age.age(101.0) == 0


def test_versions_in_quick_succession_cause_no_reading(age):
    """Each version arrives in time, but a newer one is always pending."""
    for step in range(200):
        now = 101.0 + 0.1 * step
        age.note_newest(4 + step, now, now)
        age.adopted(max(3, step))
        assert not age.should_read(True, now)

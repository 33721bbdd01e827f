"""A failure domain that is isolated from the others."""

from tidegrade import core

#: Interval between two observations, in seconds.
OBSERVE_INTERVAL_S = 0.1


def observe_for_six_seconds(
    isolation: core.Isolation, received_at: float, permitted_until: float
) -> dict[str, list[float]]:
    """Observe for six seconds; return the times at which each verdict held."""
    held_at: dict[str, list[float]] = {'cut': [], 'refused': [], 'all': []}
    for step in range(60):
        now = step * OBSERVE_INTERVAL_S
        isolation.observe(received_at, now < permitted_until, now)
        if isolation.cut_off:
            held_at['cut'].append(now)
        if isolation.should_close_refused(now):
            held_at['refused'].append(now)
        if isolation.should_close_idle(now):
            held_at['all'].append(now)
    return held_at


def test_isolation_is_detected_within_two_heartbeats():
    """A slow detection keeps callers on proxies that refuse them.

    Detection at 0.9 s kept callers until 3.1 s.
    """
    held_at = observe_for_six_seconds(
        core.Isolation(), received_at=0.0, permitted_until=0.9
    )
    assert held_at['cut'][0] <= 0.75
    assert held_at['refused'][0] <= 1.8
    assert held_at['all'][0] <= 3.0


def test_a_domain_serves_when_the_other_proxies_have_failed():
    """A permission outlasts the time limit only if a majority is reachable."""
    held_at = observe_for_six_seconds(
        core.Isolation(), received_at=0.0, permitted_until=9.0
    )
    assert len(held_at['cut']) * OBSERVE_INTERVAL_S < 0.6
    assert not held_at['refused']
    assert not held_at['all']


def test_heartbeats_through_relays_do_not_count_as_isolation():
    """Heartbeats through relays are up to a second old.

    With 71 proxies, connected domains counted as isolated a hundred times.
    """
    isolation = core.Isolation()
    cut_off = 0
    for step in range(200):
        now = step * OBSERVE_INTERVAL_S
        received_at = now - 0.3 - (step % 7) * OBSERVE_INTERVAL_S
        isolation.observe(received_at, False, now)
        cut_off += isolation.cut_off
    assert cut_off <= 4


def test_isolation_is_detected_behind_relays():
    isolation = core.Isolation()
    for step in range(100):
        now = step * OBSERVE_INTERVAL_S
        isolation.observe(
            now - 0.3 - (step % 7) * OBSERVE_INTERVAL_S, False, now
        )
    received_at = now - 0.3
    for _ in range(30):
        now += OBSERVE_INTERVAL_S
        if isolation.observe(received_at, False, now):
            break
    assert now - received_at <= 1.8


def test_a_domain_with_recent_heartbeats_is_connected():
    isolation = core.Isolation()
    assert not isolation.observe(10.0, False, 10.5)
    assert not isolation.observe(None, False, 99.0)
    assert isolation.observe(10.0, False, 11.0)
    assert isolation.observe(10.9, False, 11.2)
    assert not isolation.cut_off

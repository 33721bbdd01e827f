"""Changes of endpoints that the log shows."""

import attrs

from tidegrade import core
from tidegrade.core.tracing import _endpoint_history

LEADS = core.EndpointReport(False, 9, 9, 1, 1)
FOLLOWS = core.EndpointReport(True, 9, 9, 2, 0)


def test_only_another_role_or_term_is_a_change():
    """Guards against a line for each poll, and for a poll answered late."""
    history = _endpoint_history.EndpointHistory()
    history.reported('a', LEADS, 1.0)
    history.reported('a', attrs.evolve(LEADS, lsn=20), 2.0)
    assert history.take() == []
    history.reported('a', FOLLOWS, 3.0)
    history.reported('a', LEADS, 2.5)
    (change,) = history.take()
    assert (change.report, change.former.lsn) == (FOLLOWS, 20)
    assert history.take() == []


def test_a_lost_endpoint_is_reached_again_and_reports_anew():
    """Guards against a restart that no line shows, as role and term stay.

    A connection that this proxy closed by itself is none.
    """
    history = _endpoint_history.EndpointHistory()
    history.reported('a', LEADS, 1.0)
    history.closed('a', 0, 1.5)
    history.opened('a', 0, False, 2.0)
    assert history.take() == []
    history.broke('a')
    history.closed('a', 1, 3.0)
    history.closed('a', 0, 3.1)
    history.opened('a', 4, True, 4.1)
    history.reported('a', LEADS, 4.2)
    again, reported = history.take()
    assert (round(again.away, 3), again.refused) == (1.0, True)
    assert reported.reconnected

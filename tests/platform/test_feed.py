"""How soon a feed that has gone silent is given up."""

import pytest
from tidegrade_platform import _directory
from tidegrade_platform import _store

#: In which an accepted configuration must be in force, in seconds: the
#: least of the platform's, and those of deployments with more proxies.
BOUNDS = (3.0, 5.0, 6.0)
#: From the first proxy that has it to the last, and the read itself, in
#: seconds; 0.7 s was the longest on a day with a silent feed.
SPREAD = 0.8


@pytest.mark.parametrize('within', BOUNDS)
def test_a_silent_feed_leaves_time_for_the_configuration(within):
    """Found by a hunt, CONFIG: the feeds of all three watchers were silent.

    They were given up 6 s after they had begun; the change was in force
    4 s after its acceptance.
    """
    noticed = _directory.feed_wait(within) + _store.FEED_MARGIN
    assert noticed + _directory.RETRY_PAUSE + SPREAD < within

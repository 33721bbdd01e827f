"""Fixtures for the tests of the decision core."""

import machines
import pytest

from tidegrade import core


@pytest.fixture
def machine() -> machines.Machine:
    return machines.Machine()


#: Traits of endpoints that check positions and count terms themselves.
CHECKING = core.Traits(
    checks_position=True,
    positions_restart=True,
    fence_stops_replication=True,
    promotion_clears_promises=True,
    status_is_costly=True,
    begin_waits=True,
)


@pytest.fixture
def checking() -> machines.Machine:
    """Return a machine whose endpoints check positions and count terms."""
    return machines.Machine(CHECKING)


@pytest.fixture
def spread() -> machines.Machine:
    """Return such a machine whose endpoints are in different domains.

    Only replica ``c`` is in the domain of the proxy.
    """
    return machines.Machine(
        CHECKING, {'a': 'y', 'b': 'z', 'c': 'x'}, max_connections=8
    )

"""Fixtures of the core's tests."""

import machines
import pytest


@pytest.fixture
def machine() -> machines.Machine:
    return machines.Machine()

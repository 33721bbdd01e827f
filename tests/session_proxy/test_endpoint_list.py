"""The list of endpoints, as several watchers tell of it."""

import pytest

from tidegrade.codec import _structure
from tidegrade.peers import _messages as messages
from tidegrade import ports
from tidegrade.session_proxy import _endpoint_list

ENTRY = ports.EndpointEntry('i1', 'g', '10.0.0.1', 80, 'x', 3, False, True)


@pytest.fixture
def learned() -> list:
    return []


@pytest.fixture
def task(learned) -> _endpoint_list.EndpointListTask:
    return _endpoint_list.EndpointListTask(
        None, None, None, learned.append, lambda: False
    )


def test_the_same_list_is_taken_in_once(task, learned):
    """Each watcher tells of a change at a version of its own."""
    raw = _structure.to_json((ENTRY,))
    for version in (7, 8, 9):
        task.heard(messages.EndpointNews(version, raw))
    assert learned == [(ENTRY,)]
    assert task.answer(messages.AskEndpoints(8)).version == 9

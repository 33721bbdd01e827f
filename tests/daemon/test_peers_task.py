"""The order in which a proxy sends a request to its peers."""

import random

import attrs
import pytest

from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade.daemon import _peers_task
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages

pytestmark = pytest.mark.anyio

ASK = messages.AskConfig(core.ConfigRef(2, ''))


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Clock:
    """A clock that stands still."""

    def now(self) -> float:
        return 100.0


@attrs.define
class Links:
    """Answers each request with the host that it was sent to."""

    def post(self, address: _links.Address, body: messages.PeerBody) -> bool:
        return True

    async def fetch(self, address, body, silence) -> _links.AskResult:
        ref = core.ConfigRef(2, address.host)
        return _links.AskResult(True, messages.ConfigContent(ref, b''))


@pytest.fixture
def peers(monkeypatch) -> _peers_task.PeersTask:
    monkeypatch.setattr(_links, 'Links', lambda key, own: Links())
    cfg = _deps.PeerSettings('h0', 1, '00' * 32)
    deps = _deps.Deps('p0', 'a', cfg, Clock(), None, None, random.Random(1))

    async def ignore(body: messages.PeerBody) -> None:
        return None

    return _peers_task.PeersTask(deps, ignore)


async def test_the_peer_with_the_newest_configuration_is_asked_first(peers):
    """Guards against two proxies that lack it and ask each other for ever."""
    for number, version in enumerate((0, 2, 1), start=1):
        peers.receive_heartbeat(
            messages.Heartbeat(
                f'p{number}', 'a', f'h{number}', 1, version, False
            )
        )
    answer = await peers.ask_any(ASK)
    assert answer.ref.sha256 == 'h2'

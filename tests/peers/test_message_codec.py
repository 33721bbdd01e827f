"""Messages between proxies, to bytes and back."""

import attrs
import pytest

from tidegrade import core
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

BEAT = messages.Heartbeat(
    'p', 'a', '127.0.0.1', 1, 1, False, store_generation=3
)


def test_a_heartbeat_tells_the_generation():
    sent = codec.encode(messages.PeerMessage(BEAT))
    assert codec.decode(sent).body == BEAT


def test_a_later_generation_is_news():
    """Relays pass on what has changed only."""
    later = attrs.evolve(BEAT, store_generation=4)
    assert later.revision() != BEAT.revision()


@pytest.mark.parametrize(
    'body',
    [
        messages.AskQuota('acme', 40.0, 20.0, 7, 0.05, 'a'),
        messages.QuotaGrant(core.Grant(True, 0.25, 0.5, 1234.5)),
        messages.QuotaBack('acme', 1234.5),
    ],
)
def test_messages_on_quotas_arrive_as_sent(body):
    sent = codec.encode(messages.PeerMessage(body))
    assert codec.decode(sent).body == body

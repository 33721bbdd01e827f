"""Encoding and decoding of messages between proxies."""

import attrs
import pytest

from tidegrade import core
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

BEAT = messages.Heartbeat(
    'p', 'a', '127.0.0.1', 1, 1, False, store_generation=3
)


def test_a_heartbeat_carries_the_store_generation():
    sent = codec.encode(messages.PeerMessage(BEAT))
    assert codec.decode(sent).body == BEAT


def test_a_later_generation_changes_the_revision():
    """Relays forward only heartbeats whose revision has changed."""
    later = attrs.evolve(BEAT, store_generation=4)
    assert later.revision() != BEAT.revision()


@pytest.mark.parametrize(
    'body',
    [
        messages.AskQuota('acme', 40.0, 20.0, 7, 0.05, 'a', 2),
        messages.QuotaGrant(core.Grant(True, 0.25, 0.5, 1234.5)),
        messages.QuotaGrant(core.Grant(False, 0.25, 0.5, reserved=True)),
        messages.QuotaBack('acme', 1234.5),
        messages.QuotaHandover(core.Handover('acme', -1.5, 'vm-1.r')),
    ],
)
def test_quota_messages_round_trip(body):
    sent = codec.encode(messages.PeerMessage(body))
    assert codec.decode(sent).body == body

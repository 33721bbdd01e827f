"""Compression of documents sent between proxies."""

import zlib

import pytest

from tidegrade import core
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade.peers import _packing


def test_a_document_round_trips():
    content = messages.ConfigContent(core.ConfigRef(3, ''), b'{"a": 1}' * 999)
    raw = codec.encode(messages.PeerMessage(content, 1))
    assert len(raw) < 300
    assert codec.decode(raw).body == content


@pytest.mark.parametrize(
    'packed',
    (
        b'no packed document',
        _packing.pack(b'cut short' * 99)[:-5],
        zlib.compress(bytes(_packing.MAX_DOCUMENT + 1)),
    ),
    ids=('other bytes', 'cut short', 'too large'),
)
def test_invalid_packed_documents_are_refused(packed):
    with pytest.raises(_packing.NotPacked):
        _packing.unpack(packed)

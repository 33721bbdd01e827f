"""The bounded queue of messages to be sent on one connection."""

import asyncio
import collections

import anyio

from tidegrade.peers import _frames
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

#: Most messages that wait to be sent.
MAX_QUEUED_MESSAGES = 256
#: Once this many bytes are encoded, they are written before further messages
#: are taken from the queue, so that a slow peer can't use unbounded memory.
MAX_WRITE = 65_536


class Outbox:
    """Messages that wait to be sent, in order.

    One task sends them; messages that are queued by then share one write.
    """

    def __init__(self) -> None:
        self._queued: collections.deque[messages.PeerMessage] = (
            collections.deque()
        )
        self._filled: asyncio.Future[None] | None = None
        self._has_room: anyio.Event | None = None

    def put_nowait(self, message: messages.PeerMessage) -> bool:
        """Queue a message; return False if the queue is full."""
        if len(self._queued) >= MAX_QUEUED_MESSAGES:
            return False
        self._queued.append(message)
        if self._filled is not None and not self._filled.done():
            self._filled.set_result(None)
        return True

    async def put(self, message: messages.PeerMessage) -> None:
        """Queue a message, after a wait while the queue is full."""
        while not self.put_nowait(message):
            if self._has_room is None:
                self._has_room = anyio.Event()
            await self._has_room.wait()

    def clear(self) -> None:
        """Drop all queued messages."""
        self._queued.clear()

    async def send_all(self, frames: _frames.FrameStream) -> None:
        """Send messages as they are queued, until the connection fails."""
        while True:
            if not self._queued:
                self._filled = asyncio.get_running_loop().create_future()
                await self._filled
            await frames.send(self._take())

    def _take(self) -> list[bytes]:
        """Remove the messages of the next write, and encode them."""
        taken = []
        size = 0
        while self._queued and size < MAX_WRITE:
            raw = codec.encode(self._queued.popleft())
            size += len(raw)
            taken.append(raw)
        if self._has_room is not None:
            self._has_room.set()
            self._has_room = None
        return taken

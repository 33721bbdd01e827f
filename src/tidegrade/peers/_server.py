"""Incoming connections from other proxies, and the answers on them."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio
import anyio.abc

from tidegrade import logs
from tidegrade import net
from tidegrade.peers import _frames
from tidegrade.peers import _links
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

#: Time that another proxy may take to agree on keys, in seconds.
OPEN_TIMEOUT = 1.0
#: Connections that other proxies may hold to this one.
MAX_INCOMING = 10_000

#: Takes a peer's message and gives the answer, if it wants one.
Handler = Callable[[messages.PeerBody], Awaitable[messages.PeerBody | None]]


class PeerServer:
    """Takes the connections of other proxies."""

    def __init__(
        self, address: _links.Address, key: bytes, handler: Handler
    ) -> None:
        self._address = address
        self._key = key
        self._handler = handler
        self._limit = anyio.CapacityLimiter(MAX_INCOMING)

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.host, local_port=self._address.port
        )
        task_status.started()
        await listener.serve(self._peer)

    async def _peer(self, stream: anyio.abc.SocketStream) -> None:
        async with stream, self._limit:
            try:
                net.enable_keepalive(stream)
                with anyio.fail_after(OPEN_TIMEOUT):
                    frames = await _frames.open_frames(
                        stream, self._key, connects=False
                    )
            except (*_links.GONE, TimeoutError):
                return
            await self._converse(frames)

    async def _converse(self, frames: _frames.FrameStream) -> None:
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    message = codec.decode(await frames.receive())
                    if isinstance(message.body, messages.Probe):
                        probed = messages.Probed()
                        await self._reply(frames, probed, message.number)
                    elif message.number:
                        tasks.start_soon(self._answer, frames, message)
                    else:
                        await self._handler(message.body)
            except _links.GONE:
                pass
            except (_frames.NotAPeer, codec.Malformed) as exc:
                # Caught inside the task group, which would wrap it.
                logs.write(logs.LogEvent.PEER_REFUSED, reason=str(exc))
            tasks.cancel_scope.cancel()

    async def _answer(
        self, frames: _frames.FrameStream, message: messages.PeerMessage
    ) -> None:
        body = await self._handler(message.body)
        if body is not None:
            await self._reply(frames, body, message.number)

    async def _reply(
        self,
        frames: _frames.FrameStream,
        body: messages.PeerBody,
        number: int,
    ) -> None:
        with contextlib.suppress(*_links.GONE):
            await frames.send(codec.encode(messages.PeerMessage(body, number)))

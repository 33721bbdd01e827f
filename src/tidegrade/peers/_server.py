"""Incoming connections from other proxies, and the answers sent on them."""

import asyncio
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
from tidegrade.peers import _outbox

#: Time limit for the exchange of keys on a new connection, in seconds.
HANDSHAKE_TIMEOUT_S = 1.0
#: Incoming connections served at once; more wait to be served.
MAX_INCOMING = 10_000
#: Idle tasks kept for each connection, for the answers that must be awaited.
MAX_IDLE_WORKERS = 4

#: The answer to a message, None without one, or an awaitable for either.
Reply = messages.PeerBody | None | Awaitable[messages.PeerBody | None]
#: Handles a message of a peer.
Handler = Callable[[messages.PeerBody], Reply]
#: An answer to be awaited, and the number of its request.
_Job = tuple[Awaitable[messages.PeerBody | None], int]


class PeerServer:
    """Accepts connections of other proxies and passes on their messages.

    A message with a number is a request. The handler returns the answer, or
    an awaitable for it; that is awaited in a task of its own, so that a slow
    answer does not delay others.
    """

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
        await listener.serve(self._accept)

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        async with stream, self._limit:
            try:
                net.enable_keepalive(stream)
                with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                    frames = await _frames.open_frames(
                        stream, self._key, connects=False
                    )
            except (*_links.CONNECTION_ERRORS, TimeoutError):
                return
            await self._serve_connection(frames)

    async def _serve_connection(self, frames: _frames.FrameStream) -> None:
        outbox = _outbox.Outbox()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write, outbox, frames, tasks.cancel_scope)
            workers = _Workers(tasks, outbox)
            while True:
                message = await self._receive(frames)
                if message is None:
                    break
                if isinstance(message.body, messages.Probe):
                    reply: Reply = messages.Probed()
                else:
                    reply = self._handler(message.body)
                if isinstance(reply, Awaitable):
                    workers.start(reply, message.number)
                else:
                    await _answer(outbox, reply, message.number)
            tasks.cancel_scope.cancel()

    async def _receive(
        self, frames: _frames.FrameStream
    ) -> messages.PeerMessage | None:
        """Return the next message; None at the end of the connection."""
        try:
            return codec.decode(await frames.receive())
        except _links.CONNECTION_ERRORS:
            return None
        except (_frames.FrameError, codec.Malformed) as exc:
            logs.write(logs.LogEvent.PEER_REFUSED, reason=str(exc))
            return None

    async def _write(
        self,
        outbox: _outbox.Outbox,
        frames: _frames.FrameStream,
        scope: anyio.CancelScope,
    ) -> None:
        with contextlib.suppress(*_links.CONNECTION_ERRORS):
            await outbox.send_all(frames)
        scope.cancel()


class _Workers:
    """Tasks that await the answers of one connection.

    Starting a task of anyio takes 100,000 instructions, a tenth of forwarding
    a request; so a few idle tasks are kept for further answers. They start in
    the order of the requests, as new tasks do.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, outbox: _outbox.Outbox
    ) -> None:
        self._tasks = tasks
        self._outbox = outbox
        self._idle: list[asyncio.Future[_Job]] = []

    def start(
        self, reply: Awaitable[messages.PeerBody | None], number: int
    ) -> None:
        """Await an answer and queue it."""
        while self._idle:
            next_job = self._idle.pop()
            # A connection that ends cancels its idle tasks, possibly before
            # the task that reads.
            if not next_job.done():
                next_job.set_result((reply, number))
                return
        self._tasks.start_soon(self._work, (reply, number))

    async def _work(self, job: _Job) -> None:
        while True:
            reply, number = job
            await _answer(self._outbox, await reply, number)
            if len(self._idle) >= MAX_IDLE_WORKERS:
                return
            next_job = asyncio.get_running_loop().create_future()
            self._idle.append(next_job)
            job = await next_job


async def _answer(
    outbox: _outbox.Outbox, body: messages.PeerBody | None, number: int
) -> None:
    """Queue an answer; a message without a number wants none."""
    if body is not None and number:
        await outbox.put(messages.PeerMessage(body, number))

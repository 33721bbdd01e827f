"""A loopback proxy that disturbs the connections that run through it."""

import enum
import random
import socket
import struct

import anyio
import anyio.abc
import attrs

from tidegrade_edge import _listening

#: Bytes passed on at once.
CHUNK = 65536
#: The same where the rate is bounded: a few packets.
PIECE = 8192

_GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Direction(enum.Enum):
    """Which way bytes run, seen from the side that connected."""

    OUT = 'out'
    BACK = 'back'


@attrs.define(eq=False)
class Pipe:
    """One connection through the relay.

    ``deaf`` are the directions in which bytes vanish from now on.
    """

    near: anyio.abc.SocketStream
    far: anyio.abc.SocketStream
    deaf: set[Direction] = attrs.field(factory=set)

    def reset(self) -> None:
        """Break the connection for both sides, without an orderly end."""
        for stream in (self.near, self.far):
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.shutdown(socket.SHUT_RDWR)


class Relay:
    """Passes connections on to one port; faults concern open ones.

    ``delay`` holds back every chunk, in seconds. ``rate`` bounds what all
    connections together bring back, in bytes a second; 0 is no bound. While
    ``refusing``, new connections are closed at once; those that are open go
    on.
    """

    def __init__(self, target: int, rate: float = 0.0) -> None:
        self._target = target
        self._rate = rate
        self._busy = anyio.Lock()
        self._pipes: set[Pipe] = set()
        self.port = 0
        self.delay = 0.0
        self.refusing = False

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=self.port
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await _listening.serve_until_cancelled(listener, self._handle)

    def silence(
        self,
        share: float = 1.0,
        rng: random.Random | None = None,
        ways: frozenset[Direction] = frozenset(Direction),
    ) -> int:
        """Let open connections go silent for good; new ones work."""
        chosen = self._choose(share, rng)
        for pipe in chosen:
            pipe.deaf |= ways
        return len(chosen)

    def reset(
        self, share: float = 1.0, rng: random.Random | None = None
    ) -> int:
        """Break open connections."""
        chosen = self._choose(share, rng)
        for pipe in chosen:
            try:
                pipe.reset()
            except OSError:
                # It has just ended by itself.
                continue
        return len(chosen)

    def _choose(self, share: float, rng: random.Random | None) -> list[Pipe]:
        if rng is None or share >= 1:
            return list(self._pipes)
        return [pipe for pipe in self._pipes if rng.random() < share]

    async def _handle(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            if self.refusing:
                return
            try:
                far = await anyio.connect_tcp('127.0.0.1', self._target)
            except OSError:
                return
            pipe = Pipe(near, far)
            self._pipes.add(pipe)
            try:
                async with far, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, pipe, Direction.BACK, tasks)
                    await self._pump(pipe, Direction.OUT, tasks)
            finally:
                self._pipes.discard(pipe)

    def _most(self, way: Direction) -> int:
        """Give how many bytes may be passed on at once.

        Small pieces, where the rate is bounded, let connections take turns.
        """
        if way is Direction.OUT or not self._rate:
            return CHUNK
        return PIECE

    async def _carry(self, chunk: bytes, way: Direction) -> None:
        """Take the time that the link needs for a chunk."""
        if way is Direction.OUT or not self._rate:
            return
        async with self._busy:
            await anyio.sleep(len(chunk) / self._rate)

    async def _pump(
        self, pipe: Pipe, way: Direction, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Pass bytes on one way; the end of either way ends both.

        A silent connection stays open until its near side gives it up.
        """
        source, sink = pipe.near, pipe.far
        if way is Direction.BACK:
            source, sink = sink, source
        try:
            while True:
                chunk = await source.receive(self._most(way))
                await self._carry(chunk, way)
                if self.delay:
                    await anyio.sleep(self.delay)
                if way not in pipe.deaf:
                    await sink.send(chunk)
        except _GONE:
            if way is Direction.BACK and pipe.deaf:
                return
            tasks.cancel_scope.cancel()

"""Accepting connections until a task is cancelled."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket

import anyio
import anyio.abc

Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


async def serve_until_cancelled(
    listener: anyio.abc.Listener[anyio.abc.SocketStream], handler: Handler
) -> None:
    """Serve connections until cancelled, then close the listener.

    The task waits for the socket to become readable instead of for an accept.
    An accept that is cancelled while a connection is ready still takes it and
    raises InvalidStateError in the event loop. One that begins while its
    listener is being closed never ends.
    """
    sock: socket.socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
    async with listener, anyio.create_task_group() as tasks:
        while True:
            await anyio.wait_readable(sock)
            # The connection may have been reset since.
            with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                conn, _ = sock.accept()
                tasks.start_soon(_handle, conn, handler)


async def _handle(conn: socket.socket, handler: Handler) -> None:
    """Run ``handler`` on an accepted connection, unless it was reset."""
    try:
        stream = await anyio.abc.SocketStream.from_socket(conn)
    except (OSError, ValueError):
        # A socket that has no peer any more is refused with ValueError.
        conn.close()
        return
    await handler(stream)

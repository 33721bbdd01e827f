"""Listeners that are closed before their accept is cancelled."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import anyio.abc

Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


async def serve_until_cancelled(
    listener: anyio.abc.Listener[anyio.abc.SocketStream], handler: Handler
) -> None:
    """Serve connections until cancelled, then close the listener.

    An accept that is cancelled while a connection is ready still takes it
    and raises InvalidStateError in the event loop. So the accept is shielded
    and ends by the closing of its listener, which first stops the event loop
    from looking at the socket.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_accept, listener, handler, tasks)
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()


async def _accept(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    handler: Handler,
    tasks: anyio.abc.TaskGroup,
) -> None:
    """Start ``handler`` in ``tasks`` for each connection until closed."""
    with anyio.CancelScope(shield=True):
        try:
            await listener.serve(handler, tasks)
        except* anyio.ClosedResourceError:
            pass

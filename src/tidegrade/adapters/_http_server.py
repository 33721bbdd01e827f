"""The HTTP server: uvicorn, with a limit on the time of a request's head."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import typing

from starlette import types
import uvicorn
from uvicorn.protocols.http import httptools_impl


def protocol_with(header_timeout: float) -> type:
    """Give a protocol class that closes connections with slow heads.

    uvicorn limits the time between requests, but not that of a head which
    trickles in; without this, slow clients could hold all connections.
    """

    class TimedHeads(httptools_impl.HttpToolsProtocol):
        """Closes a connection whose request head takes too long."""

        _timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            super().connection_made(typing.cast(asyncio.Transport, transport))
            self._start_timer()

        def on_message_begin(self) -> None:
            self._start_timer()
            super().on_message_begin()

        def on_headers_complete(self) -> None:
            self._stop_timer()
            super().on_headers_complete()

        def connection_lost(self, exc: Exception | None) -> None:
            self._stop_timer()
            super().connection_lost(exc)

        def _start_timer(self) -> None:
            if self._timer is None:
                self._timer = self.loop.call_later(
                    header_timeout, self.transport.close
                )

        def _stop_timer(self) -> None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    return TimedHeads


class CloseWhileDraining:
    """Ends each connection with its answer while the proxy drains.

    A client that sends on a connection just as the server closes it can't
    tell whether it was heard. So a draining server says with each answer
    that the connection ends, and closes only what stayed idle since.
    """

    def __init__(
        self, app: types.ASGIApp, draining: Callable[[], bool]
    ) -> None:
        self._app = app
        self._draining = draining

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Serve one request."""

        async def closing(message: types.Message) -> None:
            if message['type'] == 'http.response.start' and self._draining():
                headers = [*message['headers'], (b'connection', b'close')]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, closing)


class Server(uvicorn.Server):
    """A server that leaves signals to whoever runs it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals alone."""
        yield

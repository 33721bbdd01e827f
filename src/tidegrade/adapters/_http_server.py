"""The HTTP server: uvicorn with a time limit for request headers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import typing

from starlette import types
import uvicorn
from uvicorn.protocols.http import httptools_impl


def protocol_with_header_timeout(header_timeout: float) -> type:
    """Return a protocol class that closes connections with slow headers.

    ``header_timeout`` is in seconds. uvicorn limits the time between
    requests but not the time in which the headers of one arrive; without
    this limit, slow clients could occupy all connections.
    """

    class HeaderTimeoutProtocol(httptools_impl.HttpToolsProtocol):
        """Closes a connection whose request headers take too long."""

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

    return HeaderTimeoutProtocol


class CloseWhileDraining:
    """Middleware that closes connections while the proxy drains.

    A client that sends a request just as the server closes the connection
    cannot know whether the request was received. A draining server therefore
    adds ``Connection: close`` to each response, and closes by itself only
    connections that have been idle since.
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
        """Serve a request; while draining, announce the close."""

        async def send_closing(message: types.Message) -> None:
            if message['type'] == 'http.response.start' and self._draining():
                headers = [*message['headers'], (b'connection', b'close')]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_closing)


class Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to the program that runs the server."""
        yield

"""Ending a connection under the task that reads it."""

import contextlib
import os
import socket
import struct

import anyio.abc

from tidegrade.net import _sockets


#: Linger for no time at all: closing then resets the connection.
_RESET = struct.pack('ii', 1, 0)


def drop_unsent(stream: anyio.abc.SocketStream) -> None:
    """Have the close of a connection drop what has not been delivered.

    Otherwise the kernel goes on sending for as long as the path is cut.
    """
    with contextlib.suppress(OSError):
        sock = _sockets.socket_of(stream)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def shut_down(stream: anyio.abc.SocketStream) -> None:
    """End a connection for both sides; whoever reads it is told.

    The descriptor is duplicated, since the socket that an event loop shows
    of its own need not offer this call (uvloop's doesn't).
    """
    with contextlib.suppress(OSError):
        shown = _sockets.socket_of(stream)
        with socket.socket(fileno=os.dup(shown.fileno())) as sock:
            sock.shutdown(socket.SHUT_RDWR)

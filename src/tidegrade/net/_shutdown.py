"""Functions that end a connection while another task reads it."""

import contextlib
import os
import socket
import struct

import anyio.abc

from tidegrade.net import _sockets


#: SO_LINGER value, enabled with a linger time of 0 s: the close of the socket
#: then resets the connection.
_LINGER_ZERO = struct.pack('ii', 1, 0)


def drop_unsent(stream: anyio.abc.SocketStream) -> None:
    """Make the close of a connection discard data not yet delivered.

    Otherwise the kernel keeps retransmitting the data while the network path
    is cut, and delivers it once the path is restored. Does nothing if the
    connection has already ended.
    """
    with contextlib.suppress(OSError):
        sock = _sockets.socket_of(stream)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def shut_down(stream: anyio.abc.SocketStream) -> None:
    """Shut a connection down in both directions.

    A task that reads from either end receives the end of the stream. Does
    nothing if the connection has already ended.
    """
    _shut(stream, socket.SHUT_RDWR)


def shut_input(stream: anyio.abc.SocketStream) -> None:
    """End the input of a connection; its output stays open.

    A task that reads receives what has arrived, then the end of the stream.
    Does nothing if the connection has already ended.
    """
    _shut(stream, socket.SHUT_RD)


def _shut(stream: anyio.abc.SocketStream, how: int) -> None:
    """Shut down a socket.

    The descriptor is duplicated because the socket object of an event loop
    may lack ``shutdown``, as uvloop's does.
    """
    with contextlib.suppress(OSError):
        loop_sock = _sockets.socket_of(stream)
        with socket.socket(fileno=os.dup(loop_sock.fileno())) as sock:
            sock.shutdown(how)

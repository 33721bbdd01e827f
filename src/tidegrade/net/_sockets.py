"""Access to the socket of a stream of the event loop."""

import socket

import anyio.abc


def socket_of(stream: anyio.abc.SocketStream) -> socket.socket:
    """Return the socket of a stream.

    Raises ConnectionResetError if the connection has ended, which may happen
    while it is being opened. In that case uvloop offers no socket, or one
    without a descriptor whose methods raise errors other than OSError; such
    an error, which no caller handles, would end the process.
    """
    try:
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except AttributeError as exc:
        raise ConnectionResetError('the connection has ended') from exc
    if sock.fileno() < 0:
        raise ConnectionResetError('the connection has ended')
    return sock

"""The socket under a stream of the event loop."""

import socket

import anyio.abc


def socket_of(stream: anyio.abc.SocketStream) -> socket.socket:
    """Give the socket of a stream; raises ConnectionResetError.

    uvloop shows none once the connection has ended, which may be as it is
    opened, or one without a descriptor: its methods raise what is no OSError,
    which ended this process.
    """
    try:
        sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except AttributeError as exc:
        raise ConnectionResetError('the connection has ended') from exc
    if sock.fileno() < 0:
        raise ConnectionResetError('the connection has ended')
    return sock

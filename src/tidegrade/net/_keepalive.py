"""Detection of silent TCP connections by the kernel.

A host that lost its power, a network path that is cut or a middlebox that
forgot a connection does not close it. The kernel detects the loss by sent
data that is not acknowledged or, on an idle connection, by keepalive probes.
"""

import socket

import anyio.abc

from tidegrade.net import _sockets

#: Silence, in seconds, after which a connection to a peer, an endpoint or the
#: platform counts as lost. It covers many round trips and two retransmissions
#: of a lost packet, which Linux sends after 200 and 400 ms.
SILENCE_TIMEOUT_S = 1.0
#: Silence, in seconds, after which a connection to a caller counts as lost.
#: Callers may be slow to read, so that it is about as long as the longest
#: time limit of a statement.
CALLER_SILENCE_TIMEOUT_S = 10.0
#: Idle time before the first keepalive probe and between two probes, in
#: seconds. It is the smallest value that the kernel accepts.
PROBE_INTERVAL_S = 1
#: Number of unanswered keepalive probes after which the connection counts as
#: lost.
MAX_UNANSWERED_PROBES = 2


def enable_keepalive(
    stream: anyio.abc.SocketStream, timeout: float = SILENCE_TIMEOUT_S
) -> None:
    """Make the kernel end a connection whose remote host is silent.

    ``timeout`` is how long sent data may remain unacknowledged, in seconds;
    an idle connection is checked by keepalive probes. Raises
    ConnectionResetError if the connection has already ended.
    """
    sock = _sockets.socket_of(stream)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (socket.TCP_USER_TIMEOUT, int(timeout * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)

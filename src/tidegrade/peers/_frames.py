"""Encrypted, authenticated frames between proxies of one deployment.

Each side sends a random salt; the keys of the two directions follow from
the shared key and both salts (HKDF, RFC 5869). Each frame is sealed with
ChaCha20-Poly1305 (RFC 8439) with a counter as its nonce, so that a frame that
was altered, replayed, dropped or forged without the shared key ends the
connection.
"""

from collections.abc import Iterable
import os

import anyio
import anyio.abc
from cryptography import exceptions
from cryptography.hazmat.primitives.ciphers import aead
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.kdf import hkdf

#: Sizes of the salt, key and nonce, in bytes.
SALT_SIZE = 32
KEY_SIZE = 32
NONCE_SIZE = 12
#: Size of the length that precedes each sealed frame, in bytes.
SIZE_BYTES = 4
#: Largest sealed frame, in bytes.
MAX_FRAME = 4_000_000
#: HKDF context: binds the derived keys to this protocol and its version.
KEY_INFO = b'tidegrade peer frames 1'


class FrameError(Exception):
    """A frame is too large or fails authentication.

    The peer does not hold the shared key, or frames were altered or lost.
    """


class Direction:
    """The key and the frame counter of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._cipher = aead.ChaCha20Poly1305(key)
        self._count = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the payload, encrypted and authenticated."""
        return self._cipher.encrypt(self._nonce(), payload, None)

    def open(self, sealed: bytes) -> bytes:
        """Return the payload of a sealed frame.

        Raises :class:`FrameError` if authentication fails.
        """
        try:
            return self._cipher.decrypt(self._nonce(), sealed, None)
        except exceptions.InvalidTag:
            raise FrameError('a frame failed authentication') from None

    def _nonce(self) -> bytes:
        self._count += 1
        return self._count.to_bytes(NONCE_SIZE, 'big')


class FrameStream:
    """Sends and receives sealed payloads over a byte stream."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        received: bytearray,
        outgoing: Direction,
        incoming: Direction,
    ) -> None:
        self._stream = stream
        self._received = received
        self._outgoing = outgoing
        self._incoming = incoming
        #: Time at which bytes last arrived, including a partial frame's, in
        #: seconds on the clock of the event loop.
        self.received_at = anyio.current_time()

    async def send(self, payloads: Iterable[bytes]) -> None:
        """Send payloads, each in a frame of its own, in one write.

        Only one task may send, so that frames leave in the order in which
        they are sealed.
        """
        parts = []
        for payload in payloads:
            sealed = self._outgoing.seal(payload)
            parts.append(len(sealed).to_bytes(SIZE_BYTES, 'big'))
            parts.append(sealed)
        await self._stream.send(b''.join(parts))

    async def receive(self) -> bytes:
        """Receive one payload, without a wait if its bytes are here.

        Raises :class:`FrameError` for a frame that is too large or fails
        authentication.
        """
        while True:
            payload = self._cut()
            if payload is not None:
                return payload
            self._received += await self._stream.receive()
            self.received_at = anyio.current_time()

    def _cut(self) -> bytes | None:
        """Remove the first frame and open it; None if it is incomplete."""
        received = self._received
        if len(received) < SIZE_BYTES:
            return None
        size = int.from_bytes(received[:SIZE_BYTES], 'big')
        if size > MAX_FRAME:
            raise FrameError(
                f'a frame has {size} bytes; the limit is {MAX_FRAME}'
            )
        end = SIZE_BYTES + size
        if len(received) < end:
            return None
        sealed = bytes(received[SIZE_BYTES:end])
        del received[:end]
        return self._incoming.open(sealed)

    async def aclose(self) -> None:
        """Close the underlying stream."""
        await self._stream.aclose()


async def open_frames(
    stream: anyio.abc.ByteStream, shared_key: bytes, connects: bool
) -> FrameStream:
    """Exchange salts, derive the keys and return the frame stream.

    ``connects`` is true on the side that opened the connection.
    """
    own_salt = os.urandom(SALT_SIZE)
    await stream.send(own_salt)
    received = bytearray()
    while len(received) < SALT_SIZE:
        received += await stream.receive()
    other_salt = bytes(received[:SALT_SIZE])
    del received[:SALT_SIZE]
    first, second = own_salt, other_salt
    if not connects:
        first, second = other_salt, own_salt
    keys = hkdf.HKDF(
        algorithm=hashes.SHA256(),
        length=2 * KEY_SIZE,
        salt=first + second,
        info=KEY_INFO,
    ).derive(shared_key)
    connector, acceptor = keys[:KEY_SIZE], keys[KEY_SIZE:]
    outgoing, incoming = connector, acceptor
    if not connects:
        outgoing, incoming = acceptor, connector
    return FrameStream(
        stream, received, Direction(outgoing), Direction(incoming)
    )

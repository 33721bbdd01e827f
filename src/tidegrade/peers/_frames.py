"""Authenticated frames between proxies of one deployment.

Both sides send a random salt; the keys of the two directions follow from
the shared key and both salts (HKDF, RFC 5869). Each frame is sealed with
ChaCha20-Poly1305 (RFC 8439) under a counter, so a frame that was changed,
repeated, left out or made without the shared key ends the connection.
"""

import os

import anyio
import anyio.abc
import anyio.streams.buffered
from cryptography import exceptions
from cryptography.hazmat.primitives.ciphers import aead
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.kdf import hkdf

SALT_SIZE = 32
KEY_SIZE = 32
NONCE_SIZE = 12
#: Largest sealed frame, in bytes.
MAX_FRAME = 4_000_000
#: Says what the derived keys are for.
KEY_INFO = b'tidegrade peer frames 1'


class NotAPeer(Exception):
    """The other side does not hold the shared key, or frames were lost."""


class Direction:
    """One direction's key and counter."""

    def __init__(self, key: bytes) -> None:
        self._cipher = aead.ChaCha20Poly1305(key)
        self._count = 0

    def seal(self, payload: bytes) -> bytes:
        """Give the sealed payload."""
        return self._cipher.encrypt(self._nonce(), payload, None)

    def open(self, sealed: bytes) -> bytes:
        """Give the payload, or raise if it isn't genuine."""
        try:
            return self._cipher.decrypt(self._nonce(), sealed, None)
        except exceptions.InvalidTag:
            raise NotAPeer('a frame is not genuine') from None

    def _nonce(self) -> bytes:
        self._count += 1
        return self._count.to_bytes(NONCE_SIZE, 'big')


class _Timed(anyio.abc.ByteReceiveStream):
    """Bytes as they come, and when the last of them came."""

    def __init__(self, stream: anyio.abc.ByteReceiveStream) -> None:
        self._stream = stream
        self.received_at = anyio.current_time()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Give the next bytes."""
        chunk = await self._stream.receive(max_bytes)
        self.received_at = anyio.current_time()
        return chunk

    async def aclose(self) -> None:
        """Close the stream below."""
        await self._stream.aclose()


class FrameStream:
    """Sends and receives whole payloads over a byte stream."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        received: _Timed,
        reader: anyio.streams.buffered.BufferedByteReceiveStream,
        outgoing: Direction,
        incoming: Direction,
    ) -> None:
        self._stream = stream
        self._received = received
        self._reader = reader
        self._outgoing = outgoing
        self._incoming = incoming
        self._lock = anyio.Lock()

    @property
    def received_at(self) -> float:
        """Give when bytes came last, also of a frame that goes on."""
        return self._received.received_at

    async def send(self, payload: bytes) -> None:
        """Send one payload."""
        async with self._lock:
            sealed = self._outgoing.seal(payload)
            size = len(sealed).to_bytes(4, 'big')
            await self._stream.send(size + sealed)

    async def receive(self) -> bytes:
        """Receive one payload."""
        size = int.from_bytes(await self._reader.receive_exactly(4), 'big')
        if size > MAX_FRAME:
            raise NotAPeer('a frame is too large')
        return self._incoming.open(await self._reader.receive_exactly(size))

    async def aclose(self) -> None:
        """Close the stream below."""
        await self._stream.aclose()


async def open_frames(
    stream: anyio.abc.ByteStream, shared_key: bytes, connects: bool
) -> FrameStream:
    """Agree on keys; ``connects`` is true on the side that connected."""
    own_salt = os.urandom(SALT_SIZE)
    await stream.send(own_salt)
    received = _Timed(stream)
    reader = anyio.streams.buffered.BufferedByteReceiveStream(received)
    other_salt = await reader.receive_exactly(SALT_SIZE)
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
        stream, received, reader, Direction(outgoing), Direction(incoming)
    )

"""The queue of messages to be sent on one connection."""

import anyio
import pytest

from tidegrade import core
from tidegrade.peers import _frames
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages
from tidegrade.peers import _outbox

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Frames:
    """Records the writes; each waits until it is allowed."""

    def __init__(self) -> None:
        self.writes: list[list[int]] = []
        self.allowed = anyio.Event()

    async def send(self, payloads: list[bytes]) -> None:
        numbers = [codec.decode(payload).number for payload in payloads]
        self.writes.append(numbers)
        await self.allowed.wait()


def probe(number: int) -> messages.PeerMessage:
    return messages.PeerMessage(messages.Probe(), number)


async def test_queued_messages_share_a_write_in_their_order():
    """Guards against reordering, and against a write for each message."""
    frames = Frames()
    outbox = _outbox.Outbox()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(outbox.send_all, frames)
        outbox.put_nowait(probe(1))
        await anyio.wait_all_tasks_blocked()
        for number in range(2, 6):
            outbox.put_nowait(probe(number))
        frames.allowed.set()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert frames.writes == [[1], [2, 3, 4, 5]]


async def test_the_queue_is_bounded_while_a_write_is_blocked():
    """Guards against unbounded memory for a peer that reads nothing."""
    frames = Frames()
    outbox = _outbox.Outbox()
    waiting_done = anyio.Event()

    async def wait_for_room() -> None:
        await outbox.put(probe(1000))
        waiting_done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(outbox.send_all, frames)
        outbox.put_nowait(probe(1))
        await anyio.wait_all_tasks_blocked()
        taken = sum(outbox.put_nowait(probe(2)) for _ in range(1000))
        assert taken == _outbox.MAX_QUEUED_MESSAGES
        tasks.start_soon(wait_for_room)
        await anyio.wait_all_tasks_blocked()
        assert not waiting_done.is_set()
        frames.allowed.set()
        await anyio.wait_all_tasks_blocked()
        assert waiting_done.is_set()
        tasks.cancel_scope.cancel()
    assert frames.writes[-1][-1] == 1000


async def test_large_messages_are_written_one_by_one():
    """Guards against a whole queue of large answers encoded at once."""
    frames = Frames()
    frames.allowed.set()
    outbox = _outbox.Outbox()
    row = messages.RowNews(
        messages.GroupKey('s', 'g'), b'x' * _outbox.MAX_WRITE
    )
    for number in range(3):
        outbox.put_nowait(messages.PeerMessage(row, number))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(outbox.send_all, frames)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert frames.writes == [[0], [1], [2]]


@pytest.fixture
def payloads() -> list[bytes]:
    content = messages.ConfigContent(core.ConfigRef(1, ''), b'x' * 9)
    return [
        b'',
        codec.encode(messages.PeerMessage(content)),
        bytes(200_000),
        b'last',
    ]


class Bytes:
    """A stream that returns given bytes in chunks, and records the sent."""

    def __init__(self, received: bytes = b'', chunk: int = 1) -> None:
        self.received = received
        self.chunk = chunk
        self.sent = b''

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self.received:
            raise anyio.EndOfStream
        chunk = self.received[: self.chunk]
        self.received = self.received[self.chunk :]
        return chunk

    async def send(self, item: bytes) -> None:
        self.sent += item


def frames_over(stream: Bytes) -> _frames.FrameStream:
    key = bytes(_frames.KEY_SIZE)
    directions = _frames.Direction(key), _frames.Direction(key)
    return _frames.FrameStream(stream, bytearray(), *directions)


@pytest.mark.parametrize('chunk', (1, 7, 65_536, 1_000_000))
async def test_frames_are_cut_wherever_the_chunks_end(payloads, chunk):
    """Guards against bytes lost between two frames or two chunks."""
    sender = Bytes()
    await frames_over(sender).send(payloads)
    frames = frames_over(Bytes(sender.sent, chunk))
    assert [await frames.receive() for _ in payloads] == payloads
    with pytest.raises(anyio.EndOfStream):
        await frames.receive()


async def test_a_dropped_frame_ends_the_connection(payloads):
    """Guards against frames that are accepted after one was removed."""
    sender = Bytes()
    frames = frames_over(sender)
    await frames.send(payloads[:1])
    first = len(sender.sent)
    await frames.send(payloads[1:])
    receiver = frames_over(Bytes(sender.sent[first:], 65_536))
    with pytest.raises(_frames.FrameError):
        await receiver.receive()


async def test_a_frame_beyond_the_limit_is_refused_by_its_length():
    """Guards against memory that a length without its bytes would claim."""
    size = (_frames.MAX_FRAME + 1).to_bytes(_frames.SIZE_BYTES, 'big')
    with pytest.raises(_frames.FrameError):
        await frames_over(Bytes(size, 4)).receive()

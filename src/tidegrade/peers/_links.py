"""Outgoing connections to other proxies: a link to each one in use."""

import contextlib
import itertools

import anyio
import anyio.abc
import attrs

from tidegrade import logs
from tidegrade import net
from tidegrade.peers import _frames
from tidegrade.peers import _message_codec as codec
from tidegrade.peers import _messages as messages

#: Pause before a link is tried again, in seconds.
RECONNECT_PAUSE = 0.2
#: Time that connecting may take, in seconds.
CONNECT_TIMEOUT = 1.0
#: A link on which something was sent and nothing came back for this long
#: is probed, in seconds; the other side answers questions only.
PROBE_AFTER = 0.8
#: Pause between looks whether a link must be probed, in seconds.
PROBE_LOOK = 0.3
#: Time that the answer to a probe may take, in seconds.
PROBE_LIMIT = 0.6
#: Messages that wait for a link; more are dropped, oldest kept.
LINK_QUEUE = 256
#: How long a question waits for a link that is being made, in seconds: two
#: round trips between failure domains on a loaded VM, many times over.
UP_LIMIT = 0.25
#: A link on which nothing was sent for this long is closed, in seconds:
#: proxies talk to a few others only, and each link takes memory and
#: probes at both ends.
IDLE_LIMIT = 15.0
#: Longest time that the answer to a question may take while bytes of it
#: keep coming, in seconds: 2.5 MB on a link of 5 Mbit/s.
FETCH_LIMIT = 4.0

#: What ends a connection between proxies.
GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.frozen
class Address:
    """Where a proxy takes its peers' connections."""

    host: str
    port: int


class Link:
    """An outgoing connection to one peer, made again when it breaks."""

    def __init__(self, address: Address, key: bytes) -> None:
        self._address = address
        self._key = key
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Question] = {}
        self.connected = False
        self._used_at = anyio.current_time()
        self._up = anyio.Event()
        self._connecting = True
        self._unheard_since: float | None = None
        self._conversation: anyio.CancelScope | None = None
        self._frames: _frames.FrameStream | None = None
        self._probing = False
        self._send, self._receive = anyio.create_memory_object_stream[
            messages.PeerMessage
        ](LINK_QUEUE)
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Keep the link up until it is closed."""
        with self._scope:
            while True:
                self._connecting = True
                with contextlib.suppress(*GONE, TimeoutError):
                    await self._connected()
                self._lost()
                await anyio.sleep(RECONNECT_PAUSE)

    def close(self) -> None:
        """End the link; questions on it end without an answer."""
        self._lost()
        self._scope.cancel()

    def post(self, body: messages.PeerBody) -> bool:
        """Send a message that wants no answer; tell if it was queued."""
        return self._queue(messages.PeerMessage(body))

    async def ask(self, body: messages.PeerBody, time_limit: float) -> 'Asked':
        """Send a question and wait for its answer.

        An answer that comes later is dropped, never given to another.
        """
        return await self._ask(body, time_limit, time_limit)

    async def fetch(self, body: messages.PeerBody, silence: float) -> 'Asked':
        """Ask for something large: wait while bytes keep coming.

        The question ends once nothing has come for ``silence`` seconds. With
        a bound on the whole, 0.3 s, no proxy behind a link of 5 Mbit/s ever
        got a configuration of 330 KB.
        """
        return await self._ask(body, silence, FETCH_LIMIT)

    async def _ask(
        self, body: messages.PeerBody, silence: float, longest: float
    ) -> 'Asked':
        asked_at = anyio.current_time()
        if not self.connected:
            with anyio.move_on_after(min(silence, UP_LIMIT)):
                await self._up.wait()
        question = _Question()
        number = next(self._numbers)
        self._waiting[number] = question
        try:
            if not self.connected:
                return Asked(sent=False)
            if not self._queue(messages.PeerMessage(body, number)):
                return Asked(sent=False)
            await self._wait(question, silence, asked_at, longest)
            return Asked(sent=True, answer=question.answer)
        finally:
            self._waiting.pop(number, None)

    async def _wait(
        self,
        question: '_Question',
        silence: float,
        asked_at: float,
        longest: float,
    ) -> None:
        """Wait for an answer, until silence or the longest time is over."""
        while not question.done.is_set():
            until = max(asked_at, self._received_at()) + silence
            left = min(until, asked_at + longest) - anyio.current_time()
            if left <= 0:
                return
            with anyio.move_on_after(left):
                await question.done.wait()

    def _received_at(self) -> float:
        """Give when bytes came last on this connection."""
        if self._frames is None:
            return float('-inf')
        return self._frames.received_at

    def _queue(self, message: messages.PeerMessage) -> bool:
        self._used_at = anyio.current_time()
        if not (self.connected or self._connecting):
            return False
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            return False
        if self._unheard_since is None:
            self._unheard_since = anyio.current_time()
        return True

    def _lost(self) -> None:
        self.connected = self._connecting = False
        self._up = anyio.Event()
        self._conversation = None
        self._unheard_since = None
        for question in self._waiting.values():
            question.done.set()
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                self._receive.receive_nowait()

    async def _connected(self) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT):
            stream = await anyio.connect_tcp(
                self._address.host, self._address.port
            )
        async with stream:
            net.enable_keepalive(stream)
            with anyio.fail_after(CONNECT_TIMEOUT):
                frames = await _frames.open_frames(
                    stream, self._key, connects=True
                )
            self._frames = frames
            self.connected = True
            self._unheard_since = None
            self._up.set()
            async with anyio.create_task_group() as tasks:
                self._conversation = tasks.cancel_scope
                tasks.start_soon(self._write, frames, tasks.cancel_scope)
                await self._read(frames)
                tasks.cancel_scope.cancel()

    async def _write(
        self, frames: _frames.FrameStream, scope: anyio.CancelScope
    ) -> None:
        with contextlib.suppress(*GONE):
            while True:
                message = await self._receive.receive()
                await frames.send(codec.encode(message))
        scope.cancel()

    def is_idle(self, now: float) -> bool:
        """Tell whether nobody has used this link for long."""
        return not self._waiting and now - self._used_at >= IDLE_LIMIT

    def needs_probe(self, now: float) -> bool:
        """Tell whether something that was sent got no sign of life."""
        since = self._unheard_since
        return since is not None and now - since >= PROBE_AFTER

    async def probe(self) -> None:
        """Give the connection up if it has gone silent.

        The answer to a probe may wait behind one that takes long: bytes of
        that are a sign of life as well.
        """
        if self._probing or self._conversation is None:
            return
        conversation, self._probing = self._conversation, True
        asked_at = anyio.current_time()
        try:
            asked = await self.ask(messages.Probe(), PROBE_LIMIT)
        finally:
            self._probing = False
        if self._received_at() > asked_at:
            return
        if asked.answer is None and conversation is self._conversation:
            logs.write(logs.LogEvent.PEER_SILENT, address=str(self._address))
            conversation.cancel()

    async def _read(self, frames: _frames.FrameStream) -> None:
        try:
            while True:
                message = codec.decode(await frames.receive())
                self._unheard_since = None
                question = self._waiting.get(message.number)
                if question is not None:
                    question.answer = message.body
                    question.done.set()
        except (_frames.NotAPeer, codec.Malformed) as exc:
            logs.write(
                logs.LogEvent.PEER_REFUSED,
                address=str(self._address),
                reason=str(exc),
            )
        except GONE:
            pass


@attrs.define
class _Question:
    """A question on a link and its answer once it has come."""

    done: anyio.Event = attrs.field(factory=anyio.Event)
    answer: messages.PeerBody | None = None


@attrs.frozen
class Asked:
    """What became of a question; ``sent`` says it may have arrived."""

    sent: bool
    answer: messages.PeerBody | None = None


class Links:
    """The links of this proxy, by address; made as they are needed.

    With 195 proxies that each linked to all others, 37,830 links were made
    at each start of all; a proxy talks to its relays and to a few homes.
    """

    def __init__(self, key: bytes, own: Address) -> None:
        self._key = key
        self._own = own
        self._links: dict[Address, Link] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run every link until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            while True:
                await anyio.sleep(PROBE_LOOK)
                now = anyio.current_time()
                for address, link in list(self._links.items()):
                    if link.is_idle(now):
                        self.drop(address)
                    elif link.needs_probe(now):
                        tasks.start_soon(link.probe)

    def post(self, address: Address, body: messages.PeerBody) -> bool:
        """Send a message that wants no answer; tell if it was queued."""
        link = self._link(address)
        return link is not None and link.post(body)

    async def ask(
        self, address: Address, body: messages.PeerBody, time_limit: float
    ) -> 'Asked':
        """Ask the proxy at an address, as :meth:`Link.ask` does."""
        link = self._link(address)
        if link is None:
            return Asked(sent=False)
        return await link.ask(body, time_limit)

    async def fetch(
        self, address: Address, body: messages.PeerBody, silence: float
    ) -> 'Asked':
        """Ask the proxy at an address, as :meth:`Link.fetch` does."""
        link = self._link(address)
        if link is None:
            return Asked(sent=False)
        return await link.fetch(body, silence)

    def drop(self, address: Address) -> None:
        """Close the link to an address that nobody uses any more."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def __len__(self) -> int:
        return len(self._links)

    def _link(self, address: Address) -> Link | None:
        """Give the link to an address, made if need be; none to our own."""
        if address == self._own:
            return None
        link = self._links.get(address)
        if link is None:
            assert self._tasks is not None
            link = Link(address, self._key)
            self._links[address] = link
            self._tasks.start_soon(link.run)
        return link

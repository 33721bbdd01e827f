"""Outgoing connections to other proxies, one link per address in use."""

import asyncio
from collections.abc import Callable
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
from tidegrade.peers import _outbox

#: Delay before a link reconnects, in seconds.
RECONNECT_DELAY_S = 0.2
#: Limit for the TCP connection, and again for the exchange of keys, in
#: seconds.
CONNECT_TIMEOUT_S = 1.0
#: A link on which a message was sent is probed if nothing has been received
#: for this long, in seconds. Only requests are answered, so silence after any
#: other message does not show that the connection is lost.
PROBE_AFTER_S = 0.8
#: Interval at which links are checked for idleness and silence, in seconds.
CHECK_INTERVAL_S = 0.3
#: Time limit for the answer to a probe, in seconds.
PROBE_TIMEOUT_S = 0.6
#: Time that a request waits for a link that is still connecting, in seconds:
#: many times the two round trips that this takes between failure domains, even
#: on a loaded VM.
CONNECT_WAIT_S = 0.25
#: A link on which nothing was sent for this long is closed, in seconds. A
#: proxy exchanges messages with a few others only, and each link costs memory
#: and probes at both ends.
IDLE_TIMEOUT_S = 15.0
#: Time limit for an answer whose bytes keep arriving, in seconds: enough for
#: 2.5 MB over a network of 5 Mbit/s.
FETCH_TIMEOUT_S = 4.0
#: Resolution of the timers of uvloop, in seconds. A timer for less is due at
#: once, over and over until the time has come.
TIMER_RESOLUTION_S = 0.001

#: Exceptions that mean that the connection to a peer is lost.
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.frozen
class Address:
    """Address at which a proxy accepts connections of its peers."""

    host: str
    port: int


class Link:
    """An outgoing connection to one peer that reconnects after a failure."""

    def __init__(self, address: Address, key: bytes) -> None:
        self._address = address
        self._key = key
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self.connected = False
        self._last_used_at = anyio.current_time()
        self._connected_event = anyio.Event()
        self._connecting = True
        self._unanswered_since: float | None = None
        self._connection_scope: anyio.CancelScope | None = None
        self._frames: _frames.FrameStream | None = None
        self._probing = False
        #: New messages are dropped while it is full.
        self._outbox = _outbox.Outbox()
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until the link closes."""
        with self._scope:
            while True:
                self._connecting = True
                with contextlib.suppress(*CONNECTION_ERRORS, TimeoutError):
                    await self._run_connection()
                self._reset()
                await anyio.sleep(RECONNECT_DELAY_S)

    def close(self) -> None:
        """Close the link; pending requests end without an answer."""
        self._reset()
        self._scope.cancel()

    def post(self, body: messages.PeerBody) -> bool:
        """Queue a message that needs no answer; return whether it was."""
        return self._queue(messages.PeerMessage(body))

    async def ask(
        self, body: messages.PeerBody, time_limit: float
    ) -> 'AskResult':
        """Send a request and wait for its answer for ``time_limit`` seconds.

        An answer that arrives later is dropped and never matched to another
        request.
        """
        return await self._ask(body, time_limit, time_limit)

    async def fetch(
        self, body: messages.PeerBody, silence: float
    ) -> 'AskResult':
        """Send a request and wait while bytes of its answer keep arriving.

        The request ends once nothing has arrived for ``silence`` seconds, or
        after :data:`FETCH_TIMEOUT_S`. With a limit of 0.3 s on the whole
        answer, no proxy behind a network of 5 Mbit/s received a configuration
        of 330 KB.
        """
        return await self._ask(body, silence, FETCH_TIMEOUT_S)

    async def _ask(
        self, body: messages.PeerBody, silence: float, longest: float
    ) -> 'AskResult':
        asked_at = anyio.current_time()
        if not self.connected:
            with anyio.move_on_after(min(silence, CONNECT_WAIT_S)):
                await self._connected_event.wait()
        if not self.connected:
            return AskResult(sent=False)
        number = next(self._numbers)
        if not self._queue(messages.PeerMessage(body, number)):
            return AskResult(sent=False)
        pending = _PendingRequest(
            asked_at, silence, asked_at + longest, self._received_at
        )
        self._pending[number] = pending
        try:
            return AskResult(sent=True, answer=await pending.wait())
        finally:
            del self._pending[number]

    def _received_at(self) -> float:
        """Return when bytes last arrived on the latest connection."""
        if self._frames is None:
            return float('-inf')
        return self._frames.received_at

    def _queue(self, message: messages.PeerMessage) -> bool:
        self._last_used_at = anyio.current_time()
        if not (self.connected or self._connecting):
            return False
        if not self._outbox.put_nowait(message):
            return False
        if self._unanswered_since is None:
            self._unanswered_since = anyio.current_time()
        return True

    def _reset(self) -> None:
        self.connected = self._connecting = False
        self._connected_event = anyio.Event()
        self._connection_scope = None
        self._unanswered_since = None
        for pending in self._pending.values():
            pending.finish(None)
        self._outbox.clear()

    async def _run_connection(self) -> None:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(
                self._address.host, self._address.port
            )
        async with stream:
            net.enable_keepalive(stream)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                frames = await _frames.open_frames(
                    stream, self._key, connects=True
                )
            self._frames = frames
            self.connected = True
            self._unanswered_since = None
            self._connected_event.set()
            async with anyio.create_task_group() as tasks:
                self._connection_scope = tasks.cancel_scope
                tasks.start_soon(self._write, frames, tasks.cancel_scope)
                await self._read(frames)
                tasks.cancel_scope.cancel()

    async def _write(
        self, frames: _frames.FrameStream, scope: anyio.CancelScope
    ) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            await self._outbox.send_all(frames)
        scope.cancel()

    def is_idle(self, now: float) -> bool:
        """Return whether the link has been unused for ``IDLE_TIMEOUT_S``."""
        return not self._pending and now - self._last_used_at >= IDLE_TIMEOUT_S

    def needs_probe(self, now: float) -> bool:
        """Return whether nothing was received after a message was sent.

        The peer has :data:`PROBE_AFTER_S` for it.
        """
        since = self._unanswered_since
        return since is not None and now - since >= PROBE_AFTER_S

    async def probe(self) -> None:
        """Close the connection if the peer does not answer a probe.

        The answer to the probe may be queued behind a large one, so any bytes
        received since the probe was sent also show that the connection works.
        """
        if self._probing or self._connection_scope is None:
            return
        connection, self._probing = self._connection_scope, True
        asked_at = anyio.current_time()
        try:
            asked = await self.ask(messages.Probe(), PROBE_TIMEOUT_S)
        finally:
            self._probing = False
        if self._received_at() > asked_at:
            return
        if asked.answer is None and connection is self._connection_scope:
            logs.write(logs.LogEvent.PEER_SILENT, address=str(self._address))
            connection.cancel()

    async def _read(self, frames: _frames.FrameStream) -> None:
        try:
            while True:
                message = codec.decode(await frames.receive())
                self._unanswered_since = None
                pending = self._pending.get(message.number)
                if pending is not None:
                    pending.finish(message.body)
        except (_frames.FrameError, codec.Malformed) as exc:
            logs.write(
                logs.LogEvent.PEER_REFUSED,
                address=str(self._address),
                reason=str(exc),
            )
        except CONNECTION_ERRORS:
            pass


class _PendingRequest:
    """A pending request on a link.

    It ends with its answer, or without one at the time ``latest`` or once
    nothing has arrived on the link for ``silence`` seconds. A future and a
    timer of the event loop take some 2 us of processor time, a cancel scope
    and an event of anyio 7 us.
    """

    def __init__(
        self,
        asked_at: float,
        silence: float,
        latest: float,
        received_at: Callable[[], float],
    ) -> None:
        self._asked_at = asked_at
        self._silence = silence
        self._latest = latest
        self._received_at = received_at
        self._loop = asyncio.get_running_loop()
        self._answer: asyncio.Future[messages.PeerBody | None] = (
            self._loop.create_future()
        )

    async def wait(self) -> messages.PeerBody | None:
        """Return the answer, or None once a time limit has expired."""
        self._timer = self._loop.call_at(self._limit(), self._check_limit)
        try:
            return await self._answer
        finally:
            self._timer.cancel()

    def finish(self, answer: messages.PeerBody | None) -> None:
        """End the request; only the first call has an effect."""
        if not self._answer.done():
            self._answer.set_result(answer)

    def _limit(self) -> float:
        """Return the time at which the request ends by what is known now."""
        heard_at = max(self._asked_at, self._received_at())
        return min(heard_at + self._silence, self._latest)

    def _check_limit(self) -> None:
        """End the request, or wait on if bytes arrived in the meantime."""
        limit = self._limit()
        if limit < self._loop.time() + TIMER_RESOLUTION_S:
            self.finish(None)
        else:
            self._timer = self._loop.call_at(limit, self._check_limit)


@attrs.frozen
class AskResult:
    """The result of a request.

    ``sent`` is true if the request may have reached the peer; ``answer`` is
    None if no answer arrived in time.
    """

    sent: bool
    answer: messages.PeerBody | None = None


class Links:
    """The links of this proxy by address, each opened on first use.

    A proxy exchanges messages only with its relays and with a few homes.
    Linking each of 195 proxies to all others would open 37,830 links whenever
    all of them start.
    """

    def __init__(self, key: bytes, own: Address) -> None:
        self._key = key
        self._own = own
        self._links: dict[Address, Link] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run all links until cancelled.

        Idle links are closed and silent ones probed.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                now = anyio.current_time()
                for address, link in list(self._links.items()):
                    if link.is_idle(now):
                        self.drop(address)
                    elif link.needs_probe(now):
                        tasks.start_soon(link.probe)

    def post(self, address: Address, body: messages.PeerBody) -> bool:
        """Queue a message that needs no answer; return whether it was."""
        link = self._link(address)
        return link is not None and link.post(body)

    async def ask(
        self, address: Address, body: messages.PeerBody, time_limit: float
    ) -> 'AskResult':
        """Send a request to an address, as :meth:`Link.ask` does."""
        link = self._link(address)
        if link is None:
            return AskResult(sent=False)
        return await link.ask(body, time_limit)

    async def fetch(
        self, address: Address, body: messages.PeerBody, silence: float
    ) -> 'AskResult':
        """Send a request to an address, as :meth:`Link.fetch` does."""
        link = self._link(address)
        if link is None:
            return AskResult(sent=False)
        return await link.fetch(body, silence)

    def drop(self, address: Address) -> None:
        """Close the link to an address, if there is one."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()

    def __len__(self) -> int:
        return len(self._links)

    def _link(self, address: Address) -> Link | None:
        """Return the link to an address, opening it if necessary.

        None for the proxy's own address.
        """
        if address == self._own:
            return None
        link = self._links.get(address)
        if link is None:
            assert self._tasks is not None
            link = Link(address, self._key)
            self._links[address] = link
            self._tasks.start_soon(link.run)
        return link

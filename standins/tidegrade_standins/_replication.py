"""Shipping the log from an instance to its replicas, with delays."""

import collections
import contextlib

import anyio
import anyio.abc
import anyio.streams.buffered
import orjson

from tidegrade_standins import _instance
from tidegrade_standins import _log
from tidegrade_standins import _pgwire

#: Pause before a replica tries its upstream again, in seconds.
RECONNECT_PAUSE = 0.05
#: Longest line that a replica takes from its upstream.
MAX_LINE = 16_000_000
#: Pause between looks whether a fault is over.
FAULT_PAUSE = 0.02


async def serve_replica(
    instance: _instance.Instance,
    stream: anyio.abc.ByteStream,
    replica: str,
    line: bytes,
) -> None:
    """Send a replica every record after the position it names."""
    request = orjson.loads(line)
    index = instance.log.index_after(request['lsn'], request['check'])
    if index is None or instance.in_recovery:
        await stream.aclose()
        return
    while True:
        grown = instance.log.grown
        records = instance.log.records[index:]
        if not records:
            await grown.wait()
            continue
        if instance.faults.ship_delay_s:
            await anyio.sleep(instance.faults.ship_delay_s)
        while instance.faults.hangs(replica):
            await anyio.sleep(FAULT_PAUSE)
        await stream.send(b''.join(r.to_line() for r in records))
        index += len(records)


class Follower:
    """Keeps a replica's log and data up with its upstream's."""

    def __init__(self, instance: _instance.Instance) -> None:
        self._instance = instance
        self._received: collections.deque[tuple[float, _log.Record]] = (
            collections.deque()
        )
        self._wake = anyio.Event()

    async def run(self) -> None:
        """Follow whatever upstream is set until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply)
            while True:
                changed = self._instance.upstream_changed
                idle = not self._instance.in_recovery
                if idle or not self._instance.upstream:
                    await changed.wait()
                    continue
                await self._follow_until(changed)

    async def _follow_until(self, changed: anyio.Event) -> None:
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await changed.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            with contextlib.suppress(
                OSError,
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                await self._receive()
            await anyio.sleep(RECONNECT_PAUSE)
            tasks.cancel_scope.cancel()

    async def _receive(self) -> None:
        host, port = self._instance.upstream.split(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            log = self._instance.log
            await stream.send(_startup(self._instance.cfg.name))
            request = {'lsn': log.lsn, 'check': log.check}
            await stream.send(orjson.dumps(request) + b'\n')
            lines = anyio.streams.buffered.BufferedByteReceiveStream(stream)
            while True:
                line = await lines.receive_until(b'\n', MAX_LINE)
                await self._take(_log.Record.from_line(line))

    async def _take(self, record: _log.Record) -> None:
        while self._instance.faults.hangs('*'):
            await anyio.sleep(FAULT_PAUSE)
        self._instance.log.append(record)
        self._received.append((anyio.current_time(), record))
        self._wake.set()

    async def _apply(self) -> None:
        while True:
            while self._received:
                await self._apply_next()
            self._wake = anyio.Event()
            await self._wake.wait()

    async def _apply_next(self) -> None:
        received_at, record = self._received[0]
        while True:
            ready = received_at + self._instance.faults.apply_delay_s
            wait = ready - anyio.current_time()
            if wait <= 0:
                break
            await anyio.sleep(min(wait, FAULT_PAUSE))
        async with self._instance.write_lock:
            self._instance.apply(record)
        self._received.popleft()


def _startup(name: str) -> bytes:
    body = _pgwire.PROTOCOL_3.to_bytes(4, 'big')
    body += _pgwire.text('application_name') + _pgwire.text(name)
    body += _pgwire.text('replication') + _pgwire.text('true') + b'\0'
    return (len(body) + 4).to_bytes(4, 'big') + body

"""The task that reads and writes one group's row in the platform's table."""

from collections.abc import Callable

import anyio
import result

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.core import supervision
from tidegrade.daemon import _row_reader
from tidegrade import logs
from tidegrade import ports

#: Shortest pause between requested reads, in seconds.
MIN_READ_PAUSE_S = 0.05
#: Longest pause between requested reads, in seconds; reads that find no change
#: extend the pause up to it. The delay is harmless, since a proxy that changes
#: a row also announces it. During a change of term every report of an endpoint
#: requests the row: 195 proxies made 2,700 reads per second without this
#: backoff.
MAX_READ_PAUSE_S = 0.4
#: Pause before a failed read is retried, in seconds: the platform also bills
#: calls that it refuses.
RETRY_PAUSE_S = 0.5
#: Number of reads, and pause before each in seconds, that find out whether a
#: write without an answer took effect.
SETTLE_READS = 5
SETTLE_PAUSE_S = 0.1

Post = Callable[[core.Event | supervision.SupervisorEvent], None]


class RowTask:
    """Reads the row as needed, and executes a supervisor's operations in turn.

    While ``serving`` returns True the row is read every ``interval`` seconds
    even without a request. ``newest`` returns the newest row that this proxy
    knows, and ``in_turn`` whether it restores the row if the table lost it.
    """

    def __init__(
        self,
        key: str,
        table: _row_reader.RowTable,
        post: Post,
        now: Callable[[], float],
        interval: float,
        serving: Callable[[], bool],
        newest: Callable[[], core.GroupRow | None] = lambda: None,
        in_turn: Callable[[], bool] = lambda: True,
    ) -> None:
        self._now = now
        self._interval = interval
        self._serving = serving
        self._key = key
        self._table = table
        self._reader = _row_reader.RowReader(key, table, newest, in_turn)
        self._post = post
        self._read_requested = anyio.Event()
        #: The row as it was last read.
        self._last_read: core.GroupRow | None = None
        self._operation_sender, self._operations = (
            anyio.create_memory_object_stream[supervision.SupervisorCommand](
                64
            )
        )

    async def run(self) -> None:
        """Read the row and execute operations until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_reading)
            async for order in self._operations:
                await self._execute(order)

    def fetch(self) -> None:
        """Request a read of the row; concurrent requests share one read."""
        self._read_requested.set()

    def order(self, command: supervision.SupervisorCommand) -> None:
        """Queue an operation of the supervisor."""
        self._operation_sender.send_nowait(command)

    async def _keep_reading(self) -> None:
        pause = MIN_READ_PAUSE_S
        while True:
            requested = self._read_requested.is_set()
            if requested or self._serving():
                self._read_requested = anyio.Event()
                known = self._last_read
                answered = await self._read_and_post()
                pause = min(2 * pause, MAX_READ_PAUSE_S)
                if self._last_read != known or not requested:
                    pause = MIN_READ_PAUSE_S
                if requested and not answered:
                    # The request is still open.
                    self._read_requested.set()
                    await anyio.sleep(RETRY_PAUSE_S)
            await anyio.sleep(pause)
            with anyio.move_on_after(self._interval):
                await self._read_requested.wait()

    async def _read_and_post(self) -> bool:
        """Read the row, and return whether the read succeeded."""
        requested_at = self._now()
        answer = await self._reader.read()
        row = self._decode(answer)
        if row is not None:
            self._last_read = row[0]
            self._post(core.RowReceived(row[0], requested_at))
        return answer.is_ok()

    async def _execute(self, order: supervision.SupervisorCommand) -> None:
        if isinstance(order, supervision.ReadRow):
            await self._read_for_supervisor()
        elif isinstance(order, supervision.WriteRow):
            await self._write(order)
        elif isinstance(order, supervision.ListHolders):
            await self._list_holders()

    async def _read(self) -> tuple[core.GroupRow, str] | None:
        return self._decode(await self._table.read(self._key))

    def _decode(
        self, answer: result.Result[ports.Versioned | None, str]
    ) -> tuple[core.GroupRow, str] | None:
        """Return the row and its tag, None if absent or malformed."""
        found = answer.unwrap_or(None)
        if found is None:
            return None
        row = _rows.decode_row(found.value)
        if row.is_err():
            logs.write(
                logs.LogEvent.ROW_MALFORMED,
                row=self._key,
                reason=row.unwrap_err(),
            )
            return None
        return row.unwrap(), found.tag

    async def _read_for_supervisor(self) -> None:
        answer = await self._reader.read()
        if answer.is_err():
            self._post(supervision.RowRequestFailed())
            return
        found = answer.unwrap()
        if found is None:
            generation = self._table.generation
            self._post(supervision.RowRead(None, None, generation))
            return
        row = _rows.decode_row(found.value)
        if row.is_err():
            self._post(supervision.RowRequestFailed())
            return
        self._post(
            supervision.RowRead(row.unwrap(), found.tag, found.generation)
        )

    async def _write(self, order: supervision.WriteRow) -> None:
        value = _rows.encode_row(order.row)
        sent_at = self._now()
        written = await self._table.write(self._key, value, order.expected)
        if written.is_ok():
            tag = written.unwrap()
            # A row that was written was not changed before it was sent.
            self._post(core.RowReceived(order.row, sent_at))
            self._post(supervision.RowWritten(order.row, tag))
        elif written.unwrap_err() is ports.WriteProblem.UNKNOWN:
            await self._settle(order)
        else:
            self._post(supervision.RowRequestFailed(conflict=True))
            self.fetch()

    async def _settle(self, order: supervision.WriteRow) -> None:
        """Find out whether a write without an answer took effect.

        The id of the attempt in the row identifies the write.
        """
        for _ in range(SETTLE_READS):
            await anyio.sleep(SETTLE_PAUSE_S)
            found = await self._read()
            if found is None:
                continue
            row, tag = found
            if row == order.row:
                self._post(supervision.RowWritten(row, tag))
                return
            break
        self._post(supervision.RowRequestFailed())

    async def _list_holders(self) -> None:
        listed = await self._table.scan(_rows.PROXIES_PREFIX)
        if listed.is_err():
            self._post(supervision.RowRequestFailed())
            return
        holders = map(_registered_proxy, listed.unwrap().items())
        self._post(supervision.HoldersListed(frozenset(holders)))


def _registered_proxy(row: tuple[str, bytes]) -> str:
    """Return the id of the proxy that a row registers.

    For a malformed row it is the key of the row. The supervisor treats it as
    a proxy that never answers, which delays it and has no other effect.
    """
    key, value = row
    entry = _rows.decode_registered(value)
    if entry.is_ok():
        return entry.unwrap().proxy
    logs.write(logs.LogEvent.ROW_MALFORMED, row=key, reason=entry.unwrap_err())
    return key

"""The task that reads and writes one group's row in the platform."""

from collections.abc import Callable

import anyio
import result

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.core import supervision
from tidegrade.daemon import _row_keeper
from tidegrade import logs
from tidegrade import ports

#: Shortest pause between reads that were asked for, in seconds.
MIN_READ_INTERVAL = 0.05
#: Longest such pause, after reads that found nothing new, in seconds:
#: whoever changes a row also tells the others. While a term changes, every
#: report asks for the row; 195 proxies made 2,700 reads a second so.
MAX_READ_INTERVAL = 0.4
#: Pause before a read that was asked for is repeated, in seconds, after
#: the platform did not answer: calls are billed, also those it refuses.
RETRY_PAUSE = 0.5
#: Reads that may tell what became of a write without an answer.
SETTLE_READS = 5
SETTLE_PAUSE = 0.1

Post = Callable[[core.Event | supervision.SupervisorEvent], None]


class RowTask:
    """Carries out what concerns the row, one operation after another."""

    def __init__(
        self,
        key: str,
        table: _row_keeper.RowTable,
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
        self._keeper = _row_keeper.RowKeeper(key, table, newest, in_turn)
        self._post = post
        self._wanted = anyio.Event()
        #: As it was read last.
        self._known: core.GroupRow | None = None
        self._send, self._orders = anyio.create_memory_object_stream[
            supervision.SupervisorCommand
        ](64)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_reading)
            async for order in self._orders:
                await self._carry_out(order)

    def fetch(self) -> None:
        """Have the row read soon; many requests cause one read."""
        self._wanted.set()

    def order(self, command: supervision.SupervisorCommand) -> None:
        """Have a supervisor's operation carried out."""
        self._send.send_nowait(command)

    async def _keep_reading(self) -> None:
        pause = MIN_READ_INTERVAL
        while True:
            asked = self._wanted.is_set()
            if asked or self._serving():
                self._wanted = anyio.Event()
                known = self._known
                answered = await self._look()
                pause = min(2 * pause, MAX_READ_INTERVAL)
                if self._known != known or not asked:
                    pause = MIN_READ_INTERVAL
                if asked and not answered:
                    # Whoever asked still needs it.
                    self._wanted.set()
                    await anyio.sleep(RETRY_PAUSE)
            await anyio.sleep(pause)
            with anyio.move_on_after(self._interval):
                await self._wanted.wait()

    async def _look(self) -> bool:
        """Read the row; tell whether the platform answered."""
        asked_at = self._now()
        answer = await self._keeper.read()
        row = self._decoded(answer)
        if row is not None:
            self._known = row[0]
            self._post(core.RowSeen(row[0], asked_at))
        return answer.is_ok()

    async def _carry_out(self, order: supervision.SupervisorCommand) -> None:
        if isinstance(order, supervision.ReadRow):
            await self._read_for_supervisor()
        elif isinstance(order, supervision.WriteRow):
            await self._write(order)
        elif isinstance(order, supervision.ListHolders):
            await self._list_holders()

    async def _read(self) -> tuple[core.GroupRow, str] | None:
        return self._decoded(await self._table.read(self._key))

    def _decoded(
        self, answer: result.Result[ports.Versioned | None, str]
    ) -> tuple[core.GroupRow, str] | None:
        """Give the row and its tag, if there is a readable one."""
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
        answer = await self._keeper.read()
        if answer.is_err():
            self._post(supervision.RowLost())
            return
        found = answer.unwrap()
        if found is None:
            generation = self._table.generation
            self._post(supervision.RowRead(None, None, generation))
            return
        row = _rows.decode_row(found.value)
        if row.is_err():
            self._post(supervision.RowLost())
            return
        self._post(
            supervision.RowRead(row.unwrap(), found.tag, found.generation)
        )

    async def _write(self, order: supervision.WriteRow) -> None:
        value = _rows.encode_row(order.row)
        written = await self._table.write(self._key, value, order.expected)
        if written.is_ok():
            tag = written.unwrap()
            self._post(supervision.RowWritten(order.row, tag))
        elif written.unwrap_err() is ports.WriteProblem.UNKNOWN:
            await self._settle(order)
        else:
            self._post(supervision.RowLost(conflict=True))
            self.fetch()

    async def _settle(self, order: supervision.WriteRow) -> None:
        """Find out by the attempt's own id if a lost write took effect."""
        for _ in range(SETTLE_READS):
            await anyio.sleep(SETTLE_PAUSE)
            found = await self._read()
            if found is None:
                continue
            row, tag = found
            if row == order.row:
                self._post(supervision.RowWritten(row, tag))
                return
            break
        self._post(supervision.RowLost())

    async def _list_holders(self) -> None:
        listed = await self._table.scan(_rows.PROXIES_PREFIX)
        if listed.is_err():
            self._post(supervision.RowLost())
            return
        holders = map(_holder, listed.unwrap().items())
        self._post(supervision.HoldersListed(frozenset(holders)))


def _holder(row: tuple[str, bytes]) -> str:
    """Give the proxy that a row registers.

    One that can't be read is taken for somebody who never answers, which
    costs time and nothing else.
    """
    key, value = row
    entry = _rows.decode_registered(value)
    if entry.is_ok():
        return entry.unwrap().proxy
    logs.write(logs.LogEvent.ROW_MALFORMED, row=key, reason=entry.unwrap_err())
    return key

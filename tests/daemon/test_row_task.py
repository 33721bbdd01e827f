"""Reads of a group's row from a platform that may fail or lose rows."""

import anyio
import pytest
import result

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.core import supervision
from tidegrade.daemon import _row_task
from tidegrade import ports

pytestmark = pytest.mark.anyio

ROW = core.GroupRow(1, 'a', frozenset('abc'))


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table whose first ``failing`` reads fail."""

    def __init__(self, failing: int) -> None:
        self.failing = failing

    async def read(self, key: str):
        self.failing -= 1
        if self.failing >= 0:
            return result.Err('down')
        return result.Ok(ports.Versioned(_rows.encode_row(ROW), '7'))


async def test_a_requested_read_is_retried_until_it_succeeds():
    """Guards against a lost request: writes were refused for a minute.

    The soak run with seed 215 shows the failure.
    """
    seen = []
    task = _row_task.RowTask(
        'k',
        Table(failing=2),
        seen.append,
        anyio.current_time,
        interval=600.0,
        serving=lambda: True,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        await anyio.sleep(0.05)
        task.fetch()
        with anyio.fail_after(10):
            while not seen:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert seen[0].row == ROW


async def test_the_row_of_an_unserved_group_is_read_only_on_request():
    seen = []
    task = _row_task.RowTask(
        'k',
        Table(failing=0),
        seen.append,
        anyio.current_time,
        interval=0.01,
        serving=lambda: False,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        await anyio.sleep(0.3)
        assert seen == []
        task.fetch()
        with anyio.fail_after(10):
            while not seen:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_reads_without_a_change_back_off():
    """Guards against 2,700 reads per second by 195 proxies.

    Each report of an endpoint requests the row while a term changes.
    """
    reads = 0

    class CountingTable(Table):
        async def read(self, key: str):
            nonlocal reads
            reads += 1
            return await super().read(key)

    task = _row_task.RowTask(
        'k',
        CountingTable(failing=0),
        lambda event: task.fetch(),
        anyio.current_time,
        interval=600.0,
        serving=lambda: True,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        await anyio.sleep(1.5)
        tasks.cancel_scope.cancel()
    # One read every 0.05 s makes 30.
    assert 3 <= reads <= 9


NEWER = core.GroupRow(3, 'b', frozenset('abc'))


class RestoredTable(Table):
    """A table restored from a copy without the newest row."""

    def __init__(self) -> None:
        super().__init__(failing=0)
        self.value = _rows.encode_row(ROW)
        self.writes: list[str | None] = []

    async def read(self, key: str):
        return result.Ok(ports.Versioned(self.value, '7'))

    async def write(self, key: str, value: bytes, expected: str | None):
        self.writes.append(expected)
        self.value = value
        return result.Ok('8')


@pytest.mark.parametrize('order', [None, supervision.ReadRow()])
async def test_an_older_row_is_replaced_by_the_known_one(order):
    """The proxy in turn restores it, and the older row is never posted."""
    table, seen = RestoredTable(), []
    task = _row_task.RowTask(
        'k',
        table,
        seen.append,
        anyio.current_time,
        interval=600.0,
        serving=lambda: True,
        newest=lambda: NEWER,
        in_turn=lambda: True,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        if order is None:
            task.fetch()
        else:
            task.order(order)
        with anyio.fail_after(10):
            while not seen or not table.writes:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert table.writes == ['7']
    assert _rows.decode_row(table.value).unwrap() == NEWER
    assert all(event.row == NEWER for event in seen)


async def test_a_written_row_is_reported_as_read_when_it_was_sent():
    """Guards against a new term without a permission while reads fail.

    The proxy that published the term knows that the row was current.
    """
    events = []
    task = _row_task.RowTask(
        'k',
        RestoredTable(),
        events.append,
        lambda: 5.0,
        interval=600.0,
        serving=lambda: False,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(task.run)
        task.order(supervision.WriteRow(NEWER, '7'))
        with anyio.fail_after(10):
            while len(events) < 2:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert events[0] == core.RowReceived(NEWER, 5.0)

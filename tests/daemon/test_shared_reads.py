"""Batching of concurrent reads of rows."""

import anyio
import pytest
import result

from tidegrade.daemon import _shared_reads
from tidegrade import ports

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table that answers after ``answers`` is set.

    Each value is the number of the call.
    """

    def __init__(self) -> None:
        self.calls: list[set[str]] = []
        self.answers = anyio.Event()

    async def read_all(self, keys):
        self.calls.append(set(keys))
        value = str(len(self.calls)).encode()
        await self.answers.wait()
        return result.Ok({key: ports.Versioned(value, 't') for key in keys})


@pytest.fixture
def table() -> Table:
    return Table()


async def test_a_start_with_ten_groups_takes_two_calls(table):
    reads = _shared_reads.SharedReads(table)
    found = {}

    async def read(key: str) -> None:
        found[key] = (await reads.read(key)).unwrap().value

    async with anyio.create_task_group() as tasks:
        for number in range(10):
            tasks.start_soon(read, f'g{number}')
            await anyio.sleep(0)
        table.answers.set()
    assert len(table.calls) == 2
    assert len(found) == 10


async def test_a_read_never_returns_the_result_of_an_earlier_call(table):
    reads = _shared_reads.SharedReads(table)
    found = []

    async def read() -> None:
        found.append((await reads.read('g')).unwrap().value)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        while not table.calls:
            await anyio.sleep(0)
        # The call in progress began before this read: its result may be stale.
        tasks.start_soon(read)
        await anyio.sleep(0)
        table.answers.set()
    assert sorted(found) == [b'1', b'2']


async def test_a_cancelled_read_does_not_cancel_the_others(table):
    reads = _shared_reads.SharedReads(table)
    found = []

    async def read() -> None:
        found.append((await reads.read('g')).unwrap().value)

    async with anyio.create_task_group() as tasks:
        first = anyio.CancelScope()

        async def cancelled() -> None:
            with first:
                await reads.read('g')

        tasks.start_soon(cancelled)
        tasks.start_soon(read)
        while not table.calls:
            await anyio.sleep(0)
        first.cancel()
        table.answers.set()
    assert found == [b'2']

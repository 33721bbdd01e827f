"""Registration of successive runs of a proxy on one VM."""

import random

import anyio
import attrs
import pytest
import result

from tidegrade.codec import _rows
from tidegrade.daemon import _deps
from tidegrade.daemon import _registration
from tidegrade import ports

pytestmark = pytest.mark.anyio

PEERS = _deps.PeerSettings('127.0.0.1', 1, '00' * 32)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@attrs.define
class Table:
    """A table in memory that counts calls.

    The answers to the next ``lost`` writes are lost.
    """

    rows: dict[str, ports.Versioned] = attrs.field(factory=dict)
    calls: int = 0
    lost: int = 0

    def _set(self, key: str, value: bytes) -> ports.Versioned:
        self.rows[key] = ports.Versioned(value, str(self.calls))
        return self.rows[key]

    async def read(self, key):
        self.calls += 1
        return result.Ok(self.rows.get(key))

    async def write(self, key, value, expected):
        self.calls += 1
        there = self.rows.get(key)
        if (there.tag if there else None) != expected:
            return result.Err(ports.WriteProblem.CONFLICT)
        tag = self._set(key, value).tag
        if self.lost:
            self.lost -= 1
            return result.Err(ports.WriteProblem.UNKNOWN)
        return result.Ok(tag)

    async def delete(self, key, expected):
        self.calls += 1
        if key in self.rows and self.rows[key].tag == expected:
            del self.rows[key]
        return result.Ok(None)


@pytest.fixture
def table() -> Table:
    return Table()


def make(
    table: Table, run: str, capacity: int = 0
) -> _registration.Registration:
    deps = _deps.Deps(
        f'vm-1.{run}',
        'a',
        PEERS,
        None,
        None,
        table,
        random.Random(1),
        capacity=capacity,
    )
    return _registration.Registration(deps, lambda: None)


def registered(table: Table) -> str:
    (row,) = table.rows.values()
    return _rows.decode_registered(row.value).unwrap().proxy


async def test_row_holds_the_capacity_of_the_vm(table):
    await make(table, 'r1', capacity=361).run()
    (row,) = table.rows.values()
    assert _rows.decode_registered(row.value).unwrap().capacity == 361


async def test_a_first_start_takes_two_calls(table):
    await make(table, 'r1').run()
    assert (registered(table), table.calls) == ('vm-1.r1', 2)


async def test_a_run_replaces_the_row_of_the_former_run(table):
    await make(table, 'r1').run()
    await make(table, 'r2').run()
    assert (registered(table), table.calls) == ('vm-1.r2', 4)


async def test_a_lost_answer_is_settled_by_the_next_attempt(table):
    table.lost = 1
    with anyio.fail_after(5):
        await make(table, 'r1').run()
    assert registered(table) == 'vm-1.r1'


async def test_a_late_withdrawal_keeps_the_row_of_the_next_run(table):
    former = make(table, 'r1')
    await former.run()
    await make(table, 'r2').run()
    await former.withdraw()
    assert registered(table) == 'vm-1.r2'

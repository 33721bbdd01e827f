"""The choice of the proxy that restores a lost row."""

import pytest
import result

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _row_reader
from tidegrade import ports

pytestmark = pytest.mark.anyio

OLD = core.GroupRow(1, 'a', frozenset('abc'))
NEW = core.GroupRow(3, 'b', frozenset('abc'))


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Table:
    """A table that holds an older row, or none."""

    def __init__(self, row: core.GroupRow | None = OLD) -> None:
        self.value = _rows.encode_row(row) if row else None
        self.expected: list[str | None] = []
        self.conflict = False

    async def read(self, key: str):
        if self.value is None:
            return result.Ok(None)
        return result.Ok(ports.Versioned(self.value, '7'))

    async def write(self, key: str, value: bytes, expected: str | None):
        self.expected.append(expected)
        if self.conflict:
            return result.Err(ports.WriteProblem.CONFLICT)
        self.value = value
        return result.Ok('8')


def row_reader(table, known=NEW, in_turn=True) -> _row_reader.RowReader:
    return _row_reader.RowReader('k', table, lambda: known, lambda: in_turn)


@pytest.mark.parametrize(('there', 'tag'), [(OLD, '7'), (None, None)])
async def test_the_first_in_turn_restores_the_row_at_once(there, tag):
    table = Table(there)
    found = (await row_reader(table).read()).unwrap()
    assert _rows.decode_row(found.value).unwrap() == NEW
    assert table.expected == [tag]


async def test_other_proxies_wait_for_the_first_in_turn():
    table = Table()
    other = row_reader(table, in_turn=False)
    for _ in range(_row_reader.READS_BEFORE_TAKEOVER):
        assert (await other.read()).is_err()
    assert table.expected == []


async def test_another_proxy_restores_the_row_after_the_wait():
    table = Table()
    other = row_reader(table, in_turn=False)
    for _ in range(_row_reader.READS_BEFORE_TAKEOVER):
        await other.read()
    assert (await other.read()).is_ok()
    assert table.expected == ['7']


async def test_a_stale_row_is_never_returned():
    table = Table()
    table.conflict = True
    assert (await row_reader(table).read()).is_err()


@pytest.mark.parametrize('known', [None, OLD])
async def test_a_row_that_is_not_stale_is_returned_unchanged(known):
    table = Table()
    assert (await row_reader(table, known).read()).is_ok()
    assert table.expected == []

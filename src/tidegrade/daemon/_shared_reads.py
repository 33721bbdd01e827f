"""Batching of concurrent reads of single rows into one platform call.

Calls to the platform are limited and billed. When proxies start, or when a
failure domain is lost, the rows of many groups are needed at the same time:
a start with ten groups takes two calls instead of ten.
"""

import anyio
import attrs
import result

from tidegrade import ports


@attrs.define
class _Batch:
    """Keys to read in one call, and its result; None until it has ended."""

    keys: set[str] = attrs.field(factory=set)
    found: result.Result[dict[str, ports.Versioned], str] | None = None


class SharedReads:
    """Access to the groups' rows in the platform's table.

    At most one read call is in progress at a time, and keys requested
    meanwhile go into the next one. A read never returns the result of a call
    that began before the read was requested, so it is not stale.
    """

    def __init__(self, table: ports.Table) -> None:
        self._table = table
        self._next_batch = _Batch()
        self._read_lock = anyio.Lock()

    @property
    def generation(self) -> int:
        """The number of restores of the table from an older copy."""
        return self._table.generation

    async def read(
        self, key: str
    ) -> result.Result[ports.Versioned | None, str]:
        """Return a row, None if it is absent, or the reason of a failure."""
        batch = self._next_batch
        batch.keys.add(key)
        async with self._read_lock:
            if batch.found is None:
                if self._next_batch is batch:
                    self._next_batch = _Batch()
                batch.found = await self._table.read_all(batch.keys)
        return batch.found.map(lambda rows: rows.get(key))

    async def write(
        self, key: str, value: bytes, expected: str | None
    ) -> result.Result[str, ports.WriteProblem]:
        """Write a row if its tag is ``expected``, None for an absent row."""
        return await self._table.write(key, value, expected)

    async def scan(self, prefix: str) -> result.Result[dict[str, bytes], str]:
        """Return the rows whose keys begin with ``prefix``."""
        return await self._table.scan(prefix)

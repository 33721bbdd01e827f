"""The log that an instance ships to its replicas."""

import hashlib

import anyio
import attrs
import orjson

#: Bytes that a record takes beside its statements.
RECORD_OVERHEAD = 32


@attrs.frozen
class Change:
    """One statement that changed data, with its parameters by name."""

    sql: str
    params: dict[str, object]


@attrs.frozen
class Record:
    """The changes of one committed transaction.

    ``lsn`` is the position after it; ``check`` a hash over the log up to
    it, which tells diverged logs apart.
    """

    lsn: int
    changes: tuple[Change, ...]
    check: str

    def to_line(self) -> bytes:
        """Give the record as one line."""
        changes = [[c.sql, c.params] for c in self.changes]
        return orjson.dumps([self.lsn, changes, self.check]) + b'\n'

    @classmethod
    def from_line(cls, line: bytes) -> 'Record':
        """Read a record from its line."""
        lsn, changes, check = orjson.loads(line)
        return cls(lsn, tuple(Change(*c) for c in changes), check)


class Log:
    """The records of an instance, oldest first, all in memory."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.grown = anyio.Event()

    @property
    def lsn(self) -> int:
        """Give the position at the end."""
        return self.records[-1].lsn if self.records else 0

    @property
    def check(self) -> str:
        """Give the hash over the whole log."""
        return self.records[-1].check if self.records else ''

    def append_changes(self, changes: list[Change]) -> Record:
        """Add a transaction that was committed here."""
        size = RECORD_OVERHEAD + sum(len(c.sql) for c in changes)
        body = orjson.dumps([[c.sql, c.params] for c in changes])
        check = hashlib.sha256(self.check.encode() + body).hexdigest()[:16]
        record = Record(self.lsn + size, tuple(changes), check)
        self.append(record)
        return record

    def append(self, record: Record) -> None:
        """Add a record and wake those who wait for it."""
        self.records.append(record)
        self.grown.set()
        self.grown = anyio.Event()

    def index_after(self, lsn: int, check: str) -> int | None:
        """Give where a replica at ``lsn`` goes on; None if it diverged."""
        if lsn == 0:
            return 0
        for index in range(len(self.records) - 1, -1, -1):
            record = self.records[index]
            if record.lsn == lsn:
                return index + 1 if record.check == check else None
        return None

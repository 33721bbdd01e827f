"""Protocols of the platform's table, object store and VM list."""

from collections.abc import Collection
import enum
import typing

import attrs
import result


@attrs.frozen
class Versioned:
    """The value of a table row and the tag of this version of it.

    ``generation`` rises each time the table is restored from an older copy;
    a tag is valid only within its generation.
    """

    value: bytes
    tag: str
    generation: int = 0


class WriteProblem(enum.Enum):
    """Why a conditional write did not return a new version."""

    #: The row has another version; this write changed nothing.
    CONFLICT = 'conflict'
    #: No answer arrived; the write may have taken effect.
    UNKNOWN = 'unknown'


class Table(typing.Protocol):
    """A table of rows with compare-and-set writes."""

    @property
    def generation(self) -> int:
        """Number of times the table was restored from an older copy.

        0 as long as the platform has not reported it.
        """

    async def read(self, key: str) -> result.Result[Versioned | None, str]:
        """Return a row, None if it is absent, or why the read failed."""

    async def write(
        self, key: str, value: bytes, expected: str | None
    ) -> result.Result[str, WriteProblem]:
        """Write a row if its tag is ``expected`` (None: it is absent).

        Returns the new tag.
        """

    async def delete(
        self, key: str, expected: str
    ) -> result.Result[None, str]:
        """Delete a row if its tag is ``expected``."""

    async def read_all(
        self, keys: Collection[str]
    ) -> result.Result[dict[str, Versioned], str]:
        """Return those of the rows that exist, as of one moment."""

    async def scan(self, prefix: str) -> result.Result[dict[str, bytes], str]:
        """Return the values of all rows whose keys begin with ``prefix``."""


class ObjectStore(typing.Protocol):
    """A store of objects that are named by the hash of their content."""

    async def get(self, name: str) -> result.Result[bytes | None, str]:
        """Return an object, or None if there is none."""

    async def put(self, name: str, content: bytes) -> result.Result[None, str]:
        """Store an object; storing the same one again is harmless."""


@attrs.frozen
class Vm:
    """An entry of the VM list, which may be stale.

    ``capacity`` is in thousandths of a core; 0 if it is not known.
    """

    id: str
    role: str
    domain: str
    host: str
    port: int
    leaving: bool = False
    capacity: int = 0


class VmList(typing.Protocol):
    """The platform's list of live and leaving VMs."""

    async def vms(self) -> result.Result[list[Vm], str]:
        """Return the list, or why it can't be read."""

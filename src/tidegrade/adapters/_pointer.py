"""The JSON row that refers to the accepted configuration."""

import attrs
import orjson
import result

from tidegrade.codec import _structure
from tidegrade import core
from tidegrade import ports

#: Largest number of accepted configurations that the row stores.
MAX_HISTORY_ENTRIES = 50


@attrs.frozen
class Pointer:
    """The accepted configurations, newest first; the list is never empty."""

    history: list[ports.HistoryEntry]

    @property
    def newest(self) -> ports.HistoryEntry:
        """The configuration in force."""
        return self.history[0]

    @property
    def ref(self) -> core.ConfigRef:
        """The reference to the configuration in force."""
        return core.ConfigRef(self.newest.version, self.newest.sha256)

    def find(self, apply_id: str) -> ports.HistoryEntry | None:
        """Return the configuration that an apply request added, or None."""
        for entry in self.history:
            if entry.apply_id == apply_id:
                return entry
        return None

    def extended(self, entry: ports.HistoryEntry) -> 'Pointer':
        """Return a copy to which a newly accepted configuration is added."""
        return Pointer([entry, *self.history][:MAX_HISTORY_ENTRIES])

    def encode(self) -> bytes:
        """Return the value of the row."""
        return orjson.dumps(attrs.asdict(self))


def decode_pointer(value: bytes) -> result.Result[Pointer, str]:
    """Return the pointer that the value of the row holds, or an error."""
    read = _structure.structure(value, Pointer)
    if read.is_err():
        return result.Err('; '.join(read.unwrap_err()))
    pointer = read.unwrap()
    if not pointer.history:
        return result.Err('the configuration row has no entry')
    return result.Ok(pointer)

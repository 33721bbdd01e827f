"""A fake of the platform's table for one group's row and the holders."""

import attrs

from tidegrade import core


@attrs.define
class FakeTable:
    """The row with its version, and who is registered."""

    row: core.GroupRow | None = None
    version: int = 0
    holders: set[str] = attrs.field(factory=set)
    down: bool = False

    def write(self, row: core.GroupRow, expected: str | None) -> str | None:
        """Write the row if its tag is as expected; give the new tag."""
        shown = str(self.version) if self.row is not None else None
        if expected != shown:
            return None
        self.row = row
        self.version += 1
        return str(self.version)

"""The configuration that a proxy has in force; its version is monotonic."""

import attrs

from tidegrade.core import _types


@attrs.frozen
class ConfigRef:
    """An accepted configuration: its version and the hash of its content."""

    version: int
    sha256: str


@attrs.define
class Adoption:
    """The configuration in force and the newest one that is known.

    ``wanted`` is a newer version whose content has not been fetched yet.
    ``store_regressions`` counts the reads in which the platform's store
    returned an older version than the one in force.
    """

    in_force: ConfigRef | None = None
    wanted: ConfigRef | None = None
    store_regressions: int = 0

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.in_force.version if self.in_force else 0

    def record_ref(self, ref: ConfigRef) -> bool:
        """Record a reference and return whether its content must be fetched.

        A version that is not newer than the newest known one is ignored.
        """
        known = self.wanted or self.in_force
        if known is not None and ref.version <= known.version:
            return False
        self.wanted = ref
        return True

    def check_stored(self, ref: ConfigRef | None) -> None:
        """Count a regression if the store shows an older version."""
        shown = ref.version if ref else 0
        if shown < self.version:
            self.store_regressions += 1

    def adopt(self, ref: ConfigRef) -> bool:
        """Put a newer configuration in force; return whether it was newer."""
        if ref.version <= self.version:
            return False
        self.in_force = ref
        if self.wanted is not None and self.wanted.version <= ref.version:
            self.wanted = None
        _types.invariant(
            self.wanted is None or self.wanted.version > ref.version,
            'the wanted configuration is not newer than the one in force',
        )
        return True

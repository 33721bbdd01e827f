"""Which configuration a proxy has in force; versions only rise."""

import attrs

from tidegrade.core import _types


@attrs.frozen
class ConfigRef:
    """An accepted configuration: its version and its content's hash."""

    version: int
    sha256: str


@attrs.define
class Adoption:
    """The configuration in force and the newest one heard of.

    ``went_back`` counts sightings of the platform's store showing an
    older version than one that was accepted before.
    """

    in_force: ConfigRef | None = None
    wanted: ConfigRef | None = None
    went_back: int = 0

    @property
    def version(self) -> int:
        """Give the version in force, 0 before the first."""
        return self.in_force.version if self.in_force else 0

    def heard(self, ref: ConfigRef) -> bool:
        """Take in a reference; tell whether its content is wanted now."""
        known = self.wanted or self.in_force
        if known is not None and ref.version <= known.version:
            return False
        self.wanted = ref
        return True

    def stored(self, ref: ConfigRef | None) -> None:
        """Take in what the platform's store shows, to notice a step back."""
        shown = ref.version if ref else 0
        if shown < self.version:
            self.went_back += 1

    def adopt(self, ref: ConfigRef) -> bool:
        """Put a configuration in force unless a newer one is already."""
        if ref.version <= self.version:
            return False
        self.in_force = ref
        if self.wanted is not None and self.wanted.version <= ref.version:
            self.wanted = None
        _types.invariant(
            self.wanted is None or self.wanted.version > ref.version,
            'a configuration went back',
        )
        return True

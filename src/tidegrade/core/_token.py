"""The session token: what a session has seen, carried by the caller."""

import attrs

from tidegrade.core import _types


@attrs.frozen
class SessionToken:
    """Positions seen by a session, by group, and the configuration version.

    A session costs a proxy no state: any proxy can take its next request.
    """

    site: str
    config_version: int = 0
    positions: dict[str, _types.Position] = attrs.field(factory=dict)

    def seen(self, group: str, position: _types.Position) -> 'SessionToken':
        """Give the token after the session has seen ``position``."""
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        return attrs.evolve(
            self, positions={**self.positions, group: position}
        )

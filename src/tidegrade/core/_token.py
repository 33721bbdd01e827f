"""The session token, which a caller passes with each request."""

import attrs

from tidegrade.core import _types


@attrs.frozen
class SessionToken:
    """The newest position a session has observed in each group.

    The token also holds the version of the configuration. Proxies keep no
    state for a session, so any proxy can serve its next request.
    """

    site: str
    config_version: int = 0
    positions: dict[str, _types.Position] = attrs.field(factory=dict)

    def seen(self, group: str, position: _types.Position) -> 'SessionToken':
        """Return the token after the session has observed ``position``."""
        known = self.positions.get(group)
        if known is not None and known >= position:
            return self
        return attrs.evolve(
            self, positions={**self.positions, group: position}
        )

"""Changes of an endpoint's role, term and reachability, for the log."""

import collections

import attrs

from tidegrade.core import _types

#: Number of changes that are kept until they are taken. They are taken after
#: each event, which makes one or two.
MAX_KEPT = 16


@attrs.frozen
class RoleReported:
    """An endpoint reported another role or term than before.

    Also its first report after :class:`ReachedAgain`, with ``reconnected``.
    """

    endpoint: str
    report: _types.EndpointReport
    former: _types.EndpointReport
    reconnected: bool


@attrs.frozen
class ReachedAgain:
    """A connection was opened ``away`` seconds after the last one ended.

    At least one had been lost or had timed out. ``failures`` attempts failed
    since the last answer; ``refused`` tells whether the endpoint's host
    refused the last one.
    """

    endpoint: str
    away: float
    failures: int
    refused: bool


EndpointChange = RoleReported | ReachedAgain


class EndpointHistory:
    """Finds the changes of the endpoints of one group."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, _types.EndpointReport]] = {}
        self._broken: set[str] = set()
        self._away_since: dict[str, float] = {}
        self._reconnected: set[str] = set()
        self._changes: collections.deque[EndpointChange] = collections.deque(
            maxlen=MAX_KEPT
        )

    def reported(
        self, name: str, report: _types.EndpointReport, sent_at: float
    ) -> None:
        """Record the answer to a poll or an order sent at ``sent_at``."""
        known = self._reports.get(name)
        if report.in_recovery is None or (known and sent_at < known[0]):
            return
        self._reports[name] = (sent_at, report)
        if known is None:
            return
        former = known[1]
        reconnected = name in self._reconnected
        self._reconnected.discard(name)
        if reconnected or (report.in_recovery, report.marker) != (
            former.in_recovery,
            former.marker,
        ):
            self._changes.append(
                RoleReported(name, report, former, reconnected)
            )

    def broke(self, name: str) -> None:
        """Record that a connection was lost or has timed out."""
        self._broken.add(name)

    def closed(self, name: str, remaining: int, now: float) -> None:
        """Record the end of a connection; ``remaining`` others are open."""
        if not remaining and name in self._broken:
            self._away_since.setdefault(name, now)

    def opened(
        self, name: str, failures: int, refused: bool, now: float
    ) -> None:
        """Record that a connection is open."""
        self._broken.discard(name)
        since = self._away_since.pop(name, None)
        if since is not None:
            self._reconnected.add(name)
            self._changes.append(
                ReachedAgain(name, now - since, failures, refused)
            )

    def take(self) -> list[EndpointChange]:
        """Remove and return the changes in their order."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

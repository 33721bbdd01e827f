"""Events that a supervisor handles and commands that it returns."""

import attrs

from tidegrade import config
from tidegrade.core import _detector
from tidegrade.core import _jobs
from tidegrade.core import _row
from tidegrade.core import _types

# Events -------------------------------------------------------------------


@attrs.frozen
class Observed:
    """The proxy's current view of the group, sent several times a second.

    ``leaving`` are the endpoints that the VM list marks for draining.
    ``peers`` are the proxies with recent heartbeats, and ``opinions`` are
    their opinions on the primary. ``replicas_to_repair`` are the endpoints
    that possibly don't follow the primary, ``reachable`` those whose latest
    requests from this proxy have not failed, and ``gone`` those that no
    list has named for a long time. ``settled`` is true once the heartbeats
    of the other proxies have had time to arrive. ``failing`` are the
    endpoints that answer polls but fail callers' statements here.
    """

    cfg: config.Group
    config_version: int
    row: _row.GroupRow | None
    own: _detector.Opinion
    opinions: tuple[_detector.Opinion, ...]
    peers: tuple[str, ...]
    leaving: frozenset[str]
    replicas_to_repair: frozenset[str]
    reachable: frozenset[str]
    gone: frozenset[str] = frozenset()
    settled: bool = True
    failing: frozenset[str] = frozenset()


@attrs.frozen
class ProcessResumed:
    """This process resumed after a pause; its view of others is stale."""


@attrs.frozen
class RowRead:
    """The row that the platform holds, or None if there is none.

    ``generation`` is the generation of the platform's table.
    """

    row: _row.GroupRow | None
    tag: str | None
    generation: int = 0


@attrs.frozen
class RowWritten:
    """A conditional write of the row succeeded."""

    row: _row.GroupRow
    tag: str


@attrs.frozen
class RowRequestFailed:
    """A read or write of the row failed or has an unknown outcome.

    ``conflict`` is true if the platform is known to hold another version.
    """

    conflict: bool = False


@attrs.frozen
class ControlEnded:
    """A control job on an endpoint has ended."""

    control: int
    endpoint: str
    outcome: _jobs.JobOutcome


@attrs.frozen
class HoldersListed:
    """The proxies, by incarnation, that may hold write permission."""

    proxies: frozenset[str]


@attrs.frozen
class PermissionReleased:
    """A proxy has released its permission for terms below ``below``."""

    proxy: str
    below: int


SupervisorEvent = (
    Observed
    | RowRead
    | RowWritten
    | RowRequestFailed
    | ControlEnded
    | HoldersListed
    | PermissionReleased
    | ProcessResumed
)

# Commands -----------------------------------------------------------------


@attrs.frozen
class ReadRow:
    """Read the group's row from the platform."""


@attrs.frozen
class WriteRow:
    """Write the group's row if its tag is still ``expected``."""

    row: _row.GroupRow
    expected: str | None


@attrs.frozen
class RunControl:
    """Run a control job on an endpoint, with priority over requests."""

    control: int
    endpoint: str
    job: _jobs.Job
    deadline: float


@attrs.frozen
class ListHolders:
    """List the registered proxies, which may hold write permission."""


@attrs.frozen
class CancelControls:
    """Cancel every control job that has not ended."""


@attrs.frozen
class RequestRelease:
    """Ask proxies to release their permission for terms below ``below``."""

    proxies: frozenset[str]
    below: int


@attrs.frozen
class AnnounceRow:
    """Send a row to this proxy's group machine and to all peers."""

    row: _row.GroupRow


@attrs.frozen
class TermStart:
    """How a term began; durations in seconds.

    ``position`` is where the new primary's log stood as the promotion was
    seen to have taken effect, in the term in which it is counted; None if it
    is not known. The promotion took ``promotion`` from the order to its
    effect, and the term was published ``publication`` later.
    """

    position: _types.Position | None
    promotion: float
    publication: float


@attrs.frozen
class WriteLog:
    """Write a log event; ``detail`` is a sentence for operators.

    ``start`` is set where a term has begun.
    """

    event: str
    detail: str
    start: TermStart | None = None


SupervisorCommand = (
    ReadRow
    | WriteRow
    | RunControl
    | CancelControls
    | ListHolders
    | RequestRelease
    | AnnounceRow
    | WriteLog
)

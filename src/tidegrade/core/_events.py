"""The events that a group machine handles and the commands it returns."""

import attrs

from tidegrade import config
from tidegrade.core import _evidence
from tidegrade.core import _jobs
from tidegrade.core import _row
from tidegrade.core import _types

# Events -------------------------------------------------------------------


@attrs.frozen
class RequestArrived:
    """A caller's request has arrived; it is validated and authorized."""

    req: _types.Request


@attrs.frozen
class RequestCancelled:
    """The caller has disconnected and no longer awaits the answer."""

    req_id: int


@attrs.frozen
class ConnOpened:
    """A connection that the machine asked for is ready."""

    conn: int


@attrs.frozen
class ConnClosed:
    """A connection has ended, or could not be opened.

    ``refused`` is true if the endpoint's host refused the connection
    because no process listens on the port. ``full`` is true if the endpoint
    accepts no more connections. The driver reports a running job as lost
    before it sends this event.
    """

    conn: int
    refused: bool = False
    full: bool = False


@attrs.frozen
class JobEnded:
    """The job running on a connection has ended."""

    conn: int
    outcome: _jobs.JobOutcome


@attrs.frozen
class RowReceived:
    """The group's row was read from the platform or received from a peer.

    ``asked_at`` is the time at which the platform was asked for the row;
    it is None for a row from a peer.
    """

    row: _row.GroupRow
    asked_at: float | None = None


@attrs.frozen
class ConfigChanged:
    """A newer configuration of this group is in force."""

    cfg: config.Group
    max_proxies: int


@attrs.frozen
class GiveUp:
    """A supervisor asks the proxy to give up terms below ``below``.

    The proxy then holds no permission to acknowledge writes of those terms.
    """

    below: int


@attrs.frozen
class Registered:
    """Whether supervisors can know of this proxy has changed."""

    registered: bool


@attrs.frozen
class ControlRequested:
    """A supervisor asks for a job on an endpoint.

    The job takes precedence over callers' requests. ``deadline`` is a point
    in time.
    """

    control: int
    endpoint: str
    job: _jobs.Job
    deadline: float


@attrs.frozen
class ControlsCancelled:
    """A supervisor's attempt has ended; none of its jobs may take effect."""


@attrs.frozen
class LeavingEndpointsChanged:
    """The set of the group's endpoints that the VM list marks as leaving."""

    endpoints: frozenset[str]


@attrs.frozen
class EvidenceReceived:
    """Another proxy has sent its evidence.

    Times are converted to this proxy's clock. ``asked_at`` is the time at
    which the other proxy was asked.
    """

    evidence: _evidence.Evidence
    asked_at: float


@attrs.frozen
class ProcessPaused:
    """This process did not run for ``seconds``."""

    seconds: float


@attrs.frozen
class PollingDutyChanged:
    """Whether this proxy polls endpoints for its peers has changed."""

    wanted: bool


@attrs.frozen
class EndpointSuspected:
    """Another proxy considers this endpoint down; it is to be polled soon."""

    endpoint: str


@attrs.frozen
class CutOffChanged:
    """Whether this failure domain is cut off from all others has changed."""

    cut_off: bool


@attrs.frozen
class DrainStarted:
    """The proxy is draining; it accepts no new work from now on."""


@attrs.frozen
class DrainEnded:
    """The process is about to end; all requests are answered now."""


@attrs.frozen
class Tick:
    """Time has passed; the driver sends this event at regular intervals."""


Event = (
    RequestArrived
    | RequestCancelled
    | ConnOpened
    | ConnClosed
    | JobEnded
    | RowReceived
    | ConfigChanged
    | GiveUp
    | Registered
    | ControlRequested
    | ControlsCancelled
    | LeavingEndpointsChanged
    | EvidenceReceived
    | ProcessPaused
    | PollingDutyChanged
    | EndpointSuspected
    | CutOffChanged
    | DrainStarted
    | DrainEnded
    | Tick
)

# Commands -----------------------------------------------------------------


@attrs.frozen
class OpenConn:
    """Open a connection to an endpoint for a tenant.

    ``tenant`` is empty for the proxy's own statements, and None if a
    connection serves all tenants.
    """

    conn: int
    endpoint: str
    tenant: str | None = None


@attrs.frozen
class CloseConn:
    """Close a connection at once, even if a job runs on it."""

    conn: int


@attrs.frozen
class RunJob:
    """Run a job on an idle connection; ``deadline`` is a point in time."""

    conn: int
    job: _jobs.Job
    deadline: float


@attrs.frozen
class Reply:
    """Send the final answer to a request."""

    req_id: int
    answer: _types.Answer


@attrs.frozen
class FetchRow:
    """Read the group's row again from the platform or a peer."""


@attrs.frozen
class WorkHealthChanged:
    """An endpoint began or ceased to fail all statements of callers."""

    endpoint: str
    failing: bool


@attrs.frozen
class ControlEnded:
    """A supervisor's job has ended."""

    control: int
    endpoint: str
    outcome: _jobs.JobOutcome


Command = (
    OpenConn
    | CloseConn
    | RunJob
    | Reply
    | FetchRow
    | WorkHealthChanged
    | ControlEnded
)

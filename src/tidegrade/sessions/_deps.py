"""Dependencies of a session, and its replies and records."""

from collections.abc import Callable
import enum
import typing

import attrs
import result

from tidegrade import core
from tidegrade.sessions import _access
from tidegrade.sessions import _commands
from tidegrade import tenants


class SessionState(enum.Enum):
    """The transaction state of a session after a reply."""

    IDLE = 'idle'
    #: In a transaction.
    OPEN = 'open'
    #: The transaction failed; only commit and rollback are accepted.
    FAILED = 'failed'


class ServicePhase(enum.Enum):
    """What a proxy accepts from its sessions as it shuts down."""

    SERVING = 'serving'
    #: No transaction begins; single statements and open transactions go on.
    DRAINING = 'draining'
    #: Open transactions are rolled back, unless their next command commits.
    ENDING = 'ending'


@attrs.frozen
class Reply:
    """The answer to a command, and the session state after it."""

    answer: core.Answer
    state: SessionState


class GroupAccess(typing.Protocol):
    """The interface of a group that serves a session."""

    async def request(self, req: core.Request) -> core.Answer:
        """Serve a request and return its answer."""

    def post(self, event: core.Event) -> None:
        """Queue an event without waiting for its result."""

    def final(self, answer: core.Answer) -> core.Answer:
        """Return the answer after a check that the group may acknowledge."""


class QuotaAccess(typing.Protocol):
    """The interface of tenant quotas that a session uses."""

    async def admit(
        self, tenant: tenants.Tenant, patience: float, priority: int = 0
    ) -> core.Admission:
        """Request a grant for an operation; wait up to ``patience`` s."""

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Return a grant whose operation reached no endpoint."""


class UnlimitedQuota:
    """Quota access that grants every operation."""

    async def admit(
        self, tenant: tenants.Tenant, patience: float, priority: int = 0
    ) -> core.Admission:
        """Return a grant without a wait."""
        return core.Admission(True)

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Do nothing, since no quota was used."""


@attrs.frozen
class SessionDeps:
    """Functions and services that a program provides to its sessions.

    ``access_of`` returns the access of a caller to a database under the
    configuration in force, ``group_of`` a group by its name, and
    ``next_number`` a new request number. ``now`` returns seconds.
    ``record_command`` receives the record of each command. ``phase`` returns
    how far the shutdown of the proxy has come.
    """

    access_of: Callable[
        [str, tenants.Caller], result.Result[_access.Access, core.Code]
    ]
    group_of: Callable[[str], GroupAccess | None]
    next_number: Callable[[], int]
    now: Callable[[], float]
    record_command: Callable[['CommandRecord'], None] = lambda _: None
    quotas: QuotaAccess = attrs.field(factory=UnlimitedQuota)
    phase: Callable[[], ServicePhase] = lambda: ServicePhase.SERVING


@attrs.frozen
class CommandRecord:
    """The record of one command of a session, for log and metrics.

    ``caller`` is the label of the caller, ``tenant`` the name of the tenant
    that holds its key. ``took`` is the time from the command to its answer,
    in seconds.
    """

    database: str
    caller: str
    tenant: str
    command: _commands.Command
    reply: Reply
    took: float

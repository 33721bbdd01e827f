"""What a session needs of its program, and what it tells of itself."""

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
    """Where a session stands after an answer."""

    IDLE = 'idle'
    #: In a transaction.
    OPEN = 'open'
    #: The transaction failed; only its end is accepted.
    FAILED = 'failed'


@attrs.frozen
class Reply:
    """The one answer to a command, and the state that follows."""

    answer: core.Answer
    state: SessionState


class GroupAccess(typing.Protocol):
    """What a session needs of the group that serves it."""

    async def request(self, req: core.Request) -> core.Answer:
        """Have a request served and wait for its one answer."""

    def post(self, event: core.Event) -> None:
        """Have an event handled; nobody waits for its outcome."""

    def final(self, answer: core.Answer) -> core.Answer:
        """Give the answer that is true at this very moment."""


class QuotaAccess(typing.Protocol):
    """What a session needs of the quotas of tenants."""

    async def admit(
        self, tenant: tenants.Tenant, patience: float
    ) -> core.Admission:
        """Have an operation granted that can wait ``patience`` seconds."""

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Give back a grant whose operation reached no endpoint."""


class Unlimited:
    """Grants every operation, where there are no quotas."""

    async def admit(
        self, tenant: tenants.Tenant, patience: float
    ) -> core.Admission:
        """Grant an operation."""
        return core.Admission(True)

    def give_back(self, name: str, admission: core.Admission) -> None:
        """Do nothing: nothing was taken."""


@attrs.frozen
class SessionDeps:
    """What sessions get from the program that serves them.

    ``access_of`` gives a caller's way to a database by the configuration in
    force, ``group_of`` the group by its name, ``next_number`` a new number
    for a request.
    """

    access_of: Callable[
        [str, tenants.Caller], result.Result[_access.Access, core.Code]
    ]
    group_of: Callable[[str], GroupAccess | None]
    next_number: Callable[[], int]
    now: Callable[[], float]
    note: Callable[['Account'], None] = lambda _: None
    quotas: QuotaAccess = attrs.field(factory=Unlimited)


@attrs.frozen
class Account:
    """One command of a session and what came of it, for log and metrics.

    ``caller`` is the label of who asked, ``tenant`` the name of whose key it
    was. ``took`` is in seconds from the command to its answer.
    """

    database: str
    caller: str
    tenant: str
    command: _commands.Command
    reply: Reply
    took: float

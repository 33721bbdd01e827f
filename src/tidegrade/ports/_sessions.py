"""Protocols of a proxy whose callers keep sessions open."""

from collections.abc import Callable
import typing

import anyio.abc
import attrs
import result

from tidegrade import core
from tidegrade import sessions
from tidegrade import tenants


@attrs.frozen
class EndpointEntry:
    """An entry of the platform's list of endpoints, which may be stale.

    ``slots`` is how many statements the endpoint runs at once. ``leads`` is
    true if the endpoint considers itself the primary.
    """

    id: str
    group: str
    host: str
    port: int
    domain: str
    slots: int
    leaving: bool
    leads: bool


@attrs.frozen
class EndpointList:
    """The endpoints of all groups; ``version`` rises with each reading.

    ``generation`` is that of the platform's lists, which may be restored from
    an older copy. Versions of a later generation are greater.
    """

    version: int
    entries: tuple[EndpointEntry, ...]
    generation: int = 0


@attrs.frozen
class ConfigSeen:
    """The configuration that the platform last reported as the newest.

    ``age`` is an upper bound on the time since then, in seconds.
    """

    version: int
    age: float


class Directory(typing.Protocol):
    """The platform's list of endpoints and the accepted configuration."""

    async def endpoints(self) -> result.Result[EndpointList, str]:
        """Return the endpoints listed at present, or why it failed."""

    async def next_catalogue(self) -> sessions.Catalogue:
        """Return the configuration.

        Each call after the first waits for a newer one.
        """

    def watch(self, watching: bool) -> None:
        """Set whether this proxy watches the platform for the others.

        A proxy that doesn't asks the platform for its first configuration
        only, and receives later ones through :meth:`offer`.
        """

    @property
    def answers(self) -> bool:
        """Whether the platform answered the last request."""

    @property
    def seen(self) -> ConfigSeen | None:
        """What the platform last reported to this proxy, if anything."""

    def read_now(self) -> None:
        """Read the configuration once, even if this proxy doesn't watch."""

    @property
    def document(self) -> bytes:
        """The newest configuration, as sent to peers; it has no keys."""

    def offer(self, document: bytes) -> None:
        """Consider a configuration received from another proxy."""


class SessionService(typing.Protocol):
    """Opens sessions for callers that a :class:`CallerListener` accepts."""

    def open(
        self, database: str, caller: tenants.Caller
    ) -> result.Result[sessions.Session, core.Code]:
        """Open a session on a database, or return why it is refused."""


class CallerListener(typing.Protocol):
    """Accepts connections of callers and implements their protocol."""

    async def serve(
        self,
        service: SessionService,
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        """Serve until cancelled."""

    def stop_accepting(self) -> None:
        """Accept no new connections; existing ones continue."""

    def close_on_refusal(self, wanted: bool) -> None:
        """Set whether a session is closed after a refusal."""

    def close_after_answers(self, wanted: bool) -> None:
        """Set whether a session closes with an answer that leaves it idle."""

    def close_idle(self) -> int:
        """Close sessions that are idle for long.

        Returns how many are still open.
        """

    def unanswered(self) -> int:
        """Return the number of requests whose answers have not been sent."""

    def answer_unfinished(self) -> int:
        """Answer each request in progress now; return their number.

        The outcome of one that may take effect is unknown. Requests that
        still arrive are refused.
        """


class StatusPages(typing.Protocol):
    """Reports readiness and metrics to the load balancer and operators."""

    async def serve(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        """Serve until cancelled."""

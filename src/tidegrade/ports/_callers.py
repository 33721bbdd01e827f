"""The protocol through which the caller interface uses the proxy."""

import typing

import attrs

from tidegrade import core


@attrs.frozen
class Call:
    """One request of a caller, as received by the caller interface.

    ``time_left`` until the deadline is in seconds from ``received``.
    ``max_age`` is the staleness that a read accepts, in seconds;
    ``read_class`` names a configured bound instead.
    """

    site: str
    group: str
    authorization: str
    kind: core.Kind
    received: float
    time_left: float
    request_id: str = ''
    statements: tuple[core.Statement, ...] = ()
    session: str = ''
    read_class: str = ''
    max_age: float | None = None
    idempotent: bool = False
    key: str | None = None
    txn: str = ''


class CallReply(typing.Protocol):
    """The answer to a call; it is checked again when it is sent."""

    @property
    def session(self) -> str:
        """Session token to return to the caller; empty without one."""

    def final(self) -> core.Answer:
        """Return the answer that holds at this moment."""


class Callers(typing.Protocol):
    """Serves the requests of callers."""

    async def call(self, call: Call) -> CallReply:
        """Serve one call; failures are answers too, not exceptions."""

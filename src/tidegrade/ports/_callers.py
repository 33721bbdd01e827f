"""What the caller interface asks of the proxy."""

import typing

import attrs

from tidegrade import core


@attrs.frozen
class Call:
    """One caller's request as it came over the caller interface.

    ``time_left`` is in seconds from ``received``; ``max_age`` too, and
    ``read_class`` names a configured one instead.
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
    """The answer to a call, checked once more when it is sent."""

    @property
    def session(self) -> str:
        """Give the session token to return, empty if there is none."""

    def final(self) -> core.Answer:
        """Give the answer that is true at this moment."""


class Callers(typing.Protocol):
    """Serves callers."""

    async def call(self, call: Call) -> CallReply:
        """Serve one call; every outcome is an answer."""

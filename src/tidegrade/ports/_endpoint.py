"""Protocols of connections to endpoints."""

import typing

import attrs
import result

from tidegrade import config
from tidegrade import core


@attrs.frozen
class ConnectProblem:
    """Why a connection could not be opened.

    ``refused`` is true if the endpoint's VM is reachable but nothing
    listens on the port, ``full`` if the endpoint answered that it has reached
    its limit of connections.
    """

    detail: str
    refused: bool
    full: bool = False


class EndpointConn(typing.Protocol):
    """A connection to an endpoint; it runs one job at a time."""

    async def run(self, job: core.Job) -> core.JobOutcome:
        """Run a job; a failure is returned, not raised."""

    def abort(self) -> None:
        """Close the connection at once; a running job ends as lost."""

    async def close(self) -> None:
        """Release the resources of the connection."""


class Endpoints(typing.Protocol):
    """Opens connections to endpoints."""

    async def connect(
        self, endpoint: config.Endpoint, group: config.Group, tenant: str
    ) -> result.Result[EndpointConn, ConnectProblem]:
        """Open a connection to an endpoint of a group.

        The connection carries statements of ``tenant``. If that is empty, it
        carries those of the proxy itself, or of all tenants where endpoints do
        not ask for a tenant.
        """

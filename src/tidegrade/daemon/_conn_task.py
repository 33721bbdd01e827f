"""The task that owns a single connection to an endpoint."""

from collections.abc import Callable
import contextlib

import anyio

from tidegrade import config
from tidegrade import core
from tidegrade import logs
from tidegrade import ports


class ConnTask:
    """Opens a connection, runs jobs on it one at a time, and closes it.

    The task reports to its group by events that it passes to ``post``. The
    group controls it by `start` and `stop`; nothing else uses the connection.
    """

    def __init__(
        self,
        conn_id: int,
        endpoints: ports.Endpoints,
        endpoint: config.Endpoint,
        group: config.Group,
        tenant: str,
        post: Callable[[core.Event], None],
    ) -> None:
        self._id = conn_id
        self._endpoints = endpoints
        self._endpoint = endpoint
        self._group = group
        self._tenant = tenant
        self._post = post
        self._conn: ports.EndpointConn | None = None
        self._closing = False
        self._scope = anyio.CancelScope()
        self._job_sender, self._jobs = anyio.create_memory_object_stream[
            core.Job
        ](1)

    async def run(self) -> None:
        """Run until the connection is closed."""
        problem: ports.ConnectProblem | None = None
        with self._scope:
            opened = await self._endpoints.connect(
                self._endpoint, self._group, self._tenant
            )
            if opened.is_ok():
                self._conn = opened.unwrap()
                self._post(core.ConnOpened(self._id))
                await self._serve(self._conn)
            else:
                problem = opened.unwrap_err()
                self._log_refused(problem)
        if self._conn is not None:
            with anyio.CancelScope(shield=True):
                await self._conn.close()
        self._job_sender.close()
        self._jobs.close()
        self._post(
            core.ConnClosed(
                self._id,
                refused=problem is not None and problem.refused,
                full=problem is not None and problem.full,
            )
        )

    def start(self, job: core.Job) -> None:
        """Start a job; the job before it must have ended."""
        with contextlib.suppress(anyio.ClosedResourceError):
            self._job_sender.send_nowait(job)

    def stop(self) -> None:
        """Close the connection at once, even during a job."""
        self._closing = True
        if self._conn is None:
            self._scope.cancel()
        else:
            self._conn.abort()
            self._job_sender.close()

    async def _serve(self, conn: ports.EndpointConn) -> None:
        async for job in self._jobs:
            outcome = await conn.run(job)
            self._post(core.JobEnded(self._id, outcome))
            if self._closing or _ends_connection(outcome):
                return

    def _log_refused(self, problem: ports.ConnectProblem) -> None:
        logs.write(
            logs.LogEvent.CONNECT_FAILED,
            host=self._endpoint.host,
            port=self._endpoint.port,
            tenant=self._tenant,
            reason=problem.detail,
            full=problem.full,
        )


def _ends_connection(outcome: core.JobOutcome) -> bool:
    return isinstance(outcome, core.JobFailed) and not outcome.usable

"""A supervisor's jobs, which take precedence over callers' requests."""

from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _state


class Controls:
    """Queues a supervisor's jobs and runs them on idle connections."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state
        self._waiting: list[_events.ControlRequested] = []

    def ask(self, control: _events.ControlRequested) -> None:
        """Queue a job; it runs on the next idle connection."""
        self._waiting.append(control)

    def recall(self) -> None:
        """Discard queued jobs and close the connections of running ones.

        Closing its connection is the only way to cancel a running job.
        """
        self._waiting.clear()
        for conn in self._state.pool:
            if isinstance(conn.owner, _events.ControlRequested):
                self._state.close(conn)

    def run(self, now: float) -> None:
        """Run the queued jobs that can run, and fail those past deadline."""
        for control in list(self._waiting):
            if control.deadline <= now:
                self._waiting.remove(control)
                self._fail_overdue(control)
            else:
                self._try_to_run(control, now)

    def _fail_overdue(self, control: _events.ControlRequested) -> None:
        late = _jobs.JobFailed(_jobs.Failure.TIMEOUT)
        self._state.emit(
            _events.ControlEnded(control.control, control.endpoint, late)
        )

    def _try_to_run(
        self, control: _events.ControlRequested, now: float
    ) -> None:
        conn = self._state.pool.any_idle(control.endpoint)
        if conn is None:
            # A change of primary waits for this job, so it may open a
            # connection even if the endpoint is under pressure.
            own = self._state.own_tenant
            self._state.open_if_allowed(control.endpoint, own, now, grow=True)
            return
        self._waiting.remove(control)
        self._state.start_job(
            conn, control.job, control, control.deadline, now
        )

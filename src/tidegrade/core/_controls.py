"""A supervisor's jobs for endpoints, which go before callers' work."""

from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _state


class Controls:
    """Keeps the jobs that wait for a connection, and runs them."""

    def __init__(self, state: _state.GroupState) -> None:
        self._state = state
        self._waiting: list[_events.ControlAsked] = []

    def ask(self, control: _events.ControlAsked) -> None:
        """Take a job; it runs on the next idle connection."""
        self._waiting.append(control)

    def recall(self) -> None:
        """Forget jobs that wait, and end the connections of the others.

        An order on its way can't be told to stop otherwise.
        """
        self._waiting.clear()
        for conn in self._state.pool:
            if isinstance(conn.owner, _events.ControlAsked):
                self._state.close(conn)

    def run(self, now: float) -> None:
        """Run what can be run; what is too late has failed."""
        for control in list(self._waiting):
            if control.deadline <= now:
                self._waiting.remove(control)
                self._end_late(control)
            else:
                self._run_one(control, now)

    def _end_late(self, control: _events.ControlAsked) -> None:
        late = _jobs.JobFailed(_jobs.Failure.TIMEOUT)
        self._state.order(
            _events.ControlEnded(control.control, control.endpoint, late)
        )

    def _run_one(self, control: _events.ControlAsked, now: float) -> None:
        conn = self._state.pool.any_idle(control.endpoint)
        if conn is None:
            # A change of the primary waits for this: nothing is worth a
            # connection more.
            own = self._state.own_tenant
            self._state.open_if_allowed(control.endpoint, own, now, grow=True)
            return
        self._waiting.remove(control)
        self._state.run(conn, control.job, control, control.deadline, now)

"""The queues of a group's requests and the order of service."""

import typing

from tidegrade.core import _pending
from tidegrade.core import _reads
from tidegrade.core import _registry
from tidegrade.core import _state
from tidegrade.core import _types
from tidegrade.core.waiting import _order
from tidegrade.core.waiting import _queue

#: Tries to place a request and returns the result.
Place = typing.Callable[[_pending.Pending, float], _reads.Placement]


class Dispatcher:
    """Assigns queued requests to idle connections, fairly by tenant.

    Requests for the primary and reads that a replica may serve have
    separate queues, so that neither blocks the other.
    """

    def __init__(
        self,
        state: _state.GroupState,
        registry: _registry.Registry,
        place_read: Place,
        place_on_primary: Place,
    ) -> None:
        self._state = state
        self._registry = registry
        self._place_read = place_read
        self._place_on_primary = place_on_primary
        self._reads: _queue.FairQueue[_pending.Pending] = _queue.FairQueue()
        self._primary: _queue.FairQueue[_pending.Pending] = _queue.FairQueue()
        self._parked: list[_pending.Pending] = []

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a connection."""
        return len(self._reads) + len(self._primary)

    def add(self, pending: _pending.Pending, now: float) -> None:
        """Queue a new request, or refuse it if it can't be served in time.

        The request may be answered before this returns.
        """
        ahead = self._ahead_of(pending, now)
        late = ahead > 0 and self._is_too_late(pending, ahead, now)
        if late or self.waiting >= self._state.cfg.queue_limit:
            self._registry.refuse(pending, _types.Code.OVERLOADED, ahead=ahead)
            return
        self._queue_of(pending).push(pending.req.queue_key, pending)

    def park(self, pending: _pending.Pending) -> None:
        """Delay a request until its ``not_before``."""
        self._parked.append(pending)

    def discard(self, pending: _pending.Pending) -> None:
        """Remove a request that needs no connection any more."""
        tenant = pending.req.queue_key
        if self._reads.remove(tenant, pending):
            return
        if self._primary.remove(tenant, pending):
            return
        if pending in self._parked:
            self._parked.remove(pending)

    def dispatch(self, now: float) -> None:
        """Place all requests that can be placed at ``now``."""
        self._requeue_due(now)
        if len(self._primary):
            self._serve(self._primary, self._place_on_primary, now)
        if len(self._reads):
            self._serve(self._reads, self._place_read, now)

    def next_wake(self) -> float:
        """Return the time at which the next parked request is due.

        It is infinity if no request is parked.
        """
        times = (pending.not_before for pending in self._parked)
        return min(times, default=float('inf'))

    def _rank(self, pending: _pending.Pending, now: float) -> _order.Rank:
        service = self._registry.service.mean
        return _order.rank_of(pending, service, now)

    def _is_too_late(
        self, pending: _pending.Pending, ahead: int, now: float
    ) -> bool:
        """Return whether a request behind ``ahead`` others would be late."""
        wait = self._registry.service.wait_for(ahead, self._width(pending))
        return now + wait >= min(pending.req.deadline, pending.req.place_by)

    def _ahead_of(self, pending: _pending.Pending, now: float) -> int:
        """Return how many queued requests are served before a new one."""
        queue = self._queue_of(pending)
        if not len(queue):
            return 0
        own = self._rank(pending, now).across_tenants
        return sum(
            self._rank(other, now).across_tenants <= own for other in queue
        )

    def _width(self, pending: _pending.Pending) -> int:
        """Return how many connections serve the queue of a request."""
        row = self._state.row
        primary = row.primary if row is not None else ''
        held = len(self._state.pool.of(primary))
        if self._queue_of(pending) is self._primary:
            return held
        return sum(1 for _ in self._state.pool) - held

    def _queue_of(
        self, pending: _pending.Pending
    ) -> _queue.FairQueue[_pending.Pending]:
        if pending.req.kind is _types.Kind.READ or pending.req.read_only:
            return self._reads
        return self._primary

    def _requeue_due(self, now: float) -> None:
        if not self._parked:
            return
        due = [p for p in self._parked if p.not_before <= now]
        if not due:
            return
        self._parked = [p for p in self._parked if p.not_before > now]
        for pending in due:
            self._queue_of(pending).push(pending.req.queue_key, pending)

    def _serve(
        self,
        queue: _queue.FairQueue[_pending.Pending],
        place: Place,
        now: float,
    ) -> None:
        blocked: set[str] = set()
        progress = True
        while progress:
            progress = False
            for tenant, head in queue.heads(lambda p: self._rank(p, now)):
                if tenant in blocked:
                    continue
                if self._serve_head(queue, tenant, head, place, now):
                    progress = True
                else:
                    blocked.add(tenant)

    def _serve_head(
        self,
        queue: _queue.FairQueue[_pending.Pending],
        tenant: str,
        pending: _pending.Pending,
        place: Place,
        now: float,
    ) -> bool:
        """Try to place the head of a queue; return whether it has left it."""
        placement = place(pending, now)
        if placement is _reads.Placement.BLOCKED:
            return False
        if placement is _reads.Placement.PRIMARY:
            if queue is self._primary:
                return False
            queue.take(tenant, pending)
            self._primary.push(tenant, pending)
            return True
        queue.take(tenant, pending)
        if placement is _reads.Placement.PARKED:
            self._parked.append(pending)
        return True

"""The concurrency limit for this home's statements at one endpoint.

An endpoint runs as many statements as it has slots and queues some more; it
refuses the rest as busy. Its queue is first in, first out, so an urgent
statement waits there behind all others. If each of 24 homes sends as much as
its connections allow, an overloaded endpoint refuses a large part. So each
home adapts its limit to the endpoint's responses, and requests above it wait
at the home, where they are ordered by urgency. A test replays 1.5 times the
load that an endpoint of 4 slots can run, from 6 and from 24 homes.
"""

from collections.abc import Hashable
import math

import attrs

#: Statements in flight from all homes together at first, per slot: one that
#: runs and one that is ready to run when it ends.
INITIAL_PER_SLOT = 2
#: A response counts as slow from this many times the time of an unloaded
#: endpoint on: the statement waited for as long as it ran.
SLOW_RATIO = 2.0
#: The limit grows after responses below this many times that time only. It is
#: less than ``SLOW_RATIO``, or homes that share an overloaded endpoint would
#: go on growing and shrinking in turn.
FAST_RATIO = 1.5
#: A faster response always counts as fast, in seconds: about the time of one
#: statement, and more than the usual scheduling delay of a small VM.
ALWAYS_FAST_S = 0.02
#: Part of the limit that remains after BUSY or slow responses.
SHRINK_PART = 0.75
#: Slow responses in a row that shrink the limit, if it is not greater: fewer
#: are common where statements do unequal work.
MIN_SLOW_RESPONSES = 3
#: Rise of the unloaded time per second without a faster response. Within a
#: minute it stays below the limit of slowness, so that a long overload isn't
#: taken for the endpoint's usual speed.
UNLOADED_RISE_PER_S = 0.01
#: How long the limit doesn't grow after BUSY, in seconds, and the interval
#: between increases while the unloaded time is unknown: if each of 24 homes is
#: refused once in it, few of an endpoint's statements are.
HOLD_S = 10.0
#: Time after which a statement counts as hung if the endpoint has answered a
#: job that was sent later, in seconds: by then it has been polled on another
#: connection.
HUNG_S = 0.3
#: Shortest interval between two reports of a changed limit, in seconds.
REPORT_INTERVAL_S = 1.0


@attrs.frozen
class Change:
    """A change of the limit since the last report.

    ``busy`` and ``slow`` are the numbers of responses of these kinds since
    then.
    """

    limit: int
    before: int
    busy: int
    slow: int


@attrs.define
class Unloaded:
    """The lowest recent response time of one kind of statement.

    ``at`` is the time of the last response; both are in seconds.
    """

    took: float
    at: float

    def add(self, took: float, now: float) -> None:
        """Add a response time."""
        rise = 1 + UNLOADED_RISE_PER_S * (now - self.at)
        self.took = min(self.took * rise, took)
        self.at = now


@attrs.define
class Window:
    """An adaptive limit on the statements in flight at one endpoint.

    ``slots`` is how many statements the endpoint runs at once, ``homes`` the
    number of proxies that share it. Times are in seconds.
    """

    slots: int
    homes: int
    limit: int = attrs.field(init=False)
    _waited: bool = attrs.field(default=False, init=False)
    _changed_at: float = attrs.field(default=float('-inf'), init=False)
    _busy_at: float = attrs.field(default=float('-inf'), init=False)
    _slow_in_row: int = attrs.field(default=0, init=False)
    _unloaded: dict[Hashable, Unloaded] = attrs.field(factory=dict, init=False)
    _busy: int = attrs.field(default=0, init=False)
    _slow: int = attrs.field(default=0, init=False)
    _reported: int = attrs.field(init=False)
    _reported_at: float = attrs.field(default=float('-inf'), init=False)

    def __attrs_post_init__(self) -> None:
        share = self.slots * INITIAL_PER_SLOT / self.homes
        self.limit = self._reported = max(1, math.ceil(share))

    @property
    def lowest(self) -> int:
        """The least limit, with which all homes together use every slot."""
        return max(1, math.ceil(self.slots / self.homes))

    def resize(self, slots: int, homes: int) -> None:
        """Set the slots and the number of homes.

        The limit stays unless it is too low: the responses adapt it.
        """
        self.slots, self.homes = slots, homes
        self.limit = max(self.limit, self.lowest)

    def has_room(self, in_flight: int) -> bool:
        """Return whether one more than ``in_flight`` may be sent."""
        return in_flight < self.limit

    def record_wait(self) -> None:
        """Record that a request waits because the limit is reached."""
        self._waited = True

    def record_response(
        self, kind: Hashable, sent_at: float, now: float
    ) -> None:
        """Record that a statement was executed.

        Response times are compared among statements of one ``kind``. One
        that was sent before the last change doesn't show its effect and is
        only measured.
        """
        ratio = self._ratio(kind, now - sent_at, now)
        slow = ratio is not None and ratio >= SLOW_RATIO
        self._slow += slow
        if sent_at < self._changed_at:
            return
        self._slow_in_row = self._slow_in_row + 1 if slow else 0
        if self._slow_in_row >= max(self.limit, MIN_SLOW_RESPONSES):
            self._shrink(now)
        elif self._waited and self._may_grow(ratio, now):
            self._set(self.limit + 1, now)

    def record_busy(self, sent_at: float, now: float) -> None:
        """Record that the endpoint refused a statement as its queue is full.

        Those that were sent before the last change count as one.
        """
        self._busy += 1
        self._busy_at = now
        if sent_at >= self._changed_at:
            self._shrink(now)

    def take_change(self, now: float) -> Change | None:
        """Return the change to report, or None if there is none by now."""
        unchanged = self.limit == self._reported
        if unchanged or now - self._reported_at < REPORT_INTERVAL_S:
            return None
        change = Change(self.limit, self._reported, self._busy, self._slow)
        self._reported, self._reported_at = self.limit, now
        self._busy = self._slow = 0
        return change

    def _may_grow(self, ratio: float | None, now: float) -> bool:
        """Return whether a response of this ratio permits an increase."""
        if ratio is None:
            return now >= self._changed_at + HOLD_S
        return ratio < FAST_RATIO and now >= self._busy_at + HOLD_S

    def _ratio(self, kind: Hashable, took: float, now: float) -> float | None:
        """Return a response's ratio to the unloaded time; None if unknown.

        The first response of its kind shows the unloaded time only if no
        request was waiting: a home that starts during an overload would
        otherwise take the endpoint's queue for its usual speed.
        """
        unloaded = self._unloaded.get(kind)
        if unloaded is None:
            if not self._waited:
                self._unloaded[kind] = Unloaded(took, now)
                return 1.0
            if self._changed_at == float('-inf'):
                self._changed_at = now
            return None
        unloaded.add(took, now)
        if took <= ALWAYS_FAST_S:
            return 1.0
        return took / unloaded.took

    def _shrink(self, now: float) -> None:
        smaller = min(int(self.limit * SHRINK_PART), self.limit - 1)
        self._set(max(smaller, self.lowest), now)

    def _set(self, limit: int, now: float) -> None:
        self.limit = limit
        self._changed_at = now
        self._slow_in_row = 0
        self._waited = False

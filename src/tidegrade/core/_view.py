"""What a proxy knows of an endpoint, and bounds on the age of its data."""

import bisect
import collections

import attrs

from tidegrade.core import _types

#: Number of samples of the primary's position that are kept to bound the
#: age of a replica's data.
MAX_SAMPLES = 512
#: Weight of the newest measurement in a moving average.
EWMA_WEIGHT = 0.2
#: After an endpoint has refused a read because its data was too old, it gets
#: no reads on an estimate of its position for this time, in seconds. One
#: wasted round trip in this time is a hundredth of what a proxy sends to
#: the endpoint, and a replica rarely catches up sooner.
BEHIND_PAUSE_S = 0.3


@attrs.define
class EndpointView:
    """The last report of an endpoint and statistics of its answers.

    All points in time and durations are in seconds. ``sent_at`` is the time
    at which the request for the last report was sent, so the report is at
    least as fresh as that. ``last_answer_at`` is the time of the last answer.
    ``read_time`` is the moving average of the duration of reads, last
    measured at ``read_at``. Until ``behind_until`` the endpoint is assumed
    to lack the data that reads require, because it has refused one for that
    reason. ``followed_at`` is the time at which the last report that states
    a role was requested, if the endpoint reported that it follows.
    """

    name: str
    report: _types.EndpointReport | None = None
    sent_at: float = float('-inf')
    last_answer_at: float = float('-inf')
    failures: int = 0
    first_failure: float = float('inf')
    refused: bool = False
    apply_delay: float = 0.05
    round_trip: float = 0.005
    read_time: float = 0.0
    read_at: float = float('-inf')
    behind_until: float = float('-inf')
    followed_at: float = float('-inf')
    leaving: bool = False

    def record_report(
        self, report: _types.EndpointReport, sent_at: float, now: float
    ) -> None:
        """Record an answer; only the newest report is kept."""
        self.failures = 0
        self.refused = False
        self.first_failure = float('inf')
        self.last_answer_at = max(self.last_answer_at, now)
        took = now - sent_at
        self.round_trip += EWMA_WEIGHT * (took - self.round_trip)
        if sent_at >= self.sent_at:
            self._note_role(report, sent_at)
            self.report = self._fill_in(report)
            self.sent_at = sent_at

    def record_full(self, now: float) -> None:
        """Record that the endpoint accepts no more connections.

        The refusal shows that the endpoint is up. Without this, a healthy
        primary would count as down after a restart of all proxies, and it
        would be replaced.
        """
        self.reset_failures(now)

    def reset_failures(self, now: float) -> None:
        """Reset the failures and measure the silence from ``now``.

        Answers could not be received before ``now``.
        """
        self.failures = 0
        self.refused = False
        self.first_failure = float('inf')
        self.last_answer_at = max(self.last_answer_at, now)

    def _note_role(
        self, report: _types.EndpointReport, sent_at: float
    ) -> None:
        if report.in_recovery is not None:
            self.followed_at = sent_at if report.in_recovery else float('-inf')

    def _fill_in(self, report: _types.EndpointReport) -> _types.EndpointReport:
        """Fill in the missing fields of a short report from the last one."""
        known = self.report
        if known is None or report.in_recovery is not None:
            return report
        if report.marker != known.marker:
            return report
        return attrs.evolve(
            report,
            in_recovery=known.in_recovery,
            promised=known.promised,
            received=max(report.received, known.received, key=attrs.astuple),
        )

    def record_failure(self, refused: bool, now: float) -> None:
        """Record a failed attempt to open a connection or get a report."""
        self.failures += 1
        self.refused = refused
        self.first_failure = min(self.first_failure, now)

    def record_read(self, took: float, now: float) -> None:
        """Record the duration of a read on this endpoint, in seconds."""
        if not self.read_time:
            self.read_time = took
        self.read_time += EWMA_WEIGHT * (took - self.read_time)
        self.read_at = now

    def record_behind(self, now: float) -> None:
        """Record that the endpoint lacked the data that a read required."""
        self.behind_until = now + BEHIND_PAUSE_S

    def record_delay(self, delay: float) -> None:
        """Record how far this replica was behind the primary, in seconds."""
        self.apply_delay += EWMA_WEIGHT * (delay - self.apply_delay)


@attrs.frozen
class Sample:
    """The primary had reached at least ``lsn`` for a poll sent at ``at``.

    ``own`` tells whether this proxy sent the poll, for the log.
    """

    at: float
    lsn: int
    own: bool = True


@attrs.frozen
class FormerPosition:
    """The last position with a known time of a term that has ended.

    ``position`` has the term as counted by the proxies, and ``marker`` is
    the term as counted by the endpoints. The primary was polled at ``at``.
    """

    position: _types.Position
    marker: int
    at: float


def _time_of(sample: Sample) -> float:
    return sample.at


class PositionSamples:
    """Samples of the primary's position over time, on this proxy's clock.

    Suppose that the primary answered a poll sent at ``t`` with a position.
    A replica that has applied this position holds all writes that were
    acknowledged before ``t``, so its data is at most ``now - t`` old. The
    bound uses no clock of another machine.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def add(self, at: float, lsn: int, own: bool = True) -> None:
        """Add the primary's position from a poll that was sent at ``at``.

        A position never counts as lower than one before it: a primary that
        restarts shows lower ones until it has applied its log again.
        """
        if self._samples and at <= self._samples[-1].at:
            return
        if self._samples:
            lsn = max(lsn, self._samples[-1].lsn)
        if len(self._samples) >= 2 and self._samples[-2].lsn == lsn:
            self._samples.pop()
        self._samples.append(Sample(at, lsn, own))

    def clear(self) -> None:
        """Remove all samples, for example when the term changes."""
        self._samples.clear()

    def fresh_at(self, applied: int) -> float:
        """Return the time up to which data at ``applied`` is complete.

        It is minus infinity if no sample shows it.
        """
        for sample in reversed(self._samples):
            if sample.lsn <= applied:
                return sample.at
        return float('-inf')

    def oldest_since(self, at: float) -> Sample | None:
        """Return the oldest sample taken at ``at`` or later."""
        # The samples are in the order of their times.
        index = bisect.bisect_left(self._samples, at, key=_time_of)
        return self._samples[index] if index < len(self._samples) else None

    def newest_until(self, at: float) -> Sample | None:
        """Return the newest sample taken at ``at`` or earlier."""
        for sample in reversed(self._samples):
            if sample.at <= at:
                return sample
        return None

    @property
    def newest(self) -> Sample | None:
        """The newest sample, or None if there is none."""
        return self._samples[-1] if self._samples else None

    def reached_at(self, lsn: int) -> float | None:
        """Return the time by which the primary had reached ``lsn``.

        It is an estimate from the samples, and None if none shows it.
        """
        reached = None
        for sample in reversed(self._samples):
            if sample.lsn < lsn:
                break
            reached = sample.at
        return reached

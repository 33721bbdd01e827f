"""Circuit breaker for endpoints that answer polls but fail statements.

Such a gray failure is invisible to the failure detector, which sees an
endpoint that answers. Every statement fails, and each waiting request would
open another connection at once, so that none is left for polls.

After a few failures in a row the endpoint gets single trial statements only,
and one success closes the breaker. Failures of connections count, not errors
of statements: a caller with a wrong statement must not take an endpoint away
from others. See docs/design/gray-failures.md.
"""

import attrs

#: Failures in a row after which the breaker opens: more than a single reset
#: of all connections of an endpoint makes on one request and its retry.
MIN_FAILURES = 3
#: Time from the first failure of a row to the last one, in seconds, after
#: which the endpoint counts as failing: as long as a silence that makes it
#: count as down. A reset of all connections or a restart is over sooner.
MIN_FAILING_S = 0.6
#: The same if the statements time out, in seconds. An endpoint with a full
#: queue also lets statements time out, but it refuses others as busy.
MIN_HANGING_S = 1.5
#: Bounds of the interval between trial statements, in seconds. It doubles
#: with each trial that fails. The first is about the time in which a caller
#: that was refused comes back.
MIN_TRIAL_INTERVAL_S = 0.1
MAX_TRIAL_INTERVAL_S = 1.0
#: Time after a failure, in seconds, for which it is evidence that the
#: endpoint still fails: twice the longest time after which a refused caller
#: retries. Without it, two short disturbances with no statement between them
#: would count as one long failure.
EVIDENCE_MAX_AGE_S = 10.0
#: Shortest time that a statement must have had for its time-out to count, in
#: seconds. A time-out after less says nothing of the endpoint: the request
#: had used up its time limit before it was sent.
MIN_TIMEOUT_S = 0.1


@attrs.define
class WorkHealth:
    """Outcomes of callers' statements at one endpoint; times in seconds.

    ``failures`` and ``timeouts`` count since the last statement that the
    endpoint answered. ``first_failure_at`` is the time of the first of them,
    or of the first after a gap of ``EVIDENCE_MAX_AGE_S``; ``last_failure_at``
    is that of the last. With ``must_answer`` time-outs do not make the
    endpoint count as failing before it has answered a statement: those of the
    former primary timed out too, so the statements may be slow.
    """

    failures: int = 0
    timeouts: int = 0
    first_failure_at: float = float('inf')
    last_failure_at: float = float('-inf')
    trial_interval: float = MIN_TRIAL_INTERVAL_S
    next_trial_at: float = float('-inf')
    must_answer: bool = False

    def record_answer(self) -> None:
        """Record that the endpoint answered a statement, also if refused."""
        self.failures = self.timeouts = 0
        self.must_answer = False
        self.first_failure_at = float('inf')
        self.last_failure_at = float('-inf')
        self.trial_interval = MIN_TRIAL_INTERVAL_S
        self.next_trial_at = float('-inf')

    def record_lost(self, now: float) -> None:
        """Record that the connection ended while a statement ran."""
        self.failures += 1
        self._failed(now)

    def record_timeout(self, sent_at: float, now: float) -> None:
        """Record that a statement sent at ``sent_at`` was not answered."""
        if now - sent_at < MIN_TIMEOUT_S:
            return
        self.timeouts += 1
        self._failed(now)

    def record_sent(self, now: float) -> None:
        """Record that a statement is sent.

        It is a trial if the breaker is open.
        """
        if self.is_open:
            self.next_trial_at = now + self.trial_interval
            doubled = 2 * self.trial_interval
            self.trial_interval = min(doubled, MAX_TRIAL_INTERVAL_S)

    def record_pause(self, seconds: float) -> None:
        """Leave out a pause of this process, in which it sent nothing."""
        self.first_failure_at += seconds
        self.last_failure_at += seconds

    @property
    def is_open(self) -> bool:
        """Whether the endpoint gets trial statements only."""
        return self.failures + self.timeouts >= MIN_FAILURES

    def may_send(self, now: float) -> bool:
        """Return whether a statement may be sent to the endpoint now."""
        return not self.is_open or now >= self.next_trial_at

    def is_failing(self, now: float) -> bool:
        """Return whether the endpoint has failed all statements for long."""
        if self.failures < MIN_FAILURES:
            return self.is_hanging(now) and not self.must_answer
        return self._fails_for(MIN_FAILING_S, now)

    def is_hanging(self, now: float) -> bool:
        """Return whether statements have timed out for long."""
        if self.failures >= MIN_FAILURES or not self.is_open:
            return False
        return self._fails_for(MIN_HANGING_S, now)

    def _fails_for(self, seconds: float, now: float) -> bool:
        if self._is_outdated(now):
            return False
        return self.last_failure_at - self.first_failure_at >= seconds

    def _is_outdated(self, now: float) -> bool:
        """Return whether the last failure is too old to be evidence."""
        return now - self.last_failure_at >= EVIDENCE_MAX_AGE_S

    def _failed(self, now: float) -> None:
        if self._is_outdated(now):
            self.first_failure_at = now
        self.last_failure_at = now

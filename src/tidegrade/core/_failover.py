"""The supervisor: ends a term of a group and begins the next one.

Every step can be repeated or abandoned safely, since another supervisor can
continue from the row. Safety depends on the order of the steps and, but for
step 5, not on timing between supervisors:

1. *Claim*: a compare-and-set of the row records this attempt and its term.
2. *Fence*: a majority of the endpoints promise to refuse lower terms. From
   then on no proxy can gain write permission for the former term.
3. *List*, then *revoke*: registered proxies release their permission. The
   supervisor waits until the permission of an unreachable proxy has expired.
4. *Choose* the endpoint with the newest data and write it into the row.
5. *Promote* that endpoint and write the term into its data. A platform may
   require the terms of promotions to increase without checking them, so this
   step has a lease: the promotion is ordered soon after the row of step 4 is
   sent or not at all, and no other supervisor takes the attempt over earlier.
6. *Publish* the new term by another compare-and-set.
"""

import enum
import random
import typing

import attrs

from tidegrade.core import _election
from tidegrade.core import _jobs
from tidegrade.core import _membership
from tidegrade.core import _row
from tidegrade.core import _supervision as sv
from tidegrade.core import _traits
from tidegrade.core import _types
from tidegrade.core import _watching
from tidegrade.core.permission import _permission
from tidegrade.core.placing import _rendezvous

#: Longest wait, in seconds, for a replica to catch up with a fenced endpoint
#: that has newer data but may not become primary.
CATCH_UP_LIMIT_S = 1.5
#: Time limit of each step, in seconds, after which the attempt is abandoned.
STEP_LIMIT_S = 3.0
#: Time limit of one control job on an endpoint, in seconds.
CONTROL_LIMIT_S = 1.0
#: Time limit of a promotion, in seconds.
PROMOTE_LIMIT_S = 10.0
#: Bounds of the random backoff after an abandoned attempt, in seconds.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
#: Interval at which fence, revocation and status requests are repeated, in
#: seconds.
REPEAT_INTERVAL_S = 0.05
#: Interval between orders to replicas to follow the primary, in seconds.
FOLLOW_INTERVAL_S = 2.0


class Step(enum.Enum):
    """The step that a supervisor is carrying out."""

    WATCH = 'watch'
    SETUP = 'setup'
    READ = 'read'
    CLAIM = 'claim'
    FENCE = 'fence'
    LIST = 'list'
    REVOKE = 'revoke'
    CHOOSE = 'choose'
    RECORD = 'record'
    PROMOTE = 'promote'
    PUBLISH = 'publish'


@attrs.define
class _AttemptProgress:
    """Progress of one attempt to begin a new term."""

    reason: str = ''
    config_version: int = 0
    #: The row that the reason refers to. Only this row may be claimed.
    observed_row: _row.GroupRow | None = None
    row: _row.GroupRow | None = None
    tag: str | None = None
    next_members: frozenset[str] = frozenset()
    fenced: dict[str, _types.EndpointReport] = attrs.field(factory=dict)
    fenced_at: float = 0.0
    #: When each member was first seen to have promised the next term.
    promised_since: dict[str, float] = attrs.field(factory=dict)
    #: Whether all proxies that may hold the permission have released it.
    released_by_all: bool = False
    #: Time at which the row that records the chosen primary was sent.
    recorded_at: float = 0.0
    permission_holders: frozenset[str] = frozenset()
    released: set[str] = attrs.field(factory=set)
    last_request_at: float = float('-inf')
    retry_publish: bool = False
    #: For the log: the new primary's position and the duration of its
    #: promotion, in seconds.
    starts_at: _types.Position | None = None
    promotion_took: float = 0.0
    #: Generation of the platform's table when the row was read.
    generation: int = 0


class Supervisor:
    """Ends the term of one group when its primary or members must change.

    Every proxy runs one supervisor for each of its groups. The order in
    which the proxies take turns only avoids duplicate work; safety does not
    depend on it.
    """

    def __init__(
        self,
        group: str,
        proxy: str,
        rng: random.Random,
        traits: _traits.Traits = _traits.POSTGRESQL,
    ) -> None:
        self._traits = traits
        self._group = group
        self._proxy = proxy
        self._rng = rng
        self._step = Step.WATCH
        self._step_since = 0.0
        self._retry_at = 0.0
        self._watch = _watching.TermWatch(group, proxy)
        self._seen: sv.Observed | None = None
        self._progress = _AttemptProgress()
        self._next_control = 1
        self._controls: dict[int, str] = {}
        self._last_follow_at = float('-inf')
        self._commands: list[sv.SupervisorCommand] = []
        self._handlers: dict[type, typing.Callable[..., None]] = {
            sv.Observed: self._observed,
            sv.RowRead: self._row_read,
            sv.RowWritten: self._row_written,
            sv.RowRequestFailed: self._row_lost,
            sv.ControlEnded: self._control_ended,
            sv.HoldersListed: self._holders_listed,
            sv.PermissionReleased: self._permission_released,
            sv.ProcessResumed: self._process_resumed,
        }

    @property
    def step(self) -> Step:
        """The step that the supervisor is carrying out."""
        return self._step

    def handle(
        self, event: sv.SupervisorEvent, now: float
    ) -> list[sv.SupervisorCommand]:
        """Process one event at ``now`` and return the commands to run."""
        self._handlers[type(event)](event, now)
        commands, self._commands = self._commands, []
        return commands

    # Watching -------------------------------------------------------------

    def _observed(self, event: sv.Observed, now: float) -> None:
        self._seen = event
        self._watch.observe(event, now)
        if self._is_superseded(event.row):
            self._abandon('superseded by a later term or attempt', now)
        if self._step is not Step.WATCH:
            self._advance(now)
            return
        if event.row is not None and event.row.attempt is not None:
            # An order to follow that arrives late would clear the promise of
            # an endpoint that the attempt has fenced.
            self._cancel_controls()
        reason = self._watch.reason_to_end_term(event, now)
        if not reason:
            self._order_follow(now)
        elif now >= self._retry_at:
            self._start(reason, now)

    def _is_superseded(self, row: _row.GroupRow | None) -> bool:
        """Return whether a row shows a later term or attempt.

        A superseded attempt must stop: if it continues, it fences the
        primary of the later term. That left a group of three proxies
        without a primary for 28 s.
        """
        own = self._progress.row
        if self._step in (Step.WATCH, Step.SETUP) or row is None:
            return False
        if own is None or row == own:
            return False
        if own.attempt is None:
            # The row is being published; only a later term supersedes it.
            return row.term > own.term
        if row.term >= own.attempt.next_term:
            return True
        attempt = row.attempt
        return (
            attempt is not None and attempt.next_term > own.attempt.next_term
        )

    def _process_resumed(self, event: sv.ProcessResumed, now: float) -> None:
        self._watch.resumed(now)

    def _order_follow(self, now: float) -> None:
        """Order replicas to follow the primary if this proxy ranks first."""
        seen = self._seen
        assert seen is not None
        if now - self._last_follow_at < FOLLOW_INTERVAL_S:
            return
        if _rendezvous.rank(self._group, self._proxy, seen.peers) != 0:
            return
        if seen.row is None or seen.row.primary not in seen.cfg.endpoints:
            return
        if not seen.replicas_to_repair:
            return
        self._last_follow_at = now
        primary = seen.cfg.endpoints[seen.row.primary]
        job = _jobs.FollowJob(primary.host, primary.port)
        for name in seen.cfg.endpoints:
            if name in seen.replicas_to_repair:
                self._run_control(name, job, now + CONTROL_LIMIT_S)

    # Steps ----------------------------------------------------------------

    def _start(self, reason: str, now: float) -> None:
        assert self._seen is not None
        next_members = _membership.next_members(self._seen)
        self._progress = _AttemptProgress(
            reason=reason,
            next_members=next_members,
            config_version=self._seen.config_version,
            observed_row=self._seen.row,
        )
        self._cancel_controls()
        self._enter(Step.READ, now)
        self._commands.append(sv.ReadRow())

    def _enter(self, step: Step, now: float) -> None:
        self._step = step
        self._step_since = now

    def _abandon(self, why: str, now: float) -> None:
        """Return to watching; any supervisor can continue from the row.

        Control jobs that have not ended are cancelled, since they could
        reach the primary of a later term.
        """
        self._commands.append(sv.WriteLog('attempt_abandoned', why))
        self._cancel_controls()
        self._step = Step.WATCH
        self._retry_at = now + self._rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)

    def _cancel_controls(self) -> None:
        """Cancel the control jobs that have not ended."""
        if self._controls:
            self._controls.clear()
            self._commands.append(sv.CancelControls())

    def _advance(self, now: float) -> None:
        """Check the time limit and repeat requests that are due."""
        limit = STEP_LIMIT_S
        if self._step is Step.PROMOTE:
            limit = PROMOTE_LIMIT_S
        if now - self._step_since > limit:
            self._abandon(
                f'step {self._step.value} exceeded its time limit', now
            )
        elif self._step is Step.FENCE:
            self._fence_missing(now)
        elif self._step is Step.REVOKE:
            self._revoke(now)
        elif self._step is Step.CHOOSE:
            self._poll_candidates(now)
        elif self._step is Step.PUBLISH and self._progress.retry_publish:
            self._write_published()

    def _row_read(self, event: sv.RowRead, now: float) -> None:
        if self._step is not Step.READ:
            return
        self._progress.generation = event.generation
        if event.row is None:
            self._begin_setup(now)
            return
        self._commands.append(sv.AnnounceRow(event.row))
        if event.row != self._progress.observed_row:
            # The reason may not hold for this row. In particular, another
            # attempt must be unchanged for a time before it is taken over.
            self._abandon('the row has changed', now)
            return
        self._claim(event, event.row, now)

    def _begin_setup(self, now: float) -> None:
        seen = self._seen
        assert seen is not None
        self._enter(Step.SETUP, now)
        self._run_control(
            seen.cfg.initial_primary,
            _jobs.SetupJob(1),
            now + CONTROL_LIMIT_S,
        )

    def _claim(
        self, event: sv.RowRead, row: _row.GroupRow, now: float
    ) -> None:
        attempt = _row.Attempt(
            id=f'{self._rng.getrandbits(64):016x}',
            by=self._proxy,
            next_term=_row.next_term(row, event.generation),
        )
        self._watch.attempt_begun(attempt.id)
        claimed = attrs.evolve(row, attempt=attempt)
        self._progress.row = claimed
        self._enter(Step.CLAIM, now)
        self._commands.append(
            sv.WriteLog(
                'term_ending',
                f'term {row.term}: {self._progress.reason}',
            )
        )
        self._commands.append(sv.WriteRow(claimed, event.tag))

    def _row_written(self, event: sv.RowWritten, now: float) -> None:
        if event.row != self._progress.row:
            return
        self._progress.tag = event.tag
        self._commands.append(sv.AnnounceRow(event.row))
        if self._step is Step.SETUP:
            self._step = Step.WATCH
        elif self._step is Step.CLAIM:
            self._log_claim()
            self._fence(now)
        elif self._step is Step.RECORD:
            self._promote(now)
        elif self._step is Step.PUBLISH:
            self._published(event.row, now)

    def _log_claim(self) -> None:
        """Log the attempt that was claimed and the one that it replaces."""
        claimed, observed = self._progress.row, self._progress.observed_row
        assert claimed is not None and claimed.attempt is not None
        assert observed is not None
        detail = f'term {claimed.attempt.next_term}'
        former = observed.attempt
        if former is not None:
            state = 'with' if former.chosen else 'without'
            detail += (
                f', replacing term {former.next_term} of {former.by}, '
                f'{state} a recorded choice'
            )
        self._commands.append(sv.WriteLog('attempt_claimed', detail))

    def _row_lost(self, event: sv.RowRequestFailed, now: float) -> None:
        if self._step is Step.PUBLISH and not event.conflict:
            # The endpoint is already promoted, so the write is repeated
            # instead of starting another attempt.
            self._progress.retry_publish = True
            return
        if self._step is not Step.WATCH:
            self._abandon(
                f'the row request of step {self._step.value} failed', now
            )

    # Fencing --------------------------------------------------------------

    def _fence(self, now: float) -> None:
        row = self._progress.row
        assert row is not None and row.attempt is not None
        self._enter(Step.FENCE, now)
        self._fence_missing(now)

    def _fence_missing(self, now: float) -> None:
        """Fence endpoints that are not fenced and have no job in flight."""
        progress = self._progress
        assert progress.row is not None and progress.row.attempt is not None
        if now - progress.last_request_at < REPEAT_INTERVAL_S:
            return
        progress.last_request_at = now
        in_flight = set(self._controls.values())
        job = _jobs.FenceJob(progress.row.attempt.next_term)
        for name in sorted(progress.row.members | progress.next_members):
            if name not in progress.fenced and name not in in_flight:
                self._run_control(name, job, now + CONTROL_LIMIT_S)

    def _fence_ended(
        self, name: str, report: _types.EndpointReport, now: float
    ) -> None:
        row = self._progress.row
        assert row is not None and row.attempt is not None
        promised = report.promised or 0
        if promised > row.attempt.next_term:
            self._abandon(
                'an endpoint has promised a later term than this attempt', now
            )
            return
        if promised < row.attempt.next_term:
            return
        self._progress.fenced[name] = report
        self._progress.promised_since.setdefault(name, now)
        majority_fenced = _election.has_fenced_majorities(
            row, set(self._progress.fenced), self._progress.next_members
        )
        if self._step is Step.FENCE and majority_fenced:
            self._progress.fenced_at = now
            self._enter(Step.LIST, now)
            self._commands.append(sv.ListHolders())

    # Revoking -------------------------------------------------------------

    def _holders_listed(self, event: sv.HoldersListed, now: float) -> None:
        if self._step is not Step.LIST:
            return
        self._progress.permission_holders = event.proxies
        self._enter(Step.REVOKE, now)
        self._revoke(now)

    def _permission_released(
        self, event: sv.PermissionReleased, now: float
    ) -> None:
        row = self._progress.row
        if self._step is not Step.REVOKE or row is None:
            return
        assert row.attempt is not None
        if event.below >= row.attempt.next_term:
            self._progress.released.add(event.proxy)
        self._revoke(now)

    def _revoke(self, now: float) -> None:
        progress = self._progress
        assert progress.row is not None and progress.row.attempt is not None
        missing = progress.permission_holders - progress.released
        expired = now - progress.fenced_at >= _permission.PERMISSION_WAIT
        listed = _row.began_in(progress.row, progress.generation)
        progress.released_by_all = listed and not missing
        if expired or progress.released_by_all:
            self._begin_choosing(now)
            return
        if now - progress.last_request_at >= REPEAT_INTERVAL_S:
            progress.last_request_at = now
            below = progress.row.attempt.next_term
            self._commands.append(sv.RequestRelease(missing, below))

    # Choosing -------------------------------------------------------------

    def _begin_choosing(self, now: float) -> None:
        """Request the status of the fenced endpoints again.

        No write of the former term can be acknowledged any more, so these
        reports cover all acknowledged writes.
        """
        self._enter(Step.CHOOSE, now)
        self._controls.clear()
        self._progress.last_request_at = float('-inf')
        fenced = set(self._progress.fenced)
        self._progress.fenced.clear()
        self._ask_status(fenced, now)

    def _poll_candidates(self, now: float) -> None:
        if now - self._progress.last_request_at < REPEAT_INTERVAL_S:
            return
        row = self._progress.row
        assert row is not None
        if not self._choose(now):
            names = set(row.members | self._progress.next_members)
            self._ask_status(names, now)

    def _ask_status(self, names: set[str], now: float) -> None:
        self._progress.last_request_at = now
        for name in sorted(names):
            self._run_control(name, _jobs.StatusJob(), now + CONTROL_LIMIT_S)

    def _choose(self, now: float) -> bool:
        """Record the endpoint to promote; return False if none is eligible."""
        row, seen = self._progress.row, self._seen
        assert row is not None and seen is not None
        assert row.attempt is not None
        candidates = _election.ElectionState(
            fenced={
                name: report
                for name, report in self._progress.fenced.items()
                if report.promised == row.attempt.next_term
            },
            to_come=self._progress.next_members,
            leaving=seen.leaving,
            may_wait=not self._traits.fence_stops_replication
            and now - self._step_since < CATCH_UP_LIMIT_S,
            failing=seen.failing,
        )
        chosen = _election.choose_primary(row, candidates)
        if chosen is None or not self._has_waited(candidates.fenced, now):
            return False
        self._record(chosen, now)
        return True

    def _has_waited(
        self, promising: dict[str, _types.EndpointReport], now: float
    ) -> bool:
        """Return whether no unreachable proxy can hold the permission.

        The wait counts from the fence of the majority that still promises
        the next term: another member may have lost its promise meanwhile and
        renewed the permission of a proxy.
        """
        progress = self._progress
        assert progress.row is not None
        if progress.released_by_all:
            return True
        for name in progress.promised_since.keys() - promising.keys():
            del progress.promised_since[name]
        for name in promising:
            progress.promised_since.setdefault(name, now)
        members = progress.row.members & promising.keys()
        since = sorted(progress.promised_since[name] for name in members)
        fenced_at = since[progress.row.majority - 1]
        return now - fenced_at >= _permission.PERMISSION_WAIT

    def _record(self, chosen: str, now: float) -> None:
        row = self._progress.row
        assert row is not None and row.attempt is not None
        attempt = attrs.evolve(row.attempt, chosen=chosen)
        self._progress.row = attrs.evolve(row, attempt=attempt)
        self._progress.recorded_at = now
        self._enter(Step.RECORD, now)
        self._commands.append(
            sv.WriteRow(self._progress.row, self._progress.tag)
        )

    # Promoting and publishing ---------------------------------------------

    def _promote(self, now: float) -> None:
        row = self._progress.row
        assert row is not None and row.attempt is not None
        until = self._progress.recorded_at + _watching.PROMOTION_LEASE_S
        if now >= until:
            self._abandon(
                'the promotion lease ended before the choice was recorded', now
            )
            return
        self._enter(Step.PROMOTE, now)
        self._watch.promotion_ordered()
        # A late result of an earlier step's job must not be taken for the
        # result of the promotion.
        self._controls.clear()
        job = _jobs.PromoteJob(
            term=row.attempt.next_term,
            former_term=row.term,
            reelected=row.attempt.chosen == row.primary,
            until=until,
        )
        self._run_control(row.attempt.chosen, job, now + PROMOTE_LIMIT_S)

    def _publish(self, done: _jobs.JobDone, now: float) -> None:
        row = self._progress.row
        assert row is not None
        attempt = row.attempt
        assert attempt is not None
        marker = done.report.marker
        _types.invariant(
            marker == attempt.next_term or row.marker < marker,
            'the data of a promoted endpoint does not carry its term',
        )
        fork = _row.Fork(row.term, done.fork_lsn)
        self._progress.row = _row.GroupRow(
            term=attempt.next_term,
            primary=attempt.chosen,
            members=self._progress.next_members,
            config_version=self._progress.config_version,
            forks=(*row.forks, fork),
            log_term=0 if marker == attempt.next_term else marker,
            start=done.report.received,
        )
        self._progress.starts_at = _position_at_start(row.term, done)
        self._progress.promotion_took = now - self._step_since
        self._enter(Step.PUBLISH, now)
        self._write_published()

    def _write_published(self) -> None:
        self._progress.retry_publish = False
        assert self._progress.row is not None
        self._commands.append(
            sv.WriteRow(self._progress.row, self._progress.tag)
        )

    def _published(self, row: _row.GroupRow, now: float) -> None:
        self._step = Step.WATCH
        self._last_follow_at = float('-inf')
        self._commands.append(
            sv.WriteLog(
                'term_begun',
                f'term {row.term} with primary {row.primary}',
                sv.TermStart(
                    self._progress.starts_at,
                    self._progress.promotion_took,
                    now - self._step_since,
                ),
            )
        )

    # Jobs on endpoints ----------------------------------------------------

    def _run_control(
        self, endpoint: str, job: _jobs.Job, deadline: float
    ) -> None:
        control = self._next_control
        self._next_control += 1
        self._controls[control] = endpoint
        self._commands.append(sv.RunControl(control, endpoint, job, deadline))

    def _control_ended(self, event: sv.ControlEnded, now: float) -> None:
        if self._controls.pop(event.control, None) is None:
            return
        outcome = event.outcome
        if isinstance(outcome, _jobs.JobFailed):
            if self._step in (Step.PROMOTE, Step.SETUP):
                if outcome.failure is _jobs.Failure.REFUSED:
                    self._watch.promotion_refused()
                self._abandon(
                    f'{self._step.value} failed: {outcome.detail}', now
                )
            return
        if self._step is Step.SETUP:
            self._write_first_row(outcome.report.marker)
        elif self._step in (Step.FENCE, Step.LIST, Step.REVOKE):
            self._fence_ended(event.endpoint, outcome.report, now)
        elif self._step is Step.CHOOSE:
            self._progress.fenced[event.endpoint] = outcome.report
            self._choose(now)
        elif self._step is Step.PROMOTE:
            self._publish(outcome, now)

    def _write_first_row(self, marker: int) -> None:
        seen = self._seen
        assert seen is not None
        log_term = max(1, marker)
        term = max(log_term, _row.first_term(self._progress.generation))
        self._progress.row = _row.GroupRow(
            term=term,
            log_term=0 if term == log_term else log_term,
            primary=seen.cfg.initial_primary,
            members=self._progress.next_members,
            config_version=self._progress.config_version,
        )
        self._commands.append(sv.WriteRow(self._progress.row, None))


def _position_at_start(
    former_term: int, done: _jobs.JobDone
) -> _types.Position | None:
    """Return where the log of a promoted endpoint stands, if known."""
    if done.report.stated_received is not None:
        return done.report.stated_received
    if done.fork_lsn == _jobs.NO_LOSS:
        return None
    return _types.Position(former_term, done.fork_lsn)

"""The supervisor: ends a term and begins the next, whatever fails.

Every step is safe to repeat and to abandon: another supervisor goes on
from the row. What makes it safe is the order of the steps, not timing
between supervisors:

1. *Claim*: a compare-and-set of the row names this attempt and its term.
2. *Fence*: endpoints raise their promise; a majority must have done so.
   From then on no proxy can gain permission for the former term.
3. *List*, then *revoke*: registered proxies give up their permission;
   those that don't answer are waited out.
4. *Choose* the endpoint with the newest data and write it into the row.
5. *Promote* it, and mark the term in the data. A platform may count on the
   numbers of such orders to rise without checking them, so this step alone
   has a lease: the order is sent soon after the row of step 4 or not at all,
   and nobody takes the attempt over before.
6. *Publish* the new term by another compare-and-set.
"""

import enum
import random
import typing

import attrs

from tidegrade.core import _choice
from tidegrade.core import _jobs
from tidegrade.core import _membership
from tidegrade.core import _permission
from tidegrade.core import _rendezvous
from tidegrade.core import _row
from tidegrade.core import _supervision as sv
from tidegrade.core import _traits
from tidegrade.core import _types
from tidegrade.core import _watching

#: Time that a replica gets to catch up with one that may not lead.
CATCH_UP_LIMIT = 1.5
#: Time that each step may take before the attempt is abandoned.
STEP_LIMIT = 3.0
#: Time that one job on an endpoint may take.
CONTROL_LIMIT = 1.0
#: Time that a promotion may take.
PROMOTE_LIMIT = 10.0
#: Pause before a supervisor tries again after a failure, in seconds.
MIN_PAUSE = 0.05
MAX_PAUSE = 0.5
#: Pause between requests to give up, and between looks at candidates.
REPEAT_INTERVAL = 0.05
#: Pause between orders to replicas to follow the primary.
FOLLOW_INTERVAL = 2.0


class Step(enum.Enum):
    """What a supervisor is doing."""

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
class _Work:
    """What an attempt has reached."""

    reason: str = ''
    config_version: int = 0
    row: _row.GroupRow | None = None
    tag: str | None = None
    to_come: frozenset[str] = frozenset()
    fenced: dict[str, _types.EndpointReport] = attrs.field(factory=dict)
    fenced_at: float = 0.0
    #: When the row that records the choice was sent.
    recorded_at: float = 0.0
    holders: frozenset[str] = frozenset()
    gave_up: set[str] = attrs.field(factory=set)
    last_order: float = float('-inf')
    publish_again: bool = False
    #: Of the platform's table when the row was read.
    generation: int = 0


class Supervisor:
    """Changes the primary of one group when that is needed.

    Every proxy has one for each of its groups; the turn they take only
    saves work, it is not what makes the change safe.
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
        self._since = 0.0
        self._not_before = 0.0
        self._watch = _watching.Watch(group, proxy)
        self._seen: sv.Observed | None = None
        self._work = _Work()
        self._next_control = 1
        self._controls: dict[int, str] = {}
        self._last_follow = float('-inf')
        self._commands: list[sv.SupervisorCommand] = []
        self._handlers: dict[type, typing.Callable[..., None]] = {
            sv.Observed: self._observed,
            sv.RowRead: self._row_read,
            sv.RowWritten: self._row_written,
            sv.RowLost: self._row_lost,
            sv.ControlEnded: self._control_ended,
            sv.HoldersListed: self._holders_listed,
            sv.GaveUp: self._peer_gave_up,
            sv.Woke: self._woke,
        }

    @property
    def step(self) -> Step:
        """Give what the supervisor is doing."""
        return self._step

    def handle(
        self, event: sv.SupervisorEvent, now: float
    ) -> list[sv.SupervisorCommand]:
        """Take one event at ``now`` and give the commands to carry out."""
        self._handlers[type(event)](event, now)
        commands, self._commands = self._commands, []
        return commands

    # Watching -------------------------------------------------------------

    def _observed(self, event: sv.Observed, now: float) -> None:
        self._seen = event
        self._watch.observe(event, now)
        if self._is_superseded(event.row):
            self._abandon('a later term or attempt is known', now)
        if self._step is not Step.WATCH:
            self._go_on(now)
            return
        reason = self._watch.reason_to_begin(event, now)
        if not reason:
            self._follow(now)
        elif now >= self._not_before:
            self._start(reason, now)

    def _is_superseded(self, row: _row.GroupRow | None) -> bool:
        """Tell whether a row shows that another supervisor is further.

        An attempt that went on fenced the primary of the later term, which
        left a group without one for 28 s (three proxies, one run).
        """
        own = self._work.row
        if self._step in (Step.WATCH, Step.SETUP) or row is None:
            return False
        if own is None or row == own:
            return False
        if own.attempt is None:
            # Being published: only a term after it supersedes it.
            return row.term > own.term
        if row.term >= own.attempt.next_term:
            return True
        attempt = row.attempt
        return (
            attempt is not None and attempt.next_term > own.attempt.next_term
        )

    def _woke(self, event: sv.Woke, now: float) -> None:
        self._watch.woke(now)

    def _follow(self, now: float) -> None:
        """Make the replicas follow the primary; the first in turn does."""
        seen = self._seen
        assert seen is not None
        if now - self._last_follow < FOLLOW_INTERVAL:
            return
        if _rendezvous.rank(self._group, self._proxy, seen.peers) != 0:
            return
        if seen.row is None or seen.row.primary not in seen.cfg.endpoints:
            return
        if not seen.to_follow:
            return
        self._last_follow = now
        primary = seen.cfg.endpoints[seen.row.primary]
        job = _jobs.FollowJob(primary.host, primary.port)
        for name in seen.cfg.endpoints:
            if name in seen.to_follow:
                self._control(name, job, now + CONTROL_LIMIT)

    # Steps ----------------------------------------------------------------

    def _start(self, reason: str, now: float) -> None:
        assert self._seen is not None
        to_come = _membership.to_come(self._seen)
        self._work = _Work(
            reason=reason,
            to_come=to_come,
            config_version=self._seen.config_version,
        )
        self._controls.clear()
        self._enter(Step.READ, now)
        self._commands.append(sv.ReadRow())

    def _enter(self, step: Step, now: float) -> None:
        self._step = step
        self._since = now

    def _abandon(self, why: str, now: float) -> None:
        """Go back to watching; the row lets anybody continue.

        Orders that have not ended are taken back: they could meet the
        primary of a later term.
        """
        self._commands.append(sv.Note('attempt_abandoned', why))
        if self._controls:
            self._controls.clear()
            self._commands.append(sv.RecallControls())
        self._step = Step.WATCH
        self._not_before = now + self._rng.uniform(MIN_PAUSE, MAX_PAUSE)

    def _go_on(self, now: float) -> None:
        """Do what time alone brings about."""
        limit = STEP_LIMIT
        if self._step is Step.PROMOTE:
            limit = PROMOTE_LIMIT
        if now - self._since > limit:
            self._abandon(f'the step {self._step.value} took too long', now)
        elif self._step is Step.FENCE:
            self._fence_missing(now)
        elif self._step is Step.REVOKE:
            self._revoke(now)
        elif self._step is Step.CHOOSE:
            self._look_again(now)
        elif self._step is Step.PUBLISH and self._work.publish_again:
            self._write_published()

    def _row_read(self, event: sv.RowRead, now: float) -> None:
        if self._step is not Step.READ:
            return
        self._work.generation = event.generation
        if event.row is None:
            self._begin_setup(now)
            return
        self._commands.append(sv.Announce(event.row))
        seen = self._seen
        assert seen is not None
        if seen.row is None or event.row != seen.row:
            self._abandon('the row has changed', now)
            return
        self._claim(event, event.row, now)

    def _begin_setup(self, now: float) -> None:
        seen = self._seen
        assert seen is not None
        self._enter(Step.SETUP, now)
        self._control(
            seen.cfg.initial_primary,
            _jobs.SetupJob(1),
            now + CONTROL_LIMIT,
        )

    def _claim(
        self, event: sv.RowRead, row: _row.GroupRow, now: float
    ) -> None:
        attempt = _row.Attempt(
            id=f'{self._rng.getrandbits(64):016x}',
            by=self._proxy,
            next_term=_row.next_term(row, event.generation),
        )
        claimed = attrs.evolve(row, attempt=attempt)
        self._work.row = claimed
        self._enter(Step.CLAIM, now)
        self._commands.append(
            sv.Note(
                'term_ending',
                f'term {row.term}: {self._work.reason}',
            )
        )
        self._commands.append(sv.WriteRow(claimed, event.tag))

    def _row_written(self, event: sv.RowWritten, now: float) -> None:
        if event.row != self._work.row:
            return
        self._work.tag = event.tag
        self._commands.append(sv.Announce(event.row))
        if self._step is Step.SETUP:
            self._step = Step.WATCH
        elif self._step is Step.CLAIM:
            self._fence(now)
        elif self._step is Step.RECORD:
            self._promote(now)
        elif self._step is Step.PUBLISH:
            self._published(event.row, now)

    def _row_lost(self, event: sv.RowLost, now: float) -> None:
        if self._step is Step.PUBLISH and not event.conflict:
            # The endpoint leads already: nobody gains by starting again.
            self._work.publish_again = True
            return
        if self._step is not Step.WATCH:
            self._abandon(f'the platform did not take {self._step.value}', now)

    # Fencing --------------------------------------------------------------

    def _fence(self, now: float) -> None:
        row = self._work.row
        assert row is not None and row.attempt is not None
        self._enter(Step.FENCE, now)
        self._fence_missing(now)

    def _fence_missing(self, now: float) -> None:
        """Order the fences that are neither raised nor under way."""
        work = self._work
        assert work.row is not None and work.row.attempt is not None
        if now - work.last_order < REPEAT_INTERVAL:
            return
        work.last_order = now
        under_way = set(self._controls.values())
        job = _jobs.FenceJob(work.row.attempt.next_term)
        for name in sorted(work.row.members | work.to_come):
            if name not in work.fenced and name not in under_way:
                self._control(name, job, now + CONTROL_LIMIT)

    def _fenced(
        self, name: str, report: _types.EndpointReport, now: float
    ) -> None:
        row = self._work.row
        assert row is not None and row.attempt is not None
        promised = report.promised or 0
        if promised > row.attempt.next_term:
            self._abandon('an endpoint has promised a later term', now)
            return
        if promised < row.attempt.next_term:
            return
        self._work.fenced[name] = report
        enough = _choice.enough_fenced(
            row, set(self._work.fenced), self._work.to_come
        )
        if self._step is Step.FENCE and enough:
            self._work.fenced_at = now
            self._enter(Step.LIST, now)
            self._commands.append(sv.ListHolders())

    # Revoking -------------------------------------------------------------

    def _holders_listed(self, event: sv.HoldersListed, now: float) -> None:
        if self._step is not Step.LIST:
            return
        self._work.holders = event.proxies
        self._enter(Step.REVOKE, now)
        self._revoke(now)

    def _peer_gave_up(self, event: sv.GaveUp, now: float) -> None:
        row = self._work.row
        if self._step is not Step.REVOKE or row is None:
            return
        assert row.attempt is not None
        if event.below >= row.attempt.next_term:
            self._work.gave_up.add(event.proxy)
        self._revoke(now)

    def _revoke(self, now: float) -> None:
        work = self._work
        assert work.row is not None and work.row.attempt is not None
        missing = work.holders - work.gave_up
        waited = now - work.fenced_at >= _permission.PERMISSION_WAIT
        listed = _row.began_in(work.row, work.generation)
        if waited or (listed and not missing):
            self._begin_choice(now)
            return
        if now - work.last_order >= REPEAT_INTERVAL:
            work.last_order = now
            below = work.row.attempt.next_term
            self._commands.append(sv.AskGiveUp(missing, below))

    # Choosing -------------------------------------------------------------

    def _begin_choice(self, now: float) -> None:
        """Look at the fenced endpoints again: no write can be added now."""
        self._enter(Step.CHOOSE, now)
        self._controls.clear()
        self._work.last_order = float('-inf')
        fenced = set(self._work.fenced)
        self._work.fenced.clear()
        self._ask_status(fenced, now)

    def _look_again(self, now: float) -> None:
        if now - self._work.last_order < REPEAT_INTERVAL:
            return
        row = self._work.row
        assert row is not None
        if not self._choose(now):
            names = set(row.members | self._work.to_come)
            self._ask_status(names, now)

    def _ask_status(self, names: set[str], now: float) -> None:
        self._work.last_order = now
        for name in sorted(names):
            self._control(name, _jobs.StatusJob(), now + CONTROL_LIMIT)

    def _choose(self, now: float) -> bool:
        """Record the endpoint to promote, once that is safe."""
        row, seen = self._work.row, self._seen
        assert row is not None and seen is not None
        assert row.attempt is not None
        known = _choice.Candidates(
            fenced={
                name: report
                for name, report in self._work.fenced.items()
                if report.promised == row.attempt.next_term
            },
            to_come=self._work.to_come,
            leaving=seen.leaving,
            may_wait=not self._traits.fence_stops_replication
            and now - self._since < CATCH_UP_LIMIT,
        )
        chosen = _choice.choose(row, known)
        if chosen is None:
            return False
        self._record(chosen, now)
        return True

    def _record(self, chosen: str, now: float) -> None:
        row = self._work.row
        assert row is not None and row.attempt is not None
        attempt = attrs.evolve(row.attempt, chosen=chosen)
        self._work.row = attrs.evolve(row, attempt=attempt)
        self._work.recorded_at = now
        self._enter(Step.RECORD, now)
        self._commands.append(sv.WriteRow(self._work.row, self._work.tag))

    # Promoting and publishing ---------------------------------------------

    def _promote(self, now: float) -> None:
        row = self._work.row
        assert row is not None and row.attempt is not None
        until = self._work.recorded_at + _watching.PROMOTION_LEASE
        if now >= until:
            self._abandon('the choice was recorded too late', now)
            return
        self._enter(Step.PROMOTE, now)
        # What a job of an earlier step says late is no promotion.
        self._controls.clear()
        job = _jobs.PromoteJob(
            term=row.attempt.next_term,
            former_term=row.term,
            reelected=row.attempt.chosen == row.primary,
            until=until,
        )
        self._control(row.attempt.chosen, job, now + PROMOTE_LIMIT)

    def _publish(self, done: _jobs.JobDone, now: float) -> None:
        row = self._work.row
        assert row is not None
        attempt = row.attempt
        assert attempt is not None
        marker = done.report.marker
        _types.invariant(
            marker == attempt.next_term or row.marker < marker,
            'a promoted endpoint does not bear its term',
        )
        fork = _row.Fork(row.term, done.fork_lsn)
        self._work.row = _row.GroupRow(
            term=attempt.next_term,
            primary=attempt.chosen,
            members=self._work.to_come,
            config_version=self._work.config_version,
            forks=(*row.forks, fork),
            log_term=0 if marker == attempt.next_term else marker,
        )
        self._enter(Step.PUBLISH, now)
        self._write_published()

    def _write_published(self) -> None:
        self._work.publish_again = False
        assert self._work.row is not None
        self._commands.append(sv.WriteRow(self._work.row, self._work.tag))

    def _published(self, row: _row.GroupRow, now: float) -> None:
        self._step = Step.WATCH
        self._last_follow = float('-inf')
        self._commands.append(
            sv.Note(
                'term_begun',
                f'term {row.term} with primary {row.primary}',
            )
        )

    # Jobs on endpoints ----------------------------------------------------

    def _control(self, endpoint: str, job: _jobs.Job, deadline: float) -> None:
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
                self._abandon(
                    f'{self._step.value} failed: {outcome.detail}', now
                )
            return
        if self._step is Step.SETUP:
            self._write_first_row(outcome.report.marker)
        elif self._step in (Step.FENCE, Step.LIST, Step.REVOKE):
            self._fenced(event.endpoint, outcome.report, now)
        elif self._step is Step.CHOOSE:
            self._work.fenced[event.endpoint] = outcome.report
            self._choose(now)
        elif self._step is Step.PROMOTE:
            self._publish(outcome, now)

    def _write_first_row(self, marker: int) -> None:
        seen = self._seen
        assert seen is not None
        log_term = max(1, marker)
        term = max(log_term, _row.first_term(self._work.generation))
        self._work.row = _row.GroupRow(
            term=term,
            log_term=0 if term == log_term else log_term,
            primary=seen.cfg.initial_primary,
            members=self._work.to_come,
            config_version=self._work.config_version,
        )
        self._commands.append(sv.WriteRow(self._work.row, None))

"""The state of a group on one proxy, shared by the decision modules."""

import collections
import random

import attrs

from tidegrade import config
from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _pool
from tidegrade.core import _recovery
from tidegrade.core import _row
from tidegrade.core import _shares
from tidegrade.core import _traits
from tidegrade.core import _types
from tidegrade.core import _view
from tidegrade.core.health import _work
from tidegrade.core.permission import _permission
from tidegrade.core.permission import _promises

#: After a pause of the process longer than this, in seconds, the proxy
#: reads the group's row again before it acknowledges writes. During the
#: pause the term may have ended and the fences of that change of primary
#: may have been removed.
MAX_TRUSTED_PAUSE_S = 0.8
#: After a pause of the process longer than this, in seconds, overdue
#: answers don't count as failures of their endpoints. The value is less
#: than the shortest silence after which an endpoint is considered down, and
#: more than the usual scheduling delay on a busy VM.
MAX_SCHEDULING_DELAY_S = 0.25
#: Time to read the answers that arrived during a pause, in seconds.
BACKLOG_READ_S = 0.2
#: How long a fence stays after the next term is published, in seconds. By
#: then every proxy knows of the term, is paused or is cut off.
FENCE_RETENTION_S = 1.2
#: How long a leaving primary accepts requests while its term is being
#: ended, in seconds.
LEAVING_GRACE_S = 1.0


@attrs.frozen
class MachineSettings:
    """The properties of a proxy that its group machines depend on."""

    proxy_id: str
    domain: str
    max_proxies: int
    traits: _traits.Traits = _traits.POSTGRESQL


@attrs.define
class GroupState:
    """What a proxy knows of a group, and the commands for the driver.

    All points in time and durations are in seconds.
    """

    cfg: config.Group
    settings: MachineSettings
    rng: random.Random
    pool: _pool.Pool
    permission: _permission.Permission
    views: dict[str, _view.EndpointView]
    samples: _view.PositionSamples = attrs.field(factory=_view.PositionSamples)
    former: _view.FormerPosition | None = None
    row: _row.GroupRow | None = None
    registered: bool = False
    term_since: float = float('-inf')
    paused_at: float | None = None
    polls_for_peers: bool = True
    draining: bool = False
    #: Whether the process is about to end, so that nothing more is run.
    ended: bool = False
    recovery: _recovery.RecoveryEstimate = attrs.field(
        factory=_recovery.RecoveryEstimate
    )
    now: float = 0.0
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    #: Whether the endpoints answer statements of callers.
    work_health: collections.defaultdict[str, _work.WorkHealth] = attrs.field(
        factory=lambda: collections.defaultdict(_work.WorkHealth)
    )
    #: Whether statements timed out at the primary as its term began to end.
    primary_hung: bool = False
    commands: list[_events.Command] = attrs.field(factory=list)

    @classmethod
    def create(
        cls,
        cfg: config.Group,
        settings: MachineSettings,
        rng: random.Random,
    ) -> 'GroupState':
        """Return the state of a proxy that knows only its configuration."""
        return cls(
            cfg=cfg,
            settings=settings,
            rng=rng,
            pool=_pool.Pool(
                _shares.shares_of(cfg, settings.max_proxies),
                rng,
            ),
            permission=_permission.Permission(
                _promises.ForgetfulPromises()
                if settings.traits.promotion_clears_promises
                else _promises.DurablePromises()
            ),
            views={n: _view.EndpointView(n) for n in cfg.endpoints},
        )

    def emit(self, command: _events.Command) -> None:
        """Add a command to the result of the current event."""
        self.commands.append(command)

    def start_job(
        self,
        conn: _pool.Conn,
        job: _jobs.Job,
        owner: object,
        deadline: float,
        now: float,
    ) -> None:
        """Run a job on an idle connection; ``deadline`` is a point in time."""
        _types.invariant(conn.job is None, 'connection already runs a job')
        conn.state = _pool.ConnState.BUSY
        conn.job = job
        conn.owner = owner
        conn.sent_at = now
        conn.deadline = deadline
        if isinstance(job, _jobs.CALLER_JOBS):
            self.work_health[conn.endpoint].record_sent(now)
        self.emit(_events.RunJob(conn.id, job, deadline))

    def open(self, endpoint: str, tenant: str | None, now: float) -> None:
        """Open another connection to an endpoint."""
        conn = self.pool.open(endpoint, tenant, now)
        self.emit(_events.OpenConn(conn.id, endpoint, tenant))

    @property
    def own_tenant(self) -> str | None:
        """The tenant of connections for the proxy's own statements."""
        return '' if self.settings.traits.tenants_connect else None

    def tenant_of(self, req: _types.Request) -> str | None:
        """Return the tenant whose connections a request needs.

        None means that the request can use any connection.
        """
        return req.tenant if self.settings.traits.tenants_connect else None

    def close(self, conn: _pool.Conn) -> None:
        """Close a connection, unless it is already being closed."""
        if conn.state is not _pool.ConnState.CLOSING:
            conn.state = _pool.ConnState.CLOSING
            conn.job = None
            conn.owner = None
            self.emit(_events.CloseConn(conn.id))

    def may_acknowledge(self, now: float) -> bool:
        """Return whether writes of the current term may be acknowledged."""
        if self.paused_at is not None:
            return False
        return self.registered and self.permission.held(now)

    def can_use_primary(self, now: float) -> bool:
        """Return whether requests that need the primary can be served."""
        if not self.may_acknowledge(now):
            return False
        return self.row is None or not self.fails_work(self.row.primary, now)

    def fails_work(self, name: str, now: float) -> bool:
        """Return whether an endpoint has failed all statements for long."""
        return self.work_health[name].is_failing(now)

    def record_work(
        self,
        name: str,
        outcome: _jobs.JobOutcome,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the outcome of a caller's statement at an endpoint."""
        health = self.work_health[name]
        was_open = health.is_open
        failure = None
        if isinstance(outcome, _jobs.JobFailed) and not (
            outcome.usable or outcome.answered
        ):
            failure = outcome.failure
        if failure is _jobs.Failure.LOST:
            health.record_lost(now)
        elif failure is _jobs.Failure.TIMEOUT:
            health.record_timeout(sent_at, now)
        else:
            health.record_answer()
        if health.is_open != was_open:
            self.emit(_events.WorkHealthChanged(name, health.is_open))

    def note_hanging_primary(self, now: float) -> None:
        """Record whether the primary hangs, before a newer row is taken."""
        if self.row is None:
            return
        health = self.work_health[self.row.primary]
        if health.is_hanging(now) or health.must_answer:
            self.primary_hung = True

    def reset_work_health(self, primary: str) -> None:
        """Begin a term: former failures do not count in the new roles.

        If statements timed out at the former primary, the new one must answer
        one before time-outs count again. Otherwise a caller whose statements
        take longer than its time limit has one primary replaced after another.
        """
        self.work_health.clear()
        self.work_health[primary].must_answer = self.primary_hung
        self.primary_hung = False

    def row_confirmed(self, asked_at: float) -> None:
        """Record that the row was current at ``asked_at``.

        This ends the distrust in the row after a pause before ``asked_at``.
        """
        if self.paused_at is not None and asked_at >= self.paused_at:
            self.paused_at = None

    def row_read(self, row: _row.GroupRow, asked_at: float) -> None:
        """Record that the platform was asked for the row at ``asked_at``.

        Only a row without an attempt shows that the term is not being ended.
        """
        if row == self.row and row.attempt is None:
            self.permission.row_read(asked_at)

    def record_position(self, at: float, lsn: int, own: bool = True) -> None:
        """Record the primary's position for a poll that was sent at ``at``.

        If positions restart with each term, position 0 of a later term does
        not show what a replica holds: a replica is at 0 before it has
        received the data of the former terms. Only a commit of the term
        implies that data. ``own`` tells whether this proxy sent the poll.
        """
        restarts = self.settings.traits.positions_restart
        first_term = self.row is not None and self.row.marker <= 1
        if lsn or first_term or not restarts:
            self.samples.add(at, lsn, own)

    def record_former_position(self, row: _row.GroupRow) -> None:
        """Keep the newest position with a known time of a term that ends."""
        last = self.samples.newest_until(self.permission.exclusive_until())
        if last is None:
            return
        if self.former is not None and self.former.at >= last.at:
            return
        position = _types.Position(row.term, last.lsn)
        self.former = _view.FormerPosition(position, row.marker, last.at)

    def primary_position(self) -> _types.Position | None:
        """Return a position that the primary must have reached.

        It is the newest one known of this term, or the one at which the term
        began. It is None if neither is known, or if endpoints don't check
        positions.
        """
        if self.row is None or not self.settings.traits.checks_position:
            return None
        newest = self.samples.newest
        if newest is None:
            return self.row.start
        return _types.Position(self.row.marker, newest.lsn)

    def has_current_term(self, name: str) -> bool:
        """Return whether an endpoint's last report is of the current term."""
        report = self.views[name].report
        return report is not None and self.is_current(name, report)

    def is_current(self, name: str, report: _types.EndpointReport) -> bool:
        """Return whether a report has the current term and expected role.

        A former primary that has come back is not a replica until it reports
        that role: until then its position does not describe the data of the
        current term.
        """
        if self.row is None or report.marker != self.row.marker:
            return False
        if report.in_recovery is None:
            return True
        return report.in_recovery == (name != self.row.primary)

    def accepts_requests(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get callers' requests."""
        return name in self.cfg.endpoints and name not in self.leaving_since

    def primary_accepts_requests(self, now: float) -> bool:
        """Return whether the primary is known and may get requests."""
        if self.row is None:
            return False
        name = self.row.primary
        if name not in self.cfg.endpoints:
            return False
        leaving = self.leaving_since.get(name)
        if leaving is not None and now >= leaving + LEAVING_GRACE_S:
            return False
        return self.work_health[name].may_send(now)

    def open_if_allowed(
        self,
        name: str,
        tenant: str | None,
        now: float,
        grow: bool = False,
    ) -> bool:
        """Open a connection if permitted; return whether one will open.

        If connections belong to tenants, an idle connection of another
        tenant is closed to make room. ``grow`` means that requests have
        waited for a connection.
        """
        if self.pool.opening_for(name, tenant):
            return True
        if self._is_opening_enough(name):
            return False
        if self.pool.may_open(name, now, has_tenants=bool(tenant)):
            self.open(name, tenant, now)
            return True
        if self._makes_room(name, tenant):
            return True
        if self.pool.may_open(name, now, grow, bool(tenant)):
            self.open(name, tenant, now)
            return True
        return False

    def _is_opening_enough(self, name: str) -> bool:
        """Return whether further attempts would wait for each other.

        Opening a connection takes a slot of the endpoint, as a statement
        does.
        """
        if not self.settings.traits.tenants_connect:
            return self.pool.opening(name)
        return self.pool.opening_count(name) >= self._slots_of(name)

    def _slots_of(self, name: str) -> int:
        """Return how many statements an endpoint runs concurrently.

        It is 1 for an endpoint in the row that is not in the configuration.
        """
        endpoint = self.cfg.endpoints.get(name)
        return endpoint.slots if endpoint is not None else 1

    def _makes_room(self, name: str, tenant: str | None) -> bool:
        """Close another tenant's connection; return whether one closes."""
        if self.pool.closing(name):
            return True
        victim = self.pool.longest_idle(name, tenant)
        if victim is None:
            return False
        self.close(victim)
        return True

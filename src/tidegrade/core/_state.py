"""The state of one group on one proxy, shared by the parts that decide."""

import random

import attrs

from tidegrade import config
from tidegrade.core import _events
from tidegrade.core import _jobs
from tidegrade.core import _permission
from tidegrade.core import _pool
from tidegrade.core import _recovery
from tidegrade.core import _row
from tidegrade.core import _shares
from tidegrade.core import _traits
from tidegrade.core import _types
from tidegrade.core import _view

#: A process that stood still for longer than this, in seconds, asks for
#: the group's row before it trusts the one it has: meanwhile the term may
#: have ended and the fences of that change may have been taken back.
LONGEST_PAUSE = 0.8
#: A process that stood still for longer than this, in seconds, blames no
#: endpoint for answers that are overdue: less than the shortest silence
#: after which one counts as down, more than a busy VM loses at a time.
LONGEST_DELAY = 0.25
#: How long answers that have come meanwhile may take to be read, in seconds.
READING_TIME = 0.2
#: How long a fence stays after the next term is published, in seconds: so
#: long that every proxy knows of the term, stands still or is cut off.
FENCE_KEPT = 1.2
#: How long a leaving primary takes writes while its term is ended.
LEAVING_GRACE = 1.0


@attrs.frozen
class MachineSettings:
    """What a group machine must know of the proxy it runs in."""

    proxy_id: str
    domain: str
    max_proxies: int
    traits: _traits.Traits = _traits.POSTGRESQL


@attrs.define
class GroupState:
    """What a proxy knows of a group, and the commands it has decided."""

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
    outlook: _recovery.RecoveryEstimate = attrs.field(
        factory=_recovery.RecoveryEstimate
    )
    now: float = 0.0
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    commands: list[_events.Command] = attrs.field(factory=list)

    @classmethod
    def create(
        cls,
        cfg: config.Group,
        settings: MachineSettings,
        rng: random.Random,
    ) -> 'GroupState':
        """Give the state of a proxy that knows only its configuration."""
        return cls(
            cfg=cfg,
            settings=settings,
            rng=rng,
            pool=_pool.Pool(
                _shares.shares_of(cfg, settings.max_proxies),
                rng,
            ),
            permission=_permission.Permission(),
            views={n: _view.EndpointView(n) for n in cfg.endpoints},
        )

    def order(self, command: _events.Command) -> None:
        """Add a command to those that the current event leads to."""
        self.commands.append(command)

    def run(
        self,
        conn: _pool.Conn,
        job: _jobs.Job,
        owner: object,
        deadline: float,
        now: float,
    ) -> None:
        """Run a job on a connection that has none."""
        _types.invariant(conn.job is None, 'two jobs on one connection')
        conn.state = _pool.ConnState.BUSY
        conn.job = job
        conn.owner = owner
        conn.sent_at = now
        conn.deadline = deadline
        self.order(_events.RunJob(conn.id, job, deadline))

    def open(self, endpoint: str, tenant: str | None, now: float) -> None:
        """Order another connection to an endpoint."""
        conn = self.pool.open(endpoint, tenant, now)
        self.order(_events.OpenConn(conn.id, endpoint, tenant))

    @property
    def own_tenant(self) -> str | None:
        """Give for whom connections for own statements are opened."""
        return '' if self.settings.traits.tenants_connect else None

    def tenant_of(self, req: _types.Request) -> str | None:
        """Give whose connections a request needs; None: any will do."""
        return req.tenant if self.settings.traits.tenants_connect else None

    def close(self, conn: _pool.Conn) -> None:
        """Order the end of a connection, once."""
        if conn.state is not _pool.ConnState.CLOSING:
            conn.state = _pool.ConnState.CLOSING
            conn.job = None
            conn.owner = None
            self.order(_events.CloseConn(conn.id))

    def may_acknowledge(self, now: float) -> bool:
        """Tell whether writes of the current term may be acknowledged."""
        if self.paused_at is not None:
            return False
        return self.registered and self.permission.held(now)

    def row_confirmed(self, asked_at: float) -> None:
        """Note that the row was current when it was asked for."""
        if self.paused_at is not None and asked_at >= self.paused_at:
            self.paused_at = None

    def note_position(self, at: float, lsn: int) -> None:
        """Take in where the primary's log was when it was asked at ``at``.

        Where positions restart, the first of a later term holds nothing:
        an endpoint that follows has it before it has received what the
        former terms left. Only a commit of the term stands for all that.
        """
        restarts = self.settings.traits.positions_restart
        first_term = self.row is not None and self.row.marker <= 1
        if lsn or first_term or not restarts:
            self.samples.add(at, lsn)

    def keep_former(self, row: _row.GroupRow) -> None:
        """Keep the newest dated position of a term that ends."""
        last = self.samples.until(self.permission.exclusive_until())
        if last is None:
            return
        if self.former is not None and self.former.at >= last.at:
            return
        position = _types.Position(row.term, last.lsn)
        self.former = _view.FormerPosition(position, row.marker, last.at)

    def on_history(self, name: str) -> bool:
        """Tell whether an endpoint's last report is of the current term."""
        report = self.views[name].report
        return report is not None and self.is_current(name, report)

    def is_current(self, name: str, report: _types.EndpointReport) -> bool:
        """Tell whether a report is of the current term, in its role.

        A former primary that came back is not a replica until it says so:
        what it calls its position isn't what its data holds.
        """
        if self.row is None or report.marker != self.row.marker:
            return False
        if report.in_recovery is None:
            return True
        return report.in_recovery == (name != self.row.primary)

    def takes_work(self, name: str, now: float) -> bool:
        """Tell whether an endpoint may get callers' work."""
        return name in self.cfg.endpoints and name not in self.leaving_since

    def primary_takes_work(self, now: float) -> bool:
        """Tell whether the primary is known and may get callers' work."""
        if self.row is None:
            return False
        name = self.row.primary
        if name not in self.cfg.endpoints:
            return False
        leaving = self.leaving_since.get(name)
        return leaving is None or now < leaving + LEAVING_GRACE

    def open_if_allowed(
        self,
        name: str,
        tenant: str | None,
        now: float,
        grow: bool = False,
    ) -> bool:
        """Have a connection come, if one may be had; tell if one comes.

        Where each belongs to a tenant, one of another tenant that rests
        makes room for it.
        """
        if self.pool.opening_for(name, tenant):
            return True
        if self._opens_enough(name):
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

    def _opens_enough(self, name: str) -> bool:
        """Tell whether more attempts would only wait for each other.

        Opening takes a slot of the endpoint, as a statement does.
        """
        if not self.settings.traits.tenants_connect:
            return self.pool.opening(name)
        return self.pool.opening_count(name) >= self._slots_of(name)

    def _slots_of(self, name: str) -> int:
        """Give how many statements an endpoint runs at once.

        One that is named by the row, and by no list, is taken for the least.
        """
        endpoint = self.cfg.endpoints.get(name)
        return endpoint.slots if endpoint is not None else 1

    def _makes_room(self, name: str, tenant: str | None) -> bool:
        """Have another tenant's connection end; tell if one does."""
        if self.pool.closing(name):
            return True
        victim = self.pool.longest_idle(name, tenant)
        if victim is None:
            return False
        self.close(victim)
        return True

"""Virtual time, links and the proxies that drive the core over them."""

from collections.abc import Callable
import functools
import heapq
import itertools
import random

import attrs

from tidegrade import config
from tidegrade import core
from tidegrade.core import supervision
from tidegrade_fakes import _duties
from tidegrade_fakes import _endpoint
from tidegrade_fakes import _forgetful
from tidegrade_fakes import _table

#: One-way delay of a message, in seconds.
MIN_DELAY = 0.0005
MAX_DELAY = 0.003
#: Pause between a proxy's ticks and between replication steps.
TICK = 0.02
REPLICATION_STEP = 0.004
#: Pause between the heartbeats of proxies.
HEARTBEAT = 0.2
#: A peer unheard for this long is not alive.
PEER_ALIVE = 1.0
#: Pause between a proxy's own reads of the row.
ROW_INTERVAL = 5.0
#: Pause before a read of the row that failed is repeated.
ROW_RETRY = 0.5
#: Time after which an endpoint notices that a silent client is gone.
CLIENT_GONE = 2.0
#: Longest time that a connection to the platform takes to open, in seconds.
MAX_OPENING = 4.0
#: Pause before a job that waits for a lock is looked at again.
LOCK_PAUSE = 0.005


class World:
    """The clock, the random source and everything that fails.

    Without ``revocation`` proxies don't hear supervisors that ask them to
    give up permissions; a baseline.
    """

    revocation = True

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.table = _table.FakeTable()
        self.duties = _duties.FakeDuties()
        self.endpoints: dict[str, _endpoint.FakeEndpoint] = {}
        self.proxies: dict[str, FakeProxy] = {}
        self.cut: set[frozenset[str]] = set()
        self.lose_answers = 0.0
        #: Part of the connections to the platform that take long to open.
        self.slow_openings = 0.0

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Have something happen after a delay."""
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._heap, entry)

    def run_until(self, end: float) -> None:
        """Let everything happen up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            self.events += 1
            action()
        self.now = end

    def delay(self) -> float:
        """Give the delay of one message."""
        return self.rng.uniform(MIN_DELAY, MAX_DELAY)

    def opening(self) -> float:
        """Give how long a connection to the platform takes to open."""
        if self.rng.random() < self.slow_openings:
            return self.rng.uniform(0.0, MAX_OPENING)
        return self.delay()

    def connected(self, one: str, other: str) -> bool:
        """Tell whether messages pass between two parties."""
        return frozenset((one, other)) not in self.cut

    def send(
        self, source: str, target: str, action: Callable[[], None]
    ) -> None:
        """Deliver a message unless the link is cut meanwhile."""

        def deliver() -> None:
            if self.connected(source, target):
                action()

        if self.connected(source, target):
            self.at(self.delay(), deliver)

    def start_replication(self) -> None:
        """Let the endpoints follow their upstreams from now on."""
        for endpoint in self.endpoints.values():
            upstream = self.endpoints.get(endpoint.upstream)
            if not endpoint.alive:
                continue
            if (
                upstream is not None
                and upstream.alive
                and self.connected(endpoint.name, upstream.name)
            ):
                endpoint.follow(upstream, self.now)
            endpoint.apply(self.now)
        self.at(REPLICATION_STEP, self.start_replication)


@attrs.define(eq=False)
class _Sent:
    """A connection as both of its ends know it."""

    conn: int
    endpoint: _endpoint.FakeEndpoint
    open: bool = True


class FakeProxy:
    """Drives one group machine and supervisor, like the daemon does."""

    def __init__(
        self,
        world: World,
        name: str,
        domain: str,
        cfg: config.Group,
        max_proxies: int,
        traits: core.Traits = core.POSTGRESQL,
    ) -> None:
        self.world = world
        self._traits = traits
        self.name = name
        self.alive = True
        self.frozen_until = 0.0
        self._backlog: list[Callable[[], None]] = []
        self._offset = world.rng.uniform(0, 1000)
        self._rate = world.rng.uniform(0.97, 1.03)
        rng = random.Random(world.rng.getrandbits(64))
        settings = core.MachineSettings(name, domain, max_proxies, traits)
        self.machine = core.GroupMachine(cfg, settings, rng)
        self.supervisor = core.Supervisor('g', name, rng, traits)
        self.notes: list[supervision.WriteLog] = []
        self._conns: dict[int, _Sent] = {}
        self._answers: dict[int, Callable[[core.Answer], None]] = {}
        self._heard: dict[str, tuple[float, core.Opinion]] = {}
        self._row_wanted = False
        self._orders: dict[type, Callable[..., None]] = {
            core.OpenConn: self._open,
            core.CloseConn: self._close,
            core.RunJob: self._run_job,
            core.Reply: self._reply,
            core.FetchRow: self._fetch_row,
            core.ControlEnded: self._control_ended,
            supervision.ReadRow: self._read_row,
            supervision.WriteRow: self._write_row,
            supervision.ListHolders: self._list_holders,
            supervision.RunControl: self._run_control,
            supervision.CancelControls: self._recall_controls,
            supervision.RequestRelease: self._ask_give_up,
            supervision.AnnounceRow: self._announce,
            core.WorkHealthChanged: lambda _: None,
            supervision.WriteLog: self.notes.append,
        }
        self._register()
        self._tick()
        self._beat()
        self._poll_row()

    # Time -----------------------------------------------------------------

    def clock(self) -> float:
        """Give this proxy's own time; it drifts from the others'."""
        return self._offset + self._rate * self.world.now

    def freeze(self, seconds: float) -> None:
        """Stop the process where it is for a while."""
        self.frozen_until = self.world.now + seconds
        self.world.at(seconds, lambda: self._thaw(seconds))

    def _thaw(self, seconds: float) -> None:
        if self.world.now < self.frozen_until:
            return
        if self._traits.promotion_clears_promises:
            # The daemon tells the machines of every pause; the histories
            # of PostgreSQL's endpoints prove that safety needs none.
            self.handle(core.ProcessPaused(seconds))
            self.handle(supervision.ProcessResumed())
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.do(action)

    def do(self, action: Callable[[], None]) -> None:
        """Do something now, or once the process runs again."""
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            self._backlog.append(action)
        else:
            action()

    def handle(self, event: core.Event | supervision.SupervisorEvent) -> None:
        """Give an event to the core and carry out what follows."""
        if isinstance(event, supervision.SupervisorEvent):
            for order in self.supervisor.handle(event, self.clock()):
                self._orders[type(order)](order)
            return
        for command in self.machine.handle(event, self.clock()):
            self._orders[type(command)](command)

    def _tick(self) -> None:
        if not self.alive:
            return
        self.do(self._tick_now)
        self.world.at(TICK, self._tick)

    def _tick_now(self) -> None:
        self.handle(core.Tick())
        row = self.machine.row
        self.handle(
            supervision.Observed(
                cfg=self.machine.cfg,
                config_version=1,
                row=row,
                own=self._opinion(),
                opinions=tuple(o for _, o in self._alive()),
                peers=tuple(o.proxy for _, o in self._alive()),
                leaving=frozenset(
                    n
                    for n in self.machine.cfg.endpoints
                    if self.machine.leaving(n)
                ),
                replicas_to_repair=self.machine.replicas_to_repair(
                    self.clock()
                ),
                reachable=self.machine.reachable(self.clock()),
            )
        )

    def _alive(self) -> list[tuple[float, core.Opinion]]:
        oldest = self.world.now - PEER_ALIVE
        return [h for h in self._heard.values() if h[0] >= oldest]

    def _opinion(self) -> core.Opinion:
        row = self.machine.row
        if row is None:
            return core.Opinion(self.name, 0, False)
        down = self.machine.considers_primary_down(self.clock())
        return core.Opinion(self.name, row.term, down)

    # Requests -------------------------------------------------------------

    def request(
        self, req: core.Request, answered: Callable[[core.Answer], None]
    ) -> None:
        """Serve a request whose deadline is on this proxy's clock."""
        self._answers[req.id] = answered
        self.handle(core.RequestArrived(req))

    def _reply(self, command: core.Reply) -> None:
        answered = self._answers.pop(command.req_id, None)
        if answered is None:
            return
        # The process may be paused between the decision and the sending.
        self.world.at(
            self.world.rng.uniform(0, 0.001),
            lambda: self.do(lambda: answered(self._final(command.answer))),
        )

    def _final(self, answer: core.Answer) -> core.Answer:
        """Check a write's answer once more, like the daemon does."""
        if answer.acknowledge_until is None:
            return answer
        row = self.machine.row
        assert answer.position is not None
        if (
            row is not None
            and row.term == answer.position.term
            and self.machine.may_acknowledge(self.clock())
        ):
            return answer
        return core.Answer(core.Outcome.UNKNOWN, code=core.Code.UNCONFIRMED)

    # Connections ----------------------------------------------------------

    def _open(self, command: core.OpenConn) -> None:
        endpoint = self.world.endpoints[command.endpoint]
        sent = _Sent(command.conn, endpoint)
        self._conns[command.conn] = sent

        def arrive() -> None:
            if not endpoint.alive:
                self._later(endpoint, lambda: self._ended(sent, True))
            elif endpoint.connect(sent):
                self._later(endpoint, lambda: self._opened(sent))
            else:
                self._later(endpoint, lambda: self._ended(sent, False))

        self.world.send(self.name, endpoint.name, arrive)

    def _later(
        self,
        endpoint: _endpoint.FakeEndpoint,
        action: Callable[[], None],
    ) -> None:
        self.world.send(endpoint.name, self.name, lambda: self.do(action))

    def _opened(self, sent: _Sent) -> None:
        if sent.open:
            self.handle(core.ConnOpened(sent.conn))
        else:
            self._disconnect(sent)

    def _ended(self, sent: _Sent, refused: bool) -> None:
        if sent.open:
            sent.open = False
            self._conns.pop(sent.conn, None)
            self.handle(core.ConnClosed(sent.conn, refused))

    def _close(self, command: core.CloseConn) -> None:
        sent = self._conns.pop(command.conn, None)
        if sent is None or not sent.open:
            return
        sent.open = False
        self._disconnect(sent)
        self.world.at(
            0.0,
            lambda: self.do(
                lambda: self.handle(core.ConnClosed(command.conn))
            ),
        )

    def _disconnect(self, sent: _Sent) -> None:
        """Let the endpoint notice that this end is closed."""
        endpoint = sent.endpoint
        self.world.send(
            self.name, endpoint.name, lambda: endpoint.disconnect(sent)
        )
        self.world.at(CLIENT_GONE, lambda: endpoint.disconnect(sent))

    def _run_job(self, command: core.RunJob) -> None:
        sent = self._conns.get(command.conn)
        if sent is not None:
            self._send_job(sent, command.job)

    def _send_job(self, sent: _Sent, job: core.Job) -> None:
        endpoint = sent.endpoint

        def arrive() -> None:
            if not endpoint.alive:
                self._later(endpoint, lambda: self._ended(sent, False))
                return
            if sent not in endpoint.conns:
                return
            if self._platform_promotes(endpoint, job):
                self._later(endpoint, lambda: self._call(sent, job))
                return
            try:
                outcome = endpoint.run(sent, job, self.world.now)
            except _endpoint.Blocked:
                self.world.at(LOCK_PAUSE, arrive)
                return
            self._later(endpoint, lambda: self._job_ended(sent, outcome))

        self.world.send(self.name, endpoint.name, arrive)

    def _platform_promotes(
        self, endpoint: _endpoint.FakeEndpoint, job: core.Job
    ) -> bool:
        """Tell whether the platform, not the endpoint, carries a job out."""
        if not self.world.slow_openings:
            # Its calls take no time of their own.
            return False
        if not isinstance(endpoint, _forgetful.ForgetfulEndpoint):
            return False
        if not isinstance(job, core.PromoteJob):
            return False
        return endpoint.promised == job.term

    def _call(self, sent: _Sent, job: core.Job) -> None:
        """Have the platform promote an endpoint that was looked at."""
        endpoint = sent.endpoint
        assert isinstance(endpoint, _forgetful.ForgetfulEndpoint)
        assert isinstance(job, core.PromoteJob)

        def order() -> None:
            self.world.duties.order(self.name, job.term)
            if not endpoint.alive:
                return
            outcome = endpoint.lead(self.world.now)
            self._later(endpoint, lambda: self._job_ended(sent, outcome))

        def send() -> None:
            if not sent.open:
                return
            if self.clock() < job.until:
                self.world.at(self.world.delay(), order)
            else:
                self._job_ended(sent, core.JobFailed(core.Failure.REFUSED))

        self.world.at(self.world.opening(), lambda: self.do(send))

    def _job_ended(self, sent: _Sent, outcome: core.JobOutcome) -> None:
        if not sent.open:
            return
        self.handle(core.JobEnded(sent.conn, outcome))

    def endpoint_died(self, endpoint: _endpoint.FakeEndpoint) -> None:
        """Break the connections to an endpoint that was killed."""
        for sent in list(endpoint.conns):
            if sent in self._conns.values():
                self._later(
                    endpoint, functools.partial(self._ended, sent, False)
                )

    def die(self) -> None:
        """Stop for good; endpoints notice after a while."""
        self.alive = False
        for sent in self._conns.values():
            self._disconnect(sent)

    def _control_ended(self, command: core.ControlEnded) -> None:
        event = supervision.ControlEnded(
            command.control, command.endpoint, command.outcome
        )
        self.world.at(0.0, lambda: self.do(lambda: self.handle(event)))

    # Peers ----------------------------------------------------------------

    def _beat(self) -> None:
        if not self.alive:
            return
        self.do(self._beat_now)
        self.world.at(HEARTBEAT, self._beat)

    def _beat_now(self) -> None:
        opinion = self._opinion()
        for peer in self._peers():
            self._tell(peer, functools.partial(peer.hear, opinion))

    def _tell(self, peer: 'FakeProxy', action: Callable[[], None]) -> None:
        """Have a peer do something once a message reaches it."""
        self.world.send(self.name, peer.name, lambda: peer.do(action))

    def _peers(self) -> list['FakeProxy']:
        return [p for p in self.world.proxies.values() if p is not self]

    def hear(self, opinion: core.Opinion) -> None:
        """Take in a heartbeat."""
        self._heard[opinion.proxy] = (self.world.now, opinion)

    def _announce(self, order: supervision.AnnounceRow) -> None:
        event = core.RowReceived(order.row)
        self.world.at(0.0, lambda: self.do(lambda: self.handle(event)))
        for peer in self._peers():
            self._tell(peer, functools.partial(peer.handle, event))

    def _recall_controls(self, _: supervision.CancelControls) -> None:
        event = core.ControlsCancelled()
        self.world.at(0.0, lambda: self.do(lambda: self.handle(event)))

    def _ask_give_up(self, order: supervision.RequestRelease) -> None:
        if not self.world.revocation:
            return
        for name in order.proxies:
            target = self.world.proxies.get(name)
            if target is None:
                continue
            if target is self:
                self.handle(core.GiveUp(order.below))
                self._gave_up(name, order.below)
                continue
            self._tell(
                target,
                functools.partial(target.give_up_for, self, order.below),
            )

    def give_up_for(self, asker: 'FakeProxy', below: int) -> None:
        """Give up permissions because a supervisor asks."""
        self.handle(core.GiveUp(below))
        self._tell(asker, functools.partial(asker._gave_up, self.name, below))

    def _gave_up(self, name: str, below: int) -> None:
        event = supervision.PermissionReleased(name, below)
        self.world.at(0.0, lambda: self.do(lambda: self.handle(event)))

    # The table ------------------------------------------------------------

    def _ask_table(
        self, action: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        """Have something done at the table; ``lost`` if unanswered."""
        world = self.world

        def arrive() -> None:
            if world.table.down or not world.connected(self.name, 'table'):
                world.at(0.2, lambda: self.do(lost))
                return
            action()

        world.at(world.delay(), arrive)

    def _answer(
        self, action: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        world = self.world
        if world.rng.random() < world.lose_answers:
            world.at(0.2, lambda: self.do(lost))
        else:
            world.at(world.delay(), lambda: self.do(action))

    def _register(self) -> None:
        table = self.world.table

        def write() -> None:
            table.holders.add(self.name)
            self._answer(
                lambda: self.handle(core.Registered(True)), self._register
            )

        self._ask_table(write, self._register)

    def _poll_row(self) -> None:
        if not self.alive:
            return
        self.do(lambda: self._fetch_row(None))
        self.world.at(ROW_INTERVAL, self._poll_row)

    def _fetch_row(self, _: object) -> None:
        if self._row_wanted:
            return
        self._row_wanted = True
        asked_at = self.clock()

        def read() -> None:
            row = self.world.table.row
            self._answer(
                lambda: self._fetched(row, asked_at), self._not_fetched
            )

        self._ask_table(read, self._not_fetched)

    def _not_fetched(self) -> None:
        self._row_wanted = False
        if self._traits.promotion_clears_promises and self.alive:
            # As the daemon does, which repeats a read that is needed.
            self.world.at(
                ROW_RETRY, lambda: self.do(lambda: self._fetch_row(None))
            )

    def _fetched(self, row: core.GroupRow | None, asked_at: float) -> None:
        self._row_wanted = False
        if row is not None:
            self.handle(core.RowReceived(row, asked_at))

    def _lost(self) -> None:
        self.handle(supervision.RowRequestFailed())

    def _read_row(self, order: supervision.ReadRow) -> None:
        table = self.world.table

        def read() -> None:
            row = table.row
            tag = str(table.version) if row is not None else None
            event = supervision.RowRead(row, tag)
            self._answer(lambda: self.handle(event), self._lost)

        self._ask_table(read, self._lost)

    def _write_row(self, order: supervision.WriteRow) -> None:
        table = self.world.table

        def write() -> None:
            tag = table.write(order.row, order.expected)
            if tag is None:
                self._answer(self._lost, self._lost)
                return
            event = supervision.RowWritten(order.row, tag)
            self._answer(
                lambda: self.handle(event), lambda: self._settle(order)
            )

        self._ask_table(write, self._lost)

    def _settle(self, order: supervision.WriteRow) -> None:
        """Read what became of a write whose answer was lost."""
        table = self.world.table

        def read() -> None:
            if table.row != order.row:
                self._answer(self._lost, self._lost)
                return
            event = supervision.RowWritten(order.row, str(table.version))
            self._answer(lambda: self.handle(event), self._lost)

        self._ask_table(read, self._lost)

    def _list_holders(self, order: supervision.ListHolders) -> None:
        def read() -> None:
            event = supervision.HoldersListed(
                frozenset(self.world.table.holders)
            )
            self._answer(lambda: self.handle(event), self._lost)

        self._ask_table(read, self._lost)

    def _run_control(self, order: supervision.RunControl) -> None:
        event = core.ControlRequested(
            order.control, order.endpoint, order.job, order.deadline
        )
        self.world.at(0.0, lambda: self.do(lambda: self.handle(event)))

"""The concurrency limit for statements of several homes at one endpoint."""

import collections
import random

import attrs
import machines
import pytest

from tidegrade import core
from tidegrade.core import _shares
from tidegrade.core.waiting import _window

SLOTS = 4
QUEUE_PLACES = 32
STEP_S = 0.0025
#: Target latency by priority, in seconds.
AIMS_S = (0.121, 0.201, 0.301)
COSTLY = core.Traits(
    checks_position=True,
    positions_restart=True,
    status_is_costly=True,
    begin_waits=True,
)


def home_of(homes: int, traits: core.Traits = COSTLY) -> machines.Machine:
    """Return one of several homes after its start-up, before any request."""
    home = machines.Machine(traits, {}, 72, homes, SLOTS)
    home.tick(_shares.DEAD_CONNECTION_COUNTED_S)
    return home


class Endpoint:
    """Replays an endpoint with slots and a queue for several homes."""

    def __init__(self, service_s: float) -> None:
        self.service_s = service_s
        self.waiting = collections.deque()
        self.running = []
        self.sent = self.busy = 0

    def start(self, home, conn: int, job: core.Job) -> None:
        self.sent += isinstance(job, core.WriteJob)
        if len(self.waiting) < QUEUE_PLACES:
            self.waiting.append((home, conn))
            return
        self.busy += 1
        busy = core.JobFailed(core.Failure.BUSY, usable=True)
        home.tell(core.JobEnded(conn, busy))

    def run(self, now: float) -> None:
        ended = [entry for entry in self.running if entry[0] <= now + 1e-9]
        for entry in ended:
            self.running.remove(entry)
        while self.waiting and len(self.running) < SLOTS:
            ends = now + self.service_s
            self.running.append((ends, *self.waiting.popleft()))
        for _, home, conn in ended:
            done = core.JobDone(home.reports['a'], after_lsn=100)
            home.tell(core.JobEnded(conn, done))


def overload(count: int, service_s: float) -> tuple[float, float, float]:
    """Replay 0.3 times the endpoint's load for 1 s, then 1.5 times for 6 s.

    Returns the parts of statements that were refused as busy, of urgent
    requests that were answered in time, and of the endpoint's capacity that
    was used.
    """
    rng = random.Random(5)
    homes = [home_of(count) for _ in range(count)]
    for home in homes:
        # One proxy polls the endpoints for its peers.
        home.tell(core.PollingDutyChanged(home is homes[0]))
        home.frozen = {'a'}
        home.ran.clear()
    endpoint = Endpoint(service_s)
    urgent, in_time, number, done, due = {}, 0, 0, 0, 0.0
    for step in range(round(7.0 / STEP_S)):
        for home in homes:
            home.tick(STEP_S)
        now = homes[0].now
        load = 1.5 if step * STEP_S >= 1.0 else 0.3
        due += load * STEP_S * SLOTS / service_s
        while number < due:
            number += 1
            priority = rng.choice((0, 1, 2, 2))
            if not priority:
                urgent[number] = now
            req = core.Request(
                number,
                f'caller {number % 50}',
                core.Kind.WRITE,
                deadline=now + 0.8,
                place_by=now + 0.6,
                aim=now + AIMS_S[priority],
                priority=priority,
                statements=(core.Statement('WRITE'),),
                autocommit=True,
                idempotent=True,
            )
            rng.choice(homes).tell(core.RequestArrived(req))
        for home in homes:
            for conn, job in [*home.ran]:
                if home.endpoint_of[conn] == 'a':
                    endpoint.start(home, conn, job)
                home.ran.remove((conn, job))
        endpoint.run(now)
        for home in homes:
            for answered, answer in home.answers.items():
                if answer.outcome is core.Outcome.DONE:
                    done += 1
                    in_time += now - urgent.get(answered, 0.0) <= AIMS_S[0]
            home.answers.clear()
    used = done / (6.3 * SLOTS / service_s)
    return endpoint.busy / endpoint.sent, in_time / len(urgent), used


@pytest.mark.parametrize(('count', 'service_s'), [(6, 0.01), (24, 0.005)])
def test_homes_keep_an_overloaded_endpoint_from_refusing(count, service_s):
    """Guards against urgent statements behind others in the endpoint's queue.

    Without limits, the endpoint refused more than 40 % as busy.
    """
    busy, in_time, used = overload(count, service_s)
    assert busy <= 0.02
    assert in_time >= 0.95
    assert used >= 0.95


@pytest.mark.parametrize(('homes', 'lowest'), [(2, 2), (6, 1), (24, 1)])
def test_refusals_shrink_it_to_the_home_s_part_of_the_slots(homes, lowest):
    window = _window.Window(SLOTS, homes)
    for now in range(10):
        window.record_busy(now, now + 0.1)
    assert window.limit == lowest


def test_responses_adapt_it():
    """Guards against an increase without need and a decrease for one burst."""
    window = _window.Window(SLOTS, 2)
    for now in (0.0, 1.0):
        window.record_response('read', now, now + 0.03)
        assert window.limit == 4
    window.record_wait()
    window.record_response('read', 2.0, 2.03)
    assert window.limit == 5
    for _ in range(10):
        window.record_response('read', 3.0, 3.1)
    assert window.limit == 3


def test_a_start_in_an_overload_is_not_taken_for_the_usual_speed():
    """Guards against homes that grow until the endpoint's queue is full."""
    window = _window.Window(SLOTS, 2)
    for now in range(1, 9):
        window.record_wait()
        window.record_response('read', now - 0.1, now)
    assert window.limit == 4


def reads_at(home: machines.Machine, **changes) -> collections.Counter:
    """Send ten reads that get no answer; return the number by endpoint."""
    home.frozen = set(machines.NAMES)
    for number in range(1, 11):
        home.read(number, deadline=home.now + 9.0, **changes)
        home.tick()
    sent = (c for c, j in home.running.items() if isinstance(j, core.ReadJob))
    return collections.Counter(home.endpoint_of[conn] for conn in sent)


def test_a_full_window_opens_no_connection():
    """Guards against connections that the limit leaves unused."""
    home = home_of(6)
    assert reads_at(home, max_age=0.0) == {'a': 2}
    assert home.core.conn_count('a') <= 2 + 1


def test_reads_go_to_another_replica_when_a_window_is_full():
    reads = reads_at(home_of(6))
    assert reads['b'] == reads['c'] == 2


def test_an_open_transaction_goes_on_while_the_window_is_full():
    home = home_of(6)
    home.read(99, kind=core.Kind.BEGIN, deadline=home.now + 9.0)
    home.tick()
    assert reads_at(home, max_age=0.0) == {'a': 2}
    txn = home.answers[99].txn
    home.read(100, kind=core.Kind.EXECUTE, txn=txn, deadline=home.now + 9.0)
    jobs = home.running.values()
    assert any(isinstance(job, core.ExecuteJob) for job in jobs)


@pytest.mark.parametrize(
    ('traits', 'homes'),
    [(attrs.evolve(COSTLY, status_is_costly=False), 6), (COSTLY, 1)],
)
def test_other_endpoints_and_a_single_home_have_no_limit(traits, homes):
    """Guards against any change where endpoints report no full queue."""
    home = home_of(homes, traits)
    assert reads_at(home, max_age=0.0) == {'a': 10}
    assert home.core.window_limit('a') is None


def test_a_silent_connection_does_not_use_up_the_window():
    """Guards against requests that wait for the deadline of a hung one."""
    home = home_of(24)
    home.go_silent()
    for number in (1, 2):
        home.read(number, max_age=0.0, deadline=home.now + 9.0)
    for _ in range(25):
        home.tick()
    assert home.answers[2].outcome is core.Outcome.DONE


def test_a_changed_limit_is_reported_for_the_log():
    home = home_of(6)
    home.failures = {'a': core.JobFailed(core.Failure.BUSY, usable=True)}
    home.read(1, max_age=0.0)
    commands = home.core.handle(core.Tick(), home.now + 0.02)
    changes = [c for c in commands if isinstance(c, core.WindowChanged)]
    assert [(c.change.before, c.change.limit) for c in changes] == [(2, 1)]

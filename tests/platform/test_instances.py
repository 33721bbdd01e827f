"""Decoding of instances' status into reports, and aborted promotions."""

import anyio
import anyio.abc
import pytest
from tidegrade_platform import _duties
from tidegrade_platform import _exchange
from tidegrade_platform import _instances
from tidegrade_platform import _lines
from tidegrade_platform import _settings

from tidegrade.adapters import _clock
from tidegrade import config
from tidegrade import core
from tidegrade.core import _election

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
async def answered():
    """Return a function that sends STATUS to a fake with given answers."""

    async def outcome_of(row: str, ready: str) -> core.JobOutcome:
        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b'READY I 1.5\r\n')
                await stream.receive()
                lines = [f'ROW {row}'] if row else []
                lines += ['DONE -', f'READY I {ready}', '']
                text = '\r\n'.join(lines)
                await stream.send(text.encode())
                await anyio.sleep(1)

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        duties = _duties.Duties(
            _settings.Address('127.0.0.1', 1), 'p', _clock.MonotonicClock()
        )
        instances = _instances.Instances('p', duties, lambda *_: None)
        endpoint = config.Endpoint('127.0.0.1', port, 'x')
        group = config.Group(
            endpoints={'a': endpoint}, initial_primary='a', database='svc'
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            conn = (await instances.connect(endpoint, group, '')).unwrap()
            outcome = await conn.run(core.StatusJob())
            await conn.close()
            tasks.cancel_scope.cancel()
        return outcome

    return outcome_of


@pytest.fixture
async def asked(answered):
    """Return a function that returns the decoded endpoint report."""

    async def report(row: str, ready: str) -> core.EndpointReport:
        return (await answered(row, ready)).report

    return report


async def test_a_position_of_an_earlier_term_does_not_count(asked):
    """After a change of primary, reads must not be refused.

    The new primary reports the last position of the previous term. When that
    counted as a position of the new term, no endpoint had reached it, and
    reads were refused until the report was too old to be used.
    """
    found = await asked('primary 2 1.227 0 0 1 4', '1.227')
    assert (found.marker, found.lsn, found.received_lsn) == (2, 0, 0)
    # The log shows it all the same, or a lost commit couldn't be traced.
    assert found.stated_received == core.Position(1, 227)
    assert found.stated_applied == core.Position(1, 227)


async def test_a_position_of_the_current_term_counts(asked):
    found = await asked('replica 2 2.9 0 12 1 4', '2.7')
    assert (found.marker, found.lsn, found.received_lsn) == (2, 7, 9)


async def test_the_longer_log_is_elected_before_the_first_commit(asked):
    """Acknowledged writes were lost if the primary changed twice.

    Positions of the former term did not count, so the choice fell on the
    last name, whatever each endpoint had received.
    """
    fenced = {
        'a': await asked('replica 2 1.227 3 0 0 4', '1.227'),
        'c': await asked('replica 2 1.225 3 0 0 4', '1.225'),
    }
    members = frozenset('abc')
    known = _election.ElectionState(
        fenced, members, frozenset(), may_wait=False
    )
    row = core.GroupRow(2, 'b', members)
    assert _election.choose_primary(row, known) == 'a'


@pytest.mark.parametrize(
    ('row', 'ready'),
    [
        ('', '2.7'),
        ('replica', '2.7'),
        ('replica two 2.9 0 12 1 4', '2.7'),
        ('replica 2 here 0 12 1 4', '2.7'),
        ('replica 2 2.9 - 12 1 4', '2.7'),
        ('replica 2 2.9 0 12 1 4', 'there'),
    ],
)
async def test_a_malformed_report_ends_the_connection(answered, row, ready):
    """Only the connection ends: an answer without a row ended the process."""
    outcome = await answered(row, ready)
    assert isinstance(outcome, core.JobFailed)
    assert outcome.failure is core.Failure.LOST


async def test_an_answer_without_a_position_says_so(asked):
    """Guards against reads based on a position that is dated too young.

    The position of an earlier answer was passed on like one of this answer.
    A replica at that position may lack writes that were acknowledged since.
    """
    found = await asked('primary 1 1.9 0 0 1 4', '-')
    assert (found.lsn, found.repeats_position) == (5, True)
    found = await asked('primary 1 1.9 0 0 1 4', '1.9')
    assert (found.lsn, found.repeats_position) == (9, False)


class FakeExchange:
    """An instance that answers every statement: it has promised term 7."""

    position = core.Position(1, 5)

    async def ask(self, request_id: str, text: str) -> _exchange.Answer:
        ready = _lines.Ready('I', self.position)
        return _exchange.Answer(('replica 1 1.5 7 0 0 1',), '-', '', '', ready)

    def shut_down(self) -> None:
        pass


class UnansweredDuties:
    """A platform that never answers a promotion order."""

    def __init__(self) -> None:
        self.called = anyio.Event()
        self.ended = False

    async def promote(self, *order) -> str:
        self.called.set()
        try:
            await anyio.sleep_forever()
        finally:
            self.ended = True


async def test_an_aborted_order_cancels_its_call():
    """Otherwise the order could arrive after that of the next supervisor."""
    duties = UnansweredDuties()

    async def instance() -> str:
        return 'i-1'

    promotion_target = _instances._PromotionTarget(duties, 'svc', instance)
    conn = _instances.InstanceConn(FakeExchange(), promotion_target)
    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conn.run, core.PromoteJob(7, 1))
            await duties.called.wait()
            conn.abort()
    assert duties.ended


class TakenDuties:
    """A platform that takes every promotion."""

    def __init__(self) -> None:
        self.taken: list[int] = []

    async def promote(
        self, service: str, instance: str, fence: int, until: float
    ) -> None:
        self.taken.append(fence)


async def test_an_order_aborted_before_its_call_is_not_sent():
    """The read of the instance's id lasts up to a second.

    An abort in that time must prevent the call that follows it.
    """
    duties = TakenDuties()
    reading, listed = anyio.Event(), anyio.Event()

    async def instance() -> str:
        reading.set()
        await listed.wait()
        return 'i-1'

    promotion_target = _instances._PromotionTarget(duties, 'svc', instance)
    conn = _instances.InstanceConn(FakeExchange(), promotion_target)
    with anyio.fail_after(2):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(conn.run, core.PromoteJob(7, 1))
            await reading.wait()
            conn.abort()
            listed.set()
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
    assert duties.taken == []


class RefusingExchange(FakeExchange):
    """An instance that refuses texts that begin with ``refused``.

    As one that lost the lead inside a transaction, it rolls that back.
    """

    def __init__(self, refused: str) -> None:
        self._refused = refused

    async def ask(self, request_id: str, text: str) -> _exchange.Answer:
        if text.startswith(self._refused):
            ready = _lines.Ready('E', self.position)
            raise _exchange.Refused(
                _exchange.Answer((), '', 'READONLY', 'i-1', ready)
            )
        return await super().ask(request_id, text)


SHAPE = core.Prepared('q7')
STATEMENT = core.Statement('k0', id='r1', prepared=SHAPE)


@pytest.mark.parametrize(
    ('refused', 'setup'),
    [
        ('SET', core.SessionSetup(values=(('tz', 'lisbon'),))),
        ('PREPARE', core.SessionSetup(prepared=(SHAPE,))),
        ('RESET', core.SessionSetup(reset=True)),
    ],
)
async def test_a_connection_whose_setup_is_refused_is_not_used_again(
    refused, setup
):
    """Guards against sessions that run with another caller's values.

    The values and names were recorded as applied, and the connection served
    other sessions after a rollback.
    """
    conn = _instances.InstanceConn(RefusingExchange(refused), None)
    outcome = await conn.run(core.ExecuteJob((STATEMENT,), setup))
    assert isinstance(outcome, core.JobFailed)
    assert outcome.failure is core.Failure.NOT_PRIMARY
    assert not outcome.usable


async def test_a_connection_whose_statement_is_refused_is_used_again():
    conn = _instances.InstanceConn(RefusingExchange('EXEC'), None)
    outcome = await conn.run(core.ExecuteJob((STATEMENT,)))
    assert isinstance(outcome, core.JobFailed)
    assert outcome.usable

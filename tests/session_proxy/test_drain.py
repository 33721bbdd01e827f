"""The steps of a drain, in the time that the platform gives it."""

import anyio
import attrs
import pytest

from tidegrade.adapters import _clock
from tidegrade.session_proxy import _drain
from tidegrade.session_proxy import _settings
from tidegrade import sessions

pytestmark = pytest.mark.anyio

#: Grace time of the tests, in seconds: short, but longer than the final close.
GRACE_S = 2.0


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@attrs.define
class Listener:
    """A listener with one session that stays open until ``ends_at``."""

    ends_at: float
    answered_at: float | None = None
    accepts: bool = True
    #: Whether the groups were told to answer all requests.
    groups_ended: bool = False
    #: Time that an answer takes to leave, in seconds.
    answer_s: float = 0.0

    def close_after_answers(self, wanted: bool) -> None:
        pass

    def close_idle(self) -> int:
        return int(anyio.current_time() < self.ends_at)

    def stop_accepting(self) -> None:
        self.accepts = False

    def end_requests(self) -> None:
        self.groups_ended = True

    def unanswered(self) -> int:
        if self.answered_at is None:
            return 1
        return int(anyio.current_time() < self.answered_at + self.answer_s)

    def answer_unfinished(self) -> int:
        self.answered_at = anyio.current_time()
        return 1


@attrs.define
class SlowClock:
    """A clock on which time passes between any two readings."""

    step_s: float
    passed_s: float = 0.0

    def now(self) -> float:
        self.passed_s += self.step_s
        return anyio.current_time() + self.passed_s


@attrs.frozen
class Adapters:
    """The adapters that a drain uses."""

    listener: Listener
    clock: _clock.MonotonicClock | SlowClock = attrs.field(
        factory=_clock.MonotonicClock
    )


@attrs.frozen
class Cfg:
    """The settings that a drain uses, in seconds."""

    grace_s: float = GRACE_S
    unready_s: float = 0.3


async def drained(
    session_s: float, answer_s: float = 0.0, cfg: Cfg = Cfg()
) -> tuple[Listener, float, list]:
    """Drain a proxy with one session; return also the time and the phases."""
    began_at = anyio.current_time()
    listener = Listener(began_at + session_s, answer_s=answer_s)
    drain = _drain.Drain(
        Adapters(listener), lambda: False, listener.end_requests
    )
    phases: list[tuple[sessions.ServicePhase, float]] = []

    async def watch() -> None:
        while True:
            if not phases or phases[-1][0] is not drain.phase:
                elapsed = anyio.current_time() - began_at
                phases.append((drain.phase, elapsed))
            await anyio.sleep(0.01)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        await drain.drain_sessions(cfg)
        tasks.cancel_scope.cancel()
    return listener, anyio.current_time() - began_at, phases


async def test_a_drain_answers_what_is_in_progress_before_its_end():
    """A request in progress was cut as the process ended."""
    listener, took, _ = await drained(session_s=60.0)
    assert listener.answered_at is not None
    assert not listener.accepts
    assert listener.groups_ended
    assert took < GRACE_S


async def test_a_drain_waits_until_its_last_answers_have_left():
    """On a slow VM the process ended before it had sent all of them."""
    listener, took, _ = await drained(60.0, 0.15, Cfg(grace_s=4.0))
    assert not listener.unanswered()
    assert took < 4.0 * _drain.END_SHARE


async def test_a_drain_does_not_wait_for_answers_beyond_its_time():
    _, took, _ = await drained(session_s=60.0, answer_s=60.0)
    assert took < GRACE_S


@pytest.mark.parametrize('step_s', [0.003, 0.01, 0.03, 0.1, 0.3])
async def test_a_drain_ends_though_time_passes_between_readings(step_s):
    """A limit that passed between two readings ended the process at once."""
    listener = Listener(anyio.current_time() + 60.0)
    drain = _drain.Drain(
        Adapters(listener, SlowClock(step_s)),
        lambda: False,
        listener.end_requests,
    )
    await drain.drain_sessions(Cfg())
    assert listener.groups_ended


async def test_a_drain_without_sessions_ends_early():
    listener, took, _ = await drained(session_s=0.0)
    assert listener.groups_ended
    assert listener.answered_at is None
    assert took < GRACE_S / 2


async def test_transactions_end_step_by_step():
    """None begins once the load balancer knows; half of the time is left."""
    _, _, phases = await drained(session_s=60.0)
    order = [phase for phase, _ in phases]
    assert order == [
        sessions.ServicePhase.SERVING,
        sessions.ServicePhase.DRAINING,
        sessions.ServicePhase.ENDING,
    ]
    assert phases[2][1] >= GRACE_S / 2


def test_the_settings_have_the_times_that_a_drain_uses():
    fields = {field.name for field in attrs.fields(_settings.ProxySettings)}
    assert {'grace_s', 'unready_s'} <= fields

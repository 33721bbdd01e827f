"""Processor time of an exchange of messages between two proxies."""

from collections.abc import Awaitable
from collections.abc import Callable
import statistics
import time

import anyio
import anyio.lowlevel
import attrs

from tidegrade import core
from tidegrade.peers import _links
from tidegrade.peers import _messages as messages
from tidegrade.peers import _server
from tidegrade_bench import _deployment

#: Exchanges in one measurement, and the number of measurements.
EXCHANGES = 4000
REPEATS = 7
#: Callers that have a request in progress at the same time.
CALLERS = (1, 8)
#: Limit for an answer, in seconds; it is far above what one takes.
TIME_LIMIT_S = 5.0
KEY = bytes(32)

_STATEMENT = 'UPDATE job SET state = $1, worker = $2 WHERE id = $3'
QUOTA = messages.AskQuota('tenant-17', 40.0, 20.0, 7, 0.25)
GRANT = messages.QuotaGrant(core.Grant(True, 0.0, 1.0, 1234.5))
FORWARD = messages.Forward(
    messages.GroupKey('kti', 'tiles-2'),
    core.Request(
        0,
        'tenant-17',
        core.Kind.WRITE,
        0.75,
        (
            core.Statement(
                _STATEMENT,
                ('done', 'worker-4', 981_223),
                'op-1f2e3d4c5b6a',
                core.Prepared(_STATEMENT, True),
            ),
        ),
        floor=core.Position(3, 88_172_341),
        key='order-5512-1',
        fingerprint='9f86d081884c7d659a2feaa0c55ad015',
        values=(('application_name', 'tiles'), ('timezone', 'UTC')),
        place_by=0.5,
        replica_wait=0.02,
        attempt_limit=0.4,
        aim=0.155,
        priority=0,
        autocommit=True,
    ),
)
FORWARDED = messages.Forwarded(
    core.Answer(
        core.Outcome.DONE,
        results=(
            core.ResultSet(
                ('id', 'state'), (('981223', 'done'),), 1, 'r' * 64
            ),
        ),
        position=core.Position(3, 88_172_402),
        endpoint='tiles-2-a',
        acknowledge_until=0.9,
        trace=core.Trace(3, 1, 0, 'tiles-2-a', permission_left=0.9),
    )
)
REQUESTS: dict[str, messages.PeerBody] = {
    'quota': QUOTA,
    'forward': FORWARD,
}


@attrs.frozen
class Cost:
    """Processor time of one exchange at both ends, in microseconds."""

    exchange: str
    callers: int
    least: float
    median: float
    most: float

    @property
    def per_cpu_second(self) -> float:
        """The exchanges in one second of processor time."""
        return 1e6 / self.median


def _answer(body: messages.PeerBody) -> _server.Reply:
    """Answer as a proxy does: a forwarded request waits for its group."""
    if isinstance(body, messages.AskQuota):
        return GRANT
    return _forwarded()


async def _forwarded() -> messages.Forwarded:
    await anyio.lowlevel.checkpoint()
    return FORWARDED


async def _exchange(
    ask: Callable[[], Awaitable[_links.AskResult]], callers: int
) -> float:
    """Return the processor time of one exchange, in seconds."""

    async def call() -> None:
        for _ in range(EXCHANGES // callers):
            asked = await ask()
            assert asked.answer is not None

    began = time.process_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(call)
    return (time.process_time() - began) / EXCHANGES


async def measure() -> list[Cost]:
    """Measure the exchanges, with one caller and with several."""
    (port,) = _deployment.free_ports(1)
    address = _links.Address(_deployment.HOST, port)
    server = _server.PeerServer(address, KEY, _answer)
    links = _links.Links(KEY, _links.Address(_deployment.HOST, 1))
    costs = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.serve)
        await tasks.start(links.run)
        for name, body in REQUESTS.items():

            async def ask(
                body: messages.PeerBody = body,
            ) -> _links.AskResult:
                return await links.ask(address, body, TIME_LIMIT_S)

            assert (await ask()).answer is not None
            for callers in CALLERS:
                taken = [
                    1e6 * await _exchange(ask, callers) for _ in range(REPEATS)
                ]
                costs.append(
                    Cost(
                        name,
                        callers,
                        min(taken),
                        statistics.median(taken),
                        max(taken),
                    )
                )
        tasks.cancel_scope.cancel()
    return costs


def run() -> list[Cost]:
    """Measure on the event loop that the proxies run on."""
    return anyio.run(measure, backend_options={'use_uvloop': True})

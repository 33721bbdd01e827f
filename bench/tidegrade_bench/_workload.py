"""The kinds of work that the two deployments do."""

import random
import typing

import anyio
import attrs

from tidegrade_bench import _caller
from tidegrade_bench import _ledger

#: Tries of one write by a caller that follows the answers it gets.
WRITE_TRIES = 12
#: Pause before a retry when the answer doesn't give one, in seconds.
RETRY_PAUSE = 0.1

TABLES = (
    f'CREATE TABLE IF NOT EXISTS {_ledger.OPS_TABLE} (name text)',
    'CREATE TABLE IF NOT EXISTS reading (logger text, at bigint, value float)',
    'CREATE TABLE IF NOT EXISTS valve (id text PRIMARY KEY, turn bigint)',
    'CREATE TABLE IF NOT EXISTS sale (seat text PRIMARY KEY, agent text)',
)

Kind = typing.Callable[
    ['Session', int], typing.Coroutine[typing.Any, typing.Any, None]
]


@attrs.define
class Session:
    """One caller with its account and its own names."""

    name: str
    group: str
    caller: _caller.Caller
    ledger: _ledger.Ledger
    rng: random.Random

    async def write(
        self, statements: list[tuple[str, list[object]]]
    ) -> _ledger.Write:
        """Write at most once, repeated under its key until it is clear."""
        key = self.caller.new_key()
        op = f'{self.name}:{key}'
        write = self.ledger.new_write(op, self.group)
        mark: tuple[str, list[object]] = (
            f'INSERT INTO {_ledger.OPS_TABLE} (name) VALUES ($1)',
            [op],
        )
        for _ in range(WRITE_TRIES):
            said = await self.caller.write([*statements, mark], key=key)
            write.said.append(said)
            if said.done:
                self.ledger.write_times.append(said.took)
                return write
            await anyio.sleep(said.retry_after or RETRY_PAUSE)
        return write

    async def read(
        self, sql: str, params: list[object], read_class: str
    ) -> _caller.Said:
        """Read and count."""
        said = await self.caller.read(sql, params, read_class)
        self.ledger.read(said)
        return said


async def dashboard(session: Session, turn: int) -> None:
    """Look at readings that may be a few seconds old, as nobody's session."""
    session.caller.token = ''
    logger = f'logger-{session.rng.randrange(20)}'
    await session.read(
        'SELECT count(*), max(at) FROM reading WHERE logger = $1',
        [logger],
        'dashboard',
    )


async def logger(session: Session, turn: int) -> None:
    """Push a reading."""
    await session.write(
        [
            (
                'INSERT INTO reading (logger, at, value) VALUES ($1, $2, $3)',
                [session.name, turn, 3.2],
            )
        ]
    )


async def crew(session: Session, turn: int) -> None:
    """Change a valve and check the change on another proxy."""
    valve = f'valve-{session.name}'
    write = await session.write(
        [
            (
                'INSERT INTO valve (id, turn) VALUES ($1, $2)'
                ' ON CONFLICT (id) DO UPDATE SET turn = $2',
                [valve, turn],
            )
        ]
    )
    said = await session.read(
        'SELECT turn FROM valve WHERE id = $1', [valve], 'own'
    )
    if write.outcome == 'done' and said.done:
        seen = int(str(said.rows[0][0])) if said.rows else -1
        session.ledger.ryw_violations += seen < turn


async def timetable(session: Session, turn: int) -> None:
    """Search with data of a stated age, as nobody's session."""
    session.caller.token = ''
    await session.read('SELECT count(*) FROM sale', [], 'timetable')


async def agent(session: Session, turn: int) -> None:
    """Sell a seat once and confirm it on another proxy."""
    seat = f'{session.name}-{turn}'
    write = await session.write(
        [
            (
                'INSERT INTO sale (seat, agent) VALUES ($1, $2)',
                [seat, session.name],
            )
        ]
    )
    said = await session.read(
        'SELECT agent FROM sale WHERE seat = $1', [seat], 'own'
    )
    if write.outcome == 'done' and said.done:
        session.ledger.ryw_violations += not said.rows


async def repeat(
    session: Session, kind: Kind, pause: float, until: anyio.Event
) -> None:
    """Do one kind of work again and again, with pauses between."""
    turn = 0
    while not until.is_set():
        turn += 1
        await kind(session, turn)
        await anyio.sleep(session.rng.uniform(0, 2 * pause))

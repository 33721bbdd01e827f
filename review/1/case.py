"""Session state that an instance refused counts as set.

Two consumers hold a transaction each at the primary, through one proxy. The
primary goes dark, is superseded and comes back. In the next statement of each
transaction the proxy first sets a session value, or prepares a shape, on the
transaction's connection; the instance has lost the lead and refuses that. The
proxy rolls back and uses the connection again, and takes the value as set and
the shape as prepared. Later consumers get that connection.
"""

import asyncio
import itertools
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

#: Number of proxies, and how long a promotion takes, in seconds.
PROXIES = 3
PROMOTE_S = 0.6
#: Longest time for which the primary is dark, in seconds; it ends once the
#: promotion of another instance is ordered.
DARK_S = 7.0
#: The same pause in the run without a disturbance, in seconds.
CALM_PAUSE_S = 1.5
#: Time from the primary's return to the consumers' next statements.
NEXT_STATEMENT_S = 0.2
#: Time until the later consumers come, in seconds.
LATER_S = 3.0
#: Later consumers at a time, and how often they come.
READERS = 6
ROUNDS = 3
#: Pause between the writes of the ordinary traffic, in seconds.
WRITE_PAUSE_S = 0.1

#: Value and shape that all sessions end up with.
ZONE = {'tz': 'lisbon'}
SHAPE = 'q7'


async def write_on(site: standins.Site) -> None:
    """Write on the primary's route: the ordinary traffic."""
    for number in itertools.count(1):
        session = await site.session(1, 'db-primary', 'carol')
        if session is not None:
            await session.ask(f'WRITE k1 c{number}')
            session.close()
        await asyncio.sleep(WRITE_PAUSE_S)


async def begin(session: standins.Consumer, item: str) -> None:
    """Open a transaction that writes."""
    for text in ('BEGIN', f'WRITE {item} v1'):
        answer = await session.ask(text)
        if not answer.good:
            raise RuntimeError(f'{text}: {answer}')


async def end(session: standins.Consumer) -> None:
    """End the transaction and the session."""
    await session.ask('ROLLBACK')
    session.close()


async def disturb(site: standins.Site) -> None:
    """Let the primary go dark until another one is to be promoted."""
    primary = site.primary
    primary.dark = True
    site.record.write(f'{primary.id} goes dark')
    try:
        async with asyncio.timeout(DARK_S):
            while not site.promotions:
                await asyncio.sleep(standins.ROUND_S)
    finally:
        primary.dark = False
        site.record.write(f'{primary.id} is back')


async def read_later(
    site: standins.Site, number: int, expected: dict[str, str]
) -> None:
    """Read in a session that has set the value and prepared the shape."""
    session = await site.session(0, 'db-bounded', f'bob{number}')
    if session is None:
        return
    acknowledged = [
        await session.ask('SET tz lisbon'),
        await session.ask(f'PREPARE s1 READ {SHAPE}'),
    ]
    if all(answer.good for answer in acknowledged):
        expected[(await session.ask('READ k1')).request] = ''
        expected[(await session.ask('EXEC s1 k1')).request] = SHAPE
    session.close()


def wrong_runs(site: standins.Site, expected: dict[str, str]) -> list[str]:
    """Return the runs whose values or shape are not the acknowledged ones."""
    found = []
    for run in itertools.chain(*(i.runs for i in site.instances)):
        if run.request not in expected:
            continue
        if run.refused == 'NOSTMT':
            found.append(f'{run.request}: its prepared name is unknown: {run}')
        elif run.values != ZONE:
            found.append(f'{run.request}: runs with {run.values}: {run}')
        elif run.shape != expected[run.request]:
            found.append(f'{run.request}: runs another shape: {run}')
    return found


async def case(site: standins.Site, trouble: bool) -> list[str]:
    """Run the case; return what breaks PINNED."""
    site.spawn(write_on(site))
    alice = await site.session(0, 'db-primary', 'alice')
    dave = await site.session(0, 'db-primary', 'dave')
    assert alice is not None and dave is not None
    await alice.ask('SET tz madrid')
    await dave.ask(f'PREPARE s1 READ {SHAPE}')
    await begin(alice, 'k2')
    await begin(dave, 'k3')
    if trouble:
        await disturb(site)
    else:
        await asyncio.sleep(CALM_PAUSE_S)
    await asyncio.sleep(NEXT_STATEMENT_S)
    await alice.ask('SET tz lisbon')
    await asyncio.gather(alice.ask('READ k1'), dave.ask('EXEC s1 k1'))
    await end(alice)
    await end(dave)
    await asyncio.sleep(LATER_S)
    expected: dict[str, str] = {}
    for _ in range(ROUNDS):
        readers = (read_later(site, n, expected) for n in range(READERS))
        await asyncio.gather(*readers)
    return wrong_runs(site, expected)


if __name__ == '__main__':
    sys.exit(standins.main(HERE, case, PROXIES, PROMOTE_S))

"""A graceful shutdown cuts transactions that it let begin.

A proxy gets SIGTERM. Its sessions stay open; some begin a transaction of
twelve statements with pauses two seconds later, which the proxy accepts. When
nine tenths of the grace time are over, the process ends while statements and
commits of these transactions are at their instances.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

#: Number of proxies, and the one that is stopped.
PROXIES = 3
STOPPED = 0
#: Time from SIGTERM to SIGKILL, as in the settings, in seconds.
GRACE_S = 6.0
#: A request that was sent no later after SIGTERM doesn't count, in seconds.
EARLY_S = 3.0
#: The routes' time limit for a statement, in seconds.
TIMEOUT_S = 2.0
#: When the first session begins its transaction, after SIGTERM, in seconds.
BEGIN_AFTER_S = 1.8
#: Sessions, and every how many of them one writes; the others only read.
SESSIONS = 16
WRITES_EVERY = 16
#: The time budgets of the sheet for reads and writes, in seconds. They are
#: counted here from BEGIN, pauses included, which excuses more than the rule.
READ_BUDGET_S = 8.0
WRITE_BUDGET_S = 2.5
#: Statements of a transaction, the last of which is COMMIT.
STATEMENTS = 12
#: Pause between two statements, and the time that one takes, in seconds.
PAUSE_S = 0.3
WORK_S = 0.03


class Asked:
    """The requests of the transactions: when each was sent and answered."""

    def __init__(self, record: standins.Record) -> None:
        self._record = record
        self.sent: list[tuple[float, float, standins.Answer, str]] = []
        #: Requests that ended after the time budget of their operation.
        self.late: set[str] = set()

    async def ask(
        self, session: standins.Consumer, text: str, give_up_at: float
    ) -> bool:
        """Send a statement; return whether it succeeded."""
        began = self._record.now()
        answer = await session.ask(text)
        ended = self._record.now()
        self.sent.append((began, ended, answer, text))
        if ended >= give_up_at:
            self.late.add(answer.request)
        return answer.good


async def transaction(
    site: standins.Site, number: int, asked: Asked, start_at: float
) -> None:
    """Make one transaction that begins at a time of the record."""
    reads = number % WRITES_EVERY != 0
    database = 'db-bounded' if reads else 'db-primary'
    session = await site.session(STOPPED, database, f'crew{number}')
    assert session is not None
    await session.ask('READ k0')
    await asyncio.sleep(start_at - site.record.now())
    budget_s = READ_BUDGET_S if reads else WRITE_BUDGET_S
    give_up_at = site.record.now() + budget_s
    text = 'READ k0' if reads else f'WRITE k{number} v'
    begin = 'BEGIN READ' if reads else 'BEGIN'
    for said in (begin, *[text] * (STATEMENTS - 1), 'COMMIT'):
        if not await asked.ask(session, said, give_up_at):
            break
        if said != begin:
            await asyncio.sleep(PAUSE_S)
    session.close()


async def stop_proxy(site: standins.Site) -> float:
    """Stop a proxy as the platform does; return when SIGTERM was sent."""
    process = site.proxies[STOPPED].process
    sent_at = site.record.now()
    site.record.write('front-0 gets SIGTERM')
    process.send_signal(signal.SIGTERM)

    async def kill_late() -> None:
        await asyncio.sleep(GRACE_S)
        if process.poll() is None:
            process.kill()

    site.spawn(kill_late())
    return sent_at


def cut_requests(
    site: standins.Site, asked: Asked, stopped_at: float
) -> list[str]:
    """Return the requests that LOST counts."""
    ran = {r.request for i in site.instances for r in i.runs}
    made = {e.request for i in site.instances for e in i.log}
    found = []
    for sent, ended, answer, text in asked.sent:
        if answer.code != 'CLOSED' or answer.request not in ran:
            continue
        if sent - stopped_at <= EARLY_S or ended - sent >= TIMEOUT_S:
            continue
        effect = ', took effect' if answer.request in made else ''
        if answer.request in asked.late:
            site.record.write(
                f'not counted, its time budget was over: {answer.request} '
                f'{text!r}{effect}'
            )
            continue
        found.append(
            f'{answer.request} {text!r}, sent {sent - stopped_at:.3f} s after '
            f'SIGTERM, ran at an instance{effect}; the connection ended '
            f'{1000 * (ended - sent):.0f} ms later without an answer'
        )
    return found


async def case(site: standins.Site, trouble: bool) -> list[str]:
    """Run the case; return what breaks LOST."""
    for instance in site.instances:
        instance.work_s = WORK_S
    asked = Asked(site.record)
    stopped_at = site.record.now() + 1.0
    step_s = (PAUSE_S + WORK_S) / SESSIONS
    begin_at = stopped_at + BEGIN_AFTER_S
    work = [
        transaction(site, n, asked, begin_at + n * step_s)
        for n in range(SESSIONS)
    ]
    tasks = [asyncio.create_task(w) for w in work]
    await asyncio.sleep(stopped_at - site.record.now())
    if trouble:
        stopped_at = await stop_proxy(site)
    await asyncio.gather(*tasks)
    done = [a for _, _, a, text in asked.sent if a.good and text == 'COMMIT']
    site.record.write(f'{len(done)} of {SESSIONS} transactions committed')
    return cut_requests(site, asked, stopped_at)


if __name__ == '__main__':
    sys.exit(standins.main(HERE, case, PROXIES))

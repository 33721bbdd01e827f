"""Consumers that run one operation after another, with retries."""

import asyncio
from collections.abc import Callable
import contextlib
import random
import time

import small_site as site

#: Mean pause between two operations of a consumer, in seconds.
PAUSE_S = 0.5
#: Time budget of an operation, in seconds, and the consumer's retries.
BUDGET_S = 2.5
RETRIES = 2
#: Pause before a retry, in seconds.
RETRY_PAUSE_S = 0.1
#: Codes that promise that nothing is kept: the consumer tries again.
PROMISES = ('BUSY', 'ABORTED', 'BEHIND', 'READONLY', 'MISROUTED', 'CONNLIMIT')
#: What ends a session from outside.
GONE = (OSError, asyncio.IncompleteReadError)

#: Returns the database and the statements of an operation by its number.
Operation = Callable[[int], tuple[str, tuple[str, ...]]]


class Traffic:
    """The consumers of a site and what became of their operations."""

    def __init__(self, small: site.Site, operation: Operation) -> None:
        self._site = small
        self._operation_of = operation
        self._count = 0
        #: For each operation: when it was sent, and whether it succeeded.
        self._ended: list[tuple[float, bool]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, consumers: int) -> None:
        """Let consumers work until `stop`."""
        self._tasks = [
            asyncio.create_task(self._run(f'c{number}'))
            for number in range(consumers)
        ]

    def stop(self) -> None:
        """End all consumers."""
        for task in self._tasks:
            task.cancel()

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many operations were served, and how many were sent."""
        found = [ok for at, ok in self._ended if since <= at < until]
        return sum(found), len(found)

    async def _run(self, name: str) -> None:
        rng = random.Random(name)
        while True:
            await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
            sent_at = time.monotonic()
            self._count += 1
            served = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BUDGET_S):
                    served = await self._operate(name, self._count, rng)
            self._ended.append((sent_at, served))
            end = 'is served' if served else 'gives up'
            self._site.record(f'{name} {end}')

    async def _operate(
        self, name: str, number: int, rng: random.Random
    ) -> bool:
        """Run an operation, again after a promise; return its success."""
        for attempt in range(1 + RETRIES):
            proxy = rng.choice(self._site.proxies)
            consumer = site.Consumer(
                f'{name}.{number}.{attempt}', self._site.record
            )
            try:
                code = await self._attempt(consumer, proxy, number)
            except GONE:
                code = 'ABORTED'
            finally:
                consumer.close()
            if not code:
                return True
            if code not in PROMISES:
                return False
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def _attempt(
        self, consumer: site.Consumer, proxy: site.Proxy, number: int
    ) -> str:
        """Run an operation once; return the code of its end."""
        database, texts = self._operation_of(number)
        if not await consumer.connect(proxy, database):
            return 'BUSY'
        for text in texts:
            code = await consumer.ask(text)
            if code:
                return code
        return ''

"""Checks that are made while a run goes on."""

import pathlib
import random
import time

import anyio
import tidegrade_edge as edge

from tidegrade_soak import _callers
from tidegrade_soak import _faults
from tidegrade_soak import _journal

#: A configuration is in force within 3 s on the platform; the rest is for
#: a machine that runs many processes at once, in seconds.
CONFIG_LIMIT = 5.0
#: How long all must have been calm before a change counts, in seconds.
CALM = 4.0
#: Pause between changes of the configuration, in seconds.
CHANGE_PAUSE = (2.0, 6.0)
#: Resident memory that no proxy may reach, in bytes: half of the least
#: memory of a VM, 300 MB.
MEMORY_LIMIT = 150 << 20
PAGE = 4096
#: A database that the operator adds and removes.
EXTRA = 'db-extra'


class Watch:
    """An operator who changes the configuration, and looks at processes."""

    def __init__(
        self,
        site: edge.Site,
        journal: _journal.Journal,
        faults: _faults.Faults,
        rng: random.Random,
    ) -> None:
        self._site = site
        self._journal = journal
        self._faults = faults
        self._rng = rng
        self.most_memory = 0

    async def change_configurations(self) -> None:
        """Add and remove a database until cancelled."""
        there = False
        while True:
            await anyio.sleep(self._rng.uniform(*CHANGE_PAUSE))
            there = not there
            self._site.configure(extra=(EXTRA,) if there else ())
            accepted = time.monotonic()
            await anyio.sleep(CONFIG_LIMIT)
            for number in range(len(self._site.proxies)):
                await self._check(number, there, accepted)

    async def _check(self, number: int, there: bool, accepted: float) -> None:
        start = accepted - CALM
        try:
            with anyio.fail_after(_callers.PATIENCE):
                client = await edge.Client.connect(
                    self._site.proxies[number].front,
                    EXTRA,
                    'w',
                    self._site.key,
                )
        except (*_callers.GONE, TimeoutError):
            return
        if client is not None:
            await client.close()
        if self._journal.disturbed(start, time.monotonic(), number):
            return
        if there != (client is not None):
            self._journal.problems.append(
                f'CONFIG: proxy {number} has {EXTRA}: {client is not None}, '
                f'{CONFIG_LIMIT} s after that changed to {there}'
            )

    async def look_at_processes(self) -> None:
        """See that no proxy ends by itself or grows, until cancelled."""
        reported: set[int] = set()
        while True:
            for number, proxy in enumerate(self._site.proxies):
                pid = proxy.process.pid
                if number in self._faults.leaving or pid in reported:
                    continue
                if proxy.process.poll() is not None:
                    reported.add(pid)
                    self._journal.problems.append(
                        f'fault: {proxy.name} ended by itself with '
                        f'{proxy.process.returncode}'
                    )
                    continue
                self._look_at_memory(proxy)
            await anyio.sleep(0.5)

    def _look_at_memory(self, proxy: edge.ProxyProcess) -> None:
        stat = pathlib.Path(f'/proc/{proxy.process.pid}/statm')
        try:
            resident = int(stat.read_text().split()[1]) * PAGE
        except (OSError, IndexError):
            # It has ended since; that is looked at above.
            return
        self.most_memory = max(self.most_memory, resident)
        if resident > MEMORY_LIMIT:
            self._journal.problems.append(
                f'fault: {proxy.name} takes {resident >> 20} MB'
            )

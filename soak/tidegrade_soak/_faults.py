"""Faults that come in series and overlap, from a seed."""

from collections.abc import Callable
from collections.abc import Coroutine
import random
import signal
import time

import anyio
import anyio.abc
import tidegrade_edge as edge

from tidegrade_soak import _journal

#: Status of a proxy that was asked to stop; one that had only just started
#: ends by the signal itself.
_ENDED_WELL = (0, -signal.SIGTERM)

Act = Callable[[], Coroutine[object, object, None]]


class Faults:
    """Does things to the site, and undoes each after a while."""

    def __init__(
        self,
        site: edge.Site,
        journal: _journal.Journal,
        rng: random.Random,
        pause: float,
        store_returns: bool = False,
    ) -> None:
        self._site = site
        self._journal = journal
        self._rng = rng
        self._pause = pause
        #: Proxies that are being stopped or have been killed.
        self.leaving: set[int] = set()
        self._kinds: list[Act] = [
            self._crash,
            self._dark,
            self._deaf,
            self._lag,
            self._lose_answers,
            self._slow_instance,
            self._disturb_instance_link,
            self._disturb_instance_link,
            self._disturb_store_link,
            self._disturb_store_link,
            self._store_down,
            self._store_slow,
            self._store_forgets,
            self._pause_proxy,
            self._kill_proxies,
            self._stop_proxy,
            self._stop_proxy,
            self._reload_proxy,
        ]
        if store_returns:
            # Only if asked for: a seed's faults follow from this list.
            self._kinds += [self._store_returns] * 2

    async def run(self, seconds: float) -> None:
        """Go on for a while, then wait until all is undone."""
        until = time.monotonic() + seconds
        async with anyio.create_task_group() as tasks:
            while time.monotonic() < until:
                await anyio.sleep(self._rng.expovariate(1 / self._pause))
                tasks.start_soon(self._rng.choice(self._kinds))

    # Bookkeeping ----------------------------------------------------------

    def _begin(
        self, kind: str, proxy: int | None = None, detail: object = ''
    ) -> _journal.Fault:
        fault = _journal.Fault(kind, time.monotonic(), proxy, str(detail))
        self._journal.faults.append(fault)
        return fault

    async def _for(self, least: float, most: float) -> None:
        await anyio.sleep(self._rng.uniform(least, most))

    def _end(self, fault: _journal.Fault) -> None:
        fault.until = time.monotonic()

    def _instance(self) -> edge.Instance:
        """Give an instance, the primary as often as the others."""
        if self._rng.random() < 0.5:
            return self._site.primary
        return self._rng.choice(self._site.instances)

    def _proxy(self) -> int | None:
        """Give the number of a proxy that nothing is done to."""
        numbers = range(len(self._site.proxies))
        free = [n for n in numbers if n not in self.leaving]
        return self._rng.choice(free) if len(free) > 1 else None

    # Instances ------------------------------------------------------------

    async def _crash(self) -> None:
        instance = self._instance()
        if instance.state == 'crashed':
            return
        fault = self._begin('crash', detail=instance.id)
        instance.crash()
        await self._for(0.3, 4)
        self._site.restart_instance(instance)
        self._end(fault)

    async def _dark(self) -> None:
        instance = self._instance()
        fault = self._begin('dark', detail=instance.id)
        instance.faults.dark = True
        await self._for(0.2, 4)
        instance.faults.dark = False
        self._end(fault)

    async def _deaf(self) -> None:
        instance = self._instance()
        fault = self._begin('deaf', detail=instance.id)
        instance.faults.deaf = True
        await self._for(0.2, 3)
        instance.faults.deaf = False
        self._end(fault)

    async def _lag(self) -> None:
        instance = self._instance()
        fault = self._begin('lag', detail=instance.id)
        instance.faults.apply_lag = self._rng.uniform(0.1, 3)
        await self._for(0.5, 4)
        instance.faults.apply_lag = 0.0
        self._end(fault)

    async def _lose_answers(self) -> None:
        instance = self._instance()
        instance.faults.lose_answers = self._rng.randrange(1, 4)
        self._end(self._begin('lose answers', detail=instance.id))

    async def _slow_instance(self) -> None:
        instance = self._instance()
        fault = self._begin('slow', detail=instance.id)
        instance.faults.work = self._rng.uniform(0.02, 0.4)
        await self._for(0.5, 3)
        instance.faults.work = 0.0
        self._end(fault)

    # Connections ----------------------------------------------------------

    async def _disturb_instance_link(self) -> None:
        relay = self._site.relays[self._instance().id]
        await self._disturb(relay, 'instance link', None)

    async def _disturb_store_link(self) -> None:
        number = self._rng.randrange(len(self._site.store_relays))
        relay = self._site.store_relays[number]
        await self._disturb(relay, 'store link', number)

    async def _disturb(
        self, relay: edge.Relay, what: str, proxy: int | None
    ) -> None:
        share = self._rng.choice((0.3, 0.7, 1.0))
        how = self._rng.choice(('silent', 'one way', 'reset', 'delay', 'cut'))
        fault = self._begin(f'{what} {how}', proxy, share)
        if how == 'silent':
            relay.silence(share, self._rng)
        elif how == 'one way':
            way = self._rng.choice(list(edge.Direction))
            relay.silence(share, self._rng, frozenset({way}))
        elif how == 'reset':
            relay.reset(share, self._rng)
        elif how == 'delay':
            relay.delay = self._rng.uniform(0.01, 0.5)
            await self._for(0.2, 2)
            relay.delay = 0.0
        else:
            relay.refusing = True
            relay.reset()
            await self._for(0.2, 4)
            relay.refusing = False
        self._end(fault)

    # The store ------------------------------------------------------------

    async def _store_down(self) -> None:
        fault = self._begin('store down')
        self._site.store.faults.refusing = True
        await self._for(0.2, 5)
        self._site.store.faults.refusing = False
        self._end(fault)

    async def _store_slow(self) -> None:
        fault = self._begin('store slow')
        self._site.store.faults.delay = self._rng.uniform(0.05, 1.2)
        self._site.store.faults.lose_writes = self._rng.randrange(3)
        await self._for(0.5, 3)
        self._site.store.faults.delay = 0.0
        self._site.store.faults.lose_writes = 0
        self._end(fault)

    async def _store_forgets(self) -> None:
        store = self._site.store
        store.faults.forgotten = store.version
        self._end(self._begin('store forgets'))

    async def _store_returns(self) -> None:
        """Let it go for a moment, and come back from a copy."""
        store = self._site.store
        copy = store.copy()
        await self._for(1, 6)
        fault = self._begin('store returns')
        store.faults.refusing = True
        await self._for(0.2, 3)
        self._site.come_back(copy)
        store.faults.refusing = False
        self._end(fault)

    # Proxies --------------------------------------------------------------

    async def _pause_proxy(self) -> None:
        number = self._proxy()
        if number is None:
            return
        proxy = self._site.proxies[number]
        fault = self._begin('pause', number)
        proxy.send(signal.SIGSTOP)
        await self._for(0.1, 3)
        proxy.send(signal.SIGCONT)
        self._end(fault)

    async def _kill_proxies(self) -> None:
        """Kill one proxy, or most of them at the same moment."""
        count = 1
        if self._rng.random() < 0.3:
            count = len(self._site.proxies) - 1
        killed = []
        for _ in range(count):
            number = self._proxy()
            if number is None:
                break
            self.leaving.add(number)
            killed.append((number, self._begin('kill', number)))
            self._site.proxies[number].send(signal.SIGKILL)
        await self._for(0.1, 1)
        for number, fault in killed:
            await self._restart(number, fault)

    async def _stop_proxy(self) -> None:
        number = self._proxy()
        if number is None:
            return
        self.leaving.add(number)
        fault = self._begin('stop', number)
        proxy = self._site.proxies[number]
        proxy.send(signal.SIGTERM)
        left = self._site.cfg.grace_s
        while proxy.process.poll() is None and left > 0:
            await anyio.sleep(0.05)
            left -= 0.05
        if proxy.process.poll() is None:
            proxy.send(signal.SIGKILL)
            fault.kind = 'kill'
        elif proxy.process.returncode not in _ENDED_WELL:
            self._journal.problems.append(
                f'fault: {proxy.name} ended with {proxy.process.returncode}'
            )
        await self._restart(number, fault)

    async def _restart(self, number: int, fault: _journal.Fault) -> None:
        proxy = self._site.proxies[number]
        while proxy.process.poll() is None:
            await anyio.sleep(0.02)
        self._site.restart_proxy(number)
        self.leaving.discard(number)
        self._end(fault)

    async def _reload_proxy(self) -> None:
        number = self._proxy()
        if number is not None:
            self._site.proxies[number].send(signal.SIGHUP)
            self._end(self._begin('reload', number))

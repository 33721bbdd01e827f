"""Registration of a proxy in the platform's table, for supervisors."""

from collections.abc import Callable

import anyio

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade import logs

#: Pause between attempts to register, in seconds.
RETRY_PAUSE_S = 0.2


class Registration:
    """Registers this run of the proxy in the platform's table.

    Only a registered proxy may hold write permissions. A supervisor lists
    the registered proxies *after* it has fenced a majority, so a proxy that
    is not on its list can't gain a permission for the term that ends.

    There is one row per VM. A new run replaces the row of the run before,
    which has ended; otherwise a supervisor would wait for that run each time
    it ends a term. Every write and delete is conditional on the tag that was
    read, so a late one of a former run changes nothing. The row is read
    before it is written, since the platform accepts fewer writes than reads:
    195 proxies that start together wait 1.3 s for their writes.
    """

    def __init__(
        self, deps: _deps.Deps, registered: Callable[[], None]
    ) -> None:
        self._deps = deps
        self._on_registered = registered
        self._key = _rows.PROXIES_PREFIX + core.vm_of(deps.proxy_id)
        self._tag = ''
        self._check_requested = anyio.Event()

    async def run(self) -> None:
        """Register once and return."""
        await self._until_registered()
        logs.write(logs.LogEvent.REGISTERED)
        self._on_registered()

    async def keep(self) -> None:
        """Register, and check the row again on each call of `recheck`."""
        await self.run()
        while True:
            await self._check_requested.wait()
            self._check_requested = anyio.Event()
            await self._until_registered()

    def recheck(self) -> None:
        """Have `keep` check the row, which a table restore may have lost."""
        self._check_requested.set()

    async def _until_registered(self) -> None:
        cfg = self._deps
        entry = _rows.Registered(
            cfg.domain,
            cfg.peers.host,
            cfg.peers.port,
            cfg.proxy_id,
            cfg.capacity,
        )
        value = _rows.encode_registered(entry)
        while not await self._register(value):
            await anyio.sleep(RETRY_PAUSE_S)

    async def withdraw(self) -> None:
        """Delete the row; only once this run can hold no permission."""
        if self._tag:
            await self._deps.table.delete(self._key, self._tag)

    async def _register(self, value: bytes) -> bool:
        """Try to register, and return whether the row names this run."""
        read = await self._deps.table.read(self._key)
        if read.is_err():
            return False
        former = read.unwrap()
        if former is not None and former.value == value:
            # An earlier write whose answer was lost took effect.
            self._tag = former.tag
            return True
        tag = former.tag if former is not None else None
        written = await self._deps.table.write(self._key, value, tag)
        self._tag = written.unwrap_or('')
        return written.is_ok()

"""Registration of a proxy, so that supervisors know of it."""

from collections.abc import Callable

import anyio

from tidegrade.codec import _rows
from tidegrade import core
from tidegrade.daemon import _deps
from tidegrade import logs

#: Pause between attempts, in seconds.
RETRY_PAUSE = 0.2


class Registration:
    """Keeps this run of the proxy in the platform's table.

    Only a registered proxy may hold write permissions: a supervisor lists
    the registered ones *after* it has fenced a majority, so a proxy that
    it doesn't find can't gain a permission for the term that ends.

    The row is that of the VM. A run takes the place of the one before it,
    which has ended; a supervisor would wait for it each time it ends a
    term. Every change is bound to the version that was seen, so one of a
    former run that comes late changes nothing. The row is looked at first:
    the platform takes fewer writes than reads, and 195 proxies that start
    together wait 1.3 s for theirs.
    """

    def __init__(
        self, deps: _deps.Deps, registered: Callable[[], None]
    ) -> None:
        self._deps = deps
        self._registered = registered
        self._key = _rows.PROXIES_PREFIX + core.vm_of(deps.proxy_id)
        self._tag = ''
        self._wanted = anyio.Event()

    async def run(self) -> None:
        """Register; then there is nothing more to do."""
        await self._until_registered()
        logs.write(logs.LogEvent.REGISTERED)
        self._registered()

    async def keep(self) -> None:
        """Register, and again whenever the row may have been lost."""
        await self.run()
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            await self._until_registered()

    def look_again(self) -> None:
        """See that the row is there: the table may have lost it."""
        self._wanted.set()

    async def _until_registered(self) -> None:
        cfg = self._deps
        entry = _rows.Registered(
            cfg.domain, cfg.peers.host, cfg.peers.port, cfg.proxy_id
        )
        value = _rows.encode_registered(entry)
        while not await self._register(value):
            await anyio.sleep(RETRY_PAUSE)

    async def withdraw(self) -> None:
        """Take the registration back when no permission can be held."""
        if self._tag:
            await self._deps.table.delete(self._key, self._tag)

    async def _register(self, value: bytes) -> bool:
        """Tell whether the row names this run."""
        read = await self._deps.table.read(self._key)
        if read.is_err():
            return False
        former = read.unwrap()
        if former is not None and former.value == value:
            # An attempt without an answer took effect.
            self._tag = former.tag
            return True
        tag = former.tag if former is not None else None
        written = await self._deps.table.write(self._key, value, tag)
        self._tag = written.unwrap_or('')
        return written.is_ok()

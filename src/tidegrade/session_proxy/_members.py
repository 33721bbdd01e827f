"""Finding the other proxies through their rows in the table."""

from collections.abc import Callable

import anyio

from tidegrade.codec import _rows
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade import ports

#: Pauses between the first looks, in seconds, while nobody is heard; the
#: first is as long as links and heartbeats take on a loaded VM.
FIRST_PAUSES = (0.8, 1.0, 2.0)


class MembersTask:
    """Reads the registrations, once this proxy has its own.

    Of any two proxies the one that registers later finds the other, and is
    heard by it from then on, so one look is enough where others live. The
    rare ones after it find those whose heartbeats were lost. After each
    look ``looked`` is called.
    """

    def __init__(
        self,
        table: ports.Table,
        peers: _peers_task.PeersTask,
        interval: float,
        looked: Callable[[], None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._interval = interval
        self._looked = looked
        self._registered = anyio.Event()

    def registered(self) -> None:
        """Say that this proxy can be found by others."""
        self._registered.set()

    async def run(self) -> None:
        """Look until cancelled."""
        await self._registered.wait()
        for pause in FIRST_PAUSES:
            await self._look()
            await anyio.sleep(pause)
            if self._peers.alive():
                break
        while True:
            await anyio.sleep(self._interval)
            await self._look()

    async def _look(self) -> None:
        listed = await self._table.scan(_rows.PROXIES_PREFIX)
        if listed.is_err():
            logs.write(logs.LogEvent.PLATFORM_LOST, reason=listed.unwrap_err())
            return
        vms = []
        for key, value in listed.unwrap().items():
            entry = _rows.decode_registered(value)
            if entry.is_err():
                logs.write(
                    logs.LogEvent.ROW_MALFORMED,
                    row=key,
                    reason=entry.unwrap_err(),
                )
                continue
            found = entry.unwrap()
            vms.append(
                ports.Vm(
                    found.proxy,
                    'proxy',
                    found.domain,
                    found.host,
                    found.port,
                )
            )
        self._peers.learn_vms(vms)
        self._looked()

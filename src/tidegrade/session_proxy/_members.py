"""Discovery of other proxies through their rows in the table."""

from collections.abc import Callable

import anyio

from tidegrade.codec import _rows
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade import ports

#: Pauses after the first scans while no heartbeat arrives, in seconds. The
#: first is as long as connections and heartbeats take on a loaded VM.
FIRST_SCAN_PAUSES_S = (0.8, 1.0, 2.0)
#: Pause between scans as long as none has succeeded, in seconds. A proxy that
#: starts while it is cut off from the platform knows no other one until then.
RETRY_PAUSE_S = 1.0


class MembersTask:
    """Scans the registrations of all proxies once this one is registered.

    Of any two proxies the one that registers later finds the other, which
    gets its heartbeats from then on, so one scan is enough if other proxies
    are alive. Rare later scans find proxies whose heartbeats were lost.
    ``on_scanned`` is called after each scan. ``interval`` is in seconds.
    """

    def __init__(
        self,
        table: ports.Table,
        peers: _peers_task.PeersTask,
        interval: float,
        on_scanned: Callable[[], None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._interval = interval
        self._on_scanned = on_scanned
        self._registered = anyio.Event()

    def registered(self) -> None:
        """Allow the scans, since other proxies can now find this one."""
        self._registered.set()

    async def run(self) -> None:
        """Scan the registrations until cancelled."""
        await self._registered.wait()
        for pause in FIRST_SCAN_PAUSES_S:
            await self._scan()
            await anyio.sleep(pause)
            if self._peers.alive():
                break
        while True:
            known = self._peers.has_vm_list
            await anyio.sleep(self._interval if known else RETRY_PAUSE_S)
            await self._scan()

    async def _scan(self) -> None:
        listed = await self._table.scan(_rows.PROXIES_PREFIX)
        if listed.is_err():
            logs.write(
                logs.LogEvent.PLATFORM_UNREACHABLE, reason=listed.unwrap_err()
            )
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
                    capacity=found.capacity,
                )
            )
        self._peers.learn_vms(vms)
        self._on_scanned()

"""Finding the other proxies through their rows in the table."""

import anyio

from tidegrade.codec import _rows
from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade import ports

#: Pauses between the first looks, in seconds: all proxies of a deployment
#: may start at the same moment, and each must find those after it.
FIRST_PAUSES = (0.3, 1.0, 2.0)


class MembersTask:
    """Reads the registrations, often at first and rarely afterwards.

    A proxy that starts later is heard from, since it reads the
    registrations itself and sends heartbeats to all it finds.
    """

    def __init__(
        self,
        table: ports.Table,
        peers: _peers_task.PeersTask,
        interval: float,
    ) -> None:
        self._table = table
        self._peers = peers
        self._interval = interval

    async def run(self) -> None:
        """Look until cancelled."""
        for pause in FIRST_PAUSES:
            await self._look()
            await anyio.sleep(pause)
        while True:
            await self._look()
            await anyio.sleep(self._interval)

    async def _look(self) -> None:
        listed = await self._table.scan(_rows.HOLDERS)
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
                    key.removeprefix(_rows.HOLDERS),
                    'proxy',
                    found.domain,
                    found.host,
                    found.port,
                )
            )
        self._peers.learn_vms(vms)

"""Detection of a restore of the platform's table.

The platform may restore the table from a copy that is some seconds old; this
begins a new generation. A proxy that calls the platform learns of it from any
answer, the other proxies from heartbeats. Each proxy then checks the rows that
it has written, since the restore may have lost them.
"""

from collections.abc import Callable
import random

import anyio

from tidegrade.daemon import _peers_task
from tidegrade import logs
from tidegrade import ports

#: Interval between checks of the generation that the table and the peers
#: report, in seconds: about half the interval between heartbeats.
CHECK_INTERVAL_S = 0.25
#: Greatest random delay before a proxy checks its rows, in seconds. It
#: spreads the load on the platform: each proxy makes one read for its
#: registration and one for the rows of its groups.
RECHECK_SPREAD_S = 1.0


class GenerationWatch:
    """Calls ``returned`` when the table was restored from an older copy."""

    def __init__(
        self,
        table: ports.Table,
        peers: _peers_task.PeersTask,
        rng: random.Random,
        returned: Callable[[], None],
    ) -> None:
        self._table = table
        self._peers = peers
        self._rng = rng
        self._on_restore = returned
        #: The latest known generation; 0 if none is known yet.
        self.current = 0

    async def run(self) -> None:
        """Check the generation until cancelled."""
        while True:
            if self._is_restored():
                await anyio.sleep(self._rng.uniform(0, RECHECK_SPREAD_S))
                self._on_restore()
            await anyio.sleep(CHECK_INTERVAL_S)

    def _is_restored(self) -> bool:
        """Return whether the table was restored since the last check."""
        beats = (peer.beat.store_generation for peer in self._peers.alive())
        latest = max([self._table.generation, *beats])
        former = self.current
        if latest <= former:
            return False
        self.current = latest
        if not former:
            # This proxy has written nothing yet that could have been lost.
            return False
        logs.write(
            logs.LogEvent.ROWS_RECHECKED, generation=latest, former=former
        )
        return True

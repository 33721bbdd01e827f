"""The end of the program: sessions are closed as they come to rest."""

from collections.abc import Callable

import anyio

from tidegrade import logs
from tidegrade.session_proxy import _settings

#: Pause between looks for sessions that rest and are to be closed.
CLOSING_LOOK = 0.05
#: Time at the end in which no new callers are taken, in seconds: longer
#: than nearly every statement.
LAST_CALLERS = 0.8
#: Part of the grace time after which nothing is waited for any more.
GRACE_USED = 0.9


class Ending:
    """Ends what callers and other proxies have under way, within a time.

    ``serves_others`` tells whether something that other proxies handed over
    is not finished.
    """

    def __init__(
        self, outside: _settings.Outside, serves_others: Callable[[], bool]
    ) -> None:
        self._door = outside.door
        self._clock = outside.clock
        self._serves_others = serves_others
        #: Whether sessions are being closed for the end of this process.
        self.closing = False

    async def wind_down(self, cfg: _settings.ProxySettings) -> None:
        """Let the balancer notice, then close sessions as they rest."""
        logs.write(logs.LogEvent.DRAINING)
        started = self._clock.now()
        limit = cfg.grace_s * GRACE_USED
        await anyio.sleep(min(cfg.unready_s, limit / 2))
        self.closing = True
        self._door.close_after_answers(True)
        left = limit - (self._clock.now() - started)
        with anyio.move_on_after(left - LAST_CALLERS):
            await self._close_sessions()
        # Whoever comes now would meet a process that is ending.
        self._door.stop_accepting()
        logs.write(
            logs.LogEvent.DOOR_CLOSED,
            after_ms=round((self._clock.now() - started) * 1000),
            in_flight=self._door.close_idle(),
        )
        await anyio.sleep(CLOSING_LOOK)
        with anyio.move_on_after(LAST_CALLERS) as last:
            await self._close_sessions()
        if last.cancelled_caught:
            still_open = self._door.close_idle()
            logs.write(logs.LogEvent.DRAIN_CUT, in_flight=still_open)

    async def _close_sessions(self) -> None:
        """Close each session as it rests, until none is open.

        What other proxies have handed over is ended as well.
        """
        while self._door.close_idle() or self._serves_others():
            await anyio.sleep(CLOSING_LOOK)

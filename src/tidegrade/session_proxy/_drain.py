"""Draining at the end of the program: closes idle sessions."""

from collections.abc import Callable

import anyio

from tidegrade import logs
from tidegrade.session_proxy import _settings

#: Interval between checks for idle sessions to close, in seconds.
CLOSE_CHECK_INTERVAL_S = 0.05
#: Time at the end of the drain in which no new connections are accepted, in
#: seconds: longer than nearly every statement.
FINAL_CLOSE_S = 0.8
#: Fraction of the grace time after which the drain waits no longer.
GRACE_SHARE = 0.9


class Drain:
    """Ends sessions and forwarded requests within the grace time.

    ``is_serving_others`` returns whether a forwarded request or a
    transaction is unfinished.
    """

    def __init__(
        self,
        adapters: _settings.Adapters,
        is_serving_others: Callable[[], bool],
    ) -> None:
        self._listener = adapters.listener
        self._clock = adapters.clock
        self._is_serving_others = is_serving_others
        #: Whether sessions are being closed because the process ends.
        self.closing = False

    async def drain_sessions(self, cfg: _settings.ProxySettings) -> None:
        """Wait for the load balancer to notice, then close idle sessions."""
        logs.write(logs.LogEvent.DRAINING)
        started_at = self._clock.now()
        limit = cfg.grace_s * GRACE_SHARE
        await anyio.sleep(min(cfg.unready_s, limit / 2))
        self.closing = True
        self._listener.close_after_answers(True)
        left = limit - (self._clock.now() - started_at)
        with anyio.move_on_after(left - FINAL_CLOSE_S):
            await self._close_sessions()
        # A connection accepted from now on would be cut by the process end.
        self._listener.stop_accepting()
        logs.write(
            logs.LogEvent.LISTENER_CLOSED,
            after_ms=round((self._clock.now() - started_at) * 1000),
            in_flight=self._listener.close_idle(),
        )
        await anyio.sleep(CLOSE_CHECK_INTERVAL_S)
        with anyio.move_on_after(FINAL_CLOSE_S) as final:
            await self._close_sessions()
        if final.cancelled_caught:
            still_open = self._listener.close_idle()
            logs.write(logs.LogEvent.DRAIN_LIMIT_REACHED, in_flight=still_open)

    async def _close_sessions(self) -> None:
        """Close each session once it is idle, until none is open.

        Requests that other proxies forwarded are waited for as well.
        """
        while self._listener.close_idle() or self._is_serving_others():
            await anyio.sleep(CLOSE_CHECK_INTERVAL_S)

"""Draining at the end of the program.

Sessions end step by step: no transaction begins once the load balancer has
noticed, the next statement of an open transaction is refused later, and at
the end each request that is still in progress is answered. So no caller waits
on a connection that the end of the process cuts.
"""

from collections.abc import Callable

import anyio

from tidegrade import logs
from tidegrade.session_proxy import _settings
from tidegrade import sessions

#: Interval between checks for idle sessions to close, in seconds.
CLOSE_CHECK_INTERVAL_S = 0.05
#: Interval between checks whether all requests are answered, in seconds.
ANSWERED_CHECK_INTERVAL_S = 0.01
#: Time at the end of the drain in which no new connections are accepted, in
#: seconds: longer than nearly every statement.
FINAL_CLOSE_S = 0.8
#: Fraction of the grace time after which the drain waits no longer.
GRACE_SHARE = 0.9
#: Fraction of the grace time after which the next statement of an open
#: transaction is refused and rolls it back. A transaction has at least half of
#: the grace time to end, and a statement that was sent before this still has a
#: fifth of the grace time to be answered before the drain ends.
TXN_SHARE = 0.7
#: Time in which the groups answer what is in progress at the end, in seconds.
#: Requests that wait for other proxies are answered afterwards.
GROUPS_ANSWER_S = 0.05
#: Time for the answers sent at the end to leave the process, in seconds.
FLUSH_S = 0.1
#: Fraction of the grace time after which the drain no longer waits for answers
#: to leave.
FLUSH_SHARE = 0.96
#: Fraction of the grace time after which nothing is waited for: the rest is
#: for the end of the process.
END_SHARE = 0.98


class Drain:
    """Ends sessions and forwarded requests within the grace time.

    ``is_serving_others`` returns whether a forwarded request or a
    transaction is unfinished. ``end_requests`` makes the groups answer all
    requests.
    """

    def __init__(
        self,
        adapters: _settings.Adapters,
        is_serving_others: Callable[[], bool],
        end_requests: Callable[[], None],
    ) -> None:
        self._listener = adapters.listener
        self._clock = adapters.clock
        self._is_serving_others = is_serving_others
        self._end_requests = end_requests
        #: Whether sessions are being closed because the process ends.
        self.closing = False
        self._ends_at = float('inf')
        #: What sessions may do at present.
        self.phase = sessions.ServicePhase.SERVING

    async def drain_sessions(self, cfg: _settings.ProxySettings) -> None:
        """Wait for the load balancer to notice, then close idle sessions."""
        logs.write(logs.LogEvent.DRAINING)
        started_at = self._clock.now()
        self._ends_at = started_at + cfg.grace_s * END_SHARE
        limit = cfg.grace_s * GRACE_SHARE
        await anyio.sleep(min(cfg.unready_s, limit / 2))
        self.closing = True
        self.phase = sessions.ServicePhase.DRAINING
        self._listener.close_after_answers(True)
        txns_end_at = started_at + cfg.grace_s * TXN_SHARE
        if not await self._close_until(txns_end_at):
            self.phase = sessions.ServicePhase.ENDING
            await self._close_until(started_at + limit - FINAL_CLOSE_S)
        # A connection accepted from now on would be cut by the process end.
        self._listener.stop_accepting()
        logs.write(
            logs.LogEvent.LISTENER_CLOSED,
            after_ms=round((self._clock.now() - started_at) * 1000),
            in_flight=self._listener.close_idle(),
        )
        await anyio.sleep(CLOSE_CHECK_INTERVAL_S)
        if await self._close_until(started_at + limit):
            # Requests that other proxies still forward are refused.
            self._end_requests()
            return
        await self._answer_unfinished(started_at + cfg.grace_s * FLUSH_SHARE)

    def time_left(self) -> float:
        """Return the time in which the process must end, in seconds."""
        return max(0.0, self._ends_at - self._clock.now())

    async def _answer_unfinished(self, latest: float) -> None:
        """Answer what is still in progress, and let the answers leave.

        The wait for answers to leave ends at the time ``latest``.
        """
        began_at = self._clock.now()
        still_open = self._listener.close_idle()
        unanswered = self._listener.unanswered()
        self._end_requests()
        await self._until_answered(began_at + GROUPS_ANSWER_S)
        interrupted = self._listener.answer_unfinished()
        with anyio.move_on_after(latest - self._clock.now()):
            await anyio.sleep(FLUSH_S)
        await self._until_answered(latest)
        logs.write(
            logs.LogEvent.DRAIN_LIMIT_REACHED,
            in_flight=still_open,
            answered=unanswered - self._listener.unanswered(),
            interrupted=interrupted,
            took_ms=round((self._clock.now() - began_at) * 1000),
        )

    async def _until_answered(self, latest: float) -> None:
        """Wait until all answers have been sent, or until ``latest``."""
        while self._listener.unanswered() or self._is_serving_others():
            if self._clock.now() >= latest:
                return
            await anyio.sleep(ANSWERED_CHECK_INTERVAL_S)

    async def _close_until(self, at: float) -> bool:
        """Close each session once it is idle; return whether none is left.

        Requests that other proxies forwarded are waited for as well. The
        wait ends at the time ``at``.
        """
        while self._listener.close_idle() or self._is_serving_others():
            left = at - self._clock.now()
            if left <= 0.0:
                return False
            await anyio.sleep(min(CLOSE_CHECK_INTERVAL_S, left))
        return True

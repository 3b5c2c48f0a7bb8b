"""Delays of this process: for how long its event loop has run no timers."""

from collections import deque

from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog

TICK_MS: Millis = 100
# Timers that fire later than this are recorded.
MIN_DELAY_MS: Millis = 100
# Delays from this length on are logged, together with those of the same interval.
LOGGED_DELAY_MS: Millis = 300
LOG_INTERVAL_MS: Millis = 1_000
# For how long delays are remembered: longer than any lease.
KEPT_MS: Millis = 15_000


class ProcessDelays:
    """Monitor of how late the timers of this process fire.

    A process that is short of processor time reads replies late, and its own timeouts
    then tell more about it than about the one that was asked.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        # Ends of the delays, and their lengths.
        self._recent: deque[tuple[Millis, Millis]] = deque()
        self._unlogged: list[Millis] = []
        self._logged_ms: Millis = 0

    async def run(self) -> None:
        """Measure delays until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + TICK_MS
            await self._clock.sleep_ms(TICK_MS)
            now_ms = self._clock.now_ms()
            self.record(now_ms, now_ms - due_ms)

    def record(self, now_ms: Millis, delay_ms: Millis) -> None:
        """Record that a timer has fired ``delay_ms`` late."""
        while self._recent and self._recent[0][0] < now_ms - KEPT_MS:
            self._recent.popleft()
        if delay_ms >= MIN_DELAY_MS:
            self._recent.append((now_ms, delay_ms))
            self._unlogged.append(delay_ms)
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS and self._unlogged:
            self._log_delays(now_ms)

    def _log_delays(self, now_ms: Millis) -> None:
        delays, self._unlogged = self._unlogged, []
        if max(delays) < LOGGED_DELAY_MS:
            return
        self._logged_ms = now_ms
        self._log.emit(
            Event.PROCESS_DELAYED,
            longest_ms=max(delays),
            total_ms=sum(delays),
            count=len(delays),
        )

    def total_ms(self, since_ms: Millis) -> Millis:
        """Return the length of all delays that ended after a time."""
        return sum(delay for ended_ms, delay in self._recent if ended_ms > since_ms)

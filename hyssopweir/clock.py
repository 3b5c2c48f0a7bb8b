"""Clocks in milliseconds, and the hybrid logical clock that orders events."""

import asyncio
import time
from typing import NamedTuple

Millis = int

SECOND_MS: Millis = 1_000
MINUTE_MS: Millis = 60 * SECOND_MS


class Clock:
    """Monotonic clock of the event loop and wall clock, both in milliseconds."""

    def now_ms(self) -> Millis:
        """Return monotonic milliseconds, comparable only within one process."""
        return int(asyncio.get_running_loop().time() * SECOND_MS)

    def wall_ms(self) -> Millis:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def boot_ms(self) -> Millis:
        """Return monotonic milliseconds that also count while the machine sleeps."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    async def sleep_ms(self, delay_ms: Millis) -> None:
        """Sleep for ``delay_ms``; a negative delay counts as zero."""
        await asyncio.sleep(max(delay_ms, 0) / SECOND_MS)


class HybridTimestamp(NamedTuple):
    """Hybrid logical timestamp: wall-clock milliseconds, then a counter."""

    ms: Millis
    counter: int


class HybridClock:
    """Clock whose timestamps are later than all that it has issued or received.

    The algorithm is the hybrid logical clock of Kulkarni et al., "Logical Physical
    Clocks" (OPODIS 2014).
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return the timestamp of a local event."""
        wall_ms = self._clock.wall_ms()
        if wall_ms > self._last.ms:
            self._last = HybridTimestamp(wall_ms, 0)
        else:
            self._last = HybridTimestamp(self._last.ms, self._last.counter + 1)
        return self._last

    def observe(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Advance past the timestamp of a received message and return the new one."""
        if remote > self._last:
            self._last = remote
        return self.tick()

"""Clocks in milliseconds, and the hybrid logical clock that orders events."""

import asyncio
import time
from collections.abc import Collection
from typing import Any, NamedTuple

Millis = int

SECOND_MS: Millis = 1_000
MINUTE_MS: Millis = 60 * SECOND_MS
# A timer that fires later than this shows that its own process stood still.
LATE_TIMER_MS: Millis = 50


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

    async def wait_first(
        self, futs: Collection[asyncio.Future[Any]], timeout_ms: Millis
    ) -> bool:
        """Wait until one of ``futs`` is done; return False after ``timeout_ms``.

        The wait is extended by the time for which this process stood still, at most
        once more ``timeout_ms``: what arrived meanwhile is still to be read.
        """
        left_ms, spare_ms = timeout_ms, timeout_ms
        while left_ms > 0:
            due_ms = self.now_ms() + left_ms
            await self._wait(futs, left_ms)
            if any(fut.done() for fut in futs):
                return True
            left_ms = extension_ms(self.now_ms() - due_ms, spare_ms)
            spare_ms -= left_ms
        return False

    async def _wait(
        self, futs: Collection[asyncio.Future[Any]], timeout_ms: Millis
    ) -> None:
        await asyncio.wait(
            futs, timeout=timeout_ms / SECOND_MS, return_when=asyncio.FIRST_COMPLETED
        )


def extension_ms(late_ms: Millis, spare_ms: Millis) -> Millis:
    """Return by how much a time limit whose timer fired late is extended, 0 for not."""
    return min(late_ms, spare_ms) if late_ms > LATE_TIMER_MS else 0


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

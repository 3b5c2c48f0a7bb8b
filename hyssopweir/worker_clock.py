"""Steady clock of one worker, as known from its replies."""

from typing import NamedTuple

from hyssopweir.clock import Millis

# A worker's clock may run 2% slow.
MIN_CLOCK_RATE = 0.98
# By how much a reading may be off besides the delay of its reply.
CLOCK_TOLERANCE_MS: Millis = 1_000


class ClockReading(NamedTuple):
    """Reading of the worker's clock, in ms.

    ``local_ms`` is the local time at which it was processed. It may have been taken
    ``delay_ms`` earlier.
    """

    worker_ms: Millis
    local_ms: Millis
    delay_ms: Millis


class WorkerClock:
    """Readings of the clock of the process that was last heard."""

    def __init__(self) -> None:
        self.reading: ClockReading | None = None
        # The reading with the least delay, of those that still tell more than others.
        self._best: ClockReading | None = None

    def restart(self) -> None:
        """Forget the readings of a former process."""
        self.reading = self._best = None

    def record(self, reading: ClockReading) -> None:
        """Record the latest reading."""
        self.reading = reading
        best = self._best
        if best is None or reading.worker_ms >= _earliest_ms(best, reading.local_ms):
            self._best = reading

    def estimate_ms(self, now_ms: Millis) -> Millis:
        """Return the time that the clock shows now, less the delay of the best reading.

        There has to be a reading.
        """
        reading, best = self.reading, self._best
        assert reading is not None
        assert best is not None
        latest_ms = reading.worker_ms + now_ms - reading.local_ms
        return max(latest_ms, _earliest_ms(best, now_ms))

    def may_show(self, clock_ms: Millis, sent_ms: Millis, now_ms: Millis) -> bool:
        """Return whether a reply may have a reading, if the process is the same.

        It is the reply to a call of ``sent_ms``, later than the latest reading.
        """
        assert self._best is not None
        expected_ms = self.estimate_ms(now_ms)
        low_ms = expected_ms - (now_ms - sent_ms) - CLOCK_TOLERANCE_MS
        high_ms = expected_ms + self._best.delay_ms + CLOCK_TOLERANCE_MS
        return low_ms <= clock_ms <= high_ms


def _earliest_ms(reading: ClockReading, now_ms: Millis) -> Millis:
    passed_ms = now_ms - reading.local_ms
    return reading.worker_ms + int(passed_ms * MIN_CLOCK_RATE)

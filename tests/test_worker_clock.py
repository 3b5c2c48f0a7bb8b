"""Steady clocks of workers, read from replies that may be late."""

import pytest

from hyssopweir.clock import Millis
from hyssopweir.worker_clock import ClockReading, WorkerClock


@pytest.mark.parametrize("delay_ms", [0, 700, 2_000])
def test_late_reading_neither_shortens_leases_nor_shows_a_restart(
    delay_ms: Millis,
) -> None:
    """Guards against leases that end early, as replies with the clock are late."""
    clock = WorkerClock()
    clock.record(ClockReading(50_000, 1_000, 0))
    clock.record(ClockReading(52_000 - delay_ms, 3_000, delay_ms))
    assert 52_000 - 50 <= clock.estimate_ms(3_000) <= 52_000
    assert clock.may_show(52_500, 3_400, 3_500)
    assert clock.may_show(52_500 - delay_ms, 3_400 - delay_ms, 3_500)
    assert not clock.may_show(300, 3_400, 3_500)
    assert not clock.may_show(60_000, 3_400, 3_500)


def test_clock_that_runs_slow_is_not_overestimated() -> None:
    """Guards against leases beyond what a successor takes for the longest."""
    clock = WorkerClock()
    for second in range(60):
        clock.record(ClockReading(second * 980, second * 1_000, 0))
    assert clock.estimate_ms(59_000) == 59 * 980

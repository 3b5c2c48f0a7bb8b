"""Memory and processor time for each item of state, from several sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple


class Point(NamedTuple):
    """Hold what ``count`` items took altogether."""

    count: int
    bytes: int
    us: float


class Slope(NamedTuple):
    """Hold the points of one kind of state, and the cost of one more item."""

    name: str
    points: list[Point]

    @property
    def bytes_each(self) -> float:
        """Return bytes for each further item."""
        return fit([p.count for p in self.points], [p.bytes for p in self.points])

    @property
    def us_each(self) -> float:
        """Return microseconds of processor time for each further item."""
        return fit([p.count for p in self.points], [p.us for p in self.points])


def fit(counts: Sequence[float], values: Sequence[float]) -> float:
    """Return the slope of the least-squares line."""
    mean_count = sum(counts) / len(counts)
    mean_value = sum(values) / len(values)
    spread = sum((count - mean_count) ** 2 for count in counts)
    if not spread:
        return values[-1] / counts[-1]
    products = (
        (count - mean_count) * (value - mean_value)
        for count, value in zip(counts, values, strict=True)
    )
    return sum(products) / spread


def measure(
    name: str,
    build: Callable[[int], Any],
    counts: Sequence[int],
) -> Slope:
    """Build ``count`` items of state; ``build`` returns what must be kept alive.

    Time and memory are taken in separate passes, because tracing slows the first.
    """
    return Slope(
        name,
        [
            Point(count, held_bytes(build, count), spent_us(build, count))
            for count in counts
        ],
    )


def held_bytes(build: Callable[[int], Any], count: int) -> int:
    """Return the bytes that are held after ``build(count)``."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build(count)
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return after - before


def spent_us(act: Callable[[int], Any], count: int, repeats: int = 1) -> float:
    """Return the processor time of ``act(count)``, averaged over ``repeats``."""
    started_ns = time.process_time_ns()
    for _ in range(repeats):
        act(count)
    return (time.process_time_ns() - started_ns) / 1_000 / repeats

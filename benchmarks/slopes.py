"""Marginal memory and processor time of an item, fitted over several counts."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple


class Point(NamedTuple):
    """Total memory and processor time (us) of ``count`` items."""

    count: int
    bytes: int
    us: float


class Slope(NamedTuple):
    """Measured points of one kind of item, and the marginal cost of an item."""

    name: str
    points: list[Point]

    @property
    def bytes_each(self) -> float:
        """Return the bytes for each additional item."""
        return fit([p.count for p in self.points], [p.bytes for p in self.points])

    @property
    def us_each(self) -> float:
        """Return the processor time in us for each additional item."""
        return fit([p.count for p in self.points], [p.us for p in self.points])


def fit(counts: Sequence[float], values: Sequence[float]) -> float:
    """Return the least-squares slope, or the last value per item for equal counts."""
    mean_count = sum(counts) / len(counts)
    mean_value = sum(values) / len(values)
    squares = sum((count - mean_count) ** 2 for count in counts)
    if not squares:
        return values[-1] / counts[-1]
    products = (
        (count - mean_count) * (value - mean_value)
        for count, value in zip(counts, values, strict=True)
    )
    return sum(products) / squares


def measure(
    name: str,
    build: Callable[[int], Any],
    counts: Sequence[int],
) -> Slope:
    """Measure ``build(count)``, which returns the objects to keep alive.

    Time and memory are measured in separate passes, because tracing memory slows down
    the code.
    """
    return Slope(
        name,
        [
            Point(count, retained_bytes(build, count), average_cpu_us(build, count))
            for count in counts
        ],
    )


def retained_bytes(build: Callable[[int], Any], count: int) -> int:
    """Return the bytes that the result of ``build(count)`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build(count)
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return after - before


def average_cpu_us(action: Callable[[int], Any], count: int, repeats: int = 1) -> float:
    """Return the processor time of ``action(count)``, averaged over ``repeats``."""
    started_ns = time.process_time_ns()
    for _ in range(repeats):
        action(count)
    return (time.process_time_ns() - started_ns) / 1_000 / repeats

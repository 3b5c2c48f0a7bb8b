"""Processor time and memory of an idle instance by the number of its workers."""

import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from benchmarks.processes import running_cluster

SETTLE_S = 2.0


class IdleCost(NamedTuple):
    """Share of a core (0 to 1) and resident memory of each process at idle."""

    workers: int
    core_share: dict[str, float]
    rss_bytes: dict[str, int]


def measure_idle(counts: Sequence[int], watch_s: float) -> list[IdleCost]:
    """Measure an idle owner of ``count`` workers, the platform and the workers."""
    return [_measure_idle_at(count, watch_s) for count in counts]


def _measure_idle_at(count: int, watch_s: float) -> IdleCost:
    names = ("owner", "platform", "workers")
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder), count, {"instant": 0}) as cluster,
    ):
        time.sleep(SETTLE_S)
        before = {name: cluster.usage(name) for name in names}
        started_s = time.monotonic()
        time.sleep(watch_s)
        after = {name: cluster.usage(name) for name in names}
        elapsed_s = time.monotonic() - started_s
    return IdleCost(
        count,
        {name: (after[name].cpu_s - before[name].cpu_s) / elapsed_s for name in names},
        {name: after[name].rss_bytes for name in names},
    )

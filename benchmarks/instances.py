"""Processor time and memory of a whole idle instance, by the number of its workers."""

import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from benchmarks.processes import running_cluster

SETTLE_S = 2.0


class IdleCost(NamedTuple):
    """Hold the share of a core (0 to 1) and the resident memory of each process."""

    workers: int
    core_share: dict[str, float]
    rss_bytes: dict[str, int]


def measure_idle(counts: Sequence[int], watch_s: float) -> list[IdleCost]:
    """Watch an idle owner of ``count`` workers, and what it costs the platform."""
    return [_idle(count, watch_s) for count in counts]


def _idle(count: int, watch_s: float) -> IdleCost:
    names = ("owner", "platform", "workers")
    with (
        tempfile.TemporaryDirectory() as folder,
        running_cluster(Path(folder), count, {"instant": 0}) as site,
    ):
        time.sleep(SETTLE_S)
        before = {name: site.usage(name) for name in names}
        started_s = time.monotonic()
        time.sleep(watch_s)
        after = {name: site.usage(name) for name in names}
        spent_s = time.monotonic() - started_s
    return IdleCost(
        count,
        {n: (after[n].cpu_s - before[n].cpu_s) / spent_s for n in names},
        {n: after[n].rss_bytes for n in names},
    )

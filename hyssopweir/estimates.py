"""Estimates of task demands and run times from earlier runs by team and kind."""

import math
from collections import deque
from collections.abc import Iterable

from hyssopweir.clock import Millis
from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker
from hyssopweir.placement import Demand, demand_of
from hyssopweir.task_rows import TaskEntry
from hyssopweir.worker_client import RunReport, Usage

MAX_OBSERVATIONS = 64
MIN_OBSERVATIONS = 5
PERCENTILE = 0.9
# Team and kind pairs: 55 teams with a dozen kinds each; a pair takes about 10 KB.
MAX_PAIRS = 1_000
# Decimals of learned demands, which are rounded up so that explanations stay readable.
DECIMALS = 2
MEMORY_GROWTH_FACTOR = 1.5


class _Observations:
    """Hold the newest observations of one team and kind of task."""

    def __init__(self) -> None:
        self.sizes: deque[tuple[float, float]] = deque(maxlen=MAX_OBSERVATIONS)
        self.run_ms: deque[Millis] = deque(maxlen=MAX_OBSERVATIONS)
        self._cached_size: tuple[float, float] | None = None

    def record(self, cores: float, memory_gb: float) -> None:
        self.sizes.append((cores, memory_gb))
        self._cached_size = None

    def size(self) -> tuple[float, float] | None:
        """Compute the cores and memory, None if there are too few observations."""
        if len(self.sizes) < MIN_OBSERVATIONS:
            return None
        # Cached, because each placement needs the size of every run of the shard.
        if self._cached_size is None:
            cores, memory_gb = (
                percentile(values) for values in zip(*self.sizes, strict=True)
            )
            self._cached_size = (_round_up(cores), _round_up(memory_gb))
        return self._cached_size


class Estimates:
    """Estimate the demand and run time of tasks by team and kind."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Observations] = {}

    def observe(self, team: str, kind: str, cores: float, memory_gb: float) -> None:
        """Record the peak usage of a run that completed its task."""
        self._observations_of(team, kind).record(cores, memory_gb)

    def ended(self, team: str, kind: str, run_ms: Millis) -> None:
        """Record the run time of a task that completed in a single run."""
        self._observations_of(team, kind).run_ms.append(run_ms)

    def runs(self, team: str, kind: str) -> int:
        """Return how many runs the estimate is based on, 0 if it is the declaration."""
        observations = self._pairs.get((team, kind))
        return (
            0
            if observations is None or observations.size() is None
            else len(observations.sizes)
        )

    def demand(self, spec: JobSpec, memory_gb: float | None) -> Demand:
        """Estimate the demand of a task; ``memory_gb`` is that of its row."""
        declared = demand_of(spec, memory_gb)
        observations = self._pairs.get((spec["team"], spec["kind"]))
        size = observations.size() if observations is not None else None
        if size is None:
            return declared
        return declared._replace(
            cores=size[0], memory_gb=max(size[1], memory_gb or 0.0)
        )

    def of(self, entry: TaskEntry) -> Demand:
        """Estimate the demand of a task from its entry."""
        return self.demand(entry.job.spec, entry.row.get("memory_gb"))

    def run_ms(self, spec: JobSpec) -> Millis:
        """Estimate the run time; the declared one until enough tasks have completed."""
        observations = self._pairs.get((spec["team"], spec["kind"]))
        if observations is None or len(observations.run_ms) < MIN_OBSERVATIONS:
            return spec["run_ms"]
        return int(percentile(observations.run_ms))

    def describe_source(self, entry: TaskEntry, demand: Demand) -> str:
        """Describe the source of a demand, empty if it is the declared one."""
        spec, sources = entry.job.spec, []
        runs = self.runs(spec["team"], spec["kind"])
        if runs and demand == self.of(entry):
            sources.append(
                f"the size was learned from {runs} runs of {spec['kind']} of the team "
                f"{spec['team']}, and {demand_of(spec)} were declared"
            )
        if "memory_gb" in entry.row:
            sources.append("its memory was raised because a run had too little")
        return "".join(f"; {source}" for source in sources)

    def run_limits(self, entry: TaskEntry, worker: Worker) -> Demand:
        """Compute the resource limits of a run on a worker.

        A limit is never below the declaration: one run in ten needs more than the 90th
        percentile, and stopping all of these would lose their work.
        """
        demand = self.of(entry)
        declared = demand_of(entry.job.spec, entry.row.get("memory_gb"))
        return demand._replace(
            cores=min(max(demand.cores, declared.cores), worker.cores),
            memory_gb=min(max(demand.memory_gb, declared.memory_gb), worker.memory_gb),
        )

    def task_done(self, entry: TaskEntry, now_ms: Millis) -> None:
        """Record the usage and run time of the run that completed a task.

        Interrupted runs are not recorded: they may have ended before their peak.
        """
        team, kind = entry.job.spec["team"], entry.job.spec["kind"]
        if entry.peak is not None:
            self.observe(team, kind, entry.peak.cores, entry.peak.memory_gb)
        if entry.started_here_ms is not None and entry.row["checkpoint"] is None:
            self.ended(team, kind, now_ms - entry.started_here_ms)

    def _observations_of(self, team: str, kind: str) -> _Observations:
        observations = self._pairs.pop((team, kind), None) or _Observations()
        self._pairs[(team, kind)] = observations
        if len(self._pairs) > MAX_PAIRS:
            del self._pairs[next(iter(self._pairs))]
        return observations


def record_peak_usage(entry: TaskEntry, report: RunReport) -> None:
    """Update the peak usage of the newest run from a report."""
    usage, peak = report.usage, entry.peak
    if usage is not None:
        cores, memory_gb = (peak.cores, peak.memory_gb) if peak else (0.0, 0.0)
        entry.peak = Usage(
            usage.at_ms, max(cores, usage.cores), max(memory_gb, usage.memory_gb)
        )


def memory_after_shortage(entry: TaskEntry) -> tuple[float, float]:
    """Return the limit of a run that ran out of memory, and that of the next run."""
    declared = demand_of(entry.job.spec, entry.row.get("memory_gb"))
    # The limit of an adopted run is unknown; its peak may exceed the row's memory.
    peak_gb = entry.peak.memory_gb if entry.peak is not None else 0.0
    had_gb = max(entry.memory_limit_gb or declared.memory_gb, peak_gb)
    return had_gb, _round_up(had_gb * MEMORY_GROWTH_FACTOR)


def percentile(values: Iterable[float]) -> float:
    """Compute the 90th percentile by the nearest-rank method."""
    ranked = sorted(values)
    return ranked[math.ceil(PERCENTILE * len(ranked)) - 1]


def _round_up(value: float) -> float:
    factor = 10**DECIMALS
    # Without the tolerance, floating point error would round 0.29 up to 0.3.
    return float(math.ceil(value * factor - 1e-6) / factor)

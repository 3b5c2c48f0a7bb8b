"""Sizes and run times of tasks, learned from the runs of their team and kind."""

import math
from collections import deque
from collections.abc import Iterable

from hyssopweir.clock import Millis
from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker
from hyssopweir.placement import Demand, demand_of
from hyssopweir.task_rows import Entry
from hyssopweir.worker_client import RunReport, Usage

NEWEST = 64
LEAST = 5
PERCENTILE = 0.9
# 55 teams with a dozen kinds each; a pair takes about 10 KB.
MOST_PAIRS = 1_000
# Learned sizes are rounded up to this many decimals, which readers can take in.
DECIMALS = 2
MORE_MEMORY = 1.5


class _Pair:
    """Hold the newest observations of one team and kind."""

    def __init__(self) -> None:
        self.sizes: deque[tuple[float, float]] = deque(maxlen=NEWEST)
        self.run_ms: deque[Millis] = deque(maxlen=NEWEST)
        self._size: tuple[float, float] | None = None

    def add(self, cores: float, memory_gb: float) -> None:
        self.sizes.append((cores, memory_gb))
        self._size = None

    def size(self) -> tuple[float, float] | None:
        """Return the cores and memory, None if there are too few observations."""
        if len(self.sizes) < LEAST:
            return None
        # Each placement asks for the size of every run on the shard's workers.
        if self._size is None:
            cores, memory_gb = (
                percentile(values) for values in zip(*self.sizes, strict=True)
            )
            self._size = (_round_up(cores), _round_up(memory_gb))
        return self._size


class Estimates:
    """Learn what the tasks of each team and kind need."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Pair] = {}

    def observe(self, team: str, kind: str, cores: float, memory_gb: float) -> None:
        """Note the peaks of a run that has finished its task."""
        self._pair(team, kind).add(cores, memory_gb)

    def ended(self, team: str, kind: str, run_ms: Millis) -> None:
        """Note the run time of a task that was done in one run."""
        self._pair(team, kind).run_ms.append(run_ms)

    def runs(self, team: str, kind: str) -> int:
        """Return from how many runs the size was learned, 0 if it is the declared."""
        known = self._pairs.get((team, kind))
        return 0 if known is None or known.size() is None else len(known.sizes)

    def demand(self, spec: JobSpec, memory_gb: float | None) -> Demand:
        """Return what a task needs; ``memory_gb`` is that of its row."""
        declared = demand_of(spec, memory_gb)
        known = self._pairs.get((spec["team"], spec["kind"]))
        size = known.size() if known is not None else None
        if size is None:
            return declared
        return declared._replace(
            cores=size[0], memory_gb=max(size[1], memory_gb or 0.0)
        )

    def of(self, entry: Entry) -> Demand:
        """Return what a task needs."""
        return self.demand(entry.job.spec, entry.row.get("memory_gb"))

    def run_ms(self, spec: JobSpec) -> Millis:
        """Return how long a task is expected to run."""
        known = self._pairs.get((spec["team"], spec["kind"]))
        if known is None or len(known.run_ms) < LEAST:
            return spec["run_ms"]
        return int(percentile(known.run_ms))

    def basis(self, entry: Entry, demand: Demand) -> str:
        """Say where a demand comes from, empty if it is the declared one."""
        spec, notes = entry.job.spec, []
        runs = self.runs(spec["team"], spec["kind"])
        if runs and demand == self.of(entry):
            notes.append(
                f"the size was learned from {runs} runs of {spec['kind']} of the team "
                f"{spec['team']}, and {demand_of(spec)} were declared"
            )
        if "memory_gb" in entry.row:
            notes.append("its memory was raised because a run had too little")
        return "".join(f"; {note}" for note in notes)

    def given(self, entry: Entry, worker: Worker) -> Demand:
        """Return the limits of a run.

        A limit is never below the declaration: one run in ten needs more than the 90th
        percentile, and ending all of them would lose their work.
        """
        demand = self.of(entry)
        declared = demand_of(entry.job.spec, entry.row.get("memory_gb"))
        return demand._replace(
            cores=min(max(demand.cores, declared.cores), worker.cores),
            memory_gb=min(max(demand.memory_gb, declared.memory_gb), worker.memory_gb),
        )

    def task_done(self, entry: Entry, now_ms: Millis) -> None:
        """Learn from the run that has finished a task.

        Runs that were cut short are not counted: they may have ended before their peak.
        """
        team, kind = entry.job.spec["team"], entry.job.spec["kind"]
        if entry.peak is not None:
            self.observe(team, kind, entry.peak.cores, entry.peak.memory_gb)
        if entry.witnessed_ms is not None and entry.row["checkpoint"] is None:
            self.ended(team, kind, now_ms - entry.witnessed_ms)

    def _pair(self, team: str, kind: str) -> _Pair:
        known = self._pairs.pop((team, kind), None) or _Pair()
        self._pairs[(team, kind)] = known
        if len(self._pairs) > MOST_PAIRS:
            del self._pairs[next(iter(self._pairs))]
        return known


def note_usage(entry: Entry, report: RunReport) -> None:
    """Keep the peak of the newest run over all its measurements."""
    usage, peak = report.usage, entry.peak
    if usage is not None:
        cores, memory_gb = (peak.cores, peak.memory_gb) if peak else (0.0, 0.0)
        entry.peak = Usage(
            usage.at_ms, max(cores, usage.cores), max(memory_gb, usage.memory_gb)
        )


def memory_after_shortage(entry: Entry) -> tuple[float, float]:
    """Return the memory that a run had that ran out of it, and that of the next."""
    declared = demand_of(entry.job.spec, entry.row.get("memory_gb"))
    # The limit of a run that was adopted is not known; its peak may exceed the row's.
    peak_gb = entry.peak.memory_gb if entry.peak is not None else 0.0
    had_gb = max(entry.given_gb or declared.memory_gb, peak_gb)
    return had_gb, _round_up(had_gb * MORE_MEMORY)


def percentile(values: Iterable[float]) -> float:
    """Return the 90th percentile by the nearest rank."""
    ranked = sorted(values)
    return ranked[math.ceil(PERCENTILE * len(ranked)) - 1]


def _round_up(value: float) -> float:
    factor = 10**DECIMALS
    # Without the tolerance, 0.29 would become 0.3.
    return float(math.ceil(value * factor - 1e-6) / factor)

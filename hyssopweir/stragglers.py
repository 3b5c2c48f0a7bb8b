"""Runs that take far longer than others of their step, and workers that cause it.

Answers workers that turn several times slower: sizes that are declared are rough, so
that a run is compared with the others of its step. A slow worker gets new tasks only if
no other has room. A run that lags is copied if its step allows copies, or moved if its
work is kept.
"""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase, WorkflowProgress
from hyssopweir.workflows import Step

# Less progress, or less time, says little about the speed of a run.
LEAST_PERCENT = 4
LEAST_ELAPSED_MS: Millis = 250
# The tasks of a step differ by less than this factor on sound workers.
LAGGING_FACTOR = 2.0
# Without others of its step, a run is compared with its estimate, which may be far off.
ESTIMATE_FACTOR = 2.5
# Runs elsewhere must be done that much sooner, to make up for a start.
LEAST_GAIN_MS: Millis = 400
# How far one look moves the slowdown of a worker, and how fast it is forgotten.
SLOWDOWN_STEP = 0.3
FORGETTING_STEP = 0.03
MOST_SLOWDOWN = 8.0


class DurationComparison(NamedTuple):
    """Compare a run with what is typical of its step; both in ms."""

    run: Run
    step: Step
    expected_ms: float
    typical_ms: float

    @property
    def factor(self) -> float:
        """Return how many times as long as is typical the run takes."""
        return self.expected_ms / max(self.typical_ms, 1.0)


def compare_durations(progress: WorkflowProgress) -> list[DurationComparison]:
    """Return the pace of each run of a job that can be told."""
    result = []
    for key, step in progress.active_steps():
        # A filler is slow where the tasks beside it leave it little.
        if step.is_endless or step.is_filler:
            continue
        expected = {run: _expected_ms(run) for run in progress.step_runs(key)}
        done = progress.done_ms.get(key, [])
        for run, total_ms in expected.items():
            if total_ms is None:
                continue
            others = [ms for other, ms in expected.items() if ms and other is not run]
            typical_ms = _typical_ms([*done, *others], step)
            result.append(DurationComparison(run, step, total_ms, typical_ms))
    return result


def _typical_ms(others: list[float], step: Step) -> float:
    if len(others) >= 2:
        return median(others)
    return step.estimated_ms * ESTIMATE_FACTOR / LAGGING_FACTOR


def _expected_ms(run: Run) -> float | None:
    """Return the duration that the progress of a run suggests, None if too early."""
    # The percentage is as old as the report.
    elapsed_ms = run.reported_ms - run.since_ms
    is_told = run.phase is RunPhase.RUNNING and run.percent >= LEAST_PERCENT
    if not is_told or elapsed_ms < LEAST_ELAPSED_MS:
        return None
    return elapsed_ms * 100 / run.percent


def is_lagging(pace: DurationComparison, now_ms: Millis) -> bool:
    """Tell whether another run would be done well before this one."""
    if pace.factor < LAGGING_FACTOR:
        return False
    left_ms = pace.expected_ms - (now_ms - pace.run.since_ms)
    return left_ms > pace.typical_ms + LEAST_GAIN_MS


def update_slowdowns(
    loads: Iterable[WorkerLoad], told: Iterable[DurationComparison]
) -> None:
    """Learn from all paces how slow each worker is."""
    factors: dict[str, list[float]] = {}
    for pace in told:
        factors.setdefault(pace.run.worker, []).append(pace.factor)
    for load in loads:
        here = factors.get(load.entry.worker_id)
        if not here:
            load.slowdown -= FORGETTING_STEP * (load.slowdown - 1.0)
            continue
        seen = min(max(median(here), 1.0), MOST_SLOWDOWN)
        seen = seen if seen >= LAGGING_FACTOR else 1.0
        load.slowdown += SLOWDOWN_STEP * (seen - load.slowdown)

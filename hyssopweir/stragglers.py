"""Detection of runs that are much slower than their step, and of slow workers.

Workers can become several times slower. Declared task sizes are only rough, so a run is
compared with the other runs of its step. A slow worker gets new tasks only if no other
has capacity. A lagging run is copied if its step allows copies, or moved if its work is
checkpointed.
"""

from bisect import bisect_left
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.task_state import Run, RunPhase
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import Step

# The speed of a run can't be estimated from less progress or less time.
MIN_PERCENT = 4
MIN_ELAPSED_MS: Millis = 250
# Durations in a step differ by less than this factor on healthy workers.
LAGGING_FACTOR = 2.0
# Without other runs of its step, a run is compared with its declared estimate, which
# can be far off.
ESTIMATE_FACTOR = 2.5
# Another run must finish this much sooner, to compensate for the cost of its start.
MIN_GAIN_MS: Millis = 400
# Weight of a new measurement of a worker's slowdown, and decay without measurements.
SLOWDOWN_SMOOTHING = 0.3
SLOWDOWN_DECAY = 0.03
MAX_SLOWDOWN = 8.0


class DurationComparison(NamedTuple):
    """Expected duration of a run and the typical duration in its step."""

    run: Run
    step: Step
    expected_ms: float
    typical_ms: float

    @property
    def factor(self) -> float:
        """Return the ratio of the expected to the typical duration."""
        return self.expected_ms / max(self.typical_ms, 1.0)


def compare_durations(progress: WorkflowProgress) -> list[DurationComparison]:
    """Compare the durations of all runs of a job with enough progress to estimate."""
    comparisons = []
    for key, step in progress.active_steps():
        # The speed of a filler depends on the processor time that other tasks leave.
        if step.is_endless or step.is_filler:
            continue
        expected = [
            (run, total_ms)
            for run in progress.step_runs(key)
            if (total_ms := _expected_ms(run)) is not None
        ]
        if not expected:
            continue
        durations = sorted(
            [*progress.done_ms.get(key, []), *(total_ms for _, total_ms in expected)]
        )
        for run, total_ms in expected:
            typical_ms = _typical_ms(durations, total_ms, step)
            comparisons.append(DurationComparison(run, step, total_ms, typical_ms))
    return comparisons


def _typical_ms(durations: list[float], own_ms: float, step: Step) -> float:
    """Return the median of sorted durations without the run's own one."""
    others = len(durations) - 1
    if others < 2:
        return step.estimated_ms * ESTIMATE_FACTOR / LAGGING_FACTOR
    own = bisect_left(durations, own_ms)
    low, high = ((others - 1) // 2, others // 2)
    return (durations[low + (low >= own)] + durations[high + (high >= own)]) / 2


def _expected_ms(run: Run) -> float | None:
    """Extrapolate the duration of a run from its progress, None if it is unknown."""
    if run.is_adopted:
        return None
    # The percentage was current when the report arrived, not now.
    elapsed_ms = run.reported_ms - run.since_ms
    is_measurable = run.phase is RunPhase.RUNNING and run.percent >= MIN_PERCENT
    if not is_measurable or elapsed_ms < MIN_ELAPSED_MS:
        return None
    return elapsed_ms * 100 / run.percent


def is_lagging(comparison: DurationComparison, now_ms: Millis) -> bool:
    """Return whether a new run would finish well before this one."""
    if comparison.factor < LAGGING_FACTOR:
        return False
    left_ms = comparison.expected_ms - (now_ms - comparison.run.since_ms)
    return left_ms > comparison.typical_ms + MIN_GAIN_MS


def update_slowdowns(
    loads: Iterable[WorkerLoad], comparisons: Iterable[DurationComparison]
) -> None:
    """Update the smoothed slowdown of each worker from the median of its runs."""
    factors: dict[str, list[float]] = {}
    for comparison in comparisons:
        factors.setdefault(comparison.run.worker, []).append(comparison.factor)
    for load in loads:
        worker_factors = factors.get(load.entry.worker_id)
        if not worker_factors:
            load.slowdown -= SLOWDOWN_DECAY * (load.slowdown - 1.0)
            continue
        measured = min(max(median(worker_factors), 1.0), MAX_SLOWDOWN)
        measured = measured if measured >= LAGGING_FACTOR else 1.0
        load.slowdown += SLOWDOWN_SMOOTHING * (measured - load.slowdown)

"""How much fillers may work beside tasks with a tail target.

Answers the load of fillers whose harm differs by image and changes within seconds: the
tail that the worker reports decides, not a model of the images.
"""

from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase

# Shares of the tail target.
HIGH_TAIL = 0.85
LOW_TAIL = 0.55
STEP_DOWN = 0.5
STEP_UP = 20
LEAST_PACE = 10
# The tail that is reported covers half a second; an earlier change is not visible yet.
SETTLE_MS: Millis = 700
CALM_MS: Millis = 1_500


class Pace(NamedTuple):
    """Let a run work at ``percent`` of its speed."""

    run: Run
    percent: int


class FillerPacing:
    """Pace the fillers of one worker."""

    def __init__(self) -> None:
        self._changed_ms: Millis | None = None

    def decide(self, load: WorkerLoad, now_ms: Millis) -> list[Pace]:
        """Return the changes of pace that the reported tails ask for."""
        fillers = [
            run
            for run, step in load.runs.values()
            if step.is_filler and run.phase is RunPhase.RUNNING
        ]
        if not fillers:
            return []
        worst = worst_tail(load)
        passed_ms = CALM_MS
        if self._changed_ms is not None:
            passed_ms = now_ms - self._changed_ms
        if worst >= 1.0 and passed_ms >= SETTLE_MS:
            return self._set(fillers, 0, now_ms)
        if worst >= HIGH_TAIL and passed_ms >= SETTLE_MS:
            lowest = min(run.pace for run in fillers)
            wanted = int(lowest * STEP_DOWN)
            return self._set(fillers, wanted if wanted >= LEAST_PACE else 0, now_ms)
        if worst <= LOW_TAIL and passed_ms >= CALM_MS:
            lowest = min(run.pace for run in fillers)
            return self._set(fillers, min(lowest + STEP_UP, 100), now_ms)
        return []

    def _set(self, fillers: list[Run], percent: int, now_ms: Millis) -> list[Pace]:
        paces = [Pace(run, percent) for run in fillers if run.pace != percent]
        if paces:
            self._changed_ms = now_ms
        return paces


def worst_tail(load: WorkerLoad) -> float:
    """Return the highest tail of tasks at work here, as a share of its target."""
    return max(
        (
            run.figure / step.tail_target_ms
            for run, step in load.runs.values()
            if step.tail_target_ms and run.percent >= 100
        ),
        default=0.0,
    )

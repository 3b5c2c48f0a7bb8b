"""What is done about fillers on a worker whose tails come near their target.

Answers the load of fillers whose harm differs by image and changes within seconds: the
tail that the worker reports decides. The harmful fillers are paced first, and moved if
that lasts and their work is kept or has just begun.
"""

from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.filler_harm import FillerHarm
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase
from hyssopweir.workflows import Step

# Shares of the tail target.
HIGH_TAIL = 0.85
LOW_TAIL = 0.6
STEP_UP = 25
# The tail that is reported covers half a second; an earlier change is not visible yet.
SETTLE_MS: Millis = 700
CALM_MS: Millis = 1_000
# A filler that was stopped for that long is moved.
HELD_MS: Millis = 1_500
# Work of a filler without checkpoints that may be thrown away.
SHORT_RUN_MS: Millis = 1_500
# Slows a tail by that much or more: such an image is harmful.
HARMFUL_SLOWDOWN = 1.25


class Relief(NamedTuple):
    """Let a run work at ``percent`` of its speed, or move it if None."""

    run: Run
    percent: int | None


class FillerPacing:
    """Relieve the tasks with a target on one worker of its fillers."""

    def __init__(self, harm: FillerHarm) -> None:
        self._harm = harm
        self._changed_ms: Millis | None = None

    def decide(self, load: WorkerLoad, now_ms: Millis) -> list[Relief]:
        """Return what the reported tails ask for."""
        fillers = [
            (run, step)
            for run, step in load.runs.values()
            if step.is_filler and run.phase is RunPhase.RUNNING
        ]
        if not fillers:
            return []
        held = [pair for pair in fillers if self._is_held_up(*pair, now_ms)]
        if held:
            return [Relief(run, None) for run, _ in held]
        worst = load.worst_tail()
        passed_ms = CALM_MS if self._changed_ms is None else now_ms - self._changed_ms
        reliefs: list[Relief] = []
        if worst >= HIGH_TAIL and passed_ms >= SETTLE_MS:
            reliefs = self._relieve(fillers, worst, load)
        elif worst <= LOW_TAIL and passed_ms >= CALM_MS:
            reliefs = [
                Relief(run, min(run.pace + STEP_UP, 100))
                for run, _ in fillers
                if run.pace < 100
            ]
        if reliefs:
            self._changed_ms = now_ms
        return reliefs

    def _relieve(
        self, fillers: list[tuple[Run, Step]], worst: float, load: WorkerLoad
    ) -> list[Relief]:
        at_work = [pair for pair in fillers if pair[0].pace > 0]
        harmful = [pair for pair in at_work if self._is_harmful(pair[1], load)]
        if worst >= 1.0:
            return [Relief(run, 0) for run, _ in harmful or at_work]
        return [Relief(run, run.pace // 2) for run, _ in harmful or at_work]

    def _is_held_up(self, run: Run, step: Step, now_ms: Millis) -> bool:
        """Tell whether a filler would better start again elsewhere."""
        is_held = run.pace == 0 and now_ms - run.changed_ms >= HELD_MS
        is_young = now_ms - run.since_ms < HELD_MS + SHORT_RUN_MS
        return is_held and (step.checkpoints or is_young)

    def _is_harmful(self, step: Step, load: WorkerLoad) -> bool:
        return self._harm.worst_pair(step.image, load) >= HARMFUL_SLOWDOWN

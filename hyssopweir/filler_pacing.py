"""Speeds of fillers on a worker whose tails come near their target.

Answers the load of fillers whose harm differs by pairs of images, beside tasks whose
own load swings: the fillers that harm the strained task work at the speed that leaves
its tail below the target. A task that is strained all the same is soon relieved of all
fillers. One that is stopped for long is moved, if its work is kept or has just begun.
"""

from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.filler_interference import (
    FREE_HARM,
    HIGH_TAIL,
    SETTLE_MS,
    FillerInterference,
    serving,
)
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase, RunRef
from hyssopweir.workflows import Step

# Work of a filler without checkpoints that may be thrown away.
SHORT_RUN_MS: Millis = 1_500
# A filler that was stopped for that long is moved.
HELD_MS: Millis = 1_500
# Speeds are in steps of that many percent; smaller changes are not ordered.
STEP = 5
LEAST_CHANGE = 15
# A run that could only work more slowly is stopped.
LEAST_PERCENT = 20
# A task that is strained for that long is relieved of all fillers, whatever their
# figures: with a report and an order it is below its target again within 3 s.
OVERDUE_MS: Millis = 1_500
# Share of the target at which a strained task is no longer.
RELIEVED_TAIL = 0.8


class Relief(NamedTuple):
    """Let a run work at ``percent`` of its speed, or move it if None."""

    run: Run
    percent: int | None


class FillerPacing:
    """Relieve the tasks with a target on one worker of its fillers."""

    def __init__(self, harm: FillerInterference) -> None:
        self._harm = harm
        self._changed_ms: Millis | None = None
        # Since when a task's reports show no tail below the target.
        self._strained_ms: dict[RunRef, Millis] = {}

    def decide(self, load: WorkerLoad, now_ms: Millis) -> list[Relief]:
        """Return what the reported tails ask for."""
        fillers = [
            (run, step)
            for run, step in load.runs.values()
            if step.is_filler and run.phase is RunPhase.RUNNING
        ]
        is_overdue = self._is_overdue(load, now_ms)
        held = [run for run, step in fillers if _is_held_up(run, step, now_ms)]
        if held:
            return [Relief(run, None) for run in held]
        is_fresh = self._changed_ms is not None and (
            now_ms - self._changed_ms < SETTLE_MS
        )
        if not fillers or is_fresh:
            return []
        percents = self._percents(fillers, load)
        if is_overdue:
            percents = dict.fromkeys(percents, 0)
        reliefs = [
            Relief(run, percents[run.ref])
            for run, _ in fillers
            if _is_worth_an_order(run.pace, percents[run.ref])
        ]
        if reliefs:
            self._changed_ms = now_ms
        return reliefs

    def _is_overdue(self, load: WorkerLoad, now_ms: Millis) -> bool:
        """Tell whether a task is strained so long that the figures must be wrong."""
        strained = {}
        for run, step in serving(load):
            share = run.figure / step.tail_target_ms
            was_strained = run.ref in self._strained_ms
            if share >= (RELIEVED_TAIL if was_strained else HIGH_TAIL):
                strained[run.ref] = self._strained_ms.get(run.ref, now_ms)
        self._strained_ms = strained
        return any(now_ms - since >= OVERDUE_MS for since in strained.values())

    def _percents(
        self, fillers: list[tuple[Run, Step]], load: WorkerLoad
    ) -> dict[RunRef, int]:
        """Return the speed at which no task beside is over its limit."""
        shares = {run.ref: 1.0 for run, _ in fillers}
        for run, step in serving(load):
            added = {
                filler.ref: self._harm.added(filler_step, step.image, load)
                for filler, filler_step in fillers
            }
            budget = self._harm.budget(run, step, load)
            harmful = {
                filler.ref
                for filler, filler_step in fillers
                if self._harm.of(filler_step.image, step.image) > FREE_HARM
            }
            free = sum(use for ref, use in added.items() if ref not in harmful)
            paid = sum(use for ref, use in added.items() if ref in harmful)
            for ref in added:
                is_harmful = ref in harmful
                room = budget - free if is_harmful else budget
                total = paid if is_harmful else free
                if total > max(room, 0.0):
                    shares[ref] = min(shares[ref], max(room, 0.0) / total)
        return {ref: _percent_of(share) for ref, share in shares.items()}


def _percent_of(share: float) -> int:
    percent = int(100 * share) // STEP * STEP
    return percent if percent >= LEAST_PERCENT else 0


def _is_worth_an_order(pace: int, percent: int) -> bool:
    """Tell whether a new speed differs enough, or stops or frees a run."""
    if percent == pace:
        return False
    return percent in (0, 100) or pace == 0 or abs(percent - pace) >= LEAST_CHANGE


def _is_held_up(run: Run, step: Step, now_ms: Millis) -> bool:
    """Tell whether a filler would better start again elsewhere."""
    is_held = run.pace == 0 and now_ms - run.changed_ms >= HELD_MS
    is_young = now_ms - run.since_ms < HELD_MS + SHORT_RUN_MS
    return is_held and (step.checkpoints or is_young)

"""Speed control of fillers on a worker whose tail latencies come near their targets.

Handles fillers whose interference differs by pairs of images, next to tasks whose own
load varies: the fillers that interfere with an overloaded task are slowed down to the
speed that keeps its tail latency below the target. If the task stays overloaded, all
fillers are stopped soon. A filler that stays stopped is moved if it has checkpoints or
has just started. The speed of a filler that was adopted from a previous owner is
unknown until it is set.
"""

from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.filler_interference import (
    FULL_PERCENT,
    LOW_INTERFERENCE,
    MIN_PERCENT,
    PACING_TAIL,
    TAIL_WINDOW_MS,
    FillerInterference,
    filler_shares,
    percent_of,
    serving_runs,
)
from hyssopweir.task_state import Run, RunPhase, RunRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflows import Step

# A filler without checkpoints may lose this much work by a move.
SHORT_RUN_MS: Millis = 1_500
# A filler that was stopped for this long is moved.
MAX_STOPPED_MS: Millis = 1_500
# Changes of speed below this are not sent, in percent.
MIN_PERCENT_CHANGE = 15
# All fillers are stopped if a task is overloaded for this long, whatever their
# coefficients: with one report and one command, the task is below its target again
# within 3 s.
MAX_OVERLOAD_MS: Millis = 1_500
# Share of the target below which an overloaded task counts as recovered.
RECOVERED_TAIL = 0.8


class SpeedChange(NamedTuple):
    """Change of a run's speed to ``percent`` of full speed; None moves the run."""

    run: Run
    percent: int | None


class FillerPacing:
    """Speed control of the fillers on one worker by the tail latencies of its tasks."""

    def __init__(self, interference: FillerInterference) -> None:
        self._interference = interference
        self._changed_ms: Millis | None = None
        # Target speeds by the newest report, and the revision of the worker and the
        # fillers that they were computed for.
        self._targets: dict[RunRef, int] = {}
        self._targets_basis: tuple[int, list[RunRef]] = (-1, [])
        # Start of the current overload of each task above its target.
        self._overloaded_since_ms: dict[RunRef, Millis] = {}

    def decide(self, load: WorkerLoad, now_ms: Millis) -> list[SpeedChange]:
        """Return the speed changes and moves that the reported tails require."""
        fillers = [
            (run, step)
            for run, step in load.runs.values()
            if step.is_filler and run.phase is RunPhase.RUNNING
        ]
        must_stop_all = self._is_overloaded_too_long(load, now_ms)
        moved = [run for run, step in fillers if _should_move(run, step, now_ms)]
        if moved:
            return [SpeedChange(run, None) for run in moved]
        is_settling = self._changed_ms is not None and (
            now_ms - self._changed_ms < TAIL_WINDOW_MS
        )
        if not fillers or is_settling:
            return []
        basis = (load.revision, [run.ref for run, _ in fillers])
        if basis != self._targets_basis:
            self._targets_basis = basis
            self._targets = self._target_percents(fillers, load)
            for run, _ in fillers:
                if run.is_reduced and self._targets[run.ref] < FULL_PERCENT:
                    self._targets[run.ref] = min(self._targets[run.ref], MIN_PERCENT)
        target_percents = self._targets
        if must_stop_all:
            target_percents = dict.fromkeys(target_percents, 0)
        changes = [
            SpeedChange(run, target_percents[run.ref])
            for run, _ in fillers
            if not run.is_pace_known
            or _is_significant_change(run.pace, target_percents[run.ref])
        ]
        if changes:
            self._changed_ms = now_ms
        return changes

    def _is_overloaded_too_long(self, load: WorkerLoad, now_ms: Millis) -> bool:
        """Return whether a long overload shows that the coefficients are wrong."""
        overloaded = {}
        for run, step in serving_runs(load):
            share = run.figure / step.tail_target_ms
            was_overloaded = run.ref in self._overloaded_since_ms
            if share >= (RECOVERED_TAIL if was_overloaded else PACING_TAIL):
                overloaded[run.ref] = self._overloaded_since_ms.get(run.ref, now_ms)
        self._overloaded_since_ms = overloaded
        return any(now_ms - since >= MAX_OVERLOAD_MS for since in overloaded.values())

    def _target_percents(
        self, fillers: list[tuple[Run, Step]], load: WorkerLoad
    ) -> dict[RunRef, int]:
        """Return the filler speeds at which no co-located task exceeds its limit."""
        shares = {run.ref: 1.0 for run, _ in fillers}
        used = filler_shares(load)
        for run, step in serving_runs(load):
            added = {
                filler.ref: self._interference.added_utilization(
                    filler_step, step.image, load
                )
                for filler, filler_step in fillers
            }
            budget = self._interference.utilization_budget(run, step, used)
            harmful = {
                filler.ref
                for filler, filler_step in fillers
                if self._interference.coefficient(filler_step.image, step.image)
                > LOW_INTERFERENCE
            }
            harmless_total = sum(
                utilization for ref, utilization in added.items() if ref not in harmful
            )
            harmful_total = sum(
                utilization for ref, utilization in added.items() if ref in harmful
            )
            for ref in added:
                is_harmful = ref in harmful
                allowed = budget - harmless_total if is_harmful else budget
                total = harmful_total if is_harmful else harmless_total
                if total > max(allowed, 0.0):
                    shares[ref] = min(shares[ref], max(allowed, 0.0) / total)
        return {ref: percent_of(share) for ref, share in shares.items()}


def _is_significant_change(pace: int, percent: int) -> bool:
    """Return whether a new speed differs enough, or stops or fully resumes a run."""
    if percent == pace:
        return False
    return percent in (0, 100) or pace == 0 or abs(percent - pace) >= MIN_PERCENT_CHANGE


def _should_move(run: Run, step: Step, now_ms: Millis) -> bool:
    """Return whether a filler was stopped so long that it should be moved."""
    is_stopped_long = run.pace == 0 and now_ms - run.changed_ms >= MAX_STOPPED_MS
    is_young = now_ms - run.since_ms < MAX_STOPPED_MS + SHORT_RUN_MS
    return is_stopped_long and (step.checkpoints or is_young)

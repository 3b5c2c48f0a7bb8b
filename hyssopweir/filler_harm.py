"""What fillers do to the tails of tasks beside them, learned from the reports.

How much a filler disturbs a task with a target depends on the images of both, so that
``Interference`` learns one figure for each pair.
"""

from collections.abc import Mapping

from hyssopweir.clock import Millis
from hyssopweir.interference import Interference, Prediction
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase
from hyssopweir.workflows import Step

# Amounts of an image are in that many cores, about one filler.
UNIT_CPU = 2_000.0
# A tail covers the half second before the report.
SETTLE_MS: Millis = 700
BASELINE_STEP = 0.05
# Up to that share of its target, a tail may be brought by a placement.
SAFE_TAIL = 0.7
# Placed beside a target, an image without observations must find that much room.
TRIAL_TAIL = 0.5
ENOUGH_OBSERVATIONS = 3


class FillerHarm:
    """Learn harm by pairs of images and predict tails as shares of their targets."""

    def __init__(self) -> None:
        self._model = Interference()
        self._alone: dict[str, float] = {}

    def note(self, load: WorkerLoad, now_ms: Millis) -> None:
        """Learn from the newest report of a worker, unless it has just changed."""
        fillers = [run for run, step in load.runs.values() if step.is_filler]
        if any(now_ms - run.changed_ms < SETTLE_MS for run in fillers):
            return
        beside = amounts(load)
        for run, step in load.runs.values():
            if not step.tail_target_ms or run.percent < 100 or run.figure <= 0:
                continue
            alone = self._alone.get(step.image)
            if not fillers:
                alone = run.figure if alone is None else alone
                alone += BASELINE_STEP * (run.figure - alone)
                self._alone[step.image] = alone
            if alone is not None:
                slowdown = run.figure / max(alone, 1.0)
                self._model.observe(step.image, beside, 0.0, slowdown)

    def of_pair(self, image: str, victim: str) -> Prediction:
        """Return how many times as long tails get beside ``UNIT_CPU`` of an image."""
        return self._model.predict(victim, {image: 1.0}, 0.0)

    def worst_pair(self, image: str, load: WorkerLoad) -> float:
        """Return the largest slowdown by an image on a worker; unknown is infinite."""
        pairs = [self.of_pair(image, victim) for victim in load.serving_images()]
        if any(pair.observations < ENOUGH_OBSERVATIONS for pair in pairs):
            return float("inf")
        return max((pair.slowdown for pair in pairs), default=1.0)

    def may_place(self, step: Step, load: WorkerLoad) -> bool:
        """Tell whether a filler may join the tasks with a target on a worker."""
        if not load.servers:
            return True
        if self.worst_pair(step.image, load) == float("inf"):
            # An image is tried where it is alone, so that it is observed itself.
            return not load.fillers and 0.0 < load.worst_tail() <= TRIAL_TAIL
        return self.tail_with(step, load) <= SAFE_TAIL

    def tail_with(self, step: Step, load: WorkerLoad) -> float:
        """Predict the highest tail, as a share of its target, with one more filler."""
        added = {step.image: step.room.cpu / UNIT_CPU}
        # Fillers that have just been placed do not show in the reported tails yet.
        placed = asked(load)
        tails = load.tails()
        worst = 0.0
        for victim, (tail, target_ms) in tails.items():
            usual = self._alone.get(victim, 0.0) / target_ms
            usual *= self._model.predict(victim, placed, 0.0).slowdown
            slowdown = self._model.predict(victim, added, 0.0).slowdown
            worst = max(worst, max(tail, usual) * slowdown)
        return worst


def amounts(load: WorkerLoad) -> Mapping[str, float]:
    """Return the cores in use of each image of fillers, in units of ``UNIT_CPU``."""
    result: dict[str, float] = {}
    for run, step in load.runs.values():
        if step.is_filler and run.phase is RunPhase.RUNNING:
            used = _used_cpu(run, step)
            result[step.image] = result.get(step.image, 0.0) + used / UNIT_CPU
    return {image: amount for image, amount in result.items() if amount > 0.0}


def asked(load: WorkerLoad) -> Mapping[str, float]:
    """Return the cores that each image of fillers asks for, in units."""
    result: dict[str, float] = {}
    for run, step in load.runs.values():
        if step.is_filler:
            wanted = step.room.cpu * run.pace / 100 / UNIT_CPU
            result[step.image] = result.get(step.image, 0.0) + wanted
    return result


def _used_cpu(run: Run, step: Step) -> float:
    return run.figure if run.figure else step.room.cpu * run.pace / 100

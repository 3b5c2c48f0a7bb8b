"""What fillers do to the tails of tasks beside them, learned from the reports.

A task that serves answers like a queue: its tail is a fixed time divided by the share
of its capacity that is left. A filler takes from that share in proportion to the
processors that it uses; how much depends on the images of both. The load of the task
itself swings, so the figure of a pair is learned from the change of the tail when
fillers come, go or change pace, not from the tail itself.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase
from hyssopweir.workflows import Step

# A tail covers the half second before the report.
SETTLE_MS: Millis = 650
# Changes of a tail over a longer time are mostly changes of the load.
LONGEST_COMPARISON_MS: Millis = 3_000
# A filler that uses a whole worker takes that much of the capacity of a task, before
# the pair of images was observed.
UNKNOWN_HARM = 0.6
MOST_HARM = 3.0
LEARNING_STEP = 0.35
LEAST_CHANGE = 0.02
# The tail of an idle task, by target, before a shorter one was reported.
FIRST_BASE = 0.25
# The least tail that was reported belongs to a task that is not quite idle.
BASE_OF_LEAST = 0.8
# Shares of the target: fillers are stopped at the first, and placed up to the second.
HIGH_TAIL = 0.95
SAFE_TAIL = 0.75
# The load of a task may rise that much while a filler runs, but not above its peak.
LOAD_RISE = 0.1
# Peaks fade by that share with each report, so that they follow a change of load.
PEAK_FADING = 0.005
# Harm that can't be told from none.
LEAST_HARM = 0.015

Mix = Mapping[str, float]


class Reading(NamedTuple):
    """Hold the use of a task's capacity beside a mix of fillers."""

    at_ms: Millis
    use: float
    mix: Mix


class FillerHarm:
    """Learn harm by pairs of images, and predict the use of tasks beside fillers."""

    def __init__(self) -> None:
        self._harm: dict[tuple[str, str], float] = {}
        self._least: dict[str, float] = {}
        self._peak: dict[str, float] = {}

    def note(self, load: WorkerLoad, now_ms: Millis) -> None:
        """Learn from the newest report of a worker, unless it has just changed."""
        fillers = [run for run, step in load.runs.values() if step.is_filler]
        if any(now_ms - run.changed_ms < SETTLE_MS for run in fillers):
            return
        if now_ms - load.filler_gone_ms < SETTLE_MS:
            return
        mix = mix_of(load)
        for run, step in serving(load):
            if run.figure <= 0:
                continue
            least = self._least.get(step.image, run.figure)
            self._least[step.image] = min(least, run.figure)
            reading = Reading(now_ms, self.use_of(run, step), mix)
            self._note_peak(step.image, self._alone(reading, step.image))
            if run.reading is not None:
                self._learn(step.image, run.reading, reading)
            run.reading = reading

    def _alone(self, reading: Reading, victim: str) -> float:
        """Return the use without the fillers of a reading."""
        harm = sum(self.of(image, victim) * x for image, x in reading.mix.items())
        return max(reading.use - harm, 0.0)

    def _note_peak(self, image: str, alone: float) -> None:
        peak = self._peak.get(image, alone)
        self._peak[image] = max(alone, peak - PEAK_FADING * (peak - alone))

    def _learn(self, victim: str, before: Reading, after: Reading) -> None:
        if after.at_ms - before.at_ms > LONGEST_COMPARISON_MS:
            return
        changes = {
            image: after.mix.get(image, 0.0) - before.mix.get(image, 0.0)
            for image in {*before.mix, *after.mix}
        }
        norm = sum(change * change for change in changes.values())
        if norm < LEAST_CHANGE * LEAST_CHANGE:
            return
        expected = sum(self.of(image, victim) * x for image, x in changes.items())
        error = (after.use - before.use) - expected
        for image, change in changes.items():
            harm = self.of(image, victim) + LEARNING_STEP * error * change / norm
            self._harm[image, victim] = min(max(harm, 0.0), MOST_HARM)

    def of(self, image: str, victim: str) -> float:
        """Return the use that a whole worker of an image adds to a victim."""
        return self._harm.get((image, victim), UNKNOWN_HARM)

    def use_of(self, run: Run, step: Step) -> float:
        """Return the use of a task's capacity that its tail stands for, 0 to 1."""
        return 1.0 - min(self._base_ms(step) / max(run.figure, 1.0), 1.0)

    def limit_of(self, step: Step, share: float = HIGH_TAIL) -> float:
        """Return the use at which the tail is a share of its target."""
        return 1.0 - min(self._base_ms(step) / (share * step.tail_target_ms), 1.0)

    def _base_ms(self, step: Step) -> float:
        least = self._least.get(step.image)
        if least is None:
            return FIRST_BASE * step.tail_target_ms
        return BASE_OF_LEAST * least

    def headroom(self, load: WorkerLoad, now_ms: Millis) -> dict[str, float]:
        """Return the use that fillers may still add to the tasks of each image.

        Fillers that do not show in the reported tails yet are accounted for.
        """
        rooms: dict[str, float] = {}
        mix = mix_of(load)
        for run, step in serving(load):
            use = self.use_of(run, step)
            alone = self._alone(Reading(now_ms, use, mix), step.image)
            rise = max(self._peak.get(step.image, 1.0) - alone, 0.0)
            use += min(rise, LOAD_RISE) + self._unseen(load, step.image, now_ms)
            room = self.limit_of(step, SAFE_TAIL) - use
            rooms[step.image] = min(room, rooms.get(step.image, room))
        return rooms

    def _unseen(self, load: WorkerLoad, victim: str, now_ms: Millis) -> float:
        return sum(
            self.of(step.image, victim) * step.room.cpu * run.pace / 100
            for run, step in load.runs.values()
            if step.is_filler and now_ms - run.changed_ms < SETTLE_MS
        ) / max(load.entry.room.cpu, 1)

    def added(self, step: Step, victim: str, load: WorkerLoad) -> float:
        """Return the use that a filler at full speed adds to tasks of an image."""
        share = step.room.cpu / max(load.entry.room.cpu, 1)
        return self.of(step.image, victim) * share

    def strain(self, step: Step, load: WorkerLoad, now_ms: Millis) -> float:
        """Return the use that a filler adds, by what may be added; above 1 is harm."""
        worst = 0.0
        for victim, room in self.headroom(load, now_ms).items():
            added = self.added(step, victim, load)
            if added < LEAST_HARM and room > -LOAD_RISE:
                continue
            if added > room:
                return float("inf")
            worst = max(worst, added / room)
        return worst


def serving(load: WorkerLoad) -> Iterator[tuple[Run, Step]]:
    """Yield the tasks with a target that are at work on a worker."""
    for run, step in load.runs.values():
        if step.tail_target_ms and run.percent >= 100:
            yield run, step


def mix_of(load: WorkerLoad) -> Mix:
    """Return the share of a worker that the fillers of each image use."""
    mix: dict[str, float] = {}
    for run, step in load.runs.values():
        if step.is_filler and run.phase is RunPhase.RUNNING:
            used = run.figure if run.figure else step.room.cpu * run.pace / 100
            share = used / max(load.entry.room.cpu, 1)
            mix[step.image] = mix.get(step.image, 0.0) + share
    return mix

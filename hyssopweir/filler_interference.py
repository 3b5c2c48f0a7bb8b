"""What fillers do to the tails of tasks beside them, learned from the reports.

A task that serves answers like a queue: its tail is a fixed time divided by the share
of its capacity that is left. A filler takes from that share in proportion to the
processors that it uses; how much depends on the images of both (``harm_filter.py``).
"""

import json
from collections.abc import Iterator
from typing import Any

from hyssopweir.clock import Millis
from hyssopweir.interference_filter import InterferenceFilter
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, RunPhase
from hyssopweir.workflows import Step

# A tail covers the half second before the report.
SETTLE_MS: Millis = 650
# A reading so long after a filler has gone, or has changed its pace, is mostly settled.
UNSETTLED_MS: Millis = 300
# The tail of an idle task, by target, before a shorter one was reported.
FIRST_BASE = 0.25
# The least tail that was reported belongs to a task that is not quite idle.
BASE_OF_LEAST = 0.8
# Shares of the target: fillers are slowed down at the first, and placed up to the
# second.
HIGH_TAIL = 0.95
SAFE_TAIL = 0.8
# The load of a task may rise that much while a filler runs, but not above its peak.
LOAD_RISE = 0.1
# Peaks fade by that share with each report, so that they follow a change of load.
PEAK_FADING = 0.002
# Fillers with a figure below the first go with tasks at any load, those above the
# second only while the load is low.
FREE_HARM = 0.3
FULL_HARM = 0.9
# What a pair counts that is not known yet: images are kept apart.
UNKNOWN_BESIDE_OTHERS = 0.5
UNKNOWN_ALONE = 0.1
UNKNOWN_BLOCK = 0.5
# Figures change little in that time.
OPENNESS_MS: Millis = 500
# The store takes rows of 64 KB.
MOST_STORED_BYTES = 48_000
# Harm that can't be told from none.
LEAST_HARM = 0.015


class FillerInterference:
    """Learn harm by pairs of images, and predict the use of tasks beside fillers."""

    def __init__(self) -> None:
        self._filters: dict[str, InterferenceFilter] = {}
        self._least: dict[str, float] = {}
        self._peak: dict[str, float] = {}
        # Answers that are worked out again once the figures have changed.
        self._openness: dict[frozenset[str], float] = {}
        self._openness_ms: Millis = 0

    def note(self, load: WorkerLoad, now_ms: Millis) -> None:
        """Learn from the newest report of a worker."""
        if now_ms - self._openness_ms >= OPENNESS_MS:
            self._openness_ms = now_ms
            self._openness.clear()
        is_settled = now_ms - load.filler_ended_ms >= UNSETTLED_MS
        mix: dict[str, float] = {}
        for run, step in load.runs.values():
            if not step.is_filler or run.phase is not RunPhase.RUNNING:
                continue
            is_paced = run.changed_ms > run.since_ms
            if is_paced and now_ms - run.changed_ms < UNSETTLED_MS:
                is_settled = False
            share = run.figure / max(load.entry.room.cpu, 1)
            mix[step.image] = mix.get(step.image, 0.0) + share
        for run, step in serving(load):
            if run.figure <= 0:
                continue
            least = self._least.get(step.image, run.figure)
            self._least[step.image] = min(least, run.figure)
            known = self._filters.setdefault(step.image, InterferenceFilter())
            job = run.ref.task.job
            known.note(job, self.use_of(run, step), mix, is_settled, now_ms)
            self._note_peak(step.image, known.load_of(job))

    def encode(self, stamp: str) -> bytes:
        """Return what a later owner starts from, as far as it fits into a row."""
        images: dict[str, Any] = {}
        size = 0
        for image, known in self._filters.items():
            data = {
                "least_ms": self._least[image],
                "peak": round(self._peak[image], 3),
                "harm": known.figures(),
            }
            size += len(json.dumps({image: data}))
            if size > MOST_STORED_BYTES:
                break
            images[image] = data
        return json.dumps({"stamp": stamp, "images": images}).encode()

    def restore(self, body: bytes) -> None:
        """Continue from a stored form; raise ``ValueError`` or ``KeyError`` on junk."""
        for image, data in json.loads(body)["images"].items():
            self._least[image] = float(data["least_ms"])
            self._peak[image] = float(data["peak"])
            known = self._filters.setdefault(image, InterferenceFilter())
            for filler, (harm, variance) in data["harm"].items():
                known.restore(filler, float(harm), float(variance))

    def is_empty(self) -> bool:
        """Tell whether nothing was learned."""
        return not self._filters

    def _note_peak(self, image: str, alone: float) -> None:
        peak = self._peak.get(image, alone)
        self._peak[image] = max(alone, peak - PEAK_FADING * (peak - alone))

    def of(self, image: str, victim: str) -> float:
        """Return the use that a whole worker of an image adds to a victim."""
        return self._filters.get(victim, UNOBSERVED).of(image)

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

    def headroom(self, load: WorkerLoad) -> dict[str, float]:
        """Return the use that fillers may still add to the tasks of each image."""
        rooms: dict[str, float] = {}
        shares = filler_shares(load)
        for run, step in serving(load):
            known = self._filters.get(step.image, UNOBSERVED)
            alone = known.load_of(run.ref.task.job)
            rise = max(self._peak.get(step.image, 1.0) - alone, 0.0)
            use = alone + min(rise, LOAD_RISE) + known.taken_by(shares)
            room = self.limit_of(step, SAFE_TAIL) - use
            rooms[step.image] = min(room, rooms.get(step.image, room))
        return rooms

    def budget(self, run: Run, step: Step, load: WorkerLoad) -> float:
        """Return the use that all fillers together may add to a task at work."""
        known = self._filters.get(step.image, UNOBSERVED)
        alone = known.load_of(run.ref.task.job)
        expected = alone + known.taken_by(filler_shares(load))
        # What the figures do not explain is half noise of the reading.
        surprise = max(self.use_of(run, step) - expected, 0.0) / 2
        return self.limit_of(step) - alone - surprise

    def added(self, step: Step, victim: str, load: WorkerLoad) -> float:
        """Return the use that a filler at full speed adds to tasks of an image."""
        share = step.room.cpu / max(load.entry.room.cpu, 1)
        return self.of(step.image, victim) * share

    def newly_blocked(self, image: str, load: WorkerLoad) -> float:
        """Return the share of filler images that a task of an image drives away."""
        present = load.serving_images()
        if image in present:
            return 0.0
        unknown = UNKNOWN_BESIDE_OTHERS if present else UNKNOWN_ALONE
        fillers = self._filler_images()
        if not fillers:
            return unknown
        lost = 0.0
        for filler in fillers:
            block = self._block(filler, image)
            before = [self._block(filler, one) for one in present]
            known = [one for one in before if one is not None]
            if block is None or len(known) < len(before):
                lost += unknown
            else:
                lost += max(block - max(known, default=0.0), 0.0)
        return lost / len(fillers)

    def _filler_images(self) -> set[str]:
        return {name for known in self._filters.values() for name in known.harm}

    def openness(self, load: WorkerLoad) -> float:
        """Return the share of filler images that may join the tasks of a worker."""
        present = frozenset(load.serving_images())
        if present not in self._openness:
            self._openness[present] = self._open_share(present)
        return self._openness[present]

    def _open_share(self, present: frozenset[str]) -> float:
        fillers = self._filler_images()
        if not present or not fillers:
            return 1.0
        blocked = 0.0
        for filler in fillers:
            blocks = [self._block(filler, one) for one in present]
            blocked += max(UNKNOWN_BLOCK if b is None else b for b in blocks)
        return 1.0 - blocked / len(fillers)

    def _block(self, filler: str, victim: str) -> float | None:
        """Return how much tasks of an image keep fillers of another away, 0 to 1."""
        known = self._filters.get(victim, UNOBSERVED)
        if not known.is_known(filler):
            return None
        excess = (known.of(filler) - FREE_HARM) / (FULL_HARM - FREE_HARM)
        return min(max(excess, 0.0), 1.0)

    def strain(self, step: Step, load: WorkerLoad) -> float:
        """Return the use that a filler adds, by what may be added; above 1 is harm."""
        worst = 0.0
        for victim, room in self.headroom(load).items():
            added = self.added(step, victim, load)
            if added < LEAST_HARM and room > -LOAD_RISE:
                continue
            if added > room:
                return float("inf")
            worst = max(worst, added / room)
        return worst


# Stands for images whose tasks were not reported yet.
UNOBSERVED = InterferenceFilter()


def serving(load: WorkerLoad) -> Iterator[tuple[Run, Step]]:
    """Yield the tasks with a target that are at work on a worker."""
    for run, step in load.runs.values():
        if step.tail_target_ms and run.percent >= 100:
            yield run, step


def filler_shares(load: WorkerLoad) -> list[tuple[str, float]]:
    """Return the image of each filler and the share of the worker that it uses.

    One that was not reported yet counts as much as it will use.
    """
    shares = []
    for run, step in load.runs.values():
        if step.is_filler:
            is_reported = run.figure > 0 and run.pace >= 100
            used = run.figure if is_reported else step.room.cpu * run.pace / 100
            shares.append((step.image, used / max(load.entry.room.cpu, 1)))
    return shares

"""Fake workers whose fillers raise the tail latencies of their serving tasks.

A serving task is over its target at a utilization of 0.8: its own load, which swings,
and what the fillers beside it add at their speeds.
"""

import math
from collections import Counter

from hyssopweir.agents import WorkerEntry
from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.task_state import RunRef
from tests.agent_fakes import FakeWorker, LiveRun
from tests.cell_simulation import CellSimulation, build_entry, build_step

IDLE_TAIL_MS = 10.0
TARGET_MS = 50
MAX_UTILIZATION = 0.97
OWN_LOAD = 0.45
LOAD_AMPLITUDE = 0.08
LOAD_PERIOD_MS: Millis = 14_000
ROOM = Resources(16_000, 64_000)
SERVING = build_step(
    6,
    room=Resources(3_200, 6_400),
    is_endless=True,
    most_per_worker=1,
    image="web",
    tail_target_ms=TARGET_MS,
)


class SharedWorker(FakeWorker):
    """Worker that reports tails by the load of its tasks and carries out speeds."""

    # By image, the utilization that fillers on all of the worker add at full speed.
    coefficients: dict[str, float] = {}
    own_load = OWN_LOAD
    load_phase = 0.0
    _advanced_ms: Millis = 0

    def restart(
        self, born_ms: Millis | None = None, clock_ms: Millis | None = None
    ) -> None:
        super().restart(born_ms, clock_ms)
        # Work that each run missed at its speeds, in hundredths of a millisecond.
        self._missed: Counter[RunRef] = Counter()
        self._over_since_ms: dict[RunRef, Millis] = {}
        self.longest_over_ms: Millis = 0
        self.total_over_ms: Millis = 0

    def advance(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms, self._advanced_ms = now_ms - self._advanced_ms, now_ms
        for ref, run in self.running.items():
            before = self._missed[ref]
            self._missed[ref] += elapsed_ms * (100 - self.paces.get(ref, 100))
            delay_ms = self._missed[ref] // 100 - before // 100
            self.running[ref] = run._replace(since_ms=run.since_ms + delay_ms)
        self._record_tails(now_ms, elapsed_ms)
        super().advance()

    def _record_tails(self, now_ms: Millis, elapsed_ms: Millis) -> None:
        over = {
            ref
            for ref, run in self.running.items()
            if run.step.tail_target_ms and self.figure(run) > run.step.tail_target_ms
        }
        self._over_since_ms = {
            ref: self._over_since_ms.get(ref, now_ms) for ref in over
        }
        self.total_over_ms += elapsed_ms * bool(over)
        for since_ms in self._over_since_ms.values():
            self.longest_over_ms = max(self.longest_over_ms, now_ms - since_ms)

    def figure(self, run: LiveRun) -> float:
        if not run.step.tail_target_ms:
            return run.step.room.cpu * self.paces.get(run.ref, 100) / 100
        turn = 2 * math.pi * self._clock.now_ms() / LOAD_PERIOD_MS
        utilization = self.own_load + LOAD_AMPLITUDE * math.sin(turn + self.load_phase)
        for other in self.running.values():
            if other.step.is_filler:
                share = self.figure(other) / self.entry.room.cpu
                utilization += share * self.coefficients[other.step.image]
        return round(IDLE_TAIL_MS / (1.0 - min(utilization, MAX_UTILIZATION)))


class SharedSimulation(CellSimulation):
    """Simulation of workers whose tasks share more than their room."""

    def __init__(self, seed: int, workers: int = SERVING.tasks) -> None:
        self.coefficients: dict[str, float] = {}
        super().__init__(workers=0, seed=seed)
        phase = self.work.random.uniform(0.0, 2 * math.pi)
        for number in range(workers):
            worker = self.add_worker(build_entry(number, room=ROOM))
            worker.load_phase = phase

    def add_worker(self, entry: WorkerEntry) -> SharedWorker:
        worker = SharedWorker(entry, self.clock, self.work)
        worker.coefficients = self.coefficients
        self.workers[entry.worker_id] = worker
        return worker

    def shared_workers(self) -> list[SharedWorker]:
        """Return all workers by their own type."""
        return [
            worker
            for worker in self.workers.values()
            if isinstance(worker, SharedWorker)
        ]

    def speeds(self, job: str) -> list[int]:
        """Return the speeds of the live runs of a job, in percent."""
        return [
            worker.paces.get(ref, 100)
            for worker in self.workers.values()
            for ref in worker.running
            if ref.task.job == job
        ]

    def longest_over_ms(self) -> Millis:
        """Return the longest time for which a serving task was over its target."""
        return max(worker.longest_over_ms for worker in self.shared_workers())

"""Choice of the worker for a task of a step.

Handles many wide steps next to tasks with a tail latency target. Tasks with a target
are packed onto few workers to leave others free for fillers. A filler is co-located
with them only if the interference of its image is known to be low enough, or in order
to measure it. Short tasks are spread.
"""

from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.task_state import Task, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflows import Step

# Penalties are in units of the load of a fully used worker.
SUSPECT_PENALTY = 4.0
FAILED_ON_WORKER_PENALTY = 8.0
REMOTE_RACK_PENALTY = 2.0
SLOWDOWN_PENALTY = 1.5
# Applies to a short task on a worker without serving tasks, which is left to fillers.
FILLER_WORKER_PENALTY = 0.3
# Applies to a filler, in proportion to the filler images that the worker accepts.
COMPATIBILITY_PENALTY = 1.0
# Applies to a serving task that makes a worker unusable for all filler images.
BLOCKED_FILLERS_PENALTY = 8.0
# Applies to a serving task on a worker where a tail latency is near its target.
NEAR_TARGET_TAIL = 0.8
NEAR_TARGET_PENALTY = 2.0
# Below this free share of a service's CPU, a short task goes where it leaves the least
# over, so that the larger free pieces stay whole for larger tasks.
SHORT_FREE_SHARE = 0.25
# Below this share of workers without serving tasks, serving tasks of different images
# share workers instead of using another free one. It outweighs the other costs of a
# serving task.
MIN_EMPTY_SHARE = 0.15
EMPTY_WORKER_PENALTY = 12.0
# Share of its requested CPU that a serving task uses; fillers may use the rest.
SERVING_CPU_SHARE = 0.6
# A filler waits unless fillers get at least this share of their requested CPU.
MIN_FILLER_CPU_SHARE = 0.8
# Cost of a filler that uses all interference headroom of a worker, in the same units.
HEADROOM_WEIGHT = 1.0
# A cold worker counts as loaded by this factor more than it is, and gets a task beyond
# this number more than its share only if no other worker can take it. Both are the
# customers' figures for cold workers (``coldOverrun``, ``coldSlack``).
COLD_OVERRUN = 1.5
COLD_SLACK = 5
COLD_EXCESS_PENALTY = 4.0
# Applies to a serving task, whose best fit says nothing about how loaded workers are.
COLD_SERVING_PENALTY = 1.0
# Stands for all tasks of a step that have not failed on any of the workers.
NEW_TASK = Task()


class Scarcity(NamedTuple):
    """What is scarce in a service: CPU, and workers without serving tasks."""

    is_cpu_short: bool = False
    are_empty_few: bool = False


AMPLE = Scarcity()


def measure_scarcity(loads: Sequence[WorkerLoad]) -> Scarcity:
    """Return what is scarce among workers that accept tasks.

    Handles services that lasting tasks fill nearly to capacity: what is left must stay
    in pieces that a large task fits.
    """
    total = sum(load.entry.room.cpu for load in loads)
    free = sum(max(load.free.cpu, 0) for load in loads)
    empty = sum(not load.servers for load in loads)
    return Scarcity(
        free < SHORT_FREE_SHARE * total, empty < MIN_EMPTY_SHARE * len(loads)
    )


def choose_worker_for_step(
    ref: TaskRef,
    step: Step,
    task: Task,
    workers: Iterable[WorkerLoad],
    interference: FillerInterference,
    now_ms: Millis,
    scarcity: Scarcity = AMPLE,
) -> WorkerLoad | None:
    """Return the worker with the lowest cost for a task, None if it should wait."""
    best, best_cost = None, float("inf")
    for load in workers:
        if not fits(ref, step, load):
            continue
        cost = placement_cost(step, task, load, interference, now_ms, scarcity)
        if step.is_filler and cost < best_cost:
            cost += HEADROOM_WEIGHT * interference.headroom_fraction(step, load)
        if cost < best_cost:
            best, best_cost = load, cost
    return best


class RankedWorker(NamedTuple):
    """Worker with its cost for a task, or a lower bound of it if not ``is_exact``.

    ``order`` is its position among the workers, which decides between equal costs.
    """

    cost: float
    order: int
    is_exact: bool
    load: WorkerLoad


class WorkerRanking:
    """Workers by their cost for the equal tasks of one step.

    Handles wide steps: each placement changes one worker, so that only this worker is
    compared again for the next task. Valid while nothing else changes the workers.
    """

    def __init__(
        self,
        step: Step,
        workers: Sequence[WorkerLoad],
        interference: FillerInterference,
        now_ms: Millis,
        scarcity: Scarcity = AMPLE,
    ) -> None:
        self._step = step
        self._workers = workers
        self._interference = interference
        self._now_ms = now_ms
        self._scarcity = scarcity
        self._names = {load.entry.worker_id for load in workers}
        # Built at the first task, which identifies the step.
        self._ranked: list[RankedWorker] | None = None
        self._first_revision = 0

    def choose(self, ref: TaskRef, task: Task) -> WorkerLoad | None:
        """Return the worker with the lowest cost for a task, None if it should wait.

        The chosen worker may get a run of the task before the next call.
        """
        if not self._names.isdisjoint(task.failed_on):
            self._ranked = None
            return choose_worker_for_step(
                ref,
                self._step,
                task,
                self._workers,
                self._interference,
                self._now_ms,
                self._scarcity,
            )
        if self._ranked is None:
            self._ranked = self._rank_all(ref)
        ranked = self._ranked
        self._update_first(ref, ranked)
        while ranked:
            best = ranked[0]
            if best.is_exact:
                self._first_revision = best.load.revision
                return best.load if best.cost < float("inf") else None
            heapreplace(ranked, self._with_headroom(best))
        return None

    def _rank_all(self, ref: TaskRef) -> list[RankedWorker]:
        ranked = [
            self._rank(ref, order, load) for order, load in enumerate(self._workers)
        ]
        heapify(ranked)
        self._first_revision = ranked[0].load.revision if ranked else 0
        return ranked

    def _update_first(self, ref: TaskRef, ranked: list[RankedWorker]) -> None:
        """Rank the worker that was chosen last again if it has changed since."""
        if ranked and ranked[0].load.revision != self._first_revision:
            heapreplace(ranked, self._rank(ref, ranked[0].order, ranked[0].load))

    def _rank(self, ref: TaskRef, order: int, load: WorkerLoad) -> RankedWorker:
        step = self._step
        if not fits(ref, step, load):
            return RankedWorker(float("inf"), order, True, load)
        cost = placement_cost(
            step, NEW_TASK, load, self._interference, self._now_ms, self._scarcity
        )
        return RankedWorker(cost, order, not step.is_filler, load)

    def _with_headroom(self, ranked: RankedWorker) -> RankedWorker:
        """Return a worker with its exact cost for a filler.

        The headroom takes longer to compute than the rest of the cost, so it is left
        out for workers that are never first.
        """
        used = self._interference.headroom_fraction(self._step, ranked.load)
        cost = ranked.cost + HEADROOM_WEIGHT * used
        return ranked._replace(cost=cost, is_exact=True)


def rank_workers(
    step: Step,
    workers: Sequence[WorkerLoad],
    interference: FillerInterference,
    now_ms: Millis,
    scarcity: Scarcity = AMPLE,
) -> WorkerRanking:
    """Return the ranking of the workers for the tasks of a step in one pass."""
    return WorkerRanking(step, workers, interference, now_ms, scarcity)


def fits(ref: TaskRef, step: Step, load: WorkerLoad) -> bool:
    """Return whether a worker meets the constraints of a step and has the capacity."""
    return not _mismatch(ref, step, load)


def obstacle(ref: TaskRef, step: Step, load: WorkerLoad, now_ms: Millis) -> str:
    """Return why a task can't be placed on a worker now, empty if it can."""
    return load.exclusion(now_ms) or _mismatch(ref, step, load)


def _mismatch(ref: TaskRef, step: Step, load: WorkerLoad) -> str:
    if not load.has_room_for(step.charge):
        return "no capacity"
    if step.label and step.label not in load.entry.labels:
        return "other label"
    if step.is_filler and not _has_spare_cpu(step, load):
        return "no spare processor"
    return "" if has_place_in_step(ref, step, load) else "limit of the step"


def has_place_in_step(ref: TaskRef, step: Step, load: WorkerLoad) -> bool:
    """Return whether a worker may run one more task of a step."""
    if not step.most_per_worker:
        return True
    count = load.count_step(ref.job, ref.occurrence, ref.step)
    return count < step.most_per_worker


def can_fit_later(step: Step, load: WorkerLoad) -> bool:
    """Return whether a worker has the capacity for a step once its finite tasks end."""
    has_label = not step.label or step.label in load.entry.labels
    return has_label and load.reclaimable.can_fit(step.charge)


def _has_spare_cpu(step: Step, load: WorkerLoad) -> bool:
    requested_cpu = load.filler_cpu + step.room.cpu
    return spare_cpu(load) >= MIN_FILLER_CPU_SHARE * requested_cpu


def spare_cpu(load: WorkerLoad) -> float:
    """Return the CPU that tasks other than fillers leave unused, in thousandths."""
    serving_cpu = load.serving_cpu
    expected_cpu = SERVING_CPU_SHARE * serving_cpu + (load.taken.cpu - serving_cpu)
    return load.entry.room.cpu - expected_cpu


def placement_cost(
    step: Step,
    task: Task,
    load: WorkerLoad,
    interference: FillerInterference,
    now_ms: Millis,
    scarcity: Scarcity = AMPLE,
) -> float:
    """Return the cost of a task on a worker, in units of a fully used worker."""
    cost = _load_cost(step, load, interference, scarcity)
    if load.is_cold(now_ms):
        cost = _cold_cost(step, load, cost)
    if load.is_suspect(now_ms):
        cost += SUSPECT_PENALTY
    if load.entry.worker_id in task.failed_on:
        cost += FAILED_ON_WORKER_PENALTY
    if step.home_rack and step.home_rack not in load.entry.labels:
        cost += REMOTE_RACK_PENALTY
    return cost + SLOWDOWN_PENALTY * (load.slowdown - 1.0)


def _cold_cost(step: Step, load: WorkerLoad, cost: float) -> float:
    if step.is_endless:
        cost += COLD_SERVING_PENALTY
    else:
        cost *= COLD_OVERRUN
    return cost + COLD_EXCESS_PENALTY * (len(load.runs) >= load.most_cold_runs)


def limit_cold_workers(loads: Sequence[WorkerLoad], now_ms: Millis) -> None:
    """Set the number of runs up to which cold workers of a service get tasks."""
    cold = [load for load in loads if load.is_cold(now_ms)]
    if not cold:
        return
    runs = sum(len(load.runs) for load in loads)
    total_cpu = max(sum(load.entry.room.cpu for load in loads), 1)
    for load in cold:
        share = runs * load.entry.room.cpu / total_cpu
        load.most_cold_runs = int(COLD_OVERRUN * share) + COLD_SLACK


def _load_cost(
    step: Step, load: WorkerLoad, interference: FillerInterference, scarcity: Scarcity
) -> float:
    total = max(load.entry.room.cpu, 1)
    if step.is_filler:
        requested_cpu = load.filler_cpu + step.room.cpu
        cost = requested_cpu / max(spare_cpu(load), 1.0)
        # Workers that accept few filler images are filled first, with these images.
        return cost + COMPATIBILITY_PENALTY * interference.compatible_share(load)
    if step.is_endless:
        # Best fit leaves whole workers free for fillers. Tasks that are sensitive to
        # the same fillers are placed together, so that each filler finds a worker.
        cost = (load.free.cpu - step.room.cpu) / total
        cost += BLOCKED_FILLERS_PENALTY * interference.newly_blocked_share(
            step.image, load
        )
        if scarcity.are_empty_few and not load.servers:
            cost += EMPTY_WORKER_PENALTY
        return cost + NEAR_TARGET_PENALTY * (load.worst_tail() >= NEAR_TARGET_TAIL)
    if scarcity.is_cpu_short:
        return (load.free.cpu - step.room.cpu) / total
    used = (load.taken.cpu + load.filler_cpu + step.room.cpu) / total
    return used + FILLER_WORKER_PENALTY * (not load.servers)

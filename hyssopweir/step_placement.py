"""Choice of the worker for a task of a step.

Answers the load of many wide steps beside tasks with a tail target. Those fill few
workers, so that fillers find others free; a filler joins them only if its image is
known to be harmless enough, or to find that out. Short tasks spread.
"""

from collections.abc import Iterable

from hyssopweir.clock import Millis
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Task, TaskRef
from hyssopweir.workflows import Step

# Penalties are in units of a fully used worker.
SUSPECT_PENALTY = 4.0
FAILED_HERE_PENALTY = 8.0
FAR_PENALTY = 2.0
SLOW_PENALTY = 1.5
# A short task on a worker that is kept free for fillers.
FREE_PENALTY = 0.3
# A filler on a worker that all others may join as well.
OPEN_PENALTY = 1.0
# A task with a target on a worker that it closes to all fillers.
BLOCKED_PENALTY = 8.0
# A tail near its target on a worker, for one more task with a target.
CROWDED_TAIL = 0.8
CROWDED_PENALTY = 2.0
# Of its processors, a task with a target uses that share, and leaves the rest.
SERVING_USE = 0.6
# Fillers get at least that share of their processors, else they wait.
LEAST_FILLER_SHARE = 0.8
# A filler that takes all the room which tails leave, by one on a fully used worker.
STRAIN_WEIGHT = 1.0


def choose_worker_for_step(
    ref: TaskRef,
    step: Step,
    task: Task,
    workers: Iterable[WorkerLoad],
    harm: FillerInterference,
    now_ms: Millis,
) -> WorkerLoad | None:
    """Return the worker that suits a task best, None if it should wait."""
    best, best_cost = None, float("inf")
    for load in workers:
        if not fits(ref, step, load):
            continue
        cost = cost_of(step, task, load, harm, now_ms)
        if step.is_filler and cost < best_cost:
            cost += STRAIN_WEIGHT * harm.strain(step, load)
        if cost < best_cost:
            best, best_cost = load, cost
    return best


def fits(ref: TaskRef, step: Step, load: WorkerLoad) -> bool:
    """Tell whether a worker may run a task of the step and has room for it."""
    if not load.free.holds(step.charge):
        return False
    if step.label and step.label not in load.entry.labels:
        return False
    if step.is_filler and not _has_leftover(step, load):
        return False
    if not step.most_per_worker:
        return True
    here = load.count_step(ref.job, ref.occurrence, ref.step)
    return here < step.most_per_worker


def _has_leftover(step: Step, load: WorkerLoad) -> bool:
    wanted = load.filler_cpu + step.room.cpu
    return leftover_cpu(load) >= LEAST_FILLER_SHARE * wanted


def leftover_cpu(load: WorkerLoad) -> float:
    """Return the processors that counted tasks leave unused, in thousandths."""
    serving = load.serving_cpu
    used = SERVING_USE * serving + (load.taken.cpu - serving)
    return load.entry.room.cpu - used


def cost_of(
    step: Step, task: Task, load: WorkerLoad, harm: FillerInterference, now_ms: Millis
) -> float:
    """Return how badly a worker suits a task; lower is better."""
    cost = _load_cost(step, load, harm)
    if load.is_suspect(now_ms):
        cost += SUSPECT_PENALTY
    if load.entry.worker_id in task.failed_on:
        cost += FAILED_HERE_PENALTY
    if step.home_rack and step.home_rack not in load.entry.labels:
        cost += FAR_PENALTY
    return cost + SLOW_PENALTY * (load.slowdown - 1.0)


def _load_cost(step: Step, load: WorkerLoad, harm: FillerInterference) -> float:
    total = max(load.entry.room.cpu, 1)
    if step.is_filler:
        wanted = load.filler_cpu + step.room.cpu
        cost = wanted / max(leftover_cpu(load), 1.0)
        # Workers that few images may join are filled with these first.
        return cost + OPEN_PENALTY * harm.openness(load)
    if step.is_endless:
        # The best fit leaves whole workers free for fillers. Tasks that the same
        # fillers harm stay together, so that each filler finds workers to join.
        cost = (load.free.cpu - step.room.cpu) / total
        cost += BLOCKED_PENALTY * harm.newly_blocked(step.image, load)
        return cost + CROWDED_PENALTY * (load.worst_tail() >= CROWDED_TAIL)
    used = (load.taken.cpu + load.filler_cpu + step.room.cpu) / total
    return used + FREE_PENALTY * (not load.servers)

"""Choice of the worker for a task of a step.

Answers the load of many wide steps beside tasks with a tail target: short tasks spread
by use of processors, fillers stay away from tasks with a target.
"""

from collections.abc import Iterable

from hyssopweir.clock import Millis
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Task, TaskRef
from hyssopweir.workflows import Step

# Penalties are in units of a fully used worker.
SUSPECT_PENALTY = 4.0
FAILED_HERE_PENALTY = 8.0
FAR_PENALTY = 2.0
# One task with a tail target beside a filler, in either order of arrival.
COLOCATION_PENALTY = 1.5
SLOW_PENALTY = 1.5


def choose_worker(
    ref: TaskRef,
    step: Step,
    task: Task,
    workers: Iterable[WorkerLoad],
    now_ms: Millis,
) -> WorkerLoad | None:
    """Return the worker that suits a task best, None if it fits nowhere."""
    best, best_cost = None, float("inf")
    for load in workers:
        if not fits(ref, step, load):
            continue
        cost = cost_of(step, task, load, now_ms)
        if cost < best_cost:
            best, best_cost = load, cost
    return best


def fits(ref: TaskRef, step: Step, load: WorkerLoad) -> bool:
    """Tell whether a worker may run a task of the step and has room for it."""
    if not load.free.holds(step.charge):
        return False
    if step.label and step.label not in load.entry.labels:
        return False
    if not step.most_per_worker:
        return True
    here = load.count_step(ref.job, ref.occurrence, ref.step)
    return here < step.most_per_worker


def cost_of(step: Step, task: Task, load: WorkerLoad, now_ms: Millis) -> float:
    """Return how badly a worker suits a task; lower is better."""
    total = max(load.entry.room.cpu, 1)
    cost = (load.taken.cpu + step.room.cpu) / total
    if load.is_suspect(now_ms):
        cost += SUSPECT_PENALTY
    if load.entry.worker_id in task.failed_on:
        cost += FAILED_HERE_PENALTY
    if step.home_rack and step.home_rack not in load.entry.labels:
        cost += FAR_PENALTY
    cost += SLOW_PENALTY * (load.slowdown - 1.0)
    if step.is_filler:
        cost += COLOCATION_PENALTY * load.servers + filler_share(load, total)
    elif step.is_endless:
        cost += COLOCATION_PENALTY * load.fillers
    return cost


def filler_share(load: WorkerLoad, total_cpu: int) -> float:
    """Return the processors that fillers ask for here, as a share of the worker."""
    wanted = sum(step.room.cpu for _, step in load.runs.values() if step.is_filler)
    return wanted / total_cpu

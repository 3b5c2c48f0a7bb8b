"""Reasons why tasks and jobs do not run, per worker, for the log of a cell's owner."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Set
from itertools import chain, islice
from typing import Any

from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.step_placement import can_fit_later, has_place_in_step, obstacle
from hyssopweir.task_state import Task, TaskRef
from hyssopweir.task_transfers import may_transfer
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import Step

# Endless tasks that have not run for this time are reported.
REPORT_AFTER_MS: Millis = 2_000
# Jobs that have had nothing running for this time are reported.
JOB_REPORT_AFTER_MS: Millis = 3_000
# Bounds the number of log lines of each kind per cell and second.
MAX_REPORTS = 4
# Bounds the length of a log line.
MAX_HELD_REPORTED = 8
# Bounds the serving images that a log line names.
MAX_LIMITS = 3


def describe_absent_tasks(state: CellState, now_ms: Millis) -> Iterator[dict[str, Any]]:
    """Yield event fields for endless tasks that have been away for a long time.

    Tasks that have run before come first. ``workers`` counts the workers of the cell by
    the first reason that excludes them.
    """
    absent: list[tuple[WorkflowProgress, TaskRef, Step, Task]] = []
    for key, progress in state.jobs.items():
        with state.guard(key):
            absent.extend(
                (progress, ref, step, task)
                for ref, step, task in progress.absent_endless_tasks()
                if now_ms - progress.idle_since_ms(task) >= REPORT_AFTER_MS
            )
    absent.sort(key=lambda item: item[3].is_unstarted())
    loads = [link.load for link in state.links.values()]
    for progress, ref, step, task in absent:
        yield _describe(progress, ref, step, task, loads, now_ms)


def _describe(
    progress: WorkflowProgress,
    ref: TaskRef,
    step: Step,
    task: Task,
    loads: Iterable[WorkerLoad],
    now_ms: Millis,
) -> dict[str, Any]:
    service = progress.workflow.service
    loads = [load for load in loads if load.entry.service == service]
    counts = Counter(obstacle(ref, step, load, now_ms) for load in loads)
    return {
        **ref.fields(),
        "run": task.last_run,
        "away_ms": now_ms - progress.idle_since_ms(task),
        "cpu": step.charge.cpu,
        "memory_mb": step.charge.memory_mb,
        "open_runs": [
            f"{run.phase.value} on {run.worker}" for run in task.runs.values()
        ],
        "hops": progress.hops(),
        "may_move": may_transfer(progress, step),
        "fits_later": sum(
            load.accepts_tasks(now_ms)
            and can_fit_later(step, load)
            and has_place_in_step(ref, step, load)
            for load in loads
        ),
        "workers": {reason or "usable": count for reason, count in counts.items()},
    }


def describe_held(
    state: CellState, held_since_ms: Mapping[str, Millis], now_ms: Millis
) -> list[dict[str, Any]]:
    """Return event fields for workers that are held for lost endless tasks."""
    links = [(state.links.get(name), since) for name, since in held_since_ms.items()]
    present = ((link.load, since) for link, since in links if link is not None)
    return [
        {
            "worker": load.entry.worker_id,
            "held_ms": now_ms - since_ms,
            "cpu": load.entry.room.cpu,
            "free": [load.free.cpu, load.free.memory_mb],
            "lasting": [load.lasting.cpu, load.lasting.memory_mb],
            "runs": len(load.runs) - load.servers - load.fillers,
            "servers": load.servers,
            "fillers": load.fillers,
        }
        for load, since_ms in islice(present, MAX_HELD_REPORTED)
    ]


def describe_waiting_jobs(
    state: CellState, held: Set[str], now_ms: Millis
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the keys of jobs with nothing running and event fields for each.

    ``workers`` counts the workers of the cell by the first reason that excludes them
    from the job's first waiting task, ``limits`` has for the serving images that keep
    a filler off workers the one with the most headroom.
    """
    loads = [link.load for link in state.links.values()]
    for key in list(state.unplaced):
        with state.guard(key):
            progress = state.jobs[key]
            if any(progress.runs()):
                continue
            waiting = list(progress.waiting())
            if not waiting:
                continue
            ref, step, _ = waiting[0]
            tasks = chain.from_iterable(progress.tasks.values())
            waited_ms = now_ms - max(progress.idle_since_ms(task) for task in tasks)
            if waited_ms < JOB_REPORT_AFTER_MS:
                continue
            fields = _describe_job(progress, ref, step, loads, held, state, now_ms)
            yield key, {**fields, "waiting": len(waiting), "waited_ms": waited_ms}


def _describe_job(
    progress: WorkflowProgress,
    ref: TaskRef,
    step: Step,
    loads: Iterable[WorkerLoad],
    held: Set[str],
    state: CellState,
    now_ms: Millis,
) -> dict[str, Any]:
    model = state.interference_model
    counts: Counter[str] = Counter()
    limits: dict[str, dict[str, Any]] = {}
    for load in loads:
        if load.entry.service != progress.workflow.service:
            continue
        reason = obstacle(ref, step, load, now_ms)
        if not reason and load.entry.worker_id in held:
            reason = "held"
        is_possible = step.is_filler and not reason
        if is_possible and model.headroom_fraction(step, load) == float("inf"):
            reason = "interference"
            limit = model.describe_limit(step, load, now_ms)
            known = limits.setdefault(limit["beside"], limit)
            if _missing(limit) < _missing(known):
                limits[limit["beside"]] = limit
        counts[reason or "usable"] += 1
    return {
        **ref.fields(),
        "cpu": step.room.cpu,
        "memory_mb": step.room.memory_mb,
        "label": step.label,
        "image": step.image,
        "is_filler": step.is_filler,
        "elsewhere": sum(
            task.is_elsewhere for tasks in progress.tasks.values() for task in tasks
        ),
        "spare_runs": progress.spare_runs(state.links),
        "workers": dict(counts),
        "limits": list(limits.values())[:MAX_LIMITS],
    }


def _missing(limit: Mapping[str, Any]) -> float:
    return float(limit["adds"] - limit["headroom"])

"""Reasons why endless tasks do not run, per worker, for the log of a cell's owner."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
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
# Bounds the number of log lines per cell and second.
MAX_REPORTS = 4
# Bounds the length of a log line.
MAX_HELD_REPORTED = 8


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

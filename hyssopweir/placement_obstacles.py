"""Reasons why endless tasks do not run, per worker, for the log of a cell's owner."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.step_placement import obstacle
from hyssopweir.task_state import Task, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import Step

# Endless tasks that have not run for this time are reported.
REPORT_AFTER_MS: Millis = 2_000
# Bounds the number of log lines per cell and second.
MAX_REPORTS = 4


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
    counts = Counter(
        obstacle(ref, step, load, now_ms)
        for load in loads
        if load.entry.service == service
    )
    return {
        **ref.fields(),
        "run": task.last_run,
        "away_ms": now_ms - progress.idle_since_ms(task),
        "cpu": step.charge.cpu,
        "memory_mb": step.charge.memory_mb,
        "open_runs": [
            f"{run.phase.value} on {run.worker}" for run in task.runs.values()
        ],
        "workers": {reason or "usable": count for reason, count in counts.items()},
    }

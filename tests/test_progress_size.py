"""Tests of the size of progress rows, which the store limits."""

import json

import pytest

from hyssopweir.events import Event
from hyssopweir.resources import Resources
from hyssopweir.row_store import MAX_ROW_BYTES
from hyssopweir.task_state import RunOutcome, TaskRef
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.virtual_time import run_virtual

# A worker is the key of its entry, and the store takes keys of up to 200 bytes.
LONGEST_ID = "w{:0>199}"
WORKERS, TASKS = 24, 20
ROUND_MS = 600
MANY_FAILURES = 60


def fail_all(progress: WorkflowProgress, worker: str) -> None:
    """Let a run of each task of a job fail on a worker."""
    for index in range(progress.workflow.steps[0].tasks):
        run = progress.create_run(TaskRef("j1", 0, 0, index), worker, 1, 0)
        progress.end_run(run.ref, RunOutcome.FAILED, "00000bb87a21d94b", 0)


def test_endless_job_outlives_failures_on_many_workers() -> None:
    """Guards against a lasting job that is failed once its row has outgrown 64 KB."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=0)
        for number in range(WORKERS):
            entry = build_entry(number, worker_id=LONGEST_ID.format(number))
            simulation.add_worker(entry)
        await simulation.sleep_ms(1_500)
        step = build_step(TASKS, is_endless=True)
        assert await simulation.submit(build_workflow("j1", step))
        for _ in range(WORKERS):
            await simulation.sleep_ms(ROUND_MS)
            for index in range(TASKS):
                for worker in simulation.workers.values():
                    worker.fail(TaskRef("j1", 0, 0, index))
        await simulation.sleep_ms(2 * ROUND_MS)
        assert await simulation.state("j1") is WorkflowState.ACTIVE
        assert sum(len(w.running) for w in simulation.workers.values()) == TASKS
        errors = [record.event for record in simulation.records]
        assert Event.JOB_SET_ASIDE not in errors
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


@pytest.mark.parametrize(("tasks", "kept"), [(1, 16), (48, 4), (200, 1), (300, 0)])
def test_row_of_a_job_stays_within_its_limit_as_tasks_fail(
    tasks: int, kept: int
) -> None:
    """Guards against a progress row that grows with each worker that a task failed on.

    The workers of the latest failures are kept, as far as the row has space for them.
    """
    step = build_step(tasks, is_endless=True)
    progress = WorkflowProgress(build_workflow("j1", step))
    progress.open_due_occurrences(0)
    for number in range(MANY_FAILURES):
        fail_all(progress, LONGEST_ID.format(number))
        assert len(progress.encode("1.1")) <= MAX_ROW_BYTES
    restored = WorkflowProgress(progress.workflow)
    restored.restore(json.loads(progress.encode("1.1")), 0)
    task = restored.task(TaskRef("j1", 0, 0, tasks - 1))
    assert task is not None
    assert task.failures == MANY_FAILURES
    assert len(task.failed_on) == kept
    assert task.failed_on[-1:] == [LONGEST_ID.format(MANY_FAILURES - 1)][:kept]


def test_wide_job_with_long_worker_ids_runs_within_its_row() -> None:
    """Guards against a wide job that is failed when its workers have long ids."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=0)
        for number in range(2):
            entry = build_entry(number, worker_id=LONGEST_ID.format(number))
            simulation.add_worker(entry)
        await simulation.sleep_ms(1_500)
        step = build_step(700, room=Resources(1, 1), estimated_ms=300)
        assert await simulation.submit(build_workflow("j1", step))
        assert await simulation.until("j1", WorkflowState.COMPLETED, 60_000)
        errors = [record.event for record in simulation.records]
        assert Event.JOB_SET_ASIDE not in errors
        assert simulation.work.breaches == []

    run_virtual(run_scenario())

"""Work that fits nowhere does not keep other work from being placed."""

from collections.abc import Sequence

import pytest

from hyssopweir.events import Event
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step, Workflow
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
    fill_first_cell,
    job_ids_of_cell,
)
from tests.job_checks import events_of
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED
MANY = 60
# The users allow a job to wait for 3 s while there is capacity.
START_LIMIT_MS = 3_000
# The longest lease of a lost worker, then the time that users allow for a new run.
LOST_LIMIT_MS = 4_500 + 6_000
# Wait in the own cell, and the writes of a transfer.
TRANSFER_MS = 2_000
# Steps that no worker of the second cell can run as long as its endless tasks run.
BLOCKED_STEPS = {
    "missing label": build_step(1, label="b"),
    "too large": build_step(1, room=Resources(400_000, 1_000)),
    "beside endless tasks": build_step(8, room=Resources(8_000, 1_000)),
}


async def assert_served_behind(
    simulation: CellSimulation, waiting: Sequence[Workflow], job: Workflow
) -> None:
    """Check that a job is done although more urgent jobs wait for good."""
    for blocked in waiting:
        assert await simulation.submit(blocked)
    await simulation.sleep_ms(500)
    assert await simulation.submit(job)
    assert await simulation.until(job.job, DONE, START_LIMIT_MS)
    for blocked in waiting:
        assert await simulation.state(blocked.job) is WorkflowState.PENDING


@pytest.mark.parametrize("seed", range(3))
def test_jobs_for_a_missing_worker_leave_others_served(seed: int) -> None:
    """Guards against starvation behind jobs that wait for a lost worker."""

    async def main() -> None:
        simulation = CellSimulation(workers=8, seed=seed)
        await simulation.sleep_ms(1_000)
        waiting = [
            build_workflow(
                f"b{number}",
                build_step(1, room=Resources(500 + 10 * number, 256), label="b"),
            )
            for number in range(MANY)
        ]
        job = build_workflow("plain", build_step(1), priority=2)
        await assert_served_behind(simulation, waiting, job)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_jobs_that_need_more_than_each_worker_has_leave_others_served(
    seed: int,
) -> None:
    """Guards against starvation behind many jobs that fit no single worker.

    One worker has the processors and another one the memory that they need.
    """

    async def main() -> None:
        simulation = CellSimulation(workers=0, seed=seed)
        simulation.add_worker(build_entry(0, room=Resources(32_000, 4_000)))
        simulation.add_worker(build_entry(1, room=Resources(4_000, 32_000)))
        await simulation.sleep_ms(1_000)
        waiting = [
            build_workflow(
                f"b{number}",
                build_step(1, room=Resources(8_000 + 10 * number, 8_000 + number)),
            )
            for number in range(MANY)
        ]
        job = build_workflow("plain", build_step(1), priority=2)
        await assert_served_behind(simulation, waiting, job)

    run_virtual(main())


def test_lost_endless_tasks_that_fit_nowhere_leave_others_served() -> None:
    """Guards against starvation behind lost tasks, which are placed first."""

    async def main() -> None:
        simulation = CellSimulation(workers=2)
        room = Resources(64_000, 64_000)
        large = simulation.add_worker(build_entry(9, room=room))
        await simulation.sleep_ms(1_000)
        waiting = [
            build_workflow(
                f"b{number}",
                build_step(
                    1, room=Resources(500, 500 + number), label="big", is_endless=True
                ),
            )
            for number in range(MANY)
        ]
        large.entry = large.entry._replace(labels=frozenset({"big", "r1"}))
        await simulation.sleep_ms(1_000)
        for endless in waiting:
            assert await simulation.submit(endless)
        await simulation.sleep_ms(1_000)
        assert len(large.running) == MANY
        large.is_cut = True
        large.is_listed = False
        await simulation.sleep_ms(8_000)
        assert await simulation.submit(
            build_workflow("plain", build_step(1), priority=2)
        )
        assert await simulation.until("plain", DONE, START_LIMIT_MS)

    run_virtual(main())


def test_large_filler_leaves_smaller_ones_of_its_image_served() -> None:
    """Guards against starvation behind a filler with more memory than any worker."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_000)
        filler = build_step(1, is_filler=True, image="p1")
        large = filler._replace(room=Resources(2_000, 64_000))
        waiting = [build_workflow("large", large)]
        job = build_workflow("small", filler, priority=2)
        await assert_served_behind(simulation, waiting, job)

    run_virtual(main())


async def build_full_cell_and_blocked_job(
    seed: int, blocked: Step
) -> tuple[CellSimulation, list[str]]:
    """Return cells of which one is full and the other nearly idle, and new job ids.

    Each worker of the other cell runs a small endless task; a job waits there. The ids
    belong to the full cell.
    """
    simulation = CellSimulation(workers=4, cells=2, seed=seed)
    await fill_first_cell(simulation)
    endless, waiting = job_ids_of_cell("c1", simulation, 2)
    step = build_step(2, room=Resources(1_000, 100), is_endless=True, most_per_worker=1)
    assert await simulation.submit(build_workflow(endless, step))
    await simulation.sleep_ms(500)
    assert await simulation.submit(build_workflow(waiting, blocked))
    await simulation.sleep_ms(1_000)
    assert await simulation.state(waiting) is WorkflowState.PENDING
    return simulation, job_ids_of_cell("c0", simulation, 4)[1:]


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("blocked", BLOCKED_STEPS.values(), ids=BLOCKED_STEPS.keys())
def test_blocked_job_leaves_its_cell_open_to_transfers(
    blocked: Step, seed: int
) -> None:
    """Guards against jobs of a full cell that wait next to a free one for good."""

    async def main() -> None:
        simulation, jobs = await build_full_cell_and_blocked_job(seed, blocked)
        for job in jobs:
            assert await simulation.submit(build_workflow(job, build_step(1)))
        for job in jobs:
            assert await simulation.until(job, DONE, START_LIMIT_MS)

    run_virtual(main())


@pytest.mark.parametrize("blocked", BLOCKED_STEPS.values(), ids=BLOCKED_STEPS.keys())
def test_blocked_job_leaves_its_cell_open_to_single_tasks(blocked: Step) -> None:
    """Guards against tasks of started jobs that wait next to a free cell for good."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await simulation.sleep_ms(1_500)
        job, blocker = job_ids_of_cell("c0", simulation, 2)
        endless, waiting = job_ids_of_cell("c1", simulation, 2)
        one_each = build_step(
            2, room=Resources(1_000, 100), is_endless=True, most_per_worker=1
        )
        assert await simulation.submit(build_workflow(endless, one_each))
        # The second step doesn't fit beside the tasks of the other job.
        steps = (
            build_step(1, estimated_ms=3_000),
            build_step(1, room=Resources(4_000, 1_000), after=(0,)),
        )
        assert await simulation.submit(build_workflow(job, *steps))
        await simulation.sleep_ms(300)
        filling = build_step(7, is_endless=True)
        assert await simulation.submit(build_workflow(blocker, filling))
        assert await simulation.submit(build_workflow(waiting, blocked))
        await simulation.sleep_ms(3_000)
        assert await simulation.state(waiting) is WorkflowState.PENDING
        assert await simulation.until(job, DONE, START_LIMIT_MS + 1_000)

    run_virtual(main())


def test_overloaded_cell_gets_no_transfers() -> None:
    """Guards against jobs that are handed to a cell whose own jobs wait."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await fill_first_cell(simulation)
        busy = job_ids_of_cell("c1", simulation, 1)[0]
        # Far more than the cell holds, and all of it fits in turn.
        step = build_step(100, room=Resources(3_000, 1_000), estimated_ms=2_000)
        assert await simulation.submit(build_workflow(busy, step))
        await simulation.sleep_ms(1_000)
        job = job_ids_of_cell("c0", simulation, 2)[1]
        assert await simulation.submit(build_workflow(job, build_step(1)))
        await simulation.sleep_ms(START_LIMIT_MS)
        assert not events_of(simulation, Event.JOB_MOVED)

    run_virtual(main())


def lose_worker(simulation: CellSimulation, name: str) -> None:
    worker = simulation.workers[name]
    worker.restart()
    worker.is_cut = True
    worker.is_listed = False


@pytest.mark.parametrize("seed", range(3))
def test_workers_without_memory_hide_no_free_one_of_another_cell(seed: int) -> None:
    """Guards against lost tasks that wait since a heartbeat lists only some workers.

    The workers with the most free processors of the other cell have no free memory.
    """

    async def main() -> None:
        simulation = CellSimulation(workers=3, cells=2, seed=seed)
        for number in range(10, 18):
            entry = build_entry(number, rack="r1", room=Resources(32_000, 500))
            simulation.add_worker(entry)
        await fill_first_cell(simulation)
        lost_tasks = {ref.task for ref in simulation.workers["w0"].running}
        assert len(lost_tasks) == 4
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS)
        running = {ref.task for ref in simulation.workers["w1"].running}
        assert lost_tasks <= running

    run_virtual(main())


async def submit_backlog(simulation: CellSimulation, jobs: list[str]) -> None:
    """Submit more short tasks than fit, which end at different times."""
    for number, job in enumerate(jobs):
        duration_ms = 700 + 37 * number % 600
        step = build_step(2, room=Resources(500, 100), estimated_ms=duration_ms)
        assert await simulation.submit(build_workflow(job, step))


@pytest.mark.parametrize("seed", range(3))
def test_lost_endless_task_gets_a_worker_that_short_tasks_keep_busy(seed: int) -> None:
    """Guards against a large lost task that smaller ones keep from ever fitting."""

    async def main() -> None:
        simulation = CellSimulation(workers=1, seed=seed)
        await simulation.sleep_ms(1_000)
        endless = build_step(1, room=Resources(6_000, 1_000), is_endless=True)
        assert await simulation.submit(build_workflow("endless", endless))
        await simulation.sleep_ms(500)
        simulation.add_worker(build_entry(1))
        await simulation.sleep_ms(500)
        await submit_backlog(simulation, [f"b{n}" for n in range(250)])
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS)
        running = {ref.task.job for ref in simulation.workers["w1"].running}
        assert "endless" in running
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_lost_endless_task_gets_a_busy_worker_of_another_cell(seed: int) -> None:
    """Guards against lost tasks of a cell full of endless ones next to a busy cell."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2, seed=seed)
        await simulation.sleep_ms(1_500)
        endless = build_step(2, room=Resources(6_000, 1_000), is_endless=True)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        assert await simulation.submit(build_workflow(job, endless))
        await simulation.sleep_ms(500)
        await submit_backlog(simulation, job_ids_of_cell("c1", simulation, 500))
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS + TRANSFER_MS)
        names = [name for name, fake in simulation.workers.items() if not fake.is_cut]
        running = [
            ref.task for name in names for ref in simulation.workers[name].running
        ]
        assert sum(task.job == job for task in running) == 2
        assert simulation.work.breaches == []

    run_virtual(main())

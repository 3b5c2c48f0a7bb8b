"""Work that fits nowhere does not keep other work from being placed."""

from collections.abc import Sequence

import pytest

from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Workflow
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED
MANY = 60
# The users allow a job to wait for 3 s while there is capacity.
START_LIMIT_MS = 3_000


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

"""Lasting tasks on workers that announce that they leave."""

import pytest

from hyssopweir.agents import WorkerState
from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.virtual_time import run_virtual

NOTICE_MS: Millis = 5_000
SAMPLE_MS: Millis = 50
# A stop, the report of the end, the record of the next run and its start.
MOVE_LIMIT_MS: Millis = 800
# Time for which the tasks of the other worker run.
BUSY_MS: Millis = 2_500
LASTING_JOB = "lasting"


async def start_lasting_task(seed: int) -> CellSimulation:
    """Return a cell with one worker that runs a large lasting task."""
    simulation = CellSimulation(workers=1, seed=seed)
    await simulation.sleep_ms(1_000)
    step = build_step(1, room=Resources(6_000, 1_000), is_endless=True)
    assert await simulation.submit(build_workflow(LASTING_JOB, step))
    await simulation.sleep_ms(500)
    assert is_running(simulation)
    return simulation


def is_running(simulation: CellSimulation) -> bool:
    """Return whether a worker runs the lasting task."""
    return any(
        ref.task.job == LASTING_JOB
        for worker in simulation.workers.values()
        for ref in worker.running
    )


def announce_leaving(simulation: CellSimulation, name: str) -> None:
    worker = simulation.workers[name]
    worker.entry = worker.entry._replace(
        state=WorkerState.LEAVING, leaves_in_ms=NOTICE_MS
    )


async def measure_absence(simulation: CellSimulation, duration_ms: Millis) -> Millis:
    """Return for how long of ``duration_ms`` the lasting task does not run."""
    away_ms = 0
    for _ in range(duration_ms // SAMPLE_MS):
        await simulation.sleep_ms(SAMPLE_MS)
        away_ms += SAMPLE_MS * (not is_running(simulation))
    return away_ms


@pytest.mark.parametrize("seed", range(3))
def test_task_on_a_leaving_worker_runs_until_a_busy_one_has_capacity(seed: int) -> None:
    """Guards against a task that is stopped before another worker can take it."""

    async def main() -> None:
        simulation = await start_lasting_task(seed)
        simulation.add_worker(build_entry(1))
        await simulation.sleep_ms(500)
        step = build_step(4, room=Resources(2_000, 100), estimated_ms=BUSY_MS)
        assert await simulation.submit(build_workflow("busy", step))
        await simulation.sleep_ms(500)
        announce_leaving(simulation, "w0")
        assert await measure_absence(simulation, NOTICE_MS) <= MOVE_LIMIT_MS
        running = {ref.task.job for ref in simulation.workers["w1"].running}
        assert LASTING_JOB in running
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_task_without_another_worker_is_stopped_before_its_worker_ends(
    seed: int,
) -> None:
    """Guards against a run that ends with its worker and lasts as long as its lease."""

    async def main() -> None:
        simulation = await start_lasting_task(seed)
        announce_leaving(simulation, "w0")
        assert await measure_absence(simulation, NOTICE_MS - 2_000) == 0
        await simulation.sleep_ms(1_900)
        assert not is_running(simulation)
        worker = simulation.workers["w0"]
        worker.is_cut, worker.is_listed = True, False
        simulation.add_worker(build_entry(1))
        await simulation.sleep_ms(MOVE_LIMIT_MS)
        assert is_running(simulation)
        assert simulation.work.breaches == []

    run_virtual(main())


def test_repeated_announcement_does_not_extend_the_time_that_is_left() -> None:
    """Guards against a run that is kept until its worker ends by entries that age."""

    async def main() -> None:
        simulation = await start_lasting_task(0)
        for number in range(NOTICE_MS // 1_000):
            announce_leaving(simulation, "w0")
            worker = simulation.workers["w0"]
            worker.entry = worker.entry._replace(port=9_100 + number)
            await simulation.sleep_ms(1_000)
        assert not is_running(simulation)

    run_virtual(main())


def test_successor_lets_a_task_run_on_its_leaving_worker() -> None:
    """Guards against a new owner that stops tasks before another worker has room."""

    async def main() -> None:
        simulation = await start_lasting_task(0)
        worker = simulation.workers["w0"]
        worker.entry = worker.entry._replace(
            state=WorkerState.LEAVING, leaves_in_ms=6 * NOTICE_MS
        )
        await simulation.sleep_ms(500)
        await simulation.owner().crash()
        assert await measure_absence(simulation, 2 * NOTICE_MS) == 0

    run_virtual(main())


def test_cancelled_task_on_a_leaving_worker_holds_no_other_worker() -> None:
    """Guards against an idle worker that is kept for a run that only has to end."""

    async def main() -> None:
        simulation = await start_lasting_task(0)
        simulation.add_worker(build_entry(1))
        await simulation.sleep_ms(500)
        simulation.workers["w0"].is_cut = True
        announce_leaving(simulation, "w0")
        assert (await simulation.instances[1].api.cancel(LASTING_JOB, 3_000)).is_ok()
        await simulation.sleep_ms(300)
        assert await simulation.submit(build_workflow("plain", build_step(1)))
        assert await simulation.until("plain", WorkflowState.COMPLETED, 2_000)

    run_virtual(main())

"""Replies that list only the first of many items."""

from collections.abc import Iterator

import pytest

from hyssopweir.events import Event
from hyssopweir.platform.http_agent import parse_lease_reply
from hyssopweir.resources import Resources
from hyssopweir.task_state import TaskRef
from hyssopweir.workflow_progress import WorkflowState
from tests.agent_fakes import REPLY_ENDS, FakeWorker
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.job_checks import events_of
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED
TASKS = 700
OUTAGE_MS = 4_200
JOBS = ("j1", "j2")


def set_store_down(simulation: CellSimulation, is_down: bool) -> None:
    for instance in simulation.instances:
        instance.faults.is_down = is_down


async def start_many_tasks(seed: int) -> tuple[CellSimulation, FakeWorker]:
    """Return a simulation whose only worker runs more tasks than a reply can end."""
    simulation = CellSimulation(workers=0, seed=seed)
    worker = simulation.add_worker(build_entry(room=Resources(16_000, 32_000, 0)))
    await simulation.sleep_ms(1_000)
    step = build_step(TASKS // 2, room=Resources(20, 10), estimated_ms=2_500)
    for job in JOBS:
        assert await simulation.submit(build_workflow(job, step))
    for _ in range(100):
        if len(worker.running) == TASKS:
            return simulation, worker
        await simulation.sleep_ms(20)
    raise AssertionError(f"only {len(worker.running)} of {TASKS} tasks run")


def double_runs(simulation: CellSimulation) -> Iterator[TaskRef]:
    return (task for task, ends in simulation.work.done.items() if ends > 1)


@pytest.mark.parametrize("seed", range(3))
def test_ends_beyond_a_reply_are_not_taken_for_lost_runs(seed: int) -> None:
    """Guards against tasks that run twice since a reply doesn't list all their ends."""

    async def main() -> None:
        simulation, worker = await start_many_tasks(seed)
        set_store_down(simulation, True)
        await simulation.sleep_ms(OUTAGE_MS)
        assert len(worker.ended) > REPLY_ENDS
        set_store_down(simulation, False)
        for job in JOBS:
            assert await simulation.until(job, DONE, 10_000)
        assert not list(double_runs(simulation))
        assert simulation.work.starts == TASKS
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
def test_new_owner_waits_for_ends_beyond_a_reply(seed: int) -> None:
    """Guards against a new owner that starts tasks again whose end isn't listed yet."""

    async def main() -> None:
        simulation, worker = await start_many_tasks(seed)
        set_store_down(simulation, True)
        await simulation.sleep_ms(2_600)
        await simulation.owner().crash()
        set_store_down(simulation, False)
        for job in JOBS:
            assert await simulation.until(job, DONE, 20_000)
        assert not list(double_runs(simulation))
        assert simulation.work.breaches == []

    run_virtual(main())


def test_ends_beyond_the_first_reply_of_a_restarted_worker_count() -> None:
    """Guards against tasks taken for lost with the worker's previous process."""

    async def main() -> None:
        simulation, worker = await start_many_tasks(0)
        worker.is_cut = True
        await simulation.sleep_ms(1_000)
        # Its tasks are those of the new process, and have ended before the next reply.
        worker.born_ms += 1
        await simulation.sleep_ms(1_700)
        assert len(worker.ended) > REPLY_ENDS
        worker.is_cut = False
        for job in JOBS:
            assert await simulation.until(job, DONE, 10_000)
        assert events_of(simulation, Event.WORKER_RESTARTED)
        # Recorded runs; most are withdrawn when the next reply ends their tasks.
        assert len(events_of(simulation, Event.TASK_STARTING)) == TASKS

    run_virtual(main())


@pytest.mark.parametrize(
    ("count", "is_partial"), [(0, False), (499, False), (500, True)]
)
def test_lease_reply_with_all_the_ends_it_may_have_is_partial(
    count: int, is_partial: bool
) -> None:
    """Guards against a worker's first ends being read as all of them."""
    ends = [[number, f"j.0.0.{number}", 1, "done", ""] for number in range(count)]
    reply = parse_lease_reply(
        {"clockMs": 5_000, "born": 7, "running": [], "finished": ends}
    )
    assert reply.is_partial is is_partial

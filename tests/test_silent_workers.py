"""Workers that are only out of reach, and workers whose process has ended."""

import pytest

from hyssopweir.agent_link import LONGEST_LEASE_MS, MIN_CLOCK_RATE, lease_times
from hyssopweir.agents import CommandResult
from hyssopweir.cell_heartbeats import TAKEOVER_MS
from hyssopweir.events import Event
from tests.cell_simulation import CellSimulation, FakeWorker, build_step, build_workflow
from tests.job_checks import events_of
from tests.virtual_time import run_virtual

TASKS = 8
# A commit and the start on another worker.
RESTART_LIMIT_MS = 1_000


async def start_tasks(
    seed: int = 0, is_endless: bool = True
) -> tuple[CellSimulation, FakeWorker]:
    """Return a simulation with running tasks, and the worker with most of them."""
    simulation = CellSimulation(workers=4, seed=seed)
    await simulation.sleep_ms(1_000)
    step = build_step(TASKS, is_endless=is_endless, estimated_ms=30_000)
    assert await simulation.submit(build_workflow("j1", step))
    await simulation.sleep_ms(1_000)
    return simulation, max(
        simulation.workers.values(), key=lambda fake: len(fake.running)
    )


def set_gone(
    simulation: CellSimulation,
    worker: FakeWorker,
    is_gone: bool,
    result: CommandResult = CommandResult.NO_LISTENER,
) -> None:
    for instance in simulation.instances:
        instance.agent.gone_result = result
        if is_gone:
            instance.agent.gone_workers.add(worker.entry.worker_id)
        else:
            instance.agent.gone_workers.discard(worker.entry.worker_id)


def running_elsewhere(simulation: CellSimulation, worker: FakeWorker) -> int:
    return sum(
        len(fake.running) for fake in simulation.workers.values() if fake is not worker
    )


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cut_ms", [300, 1_500, 2_500])
@pytest.mark.parametrize("is_endless", [False, True])
def test_work_on_a_silent_worker_is_not_started_again(
    seed: int, cut_ms: int, is_endless: bool
) -> None:
    """Guards against lost work on a worker that only lost contact for a while."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, is_endless)
        worker.is_cut = True
        await simulation.sleep_ms(cut_ms)
        worker.is_cut = False
        await simulation.sleep_ms(8_000)
        assert simulation.work.starts == TASKS
        assert not events_of(simulation, Event.TASK_LAPSED)

    run_virtual(main())


@pytest.mark.parametrize("is_endless", [False, True])
def test_work_survives_a_cut_of_several_seconds(is_endless: bool) -> None:
    """Guards against lost work on a worker that stays listed and is cut for 5.5 s."""

    async def main() -> None:
        simulation, worker = await start_tasks(0, is_endless)
        worker.is_cut = True
        await simulation.sleep_ms(5_500)
        worker.is_cut = False
        await simulation.sleep_ms(8_000)
        assert simulation.work.starts == TASKS

    run_virtual(main())


@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
@pytest.mark.parametrize("gone_ms", [500, 1_000, 2_000, 3_000])
@pytest.mark.parametrize("seed", range(3))
def test_refusals_end_no_run_of_a_worker_that_is_at_work(
    result: CommandResult, gone_ms: int, seed: int
) -> None:
    """Guards against a second run beside one whose worker seems to have ended."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, is_endless=False)
        set_gone(simulation, worker, True, result)
        await simulation.sleep_ms(gone_ms)
        set_gone(simulation, worker, False)
        await simulation.sleep_ms(40_000)
        assert simulation.work.breaches == []
        assert simulation.work.starts == TASKS

    run_virtual(main())


@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
def test_worker_gets_no_tasks_from_the_first_refusal_on(result: CommandResult) -> None:
    """Guards against starts on a worker whose process may have ended."""

    async def main() -> None:
        simulation, worker = await start_tasks()
        set_gone(simulation, worker, True, result)
        while not events_of(simulation, Event.WORKER_SILENT):
            await simulation.sleep_ms(1)
        assert await simulation.submit(build_workflow("j2", build_step(8)))
        await simulation.sleep_ms(2_000)
        started = [
            record["worker"]
            for record in events_of(simulation, Event.TASK_STARTING)
            if record["job"] == "j2"
        ]
        assert len(started) == 8
        assert worker.entry.worker_id not in started

    run_virtual(main())


@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
@pytest.mark.parametrize("with_takeover", [False, True])
def test_work_of_an_ended_process_starts_again_when_its_lease_ends(
    result: CommandResult, with_takeover: bool
) -> None:
    """Guards against work that starts before the lease's certain end, or long after."""

    async def main() -> None:
        simulation, worker = await start_tasks()
        lease_end_ms = worker.lease_ms
        set_gone(simulation, worker, True, result)
        # The machine refuses connections, but the runs go on until their lease ends.
        worker.is_listed = not with_takeover
        wait_ms = lease_times(LONGEST_LEASE_MS).lease_ms / MIN_CLOCK_RATE
        if with_takeover:
            await simulation.owner().crash()
            wait_ms = TAKEOVER_MS + lease_times(LONGEST_LEASE_MS).unlisted_ms
        await simulation.sleep_ms(lease_end_ms - simulation.clock.now_ms() - 10)
        assert running_elsewhere(simulation, worker) + len(worker.running) == TASKS
        await simulation.sleep_ms(int(wait_ms) + RESTART_LIMIT_MS)
        assert running_elsewhere(simulation, worker) == TASKS
        lapsed = events_of(simulation, Event.TASK_LAPSED)
        assert all(record.get("lease_left_ms", 0) <= 0 for record in lapsed)
        assert simulation.work.breaches == []

    run_virtual(main())


def test_one_refused_connection_ends_no_run() -> None:
    """Guards against lost work because of a single odd reply."""

    async def main() -> None:
        simulation, worker = await start_tasks()
        set_gone(simulation, worker, True)
        while not events_of(simulation, Event.WORKER_SILENT):
            await simulation.sleep_ms(1)
        set_gone(simulation, worker, False)
        await simulation.sleep_ms(8_000)
        assert simulation.work.starts == TASKS

    run_virtual(main())


def test_restart_in_the_list_ends_the_runs_of_a_worker_out_of_reach() -> None:
    """Guards against a wait for a lease when the list shows a new incarnation."""

    async def main() -> None:
        simulation, worker = await start_tasks()
        worker.is_cut = True
        worker.restart()
        worker.entry = worker.entry._replace(born_ms=worker.born_ms)
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert running_elsewhere(simulation, worker) == TASKS
        assert simulation.work.breaches == []

    run_virtual(main())

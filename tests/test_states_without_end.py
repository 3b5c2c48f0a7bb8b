"""No state of the scheduler keeps work from a worker or a cell for good."""

import pytest

from hyssopweir.agents import CommandResult
from hyssopweir.events import Event
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.filler_pacing import FillerPacing
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step
from tests.agent_fakes import ProxyAnswer
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
    fill_first_cell,
    job_ids_of_cell,
)
from tests.job_checks import events_of
from tests.test_starvation import (
    LOST_LIMIT_MS,
    TRANSFER_MS,
    lose_worker,
    submit_backlog,
)
from tests.test_step_placement import FILLER, add_run, build_load, set_estimates
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED
# Longer than any state with an end lasts: the longest ejection takes 12 s.
ENDLESS_TEST_MS = 30_000


def count_runs(simulation: CellSimulation, job: str) -> int:
    """Return how many tasks of a job run on workers that are in reach."""
    workers = [fake for fake in simulation.workers.values() if not fake.is_cut]
    return sum(ref.task.job == job for fake in workers for ref in fake.running)


@pytest.mark.parametrize("seed", range(2))
def test_lost_task_is_not_kept_for_the_worker_that_ends_last(seed: int) -> None:
    """Guards against a held worker with a long task, while others stay open."""

    async def main() -> None:
        simulation = CellSimulation(workers=1, seed=seed)
        await simulation.sleep_ms(1_000)
        endless = build_step(1, room=Resources(6_000, 1_000), is_endless=True)
        assert await simulation.submit(build_workflow("endless", endless))
        await simulation.sleep_ms(500)
        for number in (1, 2):
            simulation.add_worker(build_entry(number))
        await simulation.sleep_ms(500)
        long_step = build_step(1, room=Resources(3_000, 100), estimated_ms=600_000)
        assert await simulation.submit(build_workflow("long", long_step))
        await simulation.sleep_ms(200)
        await submit_backlog(simulation, [f"b{n}" for n in range(400)])
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS)
        assert count_runs(simulation, "endless") == 1

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_silent", [False, True], ids=["limit", "silent"])
def test_lost_task_beside_an_unusable_worker_gets_a_busy_one_elsewhere(
    is_silent: bool, seed: int
) -> None:
    """Guards against lost tasks kept by a worker that can't take them.

    It runs as many tasks of the step as it may, or is listed and never replies.
    """

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2, seed=seed)
        simulation.workers["w2"].is_cut = is_silent
        await simulation.sleep_ms(1_500)
        endless = build_step(
            1 if is_silent else 2,
            room=Resources(4_000, 1_000),
            is_endless=True,
            most_per_worker=1,
        )
        job = job_ids_of_cell("c0", simulation, 1)[0]
        assert await simulation.submit(build_workflow(job, endless))
        await simulation.sleep_ms(500)
        await submit_backlog(simulation, job_ids_of_cell("c1", simulation, 500))
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS + TRANSFER_MS)
        assert count_runs(simulation, job) == endless.tasks

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
def test_transfers_to_cells_without_a_place_are_not_used_up(seed: int) -> None:
    """Guards against a task that stays in its cell for good after eight transfers."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2, seed=seed)
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        step = build_step(
            5, room=Resources(1_000, 100), is_endless=True, most_per_worker=1
        )
        assert await simulation.submit(build_workflow(job, step))
        await simulation.sleep_ms(ENDLESS_TEST_MS)
        assert count_runs(simulation, job) == 4
        simulation.add_worker(build_entry(5, rack="r1"))
        await simulation.sleep_ms(LOST_LIMIT_MS)
        assert count_runs(simulation, job) == 5

    run_virtual(main())


# Steps with tasks that no worker of the second cell can run, though they fit there.
UNPLACED_STEPS = {
    "limit of the step": build_step(8, most_per_worker=1, is_endless=True),
    "no spare processor": build_step(
        2, room=Resources(12_000, 100), is_filler=True, image="mix"
    ),
}


@pytest.mark.parametrize("waiting", UNPLACED_STEPS.values(), ids=UNPLACED_STEPS.keys())
def test_waiting_tasks_without_a_place_leave_their_cell_open(waiting: Step) -> None:
    """Guards against jobs of a full cell that wait next to a free one for good."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await fill_first_cell(simulation)
        blocked = job_ids_of_cell("c1", simulation, 1)[0]
        assert await simulation.submit(build_workflow(blocked, waiting))
        await simulation.sleep_ms(2_000)
        job = job_ids_of_cell("c0", simulation, 2)[1]
        assert await simulation.submit(build_workflow(job, build_step(1)))
        assert await simulation.until(job, DONE, ENDLESS_TEST_MS)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
def test_lost_tasks_for_a_missing_label_use_up_no_offers(seed: int) -> None:
    """Guards against lost tasks of two cells that keep each other waiting."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2, seed=seed)
        large = build_entry(
            9, rack="r1", room=Resources(24_000, 32_000), labels=frozenset({"b"})
        )
        simulation.add_worker(large)
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        endless = build_step(2, room=Resources(6_000, 1_000), is_endless=True)
        assert await simulation.submit(build_workflow(job, endless))
        labelled, *backlog = job_ids_of_cell("c1", simulation, 501)
        step = build_step(4, room=Resources(4_000, 1_000), is_endless=True, label="b")
        assert await simulation.submit(build_workflow(labelled, step))
        await simulation.sleep_ms(500)
        assert count_runs(simulation, labelled) == 4
        lose_worker(simulation, "w9")
        await simulation.sleep_ms(6_000)
        await submit_backlog(simulation, backlog)
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS + TRANSFER_MS)
        assert count_runs(simulation, job) == 2

    run_virtual(main())


def test_filler_without_image_is_not_kept_behind_a_task_of_its_size() -> None:
    """Guards against a filler that counts as unplaceable like a task without room."""

    async def main() -> None:
        simulation = CellSimulation(workers=2)
        await fill_first_cell(simulation)
        assert await simulation.submit(build_workflow("plain", build_step(1)))
        filler = build_step(1, is_filler=True)
        assert await simulation.submit(build_workflow("filler", filler, priority=2))
        assert await simulation.until("filler", DONE, ENDLESS_TEST_MS)

    run_virtual(main())


def test_lasting_filler_without_spare_processor_holds_no_worker() -> None:
    """Guards against a worker that is held for good for a task that it can't take."""

    async def main() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_000)
        room = Resources(6_000, 1_000)
        filler = build_step(1, room=room, is_endless=True, is_filler=True, image="mix")
        assert await simulation.submit(build_workflow("filler", filler))
        await simulation.sleep_ms(500)
        simulation.add_worker(build_entry(1, labels=frozenset({"b"})))
        await simulation.sleep_ms(500)
        endless = build_step(1, room=room, is_endless=True, label="b")
        assert await simulation.submit(build_workflow("endless", endless))
        await simulation.sleep_ms(500)
        assert count_runs(simulation, "endless") == 1
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS)
        assert await simulation.submit(build_workflow("plain", build_step(1)))
        assert await simulation.until("plain", DONE, ENDLESS_TEST_MS)

    run_virtual(main())


def test_large_urgent_task_gets_a_worker_among_small_ones() -> None:
    """Guards against a task that never fits as small ones take what becomes free."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        # About 14 of 32 cores are in use.
        small = build_step(1, room=Resources(1_000, 10), estimated_ms=1_000)
        large = build_step(1, room=Resources(7_000, 1_000))
        for number in range(500):
            if number == 50:
                assert await simulation.submit(build_workflow("large", large))
            job = build_workflow(f"s{number}", small, priority=2)
            assert await simulation.submit(job)
            await simulation.sleep_ms(70)
        assert await simulation.state("large") is DONE

    run_virtual(main())


def test_lost_tasks_of_a_very_wide_job_leave_their_full_cell() -> None:
    """Guards against lost tasks that wait for good since their job has over 256."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        step = build_step(257, room=Resources(60, 10), is_endless=True)
        assert await simulation.submit(build_workflow(job, step))
        await simulation.sleep_ms(1_500)
        assert count_runs(simulation, job) == 257
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(LOST_LIMIT_MS + TRANSFER_MS)
        assert count_runs(simulation, job) == 257

    run_virtual(main())


def test_filler_of_a_started_job_leaves_its_full_cell() -> None:
    """Guards against fillers that wait for good next to a free cell."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await simulation.sleep_ms(1_500)
        job, blocker = job_ids_of_cell("c0", simulation, 2)
        room = Resources(2_000, 8_000)
        filler = build_step(1, room=room, after=(0,), is_filler=True, image="mix")
        first = build_step(1, estimated_ms=2_000)
        assert await simulation.submit(build_workflow(job, first, filler))
        await simulation.sleep_ms(300)
        filling = build_step(2, room=Resources(1_000, 30_000), is_endless=True)
        assert await simulation.submit(build_workflow(blocker, filling))
        assert await simulation.until(job, DONE, ENDLESS_TEST_MS)

    run_virtual(main())


def test_filler_that_was_moved_to_a_cell_without_memory_runs() -> None:
    """Guards against a move by free processors alone, which happens only once."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await simulation.sleep_ms(1_500)
        job, short = job_ids_of_cell("c0", simulation, 2)
        lasting = job_ids_of_cell("c1", simulation, 1)[0]
        room = Resources(1_000, 30_000)
        endless = build_step(2, room=room, is_endless=True)
        assert await simulation.submit(build_workflow(lasting, endless))
        finite = build_step(2, room=room, estimated_ms=3_000)
        assert await simulation.submit(build_workflow(short, finite))
        await simulation.sleep_ms(500)
        filler = build_step(
            1, room=Resources(1_000, 8_000), is_filler=True, image="mix"
        )
        assert await simulation.submit(build_workflow(job, filler))
        assert await simulation.until(job, DONE, ENDLESS_TEST_MS)

    run_virtual(main())


def test_scheduled_job_leaves_a_cell_without_its_label() -> None:
    """Guards against a job that waits for good since it has due times."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        for name in ("w1", "w3"):
            worker = simulation.workers[name]
            worker.entry = worker.entry._replace(labels=frozenset({"b"}))
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        step = build_step(1, label="b")
        assert await simulation.submit(build_workflow(job, step, occurrences=1))
        assert await simulation.until(job, DONE, ENDLESS_TEST_MS)

    run_virtual(main())


def test_all_lasting_tasks_of_a_wide_job_start() -> None:
    """Guards against lasting tasks that wait for good for space in their job's row."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        step = build_step(700, room=Resources(10, 10), is_endless=True)
        assert await simulation.submit(build_workflow("wide", step))
        await simulation.sleep_ms(ENDLESS_TEST_MS)
        assert count_runs(simulation, "wide") == 700

    run_virtual(main())


def test_wide_job_with_long_checkpoints_is_not_failed() -> None:
    """Guards against a job that is set aside as failed when its row is too large."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        room = Resources(100, 10)
        wide = build_step(200, room=room, estimated_ms=20_000, checkpoints=True)
        short = build_step(1, room=room, estimated_ms=4_000)
        assert await simulation.submit(build_workflow("wide", wide, short))
        await simulation.sleep_ms(2_000)
        for worker in simulation.workers.values():
            for ref, run in worker.running.items():
                worker.running[ref] = run._replace(saved="0" * 500)
        assert await simulation.until("wide", DONE, 2 * ENDLESS_TEST_MS)
        assert not events_of(simulation, Event.JOB_SET_ASIDE)

    run_virtual(main())


def test_occurrence_behind_a_window_of_lasting_ones_opens() -> None:
    """Guards against occurrences that wait for good for the end of lasting ones."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        step = build_step(1, room=Resources(100, 10), is_endless=True)
        job = build_workflow("repeated", step, occurrences=65)
        assert await simulation.submit(job)
        await simulation.sleep_ms(ENDLESS_TEST_MS)
        assert count_runs(simulation, "repeated") == 65

    run_virtual(main())


def test_slow_task_with_a_low_estimate_is_not_stopped_without_end() -> None:
    """Guards against runs that never get to 1% before they count as stalled."""

    async def main() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        step = build_step(1, estimated_ms=12_000)
        assert await simulation.submit(build_workflow("slow", step))
        simulation.work.steps["slow"] = (step._replace(estimated_ms=300_000),)
        await simulation.sleep_ms(300_000 + ENDLESS_TEST_MS)
        assert await simulation.state("slow") is DONE

    run_virtual(main())


def test_one_low_tail_latency_keeps_no_fillers_away_for_good() -> None:
    """Guards against a lowest tail latency that no later report corrects."""

    async def main() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        worker = simulation.workers["w0"]
        worker.tail_ms = 1.0
        serving = build_step(1, is_endless=True, image="shop", tail_target_ms=50)
        assert await simulation.submit(build_workflow("serving", serving))
        await simulation.sleep_ms(1_500)
        worker.tail_ms = 15.0
        await simulation.sleep_ms(5_000)
        filler = build_step(1, is_filler=True, image="mix")
        assert await simulation.submit(build_workflow("filler", filler))
        assert await simulation.until("filler", DONE, 10 * ENDLESS_TEST_MS)

    run_virtual(main())


def test_failing_lasting_task_leaves_its_worker_to_others() -> None:
    """Guards against a task that is started again at once after each failure."""

    async def main() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        worker = simulation.workers["w0"]
        endless = build_step(1, room=Resources(6_000, 1_000), is_endless=True)
        assert await simulation.submit(build_workflow("failing", endless))
        await simulation.sleep_ms(300)
        plain = build_step(1, room=Resources(4_000, 1_000))
        accepted_ms = simulation.clock.wall_ms()
        job = build_workflow("plain", plain, accepted_ms=accepted_ms)
        assert await simulation.submit(job)
        for _ in range(ENDLESS_TEST_MS // 100):
            await simulation.sleep_ms(100)
            for ref in list(worker.running):
                if ref.task.job == "failing":
                    worker.fail(ref.task)
        assert await simulation.state("plain") is DONE

    run_virtual(main())


def test_stopped_filler_goes_on_beside_a_task_within_its_target() -> None:
    """Guards against a harmless filler that stays stopped after an overload."""
    load, interference = build_load(), FillerInterference()
    filler = add_run(load, FILLER._replace(checkpoints=False), 1)
    filler.figure = 2_000
    server = set_estimates(interference, load, 0.8, 0.0)
    pacing = FillerPacing(interference)
    for now_ms in range(5_000, 605_000, 100):
        server.figure = 60.0 if now_ms < 8_000 else 42.0
        load.mark_changed()
        for change in pacing.decide(load, now_ms):
            assert change.percent is not None
            filler.pace, filler.changed_ms = change.percent, now_ms
    assert filler.pace > 0


def test_start_without_a_reply_does_not_wait_for_a_refused_stop() -> None:
    """Guards against a task that waits for good for a worker that refuses its stop."""

    async def main() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        refusal = ProxyAnswer(CommandResult.UNHEALTHY, None)
        for instance in simulation.instances:
            # The start is lost, so that no list of the worker shows the run.
            instance.agent.start_answers["w0"] = [ProxyAnswer(None, None)]
            instance.agent.stop_answers["w0"] = [refusal] * 1_000
        assert await simulation.submit(build_workflow("lost", build_step(1)))
        await simulation.sleep_ms(500)
        simulation.add_worker(build_entry(1))
        assert await simulation.until("lost", DONE, 2 * ENDLESS_TEST_MS)

    run_virtual(main())

"""Tests of tasks of started jobs whose cell has no capacity left for them."""

import asyncio
import json
from random import Random

import pytest

from hyssopweir.agents import CommandResult, StartReply, WorkerState
from hyssopweir.cell_layout import request_key
from hyssopweir.events import Event
from hyssopweir.row_store import ABSENT, MAX_ROW_BYTES, Write
from hyssopweir.task_state import RunOutcome, RunRef, Task, TaskRef, TaskTransfer
from hyssopweir.task_transfers import may_transfer, transfer_order
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from hyssopweir.workflows import TransferredTask, encode_workflow
from tests.cell_simulation import (
    CellSimulation,
    build_step,
    build_workflow,
    job_ids_of_cell,
)
from tests.row_fakes import FakeRowStore, RowFaults
from tests.virtual_time import run_virtual

# The longest lease, then the time that users allow for a new run, then a margin of the
# check: 6 s and 3 s.
RESTART_LIMIT_MS = 4_500 + 6_000 + 3_000
# Time that users allow from an acknowledged cancellation to the end of all runs.
CANCEL_LIMIT_MS = 4_200
RETRY_MS = 50
ROW_LIFETIME_MS = 185_000


async def build_full_cell(seed: int, instances: int = 3) -> CellSimulation:
    """Return two cells: the first is full of endless tasks, the second is empty."""
    simulation = CellSimulation(workers=8, instances=instances, seed=seed, cells=2)
    await simulation.sleep_ms(1_500)
    for job in job_ids_of_cell("c0", simulation, 2):
        workflow = build_workflow(job, build_step(8, is_endless=True))
        assert await simulation.submit(workflow)
    await simulation.sleep_ms(1_000)
    assert count_running(simulation) == 16
    return simulation


def lose_worker(simulation: CellSimulation, name: str) -> None:
    worker = simulation.workers[name]
    worker.restart()
    worker.is_cut = True
    worker.is_listed = False


def count_running(simulation: CellSimulation, jobs: tuple[str, ...] = ()) -> int:
    """Return the number of runs in progress, of all jobs or of some."""
    return sum(
        len(workers)
        for ref, workers in simulation.work.live.items()
        if not jobs or ref.job in jobs
    )


async def cancel_job(simulation: CellSimulation, job: str) -> None:
    """Cancel a job, repeating the call until it is acknowledged."""
    while (await simulation.instances[1].api.cancel(job, 3_000)).is_err():
        await simulation.sleep_ms(RETRY_MS)


async def restart_all(simulation: CellSimulation) -> None:
    for instance in simulation.instances:
        await instance.crash()
    for instance in simulation.instances:
        instance.start()


def set_store_faults(
    simulation: CellSimulation, latency_ms: int, lost_share: float
) -> None:
    for instance in simulation.instances:
        instance.faults.latency_ms = latency_ms
        instance.faults.lost_share = lost_share


def test_log_states_why_an_endless_task_is_away() -> None:
    """Guards against a log that can't tell a full cell from unusable workers."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(0)
        for worker in simulation.workers.values():
            if worker.entry.rack == "r1":
                worker.is_listed = False
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        lines = [r for r in simulation.records if r.event is Event.ENDLESS_TASK_AWAY]
        assert lines
        assert lines[-1].fields["workers"]["no capacity"] == 3
        assert lines[-1].fields["away_ms"] >= 2_000

    run_virtual(run_scenario())


def test_log_states_what_keeps_a_lost_task_from_a_leaving_worker_away() -> None:
    """Guards against a log that can't tell a full cell from a worker held too long."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(0)
        for worker in simulation.workers.values():
            if worker.entry.rack == "r1":
                worker.is_listed = False
        leaving = simulation.workers["w0"]
        leaving.entry = leaving.entry._replace(
            state=WorkerState.LEAVING, leaves_in_ms=5_000
        )
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        records = simulation.records
        listed = [r for r in records if r.event is Event.WORKER_LISTED]
        assert {r.fields["worker"] for r in listed} >= {"w0"}
        left = [r for r in records if r.event is Event.WORKER_LEAVING]
        assert [r.fields["worker"] for r in left] == ["w0"]
        assert left[0].fields["servers"] > 0
        line = [r for r in records if r.event is Event.LOST_TASKS][-1].fields
        assert line["lost"] == line["never_fit"] == left[0].fields["servers"]
        assert line["unheld"] == line["lost"]
        assert line["held"] == []
        assert line["usable_workers"] == 3

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(3))
def test_endless_tasks_of_a_full_cell_restart_in_another_cell(seed: int) -> None:
    """Guards against lost endless tasks that wait although another cell is free."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(seed)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert count_running(simulation) == 16
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


def test_lost_endless_task_restarts_before_new_tasks_of_a_more_urgent_job() -> None:
    """Guards against lost endless tasks whose capacity goes to tasks that never ran."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        small = build_workflow("a", build_step(4, is_endless=True), slack_ms=90_000)
        wide = build_workflow("b", build_step(16, is_endless=True))
        for workflow in (small, wide):
            assert await simulation.submit(workflow)
            await simulation.sleep_ms(500)
        await simulation.sleep_ms(1_000)
        assert count_running(simulation, ("a",)) == 4
        failed = TaskRef("a", 0, 0, 0), TaskRef("b", 0, 0, 0)
        for worker in simulation.workers.values():
            for task in failed:
                worker.fail(task)
        await simulation.sleep_ms(2_000)
        assert all(simulation.work.live[task] for task in failed)
        assert count_running(simulation) == 16

    run_virtual(run_scenario())


@pytest.mark.parametrize("latency_ms", [5, 100])
@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("after_ms", [4_600, 5_600, 6_000, 6_400, 9_000])
def test_cancelled_job_with_transferred_tasks_ends_in_all_cells(
    after_ms: int, is_restarted: bool, latency_ms: int
) -> None:
    """Guards against transferred tasks that run on after the end of their job."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(after_ms)
        jobs = job_ids_of_cell("c0", simulation, 2)
        lose_worker(simulation, "w0")
        set_store_faults(simulation, latency_ms, 0.0)
        await simulation.sleep_ms(after_ms)
        if is_restarted:
            await restart_all(simulation)
        for job in jobs:
            await cancel_job(simulation, job)
        await simulation.sleep_ms((1 + 2 * is_restarted) * CANCEL_LIMIT_MS)
        assert count_running(simulation) == 0
        for job in jobs:
            assert await simulation.state(job) is WorkflowState.CANCELLED
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


def test_rows_of_transferred_tasks_are_deleted() -> None:
    """Guards against rows of transferred tasks that outlast their job."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(0)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        jobs = job_ids_of_cell("c0", simulation, 2)
        assert [at for at in simulation.rows.rows if "~" in at.key]
        for job in jobs:
            await cancel_job(simulation, job)
        await simulation.sleep_ms(ROW_LIFETIME_MS)
        assert not [at for at in simulation.rows.rows if at.key.startswith(tuple(jobs))]

    run_virtual(run_scenario())


def test_transferred_task_is_transferred_again_when_its_worker_is_lost() -> None:
    """Guards against transferred tasks that stay in a second cell without capacity."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(1)
        jobs = job_ids_of_cell("c0", simulation, 2)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        filler = job_ids_of_cell("c1", simulation, 1)[0]
        step = build_step(12, is_endless=True)
        assert await simulation.submit(build_workflow(filler, step))
        await simulation.sleep_ms(1_000)
        assert count_running(simulation) == 28
        simulation.add_worker(simulation.workers["w0"].entry._replace(worker_id="w9"))
        holders = [
            name
            for name, worker in simulation.workers.items()
            if worker.entry.rack == "r1"
            and any(ref.task.job in jobs for ref in worker.running)
        ]
        lose_worker(simulation, holders[0])
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert count_running(simulation) == 28
        moves = [r.fields for r in simulation.records if r.event is Event.TASK_MOVED]
        assert max(move["hops"] for move in moves) == 2
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


async def fill_cell(simulation: CellSimulation, cell: str, tasks: int) -> None:
    """Start endless tasks of one job in a cell."""
    job = job_ids_of_cell(cell, simulation, 9)[-1]
    workflow = build_workflow(job, build_step(tasks, is_endless=True))
    assert await simulation.submit(workflow)
    await simulation.sleep_ms(500)


@pytest.mark.parametrize("seed", range(2))
def test_finite_task_beside_running_endless_ones_leaves_a_full_cell(seed: int) -> None:
    """Guards against a task that waits for good because endless ones of its job run."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, seed=seed, cells=2)
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        steps = build_step(1, estimated_ms=600_000), build_step(4, is_endless=True)
        assert await simulation.submit(build_workflow(job, *steps))
        await simulation.sleep_ms(500)
        await fill_cell(simulation, "c0", 11)
        task = TaskRef(job, 0, 0, 0)
        lose_worker(simulation, next(iter(simulation.work.live[task])))
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert simulation.work.live[task]
        assert count_running(simulation) == 16

    run_virtual(run_scenario())


def test_repeated_job_leaves_a_full_cell() -> None:
    """Guards against occurrences that wait for good next to a free cell."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, cells=2)
        await simulation.sleep_ms(1_500)
        await fill_cell(simulation, "c0", 16)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        workflow = build_workflow(job, build_step(1), occurrences=2, interval_ms=1_000)
        assert await simulation.submit(workflow)
        assert await simulation.until(job, WorkflowState.COMPLETED, 20_000)
        await simulation.sleep_ms(5_000)
        done = [n for ref, n in simulation.work.done.items() if ref.job == job]
        assert done == [1, 1]
        assert not [at for at in simulation.rows.rows if at.key.endswith("=")]

    run_virtual(run_scenario())


def test_job_that_fits_no_cell_twice_starts_task_by_task() -> None:
    """Guards against a job that waits although the service has room for all of it."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, cells=2)
        await simulation.sleep_ms(1_500)
        await fill_cell(simulation, "c0", 16)
        await fill_cell(simulation, "c1", 10)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        workflow = build_workflow(job, build_step(6, is_endless=True))
        assert await simulation.submit(workflow)
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert count_running(simulation, (job,)) == 6
        assert await simulation.state(job) is WorkflowState.ACTIVE

    run_virtual(run_scenario())


def test_task_whose_row_is_too_large_stays_in_its_cell() -> None:
    """Guards against a transfer that the store refuses for ever."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(0)
        job = job_ids_of_cell("c0", simulation, 3)[2]
        step = build_step(1, is_endless=True)
        others = [build_step(1, after=(0,), label="l" * 400) for _ in range(136)]
        workflow = build_workflow(job, step, *others)
        size = len(encode_workflow(workflow))
        padding = MAX_ROW_BYTES - size - 10
        assert 0 < padding < 4_000
        workflow = workflow._replace(payload=workflow.payload + "x" * padding)
        assert await simulation.submit(workflow)
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        events = {record.event for record in simulation.records}
        assert not events & {Event.TASK_MOVED, Event.JOB_MOVED}
        assert Event.STORE_CALL_FAILED not in events

    run_virtual(run_scenario())


def transferred_progress(body: bytes | None = None) -> WorkflowProgress:
    """Return a job with a transferred task, restored from ``body`` if given."""
    progress = WorkflowProgress(build_workflow("a", build_step(2), occurrences=1))
    if body is not None:
        progress.restore(json.loads(body), 0)
        return progress
    progress.open_due_occurrences(0)
    run = progress.create_run(TaskRef("a", 0, 0, 0), "w0", 0, 0)
    progress.end_run(run.ref, RunOutcome.LAPSED, "", 0)
    progress.record_transfer(progress.tasks[0, 0][0], TaskTransfer("c1", 1))
    return progress


@pytest.mark.parametrize("others_done", [0, 1])
def test_transfer_of_a_task_that_is_done_late_is_not_forgotten(
    others_done: int,
) -> None:
    """Guards against a copy in another cell that no owner cancels any more."""
    progress = transferred_progress()
    for number in range(others_done):
        run = progress.create_run(TaskRef("a", 0, 0, 1 - number), "w1", 0, 0)
        progress.end_run(run.ref, RunOutcome.DONE, "", 0)
    progress.end_run(RunRef(TaskRef("a", 0, 0, 0), 1), RunOutcome.DONE, "", 0)
    assert progress.tasks[0, 0][0].is_done
    for kept in (progress, transferred_progress(progress.encode("1"))):
        assert kept.has_open_transfers()


def test_copy_of_a_task_that_is_done_late_is_cancelled() -> None:
    """Guards against a transferred task that runs again after its end was reported."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, cells=2)
        await simulation.sleep_ms(1_500)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        step = build_step(1, estimated_ms=600_000)
        workflow = build_workflow(job, step, step._replace(after=(0,)))
        assert await simulation.submit(workflow)
        await simulation.sleep_ms(500)
        await fill_cell(simulation, "c0", 15)
        task = TaskRef(job, 0, 0, 0)
        holder = simulation.workers[next(iter(simulation.work.live[task]))]
        run = next(ref for ref in holder.running if ref.task == task)
        lose_worker(simulation, holder.entry.worker_id)
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert simulation.work.live[task]
        owner = next(i for i in simulation.instances if "c0" in i.host.owned)
        state = owner.host.owned["c0"].state
        progress = state.jobs[job]
        progress.end_run(run, RunOutcome.DONE, "", simulation.clock.now_ms())
        state.mark_changed(progress)
        await simulation.sleep_ms(CANCEL_LIMIT_MS)
        assert not simulation.work.live[task]
        assert await simulation.state(job) is WorkflowState.ACTIVE

    run_virtual(run_scenario())


def test_transferred_tasks_of_a_job_that_was_set_aside_end() -> None:
    """Guards against an owner that is lost before it has cancelled such tasks."""

    async def run_scenario() -> None:
        simulation = await build_full_cell(0)
        lose_worker(simulation, "w0")
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        jobs = job_ids_of_cell("c0", simulation, 2)
        owner = next(i for i in simulation.instances if "c0" in i.host.owned)
        state = owner.host.owned["c0"].state
        state.cancel_transfers = lambda progress: None
        for job in jobs:
            state.set_aside(job, ValueError("a decision failed"))
        await simulation.sleep_ms(100)
        await restart_all(simulation)
        await simulation.sleep_ms(3 * CANCEL_LIMIT_MS)
        assert count_running(simulation, tuple(jobs)) == 0

    run_virtual(run_scenario())


@pytest.mark.parametrize("latency_ms", [5, 100])
@pytest.mark.parametrize("restart_ms", [0, 5_500, 6_500, 7_200, 7_500, 7_800, 9_000])
def test_finite_task_of_a_full_cell_is_done_once_in_another_cell(
    restart_ms: int, latency_ms: int
) -> None:
    """Guards against a started job that waits for good, or is done twice, elsewhere."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, seed=restart_ms, cells=2)
        await simulation.sleep_ms(1_500)
        jobs = job_ids_of_cell("c0", simulation, 3)
        first = build_step(1, estimated_ms=600)
        finite = build_workflow(jobs[0], first, build_step(2, after=(0,)))
        endless = build_workflow(jobs[1], build_step(16, is_endless=True))
        assert await simulation.submit(finite)
        await simulation.sleep_ms(300)
        assert await simulation.submit(endless)
        set_store_faults(simulation, latency_ms, 0.0)
        await simulation.sleep_ms(200)
        for worker in simulation.workers.values():
            for ref in list(worker.running):
                if ref.task.job == jobs[0]:
                    worker.fail(ref.task)
        if restart_ms:
            await simulation.sleep_ms(restart_ms - 2_000)
            await restart_all(simulation)
        assert await simulation.until(jobs[0], WorkflowState.COMPLETED, 20_000)
        done = {ref: n for ref, n in simulation.work.done.items() if ref.job == jobs[0]}
        assert sorted(done.values()) == [1, 1, 1]
        assert simulation.work.breaches == []
        await simulation.sleep_ms(5_000)
        assert not [at for at in simulation.rows.rows if at.key.endswith("=")]

    run_virtual(run_scenario())


@pytest.mark.parametrize(("tasks", "may_leave"), [(256, True), (257, False)])
def test_tasks_of_very_wide_jobs_stay_in_their_cell(
    tasks: int, may_leave: bool
) -> None:
    """Guards against a job whose transferred tasks use up the other owner's time."""
    step = build_step(tasks, is_endless=True)
    progress = WorkflowProgress(build_workflow("a", step))
    assert may_transfer(progress, step) is may_leave


def test_transferred_task_does_not_cost_the_memory_of_its_job() -> None:
    """Guards against an owner that stores a whole job for each task it receives."""
    transferred = TransferredTask(0, 1, 7, 3, 1, "saved", ("w1",), 1)
    workflow = build_workflow("a", build_step(200), build_step(50, after=(0,)))
    progress = WorkflowProgress(workflow._replace(home="c1", task=transferred))
    tasks = {id(task) for tasks in progress.tasks.values() for task in tasks}
    assert len(tasks) == 2
    assert [ref.number for ref, _, _ in progress.waiting()] == [7]
    run = progress.create_run(TaskRef("a", 0, 1, 7), "w0", 0, 0)
    assert run.ref.run == 4
    progress.end_run(run.ref, RunOutcome.DONE, "", 0)
    assert progress.state is WorkflowState.COMPLETED


def test_fault_in_the_handling_of_a_reply_does_not_end_the_leases_of_a_worker() -> None:
    """Guards against a link that ends unseen, so that all runs of its worker lapse."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4)
        await simulation.sleep_ms(1_500)
        job = build_workflow("a", build_step(16, is_endless=True))
        assert await simulation.submit(job)
        await simulation.sleep_ms(1_000)
        cell = simulation.owner().host.owned["c0"]

        def fail(*_: object) -> None:
            raise ValueError("a decision failed")

        cell._reports._expire_missing = fail  # type: ignore[method-assign]
        await simulation.sleep_ms(RESTART_LIMIT_MS)
        assert count_running(simulation) == 16
        faults = [r for r in simulation.records if r.event is Event.BAD_INPUT]
        assert {fault.fields["source"] for fault in faults} == {
            f"link to w{number}" for number in range(4)
        }
        assert len(faults) == 4

    run_virtual(run_scenario())


def test_job_whose_tasks_run_elsewhere_is_not_pending() -> None:
    """Guards against a job that runs in other cells and is shown as pending."""
    progress = WorkflowProgress(build_workflow("a", build_step(1), home="c1"))
    progress.open_due_occurrences(0)
    assert progress.state is WorkflowState.PENDING
    progress.record_transfer(progress.tasks[0, 0][0], TaskTransfer("c2", 1))
    assert progress.state is WorkflowState.ACTIVE


@pytest.mark.parametrize(
    ("key", "body"),
    [
        ("j0~0.0.0.1=", b"[" * 100_000),
        ("j0~0.0.0.1=", b'{"state": 1e999}'),
        ("j0~0.0.0.1=", b"[]"),
        ("j0~x=", b'{"state": "completed"}'),
        ("=", b'{"state": "completed"}'),
        ("j0~0.0.9.1=", b'{"state": "completed"}'),
    ],
)
def test_odd_report_does_not_end_a_cell(key: str, body: bytes) -> None:
    """Guards against an odd report that ends each owner of the cell."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, cells=2)
        await simulation.sleep_ms(1_500)
        table = request_key("c0", key)
        store = FakeRowStore(simulation.rows, simulation.clock, RowFaults(0))
        await store.transact((Write(table, body, ABSENT),), 1_000)
        job = job_ids_of_cell("c0", simulation, 1)[0]
        assert await simulation.submit(build_workflow(job, build_step(2)))
        assert await simulation.until(job, WorkflowState.COMPLETED, 5_000)
        events = {record.event for record in simulation.records}
        assert Event.BACKGROUND_TASK_FAILED not in events

    run_virtual(run_scenario())


def test_tasks_whose_start_is_refused_stay_in_their_cell() -> None:
    """Guards against an owner that gives tasks away because its commands fail."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, cells=2)
        await simulation.sleep_ms(1_500)

        async def refuse(*_: object) -> StartReply:
            return StartReply(CommandResult.NOT_SENT)

        for instance in simulation.instances:
            instance.agent.start = refuse  # type: ignore[method-assign]
        job = job_ids_of_cell("c0", simulation, 1)[0]
        workflow = build_workflow(job, build_step(8, is_endless=True))
        assert await simulation.submit(workflow)
        await simulation.sleep_ms(6_000)
        events = [record.event for record in simulation.records]
        assert events.count(Event.ORDER_REFUSED) >= 8
        assert Event.TASK_MOVED not in events

    run_virtual(run_scenario())


@pytest.mark.parametrize(
    ("is_endless", "runs", "order"), [(True, 1, 0), (True, 0, 1), (False, 0, 2)]
)
def test_lost_endless_tasks_are_transferred_first(
    is_endless: bool, runs: int, order: int
) -> None:
    """Guards against capacity of other cells that goes to tasks that never ran."""
    task = Task()
    task.last_run = runs
    keys = [(False, False), (False, True), (True, True)]
    step = build_step(1, is_endless=is_endless)
    assert transfer_order(step, task) == keys[order]


@pytest.mark.parametrize("seed", range(20))
def test_tasks_run_while_the_service_has_capacity(seed: int) -> None:
    """Guards against faults that keep tasks away from a service with free capacity."""
    run_virtual(simulate_endless_jobs(seed))


async def simulate_endless_jobs(seed: int) -> None:
    """Load cells unevenly, lose workers and instances, and check all endless tasks."""
    random = Random(seed)
    simulation = CellSimulation(workers=12, seed=seed, cells=3)
    await simulation.sleep_ms(1_500)
    full, *others = (job_ids_of_cell(f"c{n}", simulation, 4) for n in range(3))
    kept, cancelled = [*full[:2], others[0][0]], [full[2], others[1][0]]
    set_store_faults(simulation, random.choice((5, 30)), random.choice((0.0, 0.1)))
    loop = asyncio.get_running_loop()

    async def submit(job: str, tasks: int, is_endless: bool) -> None:
        await simulation.clock.sleep_ms(random.randint(0, 2_000))
        step = build_step(tasks, is_endless=is_endless)
        while not await simulation.submit(build_workflow(job, step)):
            await simulation.clock.sleep_ms(RETRY_MS)

    finite = [full[3], others[0][1], others[1][1]]
    tasks = [loop.create_task(submit(job, 7, True)) for job in kept]
    tasks += [loop.create_task(submit(job, 4, True)) for job in cancelled]
    tasks += [loop.create_task(submit(job, 3, False)) for job in finite]
    for _ in range(3):
        await simulation.sleep_ms(random.randint(500, 6_000))
        worker = random.choice(sorted(simulation.workers))
        simulation.workers[worker].restart()
        if random.random() < 0.3:
            await restart_all(simulation)
    lose_worker(simulation, random.choice(sorted(simulation.workers)))
    await simulation.sleep_ms(random.randint(500, 8_000))
    await asyncio.wait(tasks)
    for job in cancelled:
        await cancel_job(simulation, job)
    set_store_faults(simulation, 5, 0.0)
    await simulation.sleep_ms(RESTART_LIMIT_MS + 6_000)
    assert count_running(simulation, tuple(kept)) == 21
    assert count_running(simulation, tuple(cancelled)) == 0
    for job in finite:
        assert await simulation.state(job) is WorkflowState.COMPLETED
    assert simulation.work.breaches == []

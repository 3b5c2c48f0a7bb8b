"""Tests of the ejection of failing workers by the owner of their cell."""

import pytest

from hyssopweir.events import Event
from hyssopweir.task_state import Run, RunRef, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.virtual_time import run_virtual

# Users allow 6 s from the last run of a lasting task to the next, and 3 s more.
RESTART_LIMIT_MS = 9_000
# Urgent work has to start within this time.
START_LIMIT_MS = 6_700
POLL_MS = 50
AT_WORK_MS = 3_000
JOBS = ("j1", "j2")


def count_running(simulation: CellSimulation) -> int:
    return sum(len(worker.running) for worker in simulation.workers.values())


def fail_running(simulation: CellSimulation) -> None:
    for worker in simulation.workers.values():
        for ref in list(worker.running):
            worker.fail(ref.task)


async def fail_starts(simulation: CellSimulation, rounds: int) -> None:
    """Let all tasks fail soon after each of their starts."""
    for _ in range(rounds):
        while not count_running(simulation):
            await simulation.sleep_ms(POLL_MS)
        await simulation.sleep_ms(POLL_MS)
        fail_running(simulation)


async def restart_gap_ms(simulation: CellSimulation, tasks: int) -> int:
    """Return how long it takes until all tasks are at work again."""
    began_ms = simulation.clock.now_ms()
    while count_running(simulation) < tasks:
        if simulation.clock.now_ms() - began_ms > 2 * RESTART_LIMIT_MS:
            break
        await simulation.sleep_ms(POLL_MS)
    return simulation.clock.now_ms() - began_ms


async def build_lasting_jobs(simulation: CellSimulation, step: Step) -> None:
    await simulation.sleep_ms(1_500)
    for job in JOBS:
        assert await simulation.submit(build_workflow(job, step))
    await simulation.sleep_ms(AT_WORK_MS)
    assert count_running(simulation) == step.tasks * len(JOBS)


@pytest.mark.parametrize("seed", range(3))
def test_lasting_tasks_that_fail_together_restart_in_time(seed: int) -> None:
    """Guards against lasting tasks that stay away as their failures eject all workers.

    Something that all of them call fails again and again; no worker is at fault.
    """

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=6, seed=seed)
        step = build_step(6, is_endless=True, most_per_worker=1)
        await build_lasting_jobs(simulation, step)
        for _ in range(5):
            fail_running(simulation)
            assert await restart_gap_ms(simulation, 12) <= RESTART_LIMIT_MS
            await simulation.sleep_ms(AT_WORK_MS)
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


def test_failures_of_established_runs_eject_no_worker() -> None:
    """Guards against capacity lost to failures that don't tell of their worker."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=2)
        await build_lasting_jobs(simulation, build_step(2, is_endless=True))
        fail_running(simulation)
        await simulation.sleep_ms(AT_WORK_MS)
        assert count_running(simulation) == 4
        events = [record.event for record in simulation.records]
        assert Event.WORKER_EJECTED not in events

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(3))
def test_lasting_tasks_wait_in_time_for_the_only_workers_that_fit(seed: int) -> None:
    """Guards against lasting tasks that wait for the end of the longest ejection.

    Only two workers have the label of the jobs, and fail all starts for a while.
    """

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        for number in (10, 11):
            labels = frozenset({"a", "label"})
            simulation.add_worker(build_entry(number, labels=labels))
        step = build_step(2, is_endless=True, label="label", most_per_worker=1)
        await build_lasting_jobs(simulation, step)
        fail_running(simulation)
        await fail_starts(simulation, 4)
        assert await restart_gap_ms(simulation, 4) <= RESTART_LIMIT_MS
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(3))
def test_new_work_starts_in_time_while_all_workers_are_ejected(seed: int) -> None:
    """Guards against a service that places nothing as jobs fail by their own fault."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_500)
        for worker in simulation.workers.values():
            worker.fails_all = True
        for number in range(8):
            step = build_step(8, estimated_ms=100)
            job = build_workflow(f"bad-{number}", step, most_failures=9)
            assert await simulation.submit(job)
        await simulation.sleep_ms(12_000)
        for worker in simulation.workers.values():
            worker.fails_all = False
        job = build_workflow("good", build_step(1, estimated_ms=100), slack_ms=1)
        assert await simulation.submit(job)
        assert await simulation.until("good", WorkflowState.COMPLETED, START_LIMIT_MS)

    run_virtual(run_scenario())


def build_load() -> WorkerLoad:
    load = WorkerLoad(build_entry())
    load.is_confirmed = True
    return load


def eject(load: WorkerLoad, now_ms: int) -> None:
    for job in JOBS:
        load.record_failure(job, now_ms)


def test_ejection_of_a_worker_with_a_run_at_work_since_does_not_grow() -> None:
    """Guards against ejections that grow over the life of a worker.

    Tasks that last never end as done, which alone reset them.
    """
    load, step = build_load(), build_step(is_endless=True)
    for now_ms in (10_000, 20_000, 30_000):
        load.record_report(now_ms)
        eject(load, now_ms)
        assert load.exclusion(now_ms + 1_000) == "ejected"
        load.record_report(now_ms + 4_000)
        assert not load.exclusion(now_ms + 4_000)
        run = Run(RunRef(TaskRef("j1", 0, 0, 0), 1), "w0", 1, now_ms + 4_000)
        run.percent = 100
        load.record_running(run, step, now_ms + 6_000)


def test_run_from_before_a_failure_does_not_reset_it() -> None:
    """Guards against a worker that fails all it starts and is never ejected for long.

    Tasks that were started earlier may go on there.
    """
    load, step = build_load(), build_step(is_endless=True)
    run = Run(RunRef(TaskRef("j1", 0, 0, 0), 1), "w0", 1, 0)
    run.percent = 100
    for now_ms, ejected_ms in ((10_000, 3_000), (20_000, 6_000), (30_000, 12_000)):
        load.record_report(now_ms)
        eject(load, now_ms)
        load.record_running(run, step, now_ms + 1_000)
        load.record_report(now_ms + ejected_ms - 1)
        assert load.exclusion(now_ms + ejected_ms - 1) == "ejected"
        load.record_report(now_ms + ejected_ms)
        assert not load.exclusion(now_ms + ejected_ms)


def test_paused_worker_is_no_last_resort() -> None:
    """Guards against starts that are repeated at once on a worker that refuses them."""
    load = build_load()
    load.record_report(10_000)
    for number in range(3):
        eject(load, 10_000 + 10_000 * number)
    load.record_report(34_000)
    assert load.is_last_resort(34_000)
    load.pause(34_000, 1_000)
    assert not load.is_last_resort(34_500)

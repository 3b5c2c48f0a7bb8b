"""Sizes that are learned from runs, and tasks that need more memory than they had."""

import pytest

from hyssopweir.estimates import MAX_OBSERVATIONS, MAX_PAIRS, Estimates
from hyssopweir.explain import explain_job
from hyssopweir.placement import Demand

from .builders import build_job
from .task_simulation import Instance, TaskSimulation
from .test_tasks import run_task_scenario, submit
from .virtual_time import run_virtual


@pytest.mark.parametrize(
    ("runs", "declared", "uses", "fits"),
    [(4, (16.0, 60.0), (2.0, 8.0), 2), (5, (16.0, 60.0), (2.0, 8.0), 6)]
    + [(5, (1.0, 60.0), (16.0, 1.0), 2), (5, (1.0, 50.0), (1.0, 50.0), 2)],
)
def test_size_is_learned_from_five_runs(
    runs: int, declared: tuple[float, float], uses: tuple[float, float], fits: int
) -> None:
    """Guards against workers that stand empty, or are overloaded, by declarations."""
    cores, memory_gb = declared
    payload = {"uses": {"cores": uses[0], "memory_gb": uses[1]}}
    size = {"cores": cores, "memory_gb": memory_gb, "payload": payload}

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, "first", tasks=runs, run_ms=6_000, **size)
        await world.until_state("done", "first")
        await submit(one, "next", tasks=7, run_ms=20_000, **size)
        await world.clock.sleep_ms(2_000)
        assert world.states("next").count("running") == fits
        starts = [reason["text"] for reason in world.task("next")["reasons"]]
        learned = f"needs {uses[0]:g} cores and {uses[1]:g} GB of memory"
        says = "learned from 5 runs of price-watch of the team buyers"
        assert any(learned in text and says in text for text in starts) == (runs == 5)

    run_task_scenario(story, workers=1)


def test_newest_observations_of_few_pairs_are_kept() -> None:
    """Guards against an estimate that is out of date, and memory that only grows."""
    estimates, spec = Estimates(), build_job()
    for number in range(2 * MAX_OBSERVATIONS):
        estimates.record_usage("buyers", "price-watch", 1.0, number)
        estimates.record_run_time("buyers", "price-watch", number)
    # 58 of the newest 64 observations, 64 to 127, are at most 121.
    assert estimates.demand(spec, None) == Demand(1.0, 121.0)
    assert estimates.run_ms(spec) == 121
    assert estimates.demand(spec, 150.0) == Demand(1.0, 150.0)
    for number in range(MAX_PAIRS):
        estimates.record_usage("buyers", f"kind-{number}", 1.0, 1.0)
    assert estimates.runs("buyers", "price-watch") == 0
    assert len(estimates._pairs) == MAX_PAIRS


@pytest.mark.parametrize("taken_over", ["never", "running", "queued"])
def test_shortage_of_memory_raises_the_size(taken_over: str) -> None:
    """Guards against a shortage that counts as a failure, or that is forgotten."""

    async def run() -> None:
        world = TaskSimulation()
        one, two = await world.instance(), await world.instance("two")
        await one.gain()
        payload = {"uses": {"cores": 1.0, "memory_gb": 8.0}}
        await submit(one, memory_gb=4.0, run_ms=4_000, payload=payload)
        await world.until(lambda: "memory_gb" in world.task())
        if taken_over != "never":
            await world.until_state(taken_over)
            await two.gain()
        await world.until_state("done")
        row = world.task()
        assert (row["memory_gb"], row["run"], row["failed_on"]) == (9.0, 3, [])
        failures = [
            one.keeper._worker_tasks.failures(w.worker_id) for w in world.fleet_workers
        ]
        assert set(failures) == {0}
        text = explain_job((await one.api.task_rows("price-watch")).unwrap())
        assert "needed more memory than the 4 GB that it had" in text
        assert "is to run again with 9 GB" in text
        world.check_guarantees()

    run_virtual(run())


def test_task_that_needs_more_memory_than_any_worker_has_is_held() -> None:
    """Guards against a task that runs out of memory again and again."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        payload = {"uses": {"cores": 1.0, "memory_gb": 1_000.0}}
        await submit(one, memory_gb=50.0, payload=payload)
        await world.until_state("held")
        assert (world.task()["memory_gb"], world.task()["run"]) == (168.75, 3)
        text = explain_job((await one.api.task_rows("price-watch")).unwrap())
        assert "no worker anywhere can run the task, which needs 1 cores" in text
        assert "its memory was raised because a run had too little" in text
        await world.clock.sleep_ms(12_000)
        assert world.states() == ["held"]

    run_task_scenario(story)


def test_job_whose_tasks_fail_everywhere_is_held_as_a_whole() -> None:
    """Guards against a broken job that occupies slots until its last task."""

    async def run() -> None:
        world = TaskSimulation()
        one, two = await world.instance(), await world.instance("two")
        await one.gain()
        for machine in world.fleet.workers.values():
            machine.fails_everything = True
        await submit(one, tasks=30, cores=32.0)
        await world.until_state("held")
        rows = [world.task(number=number) for number in range(30)]
        reasons = [row["reasons"][-1]["text"] for row in rows]
        assert sum("the rest of the job is held" in text for text in reasons) >= 15
        assert sum(len(row["failed_on"]) == 3 for row in rows) >= 3
        await two.gain()
        await world.clock.sleep_ms(12_000)
        # A task that is released and held again would take further writes.
        assert [world.task(number=number) for number in range(30)] == rows
        world.check_guarantees()

    run_virtual(run())

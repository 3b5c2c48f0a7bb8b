"""Estimated resource demands of tasks, and tasks that run out of memory."""

import pytest

from hyssopweir.estimates import MAX_OBSERVATIONS, MAX_PAIRS, Estimates
from hyssopweir.explain import explain_job
from hyssopweir.placement import Demand

from .builders import build_job
from .task_simulation import TaskInstance, TaskSimulation
from .test_tasks import run_task_scenario, submit
from .virtual_time import run_virtual


@pytest.mark.parametrize(
    ("runs", "declared", "used", "expected_running"),
    [(4, (16.0, 60.0), (2.0, 8.0), 2), (5, (16.0, 60.0), (2.0, 8.0), 6)]
    + [(5, (1.0, 60.0), (16.0, 1.0), 2), (5, (1.0, 50.0), (1.0, 50.0), 2)],
)
def test_demand_is_learned_from_five_runs(
    runs: int,
    declared: tuple[float, float],
    used: tuple[float, float],
    expected_running: int,
) -> None:
    """Guards against workers idle or overloaded because of wrong declared demands."""
    cores, memory_gb = declared
    payload = {"uses": {"cores": used[0], "memory_gb": used[1]}}
    demands = {"cores": cores, "memory_gb": memory_gb, "payload": payload}

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, "first", tasks=runs, run_ms=6_000, **demands)
        await simulation.until_state("done", "first")
        await submit(owner, "next", tasks=7, run_ms=20_000, **demands)
        await simulation.clock.sleep_ms(2_000)
        assert simulation.states("next").count("running") == expected_running
        reason_texts = [reason["text"] for reason in simulation.task("next")["reasons"]]
        demand_text = f"needs {used[0]:g} cores and {used[1]:g} GB of memory"
        basis = "learned from 5 runs of price-watch of the team buyers"
        assert any(demand_text in text and basis in text for text in reason_texts) == (
            runs == 5
        )

    run_task_scenario(scenario, workers=1)


def test_newest_observations_of_few_pairs_are_kept() -> None:
    """Guards against outdated estimates and unbounded memory use."""
    estimates, spec = Estimates(), build_job()
    for number in range(2 * MAX_OBSERVATIONS):
        estimates.record_usage("buyers", "price-watch", 1.0, number)
        estimates.record_run_time("buyers", "price-watch", number)
    # The newest 64 observations are 64 to 127; 58 of them are at most 121.
    assert estimates.demand(spec, None) == Demand(1.0, 121.0)
    assert estimates.run_ms(spec) == 121
    assert estimates.demand(spec, 150.0) == Demand(1.0, 150.0)
    for number in range(MAX_PAIRS):
        estimates.record_usage("buyers", f"kind-{number}", 1.0, 1.0)
    assert estimates.runs("buyers", "price-watch") == 0
    assert len(estimates._pairs) == MAX_PAIRS


@pytest.mark.parametrize("takeover_state", ["never", "running", "queued"])
def test_memory_shortage_raises_the_demand(takeover_state: str) -> None:
    """Guards against a memory shortage that counts as a failure or is not recorded."""

    async def run() -> None:
        simulation = TaskSimulation()
        owner, successor = await simulation.instance(), await simulation.instance("two")
        await owner.gain()
        payload = {"uses": {"cores": 1.0, "memory_gb": 8.0}}
        await submit(owner, memory_gb=4.0, run_ms=4_000, payload=payload)
        await simulation.until(lambda: "memory_gb" in simulation.task())
        if takeover_state != "never":
            await simulation.until_state(takeover_state)
            await successor.gain()
        await simulation.until_state("done")
        row = simulation.task()
        assert (row["memory_gb"], row["run"], row["failed_on"]) == (9.0, 3, [])
        failures = [
            owner.keeper._worker_tasks.failures(w.worker_id)
            for w in simulation.fleet_workers
        ]
        assert set(failures) == {0}
        explanation = explain_job((await owner.api.task_rows("price-watch")).unwrap())
        assert "needed more memory than the 4 GB that it had" in explanation
        assert "is to run again with 9 GB" in explanation
        simulation.check_guarantees()

    run_virtual(run())


def test_task_that_needs_more_memory_than_any_worker_has_is_held() -> None:
    """Guards against a task that runs out of memory repeatedly."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        payload = {"uses": {"cores": 1.0, "memory_gb": 1_000.0}}
        await submit(owner, memory_gb=50.0, payload=payload)
        await simulation.until_state("held")
        assert (simulation.task()["memory_gb"], simulation.task()["run"]) == (168.75, 3)
        explanation = explain_job((await owner.api.task_rows("price-watch")).unwrap())
        assert "no worker anywhere can run the task, which needs 1 cores" in explanation
        assert "its memory was raised because a run had too little" in explanation
        await simulation.clock.sleep_ms(12_000)
        assert simulation.states() == ["held"]

    run_task_scenario(scenario)


def test_job_whose_tasks_fail_everywhere_is_held_as_a_whole() -> None:
    """Guards against a faulty job that occupies slots until its last task fails."""

    async def run() -> None:
        simulation = TaskSimulation()
        owner, successor = await simulation.instance(), await simulation.instance("two")
        await owner.gain()
        for worker in simulation.fleet.workers.values():
            worker.fails_everything = True
        await submit(owner, tasks=30, cores=32.0)
        await simulation.until_state("held")
        rows = [simulation.task(number=number) for number in range(30)]
        reasons = [row["reasons"][-1]["text"] for row in rows]
        assert sum("the rest of the job is held" in text for text in reasons) >= 15
        assert sum(len(row["failed_on"]) == 3 for row in rows) >= 3
        await successor.gain()
        await simulation.clock.sleep_ms(12_000)
        # Releasing and holding a task again would change its row.
        assert [simulation.task(number=number) for number in range(30)] == rows
        simulation.check_guarantees()

    run_virtual(run())

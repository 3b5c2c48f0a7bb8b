"""Queued tasks: worker reservations, priority, and preemption for urgent tasks."""

import pytest

from .task_simulation import TaskInstance, TaskSimulation
from .test_tasks import run_task_scenario, submit
from .test_team_quotas import submit_to


def reasons(simulation: TaskSimulation, job: str, phrase: str) -> list[str]:
    texts = [item["text"] for item in simulation.task(job)["reasons"]]
    return [text for text in texts if phrase in text]


@pytest.mark.parametrize("large_count", [1, 3])
def test_task_that_smaller_tasks_overtake_reserves_a_worker(large_count: int) -> None:
    """Guards against starvation of large tasks, and against a fully reserved rack."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        # The run times differ, so that no worker becomes empty without a reservation.
        for number in range(24):
            await submit(
                owner, f"early-{number}", cores=5.0, run_ms=2_000 + 120 * number
            )
        await simulation.until(lambda: "queued" not in simulation.states(""))
        names = [f"large-{number}" for number in range(large_count)]
        for name in names:
            await submit(owner, name, kind="round", cores=32.0, run_ms=1_000)
        for number in range(2):
            await submit(owner, f"late-{number}", tasks=200, cores=5.0, run_ms=3_000)
        await simulation.clock.sleep_ms(29_000)
        assert {simulation.task(name)["run"] for name in names} == {0}
        assert not any(reasons(simulation, name, "is reserved") for name in names)
        max_reserved, start_ms = 0, simulation.clock.now_ms()
        while waiting := [name for name in names if not simulation.task(name)["run"]]:
            reserved = [
                name for name in waiting if reasons(simulation, name, "is reserved")
            ]
            max_reserved = max(max_reserved, len(reserved))
            assert simulation.clock.now_ms() < start_ms + 12_000
            await simulation.clock.sleep_ms(10)
        assert max_reserved == min(large_count, 2)
        assert "queued" in simulation.states("late-1")

    run_task_scenario(scenario)


def test_task_that_waited_ten_minutes_starts_before_newer_urgent_tasks() -> None:
    """Guards against starvation of a task by urgent tasks."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, "urgent-0", urgent=True, cores=32.0, run_ms=12_000)
        await simulation.until_state("running", "urgent-0")
        await submit(owner, "old", cores=32.0, run_ms=5_000)
        start_ms = simulation.clock.now_ms()
        for number in range(1, 80):
            name = f"urgent-{number}"
            await submit(owner, name, urgent=True, cores=32.0, run_ms=12_000)
            await simulation.clock.sleep_ms(10_000)
            is_waiting = simulation.clock.now_ms() - start_ms < 600_000
            assert not (is_waiting and simulation.task("old")["run"])
        assert simulation.states("old") == ["done"]
        assert simulation.task("old")["evictions"] == 0

    run_task_scenario(scenario, workers=1)


@pytest.mark.parametrize(
    ("urgent", "quota", "fault", "evicted"),
    [(1, None, "", 1), (1, 1, "", 1), (3, 2, "", 2), (10, None, "", 6)]
    + [(1, None, "outage", 0), (1, None, "requests", 1)],
)
def test_urgent_task_without_a_slot_evicts_the_task_with_least_lost_work(
    urgent: int, quota: int | None, fault: str, evicted: int
) -> None:
    """Guards against urgent tasks that wait for batch tasks, and excess evictions."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        if quota is not None:
            owner.quotas["crew"] = quota
        await submit(owner, "old", tasks=11, run_ms=300_000)
        await simulation.clock.sleep_ms(5_000)
        await submit(owner, "young", run_ms=300_000)
        await simulation.clock.sleep_ms(5_000)
        request_worker = (
            simulation.task("young")["worker"] if fault == "requests" else ""
        )
        for run_id in ("request-1", "request-2"):
            owner.slots.allocate_slot(request_worker, run_id, is_task=False)
        fields = {"team": "crew", "urgent": True, "run_ms": 100_000}
        await submit(owner, "booking", tasks=urgent, **fields)
        owner.service.down = fault == "outage"
        await simulation.clock.sleep_ms(900)
        assert not simulation.fleet.audit.evicted
        await simulation.clock.sleep_ms(1_100)
        assert (simulation.task("booking")["state"] == "running") == (evicted > 0)
        await simulation.clock.sleep_ms(8_000)
        assert sum(simulation.fleet.audit.evicted.values()) == evicted
        owner.service.down = False
        if evicted and fault:
            assert (
                simulation.task("young")["evictions"] == 0
            ), "requests use the free slot"
        elif evicted:
            assert reasons(
                simulation, "young", "the urgent task booking/0 found no free"
            )
            assert reasons(simulation, "booking", "young/0 is evicted from")
            assert simulation.fleet.audit.lost_work_ms <= 50 * evicted
        await simulation.clock.sleep_ms(61_000)
        assert simulation.states("booking").count("running") == min(
            urgent, quota or urgent
        )

    run_task_scenario(scenario, workers=2)


def test_urgent_task_moves_to_a_free_slot_before_evicting() -> None:
    """Guards against evictions while a worker of another rack has a free slot."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit_to(owner, "kista/r1", "round", tasks=6, run_ms=60_000)
        await simulation.until_state("running", "round")
        await submit_to(owner, "kista/r1", "booking", urgent=True)
        await simulation.clock.sleep_ms(2_000)
        assert reasons(simulation, "booking", "moved from kista/r1")
        assert simulation.task("booking")["run"] == 1
        assert not simulation.fleet.audit.evicted

    run_task_scenario(scenario, workers=9)


def test_task_does_not_move_to_free_slots_without_enough_resources() -> None:
    """Guards against a large task that two racks move back and forth forever."""

    async def scenario(simulation: TaskSimulation, owner: TaskInstance) -> None:
        await submit(owner, "early", kind="long", cores=20.0, tasks=9, run_ms=100_000)
        await submit(owner, "large", kind="round", cores=32.0)
        for number in range(45):
            for shard in simulation.shards:
                await submit_to(owner, shard, f"late-{number}-{shard[-1]}", run_ms=500)
            await simulation.clock.sleep_ms(950)
        assert reasons(simulation, "large", "is reserved")

    run_task_scenario(scenario, workers=9)

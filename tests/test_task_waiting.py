"""Tasks that wait: reservations, precedence, and evictions for urgent tasks."""

import pytest

from .task_simulation import Instance, TaskSimulation
from .test_tasks import run_task_scenario, submit
from .test_team_quotas import submit_to


def reasons(world: TaskSimulation, job: str, says: str) -> list[str]:
    texts = [item["text"] for item in world.task(job)["reasons"]]
    return [text for text in texts if says in text]


@pytest.mark.parametrize("large", [1, 3])
def test_task_that_only_smaller_ones_pass_reserves_a_worker(large: int) -> None:
    """Guards against starvation of large tasks, and a rack that is all reserved."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        # The ends are spread, so that a worker is never empty by itself.
        for number in range(24):
            await submit(one, f"early-{number}", cores=5.0, run_ms=2_000 + 120 * number)
        await world.until(lambda: "queued" not in world.states(""))
        names = [f"large-{number}" for number in range(large)]
        for name in names:
            await submit(one, name, kind="round", cores=32.0, run_ms=1_000)
        for number in range(2):
            await submit(one, f"late-{number}", tasks=200, cores=5.0, run_ms=3_000)
        await world.clock.sleep_ms(29_000)
        assert {world.task(name)["run"] for name in names} == {0}
        assert not any(reasons(world, name, "is reserved") for name in names)
        most, begun_ms = 0, world.clock.now_ms()
        while waiting := [name for name in names if not world.task(name)["run"]]:
            reserved = [name for name in waiting if reasons(world, name, "is reserved")]
            most = max(most, len(reserved))
            assert world.clock.now_ms() < begun_ms + 12_000
            await world.clock.sleep_ms(10)
        assert most == min(large, 2)
        assert "queued" in world.states("late-1")

    run_task_scenario(story)


def test_task_that_waited_ten_minutes_starts_before_newer_urgent_ones() -> None:
    """Guards against a task that urgent ones keep from running for ever."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, "urgent-0", urgent=True, cores=32.0, run_ms=12_000)
        await world.until_state("running", "urgent-0")
        await submit(one, "old", cores=32.0, run_ms=5_000)
        begun_ms = world.clock.now_ms()
        for number in range(1, 80):
            name = f"urgent-{number}"
            await submit(one, name, urgent=True, cores=32.0, run_ms=12_000)
            await world.clock.sleep_ms(10_000)
            waits = world.clock.now_ms() - begun_ms < 600_000
            assert not (waits and world.task("old")["run"])
        assert world.states("old") == ["done"]
        assert world.task("old")["evictions"] == 0

    run_task_scenario(story, workers=1)


@pytest.mark.parametrize(
    ("urgent", "quota", "fault", "evicted"),
    [(1, None, "", 1), (1, 1, "", 1), (3, 2, "", 2), (10, None, "", 6)]
    + [(1, None, "outage", 0), (1, None, "requests", 1)],
)
def test_urgent_task_without_a_slot_evicts_the_task_that_loses_least(
    urgent: int, quota: int | None, fault: str, evicted: int
) -> None:
    """Guards against urgent work that waits for a batch, and against many evictions."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        if quota is not None:
            one.quotas["crew"] = quota
        await submit(one, "old", tasks=11, run_ms=300_000)
        await world.clock.sleep_ms(5_000)
        await submit(one, "young", run_ms=300_000)
        await world.clock.sleep_ms(5_000)
        busy = world.task("young")["worker"] if fault == "requests" else ""
        for run_id in ("request-1", "request-2"):
            one.slots.allocate_slot(busy, run_id, is_task=False)
        fields = {"team": "crew", "urgent": True, "run_ms": 100_000}
        await submit(one, "booking", tasks=urgent, **fields)
        one.service.down = fault == "outage"
        await world.clock.sleep_ms(900)
        assert not world.fleet.audit.evicted
        await world.clock.sleep_ms(1_100)
        assert (world.task("booking")["state"] == "running") == (evicted > 0)
        await world.clock.sleep_ms(8_000)
        assert sum(world.fleet.audit.evicted.values()) == evicted
        one.service.down = False
        if evicted and fault:
            assert world.task("young")["evictions"] == 0, "requests use the free slot"
        elif evicted:
            assert reasons(world, "young", "the urgent task booking/0 found no free")
            assert reasons(world, "booking", "young/0 is evicted from")
            assert world.fleet.audit.lost_work_ms <= 50 * evicted
        await world.clock.sleep_ms(61_000)
        assert world.states("booking").count("running") == min(urgent, quota or urgent)

    run_task_scenario(story, workers=2)


def test_urgent_task_moves_to_a_free_slot_before_one_is_evicted() -> None:
    """Guards against evictions where a worker of another rack is idle."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit_to(one, "kista/r1", "round", tasks=6, run_ms=60_000)
        await world.until_state("running", "round")
        await submit_to(one, "kista/r1", "booking", urgent=True)
        await world.clock.sleep_ms(2_000)
        assert reasons(world, "booking", "moved from kista/r1")
        assert world.task("booking")["run"] == 1
        assert not world.fleet.audit.evicted

    run_task_scenario(story, workers=9)


def test_free_slots_without_room_keep_no_task_moving() -> None:
    """Guards against a large task that two racks pass to and fro for ever."""

    async def story(world: TaskSimulation, one: Instance) -> None:
        await submit(one, "early", kind="long", cores=20.0, tasks=9, run_ms=100_000)
        await submit(one, "large", kind="round", cores=32.0)
        for number in range(45):
            for shard in world.shards:
                await submit_to(one, shard, f"late-{number}-{shard[-1]}", run_ms=500)
            await world.clock.sleep_ms(950)
        assert reasons(world, "large", "is reserved")

    run_task_scenario(story, workers=9)

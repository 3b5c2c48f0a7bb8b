"""Random operations and faults with two owners in turn, judged at the workers."""

import asyncio
from typing import Any, NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .builders import build_job
from .task_simulation import SHARD, TaskInstance, TaskSimulation
from .virtual_time import run_virtual

TARGET, SOURCE = SHARD, "kista/r1"
JOBS = ("job-a", "job-b", "job-c")
SETTLE_MS = 400_000


class Step(NamedTuple):
    """One operation or fault, and the pause after it."""

    name: str
    target: int
    pause_ms: int


STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(
            [
                "submit",
                "submit",
                "cancel",
                "evict",
                "take_over",
                "store_down",
                "lose_replies",
                "store_up",
                "kill",
                "restart",
                "freeze",
                "resume",
                "cut",
                "leave",
                "fail_all",
            ]
        ),
        st.integers(0, 5),
        st.sampled_from([0, 1, 20, 60, 300, 2_000, 20_000]),
    ),
    max_size=25,
)


class TaskEndModel:
    """Model without faults, which gives the allowed final states of each job.

    At most two of the six workers fail or leave, so no task may be held.
    """

    def __init__(self) -> None:
        self.cancelled: set[str] = set()

    def allowed_states(self, job: str) -> set[str]:
        """Return the final states that the tasks of a job may have."""
        return {"done", "cancelled"} if job in self.cancelled else {"done"}


class Story:
    """Applies steps to a simulation with two instances, and to the model."""

    def __init__(self, world: TaskSimulation, instances: list[TaskInstance]) -> None:
        self.simulation = world
        self.instances = instances
        self.owner = 0
        self.model = TaskEndModel()
        self.operations: list[asyncio.Task[object]] = []

    async def apply(self, step: Step) -> None:
        operation = getattr(self, step.name)
        self.operations.append(asyncio.create_task(operation(step.target)))
        await self.simulation.clock.sleep_ms(step.pause_ms)

    def choose_instance(self, target: int) -> TaskInstance:
        return self.instances[target % 2]

    def worker_id(self, target: int) -> str:
        return self.simulation.fleet_workers[target].worker_id

    async def submit(self, target: int) -> None:
        spec = build_job(
            JOBS[target % 3], tasks=4, run_ms=[80, 1_500, 9_000][target % 3]
        )
        await self.choose_instance(target).api.submit(spec, "buyer")

    async def cancel(self, target: int) -> None:
        job = JOBS[target % 3]
        self.model.cancelled.add(job)
        await self.choose_instance(target).api.cancel(job)

    async def evict(self, target: int) -> None:
        for instance in self.instances:
            await instance.keeper.evict(f"{JOBS[target % 3]}/{target % 4}", "a test")

    async def take_over(self, target: int) -> None:
        self.owner = 1 - self.owner
        await self.instances[self.owner].gain(SHARD)

    async def store_down(self, target: int) -> None:
        for instance in self.instances:
            instance.service.down = True

    async def lose_replies(self, target: int) -> None:
        for instance in self.instances:
            instance.service.lost_reply_share = 0.5

    async def store_up(self, target: int) -> None:
        for instance in self.instances:
            instance.service.down = False
            instance.service.lost_reply_share = 0.0

    async def kill(self, target: int) -> None:
        await self.resume(target)
        self.simulation.fleet.kill(self.worker_id(target))

    async def restart(self, target: int) -> None:
        await self.resume(target)
        self.simulation.fleet.restart(self.worker_id(target))

    async def freeze(self, target: int) -> None:
        if self.worker_id(target) not in self.simulation.fleet.frozen:
            self.simulation.fleet.freeze(self.worker_id(target))

    async def resume(self, target: int) -> None:
        if self.worker_id(target) in self.simulation.fleet.frozen:
            self.simulation.fleet.resume(self.worker_id(target))

    async def cut(self, target: int) -> None:
        instance = self.choose_instance(target)
        instance.client.cut ^= {self.worker_id(target)}

    async def leave(self, target: int) -> None:
        if target < 2:
            self.simulation.show_leaving(self.worker_id(target))

    async def fail_all(self, target: int) -> None:
        if target < 2:
            self.simulation.fleet.workers[self.worker_id(target)].fails_everything = (
                True
            )

    async def heal(self) -> None:
        """End all faults, except that workers that leave or fail continue to do so."""
        await self.store_up(0)
        for target, worker in enumerate(self.simulation.fleet_workers):
            await self.resume(target)
            if worker.worker_id in self.simulation.fleet.dead:
                self.simulation.fleet.restart(worker.worker_id)
        for instance in self.instances:
            instance.client.cut.clear()
        await asyncio.wait_for(asyncio.gather(*self.operations), SETTLE_MS / 1_000)

    def accepted_jobs(self) -> list[str]:
        return [job for job in JOBS if self.simulation.table.read(f"jobs/{job}")]

    def is_settled(self) -> bool:
        return all(
            set(self.simulation.states(job)) <= self.model.allowed_states(job)
            for job in self.accepted_jobs()
        )

    def judge(self) -> None:
        self.simulation.check_guarantees()
        done = self.simulation.fleet.audit.tasks_done
        for job in self.accepted_jobs():
            for number in range(4):
                row = self.simulation.task(job, number)
                assert row["state"] in self.model.allowed_states(job), row
                assert done[f"{job}/{number}"] == (row["state"] == "done"), row


@settings(
    max_examples=120,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(STEPS)
def test_every_accepted_task_ends_exactly_once(steps: list[Step]) -> None:
    """Guards against tasks that are lost, doubled or stuck under combined faults."""

    async def run() -> None:
        world = TaskSimulation(workers=6)
        story = Story(world, [await world.instance(), await world.instance("two")])
        await story.instances[0].gain(SHARD)
        for step in steps:
            await story.apply(step)
        await story.heal()
        await world.until(story.is_settled, SETTLE_MS)
        story.judge()

    run_virtual(run())


class MoveFault(NamedTuple):
    """Fault while a task is moved to another rack; ``taken_over`` lists the shards."""

    name: str
    taken_over: tuple[str, ...]


MOVE_FAULTS = [
    MoveFault("takeover of the source", (SOURCE,)),
    MoveFault("takeover of the target", (TARGET,)),
    MoveFault("takeover of both", (SOURCE, TARGET)),
    MoveFault("lost reply", ()),
    MoveFault("outage after the write", ()),
]


@pytest.mark.parametrize("fault", MOVE_FAULTS, ids=lambda fault: fault.name)
@pytest.mark.parametrize("after_ms", [0, 2, 20, 45, 47, 48, 49, 50, 51, 53, 60])
def test_move_survives_a_fault_in_progress(fault: MoveFault, after_ms: int) -> None:
    """Guards against a moved task that belongs to two shards, or to none.

    The commit of the move is sent within 50 ms. The table applies it 2 ms later, and
    the reply takes another 2 ms.
    """

    async def run() -> None:
        world = TaskSimulation(workers=9)
        names = ("one", "two", "three")
        source_owner, target_owner, successor = [
            await world.instance(name) for name in names
        ]
        await source_owner.gain(SOURCE)
        await target_owner.gain(TARGET)
        source_owner.full_shards = {TARGET}
        for name, tasks, run_ms in (("filler", 6, 60_000), ("moved", 3, 500)):
            spec = build_job(name, tasks=tasks, run_ms=run_ms)
            assert (await source_owner.api.submit(spec, "buyer")).is_ok()
        source_owner.full_shards = set()
        await watch_for_move(source_owner).wait()
        await world.clock.sleep_ms(after_ms)
        if fault.name == "lost reply":
            source_owner.service.lost_reply_share = 1.0
        elif fault.name == "outage after the write":
            source_owner.service.lost_reply_share = 1.0
            await world.clock.sleep_ms(5)
            source_owner.service.down = True
        if fault.taken_over:
            await successor.gain(*fault.taken_over)
        await world.clock.sleep_ms(3_000)
        source_owner.service.lost_reply_share, source_owner.service.down = 0.0, False
        await world.until(lambda: set(world.states("moved")) == {"done"})
        done = world.fleet.audit.tasks_done
        assert [done[f"moved/{number}"] for number in range(3)] == [1, 1, 1]
        assert world.task("moved")["shard"] == TARGET
        world.check_guarantees()

    run_virtual(run())


def watch_for_move(instance: TaskInstance) -> asyncio.Event:
    """Return an event that is set when the instance commits the move of a task."""
    move_started = asyncio.Event()
    original = instance.commits.commit

    async def commit(shard: str, epoch: int, operations: Any) -> Any:
        if any(op.key.startswith(f"queue/{TARGET}") for op in operations):
            move_started.set()
        return await original(shard, epoch, operations)

    instance.commits.commit = commit  # type: ignore[method-assign]
    return move_started

"""Random operations and faults with two owners in turn, judged at the workers."""

import asyncio
from typing import Any, NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .builders import build_job
from .task_simulation import SHARD, Instance, TaskSimulation
from .virtual_time import run_virtual

TARGET, SOURCE = SHARD, "kista/r1"
JOBS = ("job-a", "job-b", "job-c")
SETTLE_MS = 400_000


class Step(NamedTuple):
    """Hold one operation or fault, and the pause after it."""

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


class NaiveLife:
    """Run the same jobs in one process without faults: what must come out.

    At most two of the six workers fail or leave, so no task may be held.
    """

    def __init__(self) -> None:
        self.cancelled: set[str] = set()

    def ends_of(self, job: str) -> set[str]:
        """Return the ends that a task of the job may have."""
        return {"done", "cancelled"} if job in self.cancelled else {"done"}


class Story:
    """Apply steps to a world with two instances, and to the naive life cycle."""

    def __init__(self, world: TaskSimulation, instances: list[Instance]) -> None:
        self.world = world
        self.instances = instances
        self.owner = 0
        self.naive = NaiveLife()
        self.acts: list[asyncio.Task[object]] = []

    async def apply(self, step: Step) -> None:
        act = getattr(self, step.name)
        self.acts.append(asyncio.create_task(act(step.target)))
        await self.world.clock.sleep_ms(step.pause_ms)

    def any_instance(self, target: int) -> Instance:
        return self.instances[target % 2]

    def worker_id(self, target: int) -> str:
        return self.world.fleet_workers[target].worker_id

    async def submit(self, target: int) -> None:
        spec = build_job(
            JOBS[target % 3], tasks=4, run_ms=[80, 1_500, 9_000][target % 3]
        )
        await self.any_instance(target).api.submit(spec, "buyer")

    async def cancel(self, target: int) -> None:
        job = JOBS[target % 3]
        self.naive.cancelled.add(job)
        await self.any_instance(target).api.cancel(job)

    async def evict(self, target: int) -> None:
        for one in self.instances:
            await one.keeper.evict(f"{JOBS[target % 3]}/{target % 4}", "a test")

    async def take_over(self, target: int) -> None:
        self.owner = 1 - self.owner
        await self.instances[self.owner].gain(SHARD)

    async def store_down(self, target: int) -> None:
        for one in self.instances:
            one.service.down = True

    async def lose_replies(self, target: int) -> None:
        for one in self.instances:
            one.service.lost_reply_share = 0.5

    async def store_up(self, target: int) -> None:
        for one in self.instances:
            one.service.down = False
            one.service.lost_reply_share = 0.0

    async def kill(self, target: int) -> None:
        await self.resume(target)
        self.world.fleet.kill(self.worker_id(target))

    async def restart(self, target: int) -> None:
        await self.resume(target)
        self.world.fleet.restart(self.worker_id(target))

    async def freeze(self, target: int) -> None:
        if self.worker_id(target) not in self.world.fleet.frozen:
            self.world.fleet.freeze(self.worker_id(target))

    async def resume(self, target: int) -> None:
        if self.worker_id(target) in self.world.fleet.frozen:
            self.world.fleet.resume(self.worker_id(target))

    async def cut(self, target: int) -> None:
        one = self.any_instance(target)
        one.client.cut ^= {self.worker_id(target)}

    async def leave(self, target: int) -> None:
        if target < 2:
            self.world.show_leaving(self.worker_id(target))

    async def fail_all(self, target: int) -> None:
        if target < 2:
            self.world.fleet.workers[self.worker_id(target)].fails_everything = True

    async def heal(self) -> None:
        """End all faults; a worker that leaves or fails stays so."""
        await self.store_up(0)
        for target, machine in enumerate(self.world.fleet_workers):
            await self.resume(target)
            if machine.worker_id in self.world.fleet.dead:
                self.world.fleet.restart(machine.worker_id)
        for one in self.instances:
            one.client.cut.clear()
        await asyncio.wait_for(asyncio.gather(*self.acts), SETTLE_MS / 1_000)

    def accepted(self) -> list[str]:
        return [job for job in JOBS if self.world.table.read(f"jobs/{job}")]

    def is_settled(self) -> bool:
        return all(
            set(self.world.states(job)) <= self.naive.ends_of(job)
            for job in self.accepted()
        )

    def judge(self) -> None:
        self.world.check_guarantees()
        done = self.world.fleet.audit.tasks_done
        for job in self.accepted():
            for number in range(4):
                row = self.world.task(job, number)
                assert row["state"] in self.naive.ends_of(job), row
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
    """Hold what happens while a task is moved to another rack."""

    name: str
    taken: tuple[str, ...]


MOVE_FAULTS = [
    MoveFault("takeover of the source", (SOURCE,)),
    MoveFault("takeover of the target", (TARGET,)),
    MoveFault("takeover of both", (SOURCE, TARGET)),
    MoveFault("lost reply", ()),
    MoveFault("outage after the write", ()),
]


@pytest.mark.parametrize("fault", MOVE_FAULTS, ids=lambda fault: fault.name)
@pytest.mark.parametrize("after_ms", [0, 2, 20, 45, 47, 48, 49, 50, 51, 53, 60])
def test_move_survives_a_fault_in_its_middle(fault: MoveFault, after_ms: int) -> None:
    """Guards against a moved task that two shards hold, or none.

    The move is written within 50 ms; the table applies it 2 ms later, and the reply
    takes 2 ms more.
    """

    async def run() -> None:
        world = TaskSimulation(workers=9)
        names = ("one", "two", "three")
        one, two, three = [await world.instance(name) for name in names]
        await one.gain(SOURCE)
        await two.gain(TARGET)
        one.full_shards = {TARGET}
        for name, tasks, run_ms in (("filler", 6, 60_000), ("moved", 3, 500)):
            spec = build_job(name, tasks=tasks, run_ms=run_ms)
            assert (await one.api.submit(spec, "buyer")).is_ok()
        one.full_shards = set()
        await moving(one).wait()
        await world.clock.sleep_ms(after_ms)
        if fault.name == "lost reply":
            one.service.lost_reply_share = 1.0
        elif fault.name == "outage after the write":
            one.service.lost_reply_share = 1.0
            await world.clock.sleep_ms(5)
            one.service.down = True
        if fault.taken:
            await three.gain(*fault.taken)
        await world.clock.sleep_ms(3_000)
        one.service.lost_reply_share, one.service.down = 0.0, False
        await world.until(lambda: set(world.states("moved")) == {"done"})
        done = world.fleet.audit.tasks_done
        assert [done[f"moved/{number}"] for number in range(3)] == [1, 1, 1]
        assert world.task("moved")["shard"] == TARGET
        world.check_guarantees()

    run_virtual(run())


def moving(one: Instance) -> asyncio.Event:
    """Return an event that is set when the instance begins to write a move."""
    begun = asyncio.Event()
    original = one.commits.commit

    async def commit(shard: str, epoch: int, operations: Any) -> Any:
        if any(op.key.startswith(f"queue/{TARGET}") for op in operations):
            begun.set()
        return await original(shard, epoch, operations)

    one.commits.commit = commit  # type: ignore[method-assign]
    return begun

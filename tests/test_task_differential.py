"""Task life cycle compared with a naive one in a single process, step by step."""

from collections.abc import Iterator
from typing import NamedTuple

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from hyssopweir.task_rows import LIVE_STATES
from tests.builders import build_job
from tests.task_simulation import Instance, TaskSimulation
from tests.virtual_time import run_virtual

RUN_MS = 40_000
SETTLE_MS = 4_000
FINISH_MS = 2 * RUN_MS
JOBS = ("round-a", "round-b")
TASKS = 3
TAKEN_OVER = "take over"
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["evict", "evict", "cancel", "restart", TAKEN_OVER]),
        st.sampled_from(JOBS),
        st.integers(0, TASKS - 1),
    ),
    min_size=3,
    max_size=7,
)


class State(NamedTuple):
    """Hold what a caller can see of a task."""

    state: str
    run: int
    evictions: int


class NaiveTasks:
    """Apply each operation at once, in one process that never fails."""

    def __init__(self) -> None:
        self.tasks: dict[str, State] = {}

    def submit(self, job: str) -> None:
        for n in range(TASKS):
            self.tasks.setdefault(f"{job}/{n}", State("running", 1, 0))

    def evict(self, task_id: str) -> None:
        task = self.tasks.get(task_id)
        if task is not None and task.state == "running":
            self.tasks[task_id] = State("running", task.run + 1, task.evictions + 1)

    def cancel(self, job: str) -> None:
        for task_id in self._running(job):
            self.tasks[task_id] = self.tasks[task_id]._replace(state="cancelled")

    def restart(self, on_worker: list[str]) -> None:
        for task_id in on_worker:
            task = self.tasks[task_id]
            self.tasks[task_id] = task._replace(run=task.run + 1)

    def finish(self) -> None:
        for task_id in self._running(""):
            self.tasks[task_id] = self.tasks[task_id]._replace(state="done")

    def _running(self, job: str) -> Iterator[str]:
        for task_id, task in list(self.tasks.items()):
            if task_id.startswith(job) and task.state == "running":
                yield task_id


class Product:
    """Apply the operations to the real life cycle; each settles before the next."""

    def __init__(self, world: TaskSimulation, owner: Instance) -> None:
        self.world = world
        self.owner = owner
        self.owners = 1

    async def apply(self, name: str, job: str, n: int) -> list[str]:
        """Return the tasks that ran on the worker, for a restart."""
        on_worker: list[str] = []
        if name == "evict":
            await self.owner.keeper.evict(f"{job}/{n}", "a test")
        elif name == "cancel":
            await self.owner.api.cancel(job)
        elif name == "restart":
            on_worker = self._restart_worker(n)
        else:
            self.owners += 1
            self.owner = await self.world.instance(f"owner-{self.owners}")
            await self.owner.gain()
        await self.world.clock.sleep_ms(SETTLE_MS)
        return on_worker

    def _restart_worker(self, number: int) -> list[str]:
        worker_id = self.world.fleet_workers[number].worker_id
        on_worker = [
            f"{row.value['job']}/{row.value['n']}"
            for row in self.world.table.scan("tasks/", "", 1_000)
            if row.value["worker"] == worker_id and row.value["state"] in LIVE_STATES
        ]
        self.world.fleet.restart(worker_id)
        return on_worker

    def states(self) -> dict[str, State]:
        rows = self.world.table.scan("tasks/", "", 1_000)
        return {
            f"{row.value['job']}/{row.value['n']}": State(
                row.value["state"], row.value["run"], row.value["evictions"]
            )
            for row in rows
        }


@given(operations=OPERATIONS)
@settings(
    derandomize=True,
    max_examples=15,
    deadline=None,
    # Shrinking would take minutes; the assertion names the step that differs.
    phases=(Phase.generate,),
)
def test_life_cycle_agrees_with_a_naive_one(
    operations: list[tuple[str, str, int]],
) -> None:
    """Guards against a run, an eviction or an end too many or too few."""

    async def main() -> None:
        world = TaskSimulation(workers=4)
        one = await world.instance()
        await one.gain()
        product, naive = Product(world, one), NaiveTasks()
        for job in JOBS:
            spec = build_job(job, tasks=TASKS, run_ms=RUN_MS)
            await one.api.submit(spec, "caller")
            naive.submit(job)
        await world.clock.sleep_ms(SETTLE_MS)
        for name, job, n in operations:
            on_worker = await product.apply(name, job, n)
            if name == "evict":
                naive.evict(f"{job}/{n}")
            elif name == "cancel":
                naive.cancel(job)
            elif name == "restart":
                naive.restart(on_worker)
            assert product.states() == naive.tasks, (name, job, n)
        await world.clock.sleep_ms(FINISH_MS)
        naive.finish()
        assert product.states() == naive.tasks
        world.check_guarantees()

    run_virtual(main())

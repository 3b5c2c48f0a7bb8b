"""Differential test of the task life cycle against a model in a single process."""

from collections.abc import Iterator
from typing import NamedTuple

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from hyssopweir.task_rows import LIVE_STATES
from tests.builders import build_job
from tests.task_simulation import TaskInstance, TaskSimulation
from tests.virtual_time import run_virtual

TASK_RUN_MS = 40_000
SETTLE_MS = 4_000
FINISH_MS = 2 * TASK_RUN_MS
JOBS = ("round-a", "round-b")
TASKS = 3
TAKE_OVER = "take over"
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["evict", "evict", "cancel", "restart", TAKE_OVER]),
        st.sampled_from(JOBS),
        st.integers(0, TASKS - 1),
    ),
    min_size=3,
    max_size=7,
)


class TaskView(NamedTuple):
    """State of a task that a caller can see."""

    state: str
    run: int
    evictions: int


class TaskModel:
    """Model that applies each operation at once, in a single process without faults."""

    def __init__(self) -> None:
        self.tasks: dict[str, TaskView] = {}

    def submit(self, job: str) -> None:
        for n in range(TASKS):
            self.tasks.setdefault(f"{job}/{n}", TaskView("running", 1, 0))

    def evict(self, task_id: str) -> None:
        task = self.tasks.get(task_id)
        if task is not None and task.state == "running":
            self.tasks[task_id] = TaskView("running", task.run + 1, task.evictions + 1)

    def cancel(self, job: str) -> None:
        for task_id in self._running_tasks(job):
            self.tasks[task_id] = self.tasks[task_id]._replace(state="cancelled")

    def restart(self, worker_tasks: list[str]) -> None:
        for task_id in worker_tasks:
            task = self.tasks[task_id]
            self.tasks[task_id] = task._replace(run=task.run + 1)

    def finish(self) -> None:
        for task_id in self._running_tasks(""):
            self.tasks[task_id] = self.tasks[task_id]._replace(state="done")

    def _running_tasks(self, job: str) -> Iterator[str]:
        for task_id, task in list(self.tasks.items()):
            if task_id.startswith(job) and task.state == "running":
                yield task_id


class SystemUnderTest:
    """Adapter of the product, which completes each operation before the next."""

    def __init__(self, simulation: TaskSimulation, owner: TaskInstance) -> None:
        self.simulation = simulation
        self.owner = owner
        self.owner_count = 1

    async def apply(self, operation: str, job: str, n: int) -> list[str]:
        """Apply an operation; return the tasks that ran on a restarted worker."""
        worker_tasks: list[str] = []
        if operation == "evict":
            await self.owner.keeper.evict(f"{job}/{n}", "a test")
        elif operation == "cancel":
            await self.owner.api.cancel(job)
        elif operation == "restart":
            worker_tasks = self._restart_worker(n)
        else:
            self.owner_count += 1
            self.owner = await self.simulation.instance(f"owner-{self.owner_count}")
            await self.owner.gain()
        await self.simulation.clock.sleep_ms(SETTLE_MS)
        return worker_tasks

    def _restart_worker(self, number: int) -> list[str]:
        worker_id = self.simulation.fleet_workers[number].worker_id
        worker_tasks = [
            f"{row.value['job']}/{row.value['n']}"
            for row in self.simulation.table.scan("tasks/", "", 1_000)
            if row.value["worker"] == worker_id and row.value["state"] in LIVE_STATES
        ]
        self.simulation.fleet.restart(worker_id)
        return worker_tasks

    def states(self) -> dict[str, TaskView]:
        rows = self.simulation.table.scan("tasks/", "", 1_000)
        return {
            f"{row.value['job']}/{row.value['n']}": TaskView(
                row.value["state"], row.value["run"], row.value["evictions"]
            )
            for row in rows
        }


@given(operations=OPERATIONS)
@settings(
    derandomize=True,
    max_examples=15,
    deadline=None,
    # Shrinking would take minutes, and the assertion shows the operation after which
    # the states differ.
    phases=(Phase.generate,),
)
def test_life_cycle_agrees_with_the_model(
    operations: list[tuple[str, str, int]],
) -> None:
    """Guards against extra or missing runs, evictions and task ends."""

    async def main() -> None:
        simulation = TaskSimulation(workers=4)
        owner = await simulation.instance()
        await owner.gain()
        system, model = SystemUnderTest(simulation, owner), TaskModel()
        for job in JOBS:
            spec = build_job(job, tasks=TASKS, run_ms=TASK_RUN_MS)
            await owner.api.submit(spec, "caller")
            model.submit(job)
        await simulation.clock.sleep_ms(SETTLE_MS)
        for operation, job, n in operations:
            worker_tasks = await system.apply(operation, job, n)
            if operation == "evict":
                model.evict(f"{job}/{n}")
            elif operation == "cancel":
                model.cancel(job)
            elif operation == "restart":
                model.restart(worker_tasks)
            assert system.states() == model.tasks, (operation, job, n)
        await simulation.clock.sleep_ms(FINISH_MS)
        model.finish()
        assert system.states() == model.tasks
        simulation.check_guarantees()

    run_virtual(main())

"""Instances, workers and a store in memory and in virtual time."""

import asyncio
from collections.abc import Mapping
from typing import Any

from result import Ok, Result

from hyssopweir.agents import WorkerEntry, WorkerState
from hyssopweir.cell import HostSettings
from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_host import CellHost
from hyssopweir.cell_layout import CellLayout
from hyssopweir.codes import Failure
from hyssopweir.events import EventLog
from hyssopweir.resources import Resources
from hyssopweir.workflow_api import WorkflowApi
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step, Workflow
from tests.agent_fakes import FakeAgent, FakeWorker, Workload
from tests.row_fakes import FakeRowStore, MemoryRows, RowFaults
from tests.virtual_time import VirtualClock

WRITES_PER_SECOND = 600.0
PATIENCE_MS = 3_000
LISTING_MS = 200
ADVANCE_MS = 10
WATCH_MS = 300


def build_entry(number: int = 0, **fields: Any) -> WorkerEntry:
    defaults: dict[str, Any] = {
        "worker_id": f"w{number}",
        "host": "10.0.0.1",
        "port": 9_000 + number,
        "service": "price-check",
        "data_centre": "kista",
        "room": Resources(8_000, 32_000, 0),
        "labels": frozenset({"a", f"r{number // 8}"}),
        "state": WorkerState.READY,
    }
    return WorkerEntry(**{**defaults, **fields})


def build_step(tasks: int = 4, **fields: Any) -> Step:
    defaults: dict[str, Any] = {"room": Resources(2_000, 1_000), "estimated_ms": 500}
    return Step(tasks, **{**defaults, **fields})


def build_workflow(job: str, *steps: Step, **fields: Any) -> Workflow:
    defaults: dict[str, Any] = {
        "queue": "offers",
        "service": "price-check",
        "payload": "menu",
        "steps": steps or (build_step(), build_step(after=(0,))),
        "most_failures": 3,
        "stretch": 2.0,
        "slack_ms": 1_000,
    }
    return Workflow(job=job, **{**defaults, **fields})


class Listing:
    def __init__(self, workers: Mapping[str, FakeWorker], clock: VirtualClock) -> None:
        self._workers = workers
        self._clock = clock

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        await self._clock.sleep_ms(LISTING_MS)
        return Ok(
            {name: fake.entry for name, fake in self._workers.items() if fake.is_listed}
        )


class FakeInstance:
    """Run the real desk and cell host, and crash or cut them."""

    def __init__(self, world: "CellSimulation", name: str, seed: int) -> None:
        self._world = world
        self.name = name
        self.faults = RowFaults(seed)
        self.lives = 0
        self.agent = FakeAgent(world.workers, world.clock, seed)
        self._tasks: list[asyncio.Task[None]] = []
        self.start()

    def start(self) -> None:
        self.lives += 1
        store = FakeRowStore(self._world.rows, self._world.clock, self.faults)
        log = EventLog(self.name, "kista", self._world.clock)
        log.subscribe(self._world.records.append)
        self.desk = WorkflowApi(store, self._world.clock, log)
        life = f"{self.name}-{self.lives}"
        self.host = CellHost(
            HostSettings(self.name, life, 120_000, WRITES_PER_SECOND),
            store,
            self.agent,
            lambda: Listing(self._world.workers, self._world.clock),
            self._world.clock,
            log,
        )
        beats = CellHeartbeats(
            store,
            self._world.clock,
            self._world.layout.size,
            self.desk.record_store_reply,
        )
        self.desk.open(self._world.layout, beats)
        loop = asyncio.get_running_loop()
        watch = self._watch_configuration(store)
        self._tasks = [
            loop.create_task(self.host.run(self._world.layout, beats)),
            loop.create_task(watch),
        ]

    async def _watch_configuration(self, store: FakeRowStore) -> None:
        """Ask the store now and then, as an instance does for its configuration."""
        while True:
            reply = await store.watch("op", 0, WATCH_MS, 2 * WATCH_MS)
            if isinstance(reply, Ok):
                self.desk.record_store_reply()
            await self._world.clock.sleep_ms(10)

    async def crash(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    @property
    def owns(self) -> bool:
        return bool(self.host.owned)

    def set_cut(self, is_cut: bool) -> None:
        self.faults.is_silent = is_cut
        self.agent.is_cut = is_cut


class CellSimulation:
    """Hold everything that a test of a cell needs."""

    def __init__(
        self, workers: int = 4, instances: int = 3, seed: int = 0, cells: int = 1
    ) -> None:
        self.clock = VirtualClock()
        self.rows = MemoryRows()
        self.work = Workload(seed)
        self.records: list[Any] = []
        self.workers: dict[str, FakeWorker] = {}
        self.layout = CellLayout(1)
        for number in range(workers):
            self.add_worker(build_entry(number, rack=f"r{number % cells}"))
        if cells > 1:
            racks = {f"r{number}": number for number in range(cells)}
            self.layout = CellLayout(cells, racks)
        self.instances = [
            FakeInstance(self, f"kista-{number}", seed + number)
            for number in range(instances)
        ]

    def add_worker(self, entry: WorkerEntry) -> FakeWorker:
        worker = FakeWorker(entry, self.clock, self.work)
        self.workers[entry.worker_id] = worker
        return worker

    def know(self, workflow: Workflow) -> None:
        """Tell the workers what the tasks of a job are."""
        self.work.steps[workflow.job] = workflow.steps

    async def submit(self, workflow: Workflow, instance: int = 0) -> bool:
        self.know(workflow)
        desk = self.instances[instance].desk
        return (await desk.submit(workflow, PATIENCE_MS)).is_ok()

    async def state(self, job: str, instance: int = 0) -> WorkflowState | None:
        return (await self.instances[instance].desk.status(job, PATIENCE_MS)).unwrap()

    async def sleep_ms(self, delay_ms: int) -> None:
        """Sleep, while leases end also on workers that nobody reaches."""
        until_ms = self.clock.now_ms() + delay_ms
        while self.clock.now_ms() < until_ms:
            left_ms = until_ms - self.clock.now_ms()
            await self.clock.sleep_ms(min(left_ms, ADVANCE_MS))
            for worker in self.workers.values():
                worker.advance()

    async def until(self, job: str, state: WorkflowState, limit_ms: int) -> bool:
        """Wait until a job has a state; tell whether it came in time."""
        until_ms = self.clock.now_ms() + limit_ms
        while self.clock.now_ms() < until_ms:
            if await self.state(job) is state:
                return True
            await self.sleep_ms(50)
        return False

    def owner(self) -> FakeInstance:
        return next(instance for instance in self.instances if instance.owns)

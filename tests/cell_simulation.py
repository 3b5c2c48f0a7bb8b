"""Simulation of instances, workers and a store in memory and virtual time."""

import asyncio
from collections.abc import Collection, Mapping
from typing import Any

from result import Ok, Result

from hyssopweir.agents import WorkerEntry, WorkerState
from hyssopweir.cell import HostSettings
from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_host import CellHost
from hyssopweir.cell_layout import CellLayout, WorkerListing
from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.configuration_watch import ConfigurationWatch
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import EventLog
from hyssopweir.platform.operator_configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    parse_configuration,
)
from hyssopweir.queue_policies import QueueTable
from hyssopweir.resources import Resources
from hyssopweir.row_store import ABSENT, MAX_ROW_BYTES, Remove, RowKey, Write
from hyssopweir.workflow_api import WorkflowApi
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step, Workflow
from tests.agent_fakes import FakeAgent, FakeWorker, Workload
from tests.row_fakes import FakeRowStore, MemoryRows, RowFaults
from tests.virtual_time import VirtualClock

WRITES_PER_SECOND = 600.0
CALL_TIMEOUT_MS = 3_000
LISTING_DELAY_MS = 200
TICK_MS = 10
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


class FakeWorkerListing:
    def __init__(self, workers: Mapping[str, FakeWorker], clock: VirtualClock) -> None:
        self._workers = workers
        self._clock = clock

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        await self._clock.sleep_ms(LISTING_DELAY_MS)
        return Ok(
            {name: fake.entry for name, fake in self._workers.items() if fake.is_listed}
        )


class InstanceClock(VirtualClock):
    """Clock of one instance, whose process does not run while it is frozen."""

    def __init__(self) -> None:
        super().__init__()
        self.is_frozen = False

    async def sleep_ms(self, delay_ms: int) -> None:
        await self.wait_thawed()
        await super().sleep_ms(delay_ms)
        await self.wait_thawed()

    async def _wait(
        self, futs: Collection[asyncio.Future[Any]], timeout_ms: Millis
    ) -> None:
        await super()._wait(futs, timeout_ms)
        await self.wait_thawed()

    async def wait_thawed(self) -> None:
        while self.is_frozen:
            await super().sleep_ms(1)


class FakeInstance:
    """Runs the real workflow API and cell host, and can crash or partition them."""

    def __init__(self, simulation: "CellSimulation", name: str, seed: int) -> None:
        self._simulation = simulation
        self.name = name
        self.faults = RowFaults(seed)
        self.faults.max_value_bytes = MAX_ROW_BYTES
        self.start_count = 0
        # What the instance can carry, from its next start on; 0 is unknown.
        self.capacity = 0
        self.is_crashed = False
        self.clock = InstanceClock()
        self.agent = FakeAgent(simulation.workers, self.clock, seed)
        self._tasks: list[asyncio.Task[None]] = []
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.is_crashed = False
        store = FakeRowStore(self._simulation.rows, self.clock, self.faults)
        log = EventLog(self.name, "kista", self.clock)
        log.subscribe(self._simulation.records.append)
        self.api = WorkflowApi(store, self.clock, log)
        limit_ms = self._simulation.evacuation_limit_ms
        self.evacuations = Evacuations(self.clock, log, EVACUATION_PREFIX, limit_ms)
        life = f"{self.name}-{self.start_count}"
        self.host = CellHost(
            HostSettings(
                self.name,
                life,
                120_000,
                WRITES_PER_SECOND,
                remote_factor=self._simulation.remote_factor,
                capacity=self.capacity,
            ),
            store,
            self.agent,
            lambda: self._simulation.new_listing(store, log),
            self.clock,
            log,
            self.evacuations,
        )
        heartbeats = CellHeartbeats(
            store,
            self.clock,
            self._simulation.layout.size,
            self.api.record_store_reply,
            log,
        )
        self.api.accept_requests(self._simulation.layout, heartbeats)
        loop = asyncio.get_running_loop()
        if limit_ms is None:
            watch = self._watch_configuration(store)
        else:
            watch = self._build_watch(store, log).run()
        self._tasks = [
            loop.create_task(self.host.run(self._simulation.layout, heartbeats)),
            loop.create_task(watch),
        ]

    def _build_watch(self, store: FakeRowStore, log: EventLog) -> ConfigurationWatch:
        return ConfigurationWatch(
            OPERATOR_TABLE,
            CONFIGURATION_KEY,
            parse_configuration,
            QueueTable(),
            store,
            self.api.record_store_reply,
            self.clock,
            log,
            self.evacuations,
        )

    async def _watch_configuration(self, store: FakeRowStore) -> None:
        """Watch a store table, as a real instance does for its configuration."""
        while True:
            reply = await store.watch("op", 0, WATCH_MS, 2 * WATCH_MS)
            if isinstance(reply, Ok):
                self.api.record_store_reply()
            await self.clock.sleep_ms(10)

    async def crash(self) -> None:
        self.is_crashed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    @property
    def owns(self) -> bool:
        return bool(self.host.owned)

    def set_frozen(self, is_frozen: bool) -> None:
        """Stop the process or let it run again; calls in progress wait in it."""
        self.clock.is_frozen = is_frozen

    def set_cut(self, is_cut: bool) -> None:
        self.faults.is_silent = is_cut
        self.agent.is_cut = is_cut


class CellSimulation:
    """A cluster of fake workers and instances on one in-memory store."""

    def __init__(
        self,
        workers: int = 4,
        instances: int = 3,
        seed: int = 0,
        cells: int = 1,
        evacuation_limit_ms: int | None = None,
        remote_factor: float = 1.0,
    ) -> None:
        self.evacuation_limit_ms = evacuation_limit_ms
        self.remote_factor = remote_factor
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

    def new_listing(self, store: FakeRowStore, log: EventLog) -> WorkerListing:
        """Return the listing of one owner; tests of odd entries replace it."""
        return FakeWorkerListing(self.workers, self.clock)

    def evacuate(self, name: str, value: bytes = b"{}") -> None:
        """Write the row of an evacuation, or write it again."""
        at = RowKey(OPERATOR_TABLE, "", EVACUATION_PREFIX + name)
        row = self.rows.rows.get(at)
        self.rows.apply([Write(at, value, row.version if row else ABSENT)])

    def end_evacuation(self, name: str) -> None:
        at = RowKey(OPERATOR_TABLE, "", EVACUATION_PREFIX + name)
        self.rows.apply([Remove(at, self.rows.rows[at].version)])

    def register_workflow(self, workflow: Workflow) -> None:
        """Register the steps of a job with the fake workload."""
        self.work.steps[workflow.job] = workflow.steps

    async def submit(self, workflow: Workflow, instance: int = 0) -> bool:
        self.register_workflow(workflow)
        api = self.instances[instance].api
        return (await api.submit(workflow, CALL_TIMEOUT_MS)).is_ok()

    async def state(self, job: str, instance: int = 0) -> WorkflowState | None:
        return (
            await self.instances[instance].api.status(job, CALL_TIMEOUT_MS)
        ).unwrap()

    async def sleep_ms(self, delay_ms: int) -> None:
        """Sleep, expiring leases also on workers that no instance can reach."""
        end_ms = self.clock.now_ms() + delay_ms
        while self.clock.now_ms() < end_ms:
            remaining_ms = end_ms - self.clock.now_ms()
            await self.clock.sleep_ms(min(remaining_ms, TICK_MS))
            for worker in self.workers.values():
                worker.advance()

    async def until(self, job: str, state: WorkflowState, limit_ms: int) -> bool:
        """Poll until a job reaches a state; return False after ``limit_ms``."""
        end_ms = self.clock.now_ms() + limit_ms
        while self.clock.now_ms() < end_ms:
            if await self.state(job) is state:
                return True
            await self.sleep_ms(50)
        return False

    def owner(self) -> FakeInstance:
        return next(instance for instance in self.instances if instance.owns)


def job_ids_of_cell(cell: str, simulation: CellSimulation, count: int) -> list[str]:
    """Return ids of jobs that hash to a cell."""
    found = []
    number = 0
    while len(found) < count:
        job = f"j{number}"
        number += 1
        if simulation.layout.cell_of_job(job) == cell:
            found.append(job)
    return found


async def fill_first_cell(simulation: CellSimulation) -> None:
    """Fill the first cell with endless tasks, and no other one."""
    await simulation.sleep_ms(1_500)
    blocker = job_ids_of_cell("c0", simulation, 1)[0]
    entries = [fake.entry for fake in simulation.workers.values()]
    cpu = sum(
        entry.room.cpu
        for entry in entries
        if simulation.layout.cell_of_worker(entry) == "c0"
    )
    step = build_step(is_endless=True)
    step = step._replace(tasks=cpu // step.room.cpu)
    assert await simulation.submit(build_workflow(blocker, step))
    await simulation.sleep_ms(300)


async def run_short_tasks(simulation: CellSimulation, job: str, tasks: int) -> None:
    """Run short tasks one after the other on each worker."""
    step = build_step(tasks, room=Resources(8_000, 1_000), estimated_ms=100)
    instance = simulation.instances.index(simulation.owner())
    assert await simulation.submit(build_workflow(job, step), instance)
    await simulation.sleep_ms(tasks * 300)

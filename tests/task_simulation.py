"""Simulation of the task life cycle: real instance components on fake workers."""

from collections import Counter
from collections.abc import Callable
from typing import Any, cast

from hyssopweir.colocation import Colocation
from hyssopweir.commits import GroupCommit
from hyssopweir.contracts import FINAL_TASK_STATES, TaskRow, TaskState
from hyssopweir.fleet import ListedWorker
from hyssopweir.fleet_view import FleetView
from hyssopweir.interference import Interference
from hyssopweir.interference_forecast import InterferenceForecaster
from hyssopweir.invariants import Invariants
from hyssopweir.jobs import JobApi
from hyssopweir.measurements import Measurements
from hyssopweir.pressure import PressurePolicy
from hyssopweir.slots import SlotLedger
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import ABSENT, Delete, Operation, Put, TableStore
from hyssopweir.task_rows import TaskDependencies
from hyssopweir.tasks import TaskManager
from hyssopweir.worker_links import WorkerLinks

from .builders import (
    build_listings,
    build_log,
    build_settings,
    build_workers,
)
from .fakes import (
    FakeFleet,
    FakeInstanceList,
    FakeNetwork,
    FakePeers,
    FakeTableService,
    FakeWorkerClient,
)
from .virtual_time import VirtualClock

SHARD = "kista/r0"


class CountingTable(StandinTable):
    """In-memory table that counts written rows by key prefix, including the slash."""

    def __init__(self) -> None:
        super().__init__()
        self.writes: Counter[str] = Counter()

    def _apply(self, operation: Operation, transaction: str) -> tuple[str, int]:
        if isinstance(operation, (Put, Delete)):
            self.writes[operation.key.partition("/")[0] + "/"] += 1
        return super()._apply(operation, transaction)


class TaskSimulation:
    """Clock, table, workers and network that all instances of one test share."""

    def __init__(self, workers: int = 4, **fields: Any) -> None:
        self.clock = VirtualClock()
        self.table = CountingTable()
        self.fleet_workers = build_workers(workers, **fields)
        self.fleet = FakeFleet(self.fleet_workers, self.clock)
        self.listing = FakeInstanceList(build_listings(self.fleet_workers))
        self.network = FakeNetwork(self.clock)
        self.instances: list[TaskInstance] = []
        self.shards = sorted({worker.shard for worker in self.fleet_workers})

    async def instance(self, session: str = "one") -> "TaskInstance":
        instance = TaskInstance(self, session)
        self.instances.append(instance)
        for service in (instance.view, instance.commits, instance.links):
            await service.start()
        await instance.keeper.start()
        await instance.view.refresh()
        return instance

    def unlist(self, worker_id: str) -> None:
        remaining = [
            listing
            for listing in self.listing.listings
            if listing[0].worker_id != worker_id
        ]
        self.listing.listings = remaining

    def show_leaving(self, worker_id: str) -> None:
        self.fleet.workers[worker_id].leave()
        self.listing.listings = [
            ListedWorker(
                listing.worker, listing.leaving or listing.worker.worker_id == worker_id
            )
            for listing in self.listing.listings
        ]

    def task(self, job: str = "price-watch", number: int = 0) -> TaskRow:
        row = self.table.read(f"tasks/{job}/{number}")
        assert row is not None
        return cast(TaskRow, row.value)

    def states(self, job: str = "price-watch") -> list[str]:
        rows = self.table.scan(f"tasks/{job}/", "", 1_000)
        return [str(row.value["state"]) for row in rows]

    async def until(
        self, condition: Callable[[], bool], limit_ms: int = 60_000
    ) -> None:
        end_ms = self.clock.now_ms() + limit_ms
        while not condition():
            assert self.clock.now_ms() < end_ms, "condition not met in time"
            await self.clock.sleep_ms(10)

    async def until_state(self, state: str, job: str = "price-watch") -> None:
        await self.until(lambda: set(self.states(job)) == {state})

    def check_guarantees(self) -> None:
        """Check the invariants, and that exactly unfinished tasks have queue rows."""
        assert self.fleet.audit.violations == []
        assert sum(instance.invariants.breaches for instance in self.instances) == 0
        queued = {
            (row.value["job"], row.value["n"])
            for row in self.table.scan("queue/", "", 9_999)
        }
        for row in self.table.scan("tasks/", "", 9_999):
            is_final = TaskState(row.value["state"]) in FINAL_TASK_STATES
            assert is_final != ((row.value["job"], row.value["n"]) in queued), row


class TaskInstance:
    """Entry instance with the components that tasks need, and its shard owner."""

    def __init__(self, simulation: TaskSimulation, session: str) -> None:
        clock, log = simulation.clock, build_log(simulation.clock, session)
        timing = build_settings()["timing"]
        self.simulation, self.session, self.log = simulation, session, log
        self.quotas: dict[str, int] = {}
        self.full_shards: set[str] = set()
        self.service = FakeTableService(simulation.table, clock)
        self.store = TableStore(self.service, clock, log)
        self.invariants = Invariants(clock, log)
        self.slots = SlotLedger(self.invariants, 2)
        self.view = FleetView(simulation.listing, clock, log, timing["scan_ms"])
        self.client = FakeWorkerClient(simulation.fleet, clock)
        self.links = WorkerLinks(
            self.view, self.client, self.slots, self, timing, clock, log
        )
        self.commits = GroupCommit(
            self.store, lambda: session, clock, log, timing["commit_ms"]
        )
        self.interference = Interference()
        self.measurements = Measurements(
            Colocation(), self.interference, self.slots, clock
        )
        self.parts = TaskDependencies(
            self.store,
            self.commits,
            self.client,
            self.links,
            self.slots,
            self.view,
            self,
            self.invariants,
            clock,
            log,
            timing["lease_ms"],
            self.measurements,
            InterferenceForecaster(self.interference, self.slots.load, dict),
        )
        peers = FakePeers(simulation.network, session)
        self.policy = PressurePolicy()
        self.keeper = TaskManager(
            self.parts, peers, self.free, self.quotas.get, lambda: self.policy
        )
        self.api = JobApi(self.store, peers, self.keeper, self.free, clock, log)
        self.links.on_inventory(self.keeper.process_inventory)
        self.links.on_inventory(self.measurements.process_inventory)
        self.links.on_worker_restarted(self.measurements.worker_restarted)
        self.links.on_worker_restarted(self.keeper.worker_restarted)
        self.slots.on_free(self.keeper.slot_freed)

    def free(self) -> dict[str, int]:
        return {
            shard: max(
                instance.free_in(shard) for instance in self.simulation.instances
            )
            for shard in self.view.shards()
            if shard not in self.full_shards
        }

    def free_in(self, shard: str) -> int:
        workers = self.view.workers_of(shard)
        return sum(self.slots.free(worker.worker_id, True) for worker in workers)

    def lost(self, shard: str, epoch: int) -> None:
        self.keeper.shard_lost(shard)
        self.measurements.shard_lost(shard)
        self.links.shard_lost(shard)

    async def gain(self, *shards: str) -> None:
        for shard in shards or self.simulation.shards:
            key = f"shards/{shard}"
            row = self.simulation.table.read(key)
            epoch = row.value["epoch"] + 1 if row else 1
            version = row.version if row else ABSENT
            owner = {"owner": self.session, "epoch": epoch}
            assert self.simulation.table.commit(
                [Put(key, owner, version)], "gain"
            ).is_ok()
            self.links.shard_gained(shard, epoch)
            self.keeper.shard_gained(shard, epoch)
        await self.simulation.clock.sleep_ms(100)

"""Management of the tasks of all shards that this instance owns."""

import asyncio
from collections.abc import Callable

from mode import Service
from result import Err, Result

from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.estimates import Estimates
from hyssopweir.fleet import Worker
from hyssopweir.peers import Params, PeerNetwork
from hyssopweir.pressure import InterferenceModel, PressureControl, PressurePolicy
from hyssopweir.task_queue import FreeSlots
from hyssopweir.task_rows import TaskDependencies
from hyssopweir.task_shards import ShardTasks
from hyssopweir.team_quotas import QuotaOf, TeamQuotas
from hyssopweir.worker_client import Inventory
from hyssopweir.worker_tasks import WorkerTasks


class TaskManager(Service):
    """Run a ``ShardTasks`` loop for each owned shard and dispatch events to it."""

    def __init__(
        self,
        dependencies: TaskDependencies,
        peers: PeerNetwork,
        free_slots: FreeSlots,
        quota_of: QuotaOf,
        policy: Callable[[], PressurePolicy] = PressurePolicy,
        model_of: Callable[[str], InterferenceModel | None] = lambda shard: None,
    ) -> None:
        super().__init__()
        self._parts = dependencies
        self._peers = peers
        self._free_slots = free_slots
        self._policy = policy
        self._model_of = model_of
        self._estimates = Estimates()
        self._worker_tasks = WorkerTasks(self._estimates)
        self._quotas = TeamQuotas(
            dependencies.store, quota_of, self, dependencies.clock, dependencies.log
        )
        self._shards: dict[str, ShardTasks] = {}
        self._loops: dict[str, asyncio.Future[None]] = {}
        peers.on_notification("queue_changed", self._on_queue_changed)
        peers.on_notification("job_cancelled", self._on_job_cancelled)

    async def on_start(self) -> None:
        """Start the periodic update of the team quotas."""
        self.add_future(self._quotas.run())

    def epochs(self) -> dict[str, int]:
        """Return by shard the epochs of the shards whose tasks are loaded."""
        return {
            shard: tasks.epoch
            for shard, tasks in self._shards.items()
            if tasks.is_loaded
        }

    def live(self, shard: str, team: str) -> int:
        """Return the number of a team's runs in a shard, including pending starts."""
        return self._worker_tasks.count_team_runs(shard, team)

    def count_startable(self) -> dict[str, dict[str, int]]:
        """Return by shard and team how many queued tasks could start now."""
        return {shard: tasks.count_startable() for shard, tasks in self._shards.items()}

    def signal(self, shard: str) -> None:
        """Request another pass over the tasks of a shard."""
        if shard in self._shards:
            self._shards[shard].signal()

    def shard_gained(self, shard: str, epoch: int) -> None:
        """Load the tasks of a shard and start to manage them."""
        self.shard_lost(shard)
        tasks = ShardTasks(
            self._parts,
            shard,
            epoch,
            self._worker_tasks,
            self._free_slots,
            self._quotas,
            self._announce_queue_change,
            self._has_unfinished_tasks,
            self._pressure_control(shard),
            self._estimates,
            self._find_failed_tasks,
        )
        self._shards[shard] = tasks
        self._loops[shard] = asyncio.ensure_future(tasks.run())

    def shard_lost(self, shard: str) -> None:
        """Stop managing the tasks of a shard, for its next owner."""
        tasks = self._shards.pop(shard, None)
        loop = self._loops.pop(shard, None)
        if tasks is not None and loop is not None:
            loop.cancel()
            tasks.close()
            self._quotas.shard_lost(shard)

    def wake(self, shard: str) -> None:
        """Request another read of the queue of a shard."""
        if shard in self._shards:
            self._shards[shard].recheck()

    def job_cancelled(self, job: str) -> None:
        """Cancel the tasks of a cancelled job in the owned shards."""
        for tasks in self._shards.values():
            tasks.job_cancelled(job)

    def process_inventory(self, worker: Worker, inventory: Inventory) -> None:
        """Process an inventory report; handler of ``WorkerLinks.on_inventory``."""
        if worker.shard in self._shards:
            self._shards[worker.shard].process_inventory(worker, inventory)

    def record_latency(self, worker: Worker, service: str, latency_ms: float) -> None:
        """Record the latency of a request; handler of ``Dispatcher.on_latency``."""
        if worker.shard in self._shards:
            self._shards[worker.shard].pressure.control.record_latency(
                worker.worker_id, service, latency_ms, self._parts.clock.now_ms()
            )

    def worker_restarted(self, worker: Worker) -> None:
        """Request a pass for the shard; handler of ``WorkerLinks.on_restarted``."""
        if worker.shard in self._shards:
            self._shards[worker.shard].signal()

    def slot_freed(self, worker_id: str) -> None:
        """Request a pass for the worker's shard; handler of ``SlotLedger.on_free``."""
        worker = self._parts.view.worker(worker_id)
        if worker is not None and worker.shard in self._shards:
            self._shards[worker.shard].signal()

    async def evict(self, task_id: str, reason: str) -> Result[None, Failure]:
        """Checkpoint and stop a running task, and requeue it.

        ``Ok`` means that the end of the run is confirmed. Failures: ``NOT_OWNER``,
        ``NOT_FOUND`` if the task is not running, ``STORE_UNAVAILABLE`` if nothing was
        changed, ``WORKER_UNREACHABLE`` if the eviction is recorded and continues.
        """
        for tasks in self._shards.values():
            entry = tasks.records.entries.get(task_id)
            if entry is not None:
                return await asyncio.shield(tasks.evict(entry, reason))
        detail = f"no shard of this instance holds {task_id}"
        return Err(not_run(Code.NOT_OWNER, detail))

    async def on_stop(self) -> None:
        """Stop all loops; the tasks keep running on their workers."""
        for shard in list(self._shards):
            self.shard_lost(shard)

    def _pressure_control(self, shard: str) -> PressureControl:
        return PressureControl(
            self._policy,
            lambda: self._parts.store.is_up,
            self._slot_utilization,
            self._model_of(shard),
        )

    def _slot_utilization(self, worker_id: str) -> float:
        """Return the share of a worker's slots in use, 1 for an unknown worker."""
        worker = self._parts.view.worker(worker_id)
        if worker is None:
            return 1.0
        return 1.0 - self._parts.slots.free(worker_id, False) / max(worker.slots, 1)

    def _has_unfinished_tasks(self, job: str) -> bool:
        return any(
            tasks.records.has_unfinished_tasks(job) for tasks in self._shards.values()
        )

    def _find_failed_tasks(self, job: str) -> list[str]:
        shards = self._shards.values()
        return sorted(
            task_id for tasks in shards for task_id in tasks.records.failed_tasks(job)
        )

    def _announce_queue_change(self, shard: str) -> None:
        self.wake(shard)
        self._peers.broadcast("queue_changed", {"shards": [shard]})

    def _on_queue_changed(self, sender: str, params: Params) -> None:
        shards = params.get("shards")
        for shard in shards if isinstance(shards, list) else []:
            self.wake(str(shard))

    def _on_job_cancelled(self, sender: str, params: Params) -> None:
        job = params.get("job")
        if isinstance(job, str):
            self.job_cancelled(job)

"""Start of queued tasks: a run is recorded before the worker is called."""

from typing import Any

from result import Err, Ok

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.contracts import TaskState, run_id_of
from hyssopweir.estimates import Estimates
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.placement import Choice, Demand
from hyssopweir.table import Require
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunReconciler
from hyssopweir.task_rows import TaskDependencies, TaskEntry, job_key
from hyssopweir.worker_client import Fence, TaskRun
from hyssopweir.worker_tasks import WorkerTasks

# How long a worker that refused a start is not tried again.
AVOID_MS: Millis = 1_000


class TaskStarts:
    """Start the tasks of one shard on workers with an allocated slot."""

    def __init__(
        self,
        dependencies: TaskDependencies,
        records: TaskRecords,
        settler: RunReconciler,
        worker_tasks: WorkerTasks,
        estimates: Estimates,
    ) -> None:
        self._dependencies = dependencies
        self._records = records
        self._settler = settler
        self._worker_tasks = worker_tasks
        self._estimates = estimates
        self._avoid_until_ms: dict[str, Millis] = {}
        self.leaving: set[str] = set()

    def is_leaving(self, worker_id: str) -> bool:
        """Return whether a worker is listed as leaving or has reported it."""
        listed = self._dependencies.view.leaving_since_ms(worker_id) is not None
        return listed or worker_id in self.leaving

    def is_avoided(self, worker_id: str) -> bool:
        """Return whether a worker refused a start within ``AVOID_MS``."""
        return (
            self._avoid_until_ms.get(worker_id, 0) > self._dependencies.clock.now_ms()
        )

    async def start(
        self,
        entry: TaskEntry,
        worker: Worker,
        fence: Fence,
        choice: Choice,
    ) -> None:
        """Record a run, call the worker, and record the result."""
        run = entry.row["run"] + 1
        run_id = run_id_of(entry.task_id, run)
        reply = await self._records.change(
            entry,
            self._records.reason(
                Event.TASK_STARTING, f"run {run}: {choice.text}", choice.figures
            ),
            (Require(job_key(entry.row["job"]), "cancelled", False),),
            state=TaskState.STARTING.value,
            run=run,
            worker=worker.worker_id,
            incarnation=fence.incarnation,
        )
        if isinstance(reply, Err):
            self._dependencies.slots.release(worker.worker_id, run_id)
            self._worker_tasks.remove(entry, worker.worker_id, run_id)
            return
        entry.is_settled = False
        self._emit(Event.TASK_STARTING, entry, run=run, worker=worker.worker_id)
        await self._send_start(entry, worker, fence)

    async def _send_start(self, entry: TaskEntry, worker: Worker, fence: Fence) -> None:
        worker_id = worker.worker_id
        lease_until_ms = self._dependencies.links.lease_until_ms(worker_id)
        is_ready = self._dependencies.links.fence_of(worker_id) == fence
        if lease_until_ms is None or not is_ready or self.is_leaving(worker_id):
            why = f"{worker_id} became unavailable before the start; nothing was sent"
            await self._settler.end_without_report(entry, Event.TASK_QUEUED, why)
            return
        self._dependencies.invariants.check_single_run(entry.task_id, entry.run_id)
        entry.started_here_ms = self._dependencies.clock.now_ms()
        limits = self._estimates.run_limits(entry, worker)
        entry.memory_limit_gb = limits.memory_gb
        run = build_task_run(entry, limits)
        reply = await self._dependencies.client.start(
            worker, fence, run, lease_until_ms
        )
        if isinstance(reply, Ok):
            self._dependencies.measurements.task_started(
                self._records.shard, worker_id, run.run_id, run.kind
            )
            await self._record_running(entry)
        else:
            await self._handle_refusal(entry, reply.err_value)

    async def _record_running(self, entry: TaskEntry) -> None:
        run, worker_id = entry.row["run"], entry.worker_id
        checkpoint = entry.row["checkpoint"]
        event = Event.TASK_STARTED if checkpoint is None else Event.TASK_RESUMED
        text = f"run {run} started on {worker_id}"
        if checkpoint is not None:
            text += f" from checkpoint {checkpoint}"
        reply = await self._records.change(
            entry,
            self._records.reason(event, text),
            state=TaskState.RUNNING.value,
        )
        entry.is_settled = isinstance(reply, Ok)
        if entry.is_settled:
            self._emit(event, entry, run=run, worker=worker_id)

    async def _handle_refusal(self, entry: TaskEntry, failure: Failure) -> None:
        worker_id = entry.worker_id
        self._settler.handle_stale_epoch(failure)
        if failure.code is Code.STALE_EPOCH:
            return
        if failure.outcome is not Outcome.NOT_RUN:
            await self._settler.reconcile(entry)
            return
        if failure.code is Code.WORKER_LEAVING:
            self.leaving.add(worker_id)
        self._avoid_until_ms[worker_id] = self._dependencies.clock.now_ms() + AVOID_MS
        why = f"{worker_id} did not start run {entry.row['run']}: {failure.detail}"
        await self._settler.end_without_report(entry, Event.TASK_QUEUED, why)

    def _emit(self, event: Event, entry: TaskEntry, **fields: Any) -> None:
        self._dependencies.log.emit(event, task=entry.task_id, **fields)


def build_task_run(entry: TaskEntry, limits: Demand) -> TaskRun:
    """Return the newest run and its limits in the form that a worker accepts."""
    spec = entry.job.spec
    return TaskRun(
        entry.run_id,
        spec["kind"],
        spec["run_ms"],
        limits.cores,
        limits.memory_gb,
        spec.get("accelerators", 0),
        spec.get("payload", {}),
        entry.row["checkpoint"],
    )

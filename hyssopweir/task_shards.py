"""Tasks of one owned shard: a decision loop, and one action at a time per task."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.contracts import FINAL_TASK_STATES, TaskRow, TaskState
from hyssopweir.estimates import Estimates, record_peak_usage
from hyssopweir.events import Event
from hyssopweir.evictions import Evictions
from hyssopweir.fleet import Worker
from hyssopweir.loops import run_guarded
from hyssopweir.mitigation_executor import MitigationExecutor
from hyssopweir.pressure import PressureControl
from hyssopweir.task_queue import EntryAction, FailedTasks, FreeSlots, TaskQueue
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import ENDED_STATES, RunReconciler
from hyssopweir.task_rows import (
    LIVE_STATES,
    Eviction,
    TaskDependencies,
    TaskEntry,
    task_key,
)
from hyssopweir.team_quotas import TeamQuotas
from hyssopweir.worker_client import Inventory, RunReport, RunState
from hyssopweir.worker_tasks import WorkerTasks

RECHECK_MS: Millis = 5_000
OUTAGE_RECHECK_MS: Millis = 1_000
TICK_MS: Millis = 250
RETRY_MS: Millis = 500
# Signals within this time are combined into one pass.
SIGNAL_DEBOUNCE_MS: Millis = 5
FAILURE_PAUSE_MS: Millis = 500
# Number of jobs whose cancel flags are read again in each recheck, in rotation. This
# makes up for a lost notification with a bounded number of reads.
JOBS_PER_RECHECK = 20


class ShardTasks:
    """Manage the life cycle of the tasks of one shard under one epoch."""

    def __init__(
        self,
        dependencies: TaskDependencies,
        shard: str,
        epoch: int,
        worker_tasks: WorkerTasks,
        free_slots: FreeSlots,
        quotas: TeamQuotas,
        on_moved: Callable[[str], None],
        has_unfinished_tasks: Callable[[str], bool],
        control: PressureControl,
        estimates: Estimates,
        failed_tasks: FailedTasks,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.records = TaskRecords(dependencies, shard, epoch)
        self._dependencies = dependencies
        self._worker_tasks = worker_tasks
        self._has_unfinished_tasks = has_unfinished_tasks
        self._settler = RunReconciler(
            dependencies, self.records, worker_tasks, estimates
        )
        self._evictions = Evictions(dependencies, self.records, self._settler)
        self.pressure = MitigationExecutor(
            dependencies, self.records, self._settler, self._evictions, control
        )
        self._queue = TaskQueue(
            dependencies,
            self.records,
            self._settler,
            worker_tasks,
            free_slots,
            quotas,
            on_moved,
            self._spawn,
            estimates,
            failed_tasks,
            self.evict,
        )
        self._queue.is_pressed = self.pressure.is_pressed
        self._signal = asyncio.Event()
        self._inventories: dict[str, tuple[Worker, Inventory]] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._workers_in_check: set[str] = set()
        self._recheck_ms: Millis = 0
        self._is_loaded = False
        self._job_cursor = 0

    async def run(self) -> None:
        """Process the tasks in a loop until the shard is lost."""
        while True:
            name = f"tasks of {self.shard}"
            if not await run_guarded(self._run_pass, name, self._dependencies.log):
                await self._dependencies.clock.sleep_ms(FAILURE_PAUSE_MS)
            await self._wait()

    def close(self) -> None:
        """Cancel all actions, so that the next owner can take over the tasks."""
        for task in self._background_tasks:
            task.cancel()
        self._worker_tasks.drop_shard(self.shard)
        for entry in self.records.entries.values():
            self._dependencies.invariants.record_run_end(entry.task_id, entry.run_id)
            self._resolve_eviction(entry, _not_owner_failure(entry.task_id))

    @property
    def is_loaded(self) -> bool:
        """Return whether all tasks of the shard were read from the table."""
        return self._is_loaded

    def count_startable(self) -> dict[str, int]:
        """Return by team how many queued tasks could start now."""
        return self._queue.count_startable()

    def signal(self) -> None:
        """Request another pass of the loop."""
        self._signal.set()

    def recheck(self) -> None:
        """Request another read of the queue rows."""
        self._recheck_ms = 0
        self._signal.set()

    def job_cancelled(self, job: str) -> None:
        """Mark a job as cancelled, so that the next pass cancels its tasks."""
        self.records.mark_cancelled(job)
        self._signal.set()

    def process_inventory(self, worker: Worker, inventory: Inventory) -> None:
        """Queue a worker's inventory report for the next pass."""
        self._inventories[worker.worker_id] = (worker, inventory)
        self._signal.set()

    def evict(
        self, entry: TaskEntry, why: str
    ) -> asyncio.Future[Result[None, Failure]]:
        """Request the eviction of a running task; return the future for its result."""
        if entry.eviction is None:
            reply = asyncio.get_running_loop().create_future()
            entry.eviction = Eviction(why, reply)
            self._signal.set()
        return entry.eviction.reply

    async def _run_pass(self) -> None:
        if self._dependencies.clock.now_ms() >= self._recheck_ms:
            await self._recheck()
        if not self._is_loaded:
            return
        self._process_inventories()
        self.pressure.decide()
        for entry in list(self.records.entries.values()):
            if not entry.busy:
                self._spawn_next_action(entry)
        self._queue.place()

    async def _wait(self) -> None:
        entries = self.records.entries.values()
        delay_ms = min(
            max(self._recheck_ms - self._dependencies.clock.now_ms(), 1),
            TICK_MS if any(map(_needs_short_tick, entries)) else 4 * TICK_MS,
        )
        try:
            # ``asyncio.wait_for`` of Python 3.11 loses a cancellation that arrives
            # together with the signal, and the loop would outlive its shard.
            async with asyncio.timeout(delay_ms / 1_000):
                await self._signal.wait()
        except TimeoutError:
            return
        await self._dependencies.clock.sleep_ms(SIGNAL_DEBOUNCE_MS)
        self._signal.clear()

    async def _recheck(self) -> None:
        self._recheck_ms = self._dependencies.clock.now_ms() + RECHECK_MS
        known = set(self.records.entries)
        reply = await self.records.load_new_tasks()
        for task_id, entry in self.records.entries.items():
            if task_id not in known and entry.state in LIVE_STATES:
                self._worker_tasks.add(entry, entry.worker_id, entry.run_id)
        if isinstance(reply, Err):
            self._recheck_ms = self._dependencies.clock.now_ms() + OUTAGE_RECHECK_MS
            return
        self._is_loaded = True
        await self._reread_jobs()
        self._queue.release_held()

    async def _reread_jobs(self) -> None:
        jobs = self.records.jobs()
        start = self._job_cursor if self._job_cursor < len(jobs) else 0
        batch = jobs[start : start + JOBS_PER_RECHECK]
        self._job_cursor = start + len(batch)
        for job in batch:
            if not await self.records.reread_job(job):
                return

    def _process_inventories(self) -> None:
        inventories, self._inventories = self._inventories, {}
        for worker, inventory in inventories.values():
            if inventory.leaving:
                self._queue.leaving.add(worker.worker_id)
            else:
                self._queue.leaving.discard(worker.worker_id)
            unmatched = [
                report
                for report in inventory.runs
                if report.is_task and not self._apply_report(worker, report)
            ]
            self._check_unmatched(worker, unmatched)

    def _apply_report(self, worker: Worker, report: RunReport) -> bool:
        """Apply a report of a task's newest run; return False for any other run."""
        entry = self.records.entries.get(report.run_id.rpartition("#")[0])
        if entry is None or entry.run_id != report.run_id:
            return False
        if entry.worker_id != worker.worker_id or entry.state not in LIVE_STATES:
            return False
        if report.state in ENDED_STATES:
            entry.report = report
        else:
            record_peak_usage(entry, report)
            if report.checkpoint not in (None, entry.checkpoint):
                entry.checkpoint = report.checkpoint
                entry.saved_ms = self._dependencies.clock.wall_ms()
        return True

    def _spawn_next_action(self, entry: TaskEntry) -> None:
        """Start the next action for a task, if one is due."""
        if entry.retry_ms > self._dependencies.clock.now_ms():
            return
        entry.retry_ms = 0
        if entry.state in LIVE_STATES:
            self._spawn_next_live_action(entry)
            return
        if entry.eviction is not None:
            failure = not_run(Code.NOT_FOUND, f"{entry.task_id} is not running")
            self._resolve_eviction(entry, Err(failure))
        if entry.job.cancelled:
            self._spawn(entry, self._evictions.cancel(entry))

    def _spawn_next_live_action(self, entry: TaskEntry) -> None:
        if entry.report is not None and entry.report.run_id != entry.run_id:
            entry.report = None
        if entry.report is not None:
            self._spawn(entry, self._settler.record_end(entry, entry.report))
        elif not entry.is_settled or self._settler.is_over(entry):
            self._spawn(entry, self._settler.reconcile(entry))
        elif entry.job.cancelled:
            self._spawn(entry, self._evictions.cancel(entry))
        elif entry.state is TaskState.EVICTING:
            self._spawn(entry, self._evictions.finish(entry))
        elif entry.eviction is not None:
            self._spawn(entry, self._evict(entry, entry.eviction))
        elif (action := self.pressure.next_action(entry)) is not None:
            self._spawn(entry, action)
        elif self._is_leaving(entry.worker_id):
            self._evict_from_leaving_worker(entry)

    async def _evict(self, entry: TaskEntry, eviction: Eviction) -> None:
        self._resolve_eviction(entry, await self._evictions.evict(entry, eviction.why))

    def _resolve_eviction(self, entry: TaskEntry, reply: Result[None, Failure]) -> None:
        if entry.eviction is not None and not entry.eviction.reply.done():
            entry.eviction.reply.set_result(reply)
        entry.eviction = None

    def _is_leaving(self, worker_id: str) -> bool:
        listed = self._dependencies.view.leaving_since_ms(worker_id) is not None
        return listed or worker_id in self._queue.leaving

    def _evict_from_leaving_worker(self, entry: TaskEntry) -> None:
        """Evict a task from a leaving worker.

        While the table is unavailable only a checkpoint is saved.
        """
        if self._dependencies.store.is_up:
            why = "the worker is leaving"
            self._spawn(entry, self._evictions.evict(entry, why))
        elif not entry.checkpointed_for_leaving:
            self._spawn(entry, self._save_checkpoint(entry))

    async def _save_checkpoint(self, entry: TaskEntry) -> Result[None, Failure]:
        reply = await self._evictions.save(entry)
        entry.checkpointed_for_leaving = isinstance(reply, Ok)
        return reply

    def _spawn(self, entry: TaskEntry, action: EntryAction) -> None:
        entry.busy = True
        task = self._in_background(self._run_action(entry, action))
        # A task that is cancelled before its first step does not run its ``finally``.
        task.add_done_callback(lambda _: action.close())

    async def _run_action(self, entry: TaskEntry, action: EntryAction) -> None:
        failed = True

        async def await_action() -> None:
            nonlocal failed
            failed = isinstance(await action, Err)

        try:
            await run_guarded(
                await_action, f"task {entry.task_id}", self._dependencies.log
            )
        finally:
            action.close()
            entry.busy = False
            if failed or not entry.is_settled:
                entry.retry_ms = self._dependencies.clock.now_ms() + RETRY_MS
            if self.records.entries.get(entry.task_id) is not entry:
                self._resolve_eviction(entry, Ok(None))
                self._check_job_end(entry)
            self._signal.set()

    def _check_job_end(self, entry: TaskEntry) -> None:
        """Check for the end of a job after the last of its tasks at this instance.

        Each owner checks after its last task of the job, so that at least one of them
        finds that all tasks have ended.
        """
        job = entry.row["job"]
        if entry.state in FINAL_TASK_STATES and not self._has_unfinished_tasks(job):
            self._in_background(self._log_job_end(job))

    async def _log_job_end(self, job: str) -> None:
        event = await self.records.job_end_event(job)
        if event is not None:
            self._dependencies.log.emit(event, job=job)

    def _in_background(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def _check_unmatched(self, worker: Worker, unmatched: list[RunReport]) -> None:
        """Acknowledge runs whose end is recorded, and look up the other ones."""
        recorded = [
            report.run_id
            for report in unmatched
            if report.run_id in self._settler.recorded_runs
            and report.state in ENDED_STATES
        ]
        unrecorded = [report for report in unmatched if report.run_id not in recorded]
        if worker.worker_id in self._workers_in_check or not unmatched:
            return
        self._workers_in_check.add(worker.worker_id)
        self._in_background(self._settle_unmatched(worker, recorded, unrecorded))

    async def _settle_unmatched(
        self,
        worker: Worker,
        recorded: list[str],
        unrecorded: list[RunReport],
    ) -> None:
        async def settle() -> None:
            ended = [*recorded]
            for report in unrecorded:
                if await self._is_superseded(worker, report.run_id):
                    await self._stop_superseded(worker, report)
                    ended.append(report.run_id)
            if ended:
                await self._settler.acknowledge(worker.worker_id, ended)

        try:
            name = f"runs on {worker.worker_id}"
            await run_guarded(settle, name, self._dependencies.log)
        finally:
            self._workers_in_check.discard(worker.worker_id)

    async def _is_superseded(self, worker: Worker, run_id: str) -> bool:
        """Return whether the table shows that a run has ended."""
        task_id, _, run = run_id.rpartition("#")
        job, _, number = task_id.rpartition("/")
        if not (run.isdecimal() and number.isdecimal()):
            return False
        reply = await self._dependencies.store.read(task_key(job, int(number)))
        if isinstance(reply, Err):
            return False
        if reply.ok_value is None:
            return True
        row = cast(TaskRow, reply.ok_value.value)
        if row["run"] != int(run):
            return row["run"] > int(run)
        is_live = TaskState(row["state"]) in LIVE_STATES
        return not is_live or row["worker"] != worker.worker_id

    async def _stop_superseded(self, worker: Worker, report: RunReport) -> None:
        """Stop a run that is still running although its end is recorded."""
        target = self._settler.target(worker.worker_id)
        if report.state is not RunState.RUNNING or isinstance(target, Err):
            return
        self._dependencies.log.emit(
            Event.WORKER_REPLY_INVALID,
            worker=worker.worker_id,
            detail=f"{report.run_id} is running although its end is recorded",
        )
        known, fence = target.ok_value
        await self._dependencies.client.stop(known, fence, report.run_id)


def _needs_short_tick(entry: TaskEntry) -> bool:
    is_urgent = entry.state is TaskState.QUEUED and entry.queue_row["urgent"]
    return entry.retry_ms > 0 or is_urgent


def _not_owner_failure(task_id: str) -> Result[None, Failure]:
    detail = f"this instance no longer owns the shard of {task_id}"
    return Err(Failure(Code.NOT_OWNER, detail))

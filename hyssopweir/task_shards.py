"""The tasks of one owned shard: one loop that decides, one act for each task."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, not_run
from hyssopweir.contracts import FINAL_TASK_STATES, TaskRow, TaskState
from hyssopweir.estimates import Estimates, note_usage
from hyssopweir.events import Event
from hyssopweir.evictions import Evictions
from hyssopweir.fleet import Worker
from hyssopweir.loops import run_guarded
from hyssopweir.mitigation_executor import MitigationExecutor
from hyssopweir.pressure import PressureControl
from hyssopweir.task_queue import Act, FailedTasks, FreeSlots, TaskQueue
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import ENDED, RunSettler
from hyssopweir.task_rows import (
    LIVE_STATES,
    Entry,
    Eviction,
    TaskDependencies,
    task_key,
)
from hyssopweir.team_quotas import TeamQuotas
from hyssopweir.worker_client import Inventory, RunReport, RunState
from hyssopweir.worker_tasks import WorkerTasks

RECHECK_MS: Millis = 5_000
OUTAGE_RECHECK_MS: Millis = 1_000
TICK_MS: Millis = 250
RETRY_MS: Millis = 500
# Several signals within this time lead to one pass.
PASS_PAUSE_MS: Millis = 5
FAILURE_PAUSE_MS: Millis = 500
# Cancel flags are read again for this many jobs in each recheck, in rotation; a note
# that was lost is made up for in this way at a bounded number of reads.
JOBS_PER_RECHECK = 20


class ShardTasks:
    """Carry the tasks of one shard through their life cycle under one epoch."""

    def __init__(
        self,
        parts: TaskDependencies,
        shard: str,
        epoch: int,
        placed: WorkerTasks,
        free_slots: FreeSlots,
        quotas: TeamQuotas,
        on_moved: Callable[[str], None],
        holds_job: Callable[[str], bool],
        control: PressureControl,
        estimates: Estimates,
        failed_tasks: FailedTasks,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.records = TaskRecords(parts, shard, epoch)
        self._parts = parts
        self._placed = placed
        self._holds_job = holds_job
        self._settler = RunSettler(parts, self.records, placed, estimates)
        self._evictions = Evictions(parts, self.records, self._settler)
        self.pressure = MitigationExecutor(
            parts, self.records, self._settler, self._evictions, control
        )
        self._queue = TaskQueue(
            parts,
            self.records,
            self._settler,
            placed,
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
        self._acts: set[asyncio.Task[None]] = set()
        self._checking: set[str] = set()
        self._recheck_ms: Millis = 0
        self._is_loaded = False
        self._job_cursor = 0

    async def run(self) -> None:
        """Decide on the tasks until the shard is lost."""
        while True:
            name = f"tasks of {self.shard}"
            if not await run_guarded(self._pass, name, self._parts.log):
                await self._parts.clock.sleep_ms(FAILURE_PAUSE_MS)
            await self._wait()

    def close(self) -> None:
        """Leave all tasks to the next owner."""
        for act in self._acts:
            act.cancel()
        self._placed.drop_shard(self.shard)
        for entry in self.records.entries.values():
            self._parts.invariants.record_run_end(entry.task_id, entry.run_id)
            self._answer(entry, _not_owner(entry.task_id))

    @property
    def is_loaded(self) -> bool:
        """Tell whether all tasks of the shard are known."""
        return self._is_loaded

    def wanted(self) -> dict[str, int]:
        """Return how many queued tasks of each team could start at once."""
        return self._queue.wanted()

    def signal(self) -> None:
        """Decide again soon."""
        self._signal.set()

    def recheck(self) -> None:
        """Read the queue rows again soon."""
        self._recheck_ms = 0
        self._signal.set()

    def job_cancelled(self, job: str) -> None:
        """End the tasks of a job."""
        self.records.mark_cancelled(job)
        self._signal.set()

    def process_inventory(self, worker: Worker, inventory: Inventory) -> None:
        """Note what a worker reports."""
        self._inventories[worker.worker_id] = (worker, inventory)
        self._signal.set()

    def evict(self, entry: Entry, why: str) -> asyncio.Future[Result[None, Failure]]:
        """Ask for the eviction of a running task."""
        if entry.eviction is None:
            reply = asyncio.get_running_loop().create_future()
            entry.eviction = Eviction(why, reply)
            self._signal.set()
        return entry.eviction.reply

    async def _pass(self) -> None:
        if self._parts.clock.now_ms() >= self._recheck_ms:
            await self._recheck()
        if not self._is_loaded:
            return
        self._take_inventories()
        self.pressure.decide()
        for entry in list(self.records.entries.values()):
            if not entry.busy:
                self._step(entry)
        self._queue.place()

    async def _wait(self) -> None:
        entries = self.records.entries.values()
        delay_ms = min(
            max(self._recheck_ms - self._parts.clock.now_ms(), 1),
            TICK_MS if any(map(_is_pressing, entries)) else 4 * TICK_MS,
        )
        try:
            # ``wait_for`` of Python 3.11 loses a cancellation that arrives together
            # with the signal, so that the loop would outlive its shard.
            async with asyncio.timeout(delay_ms / 1_000):
                await self._signal.wait()
        except TimeoutError:
            return
        await self._parts.clock.sleep_ms(PASS_PAUSE_MS)
        self._signal.clear()

    async def _recheck(self) -> None:
        self._recheck_ms = self._parts.clock.now_ms() + RECHECK_MS
        known = set(self.records.entries)
        reply = await self.records.load_new()
        for task_id, entry in self.records.entries.items():
            if task_id not in known and entry.state in LIVE_STATES:
                self._placed.add(entry, entry.worker_id, entry.run_id)
        if isinstance(reply, Err):
            self._recheck_ms = self._parts.clock.now_ms() + OUTAGE_RECHECK_MS
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

    def _take_inventories(self) -> None:
        inventories, self._inventories = self._inventories, {}
        for worker, inventory in inventories.values():
            if inventory.leaving:
                self._queue.leaving.add(worker.worker_id)
            else:
                self._queue.leaving.discard(worker.worker_id)
            strays = [
                report
                for report in inventory.runs
                if report.is_task and not self._take_report(worker, report)
            ]
            self._check_strays(worker, strays)

    def _take_report(self, worker: Worker, report: RunReport) -> bool:
        """Note a report of the newest run of a task; False if it is of no such run."""
        entry = self.records.entries.get(report.run_id.rpartition("#")[0])
        if entry is None or entry.run_id != report.run_id:
            return False
        if entry.worker_id != worker.worker_id or entry.state not in LIVE_STATES:
            return False
        if report.state in ENDED:
            entry.report = report
        else:
            note_usage(entry, report)
            if report.checkpoint not in (None, entry.checkpoint):
                entry.checkpoint = report.checkpoint
                entry.saved_ms = self._parts.clock.wall_ms()
        return True

    def _step(self, entry: Entry) -> None:
        """Begin the next act of a task, if one is due."""
        if entry.retry_ms > self._parts.clock.now_ms():
            return
        entry.retry_ms = 0
        if entry.state in LIVE_STATES:
            self._step_live(entry)
            return
        if entry.eviction is not None:
            failure = not_run(Code.NOT_FOUND, f"{entry.task_id} is not running")
            self._answer(entry, Err(failure))
        if entry.job.cancelled:
            self._spawn(entry, self._evictions.cancel(entry))

    def _step_live(self, entry: Entry) -> None:
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
        elif (act := self.pressure.next_action(entry)) is not None:
            self._spawn(entry, act)
        elif self._is_leaving(entry.worker_id):
            self._leave(entry)

    async def _evict(self, entry: Entry, eviction: Eviction) -> None:
        self._answer(entry, await self._evictions.evict(entry, eviction.why))

    def _answer(self, entry: Entry, reply: Result[None, Failure]) -> None:
        if entry.eviction is not None and not entry.eviction.reply.done():
            entry.eviction.reply.set_result(reply)
        entry.eviction = None

    def _is_leaving(self, worker_id: str) -> bool:
        listed = self._parts.view.leaving_since_ms(worker_id) is not None
        return listed or worker_id in self._queue.leaving

    def _leave(self, entry: Entry) -> None:
        """Evict a task of a leaving worker; in an outage only save its work."""
        if self._parts.store.is_up:
            why = "the worker is leaving"
            self._spawn(entry, self._evictions.evict(entry, why))
        elif not entry.saved_for_leaving:
            self._spawn(entry, self._save(entry))

    async def _save(self, entry: Entry) -> Result[None, Failure]:
        reply = await self._evictions.save(entry)
        entry.saved_for_leaving = isinstance(reply, Ok)
        return reply

    def _spawn(self, entry: Entry, act: Act) -> None:
        entry.busy = True
        task = self._in_background(self._act(entry, act))
        # A task that is cancelled before its first step never reaches its finally.
        task.add_done_callback(lambda _: act.close())

    async def _act(self, entry: Entry, act: Act) -> None:
        failed = True

        async def decide() -> None:
            nonlocal failed
            failed = isinstance(await act, Err)

        try:
            await run_guarded(decide, f"task {entry.task_id}", self._parts.log)
        finally:
            act.close()
            entry.busy = False
            if failed or not entry.is_settled:
                entry.retry_ms = self._parts.clock.now_ms() + RETRY_MS
            if self.records.entries.get(entry.task_id) is not entry:
                self._answer(entry, Ok(None))
                self._note_end(entry)
            self._signal.set()

    def _note_end(self, entry: Entry) -> None:
        """Log the end of a job with the last of its tasks at this instance.

        Each owner looks after its last task has ended, so that at least one of them
        finds that all have.
        """
        job = entry.row["job"]
        if entry.state in FINAL_TASK_STATES and not self._holds_job(job):
            self._in_background(self._log_job_end(job))

    async def _log_job_end(self, job: str) -> None:
        event = await self.records.job_end(job)
        if event is not None:
            self._parts.log.emit(event, job=job)

    def _in_background(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._acts.add(task)
        task.add_done_callback(self._acts.discard)
        return task

    def _check_strays(self, worker: Worker, strays: list[RunReport]) -> None:
        """Acknowledge ends that are recorded already; look the other runs up."""
        recorded = [
            report.run_id
            for report in strays
            if report.run_id in self._settler.recorded and report.state in ENDED
        ]
        rest = [report for report in strays if report.run_id not in recorded]
        if worker.worker_id in self._checking or not strays:
            return
        self._checking.add(worker.worker_id)
        self._in_background(self._settle_strays(worker, recorded, rest))

    async def _settle_strays(
        self,
        worker: Worker,
        recorded: list[str],
        rest: list[RunReport],
    ) -> None:
        async def settle() -> None:
            ended = [*recorded]
            for report in rest:
                if await self._is_superseded(worker, report.run_id):
                    await self._stop_superseded(worker, report)
                    ended.append(report.run_id)
            if ended:
                await self._settler.acknowledge(worker.worker_id, ended)

        try:
            name = f"runs on {worker.worker_id}"
            await run_guarded(settle, name, self._parts.log)
        finally:
            self._checking.discard(worker.worker_id)

    async def _is_superseded(self, worker: Worker, run_id: str) -> bool:
        """Tell whether the table shows that a run is over."""
        task_id, _, run = run_id.rpartition("#")
        job, _, number = task_id.rpartition("/")
        if not (run.isdecimal() and number.isdecimal()):
            return False
        reply = await self._parts.store.read(task_key(job, int(number)))
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
        """Stop a run that still goes on although the table shows its end."""
        target = self._settler.target(worker.worker_id)
        if report.state is not RunState.RUNNING or isinstance(target, Err):
            return
        self._parts.log.emit(
            Event.WORKER_REPLY_INVALID,
            worker=worker.worker_id,
            detail=f"{report.run_id} is running although its end is recorded",
        )
        known, fence = target.ok_value
        await self._parts.client.stop(known, fence, report.run_id)


def _is_pressing(entry: Entry) -> bool:
    is_urgent = entry.state is TaskState.QUEUED and entry.queue_row["urgent"]
    return entry.retry_ms > 0 or is_urgent


def _not_owner(task_id: str) -> Result[None, Failure]:
    detail = f"this instance no longer owns the shard of {task_id}"
    return Err(Failure(Code.NOT_OWNER, detail))

"""Settling of runs: what follows from a worker's word, or from its silence."""

from typing import Any

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, unknown
from hyssopweir.contracts import TaskState
from hyssopweir.estimates import Estimates, memory_after_shortage, note_usage
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_rows import Entry, TaskDependencies
from hyssopweir.worker_client import Fence, RunReport, RunState
from hyssopweir.worker_tasks import WorkerTasks

# An ended run is remembered so that a repeated report is acknowledged without a read.
MOST_REMEMBERED = 10_000

ENDED = frozenset(
    {RunState.DONE, RunState.FAILED, RunState.LAPSED, RunState.STOPPED},
)


class RunSettler:
    """Record the ends of runs, each exactly once."""

    def __init__(
        self,
        parts: TaskDependencies,
        records: TaskRecords,
        placed: WorkerTasks,
        estimates: Estimates,
    ) -> None:
        self._parts = parts
        self._estimates = estimates
        self._records = records
        self._placed = placed
        self.recorded: dict[str, None] = {}

    async def reconcile(self, entry: Entry) -> None:
        """Find out what became of a run, by the table of design section 2.4."""
        worker = self._parts.view.worker(entry.worker_id)
        fence = self._parts.links.fence_of(entry.worker_id)
        if (
            worker is None
            or fence is None
            or fence.incarnation != entry.row["incarnation"]
        ):
            await self.wait_or_requeue(entry)
            return
        if entry.report is not None:
            await self.record_end(entry, entry.report)
            return
        # Also after the lease has ended: the run may have ended before, unseen, and a
        # finished task must not run again.
        reply = await self._parts.client.lookup(worker, fence, entry.run_id)
        if isinstance(reply, Err):
            self.note_refusal(reply.err_value)
            await self.wait_or_requeue(entry)
            return
        await self.apply(entry, reply.ok_value)

    async def apply(self, entry: Entry, report: RunReport) -> None:
        """Act on a worker's word on the newest run."""
        if report.state is RunState.RUNNING:
            await self.adopt(entry, report)
        elif report.state in ENDED:
            await self.record_end(entry, report)
        else:
            await self._record_absent(entry, report)

    async def adopt(self, entry: Entry, report: RunReport) -> None:
        """Take a running run over."""
        entry.checkpoint = report.checkpoint or entry.checkpoint
        self._placed.add(entry, entry.worker_id, entry.run_id)
        self._parts.measurements.task_started(
            self._records.shard,
            entry.worker_id,
            entry.run_id,
            entry.job.spec["kind"],
        )
        text = f"run {entry.row['run']} is running on {entry.worker_id}"
        if entry.witnessed_ms is None:
            text += " and was adopted after a change of owner"
            self._parts.log.emit(
                Event.TASK_ADOPTED,
                task=entry.task_id,
                run=entry.row["run"],
                worker=entry.worker_id,
            )
        reason = self._records.reason(Event.TASK_ADOPTED, text)
        if entry.state is TaskState.STARTING:
            reply = await self._records.change(
                entry,
                reason,
                state=TaskState.RUNNING.value,
            )
            entry.is_settled = isinstance(reply, Ok)
            return
        entry.pending_reasons.append(reason)
        entry.is_settled = True

    async def record_end(
        self,
        entry: Entry,
        report: RunReport,
    ) -> Result[None, Failure]:
        """Record an end that the worker confirmed, then acknowledge it."""
        entry.report = report
        entry.checkpoint = report.checkpoint or entry.checkpoint
        note_usage(entry, report)
        run_id, worker_id = entry.run_id, entry.worker_id
        self.free(entry)
        if report.state is RunState.DONE:
            reply = await self._record_done(entry)
        elif report.out_of_memory:
            reply = await self._record_shortage(entry)
        elif report.state is RunState.FAILED:
            reply = await self._record_failed(entry, report)
        else:
            reply = await self._record_cut_short(entry, report)
        if isinstance(reply, Ok):
            self._remember(run_id)
            await self.acknowledge(worker_id, [run_id])
        return reply

    async def _record_done(self, entry: Entry) -> Result[None, Failure]:
        run, worker_id = entry.row["run"], entry.worker_id
        text = f"run {run} on {worker_id} finished the task"
        reason = self._records.reason(Event.TASK_DONE, text)
        reply = await self._records.change(entry, reason, state=TaskState.DONE.value)
        if isinstance(reply, Ok):
            self._placed.note_end(worker_id, failed=False)
            self._estimates.task_done(entry, self._parts.clock.now_ms())
            self._emit(Event.TASK_DONE, entry, run=run, worker=worker_id)
        return reply

    async def _record_shortage(self, entry: Entry) -> Result[None, Failure]:
        """Queue a task again with more memory; neither it nor the worker has failed."""
        had_gb, memory_gb = memory_after_shortage(entry)
        text = (
            f"run {entry.row['run']} on {entry.worker_id} needed more memory than the "
            f"{had_gb:g} GB that it had; the task is to run again with {memory_gb:g} "
            "GB, and this does not count as a failure"
        )
        return await self.requeue(entry, Event.TASK_FAILED, text, memory_gb=memory_gb)

    async def _record_failed(
        self,
        entry: Entry,
        report: RunReport,
    ) -> Result[None, Failure]:
        run, worker_id = entry.row["run"], entry.worker_id
        failed_on = [*dict.fromkeys([*entry.row["failed_on"], worker_id])]
        text = (
            f"run {run} failed on {worker_id} ({report.error or 'no reason given'}); "
            f"the task has failed on {len(failed_on)} workers"
        )
        reply = await self.requeue(
            entry,
            Event.TASK_FAILED,
            text,
            failed_on=failed_on,
        )
        if isinstance(reply, Ok):
            self._placed.note_end(worker_id, failed=True)
        return reply

    async def _record_cut_short(
        self,
        entry: Entry,
        report: RunReport,
    ) -> Result[None, Failure]:
        run, worker_id = entry.row["run"], entry.worker_id
        if entry.state is TaskState.EVICTING:
            return await self._record_evicted(entry)
        if report.state is RunState.LAPSED:
            text = f"the lease of run {run} on {worker_id} expired"
            return await self.requeue(entry, Event.TASK_LAPSED, text)
        text = f"run {run} on {worker_id} was stopped"
        return await self.requeue(entry, Event.TASK_QUEUED, text)

    async def _record_evicted(self, entry: Entry) -> Result[None, Failure]:
        run, task_id = entry.row["run"], entry.task_id
        kept = f"from checkpoint {entry.checkpoint}" if entry.checkpoint else "anew"
        text = f"run {run} was evicted from {entry.worker_id}; the task goes on {kept}"
        reply = await self.requeue(
            entry,
            Event.TASK_EVICTED,
            text,
            evictions=entry.row["evictions"] + 1,
        )
        if isinstance(reply, Ok) and entry.state is TaskState.QUEUED:
            self._parts.invariants.check_single_resume(task_id, run)
        return reply

    async def _record_absent(self, entry: Entry, report: RunReport) -> None:
        run = entry.row["run"]
        if report.state is RunState.FORGOTTEN:
            what = f"{entry.worker_id} does not remember run {run} any more"
        else:
            what = f"{entry.worker_id} never saw run {run}, and refuses it from now on"
        await self.end_without_report(entry, Event.TASK_QUEUED, what)

    async def end_without_report(self, entry: Entry, event: Event, why: str) -> None:
        """Queue a task again whose run is certainly over or can't start any more."""
        run_id = entry.run_id
        self.free(entry)
        if isinstance(await self.requeue(entry, event, why), Ok):
            self._remember(run_id)

    async def requeue(
        self,
        entry: Entry,
        event: Event,
        why: str,
        **fields: Any,
    ) -> Result[None, Failure]:
        """Record that a run is over and that the task is to go on elsewhere."""
        run, worker_id = entry.row["run"], entry.worker_id
        state = TaskState.QUEUED
        if entry.job.cancelled:
            state, event = TaskState.CANCELLED, Event.TASK_CANCELLED
            why = f"{why}; the job was cancelled"
        reply = await self._records.change(
            entry,
            self._records.reason(event, why),
            state=state.value,
            worker="",
            incarnation="",
            checkpoint=entry.checkpoint,
            **fields,
        )
        if isinstance(reply, Ok):
            self._start_waiting(entry)
            self._emit(event, entry, run=run, worker=worker_id, why=why)
        return reply

    def _start_waiting(self, entry: Entry) -> None:
        entry.since_ms = self._parts.clock.now_ms()
        entry.report = None
        entry.witnessed_ms = None
        entry.is_settled = True
        entry.waiting_text = ""
        entry.saved_for_leaving = False
        entry.peak = None
        entry.saved_ms = 0

    async def wait_or_requeue(self, entry: Entry) -> None:
        """Queue a task again only if its run is certainly over; else say why not."""
        why = self.over_because(entry)
        if why is not None:
            await self.end_without_report(entry, Event.TASK_LAPSED, why)
            return
        text = (
            f"{entry.worker_id} does not answer; run {entry.row['run']} may still be "
            "running there, so the task waits and is not started elsewhere"
        )
        await self.note_waiting(entry, text)

    async def note_waiting(self, entry: Entry, text: str) -> None:
        """Record why a task waits, once for each different reason."""
        if entry.waiting_text == text:
            return
        reason = self._records.reason(Event.TASK_WAITING, text)
        if isinstance(await self._records.change(entry, reason), Ok):
            entry.waiting_text = text
            self._emit(Event.TASK_WAITING, entry, why=text)

    def is_over(self, entry: Entry) -> bool:
        """Tell whether the newest run is certainly over without a report."""
        return self.over_because(entry) is not None

    def over_because(self, entry: Entry) -> str | None:
        """Return why the newest run is certainly over, None if that is not certain."""
        run, worker_id = entry.row["run"], entry.worker_id
        fence = self._parts.links.fence_of(worker_id)
        if fence is not None and fence.incarnation != entry.row["incarnation"]:
            return f"{worker_id} has restarted, which ended run {run}"
        now_ms = self._parts.clock.now_ms()
        gone_ms = self._parts.view.gone_since_ms(worker_id)
        if gone_ms is not None and now_ms - gone_ms > self._parts.lease_bound_ms:
            seconds = (now_ms - gone_ms) / 1_000
            return (
                f"{worker_id} left the instance list {seconds:.1f} s ago, longer than "
                f"the lease of run {run}"
            )
        lapsed_ms = self._lapsed_for_ms(entry, now_ms)
        if lapsed_ms is not None:
            return (
                f"{worker_id} does not answer and the lease of run {run} ended "
                f"{lapsed_ms / 1_000:.1f} s ago"
            )
        return None

    def _lapsed_for_ms(self, entry: Entry, now_ms: Millis) -> Millis | None:
        """Return for how long the last lease has ended, None if that is not certain.

        Only an owner that held the shard for the whole run knows every lease that was
        sent.
        """
        held_ms = self._parts.links.held_since_ms(self._records.shard)
        started_ms = entry.witnessed_ms
        if started_ms is None or held_ms is None or held_ms > started_ms:
            return None
        until_ms = max(
            self._parts.links.lease_sent_until_ms(entry.worker_id),
            started_ms + self._parts.lease_ms,
        )
        margin_ms = self._parts.lease_bound_ms - self._parts.lease_ms
        return now_ms - until_ms if now_ms > until_ms + margin_ms else None

    def free(self, entry: Entry) -> None:
        """Release what a run held whose end is certain."""
        self._parts.slots.release(entry.worker_id, entry.run_id)
        self._placed.remove(entry, entry.worker_id, entry.run_id)
        self._parts.measurements.task_ended(entry.worker_id, entry.run_id)
        self._parts.invariants.record_run_end(entry.task_id, entry.run_id)

    async def acknowledge(self, worker_id: str, run_ids: list[str]) -> None:
        """Let the worker forget ended runs; the next report repeats a lost call."""
        target = self.target(worker_id)
        if isinstance(target, Ok):
            worker, fence = target.ok_value
            await self._parts.client.acknowledge(worker, fence, run_ids)

    def target(self, worker_id: str) -> Result[tuple[Worker, Fence], Failure]:
        """Return a worker that can be called, with its fence."""
        worker = self._parts.view.worker(worker_id)
        fence = self._parts.links.fence_of(worker_id)
        if worker is None or fence is None:
            detail = f"{worker_id} does not answer"
            return Err(unknown(Code.WORKER_UNREACHABLE, detail))
        return Ok((worker, fence))

    def note_refusal(self, failure: Failure) -> None:
        """Give the shard up if a worker refused its epoch."""
        if failure.code is Code.STALE_EPOCH:
            self._parts.owner.lost(self._records.shard, self._records.epoch)

    def _remember(self, run_id: str) -> None:
        self.recorded[run_id] = None
        if len(self.recorded) > MOST_REMEMBERED:
            del self.recorded[next(iter(self.recorded))]

    def _emit(self, event: Event, entry: Entry, **fields: Any) -> None:
        self._parts.log.emit(event, task=entry.task_id, **fields)

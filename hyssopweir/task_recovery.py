"""Reconciliation of task runs with the reports of workers, or without a report."""

from typing import Any

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, unknown
from hyssopweir.contracts import TaskState
from hyssopweir.estimates import Estimates, memory_after_shortage, record_peak_usage
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_rows import TaskDependencies, TaskEntry
from hyssopweir.worker_client import Fence, RunReport, RunState
from hyssopweir.worker_tasks import WorkerTasks

# Runs with a recorded end are cached, so that a repeated report is acknowledged without
# a read of the table.
MAX_RECORDED_RUNS = 10_000

ENDED_STATES = frozenset(
    {RunState.DONE, RunState.FAILED, RunState.LAPSED, RunState.STOPPED},
)


class RunReconciler:
    """Reconcile runs with their workers and record each end exactly once."""

    def __init__(
        self,
        dependencies: TaskDependencies,
        records: TaskRecords,
        worker_tasks: WorkerTasks,
        estimates: Estimates,
    ) -> None:
        self._dependencies = dependencies
        self._estimates = estimates
        self._records = records
        self._worker_tasks = worker_tasks
        self.recorded_runs: dict[str, None] = {}

    async def reconcile(self, entry: TaskEntry) -> None:
        """Determine the state of a run by the table in section 2.4 of the design."""
        worker = self._dependencies.view.worker(entry.worker_id)
        fence = self._dependencies.links.fence_of(entry.worker_id)
        if (
            worker is None
            or fence is None
            or fence.incarnation != entry.row["incarnation"]
        ):
            await self.requeue_if_over(entry)
            return
        if entry.report is not None:
            await self.record_end(entry, entry.report)
            return
        # The worker is asked even after the lease has expired: the run may have
        # finished before without a report, and a finished task must not run again.
        reply = await self._dependencies.client.lookup(worker, fence, entry.run_id)
        if isinstance(reply, Err):
            self.handle_stale_epoch(reply.err_value)
            await self.requeue_if_over(entry)
            return
        await self.apply(entry, reply.ok_value)

    async def apply(self, entry: TaskEntry, report: RunReport) -> None:
        """Adopt or end the newest run as the worker reports it."""
        if report.state is RunState.RUNNING:
            await self.adopt(entry, report)
        elif report.state in ENDED_STATES:
            await self.record_end(entry, report)
        else:
            await self._record_unknown_run(entry, report)

    async def adopt(self, entry: TaskEntry, report: RunReport) -> None:
        """Continue to manage a run that is running on its worker."""
        entry.checkpoint = report.checkpoint or entry.checkpoint
        self._worker_tasks.add(entry, entry.worker_id, entry.run_id)
        self._dependencies.measurements.task_started(
            self._records.shard,
            entry.worker_id,
            entry.run_id,
            entry.job.spec["kind"],
        )
        text = f"run {entry.row['run']} is running on {entry.worker_id}"
        if entry.started_here_ms is None:
            text += " and was adopted after a change of owner"
            self._dependencies.log.emit(
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
        entry: TaskEntry,
        report: RunReport,
    ) -> Result[None, Failure]:
        """Record an end that the worker reported, then acknowledge it."""
        entry.report = report
        entry.checkpoint = report.checkpoint or entry.checkpoint
        record_peak_usage(entry, report)
        run_id, worker_id = entry.run_id, entry.worker_id
        self.release_resources(entry)
        if report.state is RunState.DONE:
            reply = await self._record_done(entry)
        elif report.out_of_memory:
            reply = await self._record_out_of_memory(entry)
        elif report.state is RunState.FAILED:
            reply = await self._record_failed(entry, report)
        else:
            reply = await self._record_interrupted(entry, report)
        if isinstance(reply, Ok):
            self._remember_run(run_id)
            await self.acknowledge(worker_id, [run_id])
        return reply

    async def _record_done(self, entry: TaskEntry) -> Result[None, Failure]:
        run, worker_id = entry.row["run"], entry.worker_id
        text = f"run {run} on {worker_id} finished the task"
        reason = self._records.reason(Event.TASK_DONE, text)
        reply = await self._records.change(entry, reason, state=TaskState.DONE.value)
        if isinstance(reply, Ok):
            self._worker_tasks.record_run_result(worker_id, failed=False)
            self._estimates.task_done(entry, self._dependencies.clock.now_ms())
            self._emit(Event.TASK_DONE, entry, run=run, worker=worker_id)
        return reply

    async def _record_out_of_memory(self, entry: TaskEntry) -> Result[None, Failure]:
        """Requeue a task with more memory, without a failure of task or worker."""
        limit_gb, memory_gb = memory_after_shortage(entry)
        text = (
            f"run {entry.row['run']} on {entry.worker_id} needed more memory than the "
            f"{limit_gb:g} GB that it had; the task is to run again with {memory_gb:g} "
            "GB, and this does not count as a failure"
        )
        return await self.requeue(entry, Event.TASK_FAILED, text, memory_gb=memory_gb)

    async def _record_failed(
        self,
        entry: TaskEntry,
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
            self._worker_tasks.record_run_result(worker_id, failed=True)
        return reply

    async def _record_interrupted(
        self,
        entry: TaskEntry,
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

    async def _record_evicted(self, entry: TaskEntry) -> Result[None, Failure]:
        run, task_id = entry.row["run"], entry.task_id
        resume_point = (
            f"from checkpoint {entry.checkpoint}" if entry.checkpoint else "anew"
        )
        text = (
            f"run {run} was evicted from {entry.worker_id}; "
            f"the task goes on {resume_point}"
        )
        reply = await self.requeue(
            entry,
            Event.TASK_EVICTED,
            text,
            evictions=entry.row["evictions"] + 1,
        )
        if isinstance(reply, Ok) and entry.state is TaskState.QUEUED:
            self._dependencies.invariants.check_single_resume(task_id, run)
        return reply

    async def _record_unknown_run(self, entry: TaskEntry, report: RunReport) -> None:
        run = entry.row["run"]
        if report.state is RunState.FORGOTTEN:
            cause = f"{entry.worker_id} does not remember run {run} any more"
        else:
            cause = f"{entry.worker_id} never saw run {run}, and refuses it from now on"
        await self.end_without_report(entry, Event.TASK_QUEUED, cause)

    async def end_without_report(
        self, entry: TaskEntry, event: Event, why: str
    ) -> None:
        """Requeue a task whose run has certainly ended or can no longer start."""
        run_id = entry.run_id
        self.release_resources(entry)
        if isinstance(await self.requeue(entry, event, why), Ok):
            self._remember_run(run_id)

    async def requeue(
        self,
        entry: TaskEntry,
        event: Event,
        why: str,
        **fields: Any,
    ) -> Result[None, Failure]:
        """Record that a run has ended and return its task to the queue.

        A task of a cancelled job is cancelled instead.
        """
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
            self._reset_run_state(entry)
            self._emit(event, entry, run=run, worker=worker_id, why=why)
        return reply

    def _reset_run_state(self, entry: TaskEntry) -> None:
        entry.since_ms = self._dependencies.clock.now_ms()
        entry.report = None
        entry.started_here_ms = None
        entry.is_settled = True
        entry.waiting_text = ""
        entry.checkpointed_for_leaving = False
        entry.peak = None
        entry.saved_ms = 0

    async def requeue_if_over(self, entry: TaskEntry) -> None:
        """Requeue a task if its run has certainly ended, else record why it waits."""
        why = self.end_reason(entry)
        if why is not None:
            await self.end_without_report(entry, Event.TASK_LAPSED, why)
            return
        text = (
            f"{entry.worker_id} does not answer; run {entry.row['run']} may still be "
            "running there, so the task waits and is not started elsewhere"
        )
        await self.record_waiting(entry, text)

    async def record_waiting(self, entry: TaskEntry, text: str) -> None:
        """Record why a task waits, unless the reason is the one recorded last."""
        if entry.waiting_text == text:
            return
        reason = self._records.reason(Event.TASK_WAITING, text)
        if isinstance(await self._records.change(entry, reason), Ok):
            entry.waiting_text = text
            self._emit(Event.TASK_WAITING, entry, why=text)

    def is_over(self, entry: TaskEntry) -> bool:
        """Return whether the newest run has certainly ended without a report."""
        return self.end_reason(entry) is not None

    def end_reason(self, entry: TaskEntry) -> str | None:
        """Return why the newest run has certainly ended, None if it may still run."""
        run, worker_id = entry.row["run"], entry.worker_id
        fence = self._dependencies.links.fence_of(worker_id)
        if fence is not None and fence.incarnation != entry.row["incarnation"]:
            return f"{worker_id} has restarted, which ended run {run}"
        now_ms = self._dependencies.clock.now_ms()
        delisted_ms = self._dependencies.view.gone_since_ms(worker_id)
        if (
            delisted_ms is not None
            and now_ms - delisted_ms > self._dependencies.lease_bound_ms
        ):
            seconds = (now_ms - delisted_ms) / 1_000
            return (
                f"{worker_id} left the instance list {seconds:.1f} s ago, longer than "
                f"the lease of run {run}"
            )
        expired_ms = self._lease_expired_for_ms(entry, now_ms)
        if expired_ms is not None:
            return (
                f"{worker_id} does not answer and the lease of run {run} ended "
                f"{expired_ms / 1_000:.1f} s ago"
            )
        return None

    def _lease_expired_for_ms(self, entry: TaskEntry, now_ms: Millis) -> Millis | None:
        """Return for how long the last lease has expired, None if that is unknown.

        Only an instance that owned the shard throughout the run knows every lease that
        was sent for it.
        """
        acquired_ms = self._dependencies.links.held_since_ms(self._records.shard)
        started_ms = entry.started_here_ms
        if started_ms is None or acquired_ms is None or acquired_ms > started_ms:
            return None
        expiry_ms = max(
            self._dependencies.links.lease_sent_until_ms(entry.worker_id),
            started_ms + self._dependencies.lease_ms,
        )
        margin_ms = self._dependencies.lease_bound_ms - self._dependencies.lease_ms
        return now_ms - expiry_ms if now_ms > expiry_ms + margin_ms else None

    def release_resources(self, entry: TaskEntry) -> None:
        """Release the slot and resources of a run that has certainly ended."""
        self._dependencies.slots.release(entry.worker_id, entry.run_id)
        self._worker_tasks.remove(entry, entry.worker_id, entry.run_id)
        self._dependencies.measurements.task_ended(entry.worker_id, entry.run_id)
        self._dependencies.invariants.record_run_end(entry.task_id, entry.run_id)

    async def acknowledge(self, worker_id: str, run_ids: list[str]) -> None:
        """Acknowledge ended runs, so that the worker can forget them.

        A lost call is repeated after the worker's next report.
        """
        target = self.target(worker_id)
        if isinstance(target, Ok):
            worker, fence = target.ok_value
            await self._dependencies.client.acknowledge(worker, fence, run_ids)

    def target(self, worker_id: str) -> Result[tuple[Worker, Fence], Failure]:
        """Return a worker and its fence, a failure if it is unlisted or unclaimed."""
        worker = self._dependencies.view.worker(worker_id)
        fence = self._dependencies.links.fence_of(worker_id)
        if worker is None or fence is None:
            detail = f"{worker_id} does not answer"
            return Err(unknown(Code.WORKER_UNREACHABLE, detail))
        return Ok((worker, fence))

    def handle_stale_epoch(self, failure: Failure) -> None:
        """Release the shard if a worker refused its epoch as stale."""
        if failure.code is Code.STALE_EPOCH:
            self._dependencies.owner.lost(self._records.shard, self._records.epoch)

    def _remember_run(self, run_id: str) -> None:
        self.recorded_runs[run_id] = None
        if len(self.recorded_runs) > MAX_RECORDED_RUNS:
            del self.recorded_runs[next(iter(self.recorded_runs))]

    def _emit(self, event: Event, entry: TaskEntry, **fields: Any) -> None:
        self._dependencies.log.emit(event, task=entry.task_id, **fields)

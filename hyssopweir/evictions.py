"""Eviction, checkpoints and cancellation of tasks; workers confirm each end."""

from typing import Any

from result import Err, Ok, Result

from hyssopweir.codes import Code, Failure
from hyssopweir.contracts import TaskState
from hyssopweir.events import Event
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunReconciler
from hyssopweir.task_rows import TaskDependencies, TaskEntry
from hyssopweir.worker_client import RunState


class Evictions:
    """Checkpoint and stop runs before they complete."""

    def __init__(
        self,
        parts: TaskDependencies,
        records: TaskRecords,
        settler: RunReconciler,
    ) -> None:
        self._parts = parts
        self._records = records
        self._settler = settler

    async def evict(
        self,
        entry: TaskEntry,
        why: str,
        figures: dict[str, Any] | None = None,
    ) -> Result[None, Failure]:
        """Record ``evicting``, save a checkpoint, stop the run, and queue the task.

        ``Ok`` means that the end of the run is confirmed and recorded. If the run ends
        by itself first, that outcome is recorded.
        """
        if entry.state is TaskState.RUNNING:
            text = f"run {entry.row['run']} on {entry.worker_id} is evicted: {why}"
            reply = await self._records.change(
                entry,
                self._records.reason(Event.TASK_EVICTING, text, figures),
                state=TaskState.EVICTING.value,
            )
            if isinstance(reply, Err):
                return reply
            self._parts.log.emit(Event.TASK_EVICTING, task=entry.task_id, why=why)
        return await self.finish(entry)

    async def finish(self, entry: TaskEntry) -> Result[None, Failure]:
        """Execute a recorded eviction, including one that a former owner recorded."""
        await self.save(entry)
        return await self._stop(entry)

    async def save(self, entry: TaskEntry) -> Result[None, Failure]:
        """Save a checkpoint; if that fails, the task resumes from an older one."""
        target = self._settler.target(entry.worker_id)
        if isinstance(target, Err):
            return target
        worker, fence = target.ok_value
        reply = await self._parts.client.checkpoint(worker, fence, entry.run_id)
        if isinstance(reply, Err):
            self._settler.handle_stale_epoch(reply.err_value)
            return reply
        entry.checkpoint = reply.ok_value.checkpoint or entry.checkpoint
        return Ok(None)

    async def cancel(self, entry: TaskEntry) -> Result[None, Failure]:
        """Cancel a task of a cancelled job; a run that completes first stays done."""
        if entry.state not in (TaskState.QUEUED, TaskState.HELD):
            return await self._stop(entry)
        text = "the job was cancelled before the task was started again"
        if entry.row["run"] == 0:
            text = "the job was cancelled before the task was started"
        reply = await self._records.change(
            entry,
            self._records.reason(Event.TASK_CANCELLED, text),
            state=TaskState.CANCELLED.value,
        )
        if isinstance(reply, Ok):
            self._parts.log.emit(Event.TASK_CANCELLED, task=entry.task_id)
        return reply

    async def _stop(self, entry: TaskEntry) -> Result[None, Failure]:
        target = self._settler.target(entry.worker_id)
        if isinstance(target, Err):
            entry.is_settled = False
            return target
        worker, fence = target.ok_value
        reply = await self._parts.client.stop(worker, fence, entry.run_id)
        if isinstance(reply, Err):
            self._settler.handle_stale_epoch(reply.err_value)
            entry.is_settled = False
            return reply
        report = reply.ok_value
        if report.state is RunState.RUNNING:
            return Err(Failure(Code.IN_PROGRESS, "the run has not ended yet"))
        await self._settler.apply(entry, report)
        return Ok(None)

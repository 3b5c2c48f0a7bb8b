"""Fenced writes of task rows, and read-back after a write of unknown outcome."""

from collections import Counter
from collections.abc import Sequence
from typing import Any, cast

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.contracts import (
    FINAL_TASK_STATES,
    Reason,
    ShardRow,
    TaskRow,
    TaskState,
)
from hyssopweir.events import Event
from hyssopweir.invariants import InvariantError
from hyssopweir.table import ABSENT, Delete, Operation, Put, Row
from hyssopweir.task_rows import (
    LIVE_STATES,
    TRANSITIONS,
    Job,
    QueueRow,
    TaskDependencies,
    TaskEntry,
    append_reasons,
    encode_row,
    queue_key,
    read_job,
    task_key,
)

READ_BACK_DELAY_MS: Millis = 200


class TaskRecords:
    """Read and write the tasks of one shard under one epoch."""

    def __init__(self, dependencies: TaskDependencies, shard: str, epoch: int) -> None:
        self.shard = shard
        self.epoch = epoch
        self.entries: dict[str, TaskEntry] = {}
        self._dependencies = dependencies
        self._jobs: dict[str, Job] = {}
        self._unfinished_by_job: Counter[str] = Counter()
        self._failed_by_job: dict[str, set[str]] = {}

    def reason(
        self,
        event: Event,
        text: str,
        figures: dict[str, Any] | None = None,
    ) -> Reason:
        """Return a reason in the name of this instance, at the current time."""
        reason: Reason = {
            "at_ms": self._dependencies.clock.wall_ms(),
            "event": event.name,
            "by": self._dependencies.log.instance,
            "text": text,
        }
        if figures:
            reason["figures"] = figures
        return reason

    async def load_new_tasks(self) -> Result[int, Failure]:
        """Load the tasks of new queue rows of the shard; return their number."""
        rows = await self._dependencies.store.scan(f"queue/{self.shard}/")
        if isinstance(rows, Err):
            return rows
        added = 0
        for row in rows.ok_value:
            queue_row = cast(QueueRow, row.value)
            if f"{queue_row['job']}/{queue_row['n']}" in self.entries:
                continue
            loaded = await self._load_task(queue_row, row.version)
            if isinstance(loaded, Err):
                return loaded
            added += loaded.ok_value
        return Ok(added)

    async def _load_task(
        self, queue_row: QueueRow, version: int
    ) -> Result[bool, Failure]:
        job = await self._load_job(queue_row["job"])
        if isinstance(job, Err):
            return job
        reply = await self._dependencies.store.read(
            task_key(queue_row["job"], queue_row["n"]),
        )
        if isinstance(reply, Err):
            return reply
        row = reply.ok_value
        if row is None or job.ok_value is None or not self._is_assigned_here(row):
            return Ok(False)
        now_ms = self._dependencies.clock.now_ms()
        task = cast(TaskRow, row.value)
        entry = TaskEntry(job.ok_value, task, row.version, queue_row, version, now_ms)
        self.entries[entry.task_id] = entry
        self._unfinished_by_job[queue_row["job"]] += 1
        self._update_failed(entry)
        return Ok(True)

    def _is_assigned_here(self, row: Row) -> bool:
        task = cast(TaskRow, row.value)
        return (
            task["shard"] == self.shard
            and TaskState(task["state"]) not in FINAL_TASK_STATES
        )

    async def _load_job(self, name: str) -> Result[Job | None, Failure]:
        cached = self._jobs.get(name)
        if cached is not None:
            return Ok(cached)
        reply = await read_job(self._dependencies.store, name)
        if isinstance(reply, Ok) and reply.ok_value is not None:
            self._jobs[name] = reply.ok_value
        return reply

    async def reread_job(self, name: str) -> bool:
        """Read a job's cancel flag again; return False if the table can't be read."""
        reply = await read_job(self._dependencies.store, name)
        if isinstance(reply, Err):
            return False
        cached = self._jobs.get(name)
        if cached is not None and reply.ok_value is not None:
            cached.cancelled = cached.cancelled or reply.ok_value.cancelled
        return True

    def mark_cancelled(self, name: str) -> None:
        """Set the cancel flag of a loaded job."""
        cached = self._jobs.get(name)
        if cached is not None:
            cached.cancelled = True

    def jobs(self) -> list[str]:
        """Return the jobs that have tasks here, and drop the others from the cache."""
        active_jobs = {entry.row["job"] for entry in self.entries.values()}
        self._jobs = {
            name: job for name, job in self._jobs.items() if name in active_jobs
        }
        return sorted(active_jobs)

    async def change(
        self,
        entry: TaskEntry,
        reason: Reason,
        conditions: Sequence[Operation] = (),
        **fields: Any,
    ) -> Result[None, Failure]:
        """Write a transition or another reason; return ``Ok`` only once confirmed.

        After a conflict or an unknown outcome the entry is read back, so that the next
        decision is based on the stored row.
        """
        changed = cast(TaskRow, {**entry.row, "epoch": self.epoch, **fields})
        self._check_transition(entry, changed)
        changed = append_reasons(changed, [*entry.pending_reasons, reason])
        key = task_key(entry.row["job"], entry.row["n"])
        operations: list[Operation] = [Put(key, encode_row(changed), entry.version)]
        if TaskState(changed["state"]) in FINAL_TASK_STATES:
            operations.append(self._delete_queue_row(entry))
        operations.extend(conditions)
        reply = await self._commit(operations)
        if isinstance(reply, Ok):
            self._apply_row(entry, changed, reply.ok_value[key])
            return Ok(None)
        code = reply.err_value.code
        if code in (Code.STORE_UNAVAILABLE, Code.OVERLOADED, Code.DRAINING):
            return reply
        await self._read_back(entry, code)
        return Ok(None) if _is_same_change(entry.row, changed) else reply

    async def move(
        self,
        entry: TaskEntry,
        target: str,
        reason: Reason,
    ) -> Result[None, Failure]:
        """Transfer a queued task to another shard in one transaction."""
        changed = cast(TaskRow, {**entry.row, "shard": target, "epoch": self.epoch})
        changed = append_reasons(changed, [*entry.pending_reasons, reason])
        job, number = entry.row["job"], entry.row["n"]
        reply = await self._commit(
            [
                Put(task_key(job, number), encode_row(changed), entry.version),
                self._delete_queue_row(entry),
                Put(
                    queue_key(target, job, number), encode_row(entry.queue_row), ABSENT
                ),
            ],
        )
        if isinstance(reply, Ok):
            self._remove(entry)
            return Ok(None)
        code = reply.err_value.code
        if code not in (Code.STORE_UNAVAILABLE, Code.OVERLOADED, Code.DRAINING):
            await self._read_back(entry, code)
        moved = entry.row["shard"] == target
        return Ok(None) if moved else reply

    def _remove(self, entry: TaskEntry) -> None:
        if self.entries.pop(entry.task_id, None) is not None:
            self._unfinished_by_job[entry.row["job"]] -= 1
            self._update_failed(entry)

    def failed_tasks(self, job: str) -> set[str]:
        """Return the tasks of a job that are held after failures on several workers."""
        return self._failed_by_job.get(job, set())

    def _update_failed(self, entry: TaskEntry) -> None:
        is_failed = self.entries.get(entry.task_id) is entry and entry.has_failed
        failed = self._failed_by_job.setdefault(entry.row["job"], set())
        (failed.add if is_failed else failed.discard)(entry.task_id)
        if not failed:
            del self._failed_by_job[entry.row["job"]]

    def has_unfinished_tasks(self, job: str) -> bool:
        """Return whether the shard has unfinished tasks of a job."""
        if self._unfinished_by_job[job] > 0:
            return True
        del self._unfinished_by_job[job]
        return False

    async def job_end_event(self, job: str) -> Event | None:
        """Return the event for the end of a job, None if it has not ended.

        The result is also None if the table can't be read.
        """
        reply = await self._dependencies.store.scan(f"tasks/{job}/")
        if isinstance(reply, Err):
            return None
        states = {TaskState(row.value["state"]) for row in reply.ok_value}
        if not states or not states <= FINAL_TASK_STATES:
            return None
        return Event.JOB_DONE if states == {TaskState.DONE} else Event.JOB_CANCELLED

    def _delete_queue_row(self, entry: TaskEntry) -> Delete:
        key = queue_key(self.shard, entry.row["job"], entry.row["n"])
        return Delete(key, entry.queue_version)

    async def _commit(
        self,
        operations: list[Operation],
    ) -> Result[dict[str, int], Failure]:
        return await self._dependencies.commits.commit(
            self.shard, self.epoch, operations
        )

    def _check_transition(self, entry: TaskEntry, changed: TaskRow) -> None:
        state = TaskState(changed["state"])
        if state is not entry.state and state not in TRANSITIONS[entry.state]:
            detail = f"{entry.task_id}: {entry.state.value} to {state.value}"
            self._dependencies.log.emit(
                Event.INVARIANT_BREACH,
                promise="task transitions",
                detail=detail,
            )
            raise InvariantError(detail)

    def _apply_row(self, entry: TaskEntry, row: TaskRow, version: int) -> None:
        entry.row = row
        entry.version = version
        entry.pending_reasons = []
        self._update_failed(entry)
        if entry.state in FINAL_TASK_STATES:
            self._remove(entry)

    async def _read_back(self, entry: TaskEntry, code: Code) -> None:
        """Read the entry until the table answers; release the shard if it is lost."""
        while not await self._try_read_back(entry):
            await self._dependencies.clock.sleep_ms(READ_BACK_DELAY_MS)
        self._dependencies.log.emit(
            Event.STORE_READ_BACK,
            task=entry.task_id,
            after=code.name,
            state=entry.state.value,
            run=entry.row["run"],
        )

    async def _try_read_back(self, entry: TaskEntry) -> bool:
        shard = await self._dependencies.store.read(f"shards/{self.shard}")
        if isinstance(shard, Err):
            return False
        row = shard.ok_value
        if row is None or cast(ShardRow, row.value)["epoch"] != self.epoch:
            self._dependencies.owner.lost(self.shard, self.epoch)
        key = task_key(entry.row["job"], entry.row["n"])
        task = await self._dependencies.store.read(key)
        if isinstance(task, Err) or not await self.reread_job(entry.row["job"]):
            return False
        found = task.ok_value
        if found is None:
            self._remove(entry)
            return True
        changed = found.version != entry.version
        self._apply_row(entry, cast(TaskRow, found.value), found.version)
        if changed and entry.state in LIVE_STATES:
            entry.is_settled = False
        if not self._is_assigned_here(found):
            self._remove(entry)
        return True


def _is_same_change(found: TaskRow, intended: TaskRow) -> bool:
    fields = ("state", "run", "epoch", "worker", "shard", "evictions", "reasons")
    return all(
        found.get(field) == intended.get(field) for field in (*fields, "memory_gb")
    )

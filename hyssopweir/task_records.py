"""Fenced writes of task rows, and what is known after a write of unknown outcome."""

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
    Entry,
    Job,
    QueueRow,
    TaskDependencies,
    as_value,
    queue_key,
    read_job,
    task_key,
    with_reasons,
)

READ_BACK_DELAY_MS: Millis = 200


class TaskRecords:
    """Read and write the tasks of one shard under one epoch."""

    def __init__(self, parts: TaskDependencies, shard: str, epoch: int) -> None:
        self.shard = shard
        self.epoch = epoch
        self.entries: dict[str, Entry] = {}
        self._parts = parts
        self._jobs: dict[str, Job] = {}
        self._left: Counter[str] = Counter()
        self._failed: dict[str, set[str]] = {}

    def reason(
        self,
        event: Event,
        text: str,
        figures: dict[str, Any] | None = None,
    ) -> Reason:
        """Return a reason given by this instance now."""
        reason: Reason = {
            "at_ms": self._parts.clock.wall_ms(),
            "event": event.name,
            "by": self._parts.log.instance,
            "text": text,
        }
        if figures:
            reason["figures"] = figures
        return reason

    async def load_new(self) -> Result[int, Failure]:
        """Load the tasks of the shard's queue rows that are not held yet."""
        rows = await self._parts.store.scan(f"queue/{self.shard}/")
        if isinstance(rows, Err):
            return rows
        added = 0
        for row in rows.ok_value:
            queue_row = cast(QueueRow, row.value)
            if f"{queue_row['job']}/{queue_row['n']}" in self.entries:
                continue
            loaded = await self._load(queue_row, row.version)
            if isinstance(loaded, Err):
                return loaded
            added += loaded.ok_value
        return Ok(added)

    async def _load(self, queue_row: QueueRow, version: int) -> Result[bool, Failure]:
        job = await self._job(queue_row["job"])
        if isinstance(job, Err):
            return job
        reply = await self._parts.store.read(
            task_key(queue_row["job"], queue_row["n"]),
        )
        if isinstance(reply, Err):
            return reply
        row = reply.ok_value
        if row is None or job.ok_value is None or not self._is_held_here(row):
            return Ok(False)
        now_ms = self._parts.clock.now_ms()
        task = cast(TaskRow, row.value)
        entry = Entry(job.ok_value, task, row.version, queue_row, version, now_ms)
        self.entries[entry.task_id] = entry
        self._left[queue_row["job"]] += 1
        self._note_failed(entry)
        return Ok(True)

    def _is_held_here(self, row: Row) -> bool:
        task = cast(TaskRow, row.value)
        return (
            task["shard"] == self.shard
            and TaskState(task["state"]) not in FINAL_TASK_STATES
        )

    async def _job(self, name: str) -> Result[Job | None, Failure]:
        known = self._jobs.get(name)
        if known is not None:
            return Ok(known)
        reply = await read_job(self._parts.store, name)
        if isinstance(reply, Ok) and reply.ok_value is not None:
            self._jobs[name] = reply.ok_value
        return reply

    async def reread_job(self, name: str) -> bool:
        """Read a job's cancel flag again; False if the table can't be read."""
        reply = await read_job(self._parts.store, name)
        if isinstance(reply, Err):
            return False
        known = self._jobs.get(name)
        if known is not None and reply.ok_value is not None:
            known.cancelled = known.cancelled or reply.ok_value.cancelled
        return True

    def mark_cancelled(self, name: str) -> None:
        """Note a cancelled job."""
        known = self._jobs.get(name)
        if known is not None:
            known.cancelled = True

    def jobs(self) -> list[str]:
        """Return the jobs that have tasks here; forget the others."""
        held = {entry.row["job"] for entry in self.entries.values()}
        self._jobs = {name: job for name, job in self._jobs.items() if name in held}
        return sorted(held)

    async def change(
        self,
        entry: Entry,
        reason: Reason,
        conditions: Sequence[Operation] = (),
        **fields: Any,
    ) -> Result[None, Failure]:
        """Record a transition or a further reason; ``Ok`` only once it is confirmed.

        After a conflict or an unknown outcome the entry is read again, so that the next
        decision starts from what the table holds.
        """
        changed = cast(TaskRow, {**entry.row, "epoch": self.epoch, **fields})
        self._check_transition(entry, changed)
        changed = with_reasons(changed, [*entry.pending_reasons, reason])
        key = task_key(entry.row["job"], entry.row["n"])
        operations: list[Operation] = [Put(key, as_value(changed), entry.version)]
        if TaskState(changed["state"]) in FINAL_TASK_STATES:
            operations.append(self._delete_queue_row(entry))
        operations.extend(conditions)
        reply = await self._commit(operations)
        if isinstance(reply, Ok):
            self._keep(entry, changed, reply.ok_value[key])
            return Ok(None)
        code = reply.err_value.code
        if code in (Code.STORE_UNAVAILABLE, Code.OVERLOADED, Code.DRAINING):
            return reply
        await self._refresh(entry, code)
        return Ok(None) if _same_decision(entry.row, changed) else reply

    async def move(
        self,
        entry: Entry,
        target: str,
        reason: Reason,
    ) -> Result[None, Failure]:
        """Hand a queued task to another shard in one transaction."""
        changed = cast(TaskRow, {**entry.row, "shard": target, "epoch": self.epoch})
        changed = with_reasons(changed, [*entry.pending_reasons, reason])
        job, number = entry.row["job"], entry.row["n"]
        reply = await self._commit(
            [
                Put(task_key(job, number), as_value(changed), entry.version),
                self._delete_queue_row(entry),
                Put(queue_key(target, job, number), as_value(entry.queue_row), ABSENT),
            ],
        )
        if isinstance(reply, Ok):
            self._drop(entry)
            return Ok(None)
        code = reply.err_value.code
        if code not in (Code.STORE_UNAVAILABLE, Code.OVERLOADED, Code.DRAINING):
            await self._refresh(entry, code)
        moved = entry.row["shard"] == target
        return Ok(None) if moved else reply

    def _drop(self, entry: Entry) -> None:
        if self.entries.pop(entry.task_id, None) is not None:
            self._left[entry.row["job"]] -= 1
            self._note_failed(entry)

    def failed_tasks(self, job: str) -> set[str]:
        """Return the tasks of a job that are held for failing on several workers."""
        return self._failed.get(job, set())

    def _note_failed(self, entry: Entry) -> None:
        is_held = self.entries.get(entry.task_id) is entry and entry.has_failed
        failed = self._failed.setdefault(entry.row["job"], set())
        (failed.add if is_held else failed.discard)(entry.task_id)
        if not failed:
            del self._failed[entry.row["job"]]

    def has_tasks_of(self, job: str) -> bool:
        """Tell whether the shard holds tasks of a job that have not ended."""
        if self._left[job] > 0:
            return True
        del self._left[job]
        return False

    async def job_end(self, job: str) -> Event | None:
        """Return how a job has ended, None if it has not or the table can't tell."""
        reply = await self._parts.store.scan(f"tasks/{job}/")
        if isinstance(reply, Err):
            return None
        states = {TaskState(row.value["state"]) for row in reply.ok_value}
        if not states or not states <= FINAL_TASK_STATES:
            return None
        return Event.JOB_DONE if states == {TaskState.DONE} else Event.JOB_CANCELLED

    def _delete_queue_row(self, entry: Entry) -> Delete:
        key = queue_key(self.shard, entry.row["job"], entry.row["n"])
        return Delete(key, entry.queue_version)

    async def _commit(
        self,
        operations: list[Operation],
    ) -> Result[dict[str, int], Failure]:
        return await self._parts.commits.commit(self.shard, self.epoch, operations)

    def _check_transition(self, entry: Entry, changed: TaskRow) -> None:
        state = TaskState(changed["state"])
        if state is not entry.state and state not in TRANSITIONS[entry.state]:
            detail = f"{entry.task_id}: {entry.state.value} to {state.value}"
            self._parts.log.emit(
                Event.INVARIANT_BREACH,
                promise="task transitions",
                detail=detail,
            )
            raise InvariantError(detail)

    def _keep(self, entry: Entry, row: TaskRow, version: int) -> None:
        entry.row = row
        entry.version = version
        entry.pending_reasons = []
        self._note_failed(entry)
        if entry.state in FINAL_TASK_STATES:
            self._drop(entry)

    async def _refresh(self, entry: Entry, code: Code) -> None:
        """Read the entry again until the table answers; notice a lost shard."""
        while not await self._reread(entry):
            await self._parts.clock.sleep_ms(READ_BACK_DELAY_MS)
        self._parts.log.emit(
            Event.STORE_READ_BACK,
            task=entry.task_id,
            after=code.name,
            state=entry.state.value,
            run=entry.row["run"],
        )

    async def _reread(self, entry: Entry) -> bool:
        shard = await self._parts.store.read(f"shards/{self.shard}")
        if isinstance(shard, Err):
            return False
        row = shard.ok_value
        if row is None or cast(ShardRow, row.value)["epoch"] != self.epoch:
            self._parts.owner.lost(self.shard, self.epoch)
        key = task_key(entry.row["job"], entry.row["n"])
        task = await self._parts.store.read(key)
        if isinstance(task, Err) or not await self.reread_job(entry.row["job"]):
            return False
        found = task.ok_value
        if found is None:
            self._drop(entry)
            return True
        changed = found.version != entry.version
        self._keep(entry, cast(TaskRow, found.value), found.version)
        if changed and entry.state in LIVE_STATES:
            entry.is_settled = False
        if not self._is_held_here(found):
            self._drop(entry)
        return True


def _same_decision(found: TaskRow, wanted: TaskRow) -> bool:
    fields = ("state", "run", "epoch", "worker", "shard", "evictions", "reasons")
    return all(
        found.get(field) == wanted.get(field) for field in (*fields, "memory_gb")
    )

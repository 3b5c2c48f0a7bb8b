"""Submission, status and cancellation of batch jobs on any instance."""

import json
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol, TypedDict, cast

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, Outcome, not_run
from hyssopweir.contracts import (
    FINAL_TASK_STATES,
    JobRow,
    JobSpec,
    Reason,
    TaskRow,
    TaskState,
    digest_of,
)
from hyssopweir.events import Event, EventLog
from hyssopweir.peers import PeerNetwork
from hyssopweir.schemas import load_schema, schema_faults
from hyssopweir.table import ABSENT, Operation, Put, Row, TableStore
from hyssopweir.task_rows import (
    QueueRow,
    encode_row,
    initial_task_row,
    job_key,
    queue_key,
    task_key,
)

CANCEL_ATTEMPTS = 5
# Bounds how long a caller waits for the outcome of an unconfirmed write.
READ_BACK_ATTEMPTS = 5
READ_BACK_DELAY_MS: Millis = 100


class TaskStatus(TypedDict):
    """Describe a task in the reply to a caller."""

    n: int
    state: str
    shard: str
    worker: str
    run: int
    evictions: int


class JobStatus(TypedDict):
    """Describe a job in the reply to a caller; ``counts`` is the tasks per state."""

    job: str
    team: str
    state: str
    cancelled: bool
    counts: dict[str, int]
    tasks: list[TaskStatus]


class JobRecords(NamedTuple):
    """Hold the stored rows of a job; ``row`` is None if the job row is missing."""

    job: str
    row: JobRow | None
    tasks: list[TaskRow]


class TaskNotifier(Protocol):
    """Notify the tasks of owned shards of changes; implemented by ``TaskKeeper``."""

    def wake(self, shard: str) -> None:
        """Read the queue of a shard again after tasks were added to it."""
        ...

    def job_cancelled(self, job: str) -> None:
        """Stop the tasks of a cancelled job."""
        ...


class JobApi:
    """Serve the job calls; any instance can, as all state is read from the table."""

    def __init__(
        self,
        store: TableStore,
        peers: PeerNetwork,
        notifier: TaskNotifier,
        free_slots: Callable[[], dict[str, int]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._store = store
        self._peers = peers
        self._notifier = notifier
        self._free_slots = free_slots
        self._clock = clock
        self._log = log
        self._schema = job_schema()

    async def submit(self, spec: JobSpec, caller: str) -> Result[JobStatus, Failure]:
        """Accept a job; a repeated submission returns the status of the accepted job.

        Failures: ``BAD_REQUEST`` with every fault in ``extra``, ``KEY_REUSED`` if the
        id belongs to another job, ``NO_CAPACITY``, ``STORE_UNAVAILABLE``.
        """
        faults = schema_faults(self._schema, spec, Code.BAD_REQUEST)
        if faults:
            fault_items = [
                {"path": item.path, "detail": item.detail} for item in faults
            ]
            detail = "; ".join(f"{item.path}: {item.detail}" for item in faults)
            return Err(not_run(Code.BAD_REQUEST, detail, faults=fault_items))
        digest = digest_of(json.dumps(spec, sort_keys=True).encode())
        found = await self._read_job(spec["job"])
        if isinstance(found, Err):
            return Err(_unavailable(Outcome.UNKNOWN))
        if found.ok_value is not None:
            return await self._handle_resubmission(spec["job"], found.ok_value, digest)
        free = self._free_slots()
        if not free:
            detail = "no rack of workers is known yet"
            return Err(not_run(Code.NO_CAPACITY, detail))
        row: JobRow = {
            "spec": spec,
            "digest": digest,
            "cancelled": False,
            "accepted_by": f"{self._log.instance} for {caller}",
        }
        return await self._accept(row, assign_shards(spec, free))

    async def _accept(
        self,
        row: JobRow,
        shards: list[str],
    ) -> Result[JobStatus, Failure]:
        spec = row["spec"]
        operations, tasks = self._initial_rows(row, shards)
        reply = await self._store.commit(operations)
        if isinstance(reply, Err):
            if reply.err_value.code is Code.STORE_UNAVAILABLE:
                return Err(_unavailable(Outcome.NOT_RUN))
            return await self._read_back(spec["job"], row["digest"])
        self._log.emit(Event.JOB_ACCEPTED, job=spec["job"], tasks=spec["tasks"])
        self._announce(shards)
        return Ok(status_of(row, tasks))

    def _announce(self, shards: list[str]) -> None:
        affected = sorted(set(shards))
        for shard in affected:
            self._notifier.wake(shard)
        self._peers.broadcast("queue_changed", {"shards": affected})

    def _initial_rows(
        self,
        row: JobRow,
        shards: list[str],
    ) -> tuple[list[Operation], list[TaskRow]]:
        job = row["spec"]["job"]
        now_ms = self._clock.wall_ms()
        operations: list[Operation] = [Put(job_key(job), encode_row(row), ABSENT)]
        tasks: list[TaskRow] = []
        for number, shard in enumerate(shards):
            task = initial_task_row(
                job, number, shard, self._queued_reason(shard, now_ms)
            )
            queue_row: QueueRow = {
                "job": job,
                "n": number,
                "urgent": row["spec"].get("urgent", False),
                "at_ms": now_ms,
            }
            tasks.append(task)
            operations.append(Put(task_key(job, number), encode_row(task), ABSENT))
            key = queue_key(shard, job, number)
            operations.append(Put(key, encode_row(queue_row), ABSENT))
        return operations, tasks

    def _queued_reason(self, shard: str, now_ms: Millis) -> Reason:
        free = self._free_slots().get(shard, 0)
        return {
            "at_ms": now_ms,
            "event": Event.TASK_QUEUED.name,
            "by": self._log.instance,
            "text": f"queued in {shard}, which had {free} free slots for tasks",
            "figures": {"free_slots": free},
        }

    async def _read_back(self, job: str, digest: str) -> Result[JobStatus, Failure]:
        """Read back whether the job was accepted after a conflict or a lost reply."""
        for _ in range(READ_BACK_ATTEMPTS):
            found = await self._read_job(job)
            if isinstance(found, Ok):
                if found.ok_value is None:
                    break
                return await self._handle_resubmission(job, found.ok_value, digest)
            await self._clock.sleep_ms(READ_BACK_DELAY_MS)
        return Err(_unavailable(Outcome.UNKNOWN))

    async def _handle_resubmission(
        self,
        job: str,
        row: Row,
        digest: str,
    ) -> Result[JobStatus, Failure]:
        accepted_row = cast(JobRow, row.value)
        if accepted_row["digest"] != digest:
            detail = f"the id {job} belongs to another job that was accepted before"
            return Err(not_run(Code.KEY_REUSED, detail))
        tasks = await self._read_tasks(job)
        if isinstance(tasks, Err):
            return Err(_unavailable(Outcome.RAN))
        self._announce([task["shard"] for task in tasks.ok_value])
        return Ok(status_of(accepted_row, tasks.ok_value))

    async def status(self, job: str) -> Result[JobStatus, Failure]:
        """Read the state of a job and of its tasks."""
        records = await self.task_rows(job)
        if isinstance(records, Err):
            return records
        row = records.ok_value.row
        if row is None:
            return Err(_not_found(job))
        return Ok(status_of(row, records.ok_value.tasks))

    async def task_rows(self, job: str) -> Result[JobRecords, Failure]:
        """Read the rows of a job, for ``explain``."""
        found = await self._read_job(job)
        if isinstance(found, Err):
            return found
        tasks = await self._read_tasks(job)
        if isinstance(tasks, Err):
            return tasks
        row = found.ok_value
        job_row = None if row is None else cast(JobRow, row.value)
        return Ok(JobRecords(job, job_row, tasks.ok_value))

    async def cancel(self, job: str) -> Result[JobStatus, Failure]:
        """Request the cancellation of a job; tasks that finish first stay done.

        A job that has already ended is not changed.
        """
        for _ in range(CANCEL_ATTEMPTS):
            found = await self._read_job(job)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Err(_not_found(job))
            row = cast(JobRow, found.ok_value.value)
            tasks = await self._read_tasks(job)
            if isinstance(tasks, Err):
                return tasks
            if has_ended(row, tasks.ok_value):
                return Ok(status_of(row, tasks.ok_value))
            if row["cancelled"] or await self._mark_cancelled(
                job, row, found.ok_value.version
            ):
                self._notifier.job_cancelled(job)
                self._peers.broadcast("job_cancelled", {"job": job})
                return await self.status(job)
        return Err(_unavailable(Outcome.UNKNOWN))

    async def _mark_cancelled(self, job: str, row: JobRow, version: int) -> bool:
        cancelled = cast(JobRow, {**row, "cancelled": True})
        reply = await self._store.commit(
            [Put(job_key(job), encode_row(cancelled), version)],
        )
        if isinstance(reply, Ok):
            self._log.emit(Event.JOB_CANCEL_REQUESTED, job=job)
        return isinstance(reply, Ok)

    async def _read_job(self, job: str) -> Result[Row | None, Failure]:
        reply = await self._store.read(job_key(job))
        if isinstance(reply, Err):
            return Err(_unavailable(Outcome.UNKNOWN))
        return reply

    async def _read_tasks(self, job: str) -> Result[list[TaskRow], Failure]:
        reply = await self._store.scan(f"tasks/{job}/")
        if isinstance(reply, Err):
            return Err(_unavailable(Outcome.UNKNOWN))
        tasks = [cast(TaskRow, row.value) for row in reply.ok_value]
        return Ok(sorted(tasks, key=lambda task: task["n"]))


def job_schema() -> dict[str, Any]:
    """Load the JSON schema of a job specification."""
    return load_schema("job")


def assign_shards(spec: JobSpec, free: dict[str, int]) -> list[str]:
    """Assign each task to the shard that then has the most free slots."""
    data_centre = spec.get("data_centre")
    allowed = {
        shard: slots
        for shard, slots in free.items()
        if data_centre is None or shard.partition("/")[0] == data_centre
    }
    # If no shard is allowed, the owner of the task detects and explains it.
    remaining = dict(sorted((allowed or free).items()))
    shards: list[str] = []
    for _ in range(spec["tasks"]):
        best = max(remaining, key=lambda shard: remaining[shard])
        remaining[best] -= 1
        shards.append(best)
    return shards


def has_ended(row: JobRow, tasks: Sequence[TaskRow]) -> bool:
    """Return whether all tasks of a job are recorded as ended."""
    ended = [TaskState(task["state"]) in FINAL_TASK_STATES for task in tasks]
    return all(ended) and len(ended) == row["spec"]["tasks"]


def status_of(row: JobRow, tasks: Sequence[TaskRow]) -> JobStatus:
    """Build the status of a job from its rows."""
    counts = Counter(task["state"] for task in tasks)
    return {
        "job": row["spec"]["job"],
        "team": row["spec"]["team"],
        "state": _job_state(counts),
        "cancelled": row["cancelled"],
        "counts": dict(sorted(counts.items())),
        "tasks": [_task_status(task) for task in tasks],
    }


def _task_status(task: TaskRow) -> TaskStatus:
    return {
        "n": task["n"],
        "state": task["state"],
        "shard": task["shard"],
        "worker": task["worker"],
        "run": task["run"],
        "evictions": task["evictions"],
    }


def _job_state(counts: Counter[str]) -> str:
    """Derive the state of a job, which is final only when all its tasks are."""
    unfinished = [
        state for state in counts if TaskState(state) not in FINAL_TASK_STATES
    ]
    if not unfinished:
        failure_states = (TaskState.FAILED, TaskState.CANCELLED)
        present = [state.value for state in failure_states if counts[state.value]]
        return present[0] if present else str(TaskState.DONE.value)
    if unfinished == [TaskState.HELD.value]:
        return str(TaskState.HELD.value)
    if set(unfinished) <= {TaskState.QUEUED.value, TaskState.HELD.value}:
        return str(TaskState.QUEUED.value)
    return str(TaskState.RUNNING.value)


def _not_found(job: str) -> Failure:
    return not_run(Code.NOT_FOUND, f"no job has the id {job}")


def _unavailable(outcome: Outcome) -> Failure:
    """Return the failure of a call that the table service did not complete.

    ``outcome`` says what is known of the write.
    """
    consequences = {
        Outcome.NOT_RUN: "nothing was changed",
        Outcome.RAN: "the job was accepted, but its state can't be read",
        Outcome.UNKNOWN: "the state of the job is not known; ask again later",
    }
    detail = f"the table service is not available: {consequences[outcome]}"
    return Failure(Code.STORE_UNAVAILABLE, detail, outcome)

"""Rows of jobs, tasks and queues, and the owner's in-memory state of a task."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol, TypedDict, cast

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.contracts import (
    JobRow,
    JobSpec,
    Reason,
    TaskRow,
    TaskState,
    run_id_of,
)
from hyssopweir.events import EventLog
from hyssopweir.fleet import Worker
from hyssopweir.interference_forecast import InterferenceForecaster
from hyssopweir.invariants import Invariants
from hyssopweir.measurements import Measurements
from hyssopweir.table import Operation, TableStore
from hyssopweir.worker_client import Fence, RunReport, Usage, WorkerClient

MAX_REASONS = 20
MAX_FAILED_WORKERS = 3
# Constant part of the margin for clock drift that is added to a lease, beside a tenth
# of its term; see section 2.4 of the design.
LEASE_MARGIN_MS: Millis = 1_000

LIVE_STATES = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.EVICTING},
)

TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.QUEUED: frozenset(
        {TaskState.STARTING, TaskState.CANCELLED, TaskState.HELD},
    ),
    TaskState.STARTING: frozenset(
        {
            TaskState.RUNNING,
            TaskState.QUEUED,
            TaskState.DONE,
            TaskState.FAILED,
            TaskState.CANCELLED,
        },
    ),
    TaskState.RUNNING: frozenset(
        {
            TaskState.DONE,
            TaskState.FAILED,
            TaskState.EVICTING,
            TaskState.QUEUED,
            TaskState.CANCELLED,
        },
    ),
    TaskState.EVICTING: frozenset(
        {TaskState.QUEUED, TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED},
    ),
    TaskState.HELD: frozenset({TaskState.QUEUED, TaskState.CANCELLED}),
    TaskState.DONE: frozenset(),
    TaskState.FAILED: frozenset(),
    TaskState.CANCELLED: frozenset(),
}


class QueueRow(TypedDict):
    """Index row of an unfinished task of a shard, ``queue/<shard>/<job>/<n>``.

    ``at_ms`` is the wall clock time of the submission, which orders the queue.
    """

    job: str
    n: int
    urgent: bool
    at_ms: Millis


class SlotAllocator(Protocol):
    """Allocate worker slots to runs; implemented by ``SlotLedger``."""

    def take(self, worker_id: str, run_id: str, is_task: bool) -> bool:
        """Allocate a slot to a run; return False if none is free."""
        ...

    def release(self, worker_id: str, run_id: str) -> None:
        """Release the slot of a run that has certainly ended."""
        ...

    def free(self, worker_id: str, is_task: bool) -> int:
        """Return the number of free slots of a worker."""
        ...

    def shortage(self, worker_id: str) -> int:
        """Return how many runs must end before a task can get a slot."""
        ...


class WorkerLeases(Protocol):
    """Fences and leases of the claimed workers; implemented by ``WorkerLinks``."""

    def fence_of(self, worker_id: str) -> Fence | None:
        """Return the fence of a worker, None if it is not claimed."""
        ...

    def lease_until_ms(self, worker_id: str) -> Millis | None:
        """Return the expiry of a new lease on the worker's clock."""
        ...

    def lease_sent_until_ms(self, worker_id: str) -> Millis:
        """Return the latest lease expiry sent, on the local clock."""
        ...

    def held_since_ms(self, shard: str) -> Millis | None:
        """Return since when the shard has been owned without interruption."""
        ...


class WorkerDirectory(Protocol):
    """Look up workers of the instance list; implemented by ``FleetView``."""

    def workers(self) -> list[Worker]:
        """Return the listed workers of all shards."""
        ...

    def worker(self, worker_id: str) -> Worker | None:
        """Return a worker, None if it is not listed."""
        ...

    def workers_of(self, shard: str) -> list[Worker]:
        """Return the listed workers of a shard."""
        ...

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        """Return since when a worker is listed as leaving, None if it is not."""
        ...

    def gone_since_ms(self, worker_id: str) -> Millis | None:
        """Return when a worker was removed from the list, None if it was not."""
        ...


class ShardOwner(Protocol):
    """Release ownership of a shard; implemented by ``Ownership``."""

    def lost(self, shard: str, epoch: int) -> None:
        """Release a shard whose epoch a worker or the table refused."""
        ...


class FencedCommits(Protocol):
    """Commit writes fenced by a shard's epoch; implemented by ``GroupCommit``."""

    async def commit(
        self,
        shard: str,
        epoch: int,
        operations: Sequence[Operation],
    ) -> Result[dict[str, int], Failure]:
        """Apply the operations atomically if the epoch is still current."""
        ...


class TaskDependencies(NamedTuple):
    """Components that the modules of the task life cycle share."""

    store: TableStore
    commits: FencedCommits
    client: WorkerClient
    links: WorkerLeases
    slots: SlotAllocator
    view: WorkerDirectory
    owner: ShardOwner
    invariants: Invariants
    clock: Clock
    log: EventLog
    lease_ms: Millis
    measurements: Measurements
    interference_forecaster: InterferenceForecaster
    is_ejected: Callable[[str], bool] = lambda worker_id: False

    @property
    def lease_bound_ms(self) -> Millis:
        """Return the lease term plus the margin for clock drift."""
        return self.lease_ms + self.lease_ms // 10 + LEASE_MARGIN_MS


class Job:
    """Specification of a job and whether it was cancelled."""

    def __init__(self, row: JobRow) -> None:
        self.spec: JobSpec = row["spec"]
        self.cancelled = row["cancelled"]


class Eviction(NamedTuple):
    """Pending request to evict a task, and the future for its result."""

    why: str
    reply: asyncio.Future[Result[None, Failure]]


class TaskEntry:
    """Task of an owned shard: its row as last read or written, and local state."""

    def __init__(
        self,
        job: Job,
        row: TaskRow,
        version: int,
        queue_row: QueueRow,
        queue_version: int,
        now_ms: Millis,
    ) -> None:
        self.job = job
        self.row = row
        self.version = version
        self.queue_row = queue_row
        self.queue_version = queue_version
        self.since_ms = now_ms
        self.retry_ms: Millis = 0
        self.busy = False
        self.is_settled = self.state not in LIVE_STATES
        self.started_here_ms: Millis | None = None
        self.report: RunReport | None = None
        self.checkpoint: str | None = row["checkpoint"]
        self.eviction: Eviction | None = None
        self.pending_reasons: list[Reason] = []
        self.waiting_text = ""
        self.checkpointed_for_leaving = False
        # Newest run: peak of the measured usage, memory limit (0 if unknown), and wall
        # clock time at which its newest checkpoint was reported.
        self.peak: Usage | None = None
        self.memory_limit_gb = 0.0
        self.saved_ms: Millis = 0
        # Whether a task behind this one in the queue was started first.
        self.passed_over = False

    @property
    def task_id(self) -> str:
        """Return ``<job>/<n>``."""
        return f"{self.row['job']}/{self.row['n']}"

    @property
    def run_id(self) -> str:
        """Return the id of the newest run."""
        return run_id_of(self.task_id, self.row["run"])

    @property
    def state(self) -> TaskState:
        """Return the state in the task's row."""
        return TaskState(self.row["state"])

    @property
    def has_failed(self) -> bool:
        """Return whether the task is held because it failed on several workers."""
        failures = len(self.row["failed_on"])
        return self.state is TaskState.HELD and failures >= MAX_FAILED_WORKERS

    @property
    def worker_id(self) -> str:
        """Return the worker of the newest run, an empty string if there is none."""
        return self.row["worker"]


def job_key(job: str) -> str:
    """Return the key of a job's row."""
    return f"jobs/{job}"


def task_key(job: str, number: int) -> str:
    """Return the key of a task's row."""
    return f"tasks/{job}/{number}"


def queue_key(shard: str, job: str, number: int) -> str:
    """Return the key of a task's queue row in a shard."""
    return f"queue/{shard}/{job}/{number}"


def encode_row(row: TaskRow | JobRow | QueueRow) -> dict[str, Any]:
    """Convert a row to the value type of the table service."""
    return cast(dict[str, Any], dict(row))


def initial_task_row(job: str, number: int, shard: str, reason: Reason) -> TaskRow:
    """Return the initial row of an accepted task."""
    return {
        "job": job,
        "n": number,
        "state": TaskState.QUEUED.value,
        "shard": shard,
        "run": 0,
        "worker": "",
        "incarnation": "",
        "epoch": 0,
        "checkpoint": None,
        "evictions": 0,
        "failed_on": [],
        "reasons": [reason],
    }


def append_reasons(row: TaskRow, reasons: Sequence[Reason]) -> TaskRow:
    """Return the row with added reasons, limited to the newest ``MOST_REASONS``."""
    newest = [*row["reasons"], *reasons][-MAX_REASONS:]
    return cast(TaskRow, {**row, "reasons": newest})


async def read_job(store: TableStore, job: str) -> Result[Job | None, Failure]:
    """Read a job; the result is None if it does not exist."""
    reply = await store.read(job_key(job))
    if isinstance(reply, Err):
        return reply
    row = reply.ok_value
    return Ok(None if row is None else Job(cast(JobRow, row.value)))

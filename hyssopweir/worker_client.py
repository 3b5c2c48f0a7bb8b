"""Interface of a worker, as the platform offers it to the owner of its shard."""

from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.fleet import Worker


class Fence(NamedTuple):
    """Identify the owner's epoch and the worker's incarnation in each call."""

    epoch: int
    incarnation: str


class RunState(str, Enum):
    """Name what a worker can say of a run."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    LAPSED = "lapsed"
    STOPPED = "stopped"
    NEVER_SEEN = "never_seen"
    FORGOTTEN = "forgotten"


class Usage(NamedTuple):
    """Hold one measurement of a task, which arrives late.

    ``at_ms`` is on the worker's monotonic clock, ``cores`` the mean since the
    measurement before, ``memory_gb`` the peak since the start of the run.
    """

    at_ms: Millis
    cores: float
    memory_gb: float


class RunReport(NamedTuple):
    """Hold a worker's word on one run.

    ``answer`` and ``request_id`` are set for requests, ``checkpoint``, ``progress`` (0
    to 1) and the newest ``usage`` for tasks. ``out_of_memory`` tells that a failed task
    was ended because it needed more memory than it was given.
    """

    run_id: str
    state: RunState
    is_task: bool = False
    answer: bytes | None = None
    request_id: str = ""
    checkpoint: str | None = None
    progress: float = 0.0
    error: str = ""
    usage: Usage | None = None
    out_of_memory: bool = False


class Inventory(NamedTuple):
    """List a worker's live runs and its ended tasks that are not acknowledged.

    Ended requests are kept for ``lookup`` for at least 10 minutes but are not listed.
    ``clock_ms`` is the worker's monotonic clock, in which leases are expressed.
    """

    incarnation: str
    revision: int
    clock_ms: Millis
    leaving: bool
    runs: tuple[RunReport, ...]


class TaskRun(NamedTuple):
    """Describe one run of a task for a worker."""

    run_id: str
    kind: str
    run_ms: Millis
    cores: float
    memory_gb: float
    accelerators: int
    payload: dict[str, Any]
    checkpoint: str | None


class RequestRun(NamedTuple):
    """Describe one run of a request for a worker."""

    run_id: str
    request_id: str
    service: str
    body: bytes
    deadline_ms: Millis


class WorkerClient(Protocol):
    """Call workers; every call but ``claim`` carries a fence.

    Failures: ``STALE_EPOCH``, ``STALE_INCARNATION``, ``WORKER_FULL``,
    ``WORKER_LEAVING`` and ``WORKER_REFUSED`` are the worker's own refusals, outcome
    ``NOT_RUN``. ``WORKER_UNREACHABLE`` has outcome ``NOT_RUN`` if no connection could
    be opened, else ``UNKNOWN``. ``WORKER_JUNK`` is a reply that can't be read.
    """

    def release(self, worker: Worker) -> None:
        """Close the idle connections to a worker that is not owned any more."""
        ...

    async def claim(self, worker: Worker, epoch: int) -> Result[Inventory, Failure]:
        """Refuse lower epochs from now on; return the inventory at that moment."""
        ...

    async def execute(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Run a request and return its ended run, ``DONE`` or ``FAILED``."""
        ...

    async def start(
        self,
        worker: Worker,
        fence: Fence,
        run: TaskRun,
        lease_until_ms: Millis,
    ) -> Result[None, Failure]:
        """Start a run of a task under a lease that ends on the worker's clock."""
        ...

    async def watch(
        self,
        worker: Worker,
        fence: Fence,
        revision: int,
        wait_ms: Millis,
        lease_until_ms: Millis,
    ) -> Result[Inventory, Failure]:
        """Renew the leases of all tasks; return once the revision differs."""
        ...

    async def checkpoint(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Write a checkpoint of a running task."""
        ...

    async def throttle(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
        share: float,
    ) -> Result[RunReport, Failure]:
        """Limit a running task to a share (0 to 1) of its processors."""
        ...

    async def stop(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """End a run and confirm its end; the report of a run that ended before."""
        ...

    async def lookup(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Return the state of a run; one that was never seen can't start any more."""
        ...

    async def acknowledge(
        self,
        worker: Worker,
        fence: Fence,
        run_ids: Sequence[str],
    ) -> Result[None, Failure]:
        """Let the worker forget ended runs whose end is recorded."""
        ...

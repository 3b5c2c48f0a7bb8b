"""Interface that a worker offers to the owner of its shard, and its messages."""

from collections.abc import Sequence
from enum import Enum
from typing import Any, NamedTuple, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.fleet import Worker


class Fence(NamedTuple):
    """Fencing token of a call: the owner's epoch and the worker's incarnation."""

    epoch: int
    incarnation: str


class RunState(str, Enum):
    """State of a run as reported by its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    LAPSED = "lapsed"
    STOPPED = "stopped"
    NEVER_SEEN = "never_seen"
    FORGOTTEN = "forgotten"


class Usage(NamedTuple):
    """Resource usage of a task; it is reported some time after the measurement.

    ``at_ms`` is on the worker's monotonic clock, ``cores`` is the mean since the
    previous measurement, and ``memory_gb`` is the peak since the start of the run.
    """

    at_ms: Millis
    cores: float
    memory_gb: float


class RunReport(NamedTuple):
    """State and result of one run, as reported by its worker.

    ``answer`` and ``request_id`` are set for requests; ``checkpoint``, ``progress`` (0
    to 1) and the latest ``usage`` are set for tasks. ``out_of_memory`` is True if a
    failed task was ended because it exceeded its memory allocation.
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
    """Live runs of a worker and its ended tasks that are not acknowledged yet.

    Ended requests are kept for ``lookup`` for at least 10 minutes but are not listed.
    ``clock_ms`` is the worker's monotonic clock, on which lease ends are expressed.
    """

    incarnation: str
    revision: int
    clock_ms: Millis
    leaving: bool
    runs: tuple[RunReport, ...]


class TaskRun(NamedTuple):
    """One run of a task, as sent to a worker."""

    run_id: str
    kind: str
    run_ms: Millis
    cores: float
    memory_gb: float
    accelerators: int
    payload: dict[str, Any]
    checkpoint: str | None


class RequestRun(NamedTuple):
    """One run of a request, as sent to a worker."""

    run_id: str
    request_id: str
    service: str
    body: bytes
    deadline_ms: Millis


class WorkerClient(Protocol):
    """Client for the calls to workers; every call except ``claim`` carries a fence.

    Failures: ``STALE_EPOCH``, ``STALE_INCARNATION``, ``WORKER_FULL``,
    ``WORKER_LEAVING`` and ``WORKER_REFUSED`` are refusals by the worker, with outcome
    ``NOT_RUN``. ``WORKER_UNREACHABLE`` has outcome ``NOT_RUN`` if no connection could
    be opened, else ``UNKNOWN``. ``WORKER_JUNK`` is a malformed reply.
    """

    def release(self, worker: Worker) -> None:
        """Close the idle connections to a worker that is no longer owned."""
        ...

    async def claim(self, worker: Worker, epoch: int) -> Result[Inventory, Failure]:
        """Make the worker refuse lower epochs from now on; return its inventory."""
        ...

    async def execute(
        self,
        worker: Worker,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Run a request and return its report, ``DONE`` or ``FAILED``."""
        ...

    async def start(
        self,
        worker: Worker,
        fence: Fence,
        run: TaskRun,
        lease_until_ms: Millis,
    ) -> Result[None, Failure]:
        """Start a task under a lease whose end is on the worker's clock."""
        ...

    async def watch(
        self,
        worker: Worker,
        fence: Fence,
        revision: int,
        wait_ms: Millis,
        lease_until_ms: Millis,
    ) -> Result[Inventory, Failure]:
        """Renew all task leases and long-poll until the revision changes."""
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
        """Stop a run and return its final report, also if it ended before the call."""
        ...

    async def lookup(
        self,
        worker: Worker,
        fence: Fence,
        run_id: str,
    ) -> Result[RunReport, Failure]:
        """Return the state of a run; a run it has never seen can't start later."""
        ...

    async def acknowledge(
        self,
        worker: Worker,
        fence: Fence,
        run_ids: Sequence[str],
    ) -> Result[None, Failure]:
        """Allow the worker to discard ended runs whose end is recorded."""
        ...

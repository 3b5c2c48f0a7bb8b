"""What is said between an owner and the agent of a worker that runs tasks."""

from enum import Enum
from typing import NamedTuple, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import RunOutcome, RunRef


class WorkerState(Enum):
    """Say whether a worker takes new tasks."""

    READY = "ready"
    LEAVING = "leaving"


class WorkerEntry(NamedTuple):
    """Hold what a worker publishes about itself.

    ``host`` and ``port`` may later belong to another worker. ``machine`` is what the
    worker lives on, empty if unknown; ``rack`` stays with the machine.
    ``leaves_in_ms`` is the least time that a leaving worker still runs.
    """

    worker_id: str
    host: str
    port: int
    service: str
    data_centre: str
    room: Resources
    labels: frozenset[str]
    state: WorkerState
    born_ms: Millis = 0
    machine: str = ""
    leaves_in_ms: Millis = 0
    rack: str = ""


class StartCommand(NamedTuple):
    """Order a run; ``lease_until_ms`` is on the worker's clock."""

    ref: RunRef
    payload: str
    lease_until_ms: Millis
    token: int
    saved: str = ""
    ticket: str = ""


class RunStatus(NamedTuple):
    """Report a run in progress; ``figure`` is its tail in ms or its processors."""

    ref: RunRef
    saved: str
    percent: int
    figure: float


class EndedRun(NamedTuple):
    """Report the end of a run; ``number`` grows by one within a life of the worker."""

    number: int
    ref: RunRef
    how: RunOutcome
    saved: str


class LeaseReply(NamedTuple):
    """Report all that a worker runs and the ends that were not acknowledged."""

    clock_ms: Millis
    born_ms: Millis
    running: list[RunStatus]
    ended: list[EndedRun]


class CommandResult(Enum):
    """Say what became of an order.

    Only after ``UNKNOWN`` may the order still be carried out.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    STALE = "stale"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Agent(Protocol):
    """Give orders to workers. ``token`` is the fencing token of the owner."""

    async def start(
        self, worker: WorkerEntry, order: StartCommand, timeout_ms: Millis
    ) -> CommandResult:
        """Order a run to start."""
        ...

    async def stop(
        self, worker: WorkerEntry, ref: RunRef, token: int, timeout_ms: Millis
    ) -> CommandResult:
        """Order a run to stop, or never to start."""
        ...

    async def pace(
        self,
        worker: WorkerEntry,
        ref: RunRef,
        percent: int,
        token: int,
        timeout_ms: Millis,
    ) -> CommandResult:
        """Limit a run to a share of its work."""
        ...

    async def hold(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        """Renew the lease of all runs and wait for an end."""
        ...

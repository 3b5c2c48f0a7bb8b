"""Protocol between the owner of a cell and the agents of workers that run tasks."""

from enum import Enum
from typing import NamedTuple, Protocol

from result import Result

from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.task_state import RunOutcome, RunRef


class WorkerState(Enum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    LEAVING = "leaving"


class WorkerEntry(NamedTuple):
    """Entry that a worker publishes in the list of workers.

    ``host`` and ``port`` may be reused by another worker later. ``machine`` names the
    machine that the worker runs on, empty if unknown; a machine stays in its ``rack``.
    ``leaves_in_ms`` is the minimum time for which a leaving worker keeps running, and
    ``cold_ms`` how much longer the worker is slow after its start.
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
    cold_ms: Millis = 0


class StartCommand(NamedTuple):
    """Command to start a run; ``lease_until_ms`` is on the worker's clock."""

    ref: RunRef
    payload: str
    lease_until_ms: Millis
    token: int
    saved: str = ""
    ticket: str = ""


class RunStatus(NamedTuple):
    """Run in progress; ``figure`` is its tail latency in ms or the processors used."""

    ref: RunRef
    saved: str
    percent: int
    figure: float


class EndedRun(NamedTuple):
    """End of a run; ``number`` increments by one until the worker restarts."""

    number: int
    ref: RunRef
    how: RunOutcome
    saved: str


class LeaseReply(NamedTuple):
    """Reply to a lease renewal: all runs in progress and the unacknowledged ends.

    A partial reply leaves out later ends, so that a run it doesn't list may have ended.
    ``connection`` identifies the connection that the reply arrived on.
    """

    clock_ms: Millis
    born_ms: Millis
    running: list[RunStatus]
    ended: list[EndedRun]
    is_partial: bool = False
    connection: int = 0


class Acknowledgement(NamedTuple):
    """Permission for one process of a worker to forget its ends up to ``number``.

    The next process of the worker has the same address and numbers its ends anew. Only
    the connection that the ends were listed on is certain not to lead to it.
    """

    number: int
    connection: int


class CommandResult(Enum):
    """Outcome of a command to a worker.

    Only a command with the outcome ``UNKNOWN`` may still be executed later.
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
    # The connection that the command had to be sent on is closed.
    DISCONNECTED = "disconnected"
    # The worker's machine answered that no process listens at its address.
    NO_LISTENER = "no_listener"
    UNKNOWN = "unknown"


class StartReply(NamedTuple):
    """Outcome of a start, and the worker's clock in its reply, None without one."""

    result: CommandResult
    clock_ms: Millis | None = None


class Agent(Protocol):
    """Client for commands to workers; ``token`` is the fencing token of the owner."""

    async def start(
        self, worker: WorkerEntry, command: StartCommand, timeout_ms: Millis
    ) -> StartReply:
        """Start a run; the result of a late reply comes after ``timeout_ms``."""
        ...

    async def stop(
        self, worker: WorkerEntry, ref: RunRef, token: int, timeout_ms: Millis
    ) -> CommandResult:
        """Stop a run, or prevent it from starting later."""
        ...

    async def pace(
        self,
        worker: WorkerEntry,
        ref: RunRef,
        percent: int,
        token: int,
        timeout_ms: Millis,
    ) -> CommandResult:
        """Limit a run to a percentage of its full speed."""
        ...

    async def renew_leases(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledgement: Acknowledgement | None,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        """Renew the lease of all runs and wait up to ``wait_ms`` for one to end.

        With an acknowledgement, the call is sent on its connection or not at all. The
        result may come after ``timeout_ms``, if the reply is late.
        """
        ...

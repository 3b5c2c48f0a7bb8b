"""Identifiers and recorded state of single tasks and their runs."""

from enum import Enum
from typing import Any, NamedTuple

from hyssopweir.clock import Millis

# Separates a job id from a task in the key of a transferred task. It sorts after the
# suffix of cancellations, so that reads of a job's own rows skip those of its tasks.
TASK_SEPARATOR = "~"
# An endless task may fail on any number of workers over its life.
MAX_FAILED_WORKERS_KEPT = 16


class RunPhase(Enum):
    """What the owner of a cell knows about a run.

    ``UNCERTAIN`` means that it is unknown whether the run has started.
    """

    RECORDED = "recorded"
    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


class RunOutcome(Enum):
    """Outcome of a run; a ``VOID`` run never started and never will."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    VOID = "void"


class TaskRef(NamedTuple):
    """Identifier of a task: job, occurrence, step and index within the step."""

    job: str
    occurrence: int
    step: int
    number: int

    def fields(self) -> dict[str, Any]:
        """Return the event fields that identify the task."""
        name = f"{self.job}.{self.occurrence}.{self.step}.{self.number}"
        return {"job": self.job, "task": name}


def task_key(ref: TaskRef, hops: int) -> str:
    """Return the key of a task's rows after a number of transfers, 0 for its job's."""
    if not hops:
        return ref.job
    numbers = (ref.occurrence, ref.step, ref.number, hops)
    return ref.job + TASK_SEPARATOR + ".".join(map(str, numbers))


def parse_task_key(key: str) -> tuple[TaskRef, int]:
    """Parse a task and its number of transfers; raise ``ValueError`` if malformed."""
    job, numbers = key.rsplit(TASK_SEPARATOR, 1)
    occurrence, step, number, hops = (int(part) for part in numbers.split("."))
    return TaskRef(job, occurrence, step, number), hops


class RunRef(NamedTuple):
    """Identifier of a run; the runs of a task are numbered from 1."""

    task: TaskRef
    run: int

    def fields(self) -> dict[str, Any]:
        """Return the event fields that identify the run."""
        return {**self.task.fields(), "run": self.run}


class Run:
    """State of one run of a task; ``born_ms`` identifies the worker's incarnation."""

    __slots__ = (
        "ref",
        "worker",
        "born_ms",
        "phase",
        "percent",
        "figure",
        "pace",
        "is_pace_known",
        "is_pacing",
        "late_paces",
        "since_ms",
        "moved_ms",
        "reported_ms",
        "changed_ms",
        "settled_ms",
        "listed_born_ms",
        "is_adopted",
        "is_closed",
        "is_reduced",
    )

    def __init__(self, ref: RunRef, worker: str, born_ms: Millis, now_ms: Millis):
        self.ref = ref
        self.worker = worker
        self.born_ms = born_ms
        self.phase = RunPhase.RECORDED
        self.percent = 0
        # CPU use in thousandths, or the tail latency in ms of a task with a target.
        self.figure = 0.0
        self.pace = 100
        # A previous owner may have limited a restored run; its limit is not stored.
        self.is_pace_known = True
        self.is_pacing = False
        # By percentage, when a pace command without a reply is last executed.
        self.late_paces: dict[int, Millis] = {}
        self.since_ms = now_ms
        # Times of the last change of speed, of the last increase of the percentage, of
        # the last report, and of the last reply to a command.
        self.changed_ms = now_ms
        self.moved_ms = now_ms
        self.reported_ms = now_ms
        self.settled_ms = now_ms
        # Incarnation of the worker whose list showed the run, 0 before.
        self.listed_born_ms: Millis = 0
        # A former owner started the run, at a time that isn't known here.
        self.is_adopted = False
        # No earlier start command for this run can take effect any more.
        self.is_closed = False
        # Started at the lowest speed, which it keeps until it may run at full speed.
        self.is_reduced = False

    def is_at_work(self) -> bool:
        """Return whether the run is starting or running as far as is known."""
        return self.phase in (RunPhase.RECORDED, RunPhase.ORDERED, RunPhase.RUNNING)

    def is_unsent(self) -> bool:
        """Return whether no start command was sent and the run isn't over."""
        return self.phase is RunPhase.RECORDED

    def may_change_pace_late(self, percent: int, sent_ms: Millis) -> bool:
        """Return whether a command can override ``percent``, sent at ``sent_ms``."""
        return any(
            late_percent != percent and late_ms > sent_ms
            for late_percent, late_ms in self.late_paces.items()
        )

    def record_start_sent(self, now_ms: Millis) -> None:
        """Record that the start is sent, possibly long after the run was recorded."""
        self.phase = RunPhase.ORDERED
        self.since_ms = self.changed_ms = self.moved_ms = now_ms


class TaskTransfer:
    """Transfer of a task to another cell, from its record until its cancellation."""

    __slots__ = ("cell", "hops", "is_sent", "is_sending", "is_cancelled", "is_settled")

    def __init__(self, cell: str, hops: int, is_sent: bool = False) -> None:
        self.cell = cell
        self.hops = hops
        # Set once the other cell's row of the task is stored or refused.
        self.is_sent = is_sent
        self.is_sending = False
        self.is_cancelled = False
        # Set once the end is reported, or its cancellation is stored in the other cell.
        self.is_settled = False


class Task:
    """Recorded state of one task; ``saved`` is its last checkpoint."""

    __slots__ = (
        "last_run",
        "failures",
        "saved",
        "is_done",
        "runs",
        "failed_on",
        "idle_since_ms",
        "is_elsewhere",
        "transfer",
    )

    def __init__(self) -> None:
        self.last_run = 0
        self.failures = 0
        self.saved = ""
        self.is_done = False
        self.runs: dict[int, Run] = {}
        # Workers of the latest failures, the last one at the end.
        self.failed_on: list[str] = []
        # Time at which this owner saw the last run end, 0 if it saw none.
        self.idle_since_ms: Millis = 0
        # Another cell runs the task; if it comes back, it has a key of its own.
        self.is_elsewhere = False
        # Set if this cell transferred the task.
        self.transfer: TaskTransfer | None = None

    def record_failure(self, worker: str) -> None:
        """Record that a run has failed on a worker."""
        self.failures += 1
        if worker in self.failed_on:
            self.failed_on.remove(worker)
        self.failed_on.append(worker)
        del self.failed_on[:-MAX_FAILED_WORKERS_KEPT]

    def is_unstarted(self) -> bool:
        """Return whether the task has never had a run."""
        return not self.last_run

    def is_recorded(self) -> bool:
        """Return whether the task has a history to store."""
        return not self.is_unstarted() or self.transfer is not None

    def is_waiting(self) -> bool:
        """Return whether the task needs a run in this cell and has none."""
        return not self.is_done and not self.runs and not self.is_elsewhere

    def is_active(self) -> bool:
        """Return whether the task has a run, or may have one in another cell."""
        is_open = self.transfer is not None and not self.transfer.is_settled
        return bool(self.runs) or is_open

    def record_transfer(self, transfer: TaskTransfer) -> None:
        """Record that another cell runs the task from now on."""
        self.transfer = transfer
        self.is_elsewhere = True

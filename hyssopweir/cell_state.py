"""In-memory state of a cell's owner: jobs, worker links and rows to be stored."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from types import TracebackType

from hyssopweir.agent_link import AgentLink
from hyssopweir.cell_layout import request_key
from hyssopweir.clock import Clock, Millis
from hyssopweir.evacuations import Evacuations
from hyssopweir.events import Event, EventLog
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.input_bounds import FaultLog, describe_fault
from hyssopweir.resources import Resources
from hyssopweir.row_commits import OwnershipLostError, RowCommits
from hyssopweir.row_store import RowKey
from hyssopweir.task_state import Run, Task, TaskRef
from hyssopweir.workflow_progress import (
    StepKey,
    WorkflowProgress,
    WorkflowState,
    ended_progress,
)
from hyssopweir.workflows import Step

PROGRESS_TABLE = "progress"
# Appended to a job id to form its cancellation key; job ids never contain it.
CANCEL_SUFFIX = "!"
# Appended to the key of a transferred task to form the key of the report of its end.
REPORT_SUFFIX = "="
# Row of the learned filler interference, stored next to the rows of jobs.
INTERFERENCE_KEY = "!harm"

FINAL_EVENTS = {
    WorkflowState.COMPLETED: Event.JOB_DONE,
    WorkflowState.FAILED: Event.JOB_FAILED,
    WorkflowState.CANCELLED: Event.JOB_CANCELLED,
}


class TransferredJob:
    """A job that this cell accepted and transferred to ``cell``."""

    def __init__(self, body: bytes, cell: str, now_ms: Millis) -> None:
        self.body = body
        self.cell = cell
        self.since_ms = now_ms
        # Set once the request row in the other cell is stored.
        self.is_sent = False
        self.is_cancelled = False


class JobGuard:
    """Context that sets a job aside if a decision about it raises an exception."""

    __slots__ = ("_state", "_job")

    def __init__(self, state: "CellState", job: str) -> None:
        self._state = state
        self._job = job

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if not isinstance(exc, Exception) or isinstance(exc, OwnershipLostError):
            return False
        self._state.handle_fault(self._job, exc)
        return True


class CellState:
    """Jobs and worker links of one cell; marks the rows that must be stored."""

    def __init__(
        self,
        cell: str,
        epoch: int,
        clock: Clock,
        log: EventLog,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.cell = cell
        self.epoch = epoch
        self.clock = clock
        self.log = log
        self.evacuations = evacuations or Evacuations(clock, log)
        # By the key of their rows: a job id, or the key of one task (``task_key``).
        self.jobs: dict[str, WorkflowProgress] = {}
        self.links: dict[str, AgentLink] = {}
        # Keys of cancellations and reports of unknown jobs, with the time at which each
        # was first seen.
        self.unmatched: dict[str, Millis] = {}
        # Accepted jobs that another cell runs.
        self.transferred: dict[str, TransferredJob] = {}
        # Keys of the tasks that other cells transferred to this one.
        self._received: dict[TaskRef, str] = {}
        # What the last placement pass kept on workers for endless tasks of the cell,
        # and the lost ones for which it found no worker, with their service.
        self.kept_capacity: Mapping[str, Resources] = {}
        self.unheld_tasks: Mapping[TaskRef, tuple[str, Step]] = {}
        # Service and capacity of lost endless tasks of other cells for which this one
        # keeps capacity.
        self.lost_elsewhere: Sequence[tuple[str, Resources]] = ()
        # Jobs that may have unplaced tasks.
        self.unplaced: set[str] = set()
        # By job and step with tasks that wait for their home rack by choice, when the
        # last of these waits ends.
        self.place_waits: Mapping[tuple[str, StepKey], Millis] = {}
        self.wake = asyncio.Event()
        self.interference_model = FillerInterference()
        self.commits: RowCommits
        # Faults of decisions that can't be attributed to a job of the cell.
        self.faults = FaultLog(log)
        self.stop_runs: Callable[[Iterable[Run], str], None]
        self.cancel_transfers: Callable[[WorkflowProgress], None]
        self._jobs_set_aside: set[str] = set()
        self._logged_final_jobs: set[str] = set()
        self._last_stamp = 0

    def progress_key(self, job: str) -> RowKey:
        """Return the key of a job's progress row."""
        return RowKey(PROGRESS_TABLE, self.cell, job)

    def delete_rows(self, job: str) -> None:
        """Mark all rows of a job for deletion; it can no longer be queried."""
        self.commits.mark(request_key(self.cell, job))
        self.commits.mark(request_key(self.cell, job + CANCEL_SUFFIX))
        self.commits.mark(self.progress_key(job))

    def next_stamp(self) -> str:
        """Return a stamp that is unique among all writes of the cell."""
        self._last_stamp += 1
        return f"{self.epoch}.{self._last_stamp}"

    def add(self, progress: WorkflowProgress) -> None:
        """Register a job and request the placement of its open tasks."""
        self.jobs[progress.key] = progress
        self._index_transferred(progress)
        progress.added_ms = self.clock.now_ms()
        if progress.is_final():
            return
        progress.open_due_occurrences(self.clock.wall_ms())
        self.request_placement(progress.key)

    def _index_transferred(self, progress: WorkflowProgress) -> None:
        task = progress.workflow.task
        if task is None:
            return
        ref = TaskRef(progress.workflow.job, task.occurrence, task.step, task.number)
        # A task may come back to a cell; only its last transfer counts.
        known = self.jobs.get(self._received.get(ref, ""))
        if known is None or known.hops() < task.hops:
            self._received[ref] = progress.key

    def guard(self, job: str) -> JobGuard:
        """Return a context for decisions about a job, which set it aside if they fail.

        Otherwise the decisions would fail again and again, for all jobs of the cell and
        for each of its owners.
        """
        return JobGuard(self, job)

    def guard_task(self, ref: TaskRef) -> JobGuard:
        """Return the guard of the job in which this cell keeps a task."""
        return self.guard(self._received.get(ref, ref.job))

    def handle_fault(self, job: str, exc: Exception) -> None:
        """Set a job aside on which a decision failed; only log it if unknown."""
        if job in self.jobs:
            self.set_aside(job, exc)
            return
        self.unplaced.discard(job)
        self.faults.record(f"job {job}", exc)

    def set_aside(self, job: str, exc: Exception) -> None:
        """End a job that can't be processed, stop its runs, and log why."""
        self.unplaced.discard(job)
        if job in self._jobs_set_aside:
            return
        self._jobs_set_aside.add(job)
        progress = self.jobs.get(job)
        state = WorkflowState.FAILED
        if progress is not None and progress.is_final():
            state = progress.state
        self.log.emit(
            Event.JOB_SET_ASIDE,
            job=job,
            cell=self.cell,
            state=state.value,
            error=describe_fault(exc),
        )
        home = progress.workflow.home if progress is not None else ""
        ended = ended_progress(job, state, self.now_ms(), home)
        if progress is not None:
            ended.orphaned = {ref: task for ref, task, _ in progress.transfers()}
        self.jobs[job] = ended
        self.commits.mark(self.progress_key(job))
        if progress is not None:
            self.stop_runs(list(progress.runs()), "job was set aside")
            self.cancel_transfers(progress)
            # The current pass and starts in progress may still refer to it.
            progress.cancel(self.now_ms())

    def request_placement(self, job: str) -> None:
        """Wake the scheduler to place the waiting tasks of a job."""
        self.unplaced.add(job)
        self.wake.set()

    def mark_changed(self, progress: WorkflowProgress) -> None:
        """Mark a job's progress for storage, and log its final state once."""
        key = progress.key
        self.commits.mark(self.progress_key(key))
        if progress.is_final():
            self.unplaced.discard(key)
            if key not in self._logged_final_jobs:
                self._logged_final_jobs.add(key)
                state = progress.state
                self.log.emit(FINAL_EVENTS[state], job=key)
        else:
            self.request_placement(key)

    def forget(self, job: str) -> None:
        """Remove a job from memory; its rows are left unchanged."""
        self.jobs.pop(job, None)
        self._received = {ref: key for ref, key in self._received.items() if key != job}
        self.unplaced.discard(job)
        self._logged_final_jobs.discard(job)
        self._jobs_set_aside.discard(job)

    def waits_for_place(self, job: str, key: StepKey) -> bool:
        """Return whether tasks of a step wait for their home rack by choice."""
        return self.now_ms() < self.place_waits.get((job, key), 0)

    def job_of(self, ref: TaskRef) -> WorkflowProgress | None:
        """Return the job in which this cell keeps a task."""
        return self.jobs.get(self._received.get(ref, ref.job))

    def find(self, ref: TaskRef) -> tuple[WorkflowProgress, Step, Task] | None:
        """Return the job, step and task of a reference, None if it does not exist."""
        progress = self.job_of(ref)
        task = progress.task(ref) if progress is not None else None
        if progress is None or task is None:
            return None
        return progress, progress.workflow.steps[ref.step], task

    def runs_on(self, worker_id: str) -> Iterator[Run]:
        """Yield the recorded runs that are assigned to a worker."""
        for progress in self.jobs.values():
            for run in progress.runs():
                if run.worker == worker_id:
                    yield run

    def pending_by_queue(self) -> dict[str, int]:
        """Return the number of pending jobs of each queue."""
        counts: dict[str, int] = {}
        for progress in self.jobs.values():
            if progress.state is WorkflowState.PENDING:
                queue = progress.workflow.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def now_ms(self) -> Millis:
        """Return the monotonic clock in milliseconds."""
        return self.clock.now_ms()

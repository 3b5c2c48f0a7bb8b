"""What the owner of a cell knows: its jobs, its workers and the rows that hold both."""

import asyncio
from collections.abc import Iterator

from hyssopweir.agent_link import AgentLink
from hyssopweir.cell_layout import request_key
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.row_commits import RowCommits
from hyssopweir.row_store import RowKey
from hyssopweir.workflow_progress import (
    Run,
    Task,
    TaskRef,
    WorkflowProgress,
    WorkflowState,
)
from hyssopweir.workflows import Step

PROGRESS_TABLE = "progress"
# Follows every job id, which has no such character.
CANCEL_SUFFIX = "!"
# Learned figures of fillers, beside the rows of jobs.
HARM_KEY = "!harm"

FINAL_EVENTS = {
    WorkflowState.COMPLETED: Event.JOB_DONE,
    WorkflowState.FAILED: Event.JOB_FAILED,
    WorkflowState.CANCELLED: Event.JOB_CANCELLED,
}


class TransferredJob:
    """Follow a job that waits in ``cell`` for its turn, accepted by this cell."""

    def __init__(self, body: bytes, cell: str, now_ms: Millis) -> None:
        self.body = body
        self.cell = cell
        self.since_ms = now_ms
        # The other cell has stored the job.
        self.is_sent = False
        self.is_cancelled = False


class CellState:
    """Hold the jobs and links of one cell, and mark what has to be stored."""

    def __init__(self, cell: str, epoch: int, clock: Clock, log: EventLog) -> None:
        self.cell = cell
        self.epoch = epoch
        self.clock = clock
        self.log = log
        self.jobs: dict[str, WorkflowProgress] = {}
        self.links: dict[str, AgentLink] = {}
        # Cancellations of jobs that were never submitted, by the time they were seen.
        self.lone_cancels: dict[str, Millis] = {}
        # Jobs that another cell has taken over.
        self.moved: dict[str, TransferredJob] = {}
        # Jobs that may have tasks to place.
        self.unplaced: set[str] = set()
        self.wake = asyncio.Event()
        self.harm = FillerInterference()
        self.commits: RowCommits
        self._shown_final: set[str] = set()
        self._stamp = 0

    def progress_key(self, job: str) -> RowKey:
        """Return the row of a job's progress."""
        return RowKey(PROGRESS_TABLE, self.cell, job)

    def delete_rows(self, job: str) -> None:
        """Have all rows of a job deleted, which nobody may ask for any more."""
        self.commits.mark(request_key(self.cell, job))
        self.commits.mark(request_key(self.cell, job + CANCEL_SUFFIX))
        self.commits.mark(self.progress_key(job))

    def next_stamp(self) -> str:
        """Return a stamp that no other write has."""
        self._stamp += 1
        return f"{self.epoch}.{self._stamp}"

    def add(self, progress: WorkflowProgress) -> None:
        """Take over a job."""
        self.jobs[progress.workflow.job] = progress
        progress.added_ms = self.clock.now_ms()
        progress.open_due_occurrences(self.clock.wall_ms())
        self.want_placing(progress.workflow.job)

    def want_placing(self, job: str) -> None:
        """Have the waiting tasks of a job placed soon."""
        self.unplaced.add(job)
        self.wake.set()

    def changed(self, progress: WorkflowProgress) -> None:
        """Have the progress of a job stored, and logged if it is final."""
        job = progress.workflow.job
        self.commits.mark(self.progress_key(job))
        if progress.is_final():
            self.unplaced.discard(job)
            if job not in self._shown_final:
                self._shown_final.add(job)
                state = progress.state
                self.log.emit(FINAL_EVENTS[state], job=job)
        else:
            self.want_placing(job)

    def forget(self, job: str) -> None:
        """Drop a job whose rows are gone."""
        self.jobs.pop(job, None)
        self.unplaced.discard(job)
        self._shown_final.discard(job)

    def find(self, ref: TaskRef) -> tuple[WorkflowProgress, Step, Task] | None:
        """Return the job, step and task of a name, None if there is none."""
        progress = self.jobs.get(ref.job)
        task = progress.task(ref) if progress is not None else None
        if progress is None or task is None:
            return None
        return progress, progress.workflow.steps[ref.step], task

    def runs_on(self, worker_id: str) -> Iterator[Run]:
        """Yield the recorded runs on a worker."""
        for progress in self.jobs.values():
            for run in progress.runs():
                if run.worker == worker_id:
                    yield run

    def pending_by_queue(self) -> dict[str, int]:
        """Return how many jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for progress in self.jobs.values():
            if progress.state is WorkflowState.PENDING:
                queue = progress.workflow.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def now_ms(self) -> Millis:
        """Return monotonic milliseconds."""
        return self.clock.now_ms()

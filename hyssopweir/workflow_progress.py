"""Life cycle of the tasks of an accepted job, and its stored form.

A run is recorded before its start is sent to the worker. A task gets another run only
when all its earlier runs are known to be over, unless its step allows copies.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from functools import cached_property
from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.input_bounds import (
    InputError,
    input_errors,
    parse_bounded_json,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.row_store import MAX_ROW_BYTES
from hyssopweir.task_state import (
    MAX_FAILED_WORKERS_KEPT,
    Run,
    RunOutcome,
    RunPhase,
    RunRef,
    Task,
    TaskRef,
    TaskTransfer,
    task_key,
)
from hyssopweir.workflows import (
    MAX_STEPS,
    MAX_TASKS,
    Step,
    TransferredTask,
    Workflow,
)

# Bounds what a job costs its owner: occurrences beyond this number, or with more steps
# or tasks than one job may have, open when earlier ones have ended.
MAX_OPEN_OCCURRENCES = 64
# Builds without this bound may have opened more before their rows were read here.
MAX_RESTORED_TASKS = 10 * MAX_TASKS
# Space of a progress row for its tasks, and that of a task with one run, with the
# longest worker id and without the id, and of a task that is done.
MAX_TASKS_BYTES = MAX_ROW_BYTES - 5_000
MAX_ACTIVE_TASK_BYTES = 280
ACTIVE_TASK_BYTES = 86
DONE_TASK_BYTES = 26
# How many failed workers of each task are stored: the first number with which the row
# fits. They only guide placement, while a row that is too large would end the job.
STORED_FAILED_WORKERS = (MAX_FAILED_WORKERS_KEPT, 4, 1, 0)
# Number of fields of every stored task; a transferred one has its transfer in addition.
TASK_FIELDS = 7


class WorkflowState(str, Enum):
    """State of a job, as stored and as shown to callers."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


def workflow_key(workflow: Workflow) -> str:
    """Return the key of the rows of a job, or of the one task that was transferred."""
    task = workflow.task
    if task is None:
        return workflow.job
    ref = TaskRef(workflow.job, task.occurrence, task.step, task.number)
    return task_key(ref, task.hops)


StepKey = tuple[int, int]


class WorkflowProgress:
    """State machine of one job: decides what may start and handles ends of runs."""

    def __init__(self, workflow: Workflow) -> None:
        self.workflow = workflow
        # Key of the job's rows in this cell.
        self.key = workflow_key(workflow)
        self.is_cancelled = False
        self.has_started = False
        # Time at which this owner loaded the job.
        self.added_ms: Millis = 0
        self.finished_ms: Millis = 0
        self._has_failed = False
        self.tasks: dict[StepKey, list[Task]] = {}
        self._opened_count = 0
        self._open_occurrences: set[int] = set()
        self._unfinished_tasks: dict[StepKey, int] = {}
        # Durations of successful runs that this owner started, in ms.
        self.done_ms: dict[StepKey, list[float]] = {}
        # Transferred tasks of a job that was set aside; they are still to be cancelled.
        self.orphaned: dict[TaskRef, Task] = {}
        if workflow.task is not None:
            self._open_transferred(workflow.task)

    def hops(self) -> int:
        """Return how often a transferred task was transferred, 0 for a whole job."""
        return self.workflow.task.hops if self.workflow.task is not None else 0

    @property
    def state(self) -> WorkflowState:
        """Return the state that is stored and shown to callers."""
        if self._has_failed:
            return WorkflowState.FAILED
        if self.is_completed():
            return WorkflowState.COMPLETED
        if self.is_cancelled:
            return WorkflowState.CANCELLED
        return WorkflowState.ACTIVE if self.has_started else WorkflowState.PENDING

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run, at least 1."""
        return self.workflow.occurrences or 1

    def is_completed(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return self._opened_count == self.occurrences and not self._open_occurrences

    def is_final(self) -> bool:
        """Return whether the job has ended, so that no further task starts."""
        return self.is_cancelled or self._has_failed or self.is_completed()

    def open_due_occurrences(self, wall_ms: Millis) -> bool:
        """Open due occurrences within the window; return whether there were any."""
        previous_count = self._opened_count
        due_count = self.workflow.due_count(wall_ms)
        window = _occurrence_window(self.workflow)
        while self._opened_count < due_count and len(self._open_occurrences) < window:
            self._open_occurrence(self._opened_count)
            self._opened_count += 1
        return self._opened_count > previous_count

    def _open_occurrence(self, occurrence: int) -> None:
        self._open_occurrences.add(occurrence)
        for number, step in enumerate(self.workflow.steps):
            self.tasks[occurrence, number] = [Task() for _ in range(step.tasks)]
            self._unfinished_tasks[occurrence, number] = step.tasks

    def _open_transferred(self, transferred: TransferredTask) -> None:
        """Open only the task that was transferred; the others are elsewhere."""
        self._opened_count = self.occurrences
        self._open_occurrences.add(transferred.occurrence)
        # One object stands for all other tasks: a cell may receive many tasks of a job.
        other = Task()
        other.is_elsewhere = True
        for number, step in enumerate(self.workflow.steps):
            key = (transferred.occurrence, number)
            self.tasks[key] = [other] * step.tasks
            self._unfinished_tasks[key] = int(number == transferred.step)
        task = Task()
        task.last_run = transferred.last_run
        task.failures = transferred.failures
        task.saved = transferred.saved
        task.failed_on = list(transferred.failed_on)
        key = (transferred.occurrence, transferred.step)
        self.tasks[key][transferred.number] = task
        # The job has started in another cell.
        self.has_started = True

    def task(self, ref: TaskRef) -> Task | None:
        """Return a task, None if it does not exist or its occurrence is not opened."""
        tasks = self.tasks.get((ref.occurrence, ref.step), [])
        return tasks[ref.number] if 0 <= ref.number < len(tasks) else None

    def is_open_step(self, key: StepKey) -> bool:
        """Return whether all steps that a step depends on are done."""
        occurrence, number = key
        predecessors = self.workflow.steps[number].after
        return all(
            not self._unfinished_tasks[occurrence, predecessor]
            for predecessor in predecessors
        )

    def waiting(self) -> Iterator[tuple[TaskRef, Step, Task]]:
        """Yield the tasks of open steps that may start now and have no active run."""
        if self.is_final():
            return
        for key in self.open_steps():
            for index, task in enumerate(self.tasks[key]):
                if task.is_waiting():
                    ref = TaskRef(self.workflow.job, *key, index)
                    yield ref, self.workflow.steps[key[1]], task

    def count_waiting(self, key: StepKey) -> int:
        """Return how many tasks of an open step need a run here and have none."""
        return sum(task.is_waiting() for task in self.tasks[key])

    def open_steps(self) -> list[StepKey]:
        """Return the unfinished steps whose dependencies are done."""
        return [
            key
            for key, _ in self._open_step_keys()
            if self._unfinished_tasks[key] and self.is_open_step(key)
        ]

    def active_steps(self) -> list[tuple[StepKey, Step]]:
        """Return the open steps, none if the job has ended."""
        if self.is_final():
            return []
        return [(key, self.workflow.steps[key[1]]) for key in self.open_steps()]

    def lost_endless_tasks(self) -> list[tuple[TaskRef, Step, Task]]:
        """Return the waiting endless tasks that have run before."""
        return [
            (TaskRef(self.workflow.job, *key, index), step, task)
            for key, step in self.active_steps()
            if step.is_endless
            for index, task in enumerate(self.tasks[key])
            if task.is_waiting() and not task.is_unstarted()
        ]

    def absent_endless_tasks(self) -> Iterator[tuple[TaskRef, Step, Task]]:
        """Yield the endless tasks of open steps that are not known to be running."""
        for key, step in self.active_steps():
            if not step.is_endless:
                continue
            for index, task in enumerate(self.tasks[key]):
                is_at_work = any(run.is_at_work() for run in task.runs.values())
                if not task.is_elsewhere and not is_at_work:
                    yield TaskRef(self.workflow.job, *key, index), step, task

    def idle_since_ms(self, task: Task) -> Millis:
        """Return since when a task has no active run, as known to this owner.

        The time that a transferred task was away in other cells counts, so that it goes
        before tasks that were lost later.
        """
        transferred = self.workflow.task
        away_ms = transferred.away_ms if transferred is not None else 0
        return max(task.idle_since_ms, self.added_ms - away_ms)

    def last_run_ms(self) -> Millis:
        """Return when the last run of any task ended, as known to this owner."""
        tasks = (task for tasks in self.tasks.values() for task in tasks)
        return max((self.idle_since_ms(task) for task in tasks), default=self.added_ms)

    def step_runs(self, key: StepKey) -> list[Run]:
        """Return the active runs of a step."""
        return [run for task in self.tasks[key] for run in task.runs.values()]

    def unfinished_tasks(self, key: StepKey) -> int:
        """Return how many tasks of an open occurrence's step are not done."""
        return self._unfinished_tasks[key]

    @cached_property
    def objective_ms(self) -> Millis:
        """Return the target time from submission to completion of the job."""
        return self.workflow.objective_ms()

    @cached_property
    def has_endless_step(self) -> bool:
        """Return whether some tasks of the job run until it is cancelled."""
        return any(step.is_endless for step in self.workflow.steps)

    def remaining_work(self) -> int:
        """Return the estimated CPU work of tasks that still need a run here.

        It is 0 if only endless tasks do.
        """
        work = 0
        for key, step in self._open_step_keys():
            count = self._unfinished_tasks[key]
            if step.is_endless or not count:
                continue
            if self.has_started and self.is_open_step(key):
                count = self.count_waiting(key)
            work += count * step.room.cpu * step.estimated_ms
        return work

    def _open_step_keys(self) -> Iterator[tuple[StepKey, Step]]:
        for occurrence in sorted(self._open_occurrences):
            for number, step in enumerate(self.workflow.steps):
                yield (occurrence, number), step

    def runs(self) -> Iterator[Run]:
        """Yield the active runs of all tasks."""
        for tasks in self.tasks.values():
            for task in tasks:
                yield from task.runs.values()

    def spare_runs(self, workers: Iterable[str]) -> int:
        """Return how many more tasks fit into the row with a run on ``workers``."""
        count = sum(len(tasks) for tasks in self.tasks.values())
        if count * MAX_ACTIVE_TASK_BYTES <= MAX_TASKS_BYTES:
            return count
        longest_id = max((len(json.dumps(worker)) for worker in workers), default=0)
        active_bytes = ACTIVE_TASK_BYTES + longest_id
        tasks = [task for tasks in self.tasks.values() for task in tasks]
        active = sum(not task.is_done and not task.is_unstarted() for task in tasks)
        done = sum(task.is_done for task in tasks)
        spare_bytes = MAX_TASKS_BYTES - active * active_bytes - done * DONE_TASK_BYTES
        return max(spare_bytes // active_bytes, 0)

    def transfers(self) -> Iterator[tuple[TaskRef, Task, TaskTransfer]]:
        """Yield the tasks that this cell transferred."""
        for key, tasks in self.tasks.items():
            for index, task in enumerate(tasks):
                if task.transfer is not None:
                    yield TaskRef(self.workflow.job, *key, index), task, task.transfer
        for ref, task in self.orphaned.items():
            if task.transfer is not None:
                yield ref, task, task.transfer

    def record_transfer(self, task: Task, transfer: TaskTransfer) -> None:
        """Record that another cell runs a task; the job counts as started."""
        task.record_transfer(transfer)
        self.has_started = True

    def has_open_transfers(self) -> bool:
        """Return whether a transferred task may still have to be cancelled."""
        return any(not transfer.is_settled for _, _, transfer in self.transfers())

    def create_run(
        self, ref: TaskRef, worker: str, born_ms: Millis, now_ms: Millis
    ) -> Run:
        """Add a run to a task and return it; the caller stores the progress."""
        task = self.task(ref)
        assert task is not None
        task.last_run += 1
        run = Run(RunRef(ref, task.last_run), worker, born_ms, now_ms)
        task.runs[task.last_run] = run
        self.has_started = True
        return run

    def end_run(
        self, ref: RunRef, outcome: RunOutcome, saved: str, now_ms: Millis
    ) -> Run | None:
        """Record the outcome of a run and return it, None if it was over before.

        A run that was counted as lapsed may still be reported as done later.
        """
        task = self.task(ref.task)
        if task is None or ref.run > task.last_run:
            return None
        run = task.runs.pop(ref.run, None)
        if run is not None:
            run.phase = RunPhase.OVER
            task.idle_since_ms = now_ms
        if saved and outcome is not RunOutcome.DONE:
            task.saved = saved
        if outcome is RunOutcome.DONE:
            self._mark_done(ref.task, task)
            if run is not None and not run.is_adopted:
                key = (ref.task.occurrence, ref.task.step)
                self.done_ms.setdefault(key, []).append(now_ms - run.since_ms)
        elif outcome is RunOutcome.FAILED and run is not None:
            self._record_failure(ref.task, task, run)
        if self.is_final() and not self.finished_ms:
            self.finished_ms = now_ms
        self._forget_ended_occurrence(ref.task.occurrence)
        return run

    def _forget_ended_occurrence(self, occurrence: int) -> None:
        """Drop the tasks of an occurrence that is done and has no runs left."""
        if not self.workflow.occurrences or occurrence in self._open_occurrences:
            return
        keys = [(occurrence, number) for number in range(len(self.workflow.steps))]
        tasks = (task for key in keys for task in self.tasks.get(key, ()))
        if any(task.is_active() for task in tasks):
            return
        for key in keys:
            self.tasks.pop(key, None)
            self._unfinished_tasks.pop(key, None)
            self.done_ms.pop(key, None)

    def _mark_done(self, ref: TaskRef, task: Task) -> None:
        if task.is_done:
            return
        task.is_done = True
        self._unfinished_tasks[ref.occurrence, ref.step] -= 1
        steps = range(len(self.workflow.steps))
        if not any(self._unfinished_tasks[ref.occurrence, number] for number in steps):
            self._open_occurrences.discard(ref.occurrence)

    def end_transferred(
        self, ref: TaskRef, state: WorkflowState, now_ms: Millis
    ) -> None:
        """Record how a task ended in another cell."""
        task = self.task(ref)
        if task is None or task.transfer is None:
            return
        task.transfer.is_settled = task.transfer.is_cancelled = True
        if state is WorkflowState.COMPLETED:
            self._mark_done(ref, task)
        elif state is WorkflowState.FAILED:
            self._has_failed = True
        if self.is_final() and not self.finished_ms:
            self.finished_ms = now_ms
        self._forget_ended_occurrence(ref.occurrence)

    def has_finite_runs(self) -> bool:
        """Return whether a task that ends has an active run."""
        return any(
            self.step_runs(key)
            for key, step in self.active_steps()
            if not step.is_endless
        )

    def _record_failure(self, ref: TaskRef, task: Task, run: Run) -> None:
        task.record_failure(run.worker)
        step = self.workflow.steps[ref.step]
        is_exhausted = task.failures >= self.workflow.most_failures
        if is_exhausted and not step.is_endless and not task.is_done:
            self._has_failed = True

    def cancel(self, now_ms: Millis) -> None:
        """Mark the job as cancelled, so that no further task starts."""
        self.is_cancelled = True
        self.finished_ms = self.finished_ms or now_ms

    def encode(self, stamp: str) -> bytes:
        """Return the stored form; ``stamp`` identifies the write."""
        body = b""
        for failed_workers in STORED_FAILED_WORKERS:
            body = self._encode(stamp, failed_workers)
            if len(body) <= MAX_ROW_BYTES:
                break
        return body

    def _encode(self, stamp: str, failed_workers: int) -> bytes:
        steps = {
            f"{occurrence}.{number}": [
                _encode_task(index, task, failed_workers)
                for index, task in enumerate(tasks)
                if task.is_recorded()
            ]
            for (occurrence, number), tasks in self.tasks.items()
            if self._is_stored(occurrence, tasks)
        }
        data: dict[str, Any] = {
            "stamp": stamp,
            "state": self.state.value,
            "opened": self._opened_count,
            "open": sorted(self._open_occurrences),
            "tasks": steps,
        }
        if self.orphaned:
            data["orphaned"] = [
                [*ref, transfer.cell, transfer.hops]
                for ref, _, transfer in self.transfers()
            ]
        return json.dumps(data, separators=(",", ":")).encode()

    def _is_stored(self, occurrence: int, tasks: list[Task]) -> bool:
        """Return whether a step is stored; if it is finished, only with active runs."""
        if occurrence in self._open_occurrences:
            return any(task.is_recorded() for task in tasks)
        return any(task.is_active() for task in tasks)

    def restore(self, data: Mapping[str, Any], now_ms: Millis) -> None:
        """Load a stored form; raise ``InputError`` or another if it is malformed."""
        self._check_stored(data)
        state = WorkflowState(data["state"])
        self._has_failed = state is WorkflowState.FAILED
        self.is_cancelled = state is WorkflowState.CANCELLED
        self.has_started = state is not WorkflowState.PENDING
        self._opened_count = data["opened"]
        if self.workflow.task is None:
            for occurrence in data["open"]:
                self._open_occurrence(occurrence)
        else:
            self._open_occurrences.intersection_update(data["open"])
        for key, stored_tasks in data["tasks"].items():
            occurrence, number = (int(part) for part in key.split("."))
            if (occurrence, number) not in self.tasks:
                self._open_occurrence(occurrence)
                self._open_occurrences.discard(occurrence)
            for stored_task in stored_tasks:
                self._restore_task(
                    TaskRef("", occurrence, number, stored_task[0]), stored_task, now_ms
                )
        for *numbers, cell, hops in data.get("orphaned", ()):
            task = Task()
            task.record_transfer(TaskTransfer(cell, hops, True))
            self.orphaned[TaskRef(*numbers)] = task
        if self.is_final():
            self.finished_ms = now_ms

    def _check_stored(self, data: Mapping[str, Any]) -> None:
        """Raise ``InputError`` if a stored form does not belong to this job."""
        opened = read_int(data["opened"], "opened", 0, self.occurrences)
        occurrences = {
            read_int(occurrence, "open", 0, opened - 1)
            for occurrence in read_list(data["open"], "open", opened)
        }
        for key, stored_tasks in read_object(data["tasks"], "tasks").items():
            occurrence, number = (int(part) for part in key.split("."))
            occurrences.add(read_int(occurrence, "occurrence", 0, opened - 1))
            read_int(number, "step", 0, len(self.workflow.steps) - 1)
            tasks = self.workflow.steps[number].tasks
            for stored_task in read_list(stored_tasks, "tasks", tasks):
                _check_stored_task(stored_task, tasks)
        for job, *numbers, cell, hops in data.get("orphaned", ()):
            read_text(job, "job")
            read_text(cell, "cell")
            for number in (*numbers, hops):
                read_int(number, "orphaned")
        tasks = sum(step.tasks for step in self.workflow.steps)
        if len(occurrences) * tasks > MAX_RESTORED_TASKS:
            raise InputError(f"more than {MAX_RESTORED_TASKS} open tasks")

    def _restore_task(
        self, ref: TaskRef, stored_task: list[Any], now_ms: Millis
    ) -> None:
        ref = ref._replace(job=self.workflow.job)
        task = self.tasks[ref.occurrence, ref.step][ref.number]
        _, task.last_run, is_done, task.failures, task.saved, failed_on, runs = (
            stored_task[:TASK_FIELDS]
        )
        task.failed_on = list(failed_on)[-MAX_FAILED_WORKERS_KEPT:]
        for number, worker, born_ms in runs:
            run = Run(RunRef(ref, number), worker, born_ms, now_ms)
            run.phase = RunPhase.UNCERTAIN
            # The fencing token of the new owner invalidates commands of the former one.
            run.is_closed = True
            run.is_pace_known = False
            run.is_adopted = True
            run.settled_ms = now_ms - 1
            task.runs[number] = run
        if is_done:
            self._mark_done(ref, task)
        # Rows of tasks that were never transferred end here.
        for cell, hops, is_sent, is_settled in stored_task[TASK_FIELDS:]:
            transfer = TaskTransfer(cell, hops, bool(is_sent))
            transfer.is_settled = transfer.is_cancelled = bool(is_settled)
            task.record_transfer(transfer)


def _occurrence_window(workflow: Workflow) -> int:
    """Return how many occurrences of a job may be open at once."""
    tasks = sum(step.tasks for step in workflow.steps)
    by_size = min(MAX_TASKS // max(tasks, 1), MAX_STEPS // max(len(workflow.steps), 1))
    return max(min(by_size, MAX_OPEN_OCCURRENCES), 1)


def _check_stored_task(stored_task: Any, tasks: int) -> None:
    number, last_run, _, failures, saved, failed_on, runs = stored_task[:TASK_FIELDS]
    read_int(number, "task", 0, tasks - 1)
    read_int(last_run, "run")
    read_int(failures, "failures")
    read_text(saved, "saved", MAX_ROW_BYTES)
    for worker in failed_on:
        read_text(worker, "worker")
    for run, worker, born_ms in runs:
        read_int(run, "run", 1, last_run)
        read_text(worker, "worker")
        read_int(born_ms, "born")
    for cell, hops, _, _ in stored_task[TASK_FIELDS:]:
        read_text(cell, "cell")
        read_int(hops, "hops", 1)


def _encode_task(index: int, task: Task, failed_workers: int) -> list[Any]:
    fields = _encode_history(index, task, failed_workers)
    if task.transfer is not None:
        transfer = task.transfer
        flags = int(transfer.is_sent), int(transfer.is_settled)
        fields.append([transfer.cell, transfer.hops, *flags])
    return fields


def _encode_history(index: int, task: Task, failed_workers: int) -> list[Any]:
    failed_on = [] if task.is_done else task.failed_on
    return [
        index,
        task.last_run,
        int(task.is_done),
        task.failures,
        "" if task.is_done else task.saved,
        failed_on[max(len(failed_on) - failed_workers, 0) :],
        [[run.ref.run, run.worker, run.born_ms] for run in task.runs.values()],
    ]


def ended_progress(
    job: str, state: WorkflowState, now_ms: Millis, home: str = ""
) -> WorkflowProgress:
    """Return a job without steps that has ended, in place of one that can't be run."""
    progress = WorkflowProgress(Workflow(job, "", "", "", (), home=home))
    opened = int(state is WorkflowState.COMPLETED)
    stored: dict[str, Any] = {
        "state": state.value,
        "opened": opened,
        "open": [],
        "tasks": {},
    }
    progress.restore(stored, now_ms)
    return progress


class ProgressSummary(NamedTuple):
    """Summary of a progress row; ``cell`` is set if another cell runs the job.

    ``is_sent`` means that the other cell has received the job.
    """

    state: WorkflowState
    cell: str = ""
    is_sent: bool = False


def decode_progress_summary(body: bytes) -> ProgressSummary:
    """Parse the summary of a progress row; raise ``InputError`` if it is malformed."""
    data = read_object(parse_bounded_json(body), "progress")
    with input_errors("state"):
        state = WorkflowState(data.get("state"))
    return ProgressSummary(
        state, read_text(data.get("moved", ""), "moved"), bool(data.get("sent", False))
    )

"""Life cycle of the tasks of an accepted job, and its stored form.

A run is recorded before it is ordered. A task has another run only once all its earlier
runs are known to be over, unless its step allows copies.
"""

import json
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.workflows import Step, Workflow, remaining_ms


class WorkflowState(str, Enum):
    """Name the states of a job."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunPhase(Enum):
    """Say what is known of a run that is not over."""

    RECORDED = "recorded"
    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"
    STOPPING = "stopping"
    OVER = "over"


class RunOutcome(Enum):
    """Say how a run ended; ``VOID`` never started and never will."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    VOID = "void"


class TaskRef(NamedTuple):
    """Name a task of a job."""

    job: str
    occurrence: int
    step: int
    number: int

    def fields(self) -> dict[str, Any]:
        """Return the fields that name the task in events."""
        name = f"{self.job}.{self.occurrence}.{self.step}.{self.number}"
        return {"job": self.job, "task": name}


class RunRef(NamedTuple):
    """Name a run of a task."""

    task: TaskRef
    run: int

    def fields(self) -> dict[str, Any]:
        """Return the fields that name the run in events."""
        return {**self.task.fields(), "run": self.run}


class Run:
    """Follow one run of a task on a worker; ``born_ms`` tells the worker's lives."""

    __slots__ = (
        "ref",
        "worker",
        "born_ms",
        "phase",
        "percent",
        "figure",
        "pace",
        "since_ms",
        "moved_ms",
        "reported_ms",
        "changed_ms",
        "settled_ms",
        "is_closed",
    )

    def __init__(self, ref: RunRef, worker: str, born_ms: Millis, now_ms: Millis):
        self.ref = ref
        self.worker = worker
        self.born_ms = born_ms
        self.phase = RunPhase.RECORDED
        self.percent = 0
        # Processors in use, or the tail in ms of a task with a target.
        self.figure = 0.0
        self.pace = 100
        self.since_ms = now_ms
        # When its speed was last set, when the percentage last rose, when it was last
        # reported, and when the order was last answered.
        self.changed_ms = now_ms
        self.moved_ms = now_ms
        self.reported_ms = now_ms
        self.settled_ms = now_ms
        # No order that starts the run can be carried out any more.
        self.is_closed = False

    def order(self, now_ms: Millis) -> None:
        """Note that its start is being ordered, maybe long after it was recorded."""
        self.phase = RunPhase.ORDERED
        self.since_ms = self.changed_ms = self.moved_ms = now_ms


class Task:
    """Hold what is recorded of one task."""

    __slots__ = ("last_run", "failures", "saved", "is_done", "runs", "failed_on")

    def __init__(self) -> None:
        self.last_run = 0
        self.failures = 0
        self.saved = ""
        self.is_done = False
        self.runs: dict[int, Run] = {}
        self.failed_on: set[str] = set()

    def is_untouched(self) -> bool:
        """Tell whether no run was ever recorded."""
        return not self.last_run


StepKey = tuple[int, int]


class WorkflowProgress:
    """Decide what may start and what an end means for one job."""

    def __init__(self, workflow: Workflow) -> None:
        self.workflow = workflow
        self.remaining_ms = remaining_ms(workflow.steps)
        self.is_cancelled = False
        self.has_started = False
        # When this owner learned of the job.
        self.added_ms: Millis = 0
        self.finished_ms: Millis = 0
        self._failed = False
        self.tasks: dict[StepKey, list[Task]] = {}
        self._opened = 0
        self._open: set[int] = set()
        self._left: dict[StepKey, int] = {}
        # Durations of runs that were done, in ms.
        self.done_ms: dict[StepKey, list[float]] = {}

    @property
    def state(self) -> WorkflowState:
        """Return the state to show."""
        if self._failed:
            return WorkflowState.FAILED
        if self.is_completed():
            return WorkflowState.COMPLETED
        if self.is_cancelled:
            return WorkflowState.CANCELLED
        return WorkflowState.ACTIVE if self.has_started else WorkflowState.PENDING

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return self.workflow.occurrences or 1

    def is_completed(self) -> bool:
        """Tell whether all tasks of all occurrences are done."""
        return self._opened == self.occurrences and not self._open

    def is_final(self) -> bool:
        """Tell whether no further task starts."""
        return self.is_cancelled or self._failed or self.is_completed()

    def open_due_occurrences(self, wall_ms: Millis) -> bool:
        """Open the occurrences that are due; tell whether any was."""
        before = self._opened
        while (
            self._opened < self.occurrences
            and self.workflow.due_ms(self._opened) <= wall_ms
        ):
            self._open_occurrence(self._opened)
            self._opened += 1
        return self._opened > before

    def _open_occurrence(self, occurrence: int) -> None:
        self._open.add(occurrence)
        for number, step in enumerate(self.workflow.steps):
            self.tasks[occurrence, number] = [Task() for _ in range(step.tasks)]
            self._left[occurrence, number] = step.tasks

    def task(self, ref: TaskRef) -> Task | None:
        """Return a task, None if the job has none of that name."""
        tasks = self.tasks.get((ref.occurrence, ref.step), [])
        return tasks[ref.number] if 0 <= ref.number < len(tasks) else None

    def is_open_step(self, key: StepKey) -> bool:
        """Tell whether all steps that come before are done."""
        occurrence, number = key
        earlier = self.workflow.steps[number].after
        return all(not self._left[occurrence, before] for before in earlier)

    def waiting(self) -> Iterator[tuple[TaskRef, Step, Task]]:
        """Yield the tasks that have no run and may start now."""
        if self.is_final():
            return
        for key in self.open_steps():
            for index, task in enumerate(self.tasks[key]):
                if not task.is_done and not task.runs:
                    ref = TaskRef(self.workflow.job, *key, index)
                    yield ref, self.workflow.steps[key[1]], task

    def open_steps(self) -> list[StepKey]:
        """Return the steps that are not done and whose earlier steps are."""
        return [
            key
            for key, _ in self._open_keys()
            if self._left[key] and self.is_open_step(key)
        ]

    def active_steps(self) -> list[tuple[StepKey, Step]]:
        """Return the steps that may have runs."""
        return [
            (key, self.workflow.steps[key[1]])
            for key in self.open_steps()
            if not self.is_final()
        ]

    def step_runs(self, key: StepKey) -> list[Run]:
        """Return the runs of a step that are not over."""
        return [run for task in self.tasks[key] for run in task.runs.values()]

    def left_work(self) -> int:
        """Return the estimated work of tasks that are not done; 0 if it never ends."""
        return sum(
            self._left[key] * step.room.cpu * step.estimated_ms
            for key, step in self._open_keys()
            if not step.is_endless
        )

    def _open_keys(self) -> Iterator[tuple[StepKey, Step]]:
        for occurrence in sorted(self._open):
            for number, step in enumerate(self.workflow.steps):
                yield (occurrence, number), step

    def runs(self) -> Iterator[Run]:
        """Yield all runs that are not over."""
        for tasks in self.tasks.values():
            for task in tasks:
                yield from task.runs.values()

    def begin(self, ref: TaskRef, worker: str, born_ms: Millis, now_ms: Millis) -> Run:
        """Record a new run of a task."""
        task = self.task(ref)
        assert task is not None
        task.last_run += 1
        run = Run(RunRef(ref, task.last_run), worker, born_ms, now_ms)
        task.runs[task.last_run] = run
        self.has_started = True
        return run

    def end(
        self, ref: RunRef, how: RunOutcome, saved: str, now_ms: Millis
    ) -> Run | None:
        """Note the end of a run; return it, None if it was over before.

        A run that was given up as lapsed may still turn out to be done.
        """
        task = self.task(ref.task)
        if task is None or ref.run > task.last_run:
            return None
        run = task.runs.pop(ref.run, None)
        if run is not None:
            run.phase = RunPhase.OVER
        if saved and how is not RunOutcome.DONE:
            task.saved = saved
        if how is RunOutcome.DONE:
            self._done(ref.task, task)
            if run is not None:
                key = (ref.task.occurrence, ref.task.step)
                self.done_ms.setdefault(key, []).append(now_ms - run.since_ms)
        elif how is RunOutcome.FAILED and run is not None:
            self._note_failure(ref.task, task, run)
        if self.is_final() and not self.finished_ms:
            self.finished_ms = now_ms
        return run

    def _done(self, ref: TaskRef, task: Task) -> None:
        if task.is_done:
            return
        task.is_done = True
        self._left[ref.occurrence, ref.step] -= 1
        steps = range(len(self.workflow.steps))
        if not any(self._left[ref.occurrence, number] for number in steps):
            self._open.discard(ref.occurrence)

    def _note_failure(self, ref: TaskRef, task: Task, run: Run) -> None:
        task.failures += 1
        task.failed_on.add(run.worker)
        step = self.workflow.steps[ref.step]
        is_exhausted = task.failures >= self.workflow.most_failures
        if is_exhausted and not step.is_endless and not task.is_done:
            self._failed = True

    def cancel(self, now_ms: Millis) -> None:
        """Start nothing more."""
        self.is_cancelled = True
        self.finished_ms = self.finished_ms or now_ms

    def encode(self, stamp: str) -> bytes:
        """Return the stored form; ``stamp`` tells writes of it apart."""
        steps = {
            f"{occurrence}.{number}": [
                _encode_task(index, task)
                for index, task in enumerate(tasks)
                if not task.is_untouched()
            ]
            for (occurrence, number), tasks in self.tasks.items()
            if self._is_kept(occurrence, tasks)
        }
        data = {
            "stamp": stamp,
            "state": self.state.value,
            "opened": self._opened,
            "open": sorted(self._open),
            "tasks": steps,
        }
        return json.dumps(data, separators=(",", ":")).encode()

    def _is_kept(self, occurrence: int, tasks: list[Task]) -> bool:
        """Leave finished occurrences out unless a run of theirs is not over."""
        if occurrence in self._open:
            return any(not task.is_untouched() for task in tasks)
        return any(task.runs for task in tasks)

    def restore(self, data: Mapping[str, Any], now_ms: Millis) -> None:
        """Continue from a stored form; raise ``ValueError`` or ``KeyError`` on junk."""
        state = WorkflowState(data["state"])
        self._failed = state is WorkflowState.FAILED
        self.is_cancelled = state is WorkflowState.CANCELLED
        self.has_started = state is not WorkflowState.PENDING
        self._opened = data["opened"]
        for occurrence in data["open"]:
            self._open_occurrence(occurrence)
        for key, rows in data["tasks"].items():
            occurrence, number = (int(part) for part in key.split("."))
            if (occurrence, number) not in self.tasks:
                self._open_occurrence(occurrence)
                self._open.discard(occurrence)
            for row in rows:
                self._restore_task(TaskRef("", occurrence, number, row[0]), row, now_ms)
        if self.is_final():
            self.finished_ms = now_ms

    def _restore_task(self, ref: TaskRef, row: list[Any], now_ms: Millis) -> None:
        ref = ref._replace(job=self.workflow.job)
        task = self.tasks[ref.occurrence, ref.step][ref.number]
        _, task.last_run, is_done, task.failures, task.saved, failed_on, runs = row
        task.failed_on = set(failed_on)
        for number, worker, born_ms in runs:
            run = Run(RunRef(ref, number), worker, born_ms, now_ms)
            run.phase = RunPhase.UNCERTAIN
            # The new owner's token fences the orders of the former one.
            run.is_closed = True
            run.settled_ms = now_ms - 1
            task.runs[number] = run
        if is_done:
            self._done(ref, task)


def _encode_task(index: int, task: Task) -> list[Any]:
    return [
        index,
        task.last_run,
        int(task.is_done),
        task.failures,
        task.saved,
        sorted(task.failed_on),
        [[run.ref.run, run.worker, run.born_ms] for run in task.runs.values()],
    ]


class ShownProgress(NamedTuple):
    """Hold what a progress row shows; ``cell`` is the other one that runs the job."""

    state: WorkflowState
    cell: str = ""


def shown_progress(body: bytes) -> ShownProgress:
    """Return what a stored form shows; raise ``ValueError`` on junk."""
    data = json.loads(body)
    return ShownProgress(WorkflowState(data["state"]), data.get("moved", ""))

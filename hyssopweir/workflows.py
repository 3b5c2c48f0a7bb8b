"""Jobs that consist of steps of parallel tasks, and their stored form."""

import json
from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.input_bounds import (
    InputError,
    input_errors,
    parse_bounded_json,
    read_float,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.resources import Resources
from hyssopweir.row_store import MAX_ROW_BYTES

# Bounds of an accepted job; the users' pages name only that of the payload. They keep
# every sum and product of these values far within the range of a float.
MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS = 2_000
MAX_STEPS = 200
MAX_DEPENDENCIES = 2_000
# Of each resource of a task, and of the limits on tasks per worker and missing tasks.
MAX_RESOURCE = 10**9
# About 31 years.
MAX_DURATION_MS: Millis = 10**12
MAX_OCCURRENCES = 10**9
# Times of the wall clock, until the year 5138.
MAX_WALL_MS: Millis = 10**14
MAX_LABEL_CHARS = 500


class Step(NamedTuple):
    """Specification of the tasks of one step, which depends on the steps in ``after``.

    ``is_filler`` tasks use CPU time that other tasks leave idle and reserve no CPU.
    ``is_endless`` tasks run until the job is cancelled. A task is slower outside
    ``home_rack``, and so is a gang that spans several racks if ``prefers_one_rack``.
    ``most_per_worker`` and ``allowed_misses`` of 0 mean no limit.
    """

    tasks: int
    room: Resources
    estimated_ms: Millis = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    prefers_one_rack: bool = False
    label: str = ""
    home_rack: str = ""
    most_per_worker: int = 0
    may_run_twice: bool = False
    is_endless: bool = False
    image: str = ""
    tail_target_ms: Millis = 0
    is_filler: bool = False
    allowed_misses: int = 0

    @property
    def charge(self) -> Resources:
        """Return the capacity that one task reserves on its worker."""
        return self.room._replace(cpu=0) if self.is_filler else self.room


class TransferredTask(NamedTuple):
    """Task that another cell transferred, with its history there.

    ``hops`` counts the transfers of the task; ``away_ms`` is the time that it had no
    run before the last of them.
    """

    occurrence: int
    step: int
    number: int
    last_run: int
    failures: int
    saved: str
    failed_on: tuple[str, ...]
    hops: int
    away_ms: Millis = 0


class Workflow(NamedTuple):
    """Accepted job with the policy of its queue at the time of acceptance.

    If ``occurrences`` is 0, the steps run once and immediately; otherwise occurrence k
    is due at ``first_due_ms`` + k * ``interval_ms`` of the wall clock. ``home`` is the
    cell that transferred the job to the one that runs it; with ``task``, it transferred
    only this task of the job.
    """

    job: str
    queue: str
    service: str
    payload: str
    steps: tuple[Step, ...]
    priority: int = 0
    most_failures: int = 1
    stretch: float = 1.0
    slack_ms: Millis = 0
    occurrences: int = 0
    first_due_ms: Millis = 0
    interval_ms: Millis = 0
    accepted_ms: Millis = 0
    home: str = ""
    task: TransferredTask | None = None

    def due_count(self, wall_ms: Millis) -> int:
        """Return how many occurrences are due, at ``wall_ms`` since the Unix epoch."""
        if not self.occurrences:
            return 1
        if wall_ms < self.first_due_ms:
            return 0
        if not self.interval_ms:
            return self.occurrences
        due = 1 + (wall_ms - self.first_due_ms) // self.interval_ms
        return min(due, self.occurrences)

    def objective_ms(self) -> Millis:
        """Return the target time from submission to completion of the job."""
        return (
            int(self.stretch * max(step_ends_ms(self.steps), default=0)) + self.slack_ms
        )


def step_ends_ms(steps: tuple[Step, ...]) -> list[Millis]:
    """Return the estimated end of each step, relative to the start of the job."""
    ends: list[Millis] = []
    for step in steps:
        start = max((ends[predecessor] for predecessor in step.after), default=0)
        ends.append(start + step.estimated_ms)
    return ends


def encode_workflow(workflow: Workflow) -> bytes:
    """Return an accepted job as JSON, without fields that have their default value."""
    data = _without_defaults(workflow)
    data["steps"] = [_without_defaults(step) for step in workflow.steps]
    return json.dumps(data, separators=(",", ":")).encode()


def decode_workflow(body: bytes) -> Workflow:
    """Parse a stored job; raise ``InputError`` if it is malformed or too large."""
    data = read_object(parse_bounded_json(body), "job")
    with input_errors("job"):
        steps = read_list(data.pop("steps"), "steps", MAX_STEPS)
        task = data.pop("task", None)
        workflow = Workflow(
            steps=tuple(map(_decode_step, steps)),
            task=None if task is None else _decode_task(*task),
            **data,
        )
        _check_bounds(workflow)
        return workflow


def _check_bounds(workflow: Workflow) -> None:
    read_int(len(workflow.steps), "steps", 1)
    for number, step in enumerate(workflow.steps):
        _check_step(number, step)
    read_int(sum(step.tasks for step in workflow.steps), "tasks", 1, MAX_TASKS)
    for name in ("job", "queue", "service", "home"):
        read_text(getattr(workflow, name), name)
    read_text(workflow.payload, "payload", MAX_PAYLOAD_BYTES)
    read_int(workflow.priority, "priority", 0, MAX_RESOURCE)
    read_int(workflow.most_failures, "most_failures", 0, MAX_RESOURCE)
    read_float(workflow.stretch, "stretch", 0, MAX_RESOURCE)
    read_int(workflow.slack_ms, "slack_ms", 0, MAX_DURATION_MS)
    read_int(workflow.occurrences, "occurrences", 0, MAX_OCCURRENCES)
    read_int(workflow.first_due_ms, "first_due_ms", 0, MAX_WALL_MS)
    read_int(workflow.interval_ms, "interval_ms", 0, MAX_DURATION_MS)
    read_int(workflow.accepted_ms, "accepted_ms", 0, MAX_WALL_MS)
    if workflow.task is not None:
        _check_task(workflow.task, workflow)


def _check_task(task: TransferredTask, workflow: Workflow) -> None:
    read_int(task.occurrence, "occurrence", 0, max(workflow.occurrences, 1) - 1)
    read_int(task.step, "step", 0, len(workflow.steps) - 1)
    read_int(task.number, "task", 0, workflow.steps[task.step].tasks - 1)
    read_int(task.last_run, "run")
    read_int(task.failures, "failures")
    read_text(task.saved, "saved", MAX_ROW_BYTES)
    for worker in task.failed_on:
        read_text(worker, "worker")
    read_int(task.hops, "hops", 1)
    read_int(task.away_ms, "away_ms")


def _check_step(number: int, step: Step) -> None:
    read_int(step.tasks, "tasks", 1, MAX_TASKS)
    for amount in (*step.room, step.most_per_worker, step.allowed_misses):
        read_int(amount, "amount", 0, MAX_RESOURCE)
    for duration_ms in (step.estimated_ms, step.tail_target_ms):
        read_int(duration_ms, "duration", 0, MAX_DURATION_MS)
    if len(step.after) > MAX_STEPS:
        raise InputError("too many dependencies")
    for predecessor in step.after:
        read_int(predecessor, "after", 0, number - 1)
    for text in (step.label, step.home_rack, step.image):
        read_text(text, "text", MAX_LABEL_CHARS)


def _without_defaults(value: Any) -> dict[str, Any]:
    defaults = value._field_defaults
    return {
        name: field
        for name, field in value._asdict().items()
        if name not in defaults or defaults[name] != field
    }


def _decode_step(data: dict[str, Any]) -> Step:
    data["room"] = Resources(*data["room"])
    data["after"] = tuple(data.get("after", ()))
    return Step(**data)


def _decode_task(*fields: Any) -> TransferredTask:
    task = TransferredTask(*fields)
    return task._replace(failed_on=tuple(task.failed_on))

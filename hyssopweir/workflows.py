"""Jobs that consist of steps of parallel tasks, and their accepted form."""

import json
from typing import Any, NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.resources import Resources


class Step(NamedTuple):
    """Describe the tasks of one step; they run once all steps in ``after`` are done.

    ``is_filler`` tasks use processor time that other tasks leave and count no
    processors. ``is_endless`` tasks run until the job is cancelled. A task takes
    longer away from ``home_rack``, and so does a gang that is spread over racks if
    ``prefers_one_rack``. ``most_per_worker`` and ``allowed_misses`` of 0 mean no limit.
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
        """Return the capacity that one task counts against its worker."""
        return self.room._replace(cpu=0) if self.is_filler else self.room


class Workflow(NamedTuple):
    """Hold an accepted job and the policy of its queue at that moment.

    ``occurrences`` of 0 means that the steps run once and at once, else occurrence k is
    due at ``first_due_ms`` + k * ``interval_ms`` of the wall clock. ``home`` is the
    cell that has accepted the job if another cell runs it.
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

    def due_ms(self, occurrence: int) -> Millis:
        """Return when an occurrence may start, in ms since the Unix epoch."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def objective_ms(self) -> Millis:
        """Return the time from submission in which the job should be done."""
        return int(self.stretch * max(chains_ms(self.steps), default=0)) + self.slack_ms


def chains_ms(steps: tuple[Step, ...]) -> list[Millis]:
    """Return the estimated time from the start of the job to the end of each step."""
    ends: list[Millis] = []
    for step in steps:
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + step.estimated_ms)
    return ends


def remaining_ms(steps: tuple[Step, ...]) -> list[Millis]:
    """Return the estimated time from the start of each step to the end of the job."""
    left = [step.estimated_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            longer = steps[earlier].estimated_ms + left[number]
            left[earlier] = max(left[earlier], longer)
    return left


def encode_workflow(workflow: Workflow) -> bytes:
    """Return the stored form of an accepted job; defaults are left out."""
    data = _without_defaults(workflow)
    data["steps"] = [_without_defaults(step) for step in workflow.steps]
    return json.dumps(data, separators=(",", ":")).encode()


def decode_workflow(body: bytes) -> Workflow:
    """Return the job; raise ``ValueError``, ``KeyError`` or ``TypeError`` on junk."""
    data = json.loads(body)
    steps = tuple(_step_of(step) for step in data.pop("steps"))
    return Workflow(steps=steps, **data)


def _without_defaults(value: Any) -> dict[str, Any]:
    defaults = value._field_defaults
    return {
        name: field
        for name, field in value._asdict().items()
        if name not in defaults or defaults[name] != field
    }


def _step_of(data: dict[str, Any]) -> Step:
    data["room"] = Resources(*data["room"])
    data["after"] = tuple(data.get("after", ()))
    return Step(**data)

"""Parser of the bodies of submitted jobs."""

import re
from typing import Any

from hyssopweir.input_bounds import (
    InputError,
    read_float,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.queue_policies import QueuePolicy
from hyssopweir.resources import Resources
from hyssopweir.row_store import MAX_ROW_BYTES
from hyssopweir.workflows import (
    MAX_DEPENDENCIES,
    MAX_DURATION_MS,
    MAX_LABEL_CHARS,
    MAX_OCCURRENCES,
    MAX_PAYLOAD_BYTES,
    MAX_RESOURCE,
    MAX_STEPS,
    MAX_TASKS,
    MAX_WALL_MS,
    Step,
    Workflow,
    encode_workflow,
)

# The fields that name the cells of the job are added to its row later.
MAX_BODY_ROW_BYTES = MAX_ROW_BYTES - 500
JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)


def parse_workflow(job: str, data: Any, queue: QueuePolicy, wall_ms: int) -> Workflow:
    """Parse a submitted job; raise ``InputError`` if it is malformed or too large."""
    data = read_object(data, "the body")
    payload = read_text(data.get("spec") or "", "spec", MAX_PAYLOAD_BYTES)
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InputError(f"spec has more than {MAX_PAYLOAD_BYTES} bytes")
    phases = read_list(data.get("phases"), "phases", MAX_STEPS)
    if not phases:
        raise InputError("phases is empty")
    steps = tuple(_parse_step(number, phase) for number, phase in enumerate(phases))
    if sum(step.tasks for step in steps) > MAX_TASKS:
        raise InputError(f"more than {MAX_TASKS} tasks")
    if sum(len(step.after) for step in steps) > MAX_DEPENDENCIES:
        raise InputError(f"more than {MAX_DEPENDENCIES} dependencies of steps")
    workflow = Workflow(
        job=job,
        queue=queue.name,
        service=queue.service,
        payload=payload,
        steps=steps,
        priority=queue.priority,
        most_failures=queue.most_failures,
        stretch=queue.stretch,
        slack_ms=queue.slack_ms,
        occurrences=_optional_count(data, "repetitions", MAX_OCCURRENCES),
        first_due_ms=_optional_count(data, "firstRunMs", MAX_WALL_MS),
        interval_ms=_optional_count(data, "intervalMs", MAX_DURATION_MS),
        accepted_ms=wall_ms,
    )
    if len(encode_workflow(workflow)) > MAX_BODY_ROW_BYTES:
        raise InputError(f"the job has more than {MAX_BODY_ROW_BYTES} bytes")
    return workflow


def _parse_step(number: int, phase: Any) -> Step:
    phase = read_object(phase, f"step {number}")
    earlier = read_list(phase.get("after") or [], "after", MAX_STEPS)
    after = [read_int(step, "after", 0, number - 1) for step in earlier]
    tasks = _optional_count(phase, "count", MAX_TASKS)
    if not tasks:
        raise InputError(f"step {number} has no tasks")
    return Step(
        tasks=tasks,
        room=Resources(
            _optional_count(phase, "cpu", MAX_RESOURCE),
            _optional_count(phase, "memMb", MAX_RESOURCE),
            _optional_count(phase, "gpu", MAX_RESOURCE),
        ),
        estimated_ms=_optional_count(phase, "estimatedMs", MAX_DURATION_MS),
        after=tuple(dict.fromkeys(after)),
        checkpoints=bool(phase.get("checkpointing")),
        is_gang=bool(phase.get("gang")),
        prefers_one_rack=bool(phase.get("sameRack")),
        # One worker label, although the platform's name for it is plural.
        label=_optional_text(phase, "requirements"),
        home_rack=_optional_text(phase, "affinity"),
        # A limit on the tasks of the step that run on the same worker.
        most_per_worker=_optional_count(phase, "antiAffinity", MAX_RESOURCE),
        may_run_twice=bool(phase.get("speculative")),
        is_endless=bool(phase.get("longRunning")),
        image=_optional_text(phase, "image"),
        tail_target_ms=_optional_count(phase, "targetMs", MAX_DURATION_MS),
        # A flag, not a number: the step's processors are left out of accounting.
        is_filler=bool(phase.get("fillCount")),
        allowed_misses=_optional_count(phase, "allowedMisses", MAX_RESOURCE),
    )


def _optional_text(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    return "" if value is None else read_text(value, name, MAX_LABEL_CHARS)


def _optional_count(data: dict[str, Any], name: str, high: int) -> int:
    value = data.get(name)
    return 0 if value is None else int(read_float(value, name, 0, high))

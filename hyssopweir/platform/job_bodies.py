"""Parser of the bodies of submitted jobs."""

import re
from typing import Any

from hyssopweir.queue_policies import QueuePolicy
from hyssopweir.resources import Resources
from hyssopweir.workflows import Step, Workflow

MAX_PAYLOAD_BYTES = 4_000
MAX_TASKS = 2_000
JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)


def parse_workflow(job: str, data: Any, queue: QueuePolicy, wall_ms: int) -> Workflow:
    """Parse a submitted job.

    Raise ``ValueError``, ``KeyError`` or ``TypeError`` if the body is malformed.
    """
    if not isinstance(data, dict):
        raise TypeError("the body is not an object")
    payload = data.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError("spec is no text of at most 4000 bytes")
    phases = data["phases"]
    if not isinstance(phases, list) or not phases:
        raise ValueError("phases is no list of steps")
    steps = tuple(_parse_step(number, phase) for number, phase in enumerate(phases))
    if sum(step.tasks for step in steps) > MAX_TASKS:
        raise ValueError(f"more than {MAX_TASKS} tasks")
    return Workflow(
        job=job,
        queue=queue.name,
        service=queue.service,
        payload=payload,
        steps=steps,
        priority=queue.priority,
        most_failures=queue.most_failures,
        stretch=queue.stretch,
        slack_ms=queue.slack_ms,
        occurrences=_optional_count(data, "repetitions"),
        first_due_ms=_optional_count(data, "firstRunMs"),
        interval_ms=_optional_count(data, "intervalMs"),
        accepted_ms=wall_ms,
    )


def _parse_step(number: int, phase: Any) -> Step:
    if not isinstance(phase, dict):
        raise TypeError(f"step {number} is no object")
    after = tuple(int(earlier) for earlier in phase.get("after") or ())
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError(f"step {number} comes after a step that is not earlier")
    tasks = _optional_count(phase, "count")
    if not tasks:
        raise ValueError(f"step {number} has no tasks")
    return Step(
        tasks=tasks,
        room=Resources(
            _optional_count(phase, "cpu"),
            _optional_count(phase, "memMb"),
            _optional_count(phase, "gpu"),
        ),
        estimated_ms=_optional_count(phase, "estimatedMs"),
        after=after,
        checkpoints=bool(phase.get("checkpointing")),
        is_gang=bool(phase.get("gang")),
        prefers_one_rack=bool(phase.get("sameRack")),
        # One worker label, although the platform's name for it is plural.
        label=_optional_text(phase, "requirements"),
        home_rack=_optional_text(phase, "affinity"),
        # A limit on the tasks of the step that run on the same worker.
        most_per_worker=_optional_count(phase, "antiAffinity"),
        may_run_twice=bool(phase.get("speculative")),
        is_endless=bool(phase.get("longRunning")),
        image=_optional_text(phase, "image"),
        tail_target_ms=_optional_count(phase, "targetMs"),
        # A flag, not a number: the step's processors are left out of accounting.
        is_filler=bool(phase.get("fillCount")),
        allowed_misses=_optional_count(phase, "allowedMisses"),
    )


def _optional_text(data: dict[str, Any], name: str) -> str:
    value = data.get(name) or ""
    if not isinstance(value, str):
        raise TypeError(f"{name} is no text")
    return value


def _optional_count(data: dict[str, Any], name: str) -> int:
    value = data.get(name) or 0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"{name} is no count")
    return int(value)

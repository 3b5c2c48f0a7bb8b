"""Bodies of submitted jobs."""

import re
from typing import Any

from hyssopweir.queue_policies import QueuePolicy
from hyssopweir.resources import Resources
from hyssopweir.workflows import Step, Workflow

MOST_PAYLOAD_BYTES = 4_000
MOST_TASKS = 2_000
JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII | re.IGNORECASE)


def workflow_of(job: str, data: Any, queue: QueuePolicy, wall_ms: int) -> Workflow:
    """Return the job; raise ``ValueError``, ``KeyError`` or ``TypeError`` on junk."""
    if not isinstance(data, dict):
        raise TypeError("the body is not an object")
    payload = data.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MOST_PAYLOAD_BYTES:
        raise ValueError("spec is no text of at most 4000 bytes")
    phases = data["phases"]
    if not isinstance(phases, list) or not phases:
        raise ValueError("phases is no list of steps")
    steps = tuple(_step_of(number, phase) for number, phase in enumerate(phases))
    if sum(step.tasks for step in steps) > MOST_TASKS:
        raise ValueError(f"more than {MOST_TASKS} tasks")
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
        occurrences=_count(data, "repetitions"),
        first_due_ms=_count(data, "firstRunMs"),
        interval_ms=_count(data, "intervalMs"),
        accepted_ms=wall_ms,
    )


def _step_of(number: int, phase: Any) -> Step:
    if not isinstance(phase, dict):
        raise TypeError(f"step {number} is no object")
    after = tuple(int(earlier) for earlier in phase.get("after") or ())
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError(f"step {number} comes after a step that is not earlier")
    tasks = _count(phase, "count")
    if not tasks:
        raise ValueError(f"step {number} has no tasks")
    return Step(
        tasks=tasks,
        room=Resources(
            _count(phase, "cpu"), _count(phase, "memMb"), _count(phase, "gpu")
        ),
        estimated_ms=_count(phase, "estimatedMs"),
        after=after,
        checkpoints=bool(phase.get("checkpointing")),
        is_gang=bool(phase.get("gang")),
        prefers_one_rack=bool(phase.get("sameRack")),
        # A single label of a worker, although the name is in the plural.
        label=_text(phase, "requirements"),
        home_rack=_text(phase, "affinity"),
        # The most tasks of the step on one worker.
        most_per_worker=_count(phase, "antiAffinity"),
        may_run_twice=bool(phase.get("speculative")),
        is_endless=bool(phase.get("longRunning")),
        image=_text(phase, "image"),
        tail_target_ms=_count(phase, "targetMs"),
        # A flag: the processors of the step are not counted.
        is_filler=bool(phase.get("fillCount")),
        allowed_misses=_count(phase, "allowedMisses"),
    )


def _text(data: dict[str, Any], name: str) -> str:
    value = data.get(name) or ""
    if not isinstance(value, str):
        raise TypeError(f"{name} is no text")
    return value


def _count(data: dict[str, Any], name: str) -> int:
    value = data.get(name) or 0
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"{name} is no count")
    return int(value)

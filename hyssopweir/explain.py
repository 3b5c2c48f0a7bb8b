"""Answers about a job in plain sentences, built only from recorded reasons."""

from datetime import UTC, datetime
from typing import Any

from hyssopweir.clock import SECOND_MS
from hyssopweir.contracts import Reason, TaskRow, TaskState
from hyssopweir.events import Event
from hyssopweir.jobs import JobRecords, status_of
from hyssopweir.task_rows import MAX_REASONS

STATES: dict[str, str] = {
    TaskState.QUEUED.value: "is waiting for a worker",
    TaskState.STARTING.value: "is being started",
    TaskState.RUNNING.value: "is running",
    TaskState.EVICTING.value: "is being stopped so that it can go on elsewhere",
    TaskState.DONE.value: "is finished",
    TaskState.FAILED.value: "has failed",
    TaskState.CANCELLED.value: "was cancelled",
    TaskState.HELD.value: "is held back until somebody looks at it",
}

TOPICS: dict[str, str] = {
    Event.TASK_QUEUED.name: "It was queued",
    Event.TASK_STARTING.name: "A worker was chosen",
    Event.TASK_STARTED.name: "It started",
    Event.TASK_RESUMED.name: "It went on",
    Event.TASK_ADOPTED.name: "It was found running",
    Event.TASK_WAITING.name: "It had to wait",
    Event.TASK_MOVED.name: "It was moved to another rack",
    Event.TASK_EVICTING.name: "It is stopped at its worker",
    Event.TASK_EVICTED.name: "It was stopped at its worker",
    Event.TASK_THROTTLED.name: "It was slowed down",
    Event.TASK_RESTORED.name: "It was given its full speed again",
    Event.TASK_LAPSED.name: "It lost its worker",
    Event.TASK_FAILED.name: "An attempt failed",
    Event.TASK_HELD.name: "It was held back",
    Event.TASK_CANCELLED.name: "It was cancelled",
    Event.TASK_DONE.name: "It finished",
}


def explain_job(records: JobRecords) -> str:
    """Return what is recorded of a job, for readers who are not technical."""
    answer = explain_job_json(records)
    lines = [str(answer["summary"]), *answer["missing"]]
    for task in answer["tasks"]:
        lines.extend(["", task["summary"]])
        lines.extend(f"  {step['sentence']}" for step in task["steps"])
        lines.extend(f"  {note}" for note in task["missing"])
    return "\n".join(lines)


def explain_job_json(records: JobRecords) -> dict[str, Any]:
    """Return the explanation as data: sentences, figures and what is missing."""
    tasks = [_explain_task(task) for task in records.tasks]
    return {
        "job": records.job,
        "summary": _summary(records),
        "missing": _missing(records),
        "tasks": tasks,
    }


def _summary(records: JobRecords) -> str:
    if records.row is None:
        return f"No job with the id {records.job} is recorded."
    status = status_of(records.row, records.tasks)
    spec = records.row["spec"]
    counts = ", ".join(f"{count} {state}" for state, count in status["counts"].items())
    text = (
        f"Job {records.job} of the team {spec['team']} has {_tasks(spec['tasks'])}: "
        f"{counts or 'none recorded'}."
    )
    if records.row["cancelled"]:
        text += " Its cancellation was asked for; tasks that were done first stay done."
    return text


def _missing(records: JobRecords) -> list[str]:
    if records.row is None:
        return []
    found = {task["n"] for task in records.tasks}
    lost = [n for n in range(records.row["spec"]["tasks"]) if n not in found]
    if not lost:
        return []
    listed = ", ".join(map(str, lost))
    return [f"The record is missing for these tasks, so nothing is known: {listed}."]


def _tasks(count: int) -> str:
    return "1 task" if count == 1 else f"{count} tasks"


def _explain_task(task: TaskRow) -> dict[str, Any]:
    state = STATES.get(task["state"], f"is in the unknown state {task['state']}")
    text = f"Task {task['n']} {state}"
    if task["worker"]:
        text += f" on {task['worker']}"
    text += f". It was {_counted('started', task['run'])}"
    text += f" and {_counted('evicted', task['evictions'])}."
    return {
        "n": task["n"],
        "state": task["state"],
        "summary": text,
        "steps": [_step(reason) for reason in task["reasons"]],
        "missing": _missing_reasons(task),
    }


def _counted(verb: str, count: int) -> str:
    if count == 0:
        return f"never {verb}"
    return f"{verb} " + {1: "once", 2: "twice"}.get(count, f"{count} times")


def _step(reason: Reason) -> dict[str, Any]:
    at_s = reason["at_ms"] / SECOND_MS
    time = datetime.fromtimestamp(at_s, UTC).strftime("%Y-%m-%d %H:%M:%S")
    topic = TOPICS.get(reason["event"], reason["event"])
    sentence = f"{time} UTC, {reason['by']}: {topic}: {reason['text']}."
    return {**reason, "sentence": sentence}


def _missing_reasons(task: TaskRow) -> list[str]:
    """Say which decisions the records can't explain."""
    reasons = task["reasons"]
    if not reasons:
        return ["No reason is recorded, so it can't be said what was decided and why."]
    notes: list[str] = []
    if len(reasons) >= MAX_REASONS:
        notes.append(
            f"Only the newest {MAX_REASONS} decisions are kept; older ones may be "
            "missing."
        )
    chosen = {reason["text"].partition(":")[0] for reason in reasons}
    run = task["run"]
    if run and f"run {run}" not in chosen:
        notes.append(f"The record of why run {run} was placed there is missing.")
    return notes

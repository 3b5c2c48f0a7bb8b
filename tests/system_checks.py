"""Judgement of a ``System`` whose faults are healed and whose work has ended."""

from collections import defaultdict
from typing import Any

from result import Ok

from hyssopweir.contracts import FINAL_TASK_STATES, KeyState, TaskState

from .random_load import Load, Told, is_settled_answer
from .system import System

FINAL = {state.value for state in FINAL_TASK_STATES}


def problems_of(system: System, load: Load) -> list[str]:
    """Return every promise that was broken, in words."""
    return [
        *_violations(system),
        *_breaches(system),
        *load.problems,
        *_request_problems(system, load.told),
        *_task_problems(system, load),
        *_configuration_problems(system, load),
        *_owner_problems(system),
        *_slot_problems(system),
    ]


def _violations(system: System) -> list[str]:
    # ``_end_problems`` judges the ends of tasks; the account does not know the leases.
    return [
        f"account: {item}"
        for item in system.fleet.audit.violations
        if item.promise != "done once"
    ]


def _breaches(system: System) -> list[str]:
    return [
        f"{node.process.name}: {record.event.name} {record.fields}"
        for node in (*system.nodes, *system.ended)
        for record in node.failures
    ]


def _request_problems(system: System, told: list[Told]) -> list[str]:
    found: list[str] = []
    by_key: dict[str, list[Told]] = defaultdict(list)
    for item in told:
        runs = system.ran.get(item.request_id, [])
        if item.is_not_run() and runs:
            found.append(f"told not run, but ran as {runs}: {item}")
        if isinstance(item.reply, Ok):
            answer = item.reply.ok_value
            whole = b"%s answers %s" % (item.service.encode(), item.body)
            if answer.body != whole or answer.request_id != item.request_id:
                found.append(f"the answer of another request: {item}")
        if item.key is not None and not item.body.endswith(b"changed"):
            by_key[item.key].append(item)
    for key, items in by_key.items():
        found.extend(_key_problems(system, key, items))
    # A record that nobody settles would hold up all later callers of its key.
    found.extend(
        f"{key} is left as dispatched"
        for key, row in _rows(system, "keys/").items()
        if row["state"] == KeyState.DISPATCHED.value
    )
    return found


def _key_problems(system: System, key: str, items: list[Told]) -> list[str]:
    runs = system.fleet.audit.count_request_runs(f"planner/{key}")
    found = [f"{key} ran {runs} times"] if runs > 1 else []
    settled = [item for item in items if is_settled_answer(item)]
    answers = {_gist(item) for item in settled}
    if len(answers) > 1:
        found.append(f"{key} has several answers: {sorted(answers)}")
    if settled and runs == 0:
        found.append(f"{key} was answered but never ran")
    return found


def _gist(item: Told) -> str:
    if isinstance(item.reply, Ok):
        answer = item.reply.ok_value
        return f"{answer.run_id} {answer.body!r}"
    return "failed"


def _rows(system: System, prefix: str) -> dict[str, dict[str, Any]]:
    return {row.key: row.value for row in system.table.scan(prefix, "", 100_000)}


def _task_problems(system: System, load: Load) -> list[str]:
    tasks = _rows(system, "tasks/")
    jobs = _rows(system, "jobs/")
    found: list[str] = []
    for job, told in load.jobs.items():
        row = jobs.get(f"jobs/{job}")
        count = sum(key.startswith(f"tasks/{job}/") for key in tasks)
        is_missing = row is None and True in told
        is_unexpected = row is not None and set(told) == {False}
        if is_missing or is_unexpected or (row and count != row["spec"]["tasks"]):
            found.append(f"{job}: its callers were told {told}, it has {count} tasks")
    for key, task in tasks.items():
        task_id = key.removeprefix("tasks/")
        if task["state"] not in FINAL:
            reasons = task["reasons"][-2:]
            found.append(f"{task_id} has not ended: {task['state']} {reasons}")
        found.extend(_end_problems(system, task_id, task["state"]))
    found.extend(f"queue row {key} is left" for key in _rows(system, "queue/"))
    return found


def _end_problems(system: System, task_id: str, state: str) -> list[str]:
    """Compare the recorded end of a task with the ends of its runs at the workers.

    The end of a run whose worker could not be reached until its lease was over, or has
    died, can't be known, so the task is run again by design (2.4).
    """
    ends = system.done_runs[task_id]
    lost = [run for run in ends if run in system.lost_runs]
    counted = [run for run in ends if run not in {*lost, *system.lapsed_runs}]
    is_done = state == TaskState.DONE.value
    if len(counted) == int(is_done) or (is_done and not counted and lost):
        return []
    return [f"{task_id} is {state}, done as {ends}"]


def _configuration_problems(system: System, load: Load) -> list[str]:
    current = _rows(system, "config/")["config/current"]
    found = [
        f"{node.process.name} holds {node.parts.configuration.version}, "
        f"not {current['version']}"
        for node in system.nodes
        if node.parts.configuration.version != current["version"]
        or node.parts.configuration.body != current["body"]
    ]
    newest = max(load.accepted, default=0)
    if current["version"] < newest:
        found.append(f"version {newest} was accepted, {current['version']} is in force")
    known = load.accepted.get(current["version"])
    if known is not None and known != current["body"]:
        found.append(f"version {current['version']} has another body than accepted")
    return found


def _owner_problems(system: System) -> list[str]:
    found: list[str] = []
    for key, row in _rows(system, "shards/").items():
        shard = key.removeprefix("shards/")
        owners = {
            node.session: node.parts.ownership.epoch_of(shard)
            for node in system.nodes
            if node.parts.ownership.epoch_of(shard) is not None
        }
        if owners != {row["owner"]: row["epoch"]}:
            found.append(f"{shard} is held by {owners}, its row says {row}")
    return found


def _slot_problems(system: System) -> list[str]:
    found: list[str] = []
    for node in system.nodes:
        ledger, parts = node.parts.ledger, node.parts
        if parts.dispatcher.in_progress:
            found.append(f"{node.process.name}: requests are still in progress")
        for shard in parts.ownership.owned():
            for worker in parts.fleet.workers_of(shard):
                used = ledger.in_flight(worker.worker_id)
                free = ledger.free(worker.worker_id, False)
                placed = parts.tasks._worker_tasks.demands_on(worker.worker_id)
                if (used, free, placed) != (0, worker.slots, []):
                    found.append(f"{worker.worker_id}: {used} in use, {free} free")
    return found

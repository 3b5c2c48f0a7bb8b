"""Checks of the guarantees of a ``System`` after all faults and tasks have ended."""

from collections import defaultdict
from typing import Any

from result import Ok

from hyssopweir.contracts import FINAL_TASK_STATES, KeyState, TaskState

from .random_load import Load, RequestResult, is_settled_answer
from .system import System

FINAL_STATES = {state.value for state in FINAL_TASK_STATES}


def find_problems(system: System, load: Load) -> list[str]:
    """Return a description of each violated guarantee."""
    return [
        *_worker_violations(system),
        *_event_problems(system),
        *load.problems,
        *_request_problems(system, load.told),
        *_task_problems(system, load),
        *_configuration_problems(system, load),
        *_owner_problems(system),
        *_slot_problems(system),
    ]


def _worker_violations(system: System) -> list[str]:
    # ``_run_end_problems`` checks that tasks are done once, because the account of the
    # workers does not know which leases have expired.
    return [
        f"account: {violation}"
        for violation in system.fleet.audit.violations
        if violation.promise != "done once"
    ]


def _event_problems(system: System) -> list[str]:
    return [
        f"{node.process.name}: {record.event.name} {record.fields}"
        for node in (*system.nodes, *system.ended)
        for record in node.failures
    ]


def _request_problems(system: System, results: list[RequestResult]) -> list[str]:
    problems: list[str] = []
    results_by_key: dict[str, list[RequestResult]] = defaultdict(list)
    for result in results:
        runs = system.ran.get(result.request_id, [])
        if result.is_not_run() and runs:
            problems.append(f"told not run, but ran as {runs}: {result}")
        if isinstance(result.reply, Ok):
            answer = result.reply.ok_value
            expected_body = b"%s answers %s" % (result.service.encode(), result.body)
            if answer.body != expected_body or answer.request_id != result.request_id:
                problems.append(f"answer of another request: {result}")
        if result.key is not None and not result.body.endswith(b"changed"):
            results_by_key[result.key].append(result)
    for key, key_results in results_by_key.items():
        problems.extend(_key_problems(system, key, key_results))
    # A record that stays dispatched would block all later callers of its key.
    problems.extend(
        f"{key} is still recorded as dispatched"
        for key, row in _rows(system, "keys/").items()
        if row["state"] == KeyState.DISPATCHED.value
    )
    return problems


def _key_problems(
    system: System, key: str, key_results: list[RequestResult]
) -> list[str]:
    runs = system.fleet.audit.count_request_runs(f"planner/{key}")
    problems = [f"{key} ran {runs} times"] if runs > 1 else []
    final_results = [result for result in key_results if is_settled_answer(result)]
    answers = {_summarize_reply(result) for result in final_results}
    if len(answers) > 1:
        problems.append(f"{key} has different answers: {sorted(answers)}")
    if final_results and runs == 0:
        problems.append(f"{key} was answered but never ran")
    return problems


def _summarize_reply(result: RequestResult) -> str:
    if isinstance(result.reply, Ok):
        answer = result.reply.ok_value
        return f"{answer.run_id} {answer.body!r}"
    return "failed"


def _rows(system: System, prefix: str) -> dict[str, dict[str, Any]]:
    return {row.key: row.value for row in system.table.scan(prefix, "", 100_000)}


def _task_problems(system: System, load: Load) -> list[str]:
    tasks = _rows(system, "tasks/")
    jobs = _rows(system, "jobs/")
    problems: list[str] = []
    for job, submissions in load.jobs.items():
        row = jobs.get(f"jobs/{job}")
        count = sum(key.startswith(f"tasks/{job}/") for key in tasks)
        is_missing = row is None and True in submissions
        is_unexpected = row is not None and set(submissions) == {False}
        if is_missing or is_unexpected or (row and count != row["spec"]["tasks"]):
            problems.append(
                f"{job}: submission results {submissions}, but it has {count} tasks"
            )
    for key, task in tasks.items():
        task_id = key.removeprefix("tasks/")
        if task["state"] not in FINAL_STATES:
            reasons = task["reasons"][-2:]
            problems.append(f"{task_id} has not ended: {task['state']} {reasons}")
        problems.extend(_run_end_problems(system, task_id, task["state"]))
    problems.extend(f"queue row {key} still exists" for key in _rows(system, "queue/"))
    return problems


def _run_end_problems(system: System, task_id: str, state: str) -> list[str]:
    """Compare the recorded state of a task with the runs that its workers completed.

    The result of a run is unknown if its worker was killed, or was unreachable until
    the lease expired. The task is then run again by design (2.4).
    """
    done_runs = system.done_runs[task_id]
    lost_runs = [run for run in done_runs if run in system.lost_runs]
    known_runs = [
        run for run in done_runs if run not in {*lost_runs, *system.lapsed_runs}
    ]
    is_done = state == TaskState.DONE.value
    if len(known_runs) == int(is_done) or (is_done and not known_runs and lost_runs):
        return []
    return [f"{task_id} is {state}, but these runs were done: {done_runs}"]


def _configuration_problems(system: System, load: Load) -> list[str]:
    current = _rows(system, "config/")["config/current"]
    problems = [
        f"{node.process.name} holds {node.parts.configuration.version}, "
        f"not {current['version']}"
        for node in system.nodes
        if node.parts.configuration.version != current["version"]
        or node.parts.configuration.body != current["body"]
    ]
    newest = max(load.accepted, default=0)
    if current["version"] < newest:
        problems.append(
            f"version {newest} was accepted, {current['version']} is in force"
        )
    accepted_body = load.accepted.get(current["version"])
    if accepted_body is not None and accepted_body != current["body"]:
        problems.append(f"version {current['version']} differs from the accepted body")
    return problems


def _owner_problems(system: System) -> list[str]:
    problems: list[str] = []
    for key, row in _rows(system, "shards/").items():
        shard = key.removeprefix("shards/")
        owners = {
            node.session: node.parts.ownership.epoch_of(shard)
            for node in system.nodes
            if node.parts.ownership.epoch_of(shard) is not None
        }
        if owners != {row["owner"]: row["epoch"]}:
            problems.append(f"{shard} is owned by {owners}, but its row is {row}")
    return problems


def _slot_problems(system: System) -> list[str]:
    problems: list[str] = []
    for node in system.nodes:
        ledger, parts = node.parts.ledger, node.parts
        if parts.dispatcher.in_progress:
            problems.append(f"{node.process.name}: requests are still in progress")
        for shard in parts.ownership.owned():
            for worker in parts.fleet.workers_of(shard):
                used = ledger.in_flight(worker.worker_id)
                free = ledger.free(worker.worker_id, False)
                placed = parts.tasks._worker_tasks.demands_on(worker.worker_id)
                if (used, free, placed) != (0, worker.slots, []):
                    problems.append(
                        f"{worker.worker_id}: {used} slots in use, {free} free"
                    )
    return problems

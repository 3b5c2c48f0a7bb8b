"""Runs that this instance has placed on its workers, and their failures."""

from hyssopweir.estimates import Estimates
from hyssopweir.placement import Demand
from hyssopweir.task_rows import TaskEntry


class WorkerTasks:
    """Track the runs on each worker, and its consecutive failures."""

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._runs_by_worker: dict[str, dict[str, TaskEntry]] = {}
        self._runs_by_team: dict[str, dict[str, set[str]]] = {}
        self._workers_by_shard: dict[str, set[str]] = {}
        self._failure_counts: dict[str, int] = {}

    def add(self, entry: TaskEntry, worker_id: str, run_id: str) -> None:
        """Add a run that starts, or one that was adopted after a change of owner."""
        shard, team = entry.row["shard"], entry.job.spec["team"]
        self._runs_by_worker.setdefault(worker_id, {})[run_id] = entry
        self._workers_by_shard.setdefault(shard, set()).add(worker_id)
        self._runs_by_team.setdefault(shard, {}).setdefault(team, set()).add(run_id)

    def remove(self, entry: TaskEntry, worker_id: str, run_id: str) -> None:
        """Remove a run that ended."""
        self._runs_by_worker.get(worker_id, {}).pop(run_id, None)
        runs_by_team = self._runs_by_team.get(entry.row["shard"], {})
        runs_by_team.get(entry.job.spec["team"], set()).discard(run_id)

    def drop_shard(self, shard: str) -> None:
        """Remove all runs of a shard, including those that were about to start."""
        for worker_id in self._workers_by_shard.pop(shard, ()):
            self._runs_by_worker.pop(worker_id, None)
        self._runs_by_team.pop(shard, None)

    def demands_on(self, worker_id: str) -> list[Demand]:
        """Estimate the demands of the runs on a worker."""
        return [self._estimates.of(entry) for entry in self.entries_on(worker_id)]

    def entries_on(self, worker_id: str) -> list[TaskEntry]:
        """Return the tasks that have a run on a worker."""
        return list(self._runs_by_worker.get(worker_id, {}).values())

    def has_kind(self, worker_id: str, kind: str) -> bool:
        """Return whether a task of a kind runs, or is about to start, on a worker."""
        entries = self._runs_by_worker.get(worker_id, {}).values()
        return any(entry.job.spec["kind"] == kind for entry in entries)

    def count_team_runs(self, shard: str, team: str) -> int:
        """Count the runs of a team in a shard."""
        return len(self._runs_by_team.get(shard, {}).get(team, ()))

    def record_run_result(self, worker_id: str, failed: bool) -> None:
        """Record the end of a run; a success resets the worker's failure count."""
        count = self._failure_counts.get(worker_id, 0)
        self._failure_counts[worker_id] = count + 1 if failed else 0

    def failures(self, worker_id: str) -> int:
        """Return the number of failed runs on a worker since its last success."""
        return self._failure_counts.get(worker_id, 0)

"""What this instance has placed on its workers."""

from hyssopweir.estimates import Estimates
from hyssopweir.placement import Demand
from hyssopweir.task_rows import Entry


class WorkerTasks:
    """Remember what this instance has placed on each worker, and failures there."""

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._runs: dict[str, dict[str, Entry]] = {}
        self._teams: dict[str, dict[str, set[str]]] = {}
        self._workers: dict[str, set[str]] = {}
        self._failures: dict[str, int] = {}

    def add(self, entry: Entry, worker_id: str, run_id: str) -> None:
        """Count a run that starts, or that was found after a change of owner."""
        shard, team = entry.row["shard"], entry.job.spec["team"]
        self._runs.setdefault(worker_id, {})[run_id] = entry
        self._workers.setdefault(shard, set()).add(worker_id)
        self._teams.setdefault(shard, {}).setdefault(team, set()).add(run_id)

    def remove(self, entry: Entry, worker_id: str, run_id: str) -> None:
        """Stop counting a run that ended."""
        self._runs.get(worker_id, {}).pop(run_id, None)
        teams = self._teams.get(entry.row["shard"], {})
        teams.get(entry.job.spec["team"], set()).discard(run_id)

    def drop_shard(self, shard: str) -> None:
        """Stop counting all runs of a shard, those included that were to start."""
        for worker_id in self._workers.pop(shard, ()):
            self._runs.pop(worker_id, None)
        self._teams.pop(shard, None)

    def on(self, worker_id: str) -> list[Demand]:
        """Return what the runs on a worker need."""
        return [self._estimates.of(entry) for entry in self.entries_on(worker_id)]

    def entries_on(self, worker_id: str) -> list[Entry]:
        """Return the tasks with a run on a worker."""
        return list(self._runs.get(worker_id, {}).values())

    def has_kind(self, worker_id: str, kind: str) -> bool:
        """Tell whether a task of a kind runs on a worker, or is to start there."""
        entries = self._runs.get(worker_id, {}).values()
        return any(entry.job.spec["kind"] == kind for entry in entries)

    def of_team(self, shard: str, team: str) -> int:
        """Return the number of a team's runs in a shard."""
        return len(self._teams.get(shard, {}).get(team, ()))

    def note_end(self, worker_id: str, failed: bool) -> None:
        """Count failures in a row of a worker."""
        count = self._failures.get(worker_id, 0)
        self._failures[worker_id] = count + 1 if failed else 0

    def failures(self, worker_id: str) -> int:
        """Return the number of failed runs since the last success."""
        return self._failures.get(worker_id, 0)

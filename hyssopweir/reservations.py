"""Reservation of workers for tasks that smaller tasks have overtaken in the queue."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from hyssopweir.clock import Clock, Millis
from hyssopweir.estimates import Estimates
from hyssopweir.placement import (
    Candidate,
    Demand,
    fits_beside_reservation,
    rejection_reason,
)
from hyssopweir.queue_order import queue_sort_key, waited_ms
from hyssopweir.task_rows import TaskEntry

RESERVE_AFTER_MS: Millis = 30_000
# More reservations would leave too many workers of an 8-worker rack idle.
MAX_RESERVATIONS = 2


class Reservation(NamedTuple):
    """Worker reserved for a waiting task; it should have room in ``in_ms``."""

    entry: TaskEntry
    worker_id: str
    demand: Demand
    available_in_ms: Millis


class Reservations:
    """Reserves workers so that smaller tasks can't starve a larger one.

    A worker with a reservation accepts a later task only if enough resources stay free
    for the task that it is reserved for.
    """

    def __init__(
        self,
        runs_on: Callable[[str], Sequence[TaskEntry]],
        estimates: Estimates,
        clock: Clock,
    ) -> None:
        self._runs_on = runs_on
        self._estimates = estimates
        self._clock = clock
        self._by_task_id: dict[str, Reservation] = {}

    def is_due(self, entry: TaskEntry) -> bool:
        """Return whether a task that can't move to another shard may reserve."""
        if not entry.passed_over:
            return False
        if (
            entry.task_id in self._by_task_id
            or len(self._by_task_id) >= MAX_RESERVATIONS
        ):
            return entry.task_id in self._by_task_id
        return waited_ms(entry, self._clock.wall_ms()) >= RESERVE_AFTER_MS

    def keep(
        self, is_queued: Callable[[TaskEntry], bool], candidates: Sequence[Candidate]
    ) -> None:
        """Drop reservations of tasks no longer queued and of unavailable workers.

        The demand of the remaining reservations is estimated again.
        """
        eligible_ids = {
            item.worker.worker_id
            for item in candidates
            if item.ready and not item.leaving
        }
        self._by_task_id = {
            task_id: item._replace(demand=self._estimates.of(item.entry))
            for task_id, item in self._by_task_id.items()
            if is_queued(item.entry) and item.worker_id in eligible_ids
        }

    def update(
        self, waiting: Sequence[TaskEntry], candidates: Sequence[Candidate]
    ) -> list[Reservation]:
        """Reserve a worker for each task that is due; return the new reservations."""
        added: list[Reservation] = []
        for entry in waiting:
            if (
                entry.busy
                or not self.is_due(entry)
                or entry.task_id in self._by_task_id
            ):
                continue
            reserved_ids = {item.worker_id for item in self._by_task_id.values()}
            free = [c for c in candidates if c.worker.worker_id not in reserved_ids]
            reservation = self._earliest_reservation(entry, free)
            if reservation is not None:
                self._by_task_id[entry.task_id] = reservation
                added.append(reservation)
        return added

    def restrict(
        self, entry: TaskEntry, demand: Demand, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """Set ``reserved_for`` on the candidates that this task may not use."""
        if not self._by_task_id:
            return list(candidates)
        by_worker_id = {item.worker_id: item for item in self._by_task_id.values()}
        return [
            (
                candidate
                if (existing := by_worker_id.get(candidate.worker.worker_id)) is None
                or self._may_use(entry, demand, candidate, existing)
                else candidate._replace(reserved_for=existing.entry.task_id)
            )
            for candidate in candidates
        ]

    def _may_use(
        self,
        entry: TaskEntry,
        demand: Demand,
        candidate: Candidate,
        existing: Reservation,
    ) -> bool:
        wall_ms = self._clock.wall_ms()
        if queue_sort_key(entry, wall_ms) <= queue_sort_key(existing.entry, wall_ms):
            return True
        return fits_beside_reservation(candidate, demand, existing.demand)

    def _earliest_reservation(
        self, entry: TaskEntry, candidates: Sequence[Candidate]
    ) -> Reservation | None:
        demand = self._estimates.of(entry)
        delays = [
            (in_ms, candidate.worker.worker_id)
            for candidate in candidates
            if (in_ms := self._free_in_ms(entry, demand, candidate)) is not None
        ]
        if not delays:
            return None
        in_ms, worker_id = min(delays)
        return Reservation(entry, worker_id, demand, in_ms)

    def _free_in_ms(
        self, entry: TaskEntry, demand: Demand, candidate: Candidate
    ) -> Millis | None:
        """Return the expected time until the task fits on a worker.

        None if it does not fit even after all current runs have ended.
        """
        now_ms = self._clock.now_ms()
        ends = sorted(
            (
                (self._end_ms(run), run)
                for run in self._runs_on(candidate.worker.worker_id)
            ),
            key=lambda item: item[0],
        )
        for end_ms, run in ends:
            candidate = candidate.after_release(self._estimates.of(run))
            if rejection_reason(demand, candidate, entry.row["failed_on"]) is None:
                return max(end_ms - now_ms, 0)
        return None

    def _end_ms(self, run: TaskEntry) -> Millis:
        started_ms = (
            run.since_ms if run.started_here_ms is None else run.started_here_ms
        )
        return started_ms + self._estimates.run_ms(run.job.spec)

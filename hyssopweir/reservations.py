"""Workers of a shard that are reserved for tasks that have waited long."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from hyssopweir.clock import Clock, Millis
from hyssopweir.estimates import Estimates
from hyssopweir.placement import Candidate, Demand, leaves_room, obstacle
from hyssopweir.queue_order import order_of, waited_ms
from hyssopweir.task_rows import Entry

RESERVE_AFTER_MS: Millis = 30_000
# More reservations would leave too much of a rack of 8 workers unused.
MOST_RESERVATIONS = 2


class Reservation(NamedTuple):
    """Hold the worker that is to take a task next, and when it is expected to."""

    entry: Entry
    worker_id: str
    demand: Demand
    available_in_ms: Millis


class Reservations:
    """Keep workers free for tasks that only smaller tasks have passed."""

    def __init__(
        self,
        runs_on: Callable[[str], Sequence[Entry]],
        estimates: Estimates,
        clock: Clock,
    ) -> None:
        self._runs_on = runs_on
        self._estimates = estimates
        self._clock = clock
        self._kept: dict[str, Reservation] = {}

    def is_due(self, entry: Entry) -> bool:
        """Tell whether a task may reserve a worker if it can't move."""
        if not entry.passed_over:
            return False
        if entry.task_id in self._kept or len(self._kept) >= MOST_RESERVATIONS:
            return entry.task_id in self._kept
        return waited_ms(entry, self._clock.wall_ms()) >= RESERVE_AFTER_MS

    def keep(
        self, is_queued: Callable[[Entry], bool], candidates: Sequence[Candidate]
    ) -> None:
        """Drop the reservations of tasks and workers that have gone."""
        able = {
            item.worker.worker_id
            for item in candidates
            if item.ready and not item.leaving
        }
        self._kept = {
            task_id: item._replace(demand=self._estimates.of(item.entry))
            for task_id, item in self._kept.items()
            if is_queued(item.entry) and item.worker_id in able
        }

    def update(
        self, waiting: Sequence[Entry], candidates: Sequence[Candidate]
    ) -> list[Reservation]:
        """Reserve workers for tasks that are due; return the new reservations."""
        added: list[Reservation] = []
        for entry in waiting:
            if entry.busy or not self.is_due(entry) or entry.task_id in self._kept:
                continue
            taken = {item.worker_id for item in self._kept.values()}
            free = [c for c in candidates if c.worker.worker_id not in taken]
            found = self._first_free(entry, free)
            if found is not None:
                self._kept[entry.task_id] = found
                added.append(found)
        return added

    def restrict(
        self, entry: Entry, demand: Demand, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """Mark the workers that are reserved for a task before this one."""
        if not self._kept:
            return list(candidates)
        holders = {item.worker_id: item for item in self._kept.values()}
        return [
            (
                candidate
                if (held := holders.get(candidate.worker.worker_id)) is None
                or self._allows(entry, demand, candidate, held)
                else candidate._replace(reserved_for=held.entry.task_id)
            )
            for candidate in candidates
        ]

    def _allows(
        self, entry: Entry, demand: Demand, candidate: Candidate, held: Reservation
    ) -> bool:
        wall_ms = self._clock.wall_ms()
        if order_of(entry, wall_ms) <= order_of(held.entry, wall_ms):
            return True
        return leaves_room(candidate, demand, held.demand)

    def _first_free(
        self, entry: Entry, candidates: Sequence[Candidate]
    ) -> Reservation | None:
        demand = self._estimates.of(entry)
        waits = [
            (in_ms, candidate.worker.worker_id)
            for candidate in candidates
            if (in_ms := self._free_in_ms(entry, demand, candidate)) is not None
        ]
        if not waits:
            return None
        in_ms, worker_id = min(waits)
        return Reservation(entry, worker_id, demand, in_ms)

    def _free_in_ms(
        self, entry: Entry, demand: Demand, candidate: Candidate
    ) -> Millis | None:
        """Return when enough runs have ended on a worker, None if that is unknown."""
        now_ms = self._clock.now_ms()
        ends = sorted(
            (
                (self._end_ms(run), run)
                for run in self._runs_on(candidate.worker.worker_id)
            ),
            key=lambda item: item[0],
        )
        for end_ms, run in ends:
            candidate = candidate.without(self._estimates.of(run))
            if obstacle(demand, candidate, entry.row["failed_on"]) is None:
                return max(end_ms - now_ms, 0)
        return None

    def _end_ms(self, run: Entry) -> Millis:
        begun_ms = run.since_ms if run.witnessed_ms is None else run.witnessed_ms
        return begun_ms + self._estimates.run_ms(run.job.spec)

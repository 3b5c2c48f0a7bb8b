"""Choice of the task to evict for an urgent task that finds no free slot."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.contracts import TaskState
from hyssopweir.estimates import Estimates
from hyssopweir.placement import Candidate, Demand, rejection_reason
from hyssopweir.queue_order import started_after_aging, started_ms, waited_ms
from hyssopweir.task_rows import LIVE_STATES, TaskEntry

EVICT_AFTER_MS: Millis = 1_000
# A new owner claims its workers within this time, and may find free slots there.
CLAIM_GRACE_MS: Millis = 250
MAX_EVICTIONS_PER_MINUTE = 6


class Victim(NamedTuple):
    """Hold a task to evict for an urgent one, and the work that it may lose."""

    urgent: TaskEntry
    entry: TaskEntry
    run: int
    lost_ms: Millis


class Preemption:
    """Choose the tasks of a shard to evict: few per minute, those losing least work."""

    def __init__(self, estimates: Estimates, clock: Clock) -> None:
        self._estimates = estimates
        self._clock = clock
        self._evicted_at_ms: deque[Millis] = deque(maxlen=MAX_EVICTIONS_PER_MINUTE)
        self._victims: dict[str, Victim] = {}

    def is_due(self, entry: TaskEntry) -> bool:
        """Return whether an urgent task has waited long enough to evict another."""
        return (
            entry.queue_row["urgent"]
            and waited_ms(entry, self._clock.wall_ms()) >= EVICT_AFTER_MS
            and self._clock.now_ms() - entry.since_ms >= CLAIM_GRACE_MS
        )

    def promised(self, team: str) -> int:
        """Count the urgent tasks of a team for which an eviction is in progress."""
        urgent = [victim.urgent for victim in self._victims.values()]
        return sum(
            entry.job.spec["team"] == team and self._is_evicting(entry)
            for entry in urgent
        )

    def choose(
        self,
        urgent: TaskEntry,
        demand: Demand,
        candidates: Mapping[str, Candidate],
        entries: Iterable[TaskEntry],
    ) -> Victim | None:
        """Choose the task to evict, None if no task qualifies.

        Also None while an eviction for ``urgent`` is in progress, and if the evictions
        of the last minute reached their limit.
        """
        now_ms = self._clock.now_ms()
        while self._evicted_at_ms and self._evicted_at_ms[0] <= now_ms - MINUTE_MS:
            self._evicted_at_ms.popleft()
        if len(self._evicted_at_ms) >= MAX_EVICTIONS_PER_MINUTE or self._is_evicting(
            urgent
        ):
            return None
        victims = [
            Victim(urgent, entry, entry.row["run"], self._lost_ms(entry))
            for entry in entries
            if _can_be_evicted(entry)
            and self._frees_enough(entry, urgent, demand, candidates)
        ]
        if not victims:
            return None
        victim = min(victims, key=lambda item: (item.lost_ms, item.entry.task_id))
        self._evicted_at_ms.append(now_ms)
        self._victims[urgent.task_id] = victim
        return victim

    def keep(self, is_queued: Callable[[TaskEntry], bool]) -> None:
        """Drop the victims of urgent tasks that are no longer queued."""
        self._victims = {
            task_id: victim
            for task_id, victim in self._victims.items()
            if is_queued(victim.urgent)
        }

    def _is_evicting(self, urgent: TaskEntry) -> bool:
        victim = self._victims.get(urgent.task_id)
        return (
            victim is not None
            and victim.entry.row["run"] == victim.run
            and victim.entry.state in LIVE_STATES
        )

    def _frees_enough(
        self,
        entry: TaskEntry,
        urgent: TaskEntry,
        demand: Demand,
        candidates: Mapping[str, Candidate],
    ) -> bool:
        candidate = candidates.get(entry.worker_id)
        if candidate is None:
            return False
        freed = candidate.after_release(self._estimates.of(entry))
        return rejection_reason(demand, freed, urgent.row["failed_on"]) is None

    def _lost_ms(self, entry: TaskEntry) -> Millis:
        """Compute the run time since the start or the newest checkpoint."""
        saved_ms = max(started_ms(entry.row), entry.saved_ms)
        return max(self._clock.wall_ms() - saved_ms, 0)


def _can_be_evicted(entry: TaskEntry) -> bool:
    return (
        entry.state is TaskState.RUNNING
        and entry.is_settled
        and not entry.busy
        and not entry.queue_row["urgent"]
        and entry.eviction is None
        and entry.report is None
        # A task that had to age before it started would wait as long again.
        and not started_after_aging(entry.row)
    )

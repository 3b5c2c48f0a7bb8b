"""Exact count of the slots in use at the workers of the owned shards."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence

from sortedcontainers import SortedSet

from hyssopweir.fleet import Worker
from hyssopweir.invariants import Invariants
from hyssopweir.worker_client import RunReport, RunState

# An inventory that was read before the end of a run may still list it. The newest ended
# runs are remembered for this; if more end meanwhile, a slot stays in use for longer.
REMEMBERED_ENDS = 1_024

IndexKey = tuple[int, float, str]


class _Count:
    """Hold the runs that are counted at one worker."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.confirmed = False
        self.local: dict[str, bool] = {}
        self.foreign: set[str] = set()
        self.ended: OrderedDict[str, None] = OrderedDict()
        self.rank = 0.0
        self.index_key: IndexKey | None = None
        self.indexed_free = 0

    @property
    def used(self) -> int:
        return len(self.local) + len(self.foreign)

    @property
    def free(self) -> int:
        if not self.confirmed:
            return 0
        return max(self.worker.slots - self.used, 0)

    def remember_end(self, run_id: str) -> None:
        self.ended[run_id] = None
        if len(self.ended) > REMEMBERED_ENDS:
            self.ended.popitem(last=False)


class SlotLedger:
    """Count the slots of the owned workers; a worker is full until confirmed.

    A run that was taken here is counted until ``release``, whatever an inventory says:
    the inventory may be older than the run. A run that was started by someone else is
    counted until an inventory no longer lists it.
    """

    def __init__(self, invariants: Invariants, reserve_slots: int) -> None:
        self._invariants = invariants
        self._reserve_slots = reserve_slots
        self._counts: dict[str, _Count] = {}
        self._shards: dict[str, dict[str, _Count]] = {}
        self._index: dict[str, SortedSet] = {}
        self._free_by_shard: dict[str, int] = {}
        self._handlers: list[Callable[[str], None]] = []

    def track_worker(self, worker: Worker) -> None:
        """Count a worker of an owned shard, as full until it is confirmed."""
        if worker.worker_id in self._counts:
            return
        count = _Count(worker)
        self._counts[worker.worker_id] = count
        self._shards.setdefault(worker.shard, {})[worker.worker_id] = count
        self._index.setdefault(worker.shard, SortedSet())

    def untrack_worker(self, worker_id: str) -> None:
        """Stop counting a worker."""
        count = self._counts.pop(worker_id, None)
        if count is None:
            return
        count.confirmed = False
        self._reindex(count)
        shard = count.worker.shard
        del self._shards[shard][worker_id]
        if not self._shards[shard]:
            del self._shards[shard]
            self._index.pop(shard, None)
            self._free_by_shard.pop(shard, None)

    def confirm(self, worker_id: str, runs: Sequence[RunReport]) -> None:
        """Take over the inventory of a worker; foreign runs occupy slots."""
        count = self._counts.get(worker_id)
        if count is None:
            return
        count.confirmed = True
        count.foreign = {
            run.run_id
            for run in runs
            if run.state is RunState.RUNNING
            and run.run_id not in count.local
            and run.run_id not in count.ended
        }
        self._reindex(count)

    def forget(self, worker_id: str) -> None:
        """Count a worker as full again until it is confirmed."""
        count = self._counts.get(worker_id)
        if count is not None:
            count.confirmed = False
            self._reindex(count)

    def take(self, worker_id: str, run_id: str, is_task: bool) -> bool:
        """Occupy a slot, or adopt a foreign run that occupies one already.

        Returns False if no slot is free or the run is counted here already.
        """
        count = self._counts.get(worker_id)
        if count is None or run_id in count.local:
            return False
        if run_id in count.foreign:
            count.foreign.discard(run_id)
            count.local[run_id] = is_task
            return True
        if self.free(worker_id, is_task) == 0:
            return False
        self._invariants.check_slot_limit(
            worker_id,
            count.used + 1,
            count.worker.slots,
        )
        count.local[run_id] = is_task
        self._reindex(count)
        return True

    def release(self, worker_id: str, run_id: str) -> None:
        """Free the slot of a run whose end is certain."""
        count = self._counts.get(worker_id)
        if count is None:
            return
        count.local.pop(run_id, None)
        count.foreign.discard(run_id)
        count.remember_end(run_id)
        self._reindex(count)

    def free(self, worker_id: str, is_task: bool) -> int:
        """Return the number of free slots; tasks leave the reserve free."""
        count = self._counts.get(worker_id)
        if count is None:
            return 0
        return max(count.free - self._reserve_slots, 0) if is_task else count.free

    def shortage(self, worker_id: str) -> int:
        """Return how many runs must end before a task finds a free slot."""
        count = self._counts.get(worker_id)
        missing = self._reserve_slots + 1 - (count.free if count is not None else 0)
        return max(missing, 0)

    def in_flight(self, worker_id: str) -> int:
        """Return the number of runs that are counted at a worker."""
        count = self._counts.get(worker_id)
        return count.used if count is not None else 0

    def load(self, worker_id: str) -> float:
        """Return the slots in use divided by the slots, 1 for an unknown worker."""
        count = self._counts.get(worker_id)
        if count is None or count.worker.slots <= 0:
            return 1.0
        return count.used / count.worker.slots

    def on_free(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the worker's id when slots become free."""
        self._handlers.append(handler)

    def set_rank(self, worker_id: str, rank: float) -> None:
        """Order workers with equal work in flight by ``rank``, least first."""
        count = self._counts.get(worker_id)
        if count is not None:
            count.rank = rank
            self._reindex(count)

    def ranked(self, shard: str, is_task: bool = False) -> Iterator[str]:
        """Yield the shard's workers with a free slot, least work in flight first."""
        for key in self._index.get(shard, ()):
            if not is_task or self.free(key[2], is_task=True) > 0:
                yield key[2]

    def shard_free_slots(self, shard: str) -> int:
        """Return the number of free slots in a shard."""
        return self._free_by_shard.get(shard, 0)

    def request_slots(self, shard: str) -> int:
        """Return the slots that are free or in use by requests started here."""
        return self.shard_free_slots(shard) + sum(
            not is_task
            for count in self._shards.get(shard, {}).values()
            for is_task in count.local.values()
        )

    def _reindex(self, count: _Count) -> None:
        worker_id, shard = count.worker.worker_id, count.worker.shard
        free_before, free = count.indexed_free, count.free
        index = self._index.setdefault(shard, SortedSet())
        if count.index_key is not None:
            index.discard(count.index_key)
        count.index_key = (count.used, count.rank, worker_id) if free else None
        if count.index_key is not None:
            index.add(count.index_key)
        count.indexed_free = free
        total = self._free_by_shard.get(shard, 0) + free - free_before
        self._free_by_shard[shard] = total
        if free > free_before:
            for handler in self._handlers:
                handler(worker_id)

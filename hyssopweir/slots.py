"""Slot accounting for the workers of the shards that this instance owns."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence

from sortedcontainers import SortedSet

from hyssopweir.fleet import Worker
from hyssopweir.invariants import Invariants
from hyssopweir.worker_client import RunReport, RunState

# An inventory that was read before a run ended may still list the run, so the latest
# ended runs of each worker are remembered. If more runs than this end in between, the
# slot counts as used until the next inventory.
MAX_ENDED_RUNS = 1_024

IndexKey = tuple[int, float, str]


class _SlotUsage:
    """Runs that occupy slots of one worker."""

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

    def record_ended(self, run_id: str) -> None:
        self.ended[run_id] = None
        if len(self.ended) > MAX_ENDED_RUNS:
            self.ended.popitem(last=False)


class SlotLedger:
    """Tracks the used slots of the owned workers.

    A worker has no free slots until ``confirm`` has supplied its inventory. A local
    run, which was added by ``allocate_slot``, occupies its slot until ``release_slot``,
    even if an inventory omits it: the inventory may be older than the run. A foreign
    run, which was started elsewhere, does so until an inventory no longer lists it.
    """

    def __init__(self, invariants: Invariants, reserve_slots: int) -> None:
        self._invariants = invariants
        self._reserve_slots = reserve_slots
        self._usages: dict[str, _SlotUsage] = {}
        self._shards: dict[str, dict[str, _SlotUsage]] = {}
        self._index: dict[str, SortedSet] = {}
        self._free_by_shard: dict[str, int] = {}
        self._handlers: list[Callable[[str], None]] = []

    def track_worker(self, worker: Worker) -> None:
        """Add a worker of an owned shard, without free slots until it is confirmed."""
        if worker.worker_id in self._usages:
            return
        usage = _SlotUsage(worker)
        self._usages[worker.worker_id] = usage
        self._shards.setdefault(worker.shard, {})[worker.worker_id] = usage
        self._index.setdefault(worker.shard, SortedSet())

    def untrack_worker(self, worker_id: str) -> None:
        """Remove a worker and its runs from the ledger."""
        usage = self._usages.pop(worker_id, None)
        if usage is None:
            return
        usage.confirmed = False
        self._reindex(usage)
        shard = usage.worker.shard
        del self._shards[shard][worker_id]
        if not self._shards[shard]:
            del self._shards[shard]
            self._index.pop(shard, None)
            self._free_by_shard.pop(shard, None)

    def confirm(self, worker_id: str, runs: Sequence[RunReport]) -> None:
        """Replace the foreign runs of a worker by those in its inventory."""
        usage = self._usages.get(worker_id)
        if usage is None:
            return
        usage.confirmed = True
        usage.foreign = {
            run.run_id
            for run in runs
            if run.state is RunState.RUNNING
            and run.run_id not in usage.local
            and run.run_id not in usage.ended
        }
        self._reindex(usage)

    def mark_unconfirmed(self, worker_id: str) -> None:
        """Report no free slots on a worker until its next inventory confirms it."""
        usage = self._usages.get(worker_id)
        if usage is not None:
            usage.confirmed = False
            self._reindex(usage)

    def allocate_slot(self, worker_id: str, run_id: str, is_task: bool) -> bool:
        """Occupy a slot, or adopt a foreign run that occupies one already.

        Returns False if no slot is free or the run occupies a slot as a local run.
        """
        usage = self._usages.get(worker_id)
        if usage is None or run_id in usage.local:
            return False
        if run_id in usage.foreign:
            usage.foreign.discard(run_id)
            usage.local[run_id] = is_task
            return True
        if self.free(worker_id, is_task) == 0:
            return False
        self._invariants.check_slot_limit(
            worker_id,
            usage.used + 1,
            usage.worker.slots,
        )
        usage.local[run_id] = is_task
        self._reindex(usage)
        return True

    def release_slot(self, worker_id: str, run_id: str) -> None:
        """Free the slot of a run that has definitely ended."""
        usage = self._usages.get(worker_id)
        if usage is None:
            return
        usage.local.pop(run_id, None)
        usage.foreign.discard(run_id)
        usage.record_ended(run_id)
        self._reindex(usage)

    def free(self, worker_id: str, is_task: bool) -> int:
        """Return the number of free slots, for tasks without the request reserve."""
        usage = self._usages.get(worker_id)
        if usage is None:
            return 0
        return max(usage.free - self._reserve_slots, 0) if is_task else usage.free

    def shortage(self, worker_id: str) -> int:
        """Return how many runs must end before a task can take a slot."""
        usage = self._usages.get(worker_id)
        missing = self._reserve_slots + 1 - (usage.free if usage is not None else 0)
        return max(missing, 0)

    def in_flight(self, worker_id: str) -> int:
        """Return the number of local and foreign runs on a worker."""
        usage = self._usages.get(worker_id)
        return usage.used if usage is not None else 0

    def load(self, worker_id: str) -> float:
        """Return the used fraction of a worker's slots, 1 for an unknown worker."""
        usage = self._usages.get(worker_id)
        if usage is None or usage.worker.slots <= 0:
            return 1.0
        return usage.used / usage.worker.slots

    def on_free(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with the worker's id whenever its free slots increase."""
        self._handlers.append(handler)

    def set_rank(self, worker_id: str, rank: float) -> None:
        """Order workers with equally many runs by ``rank``, lowest first."""
        usage = self._usages.get(worker_id)
        if usage is not None:
            usage.rank = rank
            self._reindex(usage)

    def ranked(self, shard: str, is_task: bool = False) -> Iterator[str]:
        """Yield the shard's workers with a free slot, fewest runs in flight first."""
        for key in self._index.get(shard, ()):
            if not is_task or self.free(key[2], is_task=True) > 0:
                yield key[2]

    def shard_free_slots(self, shard: str) -> int:
        """Return the sum of the free slots of a shard's workers, reserve included."""
        return self._free_by_shard.get(shard, 0)

    def request_slots(self, shard: str) -> int:
        """Return the slots that are free or used by requests of this instance."""
        return self.shard_free_slots(shard) + sum(
            not is_task
            for usage in self._shards.get(shard, {}).values()
            for is_task in usage.local.values()
        )

    def _reindex(self, usage: _SlotUsage) -> None:
        worker_id, shard = usage.worker.worker_id, usage.worker.shard
        free_before, free = usage.indexed_free, usage.free
        index = self._index.setdefault(shard, SortedSet())
        if usage.index_key is not None:
            index.discard(usage.index_key)
        usage.index_key = (usage.used, usage.rank, worker_id) if free else None
        if usage.index_key is not None:
            index.add(usage.index_key)
        usage.indexed_free = free
        total = self._free_by_shard.get(shard, 0) + free - free_before
        self._free_by_shard[shard] = total
        if free > free_before:
            for handler in self._handlers:
                handler(worker_id)

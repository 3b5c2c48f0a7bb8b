"""Choice of cells for work that its own cell can't start at once.

The decision uses the heartbeats of the other cells, less what this cell has promised to
each of them since. Heartbeats are read about 0.3 s after they were written.
"""

import zlib
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hyssopweir.cell_heartbeats import FittingTasks, Heartbeat
from hyssopweir.clock import SECOND_MS, Millis
from hyssopweir.resources import Resources
from hyssopweir.workflows import Step

# Sizes of tasks for which a heartbeat states how many fit, in increasing order.
# Heartbeats carry the numbers by position, so sizes may only be added at the end.
STANDARD_CORES = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32)
MEMORY_MB_PER_CORE = 2_000
STANDARD_SIZES = tuple(
    Resources(1_000 * cores, MEMORY_MB_PER_CORE * cores) for cores in STANDARD_CORES
)
# Heartbeats show the transferred work after this time at the latest.
ARRIVAL_MS: Millis = 1_000
# Three heartbeats and the time between two reads: the owner of a cell with an older
# heartbeat may be gone.
MAX_HEARTBEAT_AGE_MS: Millis = 1_000
# A new owner knows what its workers can start once all of them have replied.
SETTLING_MS: Millis = 1_000
# Share of the store's write rate that all cells may use for transfers together; owners
# use half of the writes for their own rows.
TRANSFER_WRITE_SHARE = 0.2
# Part of the budget that only jobs of the most urgent priority may use.
URGENT_BUDGET_SHARE = 0.5
URGENT_PRIORITY = 0
# Fits more often than any step has tasks.
UNLIMITED = 1 << 30


class Demand(NamedTuple):
    """Tasks of a step that wait for a place, with the priority of their job."""

    service: str
    step: Step
    tasks: int
    priority: int


class Promise(NamedTuple):
    """Work that was transferred to a cell, and when it has arrived at the latest."""

    cell: str
    service: str
    charge: Resources
    tasks: int
    arrives_ms: Millis


class TransferBudget:
    """Bound on the writes for transfers, refilled continuously up to one second's."""

    def __init__(self, writes_per_second: float) -> None:
        self._rate = writes_per_second
        self._left = writes_per_second
        self._updated_ms: Millis = 0

    def update(self, now_ms: Millis) -> None:
        """Add what has become available since the last update."""
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._left = min(self._left + self._rate * elapsed_ms / SECOND_MS, self._rate)

    def affordable(self, writes_each: int, priority: int) -> int:
        """Return how many transfers the budget allows for a priority."""
        is_urgent = priority <= URGENT_PRIORITY
        reserve = 0.0 if is_urgent else URGENT_BUDGET_SHARE * self._rate
        return max(int((self._left - reserve) // writes_each), 0)

    def spend(self, writes: int) -> None:
        """Subtract writes that are about to be sent."""
        self._left -= writes


class CellSpread:
    """Estimate of what other cells can start, and choice among them."""

    def __init__(self, own: str, cells: int, writes_per_second: float) -> None:
        self._own = own
        self.budget = TransferBudget(TRANSFER_WRITE_SHARE * writes_per_second / cells)
        self._heartbeats: Mapping[str, Heartbeat] = {}
        self._versions: dict[str, int] = {}
        self._changed_ms: dict[str, Millis] = {}
        self._promises: list[Promise] = []
        self._started_ms: Millis | None = None
        self._now_ms: Millis = 0

    def update(self, heartbeats: Mapping[str, Heartbeat], now_ms: Millis) -> None:
        """Take over the latest heartbeats; must be called more often than they age."""
        if self._started_ms is None:
            self._started_ms = now_ms
        self._now_ms = now_ms
        self.budget.update(now_ms)
        for cell, heartbeat in heartbeats.items():
            if self._versions.get(cell) != heartbeat.version:
                self._versions[cell] = heartbeat.version
                self._changed_ms[cell] = now_ms
        self._heartbeats = heartbeats
        if self._promises:
            self._promises = [
                promise for promise in self._promises if promise.arrives_ms > now_ms
            ]

    def is_ready(self) -> bool:
        """Return whether the owner has had time to learn what its workers can start."""
        return (
            self._started_ms is not None
            and self._now_ms - self._started_ms >= SETTLING_MS
        )

    def promise(self, cell: str, service: str, charge: Resources, tasks: int) -> None:
        """Subtract work that is transferred to a cell from its next estimates."""
        arrives_ms = self._now_ms + ARRIVAL_MS
        self._promises.append(Promise(cell, service, charge, tasks, arrives_ms))

    def choose_for_job(
        self, job: str, demands: Sequence[Demand], startable: int
    ) -> str | None:
        """Return a cell that can start more tasks of a job than ``startable``.

        Of cells that can start all of them, each is chosen in proportion to its free
        processors, so that the jobs of several cells spread over them.
        """
        wanted = sum(demand.tasks for demand in demands)
        counts = {
            cell: self._count_startable(cell, demands) for cell in self._other_cells()
        }
        sufficient = [cell for cell, count in counts.items() if count >= wanted]
        if sufficient:
            return self._choose_weighted(job, sufficient, demands[0])
        best = max(counts, key=lambda cell: (counts[cell], cell), default=None)
        if best is None or counts[best] <= startable:
            return None
        return best

    def choose_for_lasting(
        self, job: str, demands: Sequence[Demand], own_free_cpu: int
    ) -> str | None:
        """Return a cell that has more free processors, also with the job than without.

        Lasting tasks don't release their capacity, so that cells must fill evenly.
        """
        wanted = sum(demand.tasks for demand in demands)
        demand_cpu = sum(demand.tasks * demand.step.charge.cpu for demand in demands)
        freer = [
            cell
            for cell in self._other_cells()
            if self._spare_cpu(cell, demands[0]) > own_free_cpu + demand_cpu
            and self._count_startable(cell, demands) >= wanted
        ]
        return self._choose_weighted(job, freer, demands[0]) if freer else None

    def startable_by_cell(self, demand: Demand, excluded: str) -> dict[str, int]:
        """Return how many tasks other cells can start, without those that start none.

        ``excluded`` is a cell that gets none of them.
        """
        counts = {
            cell: self._count_startable(cell, [demand])
            for cell in self._other_cells()
            if cell != excluded
        }
        return {cell: count for cell, count in counts.items() if count > 0}

    def _other_cells(self) -> Iterable[str]:
        for cell, heartbeat in self._heartbeats.items():
            is_recent = self._now_ms - self._changed_ms[cell] <= MAX_HEARTBEAT_AGE_MS
            if cell != self._own and is_recent and not heartbeat.is_released:
                yield cell

    def _choose_weighted(
        self, job: str, cells: Iterable[str], demand: Demand
    ) -> str | None:
        """Choose by the hash of the job, so that the owners don't all choose alike."""
        weights = [(max(self._spare_cpu(cell, demand), 1), cell) for cell in cells]
        point = zlib.crc32(job.encode()) % sum(weight for weight, _ in weights)
        for weight, cell in sorted(weights):
            point -= weight
            if point < 0:
                return cell
        return None

    def _count_startable(self, cell: str, demands: Sequence[Demand]) -> int:
        """Return how many tasks of a cell's demands it can start at once."""
        total = 0
        earlier: list[Promise] = []
        for demand in demands:
            charge = demand.step.charge
            count = self._count_fitting(cell, demand, earlier)
            count = min(count, demand.tasks)
            earlier.append(Promise(cell, demand.service, charge, count, 0))
            total += count
        return total

    def _count_fitting(
        self, cell: str, demand: Demand, earlier: Sequence[Promise]
    ) -> int:
        heartbeat = self._heartbeats[cell]
        room = heartbeat.rooms.get(demand.service)
        if room is None:
            return 0
        step, charge = demand.step, demand.step.charge
        # The numbers by size don't tell on how many workers the tasks would be.
        limit = step.most_per_worker or UNLIMITED
        count = sum(min(tasks_that_fit(free, charge), limit) for free in room.largest)
        if not step.most_per_worker:
            fitting = heartbeat.fitting.get(demand.service, FittingTasks())
            count = max(count, count_of_size(fitting, charge))
        for promise in (*self._promises, *earlier):
            if (promise.cell, promise.service) == (cell, demand.service):
                count -= promise.tasks * pieces_taken(promise.charge, charge)
        spare_cpu = self._spare_cpu(cell, demand)
        spare_cpu -= sum(other.tasks * other.charge.cpu for other in earlier)
        if charge.cpu:
            count = min(count, spare_cpu // charge.cpu)
        return max(count, 0)

    def _spare_cpu(self, cell: str, demand: Demand) -> int:
        """Return the free processors that no task of the same urgency waits for."""
        heartbeat = self._heartbeats[cell]
        room = heartbeat.rooms.get(demand.service)
        if room is None:
            return 0
        fitting = heartbeat.fitting.get(demand.service)
        # Earlier builds state only the sum over all priorities, with fillers.
        waiting_cpu = (
            room.waiting_cpu
            if fitting is None
            else sum(
                cpu for priority, cpu in fitting.waiting if priority <= demand.priority
            )
        )
        promised_cpu = sum(
            promise.tasks * promise.charge.cpu
            for promise in self._promises
            if (promise.cell, promise.service) == (cell, demand.service)
        )
        return room.free_cpu - waiting_cpu - promised_cpu


def tasks_that_fit(free: Resources, charge: Resources) -> int:
    """Return how many tasks fit into a free capacity."""
    counts = [
        max(left, 0) // needed
        for left, needed in zip(free, charge, strict=True)
        if needed
    ]
    return min(counts, default=UNLIMITED)


def count_of_size(fitting: FittingTasks, charge: Resources) -> int:
    """Return how many tasks of the next larger standard size fit."""
    for size, count in zip(STANDARD_SIZES, fitting.counts, strict=False):
        if size.can_fit(charge):
            return count
    return 0


def count_by_size(amounts: Iterable[Resources]) -> tuple[int, ...]:
    """Return how many tasks of each standard size fit, without zeros at the end."""
    free = list(amounts)
    counts = []
    for size in STANDARD_SIZES:
        count = sum(tasks_that_fit(amount, size) for amount in free)
        if not count:
            break
        counts.append(count)
    return tuple(counts)


def pieces_taken(promised: Resources, charge: Resources) -> int:
    """Return how many places for a task another one may take, at least one."""
    return (
        max(
            (
                -(-taken // needed)
                for taken, needed in zip(promised, charge, strict=True)
                if needed
            ),
            default=1,
        )
        or 1
    )


def count_placeable(demands: Sequence[Demand], amounts: Iterable[Resources]) -> int:
    """Return how many tasks of a job without runs fit into free capacities now."""
    free = list(amounts)
    total = 0
    for demand in demands:
        step, left = demand.step, demand.tasks
        limit = step.most_per_worker or UNLIMITED
        for index, amount in enumerate(free):
            count = min(tasks_that_fit(amount, step.charge), left, limit)
            if count:
                taken = Resources(*(count * part for part in step.charge))
                free[index] = amount.minus(taken)
                left -= count
            if not left:
                break
        total += demand.tasks - left
    return total

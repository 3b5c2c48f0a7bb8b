"""Capacity and waiting work that the owner of a cell states for admission control."""

from collections import deque

from hyssopweir.cell_scheduler import PlacementKey, placement_key
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.job_admission import (
    CORE_SECOND,
    MAX_CLASSES,
    MAX_SERVICES,
    CellDemand,
    ClassWork,
    ServiceCapacity,
    size_class,
    step_work,
)
from hyssopweir.job_order import ON_TIME, StepPlaces, urgency_key
from hyssopweir.spare_capacity import can_ever_fit
from hyssopweir.step_placement import MIN_FILLER_CPU_SHARE, spare_cpu

# A new owner hears of its workers within this time; fewer would look like a shortage.
SETTLING_MS: Millis = 1_000
# The largest capacity of this time is stated: workers that don't answer for a moment
# are no shortage.
CAPACITY_WINDOW_MS: Millis = 2_000

ClassKey = tuple[str, str, int, bool]


class DemandReport:
    """Report of a cell's demand, from its recovery on."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._recovered_ms: Millis | None = None
        self._capacities: deque[tuple[Millis, dict[str, ServiceCapacity]]] = deque()

    def record_recovery(self) -> None:
        """Record that all jobs of the cell are known."""
        self._recovered_ms = self._state.now_ms()

    def next(self, places: StepPlaces) -> CellDemand | None:
        """Return the demand, None while it isn't known."""
        now_ms = self._state.now_ms()
        if self._recovered_ms is None:
            return None
        self._capacities.append((now_ms, self._count_capacity()))
        while self._capacities[0][0] < now_ms - CAPACITY_WINDOW_MS:
            self._capacities.popleft()
        if now_ms - self._recovered_ms < SETTLING_MS:
            return None
        largest: dict[str, ServiceCapacity] = {}
        for _, capacities in self._capacities:
            for service, capacity in capacities.items():
                other = largest.get(service, capacity)
                amounts = map(max, zip(capacity, other, strict=True))
                largest[service] = ServiceCapacity(*amounts)
        if len(largest) > MAX_SERVICES:
            return None
        return CellDemand(largest, self._waiting_classes(places))

    def _count_capacity(self) -> dict[str, ServiceCapacity]:
        """Return by service what the workers that accept tasks can run."""
        now_ms = self._state.now_ms()
        capacities: dict[str, ServiceCapacity] = {}
        for link in self._state.links.values():
            load, service = link.load, link.entry.service
            if not load.accepts_tasks(now_ms):
                continue
            former = capacities.get(service, ServiceCapacity())
            # Fillers start only where they get at least this share of their request.
            filler_cpu = int(max(spare_cpu(load), 0) / MIN_FILLER_CPU_SHARE)
            capacities[service] = ServiceCapacity(
                former.ending_cpu + max(load.reclaimable.cpu, 0),
                former.filler_cpu + filler_cpu,
                former.lasting_cpu + load.lasting.cpu,
            )
        return capacities

    def _waiting_classes(self, places: StepPlaces) -> tuple[ClassWork, ...]:
        """Return the classes with the most work that a worker of the cell could run."""
        wall_ms = self._state.clock.wall_ms()
        fits_by_key: dict[PlacementKey, bool] = {}
        total: dict[ClassKey, int] = {}
        on_time: dict[ClassKey, dict[int, int]] = {}
        for job in list(self._state.unplaced):
            with self._state.guard(job):
                progress = self._state.jobs[job]
                workflow = progress.workflow
                is_on_time = urgency_key(progress, wall_ms, places).group <= ON_TIME
                size = size_class(step_work(workflow.steps))
                for key, step in progress.active_steps():
                    fit_key = placement_key(workflow.service, step)
                    if fit_key not in fits_by_key:
                        fits_by_key[fit_key] = can_ever_fit(
                            workflow.service, step, self._state
                        )
                    if step.is_endless or not fits_by_key[fit_key]:
                        continue
                    work = progress.count_waiting(key) * step_work([step]) // step.tasks
                    class_key = (
                        workflow.service,
                        workflow.queue,
                        workflow.priority,
                        step.is_filler,
                    )
                    total[class_key] = total.get(class_key, 0) + work
                    if is_on_time:
                        sizes = on_time.setdefault(class_key, {})
                        sizes[size] = sizes.get(size, 0) + work
        largest = sorted(total, key=total.__getitem__, reverse=True)[:MAX_CLASSES]
        return tuple(
            ClassWork(
                *key,
                total[key] // CORE_SECOND,
                tuple(
                    (size, work // CORE_SECOND)
                    for size, work in sorted(on_time.get(key, {}).items())
                    if work >= CORE_SECOND
                ),
            )
            for key in largest
            if total[key] >= CORE_SECOND
        )

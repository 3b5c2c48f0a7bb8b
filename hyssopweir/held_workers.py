"""Workers that are kept free for endless tasks that have to start again.

Without them, smaller tasks would take each part of a worker's capacity that becomes
free, and a larger task would never fit.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence

from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.step_placement import can_fit_later, has_place_in_step
from hyssopweir.task_state import Run, RunPhase, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflows import Step

# No worker is kept free for a task whose place is expected later than this.
MAX_HOLD_MS: Millis = 10_000
# At most this share of the workers of a service, at least one, is kept free for places
# that are expected later than this.
LONG_HOLD_MS: Millis = 2_500
MAX_LONG_SHARE = 0.125
# Differences of expected waits below this don't decide which worker is held.
WAIT_RESOLUTION_MS: Millis = 500
# A run that exceeds its expected duration is assumed to take this share of its
# duration so far in addition.
OVERDUE_SHARE = 0.25


class HeldWorkers:
    """Workers held in one placement pass, with the capacity that is kept on each.

    ``loads`` are the workers that accept tasks, by service.
    """

    def __init__(
        self, loads: Mapping[str, Sequence[WorkerLoad]], now_ms: Millis
    ) -> None:
        self._loads = loads
        self._now_ms = now_ms
        self.kept: dict[str, Resources] = {}
        # By service, the workers held for a place that is expected late.
        self._long_held: dict[str, set[str]] = {}
        self._forecasts: dict[str, list[tuple[Millis, Resources]]] = {}

    def hold_for(self, ref: TaskRef, service: str, step: Step) -> Millis | None:
        """Hold the worker that is expected to have capacity for a task first.

        Return the expected wait, None if no worker has the capacity soon enough.
        """
        if step.is_filler:
            # It reserves no CPU, and starts as soon as the others on a worker allow it.
            return None

        def accepts(load: WorkerLoad) -> bool:
            return can_fit_later(step, load) and has_place_in_step(ref, step, load)

        return self.hold(service, step.charge, accepts)

    def hold(
        self,
        service: str,
        charge: Resources,
        accepts: Callable[[WorkerLoad], bool] = lambda load: True,
    ) -> Millis | None:
        """Hold a worker for an amount, as ``hold_for`` does."""
        best: tuple[Millis, bool, int] | None = None
        best_wait_ms: Millis = 0
        loads = self._loads.get(service, ())
        for order, load in enumerate(loads):
            worker_id = load.entry.worker_id
            needed = self._kept_on(worker_id).plus(charge)
            if not load.reclaimable.can_fit(needed) or not accepts(load):
                continue
            wait_ms = self._wait_ms(load, needed)
            if wait_ms > MAX_HOLD_MS:
                continue
            key = (wait_ms // WAIT_RESOLUTION_MS, worker_id not in self.kept, order)
            if best is None or key < best:
                best, best_wait_ms = key, wait_ms
        if best is None:
            return None
        worker_id = loads[best[2]].entry.worker_id
        if best_wait_ms > LONG_HOLD_MS:
            long_held = self._long_held.setdefault(service, set())
            long_held.add(worker_id)
            if len(long_held) > max(MAX_LONG_SHARE * len(loads), 1):
                long_held.discard(worker_id)
                return None
        self.kept[worker_id] = self._kept_on(worker_id).plus(charge)
        return best_wait_ms

    def workers_with_capacity(
        self, service: str, charge: Resources
    ) -> Iterator[WorkerLoad]:
        """Yield the workers that have an amount free beside what is kept on them."""
        for load in self._loads.get(service, ()):
            needed = self._kept_on(load.entry.worker_id).plus(charge)
            if load.has_room_for(needed):
                yield load

    def _wait_ms(self, load: WorkerLoad, needed: Resources) -> Millis:
        """Return the time until a worker is expected to have a free amount."""
        for end_ms, free in self._forecast(load):
            if free.can_fit(needed):
                return end_ms - self._now_ms
        return MAX_HOLD_MS + 1

    def _kept_on(self, worker_id: str) -> Resources:
        return self.kept.get(worker_id, Resources())

    def _forecast(self, load: WorkerLoad) -> list[tuple[Millis, Resources]]:
        worker_id = load.entry.worker_id
        if worker_id not in self._forecasts:
            self._forecasts[worker_id] = forecast_free(load, self._now_ms)
        return self._forecasts[worker_id]


def forecast_free(load: WorkerLoad, now_ms: Millis) -> list[tuple[Millis, Resources]]:
    """Return the expected free capacity of a worker, from now on and as tasks end."""
    free = load.free
    forecast = [(now_ms, free)]
    ends = sorted(
        (expected_end_ms(run, step, now_ms), step.charge)
        for run, step in load.runs.values()
        if not step.is_endless
    )
    for end_ms, charge in ends:
        free = free.plus(charge)
        forecast.append((end_ms, free))
    return forecast


def expected_end_ms(run: Run, step: Step, now_ms: Millis) -> Millis:
    """Return when the run of a task that ends is expected to end, not before now."""
    if run.phase is RunPhase.STOPPING and run.is_closed:
        return now_ms
    elapsed_ms = now_ms - run.since_ms
    duration_ms = step.estimated_ms
    if run.percent > 0:
        duration_ms = (run.moved_ms - run.since_ms) * 100 // run.percent
    overdue_ms = now_ms + int(OVERDUE_SHARE * elapsed_ms)
    if duration_ms <= elapsed_ms:
        return overdue_ms
    return run.since_ms + duration_ms

"""Decision how long a task waits for a place in the rack of its data.

Handles a hot rack that many jobs request while others are idle. The decisions run
without a network. No capacity is kept free for a waiting task: other tasks lose only
what goes to the tasks in front of them anyway.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Callable, Sequence
from operator import itemgetter
from typing import NamedTuple

from hyssopweir.clock import Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.held_workers import forecast_free
from hyssopweir.job_order import LATE_FACTOR, StepPlaces
from hyssopweir.resources import Resources
from hyssopweir.step_placement import can_fit_later, fits
from hyssopweir.task_state import TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import StepKey, WorkflowProgress
from hyssopweir.workflows import Step

# An owner's death restarts a wait, and no accepted job may have nothing running for 3 s
# while there is capacity: two waits and most of a takeover fit into that.
MAX_WAIT_MS: Millis = 1_000
# Factor on an expected wait, since estimates are off by half.
WAIT_MARGIN = 1.5

Forecast = list[tuple[Millis, Resources]]


class PlaceWait(NamedTuple):
    """Wait of a task for its home rack, which saves ``gain_ms`` less the time waited.

    ``refusal`` is why it has ended, empty while it goes on.
    """

    job: str
    rack: str
    since_ms: Millis
    end_ms: Millis
    gain_ms: Millis
    refusal: str = ""


class RackForecast:
    """Expected free capacity of workers, less what waiting tasks will take there."""

    def __init__(self, now_ms: Millis) -> None:
        self._now_ms = now_ms
        self._forecasts: dict[str, Forecast] = {}
        # By worker and step, the waiting tasks that are expected to start there.
        self._starts: Counter[tuple[str, str, int, int]] = Counter()

    def reserve(
        self, ref: TaskRef, step: Step, loads: Sequence[WorkerLoad], limit_ms: Millis
    ) -> Millis | None:
        """Reserve the earliest place for a task and return the expected wait.

        Return None and reserve nothing if the wait exceeds ``limit_ms``.
        """
        best: tuple[Millis, str] | None = None
        for load in loads:
            if not can_fit_later(step, load) or not self._has_place(ref, step, load):
                continue
            forecast = self._forecast(load)
            start_ms = earliest_start_ms(forecast, step.charge, step.estimated_ms)
            if start_ms is None or start_ms - self._now_ms > limit_ms:
                continue
            if best is None or start_ms < best[0]:
                best = start_ms, load.entry.worker_id
        if best is None:
            return None
        start_ms, worker_id = best
        end_ms = start_ms + step.estimated_ms
        self._forecasts[worker_id] = subtract(
            self._forecasts[worker_id], step.charge, start_ms, end_ms
        )
        self._starts[worker_id, ref.job, ref.occurrence, ref.step] += 1
        return start_ms - self._now_ms

    def _has_place(self, ref: TaskRef, step: Step, load: WorkerLoad) -> bool:
        if not step.most_per_worker:
            return True
        key = (load.entry.worker_id, ref.job, ref.occurrence, ref.step)
        runs = load.count_step(ref.job, ref.occurrence, ref.step)
        return runs + self._starts[key] < step.most_per_worker

    def _forecast(self, load: WorkerLoad) -> Forecast:
        worker_id = load.entry.worker_id
        if worker_id not in self._forecasts:
            self._forecasts[worker_id] = forecast_free(load, self._now_ms)
        return self._forecasts[worker_id]


def earliest_start_ms(
    forecast: Forecast, charge: Resources, duration_ms: Millis
) -> Millis | None:
    """Return from when an amount is free for a duration, None if it never is."""
    start_ms: Millis | None = None
    for at_ms, free in forecast:
        if start_ms is not None and at_ms >= start_ms + duration_ms:
            return start_ms
        if not free.can_fit(charge):
            start_ms = None
        elif start_ms is None:
            start_ms = at_ms
    return start_ms


def subtract(
    forecast: Forecast, charge: Resources, start_ms: Millis, end_ms: Millis
) -> Forecast:
    """Return a forecast less an amount that is in use for a time."""
    count = bisect_right(forecast, end_ms, key=itemgetter(0))
    reduced = [
        (at_ms, free.minus(charge) if start_ms <= at_ms < end_ms else free)
        for at_ms, free in forecast
    ]
    reduced.insert(count, (end_ms, forecast[count - 1][1]))
    return reduced


class PlaceWaits:
    """Waits of a cell's tasks for places in their home racks.

    A task takes ``remote_factor`` times as long elsewhere; at 1 nothing waits. The
    waits are in the owner's memory, so that a new owner begins them again.
    """

    def __init__(self, remote_factor: float, cell: str, log: EventLog) -> None:
        self._factor = remote_factor
        self._cell = cell
        self._log = log
        self._waits: dict[TaskRef, PlaceWait] = {}
        self._now_ms: Millis = 0
        self._wall_ms: Millis = 0
        self._forecast = RackForecast(0)
        self._near: dict[tuple[str, str], list[WorkerLoad]] = {}
        # By step, the longest wait that this pass has found too short for a place.
        self._refused_ms: dict[tuple[str, int, int], Millis] = {}

    def begin_pass(
        self, now_ms: Millis, wall_ms: Millis, is_waiting: Callable[[TaskRef], bool]
    ) -> None:
        """Start new forecasts, and drop the waits of tasks that no longer wait here."""
        self._now_ms, self._wall_ms = now_ms, wall_ms
        self._forecast = RackForecast(now_ms)
        self._near.clear()
        self._refused_ms.clear()
        for ref in [ref for ref in self._waits if not is_waiting(ref)]:
            self._log_end(Event.PLACE_WAIT_DROPPED, ref, self._waits.pop(ref))

    def ends_by_step(self) -> dict[tuple[str, StepKey], Millis]:
        """Return by job and step with waiting tasks when the last wait ends."""
        ends: dict[tuple[str, StepKey], Millis] = {}
        for ref, wait in self._waits.items():
            if not wait.refusal:
                key = (wait.job, (ref.occurrence, ref.step))
                ends[key] = max(wait.end_ms, ends.get(key, 0))
        return ends

    def should_wait(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        step: Step,
        chosen: WorkerLoad,
        loads: Sequence[WorkerLoad],
        places: StepPlaces,
    ) -> bool:
        """Return whether a task should wait instead of starting on a worker.

        ``loads`` are the workers of the service that accept tasks.
        """
        if self._factor <= 1 or not step.home_rack:
            return False
        if step.is_endless or step.is_filler or step.home_rack in chosen.entry.labels:
            return False
        wait = self._waits.get(ref) or self._new_wait(progress, step)
        refusal, expected_ms = self._find_refusal(
            wait, progress, ref, step, loads, places
        )
        if not refusal and ref not in self._waits:
            self._log.emit(
                Event.PLACE_WAIT_BEGUN,
                **ref.fields(),
                cell=self._cell,
                rack=wait.rack,
                expected_ms=expected_ms,
                limit_ms=wait.end_ms - wait.since_ms,
                gain_ms=wait.gain_ms,
            )
        if not refusal or ref in self._waits:
            self._waits[ref] = wait._replace(refusal=refusal)
        return not refusal

    def _new_wait(self, progress: WorkflowProgress, step: Step) -> PlaceWait:
        gain_ms = int((self._factor - 1) * step.estimated_ms)
        end_ms = self._now_ms + min(gain_ms, MAX_WAIT_MS)
        return PlaceWait(progress.key, step.home_rack, self._now_ms, end_ms, gain_ms)

    def _find_refusal(
        self,
        wait: PlaceWait,
        progress: WorkflowProgress,
        ref: TaskRef,
        step: Step,
        loads: Sequence[WorkerLoad],
        places: StepPlaces,
    ) -> tuple[str, Millis]:
        """Return why a task should not wait, empty if it should, and the wait."""
        left_ms = wait.end_ms - self._now_ms
        if left_ms <= 0:
            return "bound", 0
        near = self._near_loads(progress.workflow.service, step.home_rack, loads)
        if not near:
            return "no worker", 0
        refusal = "cost"
        slack_ms = self._slack_ms(progress, ref, step, places)
        # A job without any hope elsewhere loses nothing by waiting.
        if 0 <= slack_ms < left_ms:
            left_ms, refusal = slack_ms, "objective"
        limit_ms = int(left_ms / WAIT_MARGIN)
        key = (ref.job, ref.occurrence, ref.step)
        if limit_ms <= self._refused_ms.get(key, -1):
            return refusal, 0
        if any(fits(ref, step, load) for load in near):
            return "ranking", 0
        expected_ms = self._forecast.reserve(ref, step, near, limit_ms)
        if expected_ms is None:
            self._refused_ms[key] = limit_ms
            return refusal, 0
        return "", expected_ms

    def _slack_ms(
        self, progress: WorkflowProgress, ref: TaskRef, step: Step, places: StepPlaces
    ) -> Millis:
        """Return how much later a task may start elsewhere for its job's objective.

        For a job that is late elsewhere, its last time of any value counts instead.
        """
        workflow = progress.workflow
        due_ms = workflow.accepted_ms
        if workflow.occurrences:
            due_ms = workflow.first_due_ms + ref.occurrence * workflow.interval_ms
        end_ms = self._wall_ms + int(self._factor * step.estimated_ms)
        end_ms += places.tails_ms(progress)[ref.step]
        slack_ms = due_ms + progress.objective_ms - end_ms
        if slack_ms < 0:
            slack_ms += (LATE_FACTOR - 1) * progress.objective_ms
        return slack_ms

    def _near_loads(
        self, service: str, rack: str, loads: Sequence[WorkerLoad]
    ) -> list[WorkerLoad]:
        key = (service, rack)
        if key not in self._near:
            self._near[key] = [load for load in loads if rack in load.entry.labels]
        return self._near[key]

    def end(self, ref: TaskRef, load: WorkerLoad) -> None:
        """End the wait of a task that starts on a worker."""
        wait = self._waits.pop(ref, None)
        if wait is None:
            return
        is_near = wait.rack in load.entry.labels
        event = Event.PLACE_WAIT_NEAR if is_near else Event.PLACE_WAIT_FAR
        self._log_end(event, ref, wait)

    def _log_end(self, event: Event, ref: TaskRef, wait: PlaceWait) -> None:
        waited_ms = self._now_ms - wait.since_ms
        gain_ms = wait.gain_ms if event is Event.PLACE_WAIT_NEAR else 0
        self._log.emit(
            event,
            **ref.fields(),
            cell=self._cell,
            rack=wait.rack,
            reason=wait.refusal if event is Event.PLACE_WAIT_FAR else "",
            waited_ms=waited_ms,
            saved_ms=gain_ms - waited_ms,
        )

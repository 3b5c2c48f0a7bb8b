"""Measurements of requests and tasks, attributed to the tasks that ran meanwhile."""

import math
from collections import OrderedDict
from collections.abc import Callable

from hyssopweir.clock import Clock, Millis
from hyssopweir.colocation import Colocation
from hyssopweir.fleet import Worker
from hyssopweir.interference import Interference, SpeedMeter, victim_name
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_client import Inventory, RunReport, RunState

# The resolution of the clock is 1 ms.
MIN_LATENCY_MS: Millis = 1
# With log noise of 0.3 the moving average of a worker has an error of 0.07, less than
# the effect of one more request out of 8.
RATIO_WEIGHT = 0.1
MAX_LOG_RATIO = math.log(4.0)
# Decays the ratio, since a slow worker gets no requests that show its recovery.
RATIO_HALF_LIFE_MS: Millis = 10_000
# Largest increase of a worker's clock offset per inventory. With an inventory at least
# every 12 s, the offset follows a drift of 80 parts per million.
MAX_DRIFT_MS: Millis = 1
# Smaller shares are rounding errors, left after a run's own share is subtracted.
MIN_SHARE = 1e-6
# Bounds memory; larger than the number of workers at the target deployment size.
MAX_WORKERS = 8_192


class _WorkerMeasurements:
    """Clock offset, progress meters and latency ratio of one worker."""

    def __init__(self) -> None:
        self.shard = ""
        self.offset_ms: Millis | None = None
        self.meters: dict[str, SpeedMeter] = {}
        self.log_ratio = 0.0
        self.ratio_updated_ms: Millis = 0

    def log_ratio_at(self, now_ms: Millis) -> float:
        """Return the log of measured over predicted latency, decayed with time."""
        elapsed_ms = now_ms - self.ratio_updated_ms
        return self.log_ratio * math.exp2(-elapsed_ms / RATIO_HALF_LIFE_MS)


class Measurements:
    """Updates the learned models and estimates request times with them.

    ``shard_lost`` must be called when the ownership of a shard ends, and
    ``worker_restarted`` when a worker has lost its runs.
    """

    def __init__(
        self,
        colocation: Colocation,
        interference: Interference,
        ledger: SlotLedger,
        clock: Clock,
    ) -> None:
        self.colocation = colocation
        self.interference = interference
        self._ledger = ledger
        self._clock = clock
        self._workers: OrderedDict[str, _WorkerMeasurements] = OrderedDict()

    def load(self, worker_id: str) -> float:
        """Return the share of the worker's slots that are in use."""
        return self._ledger.load(worker_id)

    def task_started(self, shard: str, worker_id: str, run_id: str, kind: str) -> None:
        """Record the start of a task run, or a run that was found running."""
        self._worker_state(shard, worker_id)
        self.colocation.record_start(worker_id, run_id, kind, self._clock.now_ms())

    def task_ended(self, worker_id: str, run_id: str) -> None:
        """Record the end of a task run."""
        self.colocation.record_end(worker_id, run_id, self._clock.now_ms())

    def request_ended(
        self, worker: Worker, service: str, started_ms: Millis, load: float
    ) -> float | None:
        """Record a request; ``load`` is the load of the worker when it started.

        Returns the latency in ms without the predicted effect of the colocated tasks
        and of the load, None if the effect of a task is unknown.
        """
        now_ms, worker_id = self._clock.now_ms(), worker.worker_id
        latency_ms = max(now_ms - started_ms, MIN_LATENCY_MS)
        colocated = self.colocation.mean_counts(worker_id, started_ms, now_ms)
        baseline_ms = self.interference.baselines.record_latency(
            worker.shard, service, latency_ms, is_alone=not colocated
        )
        slowdown = latency_ms / baseline_ms
        expected, is_known = self.interference.expected_log_ratio(
            service, colocated, load
        )
        self.interference.observe(service, colocated, load, slowdown)
        if not is_known:
            return None
        state = self._worker_state(worker.shard, worker_id)
        error = math.log(slowdown) - expected
        error = min(max(error, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        log_ratio = state.log_ratio_at(now_ms)
        state.log_ratio = log_ratio + RATIO_WEIGHT * (error - log_ratio)
        state.ratio_updated_ms = now_ms
        return latency_ms / math.exp(expected)

    def process_inventory(self, worker: Worker, inventory: Inventory) -> None:
        """Learn from the progress of tasks; a ``WorkerLinks.on_inventory`` handler."""
        state = self._worker_state(worker.shard, worker.worker_id)
        offset_ms = self._clock.now_ms() - inventory.clock_ms
        # An inventory that was delayed in transit yields too large an offset.
        if state.offset_ms is not None:
            offset_ms = min(offset_ms, state.offset_ms + MAX_DRIFT_MS)
        state.offset_ms = offset_ms
        running = [
            run
            for run in inventory.runs
            if run.is_task and run.state is RunState.RUNNING
        ]
        state.meters = {
            run.run_id: state.meters.get(run.run_id)
            or SpeedMeter(run.progress, inventory.clock_ms)
            for run in running
        }
        for run in running:
            self._observe_progress(worker.worker_id, state, run, inventory.clock_ms)

    def to_owner_clock_ms(self, worker_id: str, at_ms: Millis) -> Millis | None:
        """Convert a time on a worker's clock to the own clock, None if unknown."""
        state = self._workers.get(worker_id)
        if state is None or state.offset_ms is None:
            return None
        return at_ms + state.offset_ms

    def worker_restarted(self, worker: Worker) -> None:
        """Drop the runs that a restart ended; an ``on_worker_restarted`` handler."""
        self._drop_worker(worker.worker_id)

    def shard_lost(self, shard: str) -> None:
        """Drop all data of a shard and its workers."""
        self.interference.baselines.drop_shard(shard)
        for worker_id, state in list(self._workers.items()):
            if state.shard == shard:
                self._drop_worker(worker_id)

    def expected_ms(self, shard: str, service: str) -> Callable[[str], float]:
        """Return a function from a worker to the expected request time in ms."""
        now_ms = self._clock.now_ms()
        baseline_ms = (
            self.interference.baselines.baseline_ms(shard, service) or MIN_LATENCY_MS
        )

        def expected(worker_id: str) -> float:
            load = self._ledger.load(worker_id)
            colocated = self.colocation.live_counts(worker_id)
            log_time, _ = self.interference.expected_log_ratio(service, colocated, load)
            state = self._workers.get(worker_id)
            if state is not None:
                log_time += state.log_ratio_at(now_ms)
            # Work in flight takes processor time from the request; a fully loaded
            # worker is assumed to double its time.
            return baseline_ms * math.exp(log_time) * (1 + load)

        return expected

    def _observe_progress(
        self,
        worker_id: str,
        state: _WorkerMeasurements,
        run: RunReport,
        clock_ms: Millis,
    ) -> None:
        measured = state.meters[run.run_id].measure(run.progress, clock_ms)
        kind = self.colocation.kind_of(worker_id, run.run_id)
        if measured is None or kind is None or state.offset_ms is None:
            return
        from_ms = measured.from_ms + state.offset_ms
        to_ms = measured.to_ms + state.offset_ms
        colocated = self.colocation.mean_counts(worker_id, from_ms, to_ms)
        # A run doesn't interfere with itself.
        colocated[kind] = colocated.get(kind, 0.0) - 1.0
        if colocated[kind] < MIN_SHARE:
            del colocated[kind]
        self.interference.observe(
            victim_name(kind),
            colocated,
            self._ledger.load(worker_id),
            measured.slowdown,
        )

    def _worker_state(self, shard: str, worker_id: str) -> _WorkerMeasurements:
        state = self._workers.setdefault(worker_id, _WorkerMeasurements())
        state.shard = shard
        self._workers.move_to_end(worker_id)
        if len(self._workers) > MAX_WORKERS:
            self._drop_worker(next(iter(self._workers)))
        return state

    def _drop_worker(self, worker_id: str) -> None:
        self._workers.pop(worker_id, None)
        self.colocation.drop_worker(worker_id)

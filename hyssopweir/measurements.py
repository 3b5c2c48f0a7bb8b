"""Measurements of requests and tasks, attributed to what ran when they were made."""

import math
from collections import OrderedDict
from collections.abc import Callable

from hyssopweir.clock import Clock, Millis
from hyssopweir.colocation import Colocation
from hyssopweir.fleet import Worker
from hyssopweir.interference import Interference, SpeedMeter, kind_as_victim
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_client import Inventory, RunReport, RunState

# The clock has steps of 1 ms.
LEAST_LATENCY_MS: Millis = 1
# With noise of 0.3 in the logarithm the average of a worker has an error of 0.07, less
# than the difference that one more request of 8 makes.
RATIO_WEIGHT = 0.1
LARGEST_RATIO_LOG = math.log(4.0)
# A slow worker gets no requests that could show that it is fast again.
RATIO_HALF_LIFE_MS: Millis = 10_000
# The offset of a worker's clock rises by this with each inventory, at least every 12 s,
# so that it follows a drift of 80 parts per million.
DRIFT_MS: Millis = 1
# Shares of the run itself that are left by rounding.
LEAST_SHARE = 1e-6
# Bounds memory; more than the workers of the target size.
MOST_WORKERS = 8_192


class _WorkerState:
    """Hold what was measured at one worker."""

    def __init__(self) -> None:
        self.shard = ""
        self.offset_ms: Millis | None = None
        self.meters: dict[str, SpeedMeter] = {}
        self.ratio_log = 0.0
        self.noted_ms: Millis = 0

    def ratio_at(self, now_ms: Millis) -> float:
        """Return the logarithm of measured by predicted latency, less with time."""
        spent_ms = now_ms - self.noted_ms
        return self.ratio_log * math.exp2(-spent_ms / RATIO_HALF_LIFE_MS)


class Measurements:
    """Feed the learned models, and expect the time of a request from them.

    ``shard_lost`` and ``worker_restarted`` must be called when a shard ends or a worker
    has lost its runs.
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
        self._workers: OrderedDict[str, _WorkerState] = OrderedDict()

    def load(self, worker_id: str) -> float:
        """Return the slots in use divided by the slots."""
        return self._ledger.load(worker_id)

    def task_started(self, shard: str, worker_id: str, run_id: str, kind: str) -> None:
        """Note a task that has started, or that was found running."""
        self._state(shard, worker_id)
        self.colocation.started(worker_id, run_id, kind, self._clock.now_ms())

    def task_ended(self, worker_id: str, run_id: str) -> None:
        """Note that a run of a task is over."""
        self.colocation.ended(worker_id, run_id, self._clock.now_ms())

    def request_ended(
        self, worker: Worker, service: str, started_ms: Millis, load: float
    ) -> float | None:
        """Compare a request with what ran beside it; ``load`` is that at its start.

        Returns the latency in ms without the predicted effect of the tasks beside it
        and of the load, None if the effect of a task is unknown.
        """
        now_ms, worker_id = self._clock.now_ms(), worker.worker_id
        latency_ms = max(now_ms - started_ms, LEAST_LATENCY_MS)
        beside = self.colocation.between(worker_id, started_ms, now_ms)
        baseline_ms = self.interference.baselines.note(
            worker.shard, service, latency_ms, is_alone=not beside
        )
        slowdown = latency_ms / baseline_ms
        expected, is_known = self.interference.expected_log(service, beside, load)
        self.interference.observe(service, beside, load, slowdown)
        if not is_known:
            return None
        state = self._state(worker.shard, worker_id)
        error = math.log(slowdown) - expected
        error = min(max(error, -LARGEST_RATIO_LOG), LARGEST_RATIO_LOG)
        ratio_log = state.ratio_at(now_ms)
        state.ratio_log = ratio_log + RATIO_WEIGHT * (error - ratio_log)
        state.noted_ms = now_ms
        return latency_ms / math.exp(expected)

    def process_inventory(self, worker: Worker, inventory: Inventory) -> None:
        """Learn from the progress of the tasks, for ``WorkerLinks.on_inventory``."""
        state = self._state(worker.shard, worker.worker_id)
        offset_ms = self._clock.now_ms() - inventory.clock_ms
        # An inventory that was delayed on its way shows a larger offset.
        if state.offset_ms is not None:
            offset_ms = min(offset_ms, state.offset_ms + DRIFT_MS)
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
            self._take_progress(worker.worker_id, state, run, inventory.clock_ms)

    def owner_ms(self, worker_id: str, at_ms: Millis) -> Millis | None:
        """Return a reading of a worker's clock on the own clock."""
        state = self._workers.get(worker_id)
        if state is None or state.offset_ms is None:
            return None
        return at_ms + state.offset_ms

    def worker_restarted(self, worker: Worker) -> None:
        """Forget the runs that a restart has ended, for ``on_restarted``."""
        self._forget(worker.worker_id)

    def shard_lost(self, shard: str) -> None:
        """Forget what is known of a shard and its workers."""
        self.interference.baselines.drop_shard(shard)
        for worker_id, state in list(self._workers.items()):
            if state.shard == shard:
                self._forget(worker_id)

    def expected_ms(self, shard: str, service: str) -> Callable[[str], float]:
        """Return the expected time of a request in ms by worker of the shard."""
        now_ms = self._clock.now_ms()
        baseline_ms = self.interference.baselines.of(shard, service) or LEAST_LATENCY_MS

        def expected(worker_id: str) -> float:
            load = self._ledger.load(worker_id)
            beside = self.colocation.now(worker_id)
            value, _ = self.interference.expected_log(service, beside, load)
            state = self._workers.get(worker_id)
            if state is not None:
                value += state.ratio_at(now_ms)
            # Work in flight takes processor time from the request; a full worker is
            # taken to double its time.
            return baseline_ms * math.exp(value) * (1 + load)

        return expected

    def _take_progress(
        self, worker_id: str, state: _WorkerState, run: RunReport, clock_ms: Millis
    ) -> None:
        measured = state.meters[run.run_id].note(run.progress, clock_ms)
        kind = self.colocation.kind_of(worker_id, run.run_id)
        if measured is None or kind is None or state.offset_ms is None:
            return
        from_ms = measured.from_ms + state.offset_ms
        to_ms = measured.to_ms + state.offset_ms
        beside = self.colocation.between(worker_id, from_ms, to_ms)
        # The run is not its own neighbour.
        beside[kind] = beside.get(kind, 0.0) - 1.0
        if beside[kind] < LEAST_SHARE:
            del beside[kind]
        self.interference.observe(
            kind_as_victim(kind),
            beside,
            self._ledger.load(worker_id),
            measured.slowdown,
        )

    def _state(self, shard: str, worker_id: str) -> _WorkerState:
        state = self._workers.setdefault(worker_id, _WorkerState())
        state.shard = shard
        self._workers.move_to_end(worker_id)
        if len(self._workers) > MOST_WORKERS:
            self._forget(next(iter(self._workers)))
        return state

    def _forget(self, worker_id: str) -> None:
        self._workers.pop(worker_id, None)
        self.colocation.forget(worker_id)

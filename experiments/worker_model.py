"""Workers on which services and tasks slow each other down by a hidden table."""

import math
import random
from typing import NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.fleet import Worker
from hyssopweir.standin_workers import StandinRun, StandinWorker, WorkAudit
from hyssopweir.worker_client import Fence, RequestRun, RunReport, RunState, TaskRun

# Slowdowns are taken anew after this time, as the neighbours of a run may have changed.
STEP_MS: Millis = 200
FAILS_AFTER_MS: Millis = 3
# The slowdown at an empty worker, and what a full one adds, as shares of the table's.
LOAD_FLOOR, LOAD_SLOPE = 0.4, 0.8
# A checkpoint holds only complete steps of a task, so that an eviction loses work.
SAVED_STEP_MS: Millis = 3_000
# Tasks of one kind differ in work, processors and memory by this share.
TASK_SPREAD = 0.15

# (service or kind, kind beside it) -> logarithm of the slowdown at 75% load.
Harm = dict[tuple[str, str], float]


class BatchEvent(NamedTuple):
    """Record the end of a run; ``work_ms`` is what it did, or what it lost."""

    at_ms: Millis
    what: str
    kind: str
    work_ms: float


class _Live(NamedTuple):
    name: str
    cores: float
    memory_gb: float
    granted_gb: float


class ModelWorker(StandinWorker):
    """Slow runs down by what runs beside them, and end tasks that lack memory.

    The body of a request holds its undisturbed run time in ms; the payload of a task
    holds its true run time, cores and memory. The scheduler reads neither.
    """

    def __init__(
        self,
        worker: Worker,
        clock: Clock,
        account: WorkAudit,
        harm: Harm,
        service_cores: dict[str, float],
        events: list[BatchEvent],
    ) -> None:
        self.slowness = 1.0
        self._harm = harm
        self._service_cores = service_cores
        self._events = events
        self._is_quiet = False
        super().__init__(worker, clock, account)

    def _start_incarnation(self) -> None:
        super()._start_incarnation()
        self._live: dict[str, _Live] = {}

    @property
    def tasks(self) -> list[str]:
        """Return the run ids of the live tasks, oldest first."""
        return [run_id for run_id in self._live if self._runs[run_id].is_task]

    def slowdown(self, run_id: str) -> float:
        """Return by how much a run is slower than alone on a worker."""
        own, load, cores = self._live[run_id], len(self._live) / self.worker.slots, 0.0
        harm = 0.0
        for other_id, other in self._live.items():
            share = self._runs[other_id].share
            cores += other.cores * share
            if other_id != run_id:
                harm += self._harm.get((own.name, other.name), 0.0) * share
        stretch = max(cores / self.worker.cores, 1.0)
        return (
            self.slowness * stretch * math.exp(harm * (LOAD_FLOOR + LOAD_SLOPE * load))
        )

    async def start(
        self, fence: Fence, run: TaskRun, lease_until_ms: Millis
    ) -> Result[None, Failure]:
        """Start a task that needs what its payload says, not what was declared."""
        reply = await super().start(fence, run, lease_until_ms)
        if isinstance(reply, Ok):
            live, truth = self._runs[run.run_id], run.payload
            rng = random.Random(run.run_id.rpartition("#")[0])
            work, cores, memory = (rng.gauss(1.0, TASK_SPREAD) for _ in range(3))
            live.work_ms = int(truth["work_ms"] * max(work, 0.5))
            live.uses = (truth["cores"] * max(cores, 0.5), truth["memory_gb"] * memory)
            self._live[run.run_id] = _Live(run.kind, *live.uses, run.memory_gb)
        return reply

    async def checkpoint(self, fence: Fence, run_id: str) -> Result[RunReport, Failure]:
        """Save the complete steps of a running task."""
        reply = await super().checkpoint(fence, run_id)
        run = self._runs.get(run_id)
        if isinstance(reply, Err) or run is None or run.state is not RunState.RUNNING:
            return reply
        run.saved_ms = run.done_ms // SAVED_STEP_MS * SAVED_STEP_MS
        run.checkpoint = f"{run_id}@{int(run.saved_ms)}"
        return Ok(run.report())

    async def _serve(self, run: StandinRun, req: RequestRun) -> None:
        cores = self._service_cores[req.service]
        self._live[run.run_id] = _Live(req.service, cores, 0.0, 0.0)
        left_ms = float(req.body)
        while left_ms > 0 and not self.fails_everything:
            pace = self.slowdown(run.run_id)
            step_ms = min(left_ms * pace, STEP_MS)
            await self._clock.sleep_ms(step_ms)  # type: ignore[arg-type]
            left_ms -= step_ms / pace
        has_failed = self.fails_everything
        if has_failed:
            await self._clock.sleep_ms(FAILS_AFTER_MS)
        self._finish_request(run, req, has_failed)

    async def _work(self, run: StandinRun) -> None:
        while run.state is RunState.RUNNING:
            pace = self.slowdown(run.run_id) / run.share
            step_ms = max(min((run.work_ms - run.done_ms) * pace, STEP_MS), 1)
            await self._clock.sleep_ms(step_ms)  # type: ignore[arg-type]
            if run.state is not RunState.RUNNING:
                return
            now_ms = self._clock.now_ms()
            run.done_ms += step_ms / pace
            run.measure(now_ms)
            if now_ms >= self._lease_until_ms[run.run_id]:
                self._end(run, RunState.LAPSED)
            elif self.fails_everything:
                run.error = "the task failed"
                self._end(run, RunState.FAILED)
            elif self._lacks_memory(run):
                _report_out_of_memory(run)
                self._end(run, RunState.FAILED)
            elif run.done_ms >= run.work_ms - 1:
                self._end(run, RunState.DONE)

    def _lacks_memory(self, run: StandinRun) -> bool:
        """Tell whether the run needs more than it was given, or than the worker has.

        If the worker has too little for all, the run that exceeds its share most ends.
        """
        own = self._live[run.run_id]
        if own.memory_gb > own.granted_gb:
            return run.done_ms > run.work_ms / 4
        if sum(live.memory_gb for live in self._live.values()) <= self.worker.memory_gb:
            return False
        excess = {name: x.memory_gb - x.granted_gb for name, x in self._live.items()}
        return max(self.tasks, key=lambda name: excess[name]) == run.run_id

    def _end(self, run: StandinRun, state: RunState) -> None:
        live = self._live.pop(run.run_id, None)
        # A watch reports ended tasks at once; the answer reports the end of a request.
        self._is_quiet = not run.is_task
        super()._end(run, state)
        self._is_quiet = False
        if run.is_task and live is not None:
            self._events.append(_event_of(run, live.name, self._clock.now_ms()))

    def _advance_revision(self) -> None:
        if not self._is_quiet:
            super()._advance_revision()


def _event_of(run: StandinRun, kind: str, now_ms: Millis) -> BatchEvent:
    if run.state is RunState.DONE:
        return BatchEvent(now_ms, "done", kind, run.work_ms)
    what = "out of memory" if run.report().out_of_memory else run.state.value
    return BatchEvent(now_ms, what, kind, run.done_ms - run.saved_ms)


def _report_out_of_memory(run: StandinRun) -> None:
    def report() -> RunReport:
        return StandinRun.report(run)._replace(out_of_memory=True)

    run.error = "out of memory"
    run.report = report  # type: ignore[method-assign]

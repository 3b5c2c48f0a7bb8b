"""Model workers whose runs slow each other down by a table of interference."""

import math
import random
from typing import NamedTuple

from result import Err, Ok, Result

from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.fleet import Worker
from hyssopweir.standin_workers import StandinRun, StandinWorker, WorkAudit
from hyssopweir.worker_client import Fence, RequestRun, RunReport, RunState, TaskRun

# Recomputes the slowdown of a run at this interval, as the runs beside it change.
STEP_MS: Millis = 200
FAILURE_DELAY_MS: Millis = 3
# The slowdown on an empty worker and its increase up to full load, as shares of the
# logarithm in the table.
LOAD_FLOOR, LOAD_SLOPE = 0.4, 0.8
# A checkpoint contains only complete steps of this length, so an eviction loses work.
CHECKPOINT_STEP_MS: Millis = 3_000
# Standard deviation of the work, cores and memory of tasks of one kind, as a share.
TASK_SPREAD = 0.15

# (service or kind, kind that runs beside it) -> logarithm of the slowdown at 75% load.
InterferenceTable = dict[tuple[str, str], float]


class BatchEvent(NamedTuple):
    """The end of a task; ``work_ms`` is its completed work, or its lost work."""

    at_ms: Millis
    outcome: str
    kind: str
    work_ms: float


class _LiveRun(NamedTuple):
    name: str
    cores: float
    memory_gb: float
    memory_limit_gb: float


class ModelWorker(StandinWorker):
    """Stand-in worker with interference and memory limits.

    The body of a request is its run time in ms without interference; the payload of a
    task contains its actual run time, cores and memory. The scheduler reads neither.
    """

    def __init__(
        self,
        worker: Worker,
        clock: Clock,
        account: WorkAudit,
        interference: InterferenceTable,
        service_cores: dict[str, float],
        events: list[BatchEvent],
    ) -> None:
        self.slowdown_factor = 1.0
        self._interference = interference
        self._service_cores = service_cores
        self._events = events
        self._suppresses_watch = False
        super().__init__(worker, clock, account)

    def _start_incarnation(self) -> None:
        super()._start_incarnation()
        self._live_runs: dict[str, _LiveRun] = {}

    @property
    def tasks(self) -> list[str]:
        """Return the run ids of the live tasks, oldest first."""
        return [run_id for run_id in self._live_runs if self._runs[run_id].is_task]

    def slowdown(self, run_id: str) -> float:
        """Return the run time of a run relative to that without interference."""
        own, load, cores = (
            self._live_runs[run_id],
            len(self._live_runs) / self.worker.slots,
            0.0,
        )
        log_slowdown = 0.0
        for other_id, other in self._live_runs.items():
            share = self._runs[other_id].share
            cores += other.cores * share
            if other_id != run_id:
                log_slowdown += (
                    self._interference.get((own.name, other.name), 0.0) * share
                )
        cpu_contention = max(cores / self.worker.cores, 1.0)
        return (
            self.slowdown_factor
            * cpu_contention
            * math.exp(log_slowdown * (LOAD_FLOOR + LOAD_SLOPE * load))
        )

    async def start(
        self, fence: Fence, run: TaskRun, lease_until_ms: Millis
    ) -> Result[None, Failure]:
        """Start a task with the demand in its payload instead of the declared one."""
        reply = await super().start(fence, run, lease_until_ms)
        if isinstance(reply, Ok):
            live, actual = self._runs[run.run_id], run.payload
            rng = random.Random(run.run_id.rpartition("#")[0])
            work, cores, memory = (rng.gauss(1.0, TASK_SPREAD) for _ in range(3))
            live.work_ms = int(actual["work_ms"] * max(work, 0.5))
            live.uses = (
                actual["cores"] * max(cores, 0.5),
                actual["memory_gb"] * memory,
            )
            self._live_runs[run.run_id] = _LiveRun(run.kind, *live.uses, run.memory_gb)
        return reply

    async def checkpoint(self, fence: Fence, run_id: str) -> Result[RunReport, Failure]:
        """Save the complete steps of a running task."""
        reply = await super().checkpoint(fence, run_id)
        run = self._runs.get(run_id)
        if isinstance(reply, Err) or run is None or run.state is not RunState.RUNNING:
            return reply
        run.saved_ms = run.done_ms // CHECKPOINT_STEP_MS * CHECKPOINT_STEP_MS
        run.checkpoint = f"{run_id}@{int(run.saved_ms)}"
        return Ok(run.report())

    async def _serve(self, run: StandinRun, req: RequestRun) -> None:
        cores = self._service_cores[req.service]
        self._live_runs[run.run_id] = _LiveRun(req.service, cores, 0.0, 0.0)
        remaining_ms = float(req.body)
        while remaining_ms > 0 and not self.fails_everything:
            slowdown = self.slowdown(run.run_id)
            step_ms = min(remaining_ms * slowdown, STEP_MS)
            await self._clock.sleep_ms(step_ms)  # type: ignore[arg-type]
            remaining_ms -= step_ms / slowdown
        has_failed = self.fails_everything
        if has_failed:
            await self._clock.sleep_ms(FAILURE_DELAY_MS)
        self._finish_request(run, req, has_failed)

    async def _work(self, run: StandinRun) -> None:
        while run.state is RunState.RUNNING:
            slowdown = self.slowdown(run.run_id) / run.share
            step_ms = max(min((run.work_ms - run.done_ms) * slowdown, STEP_MS), 1)
            await self._clock.sleep_ms(step_ms)  # type: ignore[arg-type]
            if run.state is not RunState.RUNNING:
                return
            now_ms = self._clock.now_ms()
            run.done_ms += step_ms / slowdown
            run.measure(now_ms)
            if now_ms >= self._lease_until_ms[run.run_id]:
                self._end(run, RunState.LAPSED)
            elif self.fails_everything:
                run.error = "the task failed"
                self._end(run, RunState.FAILED)
            elif self._is_out_of_memory(run):
                _mark_out_of_memory(run)
                self._end(run, RunState.FAILED)
            elif run.done_ms >= run.work_ms - 1:
                self._end(run, RunState.DONE)

    def _is_out_of_memory(self, run: StandinRun) -> bool:
        """Return whether the run ends because it or its worker is out of memory.

        If the worker has too little for all runs, the task that exceeds its limit most
        ends.
        """
        own = self._live_runs[run.run_id]
        if own.memory_gb > own.memory_limit_gb:
            return run.done_ms > run.work_ms / 4
        if (
            sum(live.memory_gb for live in self._live_runs.values())
            <= self.worker.memory_gb
        ):
            return False
        excess = {
            name: x.memory_gb - x.memory_limit_gb for name, x in self._live_runs.items()
        }
        return max(self.tasks, key=lambda name: excess[name]) == run.run_id

    def _end(self, run: StandinRun, state: RunState) -> None:
        live = self._live_runs.pop(run.run_id, None)
        # The end of a task wakes the watches; the end of a request is in its reply.
        self._suppresses_watch = not run.is_task
        super()._end(run, state)
        self._suppresses_watch = False
        if run.is_task and live is not None:
            self._events.append(
                _build_batch_event(run, live.name, self._clock.now_ms())
            )

    def _advance_revision(self) -> None:
        if not self._suppresses_watch:
            super()._advance_revision()


def _build_batch_event(run: StandinRun, kind: str, now_ms: Millis) -> BatchEvent:
    if run.state is RunState.DONE:
        return BatchEvent(now_ms, "done", kind, run.work_ms)
    outcome = "out of memory" if run.report().out_of_memory else run.state.value
    return BatchEvent(now_ms, outcome, kind, run.done_ms - run.saved_ms)


def _mark_out_of_memory(run: StandinRun) -> None:
    def report() -> RunReport:
        return StandinRun.report(run)._replace(out_of_memory=True)

    run.error = "out of memory"
    run.report = report  # type: ignore[method-assign]

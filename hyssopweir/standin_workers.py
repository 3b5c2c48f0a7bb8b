"""Stand-in for workers, and an account that judges what was done with them.

The account is independent of the scheduler: it sees only what reaches the workers.
"""

import asyncio
import math
from collections import Counter, deque
from collections.abc import Coroutine, Iterable, Sequence
from typing import Any, NamedTuple
from uuid import uuid4

from result import Err, Ok, Result

from hyssopweir.clock import MINUTE_MS, Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.fleet import Worker
from hyssopweir.worker_client import (
    Fence,
    Inventory,
    RequestRun,
    RunReport,
    RunState,
    TaskRun,
    Usage,
)

LEAVING_BOUND_MS: Millis = 3_000
KEEP_REQUESTS_MS: Millis = 10 * MINUTE_MS
DEFAULT_SERVICE_MS: Millis = 20
CHECKPOINT_MS: Millis = 5
TICK_MS: Millis = 50
# A measurement of a task is reported this long after it was made.
USAGE_LAG_MS: Millis = 2_000
USAGE_INTERVAL_MS: Millis = 500


class Violation(NamedTuple):
    """Name a promise that was broken, as seen at the workers."""

    promise: str
    detail: str


class WorkAudit:
    """Judge the work given to all workers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.violations: list[Violation] = []
        self.request_runs: Counter[str] = Counter()
        self.task_runs: Counter[str] = Counter()
        self.tasks_done: Counter[str] = Counter()
        self.evicted: Counter[str] = Counter()
        self.lost_work_ms = 0
        self._live_tasks: dict[str, tuple[str, str]] = {}

    def offered(self, worker: Worker, used: int) -> None:
        """Judge an offer of work to a worker that uses ``used`` slots already."""
        if used >= worker.slots:
            self._violate("capacity", f"{worker.worker_id} offered beyond its slots")

    def connected(self, worker: Worker, connections: int) -> None:
        """Judge the number of open connections to a worker."""
        if connections > worker.connections:
            self._violate("capacity", f"{worker.worker_id}: {connections} connections")

    def offered_while_leaving(self, worker: Worker, since_ms: Millis) -> None:
        """Judge an offer of work to a worker that has been listed as leaving."""
        late_ms = self._clock.now_ms() - since_ms
        if late_ms > LEAVING_BOUND_MS:
            self._violate("leaving", f"{worker.worker_id} after {late_ms} ms")

    def request_started(self, run_id: str) -> None:
        """Count the start of a request."""
        self.request_runs[run_id] += 1
        if self.request_runs[run_id] > 1:
            self._violate("at most once", run_id)

    def task_started(self, worker: Worker, run_id: str) -> None:
        """Judge the start of a task: no other run may be live, no run id repeats."""
        task_id = run_id.rpartition("#")[0]
        live = self._live_tasks.get(task_id)
        if live is not None:
            self._violate("two places", f"{run_id} while {live} is live")
        self._live_tasks[task_id] = (worker.worker_id, run_id)
        self.task_runs[run_id] += 1
        if self.task_runs[run_id] > 1:
            self._violate("one start", run_id)

    def task_ended(self, worker: Worker, run_id: str, state: RunState) -> None:
        """Note the end of a run; a task may be done only once."""
        task_id = run_id.rpartition("#")[0]
        if self._live_tasks.get(task_id) == (worker.worker_id, run_id):
            del self._live_tasks[task_id]
        if state is RunState.STOPPED:
            self.evicted[task_id] += 1
        if state is not RunState.DONE:
            return
        self.tasks_done[task_id] += 1
        if self.tasks_done[task_id] > 1:
            self._violate("done once", task_id)

    def count_request_runs(self, name: str) -> int:
        """Return how many runs of a keyed request were started, over all attempts."""
        return sum(
            count
            for run_id, count in self.request_runs.items()
            if run_id.rpartition("#")[0] == name
        )

    def _violate(self, promise: str, detail: str) -> None:
        self.violations.append(Violation(promise, detail))


class StandinRun:
    """Hold one run at a worker; work is in ms of undisturbed run time."""

    def __init__(self, run_id: str, is_task: bool, work_ms: Millis) -> None:
        self.run_id = run_id
        self.is_task = is_task
        self.work_ms = work_ms
        self.done_ms = 0.0
        self.saved_ms = 0.0
        self.share = 1.0
        self.state = RunState.RUNNING
        self.checkpoint: str | None = None
        self.request_id = ""
        self.answer: bytes | None = None
        self.error = ""
        self.ended_ms: Millis = 0
        self.uses: tuple[float, float] = (0.0, 0.0)
        self.memory_gb = math.inf
        self.out_of_memory = False
        self._measured: deque[Usage] = deque()
        self._usage: Usage | None = None

    def measure(self, now_ms: Millis) -> None:
        """Measure the cores and memory in use; the measurement is reported later."""
        if not self._measured or now_ms - self._measured[-1].at_ms >= USAGE_INTERVAL_MS:
            cores, memory_gb = self.uses
            self._measured.append(Usage(now_ms, cores * self.share, memory_gb))
        while self._measured and self._measured[0].at_ms + USAGE_LAG_MS <= now_ms:
            self._usage = self._measured.popleft()

    def report(self) -> RunReport:
        """Return the worker's word on this run."""
        return RunReport(
            self.run_id,
            self.state,
            self.is_task,
            self.answer,
            self.request_id,
            self.checkpoint,
            min(self.done_ms / max(self.work_ms, 1), 1.0),
            self.error,
            self._usage,
            self.out_of_memory,
        )


class StandinWorker:
    """Run requests and tasks as timers, under a fence and leases."""

    def __init__(
        self,
        worker: Worker,
        clock: Clock,
        account: WorkAudit,
        service_ms: dict[str, Millis] | None = None,
    ) -> None:
        self.worker = worker
        self.service_ms = service_ms or {}
        self.fails_everything = False
        self._clock = clock
        self._account = account
        self._leaving_since_ms: Millis | None = None
        self._background: set[asyncio.Task[None]] = set()
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.incarnation = uuid4().hex
        self.epoch = 0
        self._revision = 1
        self._runs: dict[str, StandinRun] = {}
        # Live runs and ended tasks; the ended requests, which are kept for lookups, far
        # outnumber them.
        self._listed: dict[str, StandinRun] = {}
        self._ended_requests: deque[StandinRun] = deque()
        self._refused: set[str] = set()
        self._forgotten: set[str] = set()
        self._lease_until_ms: dict[str, Millis] = {}
        self._changed = asyncio.Event()

    @property
    def leaving(self) -> bool:
        """Tell whether the worker is leaving."""
        return self._leaving_since_ms is not None

    def leave(self, listed_in_ms: Millis = 0) -> None:
        """Show the worker as leaving; the instance list follows in ``listed_in_ms``.

        Offers are judged from the time at which the list shows it.
        """
        if self._leaving_since_ms is None:
            self._leaving_since_ms = self._clock.now_ms() + listed_in_ms
        self._advance_revision()

    def restart(self) -> None:
        """Lose all runs and start as a new incarnation."""
        self.kill()
        self._start_incarnation()

    def kill(self) -> None:
        """Lose all runs; end the watches, as a broken connection would."""
        self._changed.set()
        for task in self._background:
            task.cancel()
        for run in list(self._runs.values()):
            if run.state is RunState.RUNNING and run.is_task:
                self._account.task_ended(self.worker, run.run_id, RunState.LAPSED)
        self._runs.clear()
        self._listed.clear()
        self._ended_requests.clear()

    def used_slots(self) -> int:
        """Return the number of live runs."""
        return sum(run.state is RunState.RUNNING for run in self._listed.values())

    def live_runs(self) -> Iterable[RunReport]:
        """Return the reports of the live runs."""
        return [
            run.report()
            for run in self._listed.values()
            if run.state is RunState.RUNNING
        ]

    async def claim(self, epoch: int) -> Result[Inventory, Failure]:
        """Refuse lower epochs from now on; return the inventory."""
        if epoch < self.epoch:
            return Err(self._stale())
        self.epoch = epoch
        return Ok(self._inventory())

    async def execute(
        self,
        fence: Fence,
        run: RequestRun,
    ) -> Result[RunReport, Failure]:
        """Run a request to its end."""
        refusal = self._refusal(fence, run.run_id)
        if refusal is not None:
            return Err(refusal)
        work_ms = self.service_ms.get(run.service, DEFAULT_SERVICE_MS)
        live = StandinRun(run.run_id, False, work_ms)
        live.request_id = run.request_id
        self._runs[run.run_id] = self._listed[run.run_id] = live
        self._account.request_started(run.run_id)
        await asyncio.wait({self._in_background(self._serve(live, run))})
        if live.state is RunState.RUNNING:
            return Err(unknown(Code.WORKER_UNREACHABLE, "the worker has ended"))
        return Ok(live.report())

    async def start(
        self,
        fence: Fence,
        run: TaskRun,
        lease_until_ms: Millis,
    ) -> Result[None, Failure]:
        """Start a run of a task under a lease that ends on this worker's clock."""
        refusal = self._refusal(fence, run.run_id)
        if refusal is not None:
            return Err(refusal)
        if lease_until_ms <= self._clock.now_ms():
            return Err(not_run(Code.WORKER_REFUSED, "the lease has ended"))
        live = StandinRun(run.run_id, True, run.run_ms)
        live.checkpoint = run.checkpoint
        live.done_ms = live.saved_ms = _saved_ms(run.checkpoint)
        uses = run.payload.get("uses", {})
        live.uses = (
            uses.get("cores", run.cores),
            uses.get("memory_gb", run.memory_gb),
        )
        live.memory_gb = run.memory_gb
        self._runs[run.run_id] = self._listed[run.run_id] = live
        self._lease_until_ms[run.run_id] = lease_until_ms
        self._account.task_started(self.worker, run.run_id)
        self._in_background(self._work(live))
        self._advance_revision()
        return Ok(None)

    async def watch(
        self,
        fence: Fence,
        revision: int,
        wait_ms: Millis,
        lease_until_ms: Millis,
    ) -> Result[Inventory, Failure]:
        """Renew the leases of all tasks; return once the revision differs."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        for run_id in self._lease_until_ms:
            self._lease_until_ms[run_id] = max(
                self._lease_until_ms[run_id],
                lease_until_ms,
            )
        if revision == self._revision:
            await self._wait_for_change(wait_ms)
        stale = self._fenced(fence)
        return Err(stale) if stale is not None else Ok(self._inventory())

    async def checkpoint(self, fence: Fence, run_id: str) -> Result[RunReport, Failure]:
        """Write a checkpoint of a running task."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        run = self._runs.get(run_id)
        if run is None:
            return Ok(self._absent(run_id))
        await self._clock.sleep_ms(CHECKPOINT_MS)
        if run.state is RunState.RUNNING:
            run.saved_ms = run.done_ms
            run.checkpoint = f"{run_id}@{int(run.saved_ms)}"
        return Ok(run.report())

    async def throttle(
        self,
        fence: Fence,
        run_id: str,
        share: float,
    ) -> Result[RunReport, Failure]:
        """Limit a running task to a share of its processors."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        run = self._runs.get(run_id)
        if run is None:
            return Ok(self._absent(run_id))
        run.share = share
        return Ok(run.report())

    async def stop(self, fence: Fence, run_id: str) -> Result[RunReport, Failure]:
        """End a run and confirm its end."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        run = self._runs.get(run_id)
        if run is None:
            self._refused.add(run_id)
            return Ok(self._absent(run_id))
        self._end(run, RunState.STOPPED)
        return Ok(run.report())

    async def lookup(self, fence: Fence, run_id: str) -> Result[RunReport, Failure]:
        """Return the state of a run; one never seen can't start any more."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        run = self._runs.get(run_id)
        if run is None:
            self._refused.add(run_id)
            return Ok(self._absent(run_id))
        return Ok(run.report())

    async def acknowledge(
        self,
        fence: Fence,
        run_ids: Sequence[str],
    ) -> Result[None, Failure]:
        """Forget ended runs."""
        stale = self._fenced(fence)
        if stale is not None:
            return Err(stale)
        for run_id in run_ids:
            run = self._runs.get(run_id)
            if run is not None and run.state is not RunState.RUNNING:
                self._forget(run_id)
        return Ok(None)

    def _refusal(self, fence: Fence, run_id: str) -> Failure | None:
        stale = self._fenced(fence)
        if stale is not None:
            return stale
        if any(run_id in ids for ids in (self._runs, self._refused, self._forgotten)):
            return not_run(Code.WORKER_REFUSED, f"{run_id} was seen before")
        if self._leaving_since_ms is not None:
            self._account.offered_while_leaving(self.worker, self._leaving_since_ms)
            return not_run(Code.WORKER_LEAVING, "the worker is leaving")
        used = self.used_slots()
        self._account.offered(self.worker, used)
        if used >= self.worker.slots:
            return not_run(Code.WORKER_FULL, f"all {used} slots are used")
        return None

    def _fenced(self, fence: Fence) -> Failure | None:
        if fence.incarnation != self.incarnation:
            return not_run(Code.STALE_INCARNATION, "the worker has restarted")
        if fence.epoch != self.epoch:
            return self._stale()
        return None

    def _stale(self) -> Failure:
        return not_run(Code.STALE_EPOCH, f"the epoch is {self.epoch}")

    def _absent(self, run_id: str) -> RunReport:
        # "Never seen" lets the owner report that nothing ran.
        if run_id in self._forgotten:
            return RunReport(run_id, RunState.FORGOTTEN)
        return RunReport(run_id, RunState.NEVER_SEEN)

    def _inventory(self) -> Inventory:
        return Inventory(
            self.incarnation,
            self._revision,
            self._clock.now_ms(),
            self.leaving,
            tuple(run.report() for run in self._listed.values()),
        )

    async def _serve(self, run: StandinRun, req: RequestRun) -> None:
        await self._clock.sleep_ms(run.work_ms)
        self._finish_request(run, req, self.fails_everything)

    def _finish_request(
        self, run: StandinRun, req: RequestRun, has_failed: bool
    ) -> None:
        if has_failed:
            run.error = "the service failed"
            self._end(run, RunState.FAILED)
            return
        run.answer = b"%s answers %s" % (req.service.encode(), req.body)
        self._end(run, RunState.DONE)
        self._forget_old_requests()

    async def _work(self, run: StandinRun) -> None:
        while run.state is RunState.RUNNING:
            await self._clock.sleep_ms(min(TICK_MS, run.work_ms))
            if run.state is not RunState.RUNNING:
                return
            if self._clock.now_ms() >= self._lease_until_ms[run.run_id]:
                self._end(run, RunState.LAPSED)
                return
            run.done_ms += min(TICK_MS, run.work_ms) * run.share
            run.measure(self._clock.now_ms())
            if run.uses[1] > run.memory_gb:
                run.error = "the task needed more memory than it was given"
                run.out_of_memory = True
                self._end(run, RunState.FAILED)
            elif self.fails_everything:
                run.error = "the task failed"
                self._end(run, RunState.FAILED)
            elif run.done_ms >= run.work_ms:
                self._end(run, RunState.DONE)

    def _end(self, run: StandinRun, state: RunState) -> None:
        if run.state is not RunState.RUNNING:
            return
        run.state = state
        run.ended_ms = self._clock.now_ms()
        self._lease_until_ms.pop(run.run_id, None)
        if run.is_task:
            self._account.task_ended(self.worker, run.run_id, state)
            if state is not RunState.DONE:
                self._account.lost_work_ms += int(run.done_ms - run.saved_ms)
        else:
            self._listed.pop(run.run_id, None)
            self._ended_requests.append(run)
        self._advance_revision()

    def _forget_old_requests(self) -> None:
        limit_ms = self._clock.now_ms() - KEEP_REQUESTS_MS
        ended = self._ended_requests
        while ended and ended[0].ended_ms < limit_ms:
            run_id = ended.popleft().run_id
            if run_id in self._runs:
                self._forget(run_id)

    def _forget(self, run_id: str) -> None:
        del self._runs[run_id]
        self._listed.pop(run_id, None)
        self._forgotten.add(run_id)

    def _advance_revision(self) -> None:
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, wait_ms: Millis) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return

    def _in_background(
        self,
        work: Coroutine[Any, Any, None],
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _saved_ms(checkpoint: str | None) -> float:
    if checkpoint is None:
        return 0.0
    return float(checkpoint.rpartition("@")[2])

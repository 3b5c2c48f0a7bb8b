"""Start, hold or move the queued tasks of a shard, urgent ones and old ones first."""

from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.contracts import TaskState, run_id_of
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.placed import Placed
from hyssopweir.placement import (
    Candidate,
    Choice,
    Demand,
    Verdict,
    choose,
    suits,
)
from hyssopweir.table import Require
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunSettler
from hyssopweir.task_rows import MOST_FAILED_WORKERS, Entry, Parts, job_key
from hyssopweir.team_quotas import TeamQuotas
from hyssopweir.worker_client import Fence, TaskRun

MOVE_AFTER_MS: Millis = 5_000
# A worker that refused a start is not tried again for this time.
AVOID_MS: Millis = 1_000

Act = Coroutine[Any, Any, object]
Spawn = Callable[[Entry, Act], None]
FreeSlots = Callable[[], dict[str, int]]


class TaskQueue:
    """Place the queued tasks of one shard."""

    def __init__(
        self,
        parts: Parts,
        records: TaskRecords,
        settler: RunSettler,
        placed: Placed,
        free_slots: FreeSlots,
        quotas: TeamQuotas,
        on_moved: Callable[[str], None],
        spawn: Spawn,
    ) -> None:
        self._parts = parts
        self._records = records
        self._settler = settler
        self._placed = placed
        self._free_slots = free_slots
        self._quotas = quotas
        self._on_moved = on_moved
        self._spawn = spawn
        self._avoid_until_ms: dict[str, Millis] = {}
        self._candidates: dict[str, Candidate] = {}
        self._elsewhere: dict[str, int] = {}
        self._waiting: dict[Demand, Choice] = {}
        self.leaving: set[str] = set()

    def place(self) -> None:
        """Decide on every queued task; nothing is started while the table is down."""
        queued = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.QUEUED
            and not entry.busy
            and not entry.job.cancelled
            and entry.retry_ms <= self._parts.clock.now_ms()
        ]
        if not queued or not self._parts.store.is_up:
            return
        workers = self._parts.view.workers_of(self._records.shard)
        self._candidates = {w.worker_id: self._candidate(w) for w in workers}
        self._elsewhere = dict(self._free_slots())
        self._elsewhere.pop(self._records.shard, None)
        self._waiting = {}
        for entry in sorted(queued, key=lambda item: item.order):
            self._place_one(entry)

    def wanted(self) -> dict[str, int]:
        """Return how many queued tasks of each team could start at once."""
        workers = self._parts.view.workers_of(self._records.shard)
        free = sum(self._parts.slots.free(w.worker_id, True) for w in workers)
        queued = Counter(
            entry.job.spec["team"]
            for entry in self._records.entries.values()
            if entry.state is TaskState.QUEUED
            and not entry.busy
            and not entry.job.cancelled
        )
        return {team: min(count, free) for team, count in queued.items() if free > 0}

    def release_held(self) -> None:
        """Queue held tasks again for which a large enough worker has appeared."""
        held = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.HELD and not entry.busy
        ]
        if not held or not self._parts.store.is_up:
            return
        fleet = self._parts.view.workers()
        for entry in held:
            failed_on = entry.row["failed_on"]
            if len(failed_on) < MOST_FAILED_WORKERS and suits(
                entry.job.demand, fleet, failed_on
            ):
                self._spawn(entry, self._release(entry))

    def _candidate(self, worker: Worker) -> Candidate:
        worker_id = worker.worker_id
        used = self._placed.on(worker_id)
        now_ms = self._parts.clock.now_ms()
        return Candidate(
            worker,
            round(worker.cores - sum(demand.cores for demand in used), 6),
            round(worker.memory_gb - sum(demand.memory_gb for demand in used), 6),
            worker.accelerators - sum(demand.accelerators for demand in used),
            self._parts.slots.free(worker_id, True),
            self._is_leaving(worker_id),
            self._parts.links.fence_of(worker_id) is not None
            and self._avoid_until_ms.get(worker_id, 0) <= now_ms,
            self._placed.failures(worker_id),
        )

    def _is_leaving(self, worker_id: str) -> bool:
        listed = self._parts.view.leaving_since_ms(worker_id) is not None
        return listed or worker_id in self.leaving

    def _place_one(self, entry: Entry) -> None:
        failed_on = entry.row["failed_on"]
        if len(failed_on) >= MOST_FAILED_WORKERS:
            text = (
                f"the task failed on {len(failed_on)} workers: {', '.join(failed_on)}"
            )
            self._spawn(entry, self._hold(entry, text, {}))
            return
        has_room = self._quotas.has_room(self._records.shard, entry.job.spec["team"])
        if not has_room and self._is_quota_used_up(entry):
            return
        choice = self._choose(entry)
        if choice.verdict is Verdict.NEVER:
            self._spawn(entry, self._hold(entry, choice.text, choice.figures))
        elif choice.worker is None:
            self._wait_or_move(entry, choice)
        elif has_room:
            self._take(entry, choice.worker, choice)
        else:
            self._quotas.kick()

    def _is_quota_used_up(self, entry: Entry) -> bool:
        team = entry.job.spec["team"]
        if not self._quotas.is_exhausted(team):
            return False
        self._note_waiting(entry, f"the team {team} uses all slots of its quota")
        return True

    def _choose(self, entry: Entry) -> Choice:
        demand, failed_on = entry.job.demand, entry.row["failed_on"]
        if not failed_on and demand in self._waiting:
            return self._waiting[demand]
        choice = choose(
            demand,
            list(self._candidates.values()),
            failed_on,
            self._parts.view.workers,
        )
        if choice.verdict is Verdict.WAIT and not failed_on:
            self._waiting[demand] = choice
        return choice

    def _take(self, entry: Entry, worker: Worker, choice: Choice) -> None:
        worker_id = worker.worker_id
        fence = self._parts.links.fence_of(worker_id)
        run_id = run_id_of(entry.task_id, entry.row["run"] + 1)
        if fence is None or not self._parts.slots.take(worker_id, run_id, True):
            return
        self._placed.add(entry, worker_id, run_id)
        self._candidates[worker_id] = self._candidate(worker)
        self._spawn(entry, self._start(entry, worker, fence, choice))

    def _wait_or_move(self, entry: Entry, choice: Choice) -> None:
        waited_ms = self._parts.clock.now_ms() - entry.since_ms
        never_here = choice.verdict is Verdict.NEVER_HERE
        has_moved = entry.row["reasons"][-1]["event"] == Event.TASK_MOVED.name
        # Two racks that know different things must not pass a task to and fro.
        if (has_moved or not never_here) and waited_ms <= MOVE_AFTER_MS:
            return
        target = self._other_shard(entry, needs_free=not never_here)
        if target is None:
            self._note_waiting(entry, choice.text)
            return
        free = self._elsewhere.get(target, 0)
        self._elsewhere[target] = free - 1
        text = (
            f"moved from {self._records.shard} to {target}, which had {free} free "
            f"slots, after {waited_ms / 1_000:.1f} s: {choice.text}"
        )
        self._spawn(entry, self._move(entry, target, text, {"free_slots": free}))

    def _other_shard(self, entry: Entry, needs_free: bool) -> str | None:
        """Return the shard with the most free slots that may run the task."""
        failed_on = entry.row["failed_on"]
        by_free = sorted(
            self._elsewhere,
            key=lambda shard: (-self._elsewhere[shard], shard),
        )
        for shard in by_free:
            if needs_free and self._elsewhere[shard] <= 0:
                return None
            workers = [
                worker
                for worker in self._parts.view.workers_of(shard)
                if self._parts.view.leaving_since_ms(worker.worker_id) is None
            ]
            if suits(entry.job.demand, workers, failed_on):
                return shard
        return None

    def _note_waiting(self, entry: Entry, text: str) -> None:
        """Record why a task waits, once for each stay in the queue.

        The free capacity changes with every other task, so recording each change would
        use up the write budget.
        """
        waited_ms = self._parts.clock.now_ms() - entry.since_ms
        if waited_ms > MOVE_AFTER_MS and not entry.waiting_text:
            self._spawn(entry, self._settler.note_waiting(entry, text))

    async def _start(
        self,
        entry: Entry,
        worker: Worker,
        fence: Fence,
        choice: Choice,
    ) -> None:
        run = entry.row["run"] + 1
        run_id = run_id_of(entry.task_id, run)
        reply = await self._records.change(
            entry,
            self._records.reason(
                Event.TASK_STARTING, f"run {run}: {choice.text}", choice.figures
            ),
            (Require(job_key(entry.row["job"]), "cancelled", False),),
            state=TaskState.STARTING.value,
            run=run,
            worker=worker.worker_id,
            incarnation=fence.incarnation,
        )
        if isinstance(reply, Err):
            self._parts.slots.release(worker.worker_id, run_id)
            self._placed.remove(entry, worker.worker_id, run_id)
            return
        entry.is_settled = False
        self._emit(Event.TASK_STARTING, entry, run=run, worker=worker.worker_id)
        await self._call_start(entry, worker, fence)

    async def _call_start(self, entry: Entry, worker: Worker, fence: Fence) -> None:
        worker_id = worker.worker_id
        lease_until_ms = self._parts.links.lease_until_ms(worker_id)
        is_ready = self._parts.links.fence_of(worker_id) == fence
        if lease_until_ms is None or not is_ready or self._is_leaving(worker_id):
            why = f"{worker_id} became unavailable before the start; nothing was sent"
            await self._settler.end_without_report(entry, Event.TASK_QUEUED, why)
            return
        self._parts.invariants.run_begins(entry.task_id, entry.run_id)
        entry.witnessed_ms = self._parts.clock.now_ms()
        run = task_run(entry)
        reply = await self._parts.client.start(worker, fence, run, lease_until_ms)
        if isinstance(reply, Ok):
            await self._record_running(entry)
        else:
            await self._handle_refusal(entry, reply.err_value)

    async def _record_running(self, entry: Entry) -> None:
        run, worker_id = entry.row["run"], entry.worker_id
        resumed = entry.row["checkpoint"]
        event = Event.TASK_STARTED if resumed is None else Event.TASK_RESUMED
        text = f"run {run} started on {worker_id}"
        if resumed is not None:
            text += f" from checkpoint {resumed}"
        reply = await self._records.change(
            entry,
            self._records.reason(event, text),
            state=TaskState.RUNNING.value,
        )
        entry.is_settled = isinstance(reply, Ok)
        if entry.is_settled:
            self._emit(event, entry, run=run, worker=worker_id)

    async def _handle_refusal(self, entry: Entry, failure: Failure) -> None:
        worker_id = entry.worker_id
        self._settler.note_refusal(failure)
        if failure.code is Code.STALE_EPOCH:
            return
        if failure.outcome is not Outcome.NOT_RUN:
            await self._settler.reconcile(entry)
            return
        if failure.code is Code.WORKER_LEAVING:
            self.leaving.add(worker_id)
        self._avoid_until_ms[worker_id] = self._parts.clock.now_ms() + AVOID_MS
        why = f"{worker_id} did not start run {entry.row['run']}: {failure.detail}"
        await self._settler.end_without_report(entry, Event.TASK_QUEUED, why)

    async def _hold(
        self,
        entry: Entry,
        text: str,
        figures: dict[str, Any],
    ) -> Result[None, Failure]:
        reply = await self._records.change(
            entry,
            self._records.reason(Event.TASK_HELD, text, figures),
            state=TaskState.HELD.value,
        )
        if isinstance(reply, Ok):
            self._emit(Event.TASK_HELD, entry, why=text)
        return reply

    async def _release(self, entry: Entry) -> Result[None, Failure]:
        text = "a worker that is large enough has appeared"
        entry.since_ms = self._parts.clock.now_ms()
        return await self._records.change(
            entry,
            self._records.reason(Event.TASK_QUEUED, text),
            state=TaskState.QUEUED.value,
        )

    async def _move(
        self,
        entry: Entry,
        target: str,
        text: str,
        figures: dict[str, Any],
    ) -> Result[None, Failure]:
        reason = self._records.reason(Event.TASK_MOVED, text, figures)
        reply = await self._records.move(entry, target, reason)
        if isinstance(reply, Ok):
            self._emit(Event.TASK_MOVED, entry, target=target)
            self._on_moved(target)
        return reply

    def _emit(self, event: Event, entry: Entry, **fields: Any) -> None:
        self._parts.log.emit(event, task=entry.task_id, **fields)


def task_run(entry: Entry) -> TaskRun:
    """Return the newest run as a worker takes it."""
    spec = entry.job.spec
    return TaskRun(
        entry.run_id,
        spec["kind"],
        spec["run_ms"],
        spec["cores"],
        spec["memory_gb"],
        spec.get("accelerators", 0),
        spec.get("payload", {}),
        entry.row["checkpoint"],
    )

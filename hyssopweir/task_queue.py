"""Start, hold or move the queued tasks of a shard, urgent ones and old ones first."""

from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from result import Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Failure
from hyssopweir.contracts import TaskState, run_id_of
from hyssopweir.estimates import Estimates
from hyssopweir.events import Event
from hyssopweir.fleet import Worker
from hyssopweir.interference_forecast import InterferenceForecast
from hyssopweir.placement import (
    Candidate,
    Choice,
    Demand,
    PlacementOutcome,
    choose,
    demand_of,
    suits,
)
from hyssopweir.preemption import EVICT_AFTER_MS, MOST_A_MINUTE, Preemption
from hyssopweir.queue_order import has_moved, order_of
from hyssopweir.reservations import Reservation, Reservations
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunSettler
from hyssopweir.task_rows import MOST_FAILED_WORKERS, Entry, TaskDependencies
from hyssopweir.task_starts import TaskStarts
from hyssopweir.team_quotas import TeamQuotas
from hyssopweir.worker_tasks import WorkerTasks

# So many failed tasks of a job show that the job is at fault.
MOST_FAILED_TASKS = 3
# Marks the recorded reason of a task that is held with its job.
HELD_WITH_JOB = "failed_tasks"
MOVE_AFTER_MS: Millis = 5_000
# A task whose kind has an unknown effect on services is bound to the workers that run
# the kind already for this time at most.
BOUND_MS: Millis = 10_000

Act = Coroutine[Any, Any, object]
Spawn = Callable[[Entry, Act], None]
FreeSlots = Callable[[], dict[str, int]]
FailedTasks = Callable[[str], list[str]]
Evict = Callable[[Entry, str], object]


class TaskQueue:
    """Place the queued tasks of one shard."""

    def __init__(
        self,
        parts: TaskDependencies,
        records: TaskRecords,
        settler: RunSettler,
        placed: WorkerTasks,
        free_slots: FreeSlots,
        quotas: TeamQuotas,
        on_moved: Callable[[str], None],
        spawn: Spawn,
        estimates: Estimates,
        failed_tasks: FailedTasks,
        evict: Evict,
    ) -> None:
        self._parts = parts
        self._records = records
        self._settler = settler
        self._placed = placed
        self._free_slots = free_slots
        self._quotas = quotas
        self._on_moved = on_moved
        self._spawn = spawn
        self._estimates = estimates
        self._failed_tasks = failed_tasks
        self._evict = evict
        self._reservations = Reservations(placed.entries_on, estimates, parts.clock)
        self._preemption = Preemption(estimates, parts.clock)
        self._failed_of: dict[str, list[str]] = {}
        self._unmoved: list[Entry] = []
        self._waiters: list[Entry] = []
        self._candidates: dict[str, Candidate] = {}
        self._elsewhere: dict[str, int] = {}
        self._waiting: dict[tuple[Demand, str, bool], Choice] = {}
        self._starts = TaskStarts(parts, records, settler, placed, estimates)
        # Workers that have said so themselves, before the list shows it.
        self.leaving = self._starts.leaving
        self.is_pressed: Callable[[str], bool] = lambda worker_id: False

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
        self._waiting, self._failed_of = {}, {}
        self._waiters, self._unmoved = [], []
        self._reservations.keep(self._is_queued, list(self._candidates.values()))
        self._preemption.keep(self._is_queued)
        wall_ms = self._parts.clock.wall_ms()
        for entry in sorted(queued, key=lambda item: order_of(item, wall_ms)):
            self._place_one(entry)
        for item in self._reservations.update(
            self._unmoved, list(self._candidates.values())
        ):
            self._note_reservation(item)

    def _is_queued(self, entry: Entry) -> bool:
        known = self._records.entries.get(entry.task_id)
        return known is entry and entry.state is TaskState.QUEUED

    def wanted(self) -> dict[str, int]:
        """Return how many queued tasks of each team could start at once."""
        workers = self._parts.view.workers_of(self._records.shard)
        free = sum(self._parts.slots.free(w.worker_id, True) for w in workers)
        queued = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.QUEUED
            and not entry.busy
            and not entry.job.cancelled
        ]
        # A task may be evicted for an urgent one, if its team has a slot left.
        urgent = Counter(
            entry.job.spec["team"] for entry in queued if self._preemption.is_due(entry)
        )
        counts = Counter(entry.job.spec["team"] for entry in queued)
        wanted = {
            team: min(count, max(free, min(urgent[team], MOST_A_MINUTE)))
            for team, count in counts.items()
        }
        return {team: count for team, count in wanted.items() if count > 0}

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
            if entry.has_failed or _is_held_with_job(entry):
                continue
            if suits(_declared(entry), fleet, entry.row["failed_on"]):
                self._spawn(entry, self._release(entry))

    def _candidate(self, worker: Worker) -> Candidate:
        worker_id = worker.worker_id
        used = self._placed.on(worker_id)
        return Candidate(
            worker,
            round(worker.cores - sum(demand.cores for demand in used), 6),
            round(worker.memory_gb - sum(demand.memory_gb for demand in used), 6),
            worker.accelerators - sum(demand.accelerators for demand in used),
            self._parts.slots.free(worker_id, True),
            self._starts.is_leaving(worker_id),
            self._parts.links.fence_of(worker_id) is not None
            and not self._starts.is_avoided(worker_id),
            self._placed.failures(worker_id),
            self._parts.is_ejected(worker_id),
            self.is_pressed(worker_id),
        )

    def _place_one(self, entry: Entry) -> None:
        failed_on = entry.row["failed_on"]
        if len(failed_on) >= MOST_FAILED_WORKERS:
            text = (
                f"the task failed on {len(failed_on)} workers: {', '.join(failed_on)}"
            )
            self._spawn(entry, self._hold(entry, text, {}))
            return
        if self._holds_with_job(entry):
            return
        has_room = self._quotas.has_room(self._records.shard, entry.job.spec["team"])
        if not has_room and self._is_quota_used_up(entry):
            return
        choice = self._choose(entry)
        if choice.verdict is PlacementOutcome.NEVER:
            self._spawn(entry, self._hold(entry, choice.text, choice.figures))
        elif choice.worker is None:
            self._waiters.append(entry)
            if not self._makes_room(entry):
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

    def _holds_with_job(self, entry: Entry) -> bool:
        job = entry.row["job"]
        if job not in self._failed_of:
            self._failed_of[job] = self._failed_tasks(job)
        failed = self._failed_of[job]
        if len(failed) < MOST_FAILED_TASKS:
            return False
        text = (
            f"{len(failed)} tasks of the job are held because each failed on "
            f"{MOST_FAILED_WORKERS} workers, so the rest of the job is held too"
        )
        figures = {HELD_WITH_JOB: failed[:MOST_FAILED_TASKS]}
        self._spawn(entry, self._hold(entry, text, figures))
        return True

    def _choose(self, entry: Entry) -> Choice:
        choice = self._choose_for(entry, self._estimates.of(entry))
        # Measurements may exceed what any worker has; only a declaration can show that
        # a task can never run.
        if choice.verdict is PlacementOutcome.NEVER:
            choice = self._choose_for(entry, _declared(entry))
        return choice

    def _choose_for(self, entry: Entry, demand: Demand) -> Choice:
        kind, failed_on = entry.job.spec["kind"], entry.row["failed_on"]
        waited_ms = self._parts.clock.now_ms() - entry.since_ms
        is_bound = waited_ms < BOUND_MS and not entry.queue_row["urgent"]
        case = (demand, kind, is_bound)
        if not failed_on and case in self._waiting:
            return self._waiting[case]
        candidates = list(self._candidates.values())
        choice = choose(
            demand,
            self._reservations.restrict(entry, demand, candidates),
            failed_on,
            self._parts.view.workers,
            self._harms(kind, is_bound),
        )
        if choice.verdict is PlacementOutcome.WAIT and not failed_on:
            self._waiting[case] = choice
            return choice
        text = choice.text + self._estimates.basis(entry, demand)
        return choice._replace(text=text)

    def _harms(self, kind: str, is_bound: bool) -> dict[str, InterferenceForecast]:
        """Return the predicted harm of a task kind at each worker."""
        hosts = [
            worker_id
            for worker_id, candidate in self._candidates.items()
            if is_bound
            and not candidate.leaving
            and self._placed.has_kind(worker_id, kind)
        ]
        slots = {name: item.worker.slots for name, item in self._candidates.items()}
        return self._parts.harms.of(self._records.shard, kind, slots, hosts)

    def _take(self, entry: Entry, worker: Worker, choice: Choice) -> None:
        worker_id = worker.worker_id
        fence = self._parts.links.fence_of(worker_id)
        run_id = run_id_of(entry.task_id, entry.row["run"] + 1)
        if fence is None or not self._parts.slots.take(worker_id, run_id, True):
            return
        entry.passed_over = False
        for waiter in self._waiters:
            waiter.passed_over = True
        self._waiters = []
        self._placed.add(entry, worker_id, run_id)
        self._candidates[worker_id] = self._candidate(worker)
        self._spawn(entry, self._starts.start(entry, worker, fence, choice))

    def _wait_or_move(self, entry: Entry, choice: Choice) -> None:
        waited_ms = self._parts.clock.now_ms() - entry.since_ms
        never_here = choice.verdict is PlacementOutcome.NEVER_HERE
        if choice.is_held_back:
            # It is soon known, or started here after all.
            self._note_waiting(entry, choice.text)
            return
        moved = has_moved(entry.row)
        is_urgent = entry.queue_row["urgent"]
        after_ms = EVICT_AFTER_MS if is_urgent and not moved else MOVE_AFTER_MS
        # Two racks that know different things must not pass a task to and fro.
        if (moved or not never_here) and waited_ms <= after_ms:
            return
        # Free slots elsewhere did not help a task that has moved and waits again.
        stays = moved and not never_here and self._reservations.is_due(entry)
        target = None if stays else self._other_shard(entry, not never_here)
        if target is None:
            if not never_here:
                self._unmoved.append(entry)
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
            if suits(self._estimates.of(entry), workers, failed_on):
                return shard
        return None

    def _makes_room(self, entry: Entry) -> bool:
        """Evict a task for an urgent one; False if none was evicted."""
        if not self._preemption.is_due(entry):
            return False
        team = entry.job.spec["team"]
        promised = self._preemption.promised(team)
        if not self._quotas.has_room(self._records.shard, team, promised):
            return False
        # Moving to a free slot costs nobody work.
        if (
            not has_moved(entry.row)
            and self._other_shard(entry, needs_free=True) is not None
        ):
            return False
        demand = self._estimates.of(entry)
        usable = self._reservations.restrict(
            entry, demand, list(self._candidates.values())
        )
        victim = self._preemption.choose(
            entry,
            demand,
            {
                item.worker.worker_id: item
                for item in usable
                # Requests may use slots of their reserve, so that one end is too few.
                if self._parts.slots.shortage(item.worker.worker_id) <= 1
            },
            self._records.entries.values(),
        )
        if victim is None:
            return False
        lost = f"{victim.lost_ms / 1_000:.1f} s of work since its newest checkpoint"
        worker_id = victim.entry.worker_id
        why = (
            f"the urgent task {entry.task_id} found no free slot, and of the tasks "
            f"that could make room for it this one loses least, at most {lost}"
        )
        self._evict(victim.entry, why)
        text = (
            f"no worker of this rack has room for this urgent task; "
            f"{victim.entry.task_id} is evicted from {worker_id} to make room"
        )
        # A write of its own could keep the task from taking the slot when it is free.
        entry.pending_reasons.append(self._records.reason(Event.TASK_WAITING, text))
        return True

    def _note_reservation(self, item: Reservation) -> None:
        text = (
            f"{item.worker_id} is reserved for this task, because smaller tasks were "
            f"started while it waited; the worker is expected to have room for "
            f"{item.demand} in {item.available_in_ms / 1_000:.0f} s"
        )
        self._spawn(item.entry, self._settler.note_waiting(item.entry, text))

    def _note_waiting(self, entry: Entry, text: str) -> None:
        """Record why a task waits, once for each stay in the queue.

        The free capacity changes with every other task, so recording each change would
        use up the write budget.
        """
        waited_ms = self._parts.clock.now_ms() - entry.since_ms
        if waited_ms > MOVE_AFTER_MS and not entry.waiting_text:
            self._spawn(entry, self._settler.note_waiting(entry, text))

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


def _declared(entry: Entry) -> Demand:
    return demand_of(entry.job.spec, entry.row.get("memory_gb"))


def _is_held_with_job(entry: Entry) -> bool:
    return HELD_WITH_JOB in entry.row["reasons"][-1].get("figures", {})

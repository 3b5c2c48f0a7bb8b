"""Start, hold or move the queued tasks of a shard in the order of the queue."""

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
    has_suitable_worker,
)
from hyssopweir.preemption import EVICT_AFTER_MS, MAX_EVICTIONS_PER_MINUTE, Preemption
from hyssopweir.queue_order import has_moved, queue_sort_key
from hyssopweir.reservations import Reservation, Reservations
from hyssopweir.task_records import TaskRecords
from hyssopweir.task_recovery import RunReconciler
from hyssopweir.task_rows import MAX_FAILED_WORKERS, TaskDependencies, TaskEntry
from hyssopweir.task_starts import TaskStarts
from hyssopweir.team_quotas import TeamQuotas
from hyssopweir.worker_tasks import WorkerTasks

# A job with this many failed tasks is considered faulty, and its other tasks are held.
MAX_FAILED_TASKS = 3
# Key in the figures of a recorded reason; marks a task that is held because of its
# job.
JOB_HOLD_FIGURE = "failed_tasks"
MOVE_AFTER_MS: Millis = 5_000
# Time limit for restricting a task whose kind has an unknown effect on services to the
# workers that already run the kind.
KIND_AFFINITY_MS: Millis = 10_000

EntryAction = Coroutine[Any, Any, object]
Spawn = Callable[[TaskEntry, EntryAction], None]
FreeSlots = Callable[[], dict[str, int]]
FailedTasks = Callable[[str], list[str]]
EvictEntry = Callable[[TaskEntry, str], object]


class TaskQueue:
    """Decide for each queued task of one shard whether it starts, moves or waits."""

    def __init__(
        self,
        dependencies: TaskDependencies,
        records: TaskRecords,
        settler: RunReconciler,
        worker_tasks: WorkerTasks,
        free_slots: FreeSlots,
        quotas: TeamQuotas,
        on_moved: Callable[[str], None],
        spawn: Spawn,
        estimates: Estimates,
        failed_tasks: FailedTasks,
        evict: EvictEntry,
    ) -> None:
        self._dependencies = dependencies
        self._records = records
        self._settler = settler
        self._worker_tasks = worker_tasks
        self._free_slots = free_slots
        self._quotas = quotas
        self._on_moved = on_moved
        self._spawn = spawn
        self._estimates = estimates
        self._failed_tasks = failed_tasks
        self._evict = evict
        self._reservations = Reservations(
            worker_tasks.entries_on, estimates, dependencies.clock
        )
        self._preemption = Preemption(estimates, dependencies.clock)
        self._failed_by_job: dict[str, list[str]] = {}
        self._blocked: list[TaskEntry] = []
        self._waiting_entries: list[TaskEntry] = []
        self._candidates: dict[str, Candidate] = {}
        self._free_elsewhere: dict[str, int] = {}
        self._wait_choices: dict[tuple[Demand, str, bool], Choice] = {}
        self._starts = TaskStarts(
            dependencies, records, settler, worker_tasks, estimates
        )
        # Workers that reported that they are leaving, which the list may show later.
        self.leaving = self._starts.leaving
        self.is_pressed: Callable[[str], bool] = lambda worker_id: False

    def place(self) -> None:
        """Process all queued tasks; do nothing while the table is unavailable."""
        queued_entries = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.QUEUED
            and not entry.busy
            and not entry.job.cancelled
            and entry.retry_ms <= self._dependencies.clock.now_ms()
        ]
        if not queued_entries or not self._dependencies.store.is_up:
            return
        workers = self._dependencies.view.workers_of(self._records.shard)
        self._candidates = {w.worker_id: self._candidate(w) for w in workers}
        self._free_elsewhere = dict(self._free_slots())
        self._free_elsewhere.pop(self._records.shard, None)
        self._wait_choices, self._failed_by_job = {}, {}
        self._waiting_entries, self._blocked = [], []
        self._reservations.keep(self._is_queued, list(self._candidates.values()))
        self._preemption.keep(self._is_queued)
        wall_ms = self._dependencies.clock.wall_ms()
        for entry in sorted(
            queued_entries, key=lambda item: queue_sort_key(item, wall_ms)
        ):
            self._place_one(entry)
        for item in self._reservations.update(
            self._blocked, list(self._candidates.values())
        ):
            self._record_reservation(item)

    def _is_queued(self, entry: TaskEntry) -> bool:
        current = self._records.entries.get(entry.task_id)
        return current is entry and entry.state is TaskState.QUEUED

    def count_startable(self) -> dict[str, int]:
        """Return by team how many queued tasks could start now."""
        workers = self._dependencies.view.workers_of(self._records.shard)
        free = sum(self._dependencies.slots.free(w.worker_id, True) for w in workers)
        queued_entries = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.QUEUED
            and not entry.busy
            and not entry.job.cancelled
        ]
        # For an urgent task another one may be evicted, if the urgent task's team has
        # quota left.
        urgent = Counter(
            entry.job.spec["team"]
            for entry in queued_entries
            if self._preemption.is_due(entry)
        )
        counts = Counter(entry.job.spec["team"] for entry in queued_entries)
        startable = {
            team: min(count, max(free, min(urgent[team], MAX_EVICTIONS_PER_MINUTE)))
            for team, count in counts.items()
        }
        return {team: count for team, count in startable.items() if count > 0}

    def release_held(self) -> None:
        """Requeue held tasks that fit a worker that has appeared since."""
        held_entries = [
            entry
            for entry in self._records.entries.values()
            if entry.state is TaskState.HELD and not entry.busy
        ]
        if not held_entries or not self._dependencies.store.is_up:
            return
        fleet = self._dependencies.view.workers()
        for entry in held_entries:
            if entry.has_failed or _is_held_with_failed_job(entry):
                continue
            if has_suitable_worker(
                _declared_demand(entry), fleet, entry.row["failed_on"]
            ):
                self._spawn(entry, self._release(entry))

    def _candidate(self, worker: Worker) -> Candidate:
        worker_id = worker.worker_id
        used = self._worker_tasks.demands_on(worker_id)
        return Candidate(
            worker,
            round(worker.cores - sum(demand.cores for demand in used), 6),
            round(worker.memory_gb - sum(demand.memory_gb for demand in used), 6),
            worker.accelerators - sum(demand.accelerators for demand in used),
            self._dependencies.slots.free(worker_id, True),
            self._starts.is_leaving(worker_id),
            self._dependencies.links.fence_of(worker_id) is not None
            and not self._starts.is_avoided(worker_id),
            self._worker_tasks.failures(worker_id),
            self._dependencies.is_ejected(worker_id),
            self.is_pressed(worker_id),
        )

    def _place_one(self, entry: TaskEntry) -> None:
        failed_on = entry.row["failed_on"]
        if len(failed_on) >= MAX_FAILED_WORKERS:
            text = (
                f"the task failed on {len(failed_on)} workers: {', '.join(failed_on)}"
            )
            self._spawn(entry, self._hold(entry, text, {}))
            return
        if self._hold_with_failed_job(entry):
            return
        has_quota = self._quotas.has_room(self._records.shard, entry.job.spec["team"])
        if not has_quota and self._is_quota_exhausted(entry):
            return
        choice = self._choose(entry)
        if choice.verdict is PlacementOutcome.NEVER:
            self._spawn(entry, self._hold(entry, choice.text, choice.figures))
        elif choice.worker is None:
            self._waiting_entries.append(entry)
            if not self._preempt(entry):
                self._wait_or_move(entry, choice)
        elif has_quota:
            self._start(entry, choice.worker, choice)
        else:
            self._quotas.request_refresh()

    def _is_quota_exhausted(self, entry: TaskEntry) -> bool:
        team = entry.job.spec["team"]
        if not self._quotas.is_exhausted(team):
            return False
        self._record_waiting(entry, f"the team {team} uses all slots of its quota")
        return True

    def _hold_with_failed_job(self, entry: TaskEntry) -> bool:
        job = entry.row["job"]
        if job not in self._failed_by_job:
            self._failed_by_job[job] = self._failed_tasks(job)
        failed = self._failed_by_job[job]
        if len(failed) < MAX_FAILED_TASKS:
            return False
        text = (
            f"{len(failed)} tasks of the job are held because each failed on "
            f"{MAX_FAILED_WORKERS} workers, so the rest of the job is held too"
        )
        figures = {JOB_HOLD_FIGURE: failed[:MAX_FAILED_TASKS]}
        self._spawn(entry, self._hold(entry, text, figures))
        return True

    def _choose(self, entry: TaskEntry) -> Choice:
        choice = self._choose_for_demand(entry, self._estimates.of(entry))
        # A measured demand may exceed every worker; only the declared demand can show
        # that a task can never run.
        if choice.verdict is PlacementOutcome.NEVER:
            choice = self._choose_for_demand(entry, _declared_demand(entry))
        return choice

    def _choose_for_demand(self, entry: TaskEntry, demand: Demand) -> Choice:
        kind, failed_on = entry.job.spec["kind"], entry.row["failed_on"]
        waited_ms = self._dependencies.clock.now_ms() - entry.since_ms
        has_kind_affinity = (
            waited_ms < KIND_AFFINITY_MS and not entry.queue_row["urgent"]
        )
        cache_key = (demand, kind, has_kind_affinity)
        if not failed_on and cache_key in self._wait_choices:
            return self._wait_choices[cache_key]
        candidates = list(self._candidates.values())
        choice = choose(
            demand,
            self._reservations.restrict(entry, demand, candidates),
            failed_on,
            self._dependencies.view.workers,
            self._forecast_interference(kind, has_kind_affinity),
        )
        if choice.verdict is PlacementOutcome.WAIT and not failed_on:
            self._wait_choices[cache_key] = choice
            return choice
        text = choice.text + self._estimates.describe_source(entry, demand)
        return choice._replace(text=text)

    def _forecast_interference(
        self, kind: str, has_kind_affinity: bool
    ) -> dict[str, InterferenceForecast]:
        """Return by worker the predicted interference of a task kind with services."""
        workers_with_kind = [
            worker_id
            for worker_id, candidate in self._candidates.items()
            if has_kind_affinity
            and not candidate.leaving
            and self._worker_tasks.has_kind(worker_id, kind)
        ]
        slots = {name: item.worker.slots for name, item in self._candidates.items()}
        return self._dependencies.interference_forecaster.of(
            self._records.shard, kind, slots, workers_with_kind
        )

    def _start(self, entry: TaskEntry, worker: Worker, choice: Choice) -> None:
        worker_id = worker.worker_id
        fence = self._dependencies.links.fence_of(worker_id)
        run_id = run_id_of(entry.task_id, entry.row["run"] + 1)
        if fence is None or not self._dependencies.slots.take(worker_id, run_id, True):
            return
        entry.passed_over = False
        for waiting_entry in self._waiting_entries:
            waiting_entry.passed_over = True
        self._waiting_entries = []
        self._worker_tasks.add(entry, worker_id, run_id)
        self._candidates[worker_id] = self._candidate(worker)
        self._spawn(entry, self._starts.start(entry, worker, fence, choice))

    def _wait_or_move(self, entry: TaskEntry, choice: Choice) -> None:
        waited_ms = self._dependencies.clock.now_ms() - entry.since_ms
        never_here = choice.verdict is PlacementOutcome.NEVER_HERE
        if choice.is_held_back:
            # Its effect on services is soon known, or the affinity limit ends the wait.
            self._record_waiting(entry, choice.text)
            return
        moved = has_moved(entry.row)
        is_urgent = entry.queue_row["urgent"]
        after_ms = EVICT_AFTER_MS if is_urgent and not moved else MOVE_AFTER_MS
        # Racks with different views of the workers must not move a task back and forth.
        if (moved or not never_here) and waited_ms <= after_ms:
            return
        # Free slots of another shard did not help a task that was moved and waits
        # again, so it stays here if it can reserve a worker.
        should_stay = moved and not never_here and self._reservations.is_due(entry)
        target = (
            None if should_stay else self._choose_other_shard(entry, not never_here)
        )
        if target is None:
            if not never_here:
                self._blocked.append(entry)
            self._record_waiting(entry, choice.text)
            return
        free = self._free_elsewhere.get(target, 0)
        self._free_elsewhere[target] = free - 1
        text = (
            f"moved from {self._records.shard} to {target}, which had {free} free "
            f"slots, after {waited_ms / 1_000:.1f} s: {choice.text}"
        )
        self._spawn(entry, self._move(entry, target, text, {"free_slots": free}))

    def _choose_other_shard(self, entry: TaskEntry, needs_free: bool) -> str | None:
        """Return the shard with the most free slots among those that fit the task."""
        failed_on = entry.row["failed_on"]
        shards_by_free_slots = sorted(
            self._free_elsewhere,
            key=lambda shard: (-self._free_elsewhere[shard], shard),
        )
        for shard in shards_by_free_slots:
            if needs_free and self._free_elsewhere[shard] <= 0:
                return None
            workers = [
                worker
                for worker in self._dependencies.view.workers_of(shard)
                if self._dependencies.view.leaving_since_ms(worker.worker_id) is None
            ]
            if has_suitable_worker(self._estimates.of(entry), workers, failed_on):
                return shard
        return None

    def _preempt(self, entry: TaskEntry) -> bool:
        """Evict a task to start an urgent one; return False if none was evicted."""
        if not self._preemption.is_due(entry):
            return False
        team = entry.job.spec["team"]
        promised = self._preemption.promised(team)
        if not self._quotas.has_room(self._records.shard, team, promised):
            return False
        # A move to a free slot is preferred, as no task loses work by it.
        if (
            not has_moved(entry.row)
            and self._choose_other_shard(entry, needs_free=True) is not None
        ):
            return False
        demand = self._estimates.of(entry)
        usable_candidates = self._reservations.restrict(
            entry, demand, list(self._candidates.values())
        )
        victim = self._preemption.choose(
            entry,
            demand,
            {
                item.worker.worker_id: item
                for item in usable_candidates
                # While requests use slots of their reserve, the end of a single run
                # does not free a slot for a task.
                if self._dependencies.slots.shortage(item.worker.worker_id) <= 1
            },
            self._records.entries.values(),
        )
        if victim is None:
            return False
        lost_work = (
            f"{victim.lost_ms / 1_000:.1f} s of work since its newest checkpoint"
        )
        worker_id = victim.entry.worker_id
        why = (
            f"the urgent task {entry.task_id} found no free slot, and of the tasks "
            f"that could make room for it this one loses least, at most {lost_work}"
        )
        self._evict(victim.entry, why)
        text = (
            f"no worker of this rack has room for this urgent task; "
            f"{victim.entry.task_id} is evicted from {worker_id} to make room"
        )
        # Recorded with the next change: during a separate write the task would be busy
        # and could miss the slot when it becomes free.
        entry.pending_reasons.append(self._records.reason(Event.TASK_WAITING, text))
        return True

    def _record_reservation(self, item: Reservation) -> None:
        text = (
            f"{item.worker_id} is reserved for this task, because smaller tasks were "
            f"started while it waited; the worker is expected to have room for "
            f"{item.demand} in {item.available_in_ms / 1_000:.0f} s"
        )
        self._spawn(item.entry, self._settler.record_waiting(item.entry, text))

    def _record_waiting(self, entry: TaskEntry, text: str) -> None:
        """Record why a task waits, once each time that it is queued.

        The free capacity changes with every other task, so that recording each change
        would exhaust the write budget.
        """
        waited_ms = self._dependencies.clock.now_ms() - entry.since_ms
        if waited_ms > MOVE_AFTER_MS and not entry.waiting_text:
            self._spawn(entry, self._settler.record_waiting(entry, text))

    async def _hold(
        self,
        entry: TaskEntry,
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

    async def _release(self, entry: TaskEntry) -> Result[None, Failure]:
        text = "a worker that is large enough has appeared"
        entry.since_ms = self._dependencies.clock.now_ms()
        return await self._records.change(
            entry,
            self._records.reason(Event.TASK_QUEUED, text),
            state=TaskState.QUEUED.value,
        )

    async def _move(
        self,
        entry: TaskEntry,
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

    def _emit(self, event: Event, entry: TaskEntry, **fields: Any) -> None:
        self._dependencies.log.emit(event, task=entry.task_id, **fields)


def _declared_demand(entry: TaskEntry) -> Demand:
    return demand_of(entry.job.spec, entry.row.get("memory_gb"))


def _is_held_with_failed_job(entry: TaskEntry) -> bool:
    return JOB_HOLD_FIGURE in entry.row["reasons"][-1].get("figures", {})

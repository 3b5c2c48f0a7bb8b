"""Placement of waiting tasks, ordered by the urgency of their jobs."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence, Set
from operator import itemgetter
from typing import NamedTuple

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import WorkerState
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.filler_interference import FULL_PERCENT, MIN_PERCENT
from hyssopweir.held_workers import HeldWorkers
from hyssopweir.job_order import JobOrder, Turn, urgency_key
from hyssopweir.place_waits import PlaceWaits
from hyssopweir.resources import Resources
from hyssopweir.run_commands import RunCommands
from hyssopweir.step_placement import (
    Scarcity,
    WorkerRanking,
    choose_worker_for_step,
    fits,
    limit_cold_workers,
    measure_scarcity,
    rank_workers,
)
from hyssopweir.task_state import Run, RunPhase, Task, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress
from hyssopweir.workflows import Step

# Bound the duration of a placement pass when many more tasks wait than fit. After this
# number of rankings that yield no worker, the less urgent jobs are tried in turns, over
# several passes, with the second number of such rankings in each.
MAX_FAILED_RANKINGS = 24
MAX_FAILED_RANKINGS_BEHIND = 8
# Less than any task needs, also one that reserves nothing.
NO_CAPACITY = Resources(-1, -1, -1)
LostTask = tuple[TaskRef, Step, Task]
# Transfers a job to another cell if that can start more of it than the workers given;
# returns whether it did.
SpreadJob = Callable[[WorkflowProgress, Sequence[WorkerLoad], Millis], bool]
# A filling job of the first age with nothing running for the second time gets a task
# started at the lowest speed, while at most a share of its service's capacity is taken.
# A younger job gains more from waiting for full speed, and on a busy service slow
# fillers cost the serving tasks more than they gain.
SLOW_START_AGE_MS: Millis = 3_000
SLOW_START_WAIT_MS: Millis = 300
MAX_TAKEN_SHARE = 0.6
# Bounds the CPU use of these starts: how often a job is tried, and jobs in a pass.
SLOW_START_RETRY_MS: Millis = 250
MAX_SLOW_STARTS = 8
# Phases of runs on leaving workers whose tasks need another worker.
RELOCATED_PHASES = frozenset({RunPhase.RUNNING, RunPhase.STOPPING})
# Bounds the CPU use of the scheduler while there are tasks that do not fit.
PASS_INTERVAL_MS: Millis = 20


class PlacementKey(NamedTuple):
    """Key of tasks with the same requirements, which fit or fail to fit alike.

    ``filler_image`` is empty for tasks that are no fillers, whose image doesn't matter.
    """

    service: str
    room: Resources
    label: str
    filler_image: str


def placement_key(service: str, step: Step) -> PlacementKey:
    """Return the key of the tasks of a step."""
    filler_image = step.image if step.is_filler else ""
    return PlacementKey(service, step.room, step.label, filler_image)


class PlacementPass:
    """Workers that accept tasks in one pass, and what didn't fit on any of them."""

    def __init__(
        self, loads: Mapping[str, Sequence[WorkerLoad]], now_ms: Millis
    ) -> None:
        self.loads = loads
        self.now_ms = now_ms
        self.unplaceable: set[PlacementKey] = set()
        # Rankings of all workers that yielded none for a task.
        self.failed_rankings = 0
        self._largest_free: dict[tuple[str, str], Resources] = {}
        self.held = HeldWorkers(loads, now_ms)
        # As at the start of the pass.
        self._scarcity: dict[str, Scarcity] = {}

    def scarcity(self, service: str) -> Scarcity:
        """Return what is scarce among the workers of a service."""
        if service not in self._scarcity:
            self._scarcity[service] = measure_scarcity(self.loads.get(service, ()))
        return self._scarcity[service]

    def exclude_held(self) -> None:
        """Leave the held workers out of the rest of the pass."""
        if not self.held.kept:
            return
        self.loads = {
            service: [
                load for load in loads if load.entry.worker_id not in self.held.kept
            ]
            for service, loads in self.loads.items()
        }

    def may_fit(self, service: str, step: Step) -> bool:
        """Return False if some resource of a step is free in its amount on no worker.

        The largest amounts may be those of different workers. They are computed once,
        since the free capacity only decreases during a pass.
        """
        key = (service, step.label)
        if key not in self._largest_free:
            free = [
                load.free
                for load in self.loads.get(service, ())
                if not step.label or step.label in load.entry.labels
            ]
            largest = Resources(*map(max, zip(*free, strict=True))) if free else None
            self._largest_free[key] = largest or NO_CAPACITY
        return self._largest_free[key].can_fit(step.charge)


class CellScheduler:
    """Scheduler that assigns the waiting tasks of a cell and records their runs."""

    def __init__(
        self,
        state: CellState,
        commands: RunCommands,
        spread_job: SpreadJob,
        record_short_steps: Callable[[WorkflowProgress, Millis], None],
        remote_factor: float = 1.0,
    ) -> None:
        self._state = state
        self._commands = commands
        self._spread_job = spread_job
        self._record_short_steps = record_short_steps
        self.order = JobOrder()
        self._waits = PlaceWaits(remote_factor, state.cell, state.log)
        # Jobs behind the most urgent ones that passes have tried since they last came
        # to the end.
        self._tried_jobs: set[str] = set()
        # Jobs that the last pass has left to later ones.
        self.untried_jobs = 0
        # By filling job with nothing running, when it is next tried at a lower speed.
        self._retry_ms: dict[str, Millis] = {}
        # By worker that the last pass has held, since when passes have done so.
        self.held_since_ms: dict[str, Millis] = {}

    async def run(self) -> None:
        """Run a placement pass whenever the state of the cell has changed."""
        while True:
            await self._state.wake.wait()
            self._state.wake.clear()
            if not self._commands.is_closed and self._state.evacuations.may_start():
                self.place()
            if self._state.unplaced:
                await self._state.clock.sleep_ms(PASS_INTERVAL_MS)

    def place(self) -> None:
        """Record and start runs for all waiting tasks that fit now."""
        now_ms = self._state.now_ms()
        available, last_resort = self._available_loads(now_ms)
        current = PlacementPass(available, now_ms)
        last_resort_pass = PlacementPass(last_resort, now_ms)
        new_runs: list[tuple[Run, AgentLink]] = []
        self.order.begin_pass(available, now_ms)
        self._waits.begin_pass(now_ms, self._state.clock.wall_ms(), self._is_waiting)
        jobs = self._jobs_by_urgency(now_ms)
        # Lost endless tasks of all jobs go before tasks that have never run.
        new_runs.extend(self._place_lost_tasks(jobs, current, last_resort_pass))
        self._relocate_tasks(current.held)
        self._state.kept_capacity = dict(current.held.kept)
        for service, charge in self._state.lost_elsewhere:
            current.held.hold(service, charge)
        self._record_held(current.held, now_ms)
        current.exclude_held()
        new_runs.extend(self._start_slow_fillers(jobs, current))
        for progress in self._jobs_within_bounds(jobs, current):
            with self._state.guard(progress.key):
                loads = current.loads.get(progress.workflow.service, ())
                if self._spread_job(progress, loads, now_ms):
                    continue
                if not is_unplaceable(progress, current.unplaceable):
                    waiting = list(progress.waiting())
                    new_runs.extend(self._place_tasks(progress, waiting, current))
                if any(True for _ in progress.waiting()):
                    self._record_short_steps(progress, now_ms)
                else:
                    self._state.unplaced.discard(progress.key)
        self._state.place_waits = self._waits.ends_by_step()
        if new_runs:
            self._commands.start_when_stored(new_runs)

    def _is_waiting(self, ref: TaskRef) -> bool:
        found = self._state.find(ref)
        return found is not None and not found[0].is_final() and found[2].is_waiting()

    def _record_held(self, held: HeldWorkers, now_ms: Millis) -> None:
        self.held_since_ms = {
            worker_id: self.held_since_ms.get(worker_id, now_ms)
            for worker_id in held.kept
        }

    def _place_lost_tasks(
        self,
        jobs: Iterable[WorkflowProgress],
        current: PlacementPass,
        last_resort: PlacementPass,
    ) -> Iterator[tuple[Run, AgentLink]]:
        """Start lost endless tasks, the longest away first, or hold workers for them.

        What is kept for one of them is not available to those that come later.
        """
        lost: list[tuple[Millis, WorkflowProgress, LostTask]] = []
        for progress in jobs:
            with self._state.guard(progress.key):
                lost.extend(
                    (progress.idle_since_ms(task), progress, (ref, step, task))
                    for ref, step, task in progress.lost_endless_tasks()
                )
        lost.sort(key=itemgetter(0))
        unheld: dict[TaskRef, tuple[str, Step]] = {}
        for _, progress, (ref, step, task) in lost:
            with self._state.guard(progress.key):
                service = progress.workflow.service
                load = self._choose_for_lost(ref, service, step, task, current)
                if load is None:
                    load = self._choose_for_lost(ref, service, step, task, last_resort)
                if load is not None:
                    yield self._record_run(progress, ref, step, load, current.now_ms)
                    self._state.commits.mark(self._state.progress_key(progress.key))
                elif current.held.hold_for(ref, service, step) is None:
                    unheld[ref] = service, step
        self._state.unheld_tasks = unheld

    def _choose_for_lost(
        self,
        ref: TaskRef,
        service: str,
        step: Step,
        task: Task,
        current: PlacementPass,
    ) -> WorkerLoad | None:
        key = placement_key(service, step)
        if key in current.unplaceable or not current.may_fit(service, step):
            return None
        load = choose_worker_for_step(
            ref,
            step,
            task,
            current.held.workers_with_capacity(service, step.charge),
            self._state.interference_model,
            current.now_ms,
            current.scarcity(service),
        )
        if load is None and not step.most_per_worker:
            current.unplaceable.add(key)
        return load

    def _relocate_tasks(self, held: HeldWorkers) -> None:
        """Stop endless tasks on leaving workers once another worker has capacity.

        Until then they stay at work, and a worker is held for each of them.
        """
        leaving = [
            link
            for link in self._state.links.values()
            if link.entry.state is WorkerState.LEAVING
        ]
        for link in sorted(leaving, key=lambda link: link.load.leaves_at_ms):
            for run, step in list(link.load.runs.values()):
                # A stopped run counts until its end is known, and waits from then on.
                if not step.is_endless or run.phase not in RELOCATED_PHASES:
                    continue
                with self._state.guard_task(run.ref.task):
                    found = self._state.find(run.ref.task)
                    if found is None or found[0].is_final() or found[2].is_done:
                        continue
                    wait_ms = held.hold_for(run.ref.task, link.entry.service, step)
                    if wait_ms == 0 and run.phase is RunPhase.RUNNING:
                        self._commands.stop(run, link, "worker is leaving")

    def _start_slow_fillers(
        self, jobs: Iterable[WorkflowProgress], current: PlacementPass
    ) -> Iterator[tuple[Run, AgentLink]]:
        """Start one task of filling jobs with nothing running, at a lower speed.

        Otherwise a filler that fits no headroom at full speed would wait for good.
        """
        now_ms = current.now_ms
        starving: list[tuple[Millis, WorkflowProgress, LostTask]] = []
        open_services = self._services_with_capacity()
        for progress in jobs:
            if progress.workflow.service not in open_services:
                continue
            if self._retry_ms.get(progress.key, 0) > now_ms:
                continue
            with self._state.guard(progress.key):
                found = find_starving_filler(progress, now_ms)
                if found is not None and progress.spare_runs(self._state.links):
                    starving.append((progress.last_run_ms(), progress, found))
        starving.sort(key=itemgetter(0))
        self._retry_ms = {
            key: at_ms for key, at_ms in self._retry_ms.items() if at_ms > now_ms
        }
        for _, progress, (ref, step, _) in starving[:MAX_SLOW_STARTS]:
            self._retry_ms[progress.key] = now_ms + SLOW_START_RETRY_MS
            with self._state.guard(progress.key):
                load, percent = self._choose_slow_worker(
                    ref, step, current.loads.get(progress.workflow.service, ()), current
                )
                if load is None:
                    continue
                model = self._state.interference_model
                model.prepare_trial(step, load, current.now_ms)
                run, link = self._record_run(progress, ref, step, load, current.now_ms)
                if percent < FULL_PERCENT:
                    run.pace, run.is_reduced = MIN_PERCENT, True
                self._state.commits.mark(self._state.progress_key(progress.key))
                yield run, link

    def _services_with_capacity(self) -> set[str]:
        """Return the services of which enough capacity is free for slow fillers."""
        total: Counter[str] = Counter()
        taken: Counter[str] = Counter()
        for link in self._state.links.values():
            if link.load.is_evacuated:
                continue
            total[link.entry.service] += link.load.entry.room.cpu
            taken[link.entry.service] += link.load.taken.cpu
        return {
            service
            for service, cpu in total.items()
            if taken[service] <= MAX_TAKEN_SHARE * cpu
        }

    def _choose_slow_worker(
        self,
        ref: TaskRef,
        step: Step,
        loads: Iterable[WorkerLoad],
        current: PlacementPass,
    ) -> tuple[WorkerLoad | None, int]:
        """Return the worker on which a filler may run fastest, and the speed."""
        model = self._state.interference_model
        best: WorkerLoad | None = None
        best_percent = 0
        for load in loads:
            if not fits(ref, step, load):
                continue
            percent = model.start_percent(step, load, current.now_ms)
            if percent > best_percent:
                best, best_percent = load, percent
        return best, best_percent

    def _jobs_within_bounds(
        self, jobs: Sequence[WorkflowProgress], current: PlacementPass
    ) -> Iterator[WorkflowProgress]:
        """Yield the most urgent jobs, then some of those behind, which take turns.

        Without turns, jobs that fit nowhere would keep all others waiting.
        """
        position = 0
        while position < len(jobs) and current.failed_rankings < MAX_FAILED_RANKINGS:
            yield jobs[position]
            position += 1
        limit = current.failed_rankings + MAX_FAILED_RANKINGS_BEHIND
        behind = [job for job in jobs[position:] if job.key not in self._tried_jobs]
        for count, progress in enumerate(behind):
            if current.failed_rankings >= limit:
                self.untried_jobs = len(behind) - count
                return
            self._tried_jobs.add(progress.key)
            yield progress
        self.untried_jobs = 0
        self._tried_jobs.clear()

    def _jobs_by_urgency(self, now_ms: Millis) -> list[WorkflowProgress]:
        wall_ms = self._state.clock.wall_ms()
        jobs = []
        for job in list(self._state.unplaced):
            with self._state.guard(job):
                progress = self._state.jobs[job]
                key = urgency_key(progress, wall_ms, self.order.places)
                self.order.consider(key, progress, now_ms, wall_ms)
                jobs.append((key, progress))
        ordered, turns = self.order.sort(jobs, now_ms)
        for turn in turns:
            self._log_turn(turn)
        return ordered

    def _log_turn(self, turn: Turn) -> None:
        self._state.log.emit(
            Event.JOB_TURN,
            job=turn.job,
            cell=self._state.cell,
            priority=turn.priority,
            is_first=turn.is_first,
            waited_ms=turn.waited_ms,
        )

    def _available_loads(
        self, now_ms: Millis
    ) -> tuple[dict[str, list[WorkerLoad]], dict[str, list[WorkerLoad]]]:
        """Return the workers that accept tasks, and the ejected ones of last resort.

        If a service has no other workers, all its tasks may use those of last resort.
        """
        loads: dict[str, list[WorkerLoad]] = {}
        last_resort: dict[str, list[WorkerLoad]] = {}
        for link in self._state.links.values():
            if link.load.accepts_tasks(now_ms):
                loads.setdefault(link.entry.service, []).append(link.load)
            elif link.load.is_last_resort(now_ms):
                last_resort.setdefault(link.entry.service, []).append(link.load)
        for service in last_resort.keys() - loads.keys():
            loads[service] = last_resort.pop(service)
        for workers in loads.values():
            limit_cold_workers(workers, now_ms)
        return loads, last_resort

    def _place_tasks(
        self,
        progress: WorkflowProgress,
        waiting: Iterable[tuple[TaskRef, Step, Task]],
        current: PlacementPass,
    ) -> Iterator[tuple[Run, AgentLink]]:
        service = progress.workflow.service
        is_changed = False
        spare_runs = progress.spare_runs(self._state.links)
        rankings: dict[tuple[int, int], WorkerRanking] = {}
        for ref, step, task in waiting:
            if not spare_runs and task.is_unstarted():
                continue
            key = placement_key(service, step)
            if key in current.unplaceable:
                continue
            ranking = rankings.get((ref.occurrence, ref.step))
            if ranking is None:
                if not current.may_fit(service, step):
                    current.unplaceable.add(key)
                    continue
                # Ends the rankings of earlier steps, which know only their own runs.
                ranking = rank_workers(
                    step,
                    current.loads.get(service, ()),
                    self._state.interference_model,
                    current.now_ms,
                    current.scarcity(service),
                )
                rankings = {(ref.occurrence, ref.step): ranking}
            load = ranking.choose(ref, task)
            if load is None:
                if not step.most_per_worker:
                    current.unplaceable.add(key)
                    current.failed_rankings += 1
                continue
            # A task with a run before could wait again after each refused start.
            if task.is_unstarted() and self._waits.should_wait(
                progress,
                ref,
                step,
                load,
                current.loads.get(service, ()),
                self.order.places,
            ):
                continue
            is_changed = True
            spare_runs -= task.is_unstarted()
            yield self._record_run(progress, ref, step, load, current.now_ms)
        if is_changed:
            self._state.commits.mark(self._state.progress_key(progress.key))

    def place_copy(self, ref: TaskRef, excluded_worker: str) -> None:
        """Start a speculative copy of a task, not on ``excluded_worker``."""
        found = self._state.find(ref)
        if found is None or self._commands.is_closed:
            return
        if not self._state.evacuations.may_start():
            return
        progress, step, task = found
        now_ms = self._state.now_ms()
        loads, _ = self._available_loads(now_ms)
        workers = loads.get(progress.workflow.service, [])
        candidates = [
            load for load in workers if load.entry.worker_id != excluded_worker
        ]
        load = choose_worker_for_step(
            ref, step, task, candidates, self._state.interference_model, now_ms
        )
        if load is None:
            return
        new_run = self._record_run(progress, ref, step, load, now_ms)
        self._state.commits.mark(self._state.progress_key(progress.key))
        self._commands.start_when_stored([new_run])

    def _record_run(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        step: Step,
        load: WorkerLoad,
        now_ms: Millis,
    ) -> tuple[Run, AgentLink]:
        link = self._state.links[load.entry.worker_id]
        run = progress.create_run(ref, load.entry.worker_id, link.born_ms, now_ms)
        load.reserve(run, step)
        self._waits.end(ref, load)
        self._state.log.emit(
            Event.TASK_STARTING,
            **run.ref.fields(),
            worker=run.worker,
            cpu=step.charge.cpu,
            memory_mb=step.charge.memory_mb,
            lasts=step.is_endless,
            free_cpu=load.free.cpu,
            report_age_ms=now_ms - load.last_report_ms,
            waited_ms=now_ms - progress.added_ms,
        )
        return run, link


def find_starving_filler(progress: WorkflowProgress, now_ms: Millis) -> LostTask | None:
    """Return the first waiting filler of a job that has had no run for some time."""
    if now_ms - progress.added_ms < SLOW_START_AGE_MS or any(progress.runs()):
        return None
    if now_ms - progress.last_run_ms() < SLOW_START_WAIT_MS:
        return None
    for ref, step, task in progress.waiting():
        if step.is_filler:
            return ref, step, task
    return None


def is_unplaceable(progress: WorkflowProgress, unplaceable: Set[PlacementKey]) -> bool:
    """Return whether no open step of a job fits, as far as this pass has found."""
    service = progress.workflow.service
    steps = progress.active_steps()
    return bool(steps) and all(
        placement_key(service, step) in unplaceable for _, step in steps
    )

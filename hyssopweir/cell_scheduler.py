"""Placing of waiting tasks, by priority and then by the deadline of their job."""

from collections.abc import Iterator
from typing import NamedTuple

from hyssopweir.agent_link import REPORT_TIMEOUT_MS, AgentLink
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.resources import Resources
from hyssopweir.run_commands import RunCommands
from hyssopweir.step_placement import choose_worker_for_step
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import Run, TaskRef, WorkflowProgress
from hyssopweir.workflows import Step

# Bounds the time of one pass when far more waits than fits.
MOST_REFUSED = 24


# Sorts jobs that never end behind all others.
MOST_WORK = 1 << 60
# Bounds the processor time of passes while tasks wait that do not fit.
PASS_PAUSE_MS: Millis = 20


class PlacementKey(NamedTuple):
    """Name what a task needs, so that others with the same need are skipped.

    Whether a filler fits depends on its image more than on its size.
    """

    service: str
    charge: Resources
    label: str
    image: str


def placement_key(service: str, step: Step) -> PlacementKey:
    """Return the need of the tasks of a step."""
    if step.is_filler:
        return PlacementKey(service, Resources(), step.label, step.image)
    return PlacementKey(service, step.charge, step.label, "")


class CellScheduler:
    """Record runs for the waiting tasks of a cell."""

    def __init__(self, state: CellState, orders: RunCommands) -> None:
        self._state = state
        self._orders = orders

    async def run(self) -> None:
        """Place whenever something may have become possible."""
        while True:
            await self._state.wake.wait()
            self._state.wake.clear()
            if not self._orders.is_closed:
                self.place()
            if self._state.unplaced:
                await self._state.clock.sleep_ms(PASS_PAUSE_MS)

    def place(self) -> None:
        """Place what fits now."""
        now_ms = self._state.now_ms()
        loads = self._loads(now_ms)
        started: list[tuple[Run, AgentLink]] = []
        full: set[PlacementKey] = set()
        for progress in self._by_urgency():
            if len(full) >= MOST_REFUSED:
                break
            started.extend(self._place_job(progress, loads, full, now_ms))
        if started:
            self._orders.start_when_stored(started)

    def _by_urgency(self) -> list[WorkflowProgress]:
        jobs = [self._state.jobs[job] for job in self._state.unplaced]
        wall_ms = self._state.clock.wall_ms()
        return sorted(jobs, key=lambda progress: urgency(progress, wall_ms))

    def _loads(self, now_ms: Millis) -> dict[str, list[WorkerLoad]]:
        loads: dict[str, list[WorkerLoad]] = {}
        for link in self._state.links.values():
            if link.load.accepts_tasks(now_ms, REPORT_TIMEOUT_MS):
                loads.setdefault(link.entry.service, []).append(link.load)
        return loads

    def _place_job(
        self,
        progress: WorkflowProgress,
        loads: dict[str, list[WorkerLoad]],
        full: set[PlacementKey],
        now_ms: Millis,
    ) -> Iterator[tuple[Run, AgentLink]]:
        job = progress.workflow.job
        service = progress.workflow.service
        left = False
        placed = False
        for ref, step, task in list(progress.waiting()):
            demand = placement_key(service, step)
            if demand in full:
                left = True
                continue
            load = choose_worker_for_step(
                ref, step, task, loads.get(service, ()), self._state.harm, now_ms
            )
            if load is None:
                left = True
                if not step.most_per_worker:
                    full.add(demand)
                continue
            placed = True
            yield self._begin(progress, ref, step, load, now_ms)
        if placed:
            self._state.commits.mark(self._state.progress_key(job))
        if not left:
            self._state.unplaced.discard(job)

    def place_copy(self, ref: TaskRef, avoided: str) -> None:
        """Record another run of a task that may run twice, on another worker."""
        found = self._state.find(ref)
        if found is None or self._orders.is_closed:
            return
        progress, step, task = found
        now_ms = self._state.now_ms()
        loads = self._loads(now_ms).get(progress.workflow.service, [])
        others = [load for load in loads if load.entry.worker_id != avoided]
        load = choose_worker_for_step(ref, step, task, others, self._state.harm, now_ms)
        if load is None:
            return
        started = self._begin(progress, ref, step, load, now_ms)
        self._state.commits.mark(self._state.progress_key(ref.job))
        self._orders.start_when_stored([started])

    def _begin(
        self,
        progress: WorkflowProgress,
        ref: TaskRef,
        step: Step,
        load: WorkerLoad,
        now_ms: Millis,
    ) -> tuple[Run, AgentLink]:
        link = self._state.links[load.entry.worker_id]
        run = progress.begin(ref, load.entry.worker_id, link.born_ms, now_ms)
        load.take(run, step)
        self._state.log.emit(
            Event.TASK_STARTING,
            **run.ref.fields(),
            worker=run.worker,
            free_cpu=load.free.cpu,
            report_age_ms=now_ms - load.last_report_ms,
            waited_ms=now_ms - progress.added_ms,
        )
        return run, link


def urgency(
    progress: WorkflowProgress, wall_ms: Millis
) -> tuple[int, int, int, Millis, str]:
    """Return the sort key of a job; the least comes first.

    Under overload, jobs that can still be done in time go before those that can't, and
    those with the least work left first, so that most of them are done in time. Tasks
    that last keep the room that they get, so that they come after those.
    """
    workflow = progress.workflow
    objective_ms = workflow.objective_ms()
    deadline_ms = workflow.accepted_ms + objective_ms
    lateness = 0
    if not any(step.is_endless for step in workflow.steps):
        left_ms = workflow_left_ms(progress)
        lateness += wall_ms + left_ms > deadline_ms
        lateness += wall_ms + left_ms > deadline_ms + 2 * objective_ms
    work = progress.left_work() or MOST_WORK
    return workflow.priority, lateness, work, deadline_ms, workflow.job


def workflow_left_ms(progress: WorkflowProgress) -> Millis:
    """Return the estimated time that the steps that are not done still take."""
    left = progress.remaining_ms
    return max((left[number] for _, number in progress.open_steps()), default=0)

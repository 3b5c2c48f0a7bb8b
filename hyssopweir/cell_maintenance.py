"""Periodic work of a cell's owner: due jobs, pacing, draining and cleanup."""

from collections import Counter
from itertools import islice

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import WorkerState
from hyssopweir.cell_layout import request_key
from hyssopweir.cell_scheduler import CellScheduler
from hyssopweir.cell_state import INTERFERENCE_KEY, CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.filler_pacing import FillerPacing
from hyssopweir.job_transfers import JobTransfers
from hyssopweir.placement_obstacles import (
    MAX_REPORTS,
    describe_absent_tasks,
    describe_held,
    describe_waiting_jobs,
)
from hyssopweir.run_commands import RunCommands
from hyssopweir.spare_capacity import (
    can_ever_fit,
    describe_evacuated,
    describe_spare,
    reclaimable_capacity,
    spare_capacity,
)
from hyssopweir.stragglers import (
    DurationComparison,
    compare_durations,
    is_lagging,
    update_slowdowns,
)
from hyssopweir.task_state import Run, RunPhase
from hyssopweir.task_transfers import TaskTransfers
from hyssopweir.workflows import Step

TICK_MS: Millis = 100
CLEANUP_INTERVAL_MS: Millis = 500
LOAD_INTERVAL_MS: Millis = 1_000
# Rows of an ended job are deleted this long after its retention time.
RETENTION_MARGIN_MS: Millis = 30_000
MAX_DELETED_PER_PASS = 20
# A run on a leaving worker continues if it is expected to end this long before.
LEAVING_MARGIN_MS: Millis = 500
# A lost reply to a stop command, its repetition and the end of the run fit into this
# time. A run that ends with its worker is known to be over only after its lease.
ENDLESS_MARGIN_MS: Millis = 1_000
# A run is stalled after this time without progress, or after a fifth of its estimated
# time if that is longer.
STALL_MS: Millis = 2_500
STALL_PAUSE_MS: Millis = 3_000


class CellMaintenance:
    """Periodic checks of all jobs and workers of a cell, every ``TICK_MS``."""

    def __init__(
        self,
        state: CellState,
        commands: RunCommands,
        scheduler: CellScheduler,
        transfers: JobTransfers,
        task_transfers: TaskTransfers,
        retention_ms: Millis,
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._commands = commands
        self._transfers = transfers
        self._task_transfers = task_transfers
        self._retention_ms = retention_ms + RETENTION_MARGIN_MS
        self._pacing: dict[str, FillerPacing] = {}
        # By worker, the revision of its runs at which none was stalled.
        self._checked_revisions: dict[str, int] = {}
        self._last_cleanup_ms: Millis = 0
        self._last_load_log_ms: Millis = 0
        # Waiting jobs that were logged since all of them have been.
        self._logged_jobs: set[str] = set()

    async def run(self) -> None:
        """Run the periodic checks until cancelled."""
        while True:
            self._tick(self._state.now_ms())
            await self._state.clock.sleep_ms(TICK_MS)

    def _tick(self, now_ms: Millis) -> None:
        if now_ms - self._last_cleanup_ms >= CLEANUP_INTERVAL_MS:
            self._last_cleanup_ms = now_ms
            self._delete_expired(now_ms)
            self._transfers.run_pass(now_ms, self._retention_ms)
            self._task_transfers.run_pass(now_ms)
        if now_ms - self._last_load_log_ms >= LOAD_INTERVAL_MS:
            self._last_load_log_ms = now_ms
            self._log_load()
            self._log_lost_tasks(now_ms)
            self._log_absent_tasks(now_ms)
            self._log_waiting_jobs(now_ms)
            if not self._state.interference_model.is_empty():
                self._state.commits.mark(self._state.progress_key(INTERFERENCE_KEY))
        self._task_transfers.record_lost_elsewhere()
        self._task_transfers.spread_tasks(now_ms)
        self._open_due()
        self._handle_stragglers(now_ms)
        for link in list(self._state.links.values()):
            try:
                self._pace_fillers(link, now_ms)
            except Exception as exc:
                worker_id = link.entry.worker_id
                self._state.faults.record(f"speeds on {worker_id}", exc)
            if link.entry.state is WorkerState.LEAVING:
                self._drain_worker(link, now_ms)
            self._stop_stalled(link, now_ms)
        if self._state.unplaced:
            self._state.wake.set()

    def _log_load(self) -> None:
        loads = [link.load for link in self._state.links.values()]
        serving = [load for load in loads if load.servers]
        waiting: list[Step] = []
        for job in list(self._state.unplaced):
            with self._state.guard(job):
                tasks = self._state.jobs[job].waiting()
                waiting.extend(step for _, step, _ in tasks)
        self._state.log.emit(
            Event.CELL_LOAD,
            cell=self._state.cell,
            workers=len(loads),
            cores=sum(load.entry.room.cpu for load in loads) // 1_000,
            taken=sum(load.taken.cpu for load in loads) // 1_000,
            serving_workers=len(serving),
            fillers=sum(load.fillers for load in loads),
            fillers_beside=sum(load.fillers for load in serving),
            high_tails=sum(load.worst_tail() >= 1.0 for load in serving),
            waiting=len(waiting),
            waiting_fillers=sum(step.is_filler for step in waiting),
            untried_jobs=self._scheduler.untried_jobs,
            **describe_spare(spare_capacity(self._state)),
            **describe_evacuated(self._state),
        )

    def _log_lost_tasks(self, now_ms: Millis) -> None:
        lost: list[tuple[str, Step]] = []
        for job in list(self._state.unplaced):
            with self._state.guard(job):
                progress = self._state.jobs[job]
                service = progress.workflow.service
                tasks = progress.lost_endless_tasks()
                lost.extend((service, step) for _, step, _ in tasks)
        held = self._scheduler.held_since_ms
        if not lost and not held:
            return
        loads = [link.load for link in self._state.links.values()]
        usable = [load for load in loads if load.accepts_tasks(now_ms)]
        fits = {item: can_ever_fit(*item, self._state) for item in set(lost)}
        self._state.log.emit(
            Event.LOST_TASKS,
            cell=self._state.cell,
            lost=len(lost),
            lost_cpu=sum(step.charge.cpu for _, step in lost),
            never_fit=sum(not fits[item] for item in lost),
            usable_workers=len(usable),
            usable_cpu=sum(load.entry.room.cpu for load in usable),
            free_cpu=sum(load.free.cpu for load in usable),
            lasting_cpu=sum(load.lasting.cpu for load in usable),
            excluded=Counter(filter(None, (load.exclusion(now_ms) for load in loads))),
            held_workers=len(held),
            held=describe_held(self._state, held, now_ms),
            unheld=len(self._state.unheld_tasks),
            lost_elsewhere=len(self._state.lost_elsewhere),
            kept=dict(self._task_transfers.kept_lost),
            reclaimable={
                service: [[free.cpu, free.memory_mb] for free in amounts]
                for service, amounts in reclaimable_capacity(self._state).items()
            },
        )

    def _log_absent_tasks(self, now_ms: Millis) -> None:
        descriptions = describe_absent_tasks(self._state, now_ms)
        for fields in islice(descriptions, MAX_REPORTS):
            self._state.log.emit(
                Event.ENDLESS_TASK_AWAY, cell=self._state.cell, **fields
            )

    def _log_waiting_jobs(self, now_ms: Millis) -> None:
        """Log some of the jobs that wait with nothing running; all of them in turn."""
        descriptions = describe_waiting_jobs(
            self._state, self._scheduler.held_since_ms.keys(), now_ms
        )
        unlogged = (item for item in descriptions if item[0] not in self._logged_jobs)
        logged = list(islice(unlogged, MAX_REPORTS))
        for _, fields in logged:
            self._state.log.emit(Event.JOB_WAITING, cell=self._state.cell, **fields)
        self._logged_jobs.update(key for key, _ in logged)
        if len(logged) < MAX_REPORTS:
            self._logged_jobs.clear()

    def _open_due(self) -> None:
        wall_ms = self._state.clock.wall_ms()
        for job, progress in self._state.jobs.items():
            is_scheduled = progress.workflow.occurrences and not progress.is_final()
            with self._state.guard(job):
                if is_scheduled and progress.open_due_occurrences(wall_ms):
                    self._state.request_placement(job)

    def _delete_expired(self, now_ms: Millis) -> None:
        """Delete the rows of jobs past their retention time that have no runs left."""
        expired = [
            job
            for job, progress in self._state.jobs.items()
            if progress.is_final()
            and now_ms - progress.finished_ms > self._retention_ms
            and not any(progress.runs())
            and not progress.has_open_transfers()
            and not self._task_transfers.is_report_due(progress)
        ]
        for job in expired[:MAX_DELETED_PER_PASS]:
            self._state.forget(job)
            self._state.delete_rows(job)
        for key, seen_ms in list(self._state.unmatched.items())[:MAX_DELETED_PER_PASS]:
            if now_ms - seen_ms > self._retention_ms:
                del self._state.unmatched[key]
                self._state.commits.mark(request_key(self._state.cell, key))

    def _handle_stragglers(self, now_ms: Millis) -> None:
        """Start copies of stragglers, or move them to other workers."""
        comparisons: list[DurationComparison] = []
        for job, progress in self._state.jobs.items():
            with self._state.guard(job):
                if progress.has_started and not progress.is_final():
                    comparisons.extend(compare_durations(progress))
        update_slowdowns(
            (link.load for link in self._state.links.values()), comparisons
        )
        for comparison in comparisons:
            with self._state.guard_task(comparison.run.ref.task):
                if is_lagging(comparison, now_ms):
                    self._mitigate_straggler(comparison)

    def _mitigate_straggler(self, comparison: DurationComparison) -> None:
        run, step = comparison.run, comparison.step
        link = self._state.links.get(run.worker)
        found = self._state.find(run.ref.task)
        if link is None or found is None or len(found[2].runs) > 1:
            return
        is_movable = step.checkpoints and not step.is_gang
        if not step.may_run_twice and not is_movable:
            return
        self._state.log.emit(
            Event.TASK_LAGGING,
            **run.ref.fields(),
            worker=run.worker,
            expected_ms=int(comparison.expected_ms),
            typical_ms=int(comparison.typical_ms),
        )
        if step.may_run_twice:
            self._scheduler.place_copy(run.ref.task, run.worker)
        else:
            self._commands.stop(run, link, "slower than the other runs of its step")

    def _pace_fillers(self, link: AgentLink, now_ms: Millis) -> None:
        if not link.load.fillers:
            return
        pacing = self._pacing.get(link.entry.worker_id)
        if pacing is None:
            pacing = FillerPacing(self._state.interference_model)
            self._pacing[link.entry.worker_id] = pacing
        for run, percent in pacing.decide(link.load, now_ms):
            if percent is None:
                self._commands.stop(run, link, "high tail latency of a co-located task")
            elif run.is_pace_known:
                self._commands.pace(
                    run, link, percent, "high tail latency of a co-located task"
                )
            else:
                self._commands.pace(run, link, percent, "speed of an adopted run")

    def _drain_worker(self, link: AgentLink, now_ms: Millis) -> None:
        """Stop the runs that can't go on until the worker leaves.

        Endless tasks go on until the scheduler has another worker for them, at most
        until the worker may leave.
        """
        must_stop = link.load.leaves_at_ms - now_ms <= ENDLESS_MARGIN_MS
        for run, step in list(link.load.runs.values()):
            if run.phase is not RunPhase.RUNNING:
                continue
            with self._state.guard_task(run.ref.task):
                if step.is_endless and not must_stop:
                    self._state.wake.set()
                elif step.is_endless or not ends_within(
                    run, step, link.entry.leaves_in_ms - LEAVING_MARGIN_MS, now_ms
                ):
                    self._commands.stop(run, link, "worker is leaving")

    def _stop_stalled(self, link: AgentLink, now_ms: Millis) -> None:
        """Stop runs without progress and eject their worker for a limited time.

        Only a report can show that a run is stalled.
        """
        worker_id = link.entry.worker_id
        if self._checked_revisions.get(worker_id) == link.load.revision:
            return
        self._checked_revisions[worker_id] = link.load.revision
        for run, step in list(link.load.runs.values()):
            with self._state.guard_task(run.ref.task):
                if is_stalled(run, step, now_ms, link.load.last_report_ms):
                    self._stop_stalled_run(run, link, now_ms)

    def _stop_stalled_run(self, run: Run, link: AgentLink, now_ms: Millis) -> None:
        link.load.pause(now_ms, STALL_PAUSE_MS)
        self._state.log.emit(
            Event.TASK_STALLED,
            **run.ref.fields(),
            worker=run.worker,
            percent=run.percent,
            still_ms=now_ms - run.moved_ms,
        )
        self._commands.stop(run, link, "no progress")


def ends_within(run: Run, step: Step, limit_ms: Millis, now_ms: Millis) -> bool:
    """Return whether a run is expected to end within ``limit_ms``."""
    elapsed_ms = now_ms - run.since_ms
    if run.percent >= 100:
        return True
    expected_ms = step.estimated_ms
    if run.percent > 0:
        expected_ms = elapsed_ms * 100 // run.percent
    return expected_ms - elapsed_ms <= limit_ms


def is_stalled(run: Run, step: Step, now_ms: Millis, last_report_ms: Millis) -> bool:
    """Return whether a run made no progress although its worker kept reporting."""
    if run.phase is not RunPhase.RUNNING or run.pace < 100 or step.is_filler:
        return False
    if step.is_endless and run.percent >= 100:
        return False
    # One percent should take estimated_ms / 100, but estimates may be far too low.
    return last_report_ms - run.moved_ms > max(STALL_MS, step.estimated_ms // 5)

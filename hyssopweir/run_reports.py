"""Updates of the runs of a cell from the reports of workers."""

import asyncio
from collections.abc import Set

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import EndedRun, LeaseReply, RunStatus
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.run_commands import RunCommands
from hyssopweir.task_state import Run, RunOutcome, RunPhase, RunRef
from hyssopweir.worker_load import is_established
from hyssopweir.workflows import Step


class RunReports:
    """Handler of worker reports that adopts, ends and stops runs."""

    def __init__(self, state: CellState, commands: RunCommands) -> None:
        self._state = state
        self._commands = commands
        self._born_ms_by_worker: dict[str, Millis] = {}

    def process_lease_reply(
        self, link: AgentLink, lease_reply: LeaseReply, sent_ms: Millis
    ) -> asyncio.Future[None] | None:
        """Process a lease reply; the future completes once ended runs are stored."""
        if not link.load.is_confirmed:
            self._admit(link)
        reported = {run.ref for run in lease_reply.running}
        reported.update(end.ref for end in lease_reply.ended)
        # A run that a partial reply leaves out may be among the later ends.
        if not lease_reply.is_partial:
            self.detect_restart(link, lease_reply.born_ms, "reply", reported)
        for report in lease_reply.running:
            with self._state.guard_task(report.ref.task):
                self._process_running(link, report, lease_reply.born_ms)
        link.load.record_report(self._state.now_ms())
        self._observe_interference(link)
        for end in lease_reply.ended:
            with self._state.guard_task(end.ref.task):
                self._process_end(link, end)
        if not lease_reply.is_partial:
            self._expire_missing(link, reported, sent_ms)
        if lease_reply.ended:
            return self._state.commits.stored()
        return None

    def _observe_interference(self, link: AgentLink) -> None:
        try:
            self._state.interference_model.observe_worker(
                link.load, self._state.now_ms()
            )
        except Exception as exc:
            self._state.faults.record(f"report of {link.entry.worker_id}", exc)

    def _admit(self, link: AgentLink) -> None:
        """Reserve the capacity of all recorded runs at the first reply of a worker."""
        for run in self._state.runs_on(link.entry.worker_id):
            found = self._state.find(run.ref.task)
            assert found is not None
            link.load.reserve(run, found[1])
        link.load.is_confirmed = True
        self._state.log.emit(
            Event.WORKER_ADMITTED,
            worker=link.entry.worker_id,
            recorded=len(link.load.runs),
        )
        self._state.wake.set()

    def detect_restart(
        self,
        link: AgentLink,
        born_ms: Millis,
        source: str,
        reported: Set[RunRef] = frozenset(),
    ) -> None:
        """End the runs that were lost when the worker restarted.

        A worker that can't be reached tells of its restart by its entry in the list.
        ``reported`` are the runs that the restarted worker lists, also as ended.
        """
        worker_id = link.entry.worker_id
        previous_born_ms = self._born_ms_by_worker.get(worker_id)
        self._born_ms_by_worker[worker_id] = born_ms
        if previous_born_ms is None or previous_born_ms == born_ms:
            return
        self._state.log.emit(
            Event.WORKER_RESTARTED,
            worker=worker_id,
            born_ms=born_ms,
            previous_born_ms=previous_born_ms,
            source=source,
        )
        self._end_lost_runs(link, born_ms, reported)
        self._reopen_closed_runs(link)

    def _end_lost_runs(
        self, link: AgentLink, born_ms: Millis, reported: Set[RunRef]
    ) -> None:
        """End the runs that a list of an earlier incarnation showed.

        The new one may have accepted any other before its restart was noticed.
        """
        link.load.discard_report(self._state.now_ms())
        for run, _ in list(link.load.runs.values()):
            if run.ref in reported or run.listed_born_ms in (0, born_ms):
                continue
            if run.phase in (RunPhase.RECORDED, RunPhase.ORDERED):
                continue
            if run.phase is RunPhase.UNCERTAIN and not run.is_closed:
                # A restarted worker may still receive the start command.
                continue
            self.lapse(link, run.ref, "its worker has restarted")

    def _reopen_closed_runs(self, link: AgentLink) -> None:
        """Stop runs again whose stop was confirmed by an earlier incarnation."""
        for run, _ in list(link.load.runs.values()):
            if run.phase is RunPhase.UNCERTAIN and run.is_closed:
                run.is_closed = False
                reason = "its worker has restarted"
                self._commands.stop(run, link, reason, RunPhase.UNCERTAIN)
        self._commands.close_late_starts(link)

    def _process_running(
        self, link: AgentLink, report: RunStatus, born_ms: Millis
    ) -> None:
        charged = link.load.runs.get(report.ref)
        if charged is None:
            self._stop_unknown(link, report)
            return
        run, step = charged
        now_ms = self._state.now_ms()
        if report.percent != run.percent:
            run.moved_ms = now_ms
        run.reported_ms = now_ms
        run.percent, run.figure = report.percent, report.figure
        run.born_ms = run.listed_born_ms = born_ms
        link.load.record_running(run, step, now_ms)
        found = self._state.find(report.ref.task)
        if found is None:
            return
        progress, _, task = found
        if report.saved:
            task.saved = report.saved
        if run.phase is RunPhase.UNCERTAIN and run.is_closed:
            self._state.log.emit(
                Event.TASK_ADOPTED, **report.ref.fields(), worker=run.worker
            )
            run.phase = RunPhase.RUNNING
            run.is_closed = False
            # A start without a reply was followed by no pace command.
            run.is_pace_known = False
        if progress.is_final() or task.is_done:
            self._commands.stop(run, link, "job or task has ended")

    def _stop_unknown(self, link: AgentLink, report: RunStatus) -> None:
        """Stop a run without a record for this worker, and reserve its capacity."""
        found = self._state.find(report.ref.task)
        step = found[1] if found is not None else Step(1, link.load.free)
        run = Run(report.ref, link.entry.worker_id, 0, self._state.now_ms())
        run.phase = RunPhase.RUNNING
        link.load.reserve(run, step)
        self._state.log.emit(
            Event.RUN_UNKNOWN, **report.ref.fields(), worker=link.entry.worker_id
        )
        self._commands.stop(run, link, "run is not recorded here")

    def _process_end(self, link: AgentLink, end: EndedRun) -> None:
        link.load.release(end.ref, self._state.now_ms())
        found = self._state.find(end.ref.task)
        if found is None:
            return
        progress, step, task = found
        was_done = task.is_done
        run = progress.end_run(end.ref, end.how, end.saved, self._state.now_ms())
        if run is None and (was_done or not task.is_done):
            return
        if run is not None:
            self._record_worker_result(link, end, run, step)
        self._state.log.emit(
            Event.TASK_DONE if end.how is RunOutcome.DONE else Event.TASK_FAILED,
            **end.ref.fields(),
            worker=link.entry.worker_id,
            how=end.how.value,
        )
        self._state.mark_changed(progress)
        if progress.is_final():
            self._commands.stop_all(progress.runs(), "job has ended")
        elif task.is_done:
            self._commands.stop_all(
                task.runs.values(), "another run of the task is done"
            )

    def _record_worker_result(
        self, link: AgentLink, end: EndedRun, run: Run, step: Step
    ) -> None:
        now_ms = self._state.now_ms()
        if end.how is RunOutcome.DONE:
            link.load.record_success()
        if end.how is not RunOutcome.FAILED or is_established(run, step, now_ms):
            return
        ejected_ms = link.load.record_failure(end.ref.task.job, now_ms)
        if ejected_ms:
            self._state.log.emit(
                Event.WORKER_EJECTED,
                worker=link.entry.worker_id,
                reason="runs of several jobs failed",
                ejected_ms=ejected_ms,
            )

    def _expire_missing(
        self, link: AgentLink, reported: set[RunRef], sent_ms: Millis
    ) -> None:
        """End settled runs that a report requested afterwards no longer lists."""
        for run, _ in list(link.load.runs.values()):
            if run.ref in reported or run.settled_ms >= sent_ms:
                continue
            is_settled = run.phase is RunPhase.RUNNING or run.is_closed
            if is_settled:
                self.lapse(link, run.ref, "not listed by the worker")

    def lapse(self, link: AgentLink, ref: RunRef, reason: str) -> None:
        """Record that a run is over although no report showed its end."""
        link.load.release(ref, self._state.now_ms())
        progress = self._state.job_of(ref.task)
        if progress is None:
            return
        task = progress.task(ref.task)
        run = task.runs.get(ref.run) if task is not None else None
        if run is None:
            return
        phase = run.phase
        progress.end_run(ref, RunOutcome.LAPSED, "", self._state.now_ms())
        self._state.log.emit(
            Event.TASK_LAPSED,
            **ref.fields(),
            worker=link.entry.worker_id,
            reason=reason,
            phase=phase.value,
            **link.contact_fields(),
        )
        self._state.mark_changed(progress)

    def lapse_all(self, link: AgentLink, reason: str) -> None:
        """Record that all runs of a worker are over."""
        runs = list(link.load.runs)
        recorded = [run.ref for run in self._state.runs_on(link.entry.worker_id)]
        self._state.log.emit(
            Event.WORKER_LAPSED,
            worker=link.entry.worker_id,
            runs=len(runs),
            reason=reason,
            **link.contact_fields(),
        )
        for ref in dict.fromkeys([*runs, *recorded]):
            self.lapse(link, ref, reason)

    def lapse_unlisted(self, worker_id: str) -> None:
        """Record that all runs of an unlisted worker that never replied are over."""
        for run in list(self._state.runs_on(worker_id)):
            progress = self._state.job_of(run.ref.task)
            assert progress is not None
            progress.end_run(run.ref, RunOutcome.LAPSED, "", self._state.now_ms())
            self._state.log.emit(
                Event.TASK_LAPSED,
                **run.ref.fields(),
                worker=worker_id,
                reason="not listed, and never heard by this owner",
            )
            self._state.mark_changed(progress)
        self._state.log.emit(Event.WORKER_LAPSED, worker=worker_id, reason="not listed")

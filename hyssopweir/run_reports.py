"""What the reports of workers mean for the runs of a cell."""

import asyncio

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import EndedRun, LeaseReply, RunStatus
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.run_commands import RunCommands
from hyssopweir.workflow_progress import Run, RunOutcome, RunPhase, RunRef
from hyssopweir.workflows import Step


class RunReports:
    """Adopt, end and stop runs by what their workers report."""

    def __init__(self, state: CellState, orders: RunCommands) -> None:
        self._state = state
        self._orders = orders
        self._lives: dict[str, Millis] = {}

    def take(
        self, link: AgentLink, holding: LeaseReply, sent_ms: Millis
    ) -> asyncio.Future[None] | None:
        """Take a report; the future is done once the ends in it are stored."""
        if not link.load.is_confirmed:
            self._admit(link)
        self._note_life(link, holding)
        listed = {run.ref for run in holding.running}
        for report in holding.running:
            self._take_listed(link, report, holding.born_ms)
        link.load.record_report(self._state.now_ms())
        self._state.harm.note(link.load, self._state.now_ms())
        for end in holding.ended:
            self._take_end(link, end)
        ended = {end.ref for end in holding.ended}
        self._note_missing(link, listed | ended, sent_ms)
        if holding.ended:
            return self._state.commits.stored()
        return None

    def _admit(self, link: AgentLink) -> None:
        """Charge what was recorded for a worker when it first answers."""
        for run in self._state.runs_on(link.entry.worker_id):
            found = self._state.find(run.ref.task)
            assert found is not None
            link.load.take(run, found[1])
        link.load.is_confirmed = True
        self._state.log.emit(
            Event.WORKER_ADMITTED,
            worker=link.entry.worker_id,
            recorded=len(link.load.runs),
        )
        self._state.wake.set()

    def _note_life(self, link: AgentLink, holding: LeaseReply) -> None:
        """End the runs of a former life of the worker."""
        worker_id = link.entry.worker_id
        before = self._lives.get(worker_id)
        self._lives[worker_id] = holding.born_ms
        if before is None or before == holding.born_ms:
            return
        self._state.log.emit(Event.WORKER_RESTARTED, worker=worker_id)
        listed = {run.ref for run in holding.running}
        for run, _ in list(link.load.runs.values()):
            if run.ref in listed or run.phase in (RunPhase.RECORDED, RunPhase.ORDERED):
                continue
            if run.phase is RunPhase.UNCERTAIN and not run.is_closed:
                # The new life may still receive the order.
                continue
            self.lapse(link, run.ref)

    def _take_listed(self, link: AgentLink, report: RunStatus, born_ms: Millis) -> None:
        held = link.load.runs.get(report.ref)
        if held is None:
            self._stop_unknown(link, report)
            return
        run, _ = held
        now_ms = self._state.now_ms()
        if report.percent != run.percent:
            run.moved_ms = now_ms
        run.reported_ms = now_ms
        run.percent, run.figure, run.born_ms = report.percent, report.figure, born_ms
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
        if progress.is_final() or task.is_done:
            self._orders.stop(run, link, "job or task has ended")

    def _stop_unknown(self, link: AgentLink, report: RunStatus) -> None:
        """Stop a run that is recorded elsewhere or not at all; charge its room."""
        found = self._state.find(report.ref.task)
        step = found[1] if found is not None else Step(1, link.load.free)
        run = Run(report.ref, link.entry.worker_id, 0, self._state.now_ms())
        run.phase = RunPhase.RUNNING
        link.load.take(run, step)
        self._state.log.emit(
            Event.RUN_UNKNOWN, **report.ref.fields(), worker=link.entry.worker_id
        )
        self._orders.stop(run, link, "run is not recorded here")

    def _take_end(self, link: AgentLink, end: EndedRun) -> None:
        link.load.release(end.ref, self._state.now_ms())
        found = self._state.find(end.ref.task)
        if found is None:
            return
        progress, step, task = found
        was_done = task.is_done
        run = progress.end(end.ref, end.how, end.saved, self._state.now_ms())
        if run is None and (was_done or not task.is_done):
            return
        if run is not None:
            self._judge_worker(link, end, step)
        self._state.log.emit(
            Event.TASK_DONE if end.how is RunOutcome.DONE else Event.TASK_FAILED,
            **end.ref.fields(),
            worker=link.entry.worker_id,
            how=end.how.value,
        )
        self._state.changed(progress)
        if progress.is_final():
            self._orders.stop_all(progress.runs(), "job has ended")
        elif task.is_done:
            self._orders.stop_all(task.runs.values(), "another copy is done")

    def _judge_worker(self, link: AgentLink, end: EndedRun, step: Step) -> None:
        if end.how is RunOutcome.DONE:
            link.load.note_done()
        elif end.how is RunOutcome.FAILED:
            now_ms = self._state.now_ms()
            if link.load.note_failed(end.ref.task.job, now_ms):
                self._state.log.emit(Event.WORKER_EJECTED, worker=link.entry.worker_id)

    def _note_missing(
        self, link: AgentLink, reported: set[RunRef], sent_ms: Millis
    ) -> None:
        """End runs that are missing from a report asked for after they were settled."""
        for run, _ in list(link.load.runs.values()):
            if run.ref in reported or run.settled_ms >= sent_ms:
                continue
            is_settled = run.phase is RunPhase.RUNNING or run.is_closed
            if is_settled:
                self.lapse(link, run.ref)

    def lapse(self, link: AgentLink, ref: RunRef) -> None:
        """Note that a run is over without a report of its end."""
        link.load.release(ref, self._state.now_ms())
        progress = self._state.jobs.get(ref.task.job)
        if progress is None:
            return
        if progress.end(ref, RunOutcome.LAPSED, "", self._state.now_ms()) is not None:
            self._state.log.emit(
                Event.TASK_LAPSED, **ref.fields(), worker=link.entry.worker_id
            )
            self._state.changed(progress)

    def lapse_all(self, link: AgentLink, reason: str) -> None:
        """Note that nothing runs on a worker any more."""
        runs = list(link.load.runs)
        recorded = [run.ref for run in self._state.runs_on(link.entry.worker_id)]
        self._state.log.emit(
            Event.WORKER_LAPSED,
            worker=link.entry.worker_id,
            runs=len(runs),
            reason=reason,
        )
        for ref in dict.fromkeys([*runs, *recorded]):
            self.lapse(link, ref)

    def lapse_unlisted(self, worker_id: str) -> None:
        """Note that nothing runs on a worker that can't be reached any more."""
        for run in list(self._state.runs_on(worker_id)):
            progress = self._state.jobs[run.ref.task.job]
            progress.end(run.ref, RunOutcome.LAPSED, "", self._state.now_ms())
            self._state.changed(progress)
        self._state.log.emit(Event.WORKER_LAPSED, worker=worker_id, reason="not listed")

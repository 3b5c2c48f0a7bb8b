"""Orders to workers, followed until it is certain what became of them."""

import asyncio
from collections.abc import Iterable, Sequence

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import CommandResult
from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.workflow_progress import Run, RunOutcome, RunPhase

STOP_RETRY_MS: Millis = 150
# A worker that refused a start is left alone until its next report is surely in.
REFUSAL_PAUSE_MS: Millis = 1_000


class RunCommands:
    """Start, stop and pace runs.

    A start without an answer may be carried out seconds later. Its room stays taken
    until the worker has confirmed a stop of the same run, after which it refuses the
    start, and a later report does not list the run.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._tasks = BackgroundTasks("run_orders", state.log)
        self.is_closed = False

    def close(self) -> None:
        """Cancel all that is under way."""
        self._tasks.close()

    async def drain(self, limit_ms: Millis) -> None:
        """Start nothing more, and wait for the answers to what was sent."""
        self.is_closed = True
        await self._tasks.wait(limit_ms)

    def start_when_stored(self, runs: Sequence[tuple[Run, AgentLink]]) -> None:
        """Order recorded runs once their record is stored."""
        stored = self._state.commits.stored()
        self._tasks.spawn(self._start_all(stored, runs))

    async def _start_all(
        self, stored: asyncio.Future[None], runs: Sequence[tuple[Run, AgentLink]]
    ) -> None:
        await stored
        for run, link in runs:
            if run.phase is RunPhase.RECORDED:
                self._tasks.spawn(self._start(run, link))

    async def _start(self, run: Run, link: AgentLink) -> None:
        found = self._state.find(run.ref.task)
        if found is None or found[0].is_final() or self.is_closed:
            self.void(run, link, "not wanted any more")
            return
        progress, _, task = found
        verdict = await link.start(run, progress.workflow.payload, task.saved)
        if verdict is CommandResult.ACCEPTED:
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.RUNNING
            if progress.is_final() or task.is_done:
                self.stop(run, link, "job ended during the start")
            return
        if verdict is CommandResult.UNKNOWN:
            self._state.log.emit(
                Event.TASK_UNCERTAIN, **run.ref.fields(), worker=run.worker
            )
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                self.stop(run, link, "start was not answered", RunPhase.UNCERTAIN)
            return
        self._refused(run, link, verdict)

    def _refused(self, run: Run, link: AgentLink, verdict: CommandResult) -> None:
        now_ms = self._state.now_ms()
        if verdict is not CommandResult.FENCED:
            link.load.eject(now_ms, REFUSAL_PAUSE_MS)
        self._state.log.emit(
            Event.ORDER_REFUSED,
            **run.ref.fields(),
            worker=run.worker,
            verdict=verdict.value,
        )
        self.void(run, link, verdict.value)

    def void(self, run: Run, link: AgentLink, reason: str) -> None:
        """Note that a run has not started and never will."""
        link.load.release(run.ref, self._state.now_ms())
        progress = self._state.jobs.get(run.ref.task.job)
        if progress is None:
            return
        if progress.end(run.ref, RunOutcome.VOID, "", self._state.now_ms()) is not None:
            self._state.log.emit(Event.TASK_QUEUED, **run.ref.fields(), reason=reason)
            self._state.changed(progress)

    def stop(
        self,
        run: Run,
        link: AgentLink,
        reason: str,
        phase: RunPhase = RunPhase.STOPPING,
    ) -> None:
        """Stop a run; its room stays taken until a report shows that it is over."""
        if run.phase is RunPhase.STOPPING or not link.load.is_confirmed:
            # The first report of a worker stops what is not wanted any more.
            return
        if run.phase is RunPhase.RECORDED:
            self.void(run, link, reason)
            return
        run.phase = phase
        self._state.log.emit(
            Event.TASK_EVICTING, **run.ref.fields(), worker=run.worker, reason=reason
        )
        self._tasks.spawn(self._stop(run, link))

    async def _stop(self, run: Run, link: AgentLink) -> None:
        while run.ref in link.load.runs:
            verdict = await link.stop(run.ref)
            if verdict in (CommandResult.ACCEPTED, CommandResult.INVALID):
                run.is_closed = True
                run.settled_ms = self._state.now_ms()
                return
            if verdict in (CommandResult.FENCED, CommandResult.OTHER_LIFE):
                return
            await self._state.clock.sleep_ms(STOP_RETRY_MS)

    def stop_all(self, runs: Iterable[Run], reason: str) -> None:
        """Stop runs, wherever they are."""
        for run in list(runs):
            link = self._state.links.get(run.worker)
            if link is not None:
                self.stop(run, link, reason)

    def pace(self, run: Run, link: AgentLink, percent: int, reason: str) -> None:
        """Let a run work at a share of its speed."""
        self._state.log.emit(
            Event.TASK_PACED,
            **run.ref.fields(),
            worker=run.worker,
            percent=percent,
            reason=reason,
        )
        run.pace = percent
        run.changed_ms = self._state.now_ms()
        self._tasks.spawn(self._pace(run, link, percent))

    async def _pace(self, run: Run, link: AgentLink, percent: int) -> None:
        while run.pace == percent and run.ref in link.load.runs:
            if await link.pace(run, percent):
                return
            await self._state.clock.sleep_ms(STOP_RETRY_MS)

"""Commands to workers, repeated until their outcome is certain."""

import asyncio
from collections.abc import Iterable, Sequence

from hyssopweir.agent_link import MAX_COMMAND_DELAY_MS, AgentLink
from hyssopweir.agents import CommandResult
from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell_state import CellState
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.filler_interference import FULL_PERCENT
from hyssopweir.task_state import Run, RunOutcome, RunPhase, RunRef

STOP_RETRY_MS: Millis = 150
# Retries of a stop that its worker, or another process, refuses slow down to this.
MAX_STOP_RETRY_MS: Millis = 1_000
# A speed that may be overridden by an earlier command is sent again at this interval,
# shorter than the time for which a task may exceed its tail latency target.
PACE_REPEAT_MS: Millis = 2_000
# A worker that refused a start gets no runs until its next report has certainly come.
REFUSAL_PAUSE_MS: Millis = 1_000
# Interval at which a start waits for recent knowledge of the evacuations.
START_POLL_MS: Millis = 20


class RunCommands:
    """Sender of commands that start, stop and pace runs.

    A start command without a reply may be executed seconds later. Its capacity stays
    reserved until the worker has confirmed a stop of the same run, after which it
    refuses the start, and a later report does not list the run. A pace command without
    a reply may override newer ones, which are therefore repeated.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._tasks = BackgroundTasks("run_orders", state.log)
        # By worker, the starts without a reply and when each is last carried out.
        self._late_starts: dict[str, dict[RunRef, Millis]] = {}
        self.is_closed = False

    def close(self) -> None:
        """Cancel all commands in progress."""
        self._tasks.close()

    async def drain(self, limit_ms: Millis) -> None:
        """Start no more runs, and wait for replies to the commands in progress."""
        self.is_closed = True
        await self._tasks.wait(limit_ms)

    def start_when_stored(self, runs: Sequence[tuple[Run, AgentLink]]) -> None:
        """Start recorded runs once their records are stored."""
        records_stored = self._state.commits.stored()
        self._tasks.spawn(self._start_all(records_stored, runs))

    async def _start_all(
        self,
        records_stored: asyncio.Future[None],
        runs: Sequence[tuple[Run, AgentLink]],
    ) -> None:
        await records_stored
        for run, link in runs:
            if run.phase is RunPhase.RECORDED:
                self._tasks.spawn(self._start(run, link))

    async def _start(self, run: Run, link: AgentLink) -> None:
        await link.wait_owned()
        while (
            run.is_unsent()
            and not self.is_closed
            and not self._state.evacuations.may_start()
        ):
            await self._state.clock.sleep_ms(START_POLL_MS)
            await link.wait_owned()
        if not run.is_unsent():
            return
        found = self._state.find(run.ref.task)
        if found is None or found[0].is_final() or self.is_closed:
            self.void(run, link, "job has ended or owner is stopping")
            return
        if link.load.is_evacuated:
            self.void(run, link, "its data centre is evacuated")
            return
        progress, _, task = found
        result = await link.start(run, progress.workflow.payload, task.saved)
        if result is CommandResult.ACCEPTED:
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.RUNNING
                if run.pace < FULL_PERCENT:
                    self.pace(run, link, run.pace, "start at a lower speed")
            if progress.is_final() or task.is_done:
                self.stop(run, link, "job ended during the start")
            return
        if result is CommandResult.UNKNOWN:
            self._state.log.emit(
                Event.TASK_UNCERTAIN, **run.ref.fields(), worker=run.worker
            )
            self._record_late_start(run)
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.UNCERTAIN
                self.stop(run, link, "no reply to start command", RunPhase.UNCERTAIN)
            return
        self._handle_refusal(run, link, result)

    def _record_late_start(self, run: Run) -> None:
        now_ms = self._state.now_ms()
        known = self._late_starts.get(run.worker, {})
        unexpired = {ref: until for ref, until in known.items() if until > now_ms}
        unexpired[run.ref] = now_ms + MAX_COMMAND_DELAY_MS
        self._late_starts[run.worker] = unexpired

    def _handle_refusal(self, run: Run, link: AgentLink, result: CommandResult) -> None:
        now_ms = self._state.now_ms()
        if result is not CommandResult.FENCED:
            link.load.pause(now_ms, REFUSAL_PAUSE_MS)
        self._state.log.emit(
            Event.ORDER_REFUSED,
            **run.ref.fields(),
            worker=run.worker,
            verdict=result.value,
        )
        self.void(run, link, result.value)

    def void(self, run: Run, link: AgentLink, reason: str) -> None:
        """Record that a run has not started and never will."""
        link.load.release(run.ref, self._state.now_ms())
        progress = self._state.job_of(run.ref.task)
        if progress is None:
            return
        if (
            progress.end_run(run.ref, RunOutcome.VOID, "", self._state.now_ms())
            is not None
        ):
            self._state.log.emit(Event.TASK_QUEUED, **run.ref.fields(), reason=reason)
            self._state.mark_changed(progress)

    def stop(
        self,
        run: Run,
        link: AgentLink,
        reason: str,
        phase: RunPhase = RunPhase.STOPPING,
    ) -> None:
        """Stop a run; its capacity is reserved until a report shows that it is over."""
        if run.phase is RunPhase.STOPPING or not link.load.is_confirmed:
            # Unwanted runs are stopped when the first report of the worker arrives.
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
        pause_ms = STOP_RETRY_MS
        while run.ref in link.load.runs:
            result = await link.stop(run.ref)
            if result is CommandResult.ACCEPTED:
                run.is_closed = True
                run.settled_ms = self._state.now_ms()
                return
            if result is CommandResult.FENCED:
                return
            if result is not CommandResult.UNKNOWN and pause_ms == STOP_RETRY_MS:
                self._state.log.emit(
                    Event.ORDER_REFUSED,
                    **run.ref.fields(),
                    worker=run.worker,
                    verdict=f"stop: {result.value}",
                )
            await self._state.clock.sleep_ms(pause_ms)
            if result is not CommandResult.UNKNOWN:
                pause_ms = min(2 * pause_ms, MAX_STOP_RETRY_MS)

    def close_late_starts(self, link: AgentLink) -> None:
        """Stop the starts that a restarted worker may still receive.

        It has forgotten which runs its former process was told to refuse.
        """
        late_starts = self._late_starts.pop(link.entry.worker_id, {})
        for ref, until_ms in late_starts.items():
            if until_ms > self._state.now_ms():
                self._state.log.emit(
                    Event.TASK_UNCERTAIN,
                    **ref.fields(),
                    worker=link.entry.worker_id,
                    reason="its worker has restarted",
                )
                self._tasks.spawn(self._close_late_start(ref, until_ms, link))

    async def _close_late_start(
        self, ref: RunRef, until_ms: Millis, link: AgentLink
    ) -> None:
        while self._state.now_ms() < until_ms:
            # Kept for a further restart.
            self._late_starts.setdefault(link.entry.worker_id, {})[ref] = until_ms
            result = await link.stop(ref)
            if result in (CommandResult.ACCEPTED, CommandResult.FENCED):
                return
            await self._state.clock.sleep_ms(STOP_RETRY_MS)

    def stop_all(self, runs: Iterable[Run], reason: str) -> None:
        """Stop each run whose worker has a link."""
        for run in list(runs):
            link = self._state.links.get(run.worker)
            if link is not None:
                self.stop(run, link, reason)

    def pace(self, run: Run, link: AgentLink, percent: int, reason: str) -> None:
        """Limit a run to a percentage of its full speed."""
        self._state.log.emit(
            Event.TASK_PACED,
            **run.ref.fields(),
            worker=run.worker,
            percent=percent,
            reason=reason,
        )
        run.pace = percent
        run.is_pace_known = True
        run.changed_ms = self._state.now_ms()
        link.load.mark_changed()
        if not run.is_pacing:
            run.is_pacing = True
            self._tasks.spawn(self._pace(run, link))

    async def _pace(self, run: Run, link: AgentLink) -> None:
        try:
            await self._send_pace(run, link)
        finally:
            run.is_pacing = False

    async def _send_pace(self, run: Run, link: AgentLink) -> None:
        """Send the speed of a run until no other speed can take effect after it."""
        while run.ref in link.load.runs:
            percent, sent_ms = run.pace, self._state.now_ms()
            result = await link.pace(run, percent)
            if result is not CommandResult.ACCEPTED:
                if result is CommandResult.UNKNOWN:
                    self._record_late_pace(run, percent)
                await self._state.clock.sleep_ms(STOP_RETRY_MS)
                continue
            is_final = self.is_closed or not run.may_change_pace_late(percent, sent_ms)
            if is_final and run.pace == percent:
                return
            await self._await_pace_repeat(run, percent)

    def _record_late_pace(self, run: Run, percent: int) -> None:
        now_ms = self._state.now_ms()
        if run.late_paces.get(percent, 0) <= now_ms:
            self._state.log.emit(
                Event.PACE_UNCERTAIN,
                **run.ref.fields(),
                worker=run.worker,
                percent=percent,
            )
        run.late_paces[percent] = now_ms + MAX_COMMAND_DELAY_MS

    async def _await_pace_repeat(self, run: Run, percent: int) -> None:
        """Wait until the speed must be sent again, or another one is wanted."""
        repeat_ms = self._state.now_ms() + PACE_REPEAT_MS
        while (
            run.pace == percent
            and not self.is_closed
            and self._state.now_ms() < repeat_ms
        ):
            await self._state.clock.sleep_ms(STOP_RETRY_MS)

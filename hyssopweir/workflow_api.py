"""What an entry instance answers to callers: accepting, showing and cancelling jobs."""

from result import Err, Ok, Result

from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_layout import CellLayout, request_key, requests_table
from hyssopweir.cell_state import CANCEL_SUFFIX, PROGRESS_TABLE
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.events import Event, EventLog
from hyssopweir.row_commits import AdaptiveTimeout
from hyssopweir.row_store import (
    ABSENT,
    Change,
    Committed,
    Conflict,
    Expect,
    RowKey,
    RowPage,
    RowStore,
    Write,
)
from hyssopweir.workflow_progress import WorkflowState, shown_progress
from hyssopweir.workflows import Workflow, encode_workflow

RETRY_MS: Millis = 40
# A refusal sends the caller to another instance, which may reach the store.
REFUSAL_MS: Millis = 150
# An uncertain write is repeated that long before the caller is told so.
SETTLE_MS: Millis = 700
READ_MS: Millis = 1_500
# Without any answer for that long the store is away: nothing is tried, and callers are
# refused. Beats of the cells are read more often than that.
AWAY_MS: Millis = 900
# Time that an answer needs to reach the caller before its deadline.
ANSWER_MARGIN_MS: Millis = 200
LEAST_PATIENCE_MS: Millis = 50


class WorkflowApi:
    """Answer callers from the store, whoever owns the cell."""

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._layout: CellLayout | None = None
        self._beats: CellHeartbeats | None = None
        self._store = store
        self._clock = clock
        self._log = log
        self._timer = AdaptiveTimeout()
        self._is_up = True
        self._answered_ms = clock.now_ms()

    def open(self, layout: CellLayout, beats: CellHeartbeats) -> None:
        """Serve callers from now on."""
        self._layout = layout
        self._beats = beats

    def is_open(self) -> bool:
        """Tell whether the cells are known."""
        return self._layout is not None

    def record_store_reply(self) -> None:
        """Note that the store answers this instance."""
        self._answered_ms = self._clock.now_ms()
        if not self._is_up:
            self._is_up = True
            self._log.emit(Event.STORE_UP)

    def store_silent_ms(self) -> Millis:
        """Return for how long the store has not answered this instance."""
        return self._clock.now_ms() - self._answered_ms

    def is_store_up(self) -> bool:
        """Tell whether the store has answered this instance lately."""
        silent_ms = self.store_silent_ms()
        if silent_ms >= AWAY_MS and self._is_up:
            self._is_up = False
            self._log.emit(Event.STORE_DOWN, silent_ms=silent_ms)
        return self._is_up

    async def submit(
        self, workflow: Workflow, patience_ms: Millis
    ) -> Result[None, Failure]:
        """Store a job; a repeated submission of the same job is accepted again.

        ``STORE_UNAVAILABLE`` and ``CANCELLED`` mean that the job never runs,
        ``STORE_OUTCOME_UNKNOWN`` that it may.
        """
        started_ms = self._clock.now_ms()
        request = self._request_key(workflow.job)
        cancel = self._request_key(workflow.job + CANCEL_SUFFIX)
        changes = (
            Write(request, encode_workflow(workflow), ABSENT),
            Expect(cancel, ABSENT),
        )
        stored = await self._store_once(changes, patience_ms)
        if isinstance(stored, Err):
            return stored
        outcome = stored.ok_value
        if isinstance(outcome, Committed) or request in outcome.rows:
            self._log.emit(
                Event.JOB_ACCEPTED,
                job=workflow.job,
                queue=workflow.queue,
                tasks=sum(step.tasks for step in workflow.steps),
                is_repeated=not isinstance(outcome, Committed),
                took_ms=self._clock.now_ms() - started_ms,
            )
            return Ok(None)
        return Err(not_run(Code.CANCELLED, "the job was cancelled before it came"))

    async def cancel(self, job: str, patience_ms: Millis) -> Result[None, Failure]:
        """Store a cancellation; a submission that comes later is refused."""
        key = self._request_key(job + CANCEL_SUFFIX)
        stored = await self._store_once([Write(key, b"{}", ABSENT)], patience_ms)
        if isinstance(stored, Err):
            return stored
        self._log.emit(Event.JOB_CANCEL_REQUESTED, job=job)
        return Ok(None)

    async def _store_once(
        self, changes: tuple[Change, ...] | list[Change], patience_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        """Apply changes, repeating them after a lost reply; they apply at most once."""
        started_ms = self._clock.now_ms()
        is_uncertain = False
        patience_ms = max(patience_ms - ANSWER_MARGIN_MS, LEAST_PATIENCE_MS)
        if not self.is_store_up():
            detail = "the store does not answer this instance"
            return Err(not_run(Code.STORE_UNAVAILABLE, detail))
        while True:
            sent_ms = self._clock.now_ms()
            left_ms = max(started_ms + patience_ms - sent_ms, LEAST_PATIENCE_MS)
            timeout_ms = min(self._timer.timeout_ms(), left_ms)
            reply = await self._store.transact(changes, timeout_ms)
            now_ms = self._clock.now_ms()
            self._timer.learn(reply, now_ms - sent_ms)
            if isinstance(reply, Ok):
                self.record_store_reply()
                return reply
            if reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
                is_uncertain = True
            elif reply.err_value.code is not Code.STORE_UNAVAILABLE:
                return reply
            limit_ms = min(SETTLE_MS if is_uncertain else REFUSAL_MS, patience_ms)
            if now_ms - started_ms >= limit_ms:
                return self._give_up(is_uncertain, reply.err_value)
            await self._clock.sleep_ms(RETRY_MS)

    def _give_up(
        self, is_uncertain: bool, cause: Failure
    ) -> Result[Committed | Conflict, Failure]:
        if is_uncertain:
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, cause.detail))
        return Err(not_run(Code.STORE_UNAVAILABLE, cause.detail))

    async def status(
        self, job: str, patience_ms: Millis
    ) -> Result[WorkflowState | None, Failure]:
        """Return the state of a job, None if no such job was accepted."""
        limit_ms = self._clock.now_ms() + min(patience_ms, READ_MS)
        while True:
            reply = await self._read_state(job)
            if isinstance(reply, Ok):
                return reply
            if self._clock.now_ms() >= limit_ms:
                return Err(unknown(Code.STORE_UNAVAILABLE, "the job can't be read"))
            await self._clock.sleep_ms(RETRY_MS)

    async def _read_state(self, job: str) -> Result[WorkflowState | None, Failure]:
        cell = self._cell_of(job)
        # Progress is read first: a job that is missing from the later read of the
        # requests has not been accepted.
        progress = await self._read_progress(cell, job)
        if isinstance(progress, Err):
            return progress
        state = progress.ok_value
        if state not in (None, WorkflowState.PENDING, WorkflowState.ACTIVE):
            return Ok(state)
        requests = await self._read(
            requests_table(cell), cell, job, job + CANCEL_SUFFIX + "\0"
        )
        if isinstance(requests, Err):
            return requests
        keys = {row.at.key for row in requests.ok_value.rows}
        if job not in keys:
            return Ok(None)
        if job + CANCEL_SUFFIX in keys:
            return Ok(WorkflowState.CANCELLED)
        return Ok(state or WorkflowState.PENDING)

    async def _read_progress(
        self, cell: str, job: str
    ) -> Result[WorkflowState | None, Failure]:
        """Return the recorded state, None if nothing is recorded."""
        page = await self._read(PROGRESS_TABLE, cell, job, job + "\0")
        if isinstance(page, Err):
            return page
        if not page.ok_value.rows:
            return Ok(None)
        shown = shown_progress(page.ok_value.rows[0].value)
        if shown.cell:
            return await self._read_progress(shown.cell, job)
        return Ok(shown.state)

    def pending(self, queue: str) -> Result[int, Failure]:
        """Return how many jobs of a queue have not begun."""
        count = self._beats.pending(queue) if self._beats is not None else None
        if count is None:
            return Err(unknown(Code.STORE_UNAVAILABLE, "the count can't be read"))
        return Ok(count)

    async def _read(
        self, table: str, cell: str, start: str, end: str
    ) -> Result[RowPage, Failure]:
        sent_ms = self._clock.now_ms()
        timeout_ms = min(self._timer.timeout_ms(), READ_MS)
        reply = await self._store.read_rows(table, cell, start, end, timeout_ms)
        self._timer.learn(reply, self._clock.now_ms() - sent_ms)
        if isinstance(reply, Ok):
            self.record_store_reply()
        return reply

    def _request_key(self, key: str) -> RowKey:
        cell = self._cell_of(key.removesuffix(CANCEL_SUFFIX))
        return request_key(cell, key)

    def _cell_of(self, job: str) -> str:
        assert self._layout is not None
        return self._layout.cell_of_job(job)

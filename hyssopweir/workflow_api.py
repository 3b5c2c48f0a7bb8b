"""Job operations of an entry instance: submission, status and cancellation."""

from result import Err, Ok, Result

from hyssopweir.cell_heartbeats import CellHeartbeats
from hyssopweir.cell_layout import CellLayout, request_key, requests_table
from hyssopweir.cell_state import CANCEL_SUFFIX, PROGRESS_TABLE
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure, not_run, unknown
from hyssopweir.events import Event, EventLog
from hyssopweir.input_bounds import FaultLog
from hyssopweir.job_admission import JobAdmission, Refusal
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
from hyssopweir.workflow_progress import (
    ProgressSummary,
    WorkflowState,
    decode_progress_summary,
)
from hyssopweir.workflows import Workflow, encode_workflow

RETRY_DELAY_MS: Millis = 40
# A write that has not reached the store is retried this long. Then the caller is
# refused, so that it tries another instance, which may reach the store.
UNAVAILABLE_RETRY_MS: Millis = 150
# A write with an unknown outcome is retried this long before that is reported.
UNCERTAIN_RETRY_MS: Millis = 700
READ_TIMEOUT_MS: Millis = 1_500
# Without a reply for this long, the store is considered down and callers are refused
# without an attempt. The heartbeats of the cells are read more often than that.
STORE_DOWN_MS: Millis = 900
# Time that a response needs to reach the caller before its deadline.
RESPONSE_MARGIN_MS: Millis = 200
MIN_TIME_BUDGET_MS: Millis = 50
# A write without a reply may reach the store this late. Until then admission control
# doesn't refuse its job, which may be accepted.
LATE_WRITE_MS: Millis = 30_000


class WorkflowApi:
    """Job operations served from the store, independent of the owner of the cell."""

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._layout: CellLayout | None = None
        self._heartbeats: CellHeartbeats | None = None
        self._store = store
        self._clock = clock
        self._log = log
        self._faults = FaultLog(log)
        self._reply_timer = AdaptiveTimeout()
        self._was_store_up = True
        self._last_reply_ms = clock.now_ms()
        self._admission = JobAdmission()
        # By job that is not known to be stored, until when a write may still do so.
        self._late_writes_ms: dict[str, Millis] = {}

    def accept_requests(self, layout: CellLayout, heartbeats: CellHeartbeats) -> None:
        """Set the cell layout and heartbeats, after which requests are accepted."""
        self._layout = layout
        self._heartbeats = heartbeats

    def is_accepting_requests(self) -> bool:
        """Return whether the cell layout is known."""
        return self._layout is not None

    def record_store_reply(self) -> None:
        """Record that the store has replied, and log if it was down before."""
        self._last_reply_ms = self._clock.now_ms()
        if not self._was_store_up:
            self._was_store_up = True
            self._log.emit(Event.STORE_UP)

    def store_silent_ms(self) -> Millis:
        """Return the time since the last reply of the store to this instance."""
        return self._clock.now_ms() - self._last_reply_ms

    def is_store_up(self) -> bool:
        """Return whether the store has replied recently, and log if it went down."""
        silent_ms = self.store_silent_ms()
        if silent_ms >= STORE_DOWN_MS and self._was_store_up:
            self._was_store_up = False
            self._log.emit(Event.STORE_DOWN, silent_ms=silent_ms)
        return self._was_store_up

    async def submit(
        self, workflow: Workflow, time_budget_ms: Millis
    ) -> Result[None, Failure]:
        """Store a job; submissions are idempotent per job id.

        ``OVERLOADED``, ``STORE_UNAVAILABLE`` and ``CANCELLED`` mean that the job will
        never run, ``STORE_OUTCOME_UNKNOWN`` that it may run.
        """
        started_ms = self._clock.now_ms()
        job = workflow.job
        refusal = self._decide_admission(workflow, started_ms)
        if refusal is not None and await self._is_absent(job):
            return Err(self._refuse(workflow, refusal))
        time_budget_ms -= self._clock.now_ms() - started_ms
        self._expect_late_write(job)
        stored = await self._store_job(workflow, time_budget_ms, started_ms)
        if isinstance(stored, Ok):
            self._late_writes_ms.pop(job, None)
        else:
            self._expect_late_write(job)
        return stored

    def _expect_late_write(self, job: str) -> None:
        # The entry moves to the end, so that the oldest one comes first.
        self._late_writes_ms.pop(job, None)
        self._late_writes_ms[job] = self._clock.now_ms() + LATE_WRITE_MS

    def _decide_admission(self, workflow: Workflow, now_ms: Millis) -> Refusal | None:
        if self._layout is None or self._heartbeats is None:
            return None
        while self._late_writes_ms:
            oldest = next(iter(self._late_writes_ms))
            if self._late_writes_ms[oldest] > now_ms:
                break
            del self._late_writes_ms[oldest]
        if workflow.job in self._late_writes_ms:
            return None
        demands = self._heartbeats.demands(self._layout.size)
        return self._admission.decide(workflow, demands, now_ms)

    async def _is_absent(self, job: str) -> bool:
        """Return whether the job is known to be neither stored nor cancelled.

        This read takes the place of the write, so that a refusal costs no more calls.
        """
        if not self.is_store_up():
            return False
        keys = await self._read_request_keys(self._cell_of(job), job)
        return isinstance(keys, Ok) and not keys.ok_value

    def _refuse(self, workflow: Workflow, refusal: Refusal) -> Failure:
        self._log.emit(
            Event.JOB_NOT_ADMITTED,
            job=workflow.job,
            queue=workflow.queue,
            priority=workflow.priority,
            **refusal._asdict(),
        )
        detail = (
            f"it would take about {refusal.expected_ms} ms, more than"
            f" {refusal.limit_ms} ms"
        )
        retry_after_s = refusal.retry_after_s
        return not_run(Code.OVERLOADED, detail, retry_after_s=retry_after_s)

    async def _store_job(
        self, workflow: Workflow, time_budget_ms: Millis, started_ms: Millis
    ) -> Result[None, Failure]:
        request = self._request_key(workflow.job)
        cancel = self._request_key(workflow.job + CANCEL_SUFFIX)
        changes = (
            Write(request, encode_workflow(workflow), ABSENT),
            Expect(cancel, ABSENT),
        )
        stored = await self._transact_once(changes, time_budget_ms)
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
        if cancel in outcome.rows:
            # No late attempt can store the job any more, either.
            return Err(not_run(Code.CANCELLED, "the job was cancelled before it came"))
        detail = "the store refused the job and shows no reason"
        return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, detail))

    async def cancel(self, job: str, time_budget_ms: Millis) -> Result[None, Failure]:
        """Store a cancellation; later submissions of the job are refused."""
        key = self._request_key(job + CANCEL_SUFFIX)
        stored = await self._transact_once([Write(key, b"{}", ABSENT)], time_budget_ms)
        if isinstance(stored, Err):
            return stored
        self._log.emit(Event.JOB_CANCEL_REQUESTED, job=job)
        return Ok(None)

    async def _transact_once(
        self, changes: tuple[Change, ...] | list[Change], time_budget_ms: Millis
    ) -> Result[Committed | Conflict, Failure]:
        """Apply changes at most once, retrying them after a lost reply."""
        started_ms = self._clock.now_ms()
        is_uncertain = False
        time_budget_ms = max(time_budget_ms - RESPONSE_MARGIN_MS, MIN_TIME_BUDGET_MS)
        if not self.is_store_up():
            detail = "the store does not answer this instance"
            return Err(not_run(Code.STORE_UNAVAILABLE, detail))
        while True:
            sent_ms = self._clock.now_ms()
            remaining_ms = max(
                started_ms + time_budget_ms - sent_ms, MIN_TIME_BUDGET_MS
            )
            timeout_ms = min(self._reply_timer.timeout_ms(), remaining_ms)
            reply = await self._store.transact(changes, timeout_ms)
            now_ms = self._clock.now_ms()
            self._reply_timer.record_reply(reply, now_ms - sent_ms)
            if isinstance(reply, Ok):
                self.record_store_reply()
                return reply
            if reply.err_value.code is Code.STORE_OUTCOME_UNKNOWN:
                is_uncertain = True
            elif reply.err_value.code is not Code.STORE_UNAVAILABLE:
                # It tells nothing about an earlier attempt without a reply.
                return self._retry_failure(is_uncertain, reply.err_value)
            limit_ms = min(
                UNCERTAIN_RETRY_MS if is_uncertain else UNAVAILABLE_RETRY_MS,
                time_budget_ms,
            )
            if now_ms - started_ms >= limit_ms:
                return self._retry_failure(is_uncertain, reply.err_value)
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    def _retry_failure(
        self, is_uncertain: bool, cause: Failure
    ) -> Result[Committed | Conflict, Failure]:
        if is_uncertain:
            return Err(unknown(Code.STORE_OUTCOME_UNKNOWN, cause.detail))
        return Err(cause)

    async def status(
        self, job: str, time_budget_ms: Millis
    ) -> Result[WorkflowState | None, Failure]:
        """Return the state of a job, None if no such job was accepted."""
        limit_ms = self._clock.now_ms() + min(time_budget_ms, READ_TIMEOUT_MS)
        while True:
            reply = await self._read_state(job)
            if isinstance(reply, Ok):
                return reply
            if self._clock.now_ms() >= limit_ms:
                return Err(unknown(Code.STORE_UNAVAILABLE, "the job can't be read"))
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _read_state(self, job: str) -> Result[WorkflowState | None, Failure]:
        cell = self._cell_of(job)
        # Progress is read before the requests: a job that is missing from the later
        # read has not been accepted.
        reply = await self._read_progress(cell, job)
        if isinstance(reply, Err):
            return reply
        progress = reply.ok_value
        if progress is not None and progress.state not in (
            WorkflowState.PENDING,
            WorkflowState.ACTIVE,
        ):
            return Ok(progress.state)
        requests = await self._read_request_keys(cell, job)
        if isinstance(requests, Err):
            return requests
        if job not in requests.ok_value:
            return Ok(None)
        if job + CANCEL_SUFFIX in requests.ok_value:
            return Ok(WorkflowState.CANCELLED)
        if progress is None:
            return Ok(WorkflowState.PENDING)
        if not progress.is_sent:
            return Ok(progress.state)
        # The other cell has no progress of the job yet, or has deleted all its rows.
        received = await self._read_request_keys(progress.cell, job)
        return received.map(lambda keys: progress.state if job in keys else None)

    async def _read_progress(
        self, cell: str, job: str, was_moved: bool = False
    ) -> Result[ProgressSummary | None, Failure]:
        """Return the summary of the progress row, None if there is no row.

        If the job was moved and the other cell has a row, that row is read. A job moves
        only once.
        """
        page = await self._read_rows(PROGRESS_TABLE, cell, job, job + "\0")
        if isinstance(page, Err):
            return page
        if not page.ok_value.rows:
            return Ok(None)
        row = page.ok_value.rows[0]
        item = f"{PROGRESS_TABLE}/{cell}/{job}"
        summary = self._faults.read(item, decode_progress_summary, row.value)
        if summary is None:
            return Err(not_run(Code.STORE_JUNK, "the progress can't be read"))
        if not summary.cell or was_moved:
            return Ok(summary)
        other = await self._read_progress(summary.cell, job, True)
        return other.map(lambda found: summary if found is None else found)

    async def _read_request_keys(
        self, cell: str, job: str
    ) -> Result[set[str], Failure]:
        """Return the keys of a job's request and cancellation that a cell stores."""
        page = await self._read_rows(
            requests_table(cell), cell, job, job + CANCEL_SUFFIX + "\0"
        )
        return page.map(lambda page: {row.at.key for row in page.rows})

    def pending(self, queue: str) -> Result[int, Failure]:
        """Return how many jobs of a queue are pending, from the cell heartbeats."""
        count = (
            self._heartbeats.pending(queue) if self._heartbeats is not None else None
        )
        if count is None:
            return Err(unknown(Code.STORE_UNAVAILABLE, "the count can't be read"))
        return Ok(count)

    async def _read_rows(
        self, table: str, cell: str, start: str, end: str
    ) -> Result[RowPage, Failure]:
        sent_ms = self._clock.now_ms()
        timeout_ms = min(self._reply_timer.timeout_ms(), READ_TIMEOUT_MS)
        reply = await self._store.read_rows(table, cell, start, end, timeout_ms)
        self._reply_timer.record_reply(reply, self._clock.now_ms() - sent_ms)
        if isinstance(reply, Ok):
            self.record_store_reply()
        return reply

    def _request_key(self, key: str) -> RowKey:
        cell = self._cell_of(key.removesuffix(CANCEL_SUFFIX))
        return request_key(cell, key)

    def _cell_of(self, job: str) -> str:
        assert self._layout is not None
        return self._layout.cell_of_job(job)

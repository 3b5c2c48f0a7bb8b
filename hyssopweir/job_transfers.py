"""Transfers of jobs from a full cell to one with spare capacity.

Jobs are assigned to cells by the hash of their ids, so chance or the loss of workers
can fill one cell while others have capacity. A job is transferred on its arrival if
another cell can start more of its tasks (``cell_spread``), or later, if it waits. The
cell that accepted a job keeps its row, which then names the cell that runs it. A job is
transferred at most once, before any of its runs is recorded, and the row is written
before the other cell receives the job. Afterwards only single tasks are transferred
(``task_transfers``).
"""

import asyncio
import json
import zlib
from collections.abc import Mapping, Sequence
from typing import Any

from result import Err

from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat
from hyssopweir.cell_layout import requests_table
from hyssopweir.cell_requests import CellRequests
from hyssopweir.cell_spread import CellSpread, Demand, count_placeable
from hyssopweir.cell_state import PROGRESS_TABLE, CellState, TransferredJob
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.row_store import MAX_ROW_BYTES, RowStore, StoredRow
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from hyssopweir.workflows import decode_workflow, encode_workflow

# A job must wait longer than most scheduler passes plus the end of one short task.
MIN_WAIT_MS: Millis = 400
# Heartbeats of other cells are about 0.3 s old, so only a few jobs are transferred per
# pass, and only to cells with more spare capacity than they need.
MAX_TRANSFERS_PER_PASS = 4
SPARE_FACTOR = 2
# A job that no other cell could start better is compared again with new heartbeats.
SPREAD_RETRY_MS: Millis = 250
CALL_TIMEOUT_MS: Millis = 800
CHECK_INTERVAL_MS: Millis = 10_000


def open_steps_cpu(progress: WorkflowProgress) -> int:
    """Return the demand of the open steps in thousandths of a processor."""
    steps = progress.workflow.steps
    return sum(
        steps[number].tasks * steps[number].room.cpu
        for _, number in progress.open_steps()
    )


def choose_destination(
    progress: WorkflowProgress, own: str, heartbeats: Mapping[str, Heartbeat]
) -> str | None:
    """Return the cell to which to transfer a job of ``own``, None to keep it.

    Candidates have ``SPARE_FACTOR`` times the required capacity beyond what their own
    waiting tasks of the service require.
    """
    required_cpu = open_steps_cpu(progress)
    service = progress.workflow.service
    candidates = []
    for cell, heartbeat in heartbeats.items():
        capacity = heartbeat.rooms.get(service)
        if cell == own or heartbeat.is_released or capacity is None:
            continue
        if capacity.spare_cpu >= SPARE_FACTOR * required_cpu:
            candidates.append((-capacity.spare_cpu, cell))
    if not candidates:
        return None
    # Hashing makes two cells with the same heartbeats unlikely to choose the same one.
    best = sorted(candidates)[:2]
    return best[zlib.crc32(progress.workflow.job.encode()) % len(best)][1]


def open_demands(progress: WorkflowProgress) -> list[Demand]:
    """Return the waiting tasks of the open steps, none if heartbeats can't show them.

    Heartbeats state neither the labels of free workers nor their room for fillers.
    """
    workflow = progress.workflow
    steps = progress.active_steps()
    if any(step.is_filler or step.label or step.is_gang for _, step in steps):
        return []
    demands = [
        Demand(workflow.service, step, progress.count_waiting(key), workflow.priority)
        for key, step in steps
    ]
    return [demand for demand in demands if demand.tasks]


def encode_transfer(transfer: TransferredJob, stamp: str) -> bytes:
    """Serialize the progress row of a job that another cell runs."""
    data = {
        "stamp": stamp,
        "state": WorkflowState.PENDING.value,
        "moved": transfer.cell,
        "sent": transfer.is_sent,
    }
    return json.dumps(data, separators=(",", ":")).encode()


def _is_transferable(progress: WorkflowProgress) -> bool:
    """Return whether a job may be transferred as a whole."""
    return (
        not progress.has_started
        and not progress.is_final()
        and not progress.workflow.home
        and not progress.workflow.occurrences
    )


class JobTransfers:
    """Sender of waiting jobs to other cells that tracks them there."""

    def __init__(
        self,
        state: CellState,
        heartbeats: CellHeartbeats,
        store: RowStore,
        requests: CellRequests,
        spread: CellSpread,
    ) -> None:
        self._spread = spread
        # By job that was compared with other cells, when this is next done.
        self._next_spread_ms: dict[str, Millis] = {}
        self._state = state
        self._heartbeats = heartbeats
        self._store = store
        self._requests = requests
        self._tasks = BackgroundTasks("job_transfers", state.log)
        self._last_check_ms: Millis = 0

    def close(self) -> None:
        """Cancel all transfers and checks in progress."""
        self._tasks.close()

    def run_pass(self, now_ms: Millis, retention_ms: Millis) -> None:
        """Transfer jobs that waited too long, and check old transfers for deletion."""
        transfer_count = 0
        for job in (
            list(self._state.unplaced) if len(self._heartbeats.known) > 1 else ()
        ):
            if transfer_count >= MAX_TRANSFERS_PER_PASS:
                break
            with self._state.guard(job):
                progress = self._state.jobs[job]
                if not self._may_transfer(progress, now_ms):
                    continue
                destination = choose_destination(
                    progress, self._state.cell, self._heartbeats.known
                )
                if destination is None:
                    continue
                workflow = progress.workflow._replace(home=self._state.cell)
                body = encode_workflow(workflow)
                # The store refuses larger rows, always.
                if len(body) <= MAX_ROW_BYTES:
                    self._transfer(progress, body, destination, now_ms, "waited")
                    transfer_count += 1
        self._next_spread_ms = {
            job: at_ms for job, at_ms in self._next_spread_ms.items() if at_ms > now_ms
        }
        if now_ms - self._last_check_ms >= CHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            for job, transfer in self._state.transferred.items():
                if transfer.is_sent and now_ms - transfer.since_ms > retention_ms:
                    self._tasks.spawn(self._delete_if_ended(job, transfer))

    def spread_job(
        self, progress: WorkflowProgress, loads: Sequence[WorkerLoad], now_ms: Millis
    ) -> bool:
        """Transfer a new job if another cell can start more of it than ``loads`` can.

        New lasting jobs are also transferred to a cell with far more free processors.
        Return whether the job was transferred.
        """
        if len(self._heartbeats.known) < 2 or not _is_transferable(progress):
            return False
        if now_ms < self._next_spread_ms.get(progress.key, 0):
            return False
        self._spread.update(self._heartbeats.known, now_ms)
        if not self._spread.is_ready():
            return False
        destination = self._choose_spread(progress, loads)
        if destination is None:
            self._next_spread_ms[progress.key] = now_ms + SPREAD_RETRY_MS
            return False
        body = encode_workflow(progress.workflow._replace(home=self._state.cell))
        if len(body) > MAX_ROW_BYTES:
            self._next_spread_ms[progress.key] = now_ms + SPREAD_RETRY_MS
            return False
        self._spread.budget.spend(1)
        self._transfer(progress, body, destination, now_ms, "spread")
        return True

    def _choose_spread(
        self, progress: WorkflowProgress, loads: Sequence[WorkerLoad]
    ) -> str | None:
        workflow, demands = progress.workflow, open_demands(progress)
        if not demands or not self._spread.budget.affordable(1, workflow.priority):
            return None
        startable = count_placeable(demands, (load.free for load in loads))
        if startable < sum(demand.tasks for demand in demands):
            return self._spread.choose_for_job(workflow.job, demands, startable)
        if not all(step.is_endless for step in workflow.steps):
            return None
        free_cpu = sum(max(load.free.cpu, 0) for load in loads)
        return self._spread.choose_for_lasting(workflow.job, demands, free_cpu)

    def _may_transfer(self, progress: WorkflowProgress, now_ms: Millis) -> bool:
        if now_ms - progress.added_ms < MIN_WAIT_MS or not _is_transferable(progress):
            return False
        return not any(
            self._state.waits_for_place(progress.key, key)
            for key in progress.open_steps()
        )

    def _transfer(
        self,
        progress: WorkflowProgress,
        body: bytes,
        destination: str,
        now_ms: Millis,
        reason: str,
    ) -> None:
        job = progress.workflow.job
        for demand in open_demands(progress):
            self._spread.promise(
                destination, demand.service, demand.step.charge, demand.tasks
            )
        self._state.forget(job)
        transfer = TransferredJob(body, destination, now_ms)
        self._state.transferred[job] = transfer
        self._state.log.emit(
            Event.JOB_MOVED,
            job=job,
            cell=self._state.cell,
            target=destination,
            reason=reason,
            waited_ms=now_ms - progress.added_ms,
        )
        self._state.commits.mark(self._state.progress_key(job))
        self._tasks.spawn(self._send(job, transfer, self._state.commits.stored()))

    def restore(self, request: StoredRow, data: Mapping[str, Any]) -> None:
        """Resume tracking a job that a previous owner transferred."""
        workflow = decode_workflow(request.value)._replace(home=self._state.cell)
        transfer = TransferredJob(
            encode_workflow(workflow), data["moved"], self._state.now_ms()
        )
        transfer.is_sent = bool(data["sent"])
        self._state.transferred[request.at.key] = transfer
        if not transfer.is_sent:
            stored = self._state.commits.stored()
            self._tasks.spawn(self._send(request.at.key, transfer, stored))

    def cancel(self, job: str) -> None:
        """Forward a cancellation to the cell that runs the job."""
        transfer = self._state.transferred[job]
        if not transfer.is_cancelled:
            transfer.is_cancelled = True
            self._tasks.spawn(self._requests.cancel(transfer.cell, job))

    async def _send(
        self, job: str, transfer: TransferredJob, stored: "asyncio.Future[None]"
    ) -> None:
        await stored
        if not await self._requests.submit(transfer.cell, job, transfer.body):
            self._state.log.emit(
                Event.JOB_TRANSFER_CANCELLED,
                job=job,
                cell=self._state.cell,
                target=transfer.cell,
            )
        transfer.is_sent = True
        self._state.commits.mark(self._state.progress_key(job))

    async def _delete_if_ended(self, job: str, transfer: TransferredJob) -> None:
        """Delete the rows of a job once the other cell has deleted its own."""
        tables = (requests_table(transfer.cell), PROGRESS_TABLE)
        for table in tables:
            page = await self._store.read_rows(
                table, transfer.cell, job, job + "\0", CALL_TIMEOUT_MS
            )
            if isinstance(page, Err) or page.ok_value.rows:
                return
        self._state.transferred.pop(job, None)
        self._state.delete_rows(job)

"""Moves of waiting jobs from a full cell to one with room.

Jobs are divided among cells by their ids, so that chance or the loss of workers can
fill one cell while others have room. The cell that has accepted a job keeps its row,
which then names the cell that runs it. A job moves once, before any run of it was
recorded; its row is written before the other cell gets the job.
"""

import asyncio
import json
import zlib
from collections.abc import Mapping
from typing import Any

from result import Err, Ok

from hyssopweir.background_tasks import BackgroundTasks
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat, SpareCapacity
from hyssopweir.cell_layout import request_key, requests_table
from hyssopweir.cell_state import (
    CANCEL_SUFFIX,
    PROGRESS_TABLE,
    CellState,
    TransferredJob,
)
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.row_store import ABSENT, RowStore, StoredRow, Write
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from hyssopweir.workflows import decode_workflow, encode_workflow

# A job that waits longer than most passes of the scheduler and one end of a short task.
WAIT_MS: Millis = 400
# Beats of other cells are some 0.3 s old: few jobs move at a time, to room for more.
MOST_MOVED = 4
ROOM_FACTOR = 2
CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 150
CHECK_INTERVAL_MS: Millis = 10_000


def rooms_of(state: CellState) -> dict[str, SpareCapacity]:
    """Return what a cell has left of each service."""
    rooms: dict[str, SpareCapacity] = {}
    for link in state.links.values():
        load = link.load
        if load.is_confirmed and load.is_listed:
            room = rooms.get(link.entry.service, SpareCapacity())
            rooms[link.entry.service] = room._replace(
                free_cpu=room.free_cpu + max(load.free.cpu, 0)
            )
    for job in state.unplaced:
        service = state.jobs[job].workflow.service
        room = rooms.get(service, SpareCapacity())
        rooms[service] = room._replace(waiting=room.waiting + 1)
    return rooms


def first_need(progress: WorkflowProgress) -> int:
    """Return the processors that the open steps ask for, in thousandths."""
    steps = progress.workflow.steps
    return sum(
        steps[number].tasks * steps[number].room.cpu
        for _, number in progress.open_steps()
    )


def target_of(
    progress: WorkflowProgress, own: str, beats: Mapping[str, Heartbeat]
) -> str | None:
    """Return the cell that should run a job in place of ``own``, None if none should.

    Answers a cell that is full while others have room to spare.
    """
    need = first_need(progress)
    service = progress.workflow.service
    found = []
    for cell, beat in beats.items():
        room = beat.rooms.get(service)
        if cell == own or beat.is_released or room is None or room.waiting:
            continue
        if room.free_cpu >= ROOM_FACTOR * need:
            found.append((-room.free_cpu, cell))
    if not found:
        return None
    # Two cells that look at the same beats rarely choose the same target.
    best = sorted(found)[:2]
    return best[zlib.crc32(progress.workflow.job.encode()) % len(best)][1]


def encode_moved(moved: TransferredJob, stamp: str) -> bytes:
    """Return the progress row of a job that another cell runs."""
    data = {
        "stamp": stamp,
        "state": WorkflowState.PENDING.value,
        "moved": moved.cell,
        "sent": moved.is_sent,
    }
    return json.dumps(data, separators=(",", ":")).encode()


class JobTransfers:
    """Hand waiting jobs to other cells, and follow them there."""

    def __init__(
        self, state: CellState, beats: CellHeartbeats, store: RowStore
    ) -> None:
        self._state = state
        self._beats = beats
        self._store = store
        self._tasks = BackgroundTasks("job_transfers", state.log)
        self._checked_ms: Millis = 0

    def close(self) -> None:
        """Cancel all that is under way."""
        self._tasks.close()

    def look(self, now_ms: Millis, keep_ms: Millis) -> None:
        """Move jobs that have waited too long; delete those that are gone there."""
        moved = 0
        for job in list(self._state.unplaced) if len(self._beats.known) > 1 else ():
            progress = self._state.jobs[job]
            if moved < MOST_MOVED and self._may_move(progress, now_ms):
                target = target_of(progress, self._state.cell, self._beats.known)
                if target is not None:
                    self._move(progress, target, now_ms)
                    moved += 1
        if now_ms - self._checked_ms >= CHECK_INTERVAL_MS:
            self._checked_ms = now_ms
            for job, follow in self._state.moved.items():
                if follow.is_sent and now_ms - follow.since_ms > keep_ms:
                    self._tasks.spawn(self._check(job, follow))

    def _may_move(self, progress: WorkflowProgress, now_ms: Millis) -> bool:
        return (
            not progress.has_started
            and not progress.is_final()
            and not progress.workflow.home
            and not progress.workflow.occurrences
            and now_ms - progress.added_ms >= WAIT_MS
        )

    def _move(self, progress: WorkflowProgress, target: str, now_ms: Millis) -> None:
        job = progress.workflow.job
        workflow = progress.workflow._replace(home=self._state.cell)
        self._state.forget(job)
        moved = TransferredJob(encode_workflow(workflow), target, now_ms)
        self._state.moved[job] = moved
        self._state.log.emit(
            Event.JOB_MOVED,
            job=job,
            cell=self._state.cell,
            target=target,
            waited_ms=now_ms - progress.added_ms,
        )
        self._state.commits.mark(self._state.progress_key(job))
        self._tasks.spawn(self._send(job, moved, self._state.commits.stored()))

    def restore(self, request: StoredRow, data: Mapping[str, Any]) -> None:
        """Follow a job that a former owner has moved, from its progress row."""
        workflow = decode_workflow(request.value)._replace(home=self._state.cell)
        moved = TransferredJob(
            encode_workflow(workflow), data["moved"], self._state.now_ms()
        )
        moved.is_sent = bool(data["sent"])
        self._state.moved[request.at.key] = moved
        if not moved.is_sent:
            stored = self._state.commits.stored()
            self._tasks.spawn(self._send(request.at.key, moved, stored))

    def cancel(self, job: str) -> None:
        """Cancel a job in the cell that runs it."""
        moved = self._state.moved[job]
        if not moved.is_cancelled:
            moved.is_cancelled = True
            self._tasks.spawn(self._send_cancel(job, moved))

    async def _send(
        self, job: str, moved: TransferredJob, stored: "asyncio.Future[None]"
    ) -> None:
        await stored
        await self._write(moved.cell, job, moved.body)
        moved.is_sent = True
        self._state.commits.mark(self._state.progress_key(job))

    async def _send_cancel(self, job: str, moved: TransferredJob) -> None:
        await self._write(moved.cell, job + CANCEL_SUFFIX, b"{}")

    async def _write(self, cell: str, key: str, body: bytes) -> None:
        """Write a request of another cell, until it is certain that it is there."""
        write = Write(request_key(cell, key), body, ABSENT)
        while True:
            reply = await self._store.transact([write], CALL_TIMEOUT_MS)
            if isinstance(reply, Ok):
                return
            await self._state.clock.sleep_ms(RETRY_MS)

    async def _check(self, job: str, moved: TransferredJob) -> None:
        """Delete the rows of a job whose rows are deleted in the other cell."""
        tables = (requests_table(moved.cell), PROGRESS_TABLE)
        for table in tables:
            page = await self._store.read_rows(
                table, moved.cell, job, job + "\0", CALL_TIMEOUT_MS
            )
            if isinstance(page, Err) or page.ok_value.rows:
                return
        self._state.moved.pop(job, None)
        self._state.delete_rows(job)

"""Calls to workers, and what workers publish about themselves."""

import json
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from hyssopweir.agents import (
    CommandResult,
    EndedRun,
    LeaseReply,
    ListedRun,
    StartCommand,
    WorkerEntry,
    WorkerState,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.platform.json_http_client import HttpCalls, Response
from hyssopweir.platform_client import Breakdown, ExchangeError
from hyssopweir.resources import Resources
from hyssopweir.row_store import RowStore, StoredRow, read_all
from hyssopweir.workflow_progress import RunEnd, RunRef, TaskRef

SERVERS = "servers"
WATCH_MS: Millis = 800
READ_TIMEOUT_MS: Millis = 1_500

# More changes than that in one answer of the store mean that others wait already. They
# are read at once, unless the answers never end.
MANY_ROWS = 400
MOST_ANSWERS = 8

OK = 200
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED = 421
# The worker is unhealthy and has done nothing.
UNHEALTHY = frozenset({429, 503})

REASONS = {
    "fence": CommandResult.FENCED,
    "old": CommandResult.STALE,
    "late": CommandResult.LATE,
    "room": CommandResult.NO_ROOM,
    "ticket": CommandResult.NO_TICKET,
}

# "broken" ends a gang with one of its members, "alone" one that never came together;
# in both cases the worker has ended the run for no fault of the task.
ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.LAPSED,
    "alone": RunEnd.LAPSED,
}

STATES = {"ready": WorkerState.READY, "draining": WorkerState.LEAVING}


class HttpAgent:
    """Implement ``Agent`` over the calls of a worker."""

    def __init__(self, calls: HttpCalls) -> None:
        self._calls = calls

    async def start(
        self, worker: WorkerEntry, order: StartCommand, timeout_ms: Millis
    ) -> CommandResult:
        """Order a run to start."""
        body = {
            "task": task_name(order.ref.task),
            "run": order.ref.run,
            "spec": order.payload,
            "deadlineMs": order.lease_until_ms,
            "fencingToken": order.token,
        }
        if order.saved:
            body["checkpointed"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(worker, "/run-start", body, timeout_ms)

    async def stop(
        self, worker: WorkerEntry, ref: RunRef, token: int, timeout_ms: Millis
    ) -> CommandResult:
        """Order a run to stop, or never to start."""
        body = {"task": task_name(ref.task), "run": ref.run, "fencingToken": token}
        return await self._order(worker, "/run-stop", body, timeout_ms)

    async def pace(
        self,
        worker: WorkerEntry,
        ref: RunRef,
        percent: int,
        token: int,
        timeout_ms: Millis,
    ) -> CommandResult:
        """Limit a run to a share of its work."""
        body = {
            "task": task_name(ref.task),
            "run": ref.run,
            "percent": percent,
            "fencingToken": token,
        }
        return await self._order(worker, "/pace", body, timeout_ms)

    async def hold(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        """Renew the lease of all runs and wait for an end."""
        body = {"fencingToken": token, "acknowledged": acknowledged}
        if lease_until_ms is not None:
            body["deadlineMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        sent = await self._send(worker, "/hold", body, timeout_ms)
        if isinstance(sent, Err):
            return Err(_breakdown(sent.err_value))
        if sent.ok_value.status != OK:
            return Err(_verdict(sent.ok_value))
        try:
            return Ok(_holding_of(sent.ok_value.data))
        except (KeyError, TypeError, ValueError, IndexError):
            return Err(CommandResult.INVALID)

    async def _order(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout_ms: Millis,
    ) -> CommandResult:
        sent = await self._send(worker, path, body, timeout_ms)
        if isinstance(sent, Err):
            return _breakdown(sent.err_value)
        return _verdict(sent.ok_value)

    async def _send(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout_ms: Millis,
    ) -> Result[Response, ExchangeError]:
        return await self._calls.call(
            "POST",
            (worker.host, worker.port),
            path,
            timeout_ms,
            body,
            headers={"Expected-Instance": worker.worker_id},
        )


def _breakdown(error: ExchangeError) -> CommandResult:
    if error.kind is Breakdown.NOT_CONNECTED:
        return CommandResult.NOT_SENT
    return CommandResult.UNKNOWN


def _verdict(response: Response) -> CommandResult:
    if response.status == OK:
        return CommandResult.ACCEPTED
    if response.status == CONFLICT and isinstance(response.data, dict):
        return REASONS.get(response.data.get("reason", ""), CommandResult.INVALID)
    if response.status in UNHEALTHY:
        return CommandResult.UNHEALTHY
    if response.status == MISDIRECTED:
        return CommandResult.OTHER_LIFE
    return CommandResult.INVALID


def task_name(ref: TaskRef) -> str:
    """Return the platform's name of a task."""
    return f"{ref.job}.{ref.occurrence}.{ref.step}.{ref.number}"


def task_ref(name: str) -> TaskRef:
    """Return the task of a platform's name; raise ``ValueError`` on junk."""
    job, occurrence, step, index = name.rsplit(".", 3)
    return TaskRef(job, int(occurrence), int(step), int(index))


def _holding_of(data: dict[str, Any]) -> LeaseReply:
    running = [
        ListedRun(
            RunRef(task_ref(row[0]), int(row[1])),
            str(row[2] or ""),
            int(row[3]),
            float(row[4]) if len(row) > 4 else 0.0,
        )
        for row in data["running"]
    ]
    ended = [
        EndedRun(
            int(row[0]),
            RunRef(task_ref(row[1]), int(row[2])),
            ENDS[row[3]],
            str(row[4] or ""),
        )
        for row in data["finished"]
    ]
    return LeaseReply(int(data["clockMs"]), int(data.get("born", 0)), running, ended)


class HttpWorkerListing:
    """Keep the entries that workers write to the store."""

    def __init__(self, store: RowStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._entries: dict[str, WorkerEntry] = {}
        self._version: int | None = None

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Return the entries by worker once they may have changed."""
        for _ in range(MOST_ANSWERS):
            reply = await self._next_rows()
            if isinstance(reply, Err):
                return reply
            for row in reply.ok_value:
                self._take(row)
            if len(reply.ok_value) < MANY_ROWS:
                break
        return Ok(self._entries)

    async def _next_rows(self) -> Result[list[StoredRow], Failure]:
        """Return all rows at first, then those that have changed."""
        if self._version is None:
            page = await read_all(self._store, SERVERS, "", READ_TIMEOUT_MS)
            if isinstance(page, Err):
                return page
            self._entries = {}
            self._version = page.ok_value.version
            return Ok(page.ok_value.rows)
        changes = await self._store.watch(
            SERVERS, self._version, WATCH_MS, WATCH_MS + READ_TIMEOUT_MS
        )
        if isinstance(changes, Err):
            if changes.err_value.code is Code.STORE_HISTORY_LOST:
                self._version = None
            return changes
        self._version = changes.ok_value.version
        return Ok(changes.ok_value.rows)

    def _take(self, row: StoredRow) -> None:
        worker_id = row.at.key
        if row.is_deleted:
            self._entries.pop(worker_id, None)
            return
        try:
            self._entries[worker_id] = entry_of(worker_id, row.value)
        except (KeyError, TypeError, ValueError) as exc:
            self._log.emit(Event.BAD_INPUT, row=f"servers/{worker_id}", error=repr(exc))
            self._entries.pop(worker_id, None)


def entry_of(worker_id: str, value: bytes) -> WorkerEntry:
    """Return what a worker published; raise on fields that are missing or wrong."""
    data = json.loads(value)
    host, port = data["address"].rsplit(":", 1)
    room = data["capacity"]
    # The kind of the worker and its rack, in this order.
    labels = [_text(label) for label in data["labels"]]
    return WorkerEntry(
        worker_id,
        host,
        int(port),
        _text(data["service"]),
        _text(data["zone"]),
        Resources(
            _count(room["cpu"]), _count(room["memMb"]), _count(room.get("gpu", 0))
        ),
        frozenset(labels),
        STATES[data["state"]],
        int(data.get("born", 0)),
        _text(data.get("machine", "")),
        # The least time that a draining worker still runs.
        _count(data.get("remainingMs", 0)),
        labels[1] if len(labels) > 1 else host,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not a whole number")
    return value

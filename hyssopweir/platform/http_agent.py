"""HTTP client of the workers, and the listing that they publish in the store."""

import ipaddress
from collections.abc import Mapping
from functools import lru_cache
from typing import Any

from result import Err, Ok, Result

from hyssopweir.agents import (
    Acknowledgement,
    CommandResult,
    EndedRun,
    LeaseReply,
    RunStatus,
    StartCommand,
    StartReply,
    WorkerEntry,
    WorkerState,
)
from hyssopweir.call_failures import CallFailures
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code, Failure
from hyssopweir.events import EventLog
from hyssopweir.input_bounds import (
    MAX_PORT,
    MAX_WHOLE,
    FaultLog,
    InputError,
    parse_bounded_json,
    read_choice,
    read_float,
    read_int,
    read_list,
    read_object,
    read_text,
)
from hyssopweir.platform.json_http_client import JsonHttpClient, Response
from hyssopweir.platform_client import UNSENT_KINDS, ExchangeError, ExchangeErrorKind
from hyssopweir.resources import Resources
from hyssopweir.row_store import RowStore, StoredRow, read_all
from hyssopweir.task_state import RunOutcome, RunRef, TaskRef

WORKERS_TABLE = "servers"
WATCH_MS: Millis = 800
READ_TIMEOUT_MS: Millis = 1_500

# A reply with at least this many rows means that more changes are waiting already, so
# they are read at once. The number of reads is bounded in case replies stay that large.
LARGE_REPLY_ROWS = 400
MAX_READS_PER_REFRESH = 8
# For how long after its timeout the reply to a renewal or a start is still read: as
# long as a lease, which none that is later could keep.
LATE_REPLY_MS: Millis = 4_000

# Upper bounds of a worker's capacity: 10,000 cores, 10 TB of memory.
MAX_CPU = 10_000_000
MAX_MEMORY_MB = 10_000_000
MAX_ACCELERATORS = 10_000
MAX_LABELS = 64
# The store limits keys to 200 bytes; names of workers, tasks and services appear there.
MAX_NAME_CHARS = 200
MAX_REMAINING_MS: Millis = 24 * 3_600_000

# A reply to a lease renewal lists at most so many ends, the first ones.
REPLY_ENDS = 500
# Bound of either list of a reply; runs are limited by the capacity.
MAX_LISTED_RUNS = 20_000
MAX_ROW_FIELDS = 16
MAX_SAVED_CHARS = 1_000
MAX_OCCURRENCE = 2**53 - 1
MAX_TASK_NUMBER = 10**9
# Task names that are kept parsed, about 300 bytes each.
MAX_KNOWN_TASK_NAMES = 4_096
MAX_PERCENT = 100
MAX_FIGURE = 1e9

OK = 200
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED = 421

# Statuses of a worker that has not carried out the request.
RESULT_BY_STATUS = {
    BAD_REQUEST: CommandResult.INVALID,
    CONFLICT: CommandResult.INVALID,
    MISDIRECTED: CommandResult.OTHER_LIFE,
    429: CommandResult.UNHEALTHY,
    503: CommandResult.UNHEALTHY,
}

RESULT_BY_REASON = {
    "fence": CommandResult.FENCED,
    "old": CommandResult.STALE,
    "late": CommandResult.LATE,
    "room": CommandResult.NO_ROOM,
    "ticket": CommandResult.NO_TICKET,
}

# "broken" means that another member of the gang ended, "alone" that the gang was never
# complete; in both cases the worker ended the run through no fault of the task.
RUN_END_BY_NAME = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LAPSED,
    "broken": RunOutcome.LAPSED,
    "alone": RunOutcome.LAPSED,
}

STATE_BY_NAME = {"ready": WorkerState.READY, "draining": WorkerState.LEAVING}


class HttpAgent:
    """Implementation of ``Agent`` over the HTTP interface of a worker.

    ``renewals`` sends the renewals, which follow one another: other calls would take
    the connection that an acknowledgement needs.
    """

    def __init__(
        self, client: JsonHttpClient, renewals: JsonHttpClient, log: EventLog
    ) -> None:
        self._client = client
        self._renewals = renewals
        self._faults = FaultLog(log)

    async def start(
        self, worker: WorkerEntry, command: StartCommand, timeout_ms: Millis
    ) -> StartReply:
        """Send a command to start a run."""
        body = {
            "task": task_name(command.ref.task),
            "run": command.ref.run,
            "spec": command.payload,
            "deadlineMs": command.lease_until_ms,
            "fencingToken": command.token,
        }
        if command.saved:
            body["checkpointed"] = command.saved
        if command.ticket:
            body["ticket"] = command.ticket
        result = await self._send(worker, "/run-start", body, timeout_ms, LATE_REPLY_MS)
        if isinstance(result, Err):
            return StartReply(_result_from_error(result.err_value))
        response = result.ok_value
        clock_ms = self._faults.read(
            f"/run-start of {worker.worker_id}", parse_clock, response.data
        )
        return StartReply(_result_from_response(response), clock_ms)

    async def stop(
        self, worker: WorkerEntry, ref: RunRef, token: int, timeout_ms: Millis
    ) -> CommandResult:
        """Send a command to stop a run, or to prevent a start that is still to come."""
        body = {"task": task_name(ref.task), "run": ref.run, "fencingToken": token}
        return await self._send_command(worker, "/run-stop", body, timeout_ms)

    async def pace(
        self,
        worker: WorkerEntry,
        ref: RunRef,
        percent: int,
        token: int,
        timeout_ms: Millis,
    ) -> CommandResult:
        """Limit a run to ``percent`` of its full rate."""
        body = {
            "task": task_name(ref.task),
            "run": ref.run,
            "percent": percent,
            "fencingToken": token,
        }
        return await self._send_command(worker, "/pace", body, timeout_ms)

    async def renew_leases(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledgement: Acknowledgement | None,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        """Renew the lease of all runs; wait up to ``wait_ms`` for a run to end."""
        number, connection = acknowledgement or (0, None)
        body = {"fencingToken": token, "acknowledged": number}
        if lease_until_ms is not None:
            body["deadlineMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        result = await self._renewals.request(
            "POST",
            (worker.host, worker.port),
            "/hold",
            timeout_ms,
            body,
            headers=_headers(worker),
            connection=connection,
            late_ms=LATE_REPLY_MS,
        )
        if isinstance(result, Err):
            return Err(_result_from_error(result.err_value))
        response = result.ok_value
        if response.status != OK:
            return Err(_result_from_response(response))
        lease_reply = self._faults.read(
            f"/hold of {worker.worker_id}",
            parse_lease_reply,
            response.data,
        )
        if lease_reply is None:
            return Err(CommandResult.INVALID)
        return Ok(lease_reply._replace(connection=response.connection))

    async def _send_command(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout_ms: Millis,
    ) -> CommandResult:
        result = await self._send(worker, path, body, timeout_ms)
        if isinstance(result, Err):
            return _result_from_error(result.err_value)
        return _result_from_response(result.ok_value)

    async def _send(
        self,
        worker: WorkerEntry,
        path: str,
        body: dict[str, Any],
        timeout_ms: Millis,
        late_ms: Millis = 0,
    ) -> Result[Response, ExchangeError]:
        return await self._client.request(
            "POST",
            (worker.host, worker.port),
            path,
            timeout_ms,
            body,
            headers=_headers(worker),
            late_ms=late_ms,
        )


def _headers(worker: WorkerEntry) -> dict[str, str]:
    return {"Expected-Instance": worker.worker_id}


def _result_from_error(error: ExchangeError) -> CommandResult:
    if error.kind is ExchangeErrorKind.DISCONNECTED:
        return CommandResult.DISCONNECTED
    if error.kind is ExchangeErrorKind.NO_LISTENER:
        return CommandResult.NO_LISTENER
    if error.kind in UNSENT_KINDS:
        return CommandResult.NOT_SENT
    return CommandResult.UNKNOWN


def _result_from_response(response: Response) -> CommandResult:
    if response.status == OK:
        return CommandResult.ACCEPTED
    if response.status == CONFLICT and isinstance(response.data, dict):
        reason = response.data.get("reason")
        if isinstance(reason, str):
            return RESULT_BY_REASON.get(reason, CommandResult.INVALID)
    # Anything else may be the answer of a proxy, which has passed the request on.
    return RESULT_BY_STATUS.get(response.status, CommandResult.UNKNOWN)


def parse_clock(data: Any) -> Millis | None:
    """Return the worker's clock in a response; raise ``InputError`` if malformed."""
    if not isinstance(data, dict) or "clockMs" not in data:
        return None
    return read_int(data["clockMs"], "clockMs")


def task_name(ref: TaskRef) -> str:
    """Return the name of a task on the wire."""
    return f"{ref.job}.{ref.occurrence}.{ref.step}.{ref.number}"


def parse_task_name(name: Any) -> TaskRef:
    """Parse the name of a task on the wire; raise ``InputError`` if malformed."""
    return _parse_short_task_name(read_text(name, "task", 2 * MAX_NAME_CHARS))


# Every lease reply names all runs of a worker.
@lru_cache(MAX_KNOWN_TASK_NAMES)
def _parse_short_task_name(name: str) -> TaskRef:
    job, *numbers = name.rsplit(".", 3)
    if len(numbers) != 3 or not all(n.isascii() and n.isdigit() for n in numbers):
        raise InputError("task is not the name of a task")
    occurrence, step, number = map(int, numbers)
    return TaskRef(
        job,
        read_int(occurrence, "occurrence", 0, MAX_OCCURRENCE),
        read_int(step, "step", 0, MAX_TASK_NUMBER),
        read_int(number, "number", 0, MAX_TASK_NUMBER),
    )


def parse_lease_reply(data: Any) -> LeaseReply:
    """Parse the reply to a lease renewal; raise ``InputError`` if malformed.

    No row is left out: a run that is missing from the reply counts as over, and an end
    that is skipped would be acknowledged with the later ones.
    """
    data = read_object(data, "reply")
    running = read_list(data.get("running"), "running", MAX_LISTED_RUNS)
    ended = read_list(data.get("finished"), "finished", MAX_LISTED_RUNS)
    return LeaseReply(
        _read_rounded(data.get("clockMs"), "clockMs", MAX_WHOLE),
        read_int(data.get("born", 0), "born"),
        [_parse_running(row) for row in running],
        [_parse_ended(row) for row in ended],
        is_partial=len(ended) >= REPLY_ENDS,
    )


def _parse_running(row: Any) -> RunStatus:
    task, run, saved, percent, *figure = _read_fields(row, "running", 4)
    value = read_float(figure[0] if figure else 0.0, "figure", -MAX_FIGURE, MAX_FIGURE)
    return RunStatus(
        RunRef(parse_task_name(task), read_int(run, "run")),
        _read_saved(saved),
        min(_read_rounded(percent, "percent", MAX_WHOLE), MAX_PERCENT),
        max(value, 0.0),
    )


def _parse_ended(row: Any) -> EndedRun:
    number, task, run, how, saved = _read_fields(row, "finished", 5)[:5]
    return EndedRun(
        read_int(number, "number of the end"),
        RunRef(parse_task_name(task), read_int(run, "run")),
        read_choice(how, "how", RUN_END_BY_NAME),
        _read_saved(saved),
    )


def _read_fields(row: Any, name: str, count: int) -> list[Any]:
    fields = read_list(row, f"row of {name}", MAX_ROW_FIELDS)
    if len(fields) < count:
        raise InputError(f"row of {name} has less than {count} fields")
    return fields


def _read_rounded(value: Any, name: str, high: int) -> int:
    return int(read_float(value, name, 0, high))


def _read_saved(value: Any) -> str:
    return read_text("" if value is None else value, "checkpoint", MAX_SAVED_CHARS)


class HttpWorkerListing:
    """Cache of the entries that workers publish in the store."""

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        log: EventLog,
        reads_cold: bool = False,
    ) -> None:
        self._store = store
        # Counts down in each entry, so that it is left out where nothing depends on it.
        self._reads_cold = reads_cold
        self._clock = clock
        self._faults = FaultLog(log)
        self._entries: dict[str, WorkerEntry] = {}
        # By worker, the fields that its entry was built from.
        self._parsed: dict[str, dict[str, Any]] = {}
        self._version: int | None = None
        self._read_failures = CallFailures("worker list read", clock, log)
        self._watch_failures = CallFailures("worker list watch", clock, log)

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Wait until entries may have changed and return them by worker."""
        for _ in range(MAX_READS_PER_REFRESH):
            reply = await self._read_rows()
            if isinstance(reply, Err):
                return reply
            for row in reply.ok_value:
                self._apply_row(row)
            if len(reply.ok_value) < LARGE_REPLY_ROWS:
                break
        return Ok(self._entries)

    async def _read_rows(self) -> Result[list[StoredRow], Failure]:
        """Return all rows on the first read, afterwards only the changed ones."""
        sent_ms = self._clock.now_ms()
        if self._version is None:
            page = await read_all(self._store, WORKERS_TABLE, "", READ_TIMEOUT_MS)
            self._read_failures.record(page, sent_ms, READ_TIMEOUT_MS)
            if isinstance(page, Err):
                return page
            self._entries = {}
            self._parsed = {}
            self._version = page.ok_value.version
            return Ok(page.ok_value.rows)
        timeout_ms = WATCH_MS + READ_TIMEOUT_MS
        changes = await self._store.watch(
            WORKERS_TABLE, self._version, WATCH_MS, timeout_ms
        )
        self._watch_failures.record(changes, sent_ms, timeout_ms)
        if isinstance(changes, Err):
            if changes.err_value.code is Code.STORE_HISTORY_LOST:
                self._version = None
            return changes
        self._version = changes.ok_value.version
        return Ok(changes.ok_value.rows)

    def _apply_row(self, row: StoredRow) -> None:
        worker_id = row.at.key
        item = f"{WORKERS_TABLE}/{worker_id}"
        if row.is_deleted:
            self._faults.clear(item)
            self._entries.pop(worker_id, None)
            self._parsed.pop(worker_id, None)
            return
        entry = self._faults.read(item, self._parse_row, worker_id, row.value)
        if entry is None:
            self._entries.pop(worker_id, None)
            self._parsed.pop(worker_id, None)
        else:
            self._entries[worker_id] = entry

    def _parse_row(self, worker_id: str, value: bytes) -> WorkerEntry:
        """Parse an entry; most heartbeats of a fleet change no field that is used."""
        data = _parse_heartbeat(value)
        if data == self._parsed.get(worker_id):
            return self._entries[worker_id]
        entry = _build_worker_entry(worker_id, data)
        if not self._reads_cold:
            entry = entry._replace(cold_ms=0)
        self._parsed[worker_id] = data
        return entry


def parse_worker_entry(worker_id: str, value: bytes) -> WorkerEntry:
    """Parse the entry of a worker; raise ``InputError`` on an invalid field."""
    return _build_worker_entry(worker_id, _parse_heartbeat(value))


def _parse_heartbeat(value: bytes) -> dict[str, Any]:
    """Return the fields of an entry without those that each heartbeat changes."""
    data = read_object(parse_bounded_json(value), "entry")
    read_float(data.pop("sequence", 0), "sequence", 0, MAX_WHOLE)
    data.pop("clockMs", None)
    return data


def _build_worker_entry(worker_id: str, data: dict[str, Any]) -> WorkerEntry:
    host, port = _parse_address(data.get("address"))
    capacity = read_object(data.get("capacity"), "capacity")
    # The first label is the kind of the worker, the second its rack.
    labels = [
        read_text(label, "label", MAX_NAME_CHARS)
        for label in read_list(data.get("labels"), "labels", MAX_LABELS)
    ]
    _check_unused_fields(data)
    cold_ms = read_float(
        data.get("coldRemainingMs", 0), "coldRemainingMs", 0, MAX_WHOLE
    )
    return WorkerEntry(
        worker_id,
        host,
        port,
        read_text(data.get("service"), "service", MAX_NAME_CHARS, 1),
        read_text(data.get("zone"), "zone", MAX_NAME_CHARS, 1),
        Resources(
            read_int(capacity.get("cpu"), "cpu", 0, MAX_CPU),
            read_int(capacity.get("memMb"), "memMb", 0, MAX_MEMORY_MB),
            read_int(capacity.get("gpu", 0), "gpu", 0, MAX_ACCELERATORS),
        ),
        frozenset(labels),
        read_choice(data.get("state"), "state", STATE_BY_NAME),
        read_int(data.get("born", 0), "born"),
        read_text(data.get("machine", ""), "machine", MAX_NAME_CHARS),
        # The minimum time for which a draining worker keeps running.
        read_int(data.get("remainingMs", 0), "remainingMs", 0, MAX_REMAINING_MS),
        labels[1] if len(labels) > 1 else host,
        int(min(cold_ms, MAX_REMAINING_MS)),
    )


def _parse_address(value: Any) -> tuple[str, int]:
    host, separator, port = read_text(value, "address", MAX_NAME_CHARS).rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        raise InputError("address is not a host and a port")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as exc:
        raise InputError("the host is not an IP address") from exc
    if ip.is_unspecified or ip.is_multicast:
        raise InputError("the host is not the address of one machine")
    return str(ip), read_int(int(port), "port", 1, MAX_PORT)


def _check_unused_fields(data: dict[str, Any]) -> None:
    """Reject an entry whose other documented fields show another writer."""
    read_text(data.get("version", ""), "version", MAX_NAME_CHARS)
    read_float(data.get("slots", 0), "slots", 0, MAX_WHOLE)

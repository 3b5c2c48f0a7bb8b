"""Heartbeats and load reports of all cell owners, kept in one part of the store.

Each owner rewrites its row periodically, and all instances read every row in one scan.
A row contains the owner's epoch, so a superseded owner detects its replacement.
"""

import json
import zlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from result import Err, Ok, Result

from hyssopweir.call_failures import CallFailures
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.events import EventLog
from hyssopweir.input_bounds import (
    MAX_WHOLE,
    FaultLog,
    InputError,
    input_errors,
    parse_bounded_json,
    read_bool,
    read_int,
    read_list,
    read_map,
    read_object,
    read_text,
)
from hyssopweir.job_admission import CellDemand, read_demand
from hyssopweir.resources import Resources
from hyssopweir.row_commits import AdaptiveTimeout, OwnershipLostError
from hyssopweir.row_store import (
    ABSENT,
    Committed,
    Conflict,
    Remove,
    RowKey,
    RowStore,
    StoredRow,
    Write,
    read_all,
)

HEARTBEATS_TABLE = "beats"
# Key of the row of an instance that could take over a cell, before its name. No cell
# has such a name.
CANDIDATE_PREFIX = "candidate/"

HEARTBEAT_INTERVAL_MS: Millis = 250
# Covers three missed heartbeats while the store replies ten times slower than usual.
TAKEOVER_MS: Millis = 900
POLL_MS: Millis = 300
# With several cells, every fourth instance that owns none polls at ``POLL_MS`` and the
# rest at this interval. It must stay below the store silence after which callers are
# refused.
SLOW_POLL_MS: Millis = 600
FAST_POLLER_DIVISOR = 4
# Poll interval while any cell has no owner.
VACANT_CELL_POLL_MS: Millis = 60
CALL_TIMEOUT_MS: Millis = 800
# A heartbeat that waits for a silent store delays the proof of ownership after it.
MAX_WRITE_TIMEOUT_MS: Millis = 500
RETRY_MS: Millis = 60
# Older counts of pending jobs are not reported.
MAX_QUEUE_COUNT_AGE_MS: Millis = 1_500
# Admission control doesn't use older demands.
MAX_DEMAND_AGE_MS: Millis = 1_500
# The store handles 250 transactions per second for one part. Beyond this number of
# cells, the heartbeat interval grows.
MAX_CELLS_AT_FULL_RATE = 40
# Services and queues that a heartbeat may list.
MAX_LISTED = 100_000
# Task sizes and priorities that it may list for a service.
MAX_SIZES = 32
MAX_PRIORITIES = 4


class SpareCapacity(NamedTuple):
    """Spare capacity of a cell for one service, in thousandths of a processor.

    ``waiting_cpu`` is what the waiting tasks require that a worker of the cell could
    run. ``largest`` lists free capacities of workers, of which one fits any task
    that fits a worker of the cell.
    """

    free_cpu: int = 0
    waiting_cpu: int = 0
    largest: tuple[Resources, ...] = ()

    @property
    def spare_cpu(self) -> int:
        """Return the free processors that no task of the cell waits for."""
        return self.free_cpu - self.waiting_cpu


class FittingTasks(NamedTuple):
    """How many tasks of each standard size fit on the workers of a cell now.

    ``waiting`` has the priorities of waiting tasks that reserve processors, each with
    the thousandths of a processor that they require.
    """

    counts: tuple[int, ...] = ()
    waiting: tuple[tuple[int, int], ...] = ()


class Heartbeat(NamedTuple):
    """Heartbeat row of a cell: its owner and the spare capacity of each service.

    ``life`` identifies one process lifetime of the instance. ``queues`` counts the
    pending jobs of each queue. ``reclaimable`` lists by service capacities of workers
    once all tasks that end have ended, of which one fits whatever fits any.
    ``long_leases`` names workers with leases that a successor would take for shorter.
    ``lost`` lists by service what lost endless tasks need that no worker of the cell
    can take. ``fitting`` states by service how many tasks could start. ``demand`` is
    None while the owner doesn't know it. ``capacity`` is what the owner can carry for
    each of its cells, 0 if unknown, in thousandths of what a loaded cell needs. A
    released cell may name its ``successor``.
    """

    instance: str
    life: str
    epoch: int
    number: int
    is_released: bool = False
    rooms: Mapping[str, SpareCapacity] = {}
    queues: Mapping[str, int] = {}
    version: int = ABSENT
    reclaimable: Mapping[str, tuple[Resources, ...]] = {}
    long_leases: tuple[str, ...] = ()
    lost: Mapping[str, tuple[Resources, ...]] = {}
    fitting: Mapping[str, FittingTasks] = {}
    demand: CellDemand | None = None
    capacity: int = 0
    successor: str = ""


class Candidate(NamedTuple):
    """Large instance without a cell that could take one over; see ``cell_moves``."""

    instance: str
    life: str
    capacity: int
    version: int = ABSENT


class HeartbeatResult(NamedTuple):
    """Result of a heartbeat write, and the row version that the next write expects."""

    is_stored: bool
    version: int


def interval_factor(cells: int) -> int:
    """Return the multiplier of the heartbeat interval and the timeouts based on it."""
    return -(-cells // MAX_CELLS_AT_FULL_RATE)


def poll_interval_ms(instance: str, cells: int, is_owner: bool) -> Millis:
    """Return the interval at which an instance polls the heartbeats."""
    is_fast_poller = zlib.crc32(instance.encode()) % FAST_POLLER_DIVISOR == 0
    if is_owner or is_fast_poller or cells == 1:
        return POLL_MS * interval_factor(cells)
    return SLOW_POLL_MS * interval_factor(cells)


def heartbeat_key(cell: str) -> RowKey:
    """Return the key of a cell's heartbeat row."""
    return RowKey(HEARTBEATS_TABLE, "", cell)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Serialize a heartbeat for the store, without its row version."""
    data = heartbeat._asdict()
    del data["version"]
    if heartbeat.demand is None:
        del data["demand"]
    return json.dumps(data, separators=(",", ":")).encode()


def decode_heartbeat(row: StoredRow) -> Heartbeat:
    """Parse a row; raise ``InputError`` if malformed.

    Fields that this version does not know are ignored.
    """
    data = read_object(parse_bounded_json(row.value), "heartbeat")
    rooms = read_map(data.get("rooms"), "rooms", MAX_LISTED)
    queues = read_map(data.get("queues", {}), "queues", MAX_LISTED)
    reclaimable = read_map(data.get("reclaimable", {}), "reclaimable", MAX_LISTED)
    long_leases = read_list(data.get("long_leases", []), "long_leases", MAX_LISTED)
    lost = read_map(data.get("lost", {}), "lost", MAX_LISTED)
    fitting = read_map(data.get("fitting", {}), "fitting", MAX_LISTED)
    return Heartbeat(
        read_text(data.get("instance"), "instance"),
        read_text(data.get("life"), "life"),
        read_int(data.get("epoch"), "epoch"),
        read_int(data.get("number"), "number"),
        read_bool(data.get("is_released"), "is_released"),
        {
            read_text(service, "service"): _read_room(room)
            for service, room in rooms.items()
        },
        {read_text(queue, "queue"): read_int(n, "jobs") for queue, n in queues.items()},
        row.version,
        _read_amounts_by_service(reclaimable, "reclaimable"),
        tuple(read_text(worker, "worker") for worker in long_leases),
        _read_amounts_by_service(lost, "lost"),
        {
            read_text(service, "service"): _read_fitting(value)
            for service, value in fitting.items()
        },
        read_demand(data.get("demand")),
        read_int(data.get("capacity", 0), "capacity"),
        read_text(data.get("successor", ""), "successor"),
    )


def encode_candidate(candidate: Candidate, number: int) -> bytes:
    """Serialize an announcement; earlier builds read it as a released cell."""
    heartbeat = Heartbeat(candidate.instance, candidate.life, 0, number, True)
    return encode_heartbeat(heartbeat._replace(capacity=candidate.capacity))


def decode_candidate(row: StoredRow) -> Candidate:
    """Parse the announcement of a candidate; raise ``InputError`` if malformed."""
    heartbeat = decode_heartbeat(row)
    if row.at.key != CANDIDATE_PREFIX + heartbeat.instance:
        raise InputError("the row of a candidate names another instance")
    return Candidate(
        heartbeat.instance, heartbeat.life, heartbeat.capacity, row.version
    )


def _read_amounts_by_service(
    values: Mapping[str, Any], name: str
) -> dict[str, tuple[Resources, ...]]:
    return {
        read_text(service, "service"): _read_amounts(amounts, name)
        for service, amounts in values.items()
    }


def _read_room(value: Any) -> SpareCapacity:
    fields = read_list(value, "room", len(SpareCapacity._fields))
    with input_errors("room"):
        # Earlier builds state the number of waiting jobs in its place.
        free_cpu, waiting_cpu = fields[:2]
    # Rows of an earlier build have no third field.
    largest = fields[2] if len(fields) > 2 else []
    return SpareCapacity(
        # Unknown runs may take more than a worker has.
        read_int(free_cpu, "free_cpu", -MAX_WHOLE, MAX_WHOLE),
        read_int(waiting_cpu, "waiting_cpu"),
        _read_amounts(largest, "largest"),
    )


def _read_fitting(value: Any) -> FittingTasks:
    with input_errors("fitting"):
        counts, waiting = read_list(value, "fitting", len(FittingTasks._fields))
        pairs = [
            read_list(pair, "waiting", 2)
            for pair in read_list(waiting, "waiting", MAX_PRIORITIES)
        ]
        return FittingTasks(
            tuple(
                read_int(count, "count")
                for count in read_list(counts, "counts", MAX_SIZES)
            ),
            tuple(
                (read_int(priority, "priority"), read_int(cpu, "waiting"))
                for priority, cpu in pairs
            ),
        )


def _read_amounts(value: Any, name: str) -> tuple[Resources, ...]:
    return tuple(_read_free(free) for free in read_list(value, name, MAX_LISTED))


def _read_free(value: Any) -> Resources:
    amounts = read_list(value, "free", len(Resources._fields))
    return Resources(
        *(read_int(amount, "free", -MAX_WHOLE, MAX_WHOLE) for amount in amounts)
    )


def unreadable_heartbeat(row: StoredRow) -> Heartbeat:
    """Return a heartbeat of an unknown owner.

    Its owner is alive as long as the row changes, and can be replaced afterwards.
    """
    return Heartbeat("", "", 0, 0, version=row.version)


class CellHeartbeats:
    """Reader of the heartbeats of all cells and writer of those of owned cells.

    ``on_reply`` is called after each successful read of the store.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        cells: int,
        on_reply: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._store = store
        self._faults = FaultLog(log)
        self._on_reply = on_reply
        self._clock = clock
        self._log = log
        self._timer = AdaptiveTimeout()
        self._read_failures = CallFailures("heartbeat read", clock, log)
        self._write_failures: dict[str, CallFailures] = {}
        self.interval_ms = HEARTBEAT_INTERVAL_MS * interval_factor(cells)
        self.known: dict[str, Heartbeat] = {}
        # Announced instances without a cell, by name.
        self.candidates: dict[str, Candidate] = {}
        self.reply_ms: Millis = 20
        self._read_ms: Millis | None = None
        # By cell, the version of the heartbeat and the time of the last read before it.
        self._versions: dict[str, tuple[int, Millis | None]] = {}

    async def read(self) -> Result[Mapping[str, Heartbeat], Failure]:
        """Return the latest heartbeat of each cell that has ever had an owner."""
        sent_ms = self._clock.now_ms()
        page = await read_all(self._store, HEARTBEATS_TABLE, "", CALL_TIMEOUT_MS)
        self._read_failures.record(page, sent_ms, CALL_TIMEOUT_MS)
        if isinstance(page, Err):
            return page
        self.reply_ms = self._clock.now_ms() - sent_ms
        self._on_reply()
        rows = page.ok_value.rows
        self.known = {
            row.at.key: self._decode(row)
            for row in rows
            if not row.at.key.startswith(CANDIDATE_PREFIX)
        }
        candidates = (
            self._faults.read(f"{HEARTBEATS_TABLE}/{row.at.key}", decode_candidate, row)
            for row in rows
            if row.at.key.startswith(CANDIDATE_PREFIX)
        )
        self.candidates = {found.instance: found for found in candidates if found}
        for cell, heartbeat in self.known.items():
            version, _ = self._versions.get(cell, (ABSENT, None))
            if version != heartbeat.version:
                # The first row that is seen of a cell may be of any age.
                since_ms = self._read_ms if cell in self._versions else None
                self._versions[cell] = (heartbeat.version, since_ms)
        self._read_ms = sent_ms
        return Ok(self.known)

    async def announce(self, candidate: Candidate, number: int) -> None:
        """Write the row of a candidate; the next one repeats it if this one fails."""
        known = self.candidates.get(candidate.instance)
        key = heartbeat_key(CANDIDATE_PREFIX + candidate.instance)
        expected = known.version if known else ABSENT
        write = Write(key, encode_candidate(candidate, number), expected)
        await self._store.transact([write], CALL_TIMEOUT_MS)

    async def withdraw(self, instance: str) -> None:
        """Remove the row of a candidate, if there is one."""
        known = self.candidates.get(instance)
        if known is not None:
            key = heartbeat_key(CANDIDATE_PREFIX + instance)
            await self._store.transact([Remove(key, known.version)], CALL_TIMEOUT_MS)

    def _decode(self, row: StoredRow) -> Heartbeat:
        item = f"{HEARTBEATS_TABLE}/{row.at.key}"
        heartbeat = self._faults.read(item, decode_heartbeat, row)
        return unreadable_heartbeat(row) if heartbeat is None else heartbeat

    def pending(self, queue: str) -> int | None:
        """Return the number of pending jobs in a queue, None without recent data."""
        now_ms = self._clock.now_ms()
        if self._read_ms is None or now_ms - self._read_ms > MAX_QUEUE_COUNT_AGE_MS:
            return None
        return sum(heartbeat.queues.get(queue, 0) for heartbeat in self.known.values())

    def demands(self, cells: int) -> dict[str, CellDemand] | None:
        """Return the demands of all cells, None if one is unknown or too old."""
        now_ms = self._clock.now_ms()
        demands: dict[str, CellDemand] = {}
        for cell, heartbeat in self.known.items():
            _, since_ms = self._versions[cell]
            is_recent = since_ms is not None and now_ms - since_ms <= MAX_DEMAND_AGE_MS
            if not is_recent or heartbeat.is_released or heartbeat.demand is None:
                return None
            demands[cell] = heartbeat.demand
        return demands if len(demands) == cells else None

    async def write(self, cell: str, heartbeat: Heartbeat) -> HeartbeatResult:
        """Replace the heartbeat row if its version still matches.

        Raise ``OwnershipLostError`` if an owner with a later epoch has written it.
        """
        write = Write(
            heartbeat_key(cell), encode_heartbeat(heartbeat), heartbeat.version
        )
        sent_ms = self._clock.now_ms()
        timeout_ms = min(self._timer.timeout_ms(), MAX_WRITE_TIMEOUT_MS)
        reply = await self._store.transact([write], timeout_ms)
        self._timer.record_reply(reply, self._clock.now_ms() - sent_ms)
        self._failures_of(cell).record(reply, sent_ms, timeout_ms)
        if isinstance(reply, Err):
            await self._clock.sleep_ms(RETRY_MS)
            return HeartbeatResult(False, heartbeat.version)
        outcome = reply.ok_value
        if isinstance(outcome, Committed):
            return HeartbeatResult(True, outcome.version)
        version = self._version_after_conflict(outcome, cell, heartbeat)
        return HeartbeatResult(False, version)

    def _version_after_conflict(
        self, conflict: Conflict, cell: str, heartbeat: Heartbeat
    ) -> int:
        row = conflict.rows.get(heartbeat_key(cell))
        if row is None:
            return ABSENT
        # An unreadable row is replaced; a later owner is found by the guard of commits.
        if self._decode(row).epoch > heartbeat.epoch:
            raise OwnershipLostError
        return row.version

    def _failures_of(self, cell: str) -> CallFailures:
        if cell not in self._write_failures:
            self._write_failures[cell] = CallFailures(
                "heartbeat write", self._clock, self._log, cell=cell
            )
        return self._write_failures[cell]


class FailureDetector:
    """Detector that measures how long each cell has gone without a new heartbeat."""

    def __init__(self, cells: int) -> None:
        self._takeover_ms = TAKEOVER_MS * interval_factor(cells)
        self._versions: dict[str, int] = {}
        self._silent_ms: dict[str, Millis] = {}

    def record_heartbeats(
        self,
        heartbeats: Mapping[str, Heartbeat],
        elapsed_ms: Millis,
        took_ms: Millis = 0,
    ) -> None:
        """Compare heartbeats with those read ``elapsed_ms`` earlier.

        The read took ``took_ms``, in which a new heartbeat may have been stored.
        """
        for cell, heartbeat in heartbeats.items():
            if self._versions.get(cell) == heartbeat.version:
                silent_ms = self._silent_ms.get(cell, 0)
                self._silent_ms[cell] = silent_ms + min(elapsed_ms, 2 * SLOW_POLL_MS)
            else:
                self._versions[cell] = heartbeat.version
                self._silent_ms[cell] = -took_ms

    def record_outage(self) -> None:
        """Reset all timers: silence counts only while the store replies."""
        self._silent_ms.clear()

    def silent_ms(self, cell: str) -> Millis:
        """Return the time since the last new heartbeat was seen."""
        return self._silent_ms.get(cell, 0)

    def is_silent(self, cell: str) -> bool:
        """Return whether the owner's silence has reached the takeover timeout."""
        return self.silent_ms(cell) >= self._takeover_ms

"""Partitioning of workers and jobs into cells, stored once in the platform's store.

A worker maps to a cell by its rack and a job by the hash of its id, so all instances
agree without exchanging messages. Racks are distributed so that each cell has about the
same capacity for every service.
"""

import json
import zlib
from collections.abc import Callable, Iterable, Mapping, Set
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from hyssopweir.agents import WorkerEntry
from hyssopweir.call_failures import CallFailures
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.input_bounds import (
    FaultLog,
    InputError,
    parse_bounded_json,
    read_int,
    read_map,
    read_object,
)
from hyssopweir.row_store import (
    ABSENT,
    Committed,
    Conflict,
    RowKey,
    RowStore,
    StoredRow,
    Write,
    read_all,
)

LAYOUTS_TABLE = "layouts"
LAYOUT_KEY = RowKey(LAYOUTS_TABLE, "", "cells")
PLANNER_KEY = RowKey(LAYOUTS_TABLE, "", "planner")

# An owner with 34 workers and 92 task starts per second uses 0.35 of a core.
WORKERS_PER_CELL = 50
# Minimum number of racks of every service in a cell, so that the jobs of a lost rack
# fit on the others.
MIN_RACKS_PER_CELL = 2
# The store allows 100 tables; cells beyond this number share request tables.
MAX_REQUEST_TABLES = 80
# The layout is planned once the number of workers has not changed for this time; after
# a start of the whole system, workers register within it.
SETTLE_MS: Millis = 2_000
MAX_SETTLE_MS: Millis = 7_000
# If no layout exists after this time, the planner has failed and others plan as well.
PLANNER_TIMEOUT_MS: Millis = 4_500
MAX_CELLS = 10_000
MAX_RACKS = 1_000_000
POLL_INTERVAL_MS: Millis = 250
CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60


class CellLayout(NamedTuple):
    """Number of cells, and the cell number of each rack known when it was planned."""

    size: int
    racks: Mapping[str, int] = {}

    def cells(self) -> list[str]:
        """Return the names of all cells, in numerical order."""
        return [cell_name(number) for number in range(self.size)]

    def cell_of_job(self, job: str) -> str:
        """Return the cell that accepts a job, by the hash of its id."""
        return cell_name(zlib.crc32(job.encode()) % self.size)

    def cell_of_worker(self, entry: WorkerEntry) -> str:
        """Return the cell whose owner alone sends commands to a worker."""
        number = self.racks.get(entry.rack)
        if number is None or number >= self.size:
            number = zlib.crc32(entry.rack.encode()) % self.size
        return cell_name(number)


def cell_name(number: int) -> str:
    """Return the name of a cell, which is also its partition key in each table."""
    return f"c{number}"


def cell_number(cell: str) -> int:
    """Parse the number from the name of a cell."""
    return int(cell[1:])


def requests_table(cell: str) -> str:
    """Return the table of a cell's accepted jobs, which its owner watches."""
    return f"requests-{cell_number(cell) % MAX_REQUEST_TABLES}"


def request_key(cell: str, key: str) -> RowKey:
    """Return the row key of an accepted job or a cancellation."""
    return RowKey(requests_table(cell), cell, key)


def plan_layout(entries: Iterable[WorkerEntry]) -> CellLayout:
    """Assign racks to cells, balancing the capacity of each service."""
    capacity: dict[str, dict[str, int]] = {}
    workers = 0
    for entry in entries:
        workers += 1
        services = capacity.setdefault(entry.rack, {})
        services[entry.service] = services.get(entry.service, 0) + entry.room.cpu
    count = max(min(-(-workers // WORKERS_PER_CELL), _max_cells(capacity)), 1)
    loads: list[dict[str, int]] = [{} for _ in range(count)]
    racks: dict[str, int] = {}
    if count == 1:
        return CellLayout(1)
    for rack in sorted(
        capacity, key=lambda rack: (-sum(capacity[rack].values()), rack)
    ):
        cell = min(
            range(count), key=lambda cell: _load_with(loads[cell], capacity[rack])
        )
        racks[rack] = cell
        for service, cpu in capacity[rack].items():
            loads[cell][service] = loads[cell].get(service, 0) + cpu
    return CellLayout(count, racks)


def _max_cells(capacity: Mapping[str, Mapping[str, int]]) -> int:
    racks: dict[str, int] = {}
    for services in capacity.values():
        for service in services:
            racks[service] = racks.get(service, 0) + 1
    return min(racks.values(), default=1) // MIN_RACKS_PER_CELL


def _load_with(load: Mapping[str, int], added: Mapping[str, int]) -> tuple[int, int]:
    return max(load.get(service, 0) for service in added), sum(load.values())


def encode_layout(layout: CellLayout) -> bytes:
    """Serialize a layout for the store."""
    data = {"cells": layout.size, "racks": layout.racks}
    return json.dumps(data, separators=(",", ":")).encode()


def decode_layout(body: bytes) -> CellLayout:
    """Parse a layout; raise ``InputError`` if it is malformed."""
    data = read_object(parse_bounded_json(body), "layout")
    size = read_int(data.get("cells"), "cells", 1, MAX_CELLS)
    racks = read_map(data.get("racks"), "racks", MAX_RACKS)
    return CellLayout(
        size,
        {rack: read_int(cell, "rack", 0, size - 1) for rack, cell in racks.items()},
    )


class WorkerListing(Protocol):
    """Source of the workers that are registered with the platform."""

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Wait for a possible change, then return the entries by worker id."""
        ...


class CellWorkers:
    """Worker listing restricted to one cell."""

    def __init__(self, listing: WorkerListing, layout: CellLayout, cell: str) -> None:
        self._listing = listing
        self._layout = layout
        self._cell = cell

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Wait for a possible change, then return the cell's entries by worker id."""
        reply = await self._listing.refresh()
        if isinstance(reply, Err):
            return reply
        return Ok(
            {
                worker_id: entry
                for worker_id, entry in reply.ok_value.items()
                if self._layout.cell_of_worker(entry) == self._cell
            }
        )


class LayoutAgreement:
    """Agreement on a layout that is stored, or planned once the workers registered.

    Only one instance, the planner, reads the long list of workers; the others wait for
    its layout. ``known_services`` returns the services with a queue, if known.
    """

    def __init__(
        self,
        instance: str,
        store: RowStore,
        listing: WorkerListing,
        clock: Clock,
        log: EventLog,
        known_services: Callable[[], Set[str]] = frozenset,
    ) -> None:
        self._instance = instance
        self._known_services = known_services
        self._store = store
        self._listing = listing
        self._clock = clock
        self._log = log
        self._read_failures = CallFailures("layout read", clock, log)
        self._write_failures = CallFailures("layout write", clock, log)
        self._faults = FaultLog(log)

    async def wait_for_layout(self) -> CellLayout:
        """Wait for the layout that all instances share, and plan it if necessary."""
        started_ms = self._clock.now_ms()
        is_planner = False
        while True:
            layout = await self._read()
            if layout is not None:
                self._log.emit(
                    Event.LAYOUT_KNOWN, cells=layout.size, racks=len(layout.racks)
                )
                return layout
            waited_ms = self._clock.now_ms() - started_ms
            is_planner = is_planner or await self._become_planner()
            if is_planner or waited_ms >= PLANNER_TIMEOUT_MS:
                await self._propose(await self._plan())
            else:
                await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def _become_planner(self) -> bool:
        """Try to become the planner; return whether this instance was the first."""
        write = Write(PLANNER_KEY, self._instance.encode(), ABSENT)
        reply = await self._write(write)
        return isinstance(reply, Ok) and isinstance(reply.ok_value, Committed)

    async def _plan(self) -> CellLayout:
        """Plan a layout once the number of workers has settled."""
        started_ms = unchanged_since_ms = self._clock.now_ms()
        worker_count = 0
        while True:
            reply = await self._listing.refresh()
            now_ms = self._clock.now_ms()
            if isinstance(reply, Err):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            entries = self._usable_entries(reply.ok_value)
            if len(entries) != worker_count:
                worker_count, unchanged_since_ms = len(entries), now_ms
            is_settled = worker_count > 0 and now_ms - unchanged_since_ms >= SETTLE_MS
            if is_settled or now_ms - started_ms >= MAX_SETTLE_MS:
                return plan_layout(entries)
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    def _usable_entries(self, entries: Mapping[str, WorkerEntry]) -> list[WorkerEntry]:
        """Return the entries of services with a queue, all before a configuration.

        One entry of another service would allow only a single cell.
        """
        services = self._known_services()
        usable = []
        for worker_id, entry in entries.items():
            if services and entry.service not in services:
                exc = InputError("the service has no queue")
                self._faults.record(f"worker {worker_id}", exc)
                continue
            usable.append(entry)
        return usable

    async def _read(self) -> CellLayout | None:
        """Return the stored layout, None if none has been written.

        A layout that can't be read may be in use by others, so that it is not replaced.
        """
        delay_ms = RETRY_MS
        while True:
            sent_ms = self._clock.now_ms()
            page = await read_all(self._store, LAYOUTS_TABLE, "", CALL_TIMEOUT_MS)
            self._read_failures.record(page, sent_ms, CALL_TIMEOUT_MS)
            if isinstance(page, Ok):
                try:
                    return _find_layout(page.ok_value.rows)
                except InputError as exc:
                    self._faults.record(LAYOUTS_TABLE, exc)
                    delay_ms = POLL_INTERVAL_MS
            await self._clock.sleep_ms(delay_ms)

    async def _propose(self, layout: CellLayout) -> None:
        reply = await self._write(Write(LAYOUT_KEY, encode_layout(layout), ABSENT))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Committed):
            self._log.emit(Event.LAYOUT_WRITTEN, cells=layout.size)

    async def _write(self, write: Write) -> Result[Committed | Conflict, Failure]:
        sent_ms = self._clock.now_ms()
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        self._write_failures.record(reply, sent_ms, CALL_TIMEOUT_MS)
        return reply


def _find_layout(rows: list[StoredRow]) -> CellLayout | None:
    for row in rows:
        if row.at == LAYOUT_KEY:
            return decode_layout(row.value)
    return None

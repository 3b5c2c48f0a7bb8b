"""Division of workers and jobs among cells, agreed on once in the platform's store.

A worker belongs to the cell of its rack and a job to the cell of its id, so that all
instances agree without a message. Racks are dealt so that each cell has about the same
capacity of every service.
"""

import json
import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from hyssopweir.agents import WorkerEntry
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.row_store import (
    ABSENT,
    Committed,
    RowKey,
    RowStore,
    StoredRow,
    Write,
    read_all,
)

LAYOUTS = "layouts"
LAYOUT_AT = RowKey(LAYOUTS, "", "cells")
PLANNER_AT = RowKey(LAYOUTS, "", "planner")

# An owner with 34 workers and 92 task starts a second takes 0.35 of a core.
WORKERS_PER_CELL = 50
# Each cell gets at least that many racks of every service, so that the loss of one
# leaves room for its jobs.
RACKS_PER_CELL = 2
# The store takes 100 tables; cells beyond that number share the tables of requests.
MOST_REQUEST_TABLES = 80
# Workers register within that time of the start of the whole system.
SETTLE_MS: Millis = 2_000
LONGEST_SETTLE_MS: Millis = 7_000
# The first planner has written the layout by then, or has failed.
PLANNER_MS: Millis = 4_500
WAIT_MS: Millis = 250
CALL_TIMEOUT_MS: Millis = 800
RETRY_MS: Millis = 60


class CellLayout(NamedTuple):
    """Hold the number of cells, and the cell of each rack known at that time."""

    size: int
    racks: Mapping[str, int] = {}

    def cells(self) -> list[str]:
        """Return the names of all cells."""
        return [cell_name(number) for number in range(self.size)]

    def cell_of_job(self, job: str) -> str:
        """Return the cell that accepts a job."""
        return cell_name(zlib.crc32(job.encode()) % self.size)

    def cell_of_worker(self, entry: WorkerEntry) -> str:
        """Return the cell whose owner alone orders a worker."""
        number = self.racks.get(entry.rack)
        if number is None or number >= self.size:
            number = zlib.crc32(entry.rack.encode()) % self.size
        return cell_name(number)


def cell_name(number: int) -> str:
    """Return the name of a cell, which is also its part of each table."""
    return f"c{number}"


def cell_number(cell: str) -> int:
    """Return the number in the name of a cell."""
    return int(cell[1:])


def requests_table(cell: str) -> str:
    """Return the table of a cell's accepted jobs, whose feed wakes its owner."""
    return f"requests-{cell_number(cell) % MOST_REQUEST_TABLES}"


def request_key(cell: str, key: str) -> RowKey:
    """Return the row of an accepted job or of a cancellation."""
    return RowKey(requests_table(cell), cell, key)


def plan_layout(entries: Iterable[WorkerEntry]) -> CellLayout:
    """Deal racks to cells, so that each has about the same capacity of each service."""
    capacity: dict[str, dict[str, int]] = {}
    workers = 0
    for entry in entries:
        workers += 1
        services = capacity.setdefault(entry.rack, {})
        services[entry.service] = services.get(entry.service, 0) + entry.room.cpu
    count = max(min(-(-workers // WORKERS_PER_CELL), _most_cells(capacity)), 1)
    loads: list[dict[str, int]] = [{} for _ in range(count)]
    racks: dict[str, int] = {}
    if count == 1:
        return CellLayout(1)
    for rack in sorted(
        capacity, key=lambda rack: (-sum(capacity[rack].values()), rack)
    ):
        cell = min(range(count), key=lambda cell: _load(loads[cell], capacity[rack]))
        racks[rack] = cell
        for service, cpu in capacity[rack].items():
            loads[cell][service] = loads[cell].get(service, 0) + cpu
    return CellLayout(count, racks)


def _most_cells(capacity: Mapping[str, Mapping[str, int]]) -> int:
    racks: dict[str, int] = {}
    for services in capacity.values():
        for service in services:
            racks[service] = racks.get(service, 0) + 1
    return min(racks.values(), default=1) // RACKS_PER_CELL


def _load(load: Mapping[str, int], added: Mapping[str, int]) -> tuple[int, int]:
    return max(load.get(service, 0) for service in added), sum(load.values())


def encode_layout(layout: CellLayout) -> bytes:
    """Return the stored form."""
    data = {"cells": layout.size, "racks": layout.racks}
    return json.dumps(data, separators=(",", ":")).encode()


def decode_layout(body: bytes) -> CellLayout:
    """Return the layout; raise ``ValueError`` or ``KeyError`` on junk."""
    data = json.loads(body)
    return CellLayout(int(data["cells"]), dict(data["racks"]))


class WorkerListing(Protocol):
    """List the workers that the platform knows."""

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Return the entries by worker once they may have changed."""
        ...


class CellWorkers:
    """List the workers of one cell."""

    def __init__(self, listing: WorkerListing, layout: CellLayout, cell: str) -> None:
        self._listing = listing
        self._layout = layout
        self._cell = cell

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        """Return the cell's entries by worker once they may have changed."""
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
    """Find the layout in the store, or write it once the workers have registered.

    One instance reads the list of workers, which is long, and the others wait for it.
    """

    def __init__(
        self,
        instance: str,
        store: RowStore,
        listing: WorkerListing,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._instance = instance
        self._store = store
        self._listing = listing
        self._clock = clock
        self._log = log

    async def reach(self) -> CellLayout:
        """Return the layout that holds for all instances."""
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
            if is_planner or waited_ms >= PLANNER_MS:
                await self._propose(await self._plan())
            else:
                await self._clock.sleep_ms(WAIT_MS)

    async def _become_planner(self) -> bool:
        """Tell whether this instance is the first to ask for that."""
        write = Write(PLANNER_AT, self._instance.encode(), ABSENT)
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        return isinstance(reply, Ok) and isinstance(reply.ok_value, Committed)

    async def _plan(self) -> CellLayout:
        """Return a layout of the workers once their number stays the same."""
        started_ms = since_ms = self._clock.now_ms()
        known = 0
        while True:
            reply = await self._listing.refresh()
            now_ms = self._clock.now_ms()
            if isinstance(reply, Err):
                await self._clock.sleep_ms(RETRY_MS)
                continue
            entries = reply.ok_value
            if len(entries) != known:
                known, since_ms = len(entries), now_ms
            is_settled = known > 0 and now_ms - since_ms >= SETTLE_MS
            if is_settled or now_ms - started_ms >= LONGEST_SETTLE_MS:
                return plan_layout(entries.values())
            await self._clock.sleep_ms(WAIT_MS)

    async def _read(self) -> CellLayout | None:
        """Return the stored layout, None if none was written."""
        while True:
            page = await read_all(self._store, LAYOUTS, "", CALL_TIMEOUT_MS)
            if isinstance(page, Ok):
                return _layout_in(page.ok_value.rows)
            await self._clock.sleep_ms(RETRY_MS)

    async def _propose(self, layout: CellLayout) -> None:
        write = Write(LAYOUT_AT, encode_layout(layout), ABSENT)
        reply = await self._store.transact([write], CALL_TIMEOUT_MS)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, Committed):
            self._log.emit(Event.LAYOUT_WRITTEN, cells=layout.size)


def _layout_in(rows: list[StoredRow]) -> CellLayout | None:
    for row in rows:
        if row.at == LAYOUT_AT:
            return decode_layout(row.value)
    return None

"""How workers and jobs are divided among cells, and how jobs move between them."""

import asyncio
from collections.abc import Mapping

import pytest
from result import Result

from hyssopweir.agents import WorkerEntry
from hyssopweir.cell_heartbeats import FailureDetector, Heartbeat, SpareCapacity
from hyssopweir.cell_layout import (
    PLANNER_AT,
    CellLayout,
    LayoutAgreement,
    decode_layout,
    encode_layout,
    plan_layout,
    requests_table,
)
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.job_transfers import target_of
from hyssopweir.row_commits import commit_pause_ms
from hyssopweir.row_store import ABSENT, Write
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from tests.cell_simulation import (
    CellSimulation,
    Listing,
    build_entry,
    build_step,
    build_workflow,
)
from tests.row_fakes import FakeRowStore, RowFaults
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED


def entries_of(racks: int, per_rack: int, *services: str) -> list[WorkerEntry]:
    return [
        build_entry(
            rack * 100 + number,
            rack=f"r{rack}",
            service=services[rack % len(services)],
        )
        for rack in range(racks)
        for number in range(per_rack)
    ]


@pytest.mark.parametrize(
    ("racks", "per_rack", "services", "cells"),
    [
        (3, 8, ("a",), 1),
        (5, 8, ("a",), 1),
        (7, 8, ("a",), 2),
        (13, 20, ("a",), 6),
        (22, 8, ("a",), 4),
        (22, 8, ("a", "b"), 4),
        (2, 100, ("a",), 1),
        (325, 20, ("a",), 130),
        (325, 20, ("a", "b", "c"), 54),
    ],
)
def test_layout_deals_each_service_evenly(
    racks: int, per_rack: int, services: tuple[str, ...], cells: int
) -> None:
    """Guards against a cell that lacks workers of a service."""
    entries = entries_of(racks, per_rack, *services)
    layout = plan_layout(entries)
    assert layout.size == cells
    assert layout == plan_layout(reversed(entries))
    counts = {
        (cell, service): sum(
            layout.cell_of_worker(entry) == cell and entry.service == service
            for entry in entries
        )
        for cell in layout.cells()
        for service in services
    }
    assert max(counts.values()) - min(counts.values()) <= per_rack


def test_empty_platform_gets_one_cell() -> None:
    """Guards against a division by the number of no workers."""
    assert plan_layout([]) == CellLayout(1)


def test_unknown_rack_and_stored_form() -> None:
    """Guards against instances that disagree about a new worker."""
    layout = CellLayout(3, {"r0": 2})
    assert decode_layout(encode_layout(layout)) == layout
    known, new = build_entry(1, rack="r0"), build_entry(2, rack="r9")
    assert layout.cell_of_worker(known) == "c2"
    assert layout.cell_of_worker(new) in layout.cells()
    assert CellLayout(1).cell_of_job("any") == "c0"


def test_requests_of_many_cells_fit_into_the_tables_of_the_store() -> None:
    """Guards against more tables than the store takes."""
    layout = CellLayout(130)
    assert len({requests_table(cell) for cell in layout.cells()}) <= 80


@pytest.mark.parametrize(
    ("cells", "writes_per_second", "pause_ms"),
    [(1, 600.0, 0), (2, 1_200.0, 0), (6, 1_200.0, 10), (30, 600.0, 100)],
)
def test_owners_share_the_writes_of_the_store(
    cells: int, writes_per_second: float, pause_ms: int
) -> None:
    """Guards against owners that use up the rate of the store together."""
    assert commit_pause_ms(cells, writes_per_second) == pause_ms


class CountedListing(Listing):
    """Count how often the workers are listed."""

    calls = 0

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        self.calls += 1
        return await super().refresh()


@pytest.mark.parametrize("planner_fails", [False, True])
def test_instances_agree_on_one_layout(planner_fails: bool) -> None:
    """Guards against two layouts, and against all instances listing all workers."""

    async def play() -> None:
        world = CellSimulation(workers=0)
        for entry in entries_of(8, 8, "a"):
            world.add_worker(entry)
        log = EventLog("i0", "kista", world.clock)
        store = FakeRowStore(world.rows, world.clock, RowFaults())
        if planner_fails:
            await store.transact([Write(PLANNER_AT, b"gone", ABSENT)], 1_000)
        listings = [CountedListing(world.workers, world.clock) for _ in range(3)]
        agreements = [
            LayoutAgreement(f"i{number}", store, listing, world.clock, log)
            for number, listing in enumerate(listings)
        ]
        layouts = await asyncio.gather(*(one.reach() for one in agreements))
        assert layouts[0].size == 2
        assert layouts[0] == layouts[1] == layouts[2]
        assert sum(listing.calls > 0 for listing in listings) == 1 + 2 * planner_fails
        assert world.clock.now_ms() - 1_000_000 < 10_000

    run_virtual(play())


@pytest.mark.parametrize(
    ("rooms", "expected"),
    [
        ({"c1": SpareCapacity(20_000, 0)}, "c1"),
        ({"c1": SpareCapacity(15_000, 0)}, None),
        ({"c1": SpareCapacity(20_000, 1)}, None),
        ({"c0": SpareCapacity(90_000, 0)}, None),
        ({}, None),
    ],
)
def test_job_moves_only_to_a_cell_with_room_to_spare(
    rooms: dict[str, SpareCapacity], expected: str | None
) -> None:
    """Guards against jobs that move to a cell where they wait as well."""
    progress = WorkflowProgress(build_workflow("j1", build_step(4)))
    progress.open_due_occurrences(0)
    beats = {
        cell: Heartbeat("i", "l", 1, 1, rooms={"price-check": room})
        for cell, room in rooms.items()
    }
    assert target_of(progress, "c0", beats) == expected


def test_silence_counts_only_while_the_store_answers() -> None:
    """Guards against a takeover from an owner that could not write either."""
    silence = FailureDetector(1)
    beats = {"c0": Heartbeat("i", "l", 1, 1, version=5)}
    silence.note_beats(beats, 0)
    silence.note_beats(beats, 600)
    silence.note_outage()
    silence.note_beats(beats, 300)
    assert not silence.is_silent("c0")
    silence.note_beats(beats, 600)
    assert silence.is_silent("c0")
    silence.note_beats({"c0": Heartbeat("i", "l", 1, 2, version=6)}, 300)
    assert not silence.is_silent("c0")


def jobs_of(cell: str, world: CellSimulation, count: int) -> list[str]:
    """Return ids of jobs that a cell accepts."""
    found = []
    number = 0
    while len(found) < count:
        job = f"j{number}"
        number += 1
        if world.layout.cell_of_job(job) == cell:
            found.append(job)
    return found


async def fill_c0(world: CellSimulation) -> None:
    """Take all room of the first cell with tasks that last."""
    await world.sleep_ms(1_500)
    blocker = jobs_of("c0", world, 1)[0]
    step = build_step(8, is_endless=True)
    assert await world.submit(build_workflow(blocker, step))
    await world.sleep_ms(300)


def test_waiting_job_moves_to_a_cell_with_room() -> None:
    """Guards against jobs that wait while another cell is idle."""

    async def play() -> None:
        world = CellSimulation(workers=4, cells=2)
        await fill_c0(world)
        job = jobs_of("c0", world, 2)[1]
        assert await world.submit(build_workflow(job, build_step(2)))
        assert await world.until(job, DONE, 5_000)
        assert await world.submit(build_workflow(job, build_step(2)), instance=1)
        await world.sleep_ms(1_000)
        assert world.work.breaches == []
        assert any(record.event is Event.JOB_MOVED for record in world.records)

    run_virtual(play())


def test_moved_job_can_be_cancelled() -> None:
    """Guards against a cancellation that stays in the cell that accepted the job."""

    async def play() -> None:
        world = CellSimulation(workers=4, cells=2)
        await fill_c0(world)
        job = jobs_of("c0", world, 2)[1]
        assert await world.submit(build_workflow(job, build_step(2, is_endless=True)))
        await world.sleep_ms(2_000)
        assert await world.state(job) is WorkflowState.ACTIVE
        assert (await world.instances[1].desk.cancel(job, 3_000)).is_ok()
        assert await world.state(job) is WorkflowState.CANCELLED
        await world.sleep_ms(1_500)
        assert not any(
            task.job == job for task in world.work.live if world.work.live[task]
        )

    run_virtual(play())


@pytest.mark.parametrize("after_ms", range(800, 1_100, 20))
def test_moved_job_survives_its_owner(after_ms: int) -> None:
    """Guards against a job that is lost, or kept by both cells, at a crash."""

    async def play() -> None:
        world = CellSimulation(workers=4, cells=2, seed=after_ms)
        await fill_c0(world)
        job = jobs_of("c0", world, 2)[1]
        assert await world.submit(build_workflow(job, build_step(2)))
        await world.sleep_ms(after_ms)
        for instance in world.instances:
            await instance.crash()
        for instance in world.instances:
            instance.start()
        assert await world.until(job, DONE, 15_000)
        assert world.work.breaches == []

    run_virtual(play())


def test_rows_of_a_moved_job_are_deleted_in_both_cells() -> None:
    """Guards against a store that fills with the rows of moved jobs."""

    async def play() -> None:
        world = CellSimulation(workers=4, cells=2)
        await fill_c0(world)
        blocker, job = jobs_of("c0", world, 2)
        assert await world.submit(build_workflow(job, build_step(2)))
        assert await world.until(job, DONE, 5_000)
        await world.sleep_ms(175_000)
        left = {at.key for at in world.rows.rows}
        assert left == {"owner", "c0", "c1", blocker}
        assert await world.state(job) is None

    run_virtual(play())

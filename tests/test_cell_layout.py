"""Tests of the cell layout, of job transfers and of the failure detector."""

import asyncio
from collections.abc import Mapping

import pytest
from result import Result

from hyssopweir.agents import WorkerEntry
from hyssopweir.cell_heartbeats import FailureDetector, Heartbeat, SpareCapacity
from hyssopweir.cell_layout import (
    PLANNER_KEY,
    CellLayout,
    LayoutAgreement,
    decode_layout,
    encode_layout,
    plan_layout,
    requests_table,
)
from hyssopweir.codes import Failure
from hyssopweir.events import Event, EventLog
from hyssopweir.job_transfers import choose_destination
from hyssopweir.row_commits import commit_pause_ms
from hyssopweir.row_store import ABSENT, Write
from hyssopweir.workflow_progress import WorkflowProgress, WorkflowState
from tests.cell_simulation import (
    CellSimulation,
    FakeWorkerListing,
    build_entry,
    build_step,
    build_workflow,
    fill_first_cell,
    job_ids_of_cell,
)
from tests.row_fakes import FakeRowStore, RowFaults
from tests.virtual_time import run_virtual

DONE = WorkflowState.COMPLETED


def build_entries(racks: int, per_rack: int, *services: str) -> list[WorkerEntry]:
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
def test_layout_balances_each_service(
    racks: int, per_rack: int, services: tuple[str, ...], cells: int
) -> None:
    """Guards against a layout in which a cell lacks workers of a service."""
    entries = build_entries(racks, per_rack, *services)
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


def test_layout_without_workers_has_one_cell() -> None:
    """Guards against a division by zero when no workers are registered."""
    assert plan_layout([]) == CellLayout(1)


def test_layout_round_trip_and_unknown_rack() -> None:
    """Guards against instances that assign a new worker to different cells."""
    layout = CellLayout(3, {"r0": 2})
    assert decode_layout(encode_layout(layout)) == layout
    known, new = build_entry(1, rack="r0"), build_entry(2, rack="r9")
    assert layout.cell_of_worker(known) == "c2"
    assert layout.cell_of_worker(new) in layout.cells()
    assert CellLayout(1).cell_of_job("any") == "c0"


def test_request_tables_stay_within_the_store_limit() -> None:
    """Guards against more tables than the store allows."""
    layout = CellLayout(130)
    assert len({requests_table(cell) for cell in layout.cells()}) <= 80


@pytest.mark.parametrize(
    ("cells", "writes_per_second", "pause_ms"),
    [(1, 600.0, 0), (2, 1_200.0, 0), (6, 1_200.0, 10), (30, 600.0, 100)],
)
def test_owners_share_the_write_rate_of_the_store(
    cells: int, writes_per_second: float, pause_ms: int
) -> None:
    """Guards against owners that together exhaust the store's write rate."""
    assert commit_pause_ms(cells, writes_per_second) == pause_ms


class CountingListing(FakeWorkerListing):
    """Worker listing that counts its reads."""

    calls = 0

    async def refresh(self) -> Result[Mapping[str, WorkerEntry], Failure]:
        self.calls += 1
        return await super().refresh()


@pytest.mark.parametrize("planner_fails", [False, True])
def test_instances_agree_on_one_layout(planner_fails: bool) -> None:
    """Guards against two layouts, and against every instance reading the listing."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=0)
        for entry in build_entries(8, 8, "a"):
            simulation.add_worker(entry)
        log = EventLog("i0", "kista", simulation.clock)
        store = FakeRowStore(simulation.rows, simulation.clock, RowFaults())
        if planner_fails:
            await store.transact([Write(PLANNER_KEY, b"gone", ABSENT)], 1_000)
        listings = [
            CountingListing(simulation.workers, simulation.clock) for _ in range(3)
        ]
        agreements = [
            LayoutAgreement(f"i{number}", store, listing, simulation.clock, log)
            for number, listing in enumerate(listings)
        ]
        layouts = await asyncio.gather(
            *(agreement.wait_for_layout() for agreement in agreements)
        )
        assert layouts[0].size == 2
        assert layouts[0] == layouts[1] == layouts[2]
        assert sum(listing.calls > 0 for listing in listings) == 1 + 2 * planner_fails
        assert simulation.clock.now_ms() - 1_000_000 < 10_000

    run_virtual(run_scenario())


@pytest.mark.parametrize(
    ("rooms", "expected"),
    [
        ({"c1": SpareCapacity(20_000, 0)}, "c1"),
        ({"c1": SpareCapacity(15_000, 0)}, None),
        ({"c1": SpareCapacity(20_000, 4_000)}, "c1"),
        ({"c1": SpareCapacity(20_000, 4_001)}, None),
        ({"c1": SpareCapacity(20_000, 40_000)}, None),
        ({"c0": SpareCapacity(90_000, 0)}, None),
        ({}, None),
    ],
)
def test_job_moves_only_to_a_cell_with_spare_capacity(
    rooms: dict[str, SpareCapacity], expected: str | None
) -> None:
    """Guards against transferring a job to a cell where it would wait as well."""
    progress = WorkflowProgress(build_workflow("j1", build_step(4)))
    progress.open_due_occurrences(0)
    heartbeats = {
        cell: Heartbeat("i", "l", 1, 1, rooms={"price-check": room})
        for cell, room in rooms.items()
    }
    assert choose_destination(progress, "c0", heartbeats) == expected


def test_silence_counts_only_while_the_store_replies() -> None:
    """Guards against replacing an owner that only an outage kept from writing."""
    detector = FailureDetector(1)
    heartbeats = {"c0": Heartbeat("i", "l", 1, 1, version=5)}
    detector.record_heartbeats(heartbeats, 0)
    detector.record_heartbeats(heartbeats, 600)
    detector.record_outage()
    detector.record_heartbeats(heartbeats, 300)
    assert not detector.is_silent("c0")
    detector.record_heartbeats(heartbeats, 600)
    assert detector.is_silent("c0")
    detector.record_heartbeats({"c0": Heartbeat("i", "l", 1, 2, version=6)}, 300)
    assert not detector.is_silent("c0")


def test_waiting_job_moves_to_a_cell_with_capacity() -> None:
    """Guards against jobs that keep waiting while another cell is idle."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await fill_first_cell(simulation)
        job = job_ids_of_cell("c0", simulation, 2)[1]
        assert await simulation.submit(build_workflow(job, build_step(2)))
        assert await simulation.until(job, DONE, 5_000)
        assert await simulation.submit(build_workflow(job, build_step(2)), instance=1)
        await simulation.sleep_ms(1_000)
        assert simulation.work.breaches == []
        assert any(record.event is Event.JOB_MOVED for record in simulation.records)

    run_virtual(run_scenario())


def test_moved_job_can_be_cancelled() -> None:
    """Guards against a cancellation that is not forwarded to the destination cell."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await fill_first_cell(simulation)
        job = job_ids_of_cell("c0", simulation, 2)[1]
        assert await simulation.submit(
            build_workflow(job, build_step(2, is_endless=True))
        )
        await simulation.sleep_ms(2_000)
        assert await simulation.state(job) is WorkflowState.ACTIVE
        assert (await simulation.instances[1].api.cancel(job, 3_000)).is_ok()
        assert await simulation.state(job) is WorkflowState.CANCELLED
        await simulation.sleep_ms(1_500)
        assert not any(
            task.job == job
            for task in simulation.work.live
            if simulation.work.live[task]
        )

    run_virtual(run_scenario())


@pytest.mark.parametrize("after_ms", range(800, 1_100, 20))
def test_moved_job_survives_its_owner(after_ms: int) -> None:
    """Guards against a crash that loses a job or leaves it running in both cells."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, cells=2, seed=after_ms)
        await fill_first_cell(simulation)
        job = job_ids_of_cell("c0", simulation, 2)[1]
        assert await simulation.submit(build_workflow(job, build_step(2)))
        await simulation.sleep_ms(after_ms)
        for instance in simulation.instances:
            await instance.crash()
        for instance in simulation.instances:
            instance.start()
        assert await simulation.until(job, DONE, 15_000)
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


def test_rows_of_a_moved_job_are_deleted_in_both_cells() -> None:
    """Guards against rows of transferred jobs piling up in the store."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=4, cells=2)
        await fill_first_cell(simulation)
        blocker, job = job_ids_of_cell("c0", simulation, 2)
        assert await simulation.submit(build_workflow(job, build_step(2)))
        assert await simulation.until(job, DONE, 5_000)
        await simulation.sleep_ms(175_000)
        remaining = {at.key for at in simulation.rows.rows}
        assert remaining == {"owner", "c0", "c1", blocker}
        assert await simulation.state(job) is None

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("late_ms", [0, 300, 900])
def test_cells_are_claimed_by_different_instances(seed: int, late_ms: int) -> None:
    """Guards against owners of several cells next to instances without any.

    On large/, three of six instances that learned of the layout first claimed two cells
    each within 150 ms; most of the 97 instances learned of it a second later.
    """

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=8, instances=8, seed=seed, cells=4)
        late = simulation.instances[2:]
        for instance in late:
            await instance.crash()
        await simulation.sleep_ms(late_ms)
        for instance in late:
            instance.start()
        await simulation.sleep_ms(4_000)
        owned = [len(instance.host.owned) for instance in simulation.instances]
        assert sorted(owned) == [0, 0, 0, 0, 1, 1, 1, 1]

    run_virtual(run_scenario())


def test_only_instance_claims_all_cells() -> None:
    """Guards against cells that stay vacant while the other instances are down."""

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=16, instances=1, cells=8)
        await simulation.sleep_ms(5_000)
        assert len(simulation.instances[0].host.owned) == 8

    run_virtual(run_scenario())

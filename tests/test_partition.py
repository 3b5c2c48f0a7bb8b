"""A region that is cut off for long, with whole instances in virtual time."""

import pytest

from hyssopweir.clock import MINUTE_MS, Millis
from hyssopweir.contracts import TaskState
from tests.builders import build_job
from tests.random_load import Load
from tests.scenario import configure, run_system
from tests.system import DATA_CENTRES, Node, System
from tests.system_checks import problems_of

CUT_OFF = "arlanda"
TASKS = 6


def cut_region(system: System, is_cut: bool) -> None:
    """Cut a region from the table service, the other regions and their workers."""
    for node in system.nodes:
        is_inside = node.data_centre == CUT_OFF
        for other in system.nodes:
            if (other.data_centre == CUT_OFF) != is_inside:
                if is_cut:
                    system.cut_link(node.process.name, other.process.name)
                else:
                    system.cut.discard((node.process.name, other.process.name))
        if is_inside:
            node.table.down = node.objects.down = node.listing.down = is_cut
        for worker_id in system.listings:
            if worker_id.startswith(CUT_OFF) != is_inside:
                (node.client.cut.add if is_cut else node.client.cut.discard)(worker_id)


def node_at(system: System, place: str) -> Node:
    return next(node for node in system.nodes if node.data_centre == place)


def states(system: System, job: str) -> set[str]:
    rows = system.table.scan(f"tasks/{job}/", "", 100)
    return {row.value["state"] for row in rows}


async def submit(system: System, job: str, place: str, run_ms: Millis) -> None:
    node = node_at(system, place)
    spec = build_job(job, tasks=TASKS, run_ms=run_ms, data_centre=place)
    assert (await node.process.spawn(node.parts.jobs.submit(spec, "buyer"))).is_ok()


@pytest.mark.parametrize("outlasts_cut", [False, True])
def test_region_that_is_cut_off(
    outlasts_cut: bool, pytestconfig: pytest.Config
) -> None:
    """Guards against work lost or run twice when both sides of a cut go on."""
    cut_ms = pytestconfig.getoption("--cut-minutes") * MINUTE_MS
    run_ms = cut_ms + MINUTE_MS if outlasts_cut else MINUTE_MS

    async def main(system: System) -> None:
        for place in DATA_CENTRES:
            system.start_node(f"{place}-1", place)
        await system.clock.sleep_ms(20_000)
        await configure(system)
        load = Load(system)
        await submit(system, "inside", CUT_OFF, run_ms)
        await system.clock.sleep_ms(2_000)
        assert states(system, "inside") == {TaskState.RUNNING.value}

        cut_region(system, True)
        await system.clock.sleep_ms(cut_ms // 2)
        await submit(system, "outside", "kista", 1_000)
        for place in DATA_CENTRES:
            told = await load.send(
                node_at(system, place), "price-check", None, b"sill", 5_000
            )
            assert told.reply is not None
            assert told.reply.is_ok(), (place, told)
        await system.clock.sleep_ms(cut_ms // 2)
        assert states(system, "outside") == {TaskState.DONE.value}
        assert states(system, "inside") == {TaskState.RUNNING.value}

        cut_region(system, False)
        await system.clock.sleep_ms(3 * MINUTE_MS)
        assert states(system, "inside") == {TaskState.DONE.value}
        done = {f"inside/{n}": [f"inside/{n}#1"] for n in range(TASKS)}
        assert {task: system.done_runs[task] for task in done} == done
        assert problems_of(system, load) == []

    run_system(7, main)

"""Test of a long network partition, with whole instances in virtual time."""

import pytest

from hyssopweir.clock import MINUTE_MS, Millis
from hyssopweir.contracts import TaskState
from tests.builders import build_job
from tests.random_load import Load
from tests.scenario import configure, run_system
from tests.system import DATA_CENTRES, Node, System
from tests.system_checks import find_problems

ISOLATED = "arlanda"
TASKS = 6


def set_isolation(system: System, is_isolated: bool) -> None:
    """Cut or restore the links of a data centre to the platform and the others.

    Its workers stay connected to its own instances only.
    """
    for node in system.nodes:
        is_inside = node.data_centre == ISOLATED
        for other in system.nodes:
            if (other.data_centre == ISOLATED) != is_inside:
                if is_isolated:
                    system.cut_link(node.process.name, other.process.name)
                else:
                    system.cut.discard((node.process.name, other.process.name))
        if is_inside:
            node.table.down = node.objects.down = node.listing.down = is_isolated
        for worker_id in system.listings:
            if worker_id.startswith(ISOLATED) != is_inside:
                (node.client.cut.add if is_isolated else node.client.cut.discard)(
                    worker_id
                )


def node_in(system: System, data_centre: str) -> Node:
    return next(node for node in system.nodes if node.data_centre == data_centre)


def states(system: System, job: str) -> set[str]:
    rows = system.table.scan(f"tasks/{job}/", "", 100)
    return {row.value["state"] for row in rows}


async def submit(system: System, job: str, data_centre: str, run_ms: Millis) -> None:
    node = node_in(system, data_centre)
    spec = build_job(job, tasks=TASKS, run_ms=run_ms, data_centre=data_centre)
    assert (await node.process.spawn(node.parts.jobs.submit(spec, "buyer"))).is_ok()


@pytest.mark.parametrize("outlasts_cut", [False, True])
def test_work_survives_an_isolated_data_centre(
    outlasts_cut: bool, pytestconfig: pytest.Config
) -> None:
    """Guards against work lost or run twice while both sides of a partition run."""
    cut_ms = pytestconfig.getoption("--cut-minutes") * MINUTE_MS
    run_ms = cut_ms + MINUTE_MS if outlasts_cut else MINUTE_MS

    async def main(system: System) -> None:
        for data_centre in DATA_CENTRES:
            system.start_node(f"{data_centre}-1", data_centre)
        await system.clock.sleep_ms(20_000)
        await configure(system)
        load = Load(system)
        await submit(system, "inside", ISOLATED, run_ms)
        await system.clock.sleep_ms(2_000)
        assert states(system, "inside") == {TaskState.RUNNING.value}

        set_isolation(system, True)
        await system.clock.sleep_ms(cut_ms // 2)
        await submit(system, "outside", "kista", 1_000)
        for data_centre in DATA_CENTRES:
            result = await load.send(
                node_in(system, data_centre), "price-check", None, b"sill", 5_000
            )
            assert result.reply is not None
            assert result.reply.is_ok(), (data_centre, result)
        await system.clock.sleep_ms(cut_ms // 2)
        assert states(system, "outside") == {TaskState.DONE.value}
        assert states(system, "inside") == {TaskState.RUNNING.value}

        set_isolation(system, False)
        await system.clock.sleep_ms(3 * MINUTE_MS)
        assert states(system, "inside") == {TaskState.DONE.value}
        done = {f"inside/{n}": [f"inside/{n}#1"] for n in range(TASKS)}
        assert {task: system.done_runs[task] for task in done} == done
        assert find_problems(system, load) == []

    run_system(7, main)

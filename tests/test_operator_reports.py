"""Plays of faults that operators of similar systems have reported.

Reports 1, 3 and 5 have files of their own: ``test_silent_workers``,
``test_paused_owner`` and ``test_uncertain_writes``. Malformed rows, entries, replies
and jobs (report 6) are played by ``test_odd_workers``, ``test_odd_rows``,
``test_odd_cells``, ``test_job_isolation``, ``test_job_fuzz`` and ``test_parser_fuzz``.
"""

import asyncio

import aiohttp
import pytest

from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.platform_cluster import (
    CONFIGURATION,
    HOST,
    HOST_NAME,
    PREFIX,
    running_platform,
)
from tests.ports import free_ports
from tests.test_platform_adapter import BODY, JOB, wait_for_status
from tests.virtual_time import run_virtual

STREAM_JOBS = 24
STREAM_PAUSE_MS = 40
TASKS = 3


@pytest.mark.parametrize("after_ms", range(0, 800, 40))
@pytest.mark.parametrize("is_graceful", [True, False])
def test_hand_over_during_starts_orders_nothing_twice(
    after_ms: int, is_graceful: bool
) -> None:
    """Guards against two owners that both act around a hand-over or a takeover."""

    async def main() -> None:
        simulation = CellSimulation(workers=6, seed=after_ms)
        await simulation.sleep_ms(1_000)
        stream = asyncio.ensure_future(submit_stream(simulation))
        await simulation.sleep_ms(after_ms)
        previous = simulation.owner()
        if is_graceful:
            await previous.host.release(1_500)
        else:
            previous.set_frozen(True)
            await simulation.sleep_ms(1_300)
            previous.set_frozen(False)
        jobs = await stream
        for job in jobs:
            assert await simulation.until(job, WorkflowState.COMPLETED, 15_000)
        assert simulation.work.breaches == []
        assert all(count == 1 for count in simulation.work.done.values())
        if is_graceful:
            assert simulation.work.starts == TASKS * len(jobs)

    run_virtual(main())


async def submit_stream(simulation: CellSimulation) -> list[str]:
    jobs = []
    for number in range(STREAM_JOBS):
        workflow = build_workflow(f"j{number}", build_step(TASKS, estimated_ms=300))
        if await simulation.submit(workflow, number % 3):
            jobs.append(workflow.job)
        await simulation.sleep_ms(STREAM_PAUSE_MS)
    return jobs


@pytest.mark.parametrize("seed", range(4))
def test_worker_that_left_is_not_used_after_a_restart(seed: int) -> None:
    """Guards against an owner that restarts with a worker that has left meanwhile."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_000)
        step = build_step(8, is_endless=True)
        assert await simulation.submit(build_workflow("watch", step))
        await simulation.sleep_ms(1_000)
        worker = max(simulation.workers.values(), key=lambda fake: len(fake.running))
        for instance in simulation.instances:
            await instance.crash()
        worker.is_listed = False
        for instance in simulation.instances:
            instance.start()
        await simulation.sleep_ms(2_000)
        tasks = build_step(12, estimated_ms=400)
        assert await simulation.submit(build_workflow("j1", tasks))
        assert await simulation.until("j1", WorkflowState.COMPLETED, 15_000)
        await simulation.sleep_ms(8_000)
        # It still answers, so that only the list keeps the owners from using it.
        assert not worker.running
        assert simulation.work.breaches == []

    run_virtual(main())


def test_withdrawn_route_stays_withdrawn_after_a_restart() -> None:
    """Guards against an instance that serves by what it knew before its restart."""

    async def main() -> None:
        headers = {"Host": HOST_NAME, "Deadline-Ms": "3000"}
        async with running_platform() as cluster, aiohttp.ClientSession() as session:
            entry = cluster.worker.entry(cluster.worker_port)
            cluster.store.put("servers", "i-1", entry)
            cluster.store.put("op", "config", CONFIGURATION)
            withdrawn = {**CONFIGURATION, "version": 9, "routes": []}
            for is_served in (True, False):
                ports = free_ports(3)
                job_url = f"http://{HOST}:{ports[0]}{PREFIX}{JOB}"
                async with cluster.instance(ports):
                    await wait_for_status(session, f"http://{HOST}:{ports[1]}/", 200)
                    async with session.post(
                        job_url, json=BODY, headers=headers
                    ) as reply:
                        assert reply.status == (200 if is_served else 404)
                cluster.store.put("op", "config", withdrawn)

    asyncio.run(asyncio.wait_for(main(), 30))

"""Endless tasks that have run and were stopped go before other work in all cells."""

from functools import cache

import pytest

from hyssopweir.task_state import TaskRef
from tests.cell_simulation import (
    build_entry,
    build_step,
    build_workflow,
    job_ids_of_cell,
)
from tests.rolling_release import ReleaseCase, RollingRelease
from tests.test_endless_tasks import RESTART_LIMIT_MS, build_full_cell, lose_worker
from tests.virtual_time import run_virtual

SEEDS = range(1, 6)
# A new worker every second, as in a rolling release.
NEW_WORKER_MS = 1_000


@cache
def run_release(seed: int) -> RollingRelease:
    """Return a release that has ended; the tests of a seed check the same one."""

    async def main() -> RollingRelease:
        release = RollingRelease(ReleaseCase(), seed)
        await release.run()
        return release

    return run_virtual(main())


def describe(lost: dict[TaskRef, str]) -> str:
    return "\n" + "\n".join(lost.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_endless_task_is_not_away_beside_new_empty_workers(seed: int) -> None:
    """Guards against lost tasks that reach no new worker of another cell in time."""
    release = run_release(seed)
    assert not release.lost_beside_capacity, describe(release.lost_beside_capacity)


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_endless_task_is_not_away_beside_later_finite_tasks(seed: int) -> None:
    """Guards against short tasks of any cell that start before a lost endless task."""
    release = run_release(seed)
    assert not release.lost_beside_finite, describe(release.lost_beside_finite)


@pytest.mark.parametrize("seed", SEEDS)
def test_release_starts_no_task_twice(seed: int) -> None:
    """Guards against a second run, or exceeded capacity, during a release."""
    assert run_release(seed).simulation.work.breaches == []


@pytest.mark.parametrize("seed", range(3))
def test_lost_endless_task_goes_before_new_ones_of_another_cell(seed: int) -> None:
    """Guards against new workers of a cell whose own unstarted tasks fill each one."""

    async def main() -> None:
        simulation = await build_full_cell(seed)
        jobs = tuple(job_ids_of_cell("c0", simulation, 2))
        unstarted = job_ids_of_cell("c1", simulation, 1)[0]
        step = build_step(100, is_endless=True)
        assert await simulation.submit(build_workflow(unstarted, step))
        await simulation.sleep_ms(1_000)
        lose_worker(simulation, "w0")
        for number in range(RESTART_LIMIT_MS // NEW_WORKER_MS):
            await simulation.sleep_ms(NEW_WORKER_MS)
            simulation.add_worker(build_entry(10 + number, rack="r1"))
        await simulation.sleep_ms(RESTART_LIMIT_MS % NEW_WORKER_MS)
        lost = [
            ref
            for ref, workers in simulation.work.live.items()
            if ref.job in jobs and not workers
        ]
        assert lost == []
        assert simulation.work.breaches == []

    run_virtual(main())

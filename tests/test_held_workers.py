"""Workers that are held for the lost endless tasks of several services."""

import pytest

from hyssopweir.cell_scheduler import PlacementPass
from hyssopweir.held_workers import MAX_HOLD_MS, HeldWorkers
from hyssopweir.resources import Resources
from hyssopweir.task_state import Run, RunPhase, RunRef, TaskRef
from hyssopweir.worker_load import WorkerLoad
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.test_starvation import LOST_LIMIT_MS, lose_worker
from tests.virtual_time import run_virtual

SERVICES = ("price-check", "shop")
ORDERS = (SERVICES, SERVICES[::-1])
BACKLOG_JOBS = 150
LARGE_ROOM = Resources(6_000, 1_000)


def build_loads(service: str, first: int, count: int) -> list[WorkerLoad]:
    """Return idle workers of a service, numbered from ``first``."""
    return [
        WorkerLoad(build_entry(number, service=service))
        for number in range(first, first + count)
    ]


@pytest.mark.parametrize("order", ORDERS, ids="-".join)
def test_each_lost_task_holds_one_worker_of_its_own_service(
    order: tuple[str, str],
) -> None:
    """Guards against held workers that count against those of another service."""
    loads = {
        SERVICES[0]: build_loads(SERVICES[0], 0, 16),
        SERVICES[1]: build_loads(SERVICES[1], 16, 8),
    }
    current = PlacementPass(loads, 0)
    step = build_step(4, room=LARGE_ROOM, is_endless=True)
    for service in order:
        for number in range(step.tasks):
            current.held.hold_for(TaskRef(service, 0, 0, number), service, step)
    current.exclude_held()
    left = {service: len(available) for service, available in current.loads.items()}
    assert left == {SERVICES[0]: 12, SERVICES[1]: 4}


def test_small_lost_task_takes_nothing_that_is_kept_for_a_larger_one() -> None:
    """Guards against a large lost task that smaller lost ones keep away."""
    load = build_loads(SERVICES[0], 0, 1)[0]
    run = Run(RunRef(TaskRef("short", 0, 0, 0), 1), "w0", 0, 0)
    load.reserve(run, build_step(1, room=Resources(4_000, 1_000), estimated_ms=800))
    held = HeldWorkers({SERVICES[0]: [load]}, 0)
    large = build_step(1, room=LARGE_ROOM, is_endless=True)
    wait_ms = held.hold_for(TaskRef("large", 0, 0, 0), SERVICES[0], large)
    assert wait_ms == 800
    small = Resources(2_500, 100)
    assert list(held.workers_with_capacity(SERVICES[0], small)) == []
    # Beside both, as much is left as the worker has less what is kept.
    assert held.hold(SERVICES[0], Resources(2_500, 100)) is None
    assert held.hold(SERVICES[0], Resources(2_000, 100)) == 800


def test_worker_is_not_held_for_a_task_that_ends_too_late() -> None:
    """Guards against capacity that is kept idle for as long as another task runs."""
    load = build_loads(SERVICES[0], 0, 1)[0]
    step = build_step(1, room=Resources(4_000, 1_000), estimated_ms=500)
    run = Run(RunRef(TaskRef("long", 0, 0, 0), 1), "w0", 0, 0)
    load.reserve(run, step)
    late_ms = 10 * MAX_HOLD_MS
    held = HeldWorkers({SERVICES[0]: [load]}, late_ms)
    lost = build_step(1, room=LARGE_ROOM, is_endless=True)
    assert held.hold_for(TaskRef("lost", 0, 0, 0), SERVICES[0], lost) is None
    assert held.kept == {}


def test_run_that_refuses_to_stop_draws_no_lost_task_to_its_worker() -> None:
    """Guards against a wait for a run whose worker answers no stop."""
    loads = build_loads(SERVICES[0], 0, 2)
    step = build_step(1, room=Resources(4_000, 1_000), estimated_ms=800)
    for load in loads:
        run = Run(RunRef(TaskRef("short", 0, 0, 0), 1), load.entry.worker_id, 0, 0)
        load.reserve(run, step)
    stuck, _ = next(iter(loads[0].runs.values()))
    stuck.phase = RunPhase.STOPPING
    held = HeldWorkers({SERVICES[0]: loads}, 4_000)
    assert held.hold(SERVICES[0], LARGE_ROOM) == 1_000
    stuck.is_closed = True
    held = HeldWorkers({SERVICES[0]: loads}, 4_000)
    assert held.hold(SERVICES[0], LARGE_ROOM) == 0


def test_late_places_hold_an_eighth_of_the_workers() -> None:
    """Guards against a cell without workers for others until long tasks end."""
    loads = build_loads(SERVICES[0], 0, 16)
    step = build_step(1, room=Resources(4_000, 1_000), estimated_ms=MAX_HOLD_MS - 1)
    for load in loads:
        run = Run(RunRef(TaskRef("long", 0, 0, 0), 1), load.entry.worker_id, 0, 0)
        load.reserve(run, step)
    held = HeldWorkers({SERVICES[0]: loads}, 0)
    waits = [held.hold(SERVICES[0], LARGE_ROOM) for _ in loads]
    assert waits.count(None) == 14
    assert len(held.kept) == 2


async def start_endless_tasks(
    simulation: CellSimulation, order: tuple[str, str]
) -> None:
    """Start a large endless task of each service, on its only worker.

    The task of the first service in ``order`` is the more urgent one.
    """
    for number, service in enumerate(SERVICES):
        simulation.add_worker(build_entry(number, service=service))
    await simulation.sleep_ms(1_000)
    step = build_step(1, room=LARGE_ROOM, is_endless=True)
    for priority, service in enumerate(order):
        job = build_workflow(
            f"endless-{service}", step, service=service, priority=priority
        )
        assert await simulation.submit(job)
    await simulation.sleep_ms(500)
    for number, service in enumerate(SERVICES):
        running = {ref.task.job for ref in simulation.workers[f"w{number}"].running}
        assert running == {f"endless-{service}"}


async def submit_long_task(simulation: CellSimulation, service: str) -> None:
    """Submit a task that uses a whole worker during the test."""
    step = build_step(1, room=Resources(8_000, 1_000), estimated_ms=600_000)
    assert await simulation.submit(build_workflow("long", step, service=service))


async def submit_short_tasks(simulation: CellSimulation, service: str) -> None:
    """Submit more short tasks than fit, which end at different times."""
    for number in range(BACKLOG_JOBS):
        step = build_step(
            2, room=Resources(500, 100), estimated_ms=700 + 37 * number % 600
        )
        assert await simulation.submit(
            build_workflow(f"b{number}", step, service=service)
        )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("order", ORDERS, ids="-".join)
def test_lost_endless_task_gets_a_worker_while_another_service_holds_one(
    order: tuple[str, str], seed: int
) -> None:
    """Guards against short tasks that keep a lost one away for another service."""

    async def main() -> None:
        blocked, served = order
        simulation = CellSimulation(workers=0, seed=seed)
        await start_endless_tasks(simulation, order)
        for number, service in enumerate(SERVICES):
            simulation.add_worker(build_entry(2 + number, service=service))
        await simulation.sleep_ms(500)
        await submit_long_task(simulation, blocked)
        await submit_short_tasks(simulation, served)
        await simulation.sleep_ms(1_000)
        for service in order:
            lose_worker(simulation, f"w{SERVICES.index(service)}")
            await simulation.sleep_ms(1_000)
        await simulation.sleep_ms(LOST_LIMIT_MS)
        busy = simulation.workers[f"w{2 + SERVICES.index(blocked)}"]
        assert {ref.task.job for ref in busy.running} == {"long"}
        holder = simulation.workers[f"w{2 + SERVICES.index(served)}"]
        assert f"endless-{served}" in {ref.task.job for ref in holder.running}
        assert simulation.work.breaches == []

    run_virtual(main())

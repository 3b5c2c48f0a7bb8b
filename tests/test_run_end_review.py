"""Runs that go on after their owner or its successor has counted them as over."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Result

from hyssopweir.agents import CommandResult, LeaseReply, WorkerEntry
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat, HeartbeatResult
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import (
    CellSimulation,
    FakeInstance,
    build_step,
    build_workflow,
)
from tests.job_checks import events_of
from tests.virtual_time import run_virtual

JOB = "j1"
TASKS = 8


async def start_endless_tasks(
    seed: int, workers: int = 4
) -> tuple[CellSimulation, FakeWorker]:
    """Return a simulation with running tasks, and the worker with most of them."""
    simulation = CellSimulation(workers, seed=seed)
    await simulation.sleep_ms(1_500)
    step = build_step(TASKS, is_endless=True)
    assert await simulation.submit(build_workflow(JOB, step))
    await simulation.sleep_ms(1_000 + 170 * seed)
    return simulation, max(
        simulation.workers.values(), key=lambda fake: len(fake.running)
    )


async def wait_for_claim(simulation: CellSimulation, epoch: int) -> FakeInstance:
    """Return the instance that claims the cell with an epoch, once it has."""
    while True:
        for instance in simulation.instances:
            if any(cell.state.epoch == epoch for cell in instance.host.owned.values()):
                return instance
        await simulation.sleep_ms(1)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_listed", [False, True])
def test_owner_without_a_first_heartbeat_keeps_no_run_beside_its_successor(
    is_listed: bool, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait that counts from the owner before the former one."""
    write = CellHeartbeats.write

    async def lose_heartbeats(
        self: CellHeartbeats, cell: str, heartbeat: Heartbeat
    ) -> HeartbeatResult:
        if heartbeat.epoch == 2:
            await asyncio.sleep(0.5)
            return HeartbeatResult(False, heartbeat.version)
        return await write(self, cell, heartbeat)

    async def main() -> None:
        simulation, worker = await start_endless_tasks(seed)
        monkeypatch.setattr(CellHeartbeats, "write", lose_heartbeats)
        await simulation.owner().crash()
        second = await wait_for_claim(simulation, 2)
        # It recovers the cell and hears the workers.
        await simulation.sleep_ms(500)
        second.faults.is_silent = True
        second.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
        for instance in simulation.instances:
            if instance is not second:
                instance.agent.cut_workers = {worker.entry.worker_id}
        worker.is_listed = is_listed
        await simulation.sleep_ms(15_000)
        assert simulation.work.breaches == []

    run_virtual(main())


def delay_next_renewal(simulation: CellSimulation, delay_ms: Millis) -> list[str]:
    """Carry out the next renewal of each worker late, without a reply to it."""
    delayed: list[str] = []
    for instance in simulation.instances:
        renew = instance.agent.renew_leases

        async def renew_late(
            entry: WorkerEntry,
            *args: Any,
            renew: Callable[..., Any] = renew,
        ) -> Result[LeaseReply, CommandResult]:
            if entry.worker_id in delayed:
                return await renew(entry, *args)
            delayed.append(entry.worker_id)
            token, _, until_ms, _, timeout_ms = args
            fake = simulation.workers[entry.worker_id]
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1_000, fake.renew_leases, token, 0, until_ms)
            await simulation.clock.sleep_ms(timeout_ms)
            return Err(CommandResult.UNKNOWN)

        instance.agent.renew_leases = renew_late  # type: ignore[method-assign]
    return delayed


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("late_ms", [2_000, 4_000, 8_000])
def test_late_renewal_on_a_restarted_worker_is_waited_for(
    late_ms: int, seed: int
) -> None:
    """Guards against a lease that a renewal for a former process grants to the next."""

    async def main() -> None:
        simulation, _ = await start_endless_tasks(seed)
        # The clock of the next process is far behind the former one's.
        worker = simulation.workers["w0"]
        delay_next_renewal(simulation, late_ms)
        await simulation.sleep_ms(900)
        worker.restart(is_clock_reset=True)
        await simulation.sleep_ms(late_ms - 700)
        assert worker.running
        worker.is_cut = True
        await simulation.sleep_ms(15_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("heard_ms", [100, 1_000])
def test_successor_waits_for_a_lease_that_crossed_a_restart(
    heard_ms: int, seed: int
) -> None:
    """Guards against a lease of the former owner on the clock of a former process."""

    async def main() -> None:
        simulation, _ = await start_endless_tasks(seed)
        worker, owner = simulation.workers["w0"], simulation.owner()
        # The renewal that the restart overtakes is carried out by the next process.
        delay_next_renewal(simulation, 1_000)
        await simulation.sleep_ms(950)
        worker.restart(is_clock_reset=True)
        await simulation.sleep_ms(300)
        await owner.crash()
        await wait_for_claim(simulation, 2)
        await simulation.sleep_ms(heard_ms)
        worker.is_cut = True
        await simulation.sleep_ms(15_000)
        assert simulation.work.breaches == []

    run_virtual(main())

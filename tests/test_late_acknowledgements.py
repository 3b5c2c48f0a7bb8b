"""Renewals with a number that are carried out after the worker has started again."""

import asyncio
from typing import Any

import pytest
from result import Err

from hyssopweir.agents import Acknowledgement, CommandResult, WorkerEntry
from hyssopweir.clock import Millis
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.row_fakes import LATENCY_MS
from tests.test_worker_lives import SLOW_STORE_MS, build_simulation, restart
from tests.virtual_time import run_virtual

ROUNDS = 6


def delay_next_number(simulation: CellSimulation, delay_ms: Millis) -> asyncio.Event:
    """Let w0 carry out the next renewal with a number late, and reply to none of it.

    The connection hangs, as that to a machine without power does.
    """
    agent = simulation.owner().agent
    fake = simulation.workers["w0"]
    renew = agent.renew_leases
    delayed = asyncio.Event()

    async def renew_late(
        worker: WorkerEntry,
        token: int,
        acknowledgement: Acknowledgement | None,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Any:
        is_chosen = worker.worker_id == "w0" and acknowledgement is not None
        if not is_chosen or delayed.is_set():
            return await renew(
                worker, token, acknowledgement, lease_until_ms, wait_ms, timeout_ms
            )
        assert acknowledgement is not None
        delayed.set()
        number = acknowledgement.number
        asyncio.get_running_loop().call_later(
            delay_ms / 1_000, fake.renew_leases, token, number, lease_until_ms
        )
        await simulation.clock.sleep_ms(timeout_ms)
        return Err(CommandResult.UNKNOWN)

    agent.renew_leases = renew_late  # type: ignore[method-assign]
    return delayed


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("late_ms", [300, 600, 900, 1_200])
def test_late_number_of_a_former_process_hides_no_end(
    late_ms: Millis, seed: int
) -> None:
    """Guards against tasks that run again as a late call has hidden their ends."""

    async def run_scenario() -> None:
        simulation = await build_simulation(seed)
        for instance in simulation.instances:
            instance.faults.latency_ms = SLOW_STORE_MS
        step = build_step(1_200, room=Resources(1_000, 100), estimated_ms=100)
        assert await simulation.submit(build_workflow("j1", step))
        await simulation.sleep_ms(1_000 + 50 * seed)
        for number in range(ROUNDS):
            delayed = delay_next_number(simulation, late_ms)
            while not delayed.is_set():
                await simulation.sleep_ms(1)
            await restart(simulation.workers["w0"], simulation, seed + number, 0)
            await simulation.sleep_ms(1_500)
        for instance in simulation.instances:
            instance.faults.latency_ms = LATENCY_MS
        assert await simulation.until("j1", WorkflowState.COMPLETED, 60_000)
        assert simulation.work.breaches == []

    run_virtual(run_scenario())

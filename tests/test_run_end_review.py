"""Runs that go on after their owner or its successor has counted them as over."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from result import Err, Result

from hyssopweir.agents import CommandResult, LeaseReply, WorkerEntry
from hyssopweir.cell_heartbeats import (
    CALL_TIMEOUT_MS,
    CellHeartbeats,
    Heartbeat,
    HeartbeatResult,
)
from hyssopweir.clock import Millis
from hyssopweir.fencing import TOKENS_PER_EPOCH
from hyssopweir.workflow_progress import WorkflowState
from tests.agent_fakes import FakeWorker, ProxyAnswer
from tests.cell_simulation import (
    CellSimulation,
    FakeInstance,
    build_step,
    build_workflow,
)
from tests.test_run_ends import JOB_LIMIT_MS, TASK_MS, result_of_status
from tests.virtual_time import run_virtual

JOB = "j1"
TASKS = 8
OUTAGE_MS: Millis = 5_300
# Just within the timeout of a read of the heartbeats.
SLOW_READ_MS: Millis = CALL_TIMEOUT_MS - 10


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
        if heartbeat.epoch == 2 * TOKENS_PER_EPOCH:
            await asyncio.sleep(0.5)
            return HeartbeatResult(False, heartbeat.version)
        return await write(self, cell, heartbeat)

    async def main() -> None:
        simulation, worker = await start_endless_tasks(seed)
        monkeypatch.setattr(CellHeartbeats, "write", lose_heartbeats)
        await simulation.owner().crash()
        second = await wait_for_claim(simulation, 2 * TOKENS_PER_EPOCH)
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
        worker.restart(clock_ms=0)
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
        worker.restart(clock_ms=0)
        await simulation.sleep_ms(300)
        await owner.crash()
        await wait_for_claim(simulation, 2 * TOKENS_PER_EPOCH)
        await simulation.sleep_ms(heard_ms)
        worker.is_cut = True
        await simulation.sleep_ms(15_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("cut_after_ms", [1_920, 2_010])
def test_slow_read_of_a_heartbeat_shortens_no_wait(
    cut_after_ms: Millis, seed: int
) -> None:
    """Guards against silence that counts from before the heartbeat was stored."""

    async def main() -> None:
        simulation, worker = await start_endless_tasks(seed)
        owner = simulation.owner()
        others = [one for one in simulation.instances if one is not owner]
        for instance in others:
            instance.agent.cut_workers = {worker.entry.worker_id}
            instance.faults.latency_ms = SLOW_READ_MS
        await simulation.sleep_ms(cut_after_ms)
        owner.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
        owner.faults.is_silent = True
        worker.is_listed = False
        # The reads that are on their way see the last heartbeat.
        await simulation.sleep_ms(20)
        for instance in others:
            instance.faults.latency_ms = 5
        await simulation.sleep_ms(12_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
def test_late_entry_of_a_former_life_ends_no_run_of_a_new_owner(seed: int) -> None:
    """Guards against an owner that never heard the process of an old entry."""

    async def main() -> None:
        simulation, _ = await start_endless_tasks(seed)
        worker = simulation.workers["w0"]
        worker.entry = worker.entry._replace(born_ms=5_000)
        # The time of day was set back before the restart.
        worker.restart(4_000)
        await simulation.sleep_ms(3_000)
        await simulation.owner().crash()
        await wait_for_claim(simulation, 2 * TOKENS_PER_EPOCH)
        await simulation.sleep_ms(1_000)
        assert worker.running
        # A heartbeat of the former process arrives late.
        worker.entry = worker.entry._replace(machine="m1")
        await simulation.sleep_ms(3_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("status", [400, 409, 429, 503])
def test_answer_of_a_proxy_with_a_status_of_the_worker_starts_no_second_run(
    status: int, seed: int
) -> None:
    """Guards against a refusal by a proxy that has passed the start on."""

    async def main() -> None:
        simulation = CellSimulation(seed=seed)
        await simulation.sleep_ms(1_500)
        answer = ProxyAnswer(await result_of_status(status), 0)
        for instance in simulation.instances:
            instance.agent.start_answers["w0"] = [answer] * TASKS
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        assert await simulation.until(JOB, WorkflowState.COMPLETED, JOB_LIMIT_MS)
        await simulation.sleep_ms(5_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_silent", [False, True])
def test_work_outlasts_an_outage_of_the_store(is_silent: bool, seed: int) -> None:
    """Guards against leases that end in an outage in which nobody takes over."""

    async def main() -> None:
        for phase_ms in (0, 130, 310, 520):
            simulation, _ = await start_endless_tasks(seed)
            await simulation.sleep_ms(phase_ms)
            for instance in simulation.instances:
                instance.faults.is_silent = is_silent
                instance.faults.is_down = not is_silent
            await simulation.sleep_ms(OUTAGE_MS)
            for instance in simulation.instances:
                instance.faults.is_silent = instance.faults.is_down = False
            await simulation.sleep_ms(5_000)
            assert simulation.work.starts == TASKS

    run_virtual(main())

"""Tests of workers that start again under the id that they had.

A call for the former process is an ordinary one to the new process, whose clock starts
at any value: the call may give it a lease for as long as workers grant any.
"""

import asyncio
from random import Random
from typing import Any, cast

import pytest

from hyssopweir.agents import (
    CommandResult,
    LeaseReply,
    StartCommand,
    StartReply,
    WorkerEntry,
)
from hyssopweir.clock import Millis
from hyssopweir.events import Event
from hyssopweir.resources import Resources
from hyssopweir.workflow_progress import WorkflowState
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.row_fakes import LATENCY_MS
from tests.virtual_time import run_virtual

FORMER_CLOCK_MS: Millis = 400_000
DARK_MS: Millis = 600
CUT_MS: Millis = 9_000
# The store removes the entry of a silent worker after three heartbeats.
LISTED_MS: Millis = 3_300
# The store of the deployments answers in 4 ms, and up to 60 times later.
SLOW_STORE_MS: Millis = 240
# By then the owner has heard a worker that is back in reach.
HEARD_MS: Millis = 1_500


async def submit_jobs(simulation: CellSimulation, seed: int) -> None:
    """Submit a job of one long task every few milliseconds."""
    random = Random(seed)
    for number in range(150):
        step = build_step(1, room=Resources(100, 100), estimated_ms=14_000)
        await simulation.submit(build_workflow(f"j{number}", step), 1)
        await simulation.clock.sleep_ms(random.randint(1, 30))


async def restart(
    worker: FakeWorker,
    simulation: CellSimulation,
    seed: int,
    dark_ms: Millis = DARK_MS,
) -> None:
    """Let a worker crash without a sign, and start again under its id."""
    worker.is_cut = True
    await simulation.sleep_ms(dark_ms)
    clock_ms = Random(seed).randrange(FORMER_CLOCK_MS)
    worker.restart(simulation.clock.wall_ms(), clock_ms)
    worker.entry = worker.entry._replace(born_ms=worker.born_ms)
    worker.is_cut = False


async def cut_off(
    worker: FakeWorker,
    simulation: CellSimulation,
    listed_ms: Millis,
    cut_ms: Millis = CUT_MS,
) -> None:
    """Cut a worker off for a while, and let its tasks go on afterwards."""
    worker.is_cut = True
    await simulation.sleep_ms(listed_ms)
    worker.is_listed = False
    await simulation.sleep_ms(cut_ms - listed_ms)
    worker.is_cut, worker.is_listed = False, True
    await simulation.sleep_ms(8_000)


async def build_simulation(seed: int) -> CellSimulation:
    simulation = CellSimulation(workers=4, seed=seed)
    for worker in simulation.workers.values():
        worker.restart(simulation.clock.wall_ms(), FORMER_CLOCK_MS)
        worker.entry = worker.entry._replace(born_ms=worker.born_ms)
    await simulation.sleep_ms(1_500)
    return simulation


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("takeover_ms", [None, 100, 1_000])
def test_restarted_worker_that_is_cut_off_runs_no_task_beside_another(
    takeover_ms: Millis | None, seed: int
) -> None:
    """Guards against a second run beside one whose lease lasts longer than expected.

    The owner dies between the restart and the cut, or lives on.
    """

    async def run_scenario() -> None:
        simulation = await build_simulation(seed)
        worker = simulation.workers["w0"]
        jobs = asyncio.ensure_future(submit_jobs(simulation, seed))
        await simulation.sleep_ms(500)
        await restart(worker, simulation, seed)
        if takeover_ms is not None:
            await simulation.sleep_ms(takeover_ms)
            await simulation.owner().crash()
            await simulation.sleep_ms(400)
        else:
            await simulation.sleep_ms(1_500)
        await cut_off(worker, simulation, LISTED_MS)
        await jobs
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("heard_ms", [50, 400])
@pytest.mark.parametrize("listed_ms", [0, LISTED_MS])
def test_worker_that_is_cut_off_before_it_is_heard_runs_no_task_beside_another(
    listed_ms: Millis, heard_ms: Millis, seed: int
) -> None:
    """Guards against a second run beside one that only the reply to its start shows."""

    async def run_scenario() -> None:
        simulation = await build_simulation(seed)
        worker = simulation.workers["w0"]
        jobs = asyncio.ensure_future(submit_jobs(simulation, seed))
        await simulation.sleep_ms(500)
        await restart(worker, simulation, seed)
        await simulation.sleep_ms(heard_ms)
        await cut_off(worker, simulation, listed_ms)
        await jobs
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("late_share", "listed_ms"), [(0.0, 0), (0.3, LISTED_MS)])
def test_owner_that_dies_before_it_knows_of_a_restart_leaves_no_second_run(
    late_share: float, listed_ms: Millis, seed: int
) -> None:
    """Guards against a second run beside one that no living owner knows to be long.

    Either the new process is cut off before its entry is stored, or starts of the
    former owner are carried out late.
    """

    async def run_scenario() -> None:
        simulation = await build_simulation(seed)
        worker = simulation.workers["w0"]
        worker.late_share = late_share
        jobs = asyncio.ensure_future(submit_jobs(simulation, seed))
        await simulation.sleep_ms(500)
        await restart(worker, simulation, seed)
        await simulation.sleep_ms(100)
        await simulation.owner().crash()
        await simulation.sleep_ms(400)
        await cut_off(worker, simulation, listed_ms, 14_000)
        await jobs
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


def test_late_renewal_for_a_former_process_has_no_effect() -> None:
    """Guards against leases and acknowledgements that the former process should get."""

    async def run_scenario() -> None:
        simulation = await build_simulation(0)
        worker = simulation.workers["w0"]
        token = worker.token
        await restart(worker, simulation, 0)
        await simulation.sleep_ms(HEARD_MS)
        late = worker.renew_leases(token, 99, FORMER_CLOCK_MS + 20_000)
        assert late is CommandResult.FENCED
        reply = worker.renew_leases(worker.token, 0, None)
        assert isinstance(reply, LeaseReply)

    run_virtual(run_scenario())


def test_start_that_a_restarted_worker_refuses_ends_no_ownership() -> None:
    """Guards against an owner that gives its cell up for its own earlier token."""

    async def run_scenario() -> None:
        simulation = await build_simulation(0)
        owner = simulation.owner()
        start = owner.agent.start
        delayed: list[StartCommand] = []
        results: list[CommandResult] = []

        async def start_late(
            worker: WorkerEntry, command: StartCommand, timeout_ms: Millis
        ) -> StartReply:
            if worker.worker_id != "w0" or delayed:
                return await start(worker, command, timeout_ms)
            delayed.append(command)
            await restart(simulation.workers["w0"], simulation, 0)
            await simulation.sleep_ms(HEARD_MS)
            reply = await start(worker, command, timeout_ms)
            results.append(reply.result)
            return reply

        cast(Any, owner.agent).start = start_late
        epoch = owner.host.owned["c0"].state.epoch
        step = build_step(8, estimated_ms=100)
        assert await simulation.submit(build_workflow("j1", step))
        assert await simulation.until("j1", WorkflowState.COMPLETED, 10_000)
        # The start exceeds its timeout, so that its task may be done before the reply.
        await simulation.sleep_ms(HEARD_MS)
        assert results == [CommandResult.FENCED]
        assert owner.host.owned["c0"].state.epoch == epoch
        assert simulation.work.breaches == []

    run_virtual(run_scenario())


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("dark_ms", [0, 150])
def test_ends_of_a_restarted_worker_are_not_acknowledged_unseen(
    dark_ms: Millis, seed: int
) -> None:
    """Guards against done tasks that run again after a restart beside a slow store.

    The number of a former process makes the next one forget ends that nobody has seen.
    """

    async def run_scenario() -> None:
        simulation = await build_simulation(seed)
        random = Random(seed)
        for instance in simulation.instances:
            instance.faults.latency_ms = SLOW_STORE_MS
        # Enough to keep all workers at work until the last restart.
        step = build_step(2_000, room=Resources(1_000, 100), estimated_ms=100)
        assert await simulation.submit(build_workflow("j1", step))
        for number in range(16):
            await simulation.sleep_ms(random.randint(200, 700))
            worker = simulation.workers[f"w{number % 4}"]
            await restart(worker, simulation, seed + number, dark_ms)
        for instance in simulation.instances:
            instance.faults.latency_ms = LATENCY_MS
        assert await simulation.until("j1", WorkflowState.COMPLETED, 60_000)
        assert simulation.work.breaches == []
        events = {record.event for record in simulation.records}
        assert Event.ENDS_MISSING not in events

    run_virtual(run_scenario())

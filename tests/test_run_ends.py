"""Runs that go on while their owner has a sign that they are over."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any

import pytest
from result import Err, Ok, Result

from hyssopweir.agent_link import (
    COMMAND_TIMEOUT_MS,
    LONGEST_LEASE_MS,
    RENEWAL_WAIT_MS,
    lease_times,
)
from hyssopweir.agents import CommandResult, LeaseReply
from hyssopweir.events import Event, EventLog
from hyssopweir.platform.http_agent import HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient, Response
from hyssopweir.task_state import RunRef, TaskRef
from hyssopweir.workflow_progress import WorkflowState
from tests.agent_fakes import ProxyAnswer
from tests.cell_simulation import (
    CALL_TIMEOUT_MS,
    CellSimulation,
    FakeWorker,
    build_entry,
    build_step,
    build_workflow,
)
from tests.job_checks import events_of
from tests.virtual_time import VirtualClock, run_virtual

JOB = "j1"
TASKS = 8
TASK_MS = 6_000
# Time in which all tasks end, also those that wait for a lease to expire first.
JOB_LIMIT_MS = 60_000
REFUSAL_TIMES_MS = [500, 1_000, 2_000, 3_000]
# Two calls, a commit and the start on another worker.
RESTART_LIMIT_MS = 1_000
# Time in which another instance takes over the cell of a crashed owner.
TAKEOVER_LIMIT_MS = 2_000
# Time in which a worker that replies ends the runs of a cancelled job.
STOP_LIMIT_MS = 3_000
# Less than the lease that the start carries.
LATE_START_MS = 2_500
# Statuses of a proxy that may have passed the command on.
PROXY_STATUSES = [500, 502, 504]
RANDOM_FAULTS = 14
FAULTS_MS = 20_000
RANDOM_JOBS = 10
SEEDS = range(4)
OTHER_WORKER_ANSWERS = ProxyAnswer(CommandResult.OTHER_LIFE, None)


async def start_tasks(
    seed: int, task_ms: int = TASK_MS
) -> tuple[CellSimulation, FakeWorker]:
    """Return a simulation with running tasks, and the worker with most of them."""
    simulation = CellSimulation(workers=4, seed=seed)
    await simulation.sleep_ms(1_500)
    step = build_step(TASKS, estimated_ms=task_ms)
    assert await simulation.submit(build_workflow(JOB, step))
    # The fault begins at another point of a renewal with each seed.
    await simulation.sleep_ms(1_000 + 170 * seed)
    return simulation, max(
        simulation.workers.values(), key=lambda fake: len(fake.running)
    )


def refuse_calls(
    simulation: CellSimulation, worker: FakeWorker, result: CommandResult | None
) -> None:
    """Answer new calls in place of a worker; ``None`` lets them reach it again."""
    for instance in simulation.instances:
        if result is None:
            instance.agent.refusals.pop(worker.entry.worker_id, None)
        else:
            instance.agent.refusals[worker.entry.worker_id] = result


async def assert_each_task_runs_once(simulation: CellSimulation) -> None:
    """Check that the job completes without two runs of one task."""
    assert await simulation.until(JOB, WorkflowState.COMPLETED, JOB_LIMIT_MS)
    # Ends that were not listed yet are acknowledged.
    await simulation.sleep_ms(5_000)
    assert simulation.work.breaches == []
    assert len(simulation.work.done) == TASKS
    assert set(simulation.work.done.values()) == {1}


async def play_refusals(result: CommandResult, refused_ms: int, seed: int) -> None:
    simulation, worker = await start_tasks(seed)
    refuse_calls(simulation, worker, result)
    await simulation.sleep_ms(refused_ms)
    refuse_calls(simulation, worker, None)
    await assert_each_task_runs_once(simulation)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("refused_ms", REFUSAL_TIMES_MS)
def test_refused_connections_do_not_start_running_tasks_again(
    refused_ms: int, seed: int
) -> None:
    """Guards against two runs of a task on a worker whose listener refuses a while."""
    run_virtual(play_refusals(CommandResult.NO_LISTENER, refused_ms, seed))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("refused_ms", REFUSAL_TIMES_MS)
def test_answer_of_another_worker_does_not_start_running_tasks_again(
    refused_ms: int, seed: int
) -> None:
    """Guards against two runs of a task when another worker answers 421 a while."""
    run_virtual(play_refusals(CommandResult.OTHER_LIFE, refused_ms, seed))


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("task_ms", [2_000, TASK_MS])
@pytest.mark.parametrize("refused_ms", [1_500, 2_000, 2_800])
@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
def test_refusals_to_a_new_owner_do_not_start_running_tasks_again(
    result: CommandResult, refused_ms: int, task_ms: int, seed: int
) -> None:
    """Guards against a second run when a successor does not reach a worker at first."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, task_ms)
        refuse_calls(simulation, worker, result)
        await simulation.owner().crash()
        await simulation.sleep_ms(refused_ms)
        refuse_calls(simulation, worker, None)
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


def answer_commands(
    simulation: CellSimulation,
    starts: Sequence[ProxyAnswer] = (),
    stops: Sequence[ProxyAnswer] = (),
) -> None:
    """Answer the next commands of each instance to each worker in their order."""
    for instance in simulation.instances:
        for worker in simulation.workers:
            instance.agent.start_answers[worker] = list(starts)
            instance.agent.stop_answers[worker] = list(stops)


async def assert_cancelled_job_stops(simulation: CellSimulation) -> None:
    cancelled = await simulation.instances[1].api.cancel(JOB, CALL_TIMEOUT_MS)
    assert cancelled.is_ok()
    await simulation.sleep_ms(STOP_LIMIT_MS)
    assert not any(worker.running for worker in simulation.workers.values())
    assert simulation.work.breaches == []


@pytest.mark.parametrize("seed", SEEDS)
def test_answer_of_another_worker_drops_no_stop(seed: int) -> None:
    """Guards against a run of a cancelled job that goes on after a 421 to its stop."""

    async def main() -> None:
        simulation, _ = await start_tasks(seed, 10 * TASK_MS)
        answer_commands(simulation, stops=[OTHER_WORKER_ANSWERS])
        await assert_cancelled_job_stops(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("delay_ms", [700, 1_000, 2_000])
def test_answer_of_another_worker_drops_no_stop_of_a_late_start(
    delay_ms: int, seed: int
) -> None:
    """Guards against a late start in a cancelled job after a 421 to its stops."""

    async def main() -> None:
        simulation = CellSimulation(seed=seed)
        await simulation.sleep_ms(1_500)
        late = ProxyAnswer(None, delay_ms)
        answer_commands(simulation, [late] * TASKS, [OTHER_WORKER_ANSWERS] * TASKS)
        step = build_step(TASKS, estimated_ms=10 * TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await simulation.sleep_ms(COMMAND_TIMEOUT_MS + 50)
        await assert_cancelled_job_stops(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_answer_of_another_worker_leaves_no_start_uncertain(seed: int) -> None:
    """Guards against a task that never runs after a lost start and a 421."""

    async def main() -> None:
        simulation = CellSimulation(seed=seed)
        await simulation.sleep_ms(1_500)
        lost = ProxyAnswer(None, None)
        answer_commands(simulation, [lost] * TASKS, [OTHER_WORKER_ANSWERS] * TASKS)
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


class ProxyClient(JsonHttpClient):
    """Client whose requests are all answered by a proxy with one status."""

    def __init__(self, status: int) -> None:
        super().__init__()
        self.status = status

    async def request(self, *_: Any, **__: Any) -> Any:
        return Ok(Response(self.status, None))


async def result_of_status(status: int) -> CommandResult:
    """Return what the agent makes of a status that the protocol does not have."""
    client = ProxyClient(status)
    agent = HttpAgent(client, client, EventLog("a", "dc", VirtualClock()))
    ref = RunRef(TaskRef(JOB, 0, 0, 0), 1)
    return await agent.stop(build_entry(), ref, 1, CALL_TIMEOUT_MS)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("delay_ms", [0, 1_000])
@pytest.mark.parametrize("status", PROXY_STATUSES)
def test_answer_of_a_proxy_to_a_start_starts_no_second_run(
    status: int, delay_ms: int, seed: int
) -> None:
    """Guards against a second run of a task after a start that a proxy passed on."""

    async def main() -> None:
        simulation = CellSimulation(seed=seed)
        await simulation.sleep_ms(1_500)
        answer = ProxyAnswer(await result_of_status(status), delay_ms)
        for instance in simulation.instances:
            instance.agent.start_answers["w0"] = [answer] * TASKS
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("status", PROXY_STATUSES)
def test_answer_of_a_proxy_to_a_stop_confirms_nothing(status: int, seed: int) -> None:
    """Guards against a second run beside a start that no worker was told to refuse."""

    async def main() -> None:
        simulation = CellSimulation(seed=seed)
        await simulation.sleep_ms(1_500)
        stop = ProxyAnswer(await result_of_status(status), None)
        late_start = ProxyAnswer(None, LATE_START_MS)
        answer_commands(simulation, [late_start], [stop])
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("status", PROXY_STATUSES)
def test_answer_of_a_proxy_drops_no_stop(status: int, seed: int) -> None:
    """Guards against a run of a cancelled job that goes on after a 502 to its stop."""

    async def main() -> None:
        simulation, _ = await start_tasks(seed, 10 * TASK_MS)
        stop = ProxyAnswer(await result_of_status(status), None)
        answer_commands(simulation, stops=[stop])
        await assert_cancelled_job_stops(simulation)

    run_virtual(main())


async def cut_owner_from_store(
    seed: int, cut_ms: int, is_listed: bool
) -> CellSimulation:
    """Cut an owner that is at work from the store, and its successor from one worker.

    Other workers would tell the owner at once that it was replaced.
    """
    simulation, worker = await start_tasks(seed, 3 * TASK_MS)
    owner = simulation.owner()
    for instance in simulation.instances:
        instance.agent.cut_workers = {worker.entry.worker_id}
    owner.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
    worker.is_listed = is_listed
    owner.faults.is_silent = True
    await simulation.sleep_ms(cut_ms)
    owner.faults.is_silent = False
    for instance in simulation.instances:
        instance.agent.cut_workers = set()
    worker.is_listed = True
    return simulation


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("cut_ms", [6_000, 10_000, 14_000, 20_000])
@pytest.mark.parametrize("is_listed", [False, True])
def test_owner_without_a_store_renews_no_lease_beside_its_successor(
    is_listed: bool, cut_ms: int, seed: int
) -> None:
    """Guards against leases that outlast the wait of a successor out of reach."""

    async def main() -> None:
        simulation = await cut_owner_from_store(seed, cut_ms, is_listed)
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


async def lose_renewal(*_: Any) -> Result[LeaseReply, CommandResult]:
    return Err(CommandResult.UNKNOWN)


@pytest.mark.parametrize("seed", SEEDS)
def test_restart_in_the_list_ends_no_run_of_the_new_process(seed: int) -> None:
    """Guards against a second run of a task that a restarted worker has accepted."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, instances=1, seed=seed)
        await simulation.sleep_ms(1_500 + 170 * seed)
        agent, worker = simulation.instances[0].agent, simulation.workers["w0"]
        renew_leases = agent.renew_leases
        agent.renew_leases = lose_renewal  # type: ignore[method-assign]
        worker.restart()
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await simulation.sleep_ms(200)
        assert worker.running
        worker.entry = worker.entry._replace(born_ms=worker.born_ms)
        await simulation.sleep_ms(400)
        agent.renew_leases = renew_leases  # type: ignore[method-assign]
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("unlisted_ms", [1_000, 6_000, 18_000])
def test_runs_of_an_unlisted_worker_that_is_heard_go_on(
    unlisted_ms: int, seed: int
) -> None:
    """Guards against a second run when the entry of a worker at work vanishes."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, 4 * TASK_MS)
        worker.is_listed = False
        await simulation.sleep_ms(unlisted_ms)
        worker.is_listed = True
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("with_takeover", [False, True])
@pytest.mark.parametrize("unlisted_ms", [1_000, 3_000])
def test_entry_of_another_worker_at_its_address_ends_no_run(
    unlisted_ms: int, with_takeover: bool, seed: int
) -> None:
    """Guards against a second run when the list shows a wrong worker at an address."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, 2 * TASK_MS)
        entry = worker.entry
        if with_takeover:
            await simulation.owner().crash()
            await simulation.sleep_ms(2_000)
        worker.is_listed = False
        newcomer = simulation.add_worker(entry._replace(worker_id="w9"))
        await simulation.sleep_ms(unlisted_ms)
        worker.is_listed, newcomer.is_listed = True, False
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


async def restart_with_listed_birth(
    simulation: CellSimulation, worker: FakeWorker, listed_ms: int, born_ms: int
) -> None:
    """Restart a worker, and change its listed entry of the former life afterwards."""
    worker.entry = worker.entry._replace(born_ms=listed_ms)
    await simulation.sleep_ms(1_000)
    worker.restart(born_ms)
    # The owner hears the new life and starts tasks there.
    await simulation.sleep_ms(3_000)
    worker.entry = worker.entry._replace(machine="m1")
    await simulation.sleep_ms(1_000)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "born_ms", [pytest.param(9_000, id="later"), pytest.param(4_000, id="clock_back")]
)
def test_late_entry_of_a_former_life_ends_no_run(born_ms: int, seed: int) -> None:
    """Guards against a second run when the list is behind a restart of a worker."""

    async def main() -> None:
        simulation = CellSimulation(workers=2, seed=seed)
        for fake in simulation.workers.values():
            fake.born_ms = 5_000
        await simulation.sleep_ms(1_500)
        step = build_step(TASKS, estimated_ms=2 * TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await simulation.sleep_ms(1_000)
        worker = simulation.workers["w0"]
        simulation.add_worker(build_entry(9))
        await restart_with_listed_birth(simulation, worker, 5_000, born_ms)
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("is_clock_reset", [False, True])
@pytest.mark.parametrize("late_ms", [2_000, 3_500, 6_000, 12_000])
def test_late_start_on_a_restarted_worker_is_no_second_run(
    late_ms: int, is_clock_reset: bool
) -> None:
    """Guards against a start that a worker's former life was told to refuse."""

    async def main() -> None:
        simulation = CellSimulation()
        await simulation.sleep_ms(1_500)
        late_start = ProxyAnswer(None, late_ms)
        # The first starts on each worker.
        answer_commands(simulation, [late_start])
        step = build_step(TASKS, estimated_ms=3 * TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        # The stop is confirmed, and the task starts elsewhere.
        await simulation.sleep_ms(1_500)
        for worker in simulation.workers.values():
            worker.restart(clock_ms=0 if is_clock_reset else None)
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


def latest_end_ms(with_takeover: bool) -> int:
    """Return the time after which runs of a worker out of reach are certainly over."""
    times = lease_times(LONGEST_LEASE_MS)
    if with_takeover:
        return TAKEOVER_LIMIT_MS + times.unknown_ms
    return RENEWAL_WAIT_MS + times.unlisted_ms


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("is_ended", [False, True])
@pytest.mark.parametrize("with_takeover", [False, True])
@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
def test_runs_of_a_refusing_worker_end_with_its_lease(
    result: CommandResult, with_takeover: bool, is_ended: bool, seed: int
) -> None:
    """Guards against runs that are given up before their lease ends, or much later."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, 10 * TASK_MS)
        refuse_calls(simulation, worker, result)
        refused_ms = simulation.clock.now_ms()
        lease_ms = worker.lease_ms
        if is_ended:
            worker.restart()
        if with_takeover:
            await simulation.owner().crash()
        await simulation.sleep_ms(lease_ms - simulation.clock.now_ms() - 1)
        assert simulation.work.starts == TASKS
        limit_ms = refused_ms + latest_end_ms(with_takeover) + RESTART_LIMIT_MS
        await simulation.sleep_ms(limit_ms - simulation.clock.now_ms())
        assert not worker.running
        running = sum(len(fake.running) for fake in simulation.workers.values())
        assert running == TASKS
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "result", [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
)
def test_refusing_worker_gets_no_start(result: CommandResult, seed: int) -> None:
    """Guards against starts that are wasted on a worker after its first refusal."""

    async def main() -> None:
        simulation, worker = await start_tasks(seed, 10 * TASK_MS)
        owner = simulation.owner()
        refuse_calls(simulation, worker, result)
        while not events_of(simulation, Event.WORKER_SILENT):
            await simulation.sleep_ms(1)
        assert await simulation.submit(build_workflow("j2", build_step(6)))
        assert await simulation.until("j2", WorkflowState.COMPLETED, 20_000)
        assert owner.agent.refused_starts == 0

    run_virtual(main())


async def refuse_a_while(simulation: CellSimulation, random: Random) -> None:
    worker = random.choice(list(simulation.workers.values()))
    results = [CommandResult.NO_LISTENER, CommandResult.OTHER_LIFE]
    refuse_calls(simulation, worker, random.choice(results))
    await simulation.sleep_ms(random.randrange(200, 3_500))
    refuse_calls(simulation, worker, None)


async def cut_worker(simulation: CellSimulation, random: Random) -> None:
    worker = random.choice(list(simulation.workers.values()))
    worker.is_cut = True
    await simulation.sleep_ms(random.randrange(200, 6_000))
    worker.is_cut = False


async def cut_worker_from_one(simulation: CellSimulation, random: Random) -> None:
    agent = random.choice(simulation.instances).agent
    worker_id = random.choice(list(simulation.workers))
    agent.cut_workers.add(worker_id)
    await simulation.sleep_ms(random.randrange(200, 6_000))
    agent.cut_workers.discard(worker_id)


async def delay_commands(simulation: CellSimulation, random: Random) -> None:
    worker = random.choice(list(simulation.workers.values()))
    worker.late_share = 0.5
    await simulation.sleep_ms(random.randrange(500, 3_000))
    worker.late_share = 0.0


async def restart_worker(simulation: CellSimulation, random: Random) -> None:
    random.choice(list(simulation.workers.values())).restart()


async def crash_owner(simulation: CellSimulation, random: Random) -> None:
    running = [fake for fake in simulation.instances if not fake.is_crashed]
    owners = [instance for instance in running if instance.owns]
    if not owners:
        return
    instance = owners[0]
    await instance.crash()
    await simulation.sleep_ms(random.randrange(50, 3_000))
    instance.start()


async def cut_store(simulation: CellSimulation, random: Random) -> None:
    instance = random.choice(simulation.instances)
    instance.faults.is_silent = True
    await simulation.sleep_ms(random.randrange(500, 12_000))
    instance.faults.is_silent = False


FAULTS: list[Callable[[CellSimulation, Random], Awaitable[None]]] = [
    refuse_a_while,
    refuse_a_while,
    cut_worker,
    cut_worker_from_one,
    delay_commands,
    restart_worker,
    crash_owner,
    cut_store,
]


async def inject_random_faults(simulation: CellSimulation, random: Random) -> None:
    """Inject faults that overlap, for 20 s, and wait until all have ended."""
    tasks = []
    for _ in range(RANDOM_FAULTS):
        fault = random.choice(FAULTS)
        tasks.append(asyncio.create_task(fault(simulation, random)))
        await simulation.sleep_ms(FAULTS_MS // RANDOM_FAULTS)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize("seed", range(30))
def test_random_faults_end_no_run_that_goes_on(seed: int) -> None:
    """Guards against combinations of refusals and cuts that run tasks twice."""

    async def main() -> None:
        random = Random(f"run ends {seed}")
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_500)
        jobs = [f"j{number}" for number in range(RANDOM_JOBS)]
        for job in jobs:
            estimated_ms = random.randrange(1_000, 2 * TASK_MS)
            step = build_step(2, estimated_ms=estimated_ms)
            assert await simulation.submit(build_workflow(job, step))
        await inject_random_faults(simulation, random)
        for job in jobs:
            assert await simulation.until(job, WorkflowState.COMPLETED, JOB_LIMIT_MS)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("restart_ms", [0, 2, 4, 8])
def test_start_by_the_clock_of_a_former_life_is_no_second_run(restart_ms: int) -> None:
    """Guards against a lease that is longer than its owner takes it to be."""

    async def main() -> None:
        simulation = CellSimulation()
        await simulation.sleep_ms(1_500)
        step = build_step(TASKS, estimated_ms=2 * TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await simulation.clock.sleep_ms(restart_ms)
        worker = simulation.workers["w0"]
        worker.restart(clock_ms=0)
        await simulation.sleep_ms(600)
        worker.is_cut = True
        await simulation.sleep_ms(9_000)
        worker.is_cut = False
        await assert_each_task_runs_once(simulation)

    run_virtual(main())

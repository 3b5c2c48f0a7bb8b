"""Causes, other than its end, that make a run look over or a start look refused."""

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, cast

import pytest
from result import Err, Ok, Result

from hyssopweir.agent_link import (
    LEASE_MS,
    RENEWAL_TIMEOUT_MS,
    RENEWAL_WAIT_MS,
    AgentLink,
    lease_times,
)
from hyssopweir.agents import (
    Agent,
    CommandResult,
    LeaseReply,
    StartCommand,
    WorkerEntry,
)
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fencing import FencingTokens
from hyssopweir.ownership_proof import OwnershipProof
from hyssopweir.platform.http_agent import HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.task_state import Run, RunRef, TaskRef
from hyssopweir.workflow_progress import WorkflowState
from tests.agent_fakes import FakeWorker, ProxyAnswer
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.job_checks import events_of
from tests.test_run_end_evidence import RestartingWorker
from tests.virtual_time import VirtualClock, run_virtual

HOST = "127.0.0.1"
REF = RunRef(TaskRef("5c0e7a21d94b36f8", 0, 1, 17), 2)
COMMAND = StartCommand(REF, "paint", 9_000, 7)
HEAD_END = b"\r\n\r\n"
LIST_BODY = b'{"clockMs":482113,"running":[],"finished":[]}'
TIMEOUT_MS: Millis = 300
JOB = "j1"
TASKS = 8
TASK_MS: Millis = 6_000
STOP_MS: Millis = 200
# Time in which all jobs end, also tasks that wait for a lease first.
JOB_LIMIT_MS: Millis = 60_000


def build_reply(status: int, body: bytes = LIST_BODY) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"Content-Type: application/json" + HEAD_END + body


def read_request(conn: socket.socket) -> bytes:
    """Return the body of the next request, empty once the connection is closed."""
    data = b""
    while HEAD_END not in data:
        part = conn.recv(65_536)
        if not part:
            return b""
        data += part
    head, body = data.split(HEAD_END, 1)
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += conn.recv(65_536)
    return body


class ThreadWorker:
    """Worker on a thread of its own, which answers while the event loop stands still.

    It replies to each request with the next list of replies once ``may_reply`` is set,
    and sends them one by one.
    """

    def __init__(self, *replies: list[bytes]) -> None:
        self._replies = replies
        self._listener = socket.create_server((HOST, 0))
        self.entry = build_entry(host=HOST, port=self._listener.getsockname()[1])
        self.may_reply = threading.Event()
        self.replied = threading.Event()
        self.received = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        conn, _ = self._listener.accept()
        with conn:
            for replies in self._replies:
                if not read_request(conn):
                    return
                self.received.set()
                self.may_reply.wait(10)
                for reply in replies:
                    conn.sendall(reply)
                    time.sleep(0.05)
                self.replied.set()
            read_request(conn)

    def close(self) -> None:
        self._listener.close()
        self._thread.join(10)


def pause_until_answered(worker: ThreadWorker) -> None:
    """Stand still from before a reply arrives until its timeout has passed."""
    worker.may_reply.set()
    worker.replied.wait(10)
    time.sleep(2 * TIMEOUT_MS / 1_000)


def build_agent() -> tuple[HttpAgent, JsonHttpClient]:
    client = JsonHttpClient()
    return HttpAgent(client, client, EventLog("a", "kista", Clock())), client


@pytest.mark.parametrize("call", ["start", "renew_leases"])
def test_reply_that_came_in_time_counts_after_a_pause(call: str) -> None:
    """Guards against a pause of the own process that counts as a worker's silence."""

    async def main() -> None:
        worker = ThreadWorker([build_reply(200)])
        agent, client = build_agent()
        if call == "start":
            sent: Awaitable[Any] = agent.start(worker.entry, COMMAND, TIMEOUT_MS)
        else:
            sent = agent.renew_leases(worker.entry, 7, None, 9_000, 0, TIMEOUT_MS)
        under_way = asyncio.ensure_future(sent)
        await asyncio.to_thread(worker.received.wait, 10)
        pause_until_answered(worker)
        reply = await under_way
        await client.close()
        worker.close()
        if call == "start":
            assert reply.result is CommandResult.ACCEPTED
        else:
            assert isinstance(reply, Ok)

    asyncio.run(main())


@pytest.mark.parametrize("status", [200, 409, 503])
def test_reply_from_before_a_request_is_not_its_reply(status: int) -> None:
    """Guards against a start that counts as answered before its worker has read it.

    The connection carries one reply more than there were requests.
    """

    async def main() -> None:
        worker = ThreadWorker([build_reply(200), build_reply(status)], [])
        worker.may_reply.set()
        agent, client = build_agent()
        first = await agent.start(worker.entry, COMMAND, 2_000)
        await asyncio.to_thread(worker.replied.wait, 10)
        await asyncio.sleep(0.1)
        second = await agent.start(worker.entry, COMMAND, TIMEOUT_MS)
        await client.close()
        worker.close()
        assert first.result is CommandResult.ACCEPTED
        assert second.result in (CommandResult.UNKNOWN, CommandResult.NOT_SENT)

    asyncio.run(main())


def test_list_from_before_a_request_is_not_its_reply() -> None:
    """Guards against a list that lacks a run since it is older than its start."""

    async def main() -> None:
        worker = ThreadWorker([build_reply(200)] * 2, [])
        worker.may_reply.set()
        agent, client = build_agent()
        entry = worker.entry
        first = await agent.renew_leases(entry, 7, None, 9_000, 0, 2_000)
        await asyncio.to_thread(worker.replied.wait, 10)
        await asyncio.sleep(0.1)
        second = await agent.renew_leases(entry, 7, None, 9_000, 0, TIMEOUT_MS)
        await client.close()
        worker.close()
        assert isinstance(first, Ok)
        assert isinstance(second, Err)

    asyncio.run(main())


def build_link(
    worker: RestartingWorker,
    clock: VirtualClock,
    log: EventLog,
    on_lapsed: Callable[[AgentLink], None] = lambda _: None,
) -> AgentLink:
    return AgentLink(
        build_entry(),
        FencingTokens(1),
        cast(Agent, worker),
        clock,
        log,
        lambda *_: None,
        lambda: None,
        OwnershipProof("c0", clock, log),
        lease_times(10_000),
        on_lapsed,
        lambda _: False,
    )


class SlowlyHeardWorker(RestartingWorker):
    """Worker that answers renewals at once, as after an end, to a busy owner."""

    late_ms: Millis = 0

    async def renew_leases(
        self, entry: WorkerEntry, *args: Any
    ) -> Result[LeaseReply, CommandResult]:
        *others, wait_ms, timeout_ms = args
        if self.late_ms:
            assert self.late_ms < RENEWAL_WAIT_MS + RENEWAL_TIMEOUT_MS
            wait_ms = 0
        reply = await super().renew_leases(entry, *others, wait_ms, timeout_ms)
        await self._clock.sleep_ms(self.late_ms)
        return reply


@pytest.mark.parametrize("late_ms", [500, 1_100, 1_250])
def test_late_reading_of_a_clock_shows_no_restart(late_ms: Millis) -> None:
    """Guards against the delay of the owner that counts as a restart of the worker.

    A renewal that an end answers at once may be read this late before its timeout.
    """

    async def main() -> None:
        clock = VirtualClock()
        log = EventLog("a", "kista", clock)
        events: list[Event] = []
        log.subscribe(lambda record: events.append(record.event))
        worker = SlowlyHeardWorker(clock)
        link = build_link(worker, clock, log)
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(2_000)
        worker.late_ms = late_ms
        # The starts end while the ownership counts as proven.
        await clock.sleep_ms(2_000)
        for number in range(40):
            run = Run(REF._replace(run=number + 1), "w0", 0, clock.now_ms())
            assert await link.start(run, "paint", "") is CommandResult.ACCEPTED
            await clock.sleep_ms(37)
        renewals.cancel()
        assert Event.WORKER_RESTARTED not in events

    run_virtual(main())


@pytest.mark.parametrize("behind_ms", [100, 500, 950])
def test_lease_in_a_life_whose_clock_is_close_to_the_former_is_waited_for(
    behind_ms: Millis,
) -> None:
    """Guards against a lease end on the clock of a former life that looks the same.

    A worker that restarts soon after its start, with a clock that begins at 0, is one.
    """

    async def main() -> None:
        clock = VirtualClock()
        worker = RestartingWorker(clock)
        left_ms: list[Millis] = []
        log = EventLog("a", "kista", clock)
        link = build_link(
            worker, clock, log, lambda _: left_ms.append(worker.lease_left_ms())
        )
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(2_000)
        worker.restart(worker._worker_ms() - behind_ms)
        run = Run(REF, "w0", 0, clock.now_ms())
        assert await link.start(run, "paint", "") is CommandResult.ACCEPTED
        worker.is_cut = True
        while not left_ms:
            await clock.sleep_ms(10)
        renewals.cancel()
        assert left_ms[0] <= 0

    run_virtual(main())


async def start_tasks(seed: int, **fields: Any) -> CellSimulation:
    """Return a simulation with running tasks."""
    simulation = CellSimulation(workers=4, seed=seed)
    await simulation.sleep_ms(1_500)
    step = build_step(TASKS, estimated_ms=TASK_MS, **fields)
    assert await simulation.submit(build_workflow(JOB, step))
    await simulation.sleep_ms(1_000 + 170 * seed)
    return simulation


async def assert_each_task_runs_once(simulation: CellSimulation) -> None:
    assert await simulation.until(JOB, WorkflowState.COMPLETED, JOB_LIMIT_MS)
    assert simulation.work.breaches == []


def slow_down_stops(worker: FakeWorker, stop_ms: Millis) -> None:
    """Let the runs of a worker end some time after it has accepted their stop."""
    stop = worker.stop

    def stop_later(ref: RunRef, token: int) -> CommandResult:
        asyncio.get_running_loop().call_later(stop_ms / 1_000, stop, ref, token)
        return CommandResult.ACCEPTED

    cast(Any, worker).stop = stop_later


@pytest.mark.parametrize("seed", range(3))
def test_entry_of_another_writer_with_a_later_birth_ends_no_run(seed: int) -> None:
    """Guards against a restart in the list that replies of the worker contradict."""

    async def main() -> None:
        simulation = await start_tasks(seed)
        worker = max(simulation.workers.values(), key=lambda fake: len(fake.running))
        slow_down_stops(worker, STOP_MS)
        worker.entry = worker.entry._replace(born_ms=worker.born_ms + 1)
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("late_ms", [1_500, 3_000])
def test_stop_that_another_program_accepts_settles_no_late_start(
    late_ms: Millis, seed: int
) -> None:
    """Guards against a second run beside a start that its worker wasn't told to refuse.

    The program at the address answers 200 without ``clockMs``, which no worker does.
    """

    async def main() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_500)
        for instance in simulation.instances:
            for worker_id in simulation.workers:
                late = ProxyAnswer(None, late_ms)
                instance.agent.start_answers[worker_id] = [late]
                accepted = ProxyAnswer(CommandResult.ACCEPTED, None)
                instance.agent.stop_answers[worker_id] = [accepted]
        step = build_step(TASKS, estimated_ms=TASK_MS)
        assert await simulation.submit(build_workflow(JOB, step))
        await assert_each_task_runs_once(simulation)

    run_virtual(main())


def deliver_cancelled_calls(simulation: CellSimulation, seed: int) -> None:
    """Let calls arrive up to 1.5 s late, also those that their sender has given up."""
    random = Random(seed)
    for instance in simulation.instances:
        agent = cast(Any, instance.agent)
        for name in ("start", "stop", "renew_leases"):

            async def deliver(
                *args: Any, call: Callable[..., Awaitable[Any]] = getattr(agent, name)
            ) -> Any:
                late_ms = random.choice([0, 0, 5, 30, 100, 400, 1_500])

                async def arrive() -> Any:
                    await simulation.clock.sleep_ms(late_ms)
                    return await call(*args)

                return await asyncio.shield(asyncio.ensure_future(arrive()))

            setattr(agent, name, deliver)


async def submit_jobs(simulation: CellSimulation, seed: int, jobs: int) -> list[str]:
    """Submit jobs of short and long tasks over time, each at two instances at once."""
    random = Random(seed)
    names = [f"j{number}" for number in range(jobs)]
    for name in names:
        step = build_step(
            3,
            room=build_step().room._replace(cpu=500),
            estimated_ms=random.choice([50, 600, 4_000]),
        )
        workflow = build_workflow(name, step)
        last = len(simulation.instances) - 1
        calls = [simulation.submit(workflow, number) for number in {0, last}]
        await asyncio.gather(*calls)
        await simulation.clock.sleep_ms(random.randint(1, 400))
    return names


async def assert_all_are_done(simulation: CellSimulation, names: list[str]) -> None:
    for name in names:
        assert await simulation.until(name, WorkflowState.COMPLETED, JOB_LIMIT_MS)
    assert simulation.work.breaches == []


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("late_write_ms", [0, 2_000])
def test_cell_that_its_owner_loses_and_claims_again_runs_no_task_twice(
    late_write_ms: Millis, seed: int
) -> None:
    """Guards against what is under way of the first ownership of one process."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, instances=1, seed=seed)
        deliver_cancelled_calls(simulation, seed)
        faults = simulation.instances[0].faults
        await simulation.sleep_ms(1_500)
        jobs = asyncio.ensure_future(submit_jobs(simulation, seed, 30))
        random = Random(seed)
        faults.lost_share, faults.late_ms = 0.1, late_write_ms
        for _ in range(6):
            await simulation.sleep_ms(random.randint(300, 2_500))
            for cell in simulation.instances[0].host.owned.values():
                cell._ownership_lost.set()
        faults.lost_share = 0.0
        names = await jobs
        await assert_all_are_done(simulation, names)
        assert len(events_of(simulation, Event.CELL_CLAIMED)) > 5

    run_virtual(main())


@pytest.mark.parametrize("seed", range(10))
def test_job_that_two_instances_accept_runs_once(seed: int) -> None:
    """Guards against a job that a client hands in again while a write is late."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_500)
        for instance in simulation.instances:
            instance.faults.lost_share, instance.faults.late_ms = 0.3, 3_000
        names = await submit_jobs(simulation, seed, 15)
        for name in names:
            step = simulation.work.steps[name][0]
            await simulation.submit(build_workflow(name, step), 1)
        for instance in simulation.instances:
            instance.faults.lost_share = 0.0
        for name in names:
            step = simulation.work.steps[name][0]
            assert await simulation.submit(build_workflow(name, step), 1)
        await assert_all_are_done(simulation, names)

    run_virtual(main())


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("may_run_twice", [False, True])
def test_only_a_speculative_step_gets_a_copy(may_run_twice: bool, seed: int) -> None:
    """Guards against a copy of a slow run whose step doesn't allow it."""

    async def main() -> None:
        simulation = CellSimulation(workers=4, seed=seed)
        await simulation.sleep_ms(1_500)
        slow = TaskRef(JOB, 0, 0, seed)
        normal = simulation.work.duration_ms
        cast(Any, simulation.work).duration_ms = lambda ref: normal(ref) * (
            8 if ref == slow else 1
        )
        step = build_step(
            TASKS, estimated_ms=LEASE_MS // 4, may_run_twice=may_run_twice
        )
        assert await simulation.submit(build_workflow(JOB, step))
        await simulation.sleep_ms(6_000)
        copies = simulation.work.starts - TASKS
        assert bool(events_of(simulation, Event.TASK_LAGGING)) == may_run_twice
        assert bool(copies) == may_run_twice
        await assert_each_task_runs_once(simulation)

    run_virtual(main())

"""Calls of one worker that overlap, arrive late or are sent late."""

import asyncio
import socket
import time
from random import Random
from typing import Any

import pytest
from result import Err, Ok

from hyssopweir.agents import CommandResult, LeaseReply, StartCommand, StartReply
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import EventLog
from hyssopweir.platform.http_agent import LATE_REPLY_MS, HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.renewal_calls import Renewal, RenewalCalls, RenewalResult
from hyssopweir.task_state import RunRef, TaskRef
from tests.cell_simulation import (
    CellSimulation,
    FakeInstance,
    InstanceClock,
    build_entry,
    build_step,
    build_workflow,
)
from tests.test_late_replies import (
    delay_replies,
    end_delays,
    finish_jobs,
    start_jobs,
)
from tests.virtual_time import run_virtual

SEEDS = range(4)
POLL_MS: Millis = 5
COMMAND_TIMEOUT_MS: Millis = 600
HOST = "127.0.0.1"


class Network:
    """Network that delays each call and each reply of an instance by random times."""

    def __init__(
        self,
        simulation: CellSimulation,
        instance: FakeInstance,
        seed: int,
        longest_ms: Millis,
        share: float,
    ) -> None:
        self.simulation = simulation
        self.clock = simulation.clock
        self.random = Random(seed)
        self.longest_ms = longest_ms
        self.share = share
        agent: Any = instance.agent
        self.is_open = True
        self.reply_ms: Millis = 0
        agent.renew_leases = self.renew_leases
        agent.start = self.start
        agent.stop = self.stop

    def _delay_ms(self) -> Millis:
        if not self.is_open or self.random.random() > self.share:
            return 2
        return self.random.randint(2, self.longest_ms)

    async def _within(self, call: Any, timeout_ms: Millis) -> Any:
        task = asyncio.get_running_loop().create_task(call)
        done, _ = await asyncio.wait([task], timeout=timeout_ms / 1_000)
        return task.result() if done else None

    async def renew_leases(
        self,
        worker: Any,
        token: int,
        acknowledgement: Any,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Any:
        fake = self.simulation.workers[worker.worker_id]
        number, connection = acknowledgement or (0, fake.lives)
        if connection != fake.lives:
            return Err(CommandResult.DISCONNECTED)

        async def serve() -> Any:
            await self.clock.sleep_ms(self._delay_ms())
            life = fake.lives
            if fake.is_cut or (number and life != connection):
                return Err(CommandResult.UNKNOWN)
            limit_ms = self.clock.now_ms() + wait_ms
            reply = fake.renew_leases(token, number, lease_until_ms)
            while not isinstance(reply, CommandResult) and not reply.ended:
                if self.clock.now_ms() >= limit_ms:
                    break
                await self.clock.sleep_ms(POLL_MS)
                if fake.lives != life:
                    return Err(CommandResult.UNKNOWN)
                reply = fake.list_runs()
            if not isinstance(reply, CommandResult):
                fake.record_listed(reply)
            await self.clock.sleep_ms(self._delay_ms() + self.reply_ms)
            if isinstance(reply, CommandResult):
                return Err(reply)
            return Ok(reply._replace(connection=life))

        reply = await self._within(serve(), timeout_ms + LATE_REPLY_MS)
        return reply or Err(CommandResult.UNKNOWN)

    async def start(self, worker: Any, command: Any, timeout_ms: Millis) -> Any:
        fake = self.simulation.workers[worker.worker_id]

        async def serve() -> Any:
            await self.clock.sleep_ms(self._delay_ms())
            if fake.is_cut:
                return StartReply(CommandResult.UNKNOWN)
            reply = fake.answer_start(command)
            await self.clock.sleep_ms(self._delay_ms())
            return reply

        reply = await self._within(serve(), timeout_ms + LATE_REPLY_MS)
        return reply or StartReply(CommandResult.UNKNOWN)

    async def stop(self, worker: Any, ref: Any, token: int, timeout_ms: Millis) -> Any:
        fake = self.simulation.workers[worker.worker_id]

        async def serve() -> Any:
            await self.clock.sleep_ms(self._delay_ms())
            if fake.is_cut:
                return CommandResult.UNKNOWN
            reply = fake.stop(ref, token)
            await self.clock.sleep_ms(self._delay_ms())
            return reply

        return await self._within(serve(), timeout_ms) or CommandResult.UNKNOWN


async def play_network(
    seed: int, longest_ms: Millis, share: float, restarts: int, crashes: int
) -> tuple[CellSimulation, list[str]]:
    simulation = await start_jobs(seed, 500, 9_000)
    random = Random(seed)
    networks = [
        Network(simulation, one, seed, longest_ms, share)
        for one in simulation.instances
    ]
    for number in range(4, 14):
        step = build_step(2, estimated_ms=random.randint(300, 6_000))
        workflow = build_workflow(f"j{number}", step)
        simulation.register_workflow(workflow)
        while not await simulation.submit(workflow):
            pass
        await simulation.sleep_ms(random.randint(100, 2_000))
        if restarts and number % 3 == 0:
            fake = random.choice(list(simulation.workers.values()))
            fake.restart(simulation.clock.wall_ms(), random.randrange(60_000))
            fake.entry = fake.entry._replace(born_ms=fake.born_ms)
        owner = next((one for one in simulation.instances if one.owns), None)
        if crashes and number % 4 == 0 and owner is not None:
            await owner.crash()
            owner.start()
    await simulation.sleep_ms(8_000)
    for network in networks:
        network.is_open = False
    return simulation, await finish_jobs(simulation, 14)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("crashes", [0, 1])
@pytest.mark.parametrize(("longest_ms", "share"), [(900, 0.8), (2_000, 0.4)])
def test_calls_that_overtake_each_other_start_no_task_twice(
    seed: int, crashes: int, longest_ms: int, share: float
) -> None:
    """Guards against verdicts by replies that overtake each other."""
    play = play_network(seed, longest_ms, share, 0, crashes)
    simulation, unfinished = run_virtual(play)
    assert simulation.work.breaches == []
    assert unfinished == []


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("crashes", [0, 1])
@pytest.mark.parametrize(("longest_ms", "share"), [(900, 0.8), (2_000, 0.4)])
def test_restarts_beside_late_calls_start_no_task_twice(
    seed: int, crashes: int, longest_ms: int, share: float
) -> None:
    """Guards against ends that are lost as a restart is noticed before their list."""
    play = play_network(seed, longest_ms, share, 1, crashes)
    simulation, unfinished = run_virtual(play)
    assert simulation.work.breaches == []
    assert unfinished == []


async def play_fault_during_lost_start(seed: int) -> list[str]:
    """Lose a start, and let a renewal of its worker raise before its timeout."""
    simulation = CellSimulation(workers=1, instances=1, seed=seed)
    await simulation.sleep_ms(1_500)
    agent: Any = simulation.instances[0].agent
    renew, started = agent.renew_leases, agent.start
    lost: list[bool] = []

    async def start(worker: Any, command: Any, timeout_ms: Millis) -> Any:
        if lost:
            return await started(worker, command, timeout_ms)
        lost.append(True)
        agent.renew_leases = renew_leases
        await simulation.clock.sleep_ms(timeout_ms)
        return StartReply(CommandResult.UNKNOWN)

    async def renew_leases(*args: Any) -> Any:
        agent.renew_leases = renew
        raise RuntimeError("fault in the handling of a reply")

    agent.start = start
    step = build_step(1, estimated_ms=3_000)
    random = Random(seed)
    await simulation.sleep_ms(random.randrange(700))
    assert await simulation.submit(build_workflow("j0", step))
    finished = await finish_jobs(simulation, 1)
    assert lost
    return finished


@pytest.mark.parametrize("seed", range(8))
def test_fault_in_a_renewal_loses_no_start(seed: int) -> None:
    """Guards against a run that stays started for good without a reply."""
    assert run_virtual(play_fault_during_lost_start(seed)) == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("delay_ms", [2_300, 2_700, 3_500])
@pytest.mark.parametrize("lists_at_reply", [False, True])
def test_replies_later_than_all_timeouts_start_no_task_twice(
    seed: int, delay_ms: int, lists_at_reply: bool
) -> None:
    """Guards against leases that end as all replies are later than the last limit."""

    async def play() -> tuple[CellSimulation, list[str]]:
        simulation = await start_jobs(seed, 1_000, 5_000)
        delay_replies(simulation, delay_ms, False, lists_at_reply)
        await simulation.sleep_ms(20_000)
        end_delays(simulation)
        return simulation, await finish_jobs(simulation)

    simulation, unfinished = run_virtual(play())
    assert simulation.work.breaches == []
    assert unfinished == []


def _full_listener() -> tuple[socket.socket, list[socket.socket]]:
    """Return a listener whose queue is full, so that connecting takes long."""
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen(0)
    clients = []
    for _ in range(4):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(listener.getsockname())
        clients.append(client)
    time.sleep(0.1)
    return listener, clients


def test_start_is_given_up_while_it_has_no_connection() -> None:
    """Guards against a start that is sent after its caller has given it up."""

    async def main() -> tuple[Any, float]:
        listener, clients = _full_listener()
        client = JsonHttpClient()
        agent = HttpAgent(client, client, EventLog("a", "kista", Clock()))
        entry = build_entry(host=HOST, port=listener.getsockname()[1])
        command = StartCommand(RunRef(TaskRef("j0", 0, 0, 0), 1), "menu", 9_000, 7, "")
        began = time.monotonic()
        reply = await agent.start(entry, command, COMMAND_TIMEOUT_MS)
        passed_s = time.monotonic() - began
        await client.close()
        for one in [*clients, listener]:
            one.close()
        return reply.result, passed_s

    result, passed_s = asyncio.run(main())
    assert result is CommandResult.NOT_SENT
    assert passed_s * 1_000 < COMMAND_TIMEOUT_MS + 200


async def play_restart_with_a_reply_on_its_way(
    seed: int,
) -> tuple[CellSimulation, str]:
    """Restart a worker while the reply that lists an end of it is on its way."""
    simulation = CellSimulation(workers=3, instances=1, seed=seed)
    simulation.work.counts_listed_ends = True
    await simulation.sleep_ms(1_500)
    network = Network(simulation, simulation.instances[0], seed, 2, 0.0)
    step = build_step(1, estimated_ms=2_000 + 100 * seed)
    assert await simulation.submit(build_workflow("j0", step))
    await simulation.sleep_ms(1_000)
    fake = next(one for one in simulation.workers.values() if one.running)
    # Only the replies take long, as they do with a lost packet.
    network.reply_ms = 500
    while not simulation.work.listed:
        await simulation.sleep_ms(5)
    fake.restart(simulation.clock.wall_ms(), 1_000)
    fake.entry = fake.entry._replace(born_ms=fake.born_ms)
    await simulation.sleep_ms(1_000)
    network.reply_ms = 0
    unfinished = await finish_jobs(simulation, 1)
    assert unfinished == []
    return simulation, fake.entry.worker_id


@pytest.mark.parametrize("seed", SEEDS)
def test_list_of_a_process_that_has_ended_still_counts(seed: int) -> None:
    """Guards against a second run as the notice of a restart overtakes a list."""
    simulation, _ = run_virtual(play_restart_with_a_reply_on_its_way(seed))
    assert simulation.work.breaches == []
    assert simulation.work.starts == 1


async def play_start_without_a_connection(seed: int) -> Millis:
    """Return after which time a task runs whose first worker can't be connected to."""
    simulation = CellSimulation(workers=2, instances=1, seed=seed)
    await simulation.sleep_ms(1_500 + 100 * seed)
    agent: Any = simulation.instances[0].agent
    started = agent.start
    dark: set[str] = set()

    async def start(worker: Any, command: Any, timeout_ms: Millis) -> Any:
        if not dark:
            # Its machine has lost its power.
            dark.add(worker.worker_id)
            agent.cut_workers.add(worker.worker_id)
        if worker.worker_id not in dark:
            return await started(worker, command, timeout_ms)
        # As ``HttpAgent`` does without a connection.
        await simulation.clock.sleep_ms(timeout_ms)
        return StartReply(CommandResult.NOT_SENT)

    agent.start = start
    step = build_step(1, estimated_ms=60_000)
    assert await simulation.submit(build_workflow("j0", step))
    began_ms = simulation.clock.now_ms()
    while not simulation.work.starts:
        await simulation.sleep_ms(10)
        assert simulation.clock.now_ms() < began_ms + 30_000
    return simulation.clock.now_ms() - began_ms


@pytest.mark.parametrize("seed", SEEDS)
def test_start_without_a_connection_goes_elsewhere_at_once(seed: int) -> None:
    """Guards against a task that waits for the end of a lease that it never had."""
    assert run_virtual(play_start_without_a_connection(seed)) < 2_000


async def play_lost_worker_with_late_replies(
    seed: int, delay_ms: Millis, is_taken_over: bool
) -> Millis:
    """Return for how long lasting tasks are away whose worker loses its power."""
    simulation = CellSimulation(workers=4, instances=2, seed=seed)
    await simulation.sleep_ms(1_500)
    step = build_step(4, is_endless=True)
    assert await simulation.submit(build_workflow("j0", step))
    await simulation.sleep_ms(1_000)
    for fake in simulation.workers.values():
        fake.reply_delay_ms = fake.command_delay_ms = delay_ms
    await simulation.sleep_ms(8_000 + 170 * seed)
    lost = max(simulation.workers.values(), key=lambda fake: len(fake.running))
    tasks = {ref.task for ref in lost.running}
    lost.is_cut = True
    lost.restart()
    began_ms = simulation.clock.now_ms()
    for instance in simulation.instances:
        instance.agent.cut_workers.add(lost.entry.worker_id)
    if is_taken_over:
        await simulation.sleep_ms(300)
        await simulation.owner().crash()
    while not all(simulation.work.live.get(task) for task in tasks):
        await simulation.sleep_ms(10)
        if simulation.clock.now_ms() - began_ms > 3_300:
            lost.is_listed = False
        assert simulation.clock.now_ms() < began_ms + 60_000
    return simulation.clock.now_ms() - began_ms


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("is_taken_over", [False, True])
@pytest.mark.parametrize("delay_ms", [0, 300, 900, 1_500])
def test_lasting_tasks_are_back_though_replies_were_late(
    seed: int, delay_ms: int, is_taken_over: bool
) -> None:
    """Guards against timeouts that keep lasting tasks of a lost worker away."""
    play = play_lost_worker_with_late_replies(seed, delay_ms, is_taken_over)
    away_ms = run_virtual(play)
    assert away_ms <= 9_000


def test_start_is_not_sent_after_its_caller_gave_it_up() -> None:
    """Guards against a start that reaches its worker long after its verdict."""

    async def main() -> tuple[bytes, float]:
        listener, clients = _full_listener()
        client = JsonHttpClient()
        agent = HttpAgent(client, client, EventLog("a", "kista", Clock()))
        entry = build_entry(host=HOST, port=listener.getsockname()[1])
        command = StartCommand(RunRef(TaskRef("j0", 0, 0, 0), 1), "menu", 9_000, 7, "")
        loop = asyncio.get_running_loop()
        call = loop.create_task(agent.start(entry, command, COMMAND_TIMEOUT_MS))
        began = time.monotonic()
        # Only now the process of the worker gets to accept connections.
        await asyncio.sleep(COMMAND_TIMEOUT_MS / 1_000 + 0.1)
        listener.setblocking(False)
        received, received_s = b"", 0.0
        while time.monotonic() < began + 2.5 and not received:
            try:
                conn, _ = await asyncio.wait_for(loop.sock_accept(listener), 0.2)
                clients.append(conn)
                conn.setblocking(False)
                received = await asyncio.wait_for(loop.sock_recv(conn, 4_096), 0.2)
                received_s = time.monotonic() - began
            except TimeoutError:
                continue
        call.cancel()
        await client.close()
        for one in [*clients, listener]:
            one.close()
        return received, received_s

    received, received_s = asyncio.run(main())
    assert not received, f"sent after {received_s:.1f} s"


def test_reply_that_came_while_another_was_processed_is_no_timeout() -> None:
    """Guards against a silent worker as its owner stood still between two waits."""

    async def main() -> None:
        clock = InstanceClock()
        calls = RenewalCalls(clock)

        async def renew() -> RenewalResult:
            await clock.sleep_ms(200)
            return Ok(LeaseReply(1, 1, [], []))

        renewal = Renewal(clock.now_ms(), 1, 0, True, False)
        calls.send(renew(), renewal, COMMAND_TIMEOUT_MS)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, setattr, clock, "is_frozen", True)
        loop.call_later(1.2, setattr, clock, "is_frozen", False)
        # The ends of an older reply are being stored.
        await clock.sleep_ms(150)
        replied = await calls.next_reply()
        assert replied is not None
        assert replied[1] == Ok(LeaseReply(1, 1, [], []))

    run_virtual(main())

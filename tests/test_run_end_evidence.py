"""Evidence that a run is over, and what looks like it while the run goes on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest
from aiohttp import web
from result import Err, Ok, Result

from hyssopweir.agent_link import LONGEST_LEASE_MS, AgentLink, lease_times
from hyssopweir.agents import (
    Agent,
    CommandResult,
    LeaseReply,
    StartCommand,
    StartReply,
    WorkerEntry,
)
from hyssopweir.cell_heartbeats import CellHeartbeats, Heartbeat, HeartbeatResult
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import Event, EventLog
from hyssopweir.fencing import TOKENS_PER_EPOCH, FencingTokens
from hyssopweir.ownership_proof import PROVEN_LEASE_MS, OwnershipProof
from hyssopweir.platform.http_agent import HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.task_state import Run, RunRef, TaskRef
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.job_checks import events_of
from tests.virtual_time import VirtualClock, run_virtual

TASKS = 8
HOST = "127.0.0.1"
REF = RunRef(TaskRef("5c0e7a21d94b36f8", 0, 1, 17), 2)
COMMAND = StartCommand(REF, "paint", 9_000, 7)
# Longer than an unlisted worker without runs keeps its link.
UNLISTED_MS: Millis = 17_000


async def start_endless_tasks(workers: int = 4) -> tuple[CellSimulation, FakeWorker]:
    """Return a simulation with running tasks, and the worker with most of them."""
    simulation = CellSimulation(workers)
    await simulation.sleep_ms(1_000)
    step = build_step(TASKS, is_endless=True)
    assert await simulation.submit(build_workflow("j1", step))
    await simulation.sleep_ms(1_000)
    return simulation, max(
        simulation.workers.values(), key=lambda fake: len(fake.running)
    )


def delay_lease_replies(simulation: CellSimulation, delay_ms: Millis) -> None:
    """Deliver each lease reply ``delay_ms`` after its worker has built it."""
    for instance in simulation.instances:
        renew = instance.agent.renew_leases

        async def renew_slowly(
            *args: Any, renew: Callable[..., Awaitable[Any]] = renew
        ) -> Any:
            reply = await renew(*args)
            if isinstance(reply, Ok):
                await simulation.clock.sleep_ms(delay_ms)
            return reply

        instance.agent.renew_leases = renew_slowly


def test_command_is_not_repeated_on_a_connection_that_closes() -> None:
    """Guards against a client that sends a start again after its reply was lost."""
    requests: list[bytes] = []

    async def reply_once(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            requests.append(head)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            if len(requests) > 1:
                break
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(reply_once, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        entry = build_entry(host=HOST, port=port)
        client = JsonHttpClient()
        agent = HttpAgent(client, client, EventLog("a", "kista", Clock()))
        first = await agent.start(entry, COMMAND, 2_000)
        second = await agent.start(entry, COMMAND, 2_000)
        await asyncio.sleep(0.2)
        await client.close()
        server.close()
        assert first.result is CommandResult.ACCEPTED
        assert second.result is CommandResult.UNKNOWN
        assert len(requests) == 2

    asyncio.run(main())


def test_worker_without_an_entry_that_replies_keeps_its_runs() -> None:
    """Guards against lost work on a worker that reaches its owner, but not the store.

    The same holds for an entry that another writer has made unreadable.
    """

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        worker.is_listed = False
        await simulation.sleep_ms(UNLISTED_MS)
        assert simulation.work.starts == TASKS
        assert worker.running

    run_virtual(main())


def test_entry_of_an_earlier_life_ends_no_run() -> None:
    """Guards against an entry that is older than the last reply of its worker."""

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        worker.restart()
        await simulation.sleep_ms(3_000)
        starts = simulation.work.starts
        for born_ms in (worker.born_ms - 1, worker.born_ms):
            worker.entry = worker.entry._replace(born_ms=born_ms)
            await simulation.sleep_ms(1_000)
        assert simulation.work.starts == starts
        assert simulation.work.breaches == []

    run_virtual(main())


def test_report_that_was_built_before_a_start_ends_no_run() -> None:
    """Guards against a list that is overtaken by the reply to a start command."""

    async def main() -> None:
        simulation = CellSimulation(2)
        await simulation.sleep_ms(1_000)
        delay_lease_replies(simulation, 250)
        for number in range(8):
            step = build_step(1, is_endless=True)
            assert await simulation.submit(build_workflow(f"j{number}", step))
            await simulation.sleep_ms(330)
        await simulation.sleep_ms(2_000)
        assert simulation.work.starts == 8
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("is_listed", [False, True])
def test_owner_without_its_store_keeps_no_run_alive(is_listed: bool) -> None:
    """Guards against two runs while an owner and a worker are cut off together."""

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        owner = simulation.owner()
        for instance in simulation.instances:
            instance.agent.cut_workers = {worker.entry.worker_id}
        owner.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
        owner.faults.is_silent = True
        worker.is_listed = is_listed
        await simulation.sleep_ms(15_000)
        assert simulation.work.breaches == []

    run_virtual(main())


@pytest.mark.parametrize("pause_ms", [1_600, 1_800])
def test_owner_that_wakes_before_the_first_heartbeat_of_the_next_proves_nothing(
    pause_ms: Millis, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a heartbeat of a replaced owner that counts as its proof."""
    write = CellHeartbeats.write

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        owner = simulation.owner()
        for instance in simulation.instances:
            instance.agent.cut_workers = {worker.entry.worker_id}
        owner.agent.cut_workers = set(simulation.workers) - {worker.entry.worker_id}
        worker.is_listed = False

        async def delay_first_write(
            self: CellHeartbeats, cell: str, heartbeat: Heartbeat
        ) -> HeartbeatResult:
            if heartbeat.epoch == 2 * TOKENS_PER_EPOCH and heartbeat.number == 1:
                await simulation.clock.sleep_ms(2_500)
            return await write(self, cell, heartbeat)

        monkeypatch.setattr(CellHeartbeats, "write", delay_first_write)
        owner.set_frozen(True)
        await simulation.sleep_ms(pause_ms)
        owner.set_frozen(False)
        await simulation.sleep_ms(12_000)
        assert simulation.work.breaches == []

    run_virtual(main())


def test_stop_that_another_process_answered_is_sent_again() -> None:
    """Guards against a run of a cancelled job that goes on after a reply 421."""

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        for instance in simulation.instances:
            instance.agent.gone_result = CommandResult.OTHER_LIFE
            instance.agent.gone_workers.add(worker.entry.worker_id)
        assert (await simulation.instances[1].api.cancel("j1", 3_000)).is_ok()
        while not events_of(simulation, Event.TASK_EVICTING):
            await simulation.sleep_ms(1)
        await simulation.sleep_ms(10)
        for instance in simulation.instances:
            instance.agent.gone_workers.clear()
        await simulation.sleep_ms(5_000)
        assert not any(fake.running for fake in simulation.workers.values())

    run_virtual(main())


def test_uncertain_start_is_settled_after_another_process_answered() -> None:
    """Guards against a task that waits for good for a start that was never made."""

    async def main() -> None:
        simulation = CellSimulation(4)
        await simulation.sleep_ms(1_000)
        lost: list[RunRef] = []
        for instance in simulation.instances:
            start, stop = instance.agent.start, instance.agent.stop

            async def lose_first_start(
                entry: WorkerEntry,
                command: StartCommand,
                timeout_ms: Millis,
                start: Callable[..., Awaitable[StartReply]] = start,
            ) -> StartReply:
                if lost:
                    return await start(entry, command, timeout_ms)
                lost.append(command.ref)
                await simulation.clock.sleep_ms(timeout_ms)
                return StartReply(CommandResult.UNKNOWN)

            async def misdirect_first_stop(
                *args: Any, stop: Callable[..., Awaitable[CommandResult]] = stop
            ) -> CommandResult:
                if len(lost) > 1:
                    return await stop(*args)
                lost.append(args[1])
                return CommandResult.OTHER_LIFE

            agent = cast(Any, instance.agent)
            agent.start, agent.stop = lose_first_start, misdirect_first_stop
        step = build_step(TASKS, is_endless=True)
        assert await simulation.submit(build_workflow("j1", step))
        await simulation.sleep_ms(10_000)
        assert sum(len(fake.running) for fake in simulation.workers.values()) == TASKS

    run_virtual(main())


@pytest.mark.parametrize("body", [b"", b"{}", b"upstream timed out"])
@pytest.mark.parametrize("status", [404, 500, 502, 504])
def test_reply_of_a_proxy_does_not_prove_that_nothing_was_done(
    status: int, body: bytes
) -> None:
    """Guards against a run that starts although its start counts as refused."""

    async def reply(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=status, body=body)

    async def main() -> None:
        runner = web.ServerRunner(web.Server(reply))
        await runner.setup()
        site = web.TCPSite(runner, HOST, 0)
        await site.start()
        entry = build_entry(host=HOST, port=runner.addresses[0][1])
        client = JsonHttpClient()
        agent = HttpAgent(client, client, EventLog("a", "kista", Clock()))
        results = [
            (await agent.start(entry, COMMAND, 1_000)).result,
            await agent.stop(entry, REF, 7, 1_000),
        ]
        await client.close()
        await runner.cleanup()
        assert results == [CommandResult.UNKNOWN] * 2

    asyncio.run(main())


@pytest.mark.parametrize("after_ms", [300, 500, 700])
def test_start_in_a_new_life_outlasts_an_earlier_report_of_it(after_ms: int) -> None:
    """Guards against the end of a run that a restarted worker has just accepted."""

    async def main() -> None:
        simulation = CellSimulation(2)
        await simulation.sleep_ms(1_000)
        delay_lease_replies(simulation, 250)
        await simulation.sleep_ms(1_500 + after_ms)
        for worker in simulation.workers.values():
            worker.restart()
        await simulation.sleep_ms(120)
        step = build_step(4, is_endless=True)
        assert await simulation.submit(build_workflow("j1", step))
        await simulation.sleep_ms(4_000)
        assert events_of(simulation, Event.WORKER_RESTARTED)
        assert simulation.work.starts == 4
        assert simulation.work.breaches == []

    run_virtual(main())


def test_stop_by_a_former_life_does_not_settle_a_late_start() -> None:
    """Guards against a start that is carried out after a restart, beside the next."""

    async def main() -> None:
        simulation = CellSimulation(4)
        await simulation.sleep_ms(1_000)
        late: list[WorkerEntry] = []
        for instance in simulation.instances:
            start = instance.agent.start

            async def delay_first_start(
                entry: WorkerEntry,
                command: StartCommand,
                timeout_ms: Millis,
                start: Callable[..., Awaitable[StartReply]] = start,
            ) -> StartReply:
                if late:
                    return await start(entry, command, timeout_ms)
                late.append(entry)
                fake = simulation.workers[entry.worker_id]
                asyncio.get_running_loop().call_later(1.5, fake.start, command)
                await simulation.clock.sleep_ms(timeout_ms)
                return StartReply(CommandResult.UNKNOWN)

            cast(Any, instance.agent).start = delay_first_start
        step = build_step(1, is_endless=True)
        assert await simulation.submit(build_workflow("j1", step))
        while not events_of(simulation, Event.TASK_EVICTING):
            await simulation.sleep_ms(1)
        # The stop is accepted, but the next report hasn't come yet.
        await simulation.sleep_ms(10)
        simulation.workers[late[0].worker_id].restart()
        await simulation.sleep_ms(5_000)
        assert simulation.work.breaches == []
        assert sum(len(fake.running) for fake in simulation.workers.values()) == 1

    run_virtual(main())


class RestartingWorker:
    """Agent of one worker whose clock begins anew when it restarts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lives = 0
        self.is_cut = False
        self.restart(clock_ms=400_000)

    def restart(self, clock_ms: Millis) -> None:
        self._lives += 1
        self._offset_ms = clock_ms - self._clock.now_ms()
        self._lease_until_ms = 0

    def lease_left_ms(self) -> Millis:
        return self._lease_until_ms - self._worker_ms()

    def _worker_ms(self) -> Millis:
        return self._clock.now_ms() + self._offset_ms

    def _grant(self, until_ms: Millis) -> None:
        longest_ms = self._worker_ms() + LONGEST_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest_ms))

    async def start(
        self, _: WorkerEntry, command: StartCommand, __: Millis
    ) -> StartReply:
        self._grant(command.lease_until_ms)
        return StartReply(CommandResult.ACCEPTED, self._worker_ms())

    async def renew_leases(
        self,
        _: WorkerEntry,
        __: int,
        ___: int,
        lease_until_ms: Millis | None,
        wait_ms: Millis,
        timeout_ms: Millis,
    ) -> Result[LeaseReply, CommandResult]:
        lives = self._lives
        if not self.is_cut:
            self._grant(lease_until_ms or 0)
            await self._clock.sleep_ms(wait_ms)
        if self.is_cut or lives != self._lives:
            await self._clock.sleep_ms(timeout_ms - wait_ms)
            return Err(CommandResult.UNKNOWN)
        return Ok(LeaseReply(self._worker_ms(), self._lives, [], []))


@pytest.mark.parametrize("clock_ms", [100, 100_000, 399_000])
def test_lease_that_a_start_gave_to_a_new_life_is_waited_for(clock_ms: Millis) -> None:
    """Guards against a lease end computed from the clock of a former life.

    The clock of the new one starts at any value.
    """

    async def main() -> None:
        clock = VirtualClock()
        worker = RestartingWorker(clock)
        left_ms: list[Millis] = []
        link = build_link(
            worker, clock, on_lapsed=lambda _: left_ms.append(worker.lease_left_ms())
        )
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(2_000)
        worker.restart(clock_ms)
        run = Run(REF, "w0", 0, clock.now_ms())
        assert await link.start(run, "paint", "") is CommandResult.ACCEPTED
        await clock.sleep_ms(3_000)
        worker.is_cut = True
        while not left_ms:
            await clock.sleep_ms(10)
        renewals.cancel()
        assert left_ms[0] <= 0

    run_virtual(main())


class RefusingWorker(RestartingWorker):
    """Worker that refuses calls below a token, and is reached late by renewals."""

    lowest_token = 0
    renewals_refused = 0

    async def renew_leases(
        self, entry: WorkerEntry, token: int, *args: Any
    ) -> Result[LeaseReply, CommandResult]:
        # A call that its sender gives up arrives all the same.
        return await asyncio.shield(self._renew_late(entry, token, *args))

    async def _renew_late(
        self, entry: WorkerEntry, token: int, *args: Any
    ) -> Result[LeaseReply, CommandResult]:
        await self._clock.sleep_ms(100)
        if token < self.lowest_token:
            self.renewals_refused += 1
            return Err(CommandResult.FENCED)
        return await super().renew_leases(entry, token, *args)


def build_link(
    worker: RestartingWorker,
    clock: VirtualClock,
    on_fenced: Callable[[], None] = lambda: None,
    on_lapsed: Callable[[AgentLink], None] = lambda _: None,
) -> AgentLink:
    log = EventLog("a", "kista", clock)
    return AgentLink(
        build_entry(),
        FencingTokens(1),
        cast(Agent, worker),
        clock,
        log,
        lambda *_: None,
        on_fenced,
        OwnershipProof("c0", clock, log),
        lease_times(LONGEST_LEASE_MS),
        on_lapsed,
        lambda _: False,
    )


def test_renewal_that_a_raised_token_overtakes_ends_no_ownership() -> None:
    """Guards against an owner that takes its own raised token for a successor's."""

    async def main() -> None:
        clock = VirtualClock()
        worker = RefusingWorker(clock)
        fenced: list[bool] = []
        link = build_link(worker, clock, lambda: fenced.append(True))
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(1_050)
        link.record_listed_restart(2)
        worker.lowest_token = 2
        await clock.sleep_ms(2_000)
        assert worker.renewals_refused == 1
        assert not fenced
        worker.lowest_token = 10_000
        await clock.sleep_ms(2_000)
        renewals.cancel()
        assert fenced

    run_virtual(main())


def test_entry_that_changes_again_shows_no_further_restart() -> None:
    """Guards against runs that never lapse, as each change of an entry defers it."""

    async def main() -> None:
        clock = VirtualClock()
        worker = RestartingWorker(clock)
        link = build_link(worker, clock)
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(1_000)
        worker.is_cut = True
        link.record_listed_restart(2)
        left_ms = link.contact_fields()["lease_left_ms"]
        await clock.sleep_ms(3_000)
        link.record_listed_restart(2)
        assert link.contact_fields()["lease_left_ms"] <= left_ms - 3_000
        renewals.cancel()

    run_virtual(main())


def test_clock_of_another_worker_shows_no_restart() -> None:
    """Guards against an address that reaches another worker for a while."""

    async def main() -> None:
        clock = VirtualClock()
        worker = RestartingWorker(clock)
        link = build_link(worker, clock)
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(1_000)

        async def misroute(*_: Any) -> StartReply:
            return StartReply(CommandResult.OTHER_LIFE, 17)

        cast(Any, worker).start = misroute
        run = Run(REF, "w0", 0, clock.now_ms())
        assert await link.start(run, "paint", "") is CommandResult.OTHER_LIFE
        assert link.lease_until_ms() > 0
        renewals.cancel()

    run_virtual(main())


def test_entry_at_the_address_of_a_worker_that_replies_ends_no_run() -> None:
    """Guards against lost work on a worker that lost its entry, not its process."""

    async def main() -> None:
        simulation, worker = await start_endless_tasks()
        worker.is_listed = False
        entry = build_entry(9, host=worker.entry.host, port=worker.entry.port)
        simulation.add_worker(entry).is_cut = True
        await simulation.sleep_ms(3_000)
        assert simulation.work.starts == TASKS
        assert simulation.work.breaches == []

    run_virtual(main())


def test_owner_without_a_recent_proof_grants_no_lease() -> None:
    """Guards against a bound of former leases that is sent as a lease."""

    async def main() -> None:
        clock = VirtualClock()
        worker = RestartingWorker(clock)
        link = build_link(worker, clock)
        renewals = asyncio.ensure_future(link.run())
        await clock.sleep_ms(PROVEN_LEASE_MS - 500)
        # Its first replies are those of a young process, whose leases may be long.
        worker.restart(clock_ms=100)
        await clock.sleep_ms(1_500)
        assert link.lease_until_ms() == 0
        assert worker.lease_left_ms() <= 0
        renewals.cancel()

    run_virtual(main())

"""Evidence that a run is over, and what looks like it while the run goes on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from result import Ok

from hyssopweir.agents import CommandResult, StartCommand
from hyssopweir.clock import Clock, Millis
from hyssopweir.events import EventLog
from hyssopweir.platform.http_agent import HttpAgent
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.task_state import RunRef, TaskRef
from tests.agent_fakes import FakeWorker
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.virtual_time import run_virtual

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
        agent = HttpAgent(client, EventLog("a", "kista", Clock()))
        first = await agent.start(entry, COMMAND, 2_000)
        second = await agent.start(entry, COMMAND, 2_000)
        await asyncio.sleep(0.2)
        await client.close()
        server.close()
        assert first is CommandResult.ACCEPTED
        assert second is CommandResult.UNKNOWN
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

"""Ends are acknowledged on the connection that they were listed on, or not at all.

A worker that starts again under its id and address numbers its ends anew.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from result import Err

from hyssopweir.agents import (
    Acknowledgement,
    CommandResult,
    LeaseReply,
    StartCommand,
    WorkerEntry,
)
from hyssopweir.end_numbers import FIRST_LOGGED_DISCONNECTIONS, EndNumbers
from hyssopweir.events import Event, EventLog
from hyssopweir.platform.http_agent import HttpAgent, parse_worker_entry
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.task_state import RunOutcome, RunRef, TaskRef
from tests.cell_simulation import CellSimulation, run_short_tasks
from tests.platform_cluster import PlatformCluster, running_platform
from tests.virtual_time import VirtualClock, run_virtual

TIMEOUT_MS = 1_000
TASK = TaskRef("5c0e7a21d94b36f8", 0, 0, 1)
COMMAND = StartCommand(RunRef(TASK, 1), "paint", 9_000, 7)


class Owner:
    """Owner of the worker of a cluster, with the calls that it sends."""

    def __init__(self, cluster: PlatformCluster, renewals: JsonHttpClient) -> None:
        self._cluster = cluster
        self.agent = HttpAgent(cluster.client, renewals, cluster.log())

    @property
    def entry(self) -> WorkerEntry:
        entry = self._cluster.worker.entry(self._cluster.worker_port)
        return parse_worker_entry("i-1", json.dumps(entry).encode())

    async def start_task(self) -> None:
        reply = await self.agent.start(self.entry, COMMAND, TIMEOUT_MS)
        assert reply.result is CommandResult.ACCEPTED

    async def renew(self, acknowledgement: Acknowledgement | None = None) -> Any:
        return await self.agent.renew_leases(
            self.entry, 7, acknowledgement, None, 0, TIMEOUT_MS
        )

    async def renew_former(self, worker_id: str) -> None:
        """Send a renewal for a worker that had the address before."""
        entry = self.entry._replace(worker_id=worker_id)
        reply = await self.agent.renew_leases(entry, 7, None, None, 0, TIMEOUT_MS)
        assert reply == Err(CommandResult.OTHER_LIFE)

    async def list_ends(self) -> LeaseReply:
        reply = (await self.renew()).unwrap()
        assert [end.how for end in reply.ended] == [RunOutcome.DONE]
        assert isinstance(reply, LeaseReply)
        return reply


@asynccontextmanager
async def running_owner() -> AsyncIterator[tuple[PlatformCluster, Owner]]:
    async with running_platform() as cluster:
        renewals = JsonHttpClient()
        try:
            yield cluster, Owner(cluster, renewals)
        finally:
            await renewals.close()


def numbers_of(cluster: PlatformCluster) -> list[int]:
    """Return the numbers that the current process of the worker was sent."""
    requests = cluster.worker.requests
    return [body["acknowledged"] for path, body in requests if path == "/hold"]


def test_listed_ends_are_acknowledged_beside_other_calls() -> None:
    """Guards against other calls that take the connection of the renewals."""

    async def main() -> None:
        async with running_owner() as (cluster, owner):
            await owner.start_task()
            listed = await owner.list_ends()
            calls = [asyncio.create_task(owner.start_task()) for _ in range(4)]
            reply = await owner.renew(Acknowledgement(1, listed.connection))
            await asyncio.gather(*calls)
            assert reply.unwrap().connection == listed.connection
            assert numbers_of(cluster) == [0, 1]

    asyncio.run(main())


def test_renewals_of_a_former_worker_at_the_address_take_no_connection() -> None:
    """Guards against ends that are never acknowledged beside another connection."""

    async def main() -> None:
        async with running_owner() as (cluster, owner):
            await owner.start_task()
            listed = await owner.list_ends()
            await asyncio.gather(
                *(owner.renew_former(f"i-{number}") for number in range(2, 5))
            )
            for _ in range(5):
                acknowledgement = Acknowledgement(1, listed.connection)
                reply = (await owner.renew(acknowledgement)).unwrap()
                assert reply.connection == listed.connection
                await owner.renew_former("i-2")

    asyncio.run(main())


def test_process_at_the_same_address_gets_no_number_of_the_former_one() -> None:
    """Guards against ends that a restarted worker forgets before anyone has seen them.

    The restart falls between two renewals, so that no call fails.
    """

    async def main() -> None:
        async with running_owner() as (cluster, owner):
            await owner.start_task()
            listed = await owner.list_ends()
            await cluster.start_worker()
            await owner.start_task()
            refused = await owner.renew(Acknowledgement(1, listed.connection))
            assert refused == Err(CommandResult.DISCONNECTED)
            assert numbers_of(cluster) == []
            listed_again = await owner.list_ends()
            assert listed_again.connection != listed.connection

    asyncio.run(main())


def test_number_is_not_sent_before_a_restart_is_noticed_locally() -> None:
    """Guards against a number on a connection whose end has not arrived here yet."""

    async def main() -> None:
        async with running_owner() as (cluster, owner):
            await owner.start_task()
            listed = await owner.list_ends()
            restart = asyncio.create_task(cluster.start_worker())
            results = []
            while not restart.done():
                await asyncio.sleep(0)
                results.append(await owner.renew(Acknowledgement(1, listed.connection)))
            assert numbers_of(cluster) == []
            assert results[-1] == Err(CommandResult.DISCONNECTED)

    asyncio.run(main())


def test_end_is_acknowledged_once() -> None:
    """Guards against late renewals whose number means other ends by then."""

    async def main() -> None:
        simulation = CellSimulation(workers=1)
        await simulation.sleep_ms(1_500)
        numbers = record_numbers(simulation)
        await run_short_tasks(simulation, "j1", 3)
        # Longer than a renewal waits for the next end.
        await simulation.sleep_ms(2_000)
        sent = [number for number in numbers if number]
        assert sent == sorted(set(sent))
        assert sent[-1] == simulation.workers["w0"].count
        assert numbers[-1] == 0

    run_virtual(main())


def record_numbers(simulation: CellSimulation) -> list[int]:
    """Return the numbers that the owner sends from now on."""
    agent = simulation.owner().agent
    renew, numbers = agent.renew_leases, []

    async def record(
        worker: WorkerEntry,
        token: int,
        acknowledgement: Acknowledgement | None,
        *args: Any,
    ) -> Any:
        numbers.append(acknowledgement.number if acknowledgement else 0)
        return await renew(worker, token, acknowledgement, *args)

    agent.renew_leases = record  # type: ignore[method-assign]
    return numbers


def test_worker_that_closes_each_connection_is_reported() -> None:
    """Guards against ends that are never acknowledged without a sign of why."""

    async def main() -> None:
        records: list[Any] = []
        log = EventLog("a", "kista", VirtualClock())
        log.subscribe(records.append)
        numbers = EndNumbers("w0", log)
        for _ in range(4 * FIRST_LOGGED_DISCONNECTIONS):
            numbers.record_disconnection()
        events = [(record.event, record.fields["times"]) for record in records]
        assert events == [
            (Event.ACKNOWLEDGEMENT_DROPPED, FIRST_LOGGED_DISCONNECTIONS << doublings)
            for doublings in range(3)
        ]

    run_virtual(main())

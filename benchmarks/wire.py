"""Messages and bytes on real loopback connections, HTTP headers included."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from benchmarks.state import configuration_body, session_row, task_row
from hyssopweir.clock import Clock
from hyssopweir.contracts import KeyRow
from hyssopweir.events import EventLog
from hyssopweir.fleet import ListedWorker, Worker
from hyssopweir.fleet_file import check_fleet
from hyssopweir.idempotency import KeyStore
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpSession,
    HttpTableService,
)
from hyssopweir.standin_server import StandinServer
from hyssopweir.table import ABSENT, Put, Require, TableStore
from hyssopweir.worker_client import Fence, TaskRun
from hyssopweir.worker_http import HttpWorkerClient
from tests.builders import build_workers

LOCAL = "127.0.0.1"
CHUNK_BYTES = 65_536
TIMEOUT_MS = 10_000
WATCH_MS = 20


class WireCost(NamedTuple):
    """Hold the messages and the bytes of one operation, both directions."""

    name: str
    messages: int
    sent: int
    received: int


class Relay:
    """Pass connections on to one port and count the bytes."""

    def __init__(self, port: int) -> None:
        self.port = 0
        self.sent = 0
        self.received = 0
        self._target = port
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        back, forth = await asyncio.open_connection(LOCAL, self._target)
        await asyncio.gather(
            self._copy(reader, forth, "sent"), self._copy(back, writer, "received")
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                setattr(self, name, getattr(self, name) + len(chunk))
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Bench:
    """Hold a stand-in behind relays, and the adapters of an instance."""

    def __init__(self) -> None:
        local = {"host": LOCAL, "port": 0}
        fleet = check_fleet(
            {
                "name": "wire",
                "platform": local,
                "list_lag_ms": 0,
                "services": {"instant": {"run_ms": 0}},
                "data_centres": [
                    {
                        "name": "kista",
                        "links": {},
                        "workers": 1,
                        "first_port": 0,
                        "host": LOCAL,
                        "cores": 32,
                        "memory_gb": 125,
                    }
                ],
            }
        ).unwrap()
        self.standin = StandinServer(fleet, Clock())
        self.costs: list[WireCost] = []

    async def open(self) -> None:
        await self.standin.start()
        (part,) = self.standin.workers.values()
        self.platform = Relay(self.standin.platform_listener.port)
        self.worker_relay = Relay(part.port.port)
        for relay in (self.platform, self.worker_relay):
            await relay.open()
        self.worker = part.worker.worker._replace(port=self.worker_relay.port)
        self.http = HttpSession({"host": LOCAL, "port": self.platform.port}, TIMEOUT_MS)
        self.service = HttpTableService(self.http)
        clock = Clock()
        self.store = TableStore(self.service, clock, EventLog("wire", "kista", clock))
        self.client = HttpWorkerClient(12)

    async def close(self) -> None:
        await self.client.close()
        await self.http.stop()
        if self.http._session is not None:
            await self.http._session.close()
        for relay in (self.platform, self.worker_relay):
            relay.close()
        await self.standin.stop()

    async def count(
        self, name: str, messages: int, act: Callable[[], Awaitable[Any]]
    ) -> None:
        """Count the bytes of one operation on connections that are open."""
        relays = (self.platform, self.worker_relay)
        sent, received = (sum(r.sent for r in relays), sum(r.received for r in relays))
        (await act()).unwrap()
        await asyncio.sleep(0.02)
        self.costs.append(
            WireCost(
                name,
                messages,
                sum(r.sent for r in relays) - sent,
                sum(r.received for r in relays) - received,
            )
        )


async def measure_wire(
    sessions: Sequence[int], shards: Sequence[int], workers: Sequence[int]
) -> list[WireCost]:
    """Count each control operation, reads at each of the given sizes."""
    bench = Bench()
    await bench.open()
    try:
        await _count_worker_calls(bench)
        await _count_writes(bench)
        await _count_scans(bench, "sessions", sessions)
        await _count_scans(bench, "shards", shards)
        for count in workers:
            _list_workers(bench, build_workers(count))
            listing = HttpInstanceList(bench.http)
            await bench.count(f"instance list, {count} workers", 1, listing.read)
        return bench.costs
    finally:
        await bench.close()


async def _count_worker_calls(bench: Bench) -> None:
    client, worker = bench.client, bench.worker
    inventory = (await client.claim(worker, 1)).unwrap()
    fence = Fence(1, inventory.incarnation)
    until_ms = inventory.clock_ms + 60_000

    async def watch() -> Any:
        revision = (await client.claim(worker, 1)).unwrap().revision
        before = bench.worker_relay.sent, bench.worker_relay.received
        reply = await client.watch(worker, fence, revision, WATCH_MS, until_ms)
        watches.append((before, bench.worker_relay.sent, bench.worker_relay.received))
        return reply

    watches: list[Any] = []
    for number in range(9):
        if number in (0, 4, 8):
            (await watch()).unwrap()
            await asyncio.sleep(0.02)
            before, sent, received = watches[-1]
            bench.costs.append(
                WireCost(
                    f"worker watch, {number} tasks listed",
                    1,
                    sent - before[0],
                    received - before[1],
                )
            )
        if number == 8:
            break
        run = TaskRun(f"price-watch/{number}#1", "k", 60_000, 1.0, 1.0, 0, {}, None)
        await bench.count(
            f"task start call {number}",
            1,
            lambda run=run: client.start(worker, fence, run, until_ms),
        )
    starts = [cost for cost in bench.costs if cost.name.startswith("task start")]
    bench.costs = [cost for cost in bench.costs if cost not in starts[1:]]


async def _count_writes(bench: Bench) -> None:
    service = bench.service
    beat = Put("sessions/" + "0" * 32, session_row(0), ABSENT)
    await bench.count("heartbeat write", 1, lambda: service.commit([beat], "t" * 32))
    guard = Require("sessions/" + "0" * 32, "ready", True)
    put = Put("tasks/price-watch/0", dict(task_row(0)), ABSENT)
    await bench.count(
        "task row write, alone", 1, lambda: service.commit([put, guard], "u" * 32)
    )
    value = {"version": 1, "body": configuration_body()}
    (await service.commit([Put("config/current", value, ABSENT)], "c" * 32)).unwrap()
    await bench.count(
        "configuration read, 55 teams", 1, lambda: service.read("config/current")
    )
    await _count_key(bench)


async def _count_key(bench: Bench) -> None:
    clock = Clock()
    log = EventLog("wire", "kista", clock)
    keys = KeyStore(bench.store, HttpObjectStore(bench.http), log)
    row: KeyRow = {
        "digest": "0" * 64,
        "state": "dispatched",
        "attempt": 1,
        "run_id": "planner/order-1#1",
        "shard": "kista/r0",
        "worker": "kista-w0",
        "epoch": 1,
        "session": "0" * 32,
        "incarnation": "0" * 32,
    }

    async def record() -> Any:
        _, version = (await keys.find("planner", "order-1")).unwrap()
        written = await keys.record_dispatch("planner", "order-1", row, version)
        ended: KeyRow = {**row, "state": "done"}
        return await keys.record_end(
            "planner", "order-1", ended, written.unwrap(), b"x" * 256
        )

    await bench.count("key record: read, dispatch, end with 256 B", 3, record)


async def _count_scans(bench: Bench, prefix: str, counts: Sequence[int]) -> None:
    table = bench.standin.platform.table
    filled = len(table.scan(f"{prefix}/", "", 10**6))
    for count in counts:
        for number in range(filled, count):
            key, row = _scan_row(prefix, number)
            table.commit([Put(key, row, ABSENT)], f"{number:032x}").unwrap()
        filled = max(filled, count)
        name = f"scan of {prefix}, {count} rows"
        await bench.count(name, 1, lambda: bench.store.scan(f"{prefix}/"))
        await bench.count(
            f"{name}, unchanged", 1, lambda: bench.store.scan(f"{prefix}/")
        )


def _scan_row(prefix: str, number: int) -> tuple[str, dict[str, Any]]:
    if prefix == "sessions":
        return f"sessions/{number:032x}", session_row(number)
    owner = {"owner": f"{number:032x}", "epoch": 3}
    return f"shards/depot-north-{number % 9}/r{number}", owner


def _list_workers(bench: Bench, workers: Sequence[Worker]) -> None:
    for worker in workers:
        bench.standin.platform.instances.show(ListedWorker(worker, leaving=False))

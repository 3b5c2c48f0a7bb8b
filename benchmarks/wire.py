"""Messages and bytes on loopback connections, including HTTP headers."""

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
    """Messages of one operation, and its bytes in each direction."""

    name: str
    messages: int
    sent: int
    received: int


class CountingProxy:
    """TCP proxy to one port that counts the bytes in each direction."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.sent = 0
        self.received = 0
        self._target_port = target_port
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
        upstream_reader, upstream_writer = await asyncio.open_connection(
            LOCAL, self._target_port
        )
        await asyncio.gather(
            self._copy(reader, upstream_writer, "sent"),
            self._copy(upstream_reader, writer, "received"),
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counter: str
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                setattr(self, counter, getattr(self, counter) + len(chunk))
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class WireBenchmark:
    """Stand-in platform and worker behind proxies, and the adapters of an instance."""

    def __init__(self) -> None:
        address = {"host": LOCAL, "port": 0}
        fleet = check_fleet(
            {
                "name": "wire",
                "platform": address,
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
        (worker_server,) = self.standin.workers.values()
        self.platform_proxy = CountingProxy(self.standin.platform_listener.port)
        self.worker_proxy = CountingProxy(worker_server.port.port)
        for proxy in (self.platform_proxy, self.worker_proxy):
            await proxy.open()
        self.worker = worker_server.worker.worker._replace(port=self.worker_proxy.port)
        self.http = HttpSession(
            {"host": LOCAL, "port": self.platform_proxy.port}, TIMEOUT_MS
        )
        self.service = HttpTableService(self.http)
        clock = Clock()
        self.store = TableStore(self.service, clock, EventLog("wire", "kista", clock))
        self.client = HttpWorkerClient(12)

    async def close(self) -> None:
        await self.client.close()
        await self.http.stop()
        if self.http._session is not None:
            await self.http._session.close()
        for proxy in (self.platform_proxy, self.worker_proxy):
            proxy.close()
        await self.standin.stop()

    async def count(
        self, name: str, messages: int, operation: Callable[[], Awaitable[Any]]
    ) -> None:
        """Record the bytes that one operation transfers through the proxies."""
        proxies = (self.platform_proxy, self.worker_proxy)
        sent, received = (
            sum(proxy.sent for proxy in proxies),
            sum(proxy.received for proxy in proxies),
        )
        (await operation()).unwrap()
        await asyncio.sleep(0.02)
        self.costs.append(
            WireCost(
                name,
                messages,
                sum(proxy.sent for proxy in proxies) - sent,
                sum(proxy.received for proxy in proxies) - received,
            )
        )


async def measure_wire(
    sessions: Sequence[int], shards: Sequence[int], workers: Sequence[int]
) -> list[WireCost]:
    """Count the bytes of each control operation; reads are counted at each size."""
    benchmark = WireBenchmark()
    await benchmark.open()
    try:
        await _count_worker_calls(benchmark)
        await _count_writes(benchmark)
        await _count_scans(benchmark, "sessions", sessions)
        await _count_scans(benchmark, "shards", shards)
        for count in workers:
            _publish_workers(benchmark, build_workers(count))
            instance_list = HttpInstanceList(benchmark.http)
            await benchmark.count(
                f"instance list, {count} workers", 1, instance_list.read
            )
        return benchmark.costs
    finally:
        await benchmark.close()


async def _count_worker_calls(benchmark: WireBenchmark) -> None:
    client, worker = benchmark.client, benchmark.worker
    inventory = (await client.claim(worker, 1)).unwrap()
    fence = Fence(1, inventory.incarnation)
    lease_until_ms = inventory.clock_ms + 60_000

    async def watch() -> Any:
        revision = (await client.claim(worker, 1)).unwrap().revision
        before = benchmark.worker_proxy.sent, benchmark.worker_proxy.received
        reply = await client.watch(worker, fence, revision, WATCH_MS, lease_until_ms)
        watches.append(
            (before, benchmark.worker_proxy.sent, benchmark.worker_proxy.received)
        )
        return reply

    watches: list[Any] = []
    for number in range(9):
        if number in (0, 4, 8):
            (await watch()).unwrap()
            await asyncio.sleep(0.02)
            before, sent, received = watches[-1]
            benchmark.costs.append(
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
        await benchmark.count(
            f"task start call {number}",
            1,
            lambda run=run: client.start(worker, fence, run, lease_until_ms),
        )
    starts = [cost for cost in benchmark.costs if cost.name.startswith("task start")]
    benchmark.costs = [cost for cost in benchmark.costs if cost not in starts[1:]]


async def _count_writes(benchmark: WireBenchmark) -> None:
    service = benchmark.service
    heartbeat = Put("sessions/" + "0" * 32, session_row(0), ABSENT)
    await benchmark.count(
        "heartbeat write", 1, lambda: service.commit([heartbeat], "t" * 32)
    )
    condition = Require("sessions/" + "0" * 32, "ready", True)
    put = Put("tasks/price-watch/0", dict(task_row(0)), ABSENT)
    await benchmark.count(
        "task row write, alone", 1, lambda: service.commit([put, condition], "u" * 32)
    )
    value = {"version": 1, "body": configuration_body()}
    (await service.commit([Put("config/current", value, ABSENT)], "c" * 32)).unwrap()
    await benchmark.count(
        "configuration read, 55 teams", 1, lambda: service.read("config/current")
    )
    await _count_key_record(benchmark)


async def _count_key_record(benchmark: WireBenchmark) -> None:
    clock = Clock()
    log = EventLog("wire", "kista", clock)
    keys = KeyStore(benchmark.store, HttpObjectStore(benchmark.http), log)
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
        dispatch_version = await keys.record_dispatch(
            "planner", "order-1", row, version
        )
        ended: KeyRow = {**row, "state": "done"}
        return await keys.record_end(
            "planner", "order-1", ended, dispatch_version.unwrap(), b"x" * 256
        )

    await benchmark.count("key record: read, dispatch, end with 256 B", 3, record)


async def _count_scans(
    benchmark: WireBenchmark, prefix: str, counts: Sequence[int]
) -> None:
    table = benchmark.standin.platform.table
    row_count = len(table.scan(f"{prefix}/", "", 10**6))
    for count in counts:
        for number in range(row_count, count):
            key, row = _scan_row(prefix, number)
            table.commit([Put(key, row, ABSENT)], f"{number:032x}").unwrap()
        row_count = max(row_count, count)
        name = f"scan of {prefix}, {count} rows"
        await benchmark.count(name, 1, lambda: benchmark.store.scan(f"{prefix}/"))
        await benchmark.count(
            f"{name}, unchanged", 1, lambda: benchmark.store.scan(f"{prefix}/")
        )


def _scan_row(prefix: str, number: int) -> tuple[str, dict[str, Any]]:
    if prefix == "sessions":
        return f"sessions/{number:032x}", session_row(number)
    owner = {"owner": f"{number:032x}", "epoch": 3}
    return f"shards/depot-north-{number % 9}/r{number}", owner


def _publish_workers(benchmark: WireBenchmark, workers: Sequence[Worker]) -> None:
    for worker in workers:
        benchmark.standin.platform.instances.publish(
            ListedWorker(worker, leaving=False)
        )

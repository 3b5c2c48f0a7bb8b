"""Fake of the platform over HTTP: its metadata store and one worker."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TextIO

from aiohttp import web

from hyssopweir.clock import Clock
from hyssopweir.events import EventLog
from hyssopweir.http_server import serve_http
from hyssopweir.log_lines import RateLimitedHandler
from hyssopweir.platform.http_row_store import HttpRowStore
from hyssopweir.platform.instance import PlatformInstance
from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.platform.settings import PlatformSettings
from hyssopweir.row_store import Expect, Remove, RowKey, StoredRow, Write
from tests.row_fakes import MemoryRows

HOST = "127.0.0.1"
CHUNK_BYTES = 16_384
STALL_S = 5.0
HOST_NAME = "crews.example"
PREFIX = "/rounds/"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "rounds",
            "host": HOST_NAME,
            "pathPrefix": PREFIX,
            "service": "lanterns",
            "priority": 0,
            "maxAttempts": 3,
            "stretchFactor": 1.5,
            "targetLatencyMs": 300,
        }
    ],
    "services": [{"name": "lanterns"}],
    "limits": {"maxBodyBytes": 2_000},
}


def port_of(runner: web.ServerRunner) -> int:
    return int(runner.addresses[0][1])


class StoreServer:
    """Fake metadata store that keeps its rows in memory."""

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self.status = 200
        self.delay_s = 0.0
        # Rate at which all replies together arrive, 0 for no limit.
        self.reply_bytes_per_s = 0
        # Number of bytes after which a reply stops, 0 for complete replies.
        self.stalled_bytes = 0
        self.sent_bytes = 0
        self.requests: list[str] = []
        self._link = asyncio.Lock()

    def put(self, table: str, key: str, value: Any) -> None:
        at = RowKey(table, "", key)
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = self.rows.rows.get(at)
        self.rows.apply([Write(at, body, row.version if row else 0)])

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self.requests.append(req.path)
        await asyncio.sleep(self.delay_s)
        if self.status != 200:
            return web.Response(status=self.status)
        response = await self._respond(req)
        if not self.reply_bytes_per_s:
            return response
        return await self._send_slowly(req, response)

    async def _respond(self, req: web.BaseRequest) -> web.Response:
        if req.path == "/rows-tx":
            return self._transact(json.loads(await req.read()))
        if req.path == "/rows-get":
            return self._read(req.query)
        return await self._feed(req.query)

    async def _send_slowly(
        self, req: web.BaseRequest, response: web.Response
    ) -> web.StreamResponse:
        body = response.body
        assert isinstance(body, bytes)
        stream = web.StreamResponse(status=response.status)
        stream.content_length = len(body)
        await stream.prepare(req)
        for start in range(0, len(body), CHUNK_BYTES):
            if self.stalled_bytes and start >= self.stalled_bytes:
                await asyncio.sleep(STALL_S)
            chunk = body[start : start + CHUNK_BYTES]
            async with self._link:
                await asyncio.sleep(len(chunk) / self.reply_bytes_per_s)
            await stream.write(chunk)
            self.sent_bytes += len(chunk)
        await stream.write_eof()
        return stream

    def _transact(self, body: dict[str, Any]) -> web.Response:
        expected = {_parse_key(row): row["ver"] for row in body["expected"]}
        written = {
            _parse_key(row): base64.b64decode(row["value"]) for row in body["writes"]
        }
        removed = {_parse_key(row) for row in body["remove"]}
        changes: list[Write | Remove | Expect] = []
        for at, version in expected.items():
            if at in written:
                changes.append(Write(at, written[at], version))
            elif at in removed:
                changes.append(Remove(at, version))
            else:
                changes.append(Expect(at, version))
        outcome = self.rows.apply(changes)
        if hasattr(outcome, "rows"):
            rows = [_encode_row(row) for row in outcome.rows.values()]
            return web.json_response({"rows": rows}, status=412)
        return web.json_response({"ver": outcome.version, "nowMs": 1})

    def _read(self, query: Any) -> web.Response:
        rows = [
            _encode_row(row)
            for at, row in sorted(self.rows.rows.items())
            if (at.table, at.part) == (query["table"], query["part"])
            and at.key >= query.get("from", "")
            and ("target" not in query or at.key < query["target"])
        ]
        data = {"rows": rows, "hasMore": False, "ver": self.rows.version, "nowMs": 1}
        return web.json_response(data)

    async def _feed(self, query: Any) -> web.Response:
        after = int(query["after"])
        for _ in range(int(query["waitMs"]) // 10 + 1):
            if after < self.rows.first_known:
                return web.Response(status=410)
            rows = [
                _encode_row(row)
                for row in self.rows.log
                if row.version > after and row.at.table == query["table"]
            ]
            if rows:
                break
            await asyncio.sleep(0.01)
        return web.json_response({"rows": rows, "ver": self.rows.version, "nowMs": 1})


def _parse_key(row: dict[str, Any]) -> RowKey:
    return RowKey(row["table"], row["part"], row["key"])


def _encode_row(row: StoredRow) -> dict[str, Any]:
    data = {**row.at._asdict(), "ver": row.version}
    if row.is_deleted:
        return {**data, "deleted": True}
    return {**data, "value": base64.b64encode(row.value).decode()}


class WorkerServer:
    """Fake worker that ends every task at once, or sends ``fixed_reply`` if set."""

    def __init__(self, worker_id: str = "i-1") -> None:
        self.worker_id = worker_id
        self.requests: list[tuple[str, dict[str, Any]]] = []
        self.fixed_reply: tuple[int, Any] | None = None
        self.ended: list[list[Any]] = []
        self.started = 0

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        body = json.loads(await req.read())
        self.requests.append((req.path, body))
        if req.headers["Expected-Instance"] != self.worker_id:
            return web.Response(status=421)
        if self.fixed_reply is not None:
            status, data = self.fixed_reply
            return web.json_response(data, status=status)
        if req.path == "/run-start":
            self.started += 1
            self.ended.append([self.started, body["task"], body["run"], "done", ""])
        if req.path == "/hold":
            self.ended = [end for end in self.ended if end[0] > body["acknowledged"]]
            if not self.ended:
                await asyncio.sleep(0.02)
            data = {"clockMs": 5_000, "born": 7, "running": [], "finished": self.ended}
            return web.json_response(data)
        return web.json_response({"clockMs": 5_000})

    def entry(self, port: int, **fields: Any) -> dict[str, Any]:
        return {
            "service": "lanterns",
            "address": f"{HOST}:{port}",
            "zone": "depot-north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
            "labels": ["a", "r1-3"],
            "clockMs": 5_000,
            "sequence": 4,
            **fields,
        }


def open_null_output() -> TextIO:
    return Path("/dev/null").open("w", encoding="utf-8")


class PlatformCluster:
    """Fake store and worker, a client for both, and an instance that uses them."""

    def __init__(self) -> None:
        self.store = StoreServer()
        self.worker = WorkerServer()
        self.client = JsonHttpClient()
        self.records: list[Any] = []
        self.store_port = 0
        self.worker_port = 0
        self._worker_runner: web.ServerRunner | None = None

    @property
    def rows(self) -> HttpRowStore:
        return HttpRowStore(self.client, (HOST, self.store_port))

    async def start_worker(self) -> None:
        """Start the process of the worker, again at the same address."""
        await self.stop_worker()
        self.worker = WorkerServer()
        address = (HOST, self.worker_port)
        self._worker_runner = await serve_http(self.worker.handle, address)
        self.worker_port = port_of(self._worker_runner)

    async def stop_worker(self) -> None:
        """Stop the process of the worker with all its connections."""
        if self._worker_runner is not None:
            await self._worker_runner.cleanup()
            self._worker_runner = None

    def log(self) -> EventLog:
        log = EventLog("kista-1", "kista", Clock())
        log.subscribe(self.records.append)
        return log

    @asynccontextmanager
    async def instance(self, ports: list[int]) -> AsyncIterator[PlatformInstance]:
        settings = PlatformSettings(
            instance="edge-1",
            data_centre="depot-north",
            callers=(HOST, ports[0]),
            readiness=(HOST, ports[1]),
            metrics=(HOST, ports[2]),
            store=(HOST, self.store_port),
            keep_ms=120_000,
            stop_limit_ms=2_000,
            store_writes_per_second=600.0,
            processors=1.0,
            link_mbps=1_000.0,
            longest_lease_ms=10_000,
            evacuation_limit_ms=5_000,
            memory_mb=256,
            file_descriptors=4_096,
            client_memory_percent=30,
            head_bytes=16_384,
            head_ms=10_000,
            body_ms=30_000,
            remote_factor=2.0,
            lines_per_second=100,
            log_level="ERROR",
        )
        with open_null_output() as output:
            lines = RateLimitedHandler(100, output)
            instance = PlatformInstance(settings, lines, Clock())
            task = asyncio.get_running_loop().create_task(instance.run())
            try:
                yield instance
            finally:
                instance.request_stop()
                await task


@asynccontextmanager
async def running_platform() -> AsyncIterator[PlatformCluster]:
    cluster = PlatformCluster()
    store = await serve_http(cluster.store.handle, (HOST, 0))
    await cluster.start_worker()
    cluster.store_port = port_of(store)
    try:
        yield cluster
    finally:
        await cluster.client.close()
        await store.cleanup()
        await cluster.stop_worker()

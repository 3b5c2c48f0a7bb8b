"""A stand-in server and its HTTP clients, and a server of fixed bytes."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from result import Err

from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Outcome
from hyssopweir.fleet import Worker
from hyssopweir.fleet_file import check_fleet
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpSession,
    HttpTableService,
)
from hyssopweir.standin_server import StandinServer
from hyssopweir.table import ABSENT, Put
from hyssopweir.worker_client import Fence, RequestRun
from hyssopweir.worker_http import HttpWorkerClient
from tests.builders import build_worker

EXAMPLES = Path(__file__).parent.parent / "examples"
FLEET: dict[str, Any] = {
    "name": "test",
    "platform": {"host": "127.0.0.1", "port": 0},
    "list_lag_ms": 0,
    "services": {"price-check": {"run_ms": 5}, "banquet-offer": {"run_ms": 400}},
    "data_centres": [
        {"name": "kista", "workers": 2, "first_port": 0, "cores": 32, "memory_gb": 125}
        | {"slots": 2, "connections": 3}
    ],
}
UNKNOWN_COMMIT = (Code.STORE_OUTCOME_UNKNOWN, Outcome.UNKNOWN)
DOWN = (Code.STORE_UNAVAILABLE, Outcome.NOT_RUN)
JUNK = (Code.STORE_JUNK, Outcome.NOT_RUN)
NO_LIST = (Code.LIST_UNAVAILABLE, Outcome.NOT_RUN)
PUT = Put("a", {"n": 1}, ABSENT)


class HttpCluster:
    """Hold a running stand-in and clients of it."""

    def __init__(self, server: StandinServer, timeout_ms: int) -> None:
        self.server = server
        port = server.platform_listener.port
        self.http = HttpSession({"host": "127.0.0.1", "port": port}, timeout_ms)
        self.table = HttpTableService(self.http)
        self.objects = HttpObjectStore(self.http)
        self.list = HttpInstanceList(self.http)
        self.client = HttpWorkerClient(connections_per_worker=3, call_timeout_ms=300)

    async def claim(self) -> tuple[HttpWorkerClient, Worker, Fence]:
        worker = (await self.list.read()).unwrap()[0].worker
        inventory = (await self.client.claim(worker, 3)).unwrap()
        return self.client, worker, Fence(3, inventory.incarnation)

    async def control(self, method: str, path: str, body: Any = None) -> Any:
        url = f"http://127.0.0.1:{self.server.control_listener.port}/control/{path}"
        async with aiohttp.request(method, url, json=body) as reply:
            assert reply.status == 200, await reply.text()
            return await reply.json()


@asynccontextmanager
async def running_stand_in(timeout_ms: int = 500) -> AsyncIterator[HttpCluster]:
    server = StandinServer(check_fleet(FLEET).unwrap(), Clock())
    await server.start()
    site = HttpCluster(server, timeout_ms)
    try:
        yield site
    finally:
        await site.http.stop()
        await site.client.close()
        await server.stop()


@asynccontextmanager
async def raw_server(reply: bytes | None) -> AsyncIterator[int]:
    """Answer each request with fixed bytes; None means never."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(65_536)
        if reply is None:
            await reader.read()
        else:
            writer.write(reply)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        # Lets the handlers see that their connections have ended.
        await asyncio.sleep(0.02)


def http(body: bytes, status: str = "200 OK", head: str = "") -> bytes:
    head = f"Connection: close\r\nContent-Length: {len(body)}\r\n{head}\r\n"
    return f"HTTP/1.1 {status}\r\n{head}".encode() + body


def code_of(reply: Any) -> tuple[Code, Outcome]:
    assert isinstance(reply, Err), reply
    return reply.err_value.code, reply.err_value.outcome


def closed_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def build_request_run(run_id: str = "r#1", **fields: Any) -> RequestRun:
    return RequestRun(run_id, "req-1", "price-check", b"\x00\xff", 2_000)._replace(
        **fields
    )


ROW = {"key": "a", "version": 1, "transaction": "t", "value": {}}
JUNK_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe{}",
    b"[" * 100_000,
    b"1" * 5_000,
    *(
        json.dumps(data).encode()
        for data in (
            {"row": 5, "rows": [5], "versions": 5, "workers": [5]},
            {"row": {**ROW, "key": "b"}, "rows": [{**ROW, "key": "b"}]},
            {"row": {**ROW, "version": True}, "rows": [ROW, ROW], "versions": {}},
            {"row": {**ROW, "value": []}, "rows": {}, "versions": {"a": "1"}},
            {"versions": {"a": True}, "workers": [{**build_worker()._asdict()}]},
            {"versions": {"a": 0}, "workers": [{"leaving": False}]},
            {"versions": {"a": 1, "b": 2}},
        )
    ),
]

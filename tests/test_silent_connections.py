"""Open connections that go silent for good while new ones work, on loopback."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import web
from result import Result

from hyssopweir.platform.json_http_client import JsonHttpClient
from hyssopweir.platform_client import HttpSession
from hyssopweir.worker_http import HttpWorkerClient
from tests.builders import build_worker
from tests.platform_cluster import port_of, serve_http
from tests.silencing_proxy import HOST, SilencingProxy, silencing_proxy

CONNECTIONS = 8
REPLY_S = 0.05
TIMEOUT_MS = 300
INVENTORY = {
    "incarnation": "1",
    "revision": 1,
    "clock_ms": 1,
    "leaving": False,
    "runs": [],
}
Call = Callable[[], Awaitable[Result[Any, Any]]]


async def reply_slowly(req: web.BaseRequest) -> web.StreamResponse:
    """Reply late enough that calls at the same time take connections of their own."""
    await req.read()
    await asyncio.sleep(REPLY_S)
    if req.path == "/silent":
        await asyncio.sleep(2 * TIMEOUT_MS / 1_000)
    return web.json_response(INVENTORY)


@asynccontextmanager
async def running_proxy() -> AsyncIterator[SilencingProxy]:
    server = await serve_http(reply_slowly, (HOST, 0))
    async with silencing_proxy(port_of(server)) as proxy:
        yield proxy
    await server.cleanup()


@asynccontextmanager
async def json_client(port: int) -> AsyncIterator[Call]:
    client = JsonHttpClient()
    yield lambda: client.request("GET", (HOST, port), "/rows-get", TIMEOUT_MS)
    await client.close()


@asynccontextmanager
async def platform_session(port: int) -> AsyncIterator[Call]:
    session = HttpSession({"host": HOST, "port": port}, TIMEOUT_MS)
    yield lambda: session.send("GET", "/v1/table/read")
    await session.stop()


@asynccontextmanager
async def worker_client(port: int) -> AsyncIterator[Call]:
    client = HttpWorkerClient(CONNECTIONS, TIMEOUT_MS)
    worker = build_worker(host=HOST, port=port)
    yield lambda: client.claim(worker, 1)
    await client.close()


CLIENTS = [json_client, platform_session, worker_client]


async def call_at_once(call: Call) -> int:
    """Make calls at the same time; return how many were answered."""
    results = await asyncio.gather(*(call() for _ in range(CONNECTIONS)))
    return sum(result.is_ok() for result in results)


@pytest.mark.parametrize("client", CLIENTS)
def test_one_timeout_is_enough_for_all_silent_connections(client: Any) -> None:
    """Guards against a client that tries each silent connection of a pool in turn."""

    async def main() -> None:
        async with running_proxy() as proxy, client(proxy.port) as call:
            assert await call_at_once(call) == CONNECTIONS
            assert proxy.silence() == CONNECTIONS
            assert (await call()).is_err()
            assert (await call()).is_ok()
            assert await call_at_once(call) == CONNECTIONS

    asyncio.run(main())


@pytest.mark.parametrize("client", CLIENTS)
def test_calls_on_silent_connections_fail_at_the_same_time(client: Any) -> None:
    """Guards against calls in progress that bring silent connections back to use."""

    async def main() -> None:
        async with running_proxy() as proxy, client(proxy.port) as call:
            assert await call_at_once(call) == CONNECTIONS
            proxy.silence()
            assert await call_at_once(call) == 0
            assert await call_at_once(call) == CONNECTIONS

    asyncio.run(main())


@pytest.mark.parametrize("stand_s", [0.35, 0.6, 1.0])
@pytest.mark.parametrize("client", CLIENTS)
def test_calls_after_a_silence_outlast_a_process_that_stands(
    client: Any, stand_s: float
) -> None:
    """Guards against calls on new connections that fail as their process stands."""

    async def main() -> None:
        async with running_proxy() as proxy, client(proxy.port) as call:
            assert await call_at_once(call) == CONNECTIONS
            proxy.silence()
            await call_at_once(call)
            asyncio.get_running_loop().call_later(0.02, time.sleep, stand_s)
            assert await call_at_once(call) == CONNECTIONS

    asyncio.run(main())


def test_timeout_of_one_call_keeps_connections_that_replied_since() -> None:
    """Guards against new connections after each single reply that is lost."""

    async def main() -> None:
        async with running_proxy() as proxy:
            client = JsonHttpClient()
            address = (HOST, proxy.port)
            lost = asyncio.ensure_future(
                client.request("GET", address, "/silent", TIMEOUT_MS)
            )
            await asyncio.sleep(0.01)
            while not lost.done():
                reply = await client.request("GET", address, "/rows-get", TIMEOUT_MS)
                assert reply.is_ok()
            assert (await lost).is_err()
            accepted = proxy.accepted
            for _ in range(5):
                reply = await client.request("GET", address, "/rows-get", TIMEOUT_MS)
                assert reply.is_ok()
            assert proxy.accepted == accepted == 2
            await client.close()

    asyncio.run(main())


def test_timeout_in_a_burst_keeps_the_connections_of_the_other_calls() -> None:
    """Guards against new connections for all calls of a burst after one timeout."""

    async def main() -> None:
        async with running_proxy() as proxy:
            client = JsonHttpClient()
            address = (HOST, proxy.port)
            paths = ["/rows-get"] * CONNECTIONS + ["/silent"]
            await asyncio.gather(
                *(client.request("GET", address, path, TIMEOUT_MS) for path in paths)
            )
            assert proxy.accepted == CONNECTIONS + 1
            await asyncio.gather(
                *(
                    client.request("GET", address, "/rows-get", TIMEOUT_MS)
                    for _ in range(CONNECTIONS)
                )
            )
            assert proxy.accepted == CONNECTIONS + 1
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize("stand_s", [0.35, 1.0])
def test_process_that_stands_in_a_burst_keeps_its_connections(stand_s: float) -> None:
    """Guards against new connections as a process that stood gave its calls up."""

    async def main() -> None:
        async with running_proxy() as proxy:
            client = JsonHttpClient()
            address = (HOST, proxy.port)
            for stand in (stand_s, 0.0):
                asyncio.get_running_loop().call_later(0.02, time.sleep, stand)
                await asyncio.gather(
                    *(
                        client.request("GET", address, "/rows-get", TIMEOUT_MS)
                        for _ in range(CONNECTIONS)
                    )
                )
            assert proxy.accepted == CONNECTIONS
            await client.close()

    asyncio.run(main())


def test_silence_of_one_address_keeps_the_connections_to_others() -> None:
    """Guards against new connections to all workers after one falls silent."""

    async def main() -> None:
        async with running_proxy() as silent, running_proxy() as other:
            client = JsonHttpClient()
            addresses = [(HOST, proxy.port) for proxy in (silent, other)]
            for address in addresses:
                await client.request("GET", address, "/rows-get", TIMEOUT_MS)
            silent.silence()
            for address, is_ok in zip(addresses, [False, True], strict=True):
                reply = await client.request("GET", address, "/rows-get", TIMEOUT_MS)
                assert reply.is_ok() is is_ok
            assert other.accepted == 1
            await client.close()

    asyncio.run(main())


def test_connection_that_was_passed_over_counts_as_unheard() -> None:
    """Guards against a silent connection that is kept as others were looked for."""

    async def main() -> None:
        async with running_proxy() as proxy:
            client, address = JsonHttpClient(), (HOST, proxy.port)

            async def call(path: str = "/hold", connection: int | None = None) -> Any:
                return await client.request(
                    "GET", address, path, TIMEOUT_MS, connection=connection
                )

            replies = await asyncio.gather(*(call() for _ in range(3)))
            _, passed_over, required = (reply.unwrap().connection for reply in replies)
            unanswered = asyncio.create_task(call("/silent"))
            await asyncio.sleep(REPLY_S)
            reply = (await call(connection=required)).unwrap()
            assert reply.connection == required != passed_over
            assert (await unanswered).is_err()
            assert (await call()).unwrap().connection == required
            await client.close()

    asyncio.run(main())

"""The HTTP interface of a real instance: bad input, readiness and refusals."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import pytest

from hyssopweir.clock import Clock
from hyssopweir.codes import Code
from hyssopweir.fleet_file import check_fleet
from hyssopweir.instance import Instance
from hyssopweir.standin_server import StandinServer
from tests.builders import build_job, build_settings

READY_LIMIT_S = 15.0
POLL_MS = 20
FLEET = {
    "name": "small",
    "platform": {"host": "127.0.0.1", "port": 0},
    "platform_control": {"host": "127.0.0.1", "port": 0},
    "workers_control": {"host": "127.0.0.1", "port": 0},
    "services": {"price-check": {"run_ms": 5, "idempotent": True}},
    "data_centres": [
        {
            "name": "kista",
            "links": {},
            "workers": 2,
            "host": "127.0.0.1",
            "first_port": 0,
            "cores": 4,
            "memory_gb": 8,
        }
    ],
}
BODY = {
    "services": {"price-check": {"idempotent": True}, "offer": {"idempotent": False}}
}
LARGE = b"x" * 20_000
DEEP = b"[" * 9_000


class Case(NamedTuple):
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    status: int
    code: Code


def request_case(
    status: int,
    code: Code,
    service: str = "price-check",
    body: bytes = b"x",
    **headers: str,
) -> Case:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Case("POST", f"/v1/requests/{service}", body, named, status, code)


def json_case(path: str, data: Any, status: int, code: Code, method: str) -> Case:
    body = data if isinstance(data, bytes) else json.dumps(data).encode()
    return Case(method, path, body, {}, status, code)


CASES = [
    request_case(404, Code.UNKNOWN_SERVICE, service="nobody"),
    request_case(413, Code.BODY_TOO_LARGE, body=LARGE),
    request_case(400, Code.KEY_REQUIRED, service="offer"),
    request_case(400, Code.BAD_REQUEST, X_Deadline_Ms="soon"),
    request_case(400, Code.BAD_REQUEST, X_Deadline_Ms="0"),
    request_case(400, Code.BAD_REQUEST, X_Deadline_Ms="9" * 400),
    request_case(400, Code.BAD_REQUEST, X_Deadline_Ms="²"),
    request_case(400, Code.BAD_REQUEST, Idempotency_Key="a/b"),
    request_case(400, Code.BAD_REQUEST, Idempotency_Key="k" * 201),
    request_case(400, Code.BAD_REQUEST, X_Caller="a#1"),
    json_case("/v1/jobs", b"{", 400, Code.BAD_REQUEST, "POST"),
    json_case("/v1/jobs", DEEP, 400, Code.BAD_REQUEST, "POST"),
    json_case("/v1/jobs", b"\xff\xfe", 400, Code.BAD_REQUEST, "POST"),
    json_case("/v1/jobs", [], 400, Code.BAD_REQUEST, "POST"),
    json_case("/v1/jobs", build_job(tasks=201), 400, Code.BAD_REQUEST, "POST"),
    json_case("/v1/jobs/none", b"", 404, Code.NOT_FOUND, "GET"),
    json_case("/v1/jobs/none", b"", 404, Code.NOT_FOUND, "DELETE"),
    json_case("/v1/jobs/none/explain", b"", 404, Code.NOT_FOUND, "GET"),
    json_case("/v1/nowhere", b"", 404, Code.NOT_FOUND, "GET"),
    json_case("/v1/jobs", b"", 405, Code.BAD_REQUEST, "PATCH"),
    json_case("/v1/configuration", {"body": {}}, 400, Code.BAD_REQUEST, "PUT"),
    json_case(
        "/v1/configuration",
        {"version": 2, "body": {"services": 3}},
        400,
        Code.CONFIGURATION_INVALID,
        "PUT",
    ),
    json_case(
        "/v1/configuration",
        {"version": 1, "body": {}},
        409,
        Code.CONFIGURATION_CONFLICT,
        "PUT",
    ),
    json_case("/v1/plans", {"services": 3}, 422, Code.PLAN_IMPOSSIBLE, "POST"),
    json_case("/v1/plans/none/confirm", b"", 404, Code.NOT_FOUND, "POST"),
    json_case("/v1/plans/none/ask", {}, 400, Code.BAD_REQUEST, "POST"),
]


@asynccontextmanager
async def running_instance() -> AsyncIterator[tuple[Instance, str]]:
    standin = StandinServer(check_fleet(FLEET).unwrap(), Clock())
    await standin.start()
    address = {
        "host": standin.platform_listener.host,
        "port": standin.platform_listener.port,
    }
    cfg = build_settings(
        platform=address,
        limits={"body_bytes": 10_000},
        timing={"drain_ms": 0, "stop_limit_ms": 1_000, "scan_ms": 100},
    )
    instance = Instance(cfg)
    await instance.start()
    try:
        yield instance, f"http://127.0.0.1:{instance.entry.port}"
    finally:
        await instance.stop()
        await standin.stop()


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(READY_LIMIT_S):
        clock = Clock()
        while not await condition():
            await clock.sleep_ms(POLL_MS)


async def send(http: aiohttp.ClientSession, url: str, case: Case) -> tuple[int, Any]:
    async with http.request(
        case.method,
        url + case.path,
        data=case.body,
        headers=case.headers,
    ) as response:
        return response.status, await response.json()


def test_bad_input_gets_a_numbered_error_and_harms_nothing() -> None:
    """Guards against input that ends the instance or is answered without a code."""

    async def main() -> None:
        async with (
            running_instance() as (instance, url),
            aiohttp.ClientSession() as http,
        ):
            keeper = instance.parts.configuration

            async def is_ready() -> bool:
                return instance.parts.readiness.not_ready() is None

            await wait_until(is_ready)
            assert (await keeper.change(BODY, keeper.version)).unwrap() == 2
            for case in CASES:
                status, data = await send(http, url, case)
                assert (status, data.get("code")) == (case.status, case.code), (
                    case,
                    data,
                )
                assert data["outcome"] == "not_run", (case, data)

            async def is_served() -> bool:
                reply = await http.post(f"{url}/v1/requests/price-check", data=b"dish")
                async with reply:
                    return await reply.read() == b"price-check answers dish"

            await wait_until(is_served)
            assert keeper.version == 2
            assert instance.parts.invariants.breaches == 0

    asyncio.run(main())


def test_instance_without_a_platform_is_live_but_not_ready() -> None:
    """Guards against an instance that serves before it knows the configuration."""

    async def main() -> None:
        cfg = build_settings(platform={"host": "127.0.0.1", "port": 1})
        instance = Instance(cfg)
        await instance.start()
        url = f"http://127.0.0.1:{instance.entry.port}"
        async with aiohttp.ClientSession() as http:
            async with http.get(f"{url}/v1/health/live") as response:
                assert response.status == 200
            async with http.get(f"{url}/v1/health/ready") as response:
                assert response.status == 503
                reason = (await response.json())["detail"]
                assert "has not read the configuration" in reason
            refused = request_case(503, Code.NOT_READY)
            status, data = await send(http, url, refused)
            assert (status, data["code"]) == (refused.status, refused.code)
        await instance.stop()

    asyncio.run(main())


@pytest.mark.parametrize("pause_ms", [4_001, 60_000])
def test_instance_refuses_after_a_pause_until_it_has_read(
    pause_ms: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests under an old configuration after a long pause."""

    async def main() -> None:
        async with running_instance() as (instance, _):
            readiness = instance.parts.readiness

            async def is_ready() -> bool:
                return readiness.not_ready() is None

            await wait_until(is_ready)
            before = instance._clock.now_ms()
            monkeypatch.setattr(
                instance._clock,
                "now_ms",
                lambda: before + pause_ms,
            )
            refusal = readiness.refusal()
            assert refusal is not None
            assert refusal.code is Code.NOT_READY
            monkeypatch.undo()

    asyncio.run(main())

"""Load generator: closed-loop aiohttp clients that call instances or workers."""

import asyncio
import base64
import json
import random
import sys
import time
from pathlib import Path
from typing import Any, TypedDict

import aiohttp

EPOCH = 1
DEADLINE_MS = 10_000


class LoadPlan(TypedDict):
    """Parameters of a load.

    If ``kind`` is ``worker``, ``targets`` are the addresses of ``workers``.
    """

    kind: str
    targets: list[str]
    workers: list[str]
    service: str
    concurrency: int
    requests: int
    limit_s: float
    body_bytes: int
    seed: int


class LoadResult(TypedDict):
    """Results of a load."""

    requests: int
    failed: int
    seconds: float
    cpu_s: float
    p50_ms: float
    p99_ms: float


class Caller:
    """Closed-loop client that sends one request at a time and checks each answer."""

    def __init__(
        self, plan: LoadPlan, number: int, session: aiohttp.ClientSession
    ) -> None:
        self._plan = plan
        self._session = session
        self._target = plan["targets"][number % len(plan["targets"])]
        self._name = f"load-{plan['seed']}-{number}"
        rng = random.Random(plan["seed"] * 1_000 + number)
        self._body = rng.randbytes(plan["body_bytes"])
        self._expected = plan["service"].encode() + b" answers " + self._body
        self._worker = ""
        self._fence: dict[str, Any] = {}
        if plan["kind"] == "worker":
            self._worker = plan["workers"][number % len(plan["workers"])]
        self._sent = 0

    async def open(self) -> None:
        """Claim the worker in a direct load, which yields the fence of later calls."""
        if self._plan["kind"] == "worker":
            claim = {"worker": self._worker, "epoch": EPOCH}
            reply = await self._post("/v1/claim", json.dumps(claim).encode())
            incarnation = json.loads(reply)["incarnation"]
            self._fence = {"epoch": EPOCH, "incarnation": incarnation}

    async def send(self) -> bool:
        """Send a request and return whether the answer is correct."""
        self._sent += 1
        if self._plan["kind"] == "worker":
            return await self._send_to_worker()
        path = f"/v1/requests/{self._plan['service']}"
        return await self._post(path, self._body) == self._expected

    async def _send_to_worker(self) -> bool:
        name = f"{self._name}-{self._sent}"
        run = {
            "run_id": f"{name}#1",
            "request_id": name,
            "service": self._plan["service"],
            "body": base64.b64encode(self._body).decode(),
            "deadline_ms": DEADLINE_MS,
        }
        params = {"worker": self._worker, "fence": self._fence, "run": run}
        text = json.dumps(params).encode()
        report = json.loads(await self._post("/v1/execute", text))
        return base64.b64decode(report.get("answer") or "") == self._expected

    async def _post(self, path: str, body: bytes) -> bytes:
        async with self._session.post(self._target + path, data=body) as response:
            return await response.read()


async def run_plan(plan: LoadPlan) -> LoadResult:
    """Send the requests of a plan, fewer if its time limit is reached."""
    latencies_ms: list[float] = []
    failed = 0
    remaining = plan["requests"]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [Caller(plan, n, session) for n in range(plan["concurrency"])]
        for caller in callers:
            await caller.open()
        started_s, cpu_s = time.monotonic(), time.process_time()
        end_s = started_s + plan["limit_s"]

        async def send_requests(caller: Caller) -> None:
            nonlocal remaining, failed
            while remaining > 0 and time.monotonic() < end_s:
                remaining -= 1
                sent_s = time.perf_counter()
                failed += not await caller.send()
                latencies_ms.append((time.perf_counter() - sent_s) * 1_000)

        await asyncio.gather(*(send_requests(caller) for caller in callers))
        return {
            "requests": len(latencies_ms),
            "failed": failed,
            "seconds": time.monotonic() - started_s,
            "cpu_s": time.process_time() - cpu_s,
            "p50_ms": percentile(latencies_ms, 50),
            "p99_ms": percentile(latencies_ms, 99),
        }


def percentile(values: list[float], percent: int) -> float:
    """Return the nearest-rank percentile; raise ``IndexError`` if empty."""
    ordered = sorted(values)
    rank = max(-(-len(ordered) * percent // 100), 1)
    return ordered[rank - 1]


def main() -> None:
    plan: LoadPlan = json.loads(Path(sys.argv[1]).read_text())
    print(json.dumps(asyncio.run(run_plan(plan))))


if __name__ == "__main__":
    main()

"""Clients that submit jobs, ask for their states and cancel some of them."""

import asyncio
import json
import random
from typing import Any

import aiohttp

from soak.deployment import Deployment
from soak.events import FINAL_STATES, ClientCall, JobSent
from soak.instances import Instance
from soak.proxy import HOST
from soak.shapes import EXTRA_QUEUE, HOST_NAME, QueueShape, job_body

DEADLINE_MS = 3_000
ATTEMPTS = 5
RETRY_S = 0.4
POLL_S = 2.0
# Interval of requests for the queue that configurations add and remove.
PROBE_S = 0.3
CANCELLED_SHARE = 0.06
# Share of the accepted jobs that are submitted again afterwards, as a request may be
# that was held up on its way.
REPEATED_SHARE = 0.05
REJECTED_STATUSES = frozenset({429, 503})


class Clients:
    """Clients with connections that stay open until an instance is gone."""

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        rng: random.Random,
        bodies: dict[str, dict[str, Any]],
    ) -> None:
        self._deployment = deployment
        self._load = load
        self._rng = rng
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=120),
            timeout=aiohttp.ClientTimeout(DEADLINE_MS / 1_000 + 0.5),
        )
        self.bodies = bodies
        self.accepted: dict[str, QueueShape] = {}
        self.states: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Submit jobs of all queues until cancelled."""
        async with asyncio.TaskGroup() as group:
            for queue in self._deployment.shape.queues:
                group.create_task(self._run_queue(queue))
            group.create_task(self._probe_extra_queue())

    async def _probe_extra_queue(self) -> None:
        while True:
            await asyncio.sleep(PROBE_S)
            await self.call("GET", EXTRA_QUEUE, f"{0:016x}")

    async def _run_queue(self, queue: QueueShape) -> None:
        rng = random.Random(f"{queue.name}/{self._rng.random()}")
        while True:
            await asyncio.sleep(rng.expovariate(queue.per_s * self._load))
            job = f"{rng.randrange(16**16):016x}"
            task = asyncio.get_running_loop().create_task(self._play(queue, job, rng))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _play(self, queue: QueueShape, job: str, rng: random.Random) -> None:
        body = job_body(queue, job, rng)
        self.bodies[job] = body
        record = self._deployment.record
        record.add(JobSent(record.now_ms(), job, queue.name, queue.max_attempts, body))
        if not await self._submit(queue.name, job, body):
            return
        self.accepted[job] = queue
        self.states[job] = "pending"
        is_cancelled = rng.random() < CANCELLED_SHARE
        is_repeated = rng.random() < REPEATED_SHARE
        await asyncio.sleep(rng.uniform(0.2, POLL_S))
        if is_repeated:
            await self.call("POST", queue.name, job, body)
        if is_cancelled:
            await self.cancel(job)
        while self.states[job] not in FINAL_STATES:
            await asyncio.sleep(rng.uniform(POLL_S / 2, POLL_S))
            await self.ask(job)

    async def _submit(self, queue: str, job: str, body: dict[str, Any]) -> bool:
        for _ in range(ATTEMPTS):
            status, _ = await self.call("POST", queue, job, body)
            if status == 200:
                return True
            if status not in REJECTED_STATUSES | {0, 502, 504}:
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def cancel(self, job: str) -> None:
        """Cancel a job, with retries."""
        for _ in range(ATTEMPTS):
            status, _ = await self.call("DELETE", self.accepted[job].name, job)
            if status in (200, 410):
                return
            await asyncio.sleep(RETRY_S)

    async def ask(self, job: str) -> int:
        """Ask an instance for the state of a job and return the status."""
        status, state = await self.call("GET", self.accepted[job].name, job)
        if status == 200:
            self.states[job] = state
        return status

    async def ask_all(self) -> None:
        """Ask for the state of each accepted job until an instance answers."""
        for job in self.accepted:
            for _ in range(ATTEMPTS):
                if await self.ask(job):
                    break

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that have an end and aren't known to be over."""
        return [
            job
            for job, queue in self.accepted.items()
            if not queue.is_endless and self.states[job] not in FINAL_STATES
        ]

    async def call(
        self,
        method: str,
        queue: str,
        job: str,
        body: dict[str, Any] | None = None,
        instance: Instance | None = None,
    ) -> tuple[int, str]:
        """Send one request; return its status, 0 without a response, and the state."""
        record = self._deployment.record
        instance = instance or self._rng.choice(self._deployment.instances)
        sent_ms, status, state = record.now_ms(), 0, ""
        try:
            async with self._session.request(
                method,
                f"http://{HOST}:{instance.port}/{queue}/{job}",
                json=body,
                headers={"Host": HOST_NAME, "Deadline-Ms": str(DEADLINE_MS)},
            ) as response:
                text = await response.text()
                status = response.status
                data = json.loads(text) if text else {}
                state = data.get("state", "") if isinstance(data, dict) else ""
        except (aiohttp.ClientError, TimeoutError, ValueError):
            # Recorded as a call without a response.
            status = 0
        now_ms = record.now_ms()
        record.add(
            ClientCall(
                sent_ms, now_ms, instance.name, method, queue, job, status, state
            )
        )
        return status, state

    async def close(self) -> None:
        """End all requests and connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()

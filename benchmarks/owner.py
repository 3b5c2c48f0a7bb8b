"""Processor time of one owner of a cell, against stand-in workers that answer at once.

The owner is a process of its own and talks to a stand-in store and to stand-in workers
over loopback. Jobs of wide steps arrive at a steady rate beside endless tasks with tail
latency targets and fillers.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from benchmarks.processes import read_usage
from hyssopweir.agents import CommandResult, LeaseReply, StartCommand, WorkerState
from hyssopweir.clock import Clock
from hyssopweir.http_server import serve_http
from hyssopweir.platform.http_agent import parse_task_name, task_name
from hyssopweir.resources import Resources
from hyssopweir.task_state import RunRef
from hyssopweir.workflows import Step
from tests.agent_fakes import FakeWorker, Workload
from tests.cell_simulation import build_entry
from tests.platform_cluster import (
    CONFIGURATION,
    HOST,
    HOST_NAME,
    PREFIX,
    StoreServer,
    port_of,
)
from tests.ports import free_ports

REASON_BY_RESULT = {
    CommandResult.FENCED: "fence",
    CommandResult.STALE: "old",
    CommandResult.LATE: "late",
}
WORKER_ROOM = Resources(16_000, 62_500)
WORKERS_PER_RACK = 12
HEARTBEAT_S = 1.0
POLL_S = 0.02
# Tasks of a step of the load, and their duration.
TASKS_PER_JOB = 15
TASK_MS = 1_000
FILL_S = 4.0
START_LIMIT_S = 20.0


class OwnerLoad(NamedTuple):
    """Load of one owner: its workers, start rate, and the images of other tasks."""

    workers: int = 50
    starts_per_second: int = 150
    images: int = 16
    seconds: float = 10.0


class OwnerCost(NamedTuple):
    """Processor time of an owner in the measured seconds, and the runs it started."""

    load: OwnerLoad
    checkout: str
    cpu_s: float
    runs: int
    done: int
    rss_bytes: int

    @property
    def ms_per_run(self) -> float:
        """Return the processor time a run in ms."""
        return 1_000 * self.cpu_s / max(self.runs, 1)


class WorkerFleet:
    """Stand-in workers over HTTP, each at a port of its own, and their entries."""

    def __init__(self, count: int, store: StoreServer) -> None:
        self.work = Workload(1)
        self._store = store
        self._clock = Clock()
        self._workers = {
            f"w{number}": FakeWorker(
                build_entry(number, room=WORKER_ROOM), self._clock, self.work
            )
            for number in range(count)
        }
        self._changed = {name: asyncio.Event() for name in self._workers}
        self._ports: dict[str, int] = {}
        self._sequence = 0

    async def listen(self) -> list[web.ServerRunner]:
        """Open one listener for each worker."""
        runners = []
        for name in self._workers:
            runner = await serve_http(self.handle, (HOST, 0))
            self._ports[name] = port_of(runner)
            runners.append(runner)
        return runners

    def publish(self) -> None:
        """Write the entries of all workers to the store."""
        self._sequence += 1
        for number, (name, worker) in enumerate(self._workers.items()):
            entry = {
                "service": "lanterns",
                "address": f"{HOST}:{self._ports[name]}",
                "zone": "depot-north",
                "version": "v1",
                "slots": 8,
                "state": WorkerState.READY.value,
                "coldRemainingMs": 0,
                "capacity": {"cpu": WORKER_ROOM.cpu, "memMb": 62_500, "gpu": 0},
                "labels": ["a", f"r{number // WORKERS_PER_RACK}"],
                "born": worker.born_ms,
                "sequence": self._sequence,
            }
            self._store.put("servers", name, entry)

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answer a command as the worker that the request names."""
        name = req.headers["Expected-Instance"]
        body = json.loads(await req.read())
        if req.path == "/hold":
            return await self._renew(name, body)
        worker = self._workers[name]
        ref = RunRef(parse_task_name(body["task"]), body["run"])
        token = body["fencingToken"]
        if req.path == "/run-start":
            command = StartCommand(ref, body["spec"], body["deadlineMs"], token)
            result = worker.start(command)
        elif req.path == "/run-stop":
            result = worker.stop(ref, token)
        else:
            result = worker.pace(ref, body["percent"], token)
        data: dict[str, Any] = {"clockMs": self._clock.now_ms()}
        if result is CommandResult.ACCEPTED:
            return web.json_response(data)
        data["reason"] = REASON_BY_RESULT[result]
        return web.json_response(data, status=409)

    async def _renew(self, name: str, body: dict[str, Any]) -> web.StreamResponse:
        worker = self._workers[name]
        limit_s = time.monotonic() + body.get("waitMs", 0) / 1_000
        while True:
            reply = worker.renew_leases(
                body["fencingToken"], body["acknowledged"], body.get("deadlineMs")
            )
            if isinstance(reply, CommandResult):
                return web.json_response({"reason": "fence"}, status=409)
            if reply.ended or time.monotonic() >= limit_s:
                return web.json_response(_encode_reply(reply))
            await asyncio.sleep(POLL_S)


def _encode_reply(reply: LeaseReply) -> dict[str, Any]:
    return {
        "clockMs": reply.clock_ms,
        "born": reply.born_ms,
        "running": [
            [task_name(run.ref.task), run.ref.run, run.saved, run.percent, run.figure]
            for run in reply.running
        ],
        "finished": [
            [end.number, task_name(end.ref.task), end.ref.run, end.how.value, end.saved]
            for end in reply.ended
        ],
    }


def measure_owner(load: OwnerLoad, checkouts: Sequence[str]) -> list[OwnerCost]:
    """Measure the owner of each checkout in turn under the same load."""
    return [asyncio.run(_measure(load, checkout)) for checkout in checkouts]


async def _measure(load: OwnerLoad, checkout: str) -> OwnerCost:
    store = StoreServer()
    configuration = {**CONFIGURATION, "limits": {"maxBodyBytes": 100_000}}
    store.put("op", "config", configuration)
    store_runner = await serve_http(store.handle, (HOST, 0))
    fleet = WorkerFleet(load.workers, store)
    runners = [store_runner, *await fleet.listen()]
    try:
        async with _owner(port_of(store_runner), checkout) as (process, url):
            publishing = asyncio.create_task(_publish(fleet))
            try:
                return await _run_load(load, checkout, fleet, process, url)
            finally:
                publishing.cancel()
    finally:
        for runner in runners:
            await runner.cleanup()


async def _publish(fleet: WorkerFleet) -> None:
    while True:
        fleet.publish()
        await asyncio.sleep(HEARTBEAT_S)


@asynccontextmanager
async def _owner(
    store_port: int, checkout: str
) -> AsyncIterator[tuple[subprocess.Popen[bytes], str]]:
    callers, readiness, metrics = free_ports(3)
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.json"
        data = {
            "instance": "edge-1",
            "data_centre": "depot-north",
            "callers": f"{HOST}:{callers}",
            "readiness": f"{HOST}:{readiness}",
            "metrics_port": metrics,
            "store": f"{HOST}:{store_port}",
            "store_writes_per_second": 1_200,
            "keep_s": 120,
            "stop_limit_s": 2,
        }
        settings.write_text(json.dumps(data))
        process = _start_owner(settings, checkout)
        try:
            yield process, f"http://{HOST}:{callers}{PREFIX}"
        finally:
            process.terminate()
            process.wait()


def _start_owner(settings: Path, checkout: str) -> subprocess.Popen[bytes]:
    with settings.with_suffix(".log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "hyssopweir.platform"],
            cwd=checkout,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={"HYSSOPWEIR_NODE_FILE": str(settings), "PYTHONPATH": checkout},
        )


async def _run_load(
    load: OwnerLoad,
    checkout: str,
    fleet: WorkerFleet,
    process: subprocess.Popen[bytes],
    url: str,
) -> OwnerCost:
    random = Random(1)
    async with aiohttp.ClientSession(headers={"Host": HOST_NAME}) as session:
        await _submit_standing(load, fleet, session, url, random)
        await asyncio.sleep(FILL_S)
        before, starts = read_usage(process.pid), fleet.work.starts
        done = sum(fleet.work.done.values())
        end_s = time.monotonic() + load.seconds
        pause_s = TASKS_PER_JOB / load.starts_per_second
        while time.monotonic() < end_s:
            steps = [_short_step(TASKS_PER_JOB)]
            asyncio.ensure_future(_submit(fleet, session, url, random, steps))
            await asyncio.sleep(pause_s)
        after = read_usage(process.pid)
    return OwnerCost(
        load,
        checkout,
        after.cpu_s - before.cpu_s,
        fleet.work.starts - starts,
        sum(fleet.work.done.values()) - done,
        after.rss_bytes,
    )


async def _submit_standing(
    load: OwnerLoad,
    fleet: WorkerFleet,
    session: aiohttp.ClientSession,
    url: str,
    random: Random,
) -> None:
    """Submit endless tasks for a third of the processors, and fillers beside them."""
    cores = load.workers * WORKER_ROOM.cpu // 1_000
    for number in range(load.images):
        endless = {
            "count": max(cores // (6 * load.images), 1),
            "cpu": 2_000,
            "memMb": 2_000,
            "estimatedMs": 320,
            "longRunning": True,
            "image": f"serve-{number}",
            "targetMs": 40,
        }
        filler = {
            "count": max(cores // (12 * load.images), 1),
            "cpu": 1_000,
            "memMb": 500,
            "estimatedMs": 600_000,
            "image": f"fill-{number}",
            "fillCount": True,
        }
        for step in (endless, filler):
            await _submit(fleet, session, url, random, [step], START_LIMIT_S)


def _short_step(tasks: int) -> dict[str, Any]:
    return {"count": tasks, "cpu": 1_800, "memMb": 500, "estimatedMs": TASK_MS}


async def _submit(
    fleet: WorkerFleet,
    session: aiohttp.ClientSession,
    url: str,
    random: Random,
    steps: list[dict[str, Any]],
    limit_s: float = 0.0,
) -> None:
    job = f"{random.getrandbits(64):016x}"
    fleet.work.steps[job] = tuple(
        Step(
            step["count"],
            Resources(step["cpu"], step["memMb"]),
            step["estimatedMs"],
            is_endless=bool(step.get("longRunning")),
            is_filler=bool(step.get("fillCount")),
            tail_target_ms=step.get("targetMs", 0),
        )
        for step in steps
    )
    end_s = time.monotonic() + limit_s
    while True:
        try:
            body = {"spec": "round", "phases": steps}
            async with session.post(url + job, json=body) as reply:
                if reply.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        if time.monotonic() >= end_s:
            return
        await asyncio.sleep(0.1)

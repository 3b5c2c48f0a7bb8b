"""Small deployment on loopback addresses for the cases of the second review.

The instances are processes of their own, started by the command of the deploy file. The
store and the workers are stand-ins of the project (``soak/store.py`` and
``soak/worker.py``) that run in this process.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import tomllib
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from soak.events import EventRecord, RunEnded, RunKey, RunStarted
from soak.store import WORKERS_TABLE, Store
from soak.worker import Shape, Work, Worker
from tests.ports import free_ports

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOST_NAME = "crews.example"
SERVICE = "lanternbook"
HEARTBEAT_S = 1.1
CLIENT_TIMEOUT_S = 3.5
READY_S = 40.0
STOP_S = 6.0
PARENT_DEATH_SIGNAL = 1
LIBC = ctypes.CDLL(None)
# The bounds of the small sites.
HOLD_MAX_MS = 10_000
STATUS_S = 120
GRACE_S = 6

HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port() -> int:
    """Return a port that no other process of the review takes meanwhile."""
    return free_ports(1)[0]


def _end_with_parent() -> None:
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Instance:
    """Process of the project, started as the deploy file says."""

    def __init__(self, name: str, zone: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        self.log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        settings = {
            "instance": name,
            "data_centre": zone,
            "callers": f"{HOST}:{self.port}",
            "readiness": f"{HOST}:{self.ready_port}",
            "metrics_port": free_port(),
            "store": f"{HOST}:{store_port}",
            "store_writes_per_second": 600,
            "processors": 2,
            "processor_share": 0.537,
            "link_mbps": 1000.0,
            "longest_lease_ms": HOLD_MAX_MS,
            "keep_s": STATUS_S,
            "stop_limit_s": GRACE_S,
        }
        self._settings.write_text(json.dumps(settings))
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "HYSSOPWEIR_NODE_FILE": str(self._settings),
            "PYTHONPATH": "target/deps",
            **role["env"],
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_end_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def kill(self) -> None:
        """End the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGKILL)
            self._process.wait()


class Machine:
    """Machine of a worker; the lives of the worker follow one another."""

    def __init__(self, deployment: "Deployment", number: int, shape: Shape) -> None:
        self.number = number
        self.shape = shape
        self._deployment = deployment
        self._runner: web.ServerRunner | None = None
        self.port = free_port()
        self.worker = self._new_worker(deployment.new_id())
        self.is_gone = False

    def _new_worker(self, worker_id: str) -> Worker:
        return self._deployment.new_worker(
            worker_id,
            self.shape,
            self._deployment.record,
            self._deployment.work_of,
            lambda _: ("", False),
            self._deployment.rng,
        )

    @property
    def worker_id(self) -> str:
        """Return the id of the current life."""
        return self.worker.life.worker

    async def open(self) -> None:
        """Listen at the address of the machine."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, self.port, backlog=512).start()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        return await self.worker.handle(req)

    def register(self) -> None:
        """Write the entry of the worker."""
        entry = self.worker.entry((HOST, self.port))
        self._deployment.store.put(WORKERS_TABLE, self.worker_id, entry)

    async def beat(self) -> None:
        """Write the entry again and again."""
        await asyncio.sleep(self._deployment.rng.uniform(0, HEARTBEAT_S / 2))
        while True:
            if self.worker.is_up:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self) -> None:
        """End the life of the worker; its entry is removed after three heartbeats."""
        self.worker.crash()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
        life = self.worker.life
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._expire, life)

    def _expire(self, life: Any) -> None:
        if self.worker.life == life and not self.worker.is_up:
            self._deployment.store.drop(WORKERS_TABLE, life.worker)

    async def restart(self, shape: Shape | None = None) -> None:
        """Begin a new life under the same id."""
        self.shape = shape or self.shape
        self.worker = self._new_worker(self.worker_id)
        await self.open()

    async def close(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()


class Deployment:
    """Store, workers and instances of one case, and its clients."""

    def __init__(
        self,
        name: str,
        instances: int,
        shapes: list[Shape],
        queues: dict[str, dict[str, Any]],
        work_of: Callable[[RunKey], Work],
        seed: int = 1,
        new_worker: Callable[..., Worker] = Worker,
        id_format: str = "i-{:08x}",
    ) -> None:
        self.name = name
        self.id_format = id_format
        self.new_worker = new_worker
        self.record = EventRecord()
        self.rng = random.Random(seed)
        self.work_of = work_of
        self.store = Store()
        self.lines: list[tuple[float, str]] = []
        self._queues = queues
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._instance_count = instances
        self.instances: list[Instance] = []
        self.machines = [Machine(self, n, shape) for n, shape in enumerate(shapes)]
        self._session: aiohttp.ClientSession | None = None

    def new_id(self) -> str:
        """Return an id for a new worker."""
        return self.id_format.format(self.rng.randrange(16**8))

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return self.record.now_ms() / 1_000

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((self.now_s(), text))

    def configure(self, version: int = 1) -> None:
        """Write the operator's configuration."""
        routes = [
            {
                "name": name,
                "host": HOST_NAME,
                "pathPrefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeoutMs": 3_000,
                "service": SERVICE,
                "priority": 0,
                "maxAttempts": 4,
                "stretchFactor": 2.0,
                "targetLatencyMs": 1_000,
                **policy,
            }
            for name, policy in self._queues.items()
        ]
        service = {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": False,
            "standby": False,
        }
        limits = {"maxBodyBytes": 262_144}
        data = {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": limits,
        }
        self.store.put("op", "config", data)

    async def start(self) -> None:
        """Start the stand-ins and the instances, and wait until these are ready."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(CLIENT_TIMEOUT_S),
        )
        runner = web.ServerRunner(
            web.Server(self.store.handle, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, 0, backlog=512).start()
        self._runners.append(runner)
        store_port = int(runner.addresses[0][1])
        self.configure()
        for machine in self.machines:
            await machine.open()
            self.spawn(machine.beat())
        for number in range(self._instance_count):
            name = f"edge-north-{number + 1}"
            folder = Path(self._folder.name)
            self.instances.append(Instance(name, "north", store_port, folder))
            self.instances[-1].start()
        async with asyncio.timeout(READY_S):
            for instance in self.instances:
                while not await self._is_ready(instance):
                    if instance.has_ended():
                        raise RuntimeError(f"{instance.name} has ended")
                    await asyncio.sleep(0.2)
        self.note(f"{len(self.instances)} instances are ready")

    async def _is_ready(self, instance: Instance) -> bool:
        assert self._session is not None
        url = f"http://{HOST}:{instance.ready_port}/readyz"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._session.get(url) as response:
                return response.status == 200
        return False

    def spawn(self, coro: Any) -> asyncio.Task[Any]:
        """Start a task that ends with the deployment."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    async def call(
        self,
        method: str,
        queue: str,
        job: str,
        body: Any = None,
        instance: Instance | None = None,
        is_noted: bool = True,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request; return its status, 0 without a response, and the body."""
        assert self._session is not None
        instance = instance or self.rng.choice(self.instances)
        status, data = 0, {}
        try:
            async with self._session.request(
                method,
                f"http://{HOST}:{instance.port}/{queue}/{job}",
                json=body,
                headers={"Host": HOST_NAME, "Deadline-Ms": "3000"},
            ) as response:
                status = response.status
                data = json.loads(await response.text() or "{}")
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            data = {"error": repr(exc)}
        if is_noted:
            text = f"{method} {queue}/{job} at {instance.name}: {status} {data}"
            self.note(text)
        return status, data

    async def submit(
        self, queue: str, job: str, body: Any, is_noted: bool = True
    ) -> bool:
        """Submit a job, with retries; return whether it was accepted."""
        for _ in range(6):
            status, _ = await self.call("POST", queue, job, body, is_noted=is_noted)
            if status == 200:
                return True
            await asyncio.sleep(0.4)
        return False

    async def state(self, queue: str, job: str) -> str:
        """Return the state that an instance shows."""
        for _ in range(4):
            status, data = await self.call("GET", queue, job)
            if status:
                return str(data.get("state", status))
            await asyncio.sleep(0.4)
        return "no answer"

    def runs(self, task: str) -> list[tuple[int, float, float | None, str]]:
        """Return the runs of a task: number, start and end in s, and how it ended."""
        found: dict[tuple[Any, int], list[Any]] = {}
        for event in self.record.events:
            if isinstance(event, RunStarted) and event.run.task == task:
                found[event.life, event.run.number] = [event.at_ms / 1_000, None, ""]
            if isinstance(event, RunEnded) and event.run.task == task:
                entry = found.get((event.life, event.run.number))
                if entry is not None:
                    entry[1:] = [event.at_ms / 1_000, event.how]
        return [(key[1], *values) for key, values in found.items()]

    def layout(self) -> dict[str, Any]:
        """Return the layout of the cells, for the record and the choice of ids."""
        for at, row in self.store._rows["layouts"].items():
            if at.key == "cells" and row.value is not None:
                return dict(json.loads(row.value))
        raise RuntimeError("there is no layout")

    def job_in(self, cell: int, cells: int) -> str:
        """Return a new id of a job that the hash of its id assigns to a cell."""
        while True:
            job = f"{self.rng.randrange(16**16):016x}"
            if zlib.crc32(job.encode()) % cells == cell:
                return job

    def has_run(self, task: str, from_s: float, to_s: float) -> bool:
        """Return whether a run of a task was at work within an interval."""
        return any(
            started_s <= to_s and (ended_s is None or ended_s >= from_s)
            for _, started_s, ended_s, _ in self.runs(task)
        )

    def used_cpu(self, machine: Machine, bodies: dict[str, Any]) -> int:
        """Return the processors that the runs on a machine need, in thousandths."""
        used = 0
        for key in machine.worker.runs:
            job, _, step, _ = key.task.split(".")
            used += bodies[job]["phases"][int(step)]["cpu"]
        return used

    def room_for(self, phase: dict[str, Any], bodies: dict[str, Any]) -> int:
        """Return how many more tasks of a step the machines that are up could run."""
        label = phase.get("requirements")
        return sum(
            (machine.shape.cpu - self.used_cpu(machine, bodies)) // phase["cpu"]
            for machine in self.machines
            if machine.worker.is_up and (not label or label in machine.shape.labels)
        )

    def share_in_use(self, bodies: dict[str, Any]) -> float:
        """Return the share of the processors of the service that is in use."""
        up = [machine for machine in self.machines if machine.worker.is_up]
        used = sum(self.used_cpu(machine, bodies) for machine in up)
        return used / sum(machine.shape.cpu for machine in up)

    def write_record(self, path: Path, verdict: str, has_logs: bool = False) -> None:
        """Write what was sent, answered and run, in the order of the times."""
        lines = list(self.lines)
        for event in self.record.events:
            lines.append((event.at_ms / 1_000, f"{type(event).__name__} {event[1:]}"))
        text = [f"{at_s:9.3f} {line}" for at_s, line in sorted(lines)]
        if has_logs:
            for instance in self.instances:
                text += [f"--- log of {instance.name}", instance.log_path.read_text()]
        path.write_text("\n".join([f"verdict: {verdict}", *text]) + "\n")

    async def close(self) -> None:
        """End the processes that were started, then the stand-ins."""
        for instance in self.instances:
            instance.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        for machine in self.machines:
            await machine.close()
        for runner in self._runners:
            await runner.cleanup()


def machine_shape(
    number: int, rack: str, cpu: int = 16_000, kind: str = "a", memory: int = 64_000
) -> Shape:
    """Return the properties of a machine."""
    return Shape(f"m-{number}", SERVICE, "north", cpu, memory, (kind, rack))


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[Path], Any], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case within its time; return the exit status."""
    started_s = time.monotonic()
    try:
        status = asyncio.run(asyncio.wait_for(play(folder), limit_s))
    except Exception as exc:
        print(f"could not run: {exc!r}")
        return NOT_RUN
    print(f"exit {status} after {time.monotonic() - started_s:.0f} s")
    return int(status)

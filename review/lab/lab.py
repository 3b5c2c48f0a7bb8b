"""Runner of a case: the stand-ins, instances of the product and a client."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from lab.store import Store
from lab.worker import Work, Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOST_NAME = "crews.example"
LIMIT_S = 112
READY_S = 20
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Raised when a case can't be played."""


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Lab:
    """A small deployment: one store, workers, instances and a client."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.began = time.monotonic()
        self.out = (self.folder / "record.txt").open("w", encoding="utf-8")
        self.service = "lanterns"
        self.store = Store(self.record)
        self.workers = []
        self.instances = []
        self.starts, self.ends, self.lost, self.acknowledged = [], [], [], []
        self.checkpoints = False
        self.work = lambda task, number, worker: Work(1.0)
        self._runners, self._tasks = [], []
        self._temporary = tempfile.TemporaryDirectory()
        self.session = None
        self.proxies = []
        self.is_store_proxied = False

    def record(self, what, text=""):
        passed = time.monotonic() - self.began
        self.out.write(f"{passed:8.3f} {what}: {text}\n")

    def configure(self, routes, version=3):
        """Write the operator's configuration with routes by name."""
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": name,
                        "host": HOST_NAME,
                        "pathPrefix": f"/{name}/",
                        "kind": "non_idempotent",
                        "timeoutMs": 3000,
                        "service": self.service,
                        "priority": 0,
                        "maxAttempts": 3,
                        "stretchFactor": 1.5,
                        "targetLatencyMs": 300,
                        **fields,
                    }
                    for name, fields in routes.items()
                ],
                "services": [
                    {
                        "name": self.service,
                        "healthPath": "/healthz",
                        "maxConnections": 64,
                        "protocol": "h1",
                        "tls": False,
                        "enforcesCapacity": False,
                        "standby": False,
                    }
                ],
                "limits": {"maxBodyBytes": 262144},
            },
        )

    async def serve(self, handler, address=None):
        server = web.Server(handler, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, *(address or (HOST, 0)), backlog=512)
        await site.start()
        self._runners.append(runner)
        return runner.addresses[0][:2], runner

    async def add_worker(self, name, cpu, **fields):
        worker = Worker(self, name, cpu, **fields)
        worker.address, worker.runner = await self.serve(worker.handle)
        self.workers.append(worker)
        worker.beat_task = self.spawn(worker.beat())
        self.spawn(worker.watch_lease())
        return worker

    def spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    async def start(self, instances=2):
        """Start the instances with the command of the deploy file; wait until ready."""
        self.session = aiohttp.ClientSession()
        address, _ = await self.serve(self.store.handle)
        # Cases may put a proxy between the instances and the store.
        self.store_address = self.proxies[0].address if self.is_store_proxied else address
        for number in range(instances):
            self.start_instance(f"edge-{number + 1}")
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            if all([await self._is_ready(ready) for _, _, _, ready in self.instances]):
                self.record("ready", f"{instances} instances")
                return
        raise CannotRunError("the instances don't become ready")

    def start_instance(self, name):
        callers, readiness = free_port(), free_port()
        settings = {
            "instance": name,
            "data_centre": "depot-north",
            "callers": f"{HOST}:{callers}",
            "readiness": f"{HOST}:{readiness}",
            "metrics_port": free_port(),
            "store": f"{self.store_address[0]}:{self.store_address[1]}",
            "store_writes_per_second": 600,
            "processors": 2,
            "processor_share": 0.537,
            "link_mbps": 1000.0,
            "longest_lease_ms": 10000,
            "keep_s": 120,
            "stop_limit_s": 6,
        }
        path = Path(self._temporary.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        env = {
            "PATH": os.environ["PATH"],
            "HYSSOPWEIR_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        log = (Path(self._temporary.name) / f"{name}.log").open("w")
        process = subprocess.Popen(
            ["python3", "-m", "hyssopweir.platform"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.instances.append((name, process, callers, readiness))

    def log_of(self, name):
        return (Path(self._temporary.name) / f"{name}.log").read_text()

    async def _is_ready(self, port):
        try:
            async with self.session.get(f"http://{HOST}:{port}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def call(self, method, path, body=None, instance=0):
        """Send one request as a client; return the status, 0 without an answer."""
        status, data = await self._send(method, path, body, instance)
        name = self.instances[instance % len(self.instances)][0]
        self.record("client", f"{method} {path} at {name} -> {status} {data}")
        return status, data

    async def _send(self, method, path, body, instance):
        port = self.instances[instance % len(self.instances)][2]
        headers = {"Host": HOST_NAME, "Deadline-Ms": "3000"}
        try:
            async with self.session.request(
                method,
                f"http://{HOST}:{port}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=3.5),
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as exc:
            return 0, {"error": repr(exc)}

    async def submit(self, queue, job, phases, instance=0, **fields):
        """Submit a job with retries, as PROTOCOL.md allows; return whether accepted."""
        body = {"spec": f"work of {job}", "phases": phases, **fields}
        for attempt in range(5):
            path = f"/{queue}/{job}"
            status, _ = await self.call("POST", path, body, instance + attempt)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def wait_running(self, count, limit_s=15):
        """Wait until the workers have ``count`` runs, or raise ``CannotRunError``."""
        until = time.monotonic() + limit_s
        while sum(len(worker.runs) for worker in self.workers) < count:
            if time.monotonic() >= until:
                raise CannotRunError(f"fewer than {count} tasks run")
            await asyncio.sleep(0.1)

    async def state(self, queue, job, instance=0):
        status, data = await self.call("GET", f"/{queue}/{job}", None, instance)
        return data.get("state", "") if status == 200 else f"status {status}"

    async def close(self):
        for _, process, _, _ in self.instances:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        for proxy in self.proxies:
            await proxy.close()
        if self.session is not None:
            await self.session.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name, *_ in self.instances:
                Path(keep, f"{name}.log").write_text(self.log_of(name))
        await asyncio.wait(
            [asyncio.ensure_future(runner.cleanup()) for runner in self._runners],
            timeout=3,
        )
        self.out.close()
        self._temporary.cleanup()


def find_double_runs(lab):
    """Return the breaches of TWICE: a run beside another, or a start after a done end.

    An end counts once ``acknowledged`` has reached it. Runs that were lost with their
    worker, and runs after the lease of the worker lapsed, are left out.
    """
    faults = []
    done = {}
    taken = {
        (task, number) for _, _, task, number, how in lab.acknowledged if how == "done"
    }
    for at, _, task, number, how in lab.ends:
        if how == "done" and (task, number) in taken:
            done.setdefault(task, (at, number))
    over = {(task, number): at for at, _, task, number, _ in lab.ends}
    over.update({(task, number): at for at, _, task, number in lab.lost})
    by_task = {}
    for at, worker, task, number in lab.starts:
        first_done = done.get(task)
        if first_done and at > first_done[0] and number > first_done[1]:
            faults.append(
                f"{task} run {number} started on {worker.id} {at - first_done[0]:.3f} s "
                f"after run {first_done[1]} ended done"
            )
        for other_at, other_worker, other in by_task.get(task, ()):
            if over.get((task, other), float("inf")) > at:
                faults.append(
                    f"{task} run {number} started on {worker.id} while run {other} "
                    f"was at work on {other_worker.id}"
                )
        by_task.setdefault(task, []).append((at, worker, number))
    return faults


def main(folder, play):
    """Play a case and exit with its result; ``play`` returns a list of breaches."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    raise SystemExit(asyncio.run(_run(folder, play, trouble)))


async def _run(folder, play, trouble):
    lab = Lab(folder)
    # Ends the processes also when the case is stopped from outside.
    current = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
    try:
        faults = await asyncio.wait_for(play(lab, trouble), LIMIT_S)
    except (CannotRunError, asyncio.TimeoutError, asyncio.CancelledError, OSError) as exc:
        lab.record("could not run", repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
        return NOT_RUN
    else:
        for fault in faults:
            lab.record("BROKEN", fault)
        lab.record("result", f"{len(faults)} breaches, trouble={trouble}")
        print(f"{len(faults)} breaches, trouble={trouble}")
        for fault in faults[:5]:
            print(" ", fault)
        return BROKEN if faults else HELD
    finally:
        await lab.close()

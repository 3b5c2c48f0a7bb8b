"""Running deployment: the store, the workers, their proxies and the instances."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from soak.events import EventRecord, Millis, RunKey
from soak.instances import Instance
from soak.peers import find_owner
from soak.proxy import HOST, Address, Proxy
from soak.shapes import DeploymentShape
from soak.store import WORKERS_TABLE, Store
from soak.worker import Shape, Work, Worker

HEARTBEAT_S = 1.1
# An entry is removed after so many heartbeat intervals of silence.
SILENT_INTERVALS = 3
READY_S = 30
BACKLOG = 512
INSTANCE_PORTS = 3
LAG_INTERVAL_S = 0.05


class WorkerSite:
    """Place of a worker in the deployment; lives of the worker follow one another."""

    def __init__(self, deployment: "Deployment", number: int, ports: list[int]) -> None:
        shape = deployment.shape
        self._deployment = deployment
        self._ports = ports
        self._shape = Shape(
            f"m-{number}",
            shape.service,
            shape.zones[number % len(shape.zones)],
            shape.cpu,
            shape.memory_mb,
            ("a", f"r{number % len(shape.zones)}-{number // shape.rack_workers}"),
        )
        self.target: Address = (HOST, 0)
        # Faults that keep the worker from writing its entry.
        self.isolations = 0
        self.worker = self._new_worker(self._new_id())
        self.proxy = self._new_proxy()

    def _new_id(self) -> str:
        return f"i-{self._deployment.rng.randrange(16**8):08x}"

    def _new_worker(self, worker_id: str) -> Worker:
        deployment = self._deployment
        return Worker(
            worker_id,
            self._shape,
            deployment.record,
            deployment.work_of,
            deployment.sender_of,
            deployment.rng,
        )

    def _new_proxy(self) -> Proxy:
        self._ports.append(self._ports.pop(0))
        return Proxy(self._ports[0], self.target, self._deployment.add_link)

    async def open(self) -> None:
        """Start the server of the worker and its proxy."""
        self.target = await self._deployment.serve(self._handle)
        self.proxy = self._new_proxy()
        await self.proxy.open()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        return await self.worker.handle(req)

    async def crash(self) -> None:
        """End the worker's life and its connections."""
        self.worker.crash()
        await self.proxy.refuse()
        self.proxy.reset()

    async def restart(self, has_new_id: bool) -> None:
        """Begin a new life after a crash, as before or elsewhere under a new id."""
        if has_new_id:
            await self.proxy.close()
            self.proxy = self._new_proxy()
            self.worker = self._new_worker(self._new_id())
            await self.proxy.open()
        else:
            self.worker = self._new_worker(self.worker.life.worker)
            await self.proxy.admit()

    async def beat(self) -> None:
        """Write the entry of the worker, and remove those of ended lives."""
        store, listed = self._deployment.store, dict[str, float]()
        await asyncio.sleep(self._deployment.rng.uniform(0, HEARTBEAT_S / 2))
        while True:
            await self.worker.wait_processor()
            now_ms = self._deployment.record.now_ms()
            is_cut = self.isolations or self._deployment.is_store_down
            if self.worker.is_up and not is_cut:
                worker_id = self.worker.life.worker
                entry = self.worker.entry((HOST, self.proxy.port))
                store.put(WORKERS_TABLE, worker_id, entry)
                listed[worker_id] = now_ms
            for worker_id, at_ms in list(listed.items()):
                if now_ms - at_ms > SILENT_INTERVALS * HEARTBEAT_S * 1_000:
                    store.drop(WORKERS_TABLE, worker_id)
                    del listed[worker_id]
            await asyncio.sleep(HEARTBEAT_S)


class Deployment:
    """Store, workers and instances of one run."""

    def __init__(
        self,
        shape: DeploymentShape,
        record: EventRecord,
        work_of: Callable[[RunKey], Work],
        rng: random.Random,
        take_ports: Callable[[int], list[int]],
        folder: Path,
    ) -> None:
        self.shape = shape
        self.record = record
        self.work_of = work_of
        self.rng = rng
        self.store = Store()
        # Workers can't write their entries then, so that some of them expire.
        self.is_store_down = False
        # The longest delay of a timer in the process of the stand-ins.
        self.lag_ms: Millis = 0
        self._take_ports = take_ports
        self._folder = folder
        # By ends of a connection to a worker: its proxy and the instance behind it.
        self._links: dict[tuple[int, int], tuple[Proxy, str]] = {}
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.instances: list[Instance] = []
        self.store_proxies: dict[str, Proxy] = {}
        self.sites = [
            WorkerSite(self, number, take_ports(2)) for number in range(shape.workers)
        ]

    async def serve(
        self, handler: Callable[[web.BaseRequest], Any], port: int = 0
    ) -> Address:
        """Start a server on a port of the loopback interface."""
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, HOST, port, backlog=BACKLOG).start()
        self._runners.append(runner)
        return HOST, int(runner.addresses[0][1])

    def add_link(self, proxy: Proxy, ends: tuple[int, int], peer_port: int) -> None:
        """Note the instance behind a connection that a proxy has made."""
        processes = {
            instance.name: instance.process_id
            for instance in self.instances
            if instance.process_id
        }
        name = find_owner(peer_port, proxy.port, processes)
        self._links[ends] = (proxy, name)

    def sender_of(self, req: web.BaseRequest) -> tuple[str, bool]:
        """Return the instance that sent a request, and whether it was held up."""
        if req.transport is None:
            return "", False
        peer_port = req.transport.get_extra_info("peername")[1]
        own_port = req.transport.get_extra_info("sockname")[1]
        link = self._links.get((peer_port, own_port))
        if link is None:
            return "", False
        return link[1], peer_port in link[0].late_ports

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        address = await self.serve(self.store.handle)
        for site in self.sites:
            await site.open()
            self.spawn(site.beat())
        self.spawn(self._measure_lag())
        for number in range(self.shape.instances):
            zone = self.shape.zones[number % len(self.shape.zones)]
            name = f"edge-{zone}-{number // len(self.shape.zones) + 1}"
            proxy = Proxy(self._take_ports(1)[0], address)
            await proxy.open()
            self.store_proxies[name] = proxy
            ports = self._take_ports(INSTANCE_PORTS)
            store = (HOST, proxy.port)
            self.instances.append(Instance(name, zone, ports, store, self._folder))
            self.instances[-1].start()
        await self.wait_ready()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that ends with the deployment."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    async def _measure_lag(self) -> None:
        while True:
            due_ms = self.record.now_ms() + LAG_INTERVAL_S * 1_000
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag_ms = max(self.lag_ms, self.record.now_ms() - due_ms)

    async def wait_ready(self) -> None:
        """Wait until all instances are ready; raise ``TimeoutError`` if they aren't."""
        async with asyncio.timeout(READY_S), aiohttp.ClientSession() as session:
            for instance in self.instances:
                while not await _is_ready(session, instance):
                    await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End the processes that were started, then the stand-ins."""
        for instance in self.instances:
            instance.kill()
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        proxies = [site.proxy for site in self.sites] + [*self.store_proxies.values()]
        for proxy in proxies:
            await proxy.close()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(runner.cleanup(), 1)
        for result in results:
            if isinstance(result, Exception):
                raise result


async def _is_ready(session: aiohttp.ClientSession, instance: Instance) -> bool:
    try:
        url = f"http://{HOST}:{instance.ready_port}/readyz"
        async with session.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False

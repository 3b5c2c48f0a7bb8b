"""HTTP server of the stand-ins: platform, workers and their control endpoints.

The control endpoints have a port of their own, which the scheduler does not know.
"""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import partial, singledispatch
from pathlib import Path
from typing import Any

from aiohttp import web
from mode import Service
from result import Err, Ok, Result

from hyssopweir.clock import Clock
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.events import Event, EventLog
from hyssopweir.fleet import ListedWorker
from hyssopweir.fleet_file import Fleet, load_fleet
from hyssopweir.platform_client import (
    BAD_REQUEST,
    CONFLICT,
    MAX_OBJECT_BYTES,
    NOT_FOUND,
    parse_json,
    require_field,
)
from hyssopweir.schemas import Fault
from hyssopweir.settings import Address
from hyssopweir.standin_platform import PlatformPart, abort_reply, bad_request
from hyssopweir.standin_workers import StandinWorker, WorkAudit
from hyssopweir.worker_client import Inventory, RunReport
from hyssopweir.worker_http import (
    fence_from_dict,
    inventory_to_dict,
    report_to_dict,
    request_run_from_dict,
    task_run_from_dict,
)

# Shortest time that aiohttp accepts; 0 would mean to wait for ever.
SHUTDOWN_S = 0.01


class StandinComponents(Enum):
    """Name what a stand-in process serves."""

    ALL = "all"
    PLATFORM = "platform"
    WORKERS = "workers"


class Port:
    """Serve an application on one address that can be closed abruptly."""

    def __init__(
        self,
        make_app: Callable[[], web.Application],
        address: Address,
    ) -> None:
        self.host = address["host"]
        self.port = address["port"]
        self._make_app = make_app
        self._runner: web.AppRunner | None = None

    async def open(self) -> None:
        """Listen; a port of 0 is replaced by the one that the system chose."""
        runner = web.AppRunner(
            self._make_app(), access_log=None, shutdown_timeout=SHUTDOWN_S
        )
        await runner.setup()
        self._runner = runner
        await web.TCPSite(runner, self.host, self.port).start()
        self.port = runner.addresses[0][1]

    async def close(self) -> None:
        """Reset all connections and stop listening."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for conn in runner.server.connections if runner.server else []:
            if conn.transport is not None:
                conn.transport.abort()
        await runner.cleanup()

    def connections(self) -> int:
        """Return the number of open connections."""
        if self._runner is None or self._runner.server is None:
            return 0
        return sum(
            conn.transport is not None and not conn.transport.is_closing()
            for conn in self._runner.server.connections
        )


class WorkerPart:
    """Serve one stand-in worker on its own port."""

    def __init__(self, worker: StandinWorker, account: WorkAudit) -> None:
        described = worker.worker
        self.worker = worker
        self.port = Port(
            self._make_app, Address(host=described.host, port=described.port)
        )
        self.is_dead = False
        self._account = account
        self._running = asyncio.Event()
        self._running.set()

    async def open(self) -> None:
        """Listen, and describe the worker with the port that it got."""
        await self.port.open()
        self.worker.worker = self.worker.worker._replace(port=self.port.port)

    async def kill(self) -> None:
        """Reset all connections and lose all runs."""
        self.is_dead = True
        await self.port.close()
        self.worker.kill()
        self._running.set()

    async def restart(self) -> None:
        """Start again with a new incarnation on the same port."""
        await self.kill()
        self.worker.restart()
        await self.port.open()
        self.is_dead = False

    def freeze(self) -> None:
        """Hold back all calls and replies until ``resume``."""
        self._running.clear()

    def resume(self) -> None:
        """Handle the calls that came meanwhile."""
        self._running.set()

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=2 * MAX_OBJECT_BYTES)
        app.add_routes([web.post("/v1/{method}", self._handle)])
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self._account.connected(self.worker.worker, self.port.connections())
        incarnation = self.worker.incarnation
        await self._running.wait()
        # A call of before a restart must not reach the new incarnation.
        if self.is_dead or incarnation != self.worker.incarnation:
            abort_reply(request)
            return web.Response()
        try:
            call, data = METHODS[request.match_info["method"]], parse_json(body)
            if require_field(data, "worker", str) != self.worker.worker.worker_id:
                detail = f"this is {self.worker.worker.worker_id}"
                return _refusal(Code.WORKER_REFUSED, detail, CONFLICT)
            reply = await call(self.worker, data)
        except (ValueError, KeyError) as exc:
            return _refusal(Code.WORKER_REFUSED, str(exc), BAD_REQUEST)
        await self._running.wait()
        if isinstance(reply, Ok):
            return web.json_response(to_reply(reply.ok_value))
        failure: Failure = reply.err_value
        if failure.outcome is Outcome.UNKNOWN:
            abort_reply(request)
        return _refusal(failure.code, failure.detail, CONFLICT)


Call = Callable[[StandinWorker, Any], Awaitable[Result[Any, Failure]]]


async def _claim(worker: StandinWorker, data: Any) -> Result[Inventory, Failure]:
    return await worker.claim(require_field(data, "epoch", int))


async def _execute(worker: StandinWorker, data: Any) -> Result[RunReport, Failure]:
    fence = fence_from_dict(require_field(data, "fence", dict))
    run = request_run_from_dict(require_field(data, "run", dict))
    return await worker.execute(fence, run)


async def _start(worker: StandinWorker, data: Any) -> Result[None, Failure]:
    fence = fence_from_dict(require_field(data, "fence", dict))
    run = task_run_from_dict(require_field(data, "run", dict))
    return await worker.start(fence, run, require_field(data, "lease_until_ms", int))


async def _watch(worker: StandinWorker, data: Any) -> Result[Inventory, Failure]:
    return await worker.watch(
        fence_from_dict(require_field(data, "fence", dict)),
        require_field(data, "revision", int),
        require_field(data, "wait_ms", int),
        require_field(data, "lease_until_ms", int),
    )


async def _throttle(worker: StandinWorker, data: Any) -> Result[RunReport, Failure]:
    share = float(require_field(data, "share", int, float))
    if not 0.0 <= share <= 1.0:
        raise ValueError("share is out of range")
    fence = fence_from_dict(require_field(data, "fence", dict))
    return await worker.throttle(fence, require_field(data, "run_id", str), share)


async def _acknowledge(worker: StandinWorker, data: Any) -> Result[None, Failure]:
    fence = fence_from_dict(require_field(data, "fence", dict))
    run_ids = require_field(data, "run_ids", list)
    if not all(isinstance(run_id, str) for run_id in run_ids):
        raise ValueError("a run id is no string")
    return await worker.acknowledge(fence, run_ids)


async def _act(name: str, worker: StandinWorker, data: Any) -> Result[Any, Failure]:
    fence = fence_from_dict(require_field(data, "fence", dict))
    reply: Result[Any, Failure] = await getattr(worker, name)(
        fence, require_field(data, "run_id", str)
    )
    return reply


METHODS: dict[str, Call] = {
    "claim": _claim,
    "execute": _execute,
    "start": _start,
    "watch": _watch,
    "throttle": _throttle,
    "acknowledge": _acknowledge,
    **{name: partial(_act, name) for name in ("checkpoint", "stop", "lookup")},
}


@singledispatch
def to_reply(value: object) -> dict[str, Any]:
    """Return the JSON form of what a worker returns."""
    return {}


to_reply.register(Inventory, inventory_to_dict)
to_reply.register(RunReport, report_to_dict)


class StandinServer(Service):
    """Run the stand-ins of a fleet, or one part of them."""

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        parts: StandinComponents = StandinComponents.ALL,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self.audit = WorkAudit(clock)
        self.platform = PlatformPart(clock, fleet.list_lag_ms, seed)
        self.workers: dict[str, WorkerPart] = {}
        service_ms = {name: kind.run_ms for name, kind in fleet.services.items()}
        if parts is not StandinComponents.PLATFORM:
            for described in fleet.workers:
                worker = StandinWorker(described, clock, self.audit, service_ms)
                part = WorkerPart(worker, self.audit)
                self.workers[described.worker_id] = part
        self._listed = {worker.worker_id: worker for worker in fleet.workers}
        self._leaving: set[str] = set()
        self._dead: set[str] = set()
        only_workers = parts is StandinComponents.WORKERS
        control = fleet.workers_control if only_workers else fleet.platform_control
        self.control_listener = Port(self._control_app, control)
        self.platform_listener = Port(self.platform.make_app, fleet.platform)
        self._has_platform = not only_workers

    async def on_start(self) -> None:
        """Open all ports; raise ``OSError`` if one is in use."""
        try:
            for part in self.workers.values():
                await part.open()
                self._listed[part.worker.worker.worker_id] = part.worker.worker
            for worker in self._listed.values():
                self.platform.instances.show(ListedWorker(worker, leaving=False))
            if self._has_platform:
                await self.platform_listener.open()
            await self.control_listener.open()
        except OSError:
            await self._close()
            raise

    async def on_stop(self) -> None:
        """Close all ports."""
        await self._close()

    async def _close(self) -> None:
        ports = [part.port for part in self.workers.values()]
        ports += [self.platform_listener, self.control_listener]
        await asyncio.gather(*(port.close() for port in ports))

    def _control_app(self) -> web.Application:
        app = web.Application()
        app.add_routes(
            [
                web.get("/control/account", self._show_account),
                web.post("/control/faults/{part}", self._change_faults),
                web.post("/control/list", self._change_lag),
                web.post("/control/workers/{worker}/{action}", self._act_on_worker),
            ]
        )
        return app

    async def _show_account(self, request: web.Request) -> web.Response:
        """Return the account; with ``?runs=1`` the starts of each run as well."""
        account, table = self.audit, self.platform.table
        counters: dict[str, Counter[str]] = {
            "request_runs": account.request_runs,
            "task_runs": account.task_runs,
            "tasks_done": account.tasks_done,
            "evicted": account.evicted,
        }
        data: dict[str, Any] = {
            "violations": [entry._asdict() for entry in account.violations],
            **{name: counter.total() for name, counter in counters.items()},
            "lost_work_ms": account.lost_work_ms,
            "table": {
                name: getattr(table, name)
                for name in ("reads", "commits", "conflicts", "rows_written")
            },
        }
        if "runs" in request.query:
            data["runs"] = counters
        return web.json_response(data)

    async def _change_faults(self, request: web.Request) -> web.Response:
        faults = self.platform.faults.get(request.match_info["part"])
        if faults is None:
            return web.Response(status=NOT_FOUND)
        try:
            faults.change(dict(parse_json(await request.read())))
        except (ValueError, TypeError) as exc:
            return bad_request(exc)
        return web.json_response(vars(faults))

    async def _change_lag(self, request: web.Request) -> web.Response:
        try:
            lag_ms = require_field(parse_json(await request.read()), "lag_ms", int)
        except ValueError as exc:
            return bad_request(exc)
        self.platform.instances.lag_ms = lag_ms
        return web.json_response({"lag_ms": lag_ms})

    async def _act_on_worker(self, request: web.Request) -> web.Response:
        worker_id = request.match_info["worker"]
        action = request.match_info["action"]
        if worker_id not in self._listed or action not in ACTIONS:
            return web.Response(status=NOT_FOUND)
        await self.act_on_worker(worker_id, action)
        return web.json_response({"worker": worker_id, "action": action})

    async def act_on_worker(self, worker_id: str, action: str) -> None:
        """Do one of ``ACTIONS`` to a worker and show it in the instance list."""
        if worker_id in self.workers:
            await self._act(self.workers[worker_id], action)
        self._list_after(worker_id, action)

    async def _act(self, part: WorkerPart, action: str) -> None:
        if action == "leave":
            part.worker.leave(self.platform.instances.lag_ms)
        elif action in ("fail", "recover"):
            part.worker.fails_everything = action == "fail"
        elif action == "kill":
            await part.kill()
        elif action == "restart":
            await part.restart()
        else:
            (part.freeze if action == "freeze" else part.resume)()

    def _list_after(self, worker_id: str, action: str) -> None:
        if action == "leave":
            self._leaving.add(worker_id)
        if action == "kill":
            self._dead.add(worker_id)
            self.platform.instances.change(worker_id, None)
        if action == "restart":
            self._dead.discard(worker_id)
        if action in ("leave", "restart") and worker_id not in self._dead:
            listing = ListedWorker(self._listed[worker_id], worker_id in self._leaving)
            self.platform.instances.change(worker_id, listing)


ACTIONS = frozenset(
    {"kill", "leave", "restart", "fail", "recover", "freeze", "resume"},
)


async def run_standin(
    path: Path,
    parts: StandinComponents = StandinComponents.ALL,
    until: asyncio.Event | None = None,
) -> Result[None, list[Fault]]:
    """Serve the fleet of a file until ``until`` is set, or SIGTERM or SIGINT."""
    loaded = load_fleet(path)
    if isinstance(loaded, Err):
        return loaded
    if parts is not StandinComponents.ALL and any(
        not w.port for w in loaded.ok_value.workers
    ):
        detail = "separate processes need a first_port in each data centre"
        return Err([Fault(Code.SETTINGS_INVALID, "$.data_centres", detail)])
    clock = Clock()
    until = until or _stop_on_signals()
    server = StandinServer(loaded.ok_value, clock, parts)
    try:
        await server.start()
    except OSError as exc:
        return Err([Fault(Code.SETTINGS_INVALID, "$", f"can't listen: {exc}")])
    EventLog("standin", loaded.ok_value.name, clock).emit(
        Event.INSTANCE_STARTED,
        parts=parts.value,
        platform=[server.platform_listener.host, server.platform_listener.port],
        control=[server.control_listener.host, server.control_listener.port],
        workers=len(server.workers),
    )
    await until.wait()
    await server.stop()
    return Ok(None)


def _stop_on_signals() -> asyncio.Event:
    until = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, until.set)
    return until


def _refusal(code: Code, detail: str, status: int) -> web.Response:
    refusal = {"refusal": code.name, "detail": detail}
    return web.json_response(refusal, status=status)

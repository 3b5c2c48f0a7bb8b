"""Simulated instances with the request path only; runs are counted at the workers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, Failure, Outcome
from hyssopweir.colocation import Colocation
from hyssopweir.contracts import Answer, KeyState, Request
from hyssopweir.dispatch import Dispatcher
from hyssopweir.events import Event
from hyssopweir.fleet_view import FleetView
from hyssopweir.forwarding import Forwarder
from hyssopweir.idempotency import KeyStore, row_name
from hyssopweir.interference import Interference
from hyssopweir.invariants import Invariants
from hyssopweir.measurements import Measurements
from hyssopweir.retries import RetryBudget
from hyssopweir.routing import ShardRouter
from hyssopweir.slots import SlotLedger
from hyssopweir.standin_table import StandinTable
from hyssopweir.table import TableStore
from hyssopweir.worker_links import WorkerLinks
from tests.builders import (
    build_listings,
    build_log,
    build_request,
    build_settings,
    build_workers,
)
from tests.fakes import (
    FakeFleet,
    FakeInstanceList,
    FakeNetwork,
    FakeObjectStore,
    FakePeers,
    FakeTableService,
    FakeWorkerClient,
)
from tests.virtual_time import VirtualClock, run_virtual

TAKEOVER_MS: Millis = 5_600
SLOW_SERVICE_MS: Millis = 60
PRECONDITION_CODES = (Code.KEY_REUSED, Code.KEY_REQUIRED, Code.UNKNOWN_SERVICE)
SERVICES = {
    "price-check": {"idempotent": True},
    "offer": {"idempotent": False},
    "slow-offer": {"idempotent": False},
}
Reply = Result[Answer, Failure]


class FakeOwnership:
    """Fake membership and shard ownership of one instance."""

    def __init__(self, simulation: "RequestSimulation", session: str) -> None:
        self.simulation = simulation
        self.session = session

    def is_gone(self, session: str) -> bool:
        return session in self.simulation.gone

    def on_gone(self, handler: Callable[[str], None]) -> None:
        self.simulation.gone_handlers.append(handler)

    def owner_of(self, shard: str) -> str | None:
        return (
            self.simulation.owners[shard][0]
            if shard in self.simulation.owners
            else None
        )

    def epoch_of(self, shard: str) -> int | None:
        owner, epoch = self.simulation.owners.get(shard, ("", 0))
        return epoch if owner == self.session else None

    def owned(self) -> dict[str, int]:
        return {
            shard: epoch
            for shard, (owner, epoch) in self.simulation.owners.items()
            if owner == self.session
        }

    def lost(self, shard: str, epoch: int) -> None:
        if self.epoch_of(shard) is None:
            node = self.simulation.nodes[self.session]
            node.links.shard_lost(shard)
            node.dispatcher.shard_lost(shard)


class FakeConfiguration:
    body: dict[str, Any] = {"services": SERVICES}


class RequestInstance:
    """The components of the request path of one instance."""

    def __init__(
        self, simulation: "RequestSimulation", session: str, data_centre: str
    ) -> None:
        clock, cfg = simulation.clock, simulation.cfg
        self.session, self.log = session, build_log(clock, session)
        self.table = FakeTableService(
            simulation.table, clock, seed=len(simulation.nodes)
        )
        self.store = TableStore(self.table, clock, self.log)
        self.keys = KeyStore(self.store, simulation.objects, self.log)
        self.invariants = Invariants(clock, self.log)
        self.ledger = SlotLedger(self.invariants, 2)
        self.client = FakeWorkerClient(simulation.fleet, clock)
        self.view = FleetView(simulation.listing, clock, self.log, 500)
        self.peers = FakePeers(simulation.network, session)
        owners = self.owners = FakeOwnership(simulation, session)
        self.links = WorkerLinks(
            self.view,
            self.client,
            self.ledger,
            owners,
            cfg["timing"],
            clock,
            self.log,
        )
        self.measurements = Measurements(
            Colocation(), Interference(), self.ledger, clock
        )
        self.dispatcher = Dispatcher(
            owners,
            self.view,
            owners,
            self.links,
            self.ledger,
            self.keys,
            self.client,
            self.peers,
            self.invariants,
            self.measurements,
            cfg,
            clock,
            self.log,
        )
        self.router = ShardRouter(
            owners,
            data_centre,
            {"huddinge": 3.5, "kista": 3.5},
            self.view,
            owners,
            self.peers,
            self.dispatcher.load,
            clock,
            random.Random(1),
        )
        self.peers.on_notification("load", self.router.record_load)
        self.forwarder = Forwarder(
            owners,
            owners,
            FakeConfiguration(),
            self.router,
            self.dispatcher,
            self.keys,
            self.peers,
            RetryBudget(100),
            self.invariants,
            clock,
            self.log,
        )
        self.background_services = (self.view, self.links, self.dispatcher)

    async def start(self) -> None:
        await self.view.refresh()
        for service in self.background_services:
            await service.start()

    async def kill(self) -> None:
        self.table.down = True
        self.client.cut.update(self.client.fleet.workers)
        self.peers.disconnect()
        for service in self.background_services:
            await service.stop()


class RequestSimulation:
    """A fake platform and three instances, two of which own a shard."""

    def __init__(self, workers: int = 2, **limits: int) -> None:
        self.clock = VirtualClock()
        self.cfg = build_settings(limits=limits)
        self.workers = build_workers(workers) + build_workers(workers, "huddinge")
        self.fleet = FakeFleet(self.workers, self.clock)
        for worker in self.fleet.workers.values():
            worker.service_ms = {"slow-offer": SLOW_SERVICE_MS}
        self.listing = FakeInstanceList(build_listings(self.workers))
        self.table = StandinTable()
        self.objects = FakeObjectStore()
        self.network = FakeNetwork(self.clock)
        self.owners: dict[str, tuple[str, int]] = {}
        self.gone: set[str] = set()
        self.gone_handlers: list[Callable[[str], None]] = []
        self.nodes: dict[str, RequestInstance] = {}
        self.background: set[asyncio.Task[None]] = set()
        for session, data_centre in (("a", "kista"), ("b", "huddinge"), ("c", "kista")):
            self.nodes[session] = RequestInstance(self, session, data_centre)

    async def start(self) -> "RequestSimulation":
        for node in self.nodes.values():
            await node.start()
        self.give("kista/r0", "a")
        self.give("huddinge/r0", "b")
        await self.clock.sleep_ms(50)
        return self

    def give(self, shard: str, session: str) -> None:
        previous, epoch = self.owners.get(shard, (None, 0))
        self.owners[shard] = (session, epoch + 1)
        if previous is not None and previous not in self.gone:
            self.nodes[previous].links.shard_lost(shard)
            self.nodes[previous].dispatcher.shard_lost(shard)
            self.nodes[previous].measurements.shard_lost(shard)
        self.nodes[session].links.shard_gained(shard, epoch + 1)

    async def kill_owner(self, session: str, successor: str) -> None:
        await self.nodes[session].kill()
        await self.clock.sleep_ms(TAKEOVER_MS)
        self.end_session(session)
        self.reassign_shards(session, successor)

    def end_session(self, session: str) -> None:
        self.gone.add(session)
        for handler in self.gone_handlers:
            handler(session)

    def reassign_shards(self, session: str, successor: str) -> None:
        for shard, (owner, _) in list(self.owners.items()):
            if owner == session:
                self.give(shard, successor)

    def later(self, delay_ms: Millis, action: Callable[[], Any]) -> None:
        async def run() -> None:
            await self.clock.sleep_ms(delay_ms)
            result = action()
            if asyncio.iscoroutine(result):
                await result

        task = asyncio.create_task(run())
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def send(self, session: str, req: Request, within_ms: Millis) -> Reply:
        req = req._replace(expires_ms=self.clock.now_ms() + within_ms)
        reply = await self.nodes[session].forwarder.handle(req)
        if isinstance(reply, Ok):
            assert reply.ok_value.request_id == req.request_id
            assert reply.ok_value.body.endswith(b" answers " + req.body)
        elif (
            is_not_run(reply)
            and reply.err_value.code not in PRECONDITION_CODES
            and req.key
        ):
            row = self.table.read(row_name(req.caller, req.key))
            assert row is not None
            assert row.value["state"] == KeyState.NOT_RUN
        return reply

    def runs(self, key: str) -> int:
        return self.fleet.audit.count_request_runs(f"planner/{key}")

    def check_runs(self, key: str, *replies: Reply) -> None:
        """Check that a key ran at most once and that no reply contradicts its runs."""
        runs = self.runs(key)
        assert runs <= 1
        for reply in replies:
            if isinstance(reply, Ok):
                assert runs == 1
        if replies and all(is_not_run(reply) for reply in replies):
            assert runs == 0

    def check_invariants(self) -> None:
        assert self.fleet.audit.violations == []
        assert [n.invariants.breaches for n in self.nodes.values()] == [0, 0, 0]
        for node in self.nodes.values():
            failed = [r for r in node.log if r.event is Event.BACKGROUND_TASK_FAILED]
            assert failed == []


def is_not_run(reply: Reply) -> bool:
    return isinstance(reply, Err) and reply.err_value.outcome is Outcome.NOT_RUN


def build_keyed_request(
    number: int = 0, service: str = "slow-offer", **fields: Any
) -> Request:
    fields = {"key": f"k{number}", "service": service, "idempotent": False, **fields}
    return build_request(number, **fields)


def run_in_simulation(
    scenario: Callable[[RequestSimulation], Awaitable[None]],
    workers: int = 2,
    **limits: int,
) -> None:
    async def run_scenario() -> None:
        simulation = await RequestSimulation(workers, **limits).start()
        await scenario(simulation)
        simulation.check_invariants()

    run_virtual(run_scenario())

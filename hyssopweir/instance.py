"""An entry instance: its components, its start and its graceful shutdown."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from mode import Service

from hyssopweir.client_limits import ClientBudget, derive_limits
from hyssopweir.clock import Clock, Millis
from hyssopweir.codes import Code
from hyssopweir.colocation import Colocation
from hyssopweir.commits import GroupCommit
from hyssopweir.configuration import ConfigurationKeeper
from hyssopweir.dispatch import Dispatcher
from hyssopweir.entry import EntryServer
from hyssopweir.events import Event, EventLog, EventRecord, configure_logging
from hyssopweir.fleet_view import FleetView
from hyssopweir.forwarding import Forwarder
from hyssopweir.idempotency import KeyStore
from hyssopweir.intents import FleetLimits
from hyssopweir.interference import Interference
from hyssopweir.interference_forecast import InterferenceForecaster
from hyssopweir.invariants import Invariants
from hyssopweir.jobs import JobApi
from hyssopweir.loops import run_forever
from hyssopweir.measurements import Measurements
from hyssopweir.membership import Membership
from hyssopweir.metrics import Metrics
from hyssopweir.ownership import Ownership
from hyssopweir.peers import PeerLinks, PeerNetwork
from hyssopweir.plans import PlanApi
from hyssopweir.platform_client import (
    HttpInstanceList,
    HttpObjectStore,
    HttpSession,
    HttpTableService,
)
from hyssopweir.platform_services import InstanceList, ObjectStore
from hyssopweir.pressure import parse_pressure_policy
from hyssopweir.readiness import MAX_PAUSE_MS, TICK_MS, Readiness
from hyssopweir.retries import RetryBudget
from hyssopweir.routing import ShardRouter
from hyssopweir.settings import Settings
from hyssopweir.slots import SlotLedger
from hyssopweir.table import TableService, TableStore
from hyssopweir.task_rows import TaskDependencies
from hyssopweir.tasks import TaskManager
from hyssopweir.worker_client import WorkerClient
from hyssopweir.worker_http import HttpWorkerClient
from hyssopweir.worker_links import WorkerLinks

STOP_POLL_MS: Millis = 50


class Adapters(NamedTuple):
    """Clients of the services outside the process, replaced by fakes in tests."""

    table: TableService
    objects: ObjectStore
    listing: InstanceList
    workers: WorkerClient
    services: tuple[Service, ...] = ()
    close: Callable[[], Awaitable[None]] | None = None


def http_adapters(cfg: Settings) -> Adapters:
    """Return adapters that reach the platform and the workers over HTTP."""
    http = HttpSession(cfg["platform"], cfg["timing"]["store_timeout_ms"])
    workers = HttpWorkerClient(cfg["limits"]["connections_per_worker"])
    return Adapters(
        HttpTableService(http),
        HttpObjectStore(http),
        HttpInstanceList(http),
        workers,
        (http,),
        workers.close,
    )


class InstanceComponents:
    """The components of an instance, created and connected to each other."""

    def __init__(
        self,
        cfg: Settings,
        adapters: Adapters,
        peers: Callable[["InstanceComponents"], PeerNetwork],
        ports: Callable[[], tuple[int, int]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        timing, limits = cfg["timing"], cfg["limits"]
        self.cfg = cfg
        self.log = log
        self._workers = adapters.workers
        self.invariants = Invariants(clock, log)
        self.readiness = Readiness(clock, log)
        self.store = TableStore(adapters.table, clock, log)
        self.membership = Membership(
            cfg,
            self.store,
            clock,
            log,
            ports,
            lambda: self.configuration.version,
        )
        self.peers = peers(self)
        self.configuration = ConfigurationKeeper(
            cfg, self.store, self.peers, self.invariants, clock, log
        )
        self.fleet = FleetView(
            adapters.listing,
            clock,
            log,
            timing["scan_ms"],
            lambda: self.configuration.body["retired_workers"],
        )
        self.ownership = Ownership(
            cfg, self.store, self.membership, self.fleet, self.peers, clock, log
        )
        self.ledger = SlotLedger(self.invariants, limits["latency_reserve_slots"])
        self.colocation = Colocation()
        self.interference = Interference()
        self.measurements = Measurements(
            self.colocation, self.interference, self.ledger, clock
        )
        self.links = WorkerLinks(
            self.fleet,
            adapters.workers,
            self.ledger,
            self.ownership,
            timing,
            clock,
            log,
        )
        keys = KeyStore(self.store, adapters.objects, log)
        self.dispatcher = Dispatcher(
            self.membership,
            self.fleet,
            self.ownership,
            self.links,
            self.ledger,
            keys,
            adapters.workers,
            self.peers,
            self.invariants,
            self.measurements,
            cfg,
            clock,
            log,
        )
        self.router = ShardRouter(
            self.membership,
            cfg["data_centre"],
            cfg["links"],
            self.fleet,
            self.ownership,
            self.peers,
            self.dispatcher.load,
            clock,
        )
        self.forwarder = Forwarder(
            self.membership,
            self.ownership,
            self.configuration,
            self.router,
            self.dispatcher,
            keys,
            self.peers,
            RetryBudget(limits["retry_percent"]),
            self.invariants,
            clock,
            log,
        )
        self.commits = GroupCommit(
            self.store,
            lambda: self.membership.session,
            clock,
            log,
            timing["commit_ms"],
        )
        self.tasks = TaskManager(
            TaskDependencies(
                self.store,
                self.commits,
                adapters.workers,
                self.links,
                self.ledger,
                self.fleet,
                self.ownership,
                self.invariants,
                clock,
                log,
                timing["lease_ms"],
                self.measurements,
                InterferenceForecaster(
                    self.interference,
                    self.ledger.load,
                    lambda: self.configuration.body["weights"],
                ),
                self.dispatcher.health.is_ejected,
            ),
            self.peers,
            self.free_task_slots,
            self.quota_of,
            lambda: parse_pressure_policy(self.configuration.body),
            lambda shard: self.interference,
        )
        self.jobs = JobApi(
            self.store, self.peers, self.tasks, self.free_task_slots, clock, log
        )
        self.plans = PlanApi(
            self.store, log, self.configuration.announce, self.fleet_limits
        )
        self._register_handlers()

    def _register_handlers(self) -> None:
        self.peers.on_notification("load", self.router.record_load)
        self.ownership.on_gained(self.links.shard_gained)
        self.ownership.on_gained(self.tasks.shard_gained)
        self.ownership.on_lost(self.tasks.shard_lost)
        self.ownership.on_lost(self.links.shard_lost)
        self.ownership.on_lost(self.dispatcher.shard_lost)
        self.ownership.on_lost(self.measurements.shard_lost)
        self.ownership.on_lost(self._release_workers)
        self.dispatcher.on_latency(self.tasks.record_latency)
        self.links.on_inventory(self.tasks.process_inventory)
        self.links.on_inventory(self.measurements.process_inventory)
        self.links.on_worker_restarted(self.measurements.worker_restarted)
        self.links.on_worker_restarted(self.tasks.worker_restarted)
        self.ledger.on_free(self.tasks.slot_freed)

    def _release_workers(self, shard: str) -> None:
        for worker in self.fleet.workers_of(shard):
            self._workers.release(worker)

    def background_services(self) -> list[Service]:
        """Return the background services in the order of their start."""
        return [
            self.membership,
            self.configuration,
            self.fleet,
            self.commits,
            self.links,
            self.dispatcher,
            self.tasks,
            self.ownership,
        ]

    def free_task_slots(self) -> dict[str, int]:
        """Estimate the slots that are free for tasks in each shard.

        A shard whose owner can't be reached counts as full; its queue stays in the
        table service.
        """
        reserved_slots = self.cfg["limits"]["latency_reserve_slots"]
        free_by_shard = self.router.free_by_shard()
        return {
            shard: max(
                free_by_shard.get(shard, 0)
                - reserved_slots * len(self.fleet.workers_of(shard)),
                0,
            )
            for shard in self.fleet.shards()
        }

    def quota_of(self, team: str) -> int | None:
        """Return the slot quota of a team's tasks, None if there is no limit."""
        return self.configuration.body["teams"].get(team, {}).get("quota_slots")

    def fleet_limits(self) -> FleetLimits:
        """Return the capacity that limits what an operator can ask for in a plan."""
        workers = self.fleet.workers()
        reserved_slots = self.cfg["limits"]["latency_reserve_slots"]
        return FleetLimits(
            sum(worker.slots for worker in workers),
            reserved_slots * len(workers),
        )

    def worker_views(self) -> list[dict[str, Any]]:
        """Return the state of each worker for the operators' API."""
        return [self._worker_view(worker.worker_id) for worker in self.fleet.workers()]

    def _worker_view(self, worker_id: str) -> dict[str, Any]:
        worker = self.fleet.worker(worker_id)
        if worker is None:
            return {"worker": worker_id, "state": "gone"}
        owner = self.ownership.owner_of(worker.shard) or ""
        row = self.membership.row(owner)
        is_owner = self.ownership.epoch_of(worker.shard) is not None
        is_leaving = self.fleet.leaving_since_ms(worker_id) is not None
        return {
            "worker": worker_id,
            "shard": worker.shard,
            "state": "leaving" if is_leaving else "live",
            "owner": row["instance"] if row is not None else "none",
            "slots": worker.slots,
            "in_flight": self.ledger.in_flight(worker_id) if is_owner else None,
            "cores": worker.cores,
            "memory_gb": worker.memory_gb,
            "accelerators": worker.accelerators,
        }

    def instance_views(self) -> list[dict[str, Any]]:
        """Return the state of each live entry instance for the operators' API."""
        owners = [self.ownership.owner_of(shard) for shard in self.fleet.shards()]
        return [
            {
                "instance": row["instance"],
                "data_centre": row["data_centre"],
                "ready": row["ready"],
                "configuration": row["configuration"],
                "shards": owners.count(session),
                "callers": f"{row['host']}:{row['caller_port']}",
                "session": session,
            }
            for session, row in sorted(self.membership.live().items())
        ]


class Instance(Service):
    """Service that runs one entry instance."""

    def __init__(
        self,
        cfg: Settings,
        adapters: Adapters | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__()
        self._clock = clock or Clock()
        self.cfg = cfg
        self.events = EventLog(cfg["instance"], cfg["data_centre"], self._clock)
        self._adapters = adapters or http_adapters(cfg)
        limits = cfg["limits"]
        self._budget = ClientBudget(
            derive_limits(
                limits["memory_mb"],
                limits["file_descriptors"],
                limits["client_memory_percent"],
                limits["head_bytes"],
                limits["head_ms"],
                limits["body_ms"],
            ),
            self._clock,
            self.events,
        )
        self._links: PeerLinks | None = None
        self.parts = InstanceComponents(
            cfg,
            self._adapters,
            self._create_peer_links,
            self._ports,
            self._clock,
            self.events,
        )
        self._metrics = Metrics(cfg.get("statsd"), cfg["instance"])
        self.entry = EntryServer(
            cfg,
            self.parts,
            self._clock,
            self.events,
            self._metrics,
            self._budget,
        )
        self.events.subscribe(self._count_event)
        self._started_services: list[Service] = []

    def _create_peer_links(self, parts: InstanceComponents) -> PeerNetwork:
        self._links = PeerLinks(
            self.cfg["peers"],
            lambda: parts.membership.session,
            parts.membership.live,
            self._clock,
            self.events,
            self._budget,
        )
        return self._links

    def _ports(self) -> tuple[int, int]:
        peer_port = self._links.port if self._links is not None else 0
        return peer_port, self.entry.port

    def _count_event(self, record: EventRecord) -> None:
        self._metrics.count(record.event.name.lower())

    async def on_start(self) -> None:
        """Start all services; the instance is ready once it has a configuration."""
        self.events.emit(
            Event.INSTANCE_STARTED,
            callers=dict(self.cfg["callers"]),
            peers=dict(self.cfg["peers"]),
            client_limits=self._budget.limits._asdict(),
        )
        servers: list[Service] = [self.entry]
        if self._links is not None:
            servers.append(self._links)
        for service in (
            *self._adapters.services,
            *servers,
            *self.parts.background_services(),
        ):
            await service.start()
            self._started_services.append(service)
        self.add_future(
            run_forever(self, TICK_MS, self._check_state, self._clock, self.events)
        )

    async def _check_state(self) -> None:
        parts = self.parts
        if parts.readiness.paused_ms() > MAX_PAUSE_MS:
            await parts.configuration.refresh()
            await parts.membership.refresh()
            await parts.ownership.refresh()
        if parts.configuration.version > 0 and parts.fleet.shards():
            parts.readiness.mark_configured()
        parts.readiness.tick()
        parts.membership.set_ready(parts.readiness.check_ready() is None)
        self._metrics.gauge("requests_in_progress", self.entry.requests_in_progress)

    async def drain(self) -> None:
        """Hand over the shards and finish the work in progress before a stop."""
        timing = self.cfg["timing"]
        deadline_ms = (
            self._clock.now_ms() + timing["drain_ms"] + timing["stop_limit_ms"]
        )
        self.parts.readiness.start_draining()
        self.parts.membership.set_ready(False)
        self.events.emit(Event.INSTANCE_DRAINING)
        await self._clock.sleep_ms(timing["drain_ms"])
        await self.parts.ownership.hand_over()
        self._budget.drop_unfinished()
        while self._count_in_progress() and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(STOP_POLL_MS)
        await self.parts.membership.leave()

    def _count_in_progress(self) -> int:
        return self.entry.requests_in_progress + self.parts.dispatcher.in_progress

    async def on_stop(self) -> None:
        """Stop all services in reverse order of their start."""
        for service in reversed(self._started_services):
            await service.stop()
        if self._adapters.close is not None:
            await self._adapters.close()
        self.events.emit(Event.INSTANCE_STOPPED)
        self._metrics.close()


async def run_instance(cfg: Settings) -> Code:
    """Run an instance until SIGTERM or SIGINT, then shut it down gracefully."""
    configure_logging(cfg["log_level"])
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    instance = Instance(cfg)
    await instance.start()
    await stop_requested.wait()
    await instance.drain()
    await instance.stop()
    return Code.OK

"""Simulation of one entry instance with fake adapters, in virtual time."""

from typing import Any, cast

from mode import Service

from hyssopweir.contracts import Request
from hyssopweir.instance import Adapters, InstanceComponents
from hyssopweir.standin_table import StandinTable
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
from tests.virtual_time import VirtualClock

LONG_MS = 10**7
SERVICES = {
    "price-check": {"idempotent": True},
    "banquet-offer": {"idempotent": False},
}


class BenchmarkSimulation:
    """One simulated instance that owns ``workers`` workers, 8 to a shard."""

    def __init__(self, workers: int) -> None:
        self.clock = VirtualClock()
        self.table = StandinTable()
        fleet_workers = build_workers(workers)
        self.fleet = FakeFleet(fleet_workers, self.clock)
        log = build_log(self.clock)
        network = FakeNetwork(self.clock)
        cfg = build_settings()
        adapters = Adapters(
            FakeTableService(self.table, self.clock),
            FakeObjectStore(),
            FakeInstanceList(build_listings(fleet_workers)),
            FakeWorkerClient(self.fleet, self.clock),
        )
        self.parts = InstanceComponents(
            cfg,
            adapters,
            lambda parts: FakePeers(network, parts.membership.session),
            lambda: (1, 2),
            self.clock,
            log,
        )
        self._started_services: list[Service] = []

    async def start(self) -> None:
        """Start the instance, claim all workers and configure the services."""
        for service in self.parts.background_services():
            await service.start()
            self._started_services.append(service)
        self.parts.membership.set_ready(True)
        await self.until(self._is_claimed)
        body: Any = {**self.parts.configuration.body, "services": SERVICES}
        changed = await self.parts.configuration.change(
            body, self.parts.configuration.version
        )
        changed.unwrap()

    def _is_claimed(self) -> bool:
        return self.parts.configuration.version > 0 and all(
            self.parts.links.fence_of(worker_id) is not None
            for worker_id in self.fleet.workers
        )

    async def until(self, condition: Any, limit_ms: int = 120_000) -> None:
        """Wait in virtual time until a condition holds, or raise ``RuntimeError``."""
        end_ms = self.clock.now_ms() + limit_ms
        while not condition():
            if self.clock.now_ms() > end_ms:
                raise RuntimeError("the condition did not hold within the time limit")
            await self.clock.sleep_ms(50)

    def request(self, number: int, **fields: Any) -> Request:
        """Return a request that does not expire within the measurement."""
        expires_ms = self.clock.now_ms() + LONG_MS
        return build_request(number, **{"expires_ms": expires_ms, **fields})

    def set_request_run_ms(self, run_ms: int) -> None:
        """Set the run time of every request at the workers."""
        for worker in self.fleet.workers.values():
            worker.service_ms = cast(dict[str, int], dict.fromkeys(SERVICES, run_ms))

    async def stop(self) -> None:
        """Stop the background services in reverse order."""
        for service in reversed(self._started_services):
            await service.stop()

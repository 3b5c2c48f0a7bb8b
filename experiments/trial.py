"""One run: a user's instances and workers under one scenario, with one variant."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any, NamedTuple
from unittest import mock

from mode import Service as BackgroundService
from result import Ok, Result

from experiments.naive import NewestEvictor, naive_decisions
from experiments.worker_model import BatchEvent, ModelWorker
from experiments.workloads import (
    SCENARIOS,
    SERVICES,
    USERS,
    Arrival,
    Scenario,
    Submission,
    User,
    harm_of,
    jobs_of,
    requests_of,
    workers_of,
)
from hyssopweir.clock import Millis
from hyssopweir.codes import Failure, Outcome
from hyssopweir.contracts import Answer, Request
from hyssopweir.fleet import Worker
from hyssopweir.idempotency import is_attempt_not_run
from hyssopweir.instance import Adapters, InstanceComponents
from hyssopweir.standin_table import StandinTable
from hyssopweir.worker_client import Fence, RequestRun, RunReport
from tests.builders import build_listings, build_log, build_settings
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

VARIANTS = ("naive", "packing", "alone", "product")
NAIVE = ("naive", "packing")
# What is learned in this time is used in the measurement, which does not include it.
# After 10 s, kinds that are unknown beside services still wait for that reason: a trial
# with learned slowdowns finished 75% of the batch work of naive packing, and 95% after
# a warm-up of 20 s.
WARM_UP_MS: Millis = 18_000
MEASURED_MS: Millis = 22_000
SAMPLE_MS: Millis = 500
SLOW_WORKER = 4.0


class Served(NamedTuple):
    """Record one request; ``outcome`` is ok, late, refused or failed."""

    at_ms: float
    service: str
    work_ms: float
    latency_ms: float
    outcome: str


class Cell(NamedTuple):
    """Name one run; the same cell gives the same figures."""

    user: str
    scenario: str
    variant: str
    seed: int


class Outcomes(NamedTuple):
    """Hold what happened in the measurement, which begins after the warm-up.

    ``task_slots_ms`` is the time for which tasks held slots, ``slots_ms`` that of all.
    ``all_served`` includes the requests of the warm-up, which may end after it.
    """

    from_ms: Millis
    until_ms: Millis
    all_served: list[Served]
    served: list[Served]
    batch: list[BatchEvent]
    task_slots_ms: float
    slots_ms: float
    violations: int


class ModelClient(FakeWorkerClient):
    """Call the workers, and tell how long each request took there."""

    on_latency: Callable[[str, str, float], None] | None = None

    async def execute(
        self, worker: Worker, fence: Fence, run: RequestRun
    ) -> Result[RunReport, Failure]:
        started_ms = _now_ms()
        reply = await super().execute(worker, fence, run)
        if self.on_latency is not None and isinstance(reply, Ok):
            latency_ms = _now_ms() - started_ms
            self.on_latency(worker.worker_id, run.service, latency_ms)
        return reply


class Node:
    """Hold the entry instance of one data centre."""

    def __init__(self, site: "ExperimentCluster", place: str) -> None:
        user = site.user
        links = {name: user.one_way_ms for name in user.places if name != place}
        self.table = FakeTableService(site.table, site.clock)
        self.client = ModelClient(site.fleet, site.clock)
        self.parts = InstanceComponents(
            build_settings(instance=f"{place}-1", data_centre=place, links=links),
            Adapters(
                self.table,
                site.objects,
                FakeInstanceList(build_listings(site.fleet_workers)),
                self.client,
            ),
            lambda parts: FakePeers(site.network, parts.membership.session),
            lambda: (1, 2),
            site.clock,
            build_log(site.clock, f"{place}-1"),
        )


class ExperimentCluster:
    """Hold the instances and workers of a user and drive the load."""

    def __init__(self, cell: Cell, scenario: Scenario) -> None:
        self.cell = cell
        self.scenario = scenario
        self.user: User = USERS[cell.user]
        self.clock = VirtualClock()
        self.table = StandinTable()
        self.objects = FakeObjectStore()
        self.network = FakeNetwork(self.clock, self.user.one_way_ms)  # type: ignore[arg-type]
        self.machines = workers_of(self.user)
        self.fleet = FakeFleet([], self.clock)
        self.batch: list[BatchEvent] = []
        self.served: list[Served] = []
        self.task_slots_ms = 0.0
        harm = harm_of(cell.seed)
        cores = {name: service.cores for name, service in SERVICES.items()}
        self.workers = {
            machine.worker_id: ModelWorker(
                machine, self.clock, self.fleet.audit, harm, cores, self.batch
            )
            for machine in self.machines
        }
        self.fleet.workers.update(self.workers)
        self.nodes = {place: Node(self, place) for place in self.user.places}
        self._origin_ms = 0.0
        self._running: list[BackgroundService] = []
        self._acts: set[asyncio.Task[Any]] = set()
        self._evicted: set[str] = set()
        self._evictor = NewestEvictor()

    async def start(self) -> None:
        """Start all instances; each owns the shards of its data centre."""
        parts = [node.parts for node in self.nodes.values()]
        ownerships = {id(item.ownership) for item in parts}
        services = [s for item in parts for s in item.background_services()]
        services.sort(key=lambda service: id(service) in ownerships)
        for service in services:
            if id(service) in ownerships:
                for item in parts:
                    await item.membership.refresh()
            await service.start()
            self._running.append(service)
        for item in parts:
            item.membership.set_ready(True)
        while not all(self._is_ready(item) for item in parts):
            await self.clock.sleep_ms(50)
        first = parts[0].configuration
        (await first.change(_configuration(self.user), first.version)).unwrap()
        await self.clock.sleep_ms(1_000)

    def _is_ready(self, parts: InstanceComponents) -> bool:
        own = [w for w in self.machines if w.data_centre == parts.cfg["data_centre"]]
        return parts.configuration.version > 0 and all(
            parts.links.fence_of(worker.worker_id) is not None for worker in own
        )

    async def run(self, warm_up_ms: Millis, measured_ms: Millis) -> Outcomes:
        """Drive the load and return what was measured."""
        until_ms = warm_up_ms + measured_ms
        self._origin_ms = _now_ms()
        if self.cell.variant == "naive":
            for node in self.nodes.values():
                node.client.on_latency = self._note_latency
        faults = self._faults(warm_up_ms, measured_ms)
        drivers = [
            self._drive(self._requests(until_ms), self._send),
            self._drive(self._jobs(until_ms), self._submit),
            self._drive(faults, _carry_out),
            self._sample(warm_up_ms, until_ms),
        ]
        await asyncio.gather(*drivers)
        longest_ms = max(service.deadline_ms for service in SERVICES.values())
        await self.clock.sleep_ms(longest_ms + 1_000)
        return Outcomes(
            warm_up_ms,
            until_ms,
            self.served,
            [item for item in self.served if item.at_ms >= warm_up_ms],
            [
                item._replace(at_ms=at_ms)
                for item in self.batch
                if warm_up_ms <= (at_ms := int(item.at_ms - self._origin_ms)) < until_ms
            ],
            self.task_slots_ms,
            float(measured_ms * sum(machine.slots for machine in self.machines)),
            len(self.fleet.audit.violations),
        )

    async def stop(self) -> None:
        """Stop all instances."""
        for service in reversed(self._running):
            await service.stop()

    def _requests(self, until_ms: Millis) -> list[Arrival]:
        return requests_of(self.user, self.scenario, self.cell.seed, until_ms)

    def _jobs(self, until_ms: Millis) -> list[Submission]:
        if self.cell.variant == "alone":
            return []
        return jobs_of(self.user, self.scenario, self.cell.seed, until_ms)

    def _faults(self, warm_up_ms: Millis, measured_ms: Millis) -> "list[Fault]":
        """Return the faults: in the second third, and from then on for workers."""
        begin_ms, end_ms = (
            warm_up_ms + measured_ms / 3,
            warm_up_ms + measured_ms * 2 / 3,
        )
        faults: list[Fault] = []
        if self.scenario.outage:
            faults.append(Fault(begin_ms, lambda: self._set_table_down(True)))
            faults.append(Fault(end_ms, lambda: self._set_table_down(False)))
        if self.scenario.failing:
            failing, slow = random.Random(self.cell.seed).sample(
                sorted(self.workers), 2
            )
            faults.append(Fault(begin_ms, lambda: self._fail(failing)))
            faults.append(Fault(begin_ms, lambda: self._slow_down(slow)))
        return faults

    def _set_table_down(self, is_down: bool) -> None:
        for node in self.nodes.values():
            node.table.down = is_down

    def _fail(self, worker_id: str) -> None:
        self.workers[worker_id].fails_everything = True

    def _slow_down(self, worker_id: str) -> None:
        self.workers[worker_id].slowness = SLOW_WORKER

    async def _drive(
        self, items: "list[Any]", act: Callable[[Any], Awaitable[None]]
    ) -> None:
        for item in items:
            delay_ms = self._origin_ms + item.at_ms - _now_ms()
            if delay_ms > 0:
                await asyncio.sleep(delay_ms / 1_000)
            self._spawn(act(item))

    async def _send(self, arrival: Arrival) -> None:
        service, parts = SERVICES[arrival.service], self.nodes[arrival.place].parts
        started_ms = _now_ms()
        name = f"r{arrival.at_ms:.6f}"
        req = Request(
            name,
            "caller",
            arrival.service,
            b"%.3f" % arrival.work_ms,
            service.idempotent,
            None if service.idempotent else name,
            False,
            int(started_ms) + service.deadline_ms,
        )
        reply = await parts.forwarder.handle(req)
        latency_ms = _now_ms() - started_ms
        outcome = _outcome(reply, latency_ms, service.deadline_ms)
        self.served.append(
            Served(arrival.at_ms, arrival.service, arrival.work_ms, latency_ms, outcome)
        )

    async def _submit(self, job: Submission) -> None:
        """Submit a job; again each second while the table service is down."""
        desk = self.nodes[job.place].parts.jobs
        while not isinstance(await desk.submit(job.spec, "caller"), Ok):
            await self.clock.sleep_ms(1_000)

    async def _sample(self, from_ms: Millis, until_ms: Millis) -> None:
        await self.clock.sleep_ms(from_ms)
        for _ in range(from_ms, until_ms, SAMPLE_MS):
            tasks = sum(len(worker.tasks) for worker in self.workers.values())
            self.task_slots_ms += tasks * SAMPLE_MS
            await self.clock.sleep_ms(SAMPLE_MS)

    def _note_latency(self, worker_id: str, service: str, latency_ms: float) -> None:
        worker = self.workers[worker_id]
        tasks = [run_id for run_id in worker.tasks if run_id not in self._evicted]
        task_id = self._evictor.victim(worker_id, service, latency_ms, tasks)
        if task_id is not None:
            self._evicted.add(tasks[-1])
            keeper = self.nodes[worker.worker.data_centre].parts.tasks
            self._spawn(keeper.evict(task_id, f"{service} is slow"))

    def _spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self._acts.add(task)
        task.add_done_callback(self._acts.discard)


class Fault(NamedTuple):
    at_ms: float
    begin: Callable[[], None]


async def _carry_out(fault: Fault) -> None:
    fault.begin()


def _configuration(user: User) -> dict[str, Any]:
    return {
        "services": {
            name: {
                "idempotent": service.idempotent,
                "latency_target_ms": service.target_ms,
            }
            for name, service in SERVICES.items()
        },
        "teams": {"crews": {}, "buyers": {}, "office": {}},
        "weights": user.weights,
    }


def _outcome(
    reply: Result[Answer, Failure], latency_ms: float, deadline_ms: Millis
) -> str:
    if isinstance(reply, Ok):
        return "ok" if latency_ms <= deadline_ms else "late"
    if latency_ms >= deadline_ms - 1:
        return "late"
    failure = reply.err_value
    is_refused = failure.outcome is Outcome.NOT_RUN or is_attempt_not_run(failure)
    return "refused" if is_refused else "failed"


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1_000


@contextmanager
def fixed_randomness(seed: int) -> Iterator[None]:
    """Seed the ids and the random choices of the product, which are drawn unseeded."""
    source = random.Random(f"randomness {seed}")

    class SeededRandom(random.Random):
        def __init__(self, given: Any = None) -> None:
            super().__init__(source.random() if given is None else given)

    random.seed(seed)
    with ExitStack() as stack:
        stack.enter_context(mock.patch("os.urandom", source.randbytes))
        stack.enter_context(mock.patch("random.Random", SeededRandom))
        yield


def run_cell(
    cell: Cell,
    warm_up_ms: Millis = WARM_UP_MS,
    measured_ms: Millis = MEASURED_MS,
) -> Outcomes:
    """Run one cell in virtual time."""
    scenario = SCENARIOS[cell.scenario]

    async def main() -> Outcomes:
        site = ExperimentCluster(cell, scenario)
        await site.start()
        try:
            return await site.run(
                int(warm_up_ms * scenario.span), int(measured_ms * scenario.span)
            )
        finally:
            await site.stop()

    with ExitStack() as stack:
        stack.enter_context(fixed_randomness(cell.seed))
        if cell.variant in NAIVE:
            stack.enter_context(naive_decisions(cell.seed))
        return run_virtual(main())

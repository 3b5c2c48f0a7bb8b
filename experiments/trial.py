"""One trial: the instances and workers of a user under one scenario and variant."""

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
    LoadScenario,
    Submission,
    User,
    build_workers,
    draw_interference,
    generate_jobs,
    generate_requests,
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
NAIVE_VARIANTS = ("naive", "packing")
# The product learns slowdowns during the warm-up, which is not part of the measurement.
# After 10 s, some task kinds still wait because their effect on services is unknown: a
# trial with learned slowdowns finished 75% of the batch work of naive packing, and 95%
# after a warm-up of 20 s.
WARM_UP_MS: Millis = 18_000
MEASURED_MS: Millis = 22_000
SAMPLE_MS: Millis = 500
SLOW_WORKER_FACTOR = 4.0


class RequestRecord(NamedTuple):
    """One finished request; ``outcome`` is ok, late, refused or failed."""

    at_ms: float
    service: str
    work_ms: float
    latency_ms: float
    outcome: str


class Trial(NamedTuple):
    """Parameters that determine the metrics of a trial, called a cell on the page."""

    user: str
    scenario: str
    variant: str
    seed: int


class TrialResult(NamedTuple):
    """Records of the measured interval, which begins after the warm-up.

    ``task_slots_ms`` is the slot time that tasks used, ``slots_ms`` that of all slots.
    ``all_requests`` includes the requests of the warm-up, which may end after it.
    """

    start_ms: Millis
    end_ms: Millis
    all_requests: list[RequestRecord]
    requests: list[RequestRecord]
    batch_events: list[BatchEvent]
    task_slots_ms: float
    slots_ms: float
    violations: int


class TimedWorkerClient(FakeWorkerClient):
    """Worker client that passes the latency of each request to ``on_latency``."""

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


class EntryInstance:
    """The instance of one data centre, with fake adapters."""

    def __init__(self, cluster: "ExperimentCluster", data_centre: str) -> None:
        user = cluster.user
        links = {
            name: user.one_way_ms for name in user.worker_counts if name != data_centre
        }
        self.table = FakeTableService(cluster.table, cluster.clock)
        self.client = TimedWorkerClient(cluster.fleet, cluster.clock)
        self.components = InstanceComponents(
            build_settings(
                instance=f"{data_centre}-1", data_centre=data_centre, links=links
            ),
            Adapters(
                self.table,
                cluster.objects,
                FakeInstanceList(build_listings(cluster.fleet_workers)),
                self.client,
            ),
            lambda components: FakePeers(
                cluster.network, components.membership.session
            ),
            lambda: (1, 2),
            cluster.clock,
            build_log(cluster.clock, f"{data_centre}-1"),
        )


class ExperimentCluster:
    """Run the instances and workers of a user and generate their load."""

    def __init__(self, trial: Trial, scenario: LoadScenario) -> None:
        self.trial = trial
        self.scenario = scenario
        self.user: User = USERS[trial.user]
        self.clock = VirtualClock()
        self.table = StandinTable()
        self.objects = FakeObjectStore()
        self.network = FakeNetwork(self.clock, self.user.one_way_ms)  # type: ignore[arg-type]
        self.fleet_workers = build_workers(self.user)
        self.fleet = FakeFleet([], self.clock)
        self.batch_events: list[BatchEvent] = []
        self.records: list[RequestRecord] = []
        self.task_slots_ms = 0.0
        interference = draw_interference(trial.seed)
        cores = {name: service.cores for name, service in SERVICES.items()}
        self.workers = {
            worker.worker_id: ModelWorker(
                worker,
                self.clock,
                self.fleet.audit,
                interference,
                cores,
                self.batch_events,
            )
            for worker in self.fleet_workers
        }
        self.fleet.workers.update(self.workers)
        self.instances = {
            data_centre: EntryInstance(self, data_centre)
            for data_centre in self.user.worker_counts
        }
        self._origin_ms = 0.0
        self._running: list[BackgroundService] = []
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._evicted: set[str] = set()
        self._newest_evictor = NewestEvictor()

    async def start(self) -> None:
        """Start all instances; each owns the shards of its data centre."""
        components = [instance.components for instance in self.instances.values()]
        ownerships = {id(item.ownership) for item in components}
        services = [
            service for item in components for service in item.background_services()
        ]
        services.sort(key=lambda service: id(service) in ownerships)
        for service in services:
            if id(service) in ownerships:
                for item in components:
                    await item.membership.refresh()
            await service.start()
            self._running.append(service)
        for item in components:
            item.membership.set_ready(True)
        while not all(self._is_ready(item) for item in components):
            await self.clock.sleep_ms(50)
        configuration = components[0].configuration
        (
            await configuration.change(_configuration(self.user), configuration.version)
        ).unwrap()
        await self.clock.sleep_ms(1_000)

    def _is_ready(self, components: InstanceComponents) -> bool:
        own_workers = [
            worker
            for worker in self.fleet_workers
            if worker.data_centre == components.cfg["data_centre"]
        ]
        return components.configuration.version > 0 and all(
            components.links.fence_of(worker.worker_id) is not None
            for worker in own_workers
        )

    async def run(self, warm_up_ms: Millis, measured_ms: Millis) -> TrialResult:
        """Run the load and return the records of the measured interval."""
        end_ms = warm_up_ms + measured_ms
        self._origin_ms = _now_ms()
        if self.trial.variant == "naive":
            for instance in self.instances.values():
                instance.client.on_latency = self._process_latency
        faults = self._build_faults(warm_up_ms, measured_ms)
        drivers = [
            self._drive(self._generate_requests(end_ms), self._send),
            self._drive(self._generate_jobs(end_ms), self._submit),
            self._drive(faults, _inject_fault),
            self._sample(warm_up_ms, end_ms),
        ]
        await asyncio.gather(*drivers)
        longest_ms = max(service.deadline_ms for service in SERVICES.values())
        await self.clock.sleep_ms(longest_ms + 1_000)
        return TrialResult(
            warm_up_ms,
            end_ms,
            self.records,
            [item for item in self.records if item.at_ms >= warm_up_ms],
            [
                item._replace(at_ms=at_ms)
                for item in self.batch_events
                if warm_up_ms <= (at_ms := int(item.at_ms - self._origin_ms)) < end_ms
            ],
            self.task_slots_ms,
            float(measured_ms * sum(worker.slots for worker in self.fleet_workers)),
            len(self.fleet.audit.violations),
        )

    async def stop(self) -> None:
        """Stop all instances."""
        for service in reversed(self._running):
            await service.stop()

    def _generate_requests(self, end_ms: Millis) -> list[Arrival]:
        return generate_requests(self.user, self.scenario, self.trial.seed, end_ms)

    def _generate_jobs(self, end_ms: Millis) -> list[Submission]:
        if self.trial.variant == "alone":
            return []
        return generate_jobs(self.user, self.scenario, self.trial.seed, end_ms)

    def _build_faults(
        self, warm_up_ms: Millis, measured_ms: Millis
    ) -> "list[ScheduledFault]":
        """Return the faults; all begin after a third of the measured time.

        The outage lasts a third; worker faults last until the end.
        """
        fault_start_ms, fault_end_ms = (
            warm_up_ms + measured_ms / 3,
            warm_up_ms + measured_ms * 2 / 3,
        )
        faults: list[ScheduledFault] = []
        if self.scenario.outage:
            faults.append(
                ScheduledFault(fault_start_ms, lambda: self._set_table_down(True))
            )
            faults.append(
                ScheduledFault(fault_end_ms, lambda: self._set_table_down(False))
            )
        if self.scenario.failing:
            failing, slow = random.Random(self.trial.seed).sample(
                sorted(self.workers), 2
            )
            faults.append(
                ScheduledFault(fault_start_ms, lambda: self._fail_worker(failing))
            )
            faults.append(
                ScheduledFault(fault_start_ms, lambda: self._slow_worker_down(slow))
            )
        return faults

    def _set_table_down(self, is_down: bool) -> None:
        for instance in self.instances.values():
            instance.table.down = is_down

    def _fail_worker(self, worker_id: str) -> None:
        self.workers[worker_id].fails_everything = True

    def _slow_worker_down(self, worker_id: str) -> None:
        self.workers[worker_id].slowdown_factor = SLOW_WORKER_FACTOR

    async def _drive(
        self, items: "list[Any]", action: Callable[[Any], Awaitable[None]]
    ) -> None:
        for item in items:
            delay_ms = self._origin_ms + item.at_ms - _now_ms()
            if delay_ms > 0:
                await asyncio.sleep(delay_ms / 1_000)
            self._spawn(action(item))

    async def _send(self, arrival: Arrival) -> None:
        service, components = (
            SERVICES[arrival.service],
            self.instances[arrival.data_centre].components,
        )
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
        reply = await components.forwarder.handle(req)
        latency_ms = _now_ms() - started_ms
        outcome = _outcome(reply, latency_ms, service.deadline_ms)
        self.records.append(
            RequestRecord(
                arrival.at_ms, arrival.service, arrival.work_ms, latency_ms, outcome
            )
        )

    async def _submit(self, job: Submission) -> None:
        """Submit a job, retrying each second while the table service is down."""
        jobs = self.instances[job.data_centre].components.jobs
        while not isinstance(await jobs.submit(job.spec, "caller"), Ok):
            await self.clock.sleep_ms(1_000)

    async def _sample(self, start_ms: Millis, end_ms: Millis) -> None:
        await self.clock.sleep_ms(start_ms)
        for _ in range(start_ms, end_ms, SAMPLE_MS):
            tasks = sum(len(worker.tasks) for worker in self.workers.values())
            self.task_slots_ms += tasks * SAMPLE_MS
            await self.clock.sleep_ms(SAMPLE_MS)

    def _process_latency(self, worker_id: str, service: str, latency_ms: float) -> None:
        worker = self.workers[worker_id]
        tasks = [run_id for run_id in worker.tasks if run_id not in self._evicted]
        task_id = self._newest_evictor.select_victim(
            worker_id, service, latency_ms, tasks
        )
        if task_id is not None:
            self._evicted.add(tasks[-1])
            task_manager = self.instances[worker.worker.data_centre].components.tasks
            self._spawn(task_manager.evict(task_id, f"{service} is slow"))

    def _spawn(self, coroutine: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


class ScheduledFault(NamedTuple):
    at_ms: float
    inject: Callable[[], None]


async def _inject_fault(fault: ScheduledFault) -> None:
    fault.inject()


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
def seed_randomness(seed: int) -> Iterator[None]:
    """Make ids and unseeded random choices of the product reproducible."""
    rng = random.Random(f"randomness {seed}")

    class SeededRandom(random.Random):
        def __init__(self, value: Any = None) -> None:
            super().__init__(rng.random() if value is None else value)

    random.seed(seed)
    with ExitStack() as stack:
        stack.enter_context(mock.patch("os.urandom", rng.randbytes))
        stack.enter_context(mock.patch("random.Random", SeededRandom))
        yield


def run_trial(
    trial: Trial,
    warm_up_ms: Millis = WARM_UP_MS,
    measured_ms: Millis = MEASURED_MS,
) -> TrialResult:
    """Run one trial in virtual time; the scenario scales both durations."""
    scenario = SCENARIOS[trial.scenario]

    async def main() -> TrialResult:
        cluster = ExperimentCluster(trial, scenario)
        await cluster.start()
        try:
            return await cluster.run(
                int(warm_up_ms * scenario.duration_factor),
                int(measured_ms * scenario.duration_factor),
            )
        finally:
            await cluster.stop()

    with ExitStack() as stack:
        stack.enter_context(seed_randomness(trial.seed))
        if trial.variant in NAIVE_VARIANTS:
            stack.enter_context(naive_decisions(trial.seed))
        return run_virtual(main())

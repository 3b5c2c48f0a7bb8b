"""Compare ways to choose a worker of a shard and to eject workers, in virtual time."""

import argparse
import heapq
import random
from bisect import insort
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from itertools import count, product
from statistics import median
from typing import NamedTuple, Protocol

from hyssopweir.clock import SECOND_MS, Clock, Millis
from hyssopweir.colocation import Colocation
from hyssopweir.events import EventLog
from hyssopweir.fleet import Worker
from hyssopweir.interference import Interference
from hyssopweir.invariants import Invariants
from hyssopweir.measurements import Measurements
from hyssopweir.routing import LatencyAverages, choose_worker
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_health import WorkerHealth

SHARD = "model/r0"
# Time that a run takes on each worker, relative to the fastest.
RUN_TIME_FACTORS = (1.0, 1.0, 1.1, 1.1, 1.2, 1.3, 1.4, 1.6)
RUN_TIME_SIGMA = 0.5
# A worker runs this many requests without interference; each further run in flight adds
# this share to the run time.
INTERFERENCE_FREE_RUNS = 4
INTERFERENCE_PER_RUN = 0.08

RATE_PER_S = 250.0
BURST_FACTOR = 2.2
BURST_INTERVAL_MS: Millis = 5_000
BURST_MS: Millis = 1_000
QUEUE_LIMIT = 100
DEADLINE_MS: Millis = 1_500
FAULT_START_MS: Millis = 5_000
FAULT_END_MS: Millis = 30_000
SIMULATION_MS: Millis = 40_000
TICK_MS: Millis = 100
FAILED_RUN_LATENCY_MS = 2.0
SLOW_WORKER_FACTOR = 5.0
HALF_FAILING = "one worker fails half"
ONE_SLOW_WORKER = "one worker 5 times slower"
ALL_FAULTS = "failing and slow worker, failing service"


class ServiceKind(NamedTuple):
    name: str
    share: float
    base_ms: float


SERVICES = (
    ServiceKind("price-check", 0.7, 60.0),
    ServiceKind("offer", 0.2, 200.0),
    ServiceKind("price-feed", 0.1, 40.0),
)


class FaultScenario(NamedTuple):
    """The faults: failure rates by worker index, slow workers and failing services.

    A failing service fails on every worker.
    """

    failing: dict[int, float] = {}
    slow: tuple[int, ...] = ()
    services: tuple[str, ...] = ()


SCENARIOS = {
    "no fault": FaultScenario(),
    "one worker fails all": FaultScenario({2: 1.0}),
    HALF_FAILING: FaultScenario({2: 0.5}),
    ONE_SLOW_WORKER: FaultScenario(slow=(4,)),
    "one service fails everywhere": FaultScenario(services=("price-feed",)),
    "all services fail everywhere": FaultScenario(
        services=tuple(service.name for service in SERVICES)
    ),
    "half of the workers fail half": FaultScenario({0: 0.5, 2: 0.5, 4: 0.5, 6: 0.5}),
    ALL_FAULTS: FaultScenario({2: 1.0}, (4,), ("price-feed",)),
}


class SimulatedClock(Clock):
    """Clock of the simulation, set by its event loop."""

    def __init__(self) -> None:
        self.at_ms = 0.0

    def now_ms(self) -> Millis:
        return int(self.at_ms)


class EjectionPolicy(Protocol):
    """The subset of the ``WorkerHealth`` interface that every ejection policy has."""

    def is_ejected(self, worker_id: str) -> bool: ...

    def mark_probed(self, worker_id: str) -> None: ...

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None: ...

    def failed(self, worker: Worker, service: str) -> None: ...


class NoEjection:
    """Ejection policy that never ejects a worker."""

    def is_ejected(self, worker_id: str) -> bool:
        return False

    def mark_probed(self, worker_id: str) -> None:
        return

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        return

    def failed(self, worker: Worker, service: str) -> None:
        return


class ConsecutiveFailures(NoEjection):
    """Eject a worker after 3 consecutive failures, the rule of the previous version."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[str, int] = defaultdict(int)
        self._until_ms: dict[str, Millis] = defaultdict(int)

    def is_ejected(self, worker_id: str) -> bool:
        return self._clock.now_ms() < self._until_ms[worker_id]

    def mark_probed(self, worker_id: str) -> None:
        if self._failures[worker_id] >= 3:
            self._until_ms[worker_id] = self._clock.now_ms() + 5_000

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        self._failures[worker.worker_id] = self._until_ms[worker.worker_id] = 0

    def failed(self, worker: Worker, service: str) -> None:
        self._failures[worker.worker_id] += 1
        excess = self._failures[worker.worker_id] - 3
        if excess >= 0:
            ejected_ms = min(5_000 << min(excess, 10), 60_000)
            self._until_ms[worker.worker_id] = self._clock.now_ms() + ejected_ms


class _CircuitState:
    def __init__(self) -> None:
        self.buckets: deque[list[int]] = deque()
        self.open_until_ms: Millis | None = None
        self.probe_until_ms: Millis = 0
        self.successes = 0


class FailureRateBreaker(NoEjection):
    """Circuit breaker that opens at 50% failures of at least 20 runs in the last 10 s.

    An open circuit allows one probe at a time after 5 s and closes after 3 successes.
    """

    BUCKET_MS: Millis = 100
    BUCKETS = 100

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._circuits: dict[str, _CircuitState] = defaultdict(_CircuitState)

    def is_ejected(self, worker_id: str) -> bool:
        circuit = self._circuits[worker_id]
        if circuit.open_until_ms is None:
            return False
        return self._clock.now_ms() < max(circuit.open_until_ms, circuit.probe_until_ms)

    def mark_probed(self, worker_id: str) -> None:
        circuit = self._circuits[worker_id]
        if circuit.open_until_ms is not None:
            circuit.probe_until_ms = self._clock.now_ms() + 5_000

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        self._record_run(worker.worker_id, 0)

    def failed(self, worker: Worker, service: str) -> None:
        self._record_run(worker.worker_id, 1)

    def _record_run(self, worker_id: str, failures: int) -> None:
        circuit, now_ms = self._circuits[worker_id], self._clock.now_ms()
        if circuit.open_until_ms is None:
            self._count_run(circuit, failures, now_ms)
        elif now_ms >= circuit.open_until_ms:
            circuit.probe_until_ms = 0
            circuit.successes = 0 if failures else circuit.successes + 1
            if failures:
                circuit.open_until_ms = now_ms + 5_000
            elif circuit.successes == 3:
                self._circuits[worker_id] = _CircuitState()

    def _count_run(self, circuit: _CircuitState, failures: int, now_ms: Millis) -> None:
        number = now_ms // self.BUCKET_MS
        while circuit.buckets and circuit.buckets[0][0] <= number - self.BUCKETS:
            circuit.buckets.popleft()
        if not circuit.buckets or circuit.buckets[-1][0] != number:
            circuit.buckets.append([number, 0, 0])
        circuit.buckets[-1][1] += 1
        circuit.buckets[-1][2] += failures
        total = sum(bucket[1] for bucket in circuit.buckets)
        failed = sum(bucket[2] for bucket in circuit.buckets)
        if total >= 20 and 2 * failed >= total:
            circuit.open_until_ms, circuit.successes = now_ms + 5_000, 0
            circuit.buckets.clear()


class CombinedEjection(WorkerHealth):
    """Eject a worker if either ``WorkerHealth`` or the circuit breaker ejects it."""

    def __init__(self, shard: "ShardState", clock: Clock, log: EventLog) -> None:
        super().__init__(shard, clock, log)
        self._breaker = FailureRateBreaker(clock)

    def is_ejected(self, worker_id: str) -> bool:
        return super().is_ejected(worker_id) or self._breaker.is_ejected(worker_id)

    def mark_probed(self, worker_id: str) -> None:
        super().mark_probed(worker_id)
        self._breaker.mark_probed(worker_id)

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        super().succeeded(worker, service, latency_ms)
        self._breaker.succeeded(worker, service, latency_ms)

    def failed(self, worker: Worker, service: str) -> None:
        super().failed(worker, service)
        self._breaker.failed(worker, service)


class ShardState:
    """Workers of the shard and the state that the shard owner keeps about them."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.rng = rng
        self.ledger = SlotLedger(Invariants(clock, EventLog("model", SHARD, clock)), 2)
        self.latency_ms = LatencyAverages()
        self.measurements = Measurements(
            Colocation(), Interference(), self.ledger, clock
        )
        self.round_robin_counter = count()
        self.workers = [
            Worker(f"w{number}", "", 0, "model", "r0", 32.0, 125.0)
            for number in range(len(RUN_TIME_FACTORS))
        ]
        for worker in self.workers:
            self.ledger.track_worker(worker)
            self.ledger.confirm(worker.worker_id, [])

    def workers_of(self, shard: str) -> list[Worker]:
        return self.workers

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        return None

    def expected_ms(self, worker_id: str) -> float:
        """Return the average latency times the runs in flight, including a new one."""
        in_flight = self.ledger.in_flight(worker_id)
        return self.latency_ms.average_of(worker_id) * (in_flight + 1)


Eligible = Callable[[str], bool]
WorkerChooser = Callable[[ShardState, list[str], str], str]


def choose_at_random(shard: ShardState, worker_ids: list[str], service: str) -> str:
    return shard.rng.choice(worker_ids)


def choose_round_robin(shard: ShardState, worker_ids: list[str], service: str) -> str:
    worker_ids = sorted(worker_ids)
    return worker_ids[next(shard.round_robin_counter) % len(worker_ids)]


def choose_least_in_flight(
    shard: ShardState, worker_ids: list[str], service: str
) -> str:
    return min(
        worker_ids,
        key=lambda worker_id: (shard.ledger.in_flight(worker_id), shard.rng.random()),
    )


def choose_best_of_two(shard: ShardState, worker_ids: list[str], service: str) -> str:
    pair = shard.rng.sample(worker_ids, min(2, len(worker_ids)))
    return min(pair, key=shard.ledger.in_flight)


def choose_lowest_expected_time(
    shard: ShardState, worker_ids: list[str], service: str
) -> str:
    return min(
        worker_ids,
        key=lambda worker_id: (shard.expected_ms(worker_id), shard.rng.random()),
    )


def choose_least_in_flight_then_latency(
    shard: ShardState, worker_ids: list[str], service: str
) -> str:
    """Choose like ``choose_worker`` before it used expected times."""
    return next(
        worker_id for worker_id in shard.ledger.ranked(SHARD) if worker_id in worker_ids
    )


def choose_as_dispatcher(shard: ShardState, worker_ids: list[str], service: str) -> str:
    expected_ms = shard.measurements.expected_ms(SHARD, service)
    chosen = choose_worker(shard.ledger, SHARD, worker_ids.__contains__, expected_ms)
    assert chosen is not None
    return chosen


class RoutingPolicy(NamedTuple):
    """A way to choose a worker.

    ``counts_failures`` includes failed runs in the latency averages, as the dispatcher
    does.
    """

    choose: WorkerChooser
    counts_failures: bool = True


ROUTING_POLICIES = {
    "random": RoutingPolicy(choose_at_random),
    "round robin": RoutingPolicy(choose_round_robin),
    "least in flight": RoutingPolicy(choose_least_in_flight),
    "two random choices": RoutingPolicy(choose_best_of_two),
    "least in flight, then latency": RoutingPolicy(choose_least_in_flight_then_latency),
    "`choose_worker`": RoutingPolicy(choose_as_dispatcher),
    "lowest expected time": RoutingPolicy(choose_lowest_expected_time),
    "the same, latencies of successes only": RoutingPolicy(
        choose_lowest_expected_time, False
    ),
}
EJECTION_POLICIES: dict[
    str, Callable[[ShardState, Clock, EventLog], EjectionPolicy]
] = {
    "none": lambda shard, clock, log: NoEjection(),
    "3 failures in a row": lambda shard, clock, log: ConsecutiveFailures(clock),
    "`worker_health`": WorkerHealth,
    "failure rate": lambda shard, clock, log: FailureRateBreaker(clock),
    "`worker_health`, 1 probe": partial(WorkerHealth, probes=1),
    "`worker_health`, 5 s": partial(WorkerHealth, max_ejection_ms=5_000),
    "`worker_health`, 1 probe, 5 s": partial(
        WorkerHealth, probes=1, max_ejection_ms=5_000
    ),
    "`worker_health` and failure rate": CombinedEjection,
}


class QueuedRequest(NamedTuple):
    service: ServiceKind
    at_ms: float
    number: int


class RoutingMetrics(NamedTuple):
    """Results of one simulation; ejected shares are between 0 and 1."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    failed: int
    refused: int
    healthy_ejected: float
    faulty_ejected: float
    recovered_ejected: float


class Simulation:
    """Simulate one seeded workload with one routing policy and one ejection policy."""

    def __init__(
        self, scenario: FaultScenario, policy: RoutingPolicy, ejection: str, seed: int
    ):
        self._scenario, self._policy = scenario, policy
        self._clock = SimulatedClock()
        # Separate generators keep the workload independent of the random numbers that a
        # routing policy uses.
        self._arrival_rng = random.Random(f"arrivals {seed}")
        self._run_rng = random.Random(f"runs {seed}")
        self._shard = ShardState(self._clock, random.Random(f"choices {seed}"))
        log = EventLog("model", SHARD, self._clock)
        self._health = EJECTION_POLICIES[ejection](self._shard, self._clock, log)
        self._queue: deque[QueuedRequest] = deque()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._latencies: list[float] = []
        self._failed = self._refused = 0
        # One sample for each worker and tick: whether the worker was ejected.
        self._healthy_ejected: list[bool] = []
        self._faulty_ejected: list[bool] = []
        self._recovered_ejected: list[bool] = []

    def run(self) -> RoutingMetrics:
        self._schedule(0.0, self._process_arrival)
        self._schedule(0.0, self._process_tick)
        while self._events:
            self._clock.at_ms, _, action = heapq.heappop(self._events)
            action()
        return RoutingMetrics(
            percentile(self._latencies, 0.5),
            percentile(self._latencies, 0.99),
            percentile(self._latencies, 0.999),
            self._failed,
            self._refused,
            *(
                sum(samples) / max(len(samples), 1)
                for samples in (
                    self._healthy_ejected,
                    self._faulty_ejected,
                    self._recovered_ejected,
                )
            ),
        )

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def _is_fault_active(self) -> bool:
        return FAULT_START_MS <= self._clock.at_ms < FAULT_END_MS

    def _process_arrival(self) -> None:
        now_ms, rng = self._clock.at_ms, self._arrival_rng
        service = rng.choices(SERVICES, [item.share for item in SERVICES])[0]
        if len(self._queue) >= QUEUE_LIMIT:
            self._refused += 1
        else:
            self._queue.append(QueuedRequest(service, now_ms, next(self._sequence)))
            self._dispatch_queue()
        is_burst = now_ms % BURST_INTERVAL_MS >= BURST_INTERVAL_MS - BURST_MS
        rate = RATE_PER_S * (BURST_FACTOR if is_burst else 1.0)
        next_ms = now_ms + rng.expovariate(rate) * SECOND_MS
        if next_ms < SIMULATION_MS:
            self._schedule(next_ms, self._process_arrival)

    def _process_tick(self) -> None:
        """Dispatch the queue and sample which workers are ejected."""
        self._dispatch_queue()
        faulty = {*self._scenario.failing, *self._scenario.slow}
        for number, worker in enumerate(self._shard.workers):
            is_ejected = self._health.is_ejected(worker.worker_id)
            if number not in faulty:
                self._healthy_ejected.append(is_ejected)
            elif self._is_fault_active():
                self._faulty_ejected.append(is_ejected)
            elif self._clock.at_ms >= FAULT_END_MS:
                self._recovered_ejected.append(is_ejected)
        if self._clock.at_ms < SIMULATION_MS or self._queue:
            self._schedule(self._clock.at_ms + TICK_MS, self._process_tick)

    def _dispatch_queue(self) -> None:
        shard = self._shard
        while self._queue:
            if self._clock.at_ms - self._queue[0].at_ms >= DEADLINE_MS:
                self._queue.popleft()
                self._refused += 1
                continue
            worker_ids = [
                worker_id
                for worker_id in shard.ledger.ranked(SHARD)
                if not self._health.is_ejected(worker_id)
            ]
            if not worker_ids:
                return
            req = self._queue.popleft()
            self._start_run(
                req, self._policy.choose(shard, worker_ids, req.service.name)
            )

    def _start_run(self, req: QueuedRequest, worker_id: str) -> None:
        shard, number = self._shard, int(worker_id[1:])
        run_id = f"run-{req.number}"
        assert shard.ledger.allocate_slot(worker_id, run_id, is_task=False)
        self._health.mark_probed(worker_id)
        is_fault_active = self._is_fault_active()
        fails = is_fault_active and (
            req.service.name in self._scenario.services
            or self._run_rng.random() < self._scenario.failing.get(number, 0.0)
        )
        latency_ms = FAILED_RUN_LATENCY_MS
        if not fails:
            interfering_runs = max(
                shard.ledger.in_flight(worker_id) - INTERFERENCE_FREE_RUNS, 0
            )
            noise = self._run_rng.lognormvariate(
                -RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2, RUN_TIME_SIGMA
            )
            slow_factor = (
                SLOW_WORKER_FACTOR
                if is_fault_active and number in self._scenario.slow
                else 1.0
            )
            latency_ms = (
                req.service.base_ms * RUN_TIME_FACTORS[number] * noise * slow_factor
            )
            latency_ms *= 1 + INTERFERENCE_PER_RUN * interfering_runs
        worker, load = shard.workers[number], shard.ledger.load(worker_id)
        started_ms = self._clock.now_ms()

        def finish() -> None:
            if not fails:
                shard.measurements.request_ended(
                    worker, req.service.name, started_ms, load
                )
            self._finish_run(req, worker, run_id, latency_ms, fails)

        self._schedule(self._clock.at_ms + latency_ms, finish)

    def _finish_run(
        self,
        req: QueuedRequest,
        worker: Worker,
        run_id: str,
        latency_ms: float,
        fails: bool,
    ) -> None:
        worker_id, shard = worker.worker_id, self._shard
        if self._policy.counts_failures or not fails:
            rank = shard.latency_ms.note(worker_id, max(int(latency_ms), 1))
            shard.ledger.set_rank(worker_id, rank)
        shard.ledger.release_slot(worker_id, run_id)
        if fails:
            self._failed += req.service.name not in self._scenario.services
            self._health.failed(worker, req.service.name)
        else:
            insort(self._latencies, self._clock.at_ms - req.at_ms)
            self._health.succeeded(worker, req.service.name, latency_ms)
        self._dispatch_queue()


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return the quantile of sorted values, or 0 if there are none."""
    if not values:
        return 0.0
    return values[min(int(quantile * len(values)), len(values) - 1)]


def format_median_range(values: Iterable[float], digits: int = 0) -> str:
    """Format the median, followed by the minimum and the maximum in parentheses."""
    ranked = sorted(values)
    lowest, middle, highest = (
        f"{value:,.{digits}f}" for value in (ranked[0], median(ranked), ranked[-1])
    )
    return middle if lowest == highest else f"{middle} ({lowest} to {highest})"


def format_row(scenario: str, policy_name: str, runs: Sequence[RoutingMetrics]) -> str:
    cells = [
        scenario,
        policy_name,
        format_median_range(run.p50_ms for run in runs),
        format_median_range(run.p99_ms for run in runs),
        format_median_range(run.p999_ms for run in runs),
        format_median_range(run.failed for run in runs),
        format_median_range(run.refused for run in runs),
        format_median_range((100 * run.healthy_ejected for run in runs), 1),
        format_median_range((100 * run.faulty_ejected for run in runs), 1),
        format_median_range((100 * run.recovered_ejected for run in runs), 1),
    ]
    return "| " + " | ".join(cells) + " |"


TABLE_HEADER = (
    "p50 ms | p99 ms | p99.9 ms | failed | refused "
    "| healthy ejected, % | faulty ejected, % | recovered ejected, % |"
)


class Comparison(NamedTuple):
    """Policies and scenarios of one table; only one kind of policy varies."""

    choices: Sequence[str]
    ejections: Sequence[str]
    scenarios: Sequence[str]


BASIC_EJECTION_POLICIES = tuple(EJECTION_POLICIES)[:4]
COMPARISONS = {
    "choices": Comparison(
        tuple(ROUTING_POLICIES), ("none",), ("no fault", ONE_SLOW_WORKER, ALL_FAULTS)
    ),
    "choices-ejecting": Comparison(
        tuple(ROUTING_POLICIES), ("`worker_health`",), (ALL_FAULTS,)
    ),
    "ejections": Comparison(
        ("`choose_worker`",), BASIC_EJECTION_POLICIES, tuple(SCENARIOS)
    ),
    "ejections-expected": Comparison(
        ("lowest expected time",), BASIC_EJECTION_POLICIES, (HALF_FAILING, ALL_FAULTS)
    ),
    "probes": Comparison(
        ("`choose_worker`",),
        ("`worker_health`", *tuple(EJECTION_POLICIES)[4:]),
        (HALF_FAILING, ONE_SLOW_WORKER, ALL_FAULTS),
    ),
}


def print_comparison(comparison: Comparison, seeds: Sequence[int]) -> None:
    """Print a Markdown table with one row for each scenario and policy."""
    choices, ejections, scenarios = comparison
    varies_routing = len(choices) > 1
    fixed = f"Ejection: {ejections[0]}" if varies_routing else f"Choice: {choices[0]}"
    print(f"\n{fixed}.\n")
    varied = "choice" if varies_routing else "ejection"
    print(f"| scenario | {varied} | {TABLE_HEADER}\n|{' --- |' * 10}")
    for scenario, choice, ejection in product(scenarios, choices, ejections):
        runs = [
            Simulation(
                SCENARIOS[scenario], ROUTING_POLICIES[choice], ejection, seed
            ).run()
            for seed in seeds
        ]
        print(
            format_row(scenario, choice if varies_routing else ejection, runs),
            flush=True,
        )


def main(arguments: Sequence[str] | None = None) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--only", nargs="+", choices=COMPARISONS, default=COMPARISONS)
    options = parser.parse_args(arguments)
    for name in options.only:
        print_comparison(COMPARISONS[name], options.seeds)


if __name__ == "__main__":
    main()

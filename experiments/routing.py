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
SPEEDS = (1.0, 1.0, 1.1, 1.1, 1.2, 1.3, 1.4, 1.6)
SIGMA = 0.5
# Slots that a worker fills before its runs slow each other down, and by how much each.
FREE_OF_CROWDING = 4
CROWDING = 0.08

RATE_PER_S = 250.0
BURST_FACTOR = 2.2
BURST_EVERY_MS: Millis = 5_000
BURST_MS: Millis = 1_000
QUEUE_LIMIT = 100
DEADLINE_MS: Millis = 1_500
FAULT_FROM_MS: Millis = 5_000
FAULT_UNTIL_MS: Millis = 30_000
RUN_MS: Millis = 40_000
TICK_MS: Millis = 100
FAILED_RUN_MS = 2.0
SLOW = 5.0
HALF_FAILING = "one worker fails half"
SLOW_WORKER = "one worker 5 times slower"
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


class Scenario(NamedTuple):
    """State the faults: workers by number, and services that fail everywhere."""

    failing: dict[int, float] = {}
    slow: tuple[int, ...] = ()
    services: tuple[str, ...] = ()


SCENARIOS = {
    "no fault": Scenario(),
    "one worker fails all": Scenario({2: 1.0}),
    HALF_FAILING: Scenario({2: 0.5}),
    SLOW_WORKER: Scenario(slow=(4,)),
    "one service fails everywhere": Scenario(services=("price-feed",)),
    "all services fail everywhere": Scenario(
        services=tuple(service.name for service in SERVICES)
    ),
    "half of the workers fail half": Scenario({0: 0.5, 2: 0.5, 4: 0.5, 6: 0.5}),
    ALL_FAULTS: Scenario({2: 1.0}, (4,), ("price-feed",)),
}


class SimClock(Clock):
    """Tell the time of the simulation."""

    def __init__(self) -> None:
        self.at_ms = 0.0

    def now_ms(self) -> Millis:
        return int(self.at_ms)


class Ejection(Protocol):
    """Name the part of ``WorkerHealth`` that all variants have."""

    def is_ejected(self, worker_id: str) -> bool: ...

    def note_chosen(self, worker_id: str) -> None: ...

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None: ...

    def failed(self, worker: Worker, service: str) -> None: ...


class NoEjection:
    """Eject no worker."""

    def is_ejected(self, worker_id: str) -> bool:
        return False

    def note_chosen(self, worker_id: str) -> None:
        return

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        return

    def failed(self, worker: Worker, service: str) -> None:
        return


class ConsecutiveFailures(NoEjection):
    """Eject after 3 failures in a row, as the version before did."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures: dict[str, int] = defaultdict(int)
        self._until_ms: dict[str, Millis] = defaultdict(int)

    def is_ejected(self, worker_id: str) -> bool:
        return self._clock.now_ms() < self._until_ms[worker_id]

    def note_chosen(self, worker_id: str) -> None:
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


class _Circuit:
    def __init__(self) -> None:
        self.buckets: deque[list[int]] = deque()
        self.open_until_ms: Millis | None = None
        self.probe_until_ms: Millis = 0
        self.successes = 0


class FailureRate(NoEjection):
    """Eject at 50% failures among at least 20 runs of the last 10 s.

    An open circuit lets single runs pass after 5 s and closes after 3 successes.
    """

    BUCKET_MS: Millis = 100
    BUCKETS = 100

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._circuits: dict[str, _Circuit] = defaultdict(_Circuit)

    def is_ejected(self, worker_id: str) -> bool:
        circuit = self._circuits[worker_id]
        if circuit.open_until_ms is None:
            return False
        return self._clock.now_ms() < max(circuit.open_until_ms, circuit.probe_until_ms)

    def note_chosen(self, worker_id: str) -> None:
        circuit = self._circuits[worker_id]
        if circuit.open_until_ms is not None:
            circuit.probe_until_ms = self._clock.now_ms() + 5_000

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        self._note(worker.worker_id, 0)

    def failed(self, worker: Worker, service: str) -> None:
        self._note(worker.worker_id, 1)

    def _note(self, worker_id: str, failures: int) -> None:
        circuit, now_ms = self._circuits[worker_id], self._clock.now_ms()
        if circuit.open_until_ms is None:
            self._count(circuit, failures, now_ms)
        elif now_ms >= circuit.open_until_ms:
            circuit.probe_until_ms = 0
            circuit.successes = 0 if failures else circuit.successes + 1
            if failures:
                circuit.open_until_ms = now_ms + 5_000
            elif circuit.successes == 3:
                self._circuits[worker_id] = _Circuit()

    def _count(self, circuit: _Circuit, failures: int, now_ms: Millis) -> None:
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


class RulesAndRate(WorkerHealth):
    """Apply the rules and the failure rate; either ejects."""

    def __init__(self, shard: "Shard", clock: Clock, log: EventLog) -> None:
        super().__init__(shard, clock, log)
        self._rate = FailureRate(clock)

    def is_ejected(self, worker_id: str) -> bool:
        return super().is_ejected(worker_id) or self._rate.is_ejected(worker_id)

    def mark_probed(self, worker_id: str) -> None:
        super().mark_probed(worker_id)
        self._rate.note_chosen(worker_id)

    def succeeded(self, worker: Worker, service: str, latency_ms: float) -> None:
        super().succeeded(worker, service, latency_ms)
        self._rate.succeeded(worker, service, latency_ms)

    def failed(self, worker: Worker, service: str) -> None:
        super().failed(worker, service)
        self._rate.failed(worker, service)


class Shard:
    """Hold the workers and what the owner knows of them."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.rng = rng
        self.ledger = SlotLedger(Invariants(clock, EventLog("model", SHARD, clock)), 2)
        self.latency_ms = LatencyAverages()
        self.measurements = Measurements(
            Colocation(), Interference(), self.ledger, clock
        )
        self.turn = count()
        self.workers = [
            Worker(f"w{number}", "", 0, "model", "r0", 32.0, 125.0)
            for number in range(len(SPEEDS))
        ]
        for worker in self.workers:
            self.ledger.track_worker(worker)
            self.ledger.confirm(worker.worker_id, [])

    def workers_of(self, shard: str) -> list[Worker]:
        return self.workers

    def leaving_since_ms(self, worker_id: str) -> Millis | None:
        return None

    def expected_ms(self, worker_id: str) -> float:
        """Return latency times work in flight, as the request would find it."""
        in_flight = self.ledger.in_flight(worker_id)
        return self.latency_ms.of(worker_id) * (in_flight + 1)


Eligible = Callable[[str], bool]
Choice = Callable[[Shard, list[str], str], str]


def at_random(shard: Shard, names: list[str], service: str) -> str:
    return shard.rng.choice(names)


def round_robin(shard: Shard, names: list[str], service: str) -> str:
    names = sorted(names)
    return names[next(shard.turn) % len(names)]


def least_in_flight(shard: Shard, names: list[str], service: str) -> str:
    return min(names, key=lambda n: (shard.ledger.in_flight(n), shard.rng.random()))


def two_random(shard: Shard, names: list[str], service: str) -> str:
    pair = shard.rng.sample(names, min(2, len(names)))
    return min(pair, key=shard.ledger.in_flight)


def lowest_expected_time(shard: Shard, names: list[str], service: str) -> str:
    return min(names, key=lambda n: (shard.expected_ms(n), shard.rng.random()))


def least_in_flight_then_latency(shard: Shard, names: list[str], service: str) -> str:
    """Choose as ``choose_worker`` did before it used expected times."""
    return next(name for name in shard.ledger.ranked(SHARD) if name in names)


def real_choice(shard: Shard, names: list[str], service: str) -> str:
    expected_ms = shard.measurements.expected_ms(SHARD, service)
    chosen = choose_worker(shard.ledger, SHARD, names.__contains__, expected_ms)
    assert chosen is not None
    return chosen


class Rule(NamedTuple):
    """Name a way to choose; the dispatcher counts failed runs as latencies too."""

    choose: Choice
    counts_failures: bool = True


CHOICES = {
    "random": Rule(at_random),
    "round robin": Rule(round_robin),
    "least in flight": Rule(least_in_flight),
    "two random choices": Rule(two_random),
    "least in flight, then latency": Rule(least_in_flight_then_latency),
    "`choose_worker`": Rule(real_choice),
    "lowest expected time": Rule(lowest_expected_time),
    "the same, latencies of successes only": Rule(lowest_expected_time, False),
}
EJECTIONS: dict[str, Callable[[Shard, Clock, EventLog], Ejection]] = {
    "none": lambda shard, clock, log: NoEjection(),
    "3 failures in a row": lambda shard, clock, log: ConsecutiveFailures(clock),
    "`worker_health`": WorkerHealth,
    "failure rate": lambda shard, clock, log: FailureRate(clock),
    "`worker_health`, 1 probe": partial(WorkerHealth, probes=1),
    "`worker_health`, 5 s": partial(WorkerHealth, longest_ms=5_000),
    "`worker_health`, 1 probe, 5 s": partial(WorkerHealth, probes=1, longest_ms=5_000),
    "`worker_health` and failure rate": RulesAndRate,
}


class Arrived(NamedTuple):
    service: ServiceKind
    at_ms: float
    number: int


class Figures(NamedTuple):
    """Hold the outcome of one run; shares are parts of 1."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    failed: int
    refused: int
    healthy_ejected: float
    faulty_ejected: float
    recovered_ejected: float


class Simulation:
    """Run one seeded workload with one way to choose and one way to eject."""

    def __init__(self, scenario: Scenario, rule: Rule, ejection: str, seed: int):
        self._scenario, self._rule = scenario, rule
        self._clock = SimClock()
        # The workload must not depend on how often a way to choose draws.
        self._arrivals = random.Random(f"arrivals {seed}")
        self._runs = random.Random(f"runs {seed}")
        self._shard = Shard(self._clock, random.Random(f"choices {seed}"))
        log = EventLog("model", SHARD, self._clock)
        self._health = EJECTIONS[ejection](self._shard, self._clock, log)
        self._queue: deque[Arrived] = deque()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._latencies: list[float] = []
        self._failed = self._refused = 0
        # Whether a worker was ejected, for each worker and tick.
        self._healthy: list[bool] = []
        self._faulty: list[bool] = []
        self._recovered: list[bool] = []

    def run(self) -> Figures:
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)
        while self._timers:
            self._clock.at_ms, _, act = heapq.heappop(self._timers)
            act()
        return Figures(
            percentile(self._latencies, 0.5),
            percentile(self._latencies, 0.99),
            percentile(self._latencies, 0.999),
            self._failed,
            self._refused,
            *(
                sum(ticks) / max(len(ticks), 1)
                for ticks in (self._healthy, self._faulty, self._recovered)
            ),
        )

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (at_ms, next(self._sequence), act))

    def _is_faulty_now(self) -> bool:
        return FAULT_FROM_MS <= self._clock.at_ms < FAULT_UNTIL_MS

    def _arrive(self) -> None:
        now_ms, rng = self._clock.at_ms, self._arrivals
        service = rng.choices(SERVICES, [item.share for item in SERVICES])[0]
        if len(self._queue) >= QUEUE_LIMIT:
            self._refused += 1
        else:
            self._queue.append(Arrived(service, now_ms, next(self._sequence)))
            self._assign()
        is_burst = now_ms % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS
        rate = RATE_PER_S * (BURST_FACTOR if is_burst else 1.0)
        next_ms = now_ms + rng.expovariate(rate) * SECOND_MS
        if next_ms < RUN_MS:
            self._at(next_ms, self._arrive)

    def _tick(self) -> None:
        """Serve the queue again and note who is ejected."""
        self._assign()
        bad = {*self._scenario.failing, *self._scenario.slow}
        for number, worker in enumerate(self._shard.workers):
            is_ejected = self._health.is_ejected(worker.worker_id)
            if number not in bad:
                self._healthy.append(is_ejected)
            elif self._is_faulty_now():
                self._faulty.append(is_ejected)
            elif self._clock.at_ms >= FAULT_UNTIL_MS:
                self._recovered.append(is_ejected)
        if self._clock.at_ms < RUN_MS or self._queue:
            self._at(self._clock.at_ms + TICK_MS, self._tick)

    def _assign(self) -> None:
        shard = self._shard
        while self._queue:
            if self._clock.at_ms - self._queue[0].at_ms >= DEADLINE_MS:
                self._queue.popleft()
                self._refused += 1
                continue
            names = [
                name
                for name in shard.ledger.ranked(SHARD)
                if not self._health.is_ejected(name)
            ]
            if not names:
                return
            req = self._queue.popleft()
            self._start(req, self._rule.choose(shard, names, req.service.name))

    def _start(self, req: Arrived, name: str) -> None:
        shard, number = self._shard, int(name[1:])
        run_id = f"run-{req.number}"
        assert shard.ledger.take(name, run_id, is_task=False)
        self._health.mark_probed(name)
        is_faulty = self._is_faulty_now()
        fails = is_faulty and (
            req.service.name in self._scenario.services
            or self._runs.random() < self._scenario.failing.get(number, 0.0)
        )
        latency_ms = FAILED_RUN_MS
        if not fails:
            crowd = max(shard.ledger.in_flight(name) - FREE_OF_CROWDING, 0)
            noise = self._runs.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
            slow = SLOW if is_faulty and number in self._scenario.slow else 1.0
            latency_ms = req.service.base_ms * SPEEDS[number] * noise * slow
            latency_ms *= 1 + CROWDING * crowd
        worker, load = shard.workers[number], shard.ledger.load(name)
        started_ms = self._clock.now_ms()

        def end() -> None:
            if not fails:
                shard.measurements.request_ended(
                    worker, req.service.name, started_ms, load
                )
            self._end(req, worker, run_id, latency_ms, fails)

        self._at(self._clock.at_ms + latency_ms, end)

    def _end(
        self, req: Arrived, worker: Worker, run_id: str, latency_ms: float, fails: bool
    ) -> None:
        name, shard = worker.worker_id, self._shard
        if self._rule.counts_failures or not fails:
            rank = shard.latency_ms.note(name, max(int(latency_ms), 1))
            shard.ledger.set_rank(name, rank)
        shard.ledger.release(name, run_id)
        if fails:
            self._failed += req.service.name not in self._scenario.services
            self._health.failed(worker, req.service.name)
        else:
            insort(self._latencies, self._clock.at_ms - req.at_ms)
            self._health.succeeded(worker, req.service.name, latency_ms)
        self._assign()


def percentile(values: Sequence[float], part: float) -> float:
    """Return a percentile of sorted values, 0 without any."""
    if not values:
        return 0.0
    return values[min(int(part * len(values)), len(values) - 1)]


def spread(values: Iterable[float], digits: int = 0) -> str:
    """Return the median and, in parentheses, the least and the most."""
    ranked = sorted(values)
    least, middle, most = (
        f"{value:,.{digits}f}" for value in (ranked[0], median(ranked), ranked[-1])
    )
    return middle if least == most else f"{middle} ({least} to {most})"


def row(scenario: str, name: str, runs: Sequence[Figures]) -> str:
    cells = [
        scenario,
        name,
        spread(run.p50_ms for run in runs),
        spread(run.p99_ms for run in runs),
        spread(run.p999_ms for run in runs),
        spread(run.failed for run in runs),
        spread(run.refused for run in runs),
        spread((100 * run.healthy_ejected for run in runs), 1),
        spread((100 * run.faulty_ejected for run in runs), 1),
        spread((100 * run.recovered_ejected for run in runs), 1),
    ]
    return "| " + " | ".join(cells) + " |"


HEAD = (
    "p50 ms | p99 ms | p99.9 ms | failed | refused "
    "| healthy ejected, % | faulty ejected, % | recovered ejected, % |"
)


class Comparison(NamedTuple):
    """Compare ways to choose or to eject; the other one is fixed."""

    choices: Sequence[str]
    ejections: Sequence[str]
    scenarios: Sequence[str]


SCHEMES = tuple(EJECTIONS)[:4]
COMPARISONS = {
    "choices": Comparison(
        tuple(CHOICES), ("none",), ("no fault", SLOW_WORKER, ALL_FAULTS)
    ),
    "choices-ejecting": Comparison(tuple(CHOICES), ("`worker_health`",), (ALL_FAULTS,)),
    "ejections": Comparison(("`choose_worker`",), SCHEMES, tuple(SCENARIOS)),
    "ejections-expected": Comparison(
        ("lowest expected time",), SCHEMES, (HALF_FAILING, ALL_FAULTS)
    ),
    "probes": Comparison(
        ("`choose_worker`",),
        ("`worker_health`", *tuple(EJECTIONS)[4:]),
        (HALF_FAILING, SLOW_WORKER, ALL_FAULTS),
    ),
}


def print_comparison(comparison: Comparison, seeds: Sequence[int]) -> None:
    """Print a table with a row for each scenario and variant."""
    choices, ejections, scenarios = comparison
    varies_choice = len(choices) > 1
    fixed = f"Ejection: {ejections[0]}" if varies_choice else f"Choice: {choices[0]}"
    print(f"\n{fixed}.\n")
    varied = "choice" if varies_choice else "ejection"
    print(f"| scenario | {varied} | {HEAD}\n|{' --- |' * 10}")
    for scenario, choice, ejection in product(scenarios, choices, ejections):
        runs = [
            Simulation(SCENARIOS[scenario], CHOICES[choice], ejection, seed).run()
            for seed in seeds
        ]
        print(row(scenario, choice if varies_choice else ejection, runs), flush=True)


def main(arguments: Sequence[str] | None = None) -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--only", nargs="+", choices=COMPARISONS, default=COMPARISONS)
    options = parser.parse_args(arguments)
    for name in options.only:
        print_comparison(COMPARISONS[name], options.seeds)


if __name__ == "__main__":
    main()

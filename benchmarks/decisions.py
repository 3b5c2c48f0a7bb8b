"""Time of each routing and placement decision by fleet size."""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from benchmarks.slopes import average_cpu_us
from hyssopweir.colocation import Colocation
from hyssopweir.fleet import Worker
from hyssopweir.interference import Interference
from hyssopweir.invariants import Invariants
from hyssopweir.measurements import Measurements
from hyssopweir.placement import Candidate, Demand, choose
from hyssopweir.routing import ShardRouter, choose_worker
from hyssopweir.slots import SlotLedger
from tests.builders import build_log, build_workers
from tests.fakes import FakeNetwork, FakePeers
from tests.virtual_time import VirtualClock, run_virtual

DATA_CENTRES = 9
INSTANCES = 24
TASK_KINDS = ("repaint", "watch")
DEMAND = Demand(4.0, 16.0)
# Exceeds every worker, so that the whole fleet is searched.
TOO_LARGE = Demand(10_000.0, 16.0)


class Decision(NamedTuple):
    """Processor time of one decision in microseconds, by number of workers."""

    name: str
    us: dict[int, float]


def build_fleet(count: int) -> list[Worker]:
    """Return workers in racks of 8, distributed evenly over the data centres."""
    workers: list[Worker] = []
    for number in range(DATA_CENTRES):
        in_data_centre = count // DATA_CENTRES + (number < count % DATA_CENTRES)
        workers += build_workers(in_data_centre, f"dc-{number}")
    return workers


def measure_decisions(counts: Sequence[int], repeats: int, seed: int) -> list[Decision]:
    """Measure every decision at each fleet size, averaged over ``repeats``."""
    measure_functions: dict[str, Any] = {
        "rank all shards, at most every 100 ms": _time_shard_ranking,
        "choose a shard, ranking known": _time_shard_choice,
        "choose a worker of a shard": _time_worker_choice,
        "place a task in a shard": _time_placement,
        "find that no worker can run a task": _time_impossible_placement,
    }
    return [
        Decision(
            name,
            {count: measure(build_fleet(count), repeats, seed) for count in counts},
        )
        for name, measure in measure_functions.items()
    ]


class RoundRobinOwners:
    """Shard ownership that is distributed round-robin over ``INSTANCES`` sessions."""

    def __init__(self, workers: list[Worker]) -> None:
        self._shards = sorted({worker.shard for worker in workers})
        self._owners = {
            shard: f"session-{number % INSTANCES}"
            for number, shard in enumerate(self._shards)
        }

    def shards(self) -> list[str]:
        return list(self._shards)

    def owner_of(self, shard: str) -> str | None:
        return self._owners.get(shard)


class SingleSession:
    session = "session-0"

    def is_gone(self, session: str) -> bool:
        return False

    def on_gone(self, handler: Callable[[str], None]) -> None:
        return


def _build_router(workers: list[Worker], seed: int) -> ShardRouter:
    clock = VirtualClock()
    owners = RoundRobinOwners(workers)
    network = FakeNetwork(clock)
    for number in range(INSTANCES):
        FakePeers(network, f"session-{number}")
    links = {f"dc-{number}": 5.0 for number in range(1, DATA_CENTRES)}
    return ShardRouter(
        SingleSession(),
        "dc-0",
        links,
        owners,
        owners,
        network.nodes["session-0"],
        lambda: {"shards": {}},
        clock,
        random.Random(seed),
    )


def _time_shard_ranking(workers: list[Worker], repeats: int, seed: int) -> float:
    router = _build_router(workers, seed)

    async def run() -> float:
        def rank(_: int) -> None:
            router.changed()
            router.candidates(0)

        return average_cpu_us(rank, 1, repeats)

    return run_virtual(run())


def _time_shard_choice(workers: list[Worker], repeats: int, seed: int) -> float:
    router = _build_router(workers, seed)

    async def run() -> float:
        router.candidates(0)
        return average_cpu_us(lambda _: router.candidates(0), 1, repeats)

    return run_virtual(run())


def _time_worker_choice(workers: list[Worker], repeats: int, seed: int) -> float:
    clock = VirtualClock()
    ledger = SlotLedger(Invariants(clock, build_log(clock)), 2)
    for worker in workers:
        ledger.track_worker(worker)
        ledger.confirm(worker.worker_id, ())
    run_numbers = iter(range(10**9))
    shard = workers[0].shard
    measurements = _build_measurements(workers, ledger, clock)

    def choose_and_release(_: int) -> None:
        chosen = choose_worker(
            ledger,
            shard,
            lambda worker_id: True,
            measurements.expected_ms(shard, "offer"),
        )
        run_id = str(next(run_numbers))
        ledger.allocate_slot(str(chosen), run_id, is_task=False)
        ledger.release_slot(str(chosen), run_id)

    async def run() -> float:
        return average_cpu_us(choose_and_release, 1, repeats)

    return run_virtual(run())


def _build_measurements(
    workers: list[Worker], ledger: SlotLedger, clock: VirtualClock
) -> Measurements:
    """Return measurements of a service that runs beside one task of each kind."""
    measurements = Measurements(Colocation(), Interference(), ledger, clock)
    shard = workers[0].shard

    async def run() -> None:
        for worker in workers:
            if worker.shard == shard:
                for kind in TASK_KINDS:
                    measurements.task_started(shard, worker.worker_id, kind, kind)
        for _ in range(100):
            started_ms = clock.now_ms()
            await clock.sleep_ms(20)
            measurements.request_ended(workers[0], "offer", started_ms, 0.25)

    run_virtual(run())
    return measurements


def _build_candidates(workers: list[Worker]) -> list[Candidate]:
    shard = workers[0].shard
    return [
        Candidate(worker, worker.cores, worker.memory_gb, 0, worker.slots)
        for worker in workers
        if worker.shard == shard
    ]


def _time_placement(workers: list[Worker], repeats: int, seed: int) -> float:
    candidates = _build_candidates(workers)
    workers_by_id = {worker.worker_id: worker for worker in workers}
    return average_cpu_us(
        lambda _: choose(DEMAND, candidates, (), lambda: list(workers_by_id.values())),
        1,
        repeats,
    )


def _time_impossible_placement(workers: list[Worker], repeats: int, seed: int) -> float:
    candidates = _build_candidates(workers)
    fewer_repeats = max(repeats // 20, 1)
    return average_cpu_us(
        lambda _: choose(TOO_LARGE, candidates, (), lambda: workers), 1, fewer_repeats
    )

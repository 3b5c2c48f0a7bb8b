"""Naive scheduling decisions, the baseline that the product is compared with."""

import random
import statistics
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from experiments.workloads import SERVICES
from hyssopweir import admission, placement, task_queue
from hyssopweir.contracts import JobSpec
from hyssopweir.estimates import Estimates
from hyssopweir.interference import Interference, Prediction
from hyssopweir.placement import Candidate, Choice, Demand, PlacementOutcome, demand_of
from hyssopweir.preemption import Preemption
from hyssopweir.pressure import PressureControl
from hyssopweir.reservations import Reservations
from hyssopweir.slots import SlotLedger
from hyssopweir.worker_health import WorkerHealth

# Number of requests in the median latency of a service. A single slow request means
# nothing; with fewer, normal variance alone would cause evictions.
LATENCY_WINDOW = 5


@contextmanager
def naive_decisions(seed: int) -> Iterator[None]:
    """Route at random, place tasks first-fit by declared demand and eject no worker."""
    rng = random.Random(f"naive {seed}")

    def choose_random_worker(
        ledger: SlotLedger,
        shard: str,
        is_eligible: Callable[[str], bool],
        *args: Any,
        **kwargs: Any,
    ) -> str | None:
        workers = sorted(filter(is_eligible, ledger.ranked(shard)))
        return rng.choice(workers) if workers else None

    with ExitStack() as stack:
        for owner, name, replacement in (
            (admission, "choose_worker", choose_random_worker),
            (task_queue, "choose", choose_first_fit),
            *NAIVE_OVERRIDES,
        ):
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield


def choose_first_fit(
    demand: Demand,
    candidates: Sequence[Candidate],
    failed_on: Collection[str],
    *args: Any,
    **kwargs: Any,
) -> Choice:
    """Choose the first suitable worker in the order of worker ids."""
    for candidate in sorted(candidates, key=lambda item: item.worker.worker_id):
        choice = placement.choose(demand, [candidate], failed_on, *args, **kwargs)
        if choice.verdict is PlacementOutcome.PLACED:
            return choice
    return placement.choose(demand, candidates, failed_on, *args, **kwargs)


def _declared_demand(_: Any, spec: JobSpec, memory_gb: float | None) -> Demand:
    """Return the declared demand, with more memory after an out-of-memory failure."""
    declared = demand_of(spec)
    return declared._replace(memory_gb=memory_gb or declared.memory_gb)


def _no_interference(*_: Any, **__: Any) -> Prediction:
    return Prediction(1.0, 1_000_000, 0.0, True)


# Methods of the product that the baseline replaces.
NAIVE_OVERRIDES: tuple[tuple[type, str, Callable[..., Any]], ...] = (
    (WorkerHealth, "is_ejected", lambda *_: False),
    (Estimates, "demand", _declared_demand),
    (Estimates, "run_ms", lambda _, spec: spec["run_ms"]),
    (Interference, "predict", _no_interference),
    (Interference, "harm", _no_interference),
    (Reservations, "is_due", lambda *_: False),
    (Preemption, "is_due", lambda *_: False),
    (PressureControl, "decide", lambda *_: []),
)


class NewestEvictor:
    """Select the newest task of a worker when a service exceeds its latency target."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, str], deque[float]] = defaultdict(
            lambda: deque(maxlen=LATENCY_WINDOW)
        )

    def select_victim(
        self, worker_id: str, service: str, latency_ms: float, tasks: Sequence[str]
    ) -> str | None:
        """Return the id of the task to evict, if any, given run ids, oldest first."""
        latencies = self._latencies[worker_id, service]
        latencies.append(latency_ms)
        is_slow = statistics.median(latencies) > SERVICES[service].target_ms
        if len(latencies) < LATENCY_WINDOW or not is_slow or not tasks:
            return None
        latencies.clear()
        return tasks[-1].rpartition("#")[0]

"""Naive decisions in place of the product's: the baseline of the experiments."""

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

# A single slow request says nothing; with fewer the newest task would be evicted for
# the spread of the service alone.
LATENCIES = 5


@contextmanager
def naive_decisions(seed: int) -> Iterator[None]:
    """Route at random, place by first fit and declarations, and eject no worker."""
    rng = random.Random(f"naive {seed}")

    def random_worker(
        ledger: SlotLedger,
        shard: str,
        is_eligible: Callable[[str], bool],
        *rest: Any,
        **named: Any,
    ) -> str | None:
        workers = sorted(filter(is_eligible, ledger.ranked(shard)))
        return rng.choice(workers) if workers else None

    with ExitStack() as stack:
        for owner, name, decision in (
            (admission, "choose_worker", random_worker),
            (task_queue, "choose", first_fit),
            *REPLACED,
        ):
            stack.enter_context(mock.patch.object(owner, name, decision))
        yield


def first_fit(
    demand: Demand,
    candidates: Sequence[Candidate],
    failed_on: Collection[str],
    *rest: Any,
    **named: Any,
) -> Choice:
    """Choose the first worker that fits, in the order of their ids."""
    for candidate in sorted(candidates, key=lambda item: item.worker.worker_id):
        choice = placement.choose(demand, [candidate], failed_on, *rest, **named)
        if choice.verdict is PlacementOutcome.PLACED:
            return choice
    return placement.choose(demand, candidates, failed_on, *rest, **named)


def _declared(_: Any, spec: JobSpec, memory_gb: float | None) -> Demand:
    """Believe the declaration, but for the memory of a run that had too little."""
    declared = demand_of(spec)
    return declared._replace(memory_gb=memory_gb or declared.memory_gb)


def _no_harm(*_: Any, **__: Any) -> Prediction:
    return Prediction(1.0, 1_000_000, 0.0, True)


# Methods of the product that decide nothing in the baseline.
REPLACED: tuple[tuple[type, str, Callable[..., Any]], ...] = (
    (WorkerHealth, "is_ejected", lambda *_: False),
    (Estimates, "demand", _declared),
    (Estimates, "run_ms", lambda _, spec: spec["run_ms"]),
    (Interference, "predict", _no_harm),
    (Interference, "harm", _no_harm),
    (Reservations, "is_due", lambda *_: False),
    (Preemption, "is_due", lambda *_: False),
    (PressureControl, "decide", lambda *_: []),
)


class NewestEvictor:
    """Name the newest task of a worker whenever a service is slower than its target."""

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, str], deque[float]] = defaultdict(
            lambda: deque(maxlen=LATENCIES)
        )

    def victim(
        self, worker_id: str, service: str, latency_ms: float, tasks: Sequence[str]
    ) -> str | None:
        """Return the task to evict now, if any, of run ids with the oldest first."""
        newest = self._latencies[worker_id, service]
        newest.append(latency_ms)
        is_slow = statistics.median(newest) > SERVICES[service].target_ms
        if len(newest) < LATENCIES or not is_slow or not tasks:
            return None
        newest.clear()
        return tasks[-1].rpartition("#")[0]

"""Choice of a worker for a task: what fits, what fits best, and what is said."""

from typing import Any

import pytest

from hyssopweir.fleet import Worker
from hyssopweir.interference import Prediction
from hyssopweir.interference_forecast import InterferenceForecast, interference_weight
from hyssopweir.placement import Candidate, Choice, Demand, PlacementOutcome, choose

from .builders import build_worker

SMALL = build_worker(0, cores=8.0, memory_gb=32.0)
LARGE = build_worker(1, cores=32.0, memory_gb=128.0)
ACCELERATED = build_worker(2, cores=32.0, memory_gb=128.0, accelerators=4)
REMOTE = build_worker(3, "arlanda")
EMPTY = build_worker(4, cores=0.0, memory_gb=0.0)
FLEET = [SMALL, LARGE, ACCELERATED, REMOTE]
ONE_CORE = Demand(1.0, 1.0)


def candidate(worker: Worker, **fields: Any) -> Candidate:
    """Return an empty worker, but for ``fields``."""
    idle = Candidate(worker, worker.cores, worker.memory_gb, worker.accelerators, 6)
    return idle._replace(**fields)


def decide(
    demand: Demand, *candidates: Candidate, failed_on: tuple[str, ...] = ()
) -> Choice:
    return choose(demand, candidates, failed_on, lambda: FLEET)


@pytest.mark.parametrize(
    ("demand", "fields", "says"),
    [
        (Demand(4.0, 1.0), {"free_cores": 3.5}, "has only 3.5 cores free"),
        (Demand(4.0, 1.0), {"free_cores": -2.0}, "has only 0 cores free"),
        (Demand(1.0, 64.0), {"free_memory_gb": 60.0}, "has only 60 GB of memory"),
        (Demand(1.0, 1.0, 2), {"free_accelerators": 1}, "has only 1 accelerators"),
        (ONE_CORE, {"free_slots": 0}, "has no free slot for tasks"),
        (ONE_CORE, {"ready": False}, "does not answer"),
    ],
)
def test_task_waits_for_a_worker_that_is_in_use(
    demand: Demand, fields: dict[str, Any], says: str
) -> None:
    """Guards against an overloaded worker, and a task held that only has to wait."""
    choice = decide(demand, candidate(ACCELERATED, **fields))
    assert (choice.verdict, choice.worker) == (PlacementOutcome.WAIT, None)
    assert f"{ACCELERATED.worker_id} {says}" in choice.text
    assert choice.figures["rejected"][ACCELERATED.worker_id].startswith(says)


@pytest.mark.parametrize(
    ("demand", "candidates", "best"),
    [
        (ONE_CORE, [candidate(LARGE), candidate(SMALL)], SMALL),
        (ONE_CORE, [candidate(LARGE, free_cores=2.0), candidate(SMALL)], LARGE),
        (ONE_CORE, [candidate(LARGE, free_memory_gb=2.0), candidate(SMALL)], LARGE),
        (Demand(9.0, 1.0), [candidate(SMALL), candidate(LARGE)], LARGE),
        (Demand(1.0, 33.0), [candidate(SMALL), candidate(LARGE)], LARGE),
        (Demand(8.0, 32.0), [candidate(SMALL), candidate(LARGE)], SMALL),
        # Accelerators are left to tasks that need them.
        (ONE_CORE, [candidate(ACCELERATED, free_cores=1.0), candidate(LARGE)], LARGE),
        (Demand(1.0, 1.0, 1), [candidate(LARGE), candidate(ACCELERATED)], ACCELERATED),
        # Failures weigh more than the fit, but rule no worker out.
        (ONE_CORE, [candidate(SMALL, failures=1), candidate(LARGE)], LARGE),
        (ONE_CORE, [candidate(SMALL, failures=9)], SMALL),
        # Rounding of sums is tolerated.
        (Demand(0.3, 1.0), [candidate(SMALL, free_cores=0.3 - 1e-9)], SMALL),
        (Demand(1.0, 1.0, 0, "kista"), [candidate(LARGE)], LARGE),
        # A worker without a size is never divided by.
        (Demand(1e-7, 1e-7), [candidate(EMPTY), candidate(SMALL)], EMPTY),
    ],
)
def test_best_fit_is_chosen(
    demand: Demand, candidates: list[Candidate], best: Worker
) -> None:
    """Guards against waste of large or accelerated workers, and a worker that fails."""
    choice = decide(demand, *candidates)
    assert (choice.verdict, choice.worker) == (PlacementOutcome.PLACED, best)
    assert choice.text.startswith(f"{best.worker_id} was chosen")
    reordered = decide(demand, *reversed(candidates))
    assert reordered.worker == best


@pytest.mark.parametrize(
    ("demand", "candidates", "failed_on", "verdict", "says"),
    [
        (Demand(33.0, 1.0), [LARGE], [], PlacementOutcome.NEVER, "needs 33 cores"),
        (Demand(1.0, 129.0), [LARGE], [], PlacementOutcome.NEVER, "129 GB of memory"),
        (
            Demand(1.0, 1.0, 5),
            [LARGE],
            [],
            PlacementOutcome.NEVER,
            "and 5 accelerators",
        ),
        (
            Demand(1.0, 1.0, 0, "huddinge"),
            [LARGE],
            [],
            PlacementOutcome.NEVER,
            "in huddinge",
        ),
        (Demand(33.0, 1.0), [], [], PlacementOutcome.NEVER, "needs 33 cores"),
        (
            ONE_CORE,
            [],
            [],
            PlacementOutcome.NEVER_HERE,
            "the list shows no worker in it",
        ),
        (Demand(9.0, 1.0), [SMALL], [], PlacementOutcome.NEVER_HERE, "is too small"),
        (Demand(1.0, 1.0, 1), [LARGE], [], PlacementOutcome.NEVER_HERE, "is too small"),
        (
            Demand(1.0, 1.0, 0, "arlanda"),
            [LARGE],
            [],
            PlacementOutcome.NEVER_HERE,
            "place",
        ),
        (
            ONE_CORE,
            [SMALL],
            [SMALL],
            PlacementOutcome.NEVER_HERE,
            "failed this task before",
        ),
        (ONE_CORE, [SMALL], FLEET, PlacementOutcome.NEVER, "failed on every worker"),
        (
            ONE_CORE,
            [SMALL, LARGE],
            [SMALL],
            PlacementOutcome.PLACED,
            "kista-w1 was chosen",
        ),
    ],
)
def test_impossible_task_is_told_from_one_for_another_rack(
    demand: Demand,
    candidates: list[Worker],
    failed_on: list[Worker],
    verdict: PlacementOutcome,
    says: str,
) -> None:
    """Guards against tasks that wait for ever, and tasks held that could run."""
    failed = tuple(worker.worker_id for worker in failed_on)
    choice = decide(demand, *map(candidate, candidates), failed_on=failed)
    assert choice.verdict is verdict
    assert says in choice.text
    if verdict is PlacementOutcome.NEVER:
        largest = {"cores": 32.0, "memory_gb": 128.0, "accelerators": 4}
        assert choice.figures["largest"] == largest


@pytest.mark.parametrize(
    ("others", "verdict"),
    [
        ([], PlacementOutcome.NEVER_HERE),
        ([candidate(SMALL)], PlacementOutcome.NEVER_HERE),
        ([candidate(LARGE, free_slots=0)], PlacementOutcome.WAIT),
        ([candidate(LARGE)], PlacementOutcome.PLACED),
    ],
)
def test_leaving_worker_gets_no_task_and_is_not_waited_for(
    others: list[Candidate], verdict: PlacementOutcome
) -> None:
    """Guards against a task that waits for a worker that takes no more work."""
    choice = decide(Demand(9.0, 1.0), candidate(ACCELERATED, leaving=True), *others)
    assert choice.verdict is verdict
    assert choice.worker in (None, LARGE)


@pytest.mark.parametrize(
    ("others", "worker"),
    [
        ([candidate(LARGE)], LARGE),
        ([candidate(LARGE, failures=9)], LARGE),
        # Waits for a worker that is only in use.
        ([candidate(LARGE, free_slots=0)], None),
        # None other is left.
        ([], ACCELERATED),
        ([candidate(SMALL)], ACCELERATED),
        ([candidate(LARGE, leaving=True)], ACCELERATED),
        ([candidate(LARGE, ready=False)], ACCELERATED),
        ([candidate(LARGE, ejected=True, failures=1)], ACCELERATED),
    ],
)
def test_ejected_worker_gets_a_task_only_if_no_other_is_left(
    others: list[Candidate], worker: Worker | None
) -> None:
    """Guards against tasks on a broken worker, and tasks that wait for ever for it."""
    choice = decide(Demand(9.0, 1.0), candidate(ACCELERATED, ejected=True), *others)
    assert choice.worker == worker
    assert worker is not None or choice.verdict is PlacementOutcome.WAIT
    reason = choice.figures["rejected"].get(ACCELERATED.worker_id, "is ejected")
    assert reason.startswith("is ejected")


def harmful(slowdown: float, obstacle: str | None = None) -> InterferenceForecast:
    effects = {
        "price-check": Prediction(slowdown, 43, 0.1, True),
        "offer": Prediction(3.0, 3, 0.5, False),
    }
    return InterferenceForecast(slowdown - 1.0, effects, obstacle)


@pytest.mark.parametrize(
    ("harms", "best", "says"),
    [
        ({}, SMALL, "the closest fit"),
        ({SMALL: harmful(1.0)}, SMALL, "the closest fit; it is predicted not to slow"),
        ({SMALL: harmful(1.8), LARGE: harmful(1.7)}, SMALL, "take 1.80 times as long"),
        (
            {SMALL: harmful(2.8), LARGE: harmful(1.2)},
            LARGE,
            "by fit and predicted harm",
        ),
        ({SMALL: harmful(1.0, "is kept free"), LARGE: harmful(2.0)}, LARGE, "closest"),
        ({SMALL: harmful(1.0, "a"), LARGE: harmful(1.0, "b")}, None, "kista-w0 a"),
    ],
)
def test_harm_counts_against_the_fit(
    harms: dict[Worker, InterferenceForecast], best: Worker | None, says: str
) -> None:
    """Guards against harm that is passed over, and decisions that are not explained."""
    by_id = {worker.worker_id: harm for worker, harm in harms.items()}
    candidates = [candidate(SMALL, free_cores=4.0), candidate(LARGE)]
    choice = choose(ONE_CORE, candidates, (), FLEET, by_id)
    assert (choice.worker, choice.is_held_back) == (best, best is None)
    assert says in choice.text
    if best in harms:
        assert "effect on service offer is unknown (3 observations so far)" in (
            choice.text
        )
        assert choice.figures["effects"]["price-check"]["observations"] == 43
        assert choice.figures["harm"][str(best and best.worker_id)] >= 0.0


@pytest.mark.parametrize(
    ("tail", "batch", "expected"),
    [(1, 1, 1), (3, 1, 3), (1, 4, 0.25), (900, 1, 10), (0, 1, 0.1), (1, 0, 10)],
)
def test_weights_bound_what_harm_counts(
    tail: float, batch: float, expected: float
) -> None:
    """Guards against weights that switch one measure off, or divide by zero."""
    weights = {"tail_latency": tail, "batch_throughput": batch}
    assert interference_weight(weights) == expected
    assert interference_weight({"tail_latency": 0, "batch_throughput": 0}) == 1


def test_unread_list_proves_nothing() -> None:
    """Guards against tasks that are held because the list was not read yet."""
    choice = choose(Demand(500.0, 1.0), [], (), list)
    assert choice.verdict is PlacementOutcome.NEVER_HERE


def test_long_reasons_are_cut() -> None:
    """Guards against task rows that grow with the rack."""
    workers = [build_worker(number, cores=1.0) for number in range(40)]
    choice = decide(Demand(2.0, 1.0), *map(candidate, workers))
    assert "and 32 more" in choice.text
    assert len(choice.figures["rejected"]) == 8

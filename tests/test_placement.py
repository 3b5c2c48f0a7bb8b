"""Choice of a worker for a task: what fits, what fits best, and what is said."""

from typing import Any

import pytest

from hyssopweir.fleet import Worker
from hyssopweir.placement import Candidate, Choice, Demand, Verdict, choose

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
    assert (choice.verdict, choice.worker) == (Verdict.WAIT, None)
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
    assert (choice.verdict, choice.worker) == (Verdict.PLACED, best)
    assert choice.text.startswith(f"{best.worker_id} was chosen")
    reordered = decide(demand, *reversed(candidates))
    assert reordered.worker == best


@pytest.mark.parametrize(
    ("demand", "candidates", "failed_on", "verdict", "says"),
    [
        (Demand(33.0, 1.0), [LARGE], [], Verdict.NEVER, "needs 33 cores"),
        (Demand(1.0, 129.0), [LARGE], [], Verdict.NEVER, "129 GB of memory"),
        (Demand(1.0, 1.0, 5), [LARGE], [], Verdict.NEVER, "and 5 accelerators"),
        (Demand(1.0, 1.0, 0, "huddinge"), [LARGE], [], Verdict.NEVER, "in huddinge"),
        (Demand(33.0, 1.0), [], [], Verdict.NEVER, "needs 33 cores"),
        (ONE_CORE, [], [], Verdict.NEVER_HERE, "the list shows no worker in it"),
        (Demand(9.0, 1.0), [SMALL], [], Verdict.NEVER_HERE, "is too small"),
        (Demand(1.0, 1.0, 1), [LARGE], [], Verdict.NEVER_HERE, "is too small"),
        (Demand(1.0, 1.0, 0, "arlanda"), [LARGE], [], Verdict.NEVER_HERE, "place"),
        (ONE_CORE, [SMALL], [SMALL], Verdict.NEVER_HERE, "failed this task before"),
        (ONE_CORE, [SMALL], FLEET, Verdict.NEVER, "failed on every worker"),
        (ONE_CORE, [SMALL, LARGE], [SMALL], Verdict.PLACED, "kista-w1 was chosen"),
    ],
)
def test_impossible_task_is_told_from_one_for_another_rack(
    demand: Demand,
    candidates: list[Worker],
    failed_on: list[Worker],
    verdict: Verdict,
    says: str,
) -> None:
    """Guards against tasks that wait for ever, and tasks held that could run."""
    failed = tuple(worker.worker_id for worker in failed_on)
    choice = decide(demand, *map(candidate, candidates), failed_on=failed)
    assert choice.verdict is verdict
    assert says in choice.text
    if verdict is Verdict.NEVER:
        largest = {"cores": 32.0, "memory_gb": 128.0, "accelerators": 4}
        assert choice.figures["largest"] == largest


@pytest.mark.parametrize(
    ("others", "verdict"),
    [
        ([], Verdict.NEVER_HERE),
        ([candidate(SMALL)], Verdict.NEVER_HERE),
        ([candidate(LARGE, free_slots=0)], Verdict.WAIT),
        ([candidate(LARGE)], Verdict.PLACED),
    ],
)
def test_leaving_worker_gets_no_task_and_is_not_waited_for(
    others: list[Candidate], verdict: Verdict
) -> None:
    """Guards against a task that waits for a worker that takes no more work."""
    choice = decide(Demand(9.0, 1.0), candidate(ACCELERATED, leaving=True), *others)
    assert choice.verdict is verdict
    assert choice.worker in (None, LARGE)


def test_unread_list_proves_nothing() -> None:
    """Guards against tasks that are held because the list was not read yet."""
    choice = choose(Demand(500.0, 1.0), [], (), list)
    assert choice.verdict is Verdict.NEVER_HERE


def test_long_reasons_are_cut() -> None:
    """Guards against task rows that grow with the rack."""
    workers = [build_worker(number, cores=1.0) for number in range(40)]
    choice = decide(Demand(2.0, 1.0), *map(candidate, workers))
    assert "and 32 more" in choice.text
    assert len(choice.figures["rejected"]) == 8

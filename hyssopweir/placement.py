"""Choice of a worker for a task within a shard, with the reasons in plain words."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from enum import Enum
from types import MappingProxyType
from typing import Any, NamedTuple

from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker
from hyssopweir.interference_forecast import InterferenceForecast

MOST_ALTERNATIVES = 4
# Sums of fractions of cores and memory are compared with this tolerance.
TOLERANCE = 1e-6
NO_HARM: Mapping[str, InterferenceForecast] = MappingProxyType({})


class Demand(NamedTuple):
    """State what a task needs of a worker."""

    cores: float
    memory_gb: float
    accelerators: int = 0
    data_centre: str | None = None

    def __str__(self) -> str:
        parts = [f"{self.cores:g} cores", f"{self.memory_gb:g} GB of memory"]
        if self.accelerators:
            parts.append(f"{self.accelerators} accelerators")
        if self.data_centre is not None:
            parts.append(f"a place in {self.data_centre}")
        return ", ".join(parts[:-1]) + " and " + parts[-1]


class Candidate(NamedTuple):
    """Hold a worker with what the owner has not yet given away there."""

    worker: Worker
    free_cores: float
    free_memory_gb: float
    free_accelerators: int
    free_slots: int
    leaving: bool = False
    ready: bool = True
    failures: int = 0
    ejected: bool = False
    pressed: bool = False
    reserved_for: str = ""

    def without(self, demand: Demand) -> "Candidate":
        """Return the worker as it is when a run of this size has ended."""
        return self._replace(
            free_cores=self.free_cores + demand.cores,
            free_memory_gb=self.free_memory_gb + demand.memory_gb,
            free_accelerators=self.free_accelerators + demand.accelerators,
            free_slots=self.free_slots + 1,
        )


class PlacementOutcome(Enum):
    """Say what became of a placement."""

    PLACED = "placed"
    WAIT = "wait"
    NEVER_HERE = "never_here"
    NEVER = "never"


class Choice(NamedTuple):
    """Hold the chosen worker, or why there is none, in plain words with figures.

    ``is_held_back`` tells that a worker is kept free only because the effect of the
    task's kind on services is unknown.
    """

    verdict: PlacementOutcome
    worker: Worker | None
    text: str
    figures: dict[str, Any]
    is_held_back: bool = False


def demand_of(spec: JobSpec, memory_gb: float | None = None) -> Demand:
    """Return the declared size; a task row's ``memory_gb`` replaces the job's."""
    return Demand(
        spec["cores"],
        spec["memory_gb"] if memory_gb is None else memory_gb,
        spec.get("accelerators", 0),
        spec.get("data_centre"),
    )


def is_large_enough(demand: Demand, worker: Worker) -> bool:
    """Tell whether the worker could run the task if it were empty."""
    return (
        demand.data_centre in (None, worker.data_centre)
        and worker.cores + TOLERANCE >= demand.cores
        and worker.memory_gb + TOLERANCE >= demand.memory_gb
        and worker.accelerators >= demand.accelerators
        and worker.slots > 0
    )


def suits(
    demand: Demand, workers: Iterable[Worker], failed_on: Collection[str]
) -> bool:
    """Tell whether any of the workers may ever run the task."""
    return any(
        is_large_enough(demand, worker) and worker.worker_id not in failed_on
        for worker in workers
    )


def choose(
    demand: Demand,
    candidates: Sequence[Candidate],
    failed_on: Collection[str],
    fleet: Callable[[], Sequence[Worker]],
    harms: Mapping[str, InterferenceForecast] = NO_HARM,
) -> Choice:
    """Choose the worker of a shard that the task fills best and with least harm.

    ``fleet`` returns the workers of all shards. It is called only to decide between
    ``NEVER_HERE`` and ``NEVER``, since the copy of a large list takes longer than the
    choice. ``harms`` holds the predicted harm by worker.
    """
    avoids_ejected = _is_other_left(demand, candidates, failed_on)
    rejected = {
        candidate.worker.worker_id: why
        for candidate in candidates
        if (why := obstacle(demand, candidate, failed_on, avoids_ejected)) is not None
    }
    kept_free = {
        worker_id: harm.obstacle
        for worker_id, harm in harms.items()
        if harm.obstacle is not None and worker_id not in rejected
    }
    rejected |= kept_free
    fitting = [item for item in candidates if item.worker.worker_id not in rejected]
    if fitting:
        ranked = sorted(fitting, key=lambda c: _rank(demand, c, _score(harms, c)))
        return _placed(demand, ranked, rejected, harms)
    # A leaving worker takes no more work, so a task must not wait for it.
    staying = [item.worker for item in candidates if not item.leaving]
    if suits(demand, staying, failed_on):
        return _waiting(demand, rejected, bool(kept_free))
    return _impossible(demand, failed_on, fleet(), rejected)


def leaves_room(candidate: Candidate, demand: Demand, kept: Demand) -> bool:
    """Tell whether a worker has room for a task beside the room that is kept."""
    return (
        candidate.free_slots > 1
        and candidate.free_cores + TOLERANCE >= demand.cores + kept.cores
        and candidate.free_memory_gb + TOLERANCE >= demand.memory_gb + kept.memory_gb
        and candidate.free_accelerators >= demand.accelerators + kept.accelerators
    )


def _is_other_left(
    demand: Demand, candidates: Sequence[Candidate], failed_on: Collection[str]
) -> bool:
    """Tell whether a worker that is not ejected may run the task, now or later."""
    others = [c.worker for c in candidates if c.ready and not (c.ejected or c.leaving)]
    return suits(demand, others, failed_on)


def obstacle(
    demand: Demand,
    candidate: Candidate,
    failed_on: Collection[str],
    avoids_ejected: bool = True,
) -> str | None:
    """Return why the worker can't take the task now, None if it can."""
    worker = candidate.worker
    checks = (
        (not is_large_enough(demand, worker), "is too small or in the wrong place"),
        (worker.worker_id in failed_on, "failed this task before"),
        (candidate.leaving, "is leaving"),
        (not candidate.ready, "does not answer"),
        (
            candidate.ejected and avoids_ejected,
            "is ejected, because requests fail or are slow there",
        ),
        (candidate.free_slots <= 0, "has no free slot for tasks"),
        (
            candidate.reserved_for != "",
            f"is reserved for {candidate.reserved_for}, which has waited longer",
        ),
        (
            candidate.free_cores + TOLERANCE < demand.cores,
            f"has only {max(candidate.free_cores, 0):g} cores free",
        ),
        (
            candidate.free_memory_gb + TOLERANCE < demand.memory_gb,
            f"has only {max(candidate.free_memory_gb, 0):g} GB of memory free",
        ),
        (
            candidate.free_accelerators < demand.accelerators,
            f"has only {max(candidate.free_accelerators, 0)} accelerators free",
        ),
    )
    return next((why for holds, why in checks if holds), None)


def _score(harms: Mapping[str, InterferenceForecast], candidate: Candidate) -> float:
    harm = harms.get(candidate.worker.worker_id)
    return harm.score if harm is not None else 0.0


def _rank(
    demand: Demand, candidate: Candidate, harm: float = 0.0
) -> tuple[bool, int, int, float, str]:
    """Prefer no pressure and no failures, then little harm and a close fit."""
    worker = candidate.worker
    # The list may show a worker without a size, which the smallest tasks still fit.
    cores, memory_gb = max(worker.cores, TOLERANCE), max(worker.memory_gb, TOLERANCE)
    left_cores = (candidate.free_cores - demand.cores) / cores
    left_memory = (candidate.free_memory_gb - demand.memory_gb) / memory_gb
    return (
        candidate.pressed,
        candidate.failures,
        candidate.free_accelerators - demand.accelerators,
        round(left_cores + left_memory + harm, 9),
        worker.worker_id,
    )


def _placed(
    demand: Demand,
    ranked: list[Candidate],
    rejected: dict[str, str],
    harms: Mapping[str, InterferenceForecast],
) -> Choice:
    best = ranked[0]
    closest = min(ranked, key=lambda c: _rank(demand, c))
    why = "closest fit" if closest is best else "best by fit and predicted harm"
    text = (
        f"{best.worker.worker_id} was chosen: the task needs {demand}, and the worker "
        f"had {_free(best)} free, the {why}"
    )
    harm = harms.get(best.worker.worker_id)
    if harm is not None:
        text += f"; {harm.text()}"
    others = ranked[1 : 1 + MOST_ALTERNATIVES]
    if others:
        listed = "; ".join(f"{c.worker.worker_id} had {_free(c)} free" for c in others)
        text += f". It would also have fitted elsewhere: {listed}"
    figures = {
        "free": {c.worker.worker_id: _figures(c) for c in [best, *others]},
        "rejected": _shorten(rejected),
    }
    if harm is not None:
        figures["effects"] = harm.figures()
        figures["harm"] = {
            c.worker.worker_id: round(_score(harms, c), 3) for c in [best, *others]
        }
    return Choice(PlacementOutcome.PLACED, best.worker, text, figures)


def _waiting(demand: Demand, rejected: dict[str, str], is_held_back: bool) -> Choice:
    text = f"no worker of this rack can take the task now: {_listed(rejected)}"
    figures = {"needs": str(demand), "rejected": _shorten(rejected)}
    return Choice(PlacementOutcome.WAIT, None, text, figures, is_held_back)


def _impossible(
    demand: Demand,
    failed_on: Collection[str],
    fleet: Sequence[Worker],
    rejected: dict[str, str],
) -> Choice:
    figures: dict[str, Any] = {"needs": str(demand), "rejected": _shorten(rejected)}
    # An empty list means that it was not read yet, not that there are no workers.
    if not fleet or suits(demand, fleet, failed_on):
        text = f"no worker of this rack can ever run the task: {_listed(rejected)}"
        return Choice(PlacementOutcome.NEVER_HERE, None, text, figures)
    figures["largest"] = {
        "cores": max(worker.cores for worker in fleet),
        "memory_gb": max(worker.memory_gb for worker in fleet),
        "accelerators": max(worker.accelerators for worker in fleet),
    }
    text = f"no worker anywhere can run the task, which needs {demand}"
    if failed_on and suits(demand, fleet, ()):
        text = (
            "the task failed on every worker that is large enough: "
            f"{', '.join(sorted(failed_on))}"
        )
    return Choice(PlacementOutcome.NEVER, None, text, figures)


def _free(candidate: Candidate) -> str:
    text = f"{candidate.free_cores:g} cores and {candidate.free_memory_gb:g} GB"
    if candidate.free_accelerators:
        text += f" and {candidate.free_accelerators} accelerators"
    return text


def _figures(candidate: Candidate) -> dict[str, Any]:
    return {
        "cores": candidate.free_cores,
        "memory_gb": candidate.free_memory_gb,
        "accelerators": candidate.free_accelerators,
        "slots": candidate.free_slots,
        "failures": candidate.failures,
    }


def _shorten(rejected: dict[str, str]) -> dict[str, str]:
    return dict(sorted(rejected.items())[: 2 * MOST_ALTERNATIVES])


def _listed(rejected: dict[str, str]) -> str:
    if not rejected:
        return "the list shows no worker in it"
    short = _shorten(rejected)
    text = "; ".join(f"{worker_id} {why}" for worker_id, why in short.items())
    more = len(rejected) - len(short)
    return text + (f"; and {more} more" if more else "")

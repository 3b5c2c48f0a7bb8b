"""Choice of a worker for a task within a shard, with an explanation for users."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from enum import Enum
from types import MappingProxyType
from typing import Any, NamedTuple

from hyssopweir.contracts import JobSpec
from hyssopweir.fleet import Worker
from hyssopweir.interference_forecast import InterferenceForecast

MAX_ALTERNATIVES = 4
# Tolerates rounding errors in sums of fractional cores and memory.
TOLERANCE = 1e-6
NO_FORECASTS: Mapping[str, InterferenceForecast] = MappingProxyType({})


class Demand(NamedTuple):
    """Hold the resources and the data centre that a task requires."""

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
    """Hold a worker with the resources that its owner has not allocated."""

    worker: Worker
    free_cores: float
    free_memory_gb: float
    free_accelerators: int
    free_slots: int
    leaving: bool = False
    ready: bool = True
    failures: int = 0
    ejected: bool = False
    is_under_pressure: bool = False
    reserved_for: str = ""

    def after_release(self, demand: Demand) -> "Candidate":
        """Return the candidate after the release of a run with this demand."""
        return self._replace(
            free_cores=self.free_cores + demand.cores,
            free_memory_gb=self.free_memory_gb + demand.memory_gb,
            free_accelerators=self.free_accelerators + demand.accelerators,
            free_slots=self.free_slots + 1,
        )


class PlacementOutcome(Enum):
    """Enumerate the outcomes of a placement.

    ``NEVER_HERE`` means that no worker of this shard may ever run the task, but that
    one of another shard may.
    """

    PLACED = "placed"
    WAIT = "wait"
    NEVER_HERE = "never_here"
    NEVER = "never"


class Choice(NamedTuple):
    """Hold the chosen worker, or why there is none, with the explanation and figures.

    ``is_held_back`` is true if a worker that fits is kept free, because the
    interference of the task's kind with services is unknown.
    """

    verdict: PlacementOutcome
    worker: Worker | None
    text: str
    figures: dict[str, Any]
    is_held_back: bool = False


def demand_of(spec: JobSpec, memory_gb: float | None = None) -> Demand:
    """Return the declared demand; ``memory_gb`` of a task row overrides the job's."""
    return Demand(
        spec["cores"],
        spec["memory_gb"] if memory_gb is None else memory_gb,
        spec.get("accelerators", 0),
        spec.get("data_centre"),
    )


def is_large_enough(demand: Demand, worker: Worker) -> bool:
    """Return whether the worker could run the task if it were idle."""
    return (
        demand.data_centre in (None, worker.data_centre)
        and worker.cores + TOLERANCE >= demand.cores
        and worker.memory_gb + TOLERANCE >= demand.memory_gb
        and worker.accelerators >= demand.accelerators
        and worker.slots > 0
    )


def has_suitable_worker(
    demand: Demand, workers: Iterable[Worker], failed_on: Collection[str]
) -> bool:
    """Return whether any of the workers may ever run the task."""
    return any(
        is_large_enough(demand, worker) and worker.worker_id not in failed_on
        for worker in workers
    )


def choose(
    demand: Demand,
    candidates: Sequence[Candidate],
    failed_on: Collection[str],
    fleet: Callable[[], Sequence[Worker]],
    forecasts: Mapping[str, InterferenceForecast] = NO_FORECASTS,
) -> Choice:
    """Choose the worker with the best fit and the least predicted interference.

    ``fleet`` returns the workers of all shards. It is called only to decide between
    ``NEVER_HERE`` and ``NEVER``, because copying a large list takes longer than the
    choice. ``forecasts`` holds the predicted interference by worker.
    """
    excludes_ejected = _has_other_worker(demand, candidates, failed_on)
    rejected = {
        candidate.worker.worker_id: why
        for candidate in candidates
        if (why := rejection_reason(demand, candidate, failed_on, excludes_ejected))
        is not None
    }
    kept_free = {
        worker_id: forecast.obstacle
        for worker_id, forecast in forecasts.items()
        if forecast.obstacle is not None and worker_id not in rejected
    }
    rejected |= kept_free
    eligible = [item for item in candidates if item.worker.worker_id not in rejected]
    if eligible:
        ranked = sorted(
            eligible, key=lambda c: _rank(demand, c, _interference_score(forecasts, c))
        )
        return _build_placed(demand, ranked, rejected, forecasts)
    # A leaving worker accepts no more tasks, so a task must not wait for it.
    remaining = [item.worker for item in candidates if not item.leaving]
    if has_suitable_worker(demand, remaining, failed_on):
        return _build_waiting(demand, rejected, bool(kept_free))
    return _build_impossible(demand, failed_on, fleet(), rejected)


def fits_beside_reservation(
    candidate: Candidate, demand: Demand, reserved: Demand
) -> bool:
    """Return whether a task fits on a worker beside the reserved resources."""
    return (
        candidate.free_slots > 1
        and candidate.free_cores + TOLERANCE >= demand.cores + reserved.cores
        and candidate.free_memory_gb + TOLERANCE
        >= demand.memory_gb + reserved.memory_gb
        and candidate.free_accelerators >= demand.accelerators + reserved.accelerators
    )


def _has_other_worker(
    demand: Demand, candidates: Sequence[Candidate], failed_on: Collection[str]
) -> bool:
    """Return whether a worker that is not ejected may run the task, now or later."""
    others = [c.worker for c in candidates if c.ready and not (c.ejected or c.leaving)]
    return has_suitable_worker(demand, others, failed_on)


def rejection_reason(
    demand: Demand,
    candidate: Candidate,
    failed_on: Collection[str],
    excludes_ejected: bool = True,
) -> str | None:
    """Return why the worker can't run the task now, None if it can."""
    worker = candidate.worker
    checks = (
        (not is_large_enough(demand, worker), "is too small or in the wrong place"),
        (worker.worker_id in failed_on, "failed this task before"),
        (candidate.leaving, "is leaving"),
        (not candidate.ready, "does not answer"),
        (
            candidate.ejected and excludes_ejected,
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
    return next((why for applies, why in checks if applies), None)


def _interference_score(
    forecasts: Mapping[str, InterferenceForecast], candidate: Candidate
) -> float:
    forecast = forecasts.get(candidate.worker.worker_id)
    return forecast.score if forecast is not None else 0.0


def _rank(
    demand: Demand, candidate: Candidate, interference: float = 0.0
) -> tuple[bool, int, int, float, str]:
    """Sort by pressure, failures and spare accelerators, then interference and fit."""
    worker = candidate.worker
    # The instance list may report zero cores or memory for a worker, and a task
    # smaller than the tolerance still fits there.
    cores, memory_gb = max(worker.cores, TOLERANCE), max(worker.memory_gb, TOLERANCE)
    unused_cores = (candidate.free_cores - demand.cores) / cores
    unused_memory = (candidate.free_memory_gb - demand.memory_gb) / memory_gb
    return (
        candidate.is_under_pressure,
        candidate.failures,
        candidate.free_accelerators - demand.accelerators,
        round(unused_cores + unused_memory + interference, 9),
        worker.worker_id,
    )


def _build_placed(
    demand: Demand,
    ranked: list[Candidate],
    rejected: dict[str, str],
    forecasts: Mapping[str, InterferenceForecast],
) -> Choice:
    best = ranked[0]
    closest_fit = min(ranked, key=lambda c: _rank(demand, c))
    criterion = (
        "closest fit" if closest_fit is best else "best by fit and predicted harm"
    )
    text = (
        f"{best.worker.worker_id} was chosen: the task needs {demand}, and the worker "
        f"had {_format_free(best)} free, the {criterion}"
    )
    forecast = forecasts.get(best.worker.worker_id)
    if forecast is not None:
        text += f"; {forecast.text()}"
    alternatives = ranked[1 : 1 + MAX_ALTERNATIVES]
    if alternatives:
        listed = "; ".join(
            f"{c.worker.worker_id} had {_format_free(c)} free" for c in alternatives
        )
        text += f". It would also have fitted elsewhere: {listed}"
    figures = {
        "free": {c.worker.worker_id: _free_figures(c) for c in [best, *alternatives]},
        "rejected": _truncate(rejected),
    }
    if forecast is not None:
        figures["effects"] = forecast.figures()
        figures["harm"] = {
            c.worker.worker_id: round(_interference_score(forecasts, c), 3)
            for c in [best, *alternatives]
        }
    return Choice(PlacementOutcome.PLACED, best.worker, text, figures)


def _build_waiting(
    demand: Demand, rejected: dict[str, str], is_held_back: bool
) -> Choice:
    text = f"no worker of this rack can take the task now: {_describe(rejected)}"
    figures = {"needs": str(demand), "rejected": _truncate(rejected)}
    return Choice(PlacementOutcome.WAIT, None, text, figures, is_held_back)


def _build_impossible(
    demand: Demand,
    failed_on: Collection[str],
    fleet: Sequence[Worker],
    rejected: dict[str, str],
) -> Choice:
    figures: dict[str, Any] = {"needs": str(demand), "rejected": _truncate(rejected)}
    # An empty list means that it has not been read yet, not that no workers exist.
    if not fleet or has_suitable_worker(demand, fleet, failed_on):
        text = f"no worker of this rack can ever run the task: {_describe(rejected)}"
        return Choice(PlacementOutcome.NEVER_HERE, None, text, figures)
    figures["largest"] = {
        "cores": max(worker.cores for worker in fleet),
        "memory_gb": max(worker.memory_gb for worker in fleet),
        "accelerators": max(worker.accelerators for worker in fleet),
    }
    text = f"no worker anywhere can run the task, which needs {demand}"
    if failed_on and has_suitable_worker(demand, fleet, ()):
        text = (
            "the task failed on every worker that is large enough: "
            f"{', '.join(sorted(failed_on))}"
        )
    return Choice(PlacementOutcome.NEVER, None, text, figures)


def _format_free(candidate: Candidate) -> str:
    text = f"{candidate.free_cores:g} cores and {candidate.free_memory_gb:g} GB"
    if candidate.free_accelerators:
        text += f" and {candidate.free_accelerators} accelerators"
    return text


def _free_figures(candidate: Candidate) -> dict[str, Any]:
    return {
        "cores": candidate.free_cores,
        "memory_gb": candidate.free_memory_gb,
        "accelerators": candidate.free_accelerators,
        "slots": candidate.free_slots,
        "failures": candidate.failures,
    }


def _truncate(rejected: dict[str, str]) -> dict[str, str]:
    return dict(sorted(rejected.items())[: 2 * MAX_ALTERNATIVES])


def _describe(rejected: dict[str, str]) -> str:
    if not rejected:
        return "the list shows no worker in it"
    shown = _truncate(rejected)
    text = "; ".join(f"{worker_id} {why}" for worker_id, why in shown.items())
    omitted = len(rejected) - len(shown)
    return text + (f"; and {omitted} more" if omitted else "")

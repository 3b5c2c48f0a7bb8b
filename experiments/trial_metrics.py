"""Figures of the cells, their medians over the seeds, and the aims of the design."""

import statistics
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from experiments.trial import Cell, Outcomes, Served
from experiments.workloads import SERVICES

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
# Figures of each cell by name; a figure without a value, as for a service that answered
# nothing, is left out.
Figures = dict[str, float]
Results = Mapping[Cell, Figures]


class Aim(NamedTuple):
    user: str
    text: str
    aim: str
    measured: str
    reached: bool


def figures_of(outcomes: Outcomes) -> Figures:
    """Return the figures of one cell: latencies in ms, shares in percent."""
    figures: Figures = {}
    for service in SERVICES:
        answered = sorted(
            item.latency_ms
            for item in outcomes.served
            if item.service == service and item.outcome in ("ok", "late")
        )
        for name, share in QUANTILES.items() if answered else ():
            place = min(int(len(answered) * share), len(answered) - 1)
            figures[f"{service} {name}"] = answered[place]
    offered = max(len(outcomes.served), 1)
    for outcome in ("ok", "late", "refused", "failed"):
        count = sum(item.outcome == outcome for item in outcomes.served)
        figures[outcome] = 100 * count / offered
    free_ms = outcomes.slots_ms - outcomes.task_slots_ms
    figures["goodput"] = 100 * _useful_ms(outcomes) / free_ms
    ended = [item for item in outcomes.batch if item.what == "done"]
    evicted = [item for item in outcomes.batch if item.what == "stopped"]
    others = [x for x in outcomes.batch if x.what not in ("done", "stopped")]
    figures["batch"] = sum(item.work_ms for item in ended) / 1_000
    figures["evicted work"] = sum(item.work_ms for item in evicted) / 1_000
    figures["evictions"] = len(evicted)
    figures["other loss"] = sum(item.work_ms for item in others) / 1_000
    figures["violations"] = outcomes.violations
    return figures


def _useful_ms(outcomes: Outcomes) -> float:
    """Return the work of the answers that came in time and within the measurement."""

    def counts(item: Served) -> bool:
        done_ms = item.at_ms + item.latency_ms
        return item.outcome == "ok" and outcomes.from_ms <= done_ms < outcomes.until_ms

    return sum(item.work_ms for item in outcomes.all_served if counts(item))


def values_of(
    results: Results, user: str, scenario: str, variant: str, name: str
) -> list[float]:
    """Return a figure of one variant for each seed that has it."""
    wanted = (user, scenario, variant)
    cells = sorted(cell for cell in results if cell[:3] == wanted)
    return [results[cell][name] for cell in cells if name in results[cell]]


def spread(values: Sequence[float], digits: int = 0) -> str:
    """Return the median with the least and the most value."""
    if not values:
        return "-"
    figures = (statistics.median(values), min(values), max(values))
    texts = [f"{figure:,.{digits}f}" for figure in figures]
    if texts[1] == texts[2]:
        return texts[0]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def aims_of(results: Results, user: str) -> list[Aim]:
    """Return the aims of section 2.17 of the design, with what was measured."""

    def ratio(scenario: str, variant: str, name: str) -> list[float]:
        own = values_of(results, user, scenario, "product", name)
        others = values_of(results, user, scenario, variant, name)
        return [a / b for a, b in zip(own, others, strict=False) if b > 0]

    def at_most(limit: float) -> Callable[[float], bool]:
        return lambda value: value <= limit

    def at_least(limit: float) -> Callable[[float], bool]:
        return lambda value: value >= limit

    p99 = "price-check p99"
    best = "naive packing, which evicts nothing"
    rows = [
        ("p99 of price-check, busy, to naive", "at most 0.5", at_most(0.5))
        + (ratio("busy", "naive", p99),),
        ("p99 of price-check, busy, to alone", "at most 1.3", at_most(1.3))
        + (ratio("busy", "alone", p99),),
        (f"finished batch work, busy, to {best}", "at least 0.95", at_least(0.95))
        + (ratio("busy", "packing", "batch"),),
        ("evictions, busy, to naive", "at most 0.2", at_most(0.2))
        + (ratio("busy", "naive", "evictions"),),
        ("evictions, waves, to naive", "at most 0.2", at_most(0.2))
        + (ratio("waves", "naive", "evictions"),),
        ("goodput, overload, % of capacity", "at least 90", at_least(90))
        + (values_of(results, user, "overload", "product", "goodput"),),
    ]
    return [
        Aim(user, text, aim, spread(values, 2), holds(statistics.median(values)))
        for text, aim, holds, values in rows
        if values
    ]

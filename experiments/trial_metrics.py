"""Metrics of the trials, their medians over the seeds, and acceptance criteria."""

import statistics
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from experiments.trial import RequestRecord, Trial, TrialResult
from experiments.workloads import SERVICES

QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
# Metrics of one trial by name. A metric without a value, such as the latency of a
# service that answered nothing, is absent.
TrialMetrics = dict[str, float]
TrialMetricsByTrial = Mapping[Trial, TrialMetrics]


class AcceptanceCriterion(NamedTuple):
    user: str
    description: str
    threshold: str
    measured: str
    is_met: bool


def compute_metrics(result: TrialResult) -> TrialMetrics:
    """Return the metrics of one trial: latencies in ms, shares in percent."""
    metrics: TrialMetrics = {}
    for service in SERVICES:
        answered = sorted(
            item.latency_ms
            for item in result.requests
            if item.service == service and item.outcome in ("ok", "late")
        )
        for name, quantile in QUANTILES.items() if answered else ():
            index = min(int(len(answered) * quantile), len(answered) - 1)
            metrics[f"{service} {name}"] = answered[index]
    offered = max(len(result.requests), 1)
    for outcome in ("ok", "late", "refused", "failed"):
        count = sum(item.outcome == outcome for item in result.requests)
        metrics[outcome] = 100 * count / offered
    free_ms = result.slots_ms - result.task_slots_ms
    metrics["goodput"] = 100 * _useful_ms(result) / free_ms
    completed = [item for item in result.batch_events if item.outcome == "done"]
    evicted = [item for item in result.batch_events if item.outcome == "stopped"]
    other_losses = [
        x for x in result.batch_events if x.outcome not in ("done", "stopped")
    ]
    metrics["batch"] = sum(item.work_ms for item in completed) / 1_000
    metrics["evicted work"] = sum(item.work_ms for item in evicted) / 1_000
    metrics["evictions"] = len(evicted)
    metrics["other loss"] = sum(item.work_ms for item in other_losses) / 1_000
    metrics["violations"] = result.violations
    return metrics


def _useful_ms(result: TrialResult) -> float:
    """Return the work of requests answered in time and in the measured interval."""

    def is_useful(item: RequestRecord) -> bool:
        done_ms = item.at_ms + item.latency_ms
        return item.outcome == "ok" and result.start_ms <= done_ms < result.end_ms

    return sum(item.work_ms for item in result.all_requests if is_useful(item))


def select_values(
    results: TrialMetricsByTrial, user: str, scenario: str, variant: str, name: str
) -> list[float]:
    """Return a metric of one variant for each seed that has a value."""
    selected = (user, scenario, variant)
    trials = sorted(trial for trial in results if trial[:3] == selected)
    return [results[trial][name] for trial in trials if name in results[trial]]


def format_median_range(values: Sequence[float], digits: int = 0) -> str:
    """Format the median, followed by the minimum and the maximum in parentheses."""
    if not values:
        return "-"
    summary = (statistics.median(values), min(values), max(values))
    texts = [f"{number:,.{digits}f}" for number in summary]
    if texts[1] == texts[2]:
        return texts[0]
    return f"{texts[0]} ({texts[1]} to {texts[2]})"


def evaluate_criteria(
    results: TrialMetricsByTrial, user: str
) -> list[AcceptanceCriterion]:
    """Return the criteria of section 2.17 of the design with the measured values."""

    def ratio(scenario: str, variant: str, name: str) -> list[float]:
        product_values = select_values(results, user, scenario, "product", name)
        baseline_values = select_values(results, user, scenario, variant, name)
        return [
            a / b
            for a, b in zip(product_values, baseline_values, strict=False)
            if b > 0
        ]

    def at_most(limit: float) -> Callable[[float], bool]:
        return lambda value: value <= limit

    def at_least(limit: float) -> Callable[[float], bool]:
        return lambda value: value >= limit

    p99 = "price-check p99"
    packing = "naive packing, which evicts nothing"
    criteria = [
        ("p99 of price-check, busy, to naive", "at most 0.5", at_most(0.5))
        + (ratio("busy", "naive", p99),),
        ("p99 of price-check, busy, to alone", "at most 1.3", at_most(1.3))
        + (ratio("busy", "alone", p99),),
        (f"finished batch work, busy, to {packing}", "at least 0.95", at_least(0.95))
        + (ratio("busy", "packing", "batch"),),
        ("evictions, busy, to naive", "at most 0.2", at_most(0.2))
        + (ratio("busy", "naive", "evictions"),),
        ("evictions, waves, to naive", "at most 0.2", at_most(0.2))
        + (ratio("waves", "naive", "evictions"),),
        ("goodput, overload, % of capacity", "at least 90", at_least(90))
        + (select_values(results, user, "overload", "product", "goodput"),),
    ]
    return [
        AcceptanceCriterion(
            user,
            description,
            threshold,
            format_median_range(values, 2),
            is_met(statistics.median(values)),
        )
        for description, threshold, is_met, values in criteria
        if values
    ]

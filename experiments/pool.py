"""Run trials in separate processes, with the same metrics each time."""

import gc
import logging
import multiprocessing
import os
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from typing import NamedTuple

import click

from experiments.trial import MEASURED_MS, VARIANTS, WARM_UP_MS, Trial, run_trial
from experiments.trial_metrics import TrialMetrics, compute_metrics
from experiments.workloads import SCENARIOS, USERS
from hyssopweir.clock import Millis


class TrialDurations(NamedTuple):
    """Warm-up and measured interval of a trial, in virtual time."""

    warm_up_ms: Millis = WARM_UP_MS
    measured_ms: Millis = MEASURED_MS


def measure_trial(trial: Trial, durations: TrialDurations) -> TrialMetrics:
    """Run one trial in this process and return its metrics."""
    return compute_metrics(run_trial(trial, *durations))


def select_trials(
    user: str | None, scenario: str | None, variant: str | None, seeds: Sequence[int]
) -> list[Trial]:
    """Return the selected trials, with the scenarios that take longest first."""
    trials = [
        Trial(*combination, seed)
        for seed in seeds
        for combination in _combinations()
        if all(
            count_startable in (None, name)
            for count_startable, name in zip(
                (user, scenario, variant), combination, strict=True
            )
        )
    ]
    slow_scenarios = ("overload", "busy")
    return sorted(
        trials, key=lambda trial: (trial.scenario not in slow_scenarios, trial.seed)
    )


def _combinations() -> Iterator[tuple[str, str, str]]:
    for user in USERS:
        for scenario in SCENARIOS:
            for variant in VARIANTS:
                # Without evictions, first fit finishes the most work; a criterion of
                # the busy scenario compares with it.
                if variant != "packing" or scenario == "busy":
                    yield user, scenario, variant


def _initialize_process() -> None:
    # The log lines of the injected failures would hide the output of the command.
    logging.disable(logging.CRITICAL)
    # Most objects live until the trial ends, so frequent garbage collection costs time.
    gc.set_threshold(100_000, 50, 100)


def run_trials(
    trials: Sequence[Trial],
    processes: int,
    durations: TrialDurations = TrialDurations(),
) -> dict[Trial, TrialMetrics]:
    """Run all trials in processes with a fixed hash seed, for a stable set order."""
    os.environ["PYTHONHASHSEED"] = "0"
    context = multiprocessing.get_context("spawn")
    results: dict[Trial, TrialMetrics] = {}
    with ProcessPoolExecutor(processes, context, _initialize_process) as pool:
        futures = {
            pool.submit(measure_trial, trial, durations): trial for trial in trials
        }
        for future in as_completed(futures):
            results[futures[future]] = future.result()
            click.echo(f"\r{len(results)} of {len(trials)} trials", err=True, nl=False)
    click.echo(err=True)
    return results

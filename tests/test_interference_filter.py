"""Estimation of filler interference while the load of co-located tasks varies."""

import math
from random import Random

import pytest

from hyssopweir.interference_filter import (
    INITIAL_COEFFICIENT,
    JOB_EXPIRY_MS,
    InterferenceFilter,
)

TRUE_COEFFICIENTS = {"a": 0.1, "b": 0.2, "c": 2.0, "d": 0.1, "e": 3.0, "f": 1.5}
JOBS = ("j1", "j2", "j3")
REPORT_MS = 700
NOISE = 0.05
LOAD_AMPLITUDE = 0.2


def true_load(job: str, at_ms: int) -> float:
    phase = JOBS.index(job) * 2.0
    return 0.45 + LOAD_AMPLITUDE * math.sin(2 * math.pi * at_ms / 14_000 + phase)


def report_tasks(image_filter: InterferenceFilter, end_ms: int, seed: int) -> None:
    """Report tasks of all jobs on six workers with randomly changing fillers."""
    random = Random(seed)
    worker_shares: list[dict[str, float]] = [{} for _ in range(6)]
    for at_ms in range(0, end_ms, REPORT_MS):
        for shares in worker_shares:
            if random.random() < 0.4:
                shares.clear()
                shares.update(dict.fromkeys(random.sample("abcdef", 2), 0.1))
            for job in JOBS:
                utilization = true_load(job, at_ms) + random.gauss(0.0, NOISE)
                utilization += sum(
                    TRUE_COEFFICIENTS[image] * share for image, share in shares.items()
                )
                image_filter.observe(job, min(utilization, 0.98), shares, True, at_ms)


@pytest.mark.parametrize("seed", range(5))
def test_harmful_and_harmless_images_are_separated(seed: int) -> None:
    """Guards against harmless fillers that are kept out because others interfere."""
    image_filter = InterferenceFilter()
    report_tasks(image_filter, 10_000, seed)
    for image, coefficient in TRUE_COEFFICIENTS.items():
        assert (image_filter.coefficient(image) > INITIAL_COEFFICIENT) is (
            coefficient > INITIAL_COEFFICIENT
        ), image


@pytest.mark.parametrize("seed", range(5))
def test_own_load_of_jobs_is_tracked(seed: int) -> None:
    """Guards against variations of the load that are attributed to interference."""
    image_filter = InterferenceFilter()
    report_tasks(image_filter, 20_000, seed)
    for job in JOBS:
        assert (
            abs(image_filter.baseline_load(job) - true_load(job, 20_000 - REPORT_MS))
            < LOAD_AMPLITUDE
        )


def test_loads_of_ended_jobs_are_dropped() -> None:
    """Guards against memory use that grows with the number of jobs that ever ran."""
    image_filter = InterferenceFilter()
    image_filter.observe("j1", 0.4, {}, True, 0)
    for at_ms in range(0, JOB_EXPIRY_MS + 3_000, 500):
        image_filter.observe("j2", 0.4, {}, True, at_ms)
    assert set(image_filter.loads) == {"j2"}

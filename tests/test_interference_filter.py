"""Harm of fillers is learned although the load of the tasks beside them swings."""

import math
from random import Random

import pytest

from hyssopweir.interference_filter import FORGET_MS, UNKNOWN_HARM, InterferenceFilter

TRUE_HARM = {"a": 0.1, "b": 0.2, "c": 2.0, "d": 0.1, "e": 3.0, "f": 1.5}
JOBS = ("j1", "j2", "j3")
REPORT_MS = 700
NOISE = 0.05
SWING = 0.2


def load_of(job: str, at_ms: int) -> float:
    phase = JOBS.index(job) * 2.0
    return 0.45 + SWING * math.sin(2 * math.pi * at_ms / 14_000 + phase)


def observe(known: InterferenceFilter, until_ms: int, seed: int) -> None:
    """Report tasks of all jobs on six workers, whose fillers change now and then."""
    random = Random(seed)
    mixes: list[dict[str, float]] = [{} for _ in range(6)]
    for at_ms in range(0, until_ms, REPORT_MS):
        for mix in mixes:
            if random.random() < 0.4:
                mix.clear()
                mix.update(dict.fromkeys(random.sample("abcdef", 2), 0.1))
            for job in JOBS:
                use = load_of(job, at_ms) + random.gauss(0.0, NOISE)
                use += sum(TRUE_HARM[image] * share for image, share in mix.items())
                known.note(job, min(use, 0.98), mix, True, at_ms)


@pytest.mark.parametrize("seed", range(5))
def test_harmful_pairs_are_told_from_harmless_ones(seed: int) -> None:
    """Answers fillers of which a few images harm: the others fill all the room."""
    known = InterferenceFilter()
    observe(known, 10_000, seed)
    for image, harm in TRUE_HARM.items():
        assert (known.of(image) > UNKNOWN_HARM) is (harm > UNKNOWN_HARM), image


@pytest.mark.parametrize("seed", range(5))
def test_load_of_the_tasks_themselves_is_followed(seed: int) -> None:
    """Guards against a swing of the load that is taken for harm."""
    known = InterferenceFilter()
    observe(known, 20_000, seed)
    for job in JOBS:
        assert abs(known.load_of(job) - load_of(job, 20_000 - REPORT_MS)) < SWING


def test_loads_of_ended_jobs_are_forgotten() -> None:
    """Guards against memory that grows with the number of jobs."""
    known = InterferenceFilter()
    known.note("j1", 0.4, {}, True, 0)
    for at_ms in range(0, FORGET_MS + 3_000, 500):
        known.note("j2", 0.4, {}, True, at_ms)
    assert set(known.loads) == {"j2"}

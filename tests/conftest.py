"""Options of the long run with random faults; see ``make soak``."""

import pytest

# The ordinary run stays below 40 s; each seed takes about 4 s.
ORDINARY_SEEDS = range(1, 8)
ORDINARY_FAULTS_MS = 15_000
SOAK_FAULTS_MS = 40_000


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--soak-seed", type=int, default=1, help="first seed")
    parser.addoption("--soak-runs", type=int, default=0, help="number of seeds")
    # Longer than a worker remembers ended requests; an hour takes over a minute.
    parser.addoption("--cut-minutes", type=int, default=12, help="length of a cut")


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Choose the seeds: a few short runs, or the long runs that are asked for."""
    if "scenario_seed" not in metafunc.fixturenames:
        return
    first = metafunc.config.getoption("--soak-seed")
    runs = metafunc.config.getoption("--soak-runs")
    seeds, faults_ms = ORDINARY_SEEDS, ORDINARY_FAULTS_MS
    if runs:
        seeds, faults_ms = range(first, first + runs), SOAK_FAULTS_MS
    metafunc.parametrize(
        ("scenario_seed", "faults_ms"), [(seed, faults_ms) for seed in seeds]
    )

"""Pytest options for the soak run with random faults; see ``make soak-virtual``."""

import pytest

# Each seed takes about 4 s, so the default run stays below 40 s.
DEFAULT_SEEDS = range(1, 8)
DEFAULT_FAULTS_MS = 15_000
SOAK_FAULTS_MS = 40_000


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--soak-seed", type=int, default=1, help="first seed of the soak run"
    )
    parser.addoption(
        "--soak-runs", type=int, default=0, help="number of seeds of the soak run"
    )
    parser.addoption(
        "--fuzz-seed", type=int, default=1, help="seed of the inputs of parsers"
    )
    parser.addoption(
        "--fuzz-inputs", type=int, default=300, help="random inputs for each parser"
    )
    # The default exceeds the time for which a worker remembers finished requests; a
    # partition of an hour takes over a minute of real time.
    parser.addoption(
        "--cut-minutes", type=int, default=12, help="length of a network partition"
    )


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    """Parametrize with the default seeds, or with the seeds of a soak run."""
    if "scenario_seed" not in metafunc.fixturenames:
        return
    first = metafunc.config.getoption("--soak-seed")
    runs = metafunc.config.getoption("--soak-runs")
    seeds, faults_ms = DEFAULT_SEEDS, DEFAULT_FAULTS_MS
    if runs:
        seeds, faults_ms = range(first, first + runs), SOAK_FAULTS_MS
    metafunc.parametrize(
        ("scenario_seed", "faults_ms"), [(seed, faults_ms) for seed in seeds]
    )


@pytest.fixture
def fuzz_seed(request: pytest.FixtureRequest) -> int:
    return int(request.config.getoption("--fuzz-seed"))


@pytest.fixture
def fuzz_inputs(request: pytest.FixtureRequest) -> int:
    return int(request.config.getoption("--fuzz-inputs"))

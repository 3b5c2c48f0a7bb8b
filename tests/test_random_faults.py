"""Guarantees P1 to P9 of complete instances under random load and faults.

``make soak-virtual SEED=… RUNS=…`` runs other seeds for longer. A failure is
reproducible with its seed.
"""

from hyssopweir.clock import Millis
from tests.scenario import run_seed


def test_guarantees_hold_under_random_faults(
    scenario_seed: int, faults_ms: Millis
) -> None:
    result = run_seed(scenario_seed, faults_ms)
    text = "\n".join([*result.problems[:20], "faults:", *result.history])
    assert not result.problems, f"seed {scenario_seed}\n{text}"


def test_the_same_seed_gives_the_same_run() -> None:
    """Guards against a nondeterministic run, whose failures can't be reproduced."""
    first, second = run_seed(3, 2_000), run_seed(3, 2_000)
    assert first.trace == second.trace

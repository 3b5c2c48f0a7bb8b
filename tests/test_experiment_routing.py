"""The experiment on routing and ejection within a shard."""

import pytest

from experiments import routing
from experiments.routing import CHOICES, EJECTIONS, SCENARIOS, Simulation


@pytest.mark.parametrize("ejection", EJECTIONS)
@pytest.mark.parametrize("choice", CHOICES)
def test_variants_get_the_same_workload_and_repeat(
    choice: str, ejection: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against figures that compare different workloads or can't be repeated."""
    monkeypatch.setattr(routing, "FAULT_FROM_MS", 300)
    monkeypatch.setattr(routing, "RUN_MS", 600)
    outcomes = []
    for name in (choice, choice, "random"):
        scenario = SCENARIOS[routing.ALL_FAULTS]
        simulation = Simulation(scenario, CHOICES[name], ejection, 1)
        figures = simulation.run()
        arrivals = simulation._arrivals.getstate()
        outcomes.append((figures, arrivals))
    assert outcomes[0] == outcomes[1]
    assert outcomes[0][1] == outcomes[2][1]
    assert figures.p50_ms > 0

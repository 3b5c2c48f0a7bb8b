"""Tests of the simulation that compares routing and ejection policies in a shard."""

import pytest

from experiments import routing
from experiments.routing import (
    EJECTION_POLICIES,
    ROUTING_POLICIES,
    SCENARIOS,
    Simulation,
)


@pytest.mark.parametrize("ejection", EJECTION_POLICIES)
@pytest.mark.parametrize("choice", ROUTING_POLICIES)
def test_policies_get_the_same_workload_and_are_reproducible(
    choice: str, ejection: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against results from different workloads or that aren't reproducible."""
    monkeypatch.setattr(routing, "FAULT_START_MS", 300)
    monkeypatch.setattr(routing, "SIMULATION_MS", 600)
    results = []
    for name in (choice, choice, "random"):
        scenario = SCENARIOS[routing.ALL_FAULTS]
        simulation = Simulation(scenario, ROUTING_POLICIES[name], ejection, 1)
        metrics = simulation.run()
        arrival_state = simulation._arrival_rng.getstate()
        results.append((metrics, arrival_state))
    assert results[0] == results[1]
    assert results[0][1] == results[2][1]
    assert metrics.p50_ms > 0

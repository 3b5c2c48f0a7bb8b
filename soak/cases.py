"""Runs that broke a promise once, each with its cause."""

from typing import NamedTuple

from soak.runs import RunPlan


class Case(NamedTuple):
    """Run that broke a promise once."""

    plan: RunPlan
    cause: str


REFUSAL = "a refused connection was taken as the end of the worker's process"
MISROUTE = "a reply 421 of another worker was taken as the end of the process"

CASES = (
    Case(RunPlan(1, faults_s=15, kinds=("refuse", "silence", "pause")), REFUSAL),
    Case(RunPlan(2, faults_s=15, kinds=("misroute", "silence", "pause")), MISROUTE),
    Case(RunPlan(3), REFUSAL),
)

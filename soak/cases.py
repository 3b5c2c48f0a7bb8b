"""Runs that broke a promise once, each with its cause."""

from typing import NamedTuple

from soak.faults import DEFAULT_KINDS, SLOW, STARVATION
from soak.runs import RunPlan


class Case(NamedTuple):
    """Run that broke a promise once."""

    plan: RunPlan
    cause: str


# All kinds at the time of the first and later cases; a plan depends on the list.
LATER_KINDS = tuple(kind for kind in DEFAULT_KINDS if kind != "evacuate")
FIRST_KINDS = tuple(kind for kind in LATER_KINDS if kind != "isolate")
REFUSAL = "a refused connection was taken as the end of the worker's process"
MISROUTE = "a reply 421 of another worker was taken as the end of the process"
BOTH = f"{REFUSAL}, or {MISROUTE}"
ADOPTED_END = (
    "a successor measured the duration of an adopted run from its own adoption,"
    " so that all other runs of the step were moved as lagging, again and again"
)
LATE_KILL = (
    "the last lease was counted as over at its end, without a margin for a worker that"
    " ends the runs late"
)
UNHEARD_END = (
    "replies that came later than the timeout of a renewal were discarded with the ends"
    " that they listed"
)
LATE_ORDER = "the proxy forgot that it had held up an order, once its sender was gone"

CASES = (
    Case(RunPlan(1, faults_s=15, kinds=("refuse", "silence", "pause")), REFUSAL),
    Case(RunPlan(2, faults_s=15, kinds=("misroute", "silence", "pause")), MISROUTE),
    Case(RunPlan(3, kinds=FIRST_KINDS), REFUSAL),
    Case(RunPlan(1, "gastabud-offert", load=0.5, gap_s=0.5, kinds=FIRST_KINDS), BOTH),
    Case(RunPlan(1, "karribank-lw", load=0.5, gap_s=0.5, kinds=FIRST_KINDS), BOTH),
    Case(RunPlan(102, kinds=FIRST_KINDS), ADOPTED_END),
    Case(RunPlan(104, kinds=LATER_KINDS), LATE_ORDER),
    Case(RunPlan(116, kinds=LATER_KINDS), ADOPTED_END),
    Case(
        RunPlan(17, "karribank-lw", load=0.5, gap_s=0.5, kinds=LATER_KINDS), ADOPTED_END
    ),
    Case(
        RunPlan(5920, "karribank-lw", load=0.6, gap_s=0.35, kinds=(STARVATION,)),
        LATE_KILL,
    ),
    Case(
        RunPlan(5951, "karribank-lw-long", load=1.3, gap_s=0.35, kinds=(STARVATION,)),
        LATE_KILL,
    ),
    Case(
        RunPlan(5960, "karribank-lw-long", gap_s=0.4, kinds=(SLOW,)),
        f"{UNHEARD_END}; {LATE_KILL}",
    ),
)

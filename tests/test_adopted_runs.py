"""Runs that a new owner adopts."""

import json

from hyssopweir.stragglers import MIN_ELAPSED_MS, compare_durations
from hyssopweir.task_state import RunOutcome, RunPhase, TaskRef
from hyssopweir.workflow_progress import WorkflowProgress
from tests.cell_simulation import build_step, build_workflow

TASKS = 4


def test_adopted_runs_do_not_shorten_the_typical_duration_of_their_step() -> None:
    """Guards against a step whose runs are moved without end after a takeover."""
    workflow = build_workflow("j1", build_step(TASKS, estimated_ms=3_000))
    former, adopted = WorkflowProgress(workflow), WorkflowProgress(workflow)
    former.open_due_occurrences(0)
    refs = [TaskRef("j1", 0, 0, number) for number in range(TASKS)]
    for ref in refs:
        former.create_run(ref, "w0", 1, 0)
    adopted.restore(json.loads(former.encode("1")), 5_000)
    runs = list(adopted.runs())
    for run in runs[1:]:
        # Nearly done when it was adopted.
        run.phase, run.percent = RunPhase.RUNNING, 95
        run.reported_ms = 5_000 + MIN_ELAPSED_MS
    for run in runs[2:]:
        adopted.end_run(run.ref, RunOutcome.DONE, "", 5_100)
    adopted.end_run(runs[0].ref, RunOutcome.LAPSED, "", 5_100)
    restarted = adopted.create_run(refs[0], "w1", 1, 5_100)
    restarted.phase, restarted.percent = RunPhase.RUNNING, 50
    restarted.reported_ms = 5_100 + 1_500
    (comparison,) = compare_durations(adopted)
    assert comparison.run is restarted
    assert comparison.typical_ms >= 3_000

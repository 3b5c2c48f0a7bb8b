"""Short seeded run of real processes with faults from outside; see ``make soak``."""

import os
from pathlib import Path

import pytest

from soak.reports import write_report
from soak.runs import RunPlan, RunResult, play
from tests.ports import free_ports

SHORT_RUN = RunPlan(seed=3, faults_s=12.0)


@pytest.fixture(scope="module")
def short_run() -> RunResult:
    return play(SHORT_RUN, free_ports)


def test_promises_hold_in_a_short_run(short_run: RunResult, tmp_path: Path) -> None:
    path = write_report(short_run, tmp_path)
    lines = [short_run.summary(), short_run.plan.command(), f"record {path}"]
    lines += [f"{breach.rule}: {breach.text}" for breach in short_run.breaches[:10]]
    assert not short_run.breaches, "\n".join(lines)


def test_short_run_has_load_and_faults(short_run: RunResult) -> None:
    """Guards against a soak that passes because nothing happens in it."""
    names = {type(event).__name__ for event in short_run.events}
    assert {"RunStarted", "RunEnded", "EndAcknowledged", "Disturbance"} <= names
    senders = {run.sender for run in short_run.events if hasattr(run, "is_late")}
    assert senders - {""} <= set(short_run.logs)
    assert senders - {""}


def test_no_process_is_left_after_a_run(short_run: RunResult) -> None:
    children = Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
    commands = [Path(f"/proc/{child}/cmdline").read_bytes() for child in children]
    assert not any(b"hyssopweir.platform" in command for command in commands)

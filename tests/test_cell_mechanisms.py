"""The random runs of a cell find the fault when one of its mechanisms is taken out."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from hyssopweir.agent_link import AgentLink
from hyssopweir.agents import CommandResult
from hyssopweir.run_commands import RunCommands
from hyssopweir.run_reports import RunReports
from hyssopweir.workflow_progress import RunPhase, WorkflowProgress
from tests.test_cell import play_random

MOST_SEEDS = 150


def acknowledge_before_storing(patch: pytest.MonkeyPatch) -> None:
    """Acknowledge ends whose record may be lost with the owner."""
    take = RunReports.take

    def take_at_once(self: RunReports, *args: Any) -> Any:
        if take(self, *args) is None:
            return None
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(None)
        return fut

    patch.setattr(RunReports, "take", take_at_once)


def order_before_storing(patch: pytest.MonkeyPatch) -> None:
    """Order runs that no successor knows of."""

    def start_at_once(self: RunCommands, runs: Any) -> None:
        self._state.commits.stored()
        for run, link in runs:
            self._tasks.spawn(self._start(run, link))

    patch.setattr(RunCommands, "start_when_stored", start_at_once)


def forget_unanswered_starts(patch: pytest.MonkeyPatch) -> None:
    """Start a task again although an unanswered start may still be carried out."""
    start = AgentLink.start

    async def start_or_forget(self: AgentLink, *args: Any) -> CommandResult:
        verdict = await start(self, *args)
        return CommandResult.NOT_SENT if verdict is CommandResult.UNKNOWN else verdict

    patch.setattr(AgentLink, "start", start_or_forget)


def assume_leases_expired(patch: pytest.MonkeyPatch) -> None:
    """Take a silent worker for one whose leases have ended."""
    patch.setattr(AgentLink, "has_lapsed", lambda self: True)


def ignore_adopted_runs(patch: pytest.MonkeyPatch) -> None:
    """Take workers for empty after a takeover."""

    def admit(self: RunReports, link: AgentLink) -> None:
        link.load.is_confirmed = True
        self._state.wake.set()

    patch.setattr(RunReports, "_admit", admit)
    patch.setattr(RunReports, "_stop_unknown", lambda self, link, report: None)


def ignore_step_dependencies(patch: pytest.MonkeyPatch) -> None:
    """Open all steps of a job at once."""
    patch.setattr(WorkflowProgress, "is_open_step", lambda self, key: True)


def release_stopped_runs_at_once(patch: pytest.MonkeyPatch) -> None:
    """Take a run for over as soon as its stop is sent."""
    stop = RunCommands.stop

    def stop_and_free(self: RunCommands, run: Any, link: AgentLink, *args: Any) -> None:
        stop(self, run, link, *args)
        if run.phase is not RunPhase.OVER:
            self.void(run, link, "stop was sent")

    patch.setattr(RunCommands, "stop", stop_and_free)


Mechanism = Callable[[pytest.MonkeyPatch], None]
MECHANISMS: list[Mechanism] = [
    acknowledge_before_storing,
    order_before_storing,
    forget_unanswered_starts,
    assume_leases_expired,
    ignore_adopted_runs,
    ignore_step_dependencies,
    release_stopped_runs_at_once,
]


@pytest.mark.parametrize("take_out", MECHANISMS, ids=lambda fn: fn.__name__)
def test_random_runs_find_a_missing_mechanism(
    take_out: Mechanism, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against random runs that pass whatever the code does."""
    take_out(monkeypatch)
    for seed in range(MOST_SEEDS):
        world, unfinished = play_random(seed)
        if world.work.breaches or unfinished:
            return
    pytest.fail(f"{MOST_SEEDS} seeds found nothing")

"""Stateful tests of the task life cycle, from the accepted job to the acknowledged end.

Hypothesis generates jobs, cancellations, message losses, late and repeated calls,
crashes, partitions and power loss in virtual time, and shrinks failures. The code under
test is that of the product.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hyssopweir.workflow_progress import WorkflowState
from tests.cell_simulation import CellSimulation, build_step, build_workflow
from tests.test_cell_mechanisms import (
    Mechanism,
    assume_leases_expired,
    ignore_adopted_runs,
    ignore_step_dependencies,
    release_stopped_runs_at_once,
)
from tests.virtual_time import VirtualLoop

MOST_JOBS = 12
INSTANCES = 3
WORKERS = 3
# Longer than any lease, any delay of a command and any takeover.
HEAL_MS = 20_000
FULL_SETTINGS = settings(
    max_examples=30,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# The mutation tests only need a failure, so it is not shrunk. Which examples find one
# changes with every timer of the code: 30 were not enough for the third mutation.
MUTATION_SETTINGS = settings(FULL_SETTINGS, max_examples=100, phases=[Phase.generate])
# The other mutations of ``test_cell_mechanisms`` only fail after a crash between two
# messages: its seeded runs detect them, 30 examples do not.
DETECTED_MUTATIONS: list[Mechanism] = [
    assume_leases_expired,
    ignore_adopted_runs,
    release_stopped_runs_at_once,
    ignore_step_dependencies,
]

instances = st.integers(0, INSTANCES - 1)
workers = st.integers(0, WORKERS - 1)
pauses = st.sampled_from([5, 30, 200, 900])
troubles = st.sampled_from([100, 900, 5_000])


class TaskLife(RuleBasedStateMachine):
    """Play one cell, step by step."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.jobs: dict[str, bool] = {}
        self.cancelled: set[str] = set()

    def play(self, coro: Awaitable[Any]) -> Any:
        async def run() -> Any:
            return await coro

        return self.loop.run_until_complete(run())

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        async def build() -> CellSimulation:
            world = CellSimulation(WORKERS, INSTANCES, seed)
            await world.sleep_ms(500)
            return world

        self.world = self.play(build())

    @precondition(lambda self: len(self.jobs) < MOST_JOBS)
    @rule(
        instance=instances,
        tasks=st.integers(1, 6),
        ms=st.sampled_from([50, 700]),
        then_ms=pauses,
    )
    def submit(self, instance: int, tasks: int, ms: int, then_ms: int) -> None:
        job = f"j{len(self.jobs)}"
        first = build_step(tasks, estimated_ms=ms)
        workflow = build_workflow(job, first, build_step(2, after=(0,)))
        self.jobs[job] = self.play(self.world.submit(workflow, instance))
        self.play(self.world.sleep_ms(then_ms))

    @precondition(lambda self: self.jobs)
    @rule(instance=instances)
    def submit_again(self, instance: int) -> None:
        job = next(reversed(self.jobs))
        steps = self.world.work.steps[job]
        workflow = build_workflow(job, *steps)
        self.jobs[job] |= self.play(self.world.submit(workflow, instance))

    @precondition(lambda self: self.jobs)
    @rule(instance=instances)
    def cancel(self, instance: int) -> None:
        job = next(reversed(self.jobs))
        desk = self.world.instances[instance].api
        if self.play(desk.cancel(job, 3_000)).is_ok():
            self.cancelled.add(job)
        else:
            # It may still take effect.
            self.jobs[job] = False

    @rule(instance=instances)
    def restart_instance(self, instance: int) -> None:
        async def restart() -> None:
            await self.world.instances[instance].crash()
            self.world.instances[instance].start()

        self.play(restart())

    @rule(down_ms=pauses)
    def lose_power(self, down_ms: int) -> None:
        if not any(self.jobs.values()):
            return

        async def lose() -> None:
            for instance in self.world.instances:
                await instance.crash()
            await self.world.sleep_ms(down_ms)
            for instance in self.world.instances:
                instance.start()

        self.play(lose())

    @rule(instance=instances, for_ms=troubles)
    def cut_instance(self, instance: int, for_ms: int) -> None:
        cut = self.world.instances[instance]
        cut.set_cut(True)
        self.later(for_ms, cut.set_cut, False)

    @rule(instance=instances, for_ms=troubles, late=st.booleans())
    def lose_replies(self, instance: int, for_ms: int, late: bool) -> None:
        faults = self.world.instances[instance].faults
        faults.lost_share, faults.late_ms = 0.5, 6_000 if late else 0
        self.later(for_ms, setattr, faults, "lost_share", 0.0)

    @rule()
    def forget_history(self) -> None:
        self.world.rows.forget_history()

    @rule(worker=workers, for_ms=troubles)
    def delay_orders(self, worker: int, for_ms: int) -> None:
        fake = self.world.workers[f"w{worker}"]
        fake.late_share = 0.5
        self.later(for_ms, setattr, fake, "late_share", 0.0)

    @rule(worker=workers, for_ms=troubles)
    def cut_worker(self, worker: int, for_ms: int) -> None:
        fake = self.world.workers[f"w{worker}"]
        fake.is_cut = True
        self.later(for_ms, setattr, fake, "is_cut", False)

    @rule(worker=workers)
    def restart_worker(self, worker: int) -> None:
        self.world.workers[f"w{worker}"].restart()

    @rule(delay_ms=pauses)
    def wait(self, delay_ms: int) -> None:
        self.play(self.world.sleep_ms(delay_ms))

    def later(self, delay_ms: int, call: Any, *args: Any) -> None:
        """End a trouble while others go on."""
        self.loop.call_later(delay_ms / 1_000, call, *args)

    @invariant()
    def nothing_runs_twice(self) -> None:
        if hasattr(self, "world"):
            assert self.world.work.breaches == []

    def teardown(self) -> None:
        try:
            if hasattr(self, "world"):
                self._heal()
        finally:
            left = asyncio.all_tasks(self.loop)
            for task in left:
                task.cancel()
            self.loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            asyncio.set_event_loop(None)
            self.loop.close()

    def _heal(self) -> None:
        """End all troubles; every accepted job is then done or cancelled."""
        for instance in self.world.instances:
            instance.set_cut(False)
            instance.faults.lost_share = 0.0
        for worker in self.world.workers.values():
            worker.is_cut, worker.late_share = False, 0.0
        self.play(self.world.sleep_ms(HEAL_MS))
        assert self.world.work.breaches == []
        for job, is_accepted in self.jobs.items():
            state = self.play(self.world.state(job))
            if job in self.cancelled:
                assert not self._is_running(job), job
            elif is_accepted:
                assert state is WorkflowState.COMPLETED, (job, state)

    def _is_running(self, job: str) -> bool:
        live = self.world.work.live
        return any(task.job == job for task, where in live.items() if where)


def test_task_life_cycle() -> None:
    """Guards against tasks that are lost, run twice, or go on after a cancellation."""
    run_state_machine_as_test(TaskLife, settings=FULL_SETTINGS)


@pytest.mark.parametrize(
    "disable_mechanism", DETECTED_MUTATIONS, ids=lambda fn: fn.__name__
)
def test_state_machine_detects_a_disabled_mechanism(
    disable_mechanism: Mechanism, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state machine that passes although a mechanism is disabled."""
    disable_mechanism(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(TaskLife, settings=MUTATION_SETTINGS)

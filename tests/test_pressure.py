"""Pressure control: selection, timing and execution of mitigation steps."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err

from hyssopweir.clock import Millis
from hyssopweir.codes import Code, not_run, unknown
from hyssopweir.contracts import Reason
from hyssopweir.events import Event
from hyssopweir.explain import explain_job
from hyssopweir.intents import FleetLimits
from hyssopweir.mitigation_executor import _limit_step_reasons
from hyssopweir.plan_accounts import build_plan_account
from hyssopweir.pressure import (
    MitigationStep,
    PressureControl,
    PressurePolicy,
    RunningTask,
)
from hyssopweir.standin_workers import StandinWorker
from hyssopweir.worker_client import RunState

from .builders import build_job
from .scenario import run_system
from .system import System
from .task_simulation import TaskInstance, TaskSimulation
from .test_tasks import submit
from .virtual_time import run_virtual

SLOW_MS, FAST_MS, TICK_MS = 300.0, 50.0, 500
TARGET = PressurePolicy({"price-check": 100.0})
STEPS = {Event.TASK_THROTTLED, Event.TASK_CHECKPOINTED, Event.TASK_EVICTING}


class PressureHarness:
    """Pressure control of workers whose latency is a function of the time in s."""

    def __init__(
        self,
        load: Callable[[int], float],
        workers: Mapping[str, Sequence[RunningTask]],
        policy: PressurePolicy = TARGET,
        model: Any = None,
    ) -> None:
        self.load, self.now_ms, self.may_evict = load, 0, True
        self.tasks = {name: {t.task_id: t for t in ts} for name, ts in workers.items()}
        self.control = PressureControl(
            lambda: policy, lambda: self.may_evict, lambda worker: 0.5, model
        )
        self.texts: list[str] = []
        self.actions: list[tuple[float, str, str]] = []

    def run(self, seconds: int) -> list[tuple[float, str, str]]:
        """Advance the time; return time in s, step and task of all actions so far."""
        for _ in range(seconds * 1_000 // TICK_MS):
            self.now_ms += TICK_MS
            latency_ms = self.load(self.now_ms // 1_000)
            for name in [*self.tasks] * 4:
                args = (name, "price-check", latency_ms, self.now_ms)
                self.control.record_latency(*args)
            runs = {name: [*tasks.values()] for name, tasks in self.tasks.items()}
            for action in self.control.decide(runs, self.now_ms):
                self.texts.append(action.text)
                self.actions.append(
                    (self.now_ms / 1_000, action.step.value, action.task_id)
                )
                task = self.tasks[action.worker_id].pop(action.task_id)
                if action.step is not MitigationStep.EVICT:
                    step = (
                        None if action.step is MitigationStep.RESTORE else action.step
                    )
                    task = task._replace(
                        step=step, is_saved=step is MitigationStep.CHECKPOINT
                    )
                    self.tasks[action.worker_id][action.task_id] = task
        return self.actions


def build_tasks(count: int = 1, prefix: str = "job/") -> list[RunningTask]:
    names = [f"{prefix}{number}" for number in range(count)]
    return [RunningTask(name, name, 0.5, 5_000) for name in names]


def always_slow(now_s: int) -> float:
    return SLOW_MS


@pytest.mark.parametrize(
    ("seconds", "steps"),
    [
        (2, []),
        (5, ["throttle", "restore"]),
        (9, ["throttle", "checkpoint", "restore"]),
        (60, ["throttle", "checkpoint", "evict"]),
    ],
)
def test_steps_depend_on_duration_of_pressure(seconds: int, steps: list[str]) -> None:
    """Guards against eviction in a short burst, skipped steps and lasting throttles."""
    harness = PressureHarness(
        lambda now_s: SLOW_MS if 10 <= now_s < 10 + seconds else FAST_MS,
        {"w0": build_tasks()},
    )
    actions = harness.run(90)
    assert [step for _, step, _ in actions] == steps
    if seconds == 60:
        times = [at_s for at_s, _, _ in actions]
        assert 13 <= times[0] <= 14.5
        assert [later - earlier for earlier, later in pairwise(times)] == [3, 10]


@pytest.mark.parametrize(("on_s", "off_s"), [(4, 4), (2, 2), (5, 9), (1, 3)])
def test_mitigation_is_stable_under_oscillating_load(on_s: int, off_s: int) -> None:
    """Guards against throttling that starts and ends with each short burst."""
    harness = PressureHarness(
        lambda now_s: SLOW_MS if now_s >= 5 and now_s % (on_s + off_s) < on_s else 1.0,
        {"w0": build_tasks(3)},
    )
    steps = [step for _, step, _ in harness.run(180)]
    assert steps.count("restore") == 0
    assert steps.count("throttle") <= 2 + steps.count("evict")


def test_budget_bounds_evictions_under_lasting_pressure() -> None:
    """Guards against mass eviction, also during and right after an outage."""
    harness = PressureHarness(
        always_slow, {f"w{n}": build_tasks(6, f"{n}/") for n in range(8)}
    )
    harness.may_evict = False
    assert {step for _, step, _ in harness.run(60)} == {"throttle", "checkpoint"}
    for tasks in harness.tasks.values():
        assert sum(task.step is not None for task in tasks.values()) == 2
    harness.may_evict = True
    evicted = [at_s for at_s, step, _ in harness.run(300) if step == "evict"]
    assert len(evicted) == 2 * 5
    assert all(b - a >= 60 for a, b in zip(evicted[:-2], evicted[2:], strict=True))


@pytest.mark.parametrize(
    ("lost_ms", "cores_share", "evicted_task"),
    [
        ((60_000, 5_000), (0.5, 0.5), "job/1"),
        ((10_000, 5_000), (0.6, 0.2), "job/0"),
        ((60_000, 5_000), (0.9, 0.2), "job/1"),
    ],
)
def test_evicts_task_with_least_lost_work_per_interference(
    lost_ms: tuple[int, int], cores_share: tuple[float, float], evicted_task: str
) -> None:
    """Guards against eviction by interference alone, regardless of lost work."""
    tasks = [
        task._replace(lost_ms=lost_ms[n], cores_share=cores_share[n])
        for n, task in enumerate(build_tasks(2))
    ]
    actions = PressureHarness(always_slow, {"w0": tasks}).run(20)
    assert [task for _, step, task in actions if step == "evict"] == [evicted_task]


@pytest.mark.parametrize(
    ("tail", "evictions", "delay_s"),
    [(1, 1, 10), (1, 3, 30), (10, 0, 1), (1, 100, 100), (0, 1, None)],
)
def test_weights_set_eviction_delay(
    tail: float, evictions: float, delay_s: int | None
) -> None:
    """Guards against ignored weights and a plan account with another delay."""
    policy = PressurePolicy(TARGET.targets, tail, evictions)
    actions = PressureHarness(always_slow, {"w0": build_tasks()}, policy).run(150)
    at_s = {step: at for at, step, _ in actions}
    assert at_s.get("evict") == (delay_s and at_s["checkpoint"] + delay_s)
    body = {"weights": {"tail_latency": tail, "evictions": evictions}}
    account = build_plan_account(body, {}, body, FleetLimits(0, 0))
    said = f"after {delay_s} s" if delay_s else "No task is evicted"
    assert any(said in line for line in account["expected"])


@pytest.mark.parametrize(
    ("slowdowns", "chosen", "words"),
    [
        ({"job/0": 2.5, "job/1": 1.2}, ["job/0"], "2.5 times slower, by 35 observ"),
        ({"job/0": 1.2}, ["job/1"], "is not known yet, and it uses 50%"),
        ({"job/0": 1.0, "job/1": 0.9}, [], ""),
        ({"job/0": 2.0}, ["job/0"], "more than its target of 100 ms on w0"),
    ],
)
def test_task_with_most_interference_is_throttled_first(
    slowdowns: dict[str, float], chosen: list[str], words: str
) -> None:
    """Guards against throttling an unrelated task and reasons without figures."""

    def harm(kind: str, services: Mapping[str, float], load: float) -> Any:
        known = kind in slowdowns
        return SimpleNamespace(
            slowdown=slowdowns.get(kind, 9.0), observations=35, is_known=known
        )

    model = SimpleNamespace(harm=harm)
    harness = PressureHarness(always_slow, {"w0": build_tasks(2)}, model=model)
    assert [task for _, _, task in harness.run(5)] == chosen
    assert all(words in text for text in harness.texts)


def test_service_without_a_target_is_compared_with_its_baseline() -> None:
    """Guards against services unprotected without a target, and unbounded memory."""
    policy = PressurePolicy({"price-check": None})
    harness = PressureHarness(
        lambda now_s: SLOW_MS if now_s > 20 else 50.0, {"w0": []}, policy
    )
    harness.run(15)
    harness.tasks["w0"] = {"job/0": build_tasks()[0]}
    assert [step for _, step, _ in harness.run(20)][:2] == ["throttle", "checkpoint"]
    control = harness.control
    for n in range(1_000):
        control.record_latency(f"w{n}", "price-check", 1.0, harness.now_ms)
        control.record_latency("w0", f"unknown-{n}", 1.0, harness.now_ms)
    assert {service for _, service in control._samples} == {"price-check"}
    control.decide({}, harness.now_ms + 60_000)
    assert {*control._samples, *control._pressure_states} == set()
    assert set(control._baselines) == {"price-check"}


class PressureCluster:
    """Simulation with one task, whose workers report requests of ``latency_ms``."""

    def __init__(self, simulation: TaskSimulation, instance: TaskInstance) -> None:
        self.simulation, self.instance, self.latency_ms = simulation, instance, SLOW_MS
        self.traffic = asyncio.create_task(self._report_latencies())

    async def _report_latencies(self) -> None:
        while True:
            await self.simulation.clock.sleep_ms(100)
            for instance in self.simulation.instances:
                instance.policy = TARGET
                for worker in self.simulation.fleet_workers:
                    instance.keeper.record_latency(
                        worker, "price-check", self.latency_ms
                    )

    def run(self) -> Any:
        runs = [
            worker._listed.values() for worker in self.simulation.fleet.workers.values()
        ]
        live = [
            run for listed in runs for run in listed if run.state is RunState.RUNNING
        ]
        return live[0] if live else None

    def count(self, event: Event) -> int:
        logs = [
            record for instance in self.simulation.instances for record in instance.log
        ]
        return sum(record.event is event for record in logs)

    async def until(self, event: Event) -> None:
        await self.simulation.until(lambda: self.count(event) > 0)


def run_scenario(scenario: Callable[[PressureCluster], Any]) -> None:
    """Run a scenario with one task under pressure, then check the invariants."""

    async def run() -> None:
        simulation = TaskSimulation()
        instance = await simulation.instance()
        await instance.gain()
        await submit(instance, run_ms=100_000)
        await simulation.until_state("running")
        cluster = PressureCluster(simulation, instance)
        await scenario(cluster)
        cluster.latency_ms = FAST_MS
        await simulation.until(
            lambda: set(simulation.states()) <= {"done", "cancelled"}, 400_000
        )
        cluster.traffic.cancel()
        simulation.check_guarantees()

    run_virtual(run())


def test_actions_are_carried_out_and_explained() -> None:
    """Guards against actions that never reach the worker and missing reasons."""

    async def scenario(cluster: PressureCluster) -> None:
        simulation, first = cluster.simulation, cluster.simulation.task()["worker"]
        await cluster.until(Event.TASK_THROTTLED)
        assert cluster.run().share == 0.5
        await cluster.until(Event.TASK_CHECKPOINTED)
        assert cluster.run().checkpoint is not None
        await cluster.until(Event.TASK_EVICTED)
        await simulation.until(lambda: simulation.task()["state"] == "running")
        task = simulation.task()
        assert (task["run"], task["evictions"], cluster.run().share) == (2, 1, 1.0)
        assert task["worker"] != first, "placed again on the worker under pressure"
        text = explain_job(
            (await cluster.instance.api.task_rows("price-watch")).unwrap()
        )
        assert "It was slowed down: run 1 is throttled to 50%" in text
        assert "is evicted: for 1" in text
        assert "s requests of price-check took 300 ms (median of 20), more than" in text

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["none", "owner", "cut"])
def test_throttling_ends_after_pressure(fault: str) -> None:
    """Guards against a throttle that outlasts the pressure or a change of owner."""

    async def scenario(cluster: PressureCluster) -> None:
        simulation, cut = cluster.simulation, cluster.instance.client.cut
        await cluster.until(Event.TASK_THROTTLED)
        await simulation.clock.sleep_ms(500)
        cluster.latency_ms = FAST_MS
        if fault == "cut":
            await simulation.clock.sleep_ms(9_000)
            cut.add(simulation.task()["worker"])
            await simulation.clock.sleep_ms(8_000)
            cut.clear()
        if fault == "owner":
            new_owner = await simulation.instance("two")
            cluster.instance.keeper.shard_lost(simulation.shards[0])
            await new_owner.gain()
        await cluster.until(Event.TASK_RESTORED)
        await simulation.clock.sleep_ms(100)
        assert (cluster.run().share, simulation.task()["run"]) == (1.0, 1)
        assert simulation.task()["reasons"][-1]["event"] == "TASK_RESTORED"

    run_scenario(scenario)


def test_step_reasons_do_not_displace_others() -> None:
    """Guards against oscillating pressure that displaces the start reason."""
    reason: Reason = {"at_ms": 0, "event": "TASK_STARTING", "by": "one", "text": "0"}
    reasons = [reason]
    for n in range(40):
        event = ("TASK_THROTTLED", "TASK_RESTORED")[n % 2]
        reasons = [
            *_limit_step_reasons(reasons),
            {**reason, "event": event, "text": str(n)},
        ]
    assert [step_reason["text"] for step_reason in reasons] == [
        "0",
        "36",
        "37",
        "38",
        "39",
    ]


@pytest.mark.parametrize("ending", ["cancel", "evict"])
def test_ending_run_gets_no_actions(ending: str) -> None:
    """Guards against an action that delays or follows the end of a run."""

    async def scenario(cluster: PressureCluster) -> None:
        instance, calls, stop = cluster.instance, [], cluster.instance.client.stop

        async def refuse(*args: Any) -> Any:
            calls.append(len(args))
            return Err(unknown(Code.WORKER_UNREACHABLE, "no answer"))

        instance.client.throttle = instance.client.stop = refuse  # type: ignore
        await cluster.simulation.until(lambda: len(calls) > 0)
        if ending == "cancel":
            await instance.api.cancel("price-watch")
        else:
            await instance.keeper.evict("price-watch/0", "a test asks for it")
        throttled = calls.count(4)
        await cluster.simulation.clock.sleep_ms(10_000)
        assert (calls.count(4), calls.count(3) > 3) == (throttled, True)
        instance.client.stop = stop  # type: ignore[method-assign]

    run_scenario(scenario)


def test_task_without_checkpoint_is_not_evicted() -> None:
    """Guards against loss of all work and endless checkpoint attempts."""

    async def scenario(cluster: PressureCluster) -> None:
        tries = []

        async def refuse(*args: Any) -> Any:
            tries.append(args)
            return Err(not_run(Code.WORKER_REFUSED, "no checkpoints"))

        cluster.instance.client.checkpoint = refuse  # type: ignore[method-assign]
        await cluster.simulation.clock.sleep_ms(40_000)
        assert (len(tries), cluster.run().share) == (3, 0.5)
        assert cluster.simulation.task()["evictions"] == 0

    run_scenario(scenario)


def test_no_eviction_during_store_outage() -> None:
    """Guards against stopping a run while its end can't be recorded."""

    async def scenario(cluster: PressureCluster) -> None:
        cluster.instance.service.down = True
        await cluster.until(Event.TASK_CHECKPOINTED)
        await cluster.simulation.clock.sleep_ms(40_000)
        assert (cluster.run().share, cluster.count(Event.TASK_EVICTING)) == (0.5, 0)
        cluster.instance.service.down = False
        await cluster.until(Event.TASK_EVICTED)
        events = [reason["event"] for reason in cluster.simulation.task()["reasons"]]
        assert "TASK_THROTTLED" in events

    run_scenario(scenario)


@pytest.mark.parametrize("ending", ["done", "cancel", "evict"])
@pytest.mark.parametrize("step", ["throttle", "checkpoint", "stop"])
@pytest.mark.parametrize("after_ms", [0, 1, 2, 5, 60])
def test_run_end_during_action_is_kept(ending: str, step: str, after_ms: int) -> None:
    """Guards against a run that continues although it has ended by itself."""

    async def scenario(cluster: PressureCluster) -> None:
        simulation, client = cluster.simulation, cluster.instance.client
        called, call = asyncio.Event(), getattr(client, step)

        async def call_and_signal(*args: Any) -> Any:
            called.set()
            return await call(*args)

        setattr(client, step, call_and_signal)
        await called.wait()
        await simulation.clock.sleep_ms(after_ms)
        run, cluster.latency_ms = cluster.run(), FAST_MS
        if ending == "cancel":
            await cluster.instance.api.cancel("price-watch")
        elif ending == "evict":
            await cluster.instance.keeper.evict("price-watch/0", "a test asks for it")
        elif run is not None:
            for worker in simulation.fleet.workers.values():
                if run.run_id in worker._runs:
                    worker._end(run, RunState.DONE)
        await simulation.until(
            lambda: set(simulation.states()) <= {"done", "cancelled"}, 200_000
        )
        if ending == "cancel":
            assert simulation.states() == ["cancelled"]
        elif run is not None and run.state is RunState.DONE:
            assert run.run_id == f"price-watch/0#{simulation.task()['run']}"
        account = simulation.fleet.audit
        assert account.tasks_done.total() == (ending != "cancel")
        if ending == "evict":
            assert account.evicted.total() == simulation.task()["evictions"]

    run_scenario(scenario)


class ColocatedServiceTimes(dict[str, Millis]):
    """Service times that are 40 ms while a task runs on the worker, else 5 ms."""

    def __init__(self, worker: StandinWorker) -> None:
        self._worker = worker

    def get(self, service: str, default: Any = None) -> Millis:
        return 40 if any(run.is_task for run in self._worker.live_runs()) else 5


def test_instance_mitigates_slow_requests() -> None:
    """Guards against missing wiring of dispatch, configuration and tasks."""

    async def main(system: System) -> None:
        node = system.start_node("kista-1", "kista")
        await system.clock.sleep_ms(10_000)
        keeper, spec = node.parts.configuration, build_job(tasks=24, run_ms=60_000)
        service = {"idempotent": True, "latency_target_ms": 10}
        for worker in system.fleet.workers.values():
            worker.service_ms = ColocatedServiceTimes(worker)
        body: Any = {"services": {"price-check": service}}
        await node.process.spawn(keeper.change(body, keeper.version))
        await node.process.spawn(node.parts.jobs.submit(spec, "buyer"))
        for _ in range(400):
            node.process.spawn(node.serve("price-check", b"", None, 5_000))
            await system.clock.sleep_ms(50)
        found = [record for record in node.instance.events if record.event in STEPS]
        assert {record.event for record in found} == STEPS
        assert found[0].fields["limit_ms"] == 10

    run_system(0, main)

"""Pressure: which steps are taken, when, on which task, and how they reach it."""

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
from hyssopweir.intents import FleetFacts
from hyssopweir.mitigation_executor import _thinned
from hyssopweir.plan_accounts import make_account
from hyssopweir.pressure import PressureControl, PressurePolicy, RunningTask, Step
from hyssopweir.standin_workers import StandinWorker
from hyssopweir.worker_client import RunState

from .builders import build_job
from .scenario import run_system
from .system import System
from .task_simulation import Instance, TaskSimulation
from .test_tasks import submit
from .virtual_time import run_virtual

SLOW_MS, FAST_MS, TICK_MS = 300.0, 50.0, 500
TARGET = PressurePolicy({"price-check": 100.0})
STEPS = {Event.TASK_THROTTLED, Event.TASK_CHECKPOINTED, Event.TASK_EVICTING}


class Plant:
    """Workers with tasks, whose latency is a function of the time in seconds."""

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
        self.done: list[tuple[float, str, str]] = []

    def run(self, seconds: int) -> list[tuple[float, str, str]]:
        """Return time (s), step and task of all actions until now."""
        for _ in range(seconds * 1_000 // TICK_MS):
            self.now_ms += TICK_MS
            latency_ms = self.load(self.now_ms // 1_000)
            for name in [*self.tasks] * 4:
                args = (name, "price-check", latency_ms, self.now_ms)
                self.control.record_latency(*args)
            runs = {name: [*tasks.values()] for name, tasks in self.tasks.items()}
            for one in self.control.decide(runs, self.now_ms):
                self.texts.append(one.text)
                self.done.append((self.now_ms / 1_000, one.step.value, one.task_id))
                task = self.tasks[one.worker_id].pop(one.task_id)
                if one.step is not Step.EVICT:
                    step = None if one.step is Step.RESTORE else one.step
                    task = task._replace(step=step, is_saved=step is Step.CHECKPOINT)
                    self.tasks[one.worker_id][one.task_id] = task
        return self.done


def build_tasks(count: int = 1, prefix: str = "job/") -> list[RunningTask]:
    names = [f"{prefix}{number}" for number in range(count)]
    return [RunningTask(name, name, 0.5, 5_000) for name in names]


def always(now_s: int) -> float:
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
def test_steps_follow_the_length_of_a_wave(seconds: int, steps: list[str]) -> None:
    """Guards against an eviction in a short wave, skipped steps, lasting throttling."""
    plant = Plant(
        lambda now_s: SLOW_MS if 10 <= now_s < 10 + seconds else FAST_MS,
        {"w0": build_tasks()},
    )
    taken = plant.run(90)
    assert [step for _, step, _ in taken] == steps
    if seconds == 60:
        times = [at_s for at_s, _, _ in taken]
        assert 13 <= times[0] <= 14.5
        assert [later - earlier for earlier, later in pairwise(times)] == [3, 10]


@pytest.mark.parametrize(("on_s", "off_s"), [(4, 4), (2, 2), (5, 9), (1, 3)])
def test_oscillating_load_does_not_oscillate_the_reaction(
    on_s: int, off_s: int
) -> None:
    """Guards against throttling that begins and ends with each short wave."""
    plant = Plant(
        lambda now_s: SLOW_MS if now_s >= 5 and now_s % (on_s + off_s) < on_s else 1.0,
        {"w0": build_tasks(3)},
    )
    steps = [step for _, step, _ in plant.run(180)]
    assert steps.count("restore") == 0
    assert steps.count("throttle") <= 2 + steps.count("evict")


def test_budget_bounds_the_evictions_of_a_long_wave() -> None:
    """Guards against a wave of evictions, in or right after an outage, too."""
    plant = Plant(always, {f"w{n}": build_tasks(6, f"{n}/") for n in range(8)})
    plant.may_evict = False
    assert {step for _, step, _ in plant.run(60)} == {"throttle", "checkpoint"}
    for tasks in plant.tasks.values():
        assert sum(task.step is not None for task in tasks.values()) == 2
    plant.may_evict = True
    evicted = [at_s for at_s, step, _ in plant.run(300) if step == "evict"]
    assert len(evicted) == 2 * 5
    assert all(b - a >= 60 for a, b in zip(evicted[:-2], evicted[2:], strict=True))


@pytest.mark.parametrize(
    ("lost_ms", "cores_share", "victim"),
    [
        ((60_000, 5_000), (0.5, 0.5), "job/1"),
        ((10_000, 5_000), (0.6, 0.2), "job/0"),
        ((60_000, 5_000), (0.9, 0.2), "job/1"),
    ],
)
def test_task_that_loses_least_work_for_its_harm_is_evicted(
    lost_ms: tuple[int, int], cores_share: tuple[float, float], victim: str
) -> None:
    """Guards against the eviction of the most harmful task at any price."""
    tasks = [
        task._replace(lost_ms=lost_ms[n], cores_share=cores_share[n])
        for n, task in enumerate(build_tasks(2))
    ]
    taken = Plant(always, {"w0": tasks}).run(20)
    assert [task for _, step, task in taken if step == "evict"] == [victim]


@pytest.mark.parametrize(
    ("tail", "evictions", "delay_s"),
    [(1, 1, 10), (1, 3, 30), (10, 0, 1), (1, 100, 100), (0, 1, None)],
)
def test_weights_set_the_time_before_an_eviction(
    tail: float, evictions: float, delay_s: int | None
) -> None:
    """Guards against weights that are ignored, and an account that says otherwise."""
    policy = PressurePolicy(TARGET.targets, tail, evictions)
    taken = Plant(always, {"w0": build_tasks()}, policy).run(150)
    at_s = {step: at for at, step, _ in taken}
    assert at_s.get("evict") == (delay_s and at_s["checkpoint"] + delay_s)
    body = {"weights": {"tail_latency": tail, "evictions": evictions}}
    account = make_account(body, {}, body, FleetFacts(0, 0))
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
def test_most_harmful_task_is_throttled_first(
    slowdowns: dict[str, float], chosen: list[str], words: str
) -> None:
    """Guards against a step on a harmless task, and reasons without figures."""

    def harm(kind: str, services: Mapping[str, float], load: float) -> Any:
        known = kind in slowdowns
        return SimpleNamespace(
            slowdown=slowdowns.get(kind, 9.0), observations=35, is_known=known
        )

    model = SimpleNamespace(harm=harm)
    plant = Plant(always, {"w0": build_tasks(2)}, model=model)
    assert [task for _, _, task in plant.run(5)] == chosen
    assert all(words in text for text in plant.texts)


def test_service_without_a_target_is_compared_with_its_baseline() -> None:
    """Guards against targets that must be configured, and against unbounded memory."""
    policy = PressurePolicy({"price-check": None})
    plant = Plant(lambda now_s: SLOW_MS if now_s > 20 else 50.0, {"w0": []}, policy)
    plant.run(15)
    plant.tasks["w0"] = {"job/0": build_tasks()[0]}
    assert [step for _, step, _ in plant.run(20)][:2] == ["throttle", "checkpoint"]
    control = plant.control
    for n in range(1_000):
        control.record_latency(f"w{n}", "price-check", 1.0, plant.now_ms)
        control.record_latency("w0", f"unknown-{n}", 1.0, plant.now_ms)
    assert {service for _, service in control._samples} == {"price-check"}
    control.decide({}, plant.now_ms + 60_000)
    assert {*control._samples, *control._watches} == set()
    assert set(control._baselines) == {"price-check"}


class Site:
    """Owners of a shard with one task, whose workers answer in ``latency_ms``."""

    def __init__(self, world: TaskSimulation, one: Instance) -> None:
        self.world, self.one, self.latency_ms = world, one, SLOW_MS
        self.traffic = asyncio.create_task(self._send())

    async def _send(self) -> None:
        while True:
            await self.world.clock.sleep_ms(100)
            for one in self.world.instances:
                one.policy = TARGET
                for worker in self.world.machines:
                    one.keeper.record_latency(worker, "price-check", self.latency_ms)

    def run(self) -> Any:
        runs = [one._listed.values() for one in self.world.fleet.workers.values()]
        live = [run for part in runs for run in part if run.state is RunState.RUNNING]
        return live[0] if live else None

    def count(self, event: Event) -> int:
        logs = [record for one in self.world.instances for record in one.log]
        return sum(record.event is event for record in logs)

    async def until(self, event: Event) -> None:
        await self.world.until(lambda: self.count(event) > 0)


def play(story: Callable[[Site], Any]) -> None:
    """Run a story with one running task under pressure, then judge."""

    async def run() -> None:
        world = TaskSimulation()
        one = await world.instance()
        await one.gain()
        await submit(one, run_ms=100_000)
        await world.until_state("running")
        site = Site(world, one)
        await story(site)
        site.latency_ms = FAST_MS
        await world.until(lambda: set(world.states()) <= {"done", "cancelled"}, 400_000)
        site.traffic.cancel()
        world.judge()

    run_virtual(run())


def test_actions_are_carried_out_and_explained() -> None:
    """Guards against steps that never reach the worker, and missing reasons."""

    async def story(site: Site) -> None:
        world, first = site.world, site.world.task()["worker"]
        await site.until(Event.TASK_THROTTLED)
        assert site.run().share == 0.5
        await site.until(Event.TASK_CHECKPOINTED)
        assert site.run().checkpoint is not None
        await site.until(Event.TASK_EVICTED)
        await world.until(lambda: world.task()["state"] == "running")
        task = world.task()
        assert (task["run"], task["evictions"], site.run().share) == (2, 1, 1.0)
        assert task["worker"] != first, "placed again where it did harm"
        text = explain_job((await site.one.desk.task_rows("price-watch")).unwrap())
        assert "It was slowed down: run 1 is throttled to 50%" in text
        assert "is evicted: for 1" in text
        assert "s requests of price-check took 300 ms (median of 20), more than" in text

    play(story)


@pytest.mark.parametrize("fault", ["none", "owner", "cut"])
def test_throttling_ends(fault: str) -> None:
    """Guards against a task that stays throttled after the pressure, or its owner."""

    async def story(site: Site) -> None:
        world, cut = site.world, site.one.client.cut
        await site.until(Event.TASK_THROTTLED)
        await world.clock.sleep_ms(500)
        site.latency_ms = FAST_MS
        if fault == "cut":
            await world.clock.sleep_ms(9_000)
            cut.add(world.task()["worker"])
            await world.clock.sleep_ms(8_000)
            cut.clear()
        if fault == "owner":
            two = await world.instance("two")
            site.one.keeper.shard_lost(world.shards[0])
            await two.gain()
        await site.until(Event.TASK_RESTORED)
        await world.clock.sleep_ms(100)
        assert (site.run().share, world.task()["run"]) == (1.0, 1)
        assert world.task()["reasons"][-1]["event"] == "TASK_RESTORED"

    play(story)


def test_reasons_of_steps_leave_room_for_the_others() -> None:
    """Guards against an oscillating wave that displaces the reason of the start."""
    reason: Reason = {"at_ms": 0, "event": "TASK_STARTING", "by": "one", "text": "0"}
    kept = [reason]
    for n in range(40):
        event = ("TASK_THROTTLED", "TASK_RESTORED")[n % 2]
        kept = [*_thinned(kept), {**reason, "event": event, "text": str(n)}]
    assert [one["text"] for one in kept] == ["0", "36", "37", "38", "39"]


@pytest.mark.parametrize("what", ["cancel", "evict"])
def test_run_that_is_being_ended_is_not_acted_on(what: str) -> None:
    """Guards against a step that delays the end of a run, or follows it."""

    async def story(site: Site) -> None:
        one, calls, stop = site.one, [], site.one.client.stop

        async def refuse(*args: Any) -> Any:
            calls.append(len(args))
            return Err(unknown(Code.WORKER_UNREACHABLE, "no answer"))

        one.client.throttle = one.client.stop = refuse  # type: ignore
        await site.world.until(lambda: len(calls) > 0)
        if what == "cancel":
            await one.desk.cancel("price-watch")
        else:
            await one.keeper.evict("price-watch/0", "a test asks for it")
        throttled = calls.count(4)
        await site.world.clock.sleep_ms(10_000)
        assert (calls.count(4), calls.count(3) > 3) == (throttled, True)
        one.client.stop = stop  # type: ignore[method-assign]

    play(story)


def test_task_that_can_not_be_saved_is_not_evicted() -> None:
    """Guards against the loss of all work, and a step that is tried for ever."""

    async def story(site: Site) -> None:
        tries = []

        async def refuse(*args: Any) -> Any:
            tries.append(args)
            return Err(not_run(Code.WORKER_REFUSED, "no checkpoints"))

        site.one.client.checkpoint = refuse  # type: ignore[method-assign]
        await site.world.clock.sleep_ms(40_000)
        assert (len(tries), site.run().share) == (3, 0.5)
        assert site.world.task()["evictions"] == 0

    play(story)


def test_nothing_is_evicted_in_an_outage() -> None:
    """Guards against a run that is stopped while its end can't be recorded."""

    async def story(site: Site) -> None:
        site.one.service.down = True
        await site.until(Event.TASK_CHECKPOINTED)
        await site.world.clock.sleep_ms(40_000)
        assert (site.run().share, site.count(Event.TASK_EVICTING)) == (0.5, 0)
        site.one.service.down = False
        await site.until(Event.TASK_EVICTED)
        events = [reason["event"] for reason in site.world.task()["reasons"]]
        assert "TASK_THROTTLED" in events

    play(story)


@pytest.mark.parametrize("what", ["done", "cancel", "evict"])
@pytest.mark.parametrize("step", ["throttle", "checkpoint", "stop"])
@pytest.mark.parametrize("after_ms", [0, 1, 2, 5, 60])
def test_end_at_the_moment_of_an_action_is_kept(
    what: str, step: str, after_ms: int
) -> None:
    """Guards against a run that has its own end and goes on all the same."""

    async def story(site: Site) -> None:
        world, client = site.world, site.one.client
        called, call = asyncio.Event(), getattr(client, step)

        async def note(*args: Any) -> Any:
            called.set()
            return await call(*args)

        setattr(client, step, note)
        await called.wait()
        await world.clock.sleep_ms(after_ms)
        run, site.latency_ms = site.run(), FAST_MS
        if what == "cancel":
            await site.one.desk.cancel("price-watch")
        elif what == "evict":
            await site.one.keeper.evict("price-watch/0", "a test asks for it")
        elif run is not None:
            for machine in world.fleet.workers.values():
                if run.run_id in machine._runs:
                    machine._end(run, RunState.DONE)
        await world.until(lambda: set(world.states()) <= {"done", "cancelled"}, 200_000)
        if what == "cancel":
            assert world.states() == ["cancelled"]
        elif run is not None and run.state is RunState.DONE:
            assert run.run_id == f"price-watch/0#{world.task()['run']}"
        account = world.fleet.account
        assert account.tasks_done.total() == (what != "cancel")
        if what == "evict":
            assert account.evicted.total() == world.task()["evictions"]

    play(story)


class SlowBesideTasks(dict[str, Millis]):
    """Give the time of a request at a worker, which depends on the tasks there."""

    def __init__(self, worker: StandinWorker) -> None:
        self._worker = worker

    def get(self, service: str, default: Any = None) -> Millis:
        return 40 if any(run.is_task for run in self._worker.live_runs()) else 5


def test_slow_requests_lead_to_the_steps_in_a_whole_instance() -> None:
    """Guards against parts that are not joined: dispatch, configuration, tasks."""

    async def main(system: System) -> None:
        node = system.start_node("kista-1", "kista")
        await system.clock.sleep_ms(10_000)
        keeper, spec = node.parts.configuration, build_job(tasks=24, run_ms=60_000)
        service = {"idempotent": True, "latency_target_ms": 10}
        for worker in system.fleet.workers.values():
            worker.service_ms = SlowBesideTasks(worker)
        body: Any = {"services": {"price-check": service}}
        await node.process.spawn(keeper.change(body, keeper.version))
        await node.process.spawn(node.parts.jobs.submit(spec, "buyer"))
        for _ in range(400):
            node.process.spawn(node.serve("price-check", b"", None, 5_000))
            await system.clock.sleep_ms(50)
        found = [one for one in node.instance.events if one.event in STEPS]
        assert {one.event for one in found} == STEPS
        assert found[0].fields["limit_ms"] == 10

    run_system(0, main)

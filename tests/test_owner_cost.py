"""Work of a cell's owner that must not grow with tasks, heartbeats or ticks.

On a large fleet, owners on half a core were busy all the time with the same figures.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from random import Random
from statistics import median
from typing import Any

import pytest

from hyssopweir import (
    events,
    filler_interference,
    step_placement,
    stragglers,
)
from hyssopweir.clock import Clock
from hyssopweir.events import Event, EventLog
from hyssopweir.filler_interference import FillerInterference
from hyssopweir.filler_pacing import FillerPacing
from hyssopweir.log_lines import RateLimitedHandler
from hyssopweir.platform import http_agent
from hyssopweir.platform.http_agent import HttpWorkerListing
from hyssopweir.resources import Resources
from hyssopweir.step_placement import choose_worker_for_step, rank_workers
from hyssopweir.task_state import Run, RunPhase, RunRef, Task, TaskRef
from hyssopweir.worker_load import WorkerLoad
from hyssopweir.workflow_progress import WorkflowState
from hyssopweir.workflows import Step
from tests.cell_simulation import (
    CellSimulation,
    build_entry,
    build_step,
    build_workflow,
)
from tests.platform_cluster import WorkerServer, open_null_output, running_platform
from tests.virtual_time import VirtualClock, run_virtual

WORKERS = 20
TASKS = 40
ROOM = Resources(16_000, 62_500)
SHARED_IMAGES = ("shop", "desk", "map")
FILLER_IMAGES = ("batch", "index", "report")


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> Counter[str]:
    """Count the calls of a function or method from now on, under its name."""
    calls: Counter[str] = Counter()
    original: Callable[..., Any] = getattr(owner, name)

    def counted(*args: Any, **kwargs: Any) -> Any:
        calls[name] += 1
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, counted)
    return calls


def test_wide_step_compares_each_worker_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a scan of all workers for each task of a step."""
    calls = count_calls(monkeypatch, step_placement, "placement_cost")

    async def run_scenario() -> None:
        simulation = CellSimulation(workers=WORKERS)
        await simulation.sleep_ms(1_000)
        step = build_step(TASKS, room=Resources(1_000, 100))
        assert await simulation.submit(build_workflow("j1", step))
        assert await simulation.until("j1", WorkflowState.COMPLETED, 10_000)

    run_virtual(run_scenario())
    assert calls["placement_cost"] <= WORKERS + TASKS


def random_step(random: Random) -> Step:
    kind = random.choice(["short", "short", "endless", "filler"])
    room = Resources(random.choice([500, 1_800, 5_300]), random.choice([100, 4_000]))
    return build_step(
        random.randint(1, 30),
        room=room,
        is_endless=kind == "endless",
        is_filler=kind == "filler",
        image=random.choice(FILLER_IMAGES if kind == "filler" else SHARED_IMAGES),
        tail_target_ms=40 if kind == "endless" else 0,
        home_rack=random.choice(["", "r0", "r1"]),
        label=random.choice(["", "", "a", "b"]),
        most_per_worker=random.choice([0, 0, 0, 2]),
    )


def random_loads(random: Random, interference: FillerInterference) -> list[WorkerLoad]:
    loads = []
    for number in range(8):
        label = random.choice("ab")
        labels = frozenset({label, f"r{number % 3}"})
        load = WorkerLoad(build_entry(number, room=ROOM, labels=labels))
        for index in range(random.randint(0, 9)):
            step = random_step(random)
            ref = RunRef(TaskRef(f"on-{number}", 0, 0, index), 1)
            run = Run(ref, load.entry.worker_id, 0, 0)
            run.percent, run.figure = 100, random.uniform(5.0, 60.0)
            if load.has_room_for(step.charge):
                load.reserve(run, step)
        load.slowdown = random.choice([1.0, 1.0, 3.0])
        loads.append(load)
    for now_ms in range(0, 3_000, 700):
        for load in loads:
            load.record_report(now_ms)
            interference.observe_worker(load, now_ms)
    return loads


@pytest.mark.parametrize("seed", range(40))
def test_ranking_chooses_like_a_scan(seed: int) -> None:
    """Guards against a ranking that misses the change of a worker by a placement."""
    random, interference = Random(seed), FillerInterference()
    loads = random_loads(random, interference)
    for number in range(4):
        step = random_step(random)
        ranking = rank_workers(step, loads, interference, 3_000)
        for index in range(step.tasks):
            ref = TaskRef(f"j{number}", 0, 0, index)
            task = Task()
            if random.random() < 0.1:
                task.record_failure(random.choice(loads).entry.worker_id)
            expected = choose_worker_for_step(
                ref, step, task, loads, interference, 3_000
            )
            chosen = ranking.choose(ref, task)
            assert chosen is expected
            if chosen is not None and random.random() < 0.9:
                run = Run(RunRef(ref, 1), chosen.entry.worker_id, 0, 3_000)
                chosen.reserve(run, step)


def test_waiting_fillers_share_the_headroom(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a headroom that is computed anew for each image that waits."""
    calls = count_calls(monkeypatch, filler_interference, "filler_shares")
    interference = FillerInterference()
    loads = random_loads(Random(3), interference)
    calls.clear()
    for number in range(TASKS):
        filler = build_step(1, is_filler=True, image=f"image-{number}")
        ref = TaskRef(f"j{number}", 0, 0, 0)
        choose_worker_for_step(ref, filler, Task(), loads, interference, 3_000)
    assert calls["filler_shares"] <= len(loads)


def test_headroom_follows_reports_and_runs() -> None:
    """Guards against fillers that are placed by figures of before a report."""
    interference = FillerInterference()
    load = next(
        load
        for load in random_loads(Random(3), interference)
        if load.serving_images() and load.fillers
    )
    before = interference.headroom(load)
    filler = next(run for run, step in load.runs.values() if step.is_filler)
    load.release(filler.ref, 3_000)
    released = interference.headroom(load)
    assert all(released[image] >= before[image] for image in before)
    assert released != before
    for run, step in load.runs.values():
        if step.tail_target_ms:
            run.figure = 39.0
    load.record_report(3_700)
    interference.observe_worker(load, 3_700)
    assert interference.headroom(load) != released


def test_tick_without_a_report_computes_no_speeds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against speeds that are computed ten times a second from one report."""
    calls = count_calls(monkeypatch, FillerPacing, "_target_percents")
    load = WorkerLoad(build_entry(0, room=ROOM))
    interference = FillerInterference()
    pacing = FillerPacing(interference)
    server = build_step(1, is_endless=True, image="shop", tail_target_ms=40)
    filler = build_step(1, is_filler=True, image="batch")
    for number, step in enumerate((server, filler)):
        run = Run(RunRef(TaskRef("j1", 0, 0, number), 1), "w0", 0, 0)
        run.phase, run.percent = RunPhase.RUNNING, 100
        run.figure = 15.0
        load.reserve(run, step)
    for now_ms in range(0, 1_000, 100):
        pacing.decide(load, now_ms)
    assert calls["_target_percents"] == 1
    load.record_report(1_000)
    pacing.decide(load, 1_000)
    assert calls["_target_percents"] == 2


@pytest.mark.parametrize("seed", range(20))
def test_typical_duration_is_the_median_of_the_other_runs(seed: int) -> None:
    """Guards against a run that is compared with itself."""
    random = Random(seed)
    durations = [random.choice([400.0, 1_000.0, 2_500.0]) for _ in range(seed + 3)]
    step = build_step(len(durations))
    for index, own_ms in enumerate(durations):
        others = durations[:index] + durations[index + 1 :]
        typical_ms = stragglers._typical_ms(sorted(durations), own_ms, step)
        assert typical_ms == median(others)


def test_unchanged_heartbeat_is_not_parsed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cost of each owner that grows with the heartbeats of all."""
    calls = count_calls(monkeypatch, http_agent, "_parse_address")

    async def main() -> None:
        async with running_platform() as cluster:
            listing = HttpWorkerListing(cluster.rows, Clock(), cluster.log())
            worker = WorkerServer()
            for sequence in range(5):
                entry = worker.entry(9_000, sequence=sequence, clockMs=sequence)
                cluster.store.put("servers", "i-1", entry)
                assert set((await listing.refresh()).unwrap()) == {"i-1"}
            assert calls["_parse_address"] == 1
            cluster.store.put("servers", "i-1", worker.entry(9_001, sequence=9))
            entries = (await listing.refresh()).unwrap()
            assert entries["i-1"].port == 9_001
            cluster.store.put("servers", "i-1", worker.entry(9_001, sequence=-1))
            assert not (await listing.refresh()).unwrap()
            cluster.store.put("servers", "i-1", worker.entry(9_001, sequence=10))
            assert (await listing.refresh()).unwrap()["i-1"].port == 9_001

    asyncio.run(main())


def test_dropped_line_is_not_encoded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the cost of lines that the limit of the log leaves out."""
    calls = count_calls(monkeypatch, events, "record_to_dict")

    async def run_scenario() -> None:
        log = EventLog("kista-1", "kista", VirtualClock())
        for number in range(50):
            log.emit(Event.TASK_DONE, task=f"t{number}")

    with open_null_output() as output:
        handler = RateLimitedHandler(10, output)
        monkeypatch.setattr(events.logger, "handlers", [handler])
        monkeypatch.setattr(events.logger, "propagate", False)
        level = events.logger.level
        events.logger.setLevel(logging.INFO)
        try:
            run_virtual(run_scenario())
        finally:
            events.logger.setLevel(level)
    # The second of the limit may change in between.
    assert calls["record_to_dict"] <= 20
    assert handler.dropped >= 30

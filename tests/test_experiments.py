"""Tests that the experiments are reproducible and model interference and lost work."""

from pathlib import Path
from typing import Any

import pytest

from experiments.pool import TrialDurations, run_trials
from experiments.report import BEGIN, END, write_section
from experiments.trial import Trial
from experiments.worker_model import BatchEvent, ModelWorker
from hyssopweir.standin_workers import WorkAudit
from hyssopweir.worker_client import Fence, RequestRun, TaskRun
from tests.builders import build_worker
from tests.virtual_time import VirtualClock, run_virtual

INTERFERENCE = {("price-check", "price-watch"): 0.5}
SHORT_DURATIONS = TrialDurations(500, 2_000)
WATCH = "price-watch"


async def start_worker(events: list[BatchEvent]) -> tuple[ModelWorker, Fence]:
    clock = VirtualClock()
    listed_worker, cores = build_worker(cores=4.0), {"price-check": 1.0}
    worker = ModelWorker(
        listed_worker, clock, WorkAudit(clock), INTERFERENCE, cores, events
    )
    (await worker.claim(1)).unwrap()
    return worker, Fence(1, worker.incarnation)


def measure_run(kinds: list[str], share: float = 1.0, **actual: Any) -> dict[str, Any]:
    """Run a price-check request of 100 ms beside tasks on a worker with 4 cores."""
    events: list[BatchEvent] = []

    async def main() -> float:
        worker, fence = await start_worker(events)
        clock = VirtualClock()
        payload = {"work_ms": 5_000, "cores": 0.5, "memory_gb": 1.0, **actual}
        for index, kind in enumerate(kinds):
            run = TaskRun(f"j/{index}#1", kind, 1, 1.0, 2.0, 0, payload, None)
            (await worker.start(fence, run, 10**9)).unwrap()
            (await worker.throttle(fence, run.run_id, share)).unwrap()
        started_ms = clock.now_ms()
        req = RequestRun("r#1", "r", "price-check", b"100", 10_000)
        (await worker.execute(fence, req)).unwrap()
        latency_ms = clock.now_ms() - started_ms
        await clock.sleep_ms(30_000)
        return latency_ms

    return {
        "latency_ms": run_virtual(main()),
        "outcomes": [item.outcome for item in events],
    }


@pytest.mark.parametrize(
    ("kinds", "share", "actual", "slowdown"),
    [
        ([], 1.0, {}, 1.0),
        (["repaint-round"], 1.0, {}, 1.0),
        ([WATCH], 1.0, {}, 1.35),
        ([WATCH] * 3, 1.0, {}, 3.32),
        ([WATCH] * 3, 0.5, {}, 1.82),
        (["repaint-round"] * 3, 1.0, {"cores": 2.0}, 1.75),
    ],
)
def test_tasks_slow_requests_down(
    kinds: list[str], share: float, actual: dict[str, float], slowdown: float
) -> None:
    """Guards against a model without interference, which would show no difference."""
    measured = measure_run(kinds, share, **actual)
    # The CPU use of each task varies at random.
    assert measured["latency_ms"] == pytest.approx(100 * slowdown, rel=0.2)
    assert measured["outcomes"] == ["done"] * len(kinds)


def test_a_task_fails_when_it_exceeds_its_memory_limit() -> None:
    """Guards against wrong memory declarations that have no effect."""
    assert measure_run([WATCH], memory_gb=4.0)["outcomes"] == ["out of memory"]


def test_an_evicted_task_loses_its_incomplete_step() -> None:
    """Guards against evictions without lost work, which would favour the baseline."""
    events: list[BatchEvent] = []

    async def main() -> None:
        worker, fence = await start_worker(events)
        payload = {"work_ms": 9_000, "cores": 0.5, "memory_gb": 1.0}
        run = TaskRun("j/0#1", WATCH, 1, 1.0, 2.0, 0, payload, None)
        (await worker.start(fence, run, 10**9)).unwrap()
        await VirtualClock().sleep_ms(4_000)
        saved = (await worker.checkpoint(fence, run.run_id)).unwrap()
        assert saved.checkpoint == "j/0#1@3000"
        (await worker.stop(fence, run.run_id)).unwrap()

    run_virtual(main())
    assert [item.outcome for item in events] == ["stopped"]
    assert 500 <= events[0].work_ms <= 1_500


def test_a_trial_is_reproducible() -> None:
    """Guards against differences between variants that are only random."""
    trials = [Trial("norrstrom", "busy", name, 1) for name in ("naive", "product")]
    first, again = (run_trials(trials, 1, SHORT_DURATIONS) for _ in range(2))
    assert first == again
    assert all(metrics["violations"] == 0 for metrics in first.values())
    assert all(metrics["price-check p50"] > 0 for metrics in first.values())


def test_writing_the_section_keeps_the_rest_of_the_page(tmp_path: Path) -> None:
    """Guards against losing manual text around the generated section."""
    page = tmp_path / "measurements.md"
    page.write_text("# Before\n")
    for line in ("old", "new"):
        write_section(page, [line])
    page.write_text(page.read_text() + "after\n")
    write_section(page, ["newest"])
    assert page.read_text() == f"# Before\n\n{BEGIN}\n\nnewest\n\n{END}\nafter\n"
